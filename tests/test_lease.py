"""Which calls are taken for over, and which are not, by what is seen of a switch's connections alone."""

import pytest

from tansyspur.core.lease import LEASE_S, PROMPT_RETURN_S, StandingLeases

STEADY = 0.0  # discovery is heard since the beginning


@pytest.fixture
def leases():
    """A call that stands on a connection which was heard at 10."""
    made = StandingLeases()
    made.connected("old", 1.0)
    made.heard("old", 10.0)
    made.stands("call", "old")
    return made


def come_back(leases, at):
    leases.disconnected("old")
    leases.connected("new", at)
    leases.heard("new", at)


def test_a_call_is_kept_as_long_as_its_connection_is_heard(leases):
    for second in range(11, 100):
        leases.heard("old", float(second))
        assert not leases.expired(second + LEASE_S - 0.01, None)
    assert leases.next_expiry() == 99 + LEASE_S


def test_a_silent_switch_loses_its_calls_whatever_discovery_says(leases):
    assert not leases.expired(10 + LEASE_S - 0.01, STEADY)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]
    leases.over("call")
    assert not leases.expired(100.0, None) and leases.next_expiry() is None


def test_a_connection_that_comes_up_and_says_nothing_vouches_for_nothing(leases):
    # Guards against a hung process, for which the kernel accepts connections.
    leases.disconnected("old")
    leases.connected("new", 10.5)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]


def test_another_connection_vouches_only_with_discovery_that_was_heard_all_the_while(leases):
    come_back(leases, 10.5)
    for second in range(11, 17):
        leases.heard("new", float(second))
    assert leases.expired(10 + LEASE_S, None) == ["call"]
    assert leases.expired(10 + LEASE_S, 10.1) == ["call"]
    assert leases.expired(10 + LEASE_S, STEADY) == []
    leases.heard("new", 18.0)
    assert leases.expired(18 + LEASE_S - 0.01, None) == []  # it is the same process from now on


def test_a_switch_that_was_away_for_longer_may_be_another_whatever_discovery_says(leases):
    come_back(leases, 10 + PROMPT_RETURN_S + 0.1)
    leases.heard("new", 16.9)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]


def test_the_release_of_one_call_shows_that_its_process_lives(leases):
    leases.stands("other", "old")
    come_back(leases, 14.0)
    leases.released("other", "new")
    leases.over("other")
    assert leases.expired(10 + LEASE_S, None) == []
    assert leases.next_expiry() == 14 + LEASE_S


def test_connections_that_are_heard_side_by_side_lead_to_one_process(leases):
    leases.connected("new", 12.0)
    leases.heard("old", 12.5)
    leases.disconnected("old")
    leases.heard("new", 16.0)
    assert leases.expired(10 + LEASE_S, None) == []


def test_what_is_read_late_of_an_ended_connection_shows_no_overlap(leases):
    leases.connected("new", 12.0)
    leases.heard("old", 12.05)
    leases.disconnected("old")
    leases.heard("new", 18.0)
    assert leases.expired(12.05 + LEASE_S, None) == ["call"]


def test_calls_of_a_new_process_do_not_lengthen_those_of_the_old(leases):
    come_back(leases, 14.0)
    leases.stands("fresh", "new")
    leases.heard("new", 16.9)
    assert leases.expired(10 + LEASE_S, STEADY) == ["call"]
