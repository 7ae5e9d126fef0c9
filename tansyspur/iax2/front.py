"""Front for IAX2 callers.

A NEW is authenticated and offered to the core as a call. The core's final answer is sent as ANSWER, or as HANGUP with
a cause. Registrations arrive here too, and are passed to a RegistrationLeg.
"""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from tansyspur.core.call import Call
from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.ports import CONGESTION, NORMAL_CLEARING, TIMER_EXPIRED, Offer
from tansyspur.iax2 import causes
from tansyspur.iax2.auth import (
    CALL_REJECTED,
    Peer,
    Registrar,
    RegistrationLeg,
    challenge_elements,
    is_md5_result,
)
from tansyspur.iax2.frames import (
    IE,
    Control,
    FrameType,
    FullFrame,
    Iax,
    MiniFrame,
    element_number,
    element_text,
)
from tansyspur.iax2.media import FORMATS, Bridge, session_description
from tansyspur.iax2.transport import Leg, LegUser

AUTH_TIMEOUT_S = 10.0
# Cause values of Q.850
UNALLOCATED_NUMBER = 1
BEARER_CAPABILITY_NOT_AVAILABLE = 58

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class NumberRoute:
    """The route of called numbers with this prefix: exchange number, call class, and how long a caller waits."""

    prefix: str
    exchange_number: int
    class_name: str
    deadline_ms: int
    circuits: float = 1  # circuits that a call of the class takes


