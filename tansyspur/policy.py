"""Routing and admission decisions of one gatekeeper: events in, actions out, without clock or I/O.

Settings, events and actions are the types of tansyspur/interface.py.

A call takes the direct trunk group to its destination while the group has free circuits. A blocked call may
take a tandem, chosen with probability proportional to the free fraction of the route through it (PSBU in its
remaining-capacity form), or waits in a queue for a circuit. Gatekeepers send each other fill reports of their
groups, more often as the groups fill. A switch, and the own processor, gets set-ups only while its congestion
window is open and the set-up delay to expect is below a limit that depends on the worth of the call.

All decisions keep these five rules. Code that goes beyond this routing is there to keep them, or for
deployments that this routing alone does not serve well.

1. A call gets one final answer, by the end of its try, and no attempt after that.
2. A call has at most one attempt under way.
3. A switch that drains or is gone gets no new set-ups.
4. All gatekeepers together send a cold switch, one that started recently, only a share of its full rate.
5. After an attempt that may still hold circuits, the next one waits for the release delay.
"""

import math
import random
import struct
from dataclasses import dataclass, field, replace
from itertools import takewhile

from tansyspur import interface
from tansyspur.interface import Cause, Effect, Outcome, SwitchListKind, SwitchState

# Trunk reservation: one circuit, two in a group of twenty or more.
MAX_RESERVED_CIRCUITS, RESERVED_SHARE = 2, 0.1

# Fill reports and the state learned from them
FULL_GROUP_REPORTS_PER_S = 1.0  # while our fullest group is full: the paper's alpha, see the design page
MAX_REPORT_INTERVAL_NS = 5_000_000_000  # while there are few readers, see the design page
REPORTS_PER_ANSWERED_CALL = 1.0  # bounds the cost of reports, which must not grow with the fleet
MEAN_FILL_WEIGHT = 0.05  # EWMA weight of the newest fill in the mean that is used for unobserved second legs
READER_TIMEOUT_NS = 60_000_000_000  # a peer reads our reports for this long after its last transit call here
RATE_HALF_LIFE_NS = 10_000_000_000  # of the rate of answered calls: about one mean holding time
FILL_STEPS = 250  # resolution of a fill in a report, one byte
NO_GROUP, UNKNOWN_FILL = 255, 254  # sent in place of a fill
MAX_FILLS = 240  # in one report, which is at most 256 bytes long
REPORT_FORMAT = 1  # first byte of a report; reports of another format are ignored

REPORT_TIMER, LIST_TIMER, QUEUE_TIMER = 0, 1, 2  # timer tokens
QUEUE_CHECK_TICKS = 10  # between checks of all queued calls; a change of a group checks its own at once

MAX_REFUSED_NUMBERS = (
    10_000  # remembered at a time, the oldest are forgotten first: one caller can call ever new ones
)

# Congestion window: set-ups outstanding at one switch, and through the own processor
INITIAL_WINDOW, INITIAL_OWN_WINDOW, MAX_WINDOW = 2.0, 8.0, 32.0
WINDOW_DECREASE_FACTOR = 0.7  # applied to the window on a slow answer

# Admission by expected set-up delay, and the delay estimators
MIN_LIMIT_SHARE = 0.6  # share of the delay limit for calls worth nothing; the class worth most gets all of it
# of that share, for a call answered past its objective: it is sent only while nothing is queued
LATE_LIMIT_SHARE = 0.1
IDLE_DELAY_FACTOR = 1.5  # up to this many base delays nothing is queued: a far switch never answers quickly
BASE_DELAY_WEIGHT = 0.02  # EWMA weight of a longer delay in the base delay
TANDEM_LIMIT_SHARE = 0.5  # share of the limit up to which a tandem is used: it loads two more processors
DELAY_LIMIT_SHARE = 0.5  # delay limit, as a share of the tightest delay objective
DELAY_WEIGHT = 0.4  # EWMA weight of the newest set-up delay
LOSS_WEIGHT = 0.3  # EWMA weight of the newest slow set-up in the share of those never answered
OWN_DELAY_WEIGHT = 0.1  # DELAY_WEIGHT for the own processor; a shorter delay replaces the estimate at once
DELAY_HALF_LIFE_LIMITS = 2.0  # half-life, in delay limits, of a delay that no newer one confirms

NEVER_STARTED = (Outcome.NO_ROOM, Outcome.NO_ROUTE, Outcome.NOT_SENT)  # nothing may be left at the far end
RESPONSES = (Outcome.NO_ROOM, Outcome.FAULT)  # responses of the far end other than an answer
UNANSWERED = (Outcome.TIMED_OUT, Outcome.CUT)  # no response: retried where a repeat does no harm
MAY_HOLD_CIRCUITS = (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CANCELLED)


