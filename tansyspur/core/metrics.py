"""Counters since the start of the process. Each event is counted once, where it happens.

This module formats nothing; net/console.py writes the counters as statsd lines.
"""

from collections import Counter
from collections.abc import Iterable
from enum import Enum

from tansyspur.core.ports import EndReason


class SetUpResult(Enum):
    """The final answer to a caller's set-up. The values are part of the metric names."""

    SUCCESS = "success"  # answered by the called side
    BUSY = "busy"  # refused
    FAILURE = "failure"


class Delivery(Enum):
    """How the release of an answered call reached its caller. The values are metric labels and log texts."""

    WRITTEN = "written"  # on the connection of its set-up
    REDIRECTED = "redirected"  # on another connection of callers
    PENDING = "owed"  # no connection was open; the release waits for one
    DELIVERED_LATE = "paid"  # a pending release, written later
    EXPIRED = "expired"  # dropped: it stayed pending too long, or too many were pending


class Metrics:
    def __init__(self) -> None:
        self.setup_results: dict[SetUpResult, dict[str, int]] = {result: {} for result in SetUpResult}
        self.attempts = 0  # set-ups completely written to a carrier switch
        self.reloads = 0  # configurations accepted at SIGHUP
        self.rejected_reloads = 0  # configurations rejected at SIGHUP
        self.call_ends: Counter[EndReason] = Counter()  # of answered calls
        self.deliveries: Counter[Delivery] = Counter()  # of the releases of answered calls
        self.switch_losses = 0  # times that a switch lost its last connection
        self.channel_losses = 0  # times that a connection of the command channel ended

    def add_classes(self, classes: Iterable[str]) -> None:
        """Count calls of these classes from now on. A class that the settings no longer name keeps its count."""
        for name in classes:
            for counts in self.setup_results.values():
                counts.setdefault(name, 0)

    def count_setup_result(self, result: SetUpResult, class_name: str) -> None:
        """Count a call. Unknown classes are ignored, so that a faulty caller cannot create metrics without end."""
        counts = self.setup_results[result]
        if class_name in counts:
            counts[class_name] += 1

    def attempt_written(self) -> None:
        self.attempts += 1
