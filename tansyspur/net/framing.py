"""Messages as slices of the chunk they were read in; only the rest of a split one is copied."""

LONGEST = 16 * 1024  # of one message


class FramingError(Exception):
    """What was read cannot be told apart into messages; the connection is of no use any more."""


class Chunks:
    """Bytes read from one connection, with the unfinished rest of earlier ones."""

    def __init__(self, longest: int = LONGEST) -> None:
        self.longest = longest
        self.whole = b""  # what the view is the rest of
        self.view = memoryview(self.whole)

    def feed(self, chunk: bytes) -> None:
        # The rest outlives its chunk, so here, and only here, it is copied.
        self.whole = bytes(self.view) + chunk if len(self.view) else chunk
        self.view = memoryview(self.whole)

    def find(self, mark: bytes, start: int = 0) -> int:
        """Where the mark stands in what has been read, at or after start; -1 if it has not come."""
        offset = len(self.whole) - len(self.view)
        at = self.whole.find(mark, offset + start)
        return at - offset if at >= 0 else -1

    def take(self, length: int) -> memoryview:
        taken, self.view = self.view[:length], self.view[length:]
        return taken

    def line(self) -> memoryview | None:
        """The next whole line without its end; None if it has not come."""
        end = self.find(b"\n")
        if max(end, 0 if end >= 0 else len(self.view)) > self.longest:
            raise FramingError("a line is too long")
        return self.take(end + 1)[:-1] if end >= 0 else None
