"""Carrier switches over SIP (the part of RFC 3261 that PROTOCOL names), at most four connections to each."""

import asyncio
import itertools
import re
import time
from collections.abc import Callable
from dataclasses import dataclass

from tansyspur import interface as face
from tansyspur.core.ports import NORMAL_CLEARING, Ended, SetUpRequest, Stood, SwitchSignal
from tansyspur.net.framing import LONGEST, Chunks, FramingError
from tansyspur.net.link import Link
from tansyspur.translate import parse_report

INVITE_CSEQ = 1
ABORT_S = 0.02
MOST_CONNECTIONS = 4
SILENT_S = 1.0  # a set-up unanswered for so long, and nothing else heard: the link may be cut
FIRST_REDIAL_S, LONGEST_REDIAL_S = 0.1, 2.0
COMPACT = {"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to", "m": "contact"}
CAUSES = {
    "all_trunks_busy": face.Cause.NO_CIRCUIT,
    "via_said_no": face.Cause.TURNED_BACK,
    "far_cpu_full": face.Cause.FAR_PROCESSOR_FULL,
    "cpu_full": face.Cause.PROCESSOR_FULL,
    "number_busy": face.Cause.NUMBER_BUSY,
}
REFUSALS = {
    503: face.Outcome.NO_ROOM,
    486: face.Outcome.FAULT,
    500: face.Outcome.FAULT,
    480: face.Outcome.NOT_SENT,
    504: face.Outcome.CUT,
}

Log = Callable[..., None]


@dataclass(slots=True)
class Message:
    start: str
    headers: dict[str, str]
    body: memoryview

    @property
    def call_id(self) -> str:
        return self.headers.get("call-id", "")


def parse(chunks: Chunks) -> Message | None:
    """The next whole message; None if it has not come."""
    while chunks.view[:2] == b"\r\n":  # RFC 3261 section 7.5: empty lines before a message
        chunks.take(2)
    end = chunks.find(b"\r\n\r\n")
    if end < 0 or end > LONGEST:
        if end > LONGEST or len(chunks.view) > LONGEST:
            raise FramingError("a SIP head is too long")
        return None
    start, *lines = str(chunks.view[:end], "utf-8", "replace").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        name = name.strip().lower()
        headers[COMPACT.get(name, name)] = value.strip()
    length = headers.get("content-length", "")
    if not re.fullmatch(r"[0-9]{1,9}", length):
        raise FramingError("a SIP message without a usable Content-Length")
    whole = end + 4 + int(length)
    if whole > LONGEST:
        raise FramingError("a SIP message is too long")
    if len(chunks.view) < whole:
        return None
    return Message(start, headers, chunks.take(whole)[end + 4 :])


def parse_group(text: str) -> face.Report | None:
    """A report such as 'x0:12;x1:40;queue:3', in the fields the settings name."""
    figures: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, figure = pair.partition(":")
        if re.fullmatch(r"-?[0-9]{1,15}(\.[0-9]{1,15})?", figure.strip()):
            figures[name.strip()] = float(figure)
    return parse_report(figures) if figures else None


def description(body: memoryview) -> str:
    return str(body, "utf-8", "surrogateescape")


