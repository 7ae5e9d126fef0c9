"""A TCP proxy on loopback that plays network and machine faults on the links that cross it.

A machine that vanished gives no sign: its open connections stay open and silent, and new ones never come up. The
first is played by reading from neither side; the second by a listening socket whose queue is full, as the kernel
then drops what asks for a connection.
"""

import asyncio
import contextlib
import socket
from enum import Enum

HOST = "127.0.0.1"
PIECE = 64 * 1024
QUEUE_FILLERS = 4  # connections that fill a listening socket's queue of none
FILL_S = 0.02  # until the kernel has put them there


class Fault(Enum):
    """What the proxy does with new connections, and with those that are open."""

    NONE = "none"
    SILENT = "silent"  # new connections never come up, open ones bring nothing more
    HANG = "hang"  # new connections come up, but neither they nor open ones bring anything more
    REFUSE = "refuse"  # new connections are refused, open ones go on


class ProxiedConnection:
    """Two joined sockets, each direction copied by a task."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter, silent: bool) -> None:
        self.client, self.server = client, server
        self.silent = silent  # for good: what was sent into it is gone

    def reset(self) -> None:
        self.client.transport.abort()
        self.server.transport.abort()


class FaultProxy:
    """Forwards to target until a fault is set; the target may change, as when a machine takes an address."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.fault = Fault.NONE
        self.connections: list[ProxiedConnection] = []
        self.accepted = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._blackhole: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "FaultProxy":
        await self._listen()
        return self

    async def set_fault(self, fault: Fault) -> None:
        """Open connections that are silenced stay so: a packet's retransmission is not played."""
        if fault is self.fault:
            return
        self._stop_listening()
        self.fault = fault
        if fault in (Fault.SILENT, Fault.HANG):
            self.silence_connections()
        if fault is Fault.SILENT:
            self._open_blackhole()
            await asyncio.sleep(FILL_S)
        elif fault in (Fault.NONE, Fault.HANG):
            await self._listen()

    def silence_connections(self) -> None:
        for connection in self.connections:
            connection.silent = True

    def reset_connections(self) -> None:
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        self._stop_listening()
        self.reset_connections()
        for task in self._tasks:
            task.cancel()

    async def _listen(self) -> None:
        listening = _bound(self.port)
        self.port = listening.getsockname()[1]
        self._server = await asyncio.start_server(self._accepted, sock=listening)

    def _stop_listening(self) -> None:
        if self._server:
            self._server.close()
            self._server = None
        for one in (*self._fillers, self._blackhole):
            if one:
                one.close()
        self._fillers, self._blackhole = [], None

    def _open_blackhole(self) -> None:
        self._blackhole = _bound(self.port)
        self._blackhole.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self._fillers.append(filler)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection(writer, far_writer, self.fault is Fault.HANG)
        self.connections.append(connection)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._copy(connection, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, connection: ProxiedConnection, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        """What comes while the connection is silent is read and dropped, its end too."""
        try:
            while piece := await source.read(PIECE):
                if not connection.silent:
                    sink.write(piece)
            if not connection.silent:
                sink.write_eof()
        except OSError:
            if not connection.silent:
                sink.transport.abort()
        finally:
            both_ended = connection.client.is_closing() and connection.server.is_closing()
            if both_ended and connection in self.connections:
                self.connections.remove(connection)


def _bound(port: int) -> socket.socket:
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind((HOST, port))
    return made
