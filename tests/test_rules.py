"""Property tests of the five rules of tansyspur/policy.py over generated events, checked on the actions alone.

1. A call gets one final answer, by the end of its try, and no attempt after that.
2. A call has at most one attempt under way.
3. A switch that drains or is gone gets no new set-ups.
4. All gatekeepers together send a cold switch only a share of its full rate.
5. After an attempt that may still hold circuits, the next one waits for the release delay.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyspur import interface
from tests.conftest import NS_PER_MS, NS_PER_S, OWN, Driver

GRACE_NS = 20 * NS_PER_MS  # a final answer may come this long after the end of the try
NUMBERS = (2, 3, 4)
OUTCOMES = [outcome for outcome in interface.Outcome if outcome is not interface.Outcome.ENDED]
MAY_HOLD_CIRCUITS = (interface.Outcome.TIMED_OUT, interface.Outcome.CUT, interface.Outcome.CANCELLED)

EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("call"), st.sampled_from(NUMBERS), st.integers(20, 900), st.sampled_from([0, 1, 2])
        ),
        st.tuples(st.just("answered"), st.integers(0, 50)),
        st.tuples(
            st.just("ended"),
            st.integers(0, 50),
            st.sampled_from(OUTCOMES),
            st.sampled_from(list(interface.Cause)),
        ),
        st.tuples(st.just("abandoned"), st.integers(0, 50)),
        st.tuples(st.just("group"), st.sampled_from(NUMBERS), st.integers(0, 12)),
        st.tuples(st.just("drain"), st.sampled_from(NUMBERS), st.sampled_from(list(interface.SwitchState))),
        st.tuples(st.just("restart"), st.sampled_from(NUMBERS)),
        st.tuples(st.just("wait"), st.integers(1, 150)),
    ),
    min_size=40,
    max_size=150,
)


class RuleChecker:
    """Feeds a controller with generated events and asserts the rules on each action.

    Times are nanoseconds.
    """

    def __init__(self) -> None:
        self.driver = Driver()
        self.driver.switch_list(*NUMBERS, OWN)
        self.unanswered: dict[int, int] = {}  # call id to the end of its try
        self.under_way: dict[int, tuple[int, int]] = {}  # call id to (switch id, attempt)
        self.setups: list[tuple[int, int, int]] = []  # (time, call id, switch id)
        self.attempt_counts: dict[int, int] = {}
        self.earliest_ns: dict[int, int] = {}  # call id to the end of its release delay
        self.answered: set[int] = set()
        self.closed_from_ns: dict[int, int] = {}  # switch id to the time after which it may get no new set-up
        self.timers: list[tuple[int, int]] = []
        self.next_call = 0
        self.late_from_ns: dict[int, int] = {}  # call id to the end of its delay objective
        self.destinations: dict[int, int] = {}
        self.transit_calls: set[int] = set()

    def check(self, actions) -> None:
        now = self.driver.now
        for action in actions:
            match action:
                case interface.SetUp(call_id, switch_id, _):
                    assert call_id in self.unanswered, "rule 1: sent after its final answer"
                    assert call_id not in self.under_way, "rule 2: two attempts under way"
                    assert now <= self.closed_from_ns.get(switch_id, now), (
                        "rule 3: sent to a switch that drains or is gone"
                    )
                    assert now >= self.earliest_ns.get(call_id, 0), (
                        "rule 5: sent before the release delay was over"
                    )
                    attempt = self.attempt_counts.get(call_id, 0)
                    assert attempt < self.driver.controller.settings.max_attempts
                    self.attempt_counts[call_id] = attempt + 1
                    self.under_way[call_id] = (switch_id, attempt)
                    self.setups.append((now, call_id, switch_id))
                case interface.Refuse(call_id, retry_after_ns):
                    self.final_answer(call_id)
                    may_retry = call_id not in self.earliest_ns and call_id not in self.transit_calls
                    assert 0 <= retry_after_ns <= (2 * NS_PER_S if may_retry else 0), (
                        "retry time for a call that may have run or is in transit"
                    )
                case interface.Fail(call_id):
                    self.final_answer(call_id)
                case interface.SetTimer(token, at_ns):
                    self.timers.append((at_ns, token))

    def final_answer(self, call_id) -> None:
        assert call_id in self.unanswered, "rule 1: a second final answer"
        assert call_id not in self.under_way, "final answer while an attempt is under way"
        del self.unanswered[call_id]

    def cannot_succeed(self, call_id) -> bool:
        """Whether a queued call can no longer be answered in time."""
        no_attempt_left = self.attempt_counts.get(call_id, 0) >= self.driver.controller.settings.max_attempts
        late = self.driver.now >= self.late_from_ns[call_id]
        return no_attempt_left or late or 100 + self.destinations[call_id] in self.closed_from_ns

    def wait(self, span_ns: int) -> None:
        """Advance the time tick by tick; attempts time out at the end of the try, timers fire when due."""
        end_ns = self.driver.now + span_ns
        while self.driver.now < end_ns:
            self.driver.now += 5 * NS_PER_MS
            for call_id, expires_ns in list(self.unanswered.items()):
                if call_id in self.under_way and self.driver.now >= expires_ns:
                    self.end_attempt(call_id, interface.Outcome.TIMED_OUT, None)
            due = [entry for entry in self.timers if entry[0] <= self.driver.now]
            self.timers = [entry for entry in self.timers if entry[0] > self.driver.now]
            for _, token in due:
                self.check(self.driver.handle(interface.TimerDue(token)))
            for call_id, expires_ns in self.unanswered.items():
                queued = call_id not in self.under_way
                assert not queued or not self.cannot_succeed(call_id), "queued though it cannot succeed"
                assert self.driver.now <= expires_ns + GRACE_NS, f"rule 1: no final answer for {call_id}"

    def end_attempt(self, call_id, outcome, cause) -> None:
        switch_id, attempt = self.under_way.pop(call_id)
        final = call_id not in self.unanswered
        if outcome in MAY_HOLD_CIRCUITS:
            self.earliest_ns[call_id] = self.driver.now + 300 * NS_PER_MS
        attempt_ended = interface.AttemptEnded(
            call_id, attempt, switch_id, outcome, 50 * NS_PER_MS, final, cause
        )
        self.check(self.driver.handle(attempt_ended))

    def apply(self, event) -> None:
        match event:
            case ("call", number, span_ms, origin):
                self.next_call += 1
                self.unanswered[self.next_call] = self.driver.now + span_ms * NS_PER_MS
                extra = {"in_transit": origin == 1, "via": 2 if origin == 1 else None, "redial": origin == 2}
                end_ns = self.unanswered[self.next_call]
                self.late_from_ns[self.next_call] = self.driver.now + (0 if origin == 2 else 2 * NS_PER_S)
                self.destinations[self.next_call] = number
                self.transit_calls.update({self.next_call} if origin == 1 else ())
                self.check(self.driver.offer(self.next_call, number, expires_ns=end_ns, **extra))
            case ("answered", index) if set(self.under_way) & set(self.unanswered):
                choices = sorted(set(self.under_way) & set(self.unanswered))
                call_id = choices[index % len(choices)]
                switch_id, attempt = self.under_way[call_id]
                del self.unanswered[call_id]
                self.check(
                    self.driver.handle(interface.CallAnswered(call_id, attempt, switch_id, 40 * NS_PER_MS))
                )
            case ("ended", index, outcome, cause) if self.under_way:
                self.end_attempt(sorted(self.under_way)[index % len(self.under_way)], outcome, cause)
            case ("abandoned", index) if self.unanswered:
                call_id = sorted(self.unanswered)[index % len(self.unanswered)]
                del self.unanswered[call_id]
                self.check(self.driver.handle(interface.CallAbandoned(call_id)))
            case ("group", number, free):
                self.check(self.driver.group_report(number, free))
            case ("drain", number, state):
                if state is interface.SwitchState.IN_SERVICE:
                    self.closed_from_ns.pop(100 + number, None)
                else:
                    self.closed_from_ns.setdefault(100 + number, self.driver.now + 500 * NS_PER_MS)
                self.check(
                    self.driver.switch_list(number, kind=interface.SwitchListKind.CHANGES, state=state)
                )
            case ("restart", number):
                self.closed_from_ns.pop(100 + number, None)
                self.check(
                    self.driver.switch_list(
                        number, kind=interface.SwitchListKind.CHANGES, started_ns=self.driver.now
                    )
                )
            case ("wait", ticks):
                self.wait(ticks * 5 * NS_PER_MS)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(EVENTS)
def test_rules_one_two_three_and_five_hold(events):
    checker = RuleChecker()
    for event in events:
        checker.apply(event)
    checker.wait(2 * NS_PER_S)
    assert not checker.unanswered, "rule 1: calls without a final answer"


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from(NUMBERS), st.integers(0, 40), st.booleans()), max_size=150))
def test_rule_four_limits_the_rate_to_a_cold_switch(events):
    """No answered call has been counted yet, so the gatekeeper may send one set-up per window, not a burst."""
    checker = RuleChecker()
    checker.driver.switch_list(2, kind=interface.SwitchListKind.CHANGES, started_ns=checker.driver.now)
    start_ns, window_ns = checker.driver.now, checker.driver.controller.settings.fall_ns
    for number, ticks, transit in events:
        checker.apply(("call", number, 900, 1 if transit else 0))
        checker.wait(ticks * 5 * NS_PER_MS)
    times_ns = [
        at_ns
        for at_ns, _, switch_id in checker.setups
        if switch_id == 102 and at_ns < start_ns + 13 * NS_PER_S
    ]
    assert all(later_ns - at_ns >= window_ns for at_ns, later_ns in zip(times_ns, times_ns[1:], strict=False))


@settings(derandomize=True, deadline=None, max_examples=40)
@given(EVENTS)
def test_the_same_events_give_the_same_actions(events):
    def run():
        checker, recorded = RuleChecker(), []
        check = checker.check
        checker.check = lambda actions: (recorded.extend(actions), check(actions))
        for event in events:
            checker.apply(event)
        return recorded

    assert run() == run()
