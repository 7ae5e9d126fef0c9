"""Translates the bench's wire to events of tansyspur/interface.py, and actions back to lines.

Each instance has a Controller of its own and shares nothing with the others. No decision is made here.
"""

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from tansyspur import interface
from tansyspur.policy import Controller
from tansyspur.translate import WireError, choose, parse_report, parse_settings, take

OUTCOMES = {
    "pass": interface.Outcome.ENDED,
    "fault": interface.Outcome.FAULT,
    "no_room": interface.Outcome.NO_ROOM,
    "too_slow": interface.Outcome.TIMED_OUT,
    "no_route": interface.Outcome.NO_ROUTE,
    "cut": interface.Outcome.CUT,
    "undone": interface.Outcome.CANCELLED,
    "stale_send": interface.Outcome.NOT_SENT,
}
CAUSES = {
    1: interface.Cause.NO_CIRCUIT,
    2: interface.Cause.TURNED_BACK,
    3: interface.Cause.PROCESSOR_FULL,
    4: interface.Cause.NUMBER_BUSY,
    18: interface.Cause.FAR_PROCESSOR_FULL,
}
STATES = {
    "in_service": interface.SwitchState.IN_SERVICE,
    "terminating": interface.SwitchState.DRAINING,
    "terminated": interface.SwitchState.GONE,
}
LIST_KINDS = {
    "patch": interface.SwitchListKind.CHANGES,
    "whole": interface.SwitchListKind.COMPLETE,
    "stale_copy": interface.SwitchListKind.STALE_COPY,
    "broken": interface.SwitchListKind.FAILED,
}


def parse_exchange(row: Any) -> interface.CarrierSwitch:
    if not isinstance(row, dict):
        raise WireError("a row of the list is not an object")
    return interface.CarrierSwitch(
        switch_id=take(row, "exchange"),
        exchange_number=take(row, "cell"),
        state=choose(STATES, row, "stage-state"),
        zone=row.get("az") or "",
        started_ns=row.get("launched-ns") or None,
    )


def parse_call(row: dict[str, Any]) -> interface.CallOffered:
    via = row.get("via")
    return interface.CallOffered(
        call_id=take(row, "request-id"),
        class_name=take(row, "type", str),
        expires_ns=take(row, "expires-ns"),
        destination=take(row, "terminates-at"),
        circuits=take(row, "width", (int, float)),
        called_number=row.get("object") or "",
        via=via if isinstance(via, int) and via >= 0 else None,
        in_transit=bool(row.get("midflow")),
        redial=bool(row.get("resent")),
        was_cut=bool(row.get("came-back")),
    )


def parse_attempt_ended(row: dict[str, Any]) -> interface.AttemptEnded:
    code = row.get("cause") or 0
    cause = CAUSES.get(code) or (interface.Cause.PROCESSOR_FULL if code % 16 == 3 else None)
    return interface.AttemptEnded(
        call_id=take(row, "request-id"),
        attempt=take(row, "hop"),
        switch_id=take(row, "exchange"),
        outcome=choose(OUTCOMES, row, "status"),
        elapsed_ns=row.get("duration-ns") or 0,
        final=take(row, "terminal", bool),
        cause=cause,
        processor_wait_ms=code // 16 if cause is interface.Cause.PROCESSOR_FULL else 0,
        report=parse_report(row.get("pressure")),
    )


def parse_stands(row: dict[str, Any]) -> interface.CallAnswered:
    return interface.CallAnswered(
        call_id=take(row, "request-id"),
        attempt=take(row, "hop"),
        switch_id=take(row, "exchange"),
        elapsed_ns=row.get("duration-ns") or 0,
    )


def parse_group_report(row: dict[str, Any]) -> interface.GroupReport:
    return interface.GroupReport(
        switch_id=take(row, "exchange"),
        outcome=choose(OUTCOMES, row, "status"),
        elapsed_ns=row.get("duration-ns") or 0,
        report=parse_report(row.get("pressure")),
    )


def parse_message(row: dict[str, Any]) -> interface.PeerMessage:
    try:
        data = base64.b64decode(take(row, "raw", str), validate=True)
    except binascii.Error as error:
        raise WireError("field 'raw' is not base64") from error
    return interface.PeerMessage(sender=take(row, "src-peer"), data=data)


