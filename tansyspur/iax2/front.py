"""IAX2 callers: a NEW becomes an offer to the core, its final answer ANSWER or HANGUP with a cause."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from tansyspur.core.gatekeeper import Call, Gatekeeper
from tansyspur.core.ports import CONGESTION, NORMAL_CLEARING, TIMER_EXPIRED, Offer
from tansyspur.iax2 import causes
from tansyspur.iax2.auth import (
    REJECTED,
    Peer,
    Registrar,
    RegistrationLeg,
    challenge_elements,
    is_answer,
)
from tansyspur.iax2.frames import IE, Control, FrameType, FullFrame, Iax, MiniFrame, number_of, text_of
from tansyspur.iax2.media import FORMATS, Bridge, describe
from tansyspur.iax2.transport import Leg, LegUser

AUTH_S = 10.0
UNALLOCATED = 1
NO_FORMAT = 58  # bearer capability not available

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class NumberRoute:
    """Called numbers with this prefix: where they lead, their class, and how long a caller waits."""

    prefix: str
    exchange_number: int
    class_name: str
    deadline_ms: int
    circuits: float = 1  # as the class takes


class Iax2Front:
    def __init__(
        self,
        gatekeeper: Gatekeeper,
        registrar: Registrar,
        numbers: tuple[NumberRoute, ...],
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
        self.set_numbers(numbers)
        self.max_calls, self.allow_guests = max_calls, allow_guests
        self.calls: set[Caller] = set()

    def set_numbers(self, numbers: tuple[NumberRoute, ...]) -> None:
        self.numbers = sorted(numbers, key=lambda row: -len(row.prefix))

    def on_new(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> LegUser | None:
        if not frame.is_iax(Iax.NEW):
            user: LegUser = RegistrationLeg(self.registrar)
        elif not self.gatekeeper.accepts_callers:
            # An IAX2 caller has no front that looks away: it is told at once, and calls another.
            self.log("info", "iax2", "a call was turned away", peer=leg.address[0])
            return reject_new_leg(leg, frame, elements)
        else:
            user = Caller(self, leg)
        user.heard(leg, frame, elements)
        return None if leg.closed else user

    def row_for(self, number: str) -> NumberRoute | None:
        return next((row for row in self.numbers if number.startswith(row.prefix)), None)


def reject_new_leg(leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
    """While the front is not open."""
    code = (IE.CAUSECODE, bytes([CONGESTION]))
    leg.finish(Iax.REJECT if frame.is_iax(Iax.NEW) else Iax.REGREJ, code)


class Caller:
    """The caller's side of one call."""

    def __init__(self, front: Iax2Front, leg: Leg) -> None:
        self.front, self.leg = front, leg
        self.wire_id = f"{front.rng.getrandbits(64):016x}"
        self.call: Call | None = None
        self.peer: Peer | None = None
        self.challenge = ""
        self.request: dict[int, bytes] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False

    # What the caller says

    def heard(self, leg: Leg, frame: FullFrame, elements: dict[int, bytes]) -> None:
        if frame.is_iax(Iax.NEW):
            self._new(elements)
        elif frame.is_iax(Iax.AUTHREP) and self.challenge and self.call is None:
            result = text_of(elements, IE.MD5_RESULT)
            if self.peer and is_answer(result, self.challenge, self.peer.secret):
                self._offer()
            else:
                self._reject(REJECTED)
        elif frame.is_iax(Iax.HANGUP, Iax.REJECT):
            self._left(number_of(elements, IE.CAUSECODE, NORMAL_CLEARING))
        elif frame.frame_type == FrameType.CONTROL and frame.subclass == Control.HANGUP:
            self._left(NORMAL_CLEARING)
            leg.finish(Iax.HANGUP, (IE.CAUSECODE, bytes([NORMAL_CLEARING])))
        elif frame.is_iax(Iax.TXREQ):
            leg.iax(Iax.TXREJ)
        elif frame.is_iax(Iax.DPREQ, Iax.DIAL, Iax.TRANSFER, Iax.MWI):
            leg.iax(Iax.UNSUPPORT, (IE.IAX_UNKNOWN, bytes([frame.subclass])))

    def _new(self, elements: dict[int, bytes]) -> None:
        self.request = elements
        front, name = self.front, text_of(elements, IE.USERNAME)
        self.peer = front.registrar.peers.get(name)
        if len(front.calls) >= front.max_calls:
            return self._reject(CONGESTION)
        if self.peer and self.peer.secret and self.peer.may_call:
            self.challenge = front.registrar.challenge()
            self.leg.iax(Iax.AUTHREQ, *challenge_elements(self.challenge, name))
            self.timer = self.leg.loop.call_later(AUTH_S, self._reject, TIMER_EXPIRED)
            front.calls.add(self)
        elif front.allow_guests and not name:
            self._offer()
        else:
            self._reject(REJECTED)

    def _offer(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.challenge = ""
        front, number = self.front, text_of(self.request, IE.CALLED_NUMBER)
        row = front.row_for(number)
        if row is None or not number.isascii() or not number.isprintable() or " " in number:
            return self._reject(UNALLOCATED)
        wanted = number_of(self.request, IE.FORMAT) or number_of(self.request, IE.CAPABILITY)
        media_format = next((bit for bit in FORMATS.values() if bit & wanted), 0)
        if not media_format:
            return self._reject(NO_FORMAT)
        front.calls.add(self)
        front.bridge.join(self.wire_id, self.leg)
        self.leg.iax(Iax.ACCEPT, (IE.FORMAT, media_format))
        self.leg.send(FrameType.CONTROL, Control.PROCEEDING)
        offer = Offer(
            wire_id=self.wire_id,
            class_name=row.class_name,
            remaining_ms=row.deadline_ms,
            destination=row.exchange_number,
            called_number=number,
            circuits=row.circuits,
            description=describe(self.leg, self.wire_id, media_format),
        )
        self.call = front.gatekeeper.offer(offer, self)

    def _left(self, cause: int) -> None:
        self._over()
        if self.call:
            self.call.caller_left(cause)

    def media(self, leg: Leg, frame: FullFrame | MiniFrame) -> None:
        self.front.bridge.media(self.wire_id, leg, frame)

    def lost(self, leg: Leg, reason: str) -> None:
        self.front.log("notice", "iax2", f"caller lost: {reason}", call=self.wire_id, peer=leg.address[0])
        self._left(TIMER_EXPIRED)

    # What the core says

    def answer(self, description: str) -> bool:
        """The switch's description stays here: IAX2 has no place for one."""
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

    def _hang_up(self, cause: int, wait_ms: int = 0) -> None:
        self._over()
        self.leg.finish(
            Iax.HANGUP, (IE.CAUSE, causes.text_for(cause, wait_ms)), (IE.CAUSECODE, bytes([cause]))
        )

    def _reject(self, cause: int) -> None:
        """Before ACCEPT the final answer is a REJECT."""
        self._over()
        self.front.log("info", "iax2", "a call was rejected", peer=self.leg.address[0], cause=cause)
        self.leg.finish(Iax.REJECT, (IE.CAUSE, causes.text_for(cause)), (IE.CAUSECODE, bytes([cause])))

    def _over(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.front.calls.discard(self)
        self.front.bridge.part(self.wire_id, self.leg)
