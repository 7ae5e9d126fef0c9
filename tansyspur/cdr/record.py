"""Formats call detail records as RFC 5424 lines and parses them; no I/O.

Each process numbers its records without gaps. Count lines, written at intervals, state how many records were numbered
and how many of those were dropped, so that a reader can determine how many records it lacks.
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
    """A line is not an RFC 5424 message, or its call detail record is malformed; the text says how."""


@dataclass(slots=True, frozen=True)
class CallRecord:
    """One call, from its offer to its end.

    Field names are the parameter names on the line (KEYS lists the exceptions). Times other than offered_ms are in
    milliseconds after the offer.
    """

    offered_ms: int  # Unix time, by the gatekeeper's clock
    call: str
    class_name: str
    origin: int  # exchange number of the gatekeeper that took the call
    destination: int  # exchange number
    number: str  # digest of the called number; enough to recognise a redial
    verdict: str
    width: float = 1  # circuits that the call takes
    left_ms: int = 0  # how long the caller would wait, as of the offer
    stood_ms: int = -1  # when the call was answered; -1 if it was not
    ended_ms: int = 0
    attempts: int = 0
    switch: str = ""
    cause: str = ""
    tandem: bool = False  # the last attempt was to a switch other than the destination
    transit: bool = False
    redial: bool = False
    again: bool = False  # the caller sets up anew a call that was cut


@dataclass(slots=True, frozen=True)
class Line:
    """A parsed RFC 5424 line. Its structured data maps each SD-ID to its parameters."""

    at_s: float  # Unix time, by the sender's clock
    host: str
    process: str
    message_id: str
    data: dict[str, dict[str, str]]


KEYS = {"class_name": "class", "destination": "to", "origin": "from"}


def digest(number: str) -> str:
    """A digest of a called number, 12 hexadecimal digits."""
    return blake2b(number.encode("utf-8", "surrogateescape"), digest_size=6).hexdigest()


def record_from_call(call: CompletedCall, origin: int) -> CallRecord:
    """The record of an ended call; `origin` is the exchange number of the gatekeeper that took it."""
    offer, offered_ns = call.offer, call.offered_ns
    return CallRecord(
        offered_ms=offered_ns // 1_000_000, call=offer.wire_id, class_name=offer.class_name, origin=origin,
        destination=offer.destination, number=digest(offer.called_number), verdict=call.verdict, width=offer.circuits,
        left_ms=int(offer.remaining_ms), ended_ms=(call.ended_ns - offered_ns) // 1_000_000,
        stood_ms=(call.answered_ns - offered_ns) // 1_000_000 if call.answered_ns else -1,
        attempts=call.attempts, switch=call.switch, cause=call.cause, tandem=call.tandem,
        transit=offer.in_transit, redial=offer.redial, again=offer.was_cut,
    )  # fmt: skip


def _format_line(
    now_s: float, host: str, process: int, message_id: str, sd_id: str, params: dict[str, object], text: str
) -> str:
    head = f"{printable(host, 255)} tansyspur {process}"
    return format_message(
        SEVERITIES["info"], datetime.fromtimestamp(now_s, UTC), head, message_id, sd_id, params, text
    )


def format_record(record: CallRecord, sequence: int, now_s: float, host: str, process: int) -> str:
    """The line of a record, without a newline. Fields that have their default value are left out."""
    params: dict[str, object] = {"seq": sequence}
    for record_field in fields(record):
        value = getattr(record, record_field.name)
        if value != record_field.default:
            params[KEYS.get(record_field.name, record_field.name)] = (
                int(value) if isinstance(value, bool) else value
            )
    return _format_line(now_s, host, process, "cdr", CDR, params, record.verdict)


def format_count(written: int, dropped: int, now_s: float, host: str, process: int) -> str:
    """A count line, without a newline, with totals of this process so far.

    `written` counts the records that were given a sequence number, `dropped` those among them that have no line.
    """
    return _format_line(
        now_s, host, process, "count", COUNT, {"written": written, "dropped": dropped}, "so far"
    )


def parse_line(line: str) -> Line:
    """Parses any RFC 5424 line. Raises RecordFormatError if it is not one."""
    header = HEAD.match(line.rstrip("\r\n"))
    if not header:
        raise RecordFormatError("no RFC 5424 header")
    _, timestamp, host, _, process, message_id, rest = header.groups()
    try:
        at_s = datetime.fromisoformat(timestamp).timestamp()
    except ValueError:
        raise RecordFormatError(f"invalid timestamp {timestamp[:40]!r}") from None
    return Line(at_s, host, process, message_id, dict(_elements(rest)))


def _elements(text: str) -> Iterator[tuple[str, dict[str, str]]]:
    position = 0
    while text[position : position + 1] == "[":
        element = ELEMENT.match(text, position)
        if not element:
            raise RecordFormatError("malformed or unterminated structured data")
        params = {name: re.sub(r"\\([\"\\\]])", r"\1", value) for name, value in PARAM.findall(element[2])}
        yield element[1], params
        position = element.end()


def parse_record(line: Line) -> tuple[int, CallRecord] | None:
    """Sequence number and record of a line, or None if it holds no record.

    Raises RecordFormatError if a field is missing or has an invalid value.
    """
    params = line.data.get(CDR)
    if params is None:
        return None
    values: dict[str, object] = {}
    try:
        for record_field in fields(CallRecord):
            text = params.get(KEYS.get(record_field.name, record_field.name))
            if text is None:
                if record_field.name in (
                    "offered_ms",
                    "call",
                    "class_name",
                    "origin",
                    "destination",
                    "number",
                    "verdict",
                ):
                    raise RecordFormatError(
                        f"call detail record without {KEYS.get(record_field.name, record_field.name)}"
                    )
                continue
            field_type = record_field.type
            values[record_field.name] = text == "1" if field_type is bool else field_type(text)  # type: ignore[operator]
        sequence = int(params["seq"])
    except (KeyError, ValueError) as error:
        if isinstance(error, RecordFormatError):
            raise
        raise RecordFormatError(f"call detail record with an invalid value: {error}") from None
    if values["verdict"] not in VERDICTS:
        raise RecordFormatError(f"unknown verdict {values['verdict']!r}")
    return sequence, CallRecord(**values)  # type: ignore[arg-type]


def parse_count(line: Line) -> tuple[int, int] | None:
    """The numbers of records written and dropped, or None if the line holds no count.

    Raises RecordFormatError if a number is missing or invalid.
    """
    params = line.data.get(COUNT)
    try:
        return (int(params["written"]), int(params["dropped"])) if params else None
    except (KeyError, ValueError):
        raise RecordFormatError("count line with a missing or invalid value") from None