def request(method: str, target: str, call_id: str, cseq: int, *headers: str, body: bytes = b"") -> bytes:
    lines = [
        f"{method} sip:{target}@net SIP/2.0",
        "Via: SIP/2.0/TCP gatekeeper",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
        *headers,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + body


class SipLeg:
    """One attempt, and the call that stands from it."""

    def __init__(
        self,
        switch: "SipSwitch",
        order: SetUpRequest,
        may_send: Callable[[], bool],
        tell: Callable[[SwitchSignal], None],
    ) -> None:
        self.switch, self.order, self.may_send, self._tell = switch, order, may_send, tell
        self.call_id = order.offer.wire_id
        self.link: Link | None = None  # that of its set-up
        self.sent_at, self.sent_ns = 0.0, 0
        self.stands = self.over = False
        self.dial_timer: asyncio.TimerHandle | None = None
        self.expires_at = switch.loop.time() + order.wait_ms / 1000

    def tell(self, signal: SwitchSignal) -> None:
        if not self.over:
            self.over = isinstance(signal, Ended)
            self._tell(signal)

    def send(self, link: Link) -> None:
        """Write the set-up, unless it may not leave any more."""
        if self.dial_timer:
            self.dial_timer.cancel()
        if self.over:
            return
        if not self.may_send():
            self.switch.forget(self)
            return self.tell(Ended(face.Outcome.NOT_SENT))
        offer = self.order.offer
        wait_ms = max(1, int((self.expires_at - self.switch.loop.time()) * 1000))
        self.link, self.sent_at, self.sent_ns = link, self.switch.loop.time(), time.time_ns()
        body = offer.description.encode("utf-8", "surrogateescape")
        headers = (f"X-Service: {offer.class_name}", f"X-Setup-Ms: {wait_ms}")
        link.write(request("INVITE", offer.number, self.call_id, INVITE_CSEQ, *headers, body=body))

    def no_route(self) -> None:
        self.switch.forget(self)
        self.tell(Ended(face.Outcome.NO_ROUTE))

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
            self.link.write(request("CANCEL", self.order.offer.number, self.call_id, INVITE_CSEQ))

    def release(self, cause: int) -> None:
        if not self.over:
            self.over = True
            self.switch.forget(self)
            self.switch.bye(self.call_id, cause, self.link)


class SipSwitch:
    def __init__(
        self,
        name: str,
        address: str,
        on_report: Callable[[face.Report], None],
        log: Log,
        dial_timeout_s: float,
    ) -> None:
        self.name, self.on_report, self.log = name, on_report, log
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.dial_timeout_s = dial_timeout_s
        self.loop = asyncio.get_running_loop()
        self.links: list[Link] = []
        self.legs: dict[str, SipLeg] = {}  # waiting, out or standing, by Call-ID
        self.waiting: list[SipLeg] = []
        self.byes: dict[str, bytes] = {}  # releases that found no connection
        self.probes: dict[str, Callable[[face.Outcome, face.Report | None], None]] = {}
        self.probe_ids = itertools.count(1)
        self.retired = False
        self.wanted = asyncio.Event()
        self.keeper = self.loop.create_task(self._keep(), name=f"switch {name}")
        self.keeper.add_done_callback(self._keeper_done)
        self.tasks: set[asyncio.Task[None]] = set()
        self.ever_dialled = asyncio.Event()

    # What the core asks

    def place(
        self, order: SetUpRequest, may_send: Callable[[], bool], tell: Callable[[SwitchSignal], None]
    ) -> SipLeg:
        leg = SipLeg(self, order, may_send, tell)
        self.legs[leg.call_id] = leg
        link = self._usable()
        if link:
            leg.send(link)
        else:
            self.waiting.append(leg)
            leg.dial_timer = self.loop.call_later(self.dial_timeout_s, leg.no_route)
            self.wanted.set()
        return leg

    def probe(self, tell: Callable[[face.Outcome, face.Report | None], None]) -> None:
        link = self._usable()
        if link is None:
            return tell(face.Outcome.NO_ROUTE, None)
        call_id = f"probe-{next(self.probe_ids)}"
        self.probes[call_id] = tell
        self.loop.call_later(self.dial_timeout_s, self._probed, call_id, face.Outcome.TIMED_OUT, None)
        link.write(request("OPTIONS", "load", call_id, 1))

    def _probed(self, call_id: str, outcome: face.Outcome, report: face.Report | None) -> None:
        tell = self.probes.pop(call_id, None)
        if tell:
            tell(outcome, report)

    def closed_to_new(self) -> None:
        for link in list(self.links):
            if link.unsent:
                link.abort()
        for leg in self.waiting[:]:
            self.forget(leg)
            leg.tell(Ended(face.Outcome.NOT_SENT))

    def restarted(self, at_ns: int) -> None:
        # Guards against calls that stand for ever: the process that held them can send no release.
        for leg in [leg for leg in self.legs.values() if leg.link and leg.sent_ns < at_ns]:
            self.forget(leg)
            leg.tell(Ended(face.Outcome.CUT))

    def retire(self) -> None:
        """The switch is gone: the calls that stand there are cut, and whatever is out is given up."""
        self.retired = True
        for leg in [leg for leg in self.legs.values() if leg.stands]:
            self.bye(leg.call_id, NORMAL_CLEARING, leg.link)  # should it live on, it must not keep them
        self._cut_all()
        self.close()

    def close(self) -> None:
        self.retired = True
        self.keeper.cancel()
        for link in list(self.links):
            link.writer.close() if not link.unsent else link.abort()

    # Connections

    def _usable(self) -> Link | None:
        """A connection that takes bytes and is not silent under an unanswered set-up."""
        now = self.loop.time()
        fresh = [link for link in self.links if not link.closed and not link.unsent]
        oldest: dict[int, float] = {}
        for leg in self.legs.values():
            if leg.link and not leg.stands:
                oldest[id(leg.link)] = min(leg.sent_at, oldest.get(id(leg.link), now))
        fresh = [
            link
            for link in fresh
            if not (now - oldest.get(id(link), now) > SILENT_S and link.heard_at < oldest[id(link)])
        ]
        return max(fresh, key=lambda link: link.heard_at, default=None)

    async def _keep(self) -> None:
        """Keeps one usable connection, as the state of the group comes over it."""
        redial_s = FIRST_REDIAL_S
        while not self.retired:
            self.wanted.clear()
            if self._usable() is None or self.waiting:
                redial_s = FIRST_REDIAL_S if await self._dial() else min(LONGEST_REDIAL_S, redial_s * 2)
                self.ever_dialled.set()
                wait_s: float | None = redial_s
            else:
                wait_s = SILENT_S
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
            min(self.links, key=lambda link: link.heard_at).abort()
            # Guards against a fifth connection: the old one is closed in the loop's next turn only.
            await asyncio.sleep(ABORT_S)
        try:
            async with asyncio.timeout(self.dial_timeout_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except TimeoutError:
            return False  # silent: those waiting have timers of their own
        except OSError as error:
            if isinstance(error, ConnectionRefusedError) and not any(not link.closed for link in self.links):
                self._cut_all()
            for leg in self.waiting[:]:
                leg.no_route()
            return False
        link = Link(reader, writer)
        self.links.append(link)
        task = self.loop.create_task(self._read(link), name=f"link to {self.name}")
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            leg.send(link)
        byes, self.byes = self.byes, {}
        for message in byes.values():
            link.write(message)
        return True

    async def _read(self, link: Link) -> None:
        def take(chunks: Chunks) -> None:
            while message := parse(chunks):
                self._heard(link, message)

        try:
            ended = await link.read_all(take)
            if not self.retired:
                self.log("notice", "sip", f"connection ended: {ended}", switch=self.name)
        except Exception as error:  # noqa: BLE001 - one bad message must cost one connection, no more
            self.log("error", "sip", f"connection dropped: {error!r}", switch=self.name)
        finally:
            link.abort()
            self.links.remove(link)
            # The set-ups open on a connection are given up when it closes.
            for leg in [leg for leg in self.legs.values() if leg.link is link and not leg.stands]:
                self.forget(leg)
                leg.tell(Ended(face.Outcome.CUT))
            self.wanted.set()

    def _cut_all(self) -> None:
        for leg in list(self.legs.values()):
            self.forget(leg)
            leg.tell(Ended(face.Outcome.CUT if leg.link else face.Outcome.NO_ROUTE))

    def forget(self, leg: SipLeg) -> None:
        if self.legs.get(leg.call_id) is leg:
            del self.legs[leg.call_id]
        if leg in self.waiting:
            self.waiting.remove(leg)

    def bye(self, call_id: str, cause: int, link: Link | None) -> None:
        """Release a call that stands, on the connection of its set-up or else on any."""
        message = request("BYE", call_id, call_id, INVITE_CSEQ + 1, f"Reason: Q.850;cause={cause}")
        if link is None or link.closed or link.unsent:
            link = self._usable() or next((one for one in self.links if not one.closed), None)
        if link:
            link.write(message)
        elif len(self.byes) < 1000:
            self.byes[call_id] = message
            self.wanted.set()

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
        status_text = message.start[8:11]
        if not status_text.isdigit():
            return self.log("warning", "sip", "unreadable status", switch=self.name)
        status, method = int(status_text), message.headers.get("cseq", "").rpartition(" ")[2]
        if status < 200:
            return
        if method == "OPTIONS":
            outcome = face.Outcome.ENDED if status < 300 else face.Outcome.NO_ROOM
            return self._probed(message.call_id, outcome, parse_group(message.headers.get("x-group", "")))
        if method != "INVITE":
            return
        link.write(request("ACK", message.call_id, message.call_id, INVITE_CSEQ))
        leg = self.legs.get(message.call_id)
        # Guards against taking the answer to a second attempt for a late one: the switches match by Call-ID
        # and method, and answer every set-up with the number 1, so the number tells nothing.
        if leg is None or leg.link is not link:
            if status < 300:
                # Guards against an answer that lost the race with its CANCEL: it would stand for nobody.
                self.bye(message.call_id, NORMAL_CLEARING, link)
            return
        if leg.stands:
            return
        if status < 300:
            leg.stands = True
            return leg.tell(Stood(description(message.body)))
        self.forget(leg)
        outcome = REFUSALS.get(status, face.Outcome.FAULT)
        cause = CAUSES.get(message.headers.get("x-cause", ""))
        leg.tell(Ended(outcome, cause, parse_group(message.headers.get("x-group", ""))))

    def _released(self, link: Link, message: Message) -> None:
        """The end of a call that stood; it may be told twice."""
        link.write(self._reply(message))
        leg = self.legs.get(message.call_id)
        if leg is None or not leg.stands:
            return  # told again, or it crossed our own release
        self.forget(leg)
        found = re.search(r"cause\s*=\s*([0-9]{1,3})", message.headers.get("reason", ""))
        cut = found is not None and int(found.group(1)) != 16
        report = parse_group(message.headers.get("x-group", ""))
        leg.tell(Ended(face.Outcome.CUT if cut else face.Outcome.ENDED, None, report))

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
