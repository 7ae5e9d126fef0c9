"""Types exchanged between a gatekeeper and the decision module in tansyspur/policy.py.

The gatekeeper gives the module its settings and then one event at a time; the module returns actions. Times are
integer nanoseconds of the gatekeeper's clock (suffix _ns). A value that is not known is None, never zero or -1.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeated set-up of a class may do at the far switch."""

    REPEATABLE = "repeatable"  # a repeat does no harm
    DEDUPLICATED = "deduplicated"  # a repeat is recognized, see CallClass.dedup_scope
    AT_MOST_ONCE = "at most once"  # must not be repeated once it may have run


class Outcome(Enum):
    """How an attempt or a probe ended. The values are part of the log format."""

    ENDED = "ended"  # the answered call ended normally, or the probe was answered
    FAULT = "fault"  # all lines of the number busy, or a signalling fault
    NO_ROOM = "no room"  # turned back by the tandem, or a processor or pool was full
    TIMED_OUT = "timed out"  # no answer in time; the switch may still have completed the set-up
    NO_ROUTE = "no route"  # no connection to the switch
    CUT = "cut"  # interrupted, for example by a lost connection or a restart of the switch
    CANCELLED = "cancelled"  # by the gatekeeper
    NOT_SENT = "not sent"  # no circuit free, own processor down, too late, or too many attempts


class Cause(Enum):
    """Why an attempt was not answered, where the switch reported it. The values are part of the log format."""

    NO_CIRCUIT = "no circuit"
    TURNED_BACK = "turned back by the tandem"
    FAR_PROCESSOR_FULL = "turned back: the processor beyond was full"
    PROCESSOR_FULL = "processor full"
    NUMBER_BUSY = "all lines of the number busy"


class SwitchState(Enum):
    """State of a carrier switch in the list from discovery. The values are part of the log format."""

    IN_SERVICE = "in service"
    DRAINING = "draining"  # takes no new set-ups; its answered calls go on
    GONE = "gone"


class SwitchListKind(Enum):
    """Which switches the entries of a SwitchList are, and how current."""

    CHANGES = "changes"  # only the switches that changed
    COMPLETE = "complete"  # all switches; one that is missing is gone
    STALE_COPY = "stale copy"  # all switches, as last received; may be out of date
    FAILED = "failed"  # the request for the list failed; the previous list stays valid


@dataclass(slots=True, frozen=True)
class CallClass:
    """A class of calls: what a call is worth, how soon it must be answered and which circuits it takes."""

    name: str
    worth: float  # earned by a call that is answered within the objective
    objective_ns: int  # delay objective: a call answered within this time earns its full worth
    deadline_ns: int  # the longest that a caller waits
    late_worth: float = 0.0  # share of the worth earned between objective and deadline, 0 to 1
    holding_time_ns: int = 0  # mean holding time of a call; 0: not known
    circuits: float = 1  # circuits that a call takes
    effect: Effect = Effect.REPEATABLE
    dedup_scope: str = "all"  # DEDUPLICATED: repeats only to the same "zone" or "cell", or to "all"
    dedup_window_ns: int = 0  # DEDUPLICATED: how long a repeat is recognized
    pools: tuple[int, ...] = ()  # shape "pools": exchange numbers that may take calls of this class


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gatekeeper. Raises ValueError for a combination that cannot work."""

    classes: tuple[CallClass, ...]
    own_exchange: int | None = None  # exchange number of the switch where this gatekeeper runs
    shape: str = "mesh"  # of the network: "mesh" or "pools"
    gatekeepers: int = 1  # number of gatekeepers in the tier, this one included
    ordinal: int = 0  # number of this gatekeeper among its peers; not an exchange number
    tick_ns: int = 5_000_000  # time step in which the module counts its checks
    release_delay_ns: int = 0  # rule 5: wait after an attempt that may still hold circuits, before the next
    resend_ns: int = 0  # an unanswered set-up is sent again after this; bounds the delay limit; 0: none
    cold_share: float = 0.1  # rule 4: share of its full rate that all senders may send to a cold switch
    ramp_ns: int = 20_000_000_000  # rule 4: for this long after its start a switch is cold
    overload_factor: float = 1.0  # rule 4: full rate of a switch, as a multiple of the rate of answered calls
    fall_ns: int = 1_000_000_000  # rule 4: window over which the rate to a cold switch is judged
    max_attempts: int = 1  # attempts for one call
    max_retry_after_ns: int = 0  # longest retry-after time sent to callers; 0: none is sent
    may_probe: bool = False  # Probe is available
    may_message: bool = False  # SendMessage is available
    may_cancel: bool = False  # CancelAttempt is available
    refusals_carry_wait: bool = False  # a refusal by a full processor has AttemptEnded.processor_wait_ms
    via_is_advice: bool = False  # CallOffered.via of a call that is not in transit is an advised tandem
    list_on_request: bool = False  # the switch list comes after SubscribeSwitchList only
    list_request_interval_ns: int = 10_000_000_000  # a failed request is repeated after a quarter of it

    def __post_init__(self) -> None:
        """Reject impossible settings at once, rather than when a decision first needs them."""
        if self.shape not in ("mesh", "pools"):
            raise ValueError(f"shape: expected 'mesh' or 'pools', not {self.shape!r}")
        if self.shape == "mesh" and self.own_exchange is None:
            raise ValueError("own_exchange: shape 'mesh' needs the exchange number of the own switch")
        if self.gatekeepers < 1 or not self.classes:
            raise ValueError("gatekeepers, classes: at least one of each is needed")


@dataclass(slots=True, frozen=True)
class CarrierSwitch:
    """An entry of the switch list. Several entries may have the same exchange number."""

    switch_id: int  # chosen by the gatekeeper, and kept while the switch is listed
    exchange_number: int
    state: SwitchState
    zone: str = ""
    started_ns: int | None = None  # last processor start; None: long ago


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Circuits of the own trunk group toward a switch, and the load of the switch's processor a moment ago."""

    free: float | None = None  # free circuits of the group
    size: float | None = None  # circuits of the group
    queue: float | None = None  # set-ups that wait for the processor
    utilization: float | None = None  # share of the processor that is in use, 0 to 1
    latency_ms: float | None = None  # time that a set-up waits for the processor
    capacity_per_s: float | None = None  # new set-ups a second that it can take from all senders
    # share of new set-ups that each sender is requested to hold back, 0 to 1
    hold_back_share: float | None = None


