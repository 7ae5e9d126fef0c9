"""Configures the log of the tools, which goes to standard error: for people, as JSON, or as RFC 5424 lines."""

import logging
import socket
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from tansyspur.syslog import SEVERITIES, Syslog

FORMATS = ("console", "json", "rfc5424")


class Rfc5424Renderer:
    """A structlog renderer: the event becomes the message, its other values the structured data."""

    def __init__(self) -> None:
        self.syslog = Syslog(socket.gethostname(), app="tansyspur-tool")

    def __call__(self, _: Any, __: str, event: MutableMapping[str, Any]) -> str:
        level, text = str(event.pop("level", "info")), str(event.pop("event"))
        return self.syslog.format(SEVERITIES.get(level, 6), "tool", text, dict(event))


def configure(log_format: str, verbose: bool = False) -> None:
    """Configures structlog; `log_format` is one of FORMATS. Debug lines are logged only if `verbose` is set."""
    renderers: dict[str, list[Any]] = {
        "console": [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())],
        "json": [structlog.processors.TimeStamper(fmt="iso"), structlog.processors.JSONRenderer()],
        "rfc5424": [Rfc5424Renderer()],
    }
    structlog.configure(
        processors=[structlog.processors.add_log_level, *renderers[log_format]],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if verbose else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
