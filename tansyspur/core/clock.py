"""Unix time that never steps back, and the event loop's time for the timers."""

import asyncio
import time


class Clock:
    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        return time.monotonic_ns() + self._offset_ns

    def loop_time(self, at_ns: int) -> float:
        """The event loop's time at a Unix nanosecond."""
        return asyncio.get_running_loop().time() + (at_ns - self.now_ns()) / 1e9
