"""Keeps a connection to the command channel of discovery: dials, requests and overlapping attempts.

net/attempt_schedule.py decides when the next connection is opened; net/channel.py gives the lines their meaning.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tansyspur.core.metrics import Metrics
from tansyspur.net import attempt_schedule
from tansyspur.net.attempt_schedule import AttemptTimes
from tansyspur.net.framing import Chunks
from tansyspur.net.link import Link
from tansyspur.net.peers import parse_address

MAX_EVENT_BYTES = 256 * 1024  # a complete list is one event, and may be longer than other messages

Log = Callable[..., None]  # called with the level, the text and the parameters
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


class Attempt:
    """One connection, from its dial to its end."""

    def __init__(self, now: float) -> None:
        self.times = AttemptTimes(now)
        self.link: Link | None = None
        self.task: asyncio.Task[None] | None = None
        self.lines = 0  # received


class ChannelConnections:
    """Connections to the channel at one address, of which one is used.

    Each sends the request that make_request() returns when it comes up. on_line(line) is called for each line received,
    and returns whether it could be read; the first connection with such a line is used, and all others are closed. An
    exception of on_line ends the connection.
    """

    def __init__(
        self,
        address: str,
        make_request: Callable[[], bytes],
        on_line: Callable[[memoryview], bool],
        spawn: Spawn,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self.address, self.metrics = address, metrics
        self.make_request, self.on_line = make_request, on_line
        self.spawn, self.log = spawn, log
        self.loop = asyncio.get_running_loop()
        self.attempts: list[Attempt] = []  # those that are open, oldest first
        self.newest = self._new_attempt()
        self.attempt_ended = asyncio.Event()
        self.lost_at: float | None = None  # since when discovery is not heard
        self.failed_dials = 0  # refused or without a response, since the last connection came up
        self.task = spawn(self._run(), "command channel")

    def close(self) -> None:
        """Close all connections. on_line is not called any more."""
        self.task.cancel()
        for attempt in self.attempts[:]:
            self._close_attempt(attempt)

    async def _run(self) -> None:
        while True:
            self.attempt_ended.clear()
            wait_s = self.newest.times.next_attempt_at() - self.loop.time()
            if wait_s <= 0:
                self._open_another()
                continue
            try:
                async with asyncio.timeout(wait_s):
                    await self.attempt_ended.wait()
            except TimeoutError:
                pass

    def _new_attempt(self) -> Attempt:
        attempt = Attempt(self.loop.time())
        self.attempts.append(attempt)
        attempt.task = self.spawn(self._connect(attempt), "connection of the command channel")
        return attempt

    def _open_another(self) -> None:
        """Open a connection beside those that are late."""
        if self.newest.times.ended_at is None:
            self._report_late(self.newest)
        if len(self.attempts) >= attempt_schedule.MAX_ATTEMPTS:
            started_at = [attempt.times.started_at for attempt in self.attempts]
            self._drop(self.attempts[attempt_schedule.attempt_to_drop(started_at)], "dropped for a new one")
        self.newest = self._new_attempt()

    async def _connect(self, attempt: Attempt) -> None:
        try:
            reader, writer = await asyncio.open_connection(*parse_address(self.address))
        except OSError as error:
            if attempt is self.newest:  # otherwise it was counted when the next one was started
                self._on_dial_failed(type(error).__name__)
            return self._remove(attempt)
        link = attempt.link = Link(reader, writer, MAX_EVENT_BYTES)
        try:
            self._on_connected(attempt)
            link.write(self.make_request())
            how_ended = await self._read(attempt)
        finally:
            link.abort()
        self._report_end(attempt, how_ended)
        self._remove(attempt)

    async def _read(self, attempt: Attempt) -> str:
        """Read until the connection ends, and return how it ended."""
        link = attempt.link
        assert link is not None

        def take_line(chunks: Chunks) -> bool:
            line = chunks.take_line()
            if line is None:
                return False
            attempt.lines += 1
            if self.on_line(line):
                self._use(attempt)
            return True

        try:
            return await link.read_all(take_line)
        except Exception as error:  # noqa: BLE001 - a malformed event must cost no more than a reconnect
            return repr(error)

    def _use(self, attempt: Attempt) -> None:
        """Use this connection, on which a line has come, and close all others."""
        is_first_line = attempt.times.received_at is None
        attempt.times.received_at = self.loop.time()
        self.newest = attempt
        for other in [other for other in self.attempts if other is not attempt]:
            self._drop(other, "another connection is used")
        self.lost_at = None
        if is_first_line:
            self._report_late_answer(attempt)

    def _drop(self, attempt: Attempt, why: str) -> None:
        if attempt.link:
            self._report_end(attempt, why)
        self._close_attempt(attempt)

    def _close_attempt(self, attempt: Attempt) -> None:
        assert attempt.task is not None
        attempt.task.cancel()
        self.attempts.remove(attempt)

    def _remove(self, attempt: Attempt) -> None:
        """Take out an attempt that has ended by itself."""
        self.attempts.remove(attempt)
        attempt.times.ended_at = self.loop.time()
        self.attempt_ended.set()

    # Log and metrics

    def _on_connected(self, attempt: Attempt) -> None:
        assert attempt.link is not None
        attempt.times.connected_at = self.loop.time()
        self.log(
            "notice", "connected", address=self.address, link=attempt.link.number,
            away_ms=self._ms_since(self.lost_at), failed_dials=self.failed_dials,
        )  # fmt: skip
        self.failed_dials = 0

    def _report_late_answer(self, attempt: Attempt) -> None:
        assert attempt.link is not None and attempt.times.connected_at is not None
        if self.loop.time() - attempt.times.connected_at > attempt_schedule.SILENCE_TIMEOUT_S:
            wait_ms = self._ms_since(attempt.times.connected_at)
            self.log("notice", "the first line came late", link=attempt.link.number, wait_ms=wait_ms)

    def _report_late(self, attempt: Attempt) -> None:
        """Report that another connection is opened because this one is late."""
        if attempt.link is None:
            return self._on_dial_failed("TimeoutError")
        self._note_lost()
        self.log(
            "notice", "no line received; opening another connection", link=attempt.link.number,
            lines=attempt.lines, open_ms=self._ms_since(attempt.times.connected_at),
        )  # fmt: skip

    def _on_dial_failed(self, reason: str) -> None:
        """Log the first failed dial only; their number is logged when a connection comes up."""
        self.failed_dials += 1
        self._note_lost()
        if self.failed_dials == 1:
            self.log("warning", "connection failed; retrying", address=self.address, reason=reason)

    def _report_end(self, attempt: Attempt, how_ended: str) -> None:
        assert attempt.link is not None
        self.metrics.channel_losses += 1
        self._note_lost()
        self.log(
            "notice", f"connection ended: {how_ended}", link=attempt.link.number,
            lines=attempt.lines, open_ms=self._ms_since(attempt.times.connected_at),
        )  # fmt: skip

    def _note_lost(self) -> None:
        if self.lost_at is None:
            self.lost_at = self.loop.time()

    def _ms_since(self, moment: float | None) -> int:
        return int((self.loop.time() - moment) * 1000) if moment is not None else 0
