"""The structured log: RFC 5424 lines on standard error, rate-limited, and optionally sent over UDP as well."""

import logging
import os
import re
import socket
import time
from collections.abc import Mapping
from datetime import UTC, datetime

from tansyspur.log_writer import DirectWriter, LineWriter, QueuedWriter

SEVERITIES = {"error": 3, "warning": 4, "notice": 5, "info": 6, "debug": 7}
FACILITY = 16  # local0
SD_ID = "call@32473"  # the enterprise number of RFC 5612, for documentation
LINES_PER_S = 50.0
BURST_LINES = 200.0
RESERVED_LINES = 100.0  # part of the burst that only notices and more severe lines may use
MAX_TEXT_CHARS = 1800  # of one value or message; by RFC 5424 receivers should accept 2048 octets


def escape(value: object) -> str:
    """Return a PARAM-VALUE: '"', '\\' and ']' escaped as section 6.3.3 says, characters such as line ends replaced."""
    text = str(value)[:MAX_TEXT_CHARS]
    text = "".join(character if character.isprintable() else "?" for character in text)
    return re.sub(r'(["\\\]])', r"\\\1", text)


def printable(text: str, max_chars: int) -> str:
    """Return a header field: 1 to max_chars printable ASCII characters, or the nil value "-"."""
    return re.sub(r"[^!-~]", "", text)[:max_chars] or "-"


def format_message(
    severity: int,
    time_of_event: datetime,
    header: str,
    msgid: str,
    sd_id: str,
    params: Mapping[str, object],
    text: str,
) -> str:
    """Return an RFC 5424 line without its line end; header is HOSTNAME, APP-NAME and PROCID."""
    timestamp = time_of_event.astimezone(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    pairs = "".join(f' {name}="{escape(value)}"' for name, value in params.items())
    structured_data = f"[{sd_id}{pairs}]" if pairs else "-"
    safe_text = "".join(character if character.isprintable() else "?" for character in text[:MAX_TEXT_CHARS])
    return f"<{FACILITY * 8 + severity}>1 {timestamp} {header} {printable(msgid, 32)} {structured_data} {safe_text}"


class Syslog:
    """Writes log lines at or above a threshold, at most LINES_PER_S on average with bursts of BURST_LINES.

    Lines beyond the rate are dropped and counted; the count is logged. With udp_address each line is sent there too.
    With queued the caller never waits for the reader of standard error.
    """

    def __init__(
        self,
        host: str,
        threshold: str = "info",
        udp_address: tuple[str, int] | None = None,
        app: str = "tansyspur",
        queued: bool = False,
    ) -> None:
        self.header = f"{printable(host, 255)} {printable(app, 48)} {os.getpid()}"
        self.set_level(threshold)
        self.allowance, self.allowance_at, self.dropped = BURST_LINES, time.monotonic(), 0
        self.drops_reported_at = 0.0
        self.writer: LineWriter = QueuedWriter(self._format_drops) if queued else DirectWriter()
        self.udp_address = udp_address
        self.socket: socket.socket | None = None
        if udp_address:
            family = socket.AF_INET6 if ":" in udp_address[0] else socket.AF_INET
            self.socket = socket.socket(family, socket.SOCK_DGRAM)
            self.socket.setblocking(False)

    def set_level(self, threshold: str) -> None:
        self.threshold = SEVERITIES[threshold]

    def __call__(self, level: str, msgid: str, text: str, /, **params: object) -> None:
        """Write one line, or count it as dropped if the rate is exceeded.

        level is a key of SEVERITIES; params are written as structured data, without empty values.
        """
        severity = SEVERITIES[level]
        if severity > self.threshold:
            return
        now = time.monotonic()
        self.allowance = min(BURST_LINES, self.allowance + (now - self.allowance_at) * LINES_PER_S)
        self.allowance_at = now
        # Call records must not crowd out the line that says why they went wrong, so a part of the burst is reserved.
        if self.allowance < (1 if severity <= SEVERITIES["notice"] else RESERVED_LINES):
            self.dropped += 1
            return
        self.allowance -= 1
        if self.dropped and now - self.drops_reported_at >= 1:
            self.drops_reported_at = now
            dropped, self.dropped = self.dropped, 0
            self._emit(self._format_drops(dropped))
        self._emit(self.format(severity, msgid, text, params))

    def _format_drops(self, count: int) -> str:
        return self.format(SEVERITIES["warning"], "dropped", f"{count} lines were dropped", {"lines": count})

    def _emit(self, line: str) -> None:
        self.writer.write(line)
        if self.socket and self.udp_address:
            try:
                self.socket.sendto(line.encode(), self.udp_address)
            except OSError:
                self.dropped += 1

    def format(self, severity: int, msgid: str, text: str, params: dict[str, object]) -> str:
        present = {name: value for name, value in params.items() if value != ""}
        return format_message(severity, datetime.now(UTC), self.header, msgid, SD_ID, present, text)

    def close(self) -> None:
        """Log the number of lines dropped since the last report, and close the writer and the UDP socket."""
        if self.dropped:
            self._emit(self._format_drops(self.dropped))
        self.writer.close()
        if self.socket:
            self.socket.close()


class LibraryLogHandler(logging.Handler):
    """Passes what libraries log, such as the warnings of asyncio, on to the structured log.

    Without it the standard library writes these texts to standard error, and waits for the reader.
    """

    def __init__(self, log: Syslog) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        level = "error" if record.levelno >= logging.ERROR else "warning"
        self.log(level, "library", record.getMessage(), logger=record.name)
