"""Parses settings and load reports, under the operators' key names, into types of tansyspur/interface.py.

The simulator's adapter and the gatekeeper program share this parser, so that both read the same input alike.
"""

from typing import Any

from tansyspur import interface

EFFECTS = {  # by the value of a class's key "effect"
    "idempotent": interface.Effect.REPEATABLE,
    "deduplicated": interface.Effect.DEDUPLICATED,
    "at_most_once": interface.Effect.AT_MOST_ONCE,
}
REPORT_FIELDS = {  # key of a load report to field of interface.LoadReport
    "free": "free",
    "size": "size",
    "queue": "queue",
    "util": "utilization",
    "latency_ms": "latency_ms",
    "can_take": "capacity_per_s",
    "hold_back": "hold_back_share",
}


class WireError(Exception):
    """Input that does not follow the format. The text names the field and what is wrong with it."""


def required_field(row: dict[str, Any], name: str, expected_type: type | tuple[type, ...] = int) -> Any:
    """Return a required field. Raises WireError if it is missing or of another type (a bool is no number)."""
    if name not in row:
        raise WireError(f"field '{name}' is missing")
    value = row[name]
    if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
        raise WireError(f"field '{name}' has a value of the wrong type")
    return value


def required_choice(table: dict[str, Any], row: dict[str, Any], name: str) -> Any:
    """Return the table's entry for a required field. Raises WireError if the table has none."""
    key = required_field(row, name, str)
    if key not in table:
        raise WireError(f"field '{name}' has the unknown value '{key}'")
    return table[key]


def _section(profile: dict[str, Any], name: str) -> dict[str, Any]:
    """An object inside the profile; an empty one if it is missing or of another type."""
    section = profile.get(name)
    return section if isinstance(section, dict) else {}


def _item_at(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else default


def _parse_call_class(row: dict[str, Any], index: int, family: dict[str, Any]) -> interface.CallClass:
    """The class at an index of the list; some of its values are in lists of the section "family-info"."""
    return interface.CallClass(
        name=required_field(row, "name", str),
        worth=row.get("value", 1.0),
        objective_ns=int(required_field(row, "objective-ns", (int, float))),
        deadline_ns=int(required_field(row, "deadline-ns", (int, float))),
        late_worth=row.get("late-worth", 0.0),
        holding_time_ns=_item_at(family.get("class-hold-ns"), index, None) or 0,
        circuits=_item_at(family.get("channels-needed"), index, None) or 1,
        effect=EFFECTS.get(row.get("effect", "idempotent"), interface.Effect.AT_MOST_ONCE),
        dedup_scope=row.get("dedup-scope", "all"),
        dedup_window_ns=row.get("window-ns", 0),
        pools=tuple(_item_at(family.get("skilled-pools"), index, None) or ()),
    )


def parse_settings(profile: dict[str, Any]) -> interface.Settings:
    """Parse the settings of a gatekeeper. Times are nanoseconds.

    Unknown keys are ignored; optional keys that are missing or null keep the defaults of interface.Settings.
    Raises WireError for a malformed field and ValueError for a combination that cannot work.
    """
    family, limits, guarantees = (_section(profile, name) for name in ("family-info", "limits", "guarantees"))
    rows = required_field(profile, "classes", list)
    own_exchange = family.get("here", -1)
    optional = {
        "shape": family.get("shape"),
        "gatekeepers": profile.get("balancers"),
        "ordinal": profile.get("ordinal"),
        "tick_ns": profile.get("tick-ns"),
        "release_delay_ns": family.get("release-ns"),
        "resend_ns": family.get("resend-ns"),
        "refusals_carry_wait": family.get("says-wait"),
        "via_is_advice": family.get("advice"),
        "cold_share": guarantees.get("cold-share"),
        "ramp_ns": guarantees.get("ramp-time-ns"),
        "overload_factor": guarantees.get("overload-factor"),
        "fall_ns": guarantees.get("fall-ns"),
        "list_request_interval_ns": guarantees.get("ask-every-ns"),
        "max_attempts": limits.get("max-attempts"),
        "may_probe": limits.get("probes"),
        "may_message": limits.get("peers"),
        "may_cancel": limits.get("cancel"),
        "max_retry_after_ns": limits.get("max-retry-after-ns") if limits.get("retry-after") else 0,
    }
    return interface.Settings(
        classes=tuple(_parse_call_class(row, index, family) for index, row in enumerate(rows)),
        own_exchange=None if own_exchange is None or own_exchange < 0 else own_exchange,
        list_on_request=profile.get("membership-mode") == "subscribe",
        **{name: value for name, value in optional.items() if value is not None},
    )


def parse_report(row: Any) -> interface.LoadReport | None:
    """Parse a load report; None if there is none. Values that are missing or -1 are unknown, not zero."""
    if not isinstance(row, dict):
        return None
    values = {field: row[key] for key, field in REPORT_FIELDS.items() if _is_known(row.get(key))}
    return interface.LoadReport(**values)


def _is_known(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0
