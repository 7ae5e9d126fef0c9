"""What happened since the start of the process, counted once each, where it happens. No text is made here."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum

from tansyspur.core.ports import EndReason


class Verdict(Enum):
    """What became of a call, as its caller was told."""

    SUCCESS = "success"  # it was answered
    BUSY = "busy"  # refused
    FAILURE = "failure"


class Delivery(Enum):
    """How the end of a call that stood reached its caller."""

    WRITTEN = "written"  # on the connection of its set-up
    REDIRECTED = "redirected"  # on another connection of callers
    OWED = "owed"  # no connection was there; it waits for one
    PAID = "paid"  # what was owed, written later
    EXPIRED = "expired"  # what was owed, given up


class Figures:
    def __init__(self) -> None:
        self.verdicts: dict[Verdict, dict[str, int]] = {verdict: {} for verdict in Verdict}
        self.attempts = 0  # written whole to a carrier switch
        self.reloads = 0  # files taken at SIGHUP
        self.bad_reloads = 0  # and turned down
        self.call_ends: Counter[EndReason] = Counter()  # of calls that stood
        self.deliveries: Counter[Delivery] = Counter()  # of the ends of calls that stood
        self.switch_losses = 0  # times that a switch with a connection was left without any
        self.channel_losses = 0  # times that the command channel's connection ended

    def know(self, classes: Iterable[str]) -> None:
        """Classes that are counted from now on; one that the settings no longer name keeps its count."""
        for name in classes:
            for counts in self.verdicts.values():
                counts.setdefault(name, 0)

    def ended(self, verdict: Verdict, class_name: str) -> None:
        """Guards against a name for each class that a broken caller makes up."""
        counts = self.verdicts[verdict]
        if class_name in counts:
            counts[class_name] += 1

    def attempt_written(self) -> None:
        self.attempts += 1
