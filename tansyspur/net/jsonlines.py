"""Callers over JSON lines: one JSON object per line, several calls on one TCP connection.

A call gets its answer or refusal on the connection of its set-up. The release of an answered call may be sent on any
connection of a caller; where none is open it stays pending until one is.
"""

import asyncio
import contextlib
import json
import math
import re
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from tansyspur.core.call import Call
from tansyspur.core.error_boundary import log_error, run_contained
from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.metrics import Delivery, SetUpResult
from tansyspur.core.ports import INVALID_ELEMENT, NORMAL_CLEARING, TEMPORARY_FAILURE, Offer, cause_or_normal
from tansyspur.net.framing import Chunks, FramingError
from tansyspur.net.handover_messages import CALL_ID, CallEnd, CallerRelease, Message, TakenIds, taken_ids
from tansyspur.net.link import Link
from tansyspur.net.open_set_ups import OpenSetUps, PartialMessages
from tansyspur.net.recent_ids import RecentIds

INVALID_REFERENCE = 81  # Q.850: a release of no call
FIRST_MESSAGE_TIMEOUT_S = 2.5  # a connection without a valid message by then is closed
PARTIAL_MESSAGE_TIMEOUT_S = 2.0  # a message that is not complete by then closes its connection
PENDING_DELIVERY_DELAY_S = 0.05  # a connection of the platform's front has sent its ping by then
NEW_CONNECTION_GRACE_S = 0.3  # a connection as new as this may still bring its first set-up
# Ids of calls that may have reached a switch: within the longest deadline their callers may send them again.
SERVED_IDS_LIFETIME_S, MAX_SERVED_IDS = 20.0, 20_000
MAX_REFUSED_IDS = 4096  # of set-ups that no switch can have seen
MAX_ACCEPTED_AT_ONCE, BACKLOG = 16, 512
MAX_UNSENT_WHILE_READING_BYTES = 8 * 1024  # a caller that does not read its answers is not read either
READ_AHEAD_BYTES = 1024  # with twice as much waiting for a connection's turn, nothing more is read of it
RECEIVE_BUFFER_BYTES = 16 * 1024  # of the kernel for each connection; Linux takes twice as much
DEFAULT_MEMORY_MB = 192
# The shares of the memory limit that open set-ups, and messages that are not complete, may take.
OPEN_SET_UPS_SHARE, PARTIAL_MESSAGES_SHARE = 1 / 8, 1 / 16
# The platform's front pings every 0.1 s, and brings new connections until 0.2 s after a negative pong.
PLATFORM_FRONT_REROUTE_S = 0.5
# After a PAUSE one connection of a caller stays open for this long, as releases are due within a second. All are closed
# soon after, because none may be in use after 4 s.
KEEP_ONE_OPEN_S = 3.7
CLOSE_ALL_AFTER_S = 3.87
IDLE_CHECK_INTERVAL_S = 0.02  # between searches for connections to close, while callers are diverted
PENDING_LIFETIME_S = 120.0  # for a pending release; a caller that reconnects late still holds its call
MAX_PENDING = 5_000
MAX_UNIDENTIFIED_TARGETS = 64  # connections that have sent nothing, on which one pending release is written
CONFIRMATION_WINDOW_S = 1.0  # a release on a connection that ends this soon after may not have arrived
TOKEN = re.compile(r"[!-~]{1,128}")
CLASS_NAME = re.compile(r"[ -~]{1,128}")

Log = Callable[..., None]


class InvalidSetUp(Exception):
    """A set-up with a missing or invalid field; the text is the name of the field."""


def _parse_number(value: Any, name: str) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        raise InvalidSetUp(name) from None
    if not abs(number) < 1e12 or isinstance(value, bool):
        raise InvalidSetUp(name)
    return number


def _parse_integer(value: Any, name: str) -> int:
    number = _parse_number(value, name)
    if number != int(number):
        raise InvalidSetUp(name)
    return int(number)


