"""A hang-up on a connection of the process that is being replaced. See claim.txt."""

import asyncio

from lib2.standins import Caller, deployment, main

PASS_ON_LIMIT_S = 8.0 + 0.05  # the longest time that the pages give for any end of a call


async def body(run):
    platform, switches = await deployment(run)
    slow = switches[2]
    slow.answer_after_s = None  # its processor is busy: this set-up is answered late, but in its time
    old = await platform.start("A")
    await platform.ready(old)
    first = await Caller(run, "caller connection 1").connect(platform.listen_port)
    await first.answered(first.set_up(1))
    waiting = first.set_up(2, left_ms=3000)
    await run.wait_until(lambda: slow.of(waiting), 2, "the set-up at the slow switch")
    if run.trouble:
        await platform.replace(old, "B")
    # The caller opens a second connection, and its next call stands.
    second = await Caller(run, "caller connection 2").connect(platform.listen_port)
    call = second.set_up(1)
    await second.answered(call)
    await asyncio.sleep(0.5)
    if first.closed_at:
        raise RuntimeError("the first connection was closed, though a set-up is open on it")
    # It hangs up on the first connection, on which its other set-up is still open.
    first.send("release", call, cause=16)
    hung_up_at = run.now()
    await asyncio.sleep(0.5)
    slow.answer(slow.of(waiting)[0])
    await asyncio.sleep(PASS_ON_LIMIT_S)
    attempt = switches[1].of(call)[0]
    if attempt.bye_received_at is None:
        run.broken(
            f"call {call} was hung up by its caller at {hung_up_at:.3f}; the switch had got no release of it "
            f"{run.now() - hung_up_at:.1f} s later, and the call still stands there ({attempt.state})"
        )
    elif attempt.bye_received_at > hung_up_at + PASS_ON_LIMIT_S:
        run.broken(f"call {call} was released at the switch only at {attempt.bye_received_at:.3f}")


main(body, __file__)
