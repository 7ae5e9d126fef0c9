"""Forecast of the service of a fleet under a load that changes from window to window.

Service is the worth earned by calls that are answered in time, or late at a reduced worth, divided by the worth of all
calls. Time-varying loads use the modified offered load: the load in erlang that would be carried if no call were lost
follows the call rate with a lag of one holding time (Jagerman 1975; Massey and Whitt 1994), and the fixed point of
network.py is computed at each instant as if that load were stationary.
"""

from dataclasses import dataclass, field, replace

import numpy as np

from tansyspur.planner.fleet import Fleet, Load
from tansyspur.planner.network import ALL_PARTS, Array, Demand, ModelParts, Network, Solution, State

STEPS_PER_SPAN = 12  # target; fewer steps where holding times are long, more where there are many windows
BAND_DEVIATIONS = 1.96  # standard deviations: a 95 % interval
DISTINCT_SERVICE = 0.005  # fixed points whose services differ by more count as two


@dataclass(slots=True)
class Moment:
    """One time step of a forecast."""

    at_s: float  # start of the step
    length_s: float
    offered: float  # worth of the offered calls per second
    earned: float  # worth per second that calls earn
    busy_share: float  # share of all circuits that are busy


@dataclass(slots=True)
class Forecast:
    """Forecast of a load; services, shares and `fill` lie between 0 and 1.

    The keys of `groups` and `switches` are part of the answers of `tansyspur plan`.
    """

    service: float
    band: tuple[float, float]  # 95 % interval of the service that one run of this length shows
    service_by_class: dict[str, float]
    service_by_depot: dict[str, float]
    service_by_pair: dict[tuple[str, str], float]
    groups: list[dict[str, object]]
    switches: list[dict[str, object]]
    tandem_share: float  # share of the calls answered in time that go over a tandem
    late_share: float  # share of all calls that are answered late
    residual: float  # largest of all steps
    converged: bool  # in every step
    iterations: int  # sum over all steps
    moments: list[Moment]
    fixed_points: list[float] = field(default_factory=list)  # services; two where the network is bistable
    notes: list[str] = field(default_factory=list)

    @property
    def worst_class(self) -> float:
        """Service of the class that is served worst."""
        return min(self.service_by_class.values(), default=1.0)


def truncate_load(load: Load, seconds: float | None) -> Load:
    """The first seconds of a load; the whole load for None, 0 or a time beyond its end."""
    if not seconds or seconds >= load.span_s:
        return load
    windows, remaining = [], seconds
    for length in load.windows_s:
        if remaining > 0:
            windows.append(min(length, remaining))
            remaining -= length
    streams = tuple(
        replace(stream, calls_per_s=stream.calls_per_s[: len(windows)]) for stream in load.streams
    )
    return replace(load, windows_s=tuple(windows), streams=streams)


def _rates(network: Network, load: Load, window: int) -> list[Array]:
    """Calls per second in a window, by class, origin by destination."""
    class_index = {call_class.name: c for c, call_class in enumerate(load.classes)}
    rates = [np.zeros((network.n, network.n)) for _ in load.classes]
    for stream in load.streams:
        rates[class_index[stream.class_name]][
            network.index[stream.origin], network.index[stream.destination]
        ] += stream.calls_per_s[window]
    return rates


def _steps(load: Load) -> list[tuple[int, float, float]]:
    """Time steps as (window, start, length): each window in equal steps, none longer than the common maximum.

    A step need not be shorter than a quarter of the shortest holding time.
    """
    quarter_s = min(call_class.holding_time_s for call_class in load.classes) / 4
    max_step_s = max(quarter_s, load.span_s / STEPS_PER_SPAN)
    steps, at_s = [], 0.0
    for w, length in enumerate(load.windows_s):
        count = max(1, int(np.ceil(length / max_step_s - 1e-9)))
        steps += [(w, at_s + i * length / count, length / count) for i in range(count)]
        at_s += length
    return steps


