"""Operation of a running gatekeeper: hand-over to the next process, pause, reload, metrics, console and shutdown.

Prevents lost calls, lost releases and connections that nobody serves while staff or the platform do these.
"""

import asyncio
import contextlib
import copy
import json
import re
import signal
import socket
from pathlib import Path

import pytest

from tests.async_runner import async_test
from tests.test_program import set_up_line
from tests.world import NS_PER_S, WAIT_TIMEOUT_S, Switch, World, settings


async def wait_for_exit(process):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        return await process.wait()


@async_test
async def test_the_next_process_takes_over_and_no_call_is_lost():
    # Callers, switches and peers must see one gatekeeper, without a gap between the two processes.
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent", "answer"])
    async with World(switch, slow) as world:
        caller, waiting = await world.caller(), await world.caller()
        released, hung_up = caller.set_up(1), caller.set_up(1)
        for call in (released, hung_up):
            await caller.next(call, "answer")
        open_call = waiting.set_up(2, remaining_ms=9000)
        await slow.next("INVITE", open_call)
        old_console = world.console_port
        old = await world.start_successor()
        assert (await world.console("STATUS", old_console)).startswith("+OK")  # both serve until SIGTERM
        old.send_signal(signal.SIGTERM)
        # A new caller is served by the new process, even if the old one still has open calls.
        assert await caller.no_message_within(WAIT_TIMEOUT_S)  # closed, as no set-up is open on it
        newcomer = await world.caller()
        assert (await newcomer.next(newcomer.set_up(1)))["type"] == "answer"
        assert (await world.console("STATUS", old_console)).startswith("-ERR ending")
        # The open set-up is answered on its own connection, which is closed after that.
        slow.handle_setup("answer", open_call)
        assert (await waiting.next(open_call))["type"] == "answer" and await waiting.no_message_within(
            WAIT_TIMEOUT_S
        )
        # Releases of the old process's calls pass between the two processes.
        switch.bye(released)
        assert (await newcomer.next(released))["type"] == "release"
        newcomer.send("release", hung_up, cause=16)
        assert (await newcomer.next(hung_up))["type"] == "released"
        await switch.next("BYE", hung_up)
        assert old.returncode is None  # one call is still standing, and is not cut
        slow.bye(open_call)
        assert (await newcomer.next(open_call))["type"] == "release"
        assert await wait_for_exit(old) == 0
        await world.wait_for_log("the predecessor has gone")
        # The process that took over can be replaced as well.
        old = await world.start_successor()
        old.send_signal(signal.SIGTERM)
        assert await newcomer.no_message_within(WAIT_TIMEOUT_S)
        last = await world.caller()
        assert (await last.next(last.set_up(1)))["type"] == "answer"


@async_test
async def test_the_exit_of_a_replaced_process_and_of_the_last_one_log_no_error():
    # Each connection that was open at an exit left a line "loop" of level error, without a text.
    async with World(Switch("s-1", 1)) as world:
        caller = await world.caller()
        old = await world.start_successor()
        old.terminate()
        await old.wait()
        await (await world.caller()).no_message_within(0.1)
        await world.stop()
        caller.close()
    assert not [line for line in world.log_lines if line.startswith("<131>")]


@async_test
async def test_a_bad_message_of_a_client_does_not_part_the_two_processes():
    # Both took the other for gone, and the old process released its standing calls without telling their callers.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        call = caller.set_up(1)
        await caller.next(call, "answer")
        old = await world.start_successor()
        old.send_signal(signal.SIGTERM)
        assert await caller.no_message_within(WAIT_TIMEOUT_S)  # closed
        faulty, back = await world.caller(), await world.caller()
        for cause in ("9" * 4200, "-1", "true", '"?"', "1e400"):
            faulty.writer.write(
                b'{"type":"release","id":"ffffffffffffffaa","fields":{},"cause":%s}\n' % cause.encode()
            )
        for _ in range(5):
            assert (await faulty.next())["type"] in ("released", "release")
        assert (await back.next(back.set_up(1)))["type"] == "answer"
        assert await back.no_message_within(0.5)
        assert switch.count("BYE") == 0 and old.returncode is None
        assert not [line for line in world.log_lines if "has gone" in line]
        switch.bye(call)
        assert (await back.next(call))["type"] == "release"


