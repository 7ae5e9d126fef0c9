"""Limits on the set-ups that callers' connections may have open, and on the parts of messages that wait there. No I/O.

Without them one connection could fill the memory, and the tables that all callers share, with set-ups that it sends
faster than they can be answered; and many connections could do it with messages that they never complete.
"""

from collections import Counter
from collections.abc import Hashable

MAX_PER_CONNECTION = 512
# What a set-up holds besides its message: its call, its task, and what the decision module keeps of it.
SET_UP_BYTES = 4 * 1024


class OpenSetUps:
    """Counts the open set-ups of each connection, and the bytes that all of them hold.

    max_bytes bounds the bytes of all connections together, SET_UP_BYTES for each set-up included.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._by_connection: Counter[Hashable] = Counter()
        self._open: dict[str, tuple[Hashable, int]] = {}  # connection and bytes, by call id

    def add(self, connection: Hashable, call_id: str, message_bytes: int) -> bool:
        """Count a set-up that is taken; returns False, and counts nothing, if it is beyond a limit."""
        size = SET_UP_BYTES + message_bytes
        if (
            self.count(connection) >= MAX_PER_CONNECTION
            or self.total_bytes + size > self.max_bytes
            or call_id in self._open
        ):
            return False
        self._open[call_id] = (connection, size)
        self._by_connection[connection] += 1
        self.total_bytes += size
        return True

    def remove(self, call_id: str) -> None:
        """The set-up has its final answer, or was given up. Does nothing if it is not open."""
        if call_id not in self._open:
            return
        connection, size = self._open.pop(call_id)
        self.total_bytes -= size
        self._by_connection[connection] -= 1
        if not self._by_connection[connection]:
            del self._by_connection[connection]

    def count(self, connection: Hashable) -> int:
        return self._by_connection.get(connection, 0)


class PartialMessages:
    """The bytes of messages that are not complete yet, by connection, and their sum."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._by_connection: dict[Hashable, int] = {}

    def set(self, connection: Hashable, partial_bytes: int) -> Hashable | None:
        """Note how much of a message a connection holds; returns the connection to close, if the sum is too large.

        It is the one that holds most.
        """
        self.total_bytes += partial_bytes - self._by_connection.pop(connection, 0)
        if partial_bytes:
            self._by_connection[connection] = partial_bytes
        if self.total_bytes <= self.max_bytes:
            return None
        return max(self._by_connection, key=self._by_connection.__getitem__)

    def remove(self, connection: Hashable) -> None:
        """The connection has ended."""
        self.total_bytes -= self._by_connection.pop(connection, 0)
