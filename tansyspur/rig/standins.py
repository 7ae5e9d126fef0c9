"""Socket side of the rig: SIP ports of the store switches, command channels, caller connections, peer datagrams.

Each class only transfers messages; the handlers that a run passes in decide what becomes of them.
"""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

HOST = "127.0.0.1"


class SipMessage:
    """A parsed SIP message; header names are in lower case. Raises KeyError without Call-ID or CSeq."""

    __slots__ = ("body", "call_id", "cseq", "headers", "start")

    def __init__(self, head: str, body: bytes) -> None:
        self.start, *header_lines = head.split("\r\n")
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (row.partition(":") for row in header_lines)
        }
        self.call_id = self.headers["call-id"]
        self.cseq = self.headers["cseq"]
        self.body = body


def format_sip(start: str, call_id: str, cseq: str, *headers: str, body: str = "") -> bytes:
    """Return a SIP message with this start line; `headers` are further complete header lines."""
    data = body.encode()
    lines = [start, "Via: SIP/2.0/TCP switch", f"Call-ID: {call_id}", f"CSeq: {cseq}", *headers]
    return "\r\n".join([*lines, f"Content-Length: {len(data)}", "", ""]).encode() + data


class SipConnection:
    """A connection from a gatekeeper to a stand-in switch."""

    def __init__(self, port: "SwitchPort", writer: asyncio.StreamWriter) -> None:
        self.port, self.writer = port, writer

    @property
    def open(self) -> bool:
        return not self.writer.is_closing()

    def send(self, data: bytes) -> None:
        if self.open:
            self.port.sent += 1
            self.writer.write(data)


class SwitchPort:
    """The listening port at which one gatekeeper reaches one store switch.

    Each pair has a port of its own, so that the port identifies the gatekeeper. `group_state` returns the value of
    X-Group that is sent on each new connection and by `send_state`.
    """

    def __init__(
        self,
        gatekeeper: str,
        switch: str,
        on_message: Callable[["SwitchPort", SipConnection, SipMessage], None],
        on_lost: Callable[["SwitchPort", SipConnection], None],
        group_state: Callable[[], str],
    ) -> None:
        self.gatekeeper, self.switch = gatekeeper, switch
        self.on_message, self.on_lost, self.group_state = on_message, on_lost, group_state
        self.connections: list[SipConnection] = []
        self.sent = self.received = 0

    async def open(self) -> int:
        """Start to listen and return the port number."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = SipConnection(self, writer)
        connection.send(self._state())
        self.connections.append(connection)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode()
                length = int(
                    next(row for row in head.split("\r\n") if row.lower().startswith("content-length")).split(
                        ":"
                    )[1]
                )
                message = SipMessage(head, await reader.readexactly(length) if length else b"")
                self.received += 1
                self.on_message(self, connection, message)
        self.connections.remove(connection)
        self.on_lost(self, connection)
        writer.close()

    def _state(self) -> bytes:
        return format_sip(
            "NOTIFY sip:group@net SIP/2.0", "state", "1 NOTIFY", f"X-Group: {self.group_state()}"
        )

    def send_state(self) -> None:
        data = self._state() if self.connections else b""
        for connection in self.connections:
            connection.send(data)

    def any_connection(self) -> SipConnection | None:
        return next((connection for connection in self.connections if connection.open), None)

    def close(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.writer.close()


class CommandChannel:
    """The command channel of one gatekeeper: numbered events that carry the list of store switches."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.events: list[dict[str, Any]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = asyncio.Event()
        self.send_event(endpoints, snapshot=True)

    def send_event(self, endpoints: list[dict[str, Any]], snapshot: bool = False) -> None:
        event = {
            "cursor": len(self.events) + 1,
            "nodes": {"index": len(self.events) + 1, "snapshot": snapshot, "endpoints": endpoints},
        }
        self.events.append(event)
        for writer in self.writers:
            writer.write(json.dumps(event).encode() + b"\n")

    async def open(self) -> int:
        """Start to listen and return the port number."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            _, cursor = (await reader.readline()).split()
            for event in self.events[int(cursor) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.writers.append(writer)
            while not writer.is_closing() and not self.closed.is_set():
                writer.write(b"%d\n" % len(self.events))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1):
                        await self.closed.wait()
        if writer in self.writers:
            self.writers.remove(writer)
        writer.close()

    def close(self) -> None:
        self.closed.set()
        self.server.close()
        for writer in self.writers:
            writer.close()


class CallerConnection:
    """A caller-side connection of JSON lines to one gatekeeper; reconnects when it is closed."""

    def __init__(
        self,
        address: tuple[str, int],
        on_message: Callable[[dict[str, Any]], None],
        on_lost: Callable[[], None],
    ) -> None:
        self.address, self.on_message, self.on_lost = address, on_message, on_lost
        self.writer: asyncio.StreamWriter | None = None
        self.closing = False

    async def connect(self) -> None:
        reader, self.writer = await asyncio.open_connection(*self.address)
        # The gatekeeper closes connections on which it receives nothing.
        self.send("ping", "00000000000000ff", cause=0)
        self.task = asyncio.create_task(self._read(reader))

    async def ready(self) -> bool:
        """Return whether the gatekeeper answers a ping with cause 1 (serving), on a connection of its own."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b'{"type":"ping","id":"00000000000000ff","fields":{},"cause":0}\n')
            async with asyncio.timeout(1):
                return json.loads(await reader.readline())["cause"] == 1
        except (OSError, ValueError, KeyError, TimeoutError):
            return False
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                self.on_message(json.loads(line))
        self.writer = None
        if not self.closing:
            self.on_lost(self)
            while not self.closing:
                with contextlib.suppress(OSError):
                    return await self.connect()
                await asyncio.sleep(0.1)

    def send(self, message_type: str, call_id: str, **more: Any) -> bool:
        """Send a message and return True, or return False if the connection is closed."""
        if self.writer is None or self.writer.is_closing():
            return False
        message = {"type": message_type, "id": call_id, "fields": {}, **more}
        self.writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        return True

    def close(self) -> None:
        self.closing = True
        if self.writer:
            self.writer.close()