@pytest.mark.parametrize("cause", [16, 41])
@async_test
async def test_a_switchs_release_reaches_the_process_that_holds_the_call(cause):
    # A switch whose connection is lost releases on any open one, also the other process's, which dropped the release.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        call_of_old = caller.set_up(1)
        await caller.next(call_of_old, "answer")
        old_links = list(switch.writers)
        old = await world.start_successor()
        new_links = [writer for writer in switch.writers if writer not in old_links]
        old.send_signal(signal.SIGTERM)
        assert await caller.no_message_within(WAIT_TIMEOUT_S)  # closed
        back = await world.caller()
        call_of_new = back.set_up(1)
        await back.next(call_of_new, "answer")
        keeper = back.set_up(1)  # keeps the connection of the caller in use
        await back.next(keeper, "answer")
        for call, link in ((call_of_new, old_links[0]), (call_of_old, new_links[0])):
            switch.bye(call, cause, link)
            assert (await back.next(call))["cause"] == cause
            switch.bye(call, cause, link)  # a second time changes nothing
        assert await back.no_message_within()
        assert await wait_for_exit(old) == 0


@async_test
async def test_a_callers_release_reaches_the_process_that_holds_the_call():
    # On a connection of the old process the release of the new one's call was confirmed, and the call went on.
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    async with World(switch, slow) as world:
        first = await world.caller()
        open_call = first.set_up(2, remaining_ms=9000)  # the old process keeps this connection
        await slow.next("INVITE", open_call)
        call_of_old = first.set_up(1)
        await first.next(call_of_old, "answer")
        old = await world.start_successor()
        old.send_signal(signal.SIGTERM)
        await world.wait_for_log("shutting down")
        second = await world.caller()
        call_of_new = second.set_up(1)
        await second.next(call_of_new, "answer")
        for caller, call in ((first, call_of_new), (second, call_of_old)):
            caller.send("release", call, cause=31)
            assert (await caller.next(call))["type"] == "released"
            bye = await switch.next("BYE", call)
            assert bye[2]["reason"] == "Q.850;cause=31"
        assert switch.count("BYE") == 2
        slow.handle_setup("486", open_call)


@async_test
async def test_an_id_that_one_process_has_taken_is_not_served_by_the_other():
    # The same id came to the other process while its first call was open or had just ended, and ran twice.
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    async with World(switch, slow) as world:
        first, leaver = await world.caller(), await world.caller()
        open_call = first.set_up(2, remaining_ms=9000)  # the old process keeps this connection
        await slow.next("INVITE", open_call)
        left_call = leaver.set_up(2, remaining_ms=9000)
        await slow.next("INVITE", left_call)
        leaver.close()
        await slow.next("CANCEL", left_call)
        old = await world.start_successor()
        late_call = first.set_up(1)
        await first.next(late_call, "answer")
        old.send_signal(signal.SIGTERM)
        await world.wait_for_log("shutting down")
        for call in (open_call, left_call, late_call):
            again = await world.caller()
            again.writer.write(set_up_line(call))
            assert await again.no_message_within(WAIT_TIMEOUT_S)  # closed without an answer
        second = await world.caller()
        call_of_new = second.set_up(1)
        await second.next(call_of_new, "answer")
        first.writer.write(set_up_line(call_of_new))
        # Its connection is closed, after the open set-up on it has failed.
        assert (await first.next(open_call))["type"] == "release"
        assert await first.no_message_within(WAIT_TIMEOUT_S)
        invites = [
            call_id for one in (switch, slow) for _, method, call_id in one.received_log if method == "INVITE"
        ]
        assert len(invites) == len(set(invites)) == 4


@pytest.mark.parametrize("replaced", [False, True])
@async_test
async def test_a_caller_that_is_back_with_nothing_to_send_hears_the_end_of_its_call(replaced):
    # An end that became pending after a connection was open waited for the next set-up, which may never come.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        call = caller.set_up(1)
        await caller.next(call, "answer")
        if replaced:
            (await world.start_successor()).send_signal(signal.SIGTERM)
            assert await caller.no_message_within(WAIT_TIMEOUT_S)  # closed
        caller.close()
        back, front = await world.caller(), await world.caller()
        front.send("ping", "ffffffffffffffff", cause=0)
        assert (await front.next())["type"] == "pong"
        await asyncio.sleep(0.5)  # nothing was pending when the connections were new
        switch.bye(call)
        assert (await back.next(call))["type"] == "release"
        assert await front.no_message_within()  # the platform's front would take it for a failed test


