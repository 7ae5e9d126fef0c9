"""Reads the configuration, checks it and fills in defaults.

Sources are ROUTER_CONFIG (a JSON file), other environment variables, and the operator's file (TOML). An unusable value
raises ConfigError, whose text names the faulty key.
"""

import json
import math
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from tansyspur import interface
from tansyspur.iax2.auth import Peer
from tansyspur.iax2.front import NumberRoute
from tansyspur.translate import WireError, parse_settings

# Added to the release delay of the settings: the limit is 50 ms longer than the rule says, and a message takes time to
# arrive.
RELEASE_MARGIN_NS = 70_000_000

# Fields of Config that a reload leaves unchanged: sockets and limits are set up from them at the start.
RESTART_ONLY_KEYS = (
    "name",
    "listen",
    "console",
    "limits",
    "peer_listen",
    "peers",
    "peers_all",
    "records_file",
)


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the key."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Resources that the process may use: memory in megabytes, and open sockets."""

    memory_mb: int = 192
    sockets: int = 1024


@dataclass(slots=True, frozen=True)
class SyslogConfig:
    """Lowest level that is logged, and the collector to which log lines are sent by UDP."""

    level: str = "info"
    udp_address: tuple[str, int] | None = None


@dataclass(slots=True, frozen=True)
class Iax2SwitchConfig:
    """A switch of the list that is reached by IAX2, at the peer with this name."""

    peer: str
    circuits: int = 0
    context: str = ""
    qualify_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Iax2Config:
    """The IAX2 front: routes of called numbers, peers, switches by name, and registrations."""

    listen: tuple[str, int]
    username: str
    number_routes: tuple[NumberRoute, ...]
    peers: dict[str, Peer]
    switches: dict[str, Iax2SwitchConfig]
    registrations: dict[str, int]  # refresh interval in seconds, by name of the peer
    max_calls: int = 200
    allow_guests: bool = False


@dataclass(slots=True, frozen=True)
class Config:
    """The complete configuration of the process; addresses are (host, port) or HOST:PORT."""

    name: str
    listen: tuple[str, int]
    settings: interface.Settings
    seed: int = 0
    limits: Limits = Limits()
    peer_listen: str | None = None
    peers: tuple[str, ...] = ()
    peers_all: str | None = None
    channel: str | None = None
    console: tuple[str, int] | None = None
    known_events: Mapping[str, Any] = field(default_factory=dict)
    dial_timeout_s: float = 0.5
    syslog: SyslogConfig = SyslogConfig()
    records_file: str | None = None  # path of the call detail records; None: none are written
    iax2: Iax2Config | None = None
    document: Mapping[str, Any] = field(default_factory=dict, repr=False)  # the JSON document as read

    @property
    def max_deadline_s(self) -> float:
        """The longest deadline of any class, in seconds."""
        return max(call_class.deadline_ns for call_class in self.settings.classes) / 1e9


