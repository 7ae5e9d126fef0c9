"""Callers over JSON lines. Each call is answered on the connection of its set-up, and released on any."""

import asyncio
import json
import math
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tansyspur.core.gatekeeper import Call, Gatekeeper
from tansyspur.core.metrics import Delivery, Verdict
from tansyspur.core.ports import INVALID_ELEMENT, NORMAL_CLEARING, TEMPORARY_FAILURE, Offer
from tansyspur.net.framing import Chunks, FramingError
from tansyspur.net.link import Link

INVALID_REFERENCE = 81  # Q.850: a release of no call
FIRST_S = 2.5  # a connection that has said nothing usable for so long is closed
REST_S = 2.0  # so is one on which a begun message does not end
PAY_S = 0.05  # by then a connection of the platform's front has brought its test
YOUNG_S = 0.3  # a connection so new may still bring its first set-up
MOST_OVER = 4096  # ids of calls that are over, as releases may cross
ACCEPTED_AT_ONCE, BACKLOG = 16, 512
LOOKED_AWAY_S = 0.5  # the front asks each 0.1 s, and brings new connections for 0.2 s after a 'no'
KEEP_LAST_S = 3.7  # ends of calls are owed within a second, but by 4 s no connection may be in use
LAST_CALL_S = 3.87
SWEEP_S = 0.02  # between looks for connections that may be closed, while callers are sent away
OWED_S = 120.0  # so long a release waits for a connection; a caller that comes late still holds its call
MOST_OWED = 5_000
CROSSING_S = 1.0  # a release on a connection that ends so soon after may not have arrived
TOKEN = re.compile(r"[!-~]{1,128}")
HEX = re.compile(r"[0-9A-Fa-f]{16}")
WORDS = re.compile(r"[ -~]{1,128}")

Log = Callable[..., None]


class BadSetUp(Exception):
    """A set-up that cannot be understood; the text names the field."""


def _figure(value: Any, name: str) -> float:
    try:
        figure = float(value)
    except (TypeError, ValueError):
        raise BadSetUp(name) from None
    if not abs(figure) < 1e12 or isinstance(value, bool):
        raise BadSetUp(name)
    return figure


def _whole(value: Any, name: str) -> int:
    figure = _figure(value, name)
    if figure != int(figure):
        raise BadSetUp(name)
    return int(figure)


def _word(value: Any, name: str, form: re.Pattern[str]) -> str:
    # Guards against line ends in a field, which would become SIP headers of the caller's making.
    if isinstance(value, int):
        value = str(value)
    if not isinstance(value, str) or not form.fullmatch(value):
        raise BadSetUp(name)
    return value


def parse_offer(row: dict[str, Any]) -> Offer:
    fields = row.get("fields")
    if not isinstance(fields, dict):
        raise BadSetUp("fields")
    extras = {}
    for pair in str(fields.get("extras", "")).split(";"):
        name, _, value = pair.partition(":")
        extras[name.strip()] = value.strip()
    via = _whole(extras.get("via", -1), "via")
    sdp = row.get("sdp")
    if not isinstance(sdp, str):
        raise BadSetUp("sdp")
    return Offer(
        wire_id=row["id"],
        class_name=_word(fields.get("class"), "class", WORDS),
        remaining_ms=_figure(fields.get("left"), "left"),
        destination=_whole(extras.get("dest"), "dest"),
        called_number=_word(fields.get("key"), "key", TOKEN),
        description=sdp,
        circuits=_figure(extras.get("width", 1), "width"),
        via=via if via >= 0 else None,
        in_transit=extras.get("transit", "0") not in ("0", ""),
        redial=str(fields.get("retry", "0")) not in ("0", ""),
        was_cut=extras.get("again", "0") not in ("0", ""),
    )


