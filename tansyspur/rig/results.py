"""What a run measured: a msgpack file of whole records, and a summary for people and programs; no I/O here."""

import msgspec

from tansyspur.planner.fleet import Load

FORMAT = 1


class CallResult(msgspec.Struct, array_like=True):
    """One caller's call, with its redials. Times in seconds after the start."""

    first_s: float
    origin: str
    destination: str
    class_name: str
    tries: int
    stood_s: float  # -1: it never stood
    cut: bool
    tandem: bool
    attempts: int
    over: bool  # false: the run ended before the call was decided


class GroupResult(msgspec.Struct):
    ends: tuple[str, str]
    circuits: int
    carried_erl: float
    seizures: int
    full: int


class SwitchResult(msgspec.Struct):
    name: str
    depot: str
    used: float  # share of the processor that calls took
    turned_away: int


class GatekeeperResult(msgspec.Struct):
    name: str
    cpu_s: float
    memory_mb: float
    crashed: bool


class RunResult(msgspec.Struct):
    """A run of the rig. Service is worth that stood in time over worth offered."""

    format: int
    seed: int
    scale: float
    seconds: float
    interrupted: bool
    late_s: float  # the longest that a timer of the rig was late: above some 50 ms the run is no measurement
    violations: list[str]
    calls: list[CallResult]
    groups: list[GroupResult]
    switches: list[SwitchResult]
    gatekeepers: list[GatekeeperResult]
    setup_delay_us: dict[str, int]  # p50, p90, p99, p999, max of the time to stand
    messages: dict[str, int]


def worth(call: CallResult, load: Load) -> float:
    """The share of its worth that a call earned."""
    kind = load.class_named(call.class_name)
    if call.stood_s < 0 or call.cut:
        return 0.0
    waited_s = call.stood_s - call.first_s
    return 1.0 if waited_s <= kind.objective_s else kind.late_worth if waited_s <= kind.deadline_s else 0.0


def service(calls: list[CallResult], load: Load) -> float:
    """0 to 1; 1 where nothing was offered."""
    offered = earned = 0.0
    for call in calls:
        value = load.class_named(call.class_name).worth
        offered += value
        earned += value * worth(call, load)
    return earned / offered if offered else 1.0


def decided(result: RunResult) -> list[CallResult]:
    return [call for call in result.calls if call.over]


def by(calls: list[CallResult], load: Load, key: str) -> dict[str, float]:
    found: dict[str, list[CallResult]] = {}
    for call in calls:
        found.setdefault(getattr(call, key), []).append(call)
    return {name: service(rows, load) for name, rows in sorted(found.items())}


def summary(result: RunResult, load: Load) -> dict[str, object]:
    calls = decided(result)
    stood = [call for call in calls if call.stood_s >= 0]
    count = max(1, len(calls))
    return {
        "seed": result.seed,
        "scale": result.scale,
        "seconds": round(result.seconds, 1),
        "interrupted": result.interrupted,
        "calls": len(calls),
        "service": round(service(calls, load), 4),
        "service_by_class": {name: round(x, 4) for name, x in by(calls, load, "class_name").items()},
        "service_by_origin": {name: round(x, 4) for name, x in by(calls, load, "origin").items()},
        "stood": round(len(stood) / count, 4),
        "cut": round(sum(call.cut for call in calls) / count, 4),
        "tandem": round(sum(call.tandem for call in stood) / max(1, len(stood)), 4),
        "tries_per_call": round(sum(call.tries for call in calls) / count, 3),
        "attempts_per_call": round(sum(call.attempts for call in calls) / count, 3),
        "setup_delay_ms": {name: round(us / 1000, 1) for name, us in result.setup_delay_us.items()},
        "turned_away": sum(one.turned_away for one in result.switches),
        "processor_used": {one.name: round(one.used, 3) for one in result.switches},
        "gatekeeper_cpu_s": round(sum(one.cpu_s for one in result.gatekeepers), 2),
        "late_ms": round(result.late_s * 1000, 1),
        "violations": result.violations,
    }


def encode(result: RunResult) -> bytes:
    return msgspec.msgpack.encode(result)


def decode(data: bytes) -> RunResult:
    """Raises ValueError for what is no result, or one of another format."""
    try:
        found = msgspec.msgpack.decode(data, type=RunResult)
    except msgspec.MsgspecError as error:
        raise ValueError(f"no result of a rig run: {error}") from None
    if found.format != FORMAT:
        raise ValueError(f"a result of format {found.format}, where {FORMAT} can be read")
    return found