@async_test
async def test_connections_are_closed_after_the_time_for_answers_even_if_a_call_stands():
    # Without this, set-ups would reach the old process on a connection that is never idle, and be lost at its exit.
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    changed = settings()
    for call_class in changed["classes"]:
        call_class["deadline-ns"] = 2 * NS_PER_S
    async with World(switch, slow, classes=changed["classes"]) as world:
        caller, busy = await world.caller(), await world.caller()
        standing = caller.set_up(1, remaining_ms=1500)
        await caller.next(standing, "answer")
        old = await world.start_successor()
        open_call = busy.set_up(2, remaining_ms=2000)
        await slow.next("INVITE", open_call)
        old.send_signal(signal.SIGTERM)
        answers = asyncio.create_task(busy.reader.read())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not answers.done():  # as soon as one is answered, another is open
                busy.set_up(2, remaining_ms=2000)
                await asyncio.sleep(0.005)
        assert open_call in {json.loads(line)["id"] for line in answers.result().splitlines()}
        assert old.returncode is None  # it runs on for the standing call
        newcomer = await world.caller()
        assert (await newcomer.next(newcomer.set_up(1, remaining_ms=1500)))["type"] == "answer"


@async_test
async def test_the_serving_process_exchanges_messages_with_peers():
    async with World(Switch("s-1", 1)) as world:
        loop, readings = asyncio.get_running_loop(), []
        old = await world.start_successor()
        old.send_signal(signal.SIGTERM)
        await wait_for_exit(old)
        while True:  # discard what the old process had sent
            try:
                world.peer.recv(512)
            except BlockingIOError:
                break
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            readings.append(await loop.sock_recv(world.peer, 512))
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stranger.sendto(b"?", ("127.0.0.1", world.peer_port))
        await world.wait_for_log(rf"tansyspur {world.process.pid} peers .*unknown sender")
        stranger.close()
        assert readings


@async_test
async def test_if_the_next_process_dies_the_old_one_serves_again():
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        old_console = world.console_port
        old = await world.start_successor()
        world.process.kill()
        await wait_for_exit(world.process)
        await world.wait_for_log("the successor has gone")
        world.process, world.console_port = old, old_console
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"
        next_old = await world.start_successor()  # the old process can still be replaced
        next_old.send_signal(signal.SIGTERM)
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"


@pytest.mark.parametrize("stale", ["dead", "file", "mute"])
@async_test
async def test_a_stale_or_unresponsive_hand_over_socket_does_not_prevent_a_start(stale):
    # "mute": a predecessor that hangs. Its socket in $TMPDIR accepts the connection and sends nothing.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        socket_path = Path(world.folder.name, "tansyspur-n0.sock")
        assert socket_path.is_socket()
        socket_path.unlink()
        leftover = socket.socket(socket.AF_UNIX)
        if stale == "file":
            socket_path.write_text("left over")
        else:
            leftover.bind(str(socket_path))
        if stale == "mute":
            leftover.listen()
        old = await world.start_successor()
        await world.wait_for_log("no predecessor answers")
        old.kill()
        await wait_for_exit(old)
        leftover.close()
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"


