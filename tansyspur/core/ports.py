"""Interfaces between the core and its adapters: fronts, which bring callers, and carrier switches.

A front offers calls to the gatekeeper and implements CallerLeg. A switch adapter implements Switch and SwitchLeg,
and reports to the call with SwitchSignal. Times are in the unit of the suffix: _ms, or _ns of the gatekeeper's clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from tansyspur import interface

# Cause values of Q.850 that the core uses; a front translates them where its protocol has others.
NORMAL_CLEARING = 16
NO_CIRCUIT = 34
TEMPORARY_FAILURE = 41
CONGESTION = 42
INVALID_ELEMENT = 100
TIMER_EXPIRED = 102
MAX_CAUSE = 127


def cause_or_normal(value: object) -> int:
    """A received cause; that of normal clearing for any value that is none, since the call is over all the same."""
    is_cause = isinstance(value, int) and not isinstance(value, bool) and 0 < value <= MAX_CAUSE
    return value if is_cause else NORMAL_CLEARING


@dataclass(slots=True, frozen=True)
class Offer:
    """A call as its caller requested it. Id, called number and description are passed on unchanged."""

    wire_id: str  # the caller's id of the call
    class_name: str
    remaining_ms: float  # how long the caller still waits for an answer
    destination: int  # exchange number
    called_number: str
    description: str  # session description (SDP)
    circuits: float = 1  # circuits that the call takes
    via: int | None = None  # exchange number: of the sender if in transit, else of an advised tandem
    in_transit: bool = False  # sent by another gatekeeper: this one is the tandem
    redial: bool = False  # another try of a call that was refused or failed
    was_cut: bool = False  # another try of a call that had been answered and was then cut


@dataclass(slots=True, frozen=True)
class SetUpRequest:
    """One attempt of a call, as passed to Switch.start_attempt, which sends the set-up to the carrier switch."""

    offer: Offer
    attempt: int  # number of the attempt, from 0
    timeout_ms: int  # the attempt is given up this long after the request


# Signals from a leg to the call that it belongs to


@dataclass(slots=True, frozen=True)
class Answered:
    description: str  # session description (SDP) of the answer


class EndReason(Enum):
    """Why an attempt or an answered call ended. The values are labels in the log and the metrics."""

    SWITCH_RELEASED = "switch_released"  # normal release by the switch
    SWITCH_CUT = "switch_cut"  # release by the switch with another cause than normal clearing
    SWITCH_REFUSED = "switch_refused"  # the switch refused the set-up
    CALLER = "caller"  # the caller gave up or hung up
    CONNECTION_LOST = "connection_lost"  # the connection ended before the set-up was answered
    CONNECTION_REFUSED = "connection_refused"  # nothing listens at the switch's address
    NO_CONNECTION = "no_connection"  # no connection came up in time
    SWITCH_SILENT = "switch_silent"  # nothing was received for too long from the process that held the call
    ADDRESS_TAKEN = "address_taken"  # another switch is listed at its address
    SWITCH_RESTARTED = "switch_restarted"  # reported by discovery
    SWITCH_REMOVED = "switch_removed"  # reported by discovery
    HELD_BACK = "held_back"  # a drain or the final check kept the set-up from being sent
    STOPPED = "stopped"  # the gatekeeper is stopping
    INTERNAL = "internal"  # an error in the gatekeeper


@dataclass(slots=True, frozen=True)
class LegEnded:
    """The attempt ended without an answer, or the answered call ended."""

    outcome: interface.Outcome
    cause: interface.Cause | None = None
    report: interface.LoadReport | None = None
    reason: EndReason | None = None


@dataclass(slots=True, frozen=True)
class CallerLeft:
    """The caller gave up the set-up, or hung up an answered call."""

    cause: int = NORMAL_CLEARING  # of Q.850
    failed: bool = False  # the caller did not leave by itself: its front failed the call
    reason: EndReason = EndReason.CALLER


@dataclass(slots=True, frozen=True)
class CompletedCall:
    """A call from its offer to its end, for call detail records. Times are of the gatekeeper's clock."""

    offer: Offer
    verdict: str  # ended, cut, refused, failed, given up
    offered_ns: int
    ended_ns: int
    answered_ns: int = 0  # 0: it was never answered
    attempts: int = 0
    switch: str = ""  # name of the last attempt's switch
    tandem: bool = False  # the last attempt was not toward the destination itself
    cause: str = ""


SwitchSignal = Answered | LegEnded
Signal = Answered | LegEnded | CallerLeft


class CallerLeg(Protocol):
    """The caller's side of one call.

    Causes are of Q.850. A retry_after_ms of 0 gives the caller no time for its next try.
    """

    @property
    def has_left(self) -> bool:
        """Whether the caller is known to wait no longer, though its leaving has not been reported to the call yet."""

    def answer(self, description: str) -> bool:
        """Pass the answer on. Returns False if the caller can no longer be reached."""

    def refuse(self, cause: int, retry_after_ms: int) -> None: ...

    def fail(self, cause: int) -> None: ...

    def release(self, cause: int) -> None:
        """The answered call has ended."""


class SwitchLeg(Protocol):
    """The switch's side of one attempt. It sends no signal after it was cancelled or released."""

    def cancel(self) -> None: ...

    def release(self, cause: int) -> None: ...


class Switch(Protocol):
    """A carrier switch, as one protocol reaches it. probe() requests its load, and reports it to notify."""

    uses_listed_address: bool  # whether it is reached at the address in the switch list

    @property
    def reachable(self) -> bool:
        """Whether there is a connection to it at the moment, as far as is known."""

    def start_attempt(
        self,
        request: SetUpRequest,
        may_send: Callable[[], bool],
        on_written: Callable[[], None],
        notify: Callable[[SwitchSignal], None],
    ) -> SwitchLeg:
        """Start an attempt, and report to notify until it has ended.

        may_send is called immediately before the set-up is written, which may be later than this call. on_written is
        called when its last byte has been sent.
        """

    def probe(self, notify: Callable[[interface.Outcome, interface.LoadReport | None], None]) -> None: ...

    def stop_new_attempts(self) -> None:
        """The switch drains or is gone: a set-up that is not completely written must not be sent any more."""

    def process_restarted(self, at_ns: int) -> None:
        """The process of the switch started at at_ns: what was sent to the one before it has ended."""

    def retire(self, reason: EndReason = EndReason.SWITCH_REMOVED) -> None:
        """The switch is gone: its calls are cut, and nothing more is sent to its address."""

    def close(self) -> None: ...


@dataclass(slots=True, frozen=True)
class SwitchListing:
    """An entry of the switch list. The name is the identity of a switch; addresses are used again."""

    name: str
    address: str  # host:port
    exchange_number: int
    state: interface.SwitchState
    zone: str = ""
    started_ns: int | None = None  # last processor start; None: long ago

    def as_carrier_switch(self, switch_id: int) -> interface.CarrierSwitch:
        return interface.CarrierSwitch(
            switch_id, self.exchange_number, self.state, self.zone, self.started_ns
        )

    def same_process(self, other: "SwitchListing | None") -> bool:
        """Whether the entries differ in zone or address at most."""
        return other is not None and replace(other, zone=self.zone, address=self.address) == self


class Messenger(Protocol):
    """Sends messages to the other gatekeepers; peer is an ordinal, None for all of them."""

    def send(self, peer: int | None, data: bytes) -> None: ...


class SwitchFactory(Protocol):
    def __call__(
        self, name: str, address: str, on_report: Callable[[interface.LoadReport], None]
    ) -> Switch: ...
