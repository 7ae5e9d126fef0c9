"""What a process has been told is known to its successor before that one serves, whatever discovery does.

Guards against a new process that gives up waiting for discovery and then serves with the switch list of its
configuration file: it sent set-ups to switches that its predecessor knew to drain, and none to new ones.
"""

import asyncio
import signal

import pytest

from tests.async_runner import async_test
from tests.world import NS_PER_S, Switch, World, settings

DRAIN_GRACE_S = 0.25 + 0.05  # drain-grace-ns of the tests' settings, and the slack of PROTOCOL
READY_LIMIT_S = 6.0  # LATER, "Replacing the process"
SET_UPS = 10


async def tell_and_lose_discovery(world, draining, added):
    """Let the process hear of a drain and of a new switch, which its configuration file does not hold."""
    await world.add(added)
    world.channel.event(draining.entry("draining"), added.entry())
    await world.wait_for_log("in service to draining")
    await world.wait_for_log(f'switch="{added.name}".* the switch is reachable')
    world.channel.stop()


async def answered(world, number):
    """Whether a set-up toward this exchange is answered, on a connection of its own."""
    caller = await world.caller()
    row = await caller.next(caller.set_up(number, remaining_ms=1500))
    caller.close()
    return row["type"] == "answer"


async def assert_only_the_added_switch_serves(world, draining, added):
    set_ups = draining.count("INVITE")
    for _ in range(SET_UPS):
        assert await answered(world, 1)
        assert await answered(world, 2)
    assert draining.count("INVITE") == set_ups
    assert added.count("INVITE") >= SET_UPS


@async_test
async def test_a_drain_and_a_new_switch_are_known_to_the_next_process_though_discovery_is_down():
    # Review, case 8.
    draining, added, other = Switch("s-1", 1), Switch("s-3", 1), Switch("s-2", 2)
    async with World(draining, other) as world:
        await tell_and_lose_discovery(world, draining, added)
        started_at = asyncio.get_running_loop().time()
        old = await world.start_successor()
        assert asyncio.get_running_loop().time() - started_at < READY_LIMIT_S
        old.terminate()
        await assert_only_the_added_switch_serves(world, draining, added)


@pytest.mark.parametrize("how", ["hanging", "gone"])
@async_test
async def test_what_a_hanging_or_killed_process_was_told_is_known_to_the_next_one(how):
    # It can neither be asked, nor tell anything by itself.
    draining, added, other = Switch("s-1", 1), Switch("s-3", 1), Switch("s-2", 2)
    async with World(draining, other) as world:
        await tell_and_lose_discovery(world, draining, added)
        world.process.send_signal(signal.SIGSTOP if how == "hanging" else signal.SIGKILL)
        old = await world.start_successor()
        if how == "hanging":
            old.kill()
        await old.wait()
        await assert_only_the_added_switch_serves(world, draining, added)


@pytest.mark.parametrize("how", ["ended", "killed"])
@async_test
async def test_what_the_first_process_was_told_is_known_to_the_third(how):
    # The second one was told nothing by discovery, and passes on what it took over.
    draining, added, other = Switch("s-1", 1), Switch("s-3", 1), Switch("s-2", 2)
    async with World(draining, other) as world:
        await tell_and_lose_discovery(world, draining, added)
        for _ in range(2):
            old = await world.start_successor()
            old.send_signal(signal.SIGTERM if how == "ended" else signal.SIGKILL)
            await old.wait()
        await assert_only_the_added_switch_serves(world, draining, added)


@pytest.mark.parametrize("told", ["old", "new"])
@async_test
async def test_a_drain_that_one_of_two_processes_is_told_of_is_known_to_the_other(told):
    # One process, waiting for its connection to discovery, sent to a switch that the other one knew to drain.
    draining, added, other = Switch("s-1", 1), Switch("s-3", 1), Switch("s-2", 2)
    async with World(draining, other) as world:
        await world.add(added)
        if told == "old":
            world.channel.refuse_connections()  # the old process keeps the one that it has
            old = await world.start_successor()
            world.channel.event(draining.entry("draining"), added.entry())
        else:
            world.channel.stop()
            old = await world.start_successor()
            await world.channel.start()
            world.channel.event(draining.entry("draining"), added.entry())
            world.reload(channel=f"127.0.0.1:{world.channel.port}")  # the new process only
        await world.wait_for_log("in service to draining", times=2)
        await asyncio.sleep(DRAIN_GRACE_S)
        await assert_only_the_added_switch_serves(world, draining, added)
        old.terminate()


@async_test
async def test_settings_read_by_the_old_process_are_those_of_its_successor():
    # The file was changed after the successor had read it, and the signal went to the old process only.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        world.channel.answer_delay_s = 2.0
        replacing = asyncio.create_task(world.start_successor())
        old = world.process
        await world.wait_for_log("successor connected; sockets sent")
        classes = [
            *settings()["classes"],
            {"name": "probe", "value": 1.0, "objective-ns": NS_PER_S, "deadline-ns": 3 * NS_PER_S, "late-worth": 0.25},
        ]  # fmt: skip
        new, world.process = world.process, old
        world.reload(settings={**world.settings, "classes": classes})
        world.process = new
        assert await replacing is old
        old.terminate()
        await old.wait()
        caller = await world.caller()
        call = caller.set_up(1, remaining_ms=2000, **{"class": "probe"})
        assert (await caller.next(call))["type"] == "answer"