def forecast(
    fleet: Fleet, load: Load, parts: ModelParts = ALL_PARTS, warm: bool = False, tolerance: float = 1e-3
) -> Forecast:
    """Forecasts a run of the whole load.

    The network starts empty or, if warm, in the stationary state of the first window. Calls from or to switches that
    are not in the fleet count as offered and lost. parts: mechanisms that the model includes. tolerance: residual at
    which the iteration of each step ends.
    """
    present = load.restricted_to(fleet.names)
    network = Network(fleet, present, parts)
    count = len(present.classes)
    erlang = [np.zeros((network.n, network.n)) for _ in range(count)]
    if warm:
        erlang = [
            rate * call_class.holding_time_s
            for rate, call_class in zip(_rates(network, present, 0), present.classes, strict=True)
        ]
    state: State | None = None
    totals = _Totals(network, present)
    by_window = {w: _rates(network, present, w) for w in range(len(present.windows_s))}
    solution: Solution | None = None
    for w, at_s, length in _steps(present):
        rate = by_window[w]
        middle, end = [], []
        for c, call_class in enumerate(present.classes):
            stationary = rate[c] * call_class.holding_time_s
            middle.append(
                stationary + (erlang[c] - stationary) * np.exp(-length / 2 / call_class.holding_time_s)
            )
            end.append(stationary + (erlang[c] - stationary) * np.exp(-length / call_class.holding_time_s))
        solution = network.solve(Demand(rate, middle), state, tolerance)
        state, erlang = solution.state, end
        totals.add(solution, rate, at_s, length)
    assert solution is not None
    result = totals.forecast(load)
    result.fixed_points = fixed_points(network, by_window, present, tolerance)
    if len(result.fixed_points) > 1:
        result.notes.append(
            "the network is bistable: in the heaviest window service is {:.3f} or {:.3f}, "
            "depending on the load before".format(*result.fixed_points)
        )
    return result


def fixed_points(
    network: Network, by_window: dict[int, list[Array]], load: Load, tolerance: float
) -> list[float]:
    """Service in the stationary state of the heaviest window, by the fixed points of the model.

    The iteration starts once from an empty and once from a full network; two values, in ascending order, are returned
    if they lead to services that differ by more than DISTINCT_SERVICE, else the lower one.
    """
    heaviest = max(by_window, key=lambda w: sum(float(rate.sum()) for rate in by_window[w]))
    rate = by_window[heaviest]
    demand = Demand(
        rate,
        [calls * call_class.holding_time_s for calls, call_class in zip(rate, load.classes, strict=True)],
    )
    services = []
    for full in (False, True):
        solution = network.solve(demand, network.initial_state(full), tolerance)
        offered, earned = _worth(solution, rate, load)
        services.append(earned / offered if offered else 1.0)
    services.sort()
    return services if services[1] - services[0] > DISTINCT_SERVICE else services[:1]


def _worth(solution: Solution, rate: list[Array], load: Load) -> tuple[float, float]:
    """Worth per second of the offered calls, and the part of it that they earn."""
    offered = earned = 0.0
    for c, call_class in enumerate(load.classes):
        offered += call_class.worth * float(rate[c].sum())
        earned += call_class.worth * float(
            (rate[c] * (solution.in_time[c] + call_class.late_worth * solution.late[c])).sum()
        )
    return offered, earned


