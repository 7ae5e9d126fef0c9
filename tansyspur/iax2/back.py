"""Carrier switches that speak IAX2, in place of SIP for the names in the operator's file."""

import asyncio
import time
from collections.abc import Callable

from tansyspur import interface
from tansyspur.core.ports import (
    NORMAL_CLEARING,
    TIMER_EXPIRED,
    Answered,
    EndReason,
    LegEnded,
    SetUpRequest,
    SwitchSignal,
)
from tansyspur.iax2 import causes
from tansyspur.iax2.auth import Peer, Registrar, answer_to
from tansyspur.iax2.frames import (
    AUTH_MD5,
    IE,
    VERSION,
    Control,
    FrameType,
    FullFrame,
    Iax,
    MiniFrame,
    number_of,
    text_of,
)
from tansyspur.iax2.media import FORMATS, Bridge, describe
from tansyspur.iax2.transport import Endpoint, Leg

BUSY = 17

Log = Callable[..., None]


class Attempt:
    """One attempt, and the call that stands from it."""

    def __init__(
        self, switch: "Iax2Switch", order: SetUpRequest, tell: Callable[[SwitchSignal], None]
    ) -> None:
        self.switch, self.order, self._tell = switch, order, tell
        self.wire_id = order.offer.wire_id
        self.leg: Leg | None = None
        self.format = 0
        self.stands = self.over = self.proven = False
        self.sent_ns = time.time_ns()

    def end(self, ended: LegEnded | None) -> None:
        """Once; the core is told unless it ended the attempt itself."""
        if not self.over:
            self.over = True
            self.switch.ended(self)
            if ended:
                self._tell(ended)

    def start(self, leg: Leg) -> None:
        self.leg = leg
        caller = next(iter(self.switch.bridge.legs.get(self.wire_id, ())), None)
        self.switch.bridge.join(self.wire_id, leg)
        formats = sum(FORMATS.values())
        wanted = FORMATS["ulaw"] if caller is None else 0
        for name, bit in FORMATS.items():
            if f"IAX2 {name}\r\n" in self.order.offer.description:
                wanted = bit
        peer = self.switch.peer
        leg.iax(
            Iax.NEW,
            (IE.VERSION, VERSION.to_bytes(2, "big")),
            (IE.CALLED_NUMBER, self.order.offer.called_number),
            (IE.USERNAME, self.switch.username),
            *([(IE.CALLED_CONTEXT, self.switch.context)] if self.switch.context else []),
            (IE.FORMAT, wanted or FORMATS["ulaw"]),
            (IE.CAPABILITY, formats if caller is None else wanted),
        )
        self.switch.log("debug", "iax2", "set-up sent", call=self.wire_id, user=peer.name)

    # What the switch says

    def heard(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.AUTHREQ):
            self._prove(leg, elements)
        elif frame.is_iax(Iax.ACCEPT):
            self.format = number_of(elements, IE.FORMAT)
        elif frame.is_iax(Iax.HANGUP, Iax.REJECT):
            self._released(number_of(elements, IE.CAUSECODE))
        elif frame.frame_type == FrameType.CONTROL:
            self._control(leg, frame.subclass)
        elif frame.is_iax(Iax.TXREQ):
            leg.iax(Iax.TXREJ)

    def _prove(self, leg: Leg, elements: dict[int, bytes]) -> None:
        peer = self.switch.peer
        if self.proven or not peer.secret or not number_of(elements, IE.AUTHMETHODS) & AUTH_MD5:
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
            self.switch.log("warning", "iax2", "the switch's challenge cannot be met", user=peer.name)
            return self.end(LegEnded(interface.Outcome.FAULT))
        self.proven = True
        leg.iax(Iax.AUTHREP, (IE.MD5_RESULT, answer_to(text_of(elements, IE.CHALLENGE), peer.secret)))

    def _control(self, leg: Leg, subclass: int) -> None:
        if subclass == Control.ANSWER and not self.stands:
            self.stands = True
            leg.keep_alive()
            self._tell(Answered(describe(leg, self.wire_id, self.format)))
        elif subclass == Control.HANGUP:
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
            self._released(NORMAL_CLEARING)
        elif subclass in (Control.BUSY, Control.CONGESTION) and not self.stands:
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
            row = causes.of_code(BUSY if subclass == Control.BUSY else 34)
            self.end(LegEnded(row.outcome, row.cause))

    def _released(self, code: int) -> None:
        if self.stands:
            return self.end(LegEnded(causes.standing_outcome(code)))
        row = causes.of_code(code)
        self.end(LegEnded(row.outcome, row.cause))

    def media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None:
        self.switch.bridge.media(self.wire_id, leg, frame)

    def lost(self, leg: Leg, reason: str) -> None:
        self.switch.log("notice", "iax2", f"attempt lost: {reason}", call=self.wire_id)
        why = EndReason.SWITCH_SILENT if self.stands else EndReason.CONNECTION_LOST
        self.end(LegEnded(interface.Outcome.CUT, reason=why))

    # What the core says

    def cancel(self) -> None:
        self.release(NORMAL_CLEARING)

    def release(self, cause: int) -> None:
        if not self.over and self.leg:
            self.leg.finish(Iax.HANGUP, (IE.CAUSE, causes.text_for(cause)), (IE.CAUSECODE, bytes([cause])))
        self.end(None)


