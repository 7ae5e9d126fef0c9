"""Settings and load reports, in the words the operators use for them, as types of tansyspur/interface.py.

Both the simulator's adapter and the program read them here, so that the two never come to differ.
"""

from typing import Any

from tansyspur import interface

EFFECTS = {
    "idempotent": interface.Effect.REPEATABLE,
    "deduplicated": interface.Effect.DEDUPLICATED,
    "at_most_once": interface.Effect.AT_MOST_ONCE,
}
REPORT_FIELDS = {
    "free": "free",
    "size": "size",
    "queue": "queue",
    "util": "utilization",
    "latency_ms": "latency_ms",
    "can_take": "capacity_per_s",
    "hold_back": "hold_back_share",
}


class WireError(Exception):
    """A line that does not follow the wire; the text says what is wrong with it."""


def take(row: dict[str, Any], name: str, kind: type | tuple[type, ...] = int) -> Any:
    """A required field of a line, checked for its type (a bool is no number)."""
    if name not in row:
        raise WireError(f"field '{name}' is missing")
    value = row[name]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise WireError(f"field '{name}' has an unusable value")
    return value


def choose(table: dict[str, Any], row: dict[str, Any], name: str) -> Any:
    word = take(row, name, str)
    if word not in table:
        raise WireError(f"field '{name}' has an unknown word '{word}'")
    return table[word]


def _section(profile: dict[str, Any], name: str) -> dict[str, Any]:
    section = profile.get(name)
    return section if isinstance(section, dict) else {}


def _at(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else default


def _call_class(row: dict[str, Any], index: int, family: dict[str, Any]) -> interface.CallClass:
    return interface.CallClass(
        name=take(row, "name", str),
        worth=row.get("value", 1.0),
        objective_ns=int(take(row, "objective-ns", (int, float))),
        deadline_ns=int(take(row, "deadline-ns", (int, float))),
        late_worth=row.get("late-worth", 0.0),
        holding_time_ns=_at(family.get("class-hold-ns"), index, None) or 0,
        circuits=_at(family.get("channels-needed"), index, None) or 1,
        effect=EFFECTS.get(row.get("effect", "idempotent"), interface.Effect.AT_MOST_ONCE),
        dedup_scope=row.get("dedup-scope", "all"),
        dedup_window_ns=row.get("window-ns", 0),
        pools=tuple(_at(family.get("skilled-pools"), index, None) or ()),
    )


def parse_settings(profile: dict[str, Any]) -> interface.Settings:
    """The settings of an instance; unknown keys are ignored, missing optional ones keep their default."""
    family, limits, rules = (_section(profile, name) for name in ("family-info", "limits", "guarantees"))
    rows = take(profile, "classes", list)
    here = family.get("here", -1)
    found = {
        "shape": family.get("shape"),
        "gatekeepers": profile.get("balancers"),
        "ordinal": profile.get("ordinal"),
        "tick_ns": profile.get("tick-ns"),
        "release_delay_ns": family.get("release-ns"),
        "resend_ns": family.get("resend-ns"),
        "refusals_carry_wait": family.get("says-wait"),
        "via_is_advice": family.get("advice"),
        "cold_share": rules.get("cold-share"),
        "ramp_ns": rules.get("ramp-time-ns"),
        "overload_factor": rules.get("overload-factor"),
        "fall_ns": rules.get("fall-ns"),
        "list_request_interval_ns": rules.get("ask-every-ns"),
        "max_attempts": limits.get("max-attempts"),
        "may_probe": limits.get("probes"),
        "may_message": limits.get("peers"),
        "may_cancel": limits.get("cancel"),
        "max_retry_after_ns": limits.get("max-retry-after-ns") if limits.get("retry-after") else 0,
    }
    return interface.Settings(
        classes=tuple(_call_class(row, index, family) for index, row in enumerate(rows)),
        own_exchange=None if here is None or here < 0 else here,
        list_on_request=profile.get("membership-mode") == "subscribe",
        **{name: value for name, value in found.items() if value is not None},
    )


def parse_report(row: Any) -> interface.LoadReport | None:
    """Missing and -1 figures are unknown, never zero."""
    if not isinstance(row, dict):
        return None
    known = {mine: row[theirs] for theirs, mine in REPORT_FIELDS.items() if _is_figure(row.get(theirs))}
    return interface.LoadReport(**known)


def _is_figure(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0
