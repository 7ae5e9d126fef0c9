"""Carrier switches over SIP: the subset of RFC 3261 that PROTOCOL names, on up to four TCP connections to each.

SipSwitch keeps at least one usable connection to a switch, detects silent ones by OPTIONS pings, and cuts standing
calls whose lease has expired.
"""

import asyncio
import contextlib
import itertools
import math
import re
from collections.abc import Callable, Container, Hashable

from tansyspur import interface
from tansyspur.core.error_boundary import log_error, run_contained
from tansyspur.core.lease import LATE_TIMER_S, StandingLeases
from tansyspur.core.metrics import Metrics
from tansyspur.core.ports import (
    NORMAL_CLEARING,
    Answered,
    EndReason,
    LegEnded,
    SetUpRequest,
    SwitchSignal,
)
from tansyspur.net.framing import Chunks, FramingError
from tansyspur.net.handover_messages import CALL_ID, SwitchRelease
from tansyspur.net.link import Link
from tansyspur.net.recent_responses import RecentResponses
from tansyspur.net.releases import PendingReleases
from tansyspur.net.response_limits import ResponseLimits
from tansyspur.net.sip_leg import SipLeg
from tansyspur.net.sip_messages import (
    INVITE_CSEQ,
    Message,
    answer_description,
    format_request,
    parse_group_header,
    parse_message,
)

ABORT_WAIT_S = 0.02  # lets the event loop close an aborted connection
PARTIAL_MESSAGE_TIMEOUT_S = 0.2  # a message that has begun must be complete by then
MAX_CANCELLED_IDS = 1000
MAX_CONNECTIONS = 4
MAX_CONNECTIONS_FOR_ATTEMPTS = 3  # opened only so that the next attempt of a call need not wait
MAX_TIMED_PINGS = 16  # that are not answered yet
# A connection on which nothing was received for this long gets a ping: soon while a set-up is open, as its caller
# waits, and while a call is standing, as its end must be known within a second.
SETUP_SILENCE_S, STANDING_SILENCE_S, IDLE_SILENCE_S = 0.15, 0.3, 2.0
# Without a response to the ping a connection gets no new set-up after the first of these times, and is closed after
# the second.
SUSPECT_AFTER_S, PING_TIMEOUT_S = 0.1, 0.25
CHECK_INTERVAL_S = 0.05
FIRST_RECONNECT_S, MAX_RECONNECT_STANDING_S, MAX_RECONNECT_S = 0.1, 0.4, 2.0
RELEASE_RETRY_S = 0.2  # after an error while releases were written
NEW_CONNECTION_INTERVAL_S = 4.0  # between connections opened for releases that may have been lost
CAUSE_BY_NAME = {
    "all_trunks_busy": interface.Cause.NO_CIRCUIT,
    "via_said_no": interface.Cause.TURNED_BACK,
    "far_cpu_full": interface.Cause.FAR_PROCESSOR_FULL,
    "cpu_full": interface.Cause.PROCESSOR_FULL,
    "number_busy": interface.Cause.NUMBER_BUSY,
}
OUTCOME_BY_STATUS = {
    503: interface.Outcome.NO_ROOM,
    486: interface.Outcome.FAULT,
    500: interface.Outcome.FAULT,
    480: interface.Outcome.NOT_SENT,
    504: interface.Outcome.CUT,
}

Log = Callable[..., None]


