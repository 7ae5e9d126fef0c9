"""Loads estimated from call records: rates, holding times, redials, and the notes on gaps and malformed lines."""

import random

import pytest

from tansyspur.cdr.record import CallRecord, format_count, format_record
from tansyspur.planner.capture import capture
from tansyspur.planner.fleet import CallClass, Load

CLASSES = (CallClass("lookup", 9.0, 1.5, 9.0), CallClass("fix", 4.0, 1.0, 6.0, 8.0))
MODEL = Load((60.0,), CLASSES, ())
NAMES = ["a", "b", "c"]
START_MS = 1_700_000_000_000


def record_lines(
    origin, count=200, span_ms=120_000, skew_ms=0, process=5, holding_time_ms=3000, **record_fields
):
    """Log lines with the records of one gatekeeper, whose calls arrive at equal intervals."""
    generator = random.Random(origin)
    lines = []
    for i in range(count):
        at_ms = START_MS + skew_ms + i * span_ms // count
        record = CallRecord(
            at_ms, f"{i:016x}", "lookup", origin, (origin + 1) % 3, f"{generator.getrandbits(40):x}", "ended",
            stood_ms=200, ended_ms=200 + holding_time_ms, **record_fields,
        )  # fmt: skip
        lines.append(format_record(record, i + 1, at_ms / 1000, NAMES[origin], process))
    return lines


def test_rates_and_holding_times_are_those_of_the_records():
    captured = capture({"a": record_lines(0), "b": record_lines(1, skew_ms=40)}, NAMES, MODEL)
    rates = {(stream.origin, stream.destination): stream.calls_per_s for stream in captured.load.streams}
    assert captured.first_tries == 400 and captured.redials == 0 and captured.windows == 2
    assert rates["a", "b"] == pytest.approx((100 / 60, 100 / 60), rel=0.02)
    assert captured.load.classes[0].holding_time_s == pytest.approx(3.0)
    assert captured.load.classes[1].holding_time_s == 4.0 and any(
        "fix: 0 calls ended" in note for note in captured.load.notes
    )


def test_redials_are_attributed_to_their_first_try_whether_marked_or_not():
    def record(at_ms, number, verdict, **record_fields):
        return CallRecord(START_MS + at_ms, f"{at_ms:x}", "lookup", 0, 1, number, verdict, **record_fields)

    rows = [
        record(0, "n1", "refused"), record(2000, "n1", "refused", redial=True), record(4000, "n1", "ended", stood_ms=9),
        record(5000, "n1", "ended", stood_ms=9),  # after an answered call: a first try
        record(100, "n2", "refused"), record(30_000, "n2", "ended", stood_ms=9),  # after the deadline: a first try
        record(200, "n3", "ended", stood_ms=9, redial=True),  # its first try has no record
        record(300, "n4", "refused", transit=True),  # counted at the gatekeeper where it arrived
    ]  # fmt: skip
    source = [format_record(row, i + 1, 1e9, "a", 5) for i, row in enumerate(rows)]
    captured = capture({"a": source}, NAMES, MODEL)
    assert captured.first_tries == 4 and captured.redials == 3


def test_missing_records_are_counted_and_rates_corrected_for_them():
    complete = record_lines(0)
    kept = [line for i, line in enumerate(complete) if i % 4 or i == 0] + [format_count(200, 30, 1e9, "a", 5)]
    captured = capture({"a": kept}, NAMES, MODEL)
    assert captured.missing_records == 49 and any(
        "49 records are missing" in note and "30 reported as dropped" in note for note in captured.load.notes
    )
    assert captured.load.total_calls == pytest.approx(200, rel=0.01)


def test_malformed_lines_are_counted_and_the_valid_ones_used():
    generator = random.Random(7)
    complete = record_lines(0)
    damaged = [line[: generator.randrange(20, 120)] if i % 2 else line for i, line in enumerate(complete)]
    damaged += [
        "",
        "not a log line",
        "<134>1 nonsense",
        complete[0],
        complete[0],
    ]  # a line collected three times
    captured = capture({"a": damaged}, NAMES, MODEL)
    assert captured.first_tries == 100 and captured.malformed_lines >= 100
    assert any("malformed lines skipped" in note for note in captured.load.notes)
    assert captured.load.total_calls == pytest.approx(200, rel=0.02)


def test_a_restarted_gatekeeper_numbers_from_one_and_no_record_counts_as_missing():
    captured = capture(
        {"a": record_lines(0, count=50) + record_lines(0, count=50, process=6, skew_ms=121_000)}, NAMES, MODEL
    )
    assert captured.missing_records == 0 and captured.first_tries == 50 + 50


def test_gaps_and_gatekeepers_without_records_are_noted():
    source = record_lines(0, count=20, span_ms=20_000) + record_lines(
        0, count=20, span_ms=20_000, process=6, skew_ms=200_000
    )
    captured = capture({"a": source, "b": []}, NAMES, MODEL)
    assert any("no records for" in note for note in captured.load.notes)
    assert any(note.startswith("b: no call records") for note in captured.load.notes)
    assert any("no calls at all in the windows" in note for note in captured.load.notes)


def test_a_log_without_records_is_refused_with_a_hint():
    line = '<134>1 2026-12-01T17:47:55.442Z n3 tansyspur 5290 call [call@32473 call="1" class="lookup" to="1"] stands'
    with pytest.raises(ValueError, match=r"1 call lines.*\[records\]"):
        capture({"a": [line]}, NAMES, MODEL)
