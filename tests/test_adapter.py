"""Wire lines in, wire lines out, and plain words on what is malformed."""

import io
import json
import subprocess
import sys

import pytest

from tansyspur import interface
from tansyspur.adapter import Host, WireError, converse, format_action, parse_report, parse_settings

PROFILE = {
    "balancers": 3,
    "ordinal": 2,
    "classes": [
        {"name": "a", "value": 1.0, "objective-ns": 2000000000, "deadline-ns": 9000000000, "late-worth": 0.25}
    ],
    "family-info": {"shape": "mesh", "here": 7, "release-ns": 300000000, "class-hold-ns": [10000000000]},
    "limits": {"max-attempts": 4, "peers": False, "retry-after": True, "max-retry-after-ns": 5},
    "guarantees": {"cold-share": 0.29, "some-new-key": 1},
    "a-key-of-tomorrow": {},
}
ROW = {"exchange": 51, "az": "x", "cell": 9, "stage-state": "in_service", "rating": 1, "launched-ns": None}
SYNC = '{"cmd":"SYNC","wall-ns":1000}'
END = '{"cmd":"END"}'


def line(command, **fields):
    return json.dumps({"cmd": command, "i": 3, **fields})


def start():
    return [
        SYNC,
        line("SPAWN", salt=4, **{"profile-data": PROFILE}),
        json.dumps({"cmd": "CENSUS", "sheet": 0, "rows": [ROW]}),
        line("TOPOLOGY", mode="stale_copy", revision=1, sheet=0),
    ]


def offer(call_id=77, to=9):
    return line(
        "WORK_ITEM",
        **{"request-id": call_id, "type": "a", "team": None, "object": "00", "expires-ns": 3000000000},
        **{"terminates-at": to, "width": 1, "via": -1, "resent": False, "midflow": False, "came-back": False},
    )


def talk(lines):
    out = io.StringIO()
    converse(iter(lines), out)
    return [json.loads(text) for text in out.getvalue().splitlines()]


def test_settings_are_translated_and_unknown_keys_ignored():
    settings = parse_settings(PROFILE)
    assert (settings.own_exchange, settings.ordinal, settings.gatekeepers) == (7, 2, 3)
    assert settings.release_delay_ns == 300000000 and settings.max_retry_after_ns == 5
    assert settings.classes[0].holding_time_ns == 10000000000
    assert (
        settings.overload_factor
        == interface.Settings(classes=settings.classes, own_exchange=1).overload_factor
    )


def test_empty_batch():
    assert talk([SYNC, END]) == [{"cmd": "EOR"}]


def test_a_call_goes_out_as_relay():
    reply = talk([*start(), offer(), END])
    relay = [row for row in reply if row["cmd"] == "RELAY"]
    assert [(row["i"], row["request-id"], row["exchange"]) for row in relay] == [(3, 77, 51)]
    assert reply[-1] == {"cmd": "EOR"}


def test_lists_are_numbered_in_order_of_events():
    host = Host()
    for text in start():
        host.feed(text)
    host.feed(json.dumps({"cmd": "CENSUS", "sheet": 0, "rows": []}))
    host.feed(line("TOPOLOGY", mode="whole", revision=2, sheet=0))
    host.feed(offer())
    assert not any('"RELAY"' in text for text in host.feed(END))


def test_halt_forgets_and_spawn_starts_anew():
    reply = talk([*start(), offer(), line("HALT"), *start()[1:], offer(78), END])
    assert [row["request-id"] for row in reply if row["cmd"] == "RELAY"] == [77, 78]


def test_unknown_figures_are_unknown():
    assert parse_report({"free": 0, "size": 12, "queue": -1, "util": None, "new": 3}) == interface.LoadReport(
        free=0, size=12
    )
    assert parse_report(None) is None


@pytest.mark.parametrize(
    ("action", "row"),
    [
        (interface.SetUp(1, 2, 3), {"cmd": "RELAY", "request-id": 1, "exchange": 2, "cap-ns": 3}),
        (interface.Refuse(1, 9), {"cmd": "PUSH_BACK", "request-id": 1, "retry-in-ns": 9}),
        (interface.Fail(1), {"cmd": "ABORT", "request-id": 1}),
        (interface.CancelAttempt(1, 2), {"cmd": "RECALL", "request-id": 1, "hop": 2}),
        (interface.SetTimer(5, 6), {"cmd": "TIMER", "ctx": 5, "alarm-time-ns": 6}),
        (interface.Probe(4), {"cmd": "ASK_LOAD", "exchange": 4}),
        (interface.SendMessage(None, b"hi 7"), {"cmd": "POST", "target": None, "raw": "aGkgNw=="}),
        (interface.SubscribeSwitchList(), {"cmd": "SUBSCRIBE", "want": True}),
        (interface.Log("words"), {"cmd": "LOG", "words": "words"}),
    ],
)
def test_actions(action, row):
    assert format_action(3, action) == {**row, "i": 3}


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        (["{"], "line 1: not a JSON value"),
        (["[1]"], "line 1: not an object"),
        (["{}"], "'cmd' is missing"),
        ([END], "END outside a batch"),
        ([SYNC, SYNC], "line 2: SYNC inside a batch"),
        ([SYNC], "ended inside a batch"),
        ([SYNC, line("TIMELY")], "not running"),
        ([*start(), line("TIMELY")], "unknown command 'TIMELY'"),
        ([*start(), line("DEADLINE_HIT", ctx=True)], "'ctx' has an unusable value"),
        ([*start(), line("INBOX", **{"src-peer": 0, "raw": "?"})], "'raw' is not base64"),
        ([*start(), line("TOPOLOGY", mode="whole", sheet=9)], "list 9 was never sent"),
        ([SYNC, line("SPAWN", salt=1, **{"profile-data": {"classes": [1]}})], "line 2"),
        ([SYNC, line("SPAWN", salt=1, **{"profile-data": {**PROFILE, "family-info": {}}})], "own_exchange"),
    ],
)
def test_malformed_lines_are_named(lines, fault):
    with pytest.raises(WireError) as error:
        talk(lines)
    assert fault in str(error.value)


def test_the_process_says_one_plain_line_and_fails():
    run = subprocess.run(
        [sys.executable, "-m", "tansyspur.adapter"], input="nonsense\n", capture_output=True, text=True
    )
    assert run.returncode != 0
    assert run.stderr == "tansyspur: line 1: not a JSON value\n"
