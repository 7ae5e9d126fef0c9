"""A load from call records: what is there, what is missing, and what is said of it."""

import random

import pytest

from tansyspur.cdr.record import CallRecord, format_count, format_record
from tansyspur.planner.capture import capture
from tansyspur.planner.fleet import CallClass, Load

KINDS = (CallClass("lookup", 9.0, 1.5, 9.0), CallClass("fix", 4.0, 1.0, 6.0, 8.0))
LIKE = Load((60.0,), KINDS, ())
NAMES = ["a", "b", "c"]
START = 1_700_000_000_000


def lines(origin, count=200, span_ms=120_000, skew_ms=0, process=5, hold_ms=3000, **more):
    draw = random.Random(origin)
    made = []
    for i in range(count):
        at = START + skew_ms + i * span_ms // count
        record = CallRecord(
            at, f"{i:016x}", "lookup", origin, (origin + 1) % 3, f"{draw.getrandbits(40):x}", "ended",
            stood_ms=200, ended_ms=200 + hold_ms, **more,
        )  # fmt: skip
        made.append(format_record(record, i + 1, at / 1000, NAMES[origin], process))
    return made


def test_rates_and_holding_times_are_those_of_the_records():
    found = capture({"a": lines(0), "b": lines(1, skew_ms=40)}, NAMES, LIKE)
    rates = {(s.origin, s.destination): s.calls_per_s for s in found.load.streams}
    assert found.first_tries == 400 and found.redials == 0 and found.windows == 2
    assert rates["a", "b"] == pytest.approx((100 / 60, 100 / 60), rel=0.02)
    assert found.load.classes[0].holding_time_s == pytest.approx(3.0)
    assert found.load.classes[1].holding_time_s == 4.0 and any(
        "fix: 0 calls ended" in note for note in found.load.notes
    )


def test_redials_count_with_their_first_try_marked_or_not():
    def record(at, number, verdict, **more):
        return CallRecord(START + at, f"{at:x}", "lookup", 0, 1, number, verdict, **more)

    rows = [
        record(0, "n1", "refused"), record(2000, "n1", "refused", redial=True), record(4000, "n1", "ended", stood_ms=9),
        record(5000, "n1", "ended", stood_ms=9),  # after one that stood: a call of its own
        record(100, "n2", "refused"), record(30_000, "n2", "ended", stood_ms=9),  # beyond the deadline: another call
        record(200, "n3", "ended", stood_ms=9, redial=True),  # its first try is not here
        record(300, "n4", "refused", transit=True),  # counted where it came in
    ]  # fmt: skip
    source = [format_record(row, i + 1, 1e9, "a", 5) for i, row in enumerate(rows)]
    found = capture({"a": source}, NAMES, LIKE)
    assert found.first_tries == 4 and found.redials == 3


def test_missing_records_are_counted_and_the_rates_raised():
    whole = lines(0)
    kept = [line for i, line in enumerate(whole) if i % 4 or i == 0] + [format_count(200, 30, 1e9, "a", 5)]
    found = capture({"a": kept}, NAMES, LIKE)
    assert found.missing == 49 and any(
        "49 records are missing" in n and "30 told" in n for n in found.load.notes
    )
    assert found.load.total_calls == pytest.approx(200, rel=0.01)


def test_half_garbage_leaves_the_good_half_and_says_so():
    draw = random.Random(7)
    whole = lines(0)
    spoilt = [line[: draw.randrange(20, 120)] if i % 2 else line for i, line in enumerate(whole)]
    spoilt += ["", "not a log line", "<134>1 nonsense", whole[0], whole[0]]  # two lines collected twice
    found = capture({"a": spoilt}, NAMES, LIKE)
    assert found.first_tries == 100 and found.spoilt >= 100
    assert any("spoilt lines" in note for note in found.load.notes)
    assert found.load.total_calls == pytest.approx(200, rel=0.02)


def test_a_restarted_gatekeeper_numbers_anew_and_lacks_nothing():
    found = capture({"a": lines(0, count=50) + lines(0, count=50, process=6, skew_ms=121_000)}, NAMES, LIKE)
    assert found.missing == 0 and found.first_tries == 50 + 50


def test_gaps_and_silent_gatekeepers_are_told():
    source = lines(0, count=20, span_ms=20_000) + lines(
        0, count=20, span_ms=20_000, process=6, skew_ms=200_000
    )
    found = capture({"a": source, "b": []}, NAMES, LIKE)
    assert any("nothing for" in note for note in found.load.notes)
    assert any(note.startswith("b: no call records") for note in found.load.notes)
    assert any("no calls at all in the windows" in note for note in found.load.notes)


def test_a_log_without_records_is_refused_with_what_to_do():
    old = '<134>1 2026-12-01T17:47:55.442Z n3 tansyspur 5290 call [call@32473 call="1" class="lookup" to="1"] stands'
    with pytest.raises(ValueError, match=r"1 call lines.*\[records\]"):
        capture({"a": [old]}, NAMES, LIKE)
