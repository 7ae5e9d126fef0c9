"""Discovery is down for 8 s while a process is being replaced. See claim.txt."""

import asyncio

from lib2.standins import Caller, deployment, main

DOWN_S = 8.0  # STANDING, herd+mass: "discovery is down for 8 s, into the start of a release"
BINDING_AFTER_YES_S = 2.0  # LATER: "What the command channel tells is binding from 2 s after the yes"
DRAIN_LIMIT_S = 0.25 + 0.05  # drain-grace-ns of the settings; 50 ms longer on sockets


async def body(run):
    platform, switches = await deployment(run)
    channel, draining = platform.channel, switches[1]
    old = await platform.start("A")
    await platform.ready(old)
    first = await Caller(run, "caller 1").connect(platform.listen_port)
    await first.answered(first.set_up(1))
    channel.event(draining.entry("draining"))
    await asyncio.sleep(1.0)
    # The gatekeeper has been told: it sends nothing more there.
    for _ in range(4):
        first.set_up(1, left_ms=1500)
        await asyncio.sleep(0.25)
    if len(draining.attempts) != 1:
        raise RuntimeError("the process that was told of the drain sent a set-up to the switch")
    down_at = run.now()
    if run.trouble:
        channel.stop()
    await platform.replace(old, "B")
    yes_at = run.now()
    second = await Caller(run, "caller 2").connect(platform.listen_port)
    while run.now() < down_at + DOWN_S + 3:
        second.set_up(1, left_ms=1500)
        if run.trouble and run.now() > down_at + DOWN_S and not channel.server.is_serving():
            await channel.start()
        await asyncio.sleep(0.1)
    for attempt in draining.attempts:
        if attempt.received_at > yes_at + BINDING_AFTER_YES_S + DRAIN_LIMIT_S:
            run.broken(
                f"set-up {attempt.call_id} reached the draining switch at {attempt.received_at:.3f}, "
                f"{attempt.received_at - yes_at:.3f} s after the yes"
            )


main(body, __file__)
