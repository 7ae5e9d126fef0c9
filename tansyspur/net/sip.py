"""Carrier switches over SIP (the part of RFC 3261 that PROTOCOL names), at most four connections to each."""

import asyncio
import itertools
import math
import re
import time
from collections.abc import Callable

from tansyspur import interface
from tansyspur.core.lease import LATE_TIMER_S, StandingLeases
from tansyspur.core.metrics import Metrics
from tansyspur.core.ports import NORMAL_CLEARING, Answered, EndReason, LegEnded, SetUpRequest, SwitchSignal
from tansyspur.net.framing import Chunks, FramingError
from tansyspur.net.link import Link
from tansyspur.net.releases import OwedReleases
from tansyspur.net.sip_messages import Message, description, parse, parse_group, request

INVITE_CSEQ = 1
ABORT_S = 0.02
REST_S = 0.2  # a message that has begun is whole by then
MOST_GIVEN_UP = 1000
MOST_CONNECTIONS = 4
# A link that is silent for so long is asked for a sign of life: soon under a set-up, as its caller waits, and
# under a call that stands, as its end must be known within a second.
UNANSWERED_S, QUIET_S, IDLE_S = 0.15, 0.3, 2.0
# Without one it takes no new set-up after the first of these, and is closed after the other.
DOUBT_S, PONG_S = 0.1, 0.25
WATCH_S = 0.05
FIRST_REDIAL_S, STANDING_REDIAL_S, LONGEST_REDIAL_S = 0.1, 0.4, 2.0
REFRESH_S = 4.0  # between connections that are opened for releases which may have been lost
CAUSES = {
    "all_trunks_busy": interface.Cause.NO_CIRCUIT,
    "via_said_no": interface.Cause.TURNED_BACK,
    "far_cpu_full": interface.Cause.FAR_PROCESSOR_FULL,
    "cpu_full": interface.Cause.PROCESSOR_FULL,
    "number_busy": interface.Cause.NUMBER_BUSY,
}
REFUSALS = {
    503: interface.Outcome.NO_ROOM,
    486: interface.Outcome.FAULT,
    500: interface.Outcome.FAULT,
    480: interface.Outcome.NOT_SENT,
    504: interface.Outcome.CUT,
}

Log = Callable[..., None]


class SipLeg:
    """One attempt, and the call that stands from it."""

    def __init__(
        self,
        switch: "SipSwitch",
        order: SetUpRequest,
        may_send: Callable[[], bool],
        written: Callable[[], None],
        tell: Callable[[SwitchSignal], None],
    ) -> None:
        self.switch, self.order, self.may_send, self._tell = switch, order, may_send, tell
        self.written = written
        self.call_id = order.offer.wire_id
        self.link: Link | None = None  # that of its set-up
        self.sent_at, self.sent_ns = 0.0, 0
        self.stands = self.over = False
        self.dial_timer: asyncio.TimerHandle | None = None
        self.expires_at = switch.loop.time() + order.timeout_ms / 1000

    @property
    def adrift(self) -> bool:
        """Whether it stands and the connection of its set-up has gone."""
        return self.stands and self.link is not None and self.link.closed

    def tell(self, signal: SwitchSignal) -> None:
        if not self.over:
            self.over = isinstance(signal, LegEnded)
            self._tell(signal)

    def send(self, link: Link) -> None:
        """Write the set-up, unless it may not leave any more."""
        if self.dial_timer:
            self.dial_timer.cancel()
        if self.over:
            return
        if not self.may_send():
            self.switch.forget(self)
            return self.tell(LegEnded(interface.Outcome.NOT_SENT, reason=EndReason.HELD_BACK))
        offer = self.order.offer
        wait_ms = max(1, int((self.expires_at - self.switch.loop.time()) * 1000))
        self.link, self.sent_at, self.sent_ns = link, self.switch.loop.time(), time.time_ns()
        body = offer.description.encode("utf-8", "surrogateescape")
        headers = (f"X-Service: {offer.class_name}", f"X-Setup-Ms: {wait_ms}")
        invite = request("INVITE", offer.called_number, self.call_id, INVITE_CSEQ, *headers, body=body)
        link.write(invite, self.written)

    def no_route(self) -> None:
        self.switch.forget(self)
        self.tell(LegEnded(interface.Outcome.NO_ROUTE, reason=EndReason.NO_CONNECTION))

    def cancel(self) -> None:
        if self.over:
            return
        self.over = True
        self.switch.forget(self)
        if self.dial_timer:
            self.dial_timer.cancel()
        if self.link and self.link.unsent:
            # Guards against a set-up that leaves a stalled buffer after its attempt has ended.
            self.switch.log("warning", "sip", "set-up given up in a stalled buffer", switch=self.switch.name)
            self.link.abort()
        elif self.link:
            self.link.write(request("CANCEL", self.order.offer.called_number, self.call_id, INVITE_CSEQ))
            self.switch.gave_up(self.call_id)

    def release(self, cause: int) -> None:
        if not self.over:
            self.over = True
            self.switch.forget(self)
            self.switch.bye(self.call_id, cause, self.link)


