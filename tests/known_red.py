"""Reads KNOWN-RED.txt, the tests that fail for a real fault which is not fixed yet.

These tests run and may fail; no others may. The pytest hooks in tests/conftest.py call this module.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    test: str  # pytest node id; without the brackets of a parameter set it covers all sets
    cause: str
    issue: str

    def covers(self, node_id: str) -> bool:
        return self.test in (node_id, node_id.partition("[")[0])


def parse(text: str) -> list[KnownRed]:
    """Parse lines of the form "test | cause | issue". Blank lines and those that start with # are skipped.

    Raises pytest.UsageError for a malformed line.
    """
    rows = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt line {number}: expected 'test | cause | issue'")
        rows.append(KnownRed(*parts))
    return rows


def load() -> list[KnownRed]:
    return parse(FILE.read_text()) if FILE.exists() else []


def mark_expected_failures(items: list[pytest.Item]) -> None:
    """Mark the listed tests as allowed to fail. Raises pytest.UsageError for a test that its file does not have."""
    files = {item.nodeid.partition("::")[0] for item in items}
    for row in load():
        matches = [item for item in items if row.covers(item.nodeid)]
        if not matches and row.test.partition("::")[0] in files and len(files) > 1:
            raise pytest.UsageError(f"KNOWN-RED.txt lists {row.test}, which does not exist")
        for item in matches:
            item.add_marker(pytest.mark.xfail(reason=f"{row.cause} ({row.issue})", strict=False))


def write_summary(write_line, stats) -> None:
    """Write how often each listed test failed and passed."""
    rows = load()
    if not rows:
        return
    write_line(f"KNOWN-RED.txt: {len(rows)} listed")
    for row in rows:
        counts = {
            name: sum(row.covers(report.nodeid) for report in stats.get(name, []))
            for name in ("xfailed", "xpassed")
        }
        results = f"failed {counts['xfailed']}, passed {counts['xpassed']}"
        write_line(f"  {row.test}: {results} | {row.cause} | {row.issue}")
