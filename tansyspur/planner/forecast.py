"""What a fleet will do under a load, window by window, from empty: service as the operators count it; no I/O.

Loads that change are met by the modified offered load: the erlang that the calls would hold if none were lost follow
their rate with the holding time's delay (Jagerman 1975; Massey and Whitt 1994), and the fixed point is taken at each
instant as if that load stood.
"""

from dataclasses import dataclass, field, replace

import numpy as np

from tansyspur.planner.fleet import Fleet, Load
from tansyspur.planner.network import ALL, Array, Demand, Network, Parts, Solution, State

MOST_STEPS = 12
BAND = 1.96  # deviations: 95 of 100
APART = 0.005  # fixed points whose services differ by more are two


@dataclass(slots=True)
class Moment:
    at_s: float
    length_s: float
    offered: float  # worth a second
    earned: float
    busy_share: float  # share of the circuits


@dataclass(slots=True)
class Forecast:
    service: float
    band: tuple[float, float]  # of what one run of this length shows, 95 of 100
    service_by_class: dict[str, float]
    service_by_depot: dict[str, float]
    service_by_pair: dict[tuple[str, str], float]
    groups: list[dict[str, object]]
    switches: list[dict[str, object]]
    tandem_share: float  # share of the calls in time that stand over a tandem
    late_share: float
    residual: float
    converged: bool
    rounds: int
    moments: list[Moment]
    fixed_points: list[float] = field(default_factory=list)  # services; two where the network has two states
    notes: list[str] = field(default_factory=list)

    @property
    def worst_class(self) -> float:
        return min(self.service_by_class.values(), default=1.0)


def truncate_load(load: Load, seconds: float | None) -> Load:
    """The first so many seconds of a load."""
    if not seconds or seconds >= load.span_s:
        return load
    windows, left = [], seconds
    for length in load.windows_s:
        if left > 0:
            windows.append(min(length, left))
            left -= length
    streams = tuple(replace(one, calls_per_s=one.calls_per_s[: len(windows)]) for one in load.streams)
    return replace(load, windows_s=tuple(windows), streams=streams)


def _rates(network: Network, load: Load, window: int) -> list[Array]:
    """Calls a second by class, origin by destination."""
    names = {kind.name: c for c, kind in enumerate(load.classes)}
    rates = [np.zeros((network.n, network.n)) for _ in load.classes]
    for one in load.streams:
        rates[names[one.class_name]][network.index[one.origin], network.index[one.destination]] += (
            one.calls_per_s[window]
        )
    return rates


def _steps(load: Load) -> list[tuple[int, float, float]]:
    """(window, start, length): short ones after each change of load, longer ones as it settles."""
    shortest = min(kind.holding_time_s for kind in load.classes) / 4
    least = max(shortest, load.span_s / MOST_STEPS)
    found, at = [], 0.0
    for w, length in enumerate(load.windows_s):
        count = max(1, int(np.ceil(length / least - 1e-9)))
        found += [(w, at + i * length / count, length / count) for i in range(count)]
        at += length
    return found


def forecast(
    fleet: Fleet, load: Load, parts: Parts = ALL, warm: bool = False, tolerance: float = 1e-3
) -> Forecast:
    """The forecast of a run of the whole load. It begins empty, or, where warm, as if the first window had stood for
    ever. Calls from or to switches that the fleet has not are lost, and counted."""
    here = load.restricted_to(fleet.names)
    network = Network(fleet, here, parts)
    count = len(here.classes)
    erlang = [np.zeros((network.n, network.n)) for _ in range(count)]
    if warm:
        erlang = [
            rate * kind.holding_time_s
            for rate, kind in zip(_rates(network, here, 0), here.classes, strict=True)
        ]
    state: State | None = None
    totals = _Totals(network, here)
    by_window = {w: _rates(network, here, w) for w in range(len(here.windows_s))}
    solution: Solution | None = None
    for w, at_s, length in _steps(here):
        rate = by_window[w]
        middle, end = [], []
        for c, kind in enumerate(here.classes):
            aimed = rate[c] * kind.holding_time_s
            middle.append(aimed + (erlang[c] - aimed) * np.exp(-length / 2 / kind.holding_time_s))
            end.append(aimed + (erlang[c] - aimed) * np.exp(-length / kind.holding_time_s))
        solution = network.solve(Demand(rate, middle), state, tolerance)
        state, erlang = solution.state, end
        totals.add(solution, rate, at_s, length)
    assert solution is not None
    found = totals.forecast(load)
    found.fixed_points = fixed_points(network, by_window, here, tolerance)
    if len(found.fixed_points) > 1:
        found.notes.append(
            "two states: service {:.3f} or {:.3f} at the heaviest window, by how it was reached".format(
                *found.fixed_points
            )
        )
    return found


def fixed_points(
    network: Network, by_window: dict[int, list[Array]], load: Load, tolerance: float
) -> list[float]:
    """The services at the heaviest window, found from an empty network and from a full one."""
    heaviest = max(by_window, key=lambda w: sum(float(rate.sum()) for rate in by_window[w]))
    rate = by_window[heaviest]
    demand = Demand(rate, [r * kind.holding_time_s for r, kind in zip(rate, load.classes, strict=True)])
    services = []
    for busy in (False, True):
        solution = network.solve(demand, network.start(busy), tolerance)
        offered, earned = _worth(solution, rate, load)
        services.append(earned / offered if offered else 1.0)
    services.sort()
    return services if services[1] - services[0] > APART else services[:1]


def _worth(solution: Solution, rate: list[Array], load: Load) -> tuple[float, float]:
    offered = earned = 0.0
    for c, kind in enumerate(load.classes):
        offered += kind.worth * float(rate[c].sum())
        earned += kind.worth * float(
            (rate[c] * (solution.in_time[c] + kind.late_worth * solution.late[c])).sum()
        )
    return offered, earned


