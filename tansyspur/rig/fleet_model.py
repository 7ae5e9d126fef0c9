"""Simulation model of the store switches: processors with a first-in first-out queue, and trunk groups.

No I/O and no clock: callers pass the current time in seconds. Processor work is measured in set-ups, that is in
multiples of the work for one set-up.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tansyspur.planner.fleet import Fleet, StoreSwitch

MAX_OTHER_WORK_AHEAD_S = 86_400.0  # limit of the other work that is drawn in advance


class OtherWork:
    """Work besides calls that takes a share of a processor during alternating busy and idle periods.

    The length of each period is drawn from an exponential distribution with the mean that the switch states.
    """

    def __init__(self, switch: StoreSwitch, rng: random.Random) -> None:
        self.share = switch.other_share
        self.on_s, self.off_s = switch.other_on_s, switch.other_off_s
        self.rng = rng
        # times at which the work starts (even index) or stops (odd index)
        self.transitions_s: list[float] = [0.0]
        if self.share and rng.random() >= self.on_s / (self.on_s + self.off_s):
            self.transitions_s.append(0.0)  # begins with an idle period

    def _draw_until(self, at_s: float) -> None:
        while self.transitions_s[-1] <= at_s:
            working = len(self.transitions_s) % 2 == 1  # the last transition started a busy period
            mean = self.on_s if working else self.off_s
            self.transitions_s.append(
                self.transitions_s[-1] + (self.rng.expovariate(1 / mean) if mean else 0.0)
            )

    def done_at(self, start_s: float, work_s: float) -> float:
        """Return when `work_s` seconds of undisturbed work are finished if they begin at `start_s`."""
        if not self.share:
            return start_s + work_s
        at_s = start_s
        self._draw_until(at_s)
        index = len(self.transitions_s) - 1
        while index and self.transitions_s[index - 1] > at_s:
            index -= 1
        while True:
            if index >= len(self.transitions_s):
                self._draw_until(self.transitions_s[-1])
            speed = 1 - self.share if index % 2 == 1 else 1.0
            capacity_s = (self.transitions_s[index] - at_s) * speed
            if capacity_s >= work_s:
                return at_s + work_s / speed
            work_s -= capacity_s
            at_s = self.transitions_s[index]
            index += 1


class Processor:
    """A processor with one first-in first-out queue and a limit on the wait of a new set-up."""

    def __init__(self, switch: StoreSwitch, reject_setups: float, rng: random.Random) -> None:
        self.setups_per_s, self.queue_limit_s, self.reject_setups = (
            switch.setups_per_s,
            switch.queue_limit_s,
            reject_setups,
        )
        self.other_work = OtherWork(switch, rng)
        self.free_at_s = 0.0
        self.setups_done = self.rejected = 0.0

    def wait_s(self, now_s: float) -> float:
        return max(0.0, self.free_at_s - now_s)

    def add_work(self, now_s: float, setups: float) -> float:
        """Queue work that is never rejected, such as that for an answer, and return when it is finished."""
        self.free_at_s = self.other_work.done_at(max(now_s, self.free_at_s), setups / self.setups_per_s)
        self.setups_done += setups
        return self.free_at_s

    def offer_setup(self, now_s: float, setups: float) -> float | None:
        """Queue a set-up and return when it is finished, or None if the wait exceeds the limit.

        A rejection takes processor work as well.
        """
        if self.wait_s(now_s) > self.queue_limit_s:
            self.rejected += 1
            self.add_work(now_s, self.reject_setups)
            return None
        return self.add_work(now_s, setups)


@dataclass(slots=True)
class TrunkGroup:
    """The circuits between two store switches; calls from both ends and calls in transit share them."""

    ends: tuple[str, str]
    size: int
    on_change: Callable[["TrunkGroup"], None] = lambda group: None
    busy: int = 0
    circuits_by_attempt: dict[str, int] = field(default_factory=dict)  # key: attempt
    blocked: int = 0  # seizures refused because too few circuits were free
    seizures: int = 0
    busy_circuit_s: float = 0.0  # time integral of the busy circuits, in circuit seconds
    integrated_until_s: float = 0.0

    @property
    def free(self) -> int:
        return self.size - self.busy

    def _integrate(self, now_s: float) -> None:
        self.busy_circuit_s += self.busy * (now_s - self.integrated_until_s)
        self.integrated_until_s = now_s

    def seize(self, attempt: str, width: int, now_s: float) -> bool:
        """Take `width` circuits for an attempt; False if it has circuits already or too few are free."""
        self.seizures += 1
        if attempt in self.circuits_by_attempt or self.free < width:
            self.blocked += 1
            return False
        self._integrate(now_s)
        self.busy += width
        self.circuits_by_attempt[attempt] = width
        self.on_change(self)
        return True

    def release(self, attempt: str, now_s: float) -> None:
        """Free the circuits of an attempt; a second release of the same attempt changes nothing."""
        width = self.circuits_by_attempt.pop(attempt, 0)
        if width:
            self._integrate(now_s)
            self.busy -= width
            self.on_change(self)

    def carried_erl(self, now_s: float, since_s: float = 0.0) -> float:
        """Return the carried load in erlang, as the mean of the busy circuits since a time."""
        self._integrate(now_s)
        return self.busy_circuit_s / max(1e-9, now_s - since_s)


class FleetModel:
    """All processors and trunk groups of a fleet; each processor draws from a random generator of its own."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.switches = {switch.name: switch for switch in fleet.switches}
        self.processors = {
            switch.name: Processor(switch, fleet.work.reject, random.Random(f"{seed}/other/{switch.name}"))
            for switch in fleet.switches
        }
        self.groups = {
            frozenset(group.ends): TrunkGroup(group.ends, group.circuits) for group in fleet.groups
        }
        self.exchange_numbers = {name: i for i, name in enumerate(fleet.names)}

    def group(self, a: str, b: str) -> TrunkGroup | None:
        return self.groups.get(frozenset((a, b)))

    def delay_s(self, a: str, b: str) -> float:
        return self.fleet.delay_s(self.switches[a], self.switches[b])


def poisson_times(rates: tuple[float, ...], windows_s: tuple[float, ...], rng: random.Random) -> list[float]:
    """Return the arrival times, in seconds, of a stream whose rate (per second) changes from window to window.

    The times of a Poisson process of rate 1 are mapped through the integral of the rate, so that a scaled load has
    the same arrivals, closer together.
    """
    times, start_s, expected_arrivals, next_arrival = [], 0.0, 0.0, rng.expovariate(1.0)
    for rate, length in zip(rates, windows_s, strict=True):
        while rate and next_arrival <= expected_arrivals + rate * length:
            times.append(start_s + (next_arrival - expected_arrivals) / rate)
            next_arrival += rng.expovariate(1.0)
        expected_arrivals += rate * length
        start_s += length
    return times


def holding_time(distribution: str, mean_s: float, rng: random.Random) -> float:
    """Return a holding time in seconds: the mean if "fixed", otherwise drawn from an exponential distribution."""
    return mean_s if distribution == "fixed" else -mean_s * math.log(1 - rng.random())