@dataclass(slots=True)
class Call:
    """A call without a final answer."""

    offer: interface.CallOffered
    call_class: interface.CallClass
    offered_ns: int  # first try of the caller
    attempts: int = 0
    attempted_switch: interface.CarrierSwitch | None = None  # rule 2: set while an attempt is under way
    outcome_unknown: bool = False  # an attempt may have run at the far end
    next_attempt_ns: int = 0  # rule 5: no attempt before this time
    tandem_used: bool = False  # with a direct group, a call gets one tandem only


@dataclass(slots=True)
class Processor:
    """Congestion window and delay estimate of one processor, from the set-ups sent through it."""

    half_life_ns: float  # of delay_ns
    delay_ns: float = 0.0  # EWMA of the set-up delays
    delay_updated_ns: int = 0  # time of the last answer that counted
    base_delay_ns: float = 0.0  # lowest recent delay, the delay without queueing
    answered_sent_ns: int = 0  # send time of the newest answered set-up
    window: float = INITIAL_WINDOW
    outstanding: dict[int, int] = field(default_factory=dict)  # call id to send time, oldest first

    def queued_sent_ns(self) -> list[int]:
        """Send times of the set-ups that may still be in the processor's queue, newest first.

        The processor works in order: a set-up sent before one that was answered has left the queue, and its
        answer is lost or late for another reason. Without this, one lost answer would stop all calls to a
        switch that answers all others.
        """
        return list(
            takewhile(lambda sent_ns: sent_ns > self.answered_sent_ns, reversed(self.outstanding.values()))
        )

    def decayed_delay_ns(self, now_ns: int) -> float:
        return self.delay_ns * 0.5 ** ((now_ns - self.delay_updated_ns) / self.half_life_ns)

    def update(self, now_ns: int, delay_ns: float, slow: bool) -> None:
        """Set the smoothed delay and adapt the base delay and the window. slow: past the delay limit.

        The window grows by one set-up per window of answers and shrinks by a factor on a slow answer.
        """
        self.delay_ns, self.delay_updated_ns = delay_ns, now_ns
        if not slow:
            rise_ns = BASE_DELAY_WEIGHT * (delay_ns - self.base_delay_ns)
            self.base_delay_ns = (
                self.base_delay_ns + rise_ns if 0 < self.base_delay_ns < delay_ns else delay_ns
            )
        if slow:
            self.window = max(1.0, self.window * WINDOW_DECREASE_FACTOR)
        elif len(self.outstanding) + 1 >= self.window:
            self.window = min(MAX_WINDOW, self.window + 1 / self.window)


@dataclass(slots=True)
class Neighbour:
    """State of one exchange number: its switches, our trunk group toward it, and its own groups."""

    processor: Processor  # measured by direct set-ups only
    switches: dict[int, interface.CarrierSwitch] = field(default_factory=dict)  # by switch id
    free: float | None = None  # free circuits of our group, less those taken since its last report
    size: float | None = None  # circuits of our group; 0: there is no group
    # Its groups by exchange number: fill, 0 to 1, and when observed (ns; math.inf if there is no such group).
    second_legs: dict[int, tuple[float, float]] = field(default_factory=dict)
    ordinal: int | None = None  # of its gatekeeper among the peers
    last_transit_ns: float = -math.inf  # its last transit call here
    next_cold_ns: int = 0  # rule 4: earliest time of the next set-up while it is cold

    def in_service(self) -> interface.CarrierSwitch | None:
        candidates = (switch for switch in self.switches.values() if switch.state is SwitchState.IN_SERVICE)
        return next(candidates, None)


