"""A reset of idle connections to switches while a process is being replaced. See claim.txt."""

import asyncio

from lib2.standins import Caller, deployment, main

RELEASE_LIMIT_S = 1.0 + 0.05  # PROTOCOL: within 1 s of the release by the switch; 50 ms longer on sockets
WATCH_S = 8.0 + 0.05  # PROTOCOL: the longest that an end may stay untold


async def body(run):
    platform, switches = await deployment(run)
    old = await platform.start("A")
    await platform.ready(old)
    first = await Caller(run, "caller 1").connect(platform.listen_port)
    calls = [first.set_up(number) for number in (1, 2, 3)]
    for call in calls:
        await first.answered(call)
    await platform.replace(old, "B")
    await run.wait_until(lambda: first.closed_at, 2, "the close of the caller's connection")
    second = await Caller(run, "caller 2").connect(platform.listen_port)
    await second.answered(second.set_up(4))
    attempts = [switch.of(call)[0] for switch, call in zip(switches[1:4], calls, strict=True)]
    if run.trouble:
        for switch, attempt in zip(switches[1:4], attempts, strict=True):
            switch.reset(attempt.link)
    await asyncio.sleep(1.0)
    for switch, attempt in zip(switches[1:4], attempts, strict=True):
        # Its own connection has gone, so any open one will do: the one that has been open for longest.
        switch.note(f"open connections: {[link.number for link in switch.links]}")
        switch.end_call(attempt, switch.links[0])
    if old.returncode is not None:
        raise RuntimeError("the old process ended before the calls did")
    await asyncio.sleep(WATCH_S)
    await run.until_alone(old)
    for call, attempt in zip(calls, attempts, strict=True):
        told = [at for caller in (first, second) for at, _ in caller.of(call, "release")]
        if not told or told[0] > attempt.bye_sent_at + RELEASE_LIMIT_S:
            run.broken(
                f"call {call} was released by the switch at {attempt.bye_sent_at:.3f}; its caller was told "
                f"{f'at {told[0]:.3f}' if told else 'nothing by the end of the run'}"
            )


main(body, __file__)
