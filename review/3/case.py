"""Discovery is slow to answer: the gatekeeper never hears from it, and sends on to a switch that drains."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import TROUBLE, CannotRun, World, main, quick_switch  # noqa: E402

ANSWER_DELAY_S = 3.0  # from `resume N` to the first line; later lines are on time
LENGTH_S, INTERVAL_S, DRAIN_AT_S = 30.0, 0.1, 10.0
TOLD_AFTER_S = 7.0  # PROTOCOL: told 7 s later at the latest, whether it arrived or not
DRAIN_GRACE_S = 0.25 + 0.05  # the settings' drain-grace-ns, and PROTOCOL's 50 ms


async def play(record):
    names = ("s-oujda", "s-casa", "s-marrakech")
    switches = [quick_switch(name, number, record) for number, name in enumerate(names, 1)]
    drained = switches[0]
    world = World(record, *switches)
    world.discovery.answer_delay_s = ANSWER_DELAY_S if TROUBLE else 0.0
    async with world:
        caller = await world.caller()
        started, told_at, count = time.monotonic(), None, 0
        while (now := time.monotonic() - started) < LENGTH_S:
            if told_at is None and now >= DRAIN_AT_S:
                told_at = time.monotonic()
                record("discovery", f"event {len(world.discovery.events) + 1}: {drained.name} is draining")
                world.discovery.event(drained.entry(status="draining"))
            caller.set_up(1 + count % len(switches))
            count += 1
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(4)
        limit_s = TOLD_AFTER_S + DRAIN_GRACE_S
        before = [read_at for _, read_at, _ in drained.attempts if read_at < told_at]
        late = [(call_id, read_at - told_at) for call_id, read_at, _ in drained.attempts]
        late = [(call_id, after_s) for call_id, after_s in late if after_s > limit_s]
        if len(before) < 0.9 * DRAIN_AT_S / INTERVAL_S / len(switches):
            raise CannotRun("calls before the drain were not served")
        for call_id, after_s in late:
            record("case", f"{drained.name} read set-up {call_id} {after_s:.2f} s after its drain was told")
        record(
            "case", f"{drained.name} read {len(before)} set-ups before its drain, {len(late)} too late after"
        )
    if not late:
        return []
    return [
        f"{len(late)} new set-ups to {drained.name} more than {limit_s:.2f} s after its drain was in the command "
        f"channel, the last one {late[-1][1]:.1f} s after"
    ]


main(FOLDER, play)
