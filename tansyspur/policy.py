"""Every decision of a softswitch. Settings, events and actions are the types of tansyspur/interface.py.

A call goes direct while its trunk group has room. A blocked call draws a tandem with probability
proportional to the free fraction of its route (PSBU, remaining-capacity form). Fill reports to peers come
faster as groups fill. The rest guards the five rules, or extends this where a deployment breaks it.
"""

import math
import random
import struct
from dataclasses import dataclass, field, replace
from itertools import takewhile

from tansyspur import interface
from tansyspur.interface import Cause, Effect, Outcome, SwitchListKind, SwitchState

MAX_RESERVED_CIRCUITS, RESERVED_SHARE = (
    2,
    0.1,
)  # trunk reservation: one circuit, two in a group of twenty or more
REPORTS_PER_S = 1.0  # fill reports a second from a group that is full: the paper's alpha, design page
REPORT_GAP_NS = 5_000_000_000  # longest gap between fill reports while few read them, design page
REPORTS_PER_CALL = 1.0  # reports sent for each call that stood: their cost must not grow with the fleet
MEAN_WEIGHT = 0.05  # weight of the newest outcome or report in the mean that unseen second legs count as
READER_NS = 60_000_000_000  # a peer reads our reports so long after its last transit call here
RATE_SPAN_NS = 10_000_000_000  # memory of the rate of calls that stood: about one mean call
FILL_STEPS = 250  # resolution of a fill in a message, one byte
NO_GROUP, UNKNOWN = 255, 254  # in place of a fill
REPORT_ROWS = 240  # fills in one message of at most 256 bytes
MESSAGE_FORMAT = 1  # first byte of a report; reports of another format are ignored
REPORT_TIMER, LIST_TIMER, HELD_TIMER = 0, 1, 2  # timer tokens
HELD_CHECK_TICKS = 10  # ticks between looks at the held calls, besides each change of a group
FIRST_WINDOW, FIRST_OWN, MOST_WINDOW = 2.0, 8.0, 32.0  # set-ups out to one exchange, and through our own
WINDOW_CUT = 0.7  # the window shrinks to this share on a slow answer
MIN_LIMIT_SHARE = 0.6  # share of the pressure limit for calls of no worth; the worthiest class gets all of it
LATE_LIMIT_SHARE = (
    0.1  # share of the pressure limit for a call that will stand late: only where nothing waits
)
IDLE_DELAY_FACTOR = (
    1.5  # nothing waits under so many of the least delays of late: a far exchange is never quick
)
LEAST_RISES = 0.02  # weight of a longer delay in the least one
TANDEM_LIMIT_SHARE = 0.5  # a tandem, two more processors' work, is drawn only under this share of the limit
DELAY_LIMIT_SHARE = (
    0.5  # share of the tightest aim that a set-up may take before its exchange counts as pressed
)
DELAY_WEIGHT = 0.4  # weight of the newest set-up delay
LOSS_WEIGHT = 0.3  # weight of the newest slow set-up in the share of them whose answer never came
OWN_WEIGHT = 0.1  # the same for the own processor; a quicker answer counts at once
DELAY_HALF_LIFE_LIMITS = 2.0  # half-life of a set-up delay that no newer one confirms, in pressure limits

NEVER_RAN = (Outcome.NO_ROOM, Outcome.NO_ROUTE, Outcome.NOT_SENT)  # nothing may be left at the far end
ANSWERS = (Outcome.NO_ROOM, Outcome.FAULT)  # besides a call that stands
LOST = (Outcome.TIMED_OUT, Outcome.CUT)  # no answer came: tried again where that does no harm
NEEDS_RELEASE = (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CANCELLED)


@dataclass(slots=True)
class Call:
    offer: interface.CallOffered
    kind: interface.CallClass
    offered_ns: int
    attempts: int = 0
    out_to: interface.CarrierSwitch | None = None  # rule 2: set while an attempt is out
    in_doubt: bool = False  # an attempt may have run at the far end
    ready_ns: int = 0  # rule 5: not sent before this
    drawn: bool = False  # it has had its one tandem


