"""Unix time in nanoseconds that never steps back, and its conversion to the event loop's time for timers."""

import asyncio
import time


class Clock:
    """The monotonic clock plus its offset from Unix time at the start."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        return time.monotonic_ns() + self._offset_ns

    def loop_time(self, at_ns: int) -> float:
        """The event loop's time, in seconds, at a time of this clock."""
        return asyncio.get_running_loop().time() + (at_ns - self.now_ns()) / 1e9
