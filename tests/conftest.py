"""A controller on a small mesh, and the short forms the tests use."""

import pytest
from hypothesis import settings as hypothesis_settings

from tansyspur import interface
from tansyspur.policy import Controller
from tests import known_red

# Guards against a verdict that depends on how busy the machine is, or on luck.
hypothesis_settings.register_profile("steady", deadline=None, derandomize=True)
hypothesis_settings.load_profile("steady")


def pytest_collection_modifyitems(items):
    known_red.mark_expected_failures(items)


def pytest_terminal_summary(terminalreporter):
    known_red.write_summary(terminalreporter.write_line, terminalreporter.stats)


S = 1_000_000_000
MS = 1_000_000
OWN = 1
CHECK = interface.CallClass(
    "check", worth=1.0, objective_ns=2 * S, deadline_ns=9 * S, late_worth=0.25, holding_time_ns=10 * S
)
URGENT = interface.CallClass(
    "urgent", worth=8.0, objective_ns=S, deadline_ns=6 * S, late_worth=0.25, holding_time_ns=5 * S
)


def settings(**changed) -> interface.Settings:
    values = {
        "classes": (CHECK, URGENT),
        "own_exchange": OWN,
        "gatekeepers": 4,
        "release_delay_ns": 300 * MS,
        "cold_share": 0.3,
        "ramp_ns": 13 * S,
        "overload_factor": 4.0,
        "fall_ns": 1500 * MS,
        "max_attempts": 4,
        "may_message": True,
        "may_cancel": True,
        "max_retry_after_ns": 2 * S,
    }
    return interface.Settings(**{**values, **changed})


class Desk:
    """Drives one controller; exchange number n has id 100 + n."""

    def __init__(self, **changed) -> None:
        self.controller = Controller(settings(**changed), seed=5)
        self.now = 10 * S

    def list(
        self,
        *numbers,
        kind=interface.SwitchListKind.STALE_COPY,
        state=interface.SwitchState.IN_SERVICE,
        started=None,
    ):
        rows = tuple(interface.CarrierSwitch(100 + n, n, state, "z", started) for n in numbers)
        return self.feed(interface.SwitchList(kind, rows))

    def group(self, number, free, size=20):
        report = interface.LoadReport(free=free, size=size)
        return self.feed(interface.GroupReport(100 + number, interface.Outcome.ENDED, 0, report))

    def call(self, call_id, destination, **more):
        values = {"class_name": "check", "expires_ns": self.now + 3 * S, **more}
        return self.feed(interface.CallOffered(call_id, destination=destination, **values))

    def ended(self, call_id, number, outcome, attempt=0, elapsed=50 * MS, **more):
        return self.feed(interface.AttemptEnded(call_id, attempt, 100 + number, outcome, elapsed, **more))

    def stands(self, call_id, number, elapsed=50 * MS, attempt=0):
        return self.feed(interface.CallAnswered(call_id, attempt, 100 + number, elapsed))

    def feed(self, event):
        return self.controller.handle(self.now, event)

    def later(self, span_ns, timers):
        """Let time pass and fire the given timers' tokens."""
        self.now += span_ns
        return [action for token in timers for action in self.feed(interface.TimerDue(token))]


@pytest.fixture
def desk():
    made = Desk()
    made.list(1, 2, 3, 4)
    for number in (2, 3, 4):
        made.group(number, 20)
    return made


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def tokens(actions):
    return [action.token for action in of_kind(actions, interface.SetTimer)]