@dataclass(slots=True)
class Line:
    """One processor: the set-ups out through it, and how long they take to be answered."""

    fades_ns: float  # half-life of the delay
    delay_ns: float = 0.0  # smoothed
    delay_at_ns: int = 0  # of the last answer
    least_ns: float = 0.0  # the least delay of late
    passed_ns: int = 0  # when the newest set-up that was answered had been sent
    window: float = FIRST_WINDOW
    out: dict[int, int] = field(default_factory=dict)  # set-ups out, oldest first, and when sent

    def waiting(self) -> list[int]:
        """When the set-ups that may still be in its queue were sent, newest first. It works in order, so what
        left before one that was answered has passed it, and its answer is lost or late for another reason.
        One lost answer must not silence an exchange that answers all others."""
        return list(takewhile(lambda at_ns: at_ns > self.passed_ns, reversed(self.out.values())))

    def faded(self, now: int) -> float:
        return self.delay_ns * 0.5 ** ((now - self.delay_at_ns) / self.fades_ns)

    def answered(self, now: int, delay_ns: float, slow: bool) -> None:
        self.delay_ns, self.delay_at_ns = delay_ns, now
        if not slow:
            rise_ns = LEAST_RISES * (delay_ns - self.least_ns)
            self.least_ns = self.least_ns + rise_ns if 0 < self.least_ns < delay_ns else delay_ns
        if slow:
            self.window = max(1.0, self.window * WINDOW_CUT)
        elif len(self.out) + 1 >= self.window:
            self.window = min(MOST_WINDOW, self.window + 1 / self.window)


@dataclass(slots=True)
class Neighbour:
    """What is known of one exchange number: its processes, our group toward it, and its own groups."""

    line: Line  # its processor, by direct set-ups
    exchanges: dict[int, interface.CarrierSwitch] = field(default_factory=dict)
    free: float | None = None
    size: float | None = None
    legs: dict[int, tuple[float, float]] = field(
        default_factory=dict
    )  # its groups' fills, and when seen: never old if missing
    ordinal: int | None = None
    read_ns: float = -math.inf  # its last transit call here
    next_cold_ns: int = 0  # rule 4: earliest time of the next set-up while it is cold

    def serving(self) -> interface.CarrierSwitch | None:
        in_service = (one for one in self.exchanges.values() if one.state is SwitchState.IN_SERVICE)
        return next(in_service, None)


