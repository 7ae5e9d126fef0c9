"""Ids that must not be used again for a while, in bounded memory. No I/O, no clock."""

from itertools import chain


class RecentIds:
    """Remembers each id for lifetime_s at least, and for twice as long at most.

    The ids stand in two generations of at most max_ids each; the older one is dropped when the newer one is lifetime_s
    old or full. Times are seconds of one monotonic clock.
    """

    def __init__(self, lifetime_s: float, max_ids: int) -> None:
        self.lifetime_s, self.max_ids = lifetime_s, max_ids
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._newer_since = 0.0

    def add(self, identifier: str, now: float) -> None:
        if now - self._newer_since >= self.lifetime_s or len(self._newer) >= self.max_ids:
            self._older, self._newer = self._newer, set()
            self._newer_since = now
        self._newer.add(identifier)

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._newer or identifier in self._older

    def __iter__(self):
        return chain(self._older, self._newer)
