"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet. They run, and may fail; no others may."""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class KnownRed:
    test: str  # as pytest names it; without brackets it stands for each case of the test
    cause: str
    issue: str

    def names(self, node_id: str) -> bool:
        return self.test in (node_id, node_id.partition("[")[0])


def read(text: str) -> list[KnownRed]:
    """A line each: test | cause | issue. Blank lines and those that start with # are passed over."""
    rows = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt line {number}: not 'test | cause | issue'")
        rows.append(KnownRed(*parts))
    if len(rows) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(rows)} tests, {MOST} at most are allowed")
    return rows


def listed() -> list[KnownRed]:
    return read(FILE.read_text()) if FILE.exists() else []


def mark(items: list[pytest.Item]) -> None:
    """Let the listed tests fail. A listed test that its file no longer has is an error."""
    files = {item.nodeid.partition("::")[0] for item in items}
    for row in listed():
        matches = [item for item in items if row.names(item.nodeid)]
        if not matches and row.test.partition("::")[0] in files and len(files) > 1:
            raise pytest.UsageError(f"KNOWN-RED.txt lists {row.test}, which is not there")
        for item in matches:
            item.add_marker(pytest.mark.xfail(reason=f"{row.cause} ({row.issue})", strict=False))


def report(write_line, stats) -> None:
    rows = listed()
    if not rows:
        return
    write_line(f"KNOWN-RED.txt: {len(rows)} listed")
    for row in rows:
        seen = {
            name: sum(row.names(one.nodeid) for one in stats.get(name, [])) for name in ("xfailed", "xpassed")
        }
        told = f"failed {seen['xfailed']}, passed {seen['xpassed']}"
        write_line(f"  {row.test}: {told} | {row.cause} | {row.issue}")
