"""Files of discovery's events: what one process writes, the next one reads, also after a kill in the middle."""

import json
import os

from hypothesis import given
from hypothesis import strategies as st

from tansyspur.net import event_store
from tansyspur.net.event_store import EventStore, cursor_of, fold

NAMES = st.sampled_from(["s-1", "s-2", "s-3"])
STATUSES = st.sampled_from(["up", "draining", "removed"])
ENTRIES = st.lists(
    st.builds(lambda name, status: {"name": name, "status": status}, NAMES, STATUSES), max_size=3
)
CHANGES = st.lists(st.tuples(st.booleans(), ENTRIES), max_size=8)


def event(cursor, *entries, snapshot=False):
    return {"cursor": cursor, "nodes": {"snapshot": snapshot, "endpoints": list(entries)}}


def apply(listed, *events):
    """Apply events to a dict of status by name, as discovery means them."""
    for each in events:
        if each["nodes"]["snapshot"]:
            listed.clear()
        for row in each["nodes"]["endpoints"]:
            listed[row["name"]] = row["status"]
    return {name: status for name, status in listed.items() if status != "removed"}


class Process:
    """A store as another process would have it, and what it has logged."""

    def __init__(self, directory, pid, monkeypatch, seed=7, name="n0"):
        self.lines = []
        with monkeypatch.context() as patch:
            patch.setattr(event_store.os, "getpid", lambda: pid)
            self.store = EventStore(directory, name, seed, lambda *args, **params: self.lines.append(args[2]))


@given(CHANGES, st.dictionaries(NAMES, STATUSES))
def test_a_folded_event_has_the_effect_of_the_events(changes, listed):
    events = [event(number, *rows, snapshot=snapshot) for number, (snapshot, rows) in enumerate(changes, 1)]
    assert apply(dict(listed), fold(events)) == apply(dict(listed), *events)
    assert fold(events)["cursor"] == len(events)


def test_the_events_of_the_process_that_was_told_most_are_read(tmp_path, monkeypatch):
    first, second, third = [Process(tmp_path, pid, monkeypatch).store for pid in (11, 12, 13)]
    first.append(event(1))
    second.append(event(1))
    second.append(event(2))
    assert [cursor_of(row) for row in third.read_others()] == [1, 2]
    assert [cursor_of(row) for row in second.read_others()] == [1]
    for store in (first, second):
        store.close(keep_file=False)


def test_a_line_that_was_being_written_at_a_kill_costs_only_itself(tmp_path, monkeypatch):
    killed, other = Process(tmp_path, 11, monkeypatch), Process(tmp_path, 12, monkeypatch)
    killed.store.append(event(1))
    killed.store.append(event(2))
    data = killed.store.path.read_bytes()
    for cut in range(1, len(data)):
        killed.store.path.write_bytes(data[:cut])
        complete = data[:cut].count(b"\n")
        assert len(other.store.read_others()) == max(0, complete - 1)
    killed.store.path.write_bytes(data.replace(b'{"cursor":1', b'["cursor":1'))
    assert [cursor_of(row) for row in other.store.read_others()] == [2]
    assert "tansyspur-n0.11.events: line 1 is no header of format 1" in other.lines
    killed.store.close(keep_file=False)


def test_files_of_another_start_another_name_or_another_format_are_not_used(tmp_path, monkeypatch):
    stores = [
        Process(tmp_path, 11, monkeypatch, seed=8).store,
        Process(tmp_path, 12, monkeypatch, name="n0.1").store,
        Process(tmp_path, 13, monkeypatch, name="m0").store,
    ]
    for store in stores:
        store.append(event(1))
    (tmp_path / "tansyspur-n0.14.events").write_text('{"format":2,"seed":7}\n{"cursor":1,"nodes":{}}\n')
    (tmp_path / "tansyspur-n0.15.events").mkdir()
    reader = Process(tmp_path, 16, monkeypatch)
    for _ in range(2):
        assert reader.store.read_others() == []
    assert len(reader.lines) == 3  # each unusable file is reported once
    assert "tansyspur-n0.11.events: the file is of an earlier start: its seed is another one" in reader.lines
    stores[0].change_seed(7)
    assert [cursor_of(row) for row in reader.store.read_others()] == [1]
    for store in stores:
        store.close(keep_file=False)


def test_a_file_is_removed_once_its_process_has_ended_and_its_events_are_known(tmp_path, monkeypatch):
    ended, running, reader = [Process(tmp_path, pid, monkeypatch).store for pid in (11, 12, 13)]
    for store in (ended, running):
        store.append(event(1))
        store.append(event(2))
    os.close(ended.descriptor)  # as at a kill
    reader.append(event(1))
    reader.remove_abandoned()
    assert ended.path.exists()  # it holds an event that the reader lacks
    reader.append(event(2))
    reader.remove_abandoned()
    assert not ended.path.exists() and running.path.exists() and reader.path.exists()
    running.close(keep_file=True)
    assert running.path.exists()
    reader.close(keep_file=False)
    assert not reader.path.exists()


def test_the_file_stays_small_and_complete_over_many_changes(tmp_path, monkeypatch):
    monkeypatch.setattr(event_store, "MIN_COMPACTION_BYTES", 2000)
    writer, reader = [Process(tmp_path, pid, monkeypatch).store for pid in (11, 12)]
    rows = [{"name": f"s-{number}", "status": "up"} for number in range(20)]
    listed = {}
    writer.append(event(1, *rows, snapshot=True))
    apply(listed, event(1, *rows, snapshot=True))
    for cursor in range(2, 1000):
        change = event(
            cursor, {"name": f"s-{cursor % 30}", "status": ("up", "draining", "removed")[cursor % 3]}
        )
        writer.append(change)
        apply(listed, change)
        assert writer.path.stat().st_size < 2 * 2000 + 200
    told = {name: status for name, status in listed.items() if status != "removed"}
    assert apply({}, *reader.read_others()) == told
    assert cursor_of(reader.read_others()[-1]) == 999
    writer.close(keep_file=False)


def test_without_a_usable_folder_the_gatekeeper_is_told_once_and_works_on(tmp_path, monkeypatch):
    process = Process(tmp_path / "absent", 11, monkeypatch)
    for cursor in (1, 2):
        process.store.append(event(cursor))
    process.store.remove_abandoned()
    assert process.store.read_others() == []
    process.store.close(keep_file=False)
    assert sum("events are not kept" in line for line in process.lines) == 1


def test_each_line_of_a_file_is_one_json_object(tmp_path, monkeypatch):
    store = Process(tmp_path, 11, monkeypatch).store
    store.append(event(1, {"name": "s\n1", "status": "up"}))
    assert [json.loads(line)["seed"] for line in store.path.read_text().splitlines()[:1]] == [7]
    assert len(store.path.read_text().splitlines()) == 2
    store.close(keep_file=False)
