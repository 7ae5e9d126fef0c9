"""The ends of calls in a quiet hour, after a process has been replaced. See claim.txt."""

import asyncio

from lib2.standins import Caller, deployment, main

RELEASE_LIMIT_S = 1.0 + 0.05  # PROTOCOL: within 1 s of the release by the switch; 50 ms longer on sockets
WATCH_S = 8.0 + 0.05  # PROTOCOL: the longest that an end may stay untold


async def body(run):
    platform, switches = await deployment(run)
    old = await platform.start("A")
    await platform.ready(old)
    callers = [await Caller(run, "caller 1").connect(platform.listen_port)]
    calls = [callers[0].set_up(number) for number in (1, 2, 3)]
    for call in calls:
        await callers[0].answered(call)
    if run.trouble:
        await platform.replace(old, "B")
        # The old process closes the caller's connection. The caller is back at once, and has no further call to make.
        await run.wait_until(lambda: callers[0].closed_at, 2, "the close of the caller's connection")
        callers.append(await Caller(run, "caller 2").connect(platform.listen_port))
    await asyncio.sleep(1.0)
    attempts = [switch.of(call)[0] for switch, call in zip(switches[1:4], calls, strict=True)]
    if run.trouble and old.returncode is not None:
        raise RuntimeError("the old process ended before the calls did")
    for switch, attempt in zip(switches[1:4], attempts, strict=True):
        switch.end_call(attempt)
    await asyncio.sleep(RELEASE_LIMIT_S)
    if callers[-1].closed_at:
        raise RuntimeError("the caller's connection was closed before the time for the releases was over")
    await asyncio.sleep(WATCH_S - RELEASE_LIMIT_S)
    for call, attempt in zip(calls, attempts, strict=True):
        told = [at for caller in callers for at, _ in caller.of(call, "release")]
        if not told or told[0] > attempt.bye_sent_at + RELEASE_LIMIT_S:
            run.broken(
                f"call {call} was released by the switch at {attempt.bye_sent_at:.3f}; its caller was told "
                f"{f'at {told[0]:.3f}' if told else 'nothing by the end of the run'}"
            )


main(body, __file__)
