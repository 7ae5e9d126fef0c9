"""Splits the bytes of a connection into messages without copying.

Messages are slices of the chunk in which they were read; only the unfinished part of a split message is copied.
"""

MAX_MESSAGE_BYTES = 16 * 1024


class FramingError(Exception):
    """The bytes cannot be split into messages; the connection is unusable from here on."""


class Chunks:
    """Bytes read from one connection and not consumed yet; a line may have at most max_bytes."""

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_bytes = max_bytes
        self.data = b""  # the buffer behind the view
        self.view = memoryview(self.data)

    def feed(self, chunk: bytes) -> None:
        # The unfinished part outlives its chunk, so it is copied, here and in release_consumed().
        self.data = bytes(self.view) + chunk if len(self.view) else chunk
        self.view = memoryview(self.data)

    def find(self, delimiter: bytes, start: int = 0) -> int:
        """Return the offset of the delimiter in the unconsumed bytes, at or after start; -1 if it has not arrived."""
        offset = len(self.data) - len(self.view)
        position = self.data.find(delimiter, offset + start)
        return position - offset if position >= 0 else -1

    def take(self, length: int) -> memoryview:
        """Consume and return the next length bytes."""
        taken, self.view = self.view[:length], self.view[length:]
        return taken

    def release_consumed(self) -> None:
        """Let go of the consumed part of the buffer, which an idle connection would otherwise hold."""
        if len(self.view) < len(self.data):
            self.data = bytes(self.view)
            self.view = memoryview(self.data)

    def take_line(self) -> memoryview | None:
        """Consume the next complete line and return it without its line end; None if it has not arrived.

        Raises FramingError for a line of more than max_bytes.
        """
        end = self.find(b"\n")
        if max(end, 0 if end >= 0 else len(self.view)) > self.max_bytes:
            raise FramingError(f"line longer than {self.max_bytes} bytes")
        return self.take(end + 1)[:-1] if end >= 0 else None
