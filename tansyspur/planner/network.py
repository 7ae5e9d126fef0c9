"""Erlang fixed-point (reduced-load) model of the mesh: trunk groups, processors, tandems and redials.

Each pair of store switches offers its calls to its own trunk group. A call that finds the group full draws one tandem
with a probability proportional to the free fraction of the route, as the decision module (tansyspur.policy) does;
otherwise it waits for a circuit until it could no longer be answered in time; otherwise the caller dials again. Each
group and each processor sees the sum of these flows as if they were independent Poisson streams (Katz 1967; Akinpelu
1984), and the iteration looks for flows and blocking probabilities that are consistent with each other.

A gatekeeper sends set-ups only while the set-up delays that it measures are under a limit. "Open" means that this
condition holds, for its own processor or for a route to another switch.

Rates are in calls per second, loads in erlang, times in seconds. Matrices are origin by destination.
"""

from dataclasses import dataclass, field, fields

import numpy as np
from numpy.typing import NDArray

from tansyspur import policy
from tansyspur.planner import groups, processors
from tansyspur.planner.fleet import Fleet, Load

Array = NDArray[np.float64]
INITIAL_STEP = 0.5  # damping of the first iteration
TOLERANCE = 1e-6
MAX_ITERATIONS = 120
ENDLESS_PHASE_S = 1e9
HELD_MARGIN_S = 0.06  # the module stops holding a blocked call this long before its objective
# Parameters of the model of admission and of competition for circuits; their sources are in
# docs/design/capacity-planner.md.
DELAY_NOISE = 0.35  # standard deviation of the logarithm of a smoothed set-up delay
# The own delay is an expectile of the delays at OWN_DELAY_WEIGHT / (1 + OWN_DELAY_WEIGHT); for a normal distribution
# that lies so many standard deviations below the mean.
OWN_DELAY_EXPECTILE = 0.88
QUICK_WAIT_SHARE = 0.4  # the same expectile of the sum of four queueing waits, as a share of their mean
OWN_DELAY_NOISE = 0.2  # standard deviation of the logarithm of the quickest recent answer
OWN_WAIT_SHARE = 0.8  # share of the own processor's wait that is contained even in the quickest answers
OPEN_PERIOD_S = 2.5  # time scale on which a limited route or processor opens and closes
# While calls wait at both ends of a group, both ends try to take each circuit that becomes free: the share of these
# circuits that one end loses to the other.
RACE_LOSS_SHARE = 0.7
# A caller who dials again soon after finding a group full will probably find it full again. This effect fades
# exponentially: its time constant, in mean holding times.
GROUP_MEMORY_HOLDING_TIMES = 0.5
# Gauss-Hermite quadrature with three points: nodes in standard deviations, and weights
NODES, WEIGHTS = (-(3**0.5), 0.0, 3**0.5), (1 / 6, 2 / 3, 1 / 6)


@dataclass(slots=True, frozen=True)
class ModelParts:
    """Mechanisms that the model includes; each can be switched off to study its effect or to compare with theory."""

    tandems: bool = True
    waiting: bool = True  # blocked calls are held for a circuit
    processors: bool = True
    redials: bool = True


ALL_PARTS = ModelParts()


@dataclass(slots=True)
class Demand:
    """First tries by class: calls per second, and the offered load in erlang if none of them were lost."""

    rate: list[Array]
    erlang: list[Array]