class Controller:
    """The decisions of one softswitch. handle() is its only way in; it has no clock and does no I/O."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.mesh = settings.shape == "mesh"
        self.random = random.Random(seed)
        self.calls: dict[int, Call] = {}
        self.neighbours: dict[int, Neighbour] = {}
        self.numbers: dict[int, int] = {}  # exchange id to number
        self.asked_list = self.reporting = self.introduced = False
        self.stood_rate, self.stood_ns, self.first_ns = 0.0, 0, 0  # calls a second
        self.mean_fill = 0.0  # of the second legs seen of late; as long as none was, they count as empty
        self.report_from = 0  # first number of the next report
        self.held: dict[int, dict[int, Call]] = {}  # calls that wait for room, by destination
        self.refused: dict[str, int] = {}  # numbers of refused calls, and when they were first tried
        self.held_timer = False
        self.losing = 0.0  # share of the slow set-ups of late whose answer never came
        self.own = Line(0.0, window=FIRST_OWN)  # the own processor, by all set-ups
        self._settle(settings)
        self.now = 0
        self.actions: list[interface.Action] = []
        self.handlers = {
            interface.CallOffered: self._offered,
            interface.CallAnswered: self._stands,
            interface.AttemptEnded: self._attempt_ended,
            interface.GroupReport: self._group_changed,
            interface.SwitchList: self._list,
            interface.CallAbandoned: lambda event: self._forget(event.call_id),
            interface.PeerMessage: self._message,
            interface.SettingsChanged: lambda event: self._settle(event.settings),
            interface.AvoidedSwitchesQuery: self._avoided,
            interface.TimerDue: self._timer,
        }

    def handle(self, now_ns: int, event: interface.Event) -> list[interface.Action]:
        self.now, self.actions = now_ns, []
        self.handlers[type(event)](event)
        return self.actions

    def _settle(self, settings: interface.Settings) -> None:
        """All that follows from the settings, at the start and when they change. A call keeps its class."""
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        # A class that the settings do not name is served as the least worthy, and never repeated.
        least = min(settings.classes, key=lambda kind: kind.worth)
        self.unknown = replace(least, effect=Effect.AT_MOST_ONCE, pools=())
        self.top_worth = max(kind.worth for kind in settings.classes)
        limit_ns = DELAY_LIMIT_SHARE * min(kind.objective_ns for kind in settings.classes)
        self.limit_ns = min(limit_ns, settings.resend_ns or limit_ns)
        self.fades_ns = (
            DELAY_HALF_LIFE_LIMITS * limit_ns
        )  # aims may be short: a slow answer must not outlast them by far
        for line in (self.own, *(neighbour.line for neighbour in self.neighbours.values())):
            line.fades_ns = self.fades_ns

    # Routes

    def _offered(self, offer: interface.CallOffered) -> None:
        kind = self.classes.get(offer.class_name, self.unknown)
        call = Call(offer, kind, self._first_try(offer, kind))
        self.calls[offer.call_id] = call
        if offer.in_transit and offer.via in self.neighbours:
            self.neighbours[offer.via].read_ns = self.now
        self._route(call)

    def _first_try(self, offer: interface.CallOffered, kind: interface.CallClass) -> int:
        """When the caller first tried, from which the aim counts. A refused number called again soon is taken
        for a redial, as not all redials are marked. It may misjudge numbers that many callers want."""
        while self.refused and self.now > next(iter(self.refused.values())) + kind.deadline_ns:
            del self.refused[next(iter(self.refused))]
        first_ns = (
            self.refused.pop(offer.called_number, None) if offer.called_number and not offer.was_cut else None
        )
        return first_ns or self.now - (kind.objective_ns if offer.redial else 0)

    def _route(self, call: Call) -> None:
        """Direct while the group has room, else a drawn tandem, else the call is held for room."""
        destination, transit = call.offer.destination, call.offer.in_transit
        if destination not in self.neighbours or self.now >= call.offer.expires_ns:
            return self._refuse(call)
        direct, neighbour = self._open(destination), self.neighbours[destination]
        pressure, limit = self._pressure(destination), self._limit(call)
        reserve = self._reserved(destination) if transit else 0
        # A full window holds the call: a burst of held calls would refill a queue that has just drained.
        within = len(neighbour.line.waiting()) < neighbour.line.window and self._own_takes()
        if within and self.now >= call.ready_ns:  # rule 5
            fits = neighbour.free is None or neighbour.free >= call.offer.circuits + reserve
            if direct and fits and pressure < limit * (TANDEM_LIMIT_SHARE if transit else 1):
                return self._set_up(call, direct)
            # Without a group of its own a call lives on tandems: it draws again after a turn-back.
            may_draw = not transit and (direct or not self.mesh) and (not call.drawn or neighbour.size == 0)
            tandem = self._draw(call) if may_draw and pressure < limit * TANDEM_LIMIT_SHARE else None
            if tandem:
                return self._set_up(call, tandem)
        return self._refuse(call) if transit else self._hold(call)

    def _hold(self, call: Call) -> None:
        """A blocked call waits for a circuit while it could still stand in time. Later, without an attempt
        left, or toward an exchange that is gone, few ever stood (design page): those are answered at once."""
        neighbour, tick_ns = self.neighbours[call.offer.destination], self.settings.tick_ns
        useful_ns = min(call.offered_ns + call.kind.objective_ns, call.offer.expires_ns)
        next_ns = max(self.now + (HELD_CHECK_TICKS + 2) * tick_ns, call.ready_ns)
        exchange = neighbour.serving()
        if exchange and self._cold(exchange):
            next_ns = max(next_ns, neighbour.next_cold_ns)
        if not exchange or next_ns >= useful_ns or call.attempts >= self.settings.max_attempts:
            return self._refuse(call)
        self.held.setdefault(call.offer.destination, {})[call.offer.call_id] = call
        if not self.held_timer:
            self.held_timer = True
            self.actions.append(interface.SetTimer(HELD_TIMER, self.now + HELD_CHECK_TICKS * tick_ns))

    def _serve_held(self, number: int | None) -> None:
        """Most valuable first, then newest first: when not all can be served, some are still in time.
        A change of one group serves only the calls that wait for it: work must not grow with the fleet."""
        waiting = self.held.pop(number, {}).values()
        for call in sorted(waiting, key=lambda call: (-self._value(call), -call.offered_ns)):
            self._route(call)

    def _value(self, call: Call) -> float:
        """Worth a circuit-second; a call past its aim earns only its late share."""
        return call.kind.worth * self._late(call) / (call.kind.circuits * max(call.kind.holding_time_ns, 1))

    def _late(self, call: Call) -> float:
        late = self.now + self._pressure(call.offer.destination) >= call.offered_ns + call.kind.objective_ns
        return call.kind.late_worth if late and not call.offer.was_cut else 1.0

    def _limit(self, call: Call) -> float:
        """Set-up delay up to which an exchange takes this call: processors are kept for what earns most."""
        share = MIN_LIMIT_SHARE + (1 - MIN_LIMIT_SHARE) * min(1.0, call.kind.worth / self.top_worth)
        if self._late(call) == 1:
            return self.limit_ns * share
        idle_ns = IDLE_DELAY_FACTOR * self.neighbours[call.offer.destination].line.least_ns
        return min(self.limit_ns * share, max(self.limit_ns * share * LATE_LIMIT_SHARE, idle_ns))

    def _pressure(self, number: int) -> float:
        """Set-up delay to expect: the smoothed one, or the age of the oldest set-up in the queue; no less
        than through the own processor, which all set-ups pass: there the quickest of late."""
        line = self.neighbours[number].line
        oldest = min(line.waiting(), default=self.now)
        return max(line.faded(self.now), self.now - oldest, self.own.faded(self.now))

    def _own_takes(self) -> bool:
        """The window of the own processor. A set-up that has passed it waits at a far end. A part of the
        fleet that is silent, cut off, hung, resetting or losing answers must not silence the rest (report
        L197d18). Nor may all being silent: with nothing sent nothing would answer, so one more leaves each
        limit. It may hurt at an own processor that stands still (two more set-ups a second), and where one
        takes set-ups out of order (too many)."""
        waiting = self.own.waiting()
        return len(waiting) < self.own.window or self.now - waiting[0] >= self.limit_ns

    def _draw(self, call: Call) -> interface.CarrierSwitch | None:
        """PSBU: tandem j with probability (1 - u_j) / (n - sum of u); none, and held, if all read full."""
        destination = call.offer.destination
        routes = []
        needs, limit = call.offer.circuits, self._limit(call) * TANDEM_LIMIT_SHARE
        for number in self.neighbours if self.mesh else call.kind.pools:
            exchange = None if number == destination else self._open(number)
            fits = exchange and (self.neighbours[number].free or 0) >= needs + self._reserved(number)
            if fits and self._pressure(number) <= limit:
                routes.append((exchange, 1 - self._fill(number, destination)))
        if sum(room for _, room in routes) <= 0:
            return None
        return self.random.choices([route for route, _ in routes], [room for _, room in routes])[0]

    def _reserved(self, number: int) -> float:
        """Circuits that tandem and transit calls leave free; always two would close small groups to them."""
        return max(1.0, min(MAX_RESERVED_CIRCUITS, RESERVED_SHARE * (self.neighbours[number].size or 0)))

    def _fill(self, number: int, destination: int) -> float:
        """The larger of the first leg's exact fill and what is known of the second's."""
        tandem = self.neighbours[number]
        first = 1 - tandem.free / tandem.size if tandem.size else 1.0
        return min(1.0, max(0.0, first, self._second_leg(number, destination) if self.mesh else 0.0))

    def _second_leg(self, tandem: int, destination: int) -> float:
        """As last seen, in a report or by a call that stood or was turned back, for the longest gap between
        reports; from then on it fades to the mean of what is seen of second legs."""
        seen, at_ns = self.neighbours[tandem].legs.get(destination, (self.mean_fill, self.now))
        fades = 0.5 ** (max(0, self.now - at_ns - REPORT_GAP_NS) / REPORT_GAP_NS)
        return self.mean_fill + (seen - self.mean_fill) * fades

    def _saw_legs(self, tandem: int, fills: dict[int, float]) -> None:
        self.neighbours[tandem].legs.update({number: (fill, self.now) for number, fill in fills.items()})
        if fills:
            self.mean_fill += MEAN_WEIGHT * (sum(fills.values()) / len(fills) - self.mean_fill)

    def _open(self, number: int) -> interface.CarrierSwitch | None:
        """Rules 3 and 4: an exchange to send to now; none while it drains, is gone or is cold and full."""
        neighbour = self.neighbours.get(number)
        exchange = neighbour.serving() if neighbour else None
        cold_full = exchange and self._cold(exchange) and self.now < neighbour.next_cold_ns
        return None if cold_full else exchange

    def _cold(self, exchange: interface.CarrierSwitch) -> bool:
        return exchange.started_ns is not None and self.now < exchange.started_ns + self.settings.ramp_ns

    def _cold_gap_ns(self) -> int:
        """Rule 4: an equal share of what all senders may send, at any fleet size: comparable exchanges carry
        at least what ours sends. No credit from before a start, and the first not all at once."""
        settings = self.settings
        share = self._rate() * settings.overload_factor * settings.cold_share / settings.gatekeepers
        return int(min(settings.ramp_ns, 1e9 / max(share, 1e-9)))

    def _set_up(self, call: Call, exchange: interface.CarrierSwitch) -> None:
        neighbour = self.neighbours[exchange.exchange_number]
        if call.out_to or call.attempts >= self.settings.max_attempts:  # rule 2
            return self._refuse(call)
        neighbour.next_cold_ns = self.now + self._cold_gap_ns()
        if neighbour.free is not None:
            neighbour.free -= call.offer.circuits  # taken at once; the next report is exact again
        if exchange.exchange_number == call.offer.destination:
            neighbour.line.out[call.offer.call_id] = self.now
        self.own.out[call.offer.call_id] = self.now
        call.out_to = exchange
        call.attempts += 1
        call.drawn = call.drawn or exchange.exchange_number != call.offer.destination
        self.actions.append(interface.SetUp(call.offer.call_id, exchange.switch_id, self._time_out_ns(call)))

    def _time_out_ns(self, call: Call) -> int:
        """Where slow answers mostly never come, a set-up is given up early enough to try again in time. Where
        they come late it would double the work of a slow exchange; 0 waits as long as the caller does. A jam
        looks the same to set-ups given up early, so others must still be answered (incident iaa6b83)."""
        spare_ns = call.offered_ns + call.kind.objective_ns - self.now - self.settings.release_delay_ns
        again = call.kind.effect is Effect.REPEATABLE and call.attempts < self.settings.max_attempts
        again = again and not call.offer.in_transit and spare_ns > self.limit_ns and self.losing > 0.5
        again = again and self.now - self.own.passed_ns < self.limit_ns
        return int(spare_ns / 2) if again else 0

    def _refuse(self, call: Call) -> None:
        """Rule 1: the final answer. A call that may have run elsewhere must not be invited to come again.
        Others are told when to come back, where callers heed it."""
        call_id = call.offer.call_id
        self._forget(call_id)
        if call.offer.called_number and not call.offer.in_transit:
            self.refused[call.offer.called_number] = call.offered_ns
        refusable = call.kind.effect is Effect.REPEATABLE or not call.in_doubt
        advised = not call.in_doubt and not call.offer.in_transit
        retry_after_ns = self._room_in_ns(call) if advised else 0
        self.actions.append(
            interface.Refuse(call_id, retry_after_ns) if refusable else interface.Fail(call_id)
        )

    def _room_in_ns(self, call: Call) -> int:
        """When this call may find room: as the delay has faded, and as circuits free for those that wait."""
        most_ns, neighbour = self.settings.max_retry_after_ns, self.neighbours.get(call.offer.destination)
        if not most_ns or not neighbour or not neighbour.serving():
            return most_ns
        over = self._pressure(call.offer.destination) / self._limit(call)
        waiting = len(self.held.get(call.offer.destination, ())) + 1
        circuits_ns = (
            waiting * call.offer.circuits * call.kind.holding_time_ns / max(1.0, neighbour.size or 1.0)
        )
        return int(min(most_ns, max(self.fades_ns * math.log2(max(1.0, over)), circuits_ns)))

    def _forget(self, call_id: int) -> None:
        call = self.calls.pop(call_id, None)
        if call:
            self.held.get(call.offer.destination, {}).pop(call_id, None)

    # What comes back

    def _stands(self, event: interface.CallAnswered) -> None:
        self._rate(1)
        call = self.calls.get(event.call_id)
        if call and call.out_to and call.out_to.exchange_number != call.offer.destination:
            tandem, destination = call.out_to.exchange_number, call.offer.destination
            self._saw_legs(tandem, {destination: self._second_leg(tandem, destination) / 2})
        if event.elapsed_ns > self.limit_ns:
            self.losing *= 1 - LOSS_WEIGHT
        self._answered(event.call_id, event.switch_id, event.elapsed_ns, event.elapsed_ns)
        self._forget(event.call_id)

    def _answered(self, call_id: int, switch_id: int, delay_ns: float | None, own_ns: float | None) -> None:
        neighbour, own = self.neighbours.get(self.numbers.get(switch_id, -1)), self.own
        line = neighbour.line if neighbour else Line(self.fades_ns)
        sent_ns = line.out.pop(call_id, 0)
        in_order = sent_ns > line.passed_ns
        if in_order and own_ns is not None:
            line.passed_ns = sent_ns
        if in_order and delay_ns is not None:
            smoothed = (1 - DELAY_WEIGHT) * line.faded(self.now) + DELAY_WEIGHT * delay_ns
            line.answered(self.now, smoothed, delay_ns > self.limit_ns)
        sent_ns = own.out.pop(call_id, 0)
        if sent_ns >= max(1, own.passed_ns) and own_ns is not None:
            own.passed_ns = sent_ns
            quickest = min(own_ns, own.delay_ns + OWN_WEIGHT * (own_ns - own.delay_ns))
            own.answered(self.now, quickest, quickest > self.limit_ns)

    def _rate(self, stood: int = 0) -> float:
        """Calls a second that stood of late, or since our start: what one processor is known to carry."""
        self.stood_rate *= 0.5 ** ((self.now - self.stood_ns) / RATE_SPAN_NS)
        self.stood_rate += stood * 0.693e9 / RATE_SPAN_NS
        self.stood_ns = self.now
        return self.stood_rate / max(0.05, 1 - 0.5 ** ((self.now - self.first_ns) / RATE_SPAN_NS))

    def _attempt_ended(self, event: interface.AttemptEnded) -> None:
        self._group(event.switch_id, event.report)
        full = event.cause in (Cause.PROCESSOR_FULL, Cause.FAR_PROCESSOR_FULL)
        sample = 2 * self.limit_ns if full or event.outcome is Outcome.NO_ROUTE else event.elapsed_ns
        never_sent = event.outcome is Outcome.NOT_SENT
        no_delay = never_sent or event.outcome is Outcome.CUT  # that is a connection's, and tells of no queue
        timed_out = event.outcome is Outcome.TIMED_OUT
        if timed_out and event.elapsed_ns > self.limit_ns:
            self.losing += LOSS_WEIGHT * (1 - self.losing)
        # Only an answer tells of the own processor: a time-out, a cut or a missing route is a far end's.
        own_ns = event.elapsed_ns if event.outcome in ANSWERS else None
        self._answered(event.call_id, event.switch_id, None if no_delay else sample, own_ns)
        call = self.calls.get(event.call_id)
        if event.final or call is None:
            return self._forget(event.call_id)
        tandem, call.out_to = call.out_to, None
        if event.outcome not in NEVER_RAN:
            call.in_doubt = True
        if event.outcome in NEEDS_RELEASE:
            call.ready_ns = self.now + self.settings.release_delay_ns  # rule 5
        if tandem and event.cause is Cause.TURNED_BACK:
            self._saw_legs(tandem.exchange_number, {call.offer.destination: 1.0})
        repeatable = call.kind.effect is Effect.REPEATABLE
        again = event.cause is Cause.TURNED_BACK or event.outcome in LOST and repeatable
        # The far end took the last circuit first: blocked after all. Or its signalling failed, which leaves
        # nothing to wait for: a sick exchange may fail most set-ups, at once, and still take the others.
        faulted = event.outcome is Outcome.FAULT and event.cause is None
        if never_sent and event.cause is Cause.NO_CIRCUIT or faulted and repeatable:
            self._route(call)
        elif again and not call.offer.in_transit:
            self._hold(call)
        else:
            self._refuse(call)

    def _group_changed(self, event: interface.GroupReport) -> None:
        self._group(event.switch_id, event.report)
        self._serve_held(self.numbers.get(event.switch_id))

    def _group(self, switch_id: int, report: interface.LoadReport | None) -> None:
        if switch_id in self.numbers and report is not None:
            neighbour = self.neighbours[self.numbers[switch_id]]
            neighbour.free = neighbour.free if report.free is None else report.free
            neighbour.size = neighbour.size if report.size is None else report.size

    # The list of exchanges

    def _list(self, event: interface.SwitchList) -> None:
        if event.kind is not SwitchListKind.FAILED:
            if event.kind is not SwitchListKind.CHANGES:
                for neighbour in self.neighbours.values():
                    neighbour.exchanges = {}
            for exchange in event.switches:
                self._entry(exchange)
            for exchange in event.switches:
                self._serve_held(self.numbers.get(exchange.switch_id))
            self.first_ns = self.first_ns or self.now
            if self.settings.may_message and not self.reporting:
                self.reporting = True
                wait_ns = int(self.random.random() * 1e9 / REPORTS_PER_S)  # so that not all report at once
                self.actions.append(interface.SetTimer(REPORT_TIMER, self.now + wait_ns))
        if self.settings.list_on_request and (event.kind is SwitchListKind.FAILED or not self.asked_list):
            self.asked_list = True
            wait_ns = (
                self.settings.list_request_interval_ns // 4 if event.kind is SwitchListKind.FAILED else 0
            )
            self.actions.append(interface.SetTimer(LIST_TIMER, self.now + wait_ns))

    def _entry(self, exchange: interface.CarrierSwitch) -> None:
        if exchange.exchange_number == self.settings.own_exchange:
            return
        neighbour = self.neighbours.setdefault(exchange.exchange_number, Neighbour(Line(self.fades_ns)))
        self.numbers[exchange.switch_id] = exchange.exchange_number
        known = neighbour.exchanges.pop(exchange.switch_id, None)
        if exchange.state is not SwitchState.GONE:
            neighbour.exchanges[exchange.switch_id] = exchange
            if self._cold(exchange) and (known is None or known.started_ns != exchange.started_ns):
                neighbour.next_cold_ns = self.now + int(self.random.random() * self._cold_gap_ns())

    def _avoided(self, _: interface.AvoidedSwitchesQuery) -> None:
        """Those that drain, and those whose processor no call is sent to, however much it is worth."""
        switch_ids = tuple(
            exchange.switch_id
            for number, neighbour in self.neighbours.items()
            for exchange in neighbour.exchanges.values()
            if exchange is not neighbour.serving() or self._pressure(number) >= self.limit_ns
        )
        self.actions.append(interface.AvoidedSwitches(switch_ids))

    # Fill reports

    def _timer(self, event: interface.TimerDue) -> None:
        if event.token == REPORT_TIMER:
            self._report()
        elif event.token == HELD_TIMER:
            self.held_timer = False
            for number in list(self.held):
                self._serve_held(number)
        elif event.token == LIST_TIMER:
            self.actions.append(interface.SubscribeSwitchList())

    def _report(self) -> None:
        """Our groups' fills, one byte a number from the first on, sooner the fuller the fullest group is."""
        numbers = sorted(self.neighbours) or [0]
        first = next((number for number in numbers if number >= self.report_from), numbers[0])
        steps = [self._step(number) for number in range(first, min(first + REPORT_ROWS, numbers[-1] + 1))]
        self.report_from = first + len(steps)
        data = struct.pack(">BII", MESSAGE_FORMAT, self.settings.own_exchange or 0, first) + bytes(steps)
        readers = [peer.ordinal for peer in self.neighbours.values() if peer.read_ns > self.now - READER_NS]
        count = len(readers)
        # The first goes to all; a reader whose ordinal is not known yet is reached with all the rest.
        if not self.introduced or None in readers:
            readers, count, self.introduced = [None], self.settings.gatekeepers, True
        for reader in readers:
            self.actions.append(interface.SendMessage(reader, data))
        fullest = max((step for step in steps if step <= FILL_STEPS), default=0) / FILL_STEPS
        gap_ns = min(REPORT_GAP_NS, 1e9 / max(fullest * REPORTS_PER_S, 1e-9))
        gap_ns = max(gap_ns, min(READER_NS, 1e9 * count / max(self._rate() * REPORTS_PER_CALL, 1e-9)))
        self.actions.append(interface.SetTimer(REPORT_TIMER, self.now + int(gap_ns)))

    def _step(self, number: int) -> int:
        """A group's fill as a report's byte, with the circuits in reserve counted as taken."""
        neighbour = self.neighbours.get(number)
        if neighbour is None or neighbour.size is None or neighbour.free is None:
            return UNKNOWN
        if not neighbour.size:
            return NO_GROUP
        fill = 1 - (neighbour.free - self._reserved(number)) / neighbour.size
        return round(FILL_STEPS * min(1.0, max(0.0, fill)))

    def _message(self, event: interface.PeerMessage) -> None:
        """A peer's report. Rows for unknown exchanges are passed over; what is no report changes nothing."""
        data, head = event.data, struct.calcsize(">BII")
        if not head < len(data) <= head + REPORT_ROWS or not 0 <= event.sender < self.settings.gatekeepers:
            return
        version, sender, first = struct.unpack_from(">BII", data)
        if version != MESSAGE_FORMAT or sender not in self.neighbours:
            return
        neighbour = self.neighbours[sender]
        neighbour.ordinal = event.sender
        rows = {n: step for n, step in enumerate(data[head:], first) if n in self.neighbours}
        self._saw_legs(sender, {n: step / FILL_STEPS for n, step in rows.items() if step <= FILL_STEPS})
        neighbour.legs.update({n: (1.0, math.inf) for n, step in rows.items() if step == NO_GROUP})