class _Totals:
    """Sums of the solutions over the time steps: calls by class and pair, and time integrals by group and switch."""

    def __init__(self, network: Network, load: Load) -> None:
        self.network, self.load = network, load
        shape = (len(load.classes), network.n, network.n)
        self.calls, self.earned, self.variance = np.zeros(shape), np.zeros(shape), np.zeros(shape)
        self.in_time, self.late, self.tandem = np.zeros(shape), np.zeros(shape), np.zeros(shape)
        self.blocked = np.zeros(shape)
        self.offered_s, self.fill_s = np.zeros(shape[1:]), np.zeros(shape[1:])
        self.wait_s, self.admitted_s = np.zeros(network.n), np.zeros(network.n)
        self.span_s, self.residual, self.iterations, self.converged = 0.0, 0.0, 0, True
        self.moments: list[Moment] = []

    def add(self, solution: Solution, rate: list[Array], at_s: float, length_s: float) -> None:
        for c, call_class in enumerate(self.load.classes):
            calls = rate[c] * length_s
            share = solution.in_time[c] + call_class.late_worth * solution.late[c]
            self.calls[c] += calls
            self.earned[c] += calls * share
            self.variance[c] += calls * (
                solution.in_time[c] + call_class.late_worth**2 * solution.late[c] - share**2
            )
            self.in_time[c] += calls * solution.in_time[c]
            self.late[c] += calls * solution.late[c]
            self.tandem[c] += calls * solution.tandem[c]
            self.blocked[c] += calls * solution.blocking[c]
        self.offered_s += solution.offered * length_s
        self.fill_s += solution.fill * length_s
        self.wait_s += solution.wait_s * length_s
        self.admitted_s += solution.admitted * length_s
        self.span_s += length_s
        self.residual = max(self.residual, solution.residual)
        self.iterations += solution.iterations
        self.converged = self.converged and solution.converged
        offered, earned = _worth(solution, rate, self.load)
        sizes = self.network.circuits
        busy = float((solution.fill * sizes).sum() / max(1.0, sizes.sum()))
        self.moments.append(Moment(at_s, length_s, offered, earned, busy))

    def forecast(self, full_load: Load) -> Forecast:
        """The forecast from the sums; full_load also holds the calls of switches that are not in the fleet."""
        load, network = self.load, self.network
        worth = np.array([call_class.worth for call_class in load.classes])[:, None, None]
        names = network.fleet.names
        lost = _calls_of_missing_switches(full_load, set(names))
        offered = float((worth * self.calls).sum()) + sum(
            full_load.class_by_name(name).worth * calls for name, calls in lost.items()
        )
        earned = float((worth * self.earned).sum())
        service = earned / offered if offered else 1.0
        # Outcomes of calls are correlated, since a busy period of a group lasts for several holding times.
        correlation = 1 + 2 * float((worth * self.blocked).sum()) / max(
            1e-9, float((worth * self.calls).sum())
        )
        spread = (
            BAND_DEVIATIONS
            * np.sqrt(correlation * float((worth**2 * np.maximum(self.variance, 0.0)).sum()))
            / max(offered, 1e-9)
        )
        by_class = {}
        for c, call_class in enumerate(load.classes):
            calls = float(self.calls[c].sum()) + lost.get(call_class.name, 0.0)
            by_class[call_class.name] = float(self.earned[c].sum()) / calls if calls else 1.0
        by_pair, by_depot = {}, {}
        offered_pair, earned_pair = (worth * self.calls).sum(0), (worth * self.earned).sum(0)
        for i, a in enumerate(names):
            for j, b in enumerate(names):
                if offered_pair[i, j] > 0:
                    by_pair[a, b] = float(earned_pair[i, j] / offered_pair[i, j])
        for depot in network.fleet.depots:
            rows = [i for i, switch in enumerate(network.fleet.switches) if switch.depot == depot]
            total = float(offered_pair[rows].sum())
            by_depot[depot] = float(earned_pair[rows].sum()) / total if total else 1.0
        span = max(self.span_s, 1e-9)
        in_time = max(1e-9, float(self.in_time.sum()))
        return Forecast(
            service, (max(0.0, service - spread), min(1.0, service + spread)), by_class, by_depot, by_pair,
            self._group_rows(span), self._switch_rows(span), float(self.tandem.sum()) / in_time,
            float(self.late.sum()) / max(1e-9, float(self.calls.sum())), self.residual, self.converged, self.iterations,
            self.moments,
        )  # fmt: skip

    def _group_rows(self, span: float) -> list[dict[str, object]]:
        rows = []
        calls, blocked = self.calls.sum(0), self.blocked.sum(0)
        for group in self.network.fleet.groups:
            i, j = (self.network.index[end] for end in group.ends)
            offered, full = calls[i, j] + calls[j, i], blocked[i, j] + blocked[j, i]
            rows.append(
                {
                    "ends": list(group.ends),
                    "circuits": group.circuits,
                    "offered_erl": float(self.offered_s[i, j] / span),
                    "blocking": float(full / offered) if offered else 0.0 if group.circuits else 1.0,
                    "fill": float(self.fill_s[i, j] / span),
                }
            )
        return rows

    def _switch_rows(self, span: float) -> list[dict[str, object]]:
        return [
            {
                "name": switch.name,
                "depot": switch.depot,
                "wait_s": float(self.wait_s[i] / span),
                "takes": float(self.admitted_s[i] / span),
            }
            for i, switch in enumerate(self.network.fleet.switches)
        ]


def _calls_of_missing_switches(load: Load, names: set[str]) -> dict[str, float]:
    """Number of calls, by class, from or to switches that are not among the names."""
    calls_by_class: dict[str, float] = {}
    for stream in load.streams:
        if stream.origin not in names or stream.destination not in names:
            calls = sum(
                rate * length for rate, length in zip(stream.calls_per_s, load.windows_s, strict=True)
            )
            calls_by_class[stream.class_name] = calls_by_class.get(stream.class_name, 0.0) + calls
    return calls_by_class
