"""Runs decision modules inside the simulator: JSON lines on standard input and output.

Lines of the simulator are parsed into events of tansyspur/interface.py, and the actions formatted as lines. The
lines between SYNC, which has the time, and END are a batch; it is answered with the actions and a line EOR.
Each simulated gatekeeper, called an instance, has a Controller of its own and shares nothing with the others.
No decision is made here.
"""

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from tansyspur import interface
from tansyspur.policy import Controller
from tansyspur.translate import WireError, parse_report, parse_settings, required_choice, required_field

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


def parse_switch(row: Any) -> interface.CarrierSwitch:
    if not isinstance(row, dict):
        raise WireError("a row of the switch list is not an object")
    return interface.CarrierSwitch(
        switch_id=required_field(row, "exchange"),
        exchange_number=required_field(row, "cell"),
        state=required_choice(STATES, row, "stage-state"),
        zone=row.get("az") or "",
        started_ns=row.get("launched-ns") or None,
    )


def parse_call(row: dict[str, Any]) -> interface.CallOffered:
    via = row.get("via")
    return interface.CallOffered(
        call_id=required_field(row, "request-id"),
        class_name=required_field(row, "type", str),
        expires_ns=required_field(row, "expires-ns"),
        destination=required_field(row, "terminates-at"),
        circuits=required_field(row, "width", (int, float)),
        called_number=row.get("object") or "",
        via=via if isinstance(via, int) and via >= 0 else None,
        in_transit=bool(row.get("midflow")),
        redial=bool(row.get("resent")),
        was_cut=bool(row.get("came-back")),
    )


def parse_attempt_ended(row: dict[str, Any]) -> interface.AttemptEnded:
    # A cause code of 3 modulo 16 is a full processor, with the processor's wait in ms in the higher bits.
    code = row.get("cause") or 0
    cause = CAUSES.get(code) or (interface.Cause.PROCESSOR_FULL if code % 16 == 3 else None)
    return interface.AttemptEnded(
        call_id=required_field(row, "request-id"),
        attempt=required_field(row, "hop"),
        switch_id=required_field(row, "exchange"),
        outcome=required_choice(OUTCOMES, row, "status"),
        elapsed_ns=row.get("duration-ns") or 0,
        final=required_field(row, "terminal", bool),
        cause=cause,
        processor_wait_ms=code // 16 if cause is interface.Cause.PROCESSOR_FULL else 0,
        report=parse_report(row.get("pressure")),
    )


def parse_call_answered(row: dict[str, Any]) -> interface.CallAnswered:
    return interface.CallAnswered(
        call_id=required_field(row, "request-id"),
        attempt=required_field(row, "hop"),
        switch_id=required_field(row, "exchange"),
        elapsed_ns=row.get("duration-ns") or 0,
    )


def parse_group_report(row: dict[str, Any]) -> interface.GroupReport:
    return interface.GroupReport(
        switch_id=required_field(row, "exchange"),
        outcome=required_choice(OUTCOMES, row, "status"),
        elapsed_ns=row.get("duration-ns") or 0,
        report=parse_report(row.get("pressure")),
    )


def parse_message(row: dict[str, Any]) -> interface.PeerMessage:
    try:
        data = base64.b64decode(required_field(row, "raw", str), validate=True)
    except binascii.Error as error:
        raise WireError("field 'raw' is not base64") from error
    return interface.PeerMessage(sender=required_field(row, "src-peer"), data=data)


PARSERS: dict[str, Callable[[dict[str, Any]], interface.Event]] = {
    "WORK_ITEM": parse_call,
    "COMPLETED": parse_attempt_ended,
    "STARTED": parse_call_answered,
    "STATUS_BACK": parse_group_report,
    "INBOX": parse_message,
    "DEADLINE_HIT": lambda row: interface.TimerDue(required_field(row, "ctx")),
    "VANISHED": lambda row: interface.CallAbandoned(required_field(row, "request-id")),
}


def format_action(instance: int, action: interface.Action) -> dict[str, Any]:
    """The line for an action, as an object."""
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


class InstanceHost:
    """The controllers of all instances, fed by one stream of lines."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.lists: dict[int, tuple[interface.CarrierSwitch, ...]] = {}  # switch lists by their number
        self.now_ns: int | None = None  # time of the batch; None outside a batch
        self.replies: list[str] = []

    def handle_line(self, line: str) -> list[str] | None:
        """Take one line. Return the reply at the end of a batch, else None. Raises WireError."""
        try:
            row = json.loads(line)
        except ValueError as error:
            raise WireError("not a JSON value") from error
        if not isinstance(row, dict):
            raise WireError("not an object")
        command = required_field(row, "cmd", str)
        if command == "SYNC":
            if self.now_ns is not None:
                raise WireError("SYNC inside a batch")
            self.now_ns = required_field(row, "wall-ns")
            return None
        if self.now_ns is None:
            raise WireError(f"{command} outside a batch")
        if command == "END":
            replies, self.replies, self.now_ns = self.replies, [], None
            return [*replies, '{"cmd":"EOR"}']
        if command == "CENSUS":
            self.lists[required_field(row, "sheet")] = tuple(
                parse_switch(entry) for entry in required_field(row, "rows", list)
            )
        else:
            self._handle_instance_line(command, required_field(row, "i"), row)
        return None

    def _handle_instance_line(self, command: str, instance: int, row: dict[str, Any]) -> None:
        if command == "SPAWN":
            settings = parse_settings(required_field(row, "profile-data", dict))
            self.controllers[instance] = Controller(settings, required_field(row, "salt"))
            return
        if instance not in self.controllers:
            raise WireError(f"{command} for instance {instance}, which is not running")
        if command == "HALT":
            del self.controllers[instance]
            return
        if command == "TOPOLOGY":
            event: interface.Event = self._parse_switch_list(row)
        elif command in PARSERS:
            event = PARSERS[command](row)
        else:
            raise WireError(f"unknown command '{command}'")
        for action in self.controllers[instance].handle(self.now_ns, event):
            self.replies.append(json.dumps(format_action(instance, action), separators=(",", ":")))

    def _parse_switch_list(self, row: dict[str, Any]) -> interface.SwitchList:
        kind = required_choice(LIST_KINDS, row, "mode")
        if kind is interface.SwitchListKind.FAILED:
            return interface.SwitchList(kind)
        sheet = required_field(row, "sheet")
        if sheet not in self.lists:
            raise WireError(f"list {sheet} was never sent")
        return interface.SwitchList(kind, self.lists[sheet])


def serve(lines: Iterator[str], out: TextIO) -> None:
    """Answer batches until the input ends. Raises WireError, with the line number, for malformed input."""
    host = InstanceHost()
    for line_number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            reply = host.handle_line(line)
        except (WireError, ValueError, TypeError) as error:
            raise WireError(f"line {line_number}: {error}") from error
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    if host.now_ns is not None:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Serve standard input. Exit status: 0 at its end, 2 for malformed input."""
    try:
        sys.stdin.reconfigure(encoding="utf-8")
        serve(iter(sys.stdin), sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"tansyspur: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