def parse_host_port(value: Any, key: str) -> tuple[str, int]:
    """Return host and port of a HOST:PORT text. Raises ConfigError with the key."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"{key}: expected HOST:PORT, not {value!r}")
    return host, int(port)


def read_json(path: str) -> dict[str, Any]:
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError("ROUTER_CONFIG: expected a JSON object")
    return document


def typed_value(
    table: Mapping[str, Any], key: str, expected_type: type, default: Any, prefix: str = ""
) -> Any:
    """Return the value of a key, or the default if it is absent or null.

    Raises ConfigError if the value is not of expected_type; prefix is the path of the table in the message.
    """
    value = table.get(key)
    if value is None:
        return default
    if not isinstance(value, expected_type) or isinstance(value, bool) and expected_type is not bool:
        raise ConfigError(f"{prefix}{key}: expected {expected_type.__name__}, not {value!r}")
    return value


def seconds_from_ns(table: Mapping[str, Any], key: str, default: float) -> float:
    """Return a value of settings.limits, given in nanoseconds, in seconds; the default if it is absent or 0."""
    value = typed_value(table, key, int, None, "settings.limits.")
    return default if not value else value / 1e9


def without_number_routes(iax2: Iax2Config | None) -> Iax2Config | None:
    """Return the part of the IAX2 configuration that is fixed at the start: a reload may change only the routes."""
    return iax2 and replace(iax2, number_routes=())


def check_complete(table: Mapping[str, Any], running_table: Mapping[str, Any], prefix: str = "") -> None:
    """Raise ConfigError if a key of the running configuration is missing.

    A file that was truncated or lost a part on its way would otherwise be applied with defaults.
    """
    for key, value in running_table.items():
        if key not in table:
            raise ConfigError(f"{prefix}{key}: missing, though the running configuration has it")
        if isinstance(value, dict) and prefix + key != "known":
            check_complete(typed_value(table, key, dict, {}, prefix), value, f"{prefix}{key}.")
    class_key_sets = [set(row) for row in running_table.get("classes", ()) if prefix == "settings."]
    for index, row in enumerate(table["classes"] if class_key_sets else ()):
        for key in sorted(set.intersection(*class_key_sets)):
            if key not in row:
                raise ConfigError(f"settings.classes[{index}].{key}: missing")


def check_positive(table: Mapping[str, Any], key: str, prefix: str) -> None:
    """Raise ConfigError unless the value is a finite number above 0, or absent."""
    value = table.get(key, 1)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value <= 0:
        raise ConfigError(f"{prefix}{key}: expected a number above 0, not {value!r}")


def check_settings(settings_table: Mapping[str, Any]) -> None:
    """Check the values that decisions divide by, count with, or wait for. Raises ConfigError."""
    check_positive(
        typed_value(settings_table, "limits", dict, {}, "settings."), "max-attempts", "settings.limits."
    )
    for index, row in enumerate(typed_value(settings_table, "classes", list, [], "settings.")):
        prefix = f"settings.classes[{index}]"
        if not isinstance(row, dict):
            raise ConfigError(f"{prefix}: expected an object")
        for key in ("deadline-ns", "objective-ns", "value"):
            check_positive(row, key, f"{prefix}.")
    family_info = typed_value(settings_table, "family-info", dict, {}, "settings.")
    for key in ("class-hold-ns", "channels-needed"):
        for value in typed_value(family_info, key, list, [], "settings.family-info."):
            if value:  # 0 or null: not given
                check_positive({key: value}, key, "settings.family-info.")


def load(
    environment: Mapping[str, str] = os.environ,
    operator_path: str | None = None,
    running: Config | None = None,
) -> Config:
    """Read the configuration from the environment, the files it names and the operator's file.

    With running, the configuration in use, the new document must have every key that the running one was read from.
    Raises ConfigError.
    """
    path = environment.get("ROUTER_CONFIG")
    document = read_json(path) if path else {}
    name = environment.get("ROUTER_NAME") or document.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("ROUTER_NAME: the gatekeeper needs a name (or 'name' in ROUTER_CONFIG)")
    listen = parse_host_port(environment.get("ROUTER_LISTEN") or document.get("listen"), "ROUTER_LISTEN")
    settings_table = typed_value(document, "settings", dict, None)
    if settings_table is None:
        raise ConfigError("settings: missing from ROUTER_CONFIG")
    check_settings(settings_table)
    if running:
        check_complete(document, running.document)
    try:
        settings = parse_settings(settings_table)
    except (WireError, ValueError, TypeError) as error:
        raise ConfigError(f"settings: {error}") from None
    if settings.release_delay_ns:
        settings = replace(settings, release_delay_ns=settings.release_delay_ns + RELEASE_MARGIN_NS)
    peers = typed_value(document, "peers", list, [])
    for entry in peers:
        parse_host_port(entry, "peers")
    for key in ("peer_listen", "peers_all", "channel"):
        if document.get(key):
            parse_host_port(document[key], key)
    console = environment.get("ROUTER_CONSOLE") or document.get("console")
    seed = document.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: expected hex digits, not {seed!r}") from None
    limits = typed_value(document, "limits", dict, {})
    attempt_limits = typed_value(settings_table, "limits", dict, {}, "settings.")
    operator_table = read_operator(operator_path) if operator_path else {}
    return Config(
        name=name,
        listen=listen,
        settings=settings,
        seed=seed,
        limits=Limits(
            typed_value(limits, "memory_mb", int, 192, "limits."),
            typed_value(limits, "sockets", int, 1024, "limits."),
        ),
        peer_listen=document.get("peer_listen"),
        peers=tuple(peers),
        peers_all=document.get("peers_all"),
        channel=document.get("channel"),
        console=parse_host_port(console, "ROUTER_CONSOLE") if console else None,
        known_events=typed_value(document, "known", dict, {}),
        dial_timeout_s=seconds_from_ns(attempt_limits, "dial-timeout-ns", 0.5),
        syslog=syslog_config(typed_value(operator_table, "syslog", dict, {})),
        records_file=records_file(typed_value(operator_table, "records", dict, {})),
        iax2=iax2_config(operator_table, name, settings, environment),
        document=document,
    )


def read_operator(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"operator's file {path}: {error}") from None


def syslog_config(table: Mapping[str, Any]) -> SyslogConfig:
    level = typed_value(table, "level", str, "info", "syslog.")
    if level not in ("error", "warning", "notice", "info", "debug"):
        raise ConfigError(f"syslog.level: unknown level {level!r}")
    udp = table.get("udp")
    return SyslogConfig(level, parse_host_port(udp, "syslog.udp") if udp is not None else None)


def records_file(table: Mapping[str, Any]) -> str | None:
    check_known_keys(table, "records.", "file")
    return typed_value(table, "file", str, None, "records.")


def integer_value(
    table: Mapping[str, Any], key: str, default: int | None, prefix: str, minimum: int, maximum: int
) -> int:
    """Return an integer from minimum to maximum; a default of None makes the key mandatory. Raises ConfigError."""
    value = typed_value(table, key, int, default, prefix)
    if value is None or not minimum <= value <= maximum:
        raise ConfigError(
            f"{prefix}{key}: expected a whole number from {minimum} to {maximum}, not {value!r}"
        )
    return value


def table_rows(table: Mapping[str, Any], key: str) -> list[tuple[str, Mapping[str, Any]]]:
    """Return the tables of an array under iax2, each with its key prefix for error messages."""
    rows = typed_value(table, key, list, [], "iax2.")
    for index, row in enumerate(rows):
        if not isinstance(row, dict):
            raise ConfigError(f"iax2.{key}[{index}]: expected a table")
    return [(f"iax2.{key}[{index}].", row) for index, row in enumerate(rows)]


def check_known_keys(table: Mapping[str, Any], prefix: str, *keys: str) -> None:
    """Raise ConfigError for an unknown key: the value of a misspelt one would be ignored silently."""
    for key in table:
        if key not in keys:
            raise ConfigError(f"{prefix}{key}: unknown key")


def iax2_config(
    operator_table: Mapping[str, Any], name: str, settings: interface.Settings, environment: Mapping[str, str]
) -> Iax2Config | None:
    """Return the configuration of the IAX2 front; None if the operator's file has no table for it."""
    check_known_keys(operator_table, "operator's file: ", "iax2", "syslog", "records")
    table = typed_value(operator_table, "iax2", dict, None)
    if table is None:
        return None
    check_known_keys(
        table, "iax2.", "listen", "username", "max_calls", "guests", "number", "peer", "switch", "register"
    )
    peers = {}
    for prefix, row in table_rows(table, "peer"):
        peer = iax2_peer(row, prefix, environment)
        peers[peer.name] = peer
    switches = {}
    for prefix, row in table_rows(table, "switch"):
        check_known_keys(row, prefix, "name", "peer", "circuits", "context", "qualify_s")
        qualify_s = row.get("qualify_s", 0)
        if (
            isinstance(qualify_s, bool)
            or not isinstance(qualify_s, int | float)
            or not 0 <= qualify_s <= 3600
        ):
            raise ConfigError(f"{prefix}qualify_s: expected seconds from 0 to 3600, not {qualify_s!r}")
        switches[required_text(row, "name", prefix)] = Iax2SwitchConfig(
            required_peer_name(row, peers, prefix),
            integer_value(row, "circuits", 0, prefix, 0, 10_000),
            typed_value(row, "context", str, "", prefix),
            float(qualify_s),
        )
    registrations = {}
    for prefix, row in table_rows(table, "register"):
        check_known_keys(row, prefix, "peer", "refresh_s")
        peer_name = required_peer_name(row, peers, prefix)
        if peers[peer_name].address is None:
            raise ConfigError(f"{prefix}peer: {peer_name!r} has no address to register at")
        registrations[peer_name] = integer_value(row, "refresh_s", 60, prefix, 10, 3600)
    return Iax2Config(
        listen=parse_host_port(table.get("listen"), "iax2.listen"),
        username=typed_value(table, "username", str, name, "iax2."),
        number_routes=tuple(
            number_route(row, prefix, settings) for prefix, row in table_rows(table, "number")
        ),
        peers=peers,
        switches=switches,
        registrations=registrations,
        max_calls=integer_value(table, "max_calls", 200, "iax2.", 1, 4000),
        allow_guests=typed_value(table, "guests", bool, False, "iax2."),
    )