@async_test
async def test_a_pause_sheds_callers_and_a_resume_accepts_them_again():
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    async with World(switch, slow) as world:
        idle, busy, never_idle, leaver = [await world.caller() for _ in range(4)]
        done, standing = idle.set_up(1), leaver.set_up(1)
        await idle.next(done, "answer")
        await leaver.next(standing, "answer")
        leaver.close()  # its call keeps standing without a connection
        idle.send("release", done, cause=16)
        open_call, long_call = busy.set_up(2, remaining_ms=9000), never_idle.set_up(2, remaining_ms=9000)
        for _ in range(2):
            await slow.next("INVITE")
        for _ in range(2):  # a second time changes nothing
            assert await world.console("PAUSE") == "+OK paused\n"
        assert (await world.console("STATUS")).startswith("-ERR paused")
        readiness_check = await world.caller()
        readiness_check.send("ping", "fffffffffffffff0", cause=0)
        assert (await readiness_check.next())["cause"] == 0
        # Open set-ups are still served, and so are those that arrive before their connection is closed.
        late = busy.set_up(1)
        assert (await busy.next(late))["type"] == "answer"
        assert [(await idle.next(done))["type"] for _ in range(2)] == ["released", "release"]
        assert await idle.no_message_within(WAIT_TIMEOUT_S)
        switch.bye(late)  # all calls of the busy connection are ended below
        assert (await busy.next(late))["type"] == "release"
        slow.handle_setup("answer", open_call)
        assert (await busy.next(open_call))["type"] == "answer"
        slow.bye(open_call)
        assert (await busy.next(open_call))["type"] == "release"
        # Closed. At most, the release that may have been lost as the idle connection closed comes once more.
        rest = [json.loads(row) for row in (await busy.reader.read()).splitlines()]
        assert {(row["type"], row["id"]) for row in rest} <= {("release", done)}
        # A connection that always has an open set-up is closed as well, and its set-ups are released.
        assert (await never_idle.next(long_call))["type"] == "release" and await never_idle.no_message_within(
            WAIT_TIMEOUT_S
        )
        # The release of a call stays pending until callers come back. It must not be sent to the platform's
        # readiness check: if that gets anything but a pong it has failed, and no caller would ever come.
        switch.bye(standing)
        await asyncio.sleep(0.2)
        assert (await world.console("RESUME")).startswith("+OK serving")
        readiness_check = await world.caller()
        readiness_check.send("ping", "fffffffffffffff1", cause=0)
        pong = await readiness_check.next()
        assert (pong["type"], pong["cause"]) == ("pong", 1)
        back = await world.caller()
        call = back.set_up(1)
        assert (await back.next(standing))["type"] == "release"
        assert (await back.next(call))["type"] == "answer" and await back.no_message_within(0.8)


@async_test
async def test_during_a_pause_a_connection_stays_for_its_standing_calls_and_takes_no_new_ones():
    # Required by the operators for drains. Without this, releases could not be delivered during a long pause.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        first, second = caller.set_up(1), caller.set_up(1)
        for call in (first, second):
            await caller.next(call, "answer")
        await world.console("PAUSE")
        await asyncio.sleep(1.0)  # the platform has noticed the pause
        refused = caller.set_up(1)
        answer = await caller.next(refused)
        assert (answer["type"], answer["cause"]) == ("release", 42) and int(answer["fields"]["wait"]) > 0
        await asyncio.sleep(4.0)  # connections without standing calls are closed sooner
        for call in (first, second):
            switch.bye(call)
            assert (await caller.next(call))["type"] == "release"
        assert await caller.no_message_within(WAIT_TIMEOUT_S) and switch.count("INVITE") == 2


@async_test
async def test_during_a_pause_the_last_connection_of_callers_is_kept_for_releases():
    # If all connections were closed at once, releases would be delivered seconds late.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        call = caller.set_up(1)
        await caller.next(call, "answer")
        await world.console("PAUSE")
        await asyncio.sleep(1.0)  # idle connections are closed from half a second on
        switch.bye(call)
        assert (await caller.next(call))["type"] == "release"
        assert await caller.no_message_within(WAIT_TIMEOUT_S)  # closed, as no call is standing any more


def without(*path):
    """A function that deletes the key at this path of a document. Numbers are list indexes."""

    def remove(document):
        *parents, last = path
        for key in parents:
            document = document[key]
        del document[last]

    return remove


def with_value(value, *path):
    """A function that sets the value at this path of a document."""

    def set_value(document):
        *parents, last = path
        for key in parents:
            document = document[key]
        document[last] = value

    return set_value


