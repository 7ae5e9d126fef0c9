"""Reliable delivery of full frames within a call leg (RFC 5456, section 7), over one UDP socket."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Protocol, cast

from tansyspur.core.lease import LATE_TIMER_S, LEASE_S
from tansyspur.iax2.frames import (
    IE,
    MOST_CALL_NUMBER,
    UNSEQUENCED,
    FrameError,
    FrameType,
    FullFrame,
    Iax,
    MiniFrame,
    decode,
    decode_elements,
    encode_elements,
    number_of,
)

FIRST_RETRY_S, LONGEST_RETRY_S, MOST_RETRIES = 0.25, 10.0, 4  # the RFC's four retries, doubling
PING_S = 3.0  # the RFC leaves it open; an unanswered one must show well within the lease
KNOWN = frozenset(int(subclass) for subclass in Iax)
LINGER_S = 15.0  # a leg that has ended still acknowledges repeats for so long: none becomes a new call
MOST_LEGS = 4_000

Address = tuple[str, int]
Log = Callable[..., None]


class LegUser(Protocol):
    """Who a leg belongs to: a caller, a switch's attempt, a registration."""

    def heard(self, leg: "Leg", frame: FullFrame, elements: dict[int, bytes]) -> None:
        """A frame in its order, once."""

    def media(self, leg: "Leg", frame: FullFrame | MiniFrame) -> None: ...

    def lost(self, leg: "Leg", reason: str) -> None:
        """The other side does not answer, or says that it knows no such call."""