PARSERS: dict[str, Callable[[dict[str, Any]], interface.Event]] = {
    "WORK_ITEM": parse_call,
    "COMPLETED": parse_attempt_ended,
    "STARTED": parse_stands,
    "STATUS_BACK": parse_group_report,
    "INBOX": parse_message,
    "DEADLINE_HIT": lambda row: interface.TimerDue(take(row, "ctx")),
    "VANISHED": lambda row: interface.CallAbandoned(take(row, "request-id")),
}


def format_action(instance: int, action: interface.Action) -> dict[str, Any]:
    """The wire's line for an action."""
    match action:
        case interface.SetUp(call_id, switch_id, timeout_ns):
            row = {"cmd": "RELAY", "request-id": call_id, "exchange": switch_id, "cap-ns": timeout_ns}
        case interface.Refuse(call_id, retry_after_ns):
            row = {"cmd": "PUSH_BACK", "request-id": call_id, "retry-in-ns": retry_after_ns}
        case interface.Fail(call_id):
            row = {"cmd": "ABORT", "request-id": call_id}
        case interface.CancelAttempt(call_id, attempt):
            row = {"cmd": "RECALL", "request-id": call_id, "hop": attempt}
        case interface.SetTimer(token, at_ns):
            row = {"cmd": "TIMER", "ctx": token, "alarm-time-ns": at_ns}
        case interface.Probe(switch_id):
            row = {"cmd": "ASK_LOAD", "exchange": switch_id}
        case interface.SendMessage(peer, data):
            row = {"cmd": "POST", "target": peer, "raw": base64.b64encode(data).decode()}
        case interface.SubscribeSwitchList():
            row = {"cmd": "SUBSCRIBE", "want": True}
        case interface.Log(text):
            row = {"cmd": "LOG", "words": text}
    return {**row, "i": instance}


class Host:
    """Many instances behind one pipe."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.lists: dict[int, tuple[interface.CarrierSwitch, ...]] = {}
        self.now_ns: int | None = None
        self.replies: list[str] = []

    def feed(self, line: str) -> list[str] | None:
        """Take one line; the whole reply once the batch is complete."""
        try:
            row = json.loads(line)
        except ValueError as error:
            raise WireError("not a JSON value") from error
        if not isinstance(row, dict):
            raise WireError("not an object")
        command = take(row, "cmd", str)
        if command == "SYNC":
            if self.now_ns is not None:
                raise WireError("SYNC inside a batch")
            self.now_ns = take(row, "wall-ns")
            return None
        if self.now_ns is None:
            raise WireError(f"{command} outside a batch")
        if command == "END":
            replies, self.replies, self.now_ns = self.replies, [], None
            return [*replies, '{"cmd":"EOR"}']
        if command == "CENSUS":
            self.lists[take(row, "sheet")] = tuple(parse_exchange(entry) for entry in take(row, "rows", list))
        else:
            self._instance_event(command, take(row, "i"), row)
        return None

    def _instance_event(self, command: str, instance: int, row: dict[str, Any]) -> None:
        if command == "SPAWN":
            settings = parse_settings(take(row, "profile-data", dict))
            self.controllers[instance] = Controller(settings, take(row, "salt"))
            return
        if instance not in self.controllers:
            raise WireError(f"{command} for instance {instance}, which is not running")
        if command == "HALT":
            del self.controllers[instance]
            return
        if command == "TOPOLOGY":
            event: interface.Event = self._exchange_list(row)
        elif command in PARSERS:
            event = PARSERS[command](row)
        else:
            raise WireError(f"unknown command '{command}'")
        for action in self.controllers[instance].handle(self.now_ns, event):
            self.replies.append(json.dumps(format_action(instance, action), separators=(",", ":")))

    def _exchange_list(self, row: dict[str, Any]) -> interface.SwitchList:
        kind = choose(LIST_KINDS, row, "mode")
        if kind is interface.SwitchListKind.FAILED:
            return interface.SwitchList(kind)
        sheet = take(row, "sheet")
        if sheet not in self.lists:
            raise WireError(f"list {sheet} was never sent")
        return interface.SwitchList(kind, self.lists[sheet])


def converse(lines: Iterator[str], out: TextIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    for count, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reply = host.feed(line)
        except (WireError, ValueError, TypeError) as error:
            raise WireError(f"line {count}: {error}") from error
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    if host.now_ns is not None:
        raise WireError("the input ended inside a batch")


def main() -> int:
    try:
        sys.stdin.reconfigure(encoding="utf-8")
        converse(iter(sys.stdin), sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"tansyspur: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
