"""What staff ask of a forecast: what breaks first, how large a fleet must be, and what a loss would do; no I/O."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from tansyspur.planner.erlang import circuits_for
from tansyspur.planner.fleet import Fleet, Group, Load, StoreSwitch
from tansyspur.planner.forecast import Forecast, forecast

MAX_SCALE = 8.0
PRECISION = 0.01  # of a scale
MOST_SWITCHES = 64


@dataclass(slots=True, frozen=True)
class Bottleneck:
    kind: str  # group, processor, depot
    name: str
    refused_share: float  # how far it is over what it can bear: share of calls that it refuses or holds back


@dataclass(slots=True, frozen=True)
class Break:
    scale: float  # of the load, at which the goal is first missed
    service: float
    first: tuple[Bottleneck, ...]  # the worst first


def bottlenecks(found: Forecast) -> list[Bottleneck]:
    """What refuses or holds back most, the worst first."""
    rows = [
        Bottleneck("group", " - ".join(map(str, row["ends"])), float(row["blocking"])) for row in found.groups
    ]
    rows += [Bottleneck("processor", str(row["name"]), 1 - float(row["takes"])) for row in found.switches]
    rows += [Bottleneck("depot", name, 1 - service) for name, service in found.service_by_depot.items()]
    return sorted((row for row in rows if row.refused_share > 1e-4), key=lambda row: -row.refused_share)


def breaks(fleet: Fleet, load: Load, goal: float, count: int = 4) -> Break | None:
    """The least load at which the service is under the goal, and what gives way there; None if none up to MAX_SCALE
    is. By doubling, then halving: service falls with the load."""
    low, high = 0.0, 0.5
    while (found := forecast(fleet, load.scaled(high))).service >= goal:
        low, high = high, high * 2
        if high > MAX_SCALE:
            return None
    while high - low > PRECISION * high:
        middle = (low + high) / 2
        tried = forecast(fleet, load.scaled(middle))
        if tried.service >= goal:
            low = middle
        else:
            high, found = middle, tried
    return Break(high, found.service, tuple(bottlenecks(found)[:count]))


@dataclass(slots=True, frozen=True)
class Size:
    """A fleet that meets the goal, or the best that could be found and what stands in its way."""

    met: bool
    switches: int
    circuits: dict[tuple[str, str], int]
    service: float
    worst_loss: str  # what its loss does most harm; empty where losses were not asked for
    min_switches: int  # no fewer can meet the goal: a bound, not a search
    reason: str  # what the bound rests on, or the bottleneck of an infeasible goal


def min_switches(fleet: Fleet, load: Load, goal: float) -> tuple[int, str]:
    """No fleet of fewer switches like these can do it: each call that counts takes work at two processors.

    The work of calls that stand in time at the goal's share, in the heaviest window, over the best processor's
    rate. It leaves out refusals, tandems and waiting, which all cost more.
    """
    work = fleet.work
    per_call = 2 * (1 + work.answer + work.release) + work.look
    rate = max(sum(one.calls_per_s[w] for one in load.streams) for w in range(len(load.windows_s)))
    best = max(one.setups_per_s * (1 - one.other_mean) for one in fleet.switches)
    needed = max(0.0, goal) * rate * per_call / best
    count = max(2, int(-(-needed // 1)))
    return (
        count,
        f"{rate:.1f} calls/s take {rate * per_call:.0f} set-ups/s of work, and one processor does {best:.0f}",
    )


def spread_over(fleet: Fleet, load: Load, count: int) -> tuple[Fleet, Load]:
    """The same load over another number of switches: depots in turn, each switch like the depot's first, streams
    spread evenly over the switches of their depots."""
    depots = fleet.depots
    like = {one.depot: one for one in reversed(fleet.switches)}
    switches = []
    for i in range(count):
        depot = depots[i % len(depots)]
        switches.append(replace(like[depot], name=f"{depot}-{i // len(depots) + 1}"))
    of_depot = {name: one.depot for name, one in zip(fleet.names, fleet.switches, strict=True)}
    there: dict[str, list[StoreSwitch]] = {}
    for one in switches:
        there.setdefault(one.depot, []).append(one)
    streams = []
    for one in load.streams:
        origins = there.get(of_depot[one.origin], switches)
        near = there.get(of_depot[one.destination], switches)
        # Where a depot's only switch would call itself, its calls go to the others.
        pairs = next(
            found
            for there_too in (near, switches)
            if (found := [(a.name, b.name) for a in origins for b in there_too if a is not b])
        )
        share = tuple(rate / len(pairs) for rate in one.calls_per_s)
        streams += [replace(one, origin=a, destination=b, calls_per_s=share) for a, b in pairs]
    merged: dict[tuple[str, str, str], list[float]] = {}
    for one in streams:
        known = merged.setdefault((one.origin, one.destination, one.class_name), [0.0] * len(load.windows_s))
        for w, rate in enumerate(one.calls_per_s):
            known[w] += rate
    made = tuple(
        replace(streams[0], origin=a, destination=b, class_name=c, calls_per_s=tuple(rates))
        for (a, b, c), rates in merged.items()
    )
    groups = tuple(Group((a.name, b.name), 0) for i, a in enumerate(switches) for b in switches[i + 1 :])
    return replace(fleet, switches=tuple(switches), groups=groups), replace(load, streams=made)


def with_room(fleet: Fleet, load: Load, blocking: float) -> Fleet:
    """Each group as large as Erlang B wants it for its own direct load, in its heaviest window."""
    holds = {kind.name: (kind.holding_time_s, kind.width) for kind in load.classes}
    offered: dict[frozenset[str], list[float]] = {}
    for one in load.streams:
        hold_s, width = holds[one.class_name]
        known = offered.setdefault(frozenset((one.origin, one.destination)), [0.0] * len(load.windows_s))
        for w, rate in enumerate(one.calls_per_s):
            known[w] += rate * hold_s * width
    groups = []
    widest = max(kind.width for kind in load.classes)
    for one in fleet.groups:
        erl = max(offered.get(frozenset(one.ends), [0.0]))
        groups.append(replace(one, circuits=max(widest, circuits_for(erl, blocking)) if erl else 0))
    return replace(fleet, groups=tuple(groups))


def losses(fleet: Fleet, what: str) -> Iterator[tuple[str, Fleet]]:
    """The fleet without any one switch, or depot."""
    if what == "switch":
        for name in fleet.names:
            yield name, fleet.without(switches=[name])
    elif what == "depot" and len(fleet.depots) > 1:
        for name in fleet.depots:
            yield name, fleet.without(depots=[name])


def size(
    fleet: Fleet,
    load: Load,
    goal: float,
    lose: str = "",
    most: int = MOST_SWITCHES,
    tell: Callable[[str], None] = lambda text: None,
) -> Size:
    """The fewest switches like the fleet's, and circuits for each group, that meet the goal; with `lose`, "switch" or
    "depot", also for the calls that remain when any one of these is lost.

    Fewer switches than `min_switches` cannot meet it, and from there on each number is tried in turn. Circuits: of
    the common Erlang B blockings that are tried, the highest that meets the goal.
    """
    least, why = min_switches(fleet, load, goal)
    if least > most:
        return Size(False, most, {}, 0.0, "", least, f"at least {least} switches are needed, as {why}")
    best = Size(False, least, {}, -1.0, "", least, why)
    for count in range(least, most + 1):
        made, spread = spread_over(fleet, load, count)
        for blocking in (0.2, 0.1, 0.05, 0.02, 0.01, 0.003, 0.001):
            sized = with_room(made, spread, blocking)
            found = forecast(sized, spread)
            service, worst = found.service, ""
            if service >= goal:
                for name, rest in losses(sized, lose):
                    after = forecast(rest, spread.restricted_to(rest.names)).service
                    if after < service:
                        service, worst = after, name
            tell(f"{count} switches, blocking {blocking:g}: service {service:.3f}")
            circuits = {one.ends: one.circuits for one in sized.groups}
            tried = Size(service >= goal, count, circuits, service, worst, least, why)
            if tried.met:
                return tried
            if tried.service > best.service:
                first = bottlenecks(found)[:1]
                reason = (
                    f"{first[0].kind} {first[0].name} holds back {first[0].refused_share:.0%}"
                    if first
                    else "time-outs"
                )
                best = replace(tried, reason=f"no fleet of up to {count} meets it; at best, {reason}")
            if found.service < goal and blocking <= 0.02 and best.service - found.service > 0.02:
                break
        if count - best.switches >= 4:
            break  # more switches have not helped for a while
    return best
