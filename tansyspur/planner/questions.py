"""Capacity questions answered by forecasts: the first bottleneck, the size of a fleet, and the effect of losses.

Services and goals are shares of the offered worth, between 0 and 1.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from tansyspur.planner.erlang import circuits_for
from tansyspur.planner.fleet import Fleet, Group, Load, StoreSwitch
from tansyspur.planner.forecast import Forecast, forecast

MAX_SCALE = 8.0
RELATIVE_PRECISION = 0.01  # of the scale that `breaks` finds
MAX_SWITCHES = 64


@dataclass(slots=True, frozen=True)
class Bottleneck:
    """A resource that refuses or delays calls."""

    resource: str  # "group", "processor" or "depot"
    name: str
    refused_share: float  # share of its calls that it refuses or holds back


@dataclass(slots=True, frozen=True)
class Break:
    """The load at which a goal is first missed."""

    scale: float  # multiple of the given load
    service: float  # at that load
    first: tuple[Bottleneck, ...]  # the worst first


def bottlenecks(result: Forecast) -> list[Bottleneck]:
    """Resources that refuse or hold back calls in a forecast, the worst first."""
    rows = [
        Bottleneck("group", " - ".join(map(str, row["ends"])), float(row["blocking"]))
        for row in result.groups
    ]
    rows += [Bottleneck("processor", str(row["name"]), 1 - float(row["takes"])) for row in result.switches]
    rows += [Bottleneck("depot", name, 1 - service) for name, service in result.service_by_depot.items()]
    return sorted((row for row in rows if row.refused_share > 1e-4), key=lambda row: -row.refused_share)


def breaks(fleet: Fleet, load: Load, goal: float, count: int = 4) -> Break | None:
    """The smallest scale of the load at which the service is below the goal, with the `count` worst bottlenecks there.

    None if the goal is met up to MAX_SCALE. Brackets the scale by doubling, then bisects: service falls with the load.
    """
    low, high = 0.0, 0.5
    while (missed := forecast(fleet, load.scaled(high))).service >= goal:
        low, high = high, high * 2
        if high > MAX_SCALE:
            return None
    while high - low > RELATIVE_PRECISION * high:
        middle = (low + high) / 2
        candidate = forecast(fleet, load.scaled(middle))
        if candidate.service >= goal:
            low = middle
        else:
            high, missed = middle, candidate
    return Break(high, missed.service, tuple(bottlenecks(missed)[:count]))


@dataclass(slots=True, frozen=True)
class Size:
    """A fleet that meets the goal, or else the best one that was found, with the obstacle."""

    met: bool
    switches: int
    circuits: dict[tuple[str, str], int]
    service: float
    worst_loss: str  # the switch or depot whose loss is worst; empty if losses were not considered
    min_switches: int  # lower bound from the work of the calls; a fleet of this size need not meet the goal
    reason: str  # basis of the lower bound if the goal is met, else the obstacle


def min_switches(fleet: Fleet, load: Load, goal: float) -> tuple[int, str]:
    """A lower bound of the number of switches like these that meet the goal, and its explanation.

    Each call that is answered takes work at two processors. The bound is the work of the goal's share of the calls in
    the heaviest window, divided by the capacity of the fastest processor. It leaves out refusals, tandems and waiting,
    all of which cost more.
    """
    work = fleet.work
    per_call = 2 * (1 + work.answer + work.release) + work.look
    rate = max(sum(stream.calls_per_s[w] for stream in load.streams) for w in range(len(load.windows_s)))
    best = max(switch.setups_per_s * (1 - switch.mean_other_share) for switch in fleet.switches)
    needed = max(0.0, goal) * rate * per_call / best
    count = max(2, int(-(-needed // 1)))
    return (
        count,
        f"{rate:.1f} calls/s need the work of {rate * per_call:.0f} set-ups/s, and one processor can do {best:.0f}",
    )


def spread_over(fleet: Fleet, load: Load, count: int) -> tuple[Fleet, Load]:
    """A fleet of `count` switches without circuits, and the same load distributed over it.

    Switches are assigned to the depots in turn, each one a copy of the first switch of its depot. Streams are spread
    evenly over the switches of their depots.
    """
    depots = fleet.depots
    first_of_depot = {switch.depot: switch for switch in reversed(fleet.switches)}
    switches = []
    for i in range(count):
        depot = depots[i % len(depots)]
        switches.append(replace(first_of_depot[depot], name=f"{depot}-{i // len(depots) + 1}"))
    depot_of = {name: switch.depot for name, switch in zip(fleet.names, fleet.switches, strict=True)}
    switches_of: dict[str, list[StoreSwitch]] = {}
    for switch in switches:
        switches_of.setdefault(switch.depot, []).append(switch)
    streams = []
    for stream in load.streams:
        origins = switches_of.get(depot_of[stream.origin], switches)
        destinations = switches_of.get(depot_of[stream.destination], switches)
        # If a depot has a single switch, calls within the depot go to all other switches.
        pairs = next(
            candidates
            for targets in (destinations, switches)
            if (candidates := [(a.name, b.name) for a in origins for b in targets if a is not b])
        )
        share = tuple(rate / len(pairs) for rate in stream.calls_per_s)
        streams += [replace(stream, origin=a, destination=b, calls_per_s=share) for a, b in pairs]
    rates_by_key: dict[tuple[str, str, str], list[float]] = {}
    for stream in streams:
        rates = rates_by_key.setdefault(
            (stream.origin, stream.destination, stream.class_name), [0.0] * len(load.windows_s)
        )
        for w, rate in enumerate(stream.calls_per_s):
            rates[w] += rate
    merged = tuple(
        replace(streams[0], origin=a, destination=b, class_name=c, calls_per_s=tuple(rates))
        for (a, b, c), rates in rates_by_key.items()
    )
    groups = tuple(Group((a.name, b.name), 0) for i, a in enumerate(switches) for b in switches[i + 1 :])
    return replace(fleet, switches=tuple(switches), groups=groups), replace(load, streams=merged)


def dimensioned(fleet: Fleet, load: Load, blocking: float) -> Fleet:
    """A copy whose groups are sized by Erlang B for a blocking of their own direct load in their heaviest window."""
    class_values = {
        call_class.name: (call_class.holding_time_s, call_class.width) for call_class in load.classes
    }
    offered: dict[frozenset[str], list[float]] = {}
    for stream in load.streams:
        holding_time_s, width = class_values[stream.class_name]
        by_window = offered.setdefault(
            frozenset((stream.origin, stream.destination)), [0.0] * len(load.windows_s)
        )
        for w, rate in enumerate(stream.calls_per_s):
            by_window[w] += rate * holding_time_s * width
    groups = []
    max_width = max(call_class.width for call_class in load.classes)
    for group in fleet.groups:
        peak_erl = max(offered.get(frozenset(group.ends), [0.0]))
        groups.append(
            replace(group, circuits=max(max_width, circuits_for(peak_erl, blocking)) if peak_erl else 0)
        )
    return replace(fleet, groups=tuple(groups))


def losses(fleet: Fleet, unit: str) -> Iterator[tuple[str, Fleet]]:
    """For each single loss of a unit, "switch" or "depot": the name of the lost one, and the remaining fleet."""
    if unit == "switch":
        for name in fleet.names:
            yield name, fleet.without(switches=[name])
    elif unit == "depot" and len(fleet.depots) > 1:
        for name in fleet.depots:
            yield name, fleet.without(depots=[name])


def size(
    fleet: Fleet,
    load: Load,
    goal: float,
    lose: str = "",
    max_switches: int = MAX_SWITCHES,
    report: Callable[[str], None] = lambda text: None,
) -> Size:
    """The smallest number of switches like the fleet's, and circuits for each group, that meet the goal.

    lose: "switch" or "depot" if the goal must also be met, for the remaining calls, after the loss of any one of them;
    empty otherwise. max_switches: no more are tried. report: receives a line of text for each candidate.

    Every number of switches from the bound `min_switches` on is tried in turn. The groups are sized for a common Erlang
    B blocking, the highest of those tried that meets the goal.
    """
    lower_bound, basis = min_switches(fleet, load, goal)
    if lower_bound > max_switches:
        return Size(
            False,
            max_switches,
            {},
            0.0,
            "",
            lower_bound,
            f"at least {lower_bound} switches are needed, as {basis}",
        )
    best = Size(False, lower_bound, {}, -1.0, "", lower_bound, basis)
    for count in range(lower_bound, max_switches + 1):
        candidate, candidate_load = spread_over(fleet, load, count)
        for blocking in (0.2, 0.1, 0.05, 0.02, 0.01, 0.003, 0.001):
            sized = dimensioned(candidate, candidate_load, blocking)
            result = forecast(sized, candidate_load)
            service, worst_loss = result.service, ""
            if service >= goal:
                for name, remaining in losses(sized, lose):
                    after = forecast(remaining, candidate_load.restricted_to(remaining.names)).service
                    if after < service:
                        service, worst_loss = after, name
            report(f"{count} switches, blocking {blocking:g}: service {service:.3f}")
            circuits = {group.ends: group.circuits for group in sized.groups}
            attempt = Size(service >= goal, count, circuits, service, worst_loss, lower_bound, basis)
            if attempt.met:
                return attempt
            if attempt.service > best.service:
                first = bottlenecks(result)[:1]
                obstacle = (
                    f"{first[0].resource} {first[0].name} refuses or holds back "
                    f"{first[0].refused_share:.0%} of its calls"
                    if first
                    else "calls time out"
                )
                best = replace(
                    attempt,
                    reason=f"no fleet of up to {count} switches meets the goal; in the best one, {obstacle}",
                )
            if result.service < goal and blocking <= 0.02 and best.service - result.service > 0.02:
                break
        if count - best.switches >= 4:
            break  # the last four additional switches have not improved the service
    return best
