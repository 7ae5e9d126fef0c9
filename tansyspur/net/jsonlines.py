"""Callers over JSON lines. Each call is answered on the connection of its set-up, and released on any."""

import asyncio
import json
import re
from collections import deque
from collections.abc import Callable
from typing import Any

from tansyspur.core.gatekeeper import Call, Gatekeeper
from tansyspur.core.ports import NORMAL_CLEARING, Offer
from tansyspur.net.framing import Chunks
from tansyspur.net.link import Link

INVALID_ELEMENT = 100  # Q.850: a set-up that cannot be understood
OWED_S = 8.0  # a release that finds no connection is of no use after this
MOST_OWED = 5_000
CROSSING_S = 1.0  # a release on a connection that ends so soon after may not have arrived
SILENT_TYPES = ("progress", "answer", "state", "pong")
TOKEN = re.compile(r"[!-~]{1,128}")
WORDS = re.compile(r"[ -~]{1,128}")

Log = Callable[..., None]


class BadSetUp(Exception):
    """A set-up that cannot be understood; the text names the field."""


def _figure(value: Any, name: str) -> float:
    try:
        figure = float(value)
    except (TypeError, ValueError):
        raise BadSetUp(name) from None
    if not abs(figure) < 1e12:
        raise BadSetUp(name)
    return figure


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
    via = int(_figure(extras.get("via", -1), "via"))
    sdp = row.get("sdp", "")
    if not isinstance(sdp, str):
        raise BadSetUp("sdp")
    return Offer(
        wire_id=row["id"],
        class_name=_word(fields.get("class"), "class", WORDS),
        left_ms=_figure(fields.get("left"), "left"),
        destination=int(_figure(extras.get("dest"), "dest")),
        number=_word(fields.get("key"), "key", TOKEN),
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
            self.front.legs.pop(self.wire_id, None)
        return not self.link.closed

    def refuse(self, cause: int, wait_ms: int) -> None:
        self._final(line("release", self.wire_id, {"wait": str(wait_ms)} if wait_ms else {}, cause=cause))

    def fail(self, cause: int) -> None:
        self._final(line("release", self.wire_id, cause=cause))

    def _final(self, message: bytes) -> None:
        if self.front.legs.pop(self.wire_id, None) is self:
            self.link.write(message)

    def release(self, cause: int) -> None:
        if self.front.legs.pop(self.wire_id, None) is self:
            self.front.release_anywhere(self.wire_id, self.link, line("release", self.wire_id, cause=cause))


def line(kind: str, wire_id: str, fields: dict[str, str] | None = None, **more: Any) -> bytes:
    row = {"type": kind, "id": wire_id, "fields": fields or {}, **more}
    return json.dumps(row, separators=(",", ":")).encode() + b"\n"


class JsonLinesFront:
    def __init__(
        self, gatekeeper: Gatekeeper, log: Log, most_links: int, ready: Callable[[], bool] = lambda: True
    ) -> None:
        self.gatekeeper, self.log, self.ready, self.most_links = gatekeeper, log, ready, most_links
        self.legs: dict[str, JsonLeg] = {}
        self.links: set[Link] = set()
        self.owed: deque[tuple[float, bytes]] = deque(maxlen=MOST_OWED)
        self.unheard: dict[str, tuple[float, Link, bytes]] = {}  # releases written of late, by id
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self._accepted, host, port, backlog=512)

    def stop_accepting(self) -> None:
        if self.server:
            self.server.close()

    def close(self) -> None:
        for link in list(self.links):
            link.writer.close()

    def release_anywhere(self, wire_id: str, link: Link, message: bytes) -> None:
        """On this connection if it lives, else on any, else on the next one."""
        now = link.loop.time()
        while self.unheard and next(iter(self.unheard.values()))[0] < now - CROSSING_S:
            del self.unheard[next(iter(self.unheard))]
        live: Link | None = link
        if link.closed or link.unsent:
            live = next((one for one in self.links if not one.closed and not one.unsent), None)
        if live:
            live.write(message)
            self.unheard[wire_id] = (now, live, message)
        else:
            self.owed.append((now, message))

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.links) >= self.most_links and not self._make_room():
            self.log("warning", "front", "too many connections")
            writer.transport.abort()
            return
        link = Link(reader, writer)
        self.links.add(link)
        now = link.loop.time()
        while self.owed:
            at, message = self.owed.popleft()
            if now - at < OWED_S:
                link.write(message)

        def take(chunks: Chunks) -> None:
            while (text := chunks.line()) is not None:
                self._heard(link, text)

        try:
            ended = await link.read_all(take)
            if ended != "closed":
                self.log("notice", "front", f"connection ended: {ended}")
        except Exception as error:  # noqa: BLE001 - one bad message must cost one connection, no more
            self.log("error", "front", f"connection dropped: {error!r}")
        finally:
            link.abort()
            self.links.discard(link)
            for leg in [leg for leg in self.legs.values() if leg.link is link and not leg.stands]:
                self._left(leg, NORMAL_CLEARING)
            # Guards against a release that was written as the caller closed: it goes out once more.
            for wire_id, (at, over, message) in list(self.unheard.items()):
                if over is link and link.loop.time() - at < CROSSING_S:
                    del self.unheard[wire_id]
                    self.release_anywhere(wire_id, link, message)

    def _make_room(self) -> bool:
        busy = {id(leg.link) for leg in self.legs.values() if not leg.stands}
        idle = min(
            (one for one in self.links if id(one) not in busy), key=lambda one: one.heard_at, default=None
        )
        if idle:
            idle.abort()
            self.links.discard(idle)
        return idle is not None

    def _heard(self, link: Link, text: memoryview) -> None:
        try:
            row = json.loads(str(text, "utf-8"))
        except (ValueError, RecursionError):
            return self.log("warning", "front", "a line that is not JSON was dropped")
        if not isinstance(row, dict) or not isinstance(row.get("id"), str) or not TOKEN.fullmatch(row["id"]):
            return self.log("warning", "front", "a message without a usable id was dropped")
        kind, wire_id = row.get("type"), row["id"]
        if kind == "setup":
            self._set_up(link, row)
        elif kind == "release":
            self._release(link, row)
        elif kind == "ping":
            link.write(line("pong", wire_id, cause=1 if self.ready() else 0))
        elif kind == "released":
            self.unheard.pop(wire_id, None)
        elif kind not in SILENT_TYPES:
            self.log("warning", "front", "a message of unknown type was dropped", type=str(kind)[:32])

    def _set_up(self, link: Link, row: dict[str, Any]) -> None:
        wire_id = row["id"]
        if wire_id in self.legs:
            return self.log(
                "warning", "front", "a set-up with the id of an open call was dropped", call=wire_id
            )
        try:
            offer = parse_offer(row)
        except BadSetUp as error:
            self.log("warning", "front", f"a set-up with an unusable {error} was failed", call=wire_id)
            return link.write(line("release", wire_id, cause=INVALID_ELEMENT))
        leg = self.legs[wire_id] = JsonLeg(self, link, wire_id)
        leg.call = self.gatekeeper.offer(offer, leg)

    def _release(self, link: Link, row: dict[str, Any]) -> None:
        leg = self.legs.get(row["id"])
        if leg is None:
            return self.log("info", "front", "a release of no open call", call=row["id"])
        cause = row.get("cause")
        link.write(line("released", leg.wire_id))
        self._left(leg, cause if isinstance(cause, int) and 0 < cause < 128 else NORMAL_CLEARING)

    def _left(self, leg: JsonLeg, cause: int) -> None:
        if not leg.stands:
            self.legs.pop(leg.wire_id, None)  # no answer is owed any more
        if leg.call:
            leg.call.left(cause)