def required_text(row: Mapping[str, Any], key: str, prefix: str) -> str:
    value = typed_value(row, key, str, "", prefix)
    if not value:
        raise ConfigError(f"{prefix}{key}: missing")
    return value


def required_peer_name(row: Mapping[str, Any], peers: Mapping[str, Peer], prefix: str) -> str:
    name = required_text(row, "peer", prefix)
    if name not in peers:
        raise ConfigError(f"{prefix}peer: no peer is named {name!r}")
    return name


def iax2_peer(row: Mapping[str, Any], prefix: str, environment: Mapping[str, str]) -> Peer:
    """Return an IAX2 peer. Its secret may be in an environment variable, to keep it out of the file."""
    check_known_keys(row, prefix, "name", "secret", "secret_env", "address", "may_call")
    variable = typed_value(row, "secret_env", str, None, prefix)
    if variable is not None and not environment.get(variable):
        raise ConfigError(f"{prefix}secret_env: the environment has no {variable}")
    secret = environment[variable] if variable else row.get("secret", "")
    if not isinstance(secret, str):
        raise ConfigError(f"{prefix}secret: expected text")  # the message must not show the secret
    return Peer(
        required_text(row, "name", prefix),
        secret,
        parse_host_port(row["address"], f"{prefix}address") if "address" in row else None,
        typed_value(row, "may_call", bool, True, prefix),
    )


def number_route(row: Mapping[str, Any], prefix: str, settings: interface.Settings) -> NumberRoute:
    check_known_keys(row, prefix, "prefix", "exchange", "class", "deadline_ms")
    classes = {call_class.name: call_class for call_class in settings.classes}
    class_name = typed_value(row, "class", str, settings.classes[0].name, prefix)
    if class_name not in classes:
        raise ConfigError(f"{prefix}class: no class is named {class_name!r}")
    max_deadline_ms = classes[class_name].deadline_ns // 1_000_000
    return NumberRoute(
        typed_value(row, "prefix", str, "", prefix),
        integer_value(row, "exchange", None, prefix, 0, 1_000_000),
        class_name,
        integer_value(row, "deadline_ms", max_deadline_ms, prefix, 1, max_deadline_ms),
        classes[class_name].circuits,
    )