@dataclass(slots=True)
class State:
    """Variables of the fixed point, passed from one iteration to the next; rates are in calls per second."""

    direct_blocking: list[Array]  # by class and pair: no circuit is free
    overflow_blocking: list[Array]  # the same: too few circuits are free for tandem and transit calls
    fill: Array
    redial_rate: list[Array]
    redial_accepted: list[Array]  # rate of redials that would take a free circuit: processors accept them
    accepted: list[Array]  # share of the first tries that the processors of both ends accept in time
    first_legs: list[Array]  # rate of answered calls over a tandem, by class: first legs, origin by tandem
    second_legs: list[Array]  # the same, second legs, tandem by destination
    first_leg_tries: list[Array]  # rate at which first legs are tried
    direct_answered: list[Array]  # rate of answered calls without a tandem, by pair
    wait_s: Array  # mean wait at each processor
    undisturbed_wait_s: Array  # the same while no other work runs

    def arrays(self) -> list[list[Array]]:
        """The arrays of each field, in the order of the fields."""
        values = [getattr(self, item.name) for item in fields(self)]
        return [value if isinstance(value, list) else [value] for value in values]

    def flat(self) -> Array:
        """All variables as one vector."""
        return np.concatenate([array.ravel() for arrays in self.arrays() for array in arrays])

    def moved_toward(self, other: "State", step: float) -> "State":
        """Linear interpolation: this state for step 0, the other one for step 1."""
        mixed = [
            [a + step * (b - a) for a, b in zip(own_arrays, other_arrays, strict=True)]
            for own_arrays, other_arrays in zip(self.arrays(), other.arrays(), strict=True)
        ]
        pairs = zip(mixed, fields(self), strict=True)
        return State(
            *(arrays if isinstance(getattr(self, item.name), list) else arrays[0] for arrays, item in pairs)
        )


@dataclass(slots=True)
class Solution:
    """Outcome of the first tries by class and pair, as shares; what is neither in time nor late is lost."""

    in_time: list[Array]
    late: list[Array]
    tandem: list[Array]  # share of the calls that are answered in time over a tandem
    blocking: list[Array]  # probability that a direct call finds no circuit
    offered: Array  # erlang offered to each group, including overflow and redials
    fill: Array
    wait_s: Array  # mean wait at each processor
    admitted: Array  # share of the time that each processor takes the calls of lowest worth
    residual: float
    iterations: int
    converged: bool
    state: State = field(repr=False)


