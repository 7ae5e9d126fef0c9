"""A fleet and a load as the planner and the rig read them: checked against each other, and plain."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any


class PlanError(ValueError):
    """A fleet or a load that cannot be used; the text names the path of each thing that is wrong."""

    def __init__(self, troubles: Iterable[str]) -> None:
        self.problems = list(troubles)
        super().__init__("\n".join(self.problems))


@dataclass(slots=True, frozen=True)
class StoreSwitch:
    name: str
    depot: str
    setups_per_s: float  # set-ups a second that its processor can do
    queue_limit_s: float = 2.0  # a longer wait turns set-ups away
    other_share: float = 0.0  # of the processor, while other work is on
    other_on_s: float = 3.0
    other_off_s: float = 3.0

    @property
    def other_mean(self) -> float:
        """Share of the processor that other work takes over a long time."""
        return self.other_share * self.other_on_s / (self.other_on_s + self.other_off_s)


@dataclass(slots=True, frozen=True)
class Group:
    ends: tuple[str, str]
    circuits: int


@dataclass(slots=True, frozen=True)
class Work:
    """Of a call, in set-ups."""

    look: float = 0.2
    reject: float = 0.2
    answer: float = 0.2
    release: float = 0.2


@dataclass(slots=True, frozen=True)
class Rules:
    max_attempts: int = 5
    release_delay_s: float = 0.2
    retry_after_s: float = 2.0
    fill_reports: bool = True
    cold_share: float = 0.31
    ramp_s: float = 13.0
    overload_factor: float = 3.0
    fall_s: float = 3.0


@dataclass(slots=True, frozen=True)
class Fleet:
    switches: tuple[StoreSwitch, ...]
    groups: tuple[Group, ...]
    same_s: float = 0.005
    cross_s: float = 0.016
    between_s: Mapping[frozenset[str], float] = field(default_factory=dict)  # one way, by pairs of depots
    work: Work = Work()
    rules: Rules = Rules()

    @property
    def names(self) -> list[str]:
        return [one.name for one in self.switches]

    @property
    def depots(self) -> list[str]:
        return list(dict.fromkeys(one.depot for one in self.switches))

    def delay_s(self, a: StoreSwitch, b: StoreSwitch) -> float:
        """One way."""
        if a.depot == b.depot:
            return self.same_s
        return self.between_s.get(frozenset((a.depot, b.depot)), self.cross_s)

    def without(self, depots: Iterable[str] = (), switches: Iterable[str] = ()) -> "Fleet":
        """The same fleet when these are lost. Raises PlanError for a name that it does not have."""
        depots, switches = list(depots), list(switches)
        unknown = [f"no depot is named {one!r}; there are {', '.join(self.depots)}"
                   for one in depots if one not in self.depots]  # fmt: skip
        unknown += [f"no switch is named {one!r}; there are {', '.join(self.names)}"
                    for one in switches if one not in self.names]  # fmt: skip
        if unknown:
            raise PlanError(unknown)
        kept = tuple(one for one in self.switches if one.depot not in depots and one.name not in switches)
        if not kept:
            raise PlanError(["no store switch would be left"])
        names = {one.name for one in kept}
        groups = tuple(one for one in self.groups if set(one.ends) <= names)
        return replace(self, switches=kept, groups=groups)

    def with_circuits(self, circuits: Mapping[tuple[str, str], int]) -> "Fleet":
        groups = tuple(replace(one, circuits=circuits.get(one.ends, one.circuits)) for one in self.groups)
        return replace(self, groups=groups)


@dataclass(slots=True, frozen=True)
class CallClass:
    name: str
    holding_time_s: float
    objective_s: float
    deadline_s: float
    worth: float = 1.0
    late_worth: float = 0.0
    width: int = 1


@dataclass(slots=True, frozen=True)
class Stream:
    """Calls of one class from one store switch to another; calls a second in each window."""

    origin: str
    destination: str
    class_name: str
    calls_per_s: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Redial:
    max_redials: int = 3
    wait_s: float = 1.0
    patience_share: float = 0.35  # share of the class's deadline
    heed_share: float = 0.75


@dataclass(slots=True, frozen=True)
class Load:
    windows_s: tuple[float, ...]
    classes: tuple[CallClass, ...]
    streams: tuple[Stream, ...]
    redial: Redial = Redial()
    holding_distribution: str = "exponential"
    notes: tuple[str, ...] = ()

    @property
    def span_s(self) -> float:
        return sum(self.windows_s)

    @property
    def total_calls(self) -> float:
        """First tries over the whole span."""
        return sum(
            rate * length
            for one in self.streams
            for rate, length in zip(one.calls_per_s, self.windows_s, strict=True)
        )

    def class_named(self, name: str) -> CallClass:
        return next(kind for kind in self.classes if kind.name == name)

    def scaled(self, factor: float) -> "Load":
        streams = tuple(
            replace(one, calls_per_s=tuple(rate * factor for rate in one.calls_per_s)) for one in self.streams
        )
        return replace(self, streams=streams)

    def restricted_to(self, names: Iterable[str]) -> "Load":
        """What is left of it among these store switches."""
        kept = set(names)
        streams = tuple(one for one in self.streams if one.origin in kept and one.destination in kept)
        return replace(self, streams=streams)


def fleet_from_record(record: Mapping[str, Any]) -> Fleet:
    """A fleet from a record of the schema `fleet`. Raises PlanError with every contradiction in it."""
    troubles: list[str] = []
    switches = []
    for i, row in enumerate(record["switches"]):
        if row["name"] in {one.name for one in switches}:
            troubles.append(f"switches[{i}].name: {row['name']!r} is there twice")
        other = row["other"]
        switches.append(
            StoreSwitch(
                row["name"], row["depot"], row["rate"], row["queue_limit"], other["share"], other["on"],
                other["off"],
            )
        )  # fmt: skip
    names, depots = {one.name for one in switches}, {one.depot for one in switches}
    for i, row in enumerate(switches):
        if record["depots"] and row.depot not in record["depots"]:
            troubles.append(f"switches[{i}].depot: {row.depot!r} is not among depots")
    groups, seen = [], set()
    for i, row in enumerate(record["groups"]):
        first, second = row["ends"]
        troubles += [
            f"groups[{i}].ends: no switch is named {one!r}" for one in row["ends"] if one not in names
        ]
        if first == second:
            troubles.append(f"groups[{i}].ends: both are {first!r}")
        if frozenset(row["ends"]) in seen:
            troubles.append(f"groups[{i}].ends: a second group between {first!r} and {second!r}")
        seen.add(frozenset(row["ends"]))
        groups.append(Group((first, second), row["circuits"]))
    between = {}
    for i, row in enumerate(record["delay"]["between"]):
        troubles += [
            f"delay.between[{i}].ends: no depot is named {one!r}" for one in row["ends"] if one not in depots
        ]
        between[frozenset(row["ends"])] = row["delay"]
    if troubles:
        raise PlanError(troubles)
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
    """A load from a record of the schema `load`, checked against the fleet it is for."""
    troubles: list[str] = []
    classes = []
    for i, row in enumerate(record["classes"]):
        if row["name"] in {one.name for one in classes}:
            troubles.append(f"classes[{i}].name: {row['name']!r} is there twice")
        if row["aim"] > row["deadline"]:
            troubles.append(
                f"classes[{i}].aim: {row['aim']:g}s is beyond the deadline of {row['deadline']:g}s"
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
    named, windows = {one.name for one in classes}, record["windows"]
    names = set(fleet.names) if fleet else None
    streams = []
    for i, row in enumerate(record["streams"]):
        for key in ("from", "to"):
            if names is not None and row[key] not in names:
                troubles.append(f"streams[{i}].{key}: no switch of the fleet is named {row[key]!r}")
        if row["from"] == row["to"]:
            troubles.append(f"streams[{i}].to: a call to its own switch, {row['to']!r}, is not routed")
        if row["class"] not in named:
            troubles.append(f"streams[{i}].class: no class is named {row['class']!r}")
        calls = row["calls"] if isinstance(row["calls"], list) else [row["calls"]] * len(windows)
        if len(calls) != len(windows):
            troubles.append(f"streams[{i}].calls: {len(calls)} figures for {len(windows)} windows")
        streams.append(Stream(row["from"], row["to"], row["class"], tuple(calls)))
    if troubles:
        raise PlanError(troubles)
    redial = record["redial"]
    return Load(
        tuple(windows), tuple(classes), tuple(streams),
        Redial(redial["tries"], redial["wait"], redial["patience"], redial["heeds"]),
        record["holding"], tuple(record["notes"]),
    )  # fmt: skip


def record_from_load(load: Load) -> dict[str, Any]:
    """The record that `load_from_record` reads back."""
    return {
        "windows": list(load.windows_s),
        "classes": [
            {"name": one.name, "hold": one.holding_time_s, "aim": one.objective_s, "deadline": one.deadline_s,
             "worth": one.worth, "late_worth": one.late_worth, "width": one.width}
            for one in load.classes
        ],
        "streams": [
            {"from": one.origin, "to": one.destination, "class": one.class_name, "calls": list(one.calls_per_s)}
            for one in load.streams
        ],
        "redial": {"tries": load.redial.max_redials, "wait": load.redial.wait_s, "patience": load.redial.patience_share,
                   "heeds": load.redial.heed_share},
        "holding": load.holding_distribution,
        "notes": list(load.notes),
    }  # fmt: skip
