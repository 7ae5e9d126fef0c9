"""The command channel: numbered changes of the list, resumed from a cursor after each reconnect."""

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

SILENT_S = 2.5  # a cursor comes each second; what is told during a longer silence must be known 4 s after it
LONGEST_EVENT = 256 * 1024  # a whole list is one event, and may be longer than other messages
DIAL_S = 1.0
REDIAL_S = 0.25
STEADY_GAP_S = 3.0  # a longer time without a line shows that discovery may have missed something
STATES = {
    "up": interface.SwitchState.IN_SERVICE,
    "draining": interface.SwitchState.DRAINING,
    "removed": interface.SwitchState.GONE,
}

Log = Callable[..., None]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]
OnList = Callable[[interface.SwitchListKind, list[SwitchListing]], None]


def parse_listing(row: Any) -> SwitchListing:
    """One entry; a ValueError names what is wrong with it."""
    if not isinstance(row, dict):
        raise ValueError("an entry is not an object")
    name, address, group = row.get("name"), row.get("address"), row.get("group")
    if not isinstance(name, str) or not name or not isinstance(group, int):
        raise ValueError("an entry has an unusable name or group")
    state = STATES.get(row.get("status", ""))
    if state is None:
        raise ValueError(f"entry {name} has an unknown status")
    if not isinstance(address, str) or not address.rpartition(":")[2].isdigit():
        address = ""
    if not address and state is not interface.SwitchState.GONE:
        raise ValueError(f"entry {name} has an unusable address")
    since = row.get("since_ms") or 0
    started_ns = int(since * 1_000_000) if isinstance(since, int | float) and since > 0 else None
    zone = row.get("zone")
    return SwitchListing(name, address, group, state, zone if isinstance(zone, str) else "", started_ns)


class Channel:
    def __init__(
        self, address: str | None, on_list: OnList, spawn: Spawn, log: Log, metrics: Metrics
    ) -> None:
        self.address, self.metrics = address, metrics
        self.on_list, self.spawn, self.log = on_list, spawn, log
        self.cursor = 0
        self.gap_at = -1  # the cursor at which an event was missing the last time
        self.task: asyncio.Task[None] | None = None
        self.caught_up = asyncio.Event()  # the channel has told a number that we have reached
        self.lost_at: float | None = None  # since when there is no connection
        self.dials = 0  # that failed since then
        self.heard_at = -math.inf  # the last line
        self.heard_since = -math.inf  # the first of those before it that came without a gap

    def start(self) -> None:
        if self.address:
            self.task = self.spawn(self.run(self.address), "command channel")

    def change_address(self, address: str | None) -> None:
        """The channel is elsewhere from now on; the new one is asked for what comes after our cursor."""
        if address == self.address:
            return
        self.address = address
        if self.task:
            self.task.cancel()  # also a dial or a pause; nothing is awaited between an event and its cursor
        self.start()

    def load_known_events(self, known_events: dict[str, Any]) -> None:
        """What the configuration already holds."""
        for event in known_events.get("cmds") or []:
            self._event(event)
        cursor = known_events.get("cursor")
        self.cursor = max(self.cursor, cursor if isinstance(cursor, int) else 0)

    def _event(self, event: Any) -> None:
        cursor = event.get("cursor") if isinstance(event, dict) else None
        if not isinstance(cursor, int) or cursor <= self.cursor:
            return  # told again after a reconnect
        if "nodes" not in event:
            # Guards against counting an event as known by its number alone, which may come ahead of it.
            return self._no_gap(cursor)
        if self.task:
            self._no_gap(cursor - 1)
        self.cursor = cursor
        nodes = event.get("nodes")
        if not isinstance(nodes, dict):
            return
        rows = []
        for entry in nodes.get("endpoints") or []:
            try:
                rows.append(parse_listing(entry))
            except ValueError as error:
                self.log("warning", "channel", str(error), cursor=cursor)
        self.on_list(
            interface.SwitchListKind.COMPLETE if nodes.get("snapshot") else interface.SwitchListKind.CHANGES,
            rows,
        )

    @property
    def steady_since(self) -> float | None:
        """Since when lines have come without a gap, in the loop's time; None if none comes now."""
        now = asyncio.get_running_loop().time()
        return self.heard_since if now - self.heard_at <= STEADY_GAP_S else None

    def _note_heard(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.heard_at > STEADY_GAP_S:
            self.heard_since = now
        self.heard_at = now

    def _line(self, text: memoryview) -> None:
        if not text.tobytes().strip():
            return
        self._note_heard()
        try:
            row = json.loads(str(text, "utf-8"))
        except (ValueError, RecursionError):
            return self.log("warning", "channel", "a line that is not JSON was dropped")
        if isinstance(row, int):
            row = {"cursor": row}
        if isinstance(row, dict):
            self._event(row)
            if "nodes" not in row:
                self.caught_up.set()

    def _no_gap(self, told: int) -> None:
        """Guards against an event that was lost on the way: it is asked for again, once. A channel that has
        none to tell must not be asked for ever."""
        if told > self.cursor and self.gap_at != self.cursor:
            self.gap_at = self.cursor
            raise ConnectionError(f"event {self.cursor + 1} is missing")

    async def run(self, address: str) -> None:
        """Connected for as long as it can be, and resumed from the last event known."""
        while True:
            try:
                async with asyncio.timeout(DIAL_S):
                    reader, writer = await asyncio.open_connection(*parse_address(address))
            except (TimeoutError, OSError) as error:
                self._not_reached(address, error)
                await asyncio.sleep(REDIAL_S)
                continue
            link = Link(reader, writer, LONGEST_EVENT)
            self._reached(address, link)
            link.write(b"resume %d\n" % self.cursor)
            await self._listen(link)
            await asyncio.sleep(REDIAL_S)

    def _reached(self, address: str, link: Link) -> None:
        away_ms = int((link.loop.time() - self.lost_at) * 1000) if self.lost_at else 0
        self.log(
            "notice", "channel", "connected", address=address, link=link.number, cursor=self.cursor,
            away_ms=away_ms, failed_dials=self.dials,
        )  # fmt: skip
        self.lost_at, self.dials = None, 0

    def _not_reached(self, address: str, error: Exception) -> None:
        """Only the first failed dial is logged; their number is told with the connection that comes up."""
        self.dials += 1
        if self.lost_at is None:
            self.lost_at = asyncio.get_running_loop().time()
        if self.dials == 1:
            reason = type(error).__name__
            self.log("warning", "channel", "not reached", address=address, reason=reason, cursor=self.cursor)

    async def _listen(self, link: Link) -> None:
        def take(chunks: Chunks) -> bool:
            watch.reschedule(link.loop.time() + SILENT_S)
            taken = False
            while (text := chunks.line()) is not None:
                self._line(text)
                taken = True
            return taken

        ended = "silent"
        try:
            async with asyncio.timeout(SILENT_S) as watch:
                ended = await link.read_all(take, SILENT_S, link.abort)
        except TimeoutError:
            pass
        except Exception as error:  # noqa: BLE001 - what cannot be read must cost a reconnect, no more
            ended = repr(error)
        finally:
            link.abort()
        self.metrics.channel_losses += 1
        if self.lost_at is None:
            self.lost_at = link.loop.time()
        self.log("notice", "channel", f"connection ended: {ended}", link=link.number, cursor=self.cursor)
