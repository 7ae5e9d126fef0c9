"""Messages between two processes at one address: their wire form, and a connection that carries unusable lines.

Guards against a line that ends the connection, which each process takes for the exit of the other.
"""

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.net.handover import Partner
from tansyspur.net.handover_messages import (
    MAX_IDS_PER_LINE,
    MAX_LINE_BYTES,
    CallEnd,
    CallerRelease,
    ConfigurationRead,
    EventsStored,
    InvalidMessage,
    Sender,
    Serving,
    SwitchRelease,
    TakenIds,
    decode,
    encode,
    taken_ids,
)
from tansyspur.net.recent_ids import RecentIds
from tests.async_runner import async_test, close_at_end
from tests.world import WAIT_TIMEOUT_S

CALL_IDS = st.from_regex(r"[0-9A-Fa-f]{16}", fullmatch=True)
CAUSES = st.integers(1, 127)
SWITCH_RELEASES = st.builds(
    SwitchRelease, CALL_IDS, st.text(max_size=256), st.booleans(), st.text(max_size=512)
)
TAKEN_IDS = st.builds(TakenIds, st.lists(CALL_IDS, max_size=MAX_IDS_PER_LINE).map(tuple))
FROM_BOTH = st.one_of(
    st.builds(CallerRelease, CALL_IDS, CAUSES), SWITCH_RELEASES, TAKEN_IDS, st.just(EventsStored())
)
FROM_SUCCESSOR = st.one_of(st.just(Serving()), FROM_BOTH)
FROM_PREDECESSOR = st.one_of(st.builds(CallEnd, CALL_IDS, CAUSES), st.just(ConfigurationRead()), FROM_BOTH)
UNUSABLE = [
    b"\n", b"[]\n", b"{\n", b"\xff\n", b'{"type":"release"}\n', b'{"type":"release","id":7,"cause":16}\n',
    b'{"type":"release","id":"00000000000000zz","cause":16}\n', b"9" * 5000 + b"\n", b"[" * 4000 + b"\n",
    b'{"type":"release","id":"00000000000000aa","cause":' + b"9" * 4200 + b"}\n", b"x" * 20_000 + b"\n",
]  # fmt: skip


@given(FROM_SUCCESSOR)
def test_each_message_of_a_successor_is_read_as_it_was_sent(message):
    assert decode(encode(message, Sender.SUCCESSOR), Sender.SUCCESSOR) == message


@given(FROM_PREDECESSOR)
def test_each_message_of_a_predecessor_is_read_as_it_was_sent(message):
    assert decode(encode(message, Sender.PREDECESSOR), Sender.PREDECESSOR) == message


@given(st.sampled_from(Sender), st.binary(max_size=200))
def test_any_bytes_are_a_message_or_an_error_of_the_codec(sender, line):
    with contextlib.suppress(InvalidMessage):
        decode(line, sender)


@given(st.integers(0, 1000))
def test_any_number_of_taken_ids_fits_on_lines(count):
    call_ids = [f"{number:016x}" for number in range(count)]
    lines = [encode(message, Sender.PREDECESSOR) for message in taken_ids(call_ids)]
    assert all(len(line) <= MAX_LINE_BYTES for line in lines)
    received = [call_id for line in lines for call_id in decode(line, Sender.PREDECESSOR).call_ids]
    assert received == call_ids


@given(st.lists(st.tuples(st.integers(0, 300), st.floats(0, 9)), max_size=60))
def test_an_id_is_remembered_for_its_lifetime_unless_there_are_too_many(steps):
    ids, now, added_at = RecentIds(lifetime_s=20, max_ids=1000), 0.0, {}
    for number, wait_s in steps:
        now += wait_s
        ids.add(str(number), now)
        added_at[number] = now
        assert all(str(known) in ids for known, at in added_at.items() if now - at < 20)
    assert len(list(ids)) <= 2 * len(steps)


@pytest.mark.parametrize("cause", [0, 128, -1, 10**4200, True, None, "16", 1.5])
def test_a_release_with_a_figure_that_is_no_cause_is_a_normal_one(cause):
    line = b'{"type":"release","id":"00000000000000aa","cause":%s}\n'
    text = {True: b"true", None: b"null", "16": b'"16"'}.get(
        cause, b"9" * 300 if cause == 10**4200 else b"%r" % cause
    )
    message = decode(line.replace(b"%s", text), Sender.SUCCESSOR)
    assert message == CallerRelease("00000000000000aa", 16)


@pytest.mark.parametrize("unusable", UNUSABLE, ids=range(len(UNUSABLE)))
@async_test
async def test_an_unusable_line_does_not_end_the_connection_to_the_other_process(unusable):
    received, lines = [], []

    async def serve(reader, writer):
        close_at_end(writer)
        writer.write(unusable + encode(Serving(), Sender.SUCCESSOR))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port, limit=MAX_LINE_BYTES)
    partner = Partner(
        Sender.SUCCESSOR, reader, writer, received.append, lambda level, msgid, text: lines.append(text)
    )
    task = asyncio.create_task(partner.run())
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not received:
            await asyncio.sleep(0.01)
    assert received == [Serving()] and partner.serving and not partner.ended.is_set()
    assert lines and all(line.startswith("ignored from the successor") for line in lines)
    writer.close()
    await task
    assert partner.ended.is_set()
    server.close()
    await server.wait_closed()
