"""An internal error at any step of a call ends as one failed call, and nothing else.

Guards against a set-up that cannot be sent and stays counted as outstanding for ever: it took its switch out of service
for all callers until a restart.
"""

import pytest

from tests.async_runner import async_test
from tests.in_process import (
    ErrorInjector,
    Iax2Caller,
    InProcessGatekeeper,
    JsonCaller,
    signal_queue_class,
)

CALLERS = {"JSON lines": JsonCaller, "IAX2": Iax2Caller}
PLANS = {
    "caller hangs up": ["answer"],
    "switch releases": ["answer"],
    "switch refuses": ["refuse", "answer"],
    "caller gives up": ["silent", "answer"],
    "connection is lost": ["reset", "answer"],
}
REFUSALS = {False: "486", True: "17"}  # user busy, by SIP and by IAX2
LIVES = [
    (front, iax2_switch, life)
    for front in CALLERS
    for iax2_switch in (False, True)
    for life in PLANS
    if not (iax2_switch and life == "connection is lost")  # IAX2 has no connections
]
MAX_STEPS = 200


async def play(gatekeeper, caller, life):
    """Play one call to its end; errors may end it at any point."""
    caller.call()
    if life == "caller gives up":
        await gatekeeper.wait_until(lambda: caller.heard() or at_switch(gatekeeper))
        if not caller.heard():
            caller.hang_up()
        return
    await gatekeeper.wait_until(caller.heard)
    if caller.heard() == ["answer"] and life == "switch releases":
        release_at_switch(gatekeeper)
        await gatekeeper.wait_until(lambda: caller.heard() == ["answer", "release"])
    elif caller.heard() == ["answer"]:
        caller.hang_up()


def at_switch(gatekeeper):
    return gatekeeper.stand_in.calls if gatekeeper.iax2_switch else gatekeeper.stand_in.open_calls


def release_at_switch(gatekeeper):
    if gatekeeper.iax2_switch:
        for call in gatekeeper.stand_in.calls.values():
            if call.ended_at is None:
                call.hang_up()
    else:
        for call_id in list(gatekeeper.stand_in.open_calls):
            gatekeeper.stand_in.open_calls.discard(call_id)
            gatekeeper.stand_in.bye(call_id)


async def play_with_error(front, iax2_switch, life, fail_at):
    """Play a call with an error at this step, then one without; returns the steps counted, and what is wrong."""
    injector = ErrorInjector()
    plan = [REFUSALS[iax2_switch] if action == "refuse" else action for action in PLANS[life]]
    async with InProcessGatekeeper(injector, plan, iax2_switch) as gatekeeper:
        caller = await CALLERS[front](gatekeeper).start()
        try:
            offer = gatekeeper.gatekeeper.offer

            def offer_with_steps(*args):
                call = offer(*args)
                if call:
                    call.signals.__class__ = signal_queue_class(injector)
                return call

            gatekeeper.gatekeeper.offer = offer_with_steps
            before = gatekeeper.connections()
            injector.active, injector.fail_at = True, fail_at
            problems = []
            try:
                await play(gatekeeper, caller, life)
                await gatekeeper.wait_until(lambda: not gatekeeper.open_state())
            except TimeoutError:
                problems.append(f"not over: {gatekeeper.open_state()}; heard {caller.heard()}")
            injector.active = False
            if life != "caller gives up" and caller.heard()[:2] not in (
                ["answer", "release"],
                ["release"],
                ["answer"],
            ):
                problems.append(f"the caller heard {caller.heard()}")
            if caller.heard().count("answer") > 1 or caller.heard().count("release") > 1:
                problems.append(f"the caller heard {caller.heard()}")
            if not problems:
                gatekeeper.stand_in.plan = ["answer"]
                caller.call()
                try:
                    await gatekeeper.wait_until(caller.heard)
                except TimeoutError:
                    problems.append("no answer to the next call")
                if caller.heard() != ["answer"]:
                    problems.append(f"the next call heard {caller.heard()}")
            if life != "connection is lost" and gatekeeper.connections()[: len(before)] != before:
                problems.append(f"connections {before} became {gatekeeper.connections()}")
            if problems:
                problems = [f"step {fail_at}, {injector.failed_step}: {problem}" for problem in problems]
                problems += [line for line in gatekeeper.lines if "error" in line]
            return injector.count, problems
        finally:
            caller.close()


@pytest.mark.parametrize(("front", "iax2_switch", "life"), LIVES)
@async_test
async def test_an_error_at_any_step_of_a_call_ends_as_one_failed_call(front, iax2_switch, life):
    steps, problems = await play_with_error(front, iax2_switch, life, None)
    assert problems == [] and 5 < steps < MAX_STEPS
    for fail_at in range(1, steps + 1):
        _, found = await play_with_error(front, iax2_switch, life, fail_at)
        problems += found
    print(f"{front}, {life}: {steps} steps")
    assert problems == []
