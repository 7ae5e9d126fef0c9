"""Carrier switches that are reached by IAX2.

The operator's file names them; all other switches are reached by SIP. Iax2Switch implements Switch for the core, and
an Attempt is its SwitchLeg.
"""

import asyncio
import time
from collections.abc import Callable

from tansyspur import interface
from tansyspur.core.error_boundary import log_error, run_contained
from tansyspur.core.ports import (
    NORMAL_CLEARING,
    TEMPORARY_FAILURE,
    TIMER_EXPIRED,
    Answered,
    EndReason,
    LegEnded,
    SetUpRequest,
    SwitchSignal,
)
from tansyspur.iax2 import causes
from tansyspur.iax2.auth import Peer, Registrar, md5_result
from tansyspur.iax2.frames import (
    AUTH_MD5,
    IE,
    VERSION,
    Control,
    FrameType,
    FullFrame,
    Iax,
    MiniFrame,
    element_number,
    element_text,
)
from tansyspur.iax2.media import FORMATS, Bridge, session_description
from tansyspur.iax2.transport import Endpoint, Leg

USER_BUSY = 17  # cause value of Q.850

Log = Callable[..., None]


class Attempt:
    """One attempt at a switch, and the call once it is answered."""

    def __init__(
        self, switch: "Iax2Switch", request: SetUpRequest, notify: Callable[[SwitchSignal], None]
    ) -> None:
        self.switch, self.request, self._notify = switch, request, notify
        self.wire_id = request.offer.wire_id
        self.leg: Leg | None = None
        self.media_format = 0
        self.answered = self.ended = self.challenge_answered = False
        self.sent_ns = time.time_ns()

    def end(self, signal: LegEnded | None) -> None:
        """End the attempt and report the signal; None if the core ended it itself. Later calls do nothing."""
        if not self.ended:
            self.ended = True
            self.switch.on_attempt_ended(self)
            if signal:
                self._notify(signal)

    def start(self, leg: Leg) -> None:
        """Send the NEW on the leg.

        For a caller by IAX2 it offers the caller's format only, since media is forwarded without transcoding.
        """
        caller = next(iter(self.switch.bridge.legs.get(self.wire_id, ())), None)
        self.switch.bridge.add_leg(self.wire_id, leg)
        formats = sum(FORMATS.values())
        preferred_format = FORMATS["ulaw"] if caller is None else 0
        for name, bit in FORMATS.items():
            if f"IAX2 {name}\r\n" in self.request.offer.description:
                preferred_format = bit
        peer = self.switch.peer
        leg.send_iax(
            Iax.NEW,
            (IE.VERSION, VERSION.to_bytes(2, "big")),
            (IE.CALLED_NUMBER, self.request.offer.called_number),
            (IE.USERNAME, self.switch.username),
            *([(IE.CALLED_CONTEXT, self.switch.context)] if self.switch.context else []),
            (IE.FORMAT, preferred_format or FORMATS["ulaw"]),
            (IE.CAPABILITY, formats if caller is None else preferred_format),
        )
        self.switch.log("debug", "iax2", "set-up sent", call=self.wire_id, user=peer.name)

    # Events from the switch

    def on_frame(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.AUTHREQ):
            self._answer_challenge(leg, elements)
        elif frame.is_iax(Iax.ACCEPT):
            self.media_format = element_number(elements, IE.FORMAT)
        elif frame.is_iax(Iax.HANGUP, Iax.REJECT):
            self._on_release(element_number(elements, IE.CAUSECODE))
        elif frame.frame_type == FrameType.CONTROL:
            self._on_control(leg, frame.subclass)
        elif frame.is_iax(Iax.TXREQ):
            leg.send_iax(Iax.TXREJ)

    def _answer_challenge(self, leg: Leg, elements: dict[int, bytes]) -> None:
        peer = self.switch.peer
        if (
            self.challenge_answered
            or not peer.secret
            or not element_number(elements, IE.AUTHMETHODS) & AUTH_MD5
        ):
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
            self.switch.log(
                "warning",
                "iax2",
                "the switch sent a challenge that cannot be answered; attempt ended",
                user=peer.name,
            )
            return self.end(LegEnded(interface.Outcome.FAULT))
        self.challenge_answered = True
        leg.send_iax(
            Iax.AUTHREP, (IE.MD5_RESULT, md5_result(element_text(elements, IE.CHALLENGE), peer.secret))
        )

    def _on_control(self, leg: Leg, subclass: int) -> None:
        if subclass == Control.ANSWER and not self.answered:
            self.answered = True
            leg.keep_alive()
            self._notify(Answered(session_description(leg, self.wire_id, self.media_format)))
        elif subclass == Control.HANGUP:
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
            self._on_release(NORMAL_CLEARING)
        elif subclass in (Control.BUSY, Control.CONGESTION) and not self.answered:
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
            cause_code = causes.lookup(USER_BUSY if subclass == Control.BUSY else 34)
            self.end(LegEnded(cause_code.outcome, cause_code.cause))

    def _on_release(self, code: int) -> None:
        if self.answered:
            return self.end(LegEnded(causes.release_outcome(code)))
        cause_code = causes.lookup(code)
        self.end(LegEnded(cause_code.outcome, cause_code.cause))

    def on_media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None:
        self.switch.bridge.forward(self.wire_id, leg, frame)

    def on_lost(self, leg: Leg, reason: str) -> None:
        self.switch.log("notice", "iax2", f"switch lost, call or attempt ended: {reason}", call=self.wire_id)
        end_reason = EndReason.SWITCH_SILENT if self.answered else EndReason.CONNECTION_LOST
        self.end(LegEnded(interface.Outcome.CUT, reason=end_reason))

    # Requests from the core

    def cancel(self) -> None:
        self.release(NORMAL_CLEARING)

    def release(self, cause: int) -> None:
        leg = None if self.ended else self.leg
        self.end(None)
        if leg:
            leg.finish(Iax.HANGUP, (IE.CAUSE, causes.cause_text(cause)), (IE.CAUSECODE, bytes([cause])))

    def fail_internal(self, error: Exception) -> None:
        """End the attempt on both sides after an internal error."""
        log_error(self.switch.log, "iax2", error, switch=self.switch.name, call=self.wire_id)
        if self.leg:
            code = (IE.CAUSECODE, bytes([TEMPORARY_FAILURE]))
            run_contained(self.switch.log, "iax2", self.leg.finish, Iax.HANGUP, code, call=self.wire_id)
        self.end(LegEnded(interface.Outcome.CUT, reason=EndReason.INTERNAL))


