"""The one place where configuration is read, checked and given defaults; messages name the faulty key."""

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

RELEASE_MARGIN_NS = 70_000_000  # added to the rule's wait: a limit that is 50 ms longer, and a send's way


# What a reload leaves as it is: sockets and budget are bound to these from the start.
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
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(slots=True, frozen=True)
class SyslogConfig:
    level: str = "info"
    udp_address: tuple[str, int] | None = None


@dataclass(slots=True, frozen=True)
class Iax2SwitchConfig:
    """A carrier switch of the list that is reached by IAX2."""

    peer: str
    circuits: int = 0
    context: str = ""
    qualify_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Iax2Config:
    listen: tuple[str, int]
    username: str
    numbers: tuple[NumberRoute, ...]
    peers: dict[str, Peer]
    switches: dict[str, Iax2SwitchConfig]
    registrations: dict[str, int]  # refresh in seconds, by peer
    max_calls: int = 200
    allow_guests: bool = False


@dataclass(slots=True, frozen=True)
class Config:
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
    records_file: str | None = None  # of call detail records
    iax2: Iax2Config | None = None
    document: Mapping[str, Any] = field(default_factory=dict, repr=False)  # as it was read

    @property
    def max_deadline_s(self) -> float:
        return max(kind.deadline_ns for kind in self.settings.classes) / 1e9


def address(value: Any, key: str) -> tuple[str, int]:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"{key}: expected HOST:PORT, not {value!r}")
    return host, int(port)


def read_json(path: str) -> dict[str, Any]:
    try:
        found = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from None
    if not isinstance(found, dict):
        raise ConfigError("ROUTER_CONFIG: expected a JSON object")
    return found


def typed(found: Mapping[str, Any], key: str, kind: type, default: Any, where: str = "") -> Any:
    """A key of the right type, or its default if it is absent."""
    value = found.get(key)
    if value is None:
        return default
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise ConfigError(f"{where}{key}: expected {kind.__name__}, not {value!r}")
    return value


def seconds(found: Mapping[str, Any], key: str, default: float) -> float:
    value = typed(found, key, int, None, "settings.limits.")
    return default if not value else value / 1e9


def without_numbers(iax2: Iax2Config | None) -> Iax2Config | None:
    """What of IAX2 is bound at the start; the numbers may change at a reload."""
    return iax2 and replace(iax2, numbers=())


def whole_as(found: Mapping[str, Any], like: Mapping[str, Any], where: str = "") -> None:
    """Guards against a file that lost a part on its way: what the running configuration has must be there."""
    for key, value in like.items():
        if key not in found:
            raise ConfigError(f"{where}{key}: missing, though the running configuration has it")
        if isinstance(value, dict) and where + key != "known":
            whole_as(typed(found, key, dict, {}, where), value, f"{where}{key}.")
    shared = [set(row) for row in like.get("classes", ()) if where == "settings."]
    for index, row in enumerate(found["classes"] if shared else ()):
        for key in sorted(set.intersection(*shared)):
            if key not in row:
                raise ConfigError(f"settings.classes[{index}].{key}: missing")


def above_zero(found: Mapping[str, Any], key: str, where: str) -> None:
    value = found.get(key, 1)
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value <= 0:
        raise ConfigError(f"{where}{key}: expected a number above 0, not {value!r}")


def check_settings(profile: Mapping[str, Any]) -> None:
    """The figures that the decisions divide by, count with, or wait for."""
    above_zero(typed(profile, "limits", dict, {}, "settings."), "max-attempts", "settings.limits.")
    for index, row in enumerate(typed(profile, "classes", list, [], "settings.")):
        where = f"settings.classes[{index}]"
        if not isinstance(row, dict):
            raise ConfigError(f"{where}: expected an object")
        for key in ("deadline-ns", "objective-ns", "value"):
            above_zero(row, key, f"{where}.")
    family = typed(profile, "family-info", dict, {}, "settings.")
    for key in ("class-hold-ns", "channels-needed"):
        for value in typed(family, key, list, [], "settings.family-info."):
            if value:  # 0 or null: not told
                above_zero({key: value}, key, "settings.family-info.")


