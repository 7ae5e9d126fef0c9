"""Reliable transport of IAX2 frames over one UDP socket (RFC 5456, section 7).

An Endpoint owns the socket and assigns each datagram to a Leg. A Leg acknowledges and orders the full frames that it
receives, retransmits its own until they are acknowledged, and passes each received frame on to its LegUser once.
"""

import asyncio
import itertools
import random
import secrets
from collections.abc import Callable
from typing import Protocol, cast

from tansyspur.core.error_boundary import log_error, run_contained
from tansyspur.core.lease import LATE_TIMER_S, LEASE_S
from tansyspur.core.ports import TEMPORARY_FAILURE
from tansyspur.iax2.frames import (
    IE,
    MAX_CALL_NUMBER,
    UNSEQUENCED,
    FrameError,
    FrameType,
    FullFrame,
    Iax,
    MiniFrame,
    decode,
    decode_elements,
    element_number,
    encode_elements,
)

# The RFC allows four retransmissions. The delay doubles with each.
FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S, MAX_RETRIES = 0.25, 10.0, 4
PING_INTERVAL_S = 3.0  # not set by the RFC; a PING without a response must be noticed well within the lease
IAX_SUBCLASSES = frozenset(int(subclass) for subclass in Iax)
# A closed leg acknowledges retransmissions for this time, so that none of them starts a new call.
LINGER_S = 15.0
COPY_WINDOW_S = 2.0  # a copy that the network makes of a datagram arrives within this time
MAX_LEGS = 4_000

Address = tuple[str, int]
Log = Callable[..., None]


class LegUser(Protocol):
    """What a leg belongs to: a caller, an attempt at a switch, or a registration. It receives the leg's events."""

    def on_frame(self, leg: "Leg", frame: FullFrame, elements: dict[int, bytes]) -> None:
        """A signalling frame was received. Each is reported once and in order; elements are decoded from IAX frames."""

    def on_media(self, leg: "Leg", frame: FullFrame | MiniFrame) -> None: ...

    def on_lost(self, leg: "Leg", reason: str) -> None:
        """The leg failed: the remote side does not respond, or sent INVAL as it has no such call."""