class Leg:
    """One call as the RFC has it: a pair of call numbers, two sequences, and what is not acknowledged yet."""

    def __init__(self, endpoint: "Endpoint", number: int, address: Address, user: LegUser | None) -> None:
        self.endpoint, self.number, self.address, self.user = endpoint, number, address, user
        self.loop = asyncio.get_running_loop()
        self.remote = 0  # the other side's call number, once known
        self.oseqno = self.iseqno = 0
        self.unacked: dict[int, FullFrame] = {}
        self.tries: dict[int, int] = {}
        self.timers: dict[int, asyncio.TimerHandle] = {}
        self.started = self.loop.time()
        self.last_timestamp = -1
        self.first_data: bytes | None = None  # of the NEW that made it, to know its repeats by
        self.closing = self.closed = False
        self.ping_timer: asyncio.TimerHandle | None = None
        self.heard_at = self.started
        self.next_ping_at = self.ping_due_at = 0.0

    # Sending

    def timestamp(self) -> int:
        """Milliseconds since the leg's start, never the same twice."""
        self.last_timestamp = max(self.last_timestamp + 1, int((self.loop.time() - self.started) * 1000))
        return self.last_timestamp

    def send(self, frame_type: int, subclass: int, data: bytes = b"", timestamp: int | None = None) -> None:
        """A full frame that is repeated until it is acknowledged."""
        if self.closed or self.closing:
            return
        stamp = self.timestamp() if timestamp is None else timestamp
        frame = FullFrame(
            self.number, self.remote, stamp, self.oseqno, self.iseqno, frame_type, subclass, data
        )
        self.unacked[self.oseqno], self.tries[self.oseqno] = frame, 0
        self.oseqno = (self.oseqno + 1) % 256
        self.endpoint.send(frame.encode(), self.address)
        self._arm(frame.oseqno, FIRST_RETRY_S)

    def iax(self, subclass: Iax, *elements: tuple[int, bytes | str | int]) -> None:
        self.send(FrameType.IAX, subclass, encode_elements(elements))

    def _arm(self, oseqno: int, delay_s: float) -> None:
        self.timers[oseqno] = self.loop.call_later(delay_s, self._repeat, oseqno, delay_s)

    def _repeat(self, oseqno: int, delay_s: float) -> None:
        frame = self.unacked[oseqno]
        if self.tries[oseqno] >= MOST_RETRIES:
            return self.give_up("no acknowledgement")
        self.tries[oseqno] += 1
        self._resend(frame)
        self._arm(oseqno, min(LONGEST_RETRY_S, delay_s * 2))

    def _resend(self, frame: FullFrame) -> None:
        """The same frame again, marked so; the other side's call number may have become known since."""
        again = FullFrame(
            frame.source, self.remote or frame.destination, frame.timestamp, frame.oseqno, self.iseqno,
            frame.frame_type, frame.subclass, frame.data,
        )  # fmt: skip
        self.endpoint.send(again.encode(retransmitted=True), self.address)

    def unsequenced(self, subclass: Iax, timestamp: int, data: bytes = b"") -> None:
        frame = FullFrame(
            self.number, self.remote, timestamp, self.oseqno, self.iseqno, FrameType.IAX, subclass, data
        )
        self.endpoint.send(frame.encode(), self.address)

    def keep_alive(self) -> None:
        """PING for as long as the leg lives. One from which nothing is heard for the length of a lease is lost."""
        if self.closed or self.closing:
            return
        now = self.loop.time()
        expires_at = self.heard_at + LEASE_S
        if expires_at <= now:
            if now - self.ping_due_at <= LATE_TIMER_S:
                return self.give_up("no sign of life")
            # Guards against taking a pause of our own for silence: what came meanwhile is read first.
            expires_at = now + LATE_TIMER_S
        if now >= self.next_ping_at:
            self.iax(Iax.PING)
            self.next_ping_at = now + PING_S
        self.ping_due_at = min(self.next_ping_at, expires_at)
        self.ping_timer = self.loop.call_at(self.ping_due_at, self.keep_alive)

    # Receiving

    def receive(self, frame: FullFrame) -> None:
        self.heard_at = self.loop.time()
        if not self.remote and frame.source:
            self.remote = frame.source
        self._acknowledged(frame.iseqno)
        if frame.is_iax(Iax.ACK):
            return
        if frame.is_iax(Iax.INVAL):
            return self.give_up("the other side knows no such call")
        if frame.is_iax(Iax.VNAK):
            for oseqno in sorted(self.unacked, key=lambda number: (number - frame.iseqno) % 256):
                self._resend(self.unacked[oseqno])
            return
        if frame.is_iax(*UNSEQUENCED):
            return
        ahead = (frame.oseqno - self.iseqno) % 256
        if ahead >= 128:  # behind: it came before, and our acknowledgement was lost
            return self.unsequenced(Iax.ACK, frame.timestamp)
        if ahead:  # one before it was lost
            return self.unsequenced(Iax.VNAK, frame.timestamp)
        self.iseqno = (self.iseqno + 1) % 256
        self.unsequenced(Iax.ACK, frame.timestamp)
        if self.closing or self.closed:
            return
        self._deliver(frame)

    def _deliver(self, frame: FullFrame) -> None:
        if frame.is_iax(Iax.PING, Iax.POKE):
            return self.send(FrameType.IAX, Iax.PONG, timestamp=frame.timestamp)
        if frame.is_iax(Iax.LAGRQ):
            return self.send(FrameType.IAX, Iax.LAGRP, timestamp=frame.timestamp)
        if frame.is_iax() and frame.subclass not in KNOWN:
            return self.iax(Iax.UNSUPPORT, (IE.IAX_UNKNOWN, bytes([frame.subclass & 0xFF])))
        if self.user is None:
            return
        if frame.frame_type in (FrameType.VOICE, FrameType.VIDEO, FrameType.COMFORT_NOISE, FrameType.DTMF):
            return self.user.media(self, frame)
        try:
            elements = decode_elements(frame.data) if frame.is_iax() else {}
        except FrameError as error:
            return self.endpoint.log("warning", "iax2", f"frame dropped: {error}", peer=self.address[0])
        self.user.heard(self, frame, elements)
        if frame.is_iax(Iax.HANGUP, Iax.REJECT):
            self.linger()

    def _acknowledged(self, iseqno: int) -> None:
        """All before it have arrived."""
        for oseqno in [number for number in self.unacked if 0 < (iseqno - number) % 256 < 128]:
            del self.unacked[oseqno], self.tries[oseqno]
            self.timers.pop(oseqno).cancel()
        if self.closing and not self.unacked:
            self.linger()

    # Ending

    def finish(self, subclass: Iax, *elements: tuple[int, bytes | str | int]) -> None:
        """The last frame of the leg, still repeated until it is acknowledged."""
        if not self.closing and not self.closed:
            first = self.unacked.get(0)
            if first is not None and first.is_iax(Iax.NEW):
                # Guards against a set-up that is repeated, and so leaves, after it was given up. Other frames
                # before the last one are still owed: without them it would be out of order at the far end.
                self.timers.pop(0).cancel()
                del self.unacked[0], self.tries[0]
            self.iax(subclass, *elements)
            self.closing = True

    def give_up(self, reason: str) -> None:
        if not self.closed:
            told = self.user if not self.closing else None
            self.linger()
            if told:
                told.lost(self, reason)

    def linger(self) -> None:
        """Over. It stays known for a while, so that repeats are acknowledged and make no new call."""
        if not self.closed:
            self.closed = True
            for timer in self.timers.values():
                timer.cancel()
            if self.ping_timer:
                self.ping_timer.cancel()
            self.unacked, self.tries, self.timers = {}, {}, {}
            self.user = None
            self.loop.call_later(LINGER_S, self.endpoint.forget, self)


