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


async def cut_discovery_off(world):
    await world.channel_proxy.set_fault(Fault.REFUSE)
    world.channel_proxy.reset_connections()


@program
async def test_a_switch_that_is_back_after_a_partition_keeps_its_calls():
    # Guards against cutting what still stands: the release of one call shows that the process is the same.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        first, *others = await standing(caller, 1, 3)
        await cut_discovery_off(world)
        await switch.proxy.set_fault(Fault.SILENT)
        switch.untold[first] = 16
        await asyncio.sleep(4)
        await switch.proxy.set_fault(Fault.NONE)
        assert set(await releases(caller, QUIET_S)) == {first}
        for call in others:
            switch.bye(call, writer=switch.writers[-1])
            assert (await caller.next(call))["type"] == "release"


@pytest.mark.parametrize("away_s", [0, 3])
@program
async def test_another_process_at_the_address_holds_none_of_the_calls_from_before(away_s):
    # A process that dies resets its connections; a machine that vanishes does not.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        over = await standing(caller, 1, 3)
        await cut_discovery_off(world)
        successor = await world.add(Switch("s-1", 1))
        switch.proxy.target = successor.port
        if away_s:
            await switch.proxy.set_fault(Fault.SILENT)
            began = asyncio.get_running_loop().time()
            await asyncio.sleep(away_s)
            await switch.proxy.set_fault(Fault.NONE)
        else:
            switch.proxy.reset_connections()
            began = asyncio.get_running_loop().time()
        left = began + TOLD_S - asyncio.get_running_loop().time()
        assert set(await releases(caller, left)) == set(over)
        (fresh,) = await standing(caller, 1, 1)
        assert await releases(caller, 1) == {}
        successor.bye(fresh)


@program
async def test_a_hung_switch_loses_its_calls_though_its_connections_come_up():
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        over = await standing(caller, 1, 3)
        await switch.proxy.set_fault(Fault.HANG)  # discovery is there, and sees a process that runs
        assert set(await releases(caller, TOLD_S)) == set(over)
        # Released at the switch too, should it ever come back.
        await switch.proxy.set_fault(Fault.NONE)
        heard = {(await switch.next("BYE"))[1] for _ in over}
        assert heard == set(over)


@program
async def test_a_reset_connection_costs_no_call_while_discovery_is_heard():
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        await asyncio.sleep(1.5)  # discovery has said that it is there
        calls = await standing(caller, 1, 3)
        switch.proxy.reset_connections()
        assert await releases(caller, QUIET_S) == {}
        for call in calls:
            switch.bye(call, writer=switch.writers[-1])
            assert (await caller.next(call))["type"] == "release"


@program
async def test_a_release_into_a_silent_connection_is_heard_on_one_that_is_opened_for_it():
    # The switch believes the silent connection to be open, and sends there what concerns its calls.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        early, late = await standing(caller, 1, 2)
        switch.proxy.silence_connections()
        for call, seconds in ((early, 0.0), (late, 2.0)):
            await asyncio.sleep(seconds)
            switch.bye(call)
            switch.untold[call] = 16
            assert set(await releases(caller, 6)) == {call}


@program
async def test_calls_on_a_switch_whose_address_another_one_takes_are_over_at_once():
    # Discovery tells of the newcomer first, and of the one that has gone much later.
    old = Switch("s-old", 1)
    async with World(old, proxied=True) as world:
        caller = await world.caller()
        over = await standing(caller, 1, 2)
        new = await world.add(Switch("s-new", 1))
        new.proxy, old.proxy.target = old.proxy, new.port
        world.channel.event(new.entry())
        assert set(await releases(caller, 2)) == set(over)
        await standing(caller, 1, 1)
        assert old.count("INVITE") == 2 and new.count("INVITE") == 1 and new.count("BYE") == 0


@program
async def test_a_late_answer_on_another_connection_does_not_end_the_newer_attempt():
    # After a silent end two connections may be open: the late answer to an attempt that was given up comes on
    # one, and the call stands by a newer attempt, under the same Call-ID, on the other.
    switch = Switch("s-1", 1, plan=["answer", "silent", "answer"])
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        (standing_call,) = await standing(caller, 1, 1)
        call = caller.set_up(1)
        await switch.next("INVITE", call)
        first = switch.origin[call]
        switch.proxy.silence_connections()  # the attempt is given up with its connection, and made again
        assert (await caller.next(call))["type"] == "answer"
        assert switch.origin[call] is not first
        # At the start, for the attempt, and for releases that may be lost.
        await world.logged("connection opened", times=3)
        other = next(one for one in switch.writers if one not in (first, switch.origin[call]))
        switch.send(other, "SIP/2.0 200 OK", call, "1 INVITE", body="late \r\nv=0\r\n")
        byes = switch.count("BYE")
        assert await releases(caller, 1) == {} and switch.count("BYE") == byes
        for one in (call, standing_call):
            switch.bye(one, writer=switch.origin[call])
            assert (await caller.next(one))["type"] == "release"


@program
async def test_a_release_into_an_idle_silent_connection_is_heard_while_its_call_is_adrift():
    # The call's own connection has gone, so the switch chooses any: here one that carries nothing and is silent.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        (call,) = await standing(caller, 1, 1)
        switch.proxy.silence_connections()
        await world.logged("connection opened", times=3)
        for number in (1, 2):
            switch.proxy.connections[number].silent = number == 1
        switch.bye(call, writer=switch.writers[1])
        switch.untold[call] = 16
        assert set(await releases(caller, 2)) == {call}