DEADLINE = ("settings", "classes", 1, "deadline-ns")
ATTEMPTS = ("settings", "limits", "max-attempts")
FAULTS = [
    without("channel"), without("known"), without("limits", "sockets"), without("settings"),
    without("settings", "guarantees"), without("settings", "guarantees", "ramp-time-ns"),
    without("settings", "classes"), without(*DEADLINE), without(*ATTEMPTS),
    *(with_value(value, *DEADLINE) for value in (0, -1, "9", None, True, [], float("nan"), float("inf"))),
    *(with_value(value, *ATTEMPTS) for value in (0, -1, "9", None, False, {}, float("nan"), float("inf"))),
    with_value(5, "settings", "classes"), with_value([], "settings", "classes"), with_value(3, "settings"),
    with_value([7], "settings", "classes"),
]  # fmt: skip


@async_test
async def test_a_file_with_a_missing_or_unusable_part_is_rejected_completely():
    # If a part of such a file were applied, its channel address would be too, and the real channel would be lost.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        texts = ["", " ", "{}", "[]", "null", json.dumps(world.document)[:-40]]
        for make_faulty in FAULTS:
            document = copy.deepcopy(world.document) | {"channel": "127.0.0.1:9"}
            make_faulty(document)
            texts.append(json.dumps(document))
        for count, text in enumerate(texts, 1):
            world.reload(text)
            await world.wait_for_log("the old configuration stays", count)
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"
        assert not [line for line in world.log_lines if "configuration read" in line]
        world.reload()
        await world.wait_for_log("configuration read")
        later = await world.add(Switch("s-2", 2))
        world.channel.event(later.entry())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await caller.next(caller.set_up(2)))["type"] != "answer":
                await asyncio.sleep(0.05)


@async_test
async def test_new_settings_apply_at_once_and_an_open_call_keeps_its_class():
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    failing = Switch("s-3", 3, plan=["500"])
    async with World(switch, slow, failing) as world:
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1, **{"class": "survey"})))["cause"] == 100
        assert (await caller.next(caller.set_up(3)))["type"] == "release"
        attempts = failing.count("INVITE")
        assert attempts > 1
        open_call = caller.set_up(2, remaining_ms=9000)
        await slow.next("INVITE", open_call)
        changed = copy.deepcopy(world.settings)
        survey = {
            **changed["classes"][1],
            "name": "survey",
            "deadline-ns": 2 * NS_PER_S,
            "effect": "at_most_once",
        }
        changed["classes"] = [changed["classes"][1], survey]
        changed["limits"]["max-attempts"] = 1
        world.reload(settings=changed)
        await world.wait_for_log("configuration read")
        call = caller.set_up(1, remaining_ms=1500, **{"class": "survey"})
        assert (await caller.next(call))["type"] == "answer"
        assert (await switch.next("INVITE", call))[2]["x-service"] == "survey"
        assert (await caller.next(caller.set_up(1, remaining_ms=2500, **{"class": "survey"})))["cause"] == 100
        # A set-up of a former class is still served for a moment, with the new limit of attempts.
        crossing = caller.set_up(3)
        assert (await caller.next(crossing))["cause"] != 100
        assert failing.count("INVITE") <= attempts + 1
        await asyncio.sleep(1.1)
        assert (await caller.next(caller.set_up(1)))["cause"] == 100  # its class is no longer configured
        slow.handle_setup("answer", open_call)
        assert (await caller.next(open_call))["type"] == "answer"


async def read_metrics(world):
    answer = (await world.console("METRICS")).split("\n")
    assert answer[0] == "+OK" and answer[-2:] == [".", ""]
    rows = [re.fullmatch(r"gatekeeper\.([!-~]+):([0-9]+)\|([cg])", line) for line in answer[1:-2]]
    assert all(rows) and len({row[1] for row in rows}) == len(rows)
    return {row[1]: int(row[2]) for row in rows}


