"""Releases that are pending at a carrier switch: kept until a connection has delivered them. No I/O."""

from collections.abc import Hashable

MAX_PENDING = 1000


class PendingReleases:
    """Pending release messages by Call-ID, at most MAX_PENDING waiting for a connection.

    A release counts as delivered once any byte is received on its connection after it was written.
    """

    def __init__(self) -> None:
        self._pending: dict[str, bytes] = {}  # waiting for the next connection
        # written since bytes were last received on the connection, by connection
        self._written: dict[Hashable, dict[str, bytes]] = {}

    def keep(self, call_id: str, message: bytes) -> None:
        """Keep a release for the next connection; beyond MAX_PENDING it is dropped."""
        if len(self._pending) < MAX_PENDING:
            self._pending[call_id] = message

    def take_for(self, link: Hashable) -> list[bytes]:
        """Return all waiting releases. The caller writes them on this connection now."""
        pending, self._pending = self._pending, {}
        if pending:
            self._written.setdefault(link, {}).update(pending)
        return list(pending.values())

    def confirm(self, link: Hashable) -> None:
        """Bytes were received on the connection, so the releases written on it are delivered."""
        self._written.pop(link, None)

    def requeue(self, link: Hashable) -> None:
        """The connection ended: releases written since bytes were last received on it wait again."""
        for call_id, message in self._written.pop(link, {}).items():
            self.keep(call_id, message)

    def forget(self, call_id: str) -> None:
        """Remove a release that must not be sent any more."""
        for releases in (self._pending, *self._written.values()):
            releases.pop(call_id, None)
