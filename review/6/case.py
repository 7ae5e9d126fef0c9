"""A release with a figure out of range, sent while two processes share the address. See claim.txt."""

import asyncio
import secrets

from lib2.standins import Caller, deployment, main

RELEASE_LIMIT_S = 1.0 + 0.05  # PROTOCOL: within 1 s; each time limit is 50 ms longer on sockets
NO_ROUTE_LIMIT_S = 8.0 + 0.05  # PROTOCOL: within 8 s of its end if no release could be sent


async def body(run):
    platform, switches = await deployment(run)
    old = await platform.start("A")
    await platform.ready(old)
    first = await Caller(run, "caller 1").connect(platform.listen_port)
    calls = [first.set_up(number) for number in (1, 2, 3)]
    for call in calls:
        await first.answered(call)
    await platform.replace(old, "B")
    # The old process has closed the idle connection; the caller's next call comes on a new one.
    await run.wait_until(lambda: first.closed_at, 2, "the close of the caller's connection")
    second = await Caller(run, "caller 2").connect(platform.listen_port)
    await second.answered(second.set_up(4))
    await asyncio.sleep(0.5)
    if run.trouble:
        bad = await Caller(run, "bad client").connect(platform.listen_port)
        bad.send_raw(f'{{"type":"release","id":"{secrets.token_hex(8)}","fields":{{}},"cause":{"9" * 4200}}}')
    await asyncio.sleep(NO_ROUTE_LIMIT_S + 2)
    await run.until_alone(old)
    for call in calls:
        attempt = next(attempt for switch in switches for attempt in switch.of(call))
        if attempt.bye_received_at is None:
            continue
        told = [at for caller in (first, second) for at, _ in caller.of(call, "release")]
        if not told or told[0] > attempt.bye_received_at + RELEASE_LIMIT_S:
            run.broken(
                f"call {call} stood and was released by the gatekeeper at {attempt.bye_received_at:.3f}; its caller "
                f"was told {f'at {told[0]:.3f}' if told else 'nothing by the end of the run'}"
            )


main(body, __file__)
