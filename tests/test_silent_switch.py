"""Calls that stand on a carrier switch which gives no sign any more: their callers are told in time, and no others.

The program runs as a process; switches and discovery are reached through fault proxies on loopback.
"""

import asyncio

import pytest

from tansyspur.faults.proxy import Fault
from tests.test_program import program
from tests.world import Switch, World

TOLD_S = (
    8.05  # PROTOCOL, "The rules on sockets": what is over is told by then, where no release could be sent
)
QUIET_S = 9.0  # a call that is not over is not told to be so in this time


async def standing(caller, number, count):
    """So many calls that stand on the switch with this number."""
    calls = [caller.set_up(number) for _ in range(count)]
    for call in calls:
        assert (await caller.next(call))["type"] == "answer"
    return calls


async def releases(caller, seconds):
    """Each call that is told to be over, and after how long, from now on."""
    loop = asyncio.get_running_loop()
    start, told = loop.time(), {}
    while (left := start + seconds - loop.time()) > 0:
        try:
            async with asyncio.timeout(left):
                row = await caller.next(kind="release")
        except TimeoutError:
            break
        assert row["id"] not in told, "told twice"
        told[row["id"]] = loop.time() - start
    return told


@pytest.mark.parametrize("discovery", [Fault.REFUSE, Fault.SILENT])
@program
async def test_ends_on_a_vanished_switch_are_told_in_time_while_discovery_is_down(discovery):
    # Incident of 2026-12-02, issue 16.
    gone, there = Switch("s-1", 1), Switch("s-2", 2)
    async with World(gone, there, proxied=True) as world:
        caller = await world.caller()
        over, kept = await standing(caller, 1, 3), await standing(caller, 2, 2)
        await world.channel_proxy.set_fault(discovery)
        world.channel_proxy.reset_connections()
        await gone.proxy.set_fault(Fault.SILENT)
        told = await releases(caller, TOLD_S)
        assert set(told) == set(over), f"told {told}"
        for call in kept:
            there.bye(call)
            assert (await caller.next(call))["type"] == "release"
