"""Connections on which a second copy of a final response may still come. No I/O and no clock of its own.

A switch matches by Call-ID and answers every INVITE with CSeq 1, so nothing distinguishes a copy of its last response
to a call from its response to the next attempt on the same connection.
"""

from collections.abc import Hashable

COPY_WINDOW_S = 0.06  # after a final response, in which a copy may come


class RecentResponses:
    """The final responses of the last COPY_WINDOW_S, by call and connection. Times are loop times, in seconds."""

    def __init__(self) -> None:
        self._ends: dict[tuple[str, Hashable], float] = {}  # end of the window, in the order of the responses

    def add(self, call_id: str, link: Hashable, now: float) -> None:
        """Note a final response to this call on this connection."""
        self._remove_expired(now)
        self._ends.pop((call_id, link), None)  # keeps the order
        self._ends[call_id, link] = now + COPY_WINDOW_S

    def windows(self, call_id: str, now: float) -> dict[Hashable, float]:
        """Return the connections on which a copy of a response to this call may still come, and until when."""
        self._remove_expired(now)
        return {link: end for (of_call, link), end in self._ends.items() if of_call == call_id}

    def _remove_expired(self, now: float) -> None:
        while self._ends:
            first = next(iter(self._ends))
            if self._ends[first] > now:
                return
            del self._ends[first]