class SipSwitch:
    """One carrier switch, reached over SIP at the address HOST:PORT; implements core.ports.Switch.

    on_report gets each load report that arrives in a NOTIFY. discovery_steady_since returns the loop time since which
    discovery has been received without a gap, None if it is not received now. on_unknown_release gets the release of
    each call that is not known here: it may be a call of another process at the same address.
    """

    uses_listed_address = True

    def __init__(
        self,
        name: str,
        address: str,
        on_report: Callable[[interface.LoadReport], None],
        log: Log,
        dial_timeout_s: float,
        metrics: Metrics,
        discovery_steady_since: Callable[[], float | None],
        on_unknown_release: Callable[[SwitchRelease], None] | None = None,
    ) -> None:
        self.discovery_steady_since = discovery_steady_since
        self.on_unknown_release = on_unknown_release
        self.name, self.on_report, self.log, self.metrics = name, on_report, log, metrics
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.dial_timeout_s = dial_timeout_s
        self.loop = asyncio.get_running_loop()
        self.links: list[Link] = []
        self.legs: dict[str, SipLeg] = {}  # waiting, sent or standing, by Call-ID
        self.waiting_legs: list[SipLeg] = []  # for a connection
        self.delayed_legs: list[SipLeg] = []  # until no copy of an earlier response can come
        self.recent_responses = RecentResponses()
        self.pending_releases = PendingReleases()
        self.closed_as_silent: set[Link] = set()  # aborted as silent, and not removed from links yet
        self.handled_suspects: set[Link] = set()  # suspect connections that have led to a new one
        self.limits = ResponseLimits(SUSPECT_AFTER_S, PING_TIMEOUT_S, PARTIAL_MESSAGE_TIMEOUT_S)
        self.ping_sent_at: dict[Link, float] = {}  # connections with an unanswered ping
        self.responsive_links: set[Link] = set()  # connections on which a ping has been answered
        self.ping_times: dict[str, float] = {}  # when the last pings were sent, by their Call-ID
        # Call-IDs of recently cancelled attempts, which may still be answered
        self.cancelled_ids: dict[str, None] = {}
        self.probes: dict[str, Callable[[interface.Outcome, interface.LoadReport | None], None]] = {}
        self.probe_ids = itertools.count(1)
        self.retired = False
        self.was_reachable = False  # at the last check
        self.lost_at: float | None = None  # when the last connection was lost; None before the first one
        self.reconnect_s, self.next_connection_at = FIRST_RECONNECT_S, -math.inf
        self.wake_event = asyncio.Event()
        self.connection_task = self.loop.create_task(self._maintain_connections(), name=f"switch {name}")
        self.tasks: set[asyncio.Task[None]] = set()
        self.leases = StandingLeases()
        self.lease_timer: asyncio.TimerHandle | None = None
        # A release may be lost with its connection: the switch sends it again on the next one that opens. Set when a
        # connection that concerned standing calls ended or became suspect.
        self.releases_uncertain_since: float | None = None
        self.last_connected_at = -math.inf
        self.first_dial_done = asyncio.Event()

    # Interface of the core

    def start_attempt(
        self,
        request: SetUpRequest,
        may_send: Callable[[], bool],
        on_written: Callable[[], None],
        notify: Callable[[SwitchSignal], None],
    ) -> SipLeg:
        leg = SipLeg(self, request, may_send, on_written, notify)
        self.legs[leg.call_id] = leg
        self.pending_releases.forget(leg.call_id)  # a BYE of the previous attempt would end this one
        self.cancelled_ids.pop(leg.call_id, None)
        self._send_or_wait(leg)
        return leg

    def _send_or_wait(self, leg: SipLeg) -> None:
        """Send the set-up on a connection on which no response to an earlier attempt can come, or wait for one.

        A copy of that response would be taken for the end of this attempt, and the next one be sent beside it.
        """
        if leg.ended or self.retired:
            return
        if leg in self.delayed_legs:
            self.delayed_legs.remove(leg)
        windows = self.recent_responses.windows(leg.call_id, self.loop.time())
        if link := self._usable_link(windows):
            leg.send(link)
        elif windows and self._usable_link():
            self.delayed_legs.append(leg)
            leg.wait_timer = self.loop.call_at(min(windows.values()), self._send_or_wait, leg)
            self.wake_event.set()
        else:
            self.waiting_legs.append(leg)
            leg.wait_timer = self.loop.call_later(self.dial_timeout_s, leg.fail_no_route)
            self.wake_event.set()

    def probe(self, notify: Callable[[interface.Outcome, interface.LoadReport | None], None]) -> None:
        link = self._usable_link()
        if link is None:
            return notify(interface.Outcome.NO_ROUTE, None)
        call_id = f"probe-{next(self.probe_ids)}"
        self.probes[call_id] = notify
        self.loop.call_later(
            self.dial_timeout_s, self._finish_probe, call_id, interface.Outcome.TIMED_OUT, None
        )
        link.write(format_request("OPTIONS", "load", call_id, 1))

    def _finish_probe(
        self, call_id: str, outcome: interface.Outcome, report: interface.LoadReport | None
    ) -> None:
        notify = self.probes.pop(call_id, None)
        if notify:
            notify(outcome, report)

    def stop_new_attempts(self) -> None:
        for link in list(self.links):
            if link.unsent:
                link.abort()
        for leg in [leg for leg in self.legs.values() if leg.link is None]:
            self.forget(leg)
            leg.notify(LegEnded(interface.Outcome.NOT_SENT, reason=EndReason.HELD_BACK))

    def process_restarted(self, at_ns: int) -> None:
        # Without this these calls would stay standing for ever: the process that held them can send no more releases.
        for leg in [leg for leg in self.legs.values() if leg.link and leg.sent_ns < at_ns]:
            self.forget(leg)
            leg.notify(LegEnded(interface.Outcome.CUT, reason=EndReason.SWITCH_RESTARTED))

    def retire(self, reason: EndReason = EndReason.SWITCH_REMOVED) -> None:
        """The switch is gone: cut its standing calls and end its open attempts.

        Standing calls are released at the switch too, unless another switch has taken its address.
        """
        self.retired = True
        if reason is not EndReason.ADDRESS_TAKEN:
            for leg in [leg for leg in self.legs.values() if leg.standing]:
                # If the switch still runs, it must not keep the call.
                self.send_bye(leg.call_id, NORMAL_CLEARING, leg.link)
        self._end_all_legs(reason)
        self.close()

    def close(self) -> None:
        """Close all connections and stop reconnecting. Legs are not notified."""
        self.retired = True
        self.first_dial_done.set()  # ends the wait for the first connection at start
        self.connection_task.cancel()
        if self.lease_timer:
            self.lease_timer.cancel()
        for link in list(self.links):
            link.writer.close() if not link.unsent else link.abort()

    # Connections

    def _usable_link(self, excluded: Container[Hashable] = ()) -> Link | None:
        """The most recently active connection that takes bytes and is not suspect; None if there is none."""
        suspect_before = self.loop.time() - self.limits.suspect_after_s
        usable = [
            link
            for link in self.links
            if not link.closed
            and not link.unsent
            and link not in excluded
            and self.ping_sent_at.get(link, suspect_before) >= suspect_before
        ]
        return max(usable, key=lambda link: link.received_at, default=None)

    def _check_links(self) -> None:
        """Ping silent connections, and close those that do not respond.

        A connection may stay open and deliver nothing more. Without this the calls that end there would stay
        standing for ever, and the state of the trunk group would never change again.
        """
        now = self.loop.time()
        any_link_lost = any(leg.setup_link_lost for leg in self.legs.values())
        # The release of a call whose connection is lost may arrive on any connection, so all of them are in use.
        idle_s = STANDING_SILENCE_S if any_link_lost else IDLE_SILENCE_S
        silence_limits_s: dict[Link | None, float] = {}
        for leg in self.legs.values():
            silence_limits_s[leg.link] = min(
                STANDING_SILENCE_S if leg.standing else SETUP_SILENCE_S,
                silence_limits_s.get(leg.link, idle_s),
            )
        standing_links = (
            set(self.links) if any_link_lost else {leg.link for leg in self.legs.values() if leg.standing}
        )
        for link in [link for link in self.links if not link.closed]:
            if self.ping_sent_at.get(link, now) < link.received_at:
                del self.ping_sent_at[link]
                self.handled_suspects.discard(link)
            if link in self.ping_sent_at:
                is_suspect = now - self.ping_sent_at[link] > self.limits.suspect_after_s
                if is_suspect and link not in self.handled_suspects and link in standing_links:
                    # The switch may have sent a release into this connection already, and a release must be
                    # delivered within a second: open a new connection now, without waiting for the close.
                    self.handled_suspects.add(link)
                    self.releases_uncertain_since = now
                # Received bytes that are not read yet show a pause of this process, not a silent switch.
                if now - self.ping_sent_at[link] > self.limits.ping_timeout_s and not link.unread:
                    self.log(
                        "warning", "sip", "no response to a ping; closing the connection", switch=self.name,
                        link=link.number, silent_ms=int((now - link.received_at) * 1000),
                    )  # fmt: skip
                    self.closed_as_silent.add(link)
                    link.abort()
            elif now - link.received_at > silence_limits_s.get(link, idle_s):
                self._ping(link)

    def _ping(self, link: Link) -> None:
        call_id = f"ping-{next(self.probe_ids)}"
        self.ping_sent_at[link] = self.ping_times[call_id] = self.loop.time()
        if len(self.ping_times) > MAX_TIMED_PINGS:
            del self.ping_times[next(iter(self.ping_times))]
        link.write(format_request("OPTIONS", "ping", call_id, 1))

    # Leases of standing calls

    def _arm_lease_timer(self) -> None:
        """Set the timer to the time at which the first lease expires if nothing more is received."""
        if self.lease_timer is not None:
            return
        due = self.leases.next_expiry()
        if due is not None:
            self.lease_timer = self.loop.call_at(due, self._on_lease_timer, due)

    def _on_lease_timer(self, due: float) -> None:
        now = self.loop.time()
        if now - due > LATE_TIMER_S:
            # A late timer shows that this process was paused, not that the switch is silent: what arrived meanwhile
            # is read first. The delay is granted once only, as a process that is always late must still end calls.
            self.lease_timer = self.loop.call_later(LATE_TIMER_S, self._on_lease_timer, math.inf)
            return
        self.lease_timer = None
        self._cut_expired_calls()
        self._arm_lease_timer()

    def _cut_expired_calls(self) -> None:
        """End the calls whose lease has expired.

        Without this, calls on a switch that vanished while no discovery reported it would stay standing for ever.
        """
        expired_ids = self.leases.expired(self.loop.time(), self.discovery_steady_since())
        legs = [leg for call_id in expired_ids if (leg := self.legs.get(call_id))]
        if legs:
            self.log("warning", "sip", "leases expired; cutting the calls", switch=self.name, calls=len(legs))
        for leg in legs:
            self.forget(leg)
            # If the switch still runs, it must not keep the call.
            self.send_bye(leg.call_id, NORMAL_CLEARING, None)
            leg.notify(LegEnded(interface.Outcome.CUT, reason=EndReason.SWITCH_SILENT))

    def _needs_new_connection(self) -> bool:
        """Whether a release may have been lost, which the switch sends again only on a new connection."""
        if self.releases_uncertain_since is not None:
            return True
        is_due = self.loop.time() - self.last_connected_at > NEW_CONNECTION_INTERVAL_S
        return is_due and self.leases.needs_new_connection()

    def _max_reconnect_s(self) -> float:
        """The longest delay between connection attempts.

        It is shorter while calls are standing: a switch that is back must confirm them before their leases expire.
        """
        standing = any(leg.standing for leg in self.legs.values())
        return MAX_RECONNECT_STANDING_S if standing else MAX_RECONNECT_S

    @property
    def reachable(self) -> bool:
        return any(not link.closed for link in self.links)

    def _report_reachability(self) -> None:
        """Log and count each change between having a connection and having none."""
        reachable = self.reachable
        if reachable is self.was_reachable:
            return
        self.was_reachable = reachable
        standing = sum(leg.standing for leg in self.legs.values())
        if not reachable:
            self.metrics.switch_losses += 1
            self.lost_at = self.loop.time()
            return self.log(
                "warning",
                "sip",
                "no connection to the switch is left; reconnecting",
                switch=self.name,
                standing=standing,
            )
        away_ms = int((self.loop.time() - self.lost_at) * 1000) if self.lost_at else 0
        self.log(
            "notice", "sip", "the switch is reachable", switch=self.name, standing=standing, away_ms=away_ms
        )

    async def _maintain_connections(self) -> None:
        """Keep at least one usable connection: the switch reports the state of its trunk group over it."""
        while not self.retired:
            self.wake_event.clear()
            wait_s = CHECK_INTERVAL_S
            try:
                self._check_links()
                self._report_reachability()
                wait_s = await self._connect_if_needed()
            except Exception as error:  # noqa: BLE001 - without this, the switch would never be dialled again
                log_error(self.log, "sip", error, switch=self.name)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.wake_event.wait()

    async def _connect_if_needed(self) -> float:
        """Open a connection if none is usable, a release may have been lost, or a set-up waits for another connection.

        Returns the delay to the next check in seconds: that to the next connection attempt where none is usable.
        """
        urgent = self._usable_link() is None or bool(self.waiting_legs)
        wanted = self._needs_new_connection() or (
            bool(self.delayed_legs) and len(self.links) < MAX_CONNECTIONS_FOR_ATTEMPTS
        )
        if not urgent and not (wanted and self.loop.time() >= self.next_connection_at):
            return CHECK_INTERVAL_S
        connected = False
        try:
            connected = await self._dial()
        finally:
            longer_s = min(self._max_reconnect_s(), self.reconnect_s * 2)
            self.reconnect_s = FIRST_RECONNECT_S if connected else longer_s
            self.first_dial_done.set()
            self.next_connection_at = self.loop.time() + self.reconnect_s
        # The connections in use must be checked at the usual interval in the meantime.
        return self.reconnect_s if urgent else CHECK_INTERVAL_S

    async def _dial(self) -> bool:
        """Open one more connection, and send the waiting set-ups on it.

        Returns whether it was opened. If the dial fails with an error, the waiting attempts end with NO_ROUTE at once;
        on a timeout each of them ends by its own timer. If the switch refuses it while no other connection is open, all
        attempts and calls end. At MAX_CONNECTIONS the least useful connection is closed first.
        """
        if len(self.links) >= MAX_CONNECTIONS:
            used_links = {leg.link for leg in self.legs.values()}
            min(self.links, key=lambda link: (link in used_links, link.received_at)).abort()
            # The transport is closed only in the loop's next turn; dialling at once would open a fifth connection.
            await asyncio.sleep(ABORT_WAIT_S)
        dial_started = self.loop.time()
        try:
            async with asyncio.timeout(self.dial_timeout_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except TimeoutError:
            return False  # no response: the waiting attempts have timers of their own
        except OSError as error:
            if isinstance(error, ConnectionRefusedError) and not any(not link.closed for link in self.links):
                self._end_all_legs(EndReason.CONNECTION_REFUSED)
            for leg in self.waiting_legs[:]:
                leg.fail_no_route()
            return False
        link = Link(reader, writer)
        self.links.append(link)
        task = self.loop.create_task(self._read_link(link), name=f"link to {self.name}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.leases.connected(link, self.loop.time())
        self.last_connected_at = self.loop.time()
        if self.releases_uncertain_since is not None and self.releases_uncertain_since <= dial_started:
            self.releases_uncertain_since = None
        standing = sum(leg.standing for leg in self.legs.values())
        self.log("info", "sip", "connection opened", switch=self.name, link=link.number, standing=standing)
        self._send_pending_releases()
        waiting_legs, self.waiting_legs = self.waiting_legs, []
        for leg in waiting_legs:
            leg.send(link)
        for leg in self.delayed_legs[:]:
            if leg.wait_timer:
                leg.wait_timer.cancel()
            self._send_or_wait(leg)
        return True

    async def _read_link(self, link: Link) -> None:
        """Read one connection until it ends, then end its open set-ups and deliver pending releases elsewhere."""
        error_text = ""
        any_message = incomplete = False
        partial_message_timeout_s = self.limits.partial_message_timeout_s

        def on_received() -> None:
            self.leases.received(link, link.received_at)
            self.pending_releases.confirm(link)

        def take_message(chunks: Chunks) -> bool:
            nonlocal any_message
            message = parse_message(chunks)
            if message is None:
                return False
            any_message = True
            self._on_message_contained(link, message)
            return True

        def on_incomplete() -> None:
            nonlocal error_text, incomplete
            error_text = f"message not complete within {partial_message_timeout_s:g} s"
            incomplete = True
            link.abort()

        try:
            how_ended = await link.read_all(
                take_message, on_received, partial_message_timeout_s, on_incomplete
            )
            if not self.retired and not error_text:
                self.log(
                    "notice", "sip", f"connection ended: {how_ended}", switch=self.name, link=link.number
                )
        except FramingError as error:
            error_text = str(error)
        except Exception as error:  # noqa: BLE001 - an error in one message must cost no more than its connection
            error_text = "internal error"
            log_error(self.log, "sip", error, switch=self.name)
        finally:
            self._forget_link(link, silent_from_start=incomplete and not any_message)
            self._end_legs_of(link, error_text)
            self._send_pending_releases()
            self.wake_event.set()

    def _forget_link(self, link: Link, silent_from_start: bool) -> None:
        """Remove a connection that has ended from all state that is kept for connections."""
        link.abort()
        self.links.remove(link)
        self.ping_sent_at.pop(link, None)
        silent = link in self.closed_as_silent and link not in self.responsive_links
        if silent or silent_from_start:
            self.limits.back_off(link.opened_at, self.loop.time())
        self.responsive_links.discard(link)
        self.leases.disconnected(link, silent=link in self.closed_as_silent)
        self.closed_as_silent.discard(link)
        self.handled_suspects.discard(link)
        self.pending_releases.requeue(link)
        if any(leg.standing and (leg.link is link or leg.setup_link_lost) for leg in self.legs.values()):
            self.releases_uncertain_since = self.loop.time()

    def _end_legs_of(self, link: Link, error_text: str) -> None:
        """End the set-ups without a response of a connection that has ended. error_text says why, if not by its end."""
        cut_legs = [leg for leg in self.legs.values() if leg.link is link and not leg.standing]
        for leg in cut_legs:
            self.forget(leg)
        for leg in cut_legs:
            # The answer may be among the lost bytes. Without the BYE the call would stay standing without a caller.
            if not self.retired:
                run_contained(self.log, "sip", self.send_bye, leg.call_id, NORMAL_CLEARING, None)
            leg.notify(LegEnded(interface.Outcome.CUT, reason=EndReason.CONNECTION_LOST))
        if error_text:
            self.log(
                "warning", "sip", f"connection dropped: {error_text}", switch=self.name, link=link.number,
                cut=len(cut_legs),
            )  # fmt: skip

    def _end_all_legs(self, reason: EndReason) -> None:
        for leg in list(self.legs.values()):
            self.forget(leg)
            leg.notify(
                LegEnded(interface.Outcome.CUT if leg.link else interface.Outcome.NO_ROUTE, reason=reason)
            )

    def remember_cancelled(self, call_id: str) -> None:
        """Remember that the attempt was cancelled, so that a late answer to it is released."""
        self.cancelled_ids[call_id] = None
        if len(self.cancelled_ids) > MAX_CANCELLED_IDS:
            del self.cancelled_ids[next(iter(self.cancelled_ids))]

    def forget(self, leg: SipLeg) -> None:
        if self.legs.get(leg.call_id) is leg:
            del self.legs[leg.call_id]
            self.leases.call_ended(leg.call_id)
        for legs in (self.waiting_legs, self.delayed_legs):
            if leg in legs:
                legs.remove(leg)

    def send_bye(self, call_id: str, cause: int, link: Link | None) -> None:
        """Release a standing call on the connection of its set-up, or else on any other.

        The release is kept and sent again until a connection delivered it. cause is a Q.850 cause.
        """
        message = format_request("BYE", call_id, call_id, INVITE_CSEQ + 1, f"Reason: Q.850;cause={cause}")
        if link is None or link.closed or link.unsent:
            link = self._open_link()
        self.pending_releases.keep(call_id, message)
        if link:
            self._write_pending_releases(link)
        else:
            self.wake_event.set()

    def _send_pending_releases(self) -> None:
        if link := self._open_link():
            self._write_pending_releases(link)

    def _write_pending_releases(self, link: Link) -> None:
        messages = self.pending_releases.take_for(link)
        if not all([run_contained(self.log, "sip", link.write, message) for message in messages]):
            self.pending_releases.requeue(link)
            self.loop.call_later(RELEASE_RETRY_S, self._send_pending_releases)

    def _open_link(self) -> Link | None:
        return self._usable_link() or next((link for link in self.links if not link.closed), None)

    # Messages of the switch

    def _on_message_contained(self, link: Link, message: Message) -> None:
        """Handle one message. An internal error ends the call that it belongs to, and not the connection.

        Raises FramingError if the connection is unusable.
        """
        try:
            self._on_message(link, message)
        except FramingError:
            raise
        except Exception as error:  # noqa: BLE001 - any of them must end as one failed call
            log_error(self.log, "sip", error, switch=self.name, call=message.call_id)
            leg = self.legs.get(message.call_id)
            if leg and leg.link:
                leg.fail_internal()

    def _on_message(self, link: Link, message: Message) -> None:
        if message.start_line.startswith("SIP/2.0 "):
            self._on_response(link, message)
            return
        method = message.start_line.partition(" ")[0]
        if method == "NOTIFY":
            report = parse_group_header(message.headers.get("x-group", ""))
            if report:
                self.on_report(report)
        elif method == "BYE":
            self._on_bye(link, message)
        elif method == "OPTIONS":
            self._confirm(link, message)
        else:
            self.log(
                "warning",
                "sip",
                "request with an unexpected method ignored",
                switch=self.name,
                method=method[:32],
            )

    def _on_response(self, link: Link, message: Message) -> None:
        status, method = int(message.start_line[8:11]), message.headers.get("cseq", "").rpartition(" ")[2]
        if not message.call_id or not method:
            raise FramingError("response without Call-ID or CSeq method")
        if status < 200:
            return
        if method == "OPTIONS":
            if sent_at := self.ping_times.pop(message.call_id, None):
                self.responsive_links.add(link)
                self.limits.ping_answered(self.loop.time() - sent_at)
            outcome = interface.Outcome.ENDED if status < 300 else interface.Outcome.NO_ROOM
            return self._finish_probe(
                message.call_id, outcome, parse_group_header(message.headers.get("x-group", ""))
            )
        if method != "INVITE":
            return
        leg = self.legs.get(message.call_id)
        was_cancelled = message.call_id in self.cancelled_ids
        self.cancelled_ids.pop(message.call_id, None)
        if leg is None and not was_cancelled:
            # Either the call was never set up here or this is a repeated answer; a BYE would be wrong for both.
            return self.log("notice", "sip", "response to an unknown set-up ignored", switch=self.name)
        media_description = (
            answer_description(message.body) if status < 300 and leg and not leg.standing else ""
        )
        ack = format_request("ACK", message.call_id, message.call_id, INVITE_CSEQ)
        run_contained(self.log, "sip", link.write, ack, switch=self.name, call=message.call_id)
        # An answer counts only on the connection of its set-up: switches match by Call-ID and method and answer every
        # set-up with CSeq 1, so the number does not distinguish a late answer from one to a second attempt.
        if leg is None or leg.link is not link:
            # No BYE while a newer attempt is open here: the switch knows both by the same Call-ID and would end it.
            if status < 300 and leg is None:
                # The answer crossed the CANCEL. Without a BYE the call would stay standing without a caller.
                self.send_bye(message.call_id, NORMAL_CLEARING, link)
            return
        if leg.standing:
            return
        if status < 300:
            leg.standing = True
            leg.drop_description()
            self.leases.call_answered(leg.call_id, link, link.received_at)
            self._arm_lease_timer()
            return leg.notify(Answered(media_description))
        self.forget(leg)
        self.recent_responses.add(leg.call_id, link, self.loop.time())
        outcome = OUTCOME_BY_STATUS.get(status, interface.Outcome.FAULT)
        cause = CAUSE_BY_NAME.get(message.headers.get("x-cause", ""))
        report = parse_group_header(message.headers.get("x-group", ""))
        leg.notify(LegEnded(outcome, cause, report, EndReason.SWITCH_REFUSED))

    def _on_bye(self, link: Link, message: Message) -> None:
        """The switch released a call. The same release may arrive twice."""
        run_contained(self.log, "sip", self._confirm, link, message, switch=self.name, call=message.call_id)
        cause_match = re.search(r"cause\s*=\s*([0-9]{1,3})", message.headers.get("reason", ""))
        cut = cause_match is not None and int(cause_match.group(1)) != NORMAL_CLEARING
        release = SwitchRelease(message.call_id, self.name, cut, message.headers.get("x-group", ""))
        if message.call_id in self.legs:
            self._on_release(release, link)
        elif self.on_unknown_release and CALL_ID.fullmatch(message.call_id):
            self.on_unknown_release(release)

    def release_from_other_process(self, release: SwitchRelease) -> None:
        """The switch released a call of this process on a connection of another process at the same address."""
        self._on_release(release, None)

    def _on_release(self, release: SwitchRelease, link: Link | None) -> None:
        leg = self.legs.get(release.call_id)
        if leg is None or not leg.standing:
            return  # a repeated release, or it crossed our own
        if link:
            self.leases.call_released(leg.call_id, link)
        self.forget(leg)
        outcome = interface.Outcome.CUT if release.cut else interface.Outcome.ENDED
        reason = EndReason.SWITCH_CUT if release.cut else EndReason.SWITCH_RELEASED
        leg.notify(LegEnded(outcome, None, parse_group_header(release.report), reason))

    def _confirm(self, link: Link, message: Message) -> None:
        link.write(self._ok_response(message))

    def _ok_response(self, message: Message) -> bytes:
        copied_headers = [
            f"{name}: {message.headers[name.lower()]}"
            for name in ("Via", "Call-ID", "CSeq")
            if name.lower() in message.headers
        ]
        return (
            "\r\n".join(["SIP/2.0 200 OK", *copied_headers, "Content-Length: 0"]).encode("utf-8", "replace")
            + b"\r\n\r\n"
        )
