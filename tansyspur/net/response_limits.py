"""How long a carrier switch may take to respond on a connection, adapted to a switch that is slow. No I/O.

With limits that never change, a switch that is slower than they are cannot answer at all: each connection is closed
before the switch has responded on it, and the next one gets the same time. So the limits back off like a retransmission
timer (RFC 6298, section 5.5) while there is no response, and return to their base with the first prompt response.
"""

import math

MAX_FACTOR = 4


class ResponseLimits:
    """The limits of one switch, in seconds, shared by its connections.

    suspect_after_s: without a response to a ping, a connection gets no new set-up from then on. ping_timeout_s: it is
    closed. partial_message_timeout_s: a message that has begun must be complete by then.
    """

    def __init__(
        self, suspect_after_s: float, ping_timeout_s: float, partial_message_timeout_s: float
    ) -> None:
        self._base_suspect_after_s = suspect_after_s
        self._base_ping_timeout_s = ping_timeout_s
        self._base_partial_message_timeout_s = partial_message_timeout_s
        self._factor = 1
        self._backed_off_at = -math.inf  # loop time

    @property
    def suspect_after_s(self) -> float:
        """Comes before ping_timeout_s by a fixed time, in which another connection can be opened."""
        return self.ping_timeout_s - (self._base_ping_timeout_s - self._base_suspect_after_s)

    @property
    def ping_timeout_s(self) -> float:
        return self._base_ping_timeout_s * self._factor

    @property
    def partial_message_timeout_s(self) -> float:
        return self._base_partial_message_timeout_s * self._factor

    def back_off(self, opened_at: float, now: float) -> None:
        """A connection that was opened at opened_at was closed at a limit before the switch had responded on it.

        Connections that were opened before the last change count once: they did not have the present limits.
        """
        if opened_at > self._backed_off_at:
            self._factor = min(MAX_FACTOR, self._factor * 2)
            self._backed_off_at = now

    def ping_answered(self, after_s: float) -> None:
        """The response to a ping was complete after_s seconds after the ping."""
        if after_s <= self._base_suspect_after_s:
            self._factor = 1
        while after_s > self.ping_timeout_s and self._factor < MAX_FACTOR:
            self._factor *= 2
