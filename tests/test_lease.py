"""Leases of standing calls: which calls are taken as ended, judged by the events on a switch's connections alone."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.core.lease import END_REPORT_LIMIT_S, LEASE_S, MAX_RECONNECT_GAP_S, StandingLeases

STEADY_SINCE_START = 0.0  # discovery has been received without a gap


@pytest.fixture
def leases():
    """A standing call on a connection on which bytes were received at 10."""
    leases = StandingLeases()
    leases.connected("old", 1.0)
    leases.received("old", 10.0)
    leases.call_answered("call", "old", 10.0)
    return leases


def reconnect(leases, at):
    leases.disconnected("old", silent=False)
    leases.connected("new", at)
    leases.received("new", at)


def test_a_call_is_kept_while_bytes_are_received_on_its_connection(leases):
    for second in range(11, 100):
        leases.received("old", float(second))
        assert not leases.expired(second + LEASE_S - 0.01, None)
    assert leases.next_expiry() == 99 + LEASE_S


def test_a_silent_switch_loses_its_calls_even_with_steady_discovery(leases):
    assert not leases.expired(10 + LEASE_S - 0.01, STEADY_SINCE_START)
    assert leases.expired(10 + LEASE_S, STEADY_SINCE_START) == ["call"]
    leases.call_ended("call")
    assert not leases.expired(100.0, None) and leases.next_expiry() is None


def test_a_new_connection_without_any_bytes_confirms_nothing(leases):
    # Without this, a hung process would keep its calls, as the kernel accepts connections for it.
    leases.disconnected("old", silent=False)
    leases.connected("new", 10.5)
    assert leases.expired(10 + LEASE_S, STEADY_SINCE_START) == ["call"]


def test_another_connection_confirms_a_call_only_if_discovery_was_received_without_a_gap(leases):
    reconnect(leases, 10.5)
    for second in range(11, 17):
        leases.received("new", float(second))
    assert leases.expired(10 + LEASE_S, None) == ["call"]
    assert leases.expired(10 + LEASE_S, 10.1) == ["call"]
    assert leases.expired(10 + LEASE_S, STEADY_SINCE_START) == []
    leases.received("new", 18.0)
    assert leases.expired(18 + LEASE_S - 0.01, None) == []  # taken as the same process from now on


def test_a_switch_that_was_away_for_longer_is_another_process_even_with_steady_discovery(leases):
    reconnect(leases, 10 + MAX_RECONNECT_GAP_S + 0.1)
    leases.received("new", 16.9)
    assert leases.expired(10 + LEASE_S, STEADY_SINCE_START) == ["call"]


def test_the_release_of_one_call_confirms_the_other_calls_of_its_process(leases):
    leases.call_answered("other", "old", 10.0)
    reconnect(leases, 14.0)
    leases.call_released("other", "new")
    leases.call_ended("other")
    assert leases.expired(10 + LEASE_S, None) == []
    assert leases.next_expiry() == 14 + LEASE_S


def test_connections_that_receive_bytes_at_the_same_time_belong_to_one_process(leases):
    leases.connected("new", 12.0)
    leases.received("old", 12.5)
    leases.disconnected("old", silent=False)
    leases.received("new", 16.0)
    assert leases.expired(10 + LEASE_S, None) == []


def test_bytes_read_late_from_an_ended_connection_are_no_overlap(leases):
    leases.connected("new", 12.0)
    leases.received("old", 12.05)
    leases.disconnected("old", silent=False)
    leases.received("new", 18.0)
    assert leases.expired(12.05 + LEASE_S, None) == ["call"]


def test_calls_of_a_new_process_do_not_renew_the_leases_of_the_old_one(leases):
    reconnect(leases, 14.0)
    leases.call_answered("fresh", "new", 14.0)
    leases.received("new", 16.9)
    assert leases.expired(10 + LEASE_S, STEADY_SINCE_START) == ["call"]


def test_calls_do_not_pass_from_a_prompt_successor_to_the_process_after_it():
    # The connection is reset and back at once, then lost for 5 s: what comes after that is another process.
    leases = StandingLeases()
    leases.connected("first", 1.0)
    leases.received("first", 10.0)
    leases.call_answered("call", "first", 10.0)
    leases.disconnected("first", silent=False)
    leases.connected("second", 10.2)
    leases.received("second", 11.0)
    leases.disconnected("second", silent=False)
    leases.connected("third", 16.5)
    leases.received("third", 17.0)
    assert leases.expired(10 + LEASE_S, STEADY_SINCE_START) == []
    leases.received("third", 18.0)
    assert leases.expired(11 + LEASE_S, STEADY_SINCE_START) == ["call"]


def test_calls_follow_a_series_of_prompt_reconnections():
    leases = StandingLeases()
    leases.connected(0, 9.0)
    leases.received(0, 10.0)
    leases.call_answered("call", 0, 10.0)
    for number in range(1, 8):
        leases.disconnected(number - 1, silent=False)
        leases.connected(number, 10.0 + number)
        leases.received(number, 10.1 + number)
    assert leases.expired(17.05 + 0.05, STEADY_SINCE_START) == []
    assert leases.next_expiry() > 17.1


@pytest.fixture
def after_silent_end(leases):
    """The same call after its connection ended silently. Its process opened another one and sent bytes there at 11."""
    leases.call_answered("witness", "old", 10.0)
    leases.disconnected("old", silent=True)
    leases.connected("new", 11.0)
    leases.received("new", 11.0)
    leases.call_released("witness", "new")
    leases.call_ended("witness")
    return leases


def test_after_a_silent_end_only_new_connections_confirm_a_call(after_silent_end):
    # The switch may take the silent connection for open, and have sent the release there.
    assert after_silent_end.needs_new_connection()
    for second in range(12, 18):
        after_silent_end.received("new", float(second))
    assert after_silent_end.expired(11 + LEASE_S - 0.01, STEADY_SINCE_START) == []
    assert after_silent_end.expired(11 + LEASE_S, STEADY_SINCE_START) == ["call"]


def test_a_connection_opened_later_renews_the_lease(after_silent_end):
    after_silent_end.connected("newer", 15.0)
    after_silent_end.received("newer", 15.0)
    after_silent_end.received("new", 15.2)  # shows that it is the same process
    assert after_silent_end.expired(15 + LEASE_S - 0.01, None) == []
    assert after_silent_end.expired(15 + LEASE_S, None) == ["call"]


def test_nothing_confirms_a_call_whose_release_may_be_lost(after_silent_end):
    # The switch sends pending releases on the next connection that opens. Nothing was received on that one.
    after_silent_end.connected("unused", 15.0)
    after_silent_end.disconnected("unused", silent=True)
    after_silent_end.connected("newer", 17.0)
    after_silent_end.received("newer", 17.0)
    after_silent_end.received("new", 17.2)
    assert not after_silent_end.needs_new_connection()
    assert after_silent_end.expired(11 + LEASE_S, STEADY_SINCE_START) == ["call"]


def test_after_a_reset_any_connection_of_the_process_confirms_a_call(leases):
    leases.call_answered("witness", "old", 10.0)
    leases.disconnected("old", silent=False)
    leases.connected("new", 11.0)
    leases.received("new", 11.0)
    leases.call_released("witness", "new")
    leases.received("new", 20.0)
    assert not leases.needs_new_connection()
    assert leases.expired(20 + LEASE_S - 0.01, None) == []


TICK_S = 0.25
FAULTS = st.tuples(
    st.sampled_from(["receive", "reset", "hang", "restart", "slow restart"]), st.floats(0.05, 3.0)
)


@given(st.lists(FAULTS, max_size=30), st.booleans())
def test_no_call_of_an_ended_process_is_kept_beyond_the_limit(faults, steady):
    """Connections break, the process hangs, or another takes its address, in any order and at any time."""
    steady_since = -1.0 if steady else None
    leases, now, link, hung, ended_at = StandingLeases(), 0.0, 0, False, None
    leases.connected(link, now)
    leases.received(link, now)
    leases.call_answered("call", link, 0.0)

    def poll():
        for call_id in leases.expired(now, steady_since):
            leases.call_ended(call_id)

    for fault, seconds in [*faults, ("restart", 0.1)]:
        until = now + seconds
        while now < until:
            now += TICK_S
            poll()
        restarts = fault.endswith("restart")
        if (restarts or fault == "hang") and ended_at is None:
            ended_at = now
        if restarts and (fault == "slow restart" or steady):
            now += MAX_RECONNECT_GAP_S + 0.1  # discovery, if received, reports a quicker one
        hung = (hung and not restarts) or fault == "hang"
        if restarts or fault == "reset":
            leases.disconnected(link, silent=False)
            link += 1
            leases.connected(link, now)
        if not hung:
            leases.received(link, now)
    while now < ended_at + END_REPORT_LIMIT_S:
        now += TICK_S
        poll()
        leases.received(link, now)
    assert leases.next_expiry() is None