@async_test
async def test_each_event_is_counted_once_and_unknown_classes_create_no_metrics():
    switch, slow = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    failing, gone = Switch("s-3", 3, plan=["504"]), Switch("s-4", 4)
    async with World(switch, slow, failing, gone) as world:
        start = await read_metrics(world)
        assert start == {name: 5 if name == "hosts_listed" else 0 for name in start}
        assert {"success.lookup", "busy.fix", "failure.fix", "hosts_down", "inflight"} <= set(start)
        caller, other, third = [await world.caller() for _ in range(3)]
        standing, ended = caller.set_up(1), caller.set_up(1)
        for call in (standing, ended):
            await caller.next(call, "answer")
        switch.bye(ended)
        await caller.next(ended, "release")
        refused = caller.set_up(3, remaining_ms=1500, **{"class": "fix"})
        assert (await caller.next(refused))["cause"] in (34, 42)
        for fields in ({"left": "0"}, {"left": "x"}, {"class": "made up"}):
            assert (await caller.next(caller.set_up(1, **fields)))["cause"] == 100
        # Two calls fail with their connection after malformed input. A call whose caller leaves is no failure.
        for call in [other.set_up(2), other.set_up(2)]:
            await slow.next("INVITE", call)
        other.writer.write(b"?\n")
        await world.wait_for_log("connection dropped: a line that is not JSON")
        await slow.next("INVITE", third.set_up(2))
        third.close()
        waiting = caller.set_up(2, remaining_ms=9000)
        await slow.next("INVITE", waiting)
        world.channel.event(gone.entry("draining"))
        world.reload("")
        await world.wait_for_log("the old configuration stays")
        changed = copy.deepcopy(world.settings)
        changed["classes"][0]["name"] = "survey"
        world.reload(settings=changed)
        await world.wait_for_log("configuration read")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (now := await read_metrics(world))["inflight"] != 2 or not now["hosts_down"]:
                await asyncio.sleep(0.05)
        sent = sum(carrier.count("INVITE") for carrier in world.switches)
        assert {name: value for name, value in now.items() if value} == {
            "success.lookup": 2, "busy.fix": 1, "failure.lookup": 4, "backend_calls": sent,
            "inflight": 2, "standing": 1, "call_ends.switch_released": 1, "end_deliveries.written": 1,
            "hosts_listed": 5, "hosts_down": 1, "reconfig_ok": 1, "reconfig_failed": 1,
        }  # fmt: skip
        assert "success.survey" in now and not [name for name in now if "made" in name]
        slow.handle_setup("answer", waiting)
        assert (await caller.next(waiting))["type"] == "answer"  # counted under its former class
        assert (await read_metrics(world))["success.lookup"] == 3


@async_test
async def test_an_attempt_is_counted_when_its_last_byte_has_been_sent():
    # A set-up that is dropped from the buffer of a stalled connection must not be counted.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        for writer in switch.writers:
            writer.transport.pause_reading()
        call = caller.set_up(1, remaining_ms=600, sdp="x" * 15_000)  # no time for a second attempt
        assert (await caller.next(call))["type"] == "release"
        assert (await read_metrics(world))["backend_calls"] == 0
        for writer in switch.writers:
            with contextlib.suppress(RuntimeError):
                writer.transport.resume_reading()


@pytest.mark.parametrize(
    "request_line, start",
    [
        (b"STATUS\r\n", "+OK serving"), (b"status", "+OK serving"), (b"RESUME\n", "+OK serving"),
        (b"STOP\n", "-ERR"), (b"\n", "-ERR"), (b"\xff\xfe\n", "-ERR"), (b"X" * 5000, "-ERR"),
        (b"STATUS\nPAUSE\n", "+OK serving"),
    ],
    ids=range(8),
)  # fmt: skip
@async_test
async def test_the_console_answers_one_line_despite_many_other_connections(request_line, start):
    # Silent connections to the console and a crowd at the callers' port must not keep the staff from an answer.
    async with World(Switch("s-1", 1), limits={"memory_mb": 192, "sockets": 200}) as world:
        crowd = [await world.caller() for _ in range(150)]
        silent = [await asyncio.open_connection("127.0.0.1", world.console_port) for _ in range(50)]
        reader, writer = await asyncio.open_connection("127.0.0.1", world.console_port)
        writer.write(request_line)
        if not request_line.endswith(b"\n"):
            writer.write_eof()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            answer = (await reader.read()).decode()
        assert answer.startswith(start) and answer.count("\n") == 1
        assert (await world.console("STATUS")).startswith("+OK")
        for stream in (
            writer,
            *(silent_writer for _, silent_writer in silent),
            *(caller.writer for caller in crowd),
        ):
            stream.close()