class Endpoint(asyncio.DatagramProtocol):
    """The socket: frames to legs, by our call number, or by the other side's address and call number."""

    def __init__(self, log: Log, rng: random.Random, most_legs: int = MOST_LEGS) -> None:
        self.log, self.rng, self.most_legs = log, rng, most_legs
        self.legs: dict[int, Leg] = {}
        self.by_remote: dict[tuple[Address, int], Leg] = {}
        self.numbers = itertools.cycle(range(1, MOST_CALL_NUMBER))
        # Who takes a NEW, REGREQ or REGREL that belongs to no leg; None refuses it.
        self.on_new: Callable[[Leg, FullFrame, dict[int, bytes]], LegUser | None] = lambda *_: None
        self.is_available: Callable[[], bool] = lambda: True  # whether a POKE is to be answered with PONG
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
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
        self.log("debug", "iax2", f"a datagram was not taken: {exc}")

    def leg(self, address: Address, user: LegUser | None) -> Leg | None:
        """A new leg with a free call number; None when there are too many, or the socket is not ours yet."""
        if len(self.legs) >= self.most_legs or self.transport is None:
            return None
        number = next(number for number in self.numbers if number not in self.legs)
        made = self.legs[number] = Leg(self, number, address, user)
        return made

    def forget(self, leg: Leg) -> None:
        if self.legs.get(leg.number) is leg:
            del self.legs[leg.number]
        for key in [(leg.address, leg.remote)]:
            if self.by_remote.get(key) is leg:
                del self.by_remote[key]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        try:
            frame = decode(data)
            if isinstance(frame, MiniFrame):
                leg = self.by_remote.get((addr, frame.source))
                if leg and leg.user:
                    leg.heard_at = leg.loop.time()
                    leg.user.media(leg, frame)
            elif frame is not None:
                self._full(frame, addr)
        except FrameError as error:
            self.log("warning", "iax2", f"datagram dropped: {error}", peer=addr[0])
        except Exception as error:  # noqa: BLE001 - one bad datagram must not end the front
            self.log("error", "iax2", f"datagram dropped: {error!r}", peer=addr[0])

    def _full(self, frame: FullFrame, addr: Address) -> None:
        if frame.destination:
            leg = self.legs.get(frame.destination)
            known = leg is not None and leg.address == addr and leg.remote in (0, frame.source)
        else:
            leg = self.by_remote.get((addr, frame.source))
            known = leg is not None
        if known and leg is not None:
            if frame.is_iax(Iax.NEW) and leg.closed and self._is_another(frame, leg):
                self.forget(leg)
            else:
                if leg.remote == 0 and frame.source:
                    self.by_remote[addr, frame.source] = leg
                return leg.receive(frame)
        if frame.is_iax(Iax.NEW, Iax.REGREQ, Iax.REGREL, Iax.POKE) and not frame.destination and frame.source:
            return self._first(frame, addr)
        if not frame.is_iax(Iax.INVAL, Iax.ACK, Iax.VNAK, Iax.HANGUP, Iax.REJECT):
            self._invalid(frame, addr)

    def _is_another(self, frame: FullFrame, leg: Leg) -> bool:
        """A call number used again for a new call, and no repeat of the NEW that made the leg."""
        return not frame.retransmitted and leg.first_data != bytes(frame.data)

    def _first(self, frame: FullFrame, addr: Address) -> None:
        if frame.is_iax(Iax.POKE):
            if not self.is_available():
                return self._invalid(frame, addr)  # not a PONG: the other side places its calls elsewhere
            pong = FullFrame(
                MOST_CALL_NUMBER,
                frame.source,
                frame.timestamp,
                0,
                frame.oseqno + 1 & 0xFF,
                FrameType.IAX,
                Iax.PONG,
            )
            return self.send(pong.encode(), addr)
        elements = decode_elements(frame.data)
        if frame.is_iax(Iax.NEW) and number_of(elements, IE.VERSION) != 2:
            return self._invalid(frame, addr)  # section 8.6.10: another version is not spoken
        leg = self.leg(addr, None)
        if leg is None:
            return self.log("warning", "iax2", "too many legs", peer=addr[0])
        leg.remote, leg.first_data = frame.source, bytes(frame.data)
        self.by_remote[addr, frame.source] = leg
        leg.iseqno = (frame.oseqno + 1) % 256
        leg.unsequenced(Iax.ACK, frame.timestamp)
        leg.user = self.on_new(leg, frame, elements)

    def _invalid(self, frame: FullFrame, addr: Address) -> None:
        answer = FullFrame(
            frame.destination, frame.source, frame.timestamp, frame.iseqno, frame.oseqno + 1 & 0xFF,
            FrameType.IAX, Iax.INVAL,
        )  # fmt: skip
        self.send(answer.encode(), addr)