class _Totals:
    def __init__(self, network: Network, load: Load) -> None:
        self.network, self.load = network, load
        shape = (len(load.classes), network.n, network.n)
        self.calls, self.earned, self.squares = np.zeros(shape), np.zeros(shape), np.zeros(shape)
        self.in_time, self.late, self.tandem = np.zeros(shape), np.zeros(shape), np.zeros(shape)
        self.blocked = np.zeros(shape)
        self.offered_s, self.fill_s = np.zeros(shape[1:]), np.zeros(shape[1:])
        self.wait_s, self.admitted_s = np.zeros(network.n), np.zeros(network.n)
        self.span_s, self.residual, self.rounds, self.converged = 0.0, 0.0, 0, True
        self.moments: list[Moment] = []

    def add(self, found: Solution, rate: list[Array], at_s: float, length_s: float) -> None:
        for c, kind in enumerate(self.load.classes):
            calls = rate[c] * length_s
            share = found.in_time[c] + kind.late_worth * found.late[c]
            self.calls[c] += calls
            self.earned[c] += calls * share
            self.squares[c] += calls * (found.in_time[c] + kind.late_worth**2 * found.late[c] - share**2)
            self.in_time[c] += calls * found.in_time[c]
            self.late[c] += calls * found.late[c]
            self.tandem[c] += calls * found.tandem[c]
            self.blocked[c] += calls * found.blocking[c]
        self.offered_s += found.offered * length_s
        self.fill_s += found.fill * length_s
        self.wait_s += found.wait_s * length_s
        self.admitted_s += found.admitted * length_s
        self.span_s += length_s
        self.residual = max(self.residual, found.residual)
        self.rounds += found.rounds
        self.converged = self.converged and found.converged
        offered, earned = _worth(found, rate, self.load)
        sizes = self.network.circuits
        busy = float((found.fill * sizes).sum() / max(1.0, sizes.sum()))
        self.moments.append(Moment(at_s, length_s, offered, earned, busy))

    def forecast(self, whole: Load) -> Forecast:
        load, network = self.load, self.network
        worth = np.array([kind.worth for kind in load.classes])[:, None, None]
        names = network.fleet.names
        lost = _lost_calls(whole, set(names))  # of switches that are not there
        asked = float((worth * self.calls).sum()) + sum(
            whole.class_named(name).worth * calls for name, calls in lost.items()
        )
        earned = float((worth * self.earned).sum())
        service = earned / asked if asked else 1.0
        # Calls succeed or fail in bunches: a busy spell of a group lasts for some holding times.
        bunch = 1 + 2 * float((worth * self.blocked).sum()) / max(1e-9, float((worth * self.calls).sum()))
        spread = (
            BAND * np.sqrt(bunch * float((worth**2 * np.maximum(self.squares, 0.0)).sum())) / max(asked, 1e-9)
        )
        by_class = {}
        for c, kind in enumerate(load.classes):
            calls = float(self.calls[c].sum()) + lost.get(kind.name, 0.0)
            by_class[kind.name] = float(self.earned[c].sum()) / calls if calls else 1.0
        by_pair, by_depot = {}, {}
        offered_pair, earned_pair = (worth * self.calls).sum(0), (worth * self.earned).sum(0)
        for i, a in enumerate(names):
            for j, b in enumerate(names):
                if offered_pair[i, j] > 0:
                    by_pair[a, b] = float(earned_pair[i, j] / offered_pair[i, j])
        for depot in network.fleet.depots:
            rows = [i for i, one in enumerate(network.fleet.switches) if one.depot == depot]
            total = float(offered_pair[rows].sum())
            by_depot[depot] = float(earned_pair[rows].sum()) / total if total else 1.0
        span = max(self.span_s, 1e-9)
        won = max(1e-9, float(self.in_time.sum()))
        return Forecast(
            service, (max(0.0, service - spread), min(1.0, service + spread)), by_class, by_depot, by_pair,
            self._group_rows(span), self._switch_rows(span), float(self.tandem.sum()) / won,
            float(self.late.sum()) / max(1e-9, float(self.calls.sum())), self.residual, self.converged, self.rounds,
            self.moments,
        )  # fmt: skip

    def _group_rows(self, span: float) -> list[dict[str, object]]:
        rows = []
        calls, blocked = self.calls.sum(0), self.blocked.sum(0)
        for one in self.network.fleet.groups:
            i, j = (self.network.index[end] for end in one.ends)
            both, none = calls[i, j] + calls[j, i], blocked[i, j] + blocked[j, i]
            rows.append(
                {
                    "ends": list(one.ends),
                    "circuits": one.circuits,
                    "offered_erl": float(self.offered_s[i, j] / span),
                    "blocking": float(none / both) if both else 0.0 if one.circuits else 1.0,
                    "fill": float(self.fill_s[i, j] / span),
                }
            )
        return rows

    def _switch_rows(self, span: float) -> list[dict[str, object]]:
        return [
            {
                "name": one.name,
                "depot": one.depot,
                "wait_s": float(self.wait_s[i] / span),
                "takes": float(self.admitted_s[i] / span),
            }
            for i, one in enumerate(self.network.fleet.switches)
        ]


def _lost_calls(load: Load, names: set[str]) -> dict[str, float]:
    found: dict[str, float] = {}
    for one in load.streams:
        if one.origin not in names or one.destination not in names:
            calls = sum(rate * length for rate, length in zip(one.calls_per_s, load.windows_s, strict=True))
            found[one.class_name] = found.get(one.class_name, 0.0) + calls
    return found
