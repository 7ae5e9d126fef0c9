"""Clients that send at full speed, slowly or in part.

Guards against memory that grows beyond its limit, and against other callers that are served late or never.
"""

import asyncio
import socket
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.net.framing import Chunks
from tansyspur.net.link import TURN_S, Link
from tansyspur.net.open_set_ups import MAX_PER_CONNECTION, SET_UP_BYTES, OpenSetUps, PartialMessages
from tests.async_runner import async_test
from tests.world import ROOT, Switch, World

FLOOD_S = 2.0
CROWD = 600  # connections, as many as the descriptors allow
MEMORY_MB = 48  # limit of the configuration


def peak_memory_mb(process):
    """The largest resident memory of the process so far."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


async def send_half_a_message(writer):
    writer.write(b'{"type":"setup","id":"' + b"a" * 16_200)


async def send_many_short_fields(writer):
    fields = ",".join(f'"{number}":1' for number in range(1600))
    for number in range(5):
        writer.write(
            b'{"type":"setup","id":"%016x","fields":{%s}}\n' % (id(writer) % 2**48 + number, fields.encode())
        )
        await asyncio.sleep(0.1)


async def send_slowly(writer):
    for _ in range(30):
        writer.write(b"{" + b"1" * 300)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("behave", [send_half_a_message, send_many_short_fields, send_slowly])
@async_test
async def test_a_crowd_with_unfinished_messages_does_not_fill_the_memory(behave):
    # Each connection may hold a message that is not complete, and what was read behind it: together too much.
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    async with World(Switch("s-1", 1), limits=limits) as world:
        writers = [(await asyncio.open_connection("127.0.0.1", world.port))[1] for _ in range(CROWD)]
        await asyncio.gather(*map(behave, writers))
        caller = await world.caller()
        assert (await caller.next(caller.set_up(1)))["type"] == "answer"
        assert peak_memory_mb(world.process) < MEMORY_MB
        for writer in writers:
            writer.transport.abort()


@pytest.mark.parametrize("kind", ["ping", "release", "unknown class", "unknown destination", "set-up"])
@async_test
async def test_while_one_client_floods_others_are_served_and_the_memory_stays_within_its_limit(kind):
    # Open calls, queues and remembered numbers grew with each set-up of the flood, and each check went through them.
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    async with World(
        Switch("s-1", 1, plan=["silent"]), Switch("s-2", 2, circuits=20), limits=limits
    ) as world:
        flooder = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.flooder", str(world.port), kind, str(FLOOD_S),
            cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert await flooder.stdout.readline() == b"sending\n"
        caller, ends_at = await world.caller(), time.monotonic() + FLOOD_S
        while time.monotonic() < ends_at:
            call = caller.set_up(2)
            assert (await caller.next(call))["type"] == "answer"
            caller.send("release", call, cause=16)
            assert (await caller.next(call))["type"] == "released"
            await asyncio.sleep(0.02)
        assert await flooder.wait() == 0
        assert peak_memory_mb(world.process) < MEMORY_MB


@async_test
async def test_set_ups_beyond_the_limit_of_a_connection_are_refused_at_once():
    switch = Switch("s-1", 1, plan=["silent"])
    async with World(switch) as world:
        greedy, modest = await world.caller(), await world.caller()
        calls = [greedy.set_up(1, remaining_ms=9000) for _ in range(MAX_PER_CONNECTION + 10)]
        refused = [await greedy.next(message_type="release") for _ in range(10)]
        assert [row["id"] for row in refused] == calls[-10:]
        assert {row["cause"] for row in refused} == {42} and all("wait" in row["fields"] for row in refused)
        modest_call = modest.set_up(1, remaining_ms=900)
        assert (await modest.next(modest_call))[
            "id"
        ] == modest_call  # served by the core until its own time is up
        greedy.send("release", calls[0], cause=16)  # one is given up: there is room for another
        assert (await greedy.next(calls[0]))["type"] == "released"
        another = greedy.set_up(1, remaining_ms=500)
        assert int((await greedy.next(another))["fields"].get("wait", 0)) < 2000


@async_test
async def test_the_messages_of_one_read_leave_turns_to_other_connections():
    class OneRead:
        chunks = [b"x\n" * 50]

        async def read(self, _):
            return self.chunks.pop() if self.chunks else b""

    handled, turns = [], []
    one, other_end = connected_pair()
    reader, writer = await asyncio.open_connection(sock=one)
    link = Link(reader, writer)
    link.reader = OneRead()

    def take_message(chunks: Chunks) -> bool:
        if chunks.take_line() is None:
            return False
        busy_until = time.monotonic() + TURN_S
        while time.monotonic() <= busy_until:
            pass
        handled.append(len(turns))
        return True

    async def other_connection():
        while len(handled) < 50:
            turns.append(len(handled))
            await asyncio.sleep(0)

    other = asyncio.create_task(other_connection())
    await link.read_all(take_message)
    await other
    assert handled == sorted(handled) and len(set(handled)) >= 49  # a turn between each two messages
    link.abort()
    other_end.close()


def connected_pair():
    """Two connected TCP sockets."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        one = socket.create_connection(listening.getsockname())
        other, _ = listening.accept()
    one.setblocking(False)
    other.setblocking(False)
    return one, other


STEPS = st.lists(
    st.tuples(st.sampled_from(["add", "remove"]), st.integers(0, 3), st.integers(0, 40), st.integers(0, 9000))
)


@given(STEPS)
def test_the_counts_of_open_set_ups_are_those_of_the_open_ones(steps):
    open_set_ups, expected = OpenSetUps(max_bytes=20 * SET_UP_BYTES), {}
    for step, connection, call, size in steps:
        if step == "remove":
            open_set_ups.remove(str(call))
            expected.pop(call, None)
        elif open_set_ups.add(connection, str(call), size):
            expected[call] = (connection, size + SET_UP_BYTES)
        assert open_set_ups.total_bytes == sum(size for _, size in expected.values()) <= 20 * SET_UP_BYTES
        for number in range(4):
            assert open_set_ups.count(number) == sum(owner == number for owner, _ in expected.values())


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 16_384))))
def test_the_connection_with_most_of_a_message_is_closed_when_the_sum_is_too_large(steps):
    partial, expected = PartialMessages(max_bytes=40_000), {}
    for connection, size in steps:
        expected[connection] = size
        excess = partial.set(connection, size)
        assert (excess is not None) == (sum(expected.values()) > 40_000)
        if excess is not None:
            assert expected[excess] == max(expected.values())
            partial.remove(excess)
            del expected[excess]
    assert partial.total_bytes == sum(expected.values())