def load(
    environment: Mapping[str, str] = os.environ,
    operator_path: str | None = None,
    running: Config | None = None,
) -> Config:
    """The configuration; a later one must have all that the running one was read from."""
    path = environment.get("ROUTER_CONFIG")
    found = read_json(path) if path else {}
    name = environment.get("ROUTER_NAME") or found.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("ROUTER_NAME: the gatekeeper needs a name (or 'name' in ROUTER_CONFIG)")
    listen = address(environment.get("ROUTER_LISTEN") or found.get("listen"), "ROUTER_LISTEN")
    profile = typed(found, "settings", dict, None)
    if profile is None:
        raise ConfigError("settings: missing from ROUTER_CONFIG")
    check_settings(profile)
    if running:
        whole_as(found, running.document)
    try:
        settings = parse_settings(profile)
    except (WireError, ValueError, TypeError) as error:
        raise ConfigError(f"settings: {error}") from None
    if settings.release_delay_ns:
        settings = replace(settings, release_delay_ns=settings.release_delay_ns + RELEASE_MARGIN_NS)
    peers = typed(found, "peers", list, [])
    for entry in peers:
        address(entry, "peers")
    for key in ("peer_listen", "peers_all", "channel"):
        if found.get(key):
            address(found[key], key)
    console = environment.get("ROUTER_CONSOLE") or found.get("console")
    seed = found.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: expected hex digits, not {seed!r}") from None
    limits = typed(found, "limits", dict, {})
    wire_limits = typed(profile, "limits", dict, {}, "settings.")
    operated = read_operator(operator_path) if operator_path else {}
    return Config(
        name=name,
        listen=listen,
        settings=settings,
        seed=seed,
        limits=Limits(
            typed(limits, "memory_mb", int, 192, "limits."), typed(limits, "sockets", int, 1024, "limits.")
        ),
        peer_listen=found.get("peer_listen"),
        peers=tuple(peers),
        peers_all=found.get("peers_all"),
        channel=found.get("channel"),
        console=address(console, "ROUTER_CONSOLE") if console else None,
        known_events=typed(found, "known", dict, {}),
        dial_timeout_s=seconds(wire_limits, "dial-timeout-ns", 0.5),
        syslog=syslog_config(typed(operated, "syslog", dict, {})),
        records_file=records_file(typed(operated, "records", dict, {})),
        iax2=iax2_config(operated, name, settings, environment),
        document=found,
    )


def read_operator(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"operator's file {path}: {error}") from None


def syslog_config(table: Mapping[str, Any]) -> SyslogConfig:
    level = typed(table, "level", str, "info", "syslog.")
    if level not in ("error", "warning", "notice", "info", "debug"):
        raise ConfigError(f"syslog.level: unknown level {level!r}")
    export = table.get("udp")
    return SyslogConfig(level, address(export, "syslog.udp") if export is not None else None)


def records_file(table: Mapping[str, Any]) -> str | None:
    only(table, "records.", "file")
    return typed(table, "file", str, None, "records.")


def whole(found: Mapping[str, Any], key: str, default: int | None, where: str, least: int, most: int) -> int:
    value = typed(found, key, int, default, where)
    if value is None or not least <= value <= most:
        raise ConfigError(f"{where}{key}: expected a whole number from {least} to {most}, not {value!r}")
    return value


def rows_of(table: Mapping[str, Any], key: str) -> list[tuple[str, Mapping[str, Any]]]:
    """The tables of an array, each with the name that messages give it."""
    rows = typed(table, key, list, [], "iax2.")
    for index, row in enumerate(rows):
        if not isinstance(row, dict):
            raise ConfigError(f"iax2.{key}[{index}]: expected a table")
    return [(f"iax2.{key}[{index}].", row) for index, row in enumerate(rows)]


def only(found: Mapping[str, Any], where: str, *keys: str) -> None:
    """A misspelt key is an error: its value would be silently without effect."""
    for key in found:
        if key not in keys:
            raise ConfigError(f"{where}{key}: unknown key")