class Iax2Switch:
    """A carrier switch that is reached by IAX2.

    circuits is the size of this gatekeeper's trunk group to it; 0 if the operator gave none, then no load is reported.
    qualify_s is the interval of the keep-alive POKE in seconds; 0 sends none.
    """

    uses_listed_address = False  # the operator's file gives the address, or the switch registers it

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
        """Report the free circuits of the trunk group, if its size is known."""
        if self.circuits and not self.retired:
            free = max(0, self.circuits - len(self.attempts))
            self.on_report(interface.LoadReport(free=free, size=self.circuits))

    def on_attempt_ended(self, attempt: Attempt) -> None:
        self.attempts.discard(attempt)
        if attempt.leg:
            self.bridge.remove_leg(attempt.wire_id, attempt.leg)
        # Called later, so that the end of the attempt is reported before the circuit that it frees.
        self.loop.call_soon(self._report)

    def start_attempt(
        self,
        request: SetUpRequest,
        may_send: Callable[[], bool],
        on_written: Callable[[], None],
        notify: Callable[[SwitchSignal], None],
    ) -> Attempt:
        attempt = Attempt(self, request, notify)
        self.attempts.add(attempt)
        address = self.registrar.address(self.peer.name)
        if address is None or not self.reachable:
            attempt.end(LegEnded(interface.Outcome.NO_ROUTE))
        elif self.circuits and len(self.attempts) > self.circuits:
            attempt.end(LegEnded(interface.Outcome.NOT_SENT, interface.Cause.NO_CIRCUIT))
        elif not may_send():
            attempt.end(LegEnded(interface.Outcome.NOT_SENT))
        else:
            leg = self.endpoint.open_leg(address, attempt)
            if leg is None:
                attempt.end(LegEnded(interface.Outcome.NOT_SENT))
            else:
                attempt.leg = leg
                try:
                    attempt.start(leg)
                    on_written()
                    self._report()
                except Exception as error:  # noqa: BLE001 - any of them must end as one failed call
                    attempt.fail_internal(error)
        return attempt

    def probe(self, notify: Callable[[interface.Outcome, interface.LoadReport | None], None]) -> None:
        """Report the state of the trunk group at once: IAX2 has no message that requests the load of a switch."""
        free = self.circuits - len(self.attempts) if self.circuits else None
        notify(interface.Outcome.ENDED, interface.LoadReport(free=free, size=self.circuits or None))

    def stop_new_attempts(self) -> None:
        """Give up the unacknowledged set-ups, whose NEW would otherwise be retransmitted to a switch that drains."""
        for attempt in list(self.attempts):
            if attempt.leg and not attempt.leg.remote:
                attempt.leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
                attempt.end(LegEnded(interface.Outcome.CUT))

    def process_restarted(self, at_ns: int) -> None:
        earlier_attempts = [attempt for attempt in self.attempts if attempt.sent_ns < at_ns]
        self._cut_attempts(earlier_attempts, EndReason.SWITCH_RESTARTED)

    def retire(self, reason: EndReason = EndReason.SWITCH_REMOVED) -> None:
        self._cut_attempts(list(self.attempts), reason)
        self.close()

    def _cut_attempts(self, attempts: list[Attempt], reason: EndReason) -> None:
        for attempt in attempts:
            if attempt.leg:
                attempt.leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([TIMER_EXPIRED])))
            attempt.end(LegEnded(interface.Outcome.CUT, reason=reason))

    def close(self) -> None:
        self.retired = True

    # Keep-alive of an idle switch

    def _qualify(self) -> None:
        """Send a POKE at intervals. A switch that does not answer with PONG gets no set-up until it does."""
        address = self.registrar.address(self.peer.name)
        if self.retired:
            return
        if address and (leg := self.endpoint.open_leg(address, Poke(self))):
            leg.send_iax(Iax.POKE)
        self.loop.call_later(self.qualify_s, self._qualify)

    def set_reachable(self, reachable: bool) -> None:
        """Store the result of a POKE, and log a change."""
        if reachable is not self.reachable:
            self.reachable = reachable
            self.log(
                "notice",
                "iax2",
                "switch reachable again"
                if reachable
                else "switch did not answer POKE with PONG; no set-ups are sent to it",
                switch=self.name,
            )


class Poke:
    """The leg of one keep-alive POKE, which expects a PONG."""

    def __init__(self, switch: Iax2Switch) -> None:
        self.switch = switch

    def on_frame(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.PONG):
            leg.linger()
            self.switch.set_reachable(True)

    def on_media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None: ...

    def on_lost(self, leg: Leg, reason: str) -> None:
        self.switch.set_reachable(False)
