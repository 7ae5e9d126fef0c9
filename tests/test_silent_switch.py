"""Standing calls on a carrier switch that no longer responds are released to their callers in time; no others are.

A switch that vanishes, hangs or is replaced at its address sends no releases. Without leases its calls would stay
standing for ever, above all while discovery is down and reports nothing.

The program runs as a process; switches and discovery are reached through fault proxies on loopback.
"""

import asyncio

import pytest

from tansyspur.faults.proxy import Fault
from tests.async_runner import async_test
from tests.world import Switch, World

# PROTOCOL, "The rules on sockets": the end of a call is reported within this time where no release could be sent.
REPORT_LIMIT_S = 8.05
OBSERVATION_S = 9.0  # a call that has not ended must not be released within this time


async def set_up_standing(caller, number, count):
    """Set up count calls to the exchange number, and return their ids once they are answered."""
    calls = [caller.set_up(number) for _ in range(count)]
    for call in calls:
        assert (await caller.next(call))["type"] == "answer"
    return calls


async def collect_releases(caller, seconds):
    """Return the calls that are released within the given seconds, each with the time in seconds until then."""
    loop = asyncio.get_running_loop()
    start, release_times = loop.time(), {}
    while (remaining_s := start + seconds - loop.time()) > 0:
        try:
            async with asyncio.timeout(remaining_s):
                row = await caller.next(message_type="release")
        except TimeoutError:
            break
        assert row["id"] not in release_times, "released twice"
        release_times[row["id"]] = loop.time() - start
    return release_times


@pytest.mark.parametrize("discovery", [Fault.REFUSE, Fault.SILENT])
@async_test
async def test_calls_on_a_vanished_switch_are_released_in_time_while_discovery_is_down(discovery):
    # Incident of 2026-12-02, issue 16.
    vanished, remaining = Switch("s-1", 1), Switch("s-2", 2)
    async with World(vanished, remaining, proxied=True) as world:
        caller = await world.caller()
        ended_calls, kept_calls = await set_up_standing(caller, 1, 3), await set_up_standing(caller, 2, 2)
        await world.channel_proxy.set_fault(discovery)
        world.channel_proxy.reset_connections()
        await vanished.proxy.set_fault(Fault.SILENT)
        release_times = await collect_releases(caller, REPORT_LIMIT_S)
        assert set(release_times) == set(ended_calls), f"released: {release_times}"
        for call in kept_calls:
            remaining.bye(call)
            assert (await caller.next(call))["type"] == "release"


async def cut_off_discovery(world):
    await world.channel_proxy.set_fault(Fault.REFUSE)
    world.channel_proxy.reset_connections()


@async_test
async def test_a_switch_that_returns_after_a_partition_keeps_its_calls():
    # The release of one call shows that the process is the same, so the other calls must not be cut.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        first, *others = await set_up_standing(caller, 1, 3)
        await cut_off_discovery(world)
        await switch.proxy.set_fault(Fault.SILENT)
        switch.pending_releases[first] = 16
        await asyncio.sleep(4)
        await switch.proxy.set_fault(Fault.NONE)
        assert set(await collect_releases(caller, OBSERVATION_S)) == {first}
        for call in others:
            switch.bye(call, writer=switch.writers[-1])
            assert (await caller.next(call))["type"] == "release"


@pytest.mark.parametrize("away_s", [0, 3])
@async_test
async def test_a_new_process_at_the_address_holds_none_of_the_earlier_calls(away_s):
    # A process that dies resets its connections; a machine that vanishes does not.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        ended_calls = await set_up_standing(caller, 1, 3)
        await cut_off_discovery(world)
        successor = await world.add(Switch("s-1", 1))
        switch.proxy.target = successor.port
        if away_s:
            await switch.proxy.set_fault(Fault.SILENT)
            failed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(away_s)
            await switch.proxy.set_fault(Fault.NONE)
        else:
            switch.proxy.reset_connections()
            failed_at = asyncio.get_running_loop().time()
        remaining_s = failed_at + REPORT_LIMIT_S - asyncio.get_running_loop().time()
        assert set(await collect_releases(caller, remaining_s)) == set(ended_calls)
        (new_call,) = await set_up_standing(caller, 1, 1)
        assert await collect_releases(caller, 1) == {}
        successor.bye(new_call)