@dataclass(slots=True, frozen=True)
class SwitchList:
    kind: SwitchListKind
    switches: tuple[CarrierSwitch, ...] = ()


@dataclass(slots=True, frozen=True)
class CallOffered:
    """A caller requests a call. Unless an attempt is answered, the module must Refuse or Fail it by expires_ns."""

    call_id: int
    class_name: str
    expires_ns: int  # when the caller gives up this try
    destination: int  # exchange number
    circuits: float = 1  # circuits that the call takes
    called_number: str = ""
    via: int | None = None  # exchange number: in transit of the sender, else of an advised tandem
    in_transit: bool = False  # sent by another gatekeeper: this one is the tandem
    redial: bool = False  # the caller marked it as another try of a call that was refused or failed
    was_cut: bool = False  # another try of a call that had been answered and was then cut


@dataclass(slots=True, frozen=True)
class CallAnswered:
    call_id: int
    attempt: int  # number of the attempt, from 0
    switch_id: int
    elapsed_ns: int  # from the set-up to the answer


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended, before or after its answer."""

    call_id: int
    attempt: int  # number of the attempt, from 0
    switch_id: int
    outcome: Outcome
    elapsed_ns: int = 0  # since the set-up
    final: bool = False  # the caller has its final answer; no further decision is needed
    cause: Cause | None = None
    processor_wait_ms: int = 0  # reported by a full processor where Settings.refusals_carry_wait is set
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class CallAbandoned:
    """The call needs no further decision: its caller has left, or has had its final answer."""

    call_id: int


@dataclass(slots=True, frozen=True)
class GroupReport:
    """The answer to a probe, or, without one, a change of the own trunk group toward a switch."""

    switch_id: int
    outcome: Outcome
    elapsed_ns: int = 0  # since the probe
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message that another gatekeeper sent with SendMessage."""

    sender: int  # ordinal of the peer
    data: bytes


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings, in force from now on.

    Shape, own exchange number, ordinal and number of gatekeepers must be those of the settings before.
    """

    settings: Settings


@dataclass(slots=True, frozen=True)
class AvoidedSwitchesQuery:
    """Requests the switches that get no calls at the moment. The only action in response is AvoidedSwitches."""


@dataclass(slots=True, frozen=True)
class TimerDue:
    token: int  # of the SetTimer


Event = (
    SwitchList
    | CallOffered
    | CallAnswered
    | AttemptEnded
    | CallAbandoned
    | GroupReport
    | PeerMessage
    | SettingsChanged
    | AvoidedSwitchesQuery
    | TimerDue
)


@dataclass(slots=True, frozen=True)
class SetUp:
    """Start an attempt. It is answered with CallAnswered or AttemptEnded."""

    call_id: int
    switch_id: int
    timeout_ns: int = 0  # 0: until the caller gives up


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: there is no room, and the caller may try again."""

    call_id: int
    retry_after_ns: int = 0  # 0: no time is sent to the caller


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the call failed. It may have run, so that the caller must not be invited to try again."""

    call_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    call_id: int
    attempt: int  # number of the attempt, from 0


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request TimerDue with this token at the time at_ns."""

    token: int
    at_ns: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Request the load of a switch. It is answered with GroupReport."""

    switch_id: int


@dataclass(slots=True, frozen=True)
class SendMessage:
    peer: int | None  # an ordinal; None: every peer
    data: bytes


@dataclass(slots=True, frozen=True)
class SubscribeSwitchList:
    """Subscribe to changes of the switch list."""


@dataclass(slots=True, frozen=True)
class AvoidedSwitches:
    switch_ids: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = (
    SetUp
    | Refuse
    | Fail
    | CancelAttempt
    | SetTimer
    | Probe
    | SendMessage
    | SubscribeSwitchList
    | AvoidedSwitches
    | Log
)
