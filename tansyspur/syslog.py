"""Call records and warnings as RFC 5424 lines on standard error, rate-limited, and optionally over UDP."""

import os
import re
import socket
import sys
import time
from collections.abc import Mapping
from datetime import UTC, datetime

SEVERITIES = {"error": 3, "warning": 4, "notice": 5, "info": 6, "debug": 7}
FACILITY = 16  # local0
SD_ID = "call@32473"  # the enterprise number of RFC 5612, for documentation
LINES_PER_S = 50.0
BURST = 200.0
KEPT = 100.0  # of the burst, for notices and what is worse
LONGEST = 1800  # characters of one value or message; RFC 5424 asks receivers to take 2048 octets


def escape(value: object) -> str:
    """A PARAM-VALUE: section 6.3.3 escapes '"', '\\' and ']'; line ends would break the line."""
    text = str(value)[:LONGEST]
    text = "".join(mark if mark.isprintable() else "?" for mark in text)
    return re.sub(r'(["\\\]])', r"\\\1", text)


def printable(text: str, longest: int) -> str:
    """A header field: 1 to so many printable ASCII characters, or the nil value."""
    return re.sub(r"[^!-~]", "", text)[:longest] or "-"


def format_message(
    severity: int, at: datetime, head: str, msgid: str, sd_id: str, params: Mapping[str, object], text: str
) -> str:
    """An RFC 5424 line; head is HOSTNAME, APP-NAME and PROCID."""
    stamp = at.astimezone(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    pairs = "".join(f' {name}="{escape(value)}"' for name, value in params.items())
    data = f"[{sd_id}{pairs}]" if pairs else "-"
    words = "".join(mark if mark.isprintable() else "?" for mark in text[:LONGEST])
    return f"<{FACILITY * 8 + severity}>1 {stamp} {head} {printable(msgid, 32)} {data} {words}"


class Syslog:
    def __init__(
        self,
        host: str,
        threshold: str = "info",
        udp_address: tuple[str, int] | None = None,
        app: str = "tansyspur",
    ) -> None:
        self.head = f"{printable(host, 255)} {printable(app, 48)} {os.getpid()}"
        self.set_level(threshold)
        self.allowance, self.filled_at, self.dropped = BURST, time.monotonic(), 0
        self.told_at = 0.0
        self.udp_address = udp_address
        self.socket: socket.socket | None = None
        if udp_address:
            family = socket.AF_INET6 if ":" in udp_address[0] else socket.AF_INET
            self.socket = socket.socket(family, socket.SOCK_DGRAM)
            self.socket.setblocking(False)

    def set_level(self, threshold: str) -> None:
        self.threshold = SEVERITIES[threshold]

    def __call__(self, level: str, msgid: str, text: str, /, **params: object) -> None:
        """Write one line, or count it as dropped."""
        severity = SEVERITIES[level]
        if severity > self.threshold:
            return
        now = time.monotonic()
        self.allowance = min(BURST, self.allowance + (now - self.filled_at) * LINES_PER_S)
        self.filled_at = now
        # Guards against call records that crowd out the line which says why they went wrong.
        if self.allowance < (1 if severity <= SEVERITIES["notice"] else KEPT):
            self.dropped += 1
            return
        self.allowance -= 1
        if self.dropped and now - self.told_at >= 1:
            self.told_at = now
            dropped, self.dropped = self.dropped, 0
            self._emit(4, "dropped", f"{dropped} lines were dropped", {"lines": dropped})
        self._emit(severity, msgid, text, params)

    def _emit(self, severity: int, msgid: str, text: str, params: dict[str, object]) -> None:
        line = self.format(severity, msgid, text, params)
        print(line, file=sys.stderr, flush=True)
        if self.socket and self.udp_address:
            try:
                self.socket.sendto(line.encode(), self.udp_address)
            except OSError:
                self.dropped += 1

    def format(self, severity: int, msgid: str, text: str, params: dict[str, object]) -> str:
        told = {name: value for name, value in params.items() if value != ""}
        return format_message(severity, datetime.now(UTC), self.head, msgid, SD_ID, told, text)

    def close(self) -> None:
        if self.dropped:
            self._emit(4, "dropped", f"{self.dropped} lines were dropped", {"lines": self.dropped})
        if self.socket:
            self.socket.close()