class Leg:
    """One call in the sense of the RFC: a pair of call numbers, two sequence numbers, and unacknowledged frames.

    closing: the final frame has been sent, and is not acknowledged yet. closed: only ACK and VNAK are sent.
    """

    def __init__(self, endpoint: "Endpoint", number: int, address: Address, user: LegUser | None) -> None:
        self.endpoint, self.number, self.address, self.user = endpoint, number, address, user
        self.loop = asyncio.get_running_loop()
        self.remote = 0  # the remote side's call number; 0 until a frame with it was received
        self.oseqno = self.iseqno = 0
        self.unacked: dict[int, FullFrame] = {}
        self.retries: dict[int, int] = {}  # retransmissions so far, by oseqno as are the frames and timers
        self.timers: dict[int, asyncio.TimerHandle] = {}
        self.started_at = self.loop.time()
        self.last_timestamp = -1
        # Of the frame from the remote side that opened the leg, to recognize its retransmissions.
        self.opening_data: bytes | None = None
        self.opening_timestamp = -1
        self.closing = self.closed = False
        self.ping_timer: asyncio.TimerHandle | None = None
        self.last_received_at = self.started_at
        self.next_ping_at = self.keep_alive_due_at = 0.0

    # Sending

    def timestamp(self) -> int:
        """Milliseconds since the start of the leg; always greater than the last one."""
        self.last_timestamp = max(self.last_timestamp + 1, int((self.loop.time() - self.started_at) * 1000))
        return self.last_timestamp

    def send(self, frame_type: int, subclass: int, data: bytes = b"", timestamp: int | None = None) -> None:
        """Send a full frame, and retransmit it until it is acknowledged.

        Does nothing once the leg is closing. The timestamp is that of the moment unless one is given.
        """
        if self.closed or self.closing:
            return
        stamp = self.timestamp() if timestamp is None else timestamp
        frame = FullFrame(
            self.number, self.remote, stamp, self.oseqno, self.iseqno, frame_type, subclass, data
        )
        self.unacked[self.oseqno], self.retries[self.oseqno] = frame, 0
        self.oseqno = (self.oseqno + 1) % 256
        self._start_retry_timer(frame.oseqno, FIRST_RETRY_DELAY_S)  # first: an error below must not stop it
        self.endpoint.send(frame.encode(), self.address)

    def send_iax(self, subclass: Iax, *elements: tuple[int, bytes | str | int]) -> None:
        """Send an IAX control frame with these information elements, reliably."""
        self.send(FrameType.IAX, subclass, encode_elements(elements))

    def _start_retry_timer(self, oseqno: int, delay_s: float) -> None:
        self.timers[oseqno] = self.loop.call_later(delay_s, self._on_retry_timer, oseqno, delay_s)

    def _on_retry_timer(self, oseqno: int, delay_s: float) -> None:
        frame = self.unacked[oseqno]
        if self.retries[oseqno] >= MAX_RETRIES:
            return self.give_up("frame not acknowledged after the last retransmission")
        self.retries[oseqno] += 1
        self._start_retry_timer(oseqno, min(MAX_RETRY_DELAY_S, delay_s * 2))
        self._retransmit(frame)

    def _retransmit(self, frame: FullFrame) -> None:
        """Send the frame again with the R bit set; the remote call number may have been learned since."""
        repeat = FullFrame(
            frame.source, self.remote or frame.destination, frame.timestamp, frame.oseqno, self.iseqno,
            frame.frame_type, frame.subclass, frame.data,
        )  # fmt: skip
        self.endpoint.send(repeat.encode(retransmitted=True), self.address)

    def send_unsequenced(self, subclass: Iax, timestamp: int, data: bytes = b"") -> None:
        """Send an IAX frame that takes no sequence number and is not retransmitted."""
        frame = FullFrame(
            self.number, self.remote, timestamp, self.oseqno, self.iseqno, FrameType.IAX, subclass, data
        )
        self.endpoint.send(frame.encode(), self.address)

    def keep_alive(self) -> None:
        """Send PING at intervals while the leg is open; call once, as it then schedules itself.

        A leg that has received no frame for LEASE_S is given up.
        """
        if self.closed or self.closing:
            return
        now = self.loop.time()
        expires_at = self.last_received_at + LEASE_S
        if expires_at <= now:
            if now - self.keep_alive_due_at <= LATE_TIMER_S:
                return self.give_up("nothing received for the length of the lease")
            # This timer ran late, so the program itself was paused. Without this delay, its pause would count as
            # silence of the remote side: the datagrams that arrived meanwhile are read first.
            expires_at = now + LATE_TIMER_S
        ping_is_due = now >= self.next_ping_at
        if ping_is_due:
            self.next_ping_at = now + PING_INTERVAL_S
        self.keep_alive_due_at = min(self.next_ping_at, expires_at)
        self.ping_timer = self.loop.call_at(self.keep_alive_due_at, self.keep_alive)
        if ping_is_due:
            self.send_iax(Iax.PING)

    # Receiving

    def receive(self, frame: FullFrame) -> None:
        """Handle a full frame for this leg: acknowledge it, put it in order, and pass it on."""
        self.last_received_at = self.loop.time()
        if not self.remote and frame.source:
            self.remote = frame.source
        self._remove_acknowledged(frame.iseqno)
        if frame.is_iax(Iax.ACK):
            return
        if frame.is_iax(Iax.INVAL):
            return self.give_up("remote side reported INVAL: it has no such call")
        if frame.is_iax(Iax.VNAK):
            for oseqno in sorted(self.unacked, key=lambda number: (number - frame.iseqno) % 256):
                self._retransmit(self.unacked[oseqno])
            return
        if frame.is_iax(*UNSEQUENCED):
            return
        distance = (frame.oseqno - self.iseqno) % 256
        if distance >= 128:  # received before; the ACK for it was lost
            return self.acknowledge(frame)
        if distance:  # an earlier frame was lost
            return self.send_unsequenced(Iax.VNAK, frame.timestamp)
        self.iseqno = (self.iseqno + 1) % 256
        self.acknowledge(frame)
        if self.closing or self.closed:
            return
        try:
            self._deliver(frame)
        except Exception as error:  # noqa: BLE001 - the frame is acknowledged, so it does not come again
            log_error(self.endpoint.log, "iax2", error, peer=self.address[0])
            self.fail("internal error")

    def acknowledge(self, frame: FullFrame) -> None:
        """Send an ACK. One that cannot be sent is repaired by the next retransmission of the frame."""
        run_contained(self.endpoint.log, "iax2", self.send_unsequenced, Iax.ACK, frame.timestamp)

    def _deliver(self, frame: FullFrame) -> None:
        if frame.is_iax(Iax.PING, Iax.POKE):
            return self.send(FrameType.IAX, Iax.PONG, timestamp=frame.timestamp)
        if frame.is_iax(Iax.LAGRQ):
            return self.send(FrameType.IAX, Iax.LAGRP, timestamp=frame.timestamp)
        if frame.is_iax() and frame.subclass not in IAX_SUBCLASSES:
            return self.send_iax(Iax.UNSUPPORT, (IE.IAX_UNKNOWN, bytes([frame.subclass & 0xFF])))
        if self.user is None:
            return
        if frame.frame_type in (FrameType.VOICE, FrameType.VIDEO, FrameType.COMFORT_NOISE, FrameType.DTMF):
            return self.user.on_media(self, frame)
        try:
            elements = decode_elements(frame.data) if frame.is_iax() else {}
        except FrameError as error:
            return self.endpoint.log("warning", "iax2", f"frame dropped: {error}", peer=self.address[0])
        self.user.on_frame(self, frame, elements)
        if frame.is_iax(Iax.HANGUP, Iax.REJECT):
            self.linger()

    def _remove_acknowledged(self, iseqno: int) -> None:
        """Forget the frames before iseqno: the remote side has received them."""
        for oseqno in [number for number in self.unacked if 0 < (iseqno - number) % 256 < 128]:
            del self.unacked[oseqno], self.retries[oseqno]
            self.timers.pop(oseqno).cancel()
        if self.closing and not self.unacked:
            self.linger()

    # Ending

    def finish(self, subclass: Iax, *elements: tuple[int, bytes | str | int]) -> None:
        """Send the final frame of the leg; it is retransmitted until it is acknowledged, then the leg closes."""
        if not self.closing and not self.closed:
            first = self.unacked.get(0)
            if first is not None and first.is_iax(Iax.NEW):
                # Prevents a set-up from being retransmitted, and so sent, after it was given up. Other frames before
                # the final one are still retransmitted: without them it would be out of order at the remote side.
                self.timers.pop(0).cancel()
                del self.unacked[0], self.retries[0]
            data = encode_elements(elements)
            try:
                self.send(FrameType.IAX, subclass, data)
            finally:
                self.closing = True  # also after an error: the frame is retransmitted

    def fail(self, reason: str) -> None:
        """End the leg on both sides after an internal error."""
        notified_user = self.user if not self.closing and not self.closed else None
        code = (IE.CAUSECODE, bytes([TEMPORARY_FAILURE]))
        run_contained(self.endpoint.log, "iax2", self.finish, Iax.HANGUP, code, peer=self.address[0])
        if notified_user:
            notified_user.on_lost(self, reason)

    def give_up(self, reason: str) -> None:
        """Close the leg as failed. The user is notified unless the final frame had been sent."""
        if not self.closed:
            notified_user = self.user if not self.closing else None
            self.linger()
            if notified_user:
                notified_user.on_lost(self, reason)

    def linger(self) -> None:
        """Close the leg. The endpoint keeps it for LINGER_S, to acknowledge retransmissions."""
        if not self.closed:
            self.closed = True
            for timer in self.timers.values():
                timer.cancel()
            if self.ping_timer:
                self.ping_timer.cancel()
            self.unacked, self.retries, self.timers = {}, {}, {}
            self.user = None
            self.loop.call_later(LINGER_S, self.endpoint.forget, self)


