"""What the core asks of those who bring calls and those who take them, and what they tell it."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from tansyspur import interface as face

# Causes of Q.850 that the core gives; the fronts translate them where their wire has others.
NORMAL_CLEARING = 16
NO_CIRCUIT = 34
TEMPORARY_FAILURE = 41
CONGESTION = 42
INVALID_ELEMENT = 100
TIMER_EXPIRED = 102


@dataclass(slots=True, frozen=True)
class Offer:
    """A call as its caller asked for it. Id, number and description pass through unchanged."""

    wire_id: str
    class_name: str
    left_ms: float
    destination: int
    number: str
    description: str
    circuits: float = 1
    via: int | None = None
    in_transit: bool = False
    redial: bool = False
    was_cut: bool = False


@dataclass(slots=True, frozen=True)
class SetUpRequest:
    """One attempt, as a carrier switch is asked for it."""

    offer: Offer
    attempt: int
    wait_ms: int


# What a leg tells the call it belongs to.


@dataclass(slots=True, frozen=True)
class Stood:
    description: str


class EndReason(Enum):
    """Why an attempt or a call that stood is over, for the log and the metrics."""

    SWITCH_RELEASED = "switch_released"  # at its end, as the switch told
    SWITCH_CUT = "switch_cut"  # as the switch told
    SWITCH_REFUSED = "switch_refused"  # no set-up: its answer said so
    CALLER = "caller"  # the caller gave up or hung up
    CONNECTION_LOST = "connection_lost"  # under the set-up
    CONNECTION_REFUSED = "connection_refused"  # nothing runs at the switch's address
    NO_CONNECTION = "no_connection"  # none came up in time
    SWITCH_SILENT = "switch_silent"  # no sign of the process that held the call for too long
    ADDRESS_TAKEN = "address_taken"  # another switch is listed at its address
    SWITCH_RESTARTED = "switch_restarted"  # as discovery told
    SWITCH_REMOVED = "switch_removed"  # as discovery told
    HELD_BACK = "held_back"  # a drain or the last guard kept the set-up from leaving
    STOPPED = "stopped"  # the gatekeeper ends
    INTERNAL = "internal"  # an error of our own


@dataclass(slots=True, frozen=True)
class Ended:
    outcome: face.Outcome
    cause: face.Cause | None = None
    report: face.Report | None = None
    reason: EndReason | None = None


@dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller gave the set-up up, or hung up a call that stood."""

    cause: int = NORMAL_CLEARING
    failed: bool = False  # it did not leave by itself: its front failed the call
    reason: EndReason = EndReason.CALLER


@dataclass(slots=True, frozen=True)
class Over:
    """A call from its offer to its end, for whoever keeps records. Times are of the gatekeeper's clock."""

    offer: Offer
    verdict: str  # ended, cut, refused, failed, given up
    offered_ns: int
    ended_ns: int
    stood_ns: int = 0  # 0: it never stood
    attempts: int = 0
    switch: str = ""
    tandem: bool = False
    cause: str = ""


SwitchSignal = Stood | Ended
Signal = Stood | Ended | CallerLeft


class CallerLeg(Protocol):
    """The caller's side of one call."""

    def answer(self, description: str) -> bool:
        """Pass the answer on; false if the caller can no longer be reached."""

    def refuse(self, cause: int, wait_ms: int) -> None: ...

    def fail(self, cause: int) -> None: ...

    def release(self, cause: int) -> None:
        """The call that stood is over."""


class SwitchLeg(Protocol):
    """The carrier switch's side of one attempt. Having been cancelled or released it tells no more."""

    def cancel(self) -> None: ...

    def release(self, cause: int) -> None: ...


class Switch(Protocol):
    """One carrier switch."""

    uses_listed_address: bool  # whether it is reached at the address in the list of switches

    @property
    def reached(self) -> bool:
        """Whether it can be spoken to at this moment, as far as is known."""

    def place(
        self,
        request: SetUpRequest,
        may_send: Callable[[], bool],
        written: Callable[[], None],
        tell: Callable[[SwitchSignal], None],
    ) -> SwitchLeg:
        """Start an attempt. may_send() is asked at the very write, which may be later than this call;
        written() is called when the last byte has left."""

    def probe(self, tell: Callable[[face.Outcome, face.Report | None], None]) -> None: ...

    def closed_to_new(self) -> None:
        """It drains or is gone: what is not fully written must not leave any more."""

    def restarted(self, at_ns: int) -> None:
        """Its process started then: what was sent to the one before it is over, told or not."""

    def retire(self, reason: EndReason = EndReason.SWITCH_REMOVED) -> None:
        """It is gone: what stands there is cut, and nothing more is sent to its address."""

    def close(self) -> None: ...


@dataclass(slots=True, frozen=True)
class Listing:
    """An entry of the list of carrier switches. The name is its identity; addresses are used again."""

    name: str
    address: str
    number: int
    state: face.ExchangeState
    zone: str = ""
    started_ns: int | None = None

    def as_exchange(self, exchange_id: int) -> face.Exchange:
        return face.Exchange(exchange_id, self.number, self.state, self.zone, self.started_ns)

    def same_start(self, other: "Listing | None") -> bool:
        return other is not None and replace(other, zone=self.zone, address=self.address) == self


class Messenger(Protocol):
    """The way to the other gatekeepers."""

    def send(self, peer: int | None, data: bytes) -> None: ...


class SwitchMaker(Protocol):
    def __call__(self, name: str, address: str, on_report: Callable[[face.Report], None]) -> Switch: ...
