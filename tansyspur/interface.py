"""The types between a softswitch and the decisions in tansyspur/policy.py: settings, events, actions.

Times are integer nanoseconds (suffix _ns). A figure that is not known is None, never zero or -1.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeated set-up of a class may do at the far exchange."""

    REPEATABLE = "repeatable"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at most once"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    ENDED = "ended"  # the call stood to its end, or the probe was answered
    FAULT = "fault"  # all lines of the number busy, or a signalling fault
    NO_ROOM = "no room"  # turned back, or a processor or pool was full
    TIMED_OUT = "timed out"  # no answer in time; the set-up may have gone on
    NO_ROUTE = "no route"  # no connection to the exchange
    CUT = "cut"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # no circuit free, own processor down, too late, or too many attempts


class Cause(Enum):
    """Why an attempt did not stand, where that is told."""

    NO_CIRCUIT = "no circuit"
    TURNED_BACK = "turned back by the tandem"
    FAR_PROCESSOR_FULL = "turned back: the processor beyond was full"
    PROCESSOR_FULL = "processor full"
    NUMBER_BUSY = "all lines of the number busy"


class ExchangeState(Enum):
    IN_SERVICE = "in service"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    STALE_COPY = "stale copy"  # the whole list, as last held
    FAILED = "failed"  # asking for the list failed; the old one stays


@dataclass(slots=True, frozen=True)
class CallClass:
    name: str
    worth: float
    aim_ns: int  # a call that stands within this time earns its full worth
    deadline_ns: int
    late_worth: float = 0.0  # share of the worth between aim and deadline
    hold_ns: int = 0  # mean length of a call, 0 if not told
    circuits: float = 1
    effect: Effect = Effect.REPEATABLE
    same_group: str = "all"  # deduplicated: repeats only to the same "zone" or "cell", or to "all"
    window_ns: int = 0
    pools: tuple[int, ...] = ()  # shape "pools": where calls of this class may go


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[CallClass, ...]
    own_exchange: int | None = None  # number of the exchange where this softswitch runs
    shape: str = "mesh"  # or "pools"
    softswitches: int = 1
    ordinal: int = 0  # number of this softswitch among its peers; not an exchange number
    tick_ns: int = 5_000_000
    release_ns: int = 0
    resend_ns: int = 0
    cold_share: float = 0.1
    ramp_ns: int = 20_000_000_000
    overload_factor: float = 1.0
    fall_ns: int = 1_000_000_000
    max_attempts: int = 1
    max_retry_advice_ns: int = 0  # 0: callers are told no time to come back
    may_probe: bool = False
    may_message: bool = False
    may_recall: bool = False
    says_wait: bool = False
    advice: bool = False
    list_on_request: bool = False
    ask_list_every_ns: int = 10_000_000_000

    def __post_init__(self) -> None:
        """Impossible settings are named at once, not met in the middle of a day."""
        if self.shape not in ("mesh", "pools"):
            raise ValueError(f"shape: unknown value {self.shape!r}")
        if self.shape == "mesh" and self.own_exchange is None:
            raise ValueError("own_exchange: a mesh needs the number of the own exchange")
        if self.softswitches < 1 or not self.classes:
            raise ValueError("softswitches, classes: at least one of each is needed")


@dataclass(slots=True, frozen=True)
class Exchange:
    exchange_id: int
    number: int
    state: ExchangeState
    zone: str = ""
    started_ns: int | None = None  # last processor start; None: long ago


@dataclass(slots=True, frozen=True)
class Report:
    """Free circuits and size of the own group toward an exchange, then its processor's late figures."""

    free: float | None = None
    size: float | None = None
    queue: float | None = None
    busy: float | None = None  # share of the processor
    wait_ms: float | None = None
    takes_per_s: float | None = None  # new set-ups a second it can take from all senders
    hold_back: float | None = None  # share of new set-ups it asks each sender to hold back


@dataclass(slots=True, frozen=True)
class ExchangeList:
    kind: ListKind
    exchanges: tuple[Exchange, ...] = ()


@dataclass(slots=True, frozen=True)
class CallOffered:
    call_id: int
    class_name: str
    expires_ns: int  # when the caller gives this try up
    destination: int  # exchange number
    circuits: float = 1
    number: str = ""  # the number called
    via: int | None = None  # in transit: exchange number of the sender; else a centre's advice
    in_transit: bool = False
    redial: bool = False
    was_cut: bool = False


@dataclass(slots=True, frozen=True)
class CallStands:
    call_id: int
    attempt: int
    exchange_id: int
    elapsed_ns: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    call_id: int
    attempt: int
    exchange_id: int
    outcome: Outcome
    elapsed_ns: int = 0
    final: bool = False  # the caller has the answer; nothing more is owed
    cause: Cause | None = None
    wait_ms: int = 0  # told by a full processor where says_wait is set
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class CallGone:
    call_id: int


@dataclass(slots=True, frozen=True)
class GroupReport:
    """A probe's answer, or (unasked) a change of the own group toward an exchange."""

    exchange_id: int
    outcome: Outcome
    elapsed_ns: int = 0
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int  # its ordinal
    data: bytes


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """From now on these hold. Shape, own exchange, ordinal and number of softswitches stay as they were."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class AvoidedAsked:
    """Which exchanges get no calls now? The one action in answer is Avoided."""


@dataclass(slots=True, frozen=True)
class TimerDue:
    token: int


Event = (
    ExchangeList
    | CallOffered
    | CallStands
    | AttemptEnded
    | CallGone
    | GroupReport
    | PeerMessage
    | SettingsChanged
    | AvoidedAsked
    | TimerDue
)


@dataclass(slots=True, frozen=True)
class SetUp:
    call_id: int
    exchange_id: int
    time_out_ns: int = 0  # 0: until the caller gives up


@dataclass(slots=True, frozen=True)
class Refuse:
    call_id: int
    retry_in_ns: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    call_id: int


@dataclass(slots=True, frozen=True)
class Recall:
    call_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    token: int
    at_ns: int


@dataclass(slots=True, frozen=True)
class Probe:
    exchange_id: int


@dataclass(slots=True, frozen=True)
class SendMessage:
    peer: int | None  # an ordinal; None: every peer
    data: bytes


@dataclass(slots=True, frozen=True)
class AskList:
    """Subscribe to changes of the exchange list."""


@dataclass(slots=True, frozen=True)
class Avoided:
    exchange_ids: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = SetUp | Refuse | Fail | Recall | SetTimer | Probe | SendMessage | AskList | Avoided | Log
