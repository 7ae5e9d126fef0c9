"""TCP proxy on loopback that injects network and machine faults into the connections through it.

When a machine is lost, its open connections stay open but silent, and new ones are never established. The proxy
simulates the first by dropping all data that it reads, and the second by a listening socket whose queue is full,
because the kernel then drops connection requests.
"""

import asyncio
import contextlib
import socket
from enum import Enum

HOST = "127.0.0.1"
READ_SIZE_BYTES = 64 * 1024
QUEUE_FILLERS = 4  # connections that fill the queue of a socket that listens with backlog 0
QUEUE_FILL_S = 0.02  # time for the kernel to put them into the queue


class Fault(Enum):
    """What the proxy does with new connections, and with those that are open."""

    NONE = "none"
    SILENT = "silent"  # new connections are never established, open ones deliver no more data
    HANG = "hang"  # new connections are established, but neither they nor open ones deliver data
    REFUSE = "refuse"  # new connections are refused, open ones continue


class ProxiedConnection:
    """A client connection and its connection to the target; a task copies each direction."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter, silent: bool) -> None:
        self.client, self.server = client, server
        self.silent = silent  # permanent, because the data sent meanwhile has been dropped

    def reset(self) -> None:
        self.client.transport.abort()
        self.server.transport.abort()


class FaultProxy:
    """Forwards connections to a loopback port until a fault is set.

    `target` may be changed at any time, as when another machine takes over an address. `accepted` counts the accepted
    connections.
    """

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
        """Listen on a free port, which is then `port`, and return the proxy itself."""
        await self._listen()
        return self

    async def set_fault(self, fault: Fault) -> None:
        """Apply a fault, or Fault.NONE to end it.

        Silenced connections stay silent afterwards, because retransmission of lost data is not simulated.
        """
        if fault is self.fault:
            return
        self._stop_listening()
        self.fault = fault
        if fault in (Fault.SILENT, Fault.HANG):
            self.silence_connections()
        if fault is Fault.SILENT:
            self._open_blackhole()
            await asyncio.sleep(QUEUE_FILL_S)
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
        listening_socket = _bind_socket(self.port)
        self.port = listening_socket.getsockname()[1]
        self._server = await asyncio.start_server(self._on_connection, sock=listening_socket)

    def _stop_listening(self) -> None:
        if self._server:
            self._server.close()
            self._server = None
        for listening_socket in (*self._fillers, self._blackhole):
            if listening_socket:
                listening_socket.close()
        self._fillers, self._blackhole = [], None

    def _open_blackhole(self) -> None:
        self._blackhole = _bind_socket(self.port)
        self._blackhole.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self._fillers.append(filler)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        """Copy one direction; while the connection is silent, data and the end of the stream are dropped."""
        try:
            while data := await source.read(READ_SIZE_BYTES):
                if not connection.silent:
                    sink.write(data)
            if not connection.silent:
                sink.write_eof()
        except OSError:
            if not connection.silent:
                sink.transport.abort()
        finally:
            both_ended = connection.client.is_closing() and connection.server.is_closing()
            if both_ended and connection in self.connections:
                self.connections.remove(connection)


def _bind_socket(port: int) -> socket.socket:
    bound_socket = socket.socket()
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.bind((HOST, port))
    return bound_socket
