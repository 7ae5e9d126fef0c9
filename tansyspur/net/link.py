"""One TCP connection: read in chunks, written without waiting, dropped when the other side stalls."""

import asyncio
import contextlib
import fcntl
import itertools
import socket
import termios
from array import array
from collections.abc import Callable

from tansyspur.net.framing import LONGEST, Chunks

READ_SIZE = 16 * 1024  # what one connection may bring before the others have their turn
SEND_BUFFER = 8 * 1024  # of the kernel: what a stalled peer can be owed
MOST_UNSENT = 256 * 1024
STALL_S = 0.5  # bytes that stay unsent for so long show that the other side takes none
LINGER_S, LINGER_BYTES = 0.2, 512 * 1024  # what is still read, and dropped, after the last word


class Link:
    """Messages in by on_data, which takes what it can from the chunks; write() never waits."""

    numbers = itertools.count(1)

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, longest: int = LONGEST
    ) -> None:
        self.reader, self.writer = reader, writer
        self.number = next(self.numbers)  # by which the log tells connections apart
        self.chunks = Chunks(longest)
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.heard_at = self.opened_at = self.loop.time()
        self.stall_timer: asyncio.TimerHandle | None = None
        self.waits: set[asyncio.Task[None]] = set()
        writer.transport.set_write_buffer_limits(high=0)  # drain() waits for the last byte
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)

    async def read_all(
        self, on_data: Callable[[Chunks], bool], rest_s: float, unfinished: Callable[[], None]
    ) -> str:
        """Until the connection ends; says how it ended. A FramingError is the caller's to handle.

        on_data says whether it took a message. unfinished() is called when the next one has begun and does
        not end within rest_s: where a length is wrong, all that follows would be taken for a part of it.
        """
        rest: asyncio.TimerHandle | None = None
        try:
            while chunk := await self.reader.read(READ_SIZE):
                self.heard_at = self.loop.time()
                if self.closed:
                    continue  # the last word is said
                self.chunks.feed(chunk)
                taken = on_data(self.chunks)
                if rest and (taken or not self.chunks.view):
                    rest.cancel()
                    rest = None
                if self.chunks.view and not rest:
                    rest = self.loop.call_later(rest_s, unfinished)
                if len(chunk) == READ_SIZE:
                    # Guards against one flooding connection: a read of bytes that are there never waits.
                    await asyncio.sleep(0)
        except OSError as error:
            return error.strerror or type(error).__name__
        finally:
            if rest:
                rest.cancel()
        return "closed"

    async def farewell(self) -> None:
        """Close after what is written. Guards against the reset that unread bytes would cause, which can
        overtake the last answers."""
        self.closed = True
        dropped = 0
        with contextlib.suppress(OSError, TimeoutError):
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while dropped < LINGER_BYTES and (chunk := await self.reader.read(READ_SIZE)):
                    dropped += len(chunk)

    def leave(self) -> None:
        """The same while read_all() runs: it reads, and drops, what still comes."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.writer.write_eof()
            self.loop.call_later(LINGER_S, self.writer.transport.abort)

    @property
    def unsent(self) -> int:
        return 0 if self.closed else self.writer.transport.get_write_buffer_size()

    @property
    def unfinished(self) -> bool:
        """Whether a message has begun to come and is not whole."""
        return bool(self.chunks.view)

    @property
    def unread(self) -> int:
        """Bytes that have come and that the loop has not read."""
        waiting = array("i", [0])
        with contextlib.suppress(OSError, ValueError):  # it is closed
            fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.FIONREAD, waiting)
        return waiting[0]

    def write(self, data: bytes, written: Callable[[], None] | None = None) -> None:
        """Written or dropped; written() is called once the last byte has left."""
        if self.closed or self.writer.transport.is_closing():
            return
        self.writer.write(data)
        if written and not self.unsent:
            written()
        elif written:
            waits = self.loop.create_task(self._when_written(written))
            self.waits.add(waits)
            waits.add_done_callback(self.waits.discard)
        if self.unsent > MOST_UNSENT:
            self.abort()
        elif self.unsent and self.stall_timer is None:
            self.stall_timer = self.loop.call_later(STALL_S, self._stalled)

    async def _when_written(self, written: Callable[[], None]) -> None:
        with contextlib.suppress(OSError):  # it ended first
            await self.writer.drain()
            # Guards against counting what was dropped: an aborted connection ends the wait without error.
            if not self.writer.transport.is_closing():
                written()

    def _stalled(self) -> None:
        self.stall_timer = None
        if self.unsent:
            self.abort()

    def abort(self) -> None:
        """At once; what is not written yet never leaves."""
        self.closed = True
        if self.stall_timer:
            self.stall_timer.cancel()
        self.writer.transport.abort()
