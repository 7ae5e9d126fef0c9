"""Leases of the calls that stand on one carrier switch: how long a call is kept without a sign that it still stands.

The end of a call is told by its switch. A switch that has vanished tells none, and neither does another process that
has taken its address meanwhile. So each call that stands holds a lease, which is renewed by signs of life of the very
process that holds the call. Once the lease has run out the call has to be taken for over, whatever discovery says or
fails to say.

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
# What the kernel held back of an ended connection may be read so long after the next one came up.
OVERLAP_S = 0.1
# A machine that vanished, and another at its address, take longer than this; a connection that broke does not.
PROMPT_RETURN_S = 2.0


@dataclass(eq=False, slots=True)
class ProcessRun:
    """A process of the switch, as far as it can be told from outside."""

    confirmed_at: float  # the last sign of life
    returned_at: float | None = None  # when another connection was first heard after that
    successor: "ProcessRun | None" = None  # whose connection that was; perhaps the same process


@dataclass(eq=False, slots=True)
class Connection:
    run: ProcessRun
    opened_at: float


class StandingLeases:
    """Which process holds each call that stands, and which calls have not been vouched for in time."""

    def __init__(self) -> None:
        self._connections: dict[Hashable, Connection] = {}
        self._calls: dict[str, ProcessRun] = {}

    # What is seen

    def connected(self, link: Hashable, now: float) -> None:
        self._connections[link] = Connection(ProcessRun(confirmed_at=now), now)

    def heard(self, link: Hashable, now: float) -> None:
        """Bytes have come on this connection."""
        run = self._connections[link].run
        run.confirmed_at, run.returned_at, run.successor = now, None, None
        for other in self._runs():
            if other is not run and other.returned_at is None:
                other.returned_at, other.successor = now, run
        for connection in list(self._connections.values()):
            if connection.run is not run and connection.opened_at <= now - OVERLAP_S:
                self._merge(connection.run, run)

    def disconnected(self, link: Hashable) -> None:
        self._connections.pop(link, None)

    def stands(self, call_id: str, link: Hashable) -> None:
        self._calls[call_id] = self._connections[link].run

    def released(self, call_id: str, link: Hashable) -> None:
        """The switch told the end of a call that stood: this connection's process knew it."""
        held_by, told_by = self._calls.get(call_id), self._connections[link].run
        if held_by is not None and held_by is not told_by:
            self._merge(held_by, told_by)

    def over(self, call_id: str) -> None:
        self._calls.pop(call_id, None)

    # What follows

    def next_expiry(self) -> float | None:
        """When the first lease runs out if nothing more is heard; None if no call stands."""
        return min((run.confirmed_at + LEASE_S for run in self._calls.values()), default=None)

    def expired(self, now: float, discovery_steady_since: float | None) -> list[str]:
        """The calls to be taken for over. discovery_steady_since: since when discovery is heard without a gap."""
        for run in {run for run in self._calls.values() if run.confirmed_at + LEASE_S <= now}:
            # A successor may have ended as well, and has a successor of its own then.
            while run.confirmed_at + LEASE_S <= now and self._vouched(run, discovery_steady_since):
                run = self._merge_into_successor(run)
        return [call_id for call_id, run in self._calls.items() if run.confirmed_at + LEASE_S <= now]

    def unconfirmed(self, now: float, seconds: float) -> int:
        """How many calls have had no sign of life from their process for so long."""
        return sum(run.confirmed_at + seconds <= now for run in self._calls.values())

    def _vouched(self, run: ProcessRun, discovery_steady_since: float | None) -> bool:
        """Whether its successor is taken for the same process."""
        if run.returned_at is None or run.returned_at - run.confirmed_at > PROMPT_RETURN_S:
            return False
        return discovery_steady_since is not None and discovery_steady_since <= run.confirmed_at

    def _merge_into_successor(self, run: ProcessRun) -> ProcessRun:
        assert run.successor is not None  # it was vouched for
        self._merge(run, run.successor)
        return run.successor

    def _runs(self) -> set[ProcessRun]:
        return {*self._calls.values(), *(connection.run for connection in self._connections.values())}

    def _merge(self, run: ProcessRun, into: ProcessRun) -> None:
        into.confirmed_at = max(into.confirmed_at, run.confirmed_at)
        for other in self._runs():
            if other.successor is run:
                other.successor = into
        for connection in self._connections.values():
            if connection.run is run:
                connection.run = into
        for call_id, held_by in self._calls.items():
            if held_by is run:
                self._calls[call_id] = into