class JsonLeg:
    """The caller's side of one call."""

    def __init__(self, front: "JsonLinesFront", link: Link, wire_id: str) -> None:
        self.front, self.link, self.wire_id = front, link, wire_id
        self.call: Call | None = None
        self.stands = False

    def answer(self, description: str) -> bool:
        if self.link.closed or self.wire_id not in self.front.legs:
            return False
        self.stands = True
        self.link.write(line("answer", self.wire_id, sdp=description))
        if self.link.closed:  # the write found it stalled: nobody has the answer, and nothing is owed
            self.front.forget(self)
        return not self.link.closed

    def refuse(self, cause: int, retry_after_ms: int) -> None:
        self._final(
            line(
                "release", self.wire_id, {"wait": str(retry_after_ms)} if retry_after_ms else {}, cause=cause
            )
        )

    def fail(self, cause: int) -> None:
        self._final(line("release", self.wire_id, cause=cause))

    def _final(self, message: bytes) -> None:
        if self.front.forget(self):
            self.link.write(message)

    def release(self, cause: int) -> None:
        if self.front.forget(self):
            self.front.release_anywhere(self.wire_id, self.link, line("release", self.wire_id, cause=cause))


def line(kind: str, wire_id: str, fields: dict[str, str] | None = None, **more: Any) -> bytes:
    row = {"type": kind, "id": wire_id, "fields": fields or {}, **more}
    return json.dumps(row, separators=(",", ":")).encode() + b"\n"


@dataclass(slots=True)
class Owed:
    """A release that found no caller's connection, and the connections it was written to all the same."""

    at: float
    message: bytes
    told: set[int] = field(default_factory=set)  # their numbers