class PeerNetwork:
    """Forwards the datagrams between gatekeepers, with the delay between their store switches.

    Each ordered pair of gatekeepers has an address of its own: the first one sends to the second one there, and
    receives the second one's datagrams from it. The address therefore identifies the sender.
    """

    def __init__(
        self, host: str, peers: dict[str, int], delay_s: Callable[[str, str], float], messages: "Counter[str]"
    ) -> None:
        self.host, self.peers, self.delay_s, self.messages = host, peers, delay_s, messages
        self.sockets: dict[tuple[str, str | None], asyncio.DatagramTransport] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for sender in self.peers:
            for receiver in (None, *self.peers):
                if sender != receiver:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda sender=sender, receiver=receiver: _PeerProtocol(self, sender, receiver),
                        local_addr=(self.host, 0),
                    )
                    self.sockets[sender, receiver] = transport

    def port(self, name: str, other: str | None) -> int:
        """Return the port at which a gatekeeper reaches another one (None: all others), or its own port."""
        transport = self.sockets.get((name, other))
        if transport is None:
            return self.peers[name] if name == other else 9
        return int(transport.get_extra_info("sockname")[1])

    def forward(self, sender: str, receiver: str | None, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        for other in [receiver] if receiver else [peer for peer in self.peers if peer != sender]:
            self.messages["fill reports"] += 1
            transport = self.sockets[other, sender]
            loop.call_later(
                self.delay_s(sender, other), transport.sendto, data, (self.host, self.peers[other])
            )

    def close(self) -> None:
        for transport in self.sockets.values():
            transport.close()


class _PeerProtocol(asyncio.DatagramProtocol):
    def __init__(self, network: PeerNetwork, sender: str, receiver: str | None) -> None:
        self.network, self.sender, self.receiver = network, sender, receiver

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr[1] == self.network.peers[self.sender]:
            self.network.forward(self.sender, self.receiver, data)
