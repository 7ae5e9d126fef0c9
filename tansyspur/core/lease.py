"""Leases of the standing calls on one carrier switch: how long a call is kept without a byte received from its switch.

A switch reports the end of a call with a release. A switch that has vanished sends none, and neither does another
process that has taken its address since. So each standing call holds a lease, which is renewed by bytes received from
the very process that holds the call. Once the lease has run out the call is taken as ended, whatever discovery
reports or fails to report.

A switch sends the release of a call on the connection of its set-up while it believes that connection to be open, else
on any open one, and once more on the next one that opens. So a call is confirmed by any byte received on the connection
of its set-up. After that connection has ended, any connection of the same process confirms the call. But once a
connection of the process has ended silently, the switch may still send there, and only connections opened later
confirm the call, as the switch sends its pending releases on them first. If such a connection ends before anything was
received on it, a release sent there may be lost for good, and nothing confirms the call any more.

Processes are distinguished by their connections. Two connections belong to the same process if bytes were received on
the older one after the younger one was opened, or if a call of the older one is released on the younger one. Where
neither is seen, a connection that was opened soon after the older one ended is taken as the same process if discovery
was received without a gap and reported no restart.

This module does no I/O and has no clock: times are seconds of one monotonic clock.
"""

from collections.abc import Hashable
from dataclasses import dataclass

END_REPORT_LIMIT_S = 8.0  # PROTOCOL: callers learn within this time of an end whose release could not be sent
REPORTING_MARGIN_S = 1.0  # part of it, for this program and the way to the caller
LEASE_S = END_REPORT_LIMIT_S - REPORTING_MARGIN_S
LATE_TIMER_S = 0.25  # a timer that is later than this shows that this program itself did not run
# Bytes that the kernel held of an ended connection may be read up to this long after the next one was opened.
LATE_READ_S = 0.1
# When a machine vanishes and another takes its address, the gap is longer; after a broken connection it is shorter.
MAX_RECONNECT_GAP_S = 2.0


@dataclass(eq=False, slots=True)
class SwitchProcess:
    """A process of the switch, as far as it can be distinguished from outside."""

    confirmed_at: float  # last time that a byte was received on any of its connections
    opened_at: float  # when the latest of its connections on which bytes were received was opened
    may_lose_releases: bool = False  # a connection has ended silently: the switch may take it for open
    # when bytes were first received on another process's connection after confirmed_at
    successor_at: float | None = None
    successor: "SwitchProcess | None" = None  # that process, which may be this one


@dataclass(eq=False, slots=True)
class Connection:
    process: SwitchProcess
    opened_at: float
    received_at: float | None = None  # last time that a byte was received


@dataclass(eq=False, slots=True)
class StandingCall:
    process: SwitchProcess
    connection: Connection | None  # that of its set-up, while it is open
    confirmed_at: float  # last time that a byte was received on that connection
    confirmable: bool = True  # its release, if it was sent, can still arrive


class StandingLeases:
    """Tracks which process holds each standing call, and which calls have not been confirmed in time.

    The methods take the connection as link, which is any hashable value that identifies it.
    """

    def __init__(self) -> None:
        self._connections: dict[Hashable, Connection] = {}
        self._calls: dict[str, StandingCall] = {}

    # Events

    def connected(self, link: Hashable, now: float) -> None:
        self._connections[link] = Connection(SwitchProcess(confirmed_at=now, opened_at=now), now)

    def received(self, link: Hashable, now: float) -> None:
        """Bytes were received on this connection."""
        connection = self._connections[link]
        process = connection.process
        if connection.received_at is None:
            process.opened_at = max(process.opened_at, connection.opened_at)
        connection.received_at = now
        process.confirmed_at, process.successor_at, process.successor = now, None, None
        for other in self._processes():
            if other is not process and other.successor_at is None:
                other.successor_at, other.successor = now, process
        for older in list(self._connections.values()):
            if older.process is not process and older.opened_at <= now - LATE_READ_S:
                self._merge(older.process, process)

    def disconnected(self, link: Hashable, silent: bool) -> None:
        """The connection has ended. silent: it was given up, so that the switch may still take it for open."""
        ended = self._connections.pop(link)
        ended.process.may_lose_releases = ended.process.may_lose_releases or silent
        for call in self._calls.values():
            if call.connection is ended:
                call.connection, call.confirmed_at = None, ended.received_at or ended.opened_at
            elif call.connection is None and ended.received_at is None:
                call.confirmable, call.confirmed_at = False, self._confirmed_at(call)

    def call_answered(self, call_id: str, link: Hashable, now: float) -> None:
        connection = self._connections[link]
        self._calls[call_id] = StandingCall(connection.process, connection, now)

    def call_released(self, call_id: str, link: Hashable) -> None:
        """The switch released a standing call on this connection, so this connection's process held the call."""
        call, process = self._calls.get(call_id), self._connections[link].process
        if call is not None and call.process is not process:
            self._merge(call.process, process)

    def call_ended(self, call_id: str) -> None:
        self._calls.pop(call_id, None)

    # Queries

    def next_expiry(self) -> float | None:
        """When the first lease runs out if nothing more is received; None if no call is standing."""
        return min((self._expires_at(call) for call in self._calls.values()), default=None)

    def expired(self, now: float, discovery_steady_since: float | None) -> list[str]:
        """Ids of the calls to be taken as ended.

        discovery_steady_since: the time since which discovery is received without a gap, None if it is not received.
        """
        for call in self._calls.values():
            # The successor may have ended as well, and then has a successor of its own.
            while self._expires_at(call) <= now and self._continues_in_successor(
                call.process, discovery_steady_since
            ):
                assert call.process.successor is not None  # checked by _continues_in_successor
                self._merge(call.process, call.process.successor)
        return [call_id for call_id, call in self._calls.items() if self._expires_at(call) <= now]

    def needs_new_connection(self) -> bool:
        """Whether there is a call that only a new connection can confirm."""
        return any(
            call.connection is None and call.process.may_lose_releases and call.confirmable
            for call in self._calls.values()
        )

    def _expires_at(self, call: StandingCall) -> float:
        return self._confirmed_at(call) + LEASE_S

    def _confirmed_at(self, call: StandingCall) -> float:
        if call.connection is not None:
            return call.connection.received_at or call.connection.opened_at
        if not call.confirmable:
            return call.confirmed_at
        return max(
            call.confirmed_at,
            call.process.opened_at if call.process.may_lose_releases else call.process.confirmed_at,
        )

    def _continues_in_successor(self, process: SwitchProcess, discovery_steady_since: float | None) -> bool:
        """Whether the successor is taken as the same process."""
        if process.successor_at is None or process.successor_at - process.confirmed_at > MAX_RECONNECT_GAP_S:
            return False
        return discovery_steady_since is not None and discovery_steady_since <= process.confirmed_at

    def _processes(self) -> set[SwitchProcess]:
        with_calls = {call.process for call in self._calls.values()}
        return with_calls | {connection.process for connection in self._connections.values()}

    def _merge(self, process: SwitchProcess, into: SwitchProcess) -> None:
        """Treat both as one process: into takes over the calls and connections of the other."""
        into.confirmed_at = max(into.confirmed_at, process.confirmed_at)
        into.opened_at = max(into.opened_at, process.opened_at)
        into.may_lose_releases = into.may_lose_releases or process.may_lose_releases
        for other in self._processes():
            if other.successor is process:
                other.successor = into
        if into.successor is into:
            into.successor_at, into.successor = None, None
        for holder in (*self._connections.values(), *self._calls.values()):
            if holder.process is process:
                holder.process = into
