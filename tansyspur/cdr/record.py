"""A call detail record as an RFC 5424 line, and back; no I/O.

Records are numbered without a gap in each process. A count line says how many were written and dropped, so that
a reader knows what it has not seen.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, fields
from datetime import UTC, datetime
from hashlib import blake2b

from tansyspur.core.ports import CompletedCall
from tansyspur.syslog import SEVERITIES, format_message, printable

CDR, COUNT = "cdr@32473", "count@32473"  # RFC 5612: the enterprise number for documentation
VERDICTS = ("ended", "cut", "refused", "failed", "given up")
HEAD = re.compile(r"<(\d{1,3})>1 (\S+) (\S+) (\S+) (\S+) (\S+) (-|\[.*)", re.S)
ELEMENT = re.compile(r'\[([!-<>-\\^-~]{1,32})((?: [!-<>-~]{1,32}="(?:[^"\\\]]|\\.)*")*)\]')
PARAM = re.compile(r' ([!-<>-~]{1,32})="((?:[^"\\\]]|\\.)*)"')


class RecordFormatError(ValueError):
    """A line that is no RFC 5424 message, or whose call detail record is spoilt; the text says why."""


@dataclass(slots=True, frozen=True)
class CallRecord:
    """One call, from its offer to its end. Times are in milliseconds after the offer, but for offered_ms."""

    offered_ms: int  # Unix time, by the gatekeeper's clock
    call: str
    class_name: str
    origin: int  # number of the exchange whose gatekeeper this is
    destination: int
    number: str  # the number called, as a digest: enough to know a redial by
    verdict: str
    width: float = 1
    left_ms: int = 0  # so long the caller would wait
    stood_ms: int = -1  # when it stood; -1: never
    ended_ms: int = 0
    attempts: int = 0
    switch: str = ""
    cause: str = ""
    tandem: bool = False  # the last attempt was not toward the destination
    transit: bool = False
    redial: bool = False
    again: bool = False  # it was cut, and comes again


@dataclass(slots=True, frozen=True)
class Line:
    """An RFC 5424 line: when by the sender's clock (Unix seconds), who, and its structured data."""

    at_s: float
    host: str
    process: str
    message_id: str
    data: dict[str, dict[str, str]]


KEYS = {"class_name": "class", "destination": "to", "origin": "from"}


def digest(number: str) -> str:
    return blake2b(number.encode("utf-8", "surrogateescape"), digest_size=6).hexdigest()


def record_from_call(over: CompletedCall, origin: int) -> CallRecord:
    """A call that is over, at the gatekeeper of the exchange `origin`."""
    offer, since_ns = over.offer, over.offered_ns
    return CallRecord(
        offered_ms=since_ns // 1_000_000, call=offer.wire_id, class_name=offer.class_name, origin=origin,
        destination=offer.destination, number=digest(offer.called_number), verdict=over.verdict, width=offer.circuits,
        left_ms=int(offer.remaining_ms), ended_ms=(over.ended_ns - since_ns) // 1_000_000,
        stood_ms=(over.answered_ns - since_ns) // 1_000_000 if over.answered_ns else -1,
        attempts=over.attempts, switch=over.switch, cause=over.cause, tandem=over.tandem,
        transit=offer.in_transit, redial=offer.redial, again=offer.was_cut,
    )  # fmt: skip


def _line(
    now_s: float, host: str, process: int, msgid: str, sd_id: str, params: dict[str, object], text: str
) -> str:
    head = f"{printable(host, 255)} tansyspur {process}"
    return format_message(
        SEVERITIES["info"], datetime.fromtimestamp(now_s, UTC), head, msgid, sd_id, params, text
    )


def format_record(record: CallRecord, sequence: int, now_s: float, host: str, process: int) -> str:
    params: dict[str, object] = {"seq": sequence}
    for one in fields(record):
        value = getattr(record, one.name)
        if value != one.default:
            params[KEYS.get(one.name, one.name)] = int(value) if isinstance(value, bool) else value
    return _line(now_s, host, process, "cdr", CDR, params, record.verdict)


def format_count(written: int, dropped: int, now_s: float, host: str, process: int) -> str:
    """So far in this process: written counts what has a number, dropped what has a number but no line."""
    return _line(now_s, host, process, "count", COUNT, {"written": written, "dropped": dropped}, "so far")


def parse_line(line: str) -> Line:
    """Raises RecordFormatError where the line is no RFC 5424 message."""
    found = HEAD.match(line.rstrip("\r\n"))
    if not found:
        raise RecordFormatError("no RFC 5424 header")
    _, stamp, host, _, process, message_id, rest = found.groups()
    try:
        at_s = datetime.fromisoformat(stamp).timestamp()
    except ValueError:
        raise RecordFormatError(f"an unreadable time {stamp[:40]!r}") from None
    return Line(at_s, host, process, message_id, dict(_elements(rest)))


def _elements(text: str) -> Iterator[tuple[str, dict[str, str]]]:
    at = 0
    while text[at : at + 1] == "[":
        found = ELEMENT.match(text, at)
        if not found:
            raise RecordFormatError("structured data that does not end")
        values = {name: re.sub(r"\\([\"\\\]])", r"\1", value) for name, value in PARAM.findall(found[2])}
        yield found[1], values
        at = found.end()


def parse_record(line: Line) -> tuple[int, CallRecord] | None:
    """Sequence number and record; None where the line holds none. Raises RecordFormatError for a spoilt one."""
    row = line.data.get(CDR)
    if row is None:
        return None
    values: dict[str, object] = {}
    try:
        for one in fields(CallRecord):
            text = row.get(KEYS.get(one.name, one.name))
            if text is None:
                if one.name in (
                    "offered_ms",
                    "call",
                    "class_name",
                    "origin",
                    "destination",
                    "number",
                    "verdict",
                ):
                    raise RecordFormatError(f"no {KEYS.get(one.name, one.name)}")
                continue
            kind = one.type
            values[one.name] = text == "1" if kind is bool else kind(text)  # type: ignore[operator]
        sequence = int(row["seq"])
    except (KeyError, ValueError) as error:
        if isinstance(error, RecordFormatError):
            raise
        raise RecordFormatError(f"a call detail record with an unusable value: {error}") from None
    if values["verdict"] not in VERDICTS:
        raise RecordFormatError(f"an unknown verdict {values['verdict']!r}")
    return sequence, CallRecord(**values)  # type: ignore[arg-type]


def parse_count(line: Line) -> tuple[int, int] | None:
    """Written and dropped, of a count line."""
    row = line.data.get(COUNT)
    try:
        return (int(row["written"]), int(row["dropped"])) if row else None
    except (KeyError, ValueError):
        raise RecordFormatError("a count with an unusable value") from None
