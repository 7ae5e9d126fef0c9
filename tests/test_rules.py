"""The five rules over generated event sequences, each checked on the actions alone."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyspur import interface
from tests.conftest import MS, OWN, Desk, S

GRACE_NS = 20 * MS
NUMBERS = (2, 3, 4)
OUTCOMES = [outcome for outcome in interface.Outcome if outcome is not interface.Outcome.ENDED]
DOUBTFUL = (interface.Outcome.TIMED_OUT, interface.Outcome.CUT, interface.Outcome.CANCELLED)

STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("call"), st.sampled_from(NUMBERS), st.integers(20, 900), st.sampled_from([0, 1, 2])
        ),
        st.tuples(st.just("stands"), st.integers(0, 50)),
        st.tuples(
            st.just("ended"),
            st.integers(0, 50),
            st.sampled_from(OUTCOMES),
            st.sampled_from(list(interface.Cause)),
        ),
        st.tuples(st.just("gone"), st.integers(0, 50)),
        st.tuples(st.just("group"), st.sampled_from(NUMBERS), st.integers(0, 12)),
        st.tuples(st.just("drain"), st.sampled_from(NUMBERS), st.sampled_from(list(interface.SwitchState))),
        st.tuples(st.just("restart"), st.sampled_from(NUMBERS)),
        st.tuples(st.just("wait"), st.integers(1, 150)),
    ),
    min_size=40,
    max_size=150,
)


class Watch:
    """Feeds a controller what was generated and notes what each rule would object to."""

    def __init__(self) -> None:
        self.desk = Desk()
        self.desk.list(*NUMBERS, OWN)
        self.owed: dict[int, int] = {}  # call to the end of its try
        self.out: dict[int, tuple[int, int]] = {}  # call to (exchange, attempt) out
        self.sends: list[tuple[int, int, int]] = []  # time, call, exchange
        self.attempts: dict[int, int] = {}
        self.ready: dict[int, int] = {}
        self.stood: set[int] = set()
        self.closed: dict[int, int] = {}  # exchange to the time from which nothing new may go there
        self.timers: list[tuple[int, int]] = []
        self.next_call = 0
        self.late_from: dict[int, int] = {}  # call to the time from which it can no longer stand in time
        self.destination: dict[int, int] = {}
        self.transit: set[int] = set()

    def take(self, actions) -> None:
        now = self.desk.now
        for action in actions:
            match action:
                case interface.SetUp(call_id, switch_id, _):
                    assert call_id in self.owed, "rule 1: sent after its final answer"
                    assert call_id not in self.out, "rule 2: two attempts out"
                    assert now <= self.closed.get(switch_id, now), "rule 3: sent to a closed exchange"
                    assert now >= self.ready.get(call_id, 0), "rule 5: sent before the release"
                    attempt = self.attempts.get(call_id, 0)
                    assert attempt < self.desk.controller.settings.max_attempts
                    self.attempts[call_id] = attempt + 1
                    self.out[call_id] = (switch_id, attempt)
                    self.sends.append((now, call_id, switch_id))
                case interface.Refuse(call_id, retry_after_ns):
                    self.answer(call_id)
                    safe = call_id not in self.ready and call_id not in self.transit
                    assert 0 <= retry_after_ns <= (2 * S if safe else 0), "advice that is not safe"
                case interface.Fail(call_id):
                    self.answer(call_id)
                case interface.SetTimer(token, at_ns):
                    self.timers.append((at_ns, token))

    def answer(self, call_id) -> None:
        assert call_id in self.owed, "rule 1: a second final answer"
        assert call_id not in self.out, "answered while an attempt is out"
        del self.owed[call_id]

    def hopeless(self, call_id) -> bool:
        spent = self.attempts.get(call_id, 0) >= self.desk.controller.settings.max_attempts
        late = self.desk.now >= self.late_from[call_id]
        return spent or late or 100 + self.destination[call_id] in self.closed

    def wait(self, span_ns: int) -> None:
        """Time passes tick by tick; attempts time out with their callers, timers fire when due."""
        end = self.desk.now + span_ns
        while self.desk.now < end:
            self.desk.now += 5 * MS
            for call_id, expires_ns in list(self.owed.items()):
                if call_id in self.out and self.desk.now >= expires_ns:
                    self.end(call_id, interface.Outcome.TIMED_OUT, None)
            due = [entry for entry in self.timers if entry[0] <= self.desk.now]
            self.timers = [entry for entry in self.timers if entry[0] > self.desk.now]
            for _, token in due:
                self.take(self.desk.feed(interface.TimerDue(token)))
            for call_id, expires_ns in self.owed.items():
                held = call_id not in self.out
                assert not held or not self.hopeless(call_id), "held without hope"
                assert self.desk.now <= expires_ns + GRACE_NS, f"rule 1: no final answer for {call_id}"

    def end(self, call_id, outcome, cause) -> None:
        switch_id, attempt = self.out.pop(call_id)
        final = call_id not in self.owed
        if outcome in DOUBTFUL:
            self.ready[call_id] = self.desk.now + 300 * MS
        event = interface.AttemptEnded(call_id, attempt, switch_id, outcome, 50 * MS, final, cause)
        self.take(self.desk.feed(event))

    def step(self, step) -> None:
        match step:
            case ("call", number, span_ms, style):
                self.next_call += 1
                self.owed[self.next_call] = self.desk.now + span_ms * MS
                more = {"in_transit": style == 1, "via": 2 if style == 1 else None, "redial": style == 2}
                end = self.owed[self.next_call]
                self.late_from[self.next_call] = self.desk.now + (0 if style == 2 else 2 * S)
                self.destination[self.next_call] = number
                self.transit.update({self.next_call} if style == 1 else ())
                self.take(self.desk.call(self.next_call, number, expires_ns=end, **more))
            case ("stands", pick) if set(self.out) & set(self.owed):
                choices = sorted(set(self.out) & set(self.owed))
                call_id = choices[pick % len(choices)]
                switch_id, attempt = self.out[call_id]
                del self.owed[call_id]
                self.take(self.desk.feed(interface.CallAnswered(call_id, attempt, switch_id, 40 * MS)))
            case ("ended", pick, outcome, cause) if self.out:
                self.end(sorted(self.out)[pick % len(self.out)], outcome, cause)
            case ("gone", pick) if self.owed:
                call_id = sorted(self.owed)[pick % len(self.owed)]
                del self.owed[call_id]
                self.take(self.desk.feed(interface.CallAbandoned(call_id)))
            case ("group", number, free):
                self.take(self.desk.group(number, free))
            case ("drain", number, state):
                if state is interface.SwitchState.IN_SERVICE:
                    self.closed.pop(100 + number, None)
                else:
                    self.closed.setdefault(100 + number, self.desk.now + 500 * MS)
                self.take(self.desk.list(number, kind=interface.SwitchListKind.CHANGES, state=state))
            case ("restart", number):
                self.closed.pop(100 + number, None)
                self.take(
                    self.desk.list(number, kind=interface.SwitchListKind.CHANGES, started=self.desk.now)
                )
            case ("wait", ticks):
                self.wait(ticks * 5 * MS)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS)
def test_rules_one_two_three_five(steps):
    watch = Watch()
    for step in steps:
        watch.step(step)
    watch.wait(2 * S)
    assert not watch.owed, "rule 1: calls left without an answer"


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.sampled_from(NUMBERS), st.integers(0, 40), st.booleans()), max_size=150))
def test_rule_four_shares_the_cold_budget(steps):
    """Nothing is known to be carried yet, so each sender may place one set-up in a window, not a burst."""
    watch = Watch()
    watch.desk.list(2, kind=interface.SwitchListKind.CHANGES, started=watch.desk.now)
    start, window = watch.desk.now, watch.desk.controller.settings.fall_ns
    for number, ticks, transit in steps:
        watch.step(("call", number, 900, 1 if transit else 0))
        watch.wait(ticks * 5 * MS)
    times = [at for at, _, switch_id in watch.sends if switch_id == 102 and at < start + 13 * S]
    assert all(later - at >= window for at, later in zip(times, times[1:], strict=False))


@settings(derandomize=True, deadline=None, max_examples=40)
@given(STEPS)
def test_the_same_events_give_the_same_actions(steps):
    def play():
        watch, taken = Watch(), []
        plain = watch.take
        watch.take = lambda actions: (taken.extend(actions), plain(actions))
        for step in steps:
            watch.step(step)
        return taken

    assert play() == play()