class Endpoint(asyncio.DatagramProtocol):
    """The UDP socket. Assigns frames to legs by the local call number, or by remote address and call number.

    A datagram that cannot be decoded is logged and dropped.
    """

    def __init__(self, log: Log, rng: random.Random, max_legs: int = MAX_LEGS) -> None:
        self.log, self.rng, self.max_legs = log, rng, max_legs
        self.legs: dict[int, Leg] = {}
        self.legs_by_remote: dict[tuple[Address, int], Leg] = {}
        # Not from the same number at each start: remote sides may still have calls with the process before.
        first = secrets.randbelow(MAX_CALL_NUMBER - 1) + 1
        self.call_numbers = itertools.cycle([*range(first, MAX_CALL_NUMBER), *range(1, first)])
        # Called with a new leg for a NEW, REGREQ or REGREL. Returns the user of the leg; None if it was refused.
        self.on_new: Callable[[Leg, FullFrame, dict[int, bytes]], LegUser | None] = lambda *_: None
        self.is_available: Callable[[], bool] = lambda: True  # whether a POKE is answered with PONG
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket. Raises OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def send(self, datagram: bytes, address: Address) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(datagram, address)

    def error_received(self, exc: Exception) -> None:
        self.log("debug", "iax2", f"datagram not delivered: {exc}")

    def open_leg(self, address: Address, user: LegUser | None) -> Leg | None:
        """Create a leg with a free call number. Returns None at the limit of legs, or while the socket is not open."""
        if len(self.legs) >= self.max_legs or self.transport is None:
            return None
        number = next(number for number in self.call_numbers if number not in self.legs)
        leg = self.legs[number] = Leg(self, number, address, user)
        return leg

    def forget(self, leg: Leg) -> None:
        """Remove a closed leg; its call numbers may be used again."""
        if self.legs.get(leg.number) is leg:
            del self.legs[leg.number]
        for key in [(leg.address, leg.remote)]:
            if self.legs_by_remote.get(key) is leg:
                del self.legs_by_remote[key]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        try:
            frame = decode(data)
            if isinstance(frame, MiniFrame):
                leg = self.legs_by_remote.get((addr, frame.source))
                if leg and leg.user:
                    leg.last_received_at = leg.loop.time()
                    leg.user.on_media(leg, frame)
            elif frame is not None:
                self._receive_full(frame, addr)
        except FrameError as error:
            self.log("warning", "iax2", f"malformed datagram dropped: {error}", peer=addr[0])
        except Exception as error:  # noqa: BLE001 - one bad datagram must not stop the endpoint
            log_error(self.log, "iax2", error, peer=addr[0])

    def _receive_full(self, frame: FullFrame, addr: Address) -> None:
        if frame.destination:
            leg = self.legs.get(frame.destination)
            belongs_to_leg = leg is not None and leg.address == addr and leg.remote in (0, frame.source)
        else:
            leg = self.legs_by_remote.get((addr, frame.source))
            belongs_to_leg = leg is not None
        if belongs_to_leg and leg is not None:
            if self._starts_new_call(frame, leg):
                leg.give_up("the remote side started again under the same call number")
                self.forget(leg)
            else:
                if leg.remote == 0 and frame.source:
                    self.legs_by_remote[addr, frame.source] = leg
                return leg.receive(frame)
        if frame.is_iax(Iax.NEW, Iax.REGREQ, Iax.REGREL, Iax.POKE) and not frame.destination and frame.source:
            return self._receive_without_leg(frame, addr)
        if not frame.is_iax(Iax.INVAL, Iax.ACK, Iax.VNAK, Iax.HANGUP, Iax.REJECT):
            self._send_inval(frame, addr)

    def _starts_new_call(self, frame: FullFrame, leg: Leg) -> bool:
        """Whether the frame reuses the call number of a leg, and does not repeat the frame that opened it.

        A remote side that was restarted begins with the same numbers, and often with the same timestamp and called
        number as before. A retransmission has the R bit (section 7.2.1); only a copy made by the network has not.
        """
        if not frame.is_iax(Iax.NEW) and not (leg.closed and frame.is_iax(Iax.REGREQ, Iax.REGREL)):
            return False
        if (leg.opening_timestamp, leg.opening_data) != (frame.timestamp, bytes(frame.data)):
            return True
        return not frame.retransmitted and leg.loop.time() - leg.started_at > COPY_WINDOW_S

    def _receive_without_leg(self, frame: FullFrame, addr: Address) -> None:
        """Answer a POKE, or open a leg for a NEW, REGREQ or REGREL."""
        if frame.is_iax(Iax.POKE):
            if not self.is_available():
                # Without a PONG the remote side sends its calls elsewhere.
                return self._send_inval(frame, addr)
            pong = FullFrame(
                MAX_CALL_NUMBER,
                frame.source,
                frame.timestamp,
                0,
                frame.oseqno + 1 & 0xFF,
                FrameType.IAX,
                Iax.PONG,
            )
            return self.send(pong.encode(), addr)
        elements = decode_elements(frame.data)
        if frame.is_iax(Iax.NEW) and element_number(elements, IE.VERSION) != 2:
            return self._send_inval(frame, addr)  # section 8.6.10: only version 2 is supported
        leg = self.open_leg(addr, None)
        if leg is None:
            return self.log("warning", "iax2", "too many legs; frame ignored", peer=addr[0])
        leg.remote, leg.opening_data, leg.opening_timestamp = frame.source, bytes(frame.data), frame.timestamp
        self.legs_by_remote[addr, frame.source] = leg
        leg.iseqno = (frame.oseqno + 1) % 256
        leg.acknowledge(frame)
        try:
            leg.user = self.on_new(leg, frame, elements)
        except Exception as error:  # noqa: BLE001 - without this, the leg would stay open for ever
            log_error(self.log, "iax2", error, peer=addr[0])
            leg.fail("internal error")

    def _send_inval(self, frame: FullFrame, addr: Address) -> None:
        inval = FullFrame(
            frame.destination, frame.source, frame.timestamp, frame.iseqno, frame.oseqno + 1 & 0xFF,
            FrameType.IAX, Iax.INVAL,
        )  # fmt: skip
        self.send(inval.encode(), addr)