def _parse_text(value: Any, name: str, pattern: re.Pattern[str]) -> str:
    # The pattern excludes line ends, with which a caller could add SIP headers of its own.
    if isinstance(value, int):
        value = str(value)
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise InvalidSetUp(name)
    return value


def _parse_description(value: Any) -> str:
    if not isinstance(value, str):
        raise InvalidSetUp("sdp")
    try:
        # Bytes that are not UTF-8 pass through as lone surrogates; any other surrogate stands for no bytes at all.
        value.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        raise InvalidSetUp("sdp") from None
    return value


def parse_offer(row: dict[str, Any]) -> Offer:
    """Convert a set-up message to an offer. Raises InvalidSetUp."""
    fields = row.get("fields")
    if not isinstance(fields, dict):
        raise InvalidSetUp("fields")
    extras = {}
    for pair in str(fields.get("extras", "")).split(";"):
        name, _, value = pair.partition(":")
        extras[name.strip()] = value.strip()
    via = _parse_integer(extras.get("via", -1), "via")
    return Offer(
        wire_id=row["id"],
        class_name=_parse_text(fields.get("class"), "class", CLASS_NAME),
        remaining_ms=_parse_number(fields.get("left"), "left"),
        destination=_parse_integer(extras.get("dest"), "dest"),
        called_number=_parse_text(fields.get("key"), "key", TOKEN),
        description=_parse_description(row.get("sdp")),
        circuits=_parse_number(extras.get("width", 1), "width"),
        via=via if via >= 0 else None,
        in_transit=extras.get("transit", "0") not in ("0", ""),
        redial=str(fields.get("retry", "0")) not in ("0", ""),
        was_cut=extras.get("again", "0") not in ("0", ""),
    )


class JsonLeg:
    """The caller's side of one call; implements core.ports.CallerLeg."""

    def __init__(self, front: "JsonLinesFront", link: Link, wire_id: str) -> None:
        self.front, self.link, self.wire_id = front, link, wire_id
        self.call: Call | None = None
        self.standing = False

    @property
    def _is_open(self) -> bool:
        return self.front.legs.get(self.wire_id) is self

    @property
    def has_left(self) -> bool:
        return not self.standing and self.link.peer_has_closed

    def answer(self, description: str) -> bool:
        if self.link.closed or self.wire_id not in self.front.legs:
            return False
        self.standing = True
        self.front.open_set_ups.remove(self.wire_id)
        self.link.write(format_line("answer", self.wire_id, sdp=description))
        if self.link.closed:  # the write aborted a stalled connection: no answer, so no release is needed
            self.front.forget(self)
        return not self.link.closed

    def refuse(self, cause: int, retry_after_ms: int) -> None:
        self._send_final(
            format_line(
                "release", self.wire_id, {"wait": str(retry_after_ms)} if retry_after_ms else {}, cause=cause
            )
        )

    def fail(self, cause: int) -> None:
        self._send_final(format_line("release", self.wire_id, cause=cause))

    def _send_final(self, message: bytes) -> None:
        # Forgotten once it is written, so that the answer can be sent again after an error.
        if self._is_open:
            self.link.write(message)
            self.front.forget(self)

    def release(self, cause: int) -> None:
        if self._is_open:
            message = format_line("release", self.wire_id, cause=cause)
            self.front.release_anywhere(self.wire_id, self.link, message)
            self.front.forget(self)


def format_line(
    message_type: str, wire_id: str, fields: dict[str, str] | None = None, **members: Any
) -> bytes:
    """Return a message as one line of JSON."""
    row = {"type": message_type, "id": wire_id, "fields": fields or {}, **members}
    return json.dumps(row, separators=(",", ":")).encode() + b"\n"


@dataclass(slots=True)
class PendingRelease:
    """A release for which no connection of a caller was open, and the connections that it was sent on since."""

    created_at: float  # loop time
    message: bytes
    sent_to: set[int] = field(default_factory=set)  # numbers of connections


