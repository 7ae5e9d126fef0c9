"""Releases that a carrier switch is owed: kept until they were written on a connection that lived on. No I/O."""

from collections.abc import Hashable

MOST_KEPT = 1000


class OwedReleases:
    """By Call-ID. A release counts as delivered once its connection is heard after it was written."""

    def __init__(self) -> None:
        self._kept: dict[str, bytes] = {}  # for the next connection
        self._written: dict[Hashable, dict[str, bytes]] = {}  # since the connection was last heard

    def keep(self, call_id: str, message: bytes) -> None:
        if len(self._kept) < MOST_KEPT:
            self._kept[call_id] = message

    def sent_on(self, link: Hashable) -> list[bytes]:
        """All that is kept, to be written on this connection now."""
        kept, self._kept = self._kept, {}
        if kept:
            self._written.setdefault(link, {}).update(kept)
        return list(kept.values())

    def heard(self, link: Hashable) -> None:
        self._written.pop(link, None)

    def lost(self, link: Hashable) -> None:
        """The connection ended: what was written since it was last heard goes out again."""
        for call_id, message in self._written.pop(link, {}).items():
            self.keep(call_id, message)

    def forget(self, call_id: str) -> None:
        """The release must not leave any more."""
        for releases in (self._kept, *self._written.values()):
            releases.pop(call_id, None)