class Network:
    """Model of one fleet and load. The load gives the classes and the callers' behaviour; rates come as Demand."""

    def __init__(self, fleet: Fleet, load: Load, parts: ModelParts = ALL_PARTS) -> None:
        self.fleet, self.load, self.parts = fleet, load, parts
        self.n = n = len(fleet.switches)
        self.index = {name: i for i, name in enumerate(fleet.names)}
        self.circuits = np.zeros((n, n))
        for group in fleet.groups:
            i, j = (self.index[end] for end in group.ends)
            self.circuits[i, j] = self.circuits[j, i] = group.circuits
        self.upper_triangle = np.triu_indices(n, 1)
        self.sizes = self.circuits[self.upper_triangle]
        self.reserved = np.maximum(
            1.0, np.minimum(policy.MAX_RESERVED_CIRCUITS, policy.RESERVED_SHARE * self.sizes)
        )
        self.transmission_s = np.array(
            [[fleet.delay_s(a, b) if a is not b else 0.0 for b in fleet.switches] for a in fleet.switches]
        )
        self.setups_per_s = np.array([switch.setups_per_s for switch in fleet.switches], dtype=float)
        self.queue_limit_s = np.array([switch.queue_limit_s for switch in fleet.switches], dtype=float)
        self.other_on_s = np.array([switch.other_on_s for switch in fleet.switches], dtype=float)
        self.other_off_s = np.array([switch.other_off_s for switch in fleet.switches], dtype=float)
        # Other work that never pauses is one endless phase.
        self.phase_s = np.where(self.other_off_s > 0, self.other_on_s, ENDLESS_PHASE_S)
        self.time_share, self.speed = processors.phases(
            np.array([switch.other_share for switch in fleet.switches], dtype=float), self.other_on_s,
            self.other_off_s,
        )  # fmt: skip
        self.power = self.setups_per_s[:, None] * self.speed  # work per second, by phase
        # Set-up delay without waits: the work of the set-up and of its answer at both ends, and the round trip.
        own_work_s = (self.time_share / self.power).sum(1)
        self.work_s = own_work_s[:, None] + own_work_s[None, :]
        self.base_delay_s = (1 + fleet.work.answer) * self.work_s + 2 * self.transmission_s
        self.classes = load.classes
        self.widths = [call_class.width for call_class in self.classes]
        self.by_worth = sorted(range(len(self.classes)), key=lambda c: -self.classes[c].worth)
        max_worth = max(call_class.worth for call_class in self.classes)
        limit = policy.DELAY_LIMIT_SHARE * min(call_class.objective_s for call_class in self.classes)
        # As policy.Controller computes it: the set-up delay up to which a switch is sent calls of the class
        self.delay_limits_s = [
            limit * (policy.MIN_LIMIT_SHARE + (1 - policy.MIN_LIMIT_SHARE) * call_class.worth / max_worth)
            for call_class in self.classes
        ]
        self.half_life_s = policy.DELAY_HALF_LIFE_LIMITS * limit  # of a delay that no newer one confirms
        self.pairs = ~np.eye(n, dtype=bool)

    # Steps of one iteration

    def _as_matrix(self, by_group: Array) -> Array:
        """Values by group as a symmetric matrix."""
        matrix = np.zeros((self.n, self.n))
        matrix[self.upper_triangle] = by_group
        return matrix + matrix.T

    def _by_group(self, matrix: Array) -> Array:
        """Sum of both directions, by group."""
        return (matrix + matrix.T)[self.upper_triangle]

    def _processors(self, demand: Demand, state: State) -> processors.ProcessorState:
        """Waits at the processors, by phase.

        Calls that a switch sends are held back by its own gatekeeper, which looks at the quickest recent answer; calls
        that it receives, by the other gatekeepers, each of which looks at the smoothed delay of its own calls there.
        Sets `outgoing_open` and `incoming_open`.
        """
        work, count = self.fleet.work, len(self.classes)
        sent, received = np.zeros((count, self.n)), np.zeros((count, self.n))
        other, squares = np.zeros(self.n), np.zeros(self.n)
        for c in range(count):
            first, second, tries, direct = (
                state.first_legs[c],
                state.second_legs[c],
                state.first_leg_tries[c],
                state.direct_answered[c],
            )
            # Rate if no call were held back: the accepted calls divided by the accepted share.
            wanted = direct / np.maximum(state.accepted[c], 0.02)
            sent[c] = wanted.sum(1) + tries.sum(1) + second.sum(1)
            received[c] = wanted.sum(0) + second.sum(0)
            looks = (demand.rate[c] + state.redial_rate[c]).sum(1) + tries.sum(0)
            answered = direct.sum(1) + direct.sum(0) + first.sum(1) + first.sum(0) + second.sum(0)
            other += looks * work.look + answered * (work.answer + work.release)
            squares += (
                sent[c] + received[c] + looks * work.look**2 + answered * (work.answer**2 + work.release**2)
            )
        rates = sum(demand.rate) + sum(state.redial_rate)
        remote_wait_s = float(state.wait_s.mean())
        in_share = rates / np.maximum(rates.sum(0), 1e-12)[None, :]
        base_in = (in_share * self.base_delay_s).sum(0)
        quick_out = self._quickest_answer(self.base_delay_s, rates, float(state.undisturbed_wait_s.mean()))
        rate_in = np.maximum(rates.sum(0) / max(1, self.n - 1), 1e-3)

        def open_shares(wait: Array) -> tuple[list[Array], list[Array]]:
            quickest = quick_out[:, None] + 2 * OWN_WAIT_SHARE * wait
            mean_in = (base_in + 2 * remote_wait_s)[:, None] + 2 * wait
            outgoing, incoming = [], []
            for c in range(count):
                outgoing.append(self._own_open_share(quickest, self.delay_limits_s[c]))
                incoming.append(
                    self._route_open_share(
                        mean_in, np.broadcast_to(rate_in[:, None], wait.shape), self.delay_limits_s[c]
                    )
                )
            return outgoing, incoming

        def offered_work(wait: Array) -> Array:
            outgoing, incoming = open_shares(wait)
            total = np.broadcast_to(other[:, None], wait.shape).copy()
            for c, call_class in enumerate(self.classes):
                total += sent[c][:, None] * self._passed_share(outgoing[c], call_class.objective_s)
                total += received[c][:, None] * self._passed_share(incoming[c], call_class.objective_s)
            return total

        wait, rejected = processors.equilibrium(
            self.power, self.queue_limit_s[:, None], squares[:, None], offered_work
        )
        utilization = offered_work(np.zeros_like(wait)) / self.power
        wait = processors.transient_waits(wait, utilization, self.phase_s, self.other_off_s)
        self.outgoing_open, self.incoming_open = open_shares(wait)
        time_share = processors.repeat_for_levels(self.time_share)
        time_share[:, 1:] /= len(processors.PHASE_LEVELS)
        return processors.ProcessorState(
            time_share, processors.repeat_for_levels(self.speed), wait, processors.repeat_for_levels(rejected)
        )

    def _passed_share(self, open_share: Array, objective_s: float) -> Array:
        """Share of the calls that are sent within the objective if sending is possible for open_share of the time."""
        closed = np.maximum(1 - open_share, 1e-9)
        return 1 - closed * np.exp(-objective_s * np.minimum(open_share / closed / OPEN_PERIOD_S, 50.0))

    def _delays(self, processor_state: processors.ProcessorState) -> tuple[Array, Array]:
        """Mean set-up delay, and the delay until a release frees the circuit."""
        wait = processor_state.mean_wait_s
        waits = wait[:, None] + wait[None, :]
        return (
            self.base_delay_s + 2 * waits,
            waits + self.fleet.work.release * self.work_s + self.transmission_s,
        )

    def _processor_shares(
        self, c: int, processor_state: processors.ProcessorState, base_delay_s: Array
    ) -> tuple[Array, Array, Array]:
        """Shares of the set-ups of a class, by pair, over the phases of both ends.

        They are those that processors accept at once, that they accept at all, and that are answered within the
        objective.
        """
        objective_s = self.classes[c].objective_s
        at_once, at_all, in_time = (np.zeros((self.n, self.n)) for _ in range(3))
        phase_ends = -np.expm1(-objective_s / np.maximum(self.phase_s, 1e-9))
        for a in range(processor_state.time_share.shape[1]):
            for b in range(processor_state.time_share.shape[1]):
                time_share = (
                    processor_state.time_share[:, a][:, None] * processor_state.time_share[:, b][None, :]
                )
                if not time_share.any():
                    continue
                outgoing, incoming = (
                    self.outgoing_open[c][:, a][:, None],
                    self.incoming_open[c][:, b][None, :],
                )
                out_passed, in_passed = (
                    self._passed_share(outgoing, objective_s),
                    self._passed_share(incoming, objective_s),
                )
                if a:
                    out_passed = out_passed + (1 - out_passed) * phase_ends[:, None]
                if b:
                    in_passed = in_passed + (1 - in_passed) * phase_ends[None, :]
                kept = (1 - processor_state.rejected[:, a])[:, None] * (1 - processor_state.rejected[:, b])[
                    None, :
                ]
                now, ever = outgoing * incoming * kept, out_passed * in_passed * kept
                waits = 2 * (processor_state.wait_s[:, a][:, None] + processor_state.wait_s[:, b][None, :])
                within = self._within(base_delay_s + waits, base_delay_s, objective_s)
                remaining = np.clip((objective_s - base_delay_s - waits) / objective_s, 0.0, 1.0)
                at_once += time_share * now
                at_all += time_share * ever
                in_time += time_share * (now * within + (ever - now) * remaining)
        return at_once, at_all, in_time

    def _route_open_share(self, delay: Array, rate: Array, limit: Array | float) -> Array:
        """Share of the time that the module's smoothed delay of a route is under a limit.

        The smoothed delay is updated by the answer of each call (weight DELAY_WEIGHT) and decays with a half-life of
        DELAY_HALF_LIFE_LIMITS delay limits. The intervals between calls are exponential.
        """
        rate = np.maximum(rate, 1e-3)
        kept = rate / (rate + np.log(2) / self.half_life_s)
        mean = policy.DELAY_WEIGHT * delay / (1 - (1 - policy.DELAY_WEIGHT) * kept)
        open_share = np.zeros_like(delay)
        for node, weight in zip(NODES, WEIGHTS, strict=True):
            half_lives = np.log2(np.maximum(mean * np.exp(DELAY_NOISE * node) / np.maximum(limit, 1e-9), 1.0))
            open_share += weight * np.exp(-rate * self.half_life_s * half_lives)
        return open_share

    def _quickest_answer(self, base_delay_s: Array, rates: Array, remote_wait_s: float) -> Array:
        """The quickest recent answer, by which the module judges its own processor, without that processor's wait.

        policy.Controller lets this value fall at once and rise with weight OWN_DELAY_WEIGHT: an expectile of the
        delays.
        """
        share = rates / np.maximum(rates.sum(1), 1e-12)[:, None]
        mean = (share * base_delay_s).sum(1)
        deviation = np.sqrt(np.maximum((share * (base_delay_s - mean[:, None]) ** 2).sum(1), 0.0))
        return np.maximum(mean - OWN_DELAY_EXPECTILE * deviation, 1e-4) + 2 * QUICK_WAIT_SHARE * remote_wait_s

    def _own_open_share(self, quickest: Array, limit: Array | float) -> Array:
        """Share of the time that the delay of the own processor is under a limit.

        Above the limit nothing is sent, so that the delay decays until it is under it; then calls leave until the
        oldest has been unanswered for as long as the limit.
        """
        open_share = np.zeros(np.broadcast_shapes(quickest.shape, np.shape(limit)))
        for node, weight in zip(NODES, WEIGHTS, strict=True):
            half_lives = np.log2(np.maximum(quickest * np.exp(OWN_DELAY_NOISE * node) / limit, 1.0))
            open_share += weight * limit / (limit + self.half_life_s * half_lives)
        return open_share

    def _both_open_share(
        self,
        processor_state: processors.ProcessorState,
        base_delay_s: Array,
        rates: Array,
        limit: Array | float,
    ) -> Array:
        """Share of the time that a gatekeeper may send to another switch, over all phases.

        That is while both the delay of its own processor and the delay of the route are under the limit.
        """
        mean = processor_state.mean_wait_s
        quickest = self._quickest_answer(base_delay_s, rates, float(processor_state.wait_s[:, 0].mean()))
        limit = np.broadcast_to(np.maximum(limit, 1e-9), base_delay_s.shape)
        own, route = np.zeros_like(base_delay_s), np.zeros_like(base_delay_s)
        for a in range(processor_state.time_share.shape[1]):
            time_share, wait = processor_state.time_share[:, a], processor_state.wait_s[:, a]
            if not time_share.any():
                continue
            own_delay = (quickest + 2 * OWN_WAIT_SHARE * wait)[:, None]
            own += time_share[:, None] * self._own_open_share(own_delay, limit)
            route += time_share[None, :] * self._route_open_share(
                base_delay_s + 2 * (mean[:, None] + wait[None, :]), rates, limit
            )
        return own * route

    def _tandems(
        self,
        c: int,
        state: State,
        processor_state: processors.ProcessorState,
        base_delay_s: Array,
        rates: Array,
    ) -> tuple[Array, Array, Array]:
        """Shares of the blocked calls of a class.

        They are those that draw each tandem [i, j, k], that are answered over any tandem [i, j], and that are answered
        over each tandem [i, j, k].
        """
        n, blocking, fill = self.n, state.overflow_blocking[c], state.fill
        if not self.parts.tandems or n < 3:
            none = np.zeros((n, n))
            return np.zeros((n, n, n)), none, np.zeros((n, n, n))
        open_share = np.ones((n, n))
        if self.parts.processors:
            open_share = self._both_open_share(
                processor_state, base_delay_s, rates, self.delay_limits_s[c] * policy.TANDEM_LIMIT_SHARE
            )
        first_leg = (1 - blocking) * open_share * self.pairs  # i to k
        # Weighted by the free fraction of the fuller leg; [i, j, k]
        free = np.minimum((1 - fill)[:, None, :], (1 - fill.T)[None, :, :])
        usable = first_leg[:, None, :] * self.pairs.T[None, :, :] * self.pairs[:, :, None]
        weight = usable * np.maximum(free, 1e-9) * (self.circuits > 0)[:, None, :]
        total = weight.sum(2)
        share = weight / np.maximum(total, 1e-300)[:, :, None]
        # Logarithm of the probability that no first leg is usable, so that there is no tandem at all
        log_no_tandem = np.log(np.maximum(1 - usable, 1e-12)).sum(2)
        drawn = (1 - np.exp(log_no_tandem)) * np.where(total > 0, 1.0, 0.0) * open_share * self.pairs
        second_leg = (1 - blocking) * open_share  # [k, j]: the second leg accepts a transit call
        drawn_by_tandem = drawn[:, :, None] * share
        answered = drawn_by_tandem * second_leg.T[None, :, :]
        return drawn_by_tandem, answered.sum(2), answered

    def _iterate(self, demand: Demand, state: State) -> tuple[State, Solution]:
        """One undamped iteration: the state that follows from this one, and the outcome of the calls."""
        classes, parts = self.classes, self.parts
        if parts.processors:
            processor_state = self._processors(demand, state)
            base_delay_s = self.base_delay_s
            delay_s, release_delay_s = self._delays(processor_state)
        else:
            none = np.zeros((self.n, 1))
            processor_state = processors.ProcessorState(none + 1, none + 1, none, none)
            delay_s = base_delay_s = release_delay_s = np.zeros((self.n, self.n))
        rates = sum(demand.rate) + sum(state.redial_rate)
        direct, overflow = [], []
        held = np.zeros(len(self.sizes))
        held_by_class = []
        holding_sum, patience_sum = np.zeros(len(self.sizes)), np.zeros(len(self.sizes))
        drawn_by_class, tandem_by_class, legs_by_class = [], [], []
        for c, call_class in enumerate(classes):
            drawn, over_tandem, by_tandem = self._tandems(c, state, processor_state, base_delay_s, rates)
            drawn_by_class.append(drawn)
            tandem_by_class.append(over_tandem)
            legs_by_class.append(by_tandem)
            # A circuit is also busy during the set-up and until the release arrives.
            occupancy = (call_class.holding_time_s + delay_s + release_delay_s) / call_class.holding_time_s
            direct_erl = (
                demand.erlang[c] * state.accepted[c] + state.redial_accepted[c] * call_class.holding_time_s
            ) * occupancy
            direct.append(self._by_group(direct_erl))
            # Answered calls over tandems are carried load; the offered load is larger by what was blocked.
            tandem_erl = (
                (state.first_legs[c] + state.second_legs[c])
                * call_class.holding_time_s
                * occupancy
                / np.maximum(1 - state.overflow_blocking[c], 0.02)
            )
            overflow.append(self._by_group(tandem_erl))
            class_held = self._by_group(demand.rate[c] * state.accepted[c] * (1 - over_tandem))
            held_by_class.append(class_held)
            held += class_held
            class_rate = self._by_group(demand.rate[c] + state.redial_rate[c])
            holding_sum += class_rate * (
                call_class.holding_time_s + self._by_group(delay_s + release_delay_s) / 2
            )
            patience_sum += class_held * max(0.0, call_class.objective_s - HELD_MARGIN_S)
        arrivals = self._by_group(rates)
        holding_time_s = np.where(
            arrivals > 0, holding_sum / np.maximum(arrivals, 1e-12), classes[0].holding_time_s
        )
        patience_s = np.where(held > 0, patience_sum / np.maximum(held, 1e-12), 0.0)
        if not parts.waiting:
            patience_s = np.zeros_like(patience_s)
        offered = sum(direct) + sum(overflow)
        direct_blocking, overflow_blocking, held_loss, fill = self._groups(
            direct, overflow, held, held_by_class, holding_time_s, patience_s
        )
        # Outcome of the first tries
        in_time, late, redial_rate, direct_answered, tandem_share = [], [], [], [], []
        first_legs, second_legs, first_leg_tries = [], [], []
        redial_accepted, accepted_by_class = [], []
        for c, call_class in enumerate(classes):
            if parts.processors:
                at_once, accepted, quick = self._processor_shares(c, processor_state, base_delay_s)
            else:
                at_once = accepted = quick = np.ones((self.n, self.n))
            blocked = direct_blocking[c]
            held_success = 1 - held_loss[c] if parts.waiting else np.zeros_like(blocked)
            unblocked = 1 - blocked
            over_tandem = blocked * tandem_by_class[c]
            after_wait = blocked * (1 - tandem_by_class[c]) * held_success
            routed = (unblocked + over_tandem + after_wait) * self.pairs
            answered, answered_in_time = accepted * routed, quick * routed
            redials, redial_open = np.zeros_like(answered_in_time), np.zeros_like(answered_in_time)
            late_share = answered - answered_in_time
            failed = (1 - answered) * self.pairs
            if parts.redials and self.load.redial.max_redials:
                redial_success = at_once.copy()
                if parts.processors:
                    idle_limit_s = np.maximum(
                        policy.LATE_LIMIT_SHARE * self.delay_limits_s[c],
                        policy.IDLE_DELAY_FACTOR * base_delay_s,
                    )
                    redial_success = redial_success * self._both_open_share(
                        processor_state, base_delay_s, rates, idle_limit_s
                    )
                # A group that was full, or a processor over its delay limit, a moment ago mostly still is.
                redial_success = redial_success * -np.expm1(
                    -(call_class.objective_s + self._redial_wait_s())
                    / (GROUP_MEMORY_HOLDING_TIMES * call_class.holding_time_s)
                )
                redial_open, redial_success = redial_success, redial_success * (1 - blocked)
                max_redials = self._max_redials(call_class)
                all_fail = (1 - redial_success) ** max_redials
                late_share = late_share + failed * (1 - all_fail)
                mean_redials = np.where(
                    redial_success > 1e-9, (1 - all_fail) / np.maximum(redial_success, 1e-9), max_redials
                )
                redials = demand.rate[c] * failed * mean_redials
            in_time.append(answered_in_time)
            late.append(late_share)
            redial_rate.append(redials)
            redial_accepted.append(redials * redial_open)
            accepted_by_class.append(accepted)
            direct_answered.append(
                demand.rate[c] * (answered_in_time + late_share - over_tandem * accepted * self.pairs)
            )
            tandem_share.append(over_tandem * quick)
            overflow_rate = (demand.rate[c] * blocked * at_once)[:, :, None]  # [i, j, k]
            legs = overflow_rate * legs_by_class[c]
            first_legs.append(legs.sum(1))
            second_legs.append(legs.sum(0).T)
            first_leg_tries.append((overflow_rate * drawn_by_class[c]).sum(1))
        next_state = State(
            direct_blocking,
            overflow_blocking,
            self._as_matrix(fill),
            redial_rate,
            redial_accepted,
            accepted_by_class,
            first_legs,
            second_legs,
            first_leg_tries,
            direct_answered,
            processor_state.mean_wait_s,
            processor_state.wait_s[:, 0],
        )
        admitted = np.ones(self.n)
        if parts.processors:
            admitted = (
                processor_state.time_share
                * self.outgoing_open[self.by_worth[-1]]
                * self.incoming_open[self.by_worth[-1]]
            ).sum(1)
        solution = Solution(
            in_time, late, tandem_share, direct_blocking, self._as_matrix(offered), next_state.fill,
            next_state.wait_s, admitted, 0.0, 0, False, next_state,
        )  # fmt: skip
        return next_state, solution

    def _groups(
        self,
        direct: list[Array],
        overflow: list[Array],
        held: Array,
        held_by_class: list[Array],
        holding_time_s: Array,
        patience_s: Array,
    ) -> tuple[list[Array], list[Array], list[Array], Array]:
        """Blocking of direct calls and of overflow calls and loss of held calls, by class and pair, and the fill.

        held: calls per second that are held when the group is full. The fill is by group.
        """
        departures = np.maximum(self.sizes, 1.0) / holding_time_s
        if any(width > 1 for width in self.widths):
            blocked, shut, fill = groups.solve_multi_width(
                self.sizes, direct, overflow, self.widths, self.reserved
            )
            lost = [
                np.where(self.sizes < width, 1.0, np.exp(-departures / width * patience_s))
                for width in self.widths
            ]
            return (
                [self._as_matrix(by_group) for by_group in blocked],
                [self._as_matrix(by_group) for by_group in shut],
                [self._as_matrix(by_group) for by_group in lost],
                fill,
            )
        group_state = groups.solve_single_width(
            self.sizes, sum(direct), sum(overflow), self.reserved, held, holding_time_s, patience_s
        )
        loss_by_class: list[Array] = [group_state.held_loss] * len(self.classes)
        cumulative, lost_before = np.zeros_like(held), np.zeros_like(held)
        # Each end serves its own held calls in order of worth, but the two ends compete for each freed circuit,
        # whatever the worth of the calls that wait there.
        mean_wait = (
            np.minimum(patience_s, 1 / departures) * (1 - group_state.held_loss)
            + patience_s * group_state.held_loss
        )
        other_end_waits = RACE_LOSS_SHARE * -np.expm1(-held / 2 * mean_wait)
        for c in self.by_worth:
            cumulative = cumulative + held_by_class[c]
            won = 1 - other_end_waits * (1 - cumulative / np.maximum(held, 1e-12))
            lost_now = cumulative * groups.held_loss(departures * won, cumulative, patience_s)
            class_loss = (lost_now - lost_before) / np.maximum(held_by_class[c], 1e-12)
            loss_by_class[c] = np.where(
                held_by_class[c] > 1e-12, np.clip(class_loss, 0.0, 1.0), group_state.held_loss
            )
            lost_before = lost_now
        empty = self.sizes <= 0
        loss_by_class = [np.where(empty, 1.0, loss) for loss in loss_by_class]
        return (
            [self._as_matrix(group_state.direct_blocking)] * len(self.classes),
            [self._as_matrix(group_state.overflow_blocking)] * len(self.classes),
            [self._as_matrix(loss) for loss in loss_by_class],
            group_state.fill,
        )

    def _within(self, delay_s: Array, base_delay_s: Array, objective_s: float) -> Array:
        """Share of the set-ups answered within the objective: a fixed delay, plus waits with a gamma law of shape 2."""
        waits = np.maximum(delay_s - base_delay_s, 1e-9)
        x = 2 * np.maximum(objective_s - base_delay_s, 0.0) / waits
        return np.where(
            objective_s <= base_delay_s, 0.0, -np.expm1(np.log1p(np.minimum(x, 700.0)) - np.minimum(x, 700.0))
        )

    def _max_redials(self, call_class) -> float:
        """Number of redials that fit before the deadline of the class."""
        redial, wait_s = self.load.redial, self._redial_wait_s()
        remaining_s = call_class.deadline_s - (call_class.objective_s if self.parts.waiting else 0.0)
        return float(min(redial.max_redials, max(0.0, np.floor(remaining_s / max(wait_s, 1e-3)))))

    def _redial_wait_s(self) -> float:
        """Mean pause before a redial: callers that observe the retry-after time wait half its maximum on average."""
        redial, retry_after_s = self.load.redial, self.fleet.rules.retry_after_s
        return redial.wait_s + redial.heed_share * max(0.0, retry_after_s / 2 - redial.wait_s)

    # The fixed-point iteration

    def initial_state(self, full: bool = False) -> State:
        """An empty network, or one where every group is full: two starting points, which may reach different fixed
        points."""
        n, count = self.n, len(self.classes)
        zero = np.zeros((n, n))
        blocking = np.where(self.circuits > 0, 1.0 if full else 0.0, 1.0)
        return State(
            [blocking.copy() for _ in range(count)], [blocking.copy() for _ in range(count)],
            np.where(self.circuits > 0, 0.97 if full else 0.0, 1.0),
            [zero.copy() for _ in range(count)],
            [zero.copy() for _ in range(count)],
            [np.ones((n, n)) for _ in range(count)],
            *([zero.copy() for _ in range(count)] for _ in range(4)),
            np.zeros(n),
            np.zeros(n),
        )  # fmt: skip

    def solve(self, demand: Demand, initial: State | None = None, tolerance: float = TOLERANCE) -> Solution:
        """Damped fixed-point iteration until the relative change of the state is below the tolerance.

        Stops after MAX_ITERATIONS at the latest; `converged` and `residual` of the solution say how far it came.
        Overload with alternate routes makes the iteration oscillate, so the step is halved whenever the residual
        grows.
        """
        state = initial or self.initial_state()
        step, before, solution = INITIAL_STEP, np.inf, None
        iterations = 0
        while iterations < MAX_ITERATIONS:
            iterations += 1
            next_state, solution = self._iterate(demand, state)
            old, new = state.flat(), next_state.flat()
            residual = float(np.abs(new - old).max(initial=0.0) / max(1.0, np.abs(new).max(initial=0.0)))
            if residual < tolerance:
                break
            step = max(0.05, step / 2) if residual > before * 1.01 else min(0.9, step * 1.1)
            before = residual
            state = state.moved_toward(next_state, step)
        assert solution is not None
        solution.residual, solution.iterations, solution.converged = (
            residual,
            iterations,
            residual < tolerance,
        )
        solution.state = state
        return solution
