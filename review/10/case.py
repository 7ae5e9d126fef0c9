"""An answer whose length does not fit its description. See claim.txt."""

import asyncio

from lib2.standins import Caller, deployment, main

SPOILT = 6  # this answer of the run, and no other


def spoil(run, switch):
    """Let the switch write a Content-Length that is short by the last line of the description."""
    send = switch.send

    def send_with_wrong_length(link, start, call_id, cseq, *headers, body=b""):
        if cseq != "1 INVITE" or not body:
            return send(link, start, call_id, cseq, *headers, body=body)
        length = body.rindex(b"m=audio")
        switch.note(f"the answer to {call_id} states {length} bytes and has {len(body)}")
        head = [start, "Via: SIP/2.0/TCP peer", f"Call-ID: {call_id}", f"CSeq: {cseq}", *headers]
        link.write("\r\n".join([*head, f"Content-Length: {length}", "", ""]).encode() + body)
        switch.send = send

    switch.send = send_with_wrong_length


async def body(run):
    platform, switches = await deployment(run)
    process = await platform.start("A")
    await platform.ready(process)
    caller = await Caller(run, "caller").connect(platform.listen_port)
    calls = []
    for index in range(12):
        number = 1 + index % 4
        if run.trouble and index == SPOILT:
            spoil(run, switches[number])
        calls.append(caller.set_up(number))
        await asyncio.sleep(0.5)
    await asyncio.sleep(3)
    for call in calls:
        given = [
            attempt.description for switch in switches for attempt in switch.of(call) if attempt.answered_at
        ]
        for _, message in caller.of(call, "answer"):
            if message["sdp"] not in given:
                run.broken(f"call {call} was answered with {message['sdp']!r}; the switch gave {given!r}")
        if not caller.of(call, "answer", "release"):
            run.broken(f"call {call} got no answer")


main(body, __file__)
