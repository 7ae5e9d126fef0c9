"""Events of discovery in files, so that the next process of this gatekeeper knows what earlier ones have been told.

Each process appends the events that it applies to a file of its own in $TMPDIR, which the processes of a replacement
share. A process reads the files of the others, whether those live, hang or have been killed.

A file is a header and then the events, one JSON object a line. Its writer holds a lock on it, so a file without a lock
has been left behind. The last line is incomplete if the writer was killed meanwhile.
"""

import fcntl
import json
import os
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

FORMAT = 1
MIN_COMPACTION_BYTES = 64 * 1024
COMPACTION_GROWTH = 2  # a file is compacted when it has grown by this factor
MAX_FILE_BYTES = 64 * 1024 * 1024

Event = dict[str, Any]
Log = Callable[..., None]


class UnusableFile(Exception):
    """A file that holds no events for this gatekeeper."""


def cursor_of(event: Event) -> int:
    """Return the number of an event in discovery; 0 if it has none."""
    cursor = event.get("cursor")
    return cursor if isinstance(cursor, int) else 0


def fold(events: Iterable[Event]) -> Event:
    """Return one event with the effect of these, in their order.

    It holds the complete list if one of them does. Otherwise it holds the changes, removed switches among them.
    """
    entries: dict[str, Any] = {}
    cursor, complete = 0, False
    for event in events:
        cursor = max(cursor, cursor_of(event))
        nodes = event.get("nodes")
        if not isinstance(nodes, dict):
            continue
        if nodes.get("snapshot"):
            complete = True
            entries.clear()
        rows = [row for row in nodes.get("endpoints") or [] if isinstance(row, dict)]
        entries.update((str(row.get("name")), row) for row in rows)
    listed = [row for row in entries.values() if not complete or row.get("status") != "removed"]
    return {"cursor": cursor, "nodes": {"snapshot": complete, "endpoints": listed}}


