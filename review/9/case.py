"""The id of an open request with another description, while a process is being replaced. See claim.txt."""

import asyncio

from lib2.standins import Caller, deployment, main


async def body(run):
    platform, switches = await deployment(run)
    slow = switches[2]
    slow.answer_after_s = None
    old = await platform.start("A")
    await platform.ready(old)
    first = await Caller(run, "bad client, connection 1").connect(platform.listen_port)
    call = first.set_up(2, left_ms=3600)  # 40% of the time of the class
    await run.wait_until(lambda: slow.of(call), 2, "the set-up at the slow switch")
    if run.trouble:
        await platform.replace(old, "B")
    slow.answer_after_s = 0.2
    second = await Caller(run, "bad client, connection 2").connect(platform.listen_port)
    second.set_up(2, left_ms=1500, call_id=call)
    await asyncio.sleep(2.5)
    for attempt in slow.of(call):
        if attempt.earlier:
            run.broken(f"set-up {call} reached the switch while an attempt of the same call was out")
    if second.of(call, "answer"):
        run.broken(f"the second set-up with the id {call} was answered 'served'")


main(body, __file__)
