"""UDP datagrams of at most 256 bytes to and from the other gatekeepers of the tier."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

LONGEST = 256

Log = Callable[..., None]


def parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Peers(asyncio.DatagramProtocol):
    def __init__(
        self, peers: list[str], everyone: str | None, on_message: Callable[[int, bytes], None], log: Log
    ):
        self.addresses = [parse_address(address) for address in peers]
        self.ordinals = {address: ordinal for ordinal, address in enumerate(self.addresses)}
        self.everyone = parse_address(everyone) if everyone else None
        self.on_message, self.log = on_message, log
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, bound: socket.socket) -> None:
        """Read from now on. A copy is read and closed: another process may hold the same socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound.dup())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No isinstance here: by class, the selector loop's datagram transport is no DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self.ordinals.get((addr[0], addr[1]))
        if sender is None or len(data) > LONGEST:
            return self.log("warning", "peers", "a datagram from a stranger or too long was dropped")
        self.on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        self.log("notice", "peers", f"a datagram was not taken: {exc}")

    def send(self, peer: int | None, data: bytes) -> None:
        to = (
            self.everyone
            if peer is None
            else self.addresses[peer]
            if 0 <= peer < len(self.addresses)
            else None
        )
        if to is None or len(data) > LONGEST:
            return self.log("warning", "peers", "a message was not sent", peer=peer, bytes=len(data))
        if self.transport:
            self.transport.sendto(data, to)

    def close(self) -> None:
        if self.transport:
            self.transport.close()
