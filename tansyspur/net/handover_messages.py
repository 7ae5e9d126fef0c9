"""Messages between two processes at one address during a hand-over: types, checks and wire form. No I/O.

Each message is one JSON object on a line of at most MAX_LINE_BYTES. The names on the wire depend on the sender, since
an earlier version used "release" with another meaning in each direction. A process ignores types that it does not
know: the other one may be of a later version.
"""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tansyspur.core.ports import cause_or_normal

MAX_LINE_BYTES = 4096
MAX_IDS_PER_LINE = 150
MAX_REPORT_CHARACTERS = 512
MAX_NAME_CHARACTERS = 256
CALL_ID = re.compile(r"[0-9A-Fa-f]{16}")


class Sender(Enum):
    PREDECESSOR = "predecessor"
    SUCCESSOR = "successor"


class InvalidMessage(Exception):
    """A line that is no message, or a message that does not fit on a line."""


@dataclass(slots=True, frozen=True)
class Serving:
    """The sender accepts the callers from now on."""


@dataclass(slots=True, frozen=True)
class CallerRelease:
    """A caller released a call that the sender does not hold."""

    call_id: str
    cause: int  # Q.850


@dataclass(slots=True, frozen=True)
class CallEnd:
    """A call that the sender held is over, and the receiver has the connections of callers: it tells the caller."""

    call_id: str
    cause: int  # Q.850


@dataclass(slots=True, frozen=True)
class SwitchRelease:
    """A switch released a call that the sender does not hold. The sender has confirmed it to the switch."""

    call_id: str
    switch: str  # name in the switch list
    cut: bool  # released with another cause than normal clearing
    report: str = ""  # X-Group of the release; empty if it had none


@dataclass(slots=True, frozen=True)
class TakenIds:
    """The sender has taken set-ups under these ids, and may have served them: they must not be served again."""

    call_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EventsStored:
    """The sender has appended events of discovery to its file (net/event_store.py), which the receiver may lack."""


@dataclass(slots=True, frozen=True)
class ConfigurationRead:
    """The sender was told to read the configuration file again, and uses the new one."""


Message = Serving | CallerRelease | CallEnd | SwitchRelease | TakenIds | EventsStored | ConfigurationRead

TYPES: dict[Sender, dict[str, type[Message]]] = {
    Sender.PREDECESSOR: {
        "release": CallEnd,
        "caller_release": CallerRelease,
        "switch_release": SwitchRelease,
        "taken_ids": TakenIds,
        "events_stored": EventsStored,
        "configuration_read": ConfigurationRead,
    },
    Sender.SUCCESSOR: {
        "serving": Serving,
        "release": CallerRelease,
        "switch_release": SwitchRelease,
        "taken_ids": TakenIds,
        "events_stored": EventsStored,
    },
}


def encode(message: Message, sender: Sender) -> bytes:
    """Return the message as a line. Raises InvalidMessage if this sender does not send it, or if it is too long."""
    names = [name for name, message_type in TYPES[sender].items() if message_type is type(message)]
    if not names:
        raise InvalidMessage(f"a {sender.value} sends no {type(message).__name__}")
    line = json.dumps({"type": names[0], **_members(message)}).encode() + b"\n"
    if len(line) > MAX_LINE_BYTES:
        raise InvalidMessage(f"a message of {len(line)} bytes; a line may have {MAX_LINE_BYTES}")
    return line


def decode(line: bytes, sender: Sender) -> Message | None:
    """Return the message of a line from this sender; None for a type that is not known. Raises InvalidMessage."""
    try:
        row = json.loads(line)
    except (ValueError, RecursionError):
        raise InvalidMessage("a line that is not JSON") from None
    if not isinstance(row, dict):
        raise InvalidMessage("a line that is no JSON object")
    message_type = TYPES[sender].get(str(row.get("type")))
    return message_type and _parse(message_type, row)


def taken_ids(call_ids: list[str]) -> list[TakenIds]:
    """Return the ids in as many messages as are needed for the limit on lines."""
    starts = range(0, len(call_ids), MAX_IDS_PER_LINE)
    return [TakenIds(tuple(call_ids[start : start + MAX_IDS_PER_LINE])) for start in starts]


def _members(message: Message) -> dict[str, Any]:
    match message:
        case Serving() | EventsStored() | ConfigurationRead():
            return {}
        case CallerRelease(call_id, cause) | CallEnd(call_id, cause):
            return {"id": call_id, "cause": cause}
        case SwitchRelease(call_id, switch, cut, report):
            return {"id": call_id, "switch": switch, "cut": cut, "report": report[:MAX_REPORT_CHARACTERS]}
        case TakenIds(call_ids):
            return {"ids": list(call_ids)}


def _parse(message_type: type[Message], row: dict[str, Any]) -> Message:
    if message_type is CallerRelease or message_type is CallEnd:
        return message_type(_call_id(row.get("id")), cause_or_normal(row.get("cause")))
    if message_type is SwitchRelease:
        switch, report = (
            _text(row, "switch", MAX_NAME_CHARACTERS),
            _text(row, "report", MAX_REPORT_CHARACTERS),
        )
        return SwitchRelease(_call_id(row.get("id")), switch, row.get("cut") is True, report)
    if message_type is TakenIds:
        call_ids = row.get("ids")
        if not isinstance(call_ids, list):
            raise InvalidMessage("ids: expected a list")
        return TakenIds(tuple(_call_id(call_id) for call_id in call_ids))
    return message_type()


def _call_id(value: Any) -> str:
    if not isinstance(value, str) or not CALL_ID.fullmatch(value):
        raise InvalidMessage("id: expected 16 hex digits")
    return value


def _text(row: dict[str, Any], key: str, max_characters: int) -> str:
    value = row.get(key, "")
    if not isinstance(value, str) or len(value) > max_characters:
        raise InvalidMessage(f"{key}: expected a text of at most {max_characters} characters")
    return value
