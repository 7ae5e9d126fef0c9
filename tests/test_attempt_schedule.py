"""When connections to a slow or lost server overlap: none is given up before a server of any speed can answer one."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.net.attempt_schedule import (
    MAX_ATTEMPTS,
    RECONNECT_DELAY_S,
    SILENCE_TIMEOUT_S,
    AttemptTimes,
    attempt_to_drop,
)

TOLD_AFTER_REACHABLE_S = (
    6.0  # after a failed call to discovery, a change counts as told this long after the return
)


def open_attempts(gaps_s):
    """Yield the starts of the open attempts, oldest first, and the time at which the next one is started.

    gaps_s: the time from each start to the next one.
    """
    starts, now = [], 0.0
    for gap_s in gaps_s:
        if len(starts) >= MAX_ATTEMPTS:
            del starts[attempt_to_drop(starts)]
        starts.append(now)
        now += gap_s
        yield tuple(starts), now


@given(answer_s=st.floats(0.1, 300), lost=st.integers(0, 1))
def test_a_server_of_any_speed_answers_though_the_first_connection_is_lost(answer_s, lost):
    # With a limit on each attempt, a server slower than the limit was never heard. The attempt that lives long
    # enough must come within a bounded multiple of the time that the server takes.
    for starts, now in open_attempts(itertools.repeat(SILENCE_TIMEOUT_S)):
        if any(now - start >= answer_s for start in starts[lost:]):
            break
    assert now <= 4 * (answer_s + SILENCE_TIMEOUT_S)


@given(st.lists(st.floats(0.01, 100), min_size=2, max_size=50))
def test_the_oldest_and_the_newest_attempt_stay(gaps_s):
    # The newest finds a server that has just become reachable, the oldest one that is slow.
    newest = 0.0
    for starts, next_start in open_attempts(gaps_s):
        assert starts[0] == 0.0 and starts[-1] == newest and len(starts) <= MAX_ATTEMPTS
        newest = next_start


@pytest.mark.parametrize(
    ("times", "due"),
    [
        (AttemptTimes(10.0), 11.25),
        (AttemptTimes(10.0, connected_at=11.0), 13.5),
        (AttemptTimes(10.0, connected_at=11.0, received_at=40.0), 42.5),
        (AttemptTimes(10.0, connected_at=11.0, received_at=40.0, ended_at=41.0), 41.25),
        (AttemptTimes(10.0, ended_at=10.1), 10.1 + RECONNECT_DELAY_S),
    ],
)
def test_the_next_attempt_is_due_after_the_last_sign_of_the_newest(times, due):
    assert times.next_attempt_at() == pytest.approx(due)
    # Whatever the newest one waits for: a server that is reachable again is asked well within the limit.
    last_sign = max(filter(None, [times.started_at, times.connected_at, times.received_at, times.ended_at]))
    assert due - last_sign < TOLD_AFTER_REACHABLE_S / 2
