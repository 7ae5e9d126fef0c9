"""The operators' console: one line in, one answer out, on a connection of its own."""

import asyncio
import contextlib
import re
from collections.abc import Callable

from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.metrics import Delivery
from tansyspur.core.ports import EndReason

LONGEST_CALL = 256
CALL_S = 5.0  # some connect and say nothing
ANSWER_S = 2.0
REST_S, MOST_REST = 0.5, 1 << 16  # of a line that is too long
MOST_CALLERS = 32
RETRY_S = 0.25
PREFIX = "gatekeeper"
NO_NAME = re.compile(r"[:|@#,;\s]")  # what would end a name, or a line

Log = Callable[..., None]


def statsd(gatekeeper: Gatekeeper) -> list[str]:
    """The figures of this moment as statsd lines: counters (c) since the start, and gauges (g)."""
    metrics = gatekeeper.metrics
    counters: dict[str, int] = {}
    for verdict, counts in metrics.verdicts.items():
        for class_name, count in counts.items():
            counters[f"{verdict.value}.{NO_NAME.sub('_', class_name)}"] = count
    counters["backend_calls"] = metrics.attempts
    counters["reconfig_ok"], counters["reconfig_failed"] = metrics.reloads, metrics.rejected_reloads
    for reason in EndReason:
        counters[f"call_ends.{reason.value}"] = metrics.call_ends[reason]
    for delivery in Delivery:
        counters[f"end_deliveries.{delivery.value}"] = metrics.deliveries[delivery]
    counters["switch_losses"] = metrics.switch_losses
    counters["channel_losses"] = metrics.channel_losses
    gauges = {
        "inflight": len(gatekeeper.calls),
        "standing": sum(call.standing for call in gatekeeper.calls.values()),
        "hosts_unreached": sum(not switch.reachable for switch in gatekeeper.switches.values()),
        "hosts_listed": len(gatekeeper.listings),
        "hosts_down": len(gatekeeper.avoided_switches()),
    }
    lines = [f"{PREFIX}.{name}:{value}|c" for name, value in counters.items()]
    return lines + [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]


class Console:
    def __init__(self, gatekeeper: Gatekeeper, log: Log) -> None:
        self.gatekeeper, self.log = gatekeeper, log
        self.callers: dict[asyncio.StreamWriter, None] = {}  # that have not called yet, oldest first
        self.server: asyncio.Server | None = None
        self.calls = {
            "STATUS": self._status,
            "METRICS": self._metrics,
            "PAUSE": self._pause,
            "RESUME": self._resume,
        }

    async def open(self, host: str, port: int) -> None:
        """Guards against ending the process because the one it replaces still holds the address."""
        while True:
            try:
                self.server = await asyncio.start_server(self._called, host, port, limit=LONGEST_CALL)
            except OSError as error:
                self.log("warning", "console", f"cannot listen, will try again: {error}")
                await asyncio.sleep(RETRY_S)
                continue
            return self.log("notice", "console", "listening", address=f"{host}:{port}")

    def close(self) -> None:
        if self.server:
            self.server.close()

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.callers) >= MOST_CALLERS:
            # Guards against a crowd of silent callers: the one that has said nothing for longest goes.
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()
        self.callers[writer] = None
        with contextlib.suppress(OSError, TimeoutError):
            try:
                async with asyncio.timeout(CALL_S):
                    line = await reader.readuntil(b"\n")
            except asyncio.IncompleteReadError as cut:
                line = cut.partial  # a last line without its end
            except asyncio.LimitOverrunError:
                line = b"?"
                await self._read_away(reader)
            finally:
                self.callers.pop(writer, None)
            if line:
                writer.write(self.answer(line.decode("ascii", "replace").strip()).encode())
                async with asyncio.timeout(ANSWER_S):
                    await writer.drain()
        writer.close()

    async def _read_away(self, reader: asyncio.StreamReader) -> None:
        """Guards against closing on what is unread: the reset that follows would overtake the answer."""
        left = MOST_REST
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REST_S):
                while left > 0 and (piece := await reader.read(left)) and b"\n" not in piece:
                    left -= len(piece)

    def answer(self, call: str) -> str:
        known = self.calls.get(call.upper())
        return known() if known else f"-ERR unknown call; there are {', '.join(self.calls)}\n"

    def _status(self) -> str:
        state = self.gatekeeper.service_state
        return f"{'+OK' if self.gatekeeper.ready else '-ERR'} {state}\n"

    def _metrics(self) -> str:
        return "\n".join(["+OK", *statsd(self.gatekeeper), ".", ""])

    def _pause(self) -> str:
        if self.gatekeeper.ending:
            return "-ERR this process is ending\n"
        self.gatekeeper.pause()
        return "+OK paused\n"

    def _resume(self) -> str:
        if self.gatekeeper.ending:
            return "-ERR this process is ending\n"
        self.gatekeeper.resume()
        return f"+OK {self.gatekeeper.service_state}\n"
