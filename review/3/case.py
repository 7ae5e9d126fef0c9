"""A handset that was turned away dials the same number again under the same call number: it is never answered."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.path.insert(0, str(FOLDER))

from handset import Handset  # noqa: E402
from standins import TROUBLE, CannotRun, World, free_port, main, quick_switch  # noqa: E402

HANDSETS, BACKOFF_S, TRIES = 5, 1.5, 3  # site: backoff_ms 480 to 1500, up to 3 further tries
DEADLINE_S = 3.0
LOST_AFTER_S = 0.5 + 0.05  # STANDING's half second, and PROTOCOL's 50 ms
OPERATOR = """
[iax2]
listen = "127.0.0.1:{port}"
guests = true

[[iax2.number]]
prefix = "21"
exchange = 1
class = "box-lookup"
deadline_ms = 3000
"""


async def play(record):
    switch = quick_switch("s-oujda", 1, record)
    answer, full = switch.on_invite, True

    def on_invite(call_id, writer):
        if full:  # the processor is full: the set-up never ran
            return switch.later(0.02, switch.refuse, call_id, writer, 503, "X-Cause: cpu_full")
        return answer(call_id, writer)

    switch.on_invite = on_invite
    port = free_port()
    async with World(record, switch, operator=OPERATOR.format(port=port)) as world:
        handsets = [
            await Handset(record, f"handset {n + 1}", ("127.0.0.1", port)).start() for n in range(HANDSETS)
        ]
        unanswered = []

        async def call(handset, n):
            nonlocal full
            limit_s = DEADLINE_S + LOST_AFTER_S
            await asyncio.sleep(0.3 * n)
            handset.dial(f"21{n:02}")
            first = await handset.wait_final(limit_s)
            if first is None or not first.startswith("HANGUP"):
                raise CannotRun(f"the first try was not refused: {first}")
            for attempt in range(TRIES if TROUBLE else 0):
                await asyncio.sleep(BACKOFF_S)
                full = False  # the switch has room by now
                handset.dial(f"21{n:02}")
                final = await handset.wait_final(limit_s)
                record("case", f"{handset.name}, try {attempt + 2}: {final or 'no final answer'}")
                if final is None:
                    unanswered.append(handset.name)
                    return
                if final == "ANSWER":
                    await asyncio.sleep(1)
                    handset.hang_up()
                    return

        await asyncio.gather(*(call(handset, n) for n, handset in enumerate(handsets)))
        record("gatekeeper", (await world.console("METRICS", world.console_port)).replace("\n", " "))
        for handset in handsets:
            handset.close()
    return [f"{name}: no final answer to its second try" for name in unanswered]


main(FOLDER, play)
