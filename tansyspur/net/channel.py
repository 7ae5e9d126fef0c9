"""The command channel of discovery: numbered changes of the switch list, resumed from a cursor after each reconnect."""

import asyncio
import json
import math
from collections.abc import Callable, Coroutine
from typing import Any

from tansyspur import interface
from tansyspur.core.metrics import Metrics
from tansyspur.core.ports import SwitchListing
from tansyspur.net.framing import Chunks
from tansyspur.net.link import Link
from tansyspur.net.peers import parse_address

# A cursor arrives each second, so a longer silence shows a lost connection. Events sent during the silence must be
# known at most 4 s after it ends.
SILENCE_TIMEOUT_S = 2.5
MAX_EVENT_BYTES = 256 * 1024  # a complete list is one event, and may be longer than other messages
DIAL_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.25
MAX_STEADY_GAP_S = 3.0  # a longer gap between lines shows that discovery may have missed a change
STATE_BY_STATUS = {
    "up": interface.SwitchState.IN_SERVICE,
    "draining": interface.SwitchState.DRAINING,
    "removed": interface.SwitchState.GONE,
}

Log = Callable[..., None]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]
OnList = Callable[[interface.SwitchListKind, list[SwitchListing]], None]


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
    """Receives the switch list from the channel at address, and calls on_list for each event.

    The connection is kept up for as long as the task runs; an event that is missing is requested once.
    """

    def __init__(
        self, address: str | None, on_list: OnList, spawn: Spawn, log: Log, metrics: Metrics
    ) -> None:
        self.address, self.metrics = address, metrics
        self.on_list, self.spawn, self.log = on_list, spawn, log
        self.cursor = 0
        self.requested_after = -1  # the cursor at which a missing event was last requested
        self.task: asyncio.Task[None] | None = None
        self.caught_up = asyncio.Event()  # set once the events up to a cursor of the channel are applied
        self.lost_at: float | None = None  # since when there is no connection, in loop time
        self.failed_dials = 0  # since lost_at
        self.last_line_at = -math.inf  # loop time
        self.steady_from = -math.inf  # first line since which lines came without a gap, loop time

    def start(self) -> None:
        if self.address:
            self.task = self.spawn(self.run(self.address), "command channel")

    def change_address(self, address: str | None) -> None:
        """Connect to another address, and request the events after the current cursor there."""
        if address == self.address:
            return
        self.address = address
        if self.task:
            self.task.cancel()  # no await lies between applying an event and setting its cursor
        self.start()

    def load_known_events(self, known_events: dict[str, Any]) -> None:
        """Apply the events that the configuration holds under "known"."""
        for event in known_events.get("cmds") or []:
            self._on_event(event)
        cursor = known_events.get("cursor")
        self.cursor = max(self.cursor, cursor if isinstance(cursor, int) else 0)

    def _on_event(self, event: Any) -> None:
        cursor = event.get("cursor") if isinstance(event, dict) else None
        if not isinstance(cursor, int) or cursor <= self.cursor:
            return  # repeated after a reconnect
        if "nodes" not in event:
            # A cursor alone may arrive before its event, so it must not mark the event as applied.
            return self._check_gap(cursor)
        if self.task:
            self._check_gap(cursor - 1)
        self.cursor = cursor
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

    def _on_line(self, line: memoryview) -> None:
        if not line.tobytes().strip():
            return
        self._note_received()
        try:
            row = json.loads(str(line, "utf-8"))
        except (ValueError, RecursionError):
            return self.log("warning", "channel", "line that is not JSON ignored")
        if isinstance(row, int):
            row = {"cursor": row}
        if isinstance(row, dict):
            self._on_event(row)
            if "nodes" not in row:
                self.caught_up.set()

    def _check_gap(self, cursor: int) -> None:
        """Raise ConnectionError if events up to cursor are missing, so that a reconnect requests them.

        Each gap is requested once only: a channel that does not have the event must not get the same request forever.
        """
        if cursor > self.cursor and self.requested_after != self.cursor:
            self.requested_after = self.cursor
            raise ConnectionError(f"event {self.cursor + 1} is missing")

    async def run(self, address: str) -> None:
        """Stay connected, and resume from the last applied event after each reconnect."""
        while True:
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*parse_address(address))
            except (TimeoutError, OSError) as error:
                self._on_dial_failed(address, error)
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            link = Link(reader, writer, MAX_EVENT_BYTES)
            self._on_connected(address, link)
            link.write(b"resume %d\n" % self.cursor)
            await self._read_events(link)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _on_connected(self, address: str, link: Link) -> None:
        away_ms = int((link.loop.time() - self.lost_at) * 1000) if self.lost_at else 0
        self.log(
            "notice", "channel", "connected", address=address, link=link.number, cursor=self.cursor,
            away_ms=away_ms, failed_dials=self.failed_dials,
        )  # fmt: skip
        self.lost_at, self.failed_dials = None, 0

    def _on_dial_failed(self, address: str, error: Exception) -> None:
        """Log the first failed dial only; their number is logged when a connection comes up."""
        self.failed_dials += 1
        if self.lost_at is None:
            self.lost_at = asyncio.get_running_loop().time()
        if self.failed_dials == 1:
            reason = type(error).__name__
            self.log(
                "warning",
                "channel",
                "connection failed; retrying",
                address=address,
                reason=reason,
                cursor=self.cursor,
            )

    async def _read_events(self, link: Link) -> None:
        lines = 0

        def on_data(chunks: Chunks) -> bool:
            nonlocal lines
            silence_timeout.reschedule(link.loop.time() + SILENCE_TIMEOUT_S)
            lines_before = lines
            while (line := chunks.take_line()) is not None:
                lines += 1
                self._on_line(line)
            return lines > lines_before

        how_ended = "silent"
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT_S) as silence_timeout:
                how_ended = await link.read_all(on_data, SILENCE_TIMEOUT_S, link.abort)
        except TimeoutError:
            pass
        except Exception as error:  # noqa: BLE001 - a malformed event must cost no more than a reconnect
            how_ended = repr(error)
        finally:
            link.abort()
        self.metrics.channel_losses += 1
        if self.lost_at is None:
            self.lost_at = link.loop.time()
        self.log(
            "notice",
            "channel",
            f"connection ended: {how_ended}; reconnecting",
            link=link.number,
            cursor=self.cursor,
            lines=lines,
            open_ms=int((link.loop.time() - link.opened_at) * 1000),
        )
