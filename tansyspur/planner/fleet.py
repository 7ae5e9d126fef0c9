"""Data model of a fleet of store switches and of the load offered to it, shared by the planner and the rig.

`fleet_from_record` and `load_from_record` build the model from validated records and check the references between
their parts; `record_from_load` writes a load back. Unless a comment says otherwise, times are in seconds, rates per
second, sizes in circuits, and shares and probabilities lie between 0 and 1.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any


class PlanError(ValueError):
    """A fleet or a load that cannot be used.

    `problems` lists every problem that was found; those of a record start with the path of the offending value.
    """

    def __init__(self, problems: Iterable[str]) -> None:
        self.problems = list(problems)
        super().__init__("\n".join(self.problems))


@dataclass(slots=True, frozen=True)
class StoreSwitch:
    """A carrier switch in a store. Its processor alternates between periods with and without other work."""

    name: str
    depot: str
    setups_per_s: float  # capacity of the processor when no other work runs
    queue_limit_s: float = 2.0  # set-ups that would wait longer than this are rejected
    other_share: float = 0.0  # share of the processor that other work takes while it runs
    other_on_s: float = 3.0  # mean length of a period with other work
    other_off_s: float = 3.0  # mean length of a period without it

    @property
    def mean_other_share(self) -> float:
        """Share of the processor that other work takes, averaged over both kinds of period."""
        return self.other_share * self.other_on_s / (self.other_on_s + self.other_off_s)


@dataclass(slots=True, frozen=True)
class Group:
    """A trunk group between two store switches, given by their names."""

    ends: tuple[str, str]
    circuits: int


@dataclass(slots=True, frozen=True)
class Work:
    """Processor work of the other messages of a call, in units of the work of one set-up."""

    look: float = 0.2  # examining a call at the switch where it arrives, also if it is refused afterwards
    reject: float = 0.2  # rejecting a set-up because the queue of the processor is too long
    answer: float = 0.2  # at each switch on the route
    release: float = 0.2  # at each switch on the route


@dataclass(slots=True, frozen=True)
class Rules:
    """Settings of the gatekeepers; interface.Settings describes the last four."""

    max_attempts: int = 5
    release_delay_s: float = 0.2  # before a call is sent again after a time-out, cut or cancellation
    retry_after_s: float = 2.0  # longest retry-after time that callers are given
    fill_reports: bool = True  # gatekeepers report to each other how full their groups are
    cold_share: float = 0.31
    ramp_s: float = 13.0
    overload_factor: float = 3.0
    fall_s: float = 3.0


@dataclass(slots=True, frozen=True)
class Fleet:
    """Store switches, the trunk groups between them, and the one-way transmission delays."""

    switches: tuple[StoreSwitch, ...]
    groups: tuple[Group, ...]
    same_depot_delay_s: float = 0.005  # between switches of one depot
    cross_depot_delay_s: float = 0.016  # between depots that `depot_delays_s` does not list
    depot_delays_s: Mapping[frozenset[str], float] = field(default_factory=dict)  # by pair of depots
    work: Work = Work()
    rules: Rules = Rules()

    @property
    def names(self) -> list[str]:
        """Names of the switches, in the order of the fleet."""
        return [switch.name for switch in self.switches]

    @property
    def depots(self) -> list[str]:
        """Names of the depots, in order of first appearance."""
        return list(dict.fromkeys(switch.depot for switch in self.switches))

    def delay_s(self, a: StoreSwitch, b: StoreSwitch) -> float:
        """One-way transmission delay between two switches."""
        if a.depot == b.depot:
            return self.same_depot_delay_s
        return self.depot_delays_s.get(frozenset((a.depot, b.depot)), self.cross_depot_delay_s)

    def without(self, depots: Iterable[str] = (), switches: Iterable[str] = ()) -> "Fleet":
        """A copy without these depots and switches, and without the trunk groups that end at them.

        Raises PlanError for an unknown name, and if no switch would be left.
        """
        depots, switches = list(depots), list(switches)
        unknown = [f"no depot is named {depot!r}; there are {', '.join(self.depots)}"
                   for depot in depots if depot not in self.depots]  # fmt: skip
        unknown += [f"no switch is named {name!r}; there are {', '.join(self.names)}"
                    for name in switches if name not in self.names]  # fmt: skip
        if unknown:
            raise PlanError(unknown)
        kept = tuple(
            switch for switch in self.switches if switch.depot not in depots and switch.name not in switches
        )
        if not kept:
            raise PlanError(["no store switch would be left"])
        names = {switch.name for switch in kept}
        groups = tuple(group for group in self.groups if set(group.ends) <= names)
        return replace(self, switches=kept, groups=groups)

    def with_circuits(self, circuits: Mapping[tuple[str, str], int]) -> "Fleet":
        """A copy with new sizes for the groups listed by their `ends`; the other groups keep theirs."""
        groups = tuple(
            replace(group, circuits=circuits.get(group.ends, group.circuits)) for group in self.groups
        )
        return replace(self, groups=groups)


@dataclass(slots=True, frozen=True)
class CallClass:
    """Calls with a common holding time, value and delay requirement."""

    name: str
    holding_time_s: float  # mean
    objective_s: float  # a call that is answered within this set-up delay counts in full
    deadline_s: float  # redials end here, counted from the first try
    worth: float = 1.0  # weight of the class in the service
    late_worth: float = 0.0  # share of the worth that a call answered after the objective earns
    width: int = 1  # circuits that a call takes


@dataclass(slots=True, frozen=True)
class Stream:
    """Calls of one class from one store switch to another, with one rate for each window of the load."""

    origin: str
    destination: str
    class_name: str
    calls_per_s: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Redial:
    """Behaviour of callers whose call was not answered."""

    max_redials: int = 3
    wait_s: float = 1.0  # pause before each redial
    patience_share: float = 0.35  # share of the class's deadline that a caller waits before giving up a try
    heed_share: float = 0.75  # share of the callers that observe the retry-after time of a refusal


@dataclass(slots=True, frozen=True)
class Load:
    """Offered calls: streams whose rates are constant within each window."""

    windows_s: tuple[float, ...]  # length of each window
    classes: tuple[CallClass, ...]
    streams: tuple[Stream, ...]
    redial: Redial = Redial()
    holding_distribution: str = "exponential"
    notes: tuple[str, ...] = ()

    @property
    def span_s(self) -> float:
        """Total length of all windows."""
        return sum(self.windows_s)

    @property
    def total_calls(self) -> float:
        """Expected number of calls over the whole span, without redials."""
        return sum(
            rate * length
            for stream in self.streams
            for rate, length in zip(stream.calls_per_s, self.windows_s, strict=True)
        )

    def class_by_name(self, name: str) -> CallClass:
        """The class of that name. Raises StopIteration if there is none."""
        return next(call_class for call_class in self.classes if call_class.name == name)

    def scaled(self, factor: float) -> "Load":
        """A copy with every rate multiplied by the factor."""
        streams = tuple(
            replace(stream, calls_per_s=tuple(rate * factor for rate in stream.calls_per_s))
            for stream in self.streams
        )
        return replace(self, streams=streams)

    def restricted_to(self, names: Iterable[str]) -> "Load":
        """A copy with only the streams whose origin and destination are both among these switches."""
        kept = set(names)
        streams = tuple(
            stream for stream in self.streams if stream.origin in kept and stream.destination in kept
        )
        return replace(self, streams=streams)


def fleet_from_record(record: Mapping[str, Any]) -> Fleet:
    """Builds a fleet from a record of the schema `fleet`.

    Raises PlanError with all problems: duplicate names or groups, and references to unknown switches or depots.
    """
    problems: list[str] = []
    switches = []
    for i, row in enumerate(record["switches"]):
        if row["name"] in {switch.name for switch in switches}:
            problems.append(f"switches[{i}].name: duplicate switch name {row['name']!r}")
        other = row["other"]
        switches.append(
            StoreSwitch(
                row["name"], row["depot"], row["rate"], row["queue_limit"], other["share"], other["on"],
                other["off"],
            )
        )  # fmt: skip
    names, depots = {switch.name for switch in switches}, {switch.depot for switch in switches}
    for i, row in enumerate(switches):
        if record["depots"] and row.depot not in record["depots"]:
            problems.append(f"switches[{i}].depot: {row.depot!r} is not listed in depots")
    groups, seen = [], set()
    for i, row in enumerate(record["groups"]):
        first, second = row["ends"]
        problems += [
            f"groups[{i}].ends: no switch is named {name!r}" for name in row["ends"] if name not in names
        ]
        if first == second:
            problems.append(f"groups[{i}].ends: both ends are {first!r}")
        if frozenset(row["ends"]) in seen:
            problems.append(f"groups[{i}].ends: duplicate group between {first!r} and {second!r}")
        seen.add(frozenset(row["ends"]))
        groups.append(Group((first, second), row["circuits"]))
    between = {}
    for i, row in enumerate(record["delay"]["between"]):
        problems += [
            f"delay.between[{i}].ends: no depot is named {depot!r}"
            for depot in row["ends"]
            if depot not in depots
        ]
        between[frozenset(row["ends"])] = row["delay"]
    if problems:
        raise PlanError(problems)
    rules = record["rules"]
    return Fleet(
        tuple(switches), tuple(groups), record["delay"]["same"], record["delay"]["cross"], between,
        Work(**record["work"]),
        Rules(
            rules["attempts"], rules["release"], rules["retry_after"], rules["reports"], rules["cold_share"],
            rules["ramp"], rules["overload_factor"], rules["fall"],
        ),
    )  # fmt: skip


def load_from_record(record: Mapping[str, Any], fleet: Fleet | None = None) -> Load:
    """Builds a load from a record of the schema `load`.

    With a fleet, the names of switches are checked against it. Raises PlanError with all problems.
    """
    problems: list[str] = []
    classes = []
    for i, row in enumerate(record["classes"]):
        if row["name"] in {call_class.name for call_class in classes}:
            problems.append(f"classes[{i}].name: duplicate class name {row['name']!r}")
        if row["aim"] > row["deadline"]:
            problems.append(
                f"classes[{i}].aim: objective of {row['aim']:g}s is longer than the deadline of {row['deadline']:g}s"
            )
        classes.append(
            CallClass(
                row["name"],
                row["hold"],
                row["aim"],
                row["deadline"],
                row["worth"],
                row["late_worth"],
                row["width"],
            )
        )
    class_names, windows = {call_class.name for call_class in classes}, record["windows"]
    switch_names = set(fleet.names) if fleet else None
    streams = []
    for i, row in enumerate(record["streams"]):
        for key in ("from", "to"):
            if switch_names is not None and row[key] not in switch_names:
                problems.append(f"streams[{i}].{key}: no switch of the fleet is named {row[key]!r}")
        if row["from"] == row["to"]:
            problems.append(f"streams[{i}].to: calls from {row['to']!r} to itself are not routed")
        if row["class"] not in class_names:
            problems.append(f"streams[{i}].class: no class is named {row['class']!r}")
        rates = row["calls"] if isinstance(row["calls"], list) else [row["calls"]] * len(windows)
        if len(rates) != len(windows):
            problems.append(f"streams[{i}].calls: {len(rates)} rates for {len(windows)} windows")
        streams.append(Stream(row["from"], row["to"], row["class"], tuple(rates)))
    if problems:
        raise PlanError(problems)
    redial = record["redial"]
    return Load(
        tuple(windows), tuple(classes), tuple(streams),
        Redial(redial["tries"], redial["wait"], redial["patience"], redial["heeds"]),
        record["holding"], tuple(record["notes"]),
    )  # fmt: skip


def record_from_load(load: Load) -> dict[str, Any]:
    """The record from which `load_from_record` builds an equal load."""
    return {
        "windows": list(load.windows_s),
        "classes": [
            {"name": call_class.name, "hold": call_class.holding_time_s, "aim": call_class.objective_s,
             "deadline": call_class.deadline_s, "worth": call_class.worth, "late_worth": call_class.late_worth,
             "width": call_class.width}
            for call_class in load.classes
        ],
        "streams": [
            {"from": stream.origin, "to": stream.destination, "class": stream.class_name,
             "calls": list(stream.calls_per_s)}
            for stream in load.streams
        ],
        "redial": {"tries": load.redial.max_redials, "wait": load.redial.wait_s,
                   "patience": load.redial.patience_share, "heeds": load.redial.heed_share},
        "holding": load.holding_distribution,
        "notes": list(load.notes),
    }  # fmt: skip
