"""Tests of the simulator's adapter: lines in, lines out, and errors that name the line and the field."""

import io
import json
import subprocess
import sys

import pytest

from tansyspur import interface
from tansyspur.adapter import InstanceHost, WireError, format_action, parse_report, parse_settings, serve

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


def instance_line(command, **fields):
    return json.dumps({"cmd": command, "i": 3, **fields})


def start_lines():
    return [
        SYNC,
        instance_line("SPAWN", salt=4, **{"profile-data": PROFILE}),
        json.dumps({"cmd": "CENSUS", "sheet": 0, "rows": [ROW]}),
        instance_line("TOPOLOGY", mode="stale_copy", revision=1, sheet=0),
    ]


def offer_line(call_id=77, to=9):
    return instance_line(
        "WORK_ITEM",
        **{"request-id": call_id, "type": "a", "team": None, "object": "00", "expires-ns": 3000000000},
        **{"terminates-at": to, "width": 1, "via": -1, "resent": False, "midflow": False, "came-back": False},
    )


def replies(lines):
    out = io.StringIO()
    serve(iter(lines), out)
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


def test_an_empty_batch_is_answered_with_eor():
    assert replies([SYNC, END]) == [{"cmd": "EOR"}]


def test_a_call_is_set_up_with_relay():
    reply = replies([*start_lines(), offer_line(), END])
    relay = [row for row in reply if row["cmd"] == "RELAY"]
    assert [(row["i"], row["request-id"], row["exchange"]) for row in relay] == [(3, 77, 51)]
    assert reply[-1] == {"cmd": "EOR"}


def test_a_new_list_with_the_same_number_replaces_the_old():
    host = InstanceHost()
    for text in start_lines():
        host.handle_line(text)
    host.handle_line(json.dumps({"cmd": "CENSUS", "sheet": 0, "rows": []}))
    host.handle_line(instance_line("TOPOLOGY", mode="whole", revision=2, sheet=0))
    host.handle_line(offer_line())
    assert not any('"RELAY"' in text for text in host.handle_line(END))


def test_halt_removes_an_instance_and_spawn_creates_a_new_one():
    reply = replies(
        [*start_lines(), offer_line(), instance_line("HALT"), *start_lines()[1:], offer_line(78), END]
    )
    assert [row["request-id"] for row in reply if row["cmd"] == "RELAY"] == [77, 78]


def test_unknown_values_of_a_load_report_are_none():
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
def test_actions_are_formatted_as_lines(action, row):
    assert format_action(3, action) == {**row, "i": 3}


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["{"], "line 1: not a JSON value"),
        (["[1]"], "line 1: not an object"),
        (["{}"], "'cmd' is missing"),
        ([END], "END outside a batch"),
        ([SYNC, SYNC], "line 2: SYNC inside a batch"),
        ([SYNC], "ended inside a batch"),
        ([SYNC, instance_line("TIMELY")], "not running"),
        ([*start_lines(), instance_line("TIMELY")], "unknown command 'TIMELY'"),
        ([*start_lines(), instance_line("DEADLINE_HIT", ctx=True)], "'ctx' has a value of the wrong type"),
        ([*start_lines(), instance_line("INBOX", **{"src-peer": 0, "raw": "?"})], "'raw' is not base64"),
        ([*start_lines(), instance_line("TOPOLOGY", mode="whole", sheet=9)], "list 9 was never sent"),
        ([SYNC, instance_line("SPAWN", salt=1, **{"profile-data": {"classes": [1]}})], "line 2"),
        (
            [SYNC, instance_line("SPAWN", salt=1, **{"profile-data": {**PROFILE, "family-info": {}}})],
            "own_exchange",
        ),
    ],
)
def test_errors_name_the_line_and_the_field(lines, message):
    with pytest.raises(WireError) as error:
        replies(lines)
    assert message in str(error.value)


def test_the_process_prints_one_line_on_malformed_input_and_fails():
    run = subprocess.run(
        [sys.executable, "-m", "tansyspur.adapter"], input="nonsense\n", capture_output=True, text=True
    )
    assert run.returncode != 0
    assert run.stderr == "tansyspur: line 1: not a JSON value\n"