class JsonLinesFront:
    def __init__(self, gatekeeper: Gatekeeper, log: Log, most_links: int, listening: socket.socket) -> None:
        gatekeeper.pause_listeners.append(self.paused)
        self.gatekeeper, self.log, self.most_links = gatekeeper, log, most_links
        self.listening = listening
        # To the other process, where two share the address: what is said of a call that is not ours.
        self.send_to_other_process: Callable[..., None] | None = None
        self.handed_over = False  # the other process has the callers now
        self.resumed_at = -math.inf  # since when callers come; while they are sent away, never
        self.sweeper: asyncio.TimerHandle | None = None
        self.last_call: asyncio.TimerHandle | None = None
        self.keeps_standing = False  # while callers are sent away, connections that calls stand on stay
        self.kept: Link | None = None  # and one more for a while, for calls whose connection has gone
        self.keep_until = -math.inf
        self.legs: dict[str, JsonLeg] = {}
        self.links: set[Link] = set()
        self.new: dict[Link, asyncio.TimerHandle] = {}  # those that have not shown yet whose they are
        self.asked: set[Link] = set()  # those that have brought a set-up
        self.over: dict[str, None] = {}  # ids of calls that are over, oldest first
        self.owed: dict[str, Owed] = {}  # releases that no caller is known to have been told, oldest first
        self.unheard: dict[str, tuple[float, Link, bytes]] = {}  # releases written of late, by id
        self.server: asyncio.Server | None = None

    async def start_accepting(self) -> None:
        """Take connections from now on. It is a copy of the socket that is served and closed: the queue
        stays, for another process or for a second start."""
        if self.server:
            return
        # Guards against running out of descriptors: the loop accepts as many at once as its backlog allows,
        # before any of them can be turned away, and then takes no connection for a second. The system's own
        # queue may be longer, and is made so before anything else runs.
        asyncio.get_running_loop().call_soon(self.listening.listen, BACKLOG)
        self.server = await asyncio.start_server(
            self._accepted, sock=self.listening.dup(), backlog=ACCEPTED_AT_ONCE
        )

    def stop_accepting(self) -> None:
        if self.server:
            self.server.close()
            self.server = None

    def set_connection_limit(self, most_links: int) -> None:
        """So many connections from now on; those that are missed least are closed."""
        self.most_links = most_links
        while len(self.links) > most_links and self._make_room():
            pass

    # Sending callers away

    def paused(self, paused: bool) -> None:
        """An operator sends the callers elsewhere, or has them back. The front of the platform must have
        looked away first: who is sent off sooner comes back here."""
        self.stop_closing_connections()
        loop = asyncio.get_running_loop()
        self.resumed_at = math.inf if paused else loop.time()
        if paused:
            self.keep_until = loop.time() + KEEP_LAST_S
            self.sweeper = loop.call_later(LOOKED_AWAY_S, self.close_idle_connections, True)
            self.last_call = loop.call_later(LAST_CALL_S, self.close_connections)

    def close_connections(self) -> None:
        """Those that are never without an open set-up: fail what is open rather than keep them."""
        busy = {leg.link for leg in self.legs.values() if not leg.stands}
        carrying = self._carrying()
        for link in list(self.links):
            if link in busy and not link.closed:
                self._fail_open(link, "callers are sent away")
            if link not in carrying:
                link.leave()

    def _carrying(self) -> set[Link]:
        """The connections that stay, while callers are sent away, until the ends of their calls are told."""
        return {leg.link for leg in self.legs.values() if leg.stands} if self.keeps_standing else set()

    def close_idle_connections(self, keeps_standing: bool = False) -> None:
        """Close each connection as soon as its set-ups are answered, until told to stop.

        Guards against closing under a set-up: one that crosses the close is brought again by its caller. And
        against calls whose end nobody can be told in time: connections that calls stand on may be kept.
        """
        loop = asyncio.get_running_loop()
        self.keeps_standing = keeps_standing
        busy, carrying = {leg.link for leg in self.legs.values() if not leg.stands}, self._carrying()
        callers = [link for link in self.links if link in self.asked and not link.closed]
        if self.kept not in callers:
            self.kept = callers[0] if callers else None
        homeless = any(leg.stands and leg.link.closed for leg in self.legs.values())
        if homeless and self.kept and loop.time() < self.keep_until:
            carrying.add(self.kept)
        for link in list(self.links):
            # What is new may still bring its first set-up, or ask whether we are ready.
            young = loop.time() - link.opened_at < YOUNG_S
            if link not in busy and not young and link not in carrying:
                # In the next turn, when what has been read of it has been taken.
                loop.call_soon(self._leave_idle, link)
        self.sweeper = loop.call_later(SWEEP_S, self.close_idle_connections, keeps_standing)

    def close_idle_connections_until_exit(self) -> None:
        """Until the end of a process that ends alone: ends of calls must find a connection to its end."""
        self.stop_closing_connections()  # of a pause, which ends what is open later than the kill
        self.keep_until = math.inf
        self.close_idle_connections(keeps_standing=True)

    def _leave_idle(self, link: Link) -> None:
        """Guards against closing on a set-up that has come and is not read yet."""
        is_open = any(leg.link is link and not leg.stands for leg in self.legs.values())
        if not is_open and not link.unread and not link.unfinished:
            link.leave()

    def stop_closing_connections(self) -> None:
        for timer in (self.sweeper, self.last_call):
            if timer:
                timer.cancel()
        self.sweeper = self.last_call = None
        self.keeps_standing = False
        self.keep_until = -math.inf

    # What another process says of our calls, or we of its

    def release_from_other_process(self, row: dict[str, Any]) -> None:
        """A release that reached the other process."""
        if leg := self.legs.get(row["id"]):
            self._left(leg, row["cause"])

    def release_for_other_process(self, row: dict[str, Any]) -> None:
        """The end of the other's call, for which it has no connection."""
        self._over(row["id"])
        self.release_anywhere(row["id"], None, line("release", row["id"], cause=row["cause"]))

    def forward_pending_releases(self) -> None:
        """Releases that found no connection here, to the process that has them now."""
        while self.send_to_other_process and self.handed_over and self.owed:
            wire_id, owed = self.owed.popitem()
            self.send_to_other_process("release", id=wire_id, cause=json.loads(owed.message)["cause"])

    def release_anywhere(self, wire_id: str, link: Link | None, message: bytes) -> None:
        """On this connection if it lives, else on any, else on the next one."""
        now = asyncio.get_running_loop().time()
        while self.unheard and next(iter(self.unheard.values()))[0] < now - CROSSING_S:
            del self.unheard[next(iter(self.unheard))]
        live: Link | None = link
        if link is None or link.closed or link.unsent:
            # Guards against telling those who hold a connection and make no calls: they pass nothing on.
            usable = (one for one in self.asked if not one.closed and not one.unsent)
            live = max(usable, key=lambda one: one.heard_at, default=None)
        if live:
            live.write(message)
            self.unheard[wire_id] = (now, live, message)
            delivery = Delivery.WRITTEN if live is link else Delivery.REDIRECTED
            self._note_delivery(delivery, wire_id, live)
        elif len(self.owed) < MOST_OWED:
            self.owed[wire_id] = Owed(now, message)
            self._note_delivery(Delivery.PENDING, wire_id)
            self.forward_pending_releases()
        else:
            self._note_delivery(Delivery.EXPIRED, wire_id)

    def _note_delivery(
        self, delivery: Delivery, wire_id: str, link: Link | None = None, late_s: float = 0.0
    ) -> None:
        """Count how the end of a call was told; whatever is not the plain way is logged."""
        self.gatekeeper.metrics.deliveries[delivery] += 1
        level = "debug" if delivery is Delivery.WRITTEN else "info"
        number = link.number if link else ""
        self.log(level, "release", delivery.value, call=wire_id, link=number, late_ms=int(late_s * 1000))

    def _not_new(self, link: Link) -> None:
        if timer := self.new.pop(link, None):
            timer.cancel()

    def _pay(self, link: Link) -> None:
        """What is owed to callers, told here once. Over only when this proves to be a caller's connection."""
        now = link.loop.time()
        for wire_id, owed in list(self.owed.items()):
            if now - max(owed.at, self.resumed_at) > OWED_S:
                del self.owed[wire_id]
                self._note_delivery(Delivery.EXPIRED, wire_id, late_s=now - owed.at)
                continue
            if link.number not in owed.told:
                owed.told.add(link.number)
                link.write(owed.message)
            if link in self.asked:
                del self.owed[wire_id]
                self.unheard[wire_id] = (now, link, owed.message)
                self._note_delivery(Delivery.DELIVERED_LATE, wire_id, link, now - owed.at)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.links) >= self.most_links and not self._make_room():
            self.log("warning", "front", "too many connections")
            writer.transport.abort()
            return
        link = Link(reader, writer)
        self.links.add(link)
        self.new[link] = link.loop.call_later(PAY_S, self._pay, link)

        # Guards against those who say nothing, or never end what they begin: each holds a descriptor.
        first = link.loop.call_later(FIRST_S, self._drop, link, "nothing usable in time")

        def take(chunks: Chunks) -> bool:
            taken = False
            while not link.closed and (text := chunks.line()) is not None:
                self._heard(link, text)
                first.cancel()
                taken = True
            return taken

        try:
            ended = await link.read_all(take, REST_S, lambda: self._drop(link, "a message without end"))
            if ended != "closed" and not link.closed:
                self.log("notice", "front", f"connection ended: {ended}")
        except FramingError as error:
            if self._fail_open(link, str(error)):
                await link.farewell()
        except Exception as error:  # noqa: BLE001 - one bad message must cost one connection, no more
            self.log("error", "front", f"connection dropped: {error!r}")
        finally:
            first.cancel()
            self._not_new(link)
            link.abort()
            self.links.discard(link)
            self.asked.discard(link)
            for leg in [leg for leg in self.legs.values() if leg.link is link and not leg.stands]:
                self._left(leg, NORMAL_CLEARING)
            # Guards against a release that was written as the caller closed: it goes out once more.
            for wire_id, (at, over, message) in list(self.unheard.items()):
                if over is link and link.loop.time() - at < CROSSING_S:
                    del self.unheard[wire_id]
                    self.release_anywhere(wire_id, link, message)

    def _drop(self, link: Link, reason: str) -> None:
        if link.closed:
            return
        if self._fail_open(link, reason):
            link.closed = True
            link.writer.close()
        else:
            link.abort()

    def _fail_open(self, link: Link, reason: str) -> bool:
        """The connection is of no use any more, so its open set-ups are failed; whether there were any."""
        self.log("warning", "front", f"connection dropped: {reason}")
        open_legs = [leg for leg in self.legs.values() if leg.link is link and not leg.stands]
        for leg in open_legs:
            leg.call.fail() if leg.call else leg.fail(TEMPORARY_FAILURE)
        return bool(open_legs)

    def _make_room(self) -> bool:
        """Close the connection that is missed least: one that never brought a set-up, else one long idle."""
        now = next(iter(self.links)).loop.time()
        busy = {leg.link for leg in self.legs.values() if not leg.stands}

        def worth(link: Link) -> tuple[bool, float]:
            return link in self.asked or now - link.heard_at < YOUNG_S, link.heard_at

        idle = min((one for one in self.links if one not in busy), key=worth, default=None)
        if idle:
            idle.abort()
            self.links.discard(idle)
        return idle is not None

    def forget(self, leg: JsonLeg) -> bool:
        """The call is over; false if it was already."""
        if self.legs.get(leg.wire_id) is not leg:
            return False
        del self.legs[leg.wire_id]
        self._over(leg.wire_id)
        return True

    def _over(self, wire_id: str) -> None:
        self.over[wire_id] = None
        if len(self.over) > MOST_OVER:
            del self.over[next(iter(self.over))]

    def _heard(self, link: Link, text: memoryview) -> None:
        try:
            row = json.loads(str(text, "utf-8"))
        except (ValueError, RecursionError):
            raise FramingError("a line that is not JSON") from None
        if not isinstance(row, dict) or not isinstance(row.get("id"), str) or not TOKEN.fullmatch(row["id"]):
            raise FramingError("a message without a usable id")
        kind, wire_id = row.get("type"), row["id"]
        if kind == "setup":
            self._set_up(link, row)
        elif kind == "release":
            self._release(link, row)
        elif kind == "ping":
            # Guards against answering a test with what is owed: to the platform's front anything but a pong
            # is a no, and the callers who should be told would never come back.
            self._not_new(link)
            link.write(line("pong", wire_id, cause=1 if self.gatekeeper.accepts_callers else 0))
        elif kind == "released":
            self.unheard.pop(wire_id, None)
            self.owed.pop(wire_id, None)
        elif kind != "progress":
            raise FramingError("a message of unknown type")

    def _set_up(self, link: Link, row: dict[str, Any]) -> None:
        wire_id = row["id"]
        # Guards against a second answer under one id: whoever has it keeps his, and the other gets a close.
        if wire_id in self.legs or wire_id in self.over or not HEX.fullmatch(wire_id):
            raise FramingError("a set-up whose id is taken or none")
        try:
            offer = parse_offer(row)
        except BadSetUp as error:
            self.log("warning", "front", f"a set-up with an unusable {error} was failed", call=wire_id)
            self._over(wire_id)
            fields = row.get("fields")
            class_name = fields.get("class") if isinstance(fields, dict) else None
            self.gatekeeper.metrics.count_verdict(Verdict.FAILURE, str(class_name))
            return link.write(line("release", wire_id, cause=INVALID_ELEMENT))
        self.asked.add(link)
        self._pay(link)
        leg = self.legs[wire_id] = JsonLeg(self, link, wire_id)
        if link in self._carrying():
            return self.gatekeeper.reject(offer, leg)
        leg.call = self.gatekeeper.offer(offer, leg)

    def _release(self, link: Link, row: dict[str, Any]) -> None:
        leg = self.legs.get(row["id"])
        if leg is None:
            # A release that crossed ours is heard; one of a call that never was is an error, and said so.
            known = row["id"] in self.over
            if not known and self.send_to_other_process and isinstance(row.get("cause"), int):
                self.send_to_other_process("release", id=row["id"], cause=row["cause"])
                known = True
            reply = (
                line("released", row["id"]) if known else line("release", row["id"], cause=INVALID_REFERENCE)
            )
            return link.write(reply)
        cause = row.get("cause")
        self.asked.add(link)
        link.write(line("released", leg.wire_id))
        self._left(leg, cause if isinstance(cause, int) and 0 < cause < 128 else NORMAL_CLEARING)

    def _left(self, leg: JsonLeg, cause: int) -> None:
        if not leg.stands:
            self.forget(leg)  # no answer is owed any more
        if leg.call:
            leg.call.caller_left(cause)
