"""Results of a rig run: the records stored in the msgpack file, and a summary in plain values.

No I/O. The field names of the records are the keys of the file, and the order of CallResult is the order of its array.
"""

import msgspec

from tansyspur.planner.fleet import Load

FORMAT = 1  # version of the file format


class CallResult(msgspec.Struct, array_like=True):
    """A caller's call including its redials; times in seconds after the start of the run."""

    first_s: float
    origin: str
    destination: str
    class_name: str
    tries: int
    stood_s: float  # time of the answer; -1: never answered
    cut: bool
    tandem: bool
    attempts: int
    over: bool  # False: the run ended before the outcome of the call was known


class GroupResult(msgspec.Struct):
    """A trunk group: its carried load in erlang, the seizures, and those refused for lack of free circuits (full)."""

    ends: tuple[str, str]
    circuits: int
    carried_erl: float
    seizures: int
    full: int


class SwitchResult(msgspec.Struct):
    name: str
    depot: str
    used: float  # share of the processor capacity that calls used
    turned_away: int


class GatekeeperResult(msgspec.Struct):
    name: str
    cpu_s: float
    memory_mb: float
    crashed: bool


class RunResult(msgspec.Struct):
    """A complete run of the rig."""

    format: int
    seed: int
    scale: float
    seconds: float
    interrupted: bool
    # greatest delay of a timer of the rig; above about 50 ms the run is not a valid measurement
    late_s: float
    violations: list[str]
    calls: list[CallResult]
    groups: list[GroupResult]
    switches: list[SwitchResult]
    gatekeepers: list[GatekeeperResult]
    setup_delay_us: dict[str, int]  # p50, p90, p99, p999 and max of the time to answer
    messages: dict[str, int]


def earned_share(call: CallResult, load: Load) -> float:
    """Return the share of its class's worth that a call earned, by the time from its first try to its answer."""
    call_class = load.class_by_name(call.class_name)
    if call.stood_s < 0 or call.cut:
        return 0.0
    setup_delay_s = call.stood_s - call.first_s
    return (
        1.0
        if setup_delay_s <= call_class.objective_s
        else call_class.late_worth
        if setup_delay_s <= call_class.deadline_s
        else 0.0
    )


def service(calls: list[CallResult], load: Load) -> float:
    """Return the worth that the calls earned over the worth offered: 0 to 1, and 1 if no call was offered."""
    offered = earned = 0.0
    for call in calls:
        class_worth = load.class_by_name(call.class_name).worth
        offered += class_worth
        earned += class_worth * earned_share(call, load)
    return earned / offered if offered else 1.0


def decided_calls(result: RunResult) -> list[CallResult]:
    """Return the calls whose outcome was known when the run ended."""
    return [call for call in result.calls if call.over]


def service_by(calls: list[CallResult], load: Load, key: str) -> dict[str, float]:
    """Return the service for each value of the calls' attribute `key`."""
    calls_by_key: dict[str, list[CallResult]] = {}
    for call in calls:
        calls_by_key.setdefault(getattr(call, key), []).append(call)
    return {name: service(rows, load) for name, rows in sorted(calls_by_key.items())}


def summary(result: RunResult, load: Load) -> dict[str, object]:
    """Return the key values of a run, over the calls with a known outcome; the keys are those of summary.json."""
    calls = decided_calls(result)
    answered_calls = [call for call in calls if call.stood_s >= 0]
    count = max(1, len(calls))
    return {
        "seed": result.seed,
        "scale": result.scale,
        "seconds": round(result.seconds, 1),
        "interrupted": result.interrupted,
        "calls": len(calls),
        "service": round(service(calls, load), 4),
        "service_by_class": {
            name: round(share, 4) for name, share in service_by(calls, load, "class_name").items()
        },
        "service_by_origin": {
            name: round(share, 4) for name, share in service_by(calls, load, "origin").items()
        },
        "stood": round(len(answered_calls) / count, 4),
        "cut": round(sum(call.cut for call in calls) / count, 4),
        "tandem": round(sum(call.tandem for call in answered_calls) / max(1, len(answered_calls)), 4),
        "tries_per_call": round(sum(call.tries for call in calls) / count, 3),
        "attempts_per_call": round(sum(call.attempts for call in calls) / count, 3),
        "setup_delay_ms": {
            name: round(delay_us / 1000, 1) for name, delay_us in result.setup_delay_us.items()
        },
        "turned_away": sum(switch.turned_away for switch in result.switches),
        "processor_used": {switch.name: round(switch.used, 3) for switch in result.switches},
        "gatekeeper_cpu_s": round(sum(gatekeeper.cpu_s for gatekeeper in result.gatekeepers), 2),
        "late_ms": round(result.late_s * 1000, 1),
        "violations": result.violations,
    }


def encode(result: RunResult) -> bytes:
    return msgspec.msgpack.encode(result)


def decode(data: bytes) -> RunResult:
    """Decode a stored result; raises ValueError if the data is malformed or of another format version."""
    try:
        result = msgspec.msgpack.decode(data, type=RunResult)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not the result of a rig run: {error}") from None
    if result.format != FORMAT:
        raise ValueError(f"result of a rig run has format {result.format}; only format {FORMAT} is supported")
    return result