@async_test
async def test_a_hung_switch_loses_its_calls_although_connections_to_it_open():
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        ended_calls = await set_up_standing(caller, 1, 3)
        await switch.proxy.set_fault(Fault.HANG)  # discovery is up, and sees a running process
        assert set(await collect_releases(caller, REPORT_LIMIT_S)) == set(ended_calls)
        # The calls are released at the switch too, in case it returns.
        await switch.proxy.set_fault(Fault.NONE)
        released_calls = {(await switch.next("BYE"))[1] for _ in ended_calls}
        assert released_calls == set(ended_calls)


@async_test
async def test_a_reset_connection_ends_no_call_while_discovery_is_received():
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        await asyncio.sleep(1.5)  # discovery has listed the switch
        calls = await set_up_standing(caller, 1, 3)
        switch.proxy.reset_connections()
        assert await collect_releases(caller, OBSERVATION_S) == {}
        for call in calls:
            switch.bye(call, writer=switch.writers[-1])
            assert (await caller.next(call))["type"] == "release"


@async_test
async def test_a_release_sent_into_a_silent_connection_arrives_on_a_new_one():
    # The switch takes the silent connection for open, and sends releases of its calls there.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        early, late = await set_up_standing(caller, 1, 2)
        switch.proxy.silence_connections()
        for call, seconds in ((early, 0.0), (late, 2.0)):
            await asyncio.sleep(seconds)
            switch.bye(call)
            switch.pending_releases[call] = 16
            assert set(await collect_releases(caller, 6)) == {call}


@async_test
async def test_calls_end_at_once_when_another_switch_takes_the_address_of_theirs():
    # Discovery reports the new switch first, and the removal of the old one much later.
    old = Switch("s-old", 1)
    async with World(old, proxied=True) as world:
        caller = await world.caller()
        ended_calls = await set_up_standing(caller, 1, 2)
        new = await world.add(Switch("s-new", 1))
        new.proxy, old.proxy.target = old.proxy, new.port
        world.channel.event(new.entry())
        assert set(await collect_releases(caller, 2)) == set(ended_calls)
        await set_up_standing(caller, 1, 1)
        assert old.count("INVITE") == 2 and new.count("INVITE") == 1 and new.count("BYE") == 0


@async_test
async def test_a_late_answer_on_another_connection_does_not_end_a_newer_attempt():
    # After a connection ended in silence two may be open: the late answer to a cancelled attempt arrives on one, and
    # the call was answered by a newer attempt, under the same Call-ID, on the other.
    switch = Switch("s-1", 1, plan=["answer", "silent", "answer"])
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        (standing_call,) = await set_up_standing(caller, 1, 1)
        call = caller.set_up(1)
        await switch.next("INVITE", call)
        first = switch.origin[call]
        switch.proxy.silence_connections()  # the attempt ends with its connection, and is repeated
        assert (await caller.next(call))["type"] == "answer"
        assert switch.origin[call] is not first
        # One at the start, one for the attempt, and one for releases that may be lost.
        await world.wait_for_log("connection opened", times=3)
        other_writer = next(writer for writer in switch.writers if writer not in (first, switch.origin[call]))
        switch.send(other_writer, "SIP/2.0 200 OK", call, "1 INVITE", body="late \r\nv=0\r\n")
        byes = switch.count("BYE")
        assert await collect_releases(caller, 1) == {} and switch.count("BYE") == byes
        for call_id in (call, standing_call):
            switch.bye(call_id, writer=switch.origin[call])
            assert (await caller.next(call_id))["type"] == "release"


@async_test
async def test_a_release_sent_into_an_idle_silent_connection_arrives_while_its_call_has_no_connection():
    # The call's own connection is lost, so the switch chooses any: here one that is idle and silent.
    switch = Switch("s-1", 1)
    async with World(switch, proxied=True) as world:
        caller = await world.caller()
        (call,) = await set_up_standing(caller, 1, 1)
        switch.proxy.silence_connections()
        await world.wait_for_log("connection opened", times=3)
        for number in (1, 2):
            switch.proxy.connections[number].silent = number == 1
        switch.bye(call, writer=switch.writers[1])
        switch.pending_releases[call] = 16
        assert set(await collect_releases(caller, 2)) == {call}
