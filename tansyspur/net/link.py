"""One TCP connection: read in chunks, written without waiting, dropped when the other side stalls."""

import asyncio
import socket
from collections.abc import Callable

from tansyspur.net.framing import LONGEST, Chunks, FramingError

READ_SIZE = 64 * 1024
SEND_BUFFER = 8 * 1024  # of the kernel: what a stalled peer can be owed
MOST_UNSENT = 256 * 1024
STALL_S = 0.5  # bytes that stay unsent for so long show that the other side takes none


class Link:
    """Messages in by on_data, which takes what it can from the chunks; write() never waits."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, longest: int = LONGEST
    ) -> None:
        self.reader, self.writer = reader, writer
        self.chunks = Chunks(longest)
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.heard_at = self.loop.time()
        self.stall_timer: asyncio.TimerHandle | None = None
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)

    async def read_all(self, on_data: Callable[[Chunks], None]) -> str:
        """Until the connection ends; says how it ended."""
        try:
            while chunk := await self.reader.read(READ_SIZE):
                self.heard_at = self.loop.time()
                self.chunks.feed(chunk)
                on_data(self.chunks)
        except FramingError as error:
            return str(error)
        except OSError as error:
            return error.strerror or type(error).__name__
        finally:
            self.abort()
        return "closed"

    @property
    def unsent(self) -> int:
        return 0 if self.closed else self.writer.transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        if self.closed or self.writer.transport.is_closing():
            return
        self.writer.write(data)
        if self.unsent > MOST_UNSENT:
            self.abort()
        elif self.unsent and self.stall_timer is None:
            self.stall_timer = self.loop.call_later(STALL_S, self._stalled)

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
