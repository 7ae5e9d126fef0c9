"""During a replacement, a caller's release on a connection of the old process never reaches a call of the new one."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from standins import TROUBLE, CannotRun, Switch, World, main  # noqa: E402

LONG_ANSWER_S = 3.0  # wait at the busy switch (BRIEF: it turns set-ups away beyond 1.1 to 3.4 s)
KILL_AFTER_S = 5.7  # LATER: SIGKILL comes after the longest deadline, 5 s at most, and 0.7 s
UNCHECKED_AFTER_S = 5.0  # LATER: what a gatekeeper holds is not checked until 5 s after both processes ran
RELEASE_LIMIT_S = 8.05  # PROTOCOL: 8 s, and 50 ms


async def play(record):
    quick, slow = Switch("s-oujda", 1, record), Switch("s-casa", 2, record)
    quick.on_invite = lambda call_id, writer: quick.later(0.05, quick.answer, call_id, writer)
    slow.on_invite = lambda call_id, writer: slow.later(LONG_ANSWER_S, slow.answer, call_id, writer)
    async with World(record, quick, slow) as world:
        first = await world.caller()
        if (await first.wait(first.set_up(1)))["type"] != "answer":
            raise CannotRun("the first call was not served")
        old = world.process
        if TROUBLE:
            _, world.console_port = await world.launch()
        long_call = first.set_up(2, left_ms=3500)  # keeps the first connection in use
        while not slow.attempts:
            await asyncio.sleep(0.005)
        if TROUBLE:
            record("platform", "SIGTERM to the old process: the new one is ready")
            old.send_signal(signal.SIGTERM)
            kill_at = time.monotonic() + KILL_AFTER_S
        await asyncio.sleep(0.3)
        # A second connection of the same caller; calls are set up on it, and hung up on either.
        second = await world.caller()
        calls = [second.set_up(1) for _ in range(6)]
        for call_id in calls:
            row = await second.wait(call_id)
            if row is None or row["type"] != "answer":
                raise CannotRun("a call was not served")
        await asyncio.sleep(0.5)
        if first.closed:
            raise CannotRun("the first connection was closed early")
        hung_up = {}
        for index, call_id in enumerate(calls):
            connection = first if index % 2 else second
            connection.send("release", call_id, cause=16)
            hung_up[call_id] = time.monotonic()
        record("case", "calls hung up on the first connection: " + " ".join(calls[1::2]))
        await first.wait(long_call, timeout_s=6)
        both_until = time.monotonic()
        if TROUBLE:
            while old.returncode is None and time.monotonic() < kill_at:
                await asyncio.sleep(0.05)
            if old.returncode is None:
                record("platform", "SIGKILL to the old process")
                old.kill()
                await old.wait()
            both_until = time.monotonic()
            record("platform", "the old process has ended")
        check_at = max(both_until + UNCHECKED_AFTER_S, max(hung_up.values()) + RELEASE_LIMIT_S) + 1
        record("case", f"checking in {check_at - time.monotonic():.1f} s")
        await asyncio.sleep(check_at - time.monotonic())
        breaches = []
        for call_id in calls:
            released = quick.released.get(call_id)
            heard = [row["type"] for caller in (first, second) for _, row in caller.rows.get(call_id, ())]
            if released is None and call_id in quick.standing:
                breaches.append(
                    f"call {call_id}: hung up {time.monotonic() - hung_up[call_id]:.1f} s ago, the caller heard "
                    f"{'+'.join(heard)}; it still stands at {quick.name}, which got no BYE"
                )
        record("gatekeeper", (await world.console("METRICS", world.console_port)).replace("\n", " "))
        for switch in (quick, slow):
            for call_id in list(switch.standing):
                switch.bye(call_id)
        await asyncio.sleep(0.5)
    return breaches


main(FOLDER, play)
