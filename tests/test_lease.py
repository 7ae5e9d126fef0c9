"""Which calls are taken for over, and which are not, by what is seen of a switch's connections alone."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.core.lease import END_TOLD_S, LEASE_S, PROMPT_RETURN_S, StandingLeases

STEADY = 0.0  # discovery is heard since the beginning


@pytest.fixture
def leases():
    """A call that stands on a connection which was heard at 10."""
    made = StandingLeases()
    made.connected("old", 1.0)
    made.received("old", 10.0)
    made.call_answered("call", "old", 10.0)
    return made


def come_back(leases, at):
    leases.disconnected("old", silent=False)
    leases.connected("new", at)
    leases.received("new", at)


def test_a_call_is_kept_as_long_as_its_connection_is_heard(leases):
    for second in range(11, 100):
        leases.received("old", float(second))
        assert not leases.expired(second + LEASE_S - 0.01, None)
    assert leases.next_expiry() == 99 + LEASE_S


def test_a_silent_switch_loses_its_calls_whatever_discovery_says(leases):
    assert not leases.expired(10 + LEASE_S - 0.01, STEADY)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]
    leases.call_ended("call")
    assert not leases.expired(100.0, None) and leases.next_expiry() is None


def test_a_connection_that_comes_up_and_says_nothing_vouches_for_nothing(leases):
    # Guards against a hung process, for which the kernel accepts connections.
    leases.disconnected("old", silent=False)
    leases.connected("new", 10.5)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]


def test_another_connection_vouches_only_with_discovery_that_was_heard_all_the_while(leases):
    come_back(leases, 10.5)
    for second in range(11, 17):
        leases.received("new", float(second))
    assert leases.expired(10 + LEASE_S, None) == ["call"]
    assert leases.expired(10 + LEASE_S, 10.1) == ["call"]
    assert leases.expired(10 + LEASE_S, STEADY) == []
    leases.received("new", 18.0)
    assert leases.expired(18 + LEASE_S - 0.01, None) == []  # it is the same process from now on


def test_a_switch_that_was_away_for_longer_may_be_another_whatever_discovery_says(leases):
    come_back(leases, 10 + PROMPT_RETURN_S + 0.1)
    leases.received("new", 16.9)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]


def test_the_release_of_one_call_shows_that_its_process_lives(leases):
    leases.call_answered("other", "old", 10.0)
    come_back(leases, 14.0)
    leases.call_released("other", "new")
    leases.call_ended("other")
    assert leases.expired(10 + LEASE_S, None) == []
    assert leases.next_expiry() == 14 + LEASE_S


def test_connections_that_are_heard_side_by_side_lead_to_one_process(leases):
    leases.connected("new", 12.0)
    leases.received("old", 12.5)
    leases.disconnected("old", silent=False)
    leases.received("new", 16.0)
    assert leases.expired(10 + LEASE_S, None) == []


def test_what_is_read_late_of_an_ended_connection_shows_no_overlap(leases):
    leases.connected("new", 12.0)
    leases.received("old", 12.05)
    leases.disconnected("old", silent=False)
    leases.received("new", 18.0)
    assert leases.expired(12.05 + LEASE_S, None) == ["call"]


def test_calls_of_a_new_process_do_not_lengthen_those_of_the_old(leases):
    come_back(leases, 14.0)
    leases.call_answered("fresh", "new", 14.0)
    leases.received("new", 16.9)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]


def test_a_second_process_behind_a_prompt_successor_holds_none_of_the_first_ones_calls():
    # Guards against following connections from one process into another: reset, back at once, then lost for 5 s.
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
    assert leases.expired(10 + LEASE_S, STEADY) == []
    leases.received("third", 18.0)
    assert leases.expired(11 + LEASE_S, STEADY) == ["call"]


def test_a_row_of_prompt_returns_is_followed_to_its_end():
    leases = StandingLeases()
    leases.connected(0, 9.0)
    leases.received(0, 10.0)
    leases.call_answered("call", 0, 10.0)
    for number in range(1, 8):
        leases.disconnected(number - 1, silent=False)
        leases.connected(number, 10.0 + number)
        leases.received(number, 10.1 + number)
    assert leases.expired(17.05 + 0.05, STEADY) == []
    assert leases.next_expiry() > 17.1


@pytest.fixture
def adrift(leases):
    """The same call, whose connection was given up in silence; its process is heard on another since 11."""
    leases.call_answered("witness", "old", 10.0)
    leases.disconnected("old", silent=True)
    leases.connected("new", 11.0)
    leases.received("new", 11.0)
    leases.call_released("witness", "new")
    leases.call_ended("witness")
    return leases


def test_after_a_silent_end_only_new_connections_confirm_a_call(adrift):
    # Guards against a release that the switch sent into the silent connection, which it takes for open.
    assert adrift.needs_new_connection()
    for second in range(12, 18):
        adrift.received("new", float(second))
    assert adrift.expired(11 + LEASE_S - 0.01, STEADY) == []
    assert adrift.expired(11 + LEASE_S, STEADY) == ["call"]


def test_a_connection_that_is_opened_for_it_confirms_the_call_anew(adrift):
    adrift.connected("newer", 15.0)
    adrift.received("newer", 15.0)
    adrift.received("new", 15.2)  # it is the same process
    assert adrift.expired(15 + LEASE_S - 0.01, None) == []
    assert adrift.expired(15 + LEASE_S, None) == ["call"]


def test_nothing_confirms_a_call_whose_release_may_be_lost_for_good(adrift):
    # The switch sends what it owes on the next connection that opens; that one was never heard.
    adrift.connected("deaf", 15.0)
    adrift.disconnected("deaf", silent=True)
    adrift.connected("newer", 17.0)
    adrift.received("newer", 17.0)
    adrift.received("new", 17.2)
    assert not adrift.needs_new_connection()
    assert adrift.expired(11 + LEASE_S, STEADY) == ["call"]


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
    st.sampled_from(["hear", "reset", "hang", "restart", "slow restart"]), st.floats(0.05, 3.0)
)


@given(st.lists(FAULTS, max_size=30), st.booleans())
def test_no_call_of_a_process_that_has_ended_is_kept_beyond_the_time_owed(faults, steady):
    """Connections break, and the process hangs, or another takes its address, in any order and at any time."""
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
            now += PROMPT_RETURN_S + 0.1  # of a quicker one discovery tells, if it is heard
        hung = (hung and not restarts) or fault == "hang"
        if restarts or fault == "reset":
            leases.disconnected(link, silent=False)
            link += 1
            leases.connected(link, now)
        if not hung:
            leases.received(link, now)
    while now < ended_at + END_TOLD_S:
        now += TICK_S
        poll()
        leases.received(link, now)
    assert leases.next_expiry() is None
