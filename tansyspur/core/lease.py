"""Leases of the calls that stand on one carrier switch: how long a call is kept without a sign that it still stands.

The end of a call is told by its switch. A switch that has vanished tells none, and neither does another process that
has taken its address meanwhile. So each call that stands holds a lease, which is renewed by signs of life of the very
process that holds the call. Once the lease has run out the call has to be taken for over, whatever discovery says or
fails to say.

A switch sends the release of a call on the connection of its set-up while it believes that to be open, else on any open
one, and once more on the next one that opens. So a call is confirmed by whatever comes on the connection of its set-up.
After that has ended, any connection of the same process confirms it; but once one of them has ended in silence, the
switch may still send there, and only connections that are opened later confirm it, as what it owes comes first on them.
If such a connection ends unheard, what was sent there may be lost for good, and nothing confirms the call any more.

A process is told apart by its connections: two belong to the same one if the older was heard from after the younger
came up, or if a call of the older one is released on the younger one. Where neither is seen, a connection that came
up soon after the older one ended is taken for the same process if discovery was heard all the while and told of no
restart.

No I/O, and no clock of its own: times are seconds of one monotonic clock.
"""

from collections.abc import Hashable
from dataclasses import dataclass

END_TOLD_S = 8.0  # PROTOCOL: within this an end is told whose release could not be sent
TELLING_S = 1.0  # of that, for this program and the way to the caller
LEASE_S = END_TOLD_S - TELLING_S
LATE_TIMER_S = 0.25  # a timer that is later than this shows that this program itself did not run
# What the kernel held back of an ended connection may be read so long after the next one came up.
OVERLAP_S = 0.1
# A machine that vanished, and another at its address, take longer than this; a connection that broke does not.
PROMPT_RETURN_S = 2.0


@dataclass(eq=False, slots=True)
class ProcessRun:
    """A process of the switch, as far as it can be told from outside."""

    confirmed_at: float  # the last sign of life on any of its connections
    opened_at: float  # when the latest of its connections that were heard came up
    lossy: bool = False  # a connection has ended in silence: the switch may take it for open
    returned_at: float | None = None  # when another connection was first heard after the last sign of life
    successor: "ProcessRun | None" = None  # whose connection that was; perhaps the same process


@dataclass(eq=False, slots=True)
class Connection:
    run: ProcessRun
    opened_at: float
    heard_at: float | None = None


@dataclass(eq=False, slots=True)
class StandingCall:
    run: ProcessRun
    connection: Connection | None  # that of its set-up, while it is open
    confirmed_at: float  # when that was last heard
    traceable: bool = True  # its release, if there was one, may still be heard


class StandingLeases:
    """Which process holds each call that stands, and which calls have not been confirmed in time."""

    def __init__(self) -> None:
        self._connections: dict[Hashable, Connection] = {}
        self._calls: dict[str, StandingCall] = {}

    # What is seen

    def connected(self, link: Hashable, now: float) -> None:
        self._connections[link] = Connection(ProcessRun(confirmed_at=now, opened_at=now), now)

    def received(self, link: Hashable, now: float) -> None:
        """Bytes have come on this connection."""
        connection = self._connections[link]
        run = connection.run
        if connection.heard_at is None:
            run.opened_at = max(run.opened_at, connection.opened_at)
        connection.heard_at = now
        run.confirmed_at, run.returned_at, run.successor = now, None, None
        for other in self._runs():
            if other is not run and other.returned_at is None:
                other.returned_at, other.successor = now, run
        for other in list(self._connections.values()):
            if other.run is not run and other.opened_at <= now - OVERLAP_S:
                self._merge(other.run, run)

    def disconnected(self, link: Hashable, silent: bool) -> None:
        """The connection has ended; silent: it was given up, and the switch may not know of it."""
        ended = self._connections.pop(link)
        ended.run.lossy = ended.run.lossy or silent
        for call in self._calls.values():
            if call.connection is ended:
                call.connection, call.confirmed_at = None, ended.heard_at or ended.opened_at
            elif call.connection is None and ended.heard_at is None:
                call.traceable, call.confirmed_at = False, self._confirmed_at(call)

    def call_answered(self, call_id: str, link: Hashable, now: float) -> None:
        connection = self._connections[link]
        self._calls[call_id] = StandingCall(connection.run, connection, now)

    def call_released(self, call_id: str, link: Hashable) -> None:
        """The switch told the end of a call that stood: this connection's process knew it."""
        call, told_by = self._calls.get(call_id), self._connections[link].run
        if call is not None and call.run is not told_by:
            self._merge(call.run, told_by)

    def call_ended(self, call_id: str) -> None:
        self._calls.pop(call_id, None)

    # What follows

    def next_expiry(self) -> float | None:
        """When the first lease runs out if nothing more is heard; None if no call stands."""
        return min((self._expires_at(call) for call in self._calls.values()), default=None)

    def expired(self, now: float, discovery_steady_since: float | None) -> list[str]:
        """The calls to be taken for over. discovery_steady_since: since when discovery is heard without a gap."""
        for call in self._calls.values():
            # A successor may have ended as well, and has a successor of its own then.
            while self._expires_at(call) <= now and self._vouched(call.run, discovery_steady_since):
                assert call.run.successor is not None  # it was vouched for
                self._merge(call.run, call.run.successor)
        return [call_id for call_id, call in self._calls.items() if self._expires_at(call) <= now]

    def needs_new_connection(self) -> bool:
        """Whether a call is confirmed by new connections only."""
        return any(
            call.connection is None and call.run.lossy and call.traceable for call in self._calls.values()
        )

    def _expires_at(self, call: StandingCall) -> float:
        return self._confirmed_at(call) + LEASE_S

    def _confirmed_at(self, call: StandingCall) -> float:
        if call.connection is not None:
            return call.connection.heard_at or call.connection.opened_at
        if not call.traceable:
            return call.confirmed_at
        return max(call.confirmed_at, call.run.opened_at if call.run.lossy else call.run.confirmed_at)

    def _vouched(self, run: ProcessRun, discovery_steady_since: float | None) -> bool:
        """Whether its successor is taken for the same process."""
        if run.returned_at is None or run.returned_at - run.confirmed_at > PROMPT_RETURN_S:
            return False
        return discovery_steady_since is not None and discovery_steady_since <= run.confirmed_at

    def _runs(self) -> set[ProcessRun]:
        standing = {call.run for call in self._calls.values()}
        return standing | {connection.run for connection in self._connections.values()}

    def _merge(self, run: ProcessRun, into: ProcessRun) -> None:
        into.confirmed_at = max(into.confirmed_at, run.confirmed_at)
        into.opened_at = max(into.opened_at, run.opened_at)
        into.lossy = into.lossy or run.lossy
        for other in self._runs():
            if other.successor is run:
                other.successor = into
        if into.successor is into:
            into.returned_at, into.successor = None, None
        for holder in (*self._connections.values(), *self._calls.values()):
            if holder.run is run:
                holder.run = into
