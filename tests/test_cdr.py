"""Call detail records: each call is recorded once and numbered; records that the disk fails to take are counted."""

import asyncio
import contextlib
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.cdr import export
from tansyspur.cdr.record import (
    CallRecord,
    RecordFormatError,
    digest,
    format_count,
    format_record,
    parse_count,
    parse_line,
    parse_record,
)
from tests.async_runner import async_test
from tests.world import Switch, World

TEXT = st.text(max_size=30).map(lambda text: "".join(mark if mark.isprintable() else "?" for mark in text))
RECORD = st.builds(
    CallRecord, offered_ms=st.integers(0, 2**45), call=TEXT, class_name=TEXT, origin=st.integers(0, 999),
    destination=st.integers(0, 999), number=TEXT, verdict=st.sampled_from(["ended", "cut", "given up"]),
    width=st.floats(1, 8), left_ms=st.integers(0, 9000), stood_ms=st.integers(-1, 9000), ended_ms=st.integers(0, 99),
    attempts=st.integers(0, 5), switch=TEXT, cause=TEXT, tandem=st.booleans(), transit=st.booleans(),
    redial=st.booleans(), again=st.booleans(),
)  # fmt: skip


@given(RECORD, st.integers(1, 10**9))
def test_a_record_round_trips(record, sequence):
    line = parse_line(format_record(record, sequence, 1e9, "n 3", 77))
    assert parse_record(line) == (sequence, record) and line.host == "n3" and line.process == "77"


@given(RECORD, st.data())
def test_a_truncated_line_never_parses_as_a_record(record, data):
    complete = format_record(record, 5, 1e9, "n3", 77)
    truncated = complete[: data.draw(st.integers(0, complete.rindex("]")))]
    with pytest.raises(RecordFormatError):
        line = parse_line(truncated)
        assert parse_record(line) is None
        raise RecordFormatError  # a valid RFC 5424 line, but without a record


@given(st.text(max_size=200))
def test_parsing_any_text_raises_only_record_format_errors(text):
    with contextlib.suppress(RecordFormatError):
        parse_record(parse_line(text))


@async_test
async def test_the_program_records_every_call_and_sighup_reopens_the_file(tmp_path):
    path = tmp_path / "calls.log"
    switch = Switch("s-1", 1, plan=["answer", "503 cpu_full", "answer"])
    async with World(switch, operator=f'[records]\nfile = "{path}"\n') as world:
        caller = await world.caller()
        first = caller.set_up(1, key="abc")
        await caller.next(first, "answer")
        switch.bye(first)
        await caller.next(first, "release")
        second = caller.set_up(1, retry="1")
        await caller.next(second, "release")
        malformed = caller.set_up(1, extras=";width:7")
        await caller.next(malformed, "release")
        rotated = tmp_path / "calls.log.1"
        while path.read_text().count(" cdr ") < 3:
            await asyncio.sleep(0.05)
        os.rename(path, rotated)
        world.reload()
        await world.wait_for_log("configuration read")
        third = caller.set_up(1)
        await caller.next(third, "answer")
        caller.send("release", third, cause=16)
        await caller.next(third, "release")
    lines = [parse_line(line) for file in (rotated, path) for line in file.read_text().splitlines()]
    numbered_records = [parse_record(line) for line in lines if parse_record(line)]
    assert [sequence for sequence, _ in numbered_records] == [1, 2, 3, 4]
    records = [record for _, record in numbered_records]
    assert [record.verdict for record in records] == ["ended", "refused", "failed", "ended"]
    assert records[0].number == digest("abc") and records[0].destination == 1 and records[0].origin == 0
    assert 0 <= records[0].stood_ms <= records[0].ended_ms and records[1].stood_ms == -1
    assert records[1].redial and not records[0].redial and records[1].cause == "processor full"
    assert parse_count(lines[-1]) == (4, 0)


@async_test
async def test_a_full_queue_and_a_full_disk_drop_records_and_count_them(tmp_path, monkeypatch):
    logged = []
    cdr_file = export.CdrFile(
        str(tmp_path / "c"), "n3", lambda *texts, **params: logged.append((texts, params)), max_queued=2
    )
    record = CallRecord(1, "c", "k", 0, 1, "n", "ended")
    for _ in range(5):
        cdr_file(record)
    await cdr_file._flush()
    assert cdr_file.dropped == 3

    def raise_disk_full(_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(cdr_file, "_write", raise_disk_full)
    cdr_file(record)
    await cdr_file._flush()
    monkeypatch.undo()
    cdr_file(record)
    await cdr_file.close()
    lines = [parse_line(line) for line in (tmp_path / "c").read_text().splitlines()]
    assert [parse_record(line)[0] for line in lines if parse_record(line)] == [1, 2, 7]
    assert parse_count(lines[-1]) == (7, 4) == (cdr_file.sequence, cdr_file.dropped)
    assert any(params.get("dropped") == 4 for _, params in logged)


def test_a_count_round_trips():
    assert parse_count(parse_line(format_count(9, 2, 1e9, "n3", 7))) == (9, 2)
