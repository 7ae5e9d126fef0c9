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
    MAX_LINE_BYTES,
    CallEnd,
    CallerRelease,
    InvalidMessage,
    Sender,
    Serving,
    SwitchRelease,
    decode,
    encode,
)
from tests.test_program import async_test
from tests.world import WAIT_TIMEOUT_S

CALL_IDS = st.from_regex(r"[0-9A-Fa-f]{16}", fullmatch=True)
CAUSES = st.integers(1, 127)
SWITCH_RELEASES = st.builds(
    SwitchRelease, CALL_IDS, st.text(max_size=256), st.booleans(), st.text(max_size=512)
)
FROM_BOTH = st.one_of(st.builds(CallerRelease, CALL_IDS, CAUSES), SWITCH_RELEASES)
FROM_SUCCESSOR = st.one_of(st.just(Serving()), FROM_BOTH)
FROM_PREDECESSOR = st.one_of(st.builds(CallEnd, CALL_IDS, CAUSES), FROM_BOTH)
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