class SipSwitch:
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
    ) -> None:
        self.discovery_steady_since = discovery_steady_since
        self.name, self.on_report, self.log, self.metrics = name, on_report, log, metrics
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.dial_timeout_s = dial_timeout_s
        self.loop = asyncio.get_running_loop()
        self.links: list[Link] = []
        self.legs: dict[str, SipLeg] = {}  # waiting, out or standing, by Call-ID
        self.waiting: list[SipLeg] = []
        self.releases = OwedReleases()
        self.silent_links: set[Link] = set()  # given up for their silence, and not ended yet
        self.doubted: set[Link] = set()  # for whose calls a new connection was opened since they were asked
        self.asked: dict[Link, float] = {}  # links that owe a sign of life, and since when
        self.given_up: dict[str, None] = {}  # Call-IDs of attempts given up of late: an answer may still come
        self.probes: dict[str, Callable[[interface.Outcome, interface.LoadReport | None], None]] = {}
        self.probe_ids = itertools.count(1)
        self.retired = False
        self.was_reached = False  # when that was last looked at
        self.lost_at: float | None = None  # since when, after there was one
        self.wanted = asyncio.Event()
        self.keeper = self.loop.create_task(self._keep(), name=f"switch {name}")
        self.keeper.add_done_callback(self._keeper_done)
        self.tasks: set[asyncio.Task[None]] = set()
        self.leases = StandingLeases()
        self.lease_timer: asyncio.TimerHandle | None = None
        # A release may be lost with its connection: the switch sends it again on the next one that opens.
        self.unheard_since: float | None = None  # a connection under standing calls ended then
        self.dialled_at = -math.inf
        self.first_dial_done = asyncio.Event()

    # What the core asks

    def start_attempt(
        self,
        order: SetUpRequest,
        may_send: Callable[[], bool],
        on_written: Callable[[], None],
        notify: Callable[[SwitchSignal], None],
    ) -> SipLeg:
        leg = SipLeg(self, order, may_send, on_written, notify)
        self.legs[leg.call_id] = leg
        self.releases.forget(leg.call_id)  # it would release this attempt in place of the one before
        self.given_up.pop(leg.call_id, None)
        link = self._usable()
        if link:
            leg.send(link)
        else:
            self.waiting.append(leg)
            leg.dial_timer = self.loop.call_later(self.dial_timeout_s, leg.no_route)
            self.wanted.set()
        return leg

    def probe(self, notify: Callable[[interface.Outcome, interface.LoadReport | None], None]) -> None:
        link = self._usable()
        if link is None:
            return notify(interface.Outcome.NO_ROUTE, None)
        call_id = f"probe-{next(self.probe_ids)}"
        self.probes[call_id] = notify
        self.loop.call_later(self.dial_timeout_s, self._probed, call_id, interface.Outcome.TIMED_OUT, None)
        link.write(request("OPTIONS", "load", call_id, 1))

    def _probed(self, call_id: str, outcome: interface.Outcome, report: interface.LoadReport | None) -> None:
        tell = self.probes.pop(call_id, None)
        if tell:
            tell(outcome, report)

    def stop_new_attempts(self) -> None:
        for link in list(self.links):
            if link.unsent:
                link.abort()
        for leg in self.waiting[:]:
            self.forget(leg)
            leg.tell(LegEnded(interface.Outcome.NOT_SENT, reason=EndReason.HELD_BACK))

    def process_restarted(self, at_ns: int) -> None:
        # Guards against calls that stand for ever: the process that held them can send no release.
        for leg in [leg for leg in self.legs.values() if leg.link and leg.sent_ns < at_ns]:
            self.forget(leg)
            leg.tell(LegEnded(interface.Outcome.CUT, reason=EndReason.SWITCH_RESTARTED))

    def retire(self, reason: EndReason = EndReason.SWITCH_REMOVED) -> None:
        """The switch is gone: the calls that stand there are cut, and whatever is out is given up."""
        self.retired = True
        if reason is not EndReason.ADDRESS_TAKEN:
            for leg in [leg for leg in self.legs.values() if leg.stands]:
                self.bye(leg.call_id, NORMAL_CLEARING, leg.link)  # should it live on, it must not keep them
        self._cut_all(reason)
        self.close()

    def close(self) -> None:
        self.retired = True
        self.first_dial_done.set()  # nobody need wait for it
        self.keeper.cancel()
        if self.lease_timer:
            self.lease_timer.cancel()
        for link in list(self.links):
            link.writer.close() if not link.unsent else link.abort()

    # Connections

    def _usable(self) -> Link | None:
        """A connection that takes bytes and is not in doubt."""
        sure_at = self.loop.time() - DOUBT_S
        fresh = [
            link
            for link in self.links
            if not link.closed and not link.unsent and self.asked.get(link, sure_at) >= sure_at
        ]
        return max(fresh, key=lambda link: link.heard_at, default=None)

    def _watch(self) -> None:
        """Guards against a link that stays open and brings nothing more: calls that end there would stand for
        ever, and the group's state would never change again."""
        now = self.loop.time()
        adrift = any(leg.adrift for leg in self.legs.values())
        # The release of a call whose connection has gone may come on any: each is in use then.
        idle_s = QUIET_S if adrift else IDLE_S
        used: dict[Link | None, float] = {}
        for leg in self.legs.values():
            used[leg.link] = min(QUIET_S if leg.stands else UNANSWERED_S, used.get(leg.link, idle_s))
        carrying = set(self.links) if adrift else {leg.link for leg in self.legs.values() if leg.stands}
        for link in [link for link in self.links if not link.closed]:
            if self.asked.get(link, now) < link.heard_at:
                del self.asked[link]
                self.doubted.discard(link)
            if link in self.asked:
                doubtful = now - self.asked[link] > DOUBT_S
                if doubtful and link not in self.doubted and link in carrying:
                    # Guards against waiting for the close: a release may be lost already, and is owed in a second.
                    self.doubted.add(link)
                    self.unheard_since = now
                # Guards against taking a pause of our own for silence: what has come is not read yet.
                if now - self.asked[link] > PONG_S and not link.unread:
                    self.log(
                        "warning", "sip", "a silent connection was closed", switch=self.name,
                        link=link.number, silent_ms=int((now - link.heard_at) * 1000),
                    )  # fmt: skip
                    self.silent_links.add(link)
                    link.abort()
            elif now - link.heard_at > used.get(link, idle_s):
                self.asked[link] = now
                link.write(request("OPTIONS", "ping", f"ping-{next(self.probe_ids)}", 1))

    # Leases of the calls that stand

    def _arm_lease_timer(self) -> None:
        """At the time at which the first lease runs out if nothing more is heard."""
        if self.lease_timer is not None:
            return
        due = self.leases.next_expiry()
        if due is not None:
            self.lease_timer = self.loop.call_at(due, self._lease_due, due)

    def _lease_due(self, due: float) -> None:
        now = self.loop.time()
        if now - due > LATE_TIMER_S:
            # Guards against taking a pause of our own for silence: what came meanwhile is read first. Once
            # only, as a process that is always late still owes the ends of calls.
            self.lease_timer = self.loop.call_later(LATE_TIMER_S, self._lease_due, math.inf)
            return
        self.lease_timer = None
        self._cut_expired()
        self._arm_lease_timer()

    def _cut_expired(self) -> None:
        """Guards against calls that stand for ever on a switch which vanished while nobody could tell."""
        expired = self.leases.expired(self.loop.time(), self.discovery_steady_since())
        legs = [leg for call_id in expired if (leg := self.legs.get(call_id))]
        if legs:
            self.log(
                "warning", "sip", "calls without a sign of life are over", switch=self.name, calls=len(legs)
            )
        for leg in legs:
            self.forget(leg)
            self.bye(leg.call_id, NORMAL_CLEARING, None)  # should it live on, it must not keep the call
            leg.tell(LegEnded(interface.Outcome.CUT, reason=EndReason.SWITCH_SILENT))

    def _wants_fresh_connection(self) -> bool:
        """Whether a release may have been lost that the switch sends again on a new connection only."""
        if self.unheard_since is not None:
            return True
        due = self.loop.time() - self.dialled_at > REFRESH_S
        return due and self.leases.needs_new_connection()

    def _longest_redial_s(self) -> float:
        """Sooner while calls stand: a switch that is back must show it before their leases run out."""
        standing = any(leg.stands for leg in self.legs.values())
        return STANDING_REDIAL_S if standing else LONGEST_REDIAL_S

    @property
    def reachable(self) -> bool:
        return any(not link.closed for link in self.links)

    def _note_reach(self) -> None:
        """Log and count each change between having a connection and having none."""
        reached = self.reachable
        if reached is self.was_reached:
            return
        self.was_reached = reached
        standing = sum(leg.stands for leg in self.legs.values())
        if not reached:
            self.metrics.switch_losses += 1
            self.lost_at = self.loop.time()
            return self.log(
                "warning", "sip", "the switch is out of reach", switch=self.name, standing=standing
            )
        away_ms = int((self.loop.time() - self.lost_at) * 1000) if self.lost_at else 0
        self.log(
            "notice", "sip", "the switch is reached", switch=self.name, standing=standing, away_ms=away_ms
        )

    async def _keep(self) -> None:
        """Keeps one usable connection, as the state of the group comes over it."""
        redial_s, refresh_at = FIRST_REDIAL_S, -math.inf
        while not self.retired:
            self.wanted.clear()
            self._watch()
            self._note_reach()
            wait_s = WATCH_S
            urgent = self._usable() is None or bool(self.waiting)
            if urgent or (self._wants_fresh_connection() and self.loop.time() >= refresh_at):
                came_up = await self._dial()
                redial_s = FIRST_REDIAL_S if came_up else min(self._longest_redial_s(), redial_s * 2)
                self.first_dial_done.set()
                refresh_at = self.loop.time() + redial_s
                # Guards against not watching the connections that are in use.
                wait_s = redial_s if urgent else WATCH_S
            try:
                async with asyncio.timeout(wait_s):
                    await self.wanted.wait()
            except TimeoutError:
                pass

    def _keeper_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self.log("error", "sip", f"the switch's task failed: {error!r}", switch=self.name)

    async def _dial(self) -> bool:
        """One more connection; whether it came up. Those waiting are served, or refused with the dial."""
        if len(self.links) >= MOST_CONNECTIONS:
            carrying = {leg.link for leg in self.legs.values()}
            min(self.links, key=lambda link: (link in carrying, link.heard_at)).abort()
            # Guards against a fifth connection: the old one is closed in the loop's next turn only.
            await asyncio.sleep(ABORT_S)
        started = self.loop.time()
        try:
            async with asyncio.timeout(self.dial_timeout_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except TimeoutError:
            return False  # silent: those waiting have timers of their own
        except OSError as error:
            if isinstance(error, ConnectionRefusedError) and not any(not link.closed for link in self.links):
                self._cut_all(EndReason.CONNECTION_REFUSED)
            for leg in self.waiting[:]:
                leg.no_route()
            return False
        link = Link(reader, writer)
        self.links.append(link)
        standing = sum(leg.stands for leg in self.legs.values())
        self.log("info", "sip", "connection opened", switch=self.name, link=link.number, standing=standing)
        self.leases.connected(link, self.loop.time())
        self.dialled_at = self.loop.time()
        if self.unheard_since is not None and self.unheard_since <= started:
            self.unheard_since = None
        task = self.loop.create_task(self._read(link), name=f"link to {self.name}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self._send_kept_byes()
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            leg.send(link)
        return True

    async def _read(self, link: Link) -> None:
        spoilt = ""

        def take(chunks: Chunks) -> bool:
            self.leases.received(link, link.heard_at)
            self.releases.heard(link)
            taken = False
            while not link.closed and (message := parse(chunks)):
                self._heard(link, message)
                taken = True
            return taken

        def unfinished() -> None:
            nonlocal spoilt
            spoilt = "a message without end"
            link.abort()

        try:
            ended = await link.read_all(take, REST_S, unfinished)
            if not self.retired and not spoilt:
                self.log("notice", "sip", f"connection ended: {ended}", switch=self.name, link=link.number)
        except FramingError as error:
            spoilt = str(error)
        except Exception as error:  # noqa: BLE001 - one bad message must cost one connection, no more
            self.log("error", "sip", f"connection dropped: {error!r}", switch=self.name)
        finally:
            link.abort()
            self.links.remove(link)
            self.asked.pop(link, None)
            self.leases.disconnected(link, silent=link in self.silent_links)
            self.silent_links.discard(link)
            self.doubted.discard(link)
            self.releases.lost(link)
            if any(leg.stands and (leg.link is link or leg.adrift) for leg in self.legs.values()):
                self.unheard_since = self.loop.time()
            # The set-ups open on a connection are given up when it closes.
            cut = [leg for leg in self.legs.values() if leg.link is link and not leg.stands]
            for leg in cut:
                self.forget(leg)
            if spoilt:
                self.log(
                    "warning", "sip", f"connection dropped: {spoilt}", switch=self.name, link=link.number,
                    cut=len(cut),
                )  # fmt: skip
            for leg in cut:
                # Guards against a call that stands at the switch for nobody: its answer may be what was lost.
                if not self.retired:
                    self.bye(leg.call_id, NORMAL_CLEARING, None)
                leg.tell(LegEnded(interface.Outcome.CUT, reason=EndReason.CONNECTION_LOST))
            self._send_kept_byes()
            self.wanted.set()

    def _cut_all(self, reason: EndReason) -> None:
        for leg in list(self.legs.values()):
            self.forget(leg)
            leg.tell(
                LegEnded(interface.Outcome.CUT if leg.link else interface.Outcome.NO_ROUTE, reason=reason)
            )

    def gave_up(self, call_id: str) -> None:
        self.given_up[call_id] = None
        if len(self.given_up) > MOST_GIVEN_UP:
            del self.given_up[next(iter(self.given_up))]

    def forget(self, leg: SipLeg) -> None:
        if self.legs.get(leg.call_id) is leg:
            del self.legs[leg.call_id]
            self.leases.call_ended(leg.call_id)
        if leg in self.waiting:
            self.waiting.remove(leg)

    def bye(self, call_id: str, cause: int, link: Link | None) -> None:
        """Release a call that stands, on the connection of its set-up or else on any."""
        message = request("BYE", call_id, call_id, INVITE_CSEQ + 1, f"Reason: Q.850;cause={cause}")
        if link is None or link.closed or link.unsent:
            link = self._open_link()
        self.releases.keep(call_id, message)
        if link:
            self._write_kept(link)
        else:
            self.wanted.set()

    def _send_kept_byes(self) -> None:
        if link := self._open_link():
            self._write_kept(link)

    def _write_kept(self, link: Link) -> None:
        for message in self.releases.sent_on(link):
            link.write(message)

    def _open_link(self) -> Link | None:
        return self._usable() or next((one for one in self.links if not one.closed), None)

    # What the switch says

    def _heard(self, link: Link, message: Message) -> None:
        if message.start.startswith("SIP/2.0 "):
            self._response(link, message)
            return
        method = message.start.partition(" ")[0]
        if method == "NOTIFY":
            report = parse_group(message.headers.get("x-group", ""))
            if report:
                self.on_report(report)
        elif method == "BYE":
            self._released(link, message)
        elif method == "OPTIONS":
            link.write(self._reply(message))
        else:
            self.log("warning", "sip", "unexpected request", switch=self.name, method=method[:32])

    def _response(self, link: Link, message: Message) -> None:
        status, method = int(message.start[8:11]), message.headers.get("cseq", "").rpartition(" ")[2]
        if not message.call_id or not method:
            raise FramingError("an answer to nothing that can be told")
        if status < 200:
            return
        if method == "OPTIONS":
            outcome = interface.Outcome.ENDED if status < 300 else interface.Outcome.NO_ROOM
            return self._probed(message.call_id, outcome, parse_group(message.headers.get("x-group", "")))
        if method != "INVITE":
            return
        leg = self.legs.get(message.call_id)
        given_up = message.call_id in self.given_up
        self.given_up.pop(message.call_id, None)
        if leg is None and not given_up:
            # Guards against releasing a call that was never ours, and against a repeated answer.
            return self.log("notice", "sip", "an answer to no set-up", switch=self.name)
        stands = description(message.body) if status < 300 and leg and not leg.stands else ""
        link.write(request("ACK", message.call_id, message.call_id, INVITE_CSEQ))
        # Guards against taking the answer to a second attempt for a late one: the switches match by Call-ID
        # and method, and answer every set-up with the number 1, so the number tells nothing.
        if leg is None or leg.link is not link:
            # Guards against a release that ends a newer attempt here: the switch knows both by one Call-ID.
            if status < 300 and leg is None:
                # Guards against an answer that lost the race with its CANCEL: it would stand for nobody.
                self.bye(message.call_id, NORMAL_CLEARING, link)
            return
        if leg.stands:
            return
        if status < 300:
            leg.stands = True
            self.leases.call_answered(leg.call_id, link, link.heard_at)
            self._arm_lease_timer()
            return leg.tell(Answered(stands))
        self.forget(leg)
        outcome = REFUSALS.get(status, interface.Outcome.FAULT)
        cause = CAUSES.get(message.headers.get("x-cause", ""))
        report = parse_group(message.headers.get("x-group", ""))
        leg.tell(LegEnded(outcome, cause, report, EndReason.SWITCH_REFUSED))

    def _released(self, link: Link, message: Message) -> None:
        """The end of a call that stood; it may be told twice."""
        link.write(self._reply(message))
        leg = self.legs.get(message.call_id)
        if leg is None or not leg.stands:
            return  # told again, or it crossed our own release
        self.leases.call_released(leg.call_id, link)
        self.forget(leg)
        found = re.search(r"cause\s*=\s*([0-9]{1,3})", message.headers.get("reason", ""))
        cut = found is not None and int(found.group(1)) != 16
        report = parse_group(message.headers.get("x-group", ""))
        outcome = interface.Outcome.CUT if cut else interface.Outcome.ENDED
        reason = EndReason.SWITCH_CUT if cut else EndReason.SWITCH_RELEASED
        leg.tell(LegEnded(outcome, None, report, reason))

    def _reply(self, message: Message) -> bytes:
        kept = [
            f"{name}: {message.headers[name.lower()]}"
            for name in ("Via", "Call-ID", "CSeq")
            if name.lower() in message.headers
        ]
        return (
            "\r\n".join(["SIP/2.0 200 OK", *kept, "Content-Length: 0"]).encode("utf-8", "replace")
            + b"\r\n\r\n"
        )
