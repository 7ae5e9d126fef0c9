"""A second copy of a refusal ends the next attempt of the call, and a third is sent while the second is out."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))

from standins import TROUBLE, CannotRun, Switch, World, main  # noqa: E402

CALLS, INTERVAL_S = 2200, 0.025
HOLDING_S = 3.0
ANSWER_DELAY_S = 0.15  # of a switch that is in no hurry
ERROR_AT = 501  # the one set-up of each switch that gets an error: 1 of more than 1,000
SECOND_COPY_EVERY = 3  # of the set-ups that a switch reads
SECOND_COPY_DELAY_S = 0.005  # "some milliseconds late"
SLACK_S = 0.05  # the pages' slack


def make_switch(name, number, record):
    switch = Switch(name, number, record, size=140)
    count = 0

    def end(call_id):
        if call_id in switch.standing:
            switch.bye(call_id)

    def second_copy(call_id, writer, status, body):
        record(name, f"wrote a second copy of {status} to INVITE {call_id}")
        switch.send(writer, f"SIP/2.0 {status} No", call_id, "1 INVITE", body=body)

    def answer(call_id, writer, copied):
        if writer not in switch.open.get(call_id, ()):
            return
        switch.answer(call_id, writer)
        switch.later(HOLDING_S, end, call_id)
        if copied:
            switch.later(SECOND_COPY_DELAY_S, second_copy, call_id, writer, 200, switch.description(call_id))

    def on_invite(call_id, writer):
        nonlocal count
        count += 1
        copied = TROUBLE and count % SECOND_COPY_EVERY == 0
        if count == ERROR_AT:
            switch.refuse(call_id, writer, 500)
            if copied:
                switch.later(SECOND_COPY_DELAY_S, second_copy, call_id, writer, 500, "")
        else:
            switch.later(ANSWER_DELAY_S, answer, call_id, writer, copied)

    switch.on_invite = on_invite
    return switch


async def play(record):
    switches = [make_switch(name, number, record) for number, name in enumerate(("s-oujda", "s-casa"), 1)]
    async with World(record, *switches) as world:
        caller, started = await world.caller(), time.monotonic()
        calls = []
        for index in range(CALLS):
            calls.append(caller.set_up(1 + index % 2))
            await asyncio.sleep(max(0.0, started + (index + 1) * INTERVAL_S - time.monotonic()))
        rows = [await caller.wait(call_id) for call_id in calls]
        record(
            "case",
            f"{sum(row is not None and row['type'] == 'answer' for row in rows)} of {CALLS} calls served",
        )
        for switch in switches:
            record("case", f"{switch.name}: {len(switch.attempts)} set-ups read, 1 got an error")
            if len(switch.attempts) < 1000:
                raise CannotRun("too few set-ups for the share of errors that the site allows")
        await asyncio.sleep(HOLDING_S + 0.5)
    breaches = []
    for switch in switches:
        for earlier, later in pairs_of_one_call(switch.attempts):
            ended = earlier[2] if earlier[2] is not None else later[1] + 60
            if later[1] < ended - SLACK_S:
                breaches.append(
                    f"call {later[0]}: two attempts out at {switch.name} at once, for {ended - later[1]:.3f} s"
                )
    return breaches


def pairs_of_one_call(attempts):
    """Each attempt with the one before it of the same call, in the order in which they were read."""
    last = {}
    for attempt in attempts:
        if attempt[0] in last:
            yield last[attempt[0]], attempt
        last[attempt[0]] = attempt


main(FOLDER, play)