class Iax2Switch:
    uses_listed_address = False  # but at the one in the operator's file, or where it registered from

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        registrar: Registrar,
        bridge: Bridge,
        peer: Peer,
        username: str,
        circuits: int,
        context: str,
        qualify_s: float,
        on_report: Callable[[interface.LoadReport], None],
        log: Log,
    ) -> None:
        self.name, self.endpoint, self.registrar, self.bridge = name, endpoint, registrar, bridge
        self.peer, self.username, self.circuits, self.context = peer, username, circuits, context
        self.on_report, self.log, self.qualify_s = on_report, log, qualify_s
        self.attempts: set[Attempt] = set()
        self.reachable = True
        self.retired = False
        self.loop = asyncio.get_running_loop()
        self.loop.call_soon(self._report)
        if qualify_s:
            self.loop.call_soon(self._qualify)

    def _report(self) -> None:
        """Free circuits of this gatekeeper's group, where the operator gave its size."""
        if self.circuits and not self.retired:
            free = max(0, self.circuits - len(self.attempts))
            self.on_report(interface.LoadReport(free=free, size=self.circuits))

    def ended(self, attempt: Attempt) -> None:
        self.attempts.discard(attempt)
        if attempt.leg:
            self.bridge.part(attempt.wire_id, attempt.leg)
        # The attempt's own end is told first, then the circuit that it frees.
        self.loop.call_soon(self._report)

    def start_attempt(
        self,
        order: SetUpRequest,
        may_send: Callable[[], bool],
        on_written: Callable[[], None],
        notify: Callable[[SwitchSignal], None],
    ) -> Attempt:
        attempt = Attempt(self, order, notify)
        self.attempts.add(attempt)
        address = self.registrar.address(self.peer.name)
        if address is None or not self.reachable:
            attempt.end(LegEnded(interface.Outcome.NO_ROUTE))
        elif self.circuits and len(self.attempts) > self.circuits:
            attempt.end(LegEnded(interface.Outcome.NOT_SENT, interface.Cause.NO_CIRCUIT))
        elif not may_send():
            attempt.end(LegEnded(interface.Outcome.NOT_SENT))
        else:
            leg = self.endpoint.leg(address, attempt)
            if leg is None:
                attempt.end(LegEnded(interface.Outcome.NOT_SENT))
            else:
                attempt.start(leg)
                on_written()
                self._report()
        return attempt

    def probe(self, notify: Callable[[interface.Outcome, interface.LoadReport | None], None]) -> None:
        """IAX2 tells no load; the own group is what is known."""
        free = self.circuits - len(self.attempts) if self.circuits else None
        notify(interface.Outcome.ENDED, interface.LoadReport(free=free, size=self.circuits or None))

    def stop_new_attempts(self) -> None:
        """Guards against a NEW repeated to a switch that drains: unacknowledged ones are given up."""
        for attempt in list(self.attempts):
            if attempt.leg and not attempt.leg.remote:
                attempt.leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
                attempt.end(LegEnded(interface.Outcome.CUT))

    def process_restarted(self, at_ns: int) -> None:
        before = [attempt for attempt in self.attempts if attempt.sent_ns < at_ns]
        self._cut(before, EndReason.SWITCH_RESTARTED)

    def retire(self, reason: EndReason = EndReason.SWITCH_REMOVED) -> None:
        self._cut(list(self.attempts), reason)
        self.close()

    def _cut(self, attempts: list[Attempt], reason: EndReason) -> None:
        for attempt in attempts:
            if attempt.leg:
                attempt.leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([TIMER_EXPIRED])))
            attempt.end(LegEnded(interface.Outcome.CUT, reason=reason))

    def close(self) -> None:
        self.retired = True

    # Keep-alive of an idle switch

    def _qualify(self) -> None:
        """POKE; a switch that does not answer gets no set-up until it does."""
        address = self.registrar.address(self.peer.name)
        if self.retired:
            return
        if address and (leg := self.endpoint.leg(address, Poke(self))):
            leg.iax(Iax.POKE)
        self.loop.call_later(self.qualify_s, self._qualify)

    def found(self, reachable: bool) -> None:
        if reachable is not self.reachable:
            self.reachable = reachable
            self.log("notice", "iax2", "reachable" if reachable else "does not answer", switch=self.name)


class Poke:
    def __init__(self, switch: Iax2Switch) -> None:
        self.switch = switch

    def heard(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.PONG):
            leg.linger()
            self.switch.found(True)

    def media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None: ...

    def lost(self, leg: Leg, reason: str) -> None:
        self.switch.found(False)
