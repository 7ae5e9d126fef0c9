"""Decides when the next connection to a server is opened beside those that have not answered yet. No I/O.

A server that is slow and a connection that is lost without a sign look the same: nothing is received. Giving up the
connection after a fixed time never reaches a server that is slower than that, and waiting longer for it keeps a lost
connection for longer. So the attempts overlap, like the connection attempts of RFC 8305, section 5, and the hedged
requests of Dean and Barroso, "The Tail at Scale" (2013): a late attempt is kept, another one starts beside it, and the
first that delivers something is used.

All times are loop times in seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# A dial that gets no response is overtaken by a fresh one. It is later than the first retransmission of TCP's SYN.
DIAL_OVERTAKEN_AFTER_S = 1.25
SILENCE_TIMEOUT_S = 2.5  # discovery sends a line each second
RECONNECT_DELAY_S = 0.25
MAX_ATTEMPTS = 4  # connections at a time that have not answered, or have fallen silent


@dataclass
class AttemptTimes:
    """What has happened to one attempt so far."""

    started_at: float
    connected_at: float | None = None
    received_at: float | None = None  # its last usable message
    ended_at: float | None = None

    def next_attempt_at(self) -> float:
        """When the next attempt is due if this is the newest one and nothing more happens to it."""
        if self.ended_at is not None:
            return self.ended_at + RECONNECT_DELAY_S
        if self.received_at is not None:
            return self.received_at + SILENCE_TIMEOUT_S
        if self.connected_at is not None:
            return self.connected_at + SILENCE_TIMEOUT_S
        return self.started_at + DIAL_OVERTAKEN_AFTER_S


def attempt_to_drop(started_at: Sequence[float]) -> int:
    """Index of the attempt to give up, so that another one can be started.

    started_at holds the start of each open attempt, oldest first; there must be two at least. The oldest is kept, as a
    slow server answers it first. Of the others, the one that started closest after its predecessor is dropped: the ages
    of those that stay grow without limit, so any server is waited for long enough by one of them, also if the oldest is
    lost.
    """
    return min(range(1, len(started_at)), key=lambda index: started_at[index] - started_at[index - 1])