class Iax2Front:
    """Accepts the calls and registrations that arrive at the endpoint.

    max_calls limits the calls that are open at a time. allow_guests admits callers that send no username.
    """

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        registrar: Registrar,
        routes: tuple[NumberRoute, ...],
        bridge: Bridge,
        rng: random.Random,
        log: Log,
        max_calls: int,
        allow_guests: bool,
    ) -> None:
        self.gatekeeper, self.registrar, self.bridge, self.rng, self.log = (
            gatekeeper,
            registrar,
            bridge,
            rng,
            log,
        )
        self.set_number_routes(routes)
        self.max_calls, self.allow_guests = max_calls, allow_guests
        self.calls: set[Caller] = set()

    def set_number_routes(self, routes: tuple[NumberRoute, ...]) -> None:
        """Replace the routes of called numbers. Of several that match, the one with the longest prefix is used."""
        self.routes = sorted(routes, key=lambda route: -len(route.prefix))

    def on_new(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> LegUser | None:
        """Handle a NEW, REGREQ or REGREL. Returns the user of the leg; None if it was rejected."""
        if not frame.is_iax(Iax.NEW):
            user: LegUser = RegistrationLeg(self.registrar)
        elif not self.gatekeeper.accepts_callers:
            # IAX2 callers have no connection that the front could stop accepting: the call is rejected at once,
            # and the caller tries another gatekeeper.
            self.log(
                "info", "iax2", "call rejected: no callers are accepted at the moment", peer=leg.address[0]
            )
            return reject_new_leg(leg, frame, elements)
        else:
            user = Caller(self, leg)
        leg.user = user  # is told if the leg fails below
        user.on_frame(leg, frame, elements)
        return None if leg.closed else user

    def route_for(self, number: str) -> NumberRoute | None:
        """The route of a called number; None if no prefix matches."""
        return next((route for route in self.routes if number.startswith(route.prefix)), None)


def reject_new_leg(leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
    """Reject a NEW, REGREQ or REGREL while no callers are accepted."""
    code = (IE.CAUSECODE, bytes([CONGESTION]))
    leg.finish(Iax.REJECT if frame.is_iax(Iax.NEW) else Iax.REGREJ, code)


class Caller:
    """The caller's side of one call. Implements CallerLeg for the core, and LegUser for the transport."""

    def __init__(self, front: Iax2Front, leg: Leg) -> None:
        self.front, self.leg = front, leg
        # Not of the configuration's seed: after a replacement the process before has calls with the same switches.
        self.wire_id = secrets.token_hex(8)
        self.call: Call | None = None
        self.peer: Peer | None = None
        self.challenge = ""
        self.new_elements: dict[int, bytes] = {}  # information elements of the NEW
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False

    @property
    def has_left(self) -> bool:
        return False  # its HANGUP is handled as it arrives

    # Events from the caller

    def on_frame(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.NEW):
            self._new(elements)
        elif frame.is_iax(Iax.AUTHREP) and self.challenge and self.call is None:
            result = element_text(elements, IE.MD5_RESULT)
            if self.peer and is_md5_result(result, self.challenge, self.peer.secret):
                self._offer()
            else:
                self._reject(CALL_REJECTED)
        elif frame.is_iax(Iax.HANGUP, Iax.REJECT):
            self._on_caller_left(element_number(elements, IE.CAUSECODE, NORMAL_CLEARING))
        elif frame.frame_type == FrameType.CONTROL and frame.subclass == Control.HANGUP:
            self._on_caller_left(NORMAL_CLEARING)
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
        elif frame.is_iax(Iax.TXREQ):
            leg.send_iax(Iax.TXREJ)
        elif frame.is_iax(Iax.DPREQ, Iax.DIAL, Iax.TRANSFER, Iax.MWI):
            leg.send_iax(Iax.UNSUPPORT, (IE.IAX_UNKNOWN, bytes([frame.subclass])))

    def _new(self, elements: dict[int, bytes]) -> None:
        self.new_elements = elements
        front, name = self.front, element_text(elements, IE.USERNAME)
        self.peer = front.registrar.peers.get(name)
        if len(front.calls) >= front.max_calls:
            return self._reject(CONGESTION)
        if self.peer and self.peer.secret and self.peer.may_call:
            self.challenge = front.registrar.new_challenge()
            self.leg.send_iax(Iax.AUTHREQ, *challenge_elements(self.challenge, name))
            self.timer = self.leg.loop.call_later(AUTH_TIMEOUT_S, self._reject, TIMER_EXPIRED)
            front.calls.add(self)
        elif front.allow_guests and not name:
            self._offer()
        else:
            self._reject(CALL_REJECTED)

    def _offer(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.challenge = ""
        front, number = self.front, element_text(self.new_elements, IE.CALLED_NUMBER)
        route = front.route_for(number)
        if route is None or not number.isascii() or not number.isprintable() or " " in number:
            return self._reject(UNALLOCATED_NUMBER)
        formats = element_number(self.new_elements, IE.FORMAT) or element_number(
            self.new_elements, IE.CAPABILITY
        )
        media_format = next((bit for bit in FORMATS.values() if bit & formats), 0)
        if not media_format:
            return self._reject(BEARER_CAPABILITY_NOT_AVAILABLE)
        front.calls.add(self)
        front.bridge.add_leg(self.wire_id, self.leg)
        self.leg.send_iax(Iax.ACCEPT, (IE.FORMAT, media_format))
        self.leg.send(FrameType.CONTROL, Control.PROCEEDING)
        offer = Offer(
            wire_id=self.wire_id,
            class_name=route.class_name,
            remaining_ms=route.deadline_ms,
            destination=route.exchange_number,
            called_number=number,
            circuits=route.circuits,
            description=session_description(self.leg, self.wire_id, media_format),
        )
        self.call = front.gatekeeper.offer(offer, self)

    def _on_caller_left(self, cause: int) -> None:
        self._release_resources()
        if self.call:
            self.call.caller_left(cause)

    def on_media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None:
        self.front.bridge.forward(self.wire_id, leg, frame)

    def on_lost(self, leg: Leg, reason: str) -> None:
        self.front.log(
            "notice", "iax2", f"caller lost, call released: {reason}", call=self.wire_id, peer=leg.address[0]
        )
        self._on_caller_left(TIMER_EXPIRED)

    # Requests from the core

    def answer(self, description: str) -> bool:
        """Send ANSWER. The session description is not sent, as IAX2 has no element for one."""
        if self.leg.closed or self.leg.closing:
            return False
        self.answered = True
        self.leg.send(FrameType.CONTROL, Control.ANSWER)
        self.leg.keep_alive()
        return True

    def refuse(self, cause: int, retry_after_ms: int) -> None:
        self._hang_up(cause, retry_after_ms)

    def fail(self, cause: int) -> None:
        self._hang_up(cause)

    def release(self, cause: int) -> None:
        self._hang_up(cause)

    def _hang_up(self, cause: int, retry_after_ms: int = 0) -> None:
        self._release_resources()
        self.leg.finish(
            Iax.HANGUP, (IE.CAUSE, causes.cause_text(cause, retry_after_ms)), (IE.CAUSECODE, bytes([cause]))
        )

    def _reject(self, cause: int) -> None:
        """Refuse the call with REJECT, which is the final answer before ACCEPT."""
        self._release_resources()
        self.front.log("info", "iax2", "call rejected", peer=self.leg.address[0], cause=cause)
        self.leg.finish(Iax.REJECT, (IE.CAUSE, causes.cause_text(cause)), (IE.CAUSECODE, bytes([cause])))

    def _release_resources(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.front.calls.discard(self)
        self.front.bridge.remove_leg(self.wire_id, self.leg)
