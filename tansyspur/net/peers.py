"""UDP datagrams of at most 256 bytes to and from the other gatekeepers of the tier."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

MAX_DATAGRAM_BYTES = 256

Log = Callable[..., None]


def parse_address(address: str) -> tuple[str, int]:
    """Split HOST:PORT. Raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Peers(asyncio.DatagramProtocol):
    """The UDP socket to the other gatekeepers; implements core.ports.Messenger.

    A peer is identified by its ordinal, the index of its address in peers; all_peers is the address that reaches all of
    them. on_message gets the ordinal and the data of each datagram from a known address.
    """

    def __init__(
        self, peers: list[str], all_peers: str | None, on_message: Callable[[int, bytes], None], log: Log
    ):
        self.addresses = [parse_address(address) for address in peers]
        self.ordinals = {address: ordinal for ordinal, address in enumerate(self.addresses)}
        self.all_peers = parse_address(all_peers) if all_peers else None
        self.on_message, self.log = on_message, log
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, bound_socket: socket.socket) -> None:
        """Start to receive. A copy of the socket is used and closed: another process may hold the same socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound_socket.dup())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No isinstance check: the datagram transport of the selector loop is no subclass of DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self.ordinals.get((addr[0], addr[1]))
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            return self.log(
                "warning",
                "peers",
                f"datagram from an unknown sender or longer than {MAX_DATAGRAM_BYTES} bytes dropped",
            )
        self.on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        self.log("notice", "peers", f"datagram not delivered: {exc}")

    def send(self, peer: int | None, data: bytes) -> None:
        destination = (
            self.all_peers
            if peer is None
            else self.addresses[peer]
            if 0 <= peer < len(self.addresses)
            else None
        )
        if destination is None or len(data) > MAX_DATAGRAM_BYTES:
            return self.log(
                "warning",
                "peers",
                f"message not sent: no such peer, or longer than {MAX_DATAGRAM_BYTES} bytes",
                peer=peer,
                bytes=len(data),
            )
        if self.transport:
            self.transport.sendto(data, destination)

    def close(self) -> None:
        if self.transport:
            self.transport.close()
