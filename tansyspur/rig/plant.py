"""What store switches are made of: processors with one line, and trunk groups; no I/O, time is given."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tansyspur.planner.fleet import Fleet, StoreSwitch

LONGEST_S = 86_400.0  # of the other work that is drawn ahead


class OtherWork:
    """Other work on a processor, on and off by turns; each span is drawn, exponential by its mean."""

    def __init__(self, switch: StoreSwitch, draw: random.Random) -> None:
        self.share = switch.other_share
        self.on_s, self.off_s = switch.other_on_s, switch.other_off_s
        self.draw = draw
        self.turns: list[float] = [0.0]  # times at which it starts (even) or stops (odd)
        if self.share and draw.random() >= self.on_s / (self.on_s + self.off_s):
            self.turns.append(0.0)  # it begins with a span of rest

    def _until(self, at_s: float) -> None:
        while self.turns[-1] <= at_s:
            on = len(self.turns) % 2 == 1  # the last turn started a span of work
            mean = self.on_s if on else self.off_s
            self.turns.append(self.turns[-1] + (self.draw.expovariate(1 / mean) if mean else 0.0))

    def done_at(self, start_s: float, work_s: float) -> float:
        """When so much work, begun then, is done."""
        if not self.share:
            return start_s + work_s
        at_s = start_s
        self._until(at_s)
        index = len(self.turns) - 1
        while index and self.turns[index - 1] > at_s:
            index -= 1
        while True:
            if index >= len(self.turns):
                self._until(self.turns[-1])
            speed = 1 - self.share if index % 2 == 1 else 1.0
            left_s = (self.turns[index] - at_s) * speed
            if left_s >= work_s:
                return at_s + work_s / speed
            work_s -= left_s
            at_s = self.turns[index]
            index += 1


class Processor:
    """One line, first in first out. Times in seconds, work in set-ups."""

    def __init__(self, switch: StoreSwitch, reject: float, draw: random.Random) -> None:
        self.rate, self.limit_s, self.reject = switch.setups_per_s, switch.queue_limit_s, reject
        self.other = OtherWork(switch, draw)
        self.free_at_s = 0.0
        self.worked = self.turned_away = 0.0

    def wait_s(self, now_s: float) -> float:
        return max(0.0, self.free_at_s - now_s)

    def work(self, now_s: float, setups: float) -> float:
        """Work that is never turned away, such as an answer's: when it is done."""
        self.free_at_s = self.other.done_at(max(now_s, self.free_at_s), setups / self.rate)
        self.worked += setups
        return self.free_at_s

    def take(self, now_s: float, setups: float) -> float | None:
        """A set-up: when it is done, or None if the line is too long. To turn it away is work too."""
        if self.wait_s(now_s) > self.limit_s:
            self.turned_away += 1
            self.work(now_s, self.reject)
            return None
        return self.work(now_s, setups)


@dataclass(slots=True)
class TrunkGroup:
    """Circuits between two store switches, counted; both ends and calls in transit take of the same."""

    ends: tuple[str, str]
    size: int
    on_change: Callable[["TrunkGroup"], None] = lambda group: None
    busy: int = 0
    held: dict[str, int] = field(default_factory=dict)  # by attempt
    full: int = 0  # seizures that found too few free
    seizures: int = 0
    erlang_s: float = 0.0  # busy circuits, integrated
    changed_s: float = 0.0

    @property
    def free(self) -> int:
        return self.size - self.busy

    def _pass(self, now_s: float) -> None:
        self.erlang_s += self.busy * (now_s - self.changed_s)
        self.changed_s = now_s

    def seize(self, attempt: str, width: int, now_s: float) -> bool:
        self.seizures += 1
        if attempt in self.held or self.free < width:
            self.full += 1
            return False
        self._pass(now_s)
        self.busy += width
        self.held[attempt] = width
        self.on_change(self)
        return True

    def release(self, attempt: str, now_s: float) -> None:
        """A second release of the same attempt changes nothing."""
        width = self.held.pop(attempt, 0)
        if width:
            self._pass(now_s)
            self.busy -= width
            self.on_change(self)

    def carried_erl(self, now_s: float, since_s: float = 0.0) -> float:
        self._pass(now_s)
        return self.erlang_s / max(1e-9, now_s - since_s)


class Plant:
    """All processors and groups of a fleet; each entity has a stream of random numbers of its own."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.switches = {one.name: one for one in fleet.switches}
        self.processors = {
            one.name: Processor(one, fleet.work.reject, random.Random(f"{seed}/other/{one.name}"))
            for one in fleet.switches
        }
        self.groups = {frozenset(one.ends): TrunkGroup(one.ends, one.circuits) for one in fleet.groups}
        self.numbers = {name: i for i, name in enumerate(fleet.names)}

    def group(self, a: str, b: str) -> TrunkGroup | None:
        return self.groups.get(frozenset((a, b)))

    def delay_s(self, a: str, b: str) -> float:
        return self.fleet.delay_s(self.switches[a], self.switches[b])


def poisson_times(rates: tuple[float, ...], windows_s: tuple[float, ...], draw: random.Random) -> list[float]:
    """Arrival times of a stream whose rate (per second) changes from window to window.

    By a Poisson process of rate 1 stretched over the integral of the rate, so that a scaled load has the same
    arrivals, closer together.
    """
    times, start_s, area, at = [], 0.0, 0.0, draw.expovariate(1.0)
    for rate, length in zip(rates, windows_s, strict=True):
        while rate and at <= area + rate * length:
            times.append(start_s + (at - area) / rate)
            at += draw.expovariate(1.0)
        area += rate * length
        start_s += length
    return times


def holding_time(kind: str, mean_s: float, draw: random.Random) -> float:
    return mean_s if kind == "fixed" else -mean_s * math.log(1 - draw.random())
