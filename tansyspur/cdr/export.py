"""Call detail records to a file, off the calls' way: a full or slow disk drops records, and counts them."""

import asyncio
import os
import time
from collections.abc import Callable

from tansyspur.cdr.record import CallRecord, format_count, format_record

FLUSH_S = 0.25
COUNT_S = 10.0
MOST_WAITING = 20_000  # records: some 6 MB

Log = Callable[..., None]


class CdrFile:
    """Appends to a file from a thread of the library's; the calls only ever append to a list."""

    def __init__(self, path: str, host: str, log: Log, most_waiting: int = MOST_WAITING) -> None:
        self.path, self.host, self.log, self.most_waiting = path, host, log, most_waiting
        self.process = os.getpid()
        self.waiting: list[str] = []
        self.sequence = self.dropped = self.told_dropped = 0
        self.told_at = 0.0
        self.file = self._open()
        self.task: asyncio.Task[None] | None = None

    def _open(self) -> int:
        return os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run(), name="call detail records")

    def __call__(self, record: CallRecord) -> None:
        self.sequence += 1
        if len(self.waiting) >= self.most_waiting:
            self.dropped += 1
            return
        self.waiting.append(format_record(record, self.sequence, time.time(), self.host, self.process))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            await self._flush()

    async def _flush(self, last: bool = False) -> None:
        now = time.monotonic()
        lines, self.waiting = self.waiting, []
        if last or now - self.told_at >= COUNT_S:
            self.told_at = now
            lines.append(format_count(self.sequence, self.dropped, time.time(), self.host, self.process))
        if not lines:
            return
        try:
            await asyncio.to_thread(self._write, ("\n".join(lines) + "\n").encode())
        except OSError as error:
            # What may have been written in part is not written again: a reader drops a spoilt line, and
            # counts a missing number, but would take a second copy for a second call.
            self.dropped += sum(1 for line in lines if " cdr [" in line)
            self.log("error", "cdr", f"{self.path}: {error.strerror}", dropped=self.dropped)
        if self.dropped != self.told_dropped:
            self.told_dropped = self.dropped
            self.log("warning", "cdr", "call detail records were dropped", dropped=self.dropped)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.file, view) :]

    def reopen(self) -> None:
        """At SIGHUP, after a rotation: what is written from now on goes to a file of the name."""
        try:
            fresh = self._open()
        except OSError as error:
            return self.log("error", "cdr", f"{self.path}: {error.strerror}; the open file stays in use")
        os.dup2(fresh, self.file)
        os.close(fresh)

    async def close(self) -> None:
        if self.task:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self._flush(last=True)
        os.close(self.file)