def iax2_config(
    operated: Mapping[str, Any], name: str, settings: interface.Settings, environment: Mapping[str, str]
) -> Iax2Config | None:
    """The second front; off where the operator's file has no table for it."""
    only(operated, "operator's file: ", "iax2", "syslog", "records")
    table = typed(operated, "iax2", dict, None)
    if table is None:
        return None
    only(table, "iax2.", "listen", "username", "max_calls", "guests", "number", "peer", "switch", "register")
    peers = {}
    for where, row in rows_of(table, "peer"):
        peer = peer_row(row, where, environment)
        peers[peer.name] = peer
    switches = {}
    for where, row in rows_of(table, "switch"):
        only(row, where, "name", "peer", "circuits", "context", "qualify_s")
        qualify_s = row.get("qualify_s", 0)
        if (
            isinstance(qualify_s, bool)
            or not isinstance(qualify_s, int | float)
            or not 0 <= qualify_s <= 3600
        ):
            raise ConfigError(f"{where}qualify_s: expected seconds from 0 to 3600, not {qualify_s!r}")
        switches[required(row, "name", where)] = Iax2SwitchConfig(
            known_peer(row, peers, where),
            whole(row, "circuits", 0, where, 0, 10_000),
            typed(row, "context", str, "", where),
            float(qualify_s),
        )
    register = {}
    for where, row in rows_of(table, "register"):
        only(row, where, "peer", "refresh_s")
        peer_name = known_peer(row, peers, where)
        if peers[peer_name].address is None:
            raise ConfigError(f"{where}peer: {peer_name!r} has no address to register at")
        register[peer_name] = whole(row, "refresh_s", 60, where, 10, 3600)
    return Iax2Config(
        listen=address(table.get("listen"), "iax2.listen"),
        username=typed(table, "username", str, name, "iax2."),
        numbers=tuple(number_row(row, where, settings) for where, row in rows_of(table, "number")),
        peers=peers,
        switches=switches,
        registrations=register,
        max_calls=whole(table, "max_calls", 200, "iax2.", 1, 4000),
        allow_guests=typed(table, "guests", bool, False, "iax2."),
    )


def required(row: Mapping[str, Any], key: str, where: str) -> str:
    value = typed(row, key, str, "", where)
    if not value:
        raise ConfigError(f"{where}{key}: missing")
    return value


def known_peer(row: Mapping[str, Any], peers: Mapping[str, Peer], where: str) -> str:
    name = required(row, "peer", where)
    if name not in peers:
        raise ConfigError(f"{where}peer: no peer is named {name!r}")
    return name


def peer_row(row: Mapping[str, Any], where: str, environment: Mapping[str, str]) -> Peer:
    """The secret may stand in an environment variable, to keep it out of the file."""
    only(row, where, "name", "secret", "secret_env", "address", "may_call")
    variable = typed(row, "secret_env", str, None, where)
    if variable is not None and not environment.get(variable):
        raise ConfigError(f"{where}secret_env: the environment has no {variable}")
    secret = environment[variable] if variable else row.get("secret", "")
    if not isinstance(secret, str):
        raise ConfigError(f"{where}secret: expected text")  # never with its value
    return Peer(
        required(row, "name", where),
        secret,
        address(row["address"], f"{where}address") if "address" in row else None,
        typed(row, "may_call", bool, True, where),
    )


def number_row(row: Mapping[str, Any], where: str, settings: interface.Settings) -> NumberRoute:
    only(row, where, "prefix", "exchange", "class", "deadline_ms")
    kinds = {kind.name: kind for kind in settings.classes}
    class_name = typed(row, "class", str, settings.classes[0].name, where)
    if class_name not in kinds:
        raise ConfigError(f"{where}class: no class is named {class_name!r}")
    most_ms = kinds[class_name].deadline_ns // 1_000_000
    return NumberRoute(
        typed(row, "prefix", str, "", where),
        whole(row, "exchange", None, where, 0, 1_000_000),
        class_name,
        whole(row, "deadline_ms", most_ms, where, 1, most_ms),
        kinds[class_name].circuits,
    )
