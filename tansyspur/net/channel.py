"""The command channel of discovery: numbered changes of the switch list, resumed from a cursor after each reconnect."""

import asyncio
import json
import math
from collections.abc import Callable
from typing import Any

from tansyspur import interface
from tansyspur.core.error_boundary import run_contained
from tansyspur.core.metrics import Metrics
from tansyspur.core.ports import SwitchListing
from tansyspur.net.channel_connections import ChannelConnections, Spawn

MAX_STEADY_GAP_S = 3.0  # a longer gap between lines shows that discovery may have missed a change
STATE_BY_STATUS = {
    "up": interface.SwitchState.IN_SERVICE,
    "draining": interface.SwitchState.DRAINING,
    "removed": interface.SwitchState.GONE,
}

Log = Callable[..., None]
OnList = Callable[[interface.SwitchListKind, list[SwitchListing]], None]
OnEvent = Callable[[dict[str, Any]], None]


def parse_listing(row: Any) -> SwitchListing:
    """Convert one entry of the switch list. Raises ValueError, which names the entry and the wrong field."""
    if not isinstance(row, dict):
        raise ValueError("list entry is not a JSON object")
    name, address, group = row.get("name"), row.get("address"), row.get("group")
    if not isinstance(name, str) or not name or not isinstance(group, int):
        raise ValueError("list entry has an invalid name or group")
    state = STATE_BY_STATUS.get(row.get("status", ""))
    if state is None:
        raise ValueError(f"list entry {name} has an unknown status")
    if not isinstance(address, str) or not address.rpartition(":")[2].isdigit():
        address = ""
    if not address and state is not interface.SwitchState.GONE:
        raise ValueError(f"list entry {name} has an invalid address")
    since_ms = row.get("since_ms") or 0
    started_ns = int(since_ms * 1_000_000) if isinstance(since_ms, int | float) and since_ms > 0 else None
    zone = row.get("zone")
    return SwitchListing(name, address, group, state, zone if isinstance(zone, str) else "", started_ns)


class Channel:
    """Receives the switch list from the channel at address, and calls on_list for each event, then on_event.

    The connection is kept up for as long as the task runs; an event that is missing is requested once.
    """

    def __init__(
        self,
        address: str | None,
        on_list: OnList,
        spawn: Spawn,
        log: Log,
        metrics: Metrics,
        on_event: OnEvent = lambda event: None,
    ) -> None:
        self.address, self.metrics, self.on_event = address, metrics, on_event
        self.on_list, self.spawn, self.log = on_list, spawn, log
        self.cursor = 0
        self.requested_after = -1  # the cursor at which a missing event was last requested
        self.connections: ChannelConnections | None = None  # None until started, and without an address
        self.caught_up = asyncio.Event()  # set once the events up to a cursor of the channel are applied
        self.last_line_at = -math.inf  # loop time
        self.steady_from = -math.inf  # first line since which lines came without a gap, loop time

    def start(self) -> None:
        if self.address:
            self.connections = ChannelConnections(
                self.address, self._make_request, self._on_line, self.spawn, self._log, self.metrics
            )

    def change_address(self, address: str | None) -> None:
        """Connect to another address, and request the events after the current cursor there."""
        if address == self.address:
            return
        self.address = address
        if self.connections:
            self.connections.close()  # no await lies between applying an event and setting its cursor
        self.start()

    def load_known_events(self, known_events: dict[str, Any]) -> None:
        """Apply the events that the configuration holds under "known"."""
        for event in known_events.get("cmds") or []:
            self._apply_new(event)
        cursor = known_events.get("cursor")
        self.cursor = max(self.cursor, cursor if isinstance(cursor, int) else 0)

    def apply_stored(self, events: list[dict[str, Any]]) -> int:
        """Apply the events after the current cursor that another process has applied. Returns their number.

        An event that is missing among them was missing there, too.
        """
        new_events = [event for event in events if self._is_new(event)]
        for event in new_events:
            run_contained(self.log, "channel", self._apply_new, event)
        return len(new_events)

    def _is_new(self, event: Any) -> bool:
        """Whether the event is not a repetition, as after a reconnect."""
        cursor = event.get("cursor") if isinstance(event, dict) else None
        return isinstance(cursor, int) and cursor > self.cursor

    def _on_event(self, event: Any) -> None:
        if not self._is_new(event):
            return
        if "nodes" not in event:
            # A cursor alone may arrive before its event, so it must not mark the event as applied.
            return self._check_gap(event["cursor"])
        self._check_gap(event["cursor"] - 1)
        self._apply_new(event)

    def _apply_new(self, event: Any) -> None:
        if not self._is_new(event) or "nodes" not in event:
            return
        cursor = self.cursor = event["cursor"]
        nodes = event.get("nodes")
        if not isinstance(nodes, dict):
            return
        rows = []
        for entry in nodes.get("endpoints") or []:
            try:
                rows.append(parse_listing(entry))
            except ValueError as error:
                self.log("warning", "channel", f"{error}; entry ignored", cursor=cursor)
        self.on_list(
            interface.SwitchListKind.COMPLETE if nodes.get("snapshot") else interface.SwitchListKind.CHANGES,
            rows,
        )
        self.on_event(event)

    @property
    def steady_since(self) -> float | None:
        """Loop time since which lines have come without a gap; None if none comes now."""
        now = asyncio.get_running_loop().time()
        return self.steady_from if now - self.last_line_at <= MAX_STEADY_GAP_S else None

    def _note_received(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.last_line_at > MAX_STEADY_GAP_S:
            self.steady_from = now
        self.last_line_at = now

    def _on_line(self, line: memoryview) -> bool:
        """Apply one line, and return whether it could be read. Raises ConnectionError for a missing event."""
        if not line.tobytes().strip():
            return False
        self._note_received()
        try:
            row = json.loads(str(line, "utf-8"))
        except (ValueError, RecursionError):
            self.log("warning", "channel", "line that is not JSON ignored")
            return False
        if isinstance(row, int):
            row = {"cursor": row}
        if not isinstance(row, dict):
            return False
        self._on_event(row)
        if "nodes" not in row:
            self.caught_up.set()
        return True

    def _check_gap(self, cursor: int) -> None:
        """Raise ConnectionError if events up to cursor are missing, so that a reconnect requests them.

        Each gap is requested once only: a channel that does not have the event must not get the same request forever.
        """
        if cursor > self.cursor and self.requested_after != self.cursor:
            self.requested_after = self.cursor
            raise ConnectionError(f"event {self.cursor + 1} is missing")

    def _make_request(self) -> bytes:
        return b"resume %d\n" % self.cursor

    def _log(self, level: str, text: str, **params: object) -> None:
        self.log(level, "channel", text, cursor=self.cursor, **params)