class Controller:
    """The decisions of one gatekeeper. The same settings, seed and events give the same actions."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.is_mesh = settings.shape == "mesh"
        self.random = random.Random(seed)
        self.calls: dict[int, Call] = {}
        self.neighbours: dict[int, Neighbour] = {}  # by exchange number
        self.exchange_numbers: dict[int, int] = {}  # by switch id
        self.list_requested = self.reports_started = self.first_report_sent = False
        self.answered_per_s, self.rate_updated_ns, self.first_list_ns = 0.0, 0, 0
        self.mean_fill = 0.0  # EWMA of the second legs observed; 0, empty, until one is
        self.next_report_number = 0  # first exchange number of the next fill report
        # Calls that wait for a circuit, by destination and call id.
        self.queued: dict[int, dict[int, Call]] = {}
        # Called numbers of refused calls, with the time of the first try.
        self.refused_numbers: dict[str, int] = {}
        self.queue_timer_set = False
        self.lost_share = 0.0  # EWMA of the slow set-ups that were never answered
        self.own_processor = Processor(0.0, window=INITIAL_OWN_WINDOW)  # passed by all set-ups
        self._apply_settings(settings)
        self.now_ns = 0
        self.actions: list[interface.Action] = []
        self.handlers = {
            interface.CallOffered: self._on_offered,
            interface.CallAnswered: self._on_answered,
            interface.AttemptEnded: self._on_attempt_ended,
            interface.GroupReport: self._on_group_report,
            interface.SwitchList: self._on_switch_list,
            interface.CallAbandoned: lambda event: self._remove_call(event.call_id),
            interface.PeerMessage: self._on_fill_report,
            interface.SettingsChanged: lambda event: self._apply_settings(event.settings),
            interface.AvoidedSwitchesQuery: self._on_avoided_query,
            interface.TimerDue: self._on_timer,
        }

    def handle(self, now_ns: int, event: interface.Event) -> list[interface.Action]:
        """Take one event at a time of the gatekeeper's clock; return the actions, in their order."""
        self.now_ns, self.actions = now_ns, []
        self.handlers[type(event)](event)
        return self.actions

    def _apply_settings(self, settings: interface.Settings) -> None:
        """Derive all that depends on the settings. Calls under way keep their class."""
        self.settings = settings
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        # A class that the settings do not name is served as the one worth least, and never repeated.
        least_worth = min(settings.classes, key=lambda call_class: call_class.worth)
        self.unknown_class = replace(least_worth, effect=Effect.AT_MOST_ONCE, pools=())
        self.max_worth = max(call_class.worth for call_class in settings.classes)
        limit_ns = DELAY_LIMIT_SHARE * min(call_class.objective_ns for call_class in settings.classes)
        self.limit_ns = min(limit_ns, settings.resend_ns or limit_ns)
        # Proportional to the objectives, which may be short: a slow answer must not outlast them by far.
        self.half_life_ns = DELAY_HALF_LIFE_LIMITS * limit_ns
        for processor in (
            self.own_processor,
            *(neighbour.processor for neighbour in self.neighbours.values()),
        ):
            processor.half_life_ns = self.half_life_ns

    # Routing

    def _on_offered(self, offer: interface.CallOffered) -> None:
        call_class = self.classes.get(offer.class_name, self.unknown_class)
        call = Call(offer, call_class, self._first_try_ns(offer, call_class))
        self.calls[offer.call_id] = call
        if offer.in_transit and offer.via in self.neighbours:
            self.neighbours[offer.via].last_transit_ns = self.now_ns
        self._route(call)

    def _first_try_ns(self, offer: interface.CallOffered, call_class: interface.CallClass) -> int:
        """When the caller first tried; the delay objective counts from there.

        Not all redials are marked. A refused number that is called again within the deadline counts as a
        redial, which may be wrong for numbers that many callers want.
        """
        while (
            self.refused_numbers
            and self.now_ns > next(iter(self.refused_numbers.values())) + call_class.deadline_ns
        ):
            del self.refused_numbers[next(iter(self.refused_numbers))]
        first_ns = (
            self.refused_numbers.pop(offer.called_number, None)
            if offer.called_number and not offer.was_cut
            else None
        )
        return first_ns or self.now_ns - (call_class.objective_ns if offer.redial else 0)

    def _route(self, call: Call) -> None:
        """Try the direct group, else a tandem, else queue the call for a circuit."""
        destination, transit = call.offer.destination, call.offer.in_transit
        if destination not in self.neighbours or self.now_ns >= call.offer.expires_ns:
            return self._refuse(call)
        direct, neighbour = self._available_switch(destination), self.neighbours[destination]
        delay_ns, limit_ns = self._expected_delay_ns(destination), self._call_limit_ns(call)
        reserve = self._reserved_circuits(destination) if transit else 0
        # A full window queues the call: a burst of queued calls would refill a processor queue just emptied.
        windows_open = (
            len(neighbour.processor.queued_sent_ns()) < neighbour.processor.window and self._own_window_open()
        )
        if windows_open and self.now_ns >= call.next_attempt_ns:  # rule 5: not before the release delay
            has_room = neighbour.free is None or neighbour.free >= call.offer.circuits + reserve
            if direct and has_room and delay_ns < limit_ns * (TANDEM_LIMIT_SHARE if transit else 1):
                return self._start_attempt(call, direct)
            # A call without a direct group depends on tandems: it may take another after a turn-back.
            may_use_tandem = (
                not transit and (direct or not self.is_mesh) and (not call.tandem_used or neighbour.size == 0)
            )
            tandem = (
                self._choose_tandem(call)
                if may_use_tandem and delay_ns < limit_ns * TANDEM_LIMIT_SHARE
                else None
            )
            if tandem:
                return self._start_attempt(call, tandem)
        return self._refuse(call) if transit else self._enqueue(call)

    def _enqueue(self, call: Call) -> None:
        """Queue a blocked call while it can still be answered within its objective.

        Past that, without an attempt left, or toward a switch that is gone, few queued calls were ever
        answered (design page); those are refused now.
        """
        neighbour, tick_ns = self.neighbours[call.offer.destination], self.settings.tick_ns
        useful_ns = min(call.offered_ns + call.call_class.objective_ns, call.offer.expires_ns)
        next_ns = max(self.now_ns + (QUEUE_CHECK_TICKS + 2) * tick_ns, call.next_attempt_ns)
        switch = neighbour.in_service()
        if switch and self._is_cold(switch):
            next_ns = max(next_ns, neighbour.next_cold_ns)
        if not switch or next_ns >= useful_ns or call.attempts >= self.settings.max_attempts:
            return self._refuse(call)
        self.queued.setdefault(call.offer.destination, {})[call.offer.call_id] = call
        if not self.queue_timer_set:
            self.queue_timer_set = True
            self.actions.append(interface.SetTimer(QUEUE_TIMER, self.now_ns + QUEUE_CHECK_TICKS * tick_ns))

    def _serve_queue(self, number: int | None) -> None:
        """Route the calls queued for one exchange number, worth most first, then newest first.

        In this order some are still in time when not all can be served. The other queues are left alone, as
        the work for a change of one group must not grow with the fleet.
        """
        waiting = self.queued.pop(number, {}).values()
        for call in sorted(waiting, key=lambda call: (-self._priority(call), -call.offered_ns)):
            self._route(call)

    def _priority(self, call: Call) -> float:
        """Worth earned per circuit and nanosecond of holding time."""
        return (
            call.call_class.worth
            * self._earned_share(call)
            / (call.call_class.circuits * max(call.call_class.holding_time_ns, 1))
        )

    def _earned_share(self, call: Call) -> float:
        """Share of its worth that a call earns if it is set up now; less than 1 past the delay objective."""
        late = (
            self.now_ns + self._expected_delay_ns(call.offer.destination)
            >= call.offered_ns + call.call_class.objective_ns
        )
        return call.call_class.late_worth if late and not call.offer.was_cut else 1.0

    def _call_limit_ns(self, call: Call) -> float:
        """Expected set-up delay up to which a call is sent; processors are kept for the calls worth most."""
        share = MIN_LIMIT_SHARE + (1 - MIN_LIMIT_SHARE) * min(1.0, call.call_class.worth / self.max_worth)
        if self._earned_share(call) == 1:
            return self.limit_ns * share
        idle_ns = IDLE_DELAY_FACTOR * self.neighbours[call.offer.destination].processor.base_delay_ns
        return min(self.limit_ns * share, max(self.limit_ns * share * LATE_LIMIT_SHARE, idle_ns))

    def _expected_delay_ns(self, number: int) -> float:
        """Set-up delay to expect: the smoothed delay, or the age of the oldest queued set-up if that is more.

        It is at least the estimate for the own processor, which all set-ups pass and which follows the
        fastest recent answers.
        """
        processor = self.neighbours[number].processor
        oldest_ns = min(processor.queued_sent_ns(), default=self.now_ns)
        return max(
            processor.decayed_delay_ns(self.now_ns),
            self.now_ns - oldest_ns,
            self.own_processor.decayed_delay_ns(self.now_ns),
        )

    def _own_window_open(self) -> bool:
        """Whether the congestion window of the own processor lets another set-up out.

        Set-ups that have passed this processor and wait at a far end don't count: switches that are silent,
        cut off or hung, or that reset connections or lose answers, must not stop the calls to all others
        (report L197d18). If all are silent, one more set-up may leave each delay limit, as nothing would be
        answered if nothing were sent. This may do harm at an own processor that is stopped (two more set-ups
        a second) and at one that takes set-ups out of order (too many).
        """
        queued_ns = self.own_processor.queued_sent_ns()
        return len(queued_ns) < self.own_processor.window or self.now_ns - queued_ns[0] >= self.limit_ns

    def _choose_tandem(self, call: Call) -> interface.CarrierSwitch | None:
        """PSBU: tandem j with probability (1 - u_j) / (n - sum of u); None if all n are full.

        u_j is the fill of the route through j. Tandems without enough circuits, or too slow, are left out.
        """
        destination = call.offer.destination
        routes = []
        circuits, limit_ns = call.offer.circuits, self._call_limit_ns(call) * TANDEM_LIMIT_SHARE
        for number in self.neighbours if self.is_mesh else call.call_class.pools:
            switch = None if number == destination else self._available_switch(number)
            has_room = switch and (self.neighbours[number].free or 0) >= circuits + self._reserved_circuits(
                number
            )
            if has_room and self._expected_delay_ns(number) <= limit_ns:
                routes.append((switch, 1 - self._route_fill(number, destination)))
        if sum(free_share for _, free_share in routes) <= 0:
            return None
        return self.random.choices(
            [switch for switch, _ in routes], [free_share for _, free_share in routes]
        )[0]

    def _reserved_circuits(self, number: int) -> float:
        """Circuits that tandem and transit calls leave free. Always two would close small groups to them."""
        return max(1.0, min(MAX_RESERVED_CIRCUITS, RESERVED_SHARE * (self.neighbours[number].size or 0)))

    def _route_fill(self, number: int, destination: int) -> float:
        """Fill of a tandem route, 0 to 1: that of its fuller leg. The first leg is known exactly."""
        tandem = self.neighbours[number]
        first = 1 - tandem.free / tandem.size if tandem.size else 1.0
        return min(1.0, max(0.0, first, self._second_leg_fill(number, destination) if self.is_mesh else 0.0))

    def _second_leg_fill(self, tandem: int, destination: int) -> float:
        """Estimated fill of a tandem's group, 0 to 1.

        It is the fill as last observed, in a report or by an answered or turned-back call, for as long as the
        longest interval between reports. After that it decays to the mean of the second legs observed.
        """
        fill, at_ns = self.neighbours[tandem].second_legs.get(destination, (self.mean_fill, self.now_ns))
        weight = 0.5 ** (max(0, self.now_ns - at_ns - MAX_REPORT_INTERVAL_NS) / MAX_REPORT_INTERVAL_NS)
        return self.mean_fill + (fill - self.mean_fill) * weight

    def _observe_second_legs(self, tandem: int, fills: dict[int, float]) -> None:
        self.neighbours[tandem].second_legs.update(
            {number: (fill, self.now_ns) for number, fill in fills.items()}
        )
        if fills:
            self.mean_fill += MEAN_FILL_WEIGHT * (sum(fills.values()) / len(fills) - self.mean_fill)

    def _available_switch(self, number: int) -> interface.CarrierSwitch | None:
        """A switch that takes a set-up now, or None.

        None while it drains or is gone (rule 3), or is cold and has had its share of set-ups (rule 4).
        """
        neighbour = self.neighbours.get(number)
        switch = neighbour.in_service() if neighbour else None
        cold_limited = switch and self._is_cold(switch) and self.now_ns < neighbour.next_cold_ns
        return None if cold_limited else switch

    def _is_cold(self, switch: interface.CarrierSwitch) -> bool:
        return switch.started_ns is not None and self.now_ns < switch.started_ns + self.settings.ramp_ns

    def _cold_interval_ns(self) -> int:
        """Interval between set-ups to a cold switch (rule 4): an equal part of what all gatekeepers may send.

        It holds at any fleet size. The full rate of the switch is taken from the rate of calls answered here,
        as comparable switches carry at least that. The time before its start earns no credit, and the
        gatekeepers' first set-ups are spread at random over the interval.
        """
        settings = self.settings
        per_s = self._answered_rate() * settings.overload_factor * settings.cold_share / settings.gatekeepers
        return int(min(settings.ramp_ns, 1e9 / max(per_s, 1e-9)))

    def _start_attempt(self, call: Call, switch: interface.CarrierSwitch) -> None:
        neighbour = self.neighbours[switch.exchange_number]
        # Rule 2: one attempt at a time.
        if call.attempted_switch or call.attempts >= self.settings.max_attempts:
            return self._refuse(call)
        neighbour.next_cold_ns = self.now_ns + self._cold_interval_ns()
        if neighbour.free is not None:
            neighbour.free -= call.offer.circuits  # counted as taken until the next report, which is exact
        if switch.exchange_number == call.offer.destination:
            neighbour.processor.outstanding[call.offer.call_id] = self.now_ns
        self.own_processor.outstanding[call.offer.call_id] = self.now_ns
        call.attempted_switch = switch
        call.attempts += 1
        call.tandem_used = call.tandem_used or switch.exchange_number != call.offer.destination
        self.actions.append(interface.SetUp(call.offer.call_id, switch.switch_id, self._timeout_ns(call)))

    def _timeout_ns(self, call: Call) -> int:
        """Time-out of an attempt; 0 waits as long as the caller does.

        Where most slow answers never come, the time-out leaves time for another attempt within the objective.
        Where they come late, another attempt would double the work of a slow switch. A jam looks the same to
        set-ups that are given up early, so this time-out is used only while other set-ups are
        answered (incident iaa6b83).
        """
        spare_ns = (
            call.offered_ns + call.call_class.objective_ns - self.now_ns - self.settings.release_delay_ns
        )
        retry = call.call_class.effect is Effect.REPEATABLE and call.attempts < self.settings.max_attempts
        retry = retry and not call.offer.in_transit and spare_ns > self.limit_ns and self.lost_share > 0.5
        retry = retry and self.now_ns - self.own_processor.answered_sent_ns < self.limit_ns
        return int(spare_ns / 2) if retry else 0

    def _refuse(self, call: Call) -> None:
        """Give the one final answer (rule 1).

        A call that may have run elsewhere fails, unless a repeat does no harm: its caller must not be invited
        to retry. Other callers are sent a time for their retry, where they heed it.
        """
        call_id = call.offer.call_id
        self._remove_call(call_id)
        if call.offer.called_number and not call.offer.in_transit:
            self.refused_numbers[call.offer.called_number] = call.offered_ns
            if len(self.refused_numbers) > MAX_REFUSED_NUMBERS:
                del self.refused_numbers[next(iter(self.refused_numbers))]
        refusable = call.call_class.effect is Effect.REPEATABLE or not call.outcome_unknown
        advised = not call.outcome_unknown and not call.offer.in_transit
        retry_after_ns = self._retry_after_ns(call) if advised else 0
        self.actions.append(
            interface.Refuse(call_id, retry_after_ns) if refusable else interface.Fail(call_id)
        )

    def _retry_after_ns(self, call: Call) -> int:
        """Time until the call may find room, at most max_retry_after_ns.

        The delay must decay to the limit, and circuits become free for all calls that wait.
        """
        max_ns, neighbour = self.settings.max_retry_after_ns, self.neighbours.get(call.offer.destination)
        if not max_ns or not neighbour or not neighbour.in_service():
            return max_ns
        excess = self._expected_delay_ns(call.offer.destination) / self._call_limit_ns(call)
        waiting = len(self.queued.get(call.offer.destination, ())) + 1
        circuits_ns = (
            waiting * call.offer.circuits * call.call_class.holding_time_ns / max(1.0, neighbour.size or 1.0)
        )
        return int(min(max_ns, max(self.half_life_ns * math.log2(max(1.0, excess)), circuits_ns)))

    def _remove_call(self, call_id: int) -> None:
        call = self.calls.pop(call_id, None)
        if call:
            self.queued.get(call.offer.destination, {}).pop(call_id, None)

    # Results of attempts

    def _on_answered(self, event: interface.CallAnswered) -> None:
        self._answered_rate(1)
        call = self.calls.get(event.call_id)
        if call and call.attempted_switch and call.attempted_switch.exchange_number != call.offer.destination:
            tandem, destination = call.attempted_switch.exchange_number, call.offer.destination
            self._observe_second_legs(tandem, {destination: self._second_leg_fill(tandem, destination) / 2})
        if event.elapsed_ns > self.limit_ns:
            self.lost_share *= 1 - LOSS_WEIGHT
        self._record_delay(event.call_id, event.switch_id, event.elapsed_ns, event.elapsed_ns)
        self._remove_call(event.call_id)

    def _record_delay(
        self, call_id: int, switch_id: int, delay_ns: float | None, own_ns: float | None
    ) -> None:
        """Remove a set-up from the outstanding ones and update the delay estimates, where its delay is known.

        delay_ns counts for the switch, own_ns for the own processor; None is no measurement. A set-up that
        was overtaken by an answered one is left out.
        """
        neighbour, own = self.neighbours.get(self.exchange_numbers.get(switch_id, -1)), self.own_processor
        processor = neighbour.processor if neighbour else Processor(self.half_life_ns)
        sent_ns = processor.outstanding.pop(call_id, 0)
        in_order = sent_ns > processor.answered_sent_ns
        if in_order and own_ns is not None:
            processor.answered_sent_ns = sent_ns
        if in_order and delay_ns is not None:
            ewma_ns = (1 - DELAY_WEIGHT) * processor.decayed_delay_ns(self.now_ns) + DELAY_WEIGHT * delay_ns
            processor.update(self.now_ns, ewma_ns, delay_ns > self.limit_ns)
        sent_ns = own.outstanding.pop(call_id, 0)
        if sent_ns >= max(1, own.answered_sent_ns) and own_ns is not None:
            own.answered_sent_ns = sent_ns
            ewma_ns = min(own_ns, own.delay_ns + OWN_DELAY_WEIGHT * (own_ns - own.delay_ns))
            own.update(self.now_ns, ewma_ns, ewma_ns > self.limit_ns)

    def _answered_rate(self, answered: int = 0) -> float:
        """Calls answered per second, a rate that one processor is known to carry; answered: calls to add.

        A decaying average, corrected for the short history after the first switch list.
        """
        self.answered_per_s *= 0.5 ** ((self.now_ns - self.rate_updated_ns) / RATE_HALF_LIFE_NS)
        self.answered_per_s += answered * 0.693e9 / RATE_HALF_LIFE_NS
        self.rate_updated_ns = self.now_ns
        return self.answered_per_s / max(
            0.05, 1 - 0.5 ** ((self.now_ns - self.first_list_ns) / RATE_HALF_LIFE_NS)
        )

    def _on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        self._update_group(event.switch_id, event.report)
        processor_full = event.cause in (Cause.PROCESSOR_FULL, Cause.FAR_PROCESSOR_FULL)
        sample_ns = (
            2 * self.limit_ns if processor_full or event.outcome is Outcome.NO_ROUTE else event.elapsed_ns
        )
        never_sent = event.outcome is Outcome.NOT_SENT
        no_delay = never_sent or event.outcome is Outcome.CUT  # a cut measures the connection, not a queue
        timed_out = event.outcome is Outcome.TIMED_OUT
        if timed_out and event.elapsed_ns > self.limit_ns:
            self.lost_share += LOSS_WEIGHT * (1 - self.lost_share)
        # Only a response measures the own processor; time-outs, cuts and missing routes are the far end's.
        own_ns = event.elapsed_ns if event.outcome in RESPONSES else None
        self._record_delay(event.call_id, event.switch_id, None if no_delay else sample_ns, own_ns)
        call = self.calls.get(event.call_id)
        if event.final or call is None:
            return self._remove_call(event.call_id)
        tandem, call.attempted_switch = call.attempted_switch, None
        if event.outcome not in NEVER_STARTED:
            call.outcome_unknown = True
        if event.outcome in MAY_HOLD_CIRCUITS:
            call.next_attempt_ns = self.now_ns + self.settings.release_delay_ns  # rule 5: release delay
        if tandem and event.cause is Cause.TURNED_BACK:
            self._observe_second_legs(tandem.exchange_number, {call.offer.destination: 1.0})
        repeatable = call.call_class.effect is Effect.REPEATABLE
        retry = event.cause is Cause.TURNED_BACK or event.outcome in UNANSWERED and repeatable
        # Route again at once if the far end took the last circuit first, as the call is blocked after all, or
        # if its signalling failed: a faulty switch may fail most set-ups at once and still take the others.
        faulted = event.outcome is Outcome.FAULT and event.cause is None
        if never_sent and event.cause is Cause.NO_CIRCUIT or faulted and repeatable:
            self._route(call)
        elif retry and not call.offer.in_transit:
            self._enqueue(call)
        else:
            self._refuse(call)

    def _on_group_report(self, event: interface.GroupReport) -> None:
        self._update_group(event.switch_id, event.report)
        self._serve_queue(self.exchange_numbers.get(event.switch_id))

    def _update_group(self, switch_id: int, report: interface.LoadReport | None) -> None:
        if switch_id in self.exchange_numbers and report is not None:
            neighbour = self.neighbours[self.exchange_numbers[switch_id]]
            neighbour.free = neighbour.free if report.free is None else report.free
            neighbour.size = neighbour.size if report.size is None else report.size

    # Switch list

    def _on_switch_list(self, event: interface.SwitchList) -> None:
        if event.kind is not SwitchListKind.FAILED:
            if event.kind is not SwitchListKind.CHANGES:
                for neighbour in self.neighbours.values():
                    neighbour.switches = {}
            for switch in event.switches:
                self._update_switch(switch)
            for switch in event.switches:
                self._serve_queue(self.exchange_numbers.get(switch.switch_id))
            self.first_list_ns = self.first_list_ns or self.now_ns
            if self.settings.may_message and not self.reports_started:
                self.reports_started = True
                # A random delay, so that the gatekeepers do not all report at the same time.
                wait_ns = int(self.random.random() * 1e9 / FULL_GROUP_REPORTS_PER_S)
                self.actions.append(interface.SetTimer(REPORT_TIMER, self.now_ns + wait_ns))
        if self.settings.list_on_request and (event.kind is SwitchListKind.FAILED or not self.list_requested):
            self.list_requested = True
            wait_ns = (
                self.settings.list_request_interval_ns // 4 if event.kind is SwitchListKind.FAILED else 0
            )
            self.actions.append(interface.SetTimer(LIST_TIMER, self.now_ns + wait_ns))

    def _update_switch(self, switch: interface.CarrierSwitch) -> None:
        if switch.exchange_number == self.settings.own_exchange:
            return
        neighbour = self.neighbours.setdefault(
            switch.exchange_number, Neighbour(Processor(self.half_life_ns))
        )
        self.exchange_numbers[switch.switch_id] = switch.exchange_number
        previous = neighbour.switches.pop(switch.switch_id, None)
        if switch.state is not SwitchState.GONE:
            neighbour.switches[switch.switch_id] = switch
            if self._is_cold(switch) and (previous is None or previous.started_ns != switch.started_ns):
                neighbour.next_cold_ns = self.now_ns + int(self.random.random() * self._cold_interval_ns())

    def _on_avoided_query(self, _: interface.AvoidedSwitchesQuery) -> None:
        """List the switches not in service, and those too slow for a call of any worth."""
        switch_ids = tuple(
            switch.switch_id
            for number, neighbour in self.neighbours.items()
            for switch in neighbour.switches.values()
            if switch is not neighbour.in_service() or self._expected_delay_ns(number) >= self.limit_ns
        )
        self.actions.append(interface.AvoidedSwitches(switch_ids))

    # Fill reports

    def _on_timer(self, event: interface.TimerDue) -> None:
        if event.token == REPORT_TIMER:
            self._send_fill_report()
        elif event.token == QUEUE_TIMER:
            self.queue_timer_set = False
            for number in list(self.queued):
                self._serve_queue(number)
        elif event.token == LIST_TIMER:
            self.actions.append(interface.SubscribeSwitchList())

    def _send_fill_report(self) -> None:
        """Report the fills of our groups and set the timer of the next report.

        A report has one byte for each exchange number from the first on; one that lacks room for all is
        continued by the next. The fuller the fullest group, the sooner the next report, within the rate that
        the answered calls allow.
        """
        numbers = sorted(self.neighbours) or [0]
        first = next((number for number in numbers if number >= self.next_report_number), numbers[0])
        rows = [self._fill_byte(number) for number in range(first, min(first + MAX_FILLS, numbers[-1] + 1))]
        self.next_report_number = first + len(rows)
        data = struct.pack(">BII", REPORT_FORMAT, self.settings.own_exchange or 0, first) + bytes(rows)
        readers = [
            peer.ordinal
            for peer in self.neighbours.values()
            if peer.last_transit_ns > self.now_ns - READER_TIMEOUT_NS
        ]
        reader_count = len(readers)
        # The first report goes to all peers, and so does one with a reader whose ordinal is not known yet.
        if not self.first_report_sent or None in readers:
            readers, reader_count, self.first_report_sent = [None], self.settings.gatekeepers, True
        for reader in readers:
            self.actions.append(interface.SendMessage(reader, data))
        fullest = max((row for row in rows if row <= FILL_STEPS), default=0) / FILL_STEPS
        interval_ns = min(MAX_REPORT_INTERVAL_NS, 1e9 / max(fullest * FULL_GROUP_REPORTS_PER_S, 1e-9))
        interval_ns = max(
            interval_ns,
            min(
                READER_TIMEOUT_NS,
                1e9 * reader_count / max(self._answered_rate() * REPORTS_PER_ANSWERED_CALL, 1e-9),
            ),
        )
        self.actions.append(interface.SetTimer(REPORT_TIMER, self.now_ns + int(interval_ns)))

    def _fill_byte(self, number: int) -> int:
        """Fill of our group as a byte of a report, with the reserved circuits counted as taken."""
        neighbour = self.neighbours.get(number)
        if neighbour is None or neighbour.size is None or neighbour.free is None:
            return UNKNOWN_FILL
        if not neighbour.size:
            return NO_GROUP
        fill = 1 - (neighbour.free - self._reserved_circuits(number)) / neighbour.size
        return round(FILL_STEPS * min(1.0, max(0.0, fill)))

    def _on_fill_report(self, event: interface.PeerMessage) -> None:
        """Take the fills from a peer's report, except those of unknown exchange numbers.

        A message that is not a fill report is ignored.
        """
        data, head_bytes = event.data, struct.calcsize(">BII")
        if (
            not head_bytes < len(data) <= head_bytes + MAX_FILLS
            or not 0 <= event.sender < self.settings.gatekeepers
        ):
            return
        version, sender, first = struct.unpack_from(">BII", data)
        if version != REPORT_FORMAT or sender not in self.neighbours:
            return
        neighbour = self.neighbours[sender]
        neighbour.ordinal = event.sender
        rows = {
            number: row for number, row in enumerate(data[head_bytes:], first) if number in self.neighbours
        }
        self._observe_second_legs(
            sender, {number: row / FILL_STEPS for number, row in rows.items() if row <= FILL_STEPS}
        )
        neighbour.second_legs.update(
            {number: (1.0, math.inf) for number, row in rows.items() if row == NO_GROUP}
        )