@async_test
async def test_without_a_successor_an_ending_process_refuses_new_connections():
    # If the listening socket stayed open, new connections would wait in its queue and never be accepted.
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller = await world.caller()
        call = caller.set_up(1)
        await caller.next(call, "answer")
        world.process.send_signal(signal.SIGTERM)
        with pytest.raises(ConnectionRefusedError):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while True:
                    (await world.caller()).close()
                    await asyncio.sleep(0.05)
        assert world.process.returncode is None
        switch.bye(call)
        assert (await caller.next(call))["type"] == "release"


@pytest.mark.parametrize("deadline_s", [0.4, 1, 3, 9])
@async_test
async def test_without_a_successor_all_calls_are_released_before_the_earliest_kill(deadline_s):
    # Callers continue to send on open connections until the kill, and the switch hangs during the shutdown.
    switch, hung = Switch("s-1", 1), Switch("s-2", 2, plan=["silent"])
    classes = copy.deepcopy(settings()["classes"])
    for call_class in classes:
        call_class["deadline-ns"] = call_class["objective-ns"] = int(deadline_s * NS_PER_S)
    remaining_ms = int(deadline_s * 900)
    async with World(switch, hung, classes=classes) as world:
        caller, crowd = await world.caller(), await world.caller()
        calls = [caller.set_up(1, remaining_ms=remaining_ms) for _ in range(3)]
        for call in calls:
            await caller.next(call, "answer")
        switch.muted_writers = [*switch.writers]
        loop, sent = asyncio.get_running_loop(), []
        kill_at = loop.time() + min(3, deadline_s) + 0.7
        world.process.send_signal(signal.SIGTERM)
        received = asyncio.create_task(caller.reader.read())
        answers = asyncio.create_task(crowd.reader.read())
        while loop.time() < kill_at and not answers.done():
            sent.append((crowd.set_up(2, remaining_ms=remaining_ms), loop.time()))
            await asyncio.sleep(0.01)
        closed_at = loop.time()
        async with asyncio.timeout_at(kill_at + 0.3):  # margin for a busy machine; no SIGKILL is sent
            rows = [json.loads(line) for line in (await received).splitlines()]
            assert await world.process.wait() == 0
        assert sorted(row["id"] for row in rows if row["type"] == "release") == sorted(calls)
        answered = [json.loads(line)["id"] for line in (await answers).splitlines()]
        assert len(answered) == len(set(answered)), "two answers"
        # A set-up sent within the last 50 ms may cross the close. Its caller sends it again.
        assert {call for call, at in sent if at < closed_at - 0.05} <= set(answered)


@async_test
async def test_without_a_successor_a_release_whose_connection_has_ended_is_sent_on_another():
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        leaver, idle = await world.caller(), await world.caller()
        standing, ended = leaver.set_up(1), idle.set_up(1)
        await leaver.next(standing, "answer")
        await idle.next(ended, "answer")
        switch.bye(ended)
        assert (await idle.next(ended))["type"] == "release"
        leaver.close()
        world.process.send_signal(signal.SIGTERM)
        assert (await idle.next(standing))["type"] == "release"
        assert await idle.no_message_within(WAIT_TIMEOUT_S)


@async_test
async def test_a_pause_ends_with_its_process_and_an_ending_process_takes_no_commands():
    switch = Switch("s-1", 1)
    async with World(switch) as world:
        caller, old_console = await world.caller(), world.console_port
        call = caller.set_up(1)
        await caller.next(call, "answer")
        await world.console("PAUSE")
        old = await world.start_successor()
        newcomer = await world.caller()
        assert (await newcomer.next(newcomer.set_up(1)))["type"] == "answer"
        old.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (await world.console("STATUS", old_console)).startswith("-ERR ending"):
                await asyncio.sleep(0.05)
        for command in ("PAUSE", "RESUME"):
            assert (await world.console(command, old_console)).startswith("-ERR")
        # The pause had kept its connection; the shutdown closes it.
        assert await caller.no_message_within(WAIT_TIMEOUT_S)
        switch.bye(call)
        assert (await newcomer.next(call))["type"] == "release"
        assert (await world.console("STATUS")).startswith("+OK")
