"""The one place where configuration is read, checked and given defaults; messages name the faulty key."""

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from tansyspur import interface as face
from tansyspur.translate import WireError, parse_settings

RELEASE_MARGIN_NS = 70_000_000  # added to the rule's wait: a limit that is 50 ms longer, and a send's way


class ConfigError(Exception):
    """A configuration that cannot be used; the text names the key."""


@dataclass(slots=True, frozen=True)
class Limits:
    memory_mb: int = 192
    sockets: int = 1024


@dataclass(slots=True, frozen=True)
class SyslogConfig:
    level: str = "info"
    export: tuple[str, int] | None = None


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    settings: face.Settings
    seed: int = 0
    limits: Limits = Limits()
    peer_listen: str | None = None
    peers: tuple[str, ...] = ()
    peers_all: str | None = None
    channel: str | None = None
    known: Mapping[str, Any] = field(default_factory=dict)
    dial_timeout_s: float = 0.5
    idle_s: float = 600.0
    syslog: SyslogConfig = SyslogConfig()

    @property
    def longest_deadline_s(self) -> float:
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


def load(environment: Mapping[str, str] = os.environ, operator: str | None = None) -> Config:
    path = environment.get("ROUTER_CONFIG")
    found = read_json(path) if path else {}
    name = environment.get("ROUTER_NAME") or found.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("ROUTER_NAME: the gatekeeper needs a name (or 'name' in ROUTER_CONFIG)")
    listen = address(environment.get("ROUTER_LISTEN") or found.get("listen"), "ROUTER_LISTEN")
    profile = typed(found, "settings", dict, None)
    if profile is None:
        raise ConfigError("settings: missing from ROUTER_CONFIG")
    try:
        settings = parse_settings(profile)
    except (WireError, ValueError, TypeError) as error:
        raise ConfigError(f"settings: {error}") from None
    if settings.release_ns:
        settings = replace(settings, release_ns=settings.release_ns + RELEASE_MARGIN_NS)
    peers = typed(found, "peers", list, [])
    for entry in [*peers, *(found[key] for key in ("peer_listen", "peers_all", "channel") if found.get(key))]:
        address(entry, "peers, peer_listen, peers_all, channel")
    seed = found.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: expected hex digits, not {seed!r}") from None
    limits = typed(found, "limits", dict, {})
    wire_limits = typed(profile, "limits", dict, {}, "settings.")
    operated = read_operator(operator) if operator else {}
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
        known=typed(found, "known", dict, {}),
        dial_timeout_s=seconds(wire_limits, "dial-timeout-ns", 0.5),
        idle_s=seconds(wire_limits, "conn-idle-ns", 600.0),
        syslog=syslog_config(typed(operated, "syslog", dict, {})),
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
