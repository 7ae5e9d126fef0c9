"""What staff and platform do to a gatekeeper in service: replace, pause, retune and ask it."""

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from tests.test_program import program
from tests.world import LONG, Switch, World


async def over(process):
    async with asyncio.timeout(LONG):
        return await process.wait()


@program
async def test_the_next_process_takes_over_and_no_call_is_lost():
    # Guards against a gap between two processes: callers, switches and peers must see one gatekeeper.
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent", "answer"])
    async with World(switch, slow) as world:
        caller, waiting = await world.caller(), await world.caller()
        told, hung_up = caller.set_up(1), caller.set_up(1)
        for call in (told, hung_up):
            await caller.next(call, "answer")
        open_call = waiting.set_up(2, left=9000)
        await slow.next("INVITE", open_call)
        old_console = world.console_port
        old = await world.replace()
        assert (await world.console("STATUS", old_console)).startswith("+OK")  # both serve until SIGTERM
        old.send_signal(signal.SIGTERM)
        # A caller that comes now is served by the new process, whatever the old one still has to do.
        assert await caller.silent(LONG)  # closed, as no set-up is open on it
        newcomer = await world.caller()
        assert (await newcomer.next(newcomer.set_up(1)))["type"] == "answer"
        assert (await world.console("STATUS", old_console)).startswith("-ERR ending")
        # The set-up that was open is answered where it came, and its connection closed after that.
        slow.act("answer", open_call)
        assert (await waiting.next(open_call))["type"] == "answer" and await waiting.silent(LONG)
        # The ends of the old one's calls pass between the two processes.
        switch.bye(told)
        assert (await newcomer.next(told))["type"] == "release"
        newcomer.say("release", hung_up, cause=16)
        assert (await newcomer.next(hung_up))["type"] == "released"
        await switch.next("BYE", hung_up)
        assert old.returncode is None  # one call stands, and is not cut
        slow.bye(open_call)
        assert (await newcomer.next(open_call))["type"] == "release"
        assert await over(old) == 0
        await world.logged("the predecessor has gone")
        # And once more, from the one that took over.
        old = await world.replace()
        old.send_signal(signal.SIGTERM)
        assert await newcomer.silent(LONG)
        last = await world.caller()
        assert (await last.next(last.set_up(1)))["type"] == "answer"


@program
async def test_peers_are_heard_and_written_to_by_the_one_that_serves():
    async with World(Switch("s-1", 1)) as world:
        loop, readings = asyncio.get_running_loop(), []
        old = await world.replace()
        old.send_signal(signal.SIGTERM)
        await over(old)
        while True:  # what the old one had sent
            try:
                world.peer.recv(512)
            except BlockingIOError:
                break
        async with asyncio.timeout(LONG):
            readings.append(await loop.sock_recv(world.peer, 512))
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stranger.sendto(b"?", ("127.0.0.1", world.peer_port))
        await world.logged(rf"tansyspur {world.process.pid} peers .*stranger")
        stranger.close()
        assert readings


@program
async def test_if_the_next_process_dies_the_old_one_takes_up_again():
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        old_console = world.console_port
        old = await world.replace()
        world.process.kill()
        await over(world.process)
        await world.logged("the successor has gone")
        world.process, world.console_port = old, old_console
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"
        next_old = await world.replace()  # and may still be replaced
        next_old.send_signal(signal.SIGTERM)
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"


@pytest.mark.parametrize("stale", ["dead", "file", "mute"])
@program
async def test_what_an_earlier_process_left_does_not_hinder_a_start(stale):
    # "mute": a predecessor that hangs. Its socket in $TMPDIR takes the connection and says nothing.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        place = Path(world.folder.name, "tansyspur-n0.sock")
        assert place.is_socket()
        place.unlink()
        leftover = socket.socket(socket.AF_UNIX)
        if stale == "file":
            place.write_text("left over")
        else:
            leftover.bind(str(place))
        if stale == "mute":
            leftover.listen()
        old = await world.replace()
        await world.logged("no predecessor answers")
        old.kill()
        await over(old)
        leftover.close()
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"


@program
async def test_paused_it_sends_callers_away_and_resumed_it_has_them_back():
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    async with World(switch, slow) as world:
        idle, busy, never_idle = [await world.caller() for _ in range(3)]
        standing = idle.set_up(1)
        await idle.next(standing, "answer")
        open_call, long_call = busy.set_up(2, left=9000), never_idle.set_up(2, left=9000)
        for _ in range(2):
            await slow.next("INVITE")
        for _ in range(2):  # a second time changes nothing
            assert await world.console("PAUSE") == "+OK paused\n"
        assert (await world.console("STATUS")).startswith("-ERR paused")
        front = await world.caller()
        front.say("ping", "00000000000000f0", cause=0)
        assert (await front.next())["cause"] == 0
        # What is open is served on, also what comes before its connection is closed.
        late = busy.set_up(1)
        assert (await busy.next(late))["type"] == "answer"
        assert await idle.silent(LONG)  # closed, though a call that came over it stands
        slow.act("answer", open_call)
        assert (await busy.next(open_call))["type"] == "answer" and await busy.silent(LONG)
        # One that is never without an open set-up is closed all the same, and its callers are told.
        assert (await never_idle.next(long_call))["type"] == "release" and await never_idle.silent(LONG)
        # The end of a call is owed until callers come back. Guards against telling it to the front: a test
        # that is answered with anything but a pong has failed, and nobody would ever come.
        switch.bye(standing)
        await asyncio.sleep(0.2)
        assert (await world.console("RESUME")).startswith("+OK serving")
        front = await world.caller()
        front.say("ping", "00000000000000f1", cause=0)
        pong = await front.next()
        assert (pong["type"], pong["cause"]) == ("pong", 1)
        back = await world.caller()
        call = back.set_up(1)
        assert (await back.next(standing))["type"] == "release"
        assert (await back.next(call))["type"] == "answer" and await back.silent(0.8)


@program
async def test_paused_the_last_callers_connection_is_kept_for_the_ends_of_calls():
    # Guards against calls whose end is told seconds late, as every connection was closed at once.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        call = caller.set_up(1)
        await caller.next(call, "answer")
        await world.console("PAUSE")
        await asyncio.sleep(1.0)  # idle connections are closed from half a second on
        switch.bye(call)
        assert (await caller.next(call))["type"] == "release"
        assert await caller.silent(LONG)  # closed, as nothing stands any more