class EventStore:
    """The file of this process, and those of the other processes of the gatekeeper of this name.

    seed is that of the configuration. It is new with each start of a gatekeeper, when discovery numbers its events
    from 1 again, and the same at a replacement: files with another seed are not used. Errors of files are logged;
    without a file the gatekeeper works on.
    """

    def __init__(self, directory: Path, name: str, seed: int, log: Log) -> None:
        self.directory, self.seed, self.log = directory, seed, log
        prefix = f"tansyspur-{name.replace('/', '_')}."
        self.file_name = re.compile(re.escape(prefix) + r"\d+\.events(\.new)?")
        self.path = directory / f"{prefix}{os.getpid()}.events"
        self.descriptor: int | None = None  # None until the first event, and after an error
        self.failed = False
        self.size_bytes, self.compaction_bytes = 0, MIN_COMPACTION_BYTES
        self.cursor = 0  # of the last event in the own file
        self.reported_paths: set[Path] = set()  # unusable files, each of which is logged once

    # The own file

    def append(self, event: Event) -> None:
        """Add an event to the own file."""
        if self.failed:
            return
        try:
            if self.descriptor is None:
                self._replace_file([event])
            else:
                self._write(self.descriptor, [event])
            if self.size_bytes > self.compaction_bytes:
                self._replace_file([fold(self._read(self.path))])
                self.compaction_bytes = max(MIN_COMPACTION_BYTES, COMPACTION_GROWTH * self.size_bytes)
            self.cursor = cursor_of(event)
        except (OSError, UnusableFile) as error:
            self._give_up(error)

    def change_seed(self, seed: int) -> None:
        """Write the own file again with the seed of a new configuration, as its successor will have that one."""
        if seed == self.seed:
            return
        try:
            events = self._read(self.path) if self.descriptor is not None else []
            self.seed = seed
            if events:
                self._replace_file(events)
        except (OSError, UnusableFile) as error:
            self._give_up(error)

    def _give_up(self, error: Exception) -> None:
        self.failed = True
        self.log("warning", "handover", f"events are not kept for the next process: {error}")

    def close(self, keep_file: bool) -> None:
        """Release the lock. The file is kept for a successor that has not read all of it yet."""
        if self.descriptor is None:
            return
        os.close(self.descriptor)
        self.descriptor, self.failed = None, True
        if not keep_file:
            self._remove(self.path)

    def _replace_file(self, events: list[Event]) -> None:
        """Write a new file with these events, and put it in the place of the own one."""
        new_path = self.path.with_suffix(".events.new")
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        descriptor = os.open(new_path, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.size_bytes = 0
            self._write(descriptor, [{"format": FORMAT, "seed": self.seed}, *events])
            new_path.replace(self.path)
        except OSError:
            os.close(descriptor)
            raise
        if self.descriptor is not None:
            os.close(self.descriptor)
        self.descriptor = descriptor

    def _write(self, descriptor: int, rows: list[Event]) -> None:
        data = b"".join(json.dumps(row, separators=(",", ":")).encode() + b"\n" for row in rows)
        if os.write(descriptor, data) < len(data):
            raise OSError("the file could be written in part only")
        self.size_bytes += len(data)

    # The files of the other processes

    def read_others(self) -> list[Event]:
        """Return the events of the other process that has been told most, in their order."""
        newest: list[Event] = []
        for path in self._paths_of_others():
            try:
                events = self._read(path)
            except (OSError, UnusableFile) as error:
                self._report_unusable(path, str(error))
                continue
            if events and (not newest or cursor_of(events[-1]) > cursor_of(newest[-1])):
                newest = events
        return newest

    def remove_abandoned(self) -> None:
        """Remove the files of processes that have ended, unless they hold events that the own file lacks."""
        for path in self._paths_of_others():
            try:
                if self._is_abandoned(path) and not self._has_later_events(path):
                    self._remove(path)
            except OSError as error:
                self._report_unusable(path, str(error))

    def _paths_of_others(self) -> list[Path]:
        try:
            paths = sorted(self.directory.iterdir())
        except OSError as error:
            self._report_unusable(self.directory, str(error))
            return []
        has_own_file = self.descriptor is not None
        return [
            path
            for path in paths
            if self.file_name.fullmatch(path.name) and not (has_own_file and path == self.path)
        ]

    def _read(self, path: Path) -> list[Event]:
        with path.open("rb") as file:
            status = os.fstat(file.fileno())
            if status.st_uid != os.getuid():
                raise UnusableFile("the file belongs to another user")
            if status.st_size > MAX_FILE_BYTES:
                raise UnusableFile(f"a file of {status.st_size} bytes; at most {MAX_FILE_BYTES} are read")
            *lines, _incomplete = file.read().split(b"\n")
        rows = [self._parse(path, number, line) for number, line in enumerate(lines, start=1)]
        if not rows or rows[0] is None or rows[0].get("format") != FORMAT:
            raise UnusableFile(f"line 1 is no header of format {FORMAT}")
        if rows[0].get("seed") != self.seed:
            raise UnusableFile("the file is of an earlier start: its seed is another one")
        return [row for row in rows[1:] if row is not None and cursor_of(row)]

    def _parse(self, path: Path, number: int, line: bytes) -> Event | None:
        try:
            row = json.loads(line)
        except (ValueError, RecursionError):
            row = None
        if isinstance(row, dict):
            return row
        self._report_unusable(path, f"line {number} is no JSON object; it is skipped")
        return None

    def _is_abandoned(self, path: Path) -> bool:
        with path.open("rb") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return False
        return True

    def _has_later_events(self, path: Path) -> bool:
        try:
            events = self._read(path)
        except UnusableFile:
            return False
        return bool(events) and cursor_of(events[-1]) > self.cursor

    def _remove(self, path: Path) -> None:
        try:
            path.unlink(missing_ok=True)
        except OSError as error:
            self._report_unusable(path, str(error))

    def _report_unusable(self, path: Path, reason: str) -> None:
        if path not in self.reported_paths:
            self.reported_paths.add(path)
            self.log("notice", "handover", f"{path.name}: {reason}")
