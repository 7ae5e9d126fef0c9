"""Tests of the rig: the simulation model on its own, and complete runs with real gatekeeper processes.

The runs detect lost or doubly used circuits, broken interface rules, unreadable results, and gatekeeper
processes that outlive an interrupted run.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.planner.fleet import StoreSwitch
from tansyspur.rig import results
from tansyspur.rig.fleet_model import OtherWork, Processor, TrunkGroup, poisson_times
from tansyspur.rig.reserved_ports import reserved_ports
from tests.test_erlang import tool
from tests.test_records import EXAMPLES
from tests.world import ROOT, WAIT_TIMEOUT_S

pytestmark = pytest.mark.xdist_group("rig")  # a run starts eight processes, so only one run at a time
FILES = [str(EXAMPLES / "fleet.cue"), str(EXAMPLES / "load.cue")]


def test_a_processor_works_in_order_and_rejects_set_ups_past_its_queue_limit():
    processor = Processor(
        StoreSwitch("a", "d", 10.0, queue_limit_s=0.25), reject_setups=0.2, rng=random.Random(1)
    )
    assert processor.offer_setup(0.0, 1.0) == pytest.approx(0.1) and processor.offer_setup(
        0.0, 1.0
    ) == pytest.approx(0.2)
    assert processor.offer_setup(0.0, 1.0) == pytest.approx(0.3)
    assert processor.offer_setup(0.0, 1.0) is None and processor.rejected == 1
    assert processor.wait_s(0.0) == pytest.approx(0.32)  # the rejection took processor work as well
    assert processor.add_work(1.0, 1.0) == pytest.approx(1.1)


@given(st.integers(0, 1000), st.lists(st.floats(0.0, 2.0), min_size=1, max_size=40))
def test_other_work_slows_a_processor_by_at_most_its_share(seed, works):
    other = OtherWork(
        StoreSwitch("a", "d", 1.0, other_share=0.5, other_on_s=1.0, other_off_s=1.0), random.Random(seed)
    )
    at = 0.0
    for work in works:
        done = other.done_at(at, work)
        assert at + work - 1e-9 <= done <= at + 2 * work + 1e-9
        at = done


def test_other_work_takes_its_mean_share_over_a_long_time():
    other = OtherWork(
        StoreSwitch("a", "d", 1.0, other_share=0.5, other_on_s=2.0, other_off_s=1.0), random.Random(3)
    )
    assert 6000 / other.done_at(0.0, 6000.0) == pytest.approx(1 - 0.5 * 2 / 3, rel=0.05)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 6)), max_size=60))
def test_circuits_are_never_lost_nor_taken_twice(steps):
    group = TrunkGroup(("a", "b"), 4)
    held = set()
    for seize, name in steps:
        if seize:
            taken = group.seize(str(name), 1, 0.0)
            assert taken is (name not in held and len(held) < 4)
            held |= {name} if taken else set()
        else:
            group.release(str(name), 0.0)
            held.discard(name)
        assert group.busy == len(held) and group.free == 4 - len(held)


def test_a_scaled_load_has_the_same_arrivals_closer_together():
    arrivals = poisson_times((1.0,), (1000.0,), random.Random(5))
    scaled_arrivals = poisson_times((2.0,), (1000.0,), random.Random(5))
    assert [time_s / 2 for time_s in arrivals][:400] == pytest.approx(scaled_arrivals[:400]) and len(
        arrivals
    ) == pytest.approx(1000, rel=0.15)
    assert poisson_times((0.0, 1.0), (10.0, 10.0), random.Random(5))[0] > 10


def test_no_other_socket_of_a_run_gets_the_port_of_a_gatekeeper():
    # Such a gatekeeper could not bind its address, and ended during its start.
    names = [f"casa-{number}" for number in range(50)]
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with reserved_ports("127.0.0.1", names, socket_type) as ports:
            assert sorted(ports) == sorted(names) and len(set(ports.values())) == len(names)
            for port in ports.values():
                with (
                    socket.socket(socket.AF_INET, socket_type) as other,
                    pytest.raises(OSError, match="in use"),
                ):
                    other.bind(("127.0.0.1", port))


def test_a_run_offers_calls_violates_no_rule_and_its_result_can_be_read(tmp_path):
    completed = tool(
        "rig", "run", *FILES, "--seconds", "4", "--seed", "3", "--out", str(tmp_path), "--format", "json"
    )
    assert completed.returncode == 0, completed.stderr
    summary = json.loads(completed.stdout)
    assert summary["calls"] > 100 and summary["violations"] == [] and summary["stood"] > 0.5
    result = results.decode((tmp_path / "run.msgpack").read_bytes())
    assert len(result.calls) == summary["calls"] and not any(
        gatekeeper.crashed for gatekeeper in result.gatekeepers
    )
    assert any(group.seizures for group in result.groups)
    shown = tool("rig", "show", str(tmp_path / "run.msgpack"))
    assert "casa-1 - casa-2" in shown.stdout
    out = tmp_path / "measured.json"
    logs = [str(path) for path in tmp_path.glob("calls-*.log")]
    captured = tool("plan", "capture", *logs, "--fleet", FILES[0], "--like", FILES[1], "--out", str(out))
    assert captured.returncode == 0, captured.stderr
    measured = json.loads(out.read_text())
    calls = sum(
        sum(rate * window for rate, window in zip(stream["calls"], measured["windows"], strict=True))
        for stream in measured["streams"]
    )
    assert calls == pytest.approx(summary["calls"], rel=0.02)
    assert tool("plan", "forecast", FILES[0], str(out), "--format", "json").returncode == 0


def test_an_interrupted_run_stops_its_processes_and_keeps_its_results(tmp_path):
    process = subprocess.Popen(
        [sys.executable, "-m", "tansyspur", "rig", "run", *FILES, "--out", str(tmp_path)],
        cwd=ROOT, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    progress = []
    for line in process.stderr:
        progress.append(line)
        if " 2 of " in line:
            break
    children = {int(pid) for pid in children_of(process.pid)}
    assert len(children) == 7, progress
    process.send_signal(signal.SIGINT)
    out, _ = process.communicate(timeout=WAIT_TIMEOUT_S)
    assert "interrupted" in out and json.loads((tmp_path / "summary.json").read_text())["interrupted"]
    until = time.monotonic() + WAIT_TIMEOUT_S
    while any(os.path.exists(f"/proc/{pid}") for pid in children) and time.monotonic() < until:
        time.sleep(0.05)
    assert not any(os.path.exists(f"/proc/{pid}") for pid in children)


def children_of(pid):
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        return file.read().split()


def test_the_demo_needs_no_configuration():
    completed = tool("demo", "--seconds", "2")
    assert completed.returncode == 0, completed.stderr
    assert "service" in completed.stdout and "rules broken: 0" in completed.stdout


@pytest.mark.parametrize("data", [b"", b"\x00\x01", b"\xc1"])
def test_a_malformed_result_file_is_rejected(tmp_path, data):
    path = tmp_path / "x"
    path.write_bytes(data)
    completed = tool("rig", "show", str(path))
    assert completed.returncode == 2 and str(path) in completed.stderr
