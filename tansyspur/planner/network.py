"""The mesh as a reduced-load fixed point: groups, processors, tandems and redials, each seen by the others' means.

Every pair of store switches offers its calls to its own group; what finds it full draws one tandem by free fraction,
as the decision module does, else waits for a circuit until it could no longer stand in time, else is dialled again.
Each group and each processor sees the sum of these flows, as if they were independent Poisson streams (Katz 1967;
Akinpelu 1984). Rates are calls a second, loads erlang, times seconds. Matrices are origin by destination.
"""

from dataclasses import dataclass, field, fields

import numpy as np
from numpy.typing import NDArray

from tansyspur import policy
from tansyspur.planner import groups, processors
from tansyspur.planner.fleet import Fleet, Load

Array = NDArray[np.float64]
DAMPING = 0.5
TOLERANCE = 1e-6
MOST_ROUNDS = 120
FOREVER_S = 1e9
HELD_MARGIN_S = 0.06  # the module holds a blocked call to so long before its aim
# Of the figures below those marked * were fitted to runs of the rig (docs/design/capacity-planner.md); the others
# follow from the module's own constants.
NOISE = 0.35  # * of a smoothed set-up delay, as the deviation of its logarithm
EXPECTILE = 0.88  # of a normal distribution at OWN_WEIGHT / (1 + OWN_WEIGHT), in deviations below its mean
QUICKEST = 0.4  # * of the mean of four waits in line, the same expectile
OWN_NOISE = 0.2  # * of the quickest answer of late, as the deviation of its logarithm
OWN = 0.8  # * share of the own processor's wait that is in the quickest answers, too
GATE_S = 2.5  # * a gate that is open for a share of the time changes about so often
RACE = 0.7  # * share of the circuits freed while both ends wait that the other end wins
RELAXES = 0.5  # * a full group forgets that it was in so many holding times
# Gauss-Hermite, three points: nodes in deviations, and weights
NODES, WEIGHTS = (-(3**0.5), 0.0, 3**0.5), (1 / 6, 2 / 3, 1 / 6)


@dataclass(slots=True, frozen=True)
class Parts:
    """What the model holds to be there; each can be left out, to see what it does or to compare with theory."""

    tandems: bool = True
    waiting: bool = True  # blocked calls are held for a circuit
    processors: bool = True
    redials: bool = True


ALL = Parts()


@dataclass(slots=True)
class Demand:
    """Fresh calls a second by class, and the erlang that they would hold if none were lost."""

    rate: list[Array]
    erlang: list[Array]


@dataclass(slots=True)
class State:
    """What one round of the iteration hands to the next."""

    full: list[Array]  # by class and pair: no circuit free
    shut: list[Array]  # by class and pair: too few free for tandem and transit calls
    fill: Array
    redial: list[Array]  # calls a second
    seeking: list[Array]  # those of them that would take a free circuit
    taken: list[Array]  # share of the fresh calls that both ends' processors take in time
    first: list[Array]  # calls a second that stand over a tandem, by class: first legs, origin by tandem
    second: list[Array]  # and second legs, tandem by destination
    tries: list[Array]  # and that are tried so, by first leg
    carried: list[Array]  # calls a second that stand, by pair
    wait_s: Array  # mean wait at each processor
    calm_s: Array  # the same while no other work is on

    def arrays(self) -> list[list[Array]]:
        found = [getattr(self, one.name) for one in fields(self)]
        return [one if isinstance(one, list) else [one] for one in found]

    def flat(self) -> Array:
        return np.concatenate([array.ravel() for some in self.arrays() for array in some])

    def toward(self, other: "State", step: float) -> "State":
        mixed = [
            [a + step * (b - a) for a, b in zip(mine, theirs, strict=True)]
            for mine, theirs in zip(self.arrays(), other.arrays(), strict=True)
        ]
        pairs = zip(mixed, fields(self), strict=True)
        return State(*(x if isinstance(getattr(self, one.name), list) else x[0] for x, one in pairs))


