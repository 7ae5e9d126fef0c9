"""Writes log lines from a thread, so that the event loop never waits for the process that reads them.

The queue and the thread are those of the standard library's logging.handlers. They carry finished lines.
"""

import contextlib
import logging
import os
import queue
import sys
import threading
from collections.abc import Callable
from logging.handlers import QueueHandler, QueueListener
from typing import Protocol

MAX_QUEUED_LINES = 1000  # some 300 KB
CLOSE_TIMEOUT_S = 0.1  # for the last lines, as SIGKILL may come soon after the end of the service
STANDARD_ERROR = 2


class LineWriter(Protocol):
    """Where log lines go."""

    def write(self, line: str) -> None:
        """Write one line, given without its line end."""

    def close(self) -> None: ...


class DirectWriter:
    """Writes to sys.stderr at once, and waits for its reader: for tools, which have no calls to serve."""

    def write(self, line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    def close(self) -> None: ...


class QueuedWriter:
    """Writes to a file descriptor from a thread. write() never waits and never raises.

    Lines beyond max_lines, and lines that cannot be written, are dropped and counted. The count is written in one line,
    which format_drops makes, as soon as all waiting lines are written.
    """

    def __init__(
        self,
        format_drops: Callable[[int], str],
        descriptor: int = STANDARD_ERROR,
        max_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        drops = DropCounter()
        lines: queue.Queue[logging.LogRecord] = queue.Queue(max_lines)
        self._handler = _BoundedQueueHandler(lines, drops)
        self._listener = _DropReportingListener(lines, _DescriptorHandler(descriptor), drops, format_drops)
        self._listener.start()

    def write(self, line: str) -> None:
        self._handler.emit(logging.makeLogRecord({"msg": line}))

    def close(self) -> None:
        """Write the waiting lines, for CLOSE_TIMEOUT_S at most."""
        self._listener.stop()


class DropCounter:
    """Counts dropped lines, for two threads."""

    def __init__(self) -> None:
        self._lock, self._count = threading.Lock(), 0

    def add(self, count: int = 1) -> None:
        with self._lock:
            self._count += count

    def take(self) -> int:
        """Return the count, and start again at 0."""
        with self._lock:
            count, self._count = self._count, 0
            return count


class _BoundedQueueHandler(QueueHandler):
    def __init__(self, lines: "queue.Queue[logging.LogRecord]", drops: DropCounter) -> None:
        super().__init__(lines)
        self._drops = drops

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        return record  # the line is finished

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._drops.add()


class _DescriptorHandler(logging.Handler):
    """Writes to the descriptor itself: a lock of sys.stderr that a blocked thread holds would abort the exit."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line. Raises OSError if the reader is gone."""
        view = memoryview(f"{record.msg}\n".encode("utf-8", "backslashreplace"))
        while view:
            view = view[os.write(self._descriptor, view) :]


class _DropReportingListener(QueueListener):
    """The thread that writes the lines, and then the number of those that were dropped."""

    def __init__(
        self,
        lines: "queue.Queue[logging.LogRecord]",
        handler: logging.Handler,
        drops: DropCounter,
        format_drops: Callable[[int], str],
    ) -> None:
        super().__init__(lines, handler)
        self._lines, self._handler, self._drops, self._format_drops = lines, handler, drops, format_drops

    def handle(self, record: logging.LogRecord) -> None:
        self._write(record, lines=1)
        if self._lines.empty() and (dropped := self._drops.take()):
            self._write(logging.makeLogRecord({"msg": self._format_drops(dropped)}), lines=dropped)

    def _write(self, record: logging.LogRecord, lines: int) -> None:
        """Write the record. If that fails, count the lines that it stands for as dropped."""
        try:
            self._handler.emit(record)
        except OSError:
            self._drops.add(lines)

    def stop(self) -> None:
        """Let the thread write what is in the queue, for CLOSE_TIMEOUT_S at most. A blocked thread is left behind."""
        with contextlib.suppress(queue.Full):
            self._lines.put(self._sentinel, timeout=CLOSE_TIMEOUT_S)
        if self._thread:
            self._thread.join(CLOSE_TIMEOUT_S)
            self._thread = None
