"""The operators' console over TCP: one command line in, one response out, on a connection of its own."""

import asyncio
import contextlib
import re
from collections.abc import Callable

from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.metrics import Delivery
from tansyspur.core.ports import EndReason

MAX_COMMAND_BYTES = 256
COMMAND_TIMEOUT_S = 5.0  # clients that connect and send nothing are closed
RESPONSE_TIMEOUT_S = 2.0
DISCARD_TIMEOUT_S, MAX_DISCARD_BYTES = 0.5, 1 << 16  # for the rest of a line that is too long
MAX_WAITING_CLIENTS = 32
LISTEN_RETRY_S = 0.25
PREFIX = "gatekeeper"
NAME_DELIMITERS = re.compile(r"[:|@#,;\s]")  # characters that would end a metric name or a line

Log = Callable[..., None]


def statsd(gatekeeper: Gatekeeper) -> list[str]:
    """Return the current metrics as statsd lines: counters (c) since the start, and gauges (g)."""
    metrics = gatekeeper.metrics
    counters: dict[str, int] = {}
    for result, counts in metrics.setup_results.items():
        for class_name, count in counts.items():
            counters[f"{result.value}.{NAME_DELIMITERS.sub('_', class_name)}"] = count
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
    """Serves the commands STATUS, METRICS, PAUSE and RESUME; each connection brings one."""

    def __init__(self, gatekeeper: Gatekeeper, log: Log) -> None:
        self.gatekeeper, self.log = gatekeeper, log
        self.waiting_clients: dict[asyncio.StreamWriter, None] = {}  # no command received yet, oldest first
        self.server: asyncio.Server | None = None
        self.commands = {
            "STATUS": self._status,
            "METRICS": self._metrics,
            "PAUSE": self._pause,
            "RESUME": self._resume,
        }

    async def open(self, host: str, port: int) -> None:
        """Listen on the address, and retry while it is in use.

        A process that is being replaced may still hold it, which must not end this one.
        """
        while True:
            try:
                self.server = await asyncio.start_server(
                    self._on_connection, host, port, limit=MAX_COMMAND_BYTES
                )
            except OSError as error:
                self.log("warning", "console", f"cannot listen; retrying: {error}")
                await asyncio.sleep(LISTEN_RETRY_S)
                continue
            return self.log("notice", "console", "listening", address=f"{host}:{port}")

    def close(self) -> None:
        if self.server:
            self.server.close()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.waiting_clients) >= MAX_WAITING_CLIENTS:
            # Clients that send nothing must not keep others out: the one that has waited for longest is closed.
            oldest = next(iter(self.waiting_clients))
            del self.waiting_clients[oldest]
            oldest.transport.abort()
        self.waiting_clients[writer] = None
        with contextlib.suppress(OSError, TimeoutError):
            try:
                async with asyncio.timeout(COMMAND_TIMEOUT_S):
                    line = await reader.readuntil(b"\n")
            except asyncio.IncompleteReadError as error:
                line = error.partial  # a last line without a line end
            except asyncio.LimitOverrunError:
                line = b"?"
                await self._discard_rest_of_line(reader)
            finally:
                self.waiting_clients.pop(writer, None)
            if line:
                writer.write(self.respond(line.decode("ascii", "replace").strip()).encode())
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    await writer.drain()
        writer.close()

    async def _discard_rest_of_line(self, reader: asyncio.StreamReader) -> None:
        """Read and discard the rest of a line: a close with unread bytes causes a reset that overtakes the response."""
        remaining_bytes = MAX_DISCARD_BYTES
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while (
                    remaining_bytes > 0
                    and (chunk := await reader.read(remaining_bytes))
                    and b"\n" not in chunk
                ):
                    remaining_bytes -= len(chunk)

    def respond(self, command: str) -> str:
        """Return the response to a command, in upper or lower case."""
        handler = self.commands.get(command.upper())
        return handler() if handler else f"-ERR unknown call; there are {', '.join(self.commands)}\n"

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