@dataclass(slots=True)
class Solution:
    """What becomes of the fresh calls of each class and pair: shares, which add up to 1 with what is lost."""

    in_time: list[Array]
    late: list[Array]
    tandem: list[Array]  # share of those in time that stand over a tandem
    blocking: list[Array]  # a direct call finds no circuit
    offered: Array  # erlang offered to each group, overflow and redials with it
    fill: Array
    wait_s: Array  # mean wait at each processor
    admitted: Array  # share of the time that each processor takes the least worthy calls
    residual: float
    rounds: int
    converged: bool
    state: State = field(repr=False)


class Network:
    def __init__(self, fleet: Fleet, load: Load, parts: Parts = ALL) -> None:
        self.fleet, self.load, self.parts = fleet, load, parts
        self.n = n = len(fleet.switches)
        self.index = {name: i for i, name in enumerate(fleet.names)}
        self.circuits = np.zeros((n, n))
        for one in fleet.groups:
            i, j = (self.index[end] for end in one.ends)
            self.circuits[i, j] = self.circuits[j, i] = one.circuits
        self.upper = np.triu_indices(n, 1)
        self.sizes = self.circuits[self.upper]
        self.reserved = np.maximum(
            1.0, np.minimum(policy.MAX_RESERVED_CIRCUITS, policy.RESERVED_SHARE * self.sizes)
        )
        self.delay = np.array(
            [[fleet.delay_s(a, b) if a is not b else 0.0 for b in fleet.switches] for a in fleet.switches]
        )
        self.rate = np.array([one.setups_per_s for one in fleet.switches], dtype=float)
        self.limit_s = np.array([one.queue_limit_s for one in fleet.switches], dtype=float)
        self.other_on_s = np.array([one.other_on_s for one in fleet.switches], dtype=float)
        self.other_off_s = np.array([one.other_off_s for one in fleet.switches], dtype=float)
        # Work that never pauses is one phase without an end.
        self.phase_s = np.where(self.other_off_s > 0, self.other_on_s, FOREVER_S)
        self.time_share, self.speed = processors.phases(
            np.array([one.other_share for one in fleet.switches], dtype=float), self.other_on_s,
            self.other_off_s,
        )  # fmt: skip
        self.power = self.rate[:, None] * self.speed  # work a second, by phase
        # A set-up's delay but for its waits: its work at both ends, an answer's, and the way there and back.
        step = (self.time_share / self.power).sum(1)
        self.steps = step[:, None] + step[None, :]
        self.base = (1 + fleet.work.answer) * self.steps + 2 * self.delay
        self.kinds = load.classes
        self.widths = [kind.width for kind in self.kinds]
        self.by_worth = sorted(range(len(self.kinds)), key=lambda c: -self.kinds[c].worth)
        top = max(kind.worth for kind in self.kinds)
        limit = policy.DELAY_LIMIT_SHARE * min(kind.objective_s for kind in self.kinds)
        # policy.Controller._limit: set-up delay up to which an exchange takes a call of this class
        self.limits = [
            limit * (policy.MIN_LIMIT_SHARE + (1 - policy.MIN_LIMIT_SHARE) * k.worth / top)
            for k in self.kinds
        ]
        self.half_s = policy.DELAY_HALF_LIFE_LIMITS * limit  # of a delay that no newer one confirms
        self.pair = ~np.eye(n, dtype=bool)

    # Parts of a round

    def _sym(self, values: Array) -> Array:
        """A figure of each group, at both of its places in a matrix."""
        made = np.zeros((self.n, self.n))
        made[self.upper] = values
        return made + made.T

    def _both_ways(self, matrix: Array) -> Array:
        return (matrix + matrix.T)[self.upper]

    def _processors(self, demand: Demand, state: State) -> processors.ProcessorState:
        """Waits by phase. What a switch sends is held back by its own gatekeeper, at the quickest answer of late;
        what it is sent, by the others', each at the smoothed delay of its own calls there."""
        work, count = self.fleet.work, len(self.kinds)
        sent, heard = np.zeros((count, self.n)), np.zeros((count, self.n))
        other, squares = np.zeros(self.n), np.zeros(self.n)
        for c in range(count):
            first, second, tries, carried = state.first[c], state.second[c], state.tries[c], state.carried[c]
            # As if nothing were held back: what was taken, over the share that was.
            wanted = carried / np.maximum(state.taken[c], 0.02)
            sent[c] = wanted.sum(1) + tries.sum(1) + second.sum(1)
            heard[c] = wanted.sum(0) + second.sum(0)
            looks = (demand.rate[c] + state.redial[c]).sum(1) + tries.sum(0)
            stood = carried.sum(1) + carried.sum(0) + first.sum(1) + first.sum(0) + second.sum(0)
            other += looks * work.look + stood * (work.answer + work.release)
            squares += sent[c] + heard[c] + looks * work.look**2 + stood * (work.answer**2 + work.release**2)
        rates = sum(demand.rate) + sum(state.redial)
        far = float(state.wait_s.mean())
        in_share = rates / np.maximum(rates.sum(0), 1e-12)[None, :]
        base_in = (in_share * self.base).sum(0)
        quick_out = self._quickest(self.base, rates, float(state.calm_s.mean()))
        rate_in = np.maximum(rates.sum(0) / max(1, self.n - 1), 1e-3)

        def gates(wait: Array) -> tuple[list[Array], list[Array]]:
            quickest = quick_out[:, None] + 2 * OWN * wait
            mean_in = (base_in + 2 * far)[:, None] + 2 * wait
            out, into = [], []
            for c in range(count):
                out.append(self._own_open(quickest, self.limits[c]))
                into.append(
                    self._open(mean_in, np.broadcast_to(rate_in[:, None], wait.shape), self.limits[c])
                )
            return out, into

        def asked(wait: Array) -> Array:
            out, into = gates(wait)
            total = np.broadcast_to(other[:, None], wait.shape).copy()
            for c, kind in enumerate(self.kinds):
                total += sent[c][:, None] * self._held(out[c], kind.objective_s)
                total += heard[c][:, None] * self._held(into[c], kind.objective_s)
            return total

        wait, away = processors.equilibrium(self.power, self.limit_s[:, None], squares[:, None], asked)
        use = asked(np.zeros_like(wait)) / self.power
        wait = processors.growing(wait, use, self.phase_s, self.other_off_s)
        self.out, self.into = gates(wait)
        share = processors.spread(self.time_share)
        share[:, 1:] /= len(processors.LEVELS)
        return processors.ProcessorState(share, processors.spread(self.speed), wait, processors.spread(away))

    def _held(self, open_share: Array, objective_s: float) -> Array:
        """Share of the calls that get through a gate, open so much of the time, while they may wait."""
        shut = np.maximum(1 - open_share, 1e-9)
        return 1 - shut * np.exp(-objective_s * np.minimum(open_share / shut / GATE_S, 50.0))

    def _delays(self, made: processors.ProcessorState) -> tuple[Array, Array]:
        """Mean set-up delay, and the lag of a release."""
        wait = made.mean_wait_s
        waits = wait[:, None] + wait[None, :]
        return self.base + 2 * waits, waits + self.fleet.work.release * self.steps + self.delay

    def _through(self, c: int, made: processors.ProcessorState, base: Array) -> tuple[Array, Array, Array]:
        """Of the set-ups of a class, by pair: the share that processors take at once, that they take at all, and
        that is answered within the aim; over the phases of both ends."""
        objective_s = self.kinds[c].objective_s
        at_once, at_all, quick = (np.zeros((self.n, self.n)) for _ in range(3))
        pause = -np.expm1(-objective_s / np.maximum(self.phase_s, 1e-9))
        for a in range(made.share.shape[1]):
            for b in range(made.share.shape[1]):
                share = made.share[:, a][:, None] * made.share[:, b][None, :]
                if not share.any():
                    continue
                out, into = self.out[c][:, a][:, None], self.into[c][:, b][None, :]
                out_held, into_held = self._held(out, objective_s), self._held(into, objective_s)
                if a:
                    out_held = out_held + (1 - out_held) * pause[:, None]
                if b:
                    into_held = into_held + (1 - into_held) * pause[None, :]
                kept = (1 - made.turned_away[:, a])[:, None] * (1 - made.turned_away[:, b])[None, :]
                now, ever = out * into * kept, out_held * into_held * kept
                waits = 2 * (made.wait_s[:, a][:, None] + made.wait_s[:, b][None, :])
                within = self._within(base + waits, base, objective_s)
                left = np.clip((objective_s - base - waits) / objective_s, 0.0, 1.0)
                at_once += share * now
                at_all += share * ever
                quick += share * (now * within + (ever - now) * left)
        return at_once, at_all, quick

    def _open(self, delay: Array, rate: Array, limit: Array | float) -> Array:
        """How often the module's smoothed and fading delay of a route is under a limit.

        It is renewed by each call's answer (weight DELAY_WEIGHT) and halves in DELAY_HALF_LIFE_LIMITS pressure
        limits; a call comes an exponential time after the last one.
        """
        rate = np.maximum(rate, 1e-3)
        kept = rate / (rate + np.log(2) / self.half_s)
        mean = policy.DELAY_WEIGHT * delay / (1 - (1 - policy.DELAY_WEIGHT) * kept)
        found = np.zeros_like(delay)
        for node, weight in zip(NODES, WEIGHTS, strict=True):
            over = np.log2(np.maximum(mean * np.exp(NOISE * node) / np.maximum(limit, 1e-9), 1.0))
            found += weight * np.exp(-rate * self.half_s * over)
        return found

    def _quickest(self, base: Array, rates: Array, far: float) -> Array:
        """The quickest answer of late, which stands for the own processor, but for that processor's wait.

        policy.Controller._answered lets it fall at once and rise by OWN_WEIGHT: an expectile of the delays.
        """
        share = rates / np.maximum(rates.sum(1), 1e-12)[:, None]
        mean = (share * base).sum(1)
        spread = np.sqrt(np.maximum((share * (base - mean[:, None]) ** 2).sum(1), 0.0))
        return np.maximum(mean - EXPECTILE * spread, 1e-4) + 2 * QUICKEST * far

    def _own_open(self, quickest: Array, limit: Array | float) -> Array:
        """How often the own processor's delay is under a limit. Above it nothing is sent, so that the delay fades
        until it is under; then calls leave until the oldest has waited for as long as the limit."""
        found = np.zeros(np.broadcast_shapes(quickest.shape, np.shape(limit)))
        for node, weight in zip(NODES, WEIGHTS, strict=True):
            over = np.log2(np.maximum(quickest * np.exp(OWN_NOISE * node) / limit, 1.0))
            found += weight * limit / (limit + self.half_s * over)
        return found

    def _gate(
        self, made: processors.ProcessorState, base: Array, rates: Array, limit: Array | float
    ) -> Array:
        """How often a gatekeeper sends to another while its delays are to be under a limit, over all phases."""
        mean = made.mean_wait_s
        quickest = self._quickest(base, rates, float(made.wait_s[:, 0].mean()))
        limit = np.broadcast_to(np.maximum(limit, 1e-9), base.shape)
        own, pair = np.zeros_like(base), np.zeros_like(base)
        for a in range(made.share.shape[1]):
            share, wait = made.share[:, a], made.wait_s[:, a]
            if not share.any():
                continue
            seen = (quickest + 2 * OWN * wait)[:, None]
            own += share[:, None] * self._own_open(seen, limit)
            pair += share[None, :] * self._open(base + 2 * (mean[:, None] + wait[None, :]), rates, limit)
        return own * pair

    def _tandems(
        self, c: int, state: State, made: processors.ProcessorState, base: Array, rates: Array
    ) -> tuple[Array, Array, Array]:
        """Shares of the blocked calls: that draw each tandem [i, j, k], that stand over any, and over each."""
        n, width_shut, fill = self.n, state.shut[c], state.fill
        if not self.parts.tandems or n < 3:
            none = np.zeros((n, n))
            return np.zeros((n, n, n)), none, np.zeros((n, n, n))
        gate = np.ones((n, n))
        if self.parts.processors:
            gate = self._gate(made, base, rates, self.limits[c] * policy.TANDEM_LIMIT_SHARE)
        fits = (1 - width_shut) * gate * self.pair  # first leg, i to k
        # Weighted by the free fraction of the fuller leg; [i, j, k]
        free = np.minimum((1 - fill)[:, None, :], (1 - fill.T)[None, :, :])
        usable = fits[:, None, :] * self.pair.T[None, :, :] * self.pair[:, :, None]
        weight = usable * np.maximum(free, 1e-9) * (self.circuits > 0)[:, None, :]
        total = weight.sum(2)
        share = weight / np.maximum(total, 1e-300)[:, :, None]
        # No tandem at all: none of the first legs fits.
        blockers = np.log(np.maximum(1 - usable, 1e-12)).sum(2)
        drawn = (1 - np.exp(blockers)) * np.where(total > 0, 1.0, 0.0) * gate * self.pair
        beyond = (1 - width_shut) * gate  # [k, j]: the second leg takes a call in transit
        by_leg = drawn[:, :, None] * share
        stood = by_leg * beyond.T[None, :, :]
        return by_leg, stood.sum(2), stood

    def _round(self, demand: Demand, state: State) -> tuple[State, Solution]:
        kinds, parts = self.kinds, self.parts
        if parts.processors:
            made = self._processors(demand, state)
            base = self.base
            delay, lag = self._delays(made)
        else:
            none = np.zeros((self.n, 1))
            made = processors.ProcessorState(none + 1, none + 1, none, none)
            delay = base = lag = np.zeros((self.n, self.n))
        rates = sum(demand.rate) + sum(state.redial)
        direct, over = [], []
        held = np.zeros(len(self.sizes))
        held_by = []
        hold_sum, patience_sum = np.zeros(len(self.sizes)), np.zeros(len(self.sizes))
        draws, over_tandem, legs = [], [], []
        for c, kind in enumerate(kinds):
            drawn, stands, by_leg = self._tandems(c, state, made, base, rates)
            draws.append(drawn)
            over_tandem.append(stands)
            legs.append(by_leg)
            longer = (kind.holding_time_s + delay + lag) / kind.holding_time_s
            erl = (demand.erlang[c] * state.taken[c] + state.seeking[c] * kind.holding_time_s) * longer
            direct.append(self._both_ways(erl))
            # What stands over tandems is what the groups let in: offered was more.
            flow = (
                (state.first[c] + state.second[c])
                * kind.holding_time_s
                * longer
                / np.maximum(1 - state.shut[c], 0.02)
            )
            over.append(self._both_ways(flow))
            mine = self._both_ways(demand.rate[c] * state.taken[c] * (1 - stands))
            held_by.append(mine)
            held += mine
            carried = self._both_ways(demand.rate[c] + state.redial[c])
            hold_sum += carried * (kind.holding_time_s + self._both_ways(delay + lag) / 2)
            patience_sum += mine * max(0.0, kind.objective_s - HELD_MARGIN_S)
        arrivals = self._both_ways(rates)
        hold = np.where(arrivals > 0, hold_sum / np.maximum(arrivals, 1e-12), kinds[0].holding_time_s)
        patience = np.where(held > 0, patience_sum / np.maximum(held, 1e-12), 0.0)
        if not parts.waiting:
            patience = np.zeros_like(patience)
        offered = sum(direct) + sum(over)
        full, shut, lost, fill = self._groups(direct, over, held, held_by, hold, patience)
        # Outcomes of the fresh calls
        in_time, late, redial, carried_by, tandem_share = [], [], [], [], []
        first_legs, second_legs, tries_by = [], [], []
        seeking, taken_by = [], []
        for c, kind in enumerate(kinds):
            if parts.processors:
                taken, rescued, quick = self._through(c, made, base)
            else:
                taken = rescued = quick = np.ones((self.n, self.n))
            blocked = full[c]
            waits = 1 - lost[c] if parts.waiting else np.zeros_like(blocked)
            direct_ok = 1 - blocked
            by_tandem = blocked * over_tandem[c]
            waited = blocked * (1 - over_tandem[c]) * waits
            routed = (direct_ok + by_tandem + waited) * self.pair
            stands, won = rescued * routed, quick * routed
            redials, eager = np.zeros_like(won), np.zeros_like(won)
            late_share = stands - won
            failed = (1 - stands) * self.pair
            if parts.redials and self.load.redial.max_redials:
                again = taken.copy()
                if parts.processors:
                    idle = np.maximum(
                        policy.LATE_LIMIT_SHARE * self.limits[c], policy.IDLE_DELAY_FACTOR * base
                    )
                    again = again * self._gate(made, base, rates, idle)
                # What was full, or pressed, a moment ago mostly still is.
                again = again * -np.expm1(
                    -(kind.objective_s + self._redial_wait()) / (RELAXES * kind.holding_time_s)
                )
                eager, again = again, again * (1 - blocked)
                tries = self._redials(kind)
                never = (1 - again) ** tries
                late_share = late_share + failed * (1 - never)
                runs = np.where(again > 1e-9, (1 - never) / np.maximum(again, 1e-9), tries)
                redials = demand.rate[c] * failed * runs
            in_time.append(won)
            late.append(late_share)
            redial.append(redials)
            seeking.append(redials * eager)
            taken_by.append(rescued)
            carried_by.append(demand.rate[c] * (won + late_share - by_tandem * rescued * self.pair))
            tandem_share.append(by_tandem * quick)
            flow = (demand.rate[c] * blocked * taken)[:, :, None]  # [i, j, k]
            stood = flow * legs[c]
            first_legs.append(stood.sum(1))
            second_legs.append(stood.sum(0).T)
            tries_by.append((flow * draws[c]).sum(1))
        fresh = State(
            full,
            shut,
            self._sym(fill),
            redial,
            seeking,
            taken_by,
            first_legs,
            second_legs,
            tries_by,
            carried_by,
            made.mean_wait_s,
            made.wait_s[:, 0],
        )
        admitted = np.ones(self.n)
        if parts.processors:
            admitted = (made.share * self.out[self.by_worth[-1]] * self.into[self.by_worth[-1]]).sum(1)
        solution = Solution(
            in_time, late, tandem_share, full, self._sym(offered), fresh.fill, fresh.wait_s, admitted,
            0.0, 0, False, fresh,
        )  # fmt: skip
        return fresh, solution

    def _groups(
        self,
        direct: list[Array],
        over: list[Array],
        held: Array,
        held_by: list[Array],
        hold: Array,
        patience: Array,
    ) -> tuple[list[Array], list[Array], list[Array], Array]:
        """Blocking of direct and of overflow calls and the loss of held ones by class and pair, and the fill."""
        served = np.maximum(self.sizes, 1.0) / hold
        if any(width > 1 for width in self.widths):
            blocked, shut, fill = groups.mixed(self.sizes, direct, over, self.widths, self.reserved)
            lost = [np.where(self.sizes < w, 1.0, np.exp(-served / w * patience)) for w in self.widths]
            return (
                [self._sym(b) for b in blocked],
                [self._sym(s) for s in shut],
                [self._sym(x) for x in lost],
                fill,
            )
        found = groups.chain(self.sizes, sum(direct), sum(over), self.reserved, held, hold, patience)
        lost_by: list[Array] = [found.lost] * len(self.kinds)
        cumulated, lost_before = np.zeros_like(held), np.zeros_like(held)
        # Each end serves its own by worth, but for a freed circuit the ends race, whoever waits there.
        mean_wait = np.minimum(patience, 1 / served) * (1 - found.lost) + patience * found.lost
        raced = RACE * -np.expm1(-held / 2 * mean_wait)
        for c in self.by_worth:
            cumulated = cumulated + held_by[c]
            behind = 1 - raced * (1 - cumulated / np.maximum(held, 1e-12))
            lost_now = cumulated * groups.lost_share(served * behind, cumulated, patience)
            mine = (lost_now - lost_before) / np.maximum(held_by[c], 1e-12)
            lost_by[c] = np.where(held_by[c] > 1e-12, np.clip(mine, 0.0, 1.0), found.lost)
            lost_before = lost_now
        none = self.sizes <= 0
        lost_by = [np.where(none, 1.0, one) for one in lost_by]
        return (
            [self._sym(found.full)] * len(self.kinds),
            [self._sym(found.reserved)] * len(self.kinds),
            [self._sym(one) for one in lost_by],
            found.fill,
        )

    def _within(self, delay: Array, base: Array, objective_s: float) -> Array:
        """Share of the set-ups answered within the aim: what is not waiting, and waits as a gamma of shape 2."""
        waits = np.maximum(delay - base, 1e-9)
        x = 2 * np.maximum(objective_s - base, 0.0) / waits
        return np.where(
            objective_s <= base, 0.0, -np.expm1(np.log1p(np.minimum(x, 700.0)) - np.minimum(x, 700.0))
        )

    def _redials(self, kind) -> float:
        """Further tries that fit before the class's deadline."""
        redial, wait_s = self.load.redial, self._redial_wait()
        left_s = kind.deadline_s - (kind.objective_s if self.parts.waiting else 0.0)
        return float(min(redial.max_redials, max(0.0, np.floor(left_s / max(wait_s, 1e-3)))))

    def _redial_wait(self) -> float:
        redial, told = self.load.redial, self.fleet.rules.retry_after_s
        return redial.wait_s + redial.heed_share * max(0.0, told / 2 - redial.wait_s)

    # The fixed point

    def start(self, busy: bool = False) -> State:
        """An empty network, or one where every group is full: the two ends from which to look for fixed points."""
        n, count = self.n, len(self.kinds)
        zero = np.zeros((n, n))
        level = np.where(self.circuits > 0, 1.0 if busy else 0.0, 1.0)
        return State(
            [level.copy() for _ in range(count)], [level.copy() for _ in range(count)],
            np.where(self.circuits > 0, 0.97 if busy else 0.0, 1.0),
            [zero.copy() for _ in range(count)],
            [zero.copy() for _ in range(count)],
            [np.ones((n, n)) for _ in range(count)],
            *([zero.copy() for _ in range(count)] for _ in range(4)),
            np.zeros(n),
            np.zeros(n),
        )  # fmt: skip

    def solve(self, demand: Demand, start: State | None = None, tolerance: float = TOLERANCE) -> Solution:
        """Damped iteration until no share changes by more than the tolerance; the residual says how far it came.

        Oscillation, which overload with alternate routes brings, is met by halving the step whenever the residual
        grows.
        """
        state = start or self.start()
        step, before, solution = DAMPING, np.inf, None
        rounds = 0
        while rounds < MOST_ROUNDS:
            rounds += 1
            fresh, solution = self._round(demand, state)
            old, new = state.flat(), fresh.flat()
            residual = float(np.abs(new - old).max(initial=0.0) / max(1.0, np.abs(new).max(initial=0.0)))
            if residual < tolerance:
                break
            step = max(0.05, step / 2) if residual > before * 1.01 else min(0.9, step * 1.1)
            before = residual
            state = state.toward(fresh, step)
        assert solution is not None
        solution.residual, solution.rounds, solution.converged = residual, rounds, residual < tolerance
        solution.state = state
        return solution