class JsonLinesFront:
    """Accepts up to max_connections callers on a listening socket, and offers their calls to the gatekeeper.

    memory_mb is the memory limit of the process, in MiB.
    Where two processes share the address during a hand-over, messages for calls of the other process are passed to it.
    """

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        log: Log,
        max_connections: int,
        listening: socket.socket,
        memory_mb: int = DEFAULT_MEMORY_MB,
    ) -> None:
        gatekeeper.pause_listeners.append(self.on_pause)
        self.gatekeeper, self.log, self.max_connections = gatekeeper, log, max_connections
        self.listening = listening
        # Sends a message to the other process, where two share the address.
        self.send_to_other_process: Callable[[Message], None] | None = None
        self.handed_over = False  # whether the other process accepts the callers now
        self.resumed_at = -math.inf  # when callers were last let in again; infinity while they are diverted
        self.idle_check_timer: asyncio.TimerHandle | None = None
        self.close_all_timer: asyncio.TimerHandle | None = None
        # Connections that stay open while callers are diverted: those of standing calls if keep_standing_links is set,
        # and until keep_until one more, for calls whose own connection is lost.
        self.keep_standing_links = False
        self.kept_link: Link | None = None
        self.keep_until = -math.inf
        self.legs: dict[str, JsonLeg] = {}
        self.open_set_ups = OpenSetUps(int(memory_mb * 2**20 * OPEN_SET_UPS_SHARE))
        self.partial_messages = PartialMessages(int(memory_mb * 2**20 * PARTIAL_MESSAGES_SHARE))
        self.refusing_links: set[Link] = (
            set()
        )  # connections of which a set-up was refused as beyond the limits
        self.links: set[Link] = set()
        self.delivery_timers: dict[Link, asyncio.TimerHandle] = {}  # of connections not identified yet
        self.caller_links: set[Link] = set()  # connections that have sent a set-up, or the release of a call
        self.pinging_links: set[Link] = set()  # connections that have sent a ping
        # Ids of ended calls: of those that may have been served, of the others, and of the other process's.
        self.served_ids = RecentIds(SERVED_IDS_LIFETIME_S, MAX_SERVED_IDS)
        self.refused_ids = RecentIds(SERVED_IDS_LIFETIME_S, MAX_REFUSED_IDS)
        self.ids_of_other_process = RecentIds(SERVED_IDS_LIFETIME_S, MAX_SERVED_IDS)
        self.share_taken_ids: Callable[[Message], None] = (
            lambda message: None
        )  # with the other process, if any
        self.pending: dict[str, PendingRelease] = {}  # releases not yet sent to a caller, oldest first
        self.unconfirmed: dict[str, tuple[float, Link, bytes]] = {}  # releases written recently, by id
        self.server: asyncio.Server | None = None

    async def start_accepting(self) -> None:
        """Accept connections from now on.

        The server gets a copy of the socket, and only the copy is closed: the queue of connections stays for another
        process or for a second start.
        """
        if self.server:
            return
        # The loop accepts as many connections in one turn as the backlog that it is given, before any can be closed.
        # Too many would exhaust the descriptors, and then it accepts none for a second. The queue of the kernel may be
        # longer: listen() sets its length before anything else runs.
        asyncio.get_running_loop().call_soon(self.listening.listen, BACKLOG)
        # The loop reads all that the kernel holds of a connection at once, and keeps it until its turn comes.
        with contextlib.suppress(OSError):
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.server = await asyncio.start_server(
            self._on_connection,
            sock=self.listening.dup(),
            backlog=MAX_ACCEPTED_AT_ONCE,
            limit=READ_AHEAD_BYTES,
        )

    def stop_accepting(self) -> None:
        if self.server:
            self.server.close()
            self.server = None

    def set_connection_limit(self, max_connections: int) -> None:
        """Allow at most max_connections connections, and close the least useful ones in excess."""
        self.max_connections = max_connections
        while len(self.links) > max_connections and self._close_least_useful_link():
            pass

    # Diverting callers

    def on_pause(self, paused: bool) -> None:
        """Divert the callers after an operator's PAUSE, or let them in again after RESUME.

        Connections are closed only once the platform's front routes callers elsewhere: callers closed earlier would
        come back here.
        """
        self.stop_closing_connections()
        loop = asyncio.get_running_loop()
        self.resumed_at = math.inf if paused else loop.time()
        if paused:
            self.keep_until = loop.time() + KEEP_ONE_OPEN_S
            self.idle_check_timer = loop.call_later(
                PLATFORM_FRONT_REROUTE_S, self.close_idle_connections, True
            )
            self.close_all_timer = loop.call_later(CLOSE_ALL_AFTER_S, self.close_connections)

    def close_connections(self) -> None:
        """Close all connections that need not be kept; fail the open set-ups on them.

        Connections that are never without an open set-up cannot be closed while idle, so their set-ups are failed.
        """
        busy_links = {leg.link for leg in self.legs.values() if not leg.standing}
        kept_links = self._links_to_keep()
        for link in list(self.links):
            if link in busy_links and not link.closed:
                self._fail_open_set_ups(link, "callers are diverted")
            if link not in kept_links:
                link.start_graceful_close()

    def _links_to_keep(self) -> set[Link]:
        """The connections of standing calls, if they stay open until their calls are released."""
        return {leg.link for leg in self.legs.values() if leg.standing} if self.keep_standing_links else set()

    def close_idle_connections(self, keep_standing_links: bool = False) -> None:
        """Close each connection once it has no open set-up; repeats until stop_closing_connections().

        A caller sends a set-up that crosses the close once more, so no connection is closed with a set-up open. With
        keep_standing_links the connections of standing calls stay open: the ends of these calls could not be reported
        in time otherwise.
        """
        loop = asyncio.get_running_loop()
        self.keep_standing_links = keep_standing_links
        busy_links, kept_links = (
            {leg.link for leg in self.legs.values() if not leg.standing},
            self._links_to_keep(),
        )
        open_caller_links = [link for link in self.links if link in self.caller_links and not link.closed]
        if self.kept_link not in open_caller_links:
            self.kept_link = open_caller_links[0] if open_caller_links else None
        has_lost_links = any(leg.standing and leg.link.closed for leg in self.legs.values())
        if has_lost_links and self.kept_link and loop.time() < self.keep_until:
            kept_links.add(self.kept_link)
        for link in list(self.links):
            # A new connection may still bring its first set-up, or a ping of the platform's front.
            is_new = loop.time() - link.opened_at < NEW_CONNECTION_GRACE_S
            if link not in busy_links and not is_new and link not in kept_links:
                # In the next turn of the loop, when the bytes that have been read are processed.
                loop.call_soon(self._close_if_idle, link)
        self.idle_check_timer = loop.call_later(
            IDLE_CHECK_INTERVAL_S, self.close_idle_connections, keep_standing_links
        )

    def close_idle_connections_until_exit(self) -> None:
        """Close idle connections until the process ends, where no other process takes over.

        The connections of standing calls stay open to the end, so that releases can be sent.
        """
        self.stop_closing_connections()  # of a pause, which would close the rest only after the process is killed
        self.keep_until = math.inf
        self.close_idle_connections(keep_standing_links=True)

    def _close_if_idle(self, link: Link) -> None:
        """Close the connection unless a set-up is open or bytes have arrived that may be one."""
        is_open = any(leg.link is link and not leg.standing for leg in self.legs.values())
        if not is_open and not link.unread and not link.has_partial_message:
            link.start_graceful_close()

    def stop_closing_connections(self) -> None:
        """Stop closing connections, whether the close was started by a pause or by the end of the process."""
        for timer in (self.idle_check_timer, self.close_all_timer):
            if timer:
                timer.cancel()
        self.idle_check_timer = self.close_all_timer = None
        self.keep_standing_links = False
        self.keep_until = -math.inf

    # Messages between two processes that share the address

    def release_from_other_process(self, release: CallerRelease) -> None:
        """A caller's release of a call of this process arrived at the other one."""
        if leg := self.legs.get(release.call_id):
            self._on_caller_left(leg, release.cause)

    def release_for_other_process(self, end: CallEnd) -> None:
        """A call of the other process ended, and that process has no caller connection: release it from here."""
        self._remember(self.served_ids, end.call_id)
        self.release_anywhere(end.call_id, None, format_line("release", end.call_id, cause=end.cause))

    def take_ids_of_other_process(self, message: TakenIds) -> None:
        """The other process has taken set-ups with these ids."""
        for call_id in message.call_ids:
            self._remember(self.ids_of_other_process, call_id)

    def all_taken_ids(self) -> list[TakenIds]:
        """The ids that a process which takes over must not serve again."""
        return taken_ids([*self.legs, *self.served_ids, *self.ids_of_other_process])

    def forward_pending_releases(self) -> None:
        """Pass the pending releases to the other process, if it accepts the callers now."""
        while self.send_to_other_process and self.handed_over and self.pending:
            wire_id, release = self.pending.popitem()
            self.send_to_other_process(CallEnd(wire_id, json.loads(release.message)["cause"]))

    def release_anywhere(self, wire_id: str, link: Link | None, message: bytes) -> None:
        """Send a release on this connection if it is open, else on any other of a caller, else once one opens."""
        now = asyncio.get_running_loop().time()
        while self.unconfirmed and next(iter(self.unconfirmed.values()))[0] < now - CONFIRMATION_WINDOW_S:
            del self.unconfirmed[next(iter(self.unconfirmed))]
        target: Link | None = link
        if link is None or link.closed or link.unsent:
            # Only connections that have brought calls count: a client that only holds a connection, such as the
            # platform's front, does not pass releases on.
            usable = (
                candidate for candidate in self.caller_links if not candidate.closed and not candidate.unsent
            )
            target = max(usable, key=lambda candidate: candidate.received_at, default=None)
        if target:
            target.write(message)
            self.unconfirmed[wire_id] = (now, target, message)
            delivery = Delivery.WRITTEN if target is link else Delivery.REDIRECTED
            self._note_delivery(delivery, wire_id, target)
        elif len(self.pending) < MAX_PENDING:
            release = self.pending[wire_id] = PendingRelease(now, message)
            self._note_delivery(Delivery.PENDING, wire_id)
            self.forward_pending_releases()
            if wire_id in self.pending:
                self._write_on_unidentified_links(release)
        else:
            self._note_delivery(Delivery.EXPIRED, wire_id)

    def _write_on_unidentified_links(self, release: PendingRelease) -> None:
        """Write a release on the newest connections that have sent nothing yet; it stays pending.

        A caller that is back with no further call to make waits on such a connection, and would not be told until its
        next set-up. One that has sent a ping may be the platform's front, and gets none.
        """
        unidentified = [
            link
            for link in self.links - self.caller_links - self.pinging_links
            if link not in self.delivery_timers and not link.closed and not link.unsent
        ]
        unidentified.sort(key=lambda link: link.opened_at, reverse=True)
        for link in unidentified[:MAX_UNIDENTIFIED_TARGETS]:
            release.sent_to.add(link.number)
            link.write(release.message)

    def _note_delivery(
        self, delivery: Delivery, wire_id: str, link: Link | None = None, late_s: float = 0.0
    ) -> None:
        """Count how a release was delivered and log it, at info unless it was written on its own connection."""
        self.gatekeeper.metrics.deliveries[delivery] += 1
        level = "debug" if delivery is Delivery.WRITTEN else "info"
        number = link.number if link else ""
        # The release is written: an error here must not end the call again.
        with contextlib.suppress(Exception):
            self.log(level, "release", delivery.value, call=wire_id, link=number, late_ms=int(late_s * 1000))

    def _cancel_delivery_timer(self, link: Link) -> None:
        if timer := self.delivery_timers.pop(link, None):
            timer.cancel()

    def _deliver_pending(self, link: Link) -> None:
        """Send the pending releases on this connection, each of them once.

        They stay pending until a connection proves to be a caller's, by a set-up for example.
        """
        now = link.loop.time()
        self._cancel_delivery_timer(link)
        for wire_id, release in list(self.pending.items()):
            if now - max(release.created_at, self.resumed_at) > PENDING_LIFETIME_S:
                del self.pending[wire_id]
                self._note_delivery(Delivery.EXPIRED, wire_id, late_s=now - release.created_at)
                continue
            if link.number not in release.sent_to:
                release.sent_to.add(link.number)
                link.write(release.message)
            if link in self.caller_links:
                del self.pending[wire_id]
                self.unconfirmed[wire_id] = (now, link, release.message)
                self._note_delivery(Delivery.DELIVERED_LATE, wire_id, link, now - release.created_at)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.links) >= self.max_connections and not self._close_least_useful_link():
            self.log("warning", "front", "connection limit reached; closing a new connection")
            writer.transport.abort()
            return
        link = Link(reader, writer)
        link.max_unsent_while_reading = MAX_UNSENT_WHILE_READING_BYTES
        self.links.add(link)
        self.delivery_timers[link] = link.loop.call_later(
            PENDING_DELIVERY_DELAY_S, self._deliver_pending, link
        )

        # Clients that send nothing, or never complete a message, would each hold a descriptor.
        first_message_timer = link.loop.call_later(
            FIRST_MESSAGE_TIMEOUT_S,
            self._drop_link,
            link,
            f"no valid message within {FIRST_MESSAGE_TIMEOUT_S:g} s",
        )

        def take_message(chunks: Chunks) -> bool:
            raw_line = chunks.take_line()
            if raw_line is None:
                self._limit_partial_messages(link, len(chunks.view))
                return False
            self._on_message(link, raw_line)
            first_message_timer.cancel()
            return True

        try:
            how_ended = await link.read_all(
                take_message,
                None,
                PARTIAL_MESSAGE_TIMEOUT_S,
                lambda: self._drop_link(link, f"message not complete within {PARTIAL_MESSAGE_TIMEOUT_S:g} s"),
            )
            if how_ended != "closed" and not link.closed:
                self.log("notice", "front", f"connection ended: {how_ended}")
        except FramingError as error:
            if self._fail_open_set_ups(link, str(error)):
                await link.close_gracefully()
        except Exception as error:  # noqa: BLE001 - an error in one message must cost no more than its connection
            self.log("error", "front", f"connection dropped: {error!r}")
        finally:
            first_message_timer.cancel()
            self._cancel_delivery_timer(link)
            link.abort()
            self.links.discard(link)
            self.caller_links.discard(link)
            self.pinging_links.discard(link)
            self.refusing_links.discard(link)
            self.partial_messages.remove(link)
            for leg in [leg for leg in self.legs.values() if leg.link is link and not leg.standing]:
                self._on_caller_left(leg, NORMAL_CLEARING)
            # The caller may have closed before it read a release: send it once more.
            for wire_id, (written_at, written_link, message) in list(self.unconfirmed.items()):
                if written_link is link and link.loop.time() - written_at < CONFIRMATION_WINDOW_S:
                    del self.unconfirmed[wire_id]
                    self.release_anywhere(wire_id, link, message)

    def _limit_partial_messages(self, link: Link, partial_bytes: int) -> None:
        excess = self.partial_messages.set(link, partial_bytes)
        if isinstance(excess, Link):
            self.partial_messages.remove(excess)
            self._drop_link(excess, "too many bytes of messages that are not complete")

    def _drop_link(self, link: Link, reason: str) -> None:
        if link.closed:
            return
        if self._fail_open_set_ups(link, reason):
            link.closed = True
            link.writer.close()
        else:
            link.abort()

    def _fail_open_set_ups(self, link: Link, reason: str) -> bool:
        """Log why the connection is unusable, and fail its open set-ups; returns whether there were any."""
        self.log("warning", "front", f"connection dropped: {reason}")
        open_legs = [leg for leg in self.legs.values() if leg.link is link and not leg.standing]
        for leg in open_legs:
            fail = leg.call.fail if leg.call else partial(leg.fail, TEMPORARY_FAILURE)
            run_contained(self.log, "front", fail, call=leg.wire_id)
        return bool(open_legs)

    def _close_least_useful_link(self) -> bool:
        """Close the least useful connection without open set-ups; returns False if there is none.

        A connection that has brought no call is closed first, then the one that was silent for longest.
        """
        now = next(iter(self.links)).loop.time()
        busy_links = {leg.link for leg in self.legs.values() if not leg.standing}

        def usefulness(link: Link) -> tuple[bool, float]:
            return (
                link in self.caller_links or now - link.received_at < NEW_CONNECTION_GRACE_S,
                link.received_at,
            )

        idle_link = min(
            (candidate for candidate in self.links if candidate not in busy_links),
            key=usefulness,
            default=None,
        )
        if idle_link:
            idle_link.abort()
            self.links.discard(idle_link)
        return idle_link is not None

    def forget(self, leg: JsonLeg) -> None:
        """Remove an ended call. Does nothing if it was removed before."""
        if self.legs.get(leg.wire_id) is leg:
            self.open_set_ups.remove(leg.wire_id)
            del self.legs[leg.wire_id]
            was_sent = leg.call is not None and leg.call.attempts > 0
            self._remember(self.served_ids if was_sent else self.refused_ids, leg.wire_id)

    def _remember(self, ids: RecentIds, wire_id: str) -> None:
        ids.add(wire_id, asyncio.get_running_loop().time())

    def _is_ended(self, wire_id: str) -> bool:
        return wire_id in self.served_ids or wire_id in self.refused_ids

    def _is_taken(self, wire_id: str) -> bool:
        """Whether a set-up with this id has been taken, here or by the other process at the address."""
        return wire_id in self.legs or self._is_ended(wire_id) or wire_id in self.ids_of_other_process

    def _on_message(self, link: Link, raw_line: memoryview) -> None:
        """Handle one line. An internal error ends the call that the line belongs to, and not the connection.

        Raises FramingError if the connection is unusable.
        """
        try:
            row = json.loads(str(raw_line, "utf-8"))
        except (ValueError, RecursionError):
            raise FramingError("a line that is not JSON") from None
        if not isinstance(row, dict) or not isinstance(row.get("id"), str) or not TOKEN.fullmatch(row["id"]):
            raise FramingError("message without a valid id")
        try:
            self._dispatch(link, row)
        except FramingError:
            raise
        except Exception as error:  # noqa: BLE001 - any of them must end as one failed call
            log_error(self.log, "front", error, call=row["id"], type=str(row.get("type")))
            run_contained(self.log, "front", self._end_after_error, link, row, call=row["id"])

    def _end_after_error(self, link: Link, row: dict[str, Any]) -> None:
        """End the call of a message that could not be handled: its caller gets the answer that is due."""
        wire_id = row["id"]
        leg = self.legs.get(wire_id)
        if leg and row.get("type") == "release":
            self._on_caller_left(leg, cause_or_normal(row.get("cause")))
        elif leg and leg.call:
            leg.call.fail()
        elif row.get("type") == "setup":
            self.legs.pop(wire_id, None)
            self.open_set_ups.remove(wire_id)
            self._remember(self.served_ids, wire_id)
            link.write(format_line("release", wire_id, cause=TEMPORARY_FAILURE))
        elif row.get("type") == "release":
            link.write(format_line("released", wire_id))

    def _dispatch(self, link: Link, row: dict[str, Any]) -> None:
        message_type, wire_id = row.get("type"), row["id"]
        if message_type == "setup":
            self._on_set_up(link, row)
        elif message_type == "release":
            self._on_release(link, row)
        elif message_type == "ping":
            # A ping gets its pong only, without pending releases: to the platform's front anything but a pong is a
            # negative answer, and the callers that need the releases would never come back.
            self._cancel_delivery_timer(link)
            self.pinging_links.add(link)
            link.write(format_line("pong", wire_id, cause=1 if self.gatekeeper.accepts_callers else 0))
        elif message_type == "released":
            self.unconfirmed.pop(wire_id, None)
            self.pending.pop(wire_id, None)
        elif message_type != "progress":
            raise FramingError("message of unknown type")

    def _on_set_up(self, link: Link, row: dict[str, Any]) -> None:
        wire_id = row["id"]
        # Without this, two calls could be answered under one id. The first call keeps it; the connection that brought
        # the second one is closed.
        if self._is_taken(wire_id) or not CALL_ID.fullmatch(wire_id):
            raise FramingError("set-up with an id that is in use or malformed")
        if link.peer_has_closed:
            return  # its caller has left already: nobody waits for an answer
        try:
            offer = parse_offer(row)
        except InvalidSetUp as error:
            self.log(
                "warning",
                "front",
                f"set-up with an invalid value of {error}; releasing it with cause {INVALID_ELEMENT}",
                call=wire_id,
            )
            self._remember(self.refused_ids, wire_id)
            fields = row.get("fields")
            class_name = fields.get("class") if isinstance(fields, dict) else None
            self.gatekeeper.metrics.count_setup_result(SetUpResult.FAILURE, str(class_name))
            return link.write(format_line("release", wire_id, cause=INVALID_ELEMENT))
        self.caller_links.add(link)
        self._deliver_pending(link)
        leg = self.legs[wire_id] = JsonLeg(self, link, wire_id)
        self.share_taken_ids(TakenIds((wire_id,)))
        if link in self._links_to_keep():
            return self.gatekeeper.reject(offer, leg)
        if not self.open_set_ups.add(link, wire_id, sys.getsizeof(offer.description)):
            self._log_refusing(link)
            return self.gatekeeper.refuse_on_arrival(offer, leg)
        leg.call = self.gatekeeper.offer(offer, leg)

    def _log_refusing(self, link: Link) -> None:
        """Log once for each connection that its set-ups are refused: there may be thousands a second."""
        if link not in self.refusing_links:
            self.refusing_links.add(link)
            open_count = self.open_set_ups.count(link)
            self.log(
                "warning", "front", "too many open set-ups; refusing more", link=link.number, open=open_count
            )

    def _on_release(self, link: Link, row: dict[str, Any]) -> None:
        leg = self.legs.get(row["id"])
        if leg is None:
            # A release that crossed ours is confirmed; one of a call that never existed gets an error.
            is_known = self._is_ended(row["id"])
            if not is_known and self.send_to_other_process and CALL_ID.fullmatch(row["id"]):
                self.send_to_other_process(CallerRelease(row["id"], cause_or_normal(row.get("cause"))))
                is_known = True
            reply = (
                format_line("released", row["id"])
                if is_known
                else format_line("release", row["id"], cause=INVALID_REFERENCE)
            )
            return link.write(reply)
        self.caller_links.add(link)
        link.write(format_line("released", leg.wire_id))
        self._on_caller_left(leg, cause_or_normal(row.get("cause")))

    def _on_caller_left(self, leg: JsonLeg, cause: int) -> None:
        if not leg.standing:
            self.forget(leg)  # no answer is pending any more
        if leg.call:
            leg.call.caller_left(cause)
