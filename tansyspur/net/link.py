"""One TCP connection: read in chunks, written without waiting, aborted when the other side stops reading."""

import asyncio
import contextlib
import fcntl
import itertools
import math
import socket
import termios
from array import array
from collections.abc import Callable

from tansyspur.net.framing import MAX_MESSAGE_BYTES, Chunks

READ_BYTES = 16 * 1024  # read from one connection before the others get their turn
TURN_S = 0.001  # of one connection's messages, before the others get their turn
SEND_BUFFER_BYTES = 8 * 1024  # of the kernel; limits what waits there for a stalled peer
TCP_CLOSE_WAIT = 8  # of Linux, include/net/tcp_states.h
MAX_UNSENT_BYTES = 256 * 1024
STALL_TIMEOUT_S = 0.5  # bytes unsent for this long show that the other side does not read
# how long and how much is read and discarded after the final message
LINGER_S, LINGER_BYTES = 0.2, 512 * 1024


class Link:
    """A connection with its unconsumed chunks.

    read_all() passes received bytes to a callback, which consumes one complete message at a time. write() never waits:
    a connection that does not send its bytes within STALL_TIMEOUT_S, or holds more than MAX_UNSENT_BYTES, is aborted.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self.reader, self.writer = reader, writer
        self.number = next(self._numbers)  # identifies the connection in the log
        self.chunks = Chunks(max_message_bytes)
        # With more bytes unsent, no further message is handled: its answer would have to wait here too.
        self.max_unsent_while_reading: float = math.inf
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.received_at = self.opened_at = self.loop.time()
        self.stall_timer: asyncio.TimerHandle | None = None
        self.write_waiters: set[asyncio.Task[None]] = set()
        writer.transport.set_write_buffer_limits(high=0)  # drain() waits for the last byte
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    async def read_all(
        self,
        take_message: Callable[[Chunks], bool],
        on_received: Callable[[], None] | None = None,
        incomplete_timeout_s: float = math.inf,
        on_incomplete: Callable[[], None] | None = None,
    ) -> str:
        """Read until the connection ends, and return how it ended: "closed" or the text of the system error.

        take_message consumes and handles one message, and returns whether a complete one was there; a FramingError that
        it raises goes through to the caller. on_received(), if given, is called after each read, before its messages
        are handled. on_incomplete(), if given, is called when a message has begun and is not complete within
        incomplete_timeout_s: where a length is wrong, all that follows would be taken for a part of that message.
        """
        incomplete_timer: asyncio.TimerHandle | None = None
        incomplete_since = math.inf
        try:
            while chunk := await self.reader.read(READ_BYTES):
                self.received_at = self.loop.time()
                if self.closed:
                    continue  # closing: only discard
                self.chunks.feed(chunk)
                if on_received:
                    on_received()
                if incomplete_timer:
                    incomplete_timer.cancel()  # the time of this connection's own turn does not count
                    incomplete_timer = None
                if await self._take_messages(take_message) or math.isinf(incomplete_since):
                    incomplete_since = self.loop.time()
                self.chunks.release_consumed()
                if not self.chunks.view:
                    incomplete_since = math.inf
                elif on_incomplete and not self.closed:
                    due = incomplete_since + incomplete_timeout_s
                    incomplete_timer = self.loop.call_at(due, on_incomplete)
                if len(chunk) == READ_BYTES:
                    # A read of bytes that are available never waits: without this a flooding connection would
                    # block all others.
                    await asyncio.sleep(0)
        except OSError as error:
            return error.strerror or type(error).__name__
        finally:
            if incomplete_timer:
                incomplete_timer.cancel()
        return "closed"

    async def _take_messages(self, take_message: Callable[[Chunks], bool]) -> bool:
        """Handle the complete messages; returns whether there were any.

        Yields to the other connections after each TURN_S: one read may hold hundreds of messages.
        """
        any_taken = False
        turn_ends_at = self.loop.time() + TURN_S
        while not self.closed and take_message(self.chunks):
            any_taken = True
            if self.unsent > self.max_unsent_while_reading:
                await self.writer.drain()  # ends at the latest when the stalled connection is aborted
            if self.loop.time() > turn_ends_at:
                await asyncio.sleep(0)
                turn_ends_at = self.loop.time() + TURN_S
        return any_taken

    async def close_gracefully(self) -> None:
        """Send what is written, then discard incoming bytes for LINGER_S at most.

        Closing with unread bytes would cause a reset, which can overtake the last messages written.
        """
        self.closed = True
        discarded_bytes = 0
        with contextlib.suppress(OSError, TimeoutError):
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while discarded_bytes < LINGER_BYTES and (chunk := await self.reader.read(READ_BYTES)):
                    discarded_bytes += len(chunk)

    def start_graceful_close(self) -> None:
        """Like close_gracefully(), while read_all() is running, which reads and discards what still arrives."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.writer.write_eof()
            self.loop.call_later(LINGER_S, self.writer.transport.abort)

    @property
    def unsent(self) -> int:
        """Bytes written that are not passed to the kernel yet."""
        return 0 if self.closed else self.writer.transport.get_write_buffer_size()

    @property
    def has_partial_message(self) -> bool:
        """Whether the first part of a message has been received and the rest has not."""
        return bool(self.chunks.view)

    @property
    def peer_has_closed(self) -> bool:
        """Whether the other side has closed the connection. What it sent before may be unread still."""
        with contextlib.suppress(OSError, ValueError):  # the socket is closed, or is none of TCP
            info = self.writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            return info[:1] == bytes([TCP_CLOSE_WAIT])  # empty where the system does not tell
        return False

    @property
    def unread(self) -> int:
        """Bytes that have arrived in the kernel and are not read yet."""
        unread_bytes = array("i", [0])
        with contextlib.suppress(OSError, ValueError):  # the socket is closed
            fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.FIONREAD, unread_bytes)
        return unread_bytes[0]

    def write(self, data: bytes, on_written: Callable[[], None] | None = None) -> None:
        """Write the data, or drop it if the connection is closing; on_written() is called after its last byte."""
        if self.closed or self.writer.transport.is_closing():
            return
        self.writer.write(data)
        if on_written and not self.unsent:
            on_written()
        elif on_written:
            task = self.loop.create_task(self._when_written(on_written))
            self.write_waiters.add(task)
            task.add_done_callback(self.write_waiters.discard)
        if self.unsent > MAX_UNSENT_BYTES:
            self.abort()
        elif self.unsent and self.stall_timer is None:
            self.stall_timer = self.loop.call_later(STALL_TIMEOUT_S, self._stalled)

    async def _when_written(self, on_written: Callable[[], None]) -> None:
        with contextlib.suppress(OSError):  # the connection ended first
            await self.writer.drain()
            # An aborted connection ends the wait without an error: dropped bytes must not count as sent.
            if not self.writer.transport.is_closing():
                on_written()

    def _stalled(self) -> None:
        self.stall_timer = None
        if self.unsent:
            self.abort()

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self.closed = True
        if self.stall_timer:
            self.stall_timer.cancel()
        self.writer.transport.abort()
