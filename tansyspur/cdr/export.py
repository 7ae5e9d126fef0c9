"""Writes call detail records to a file without delaying calls.

Records are queued in memory and written by a worker thread every FLUSH_S. If the disk is full or too slow, records
are dropped and counted instead of holding up the event loop.
"""

import asyncio
import errno
import os
import stat
import time
from collections.abc import Callable

from tansyspur.cdr.record import CallRecord, format_count, format_record

FLUSH_S = 0.25
COUNT_INTERVAL_S = 10.0
MAX_QUEUED_RECORDS = 20_000  # some 6 MB

Log = Callable[..., None]


class CdrFile:
    """An append-only file of call detail records.

    Calling the object queues a record; it never blocks. A background task, started by `start`, hands the queue to a
    worker thread of asyncio for writing. Raises OSError if the file cannot be opened.
    """

    def __init__(self, path: str, host: str, log: Log, max_queued: int = MAX_QUEUED_RECORDS) -> None:
        self.path, self.host, self.log, self.max_queued = path, host, log, max_queued
        self.process = os.getpid()
        self.queue: list[str] = []
        self.sequence = self.dropped = self.logged_dropped = 0
        self.last_count_at = 0.0
        self.file = self._open()
        self.task: asyncio.Task[None] | None = None

    def _open(self) -> int:
        """Open the path. Raises OSError, also for a pipe, whose reader the event loop would have to wait for."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK
        file = os.open(self.path, flags, 0o640)
        if stat.S_ISFIFO(os.fstat(file).st_mode):
            os.close(file)
            raise OSError(errno.EINVAL, "is a pipe; records need a file", self.path)
        return file

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run(), name="call detail records")

    def __call__(self, record: CallRecord) -> None:
        """Queues a record. If the queue is full, the record is dropped; it still uses up a sequence number."""
        self.sequence += 1
        if len(self.queue) >= self.max_queued:
            self.dropped += 1
            return
        self.queue.append(format_record(record, self.sequence, time.time(), self.host, self.process))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            await self._flush()

    async def _flush(self, last: bool = False) -> None:
        now = time.monotonic()
        lines, self.queue = self.queue, []
        if last or now - self.last_count_at >= COUNT_INTERVAL_S:
            self.last_count_at = now
            lines.append(format_count(self.sequence, self.dropped, time.time(), self.host, self.process))
        if not lines:
            return
        try:
            await asyncio.to_thread(self._write, ("\n".join(lines) + "\n").encode())
        except OSError as error:
            # The write may have succeeded in part, so it is not retried: a reader skips a truncated line and notices
            # a missing sequence number, but would count a second copy of a record as a second call.
            self.dropped += sum(1 for line in lines if " cdr [" in line)
            self.log(
                "error",
                "cdr",
                f"cannot write to {self.path}: {error.strerror}; the records of this write are dropped",
                dropped=self.dropped,
            )
        if self.dropped != self.logged_dropped:
            self.logged_dropped = self.dropped
            self.log("warning", "cdr", "call detail records were dropped", dropped=self.dropped)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.file, view) :]

    def reopen(self) -> None:
        """Opens the path anew, after SIGHUP: once the file has been rotated, later records go to the new file.

        If that fails, the error is logged and the file that is already open stays in use.
        """
        try:
            new_file = self._open()
        except OSError as error:
            return self.log(
                "error", "cdr", f"cannot reopen {self.path}: {error.strerror}; the open file stays in use"
            )
        os.dup2(new_file, self.file)
        os.close(new_file)

    async def close(self) -> None:
        """Stops the background task, writes the queued records and a last count, and closes the file."""
        if self.task:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self._flush(last=True)
        os.close(self.file)
