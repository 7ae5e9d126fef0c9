"""Command line: `python -m tansyspur [--operator FILE]` runs the gatekeeper, a sub-command runs one of the tools.

Program creates the parts of the gatekeeper and connects them. It starts them, reloads the configuration at SIGHUP,
takes over from a running process of the same name, hands over to the next one, and shuts down at SIGTERM or SIGINT.

Exit codes: 0 ended on request, 1 cannot run (for example, an address is in use), 2 unusable configuration.
"""

import argparse
import asyncio
import contextlib
import logging
import random
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from tansyspur import config as configuration
from tansyspur import interface
from tansyspur.core.gatekeeper import Gatekeeper
from tansyspur.core.ports import Switch
from tansyspur.iax2.auth import Registrar, Registration
from tansyspur.iax2.back import Iax2Switch
from tansyspur.iax2.front import Iax2Front, reject_new_leg
from tansyspur.iax2.media import Bridge
from tansyspur.iax2.transport import Endpoint
from tansyspur.net import handover
from tansyspur.net.channel import Channel
from tansyspur.net.console import Console
from tansyspur.net.event_store import EventStore
from tansyspur.net.handover import Handover, Partner
from tansyspur.net.handover_messages import (
    MAX_LINE_BYTES,
    CallEnd,
    CallerRelease,
    ConfigurationRead,
    EventsStored,
    Message,
    Sender,
    Serving,
    SwitchRelease,
    TakenIds,
)
from tansyspur.net.jsonlines import JsonLinesFront
from tansyspur.net.peers import Peers, parse_address
from tansyspur.net.sip import SipSwitch
from tansyspur.syslog import LibraryLogHandler, Syslog

if TYPE_CHECKING:
    from tansyspur.cdr.export import CdrFile

ACCEPT_AFTER_SIGTERM_S = 0.6  # new connections keep arriving for 0.4 s after SIGTERM
EXIT_MARGIN_S = 0.45  # for the last messages and the exit itself, before SIGKILL may come
KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL comes at least this long after the longest deadline of a class
MAX_COUNTED_DEADLINE_S = 3.0  # the platform counts a longer deadline as this one
MAX_COUNTED_DEADLINE_REPLACED_S = 5.0  # or as this one, if another process takes over the callers
CHANNEL_CATCH_UP_TIMEOUT_S = 4.0  # a new process must be ready within 6 s of its start
CONNECTIONS_MEMORY_SHARE = 1 / 3  # of the memory limit, for the buffers of callers' connections
MAX_CONNECTION_BYTES = 48 * 1024  # a message that is not complete, and what was read behind it
FIRST_DIAL_TIMEOUT_S = 1.5  # an unreachable switch must not delay the gatekeeper's readiness for longer


def earliest_kill_s(max_deadline_s: float, counted_s: float = MAX_COUNTED_DEADLINE_S) -> float:
    """The shortest time from SIGTERM to the platform's SIGKILL, in seconds.

    Deadlines longer than counted_s count as counted_s.
    """
    return min(counted_s, max_deadline_s) + KILL_AFTER_DEADLINE_S


class Program:
    """The gatekeeper process. Must be created in the running event loop.

    Raises OSError if an address is in use.
    """

    def __init__(self, config: configuration.Config, log: Syslog, operator_path: str | None) -> None:
        self.config, self.log, self.operator_path = config, log, operator_path
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.sip_switches: list[SipSwitch] = []
        self.bridge, self.rng = Bridge(), random.Random(config.seed)
        self.registrar = Registrar(config.iax2.peers if config.iax2 else {}, self.rng, log)
        self.endpoint = Endpoint(log, self.rng)
        self.gatekeeper = Gatekeeper(config.settings, config.seed, self.make_switch, log)
        self.records = self.open_records(config.records_file) if config.records_file else None
        self.console = Console(self.gatekeeper, log)
        self.peers = Peers(list(config.peers), config.peers_all, self.gatekeeper.peer_message, log)
        directory = handover.directory()
        self.event_store = directory and EventStore(directory, config.name, config.seed, log)
        self.channel = Channel(
            config.channel,
            self.gatekeeper.list_changed,
            self.gatekeeper.spawn,
            log,
            self.gatekeeper.metrics,
            self.store_event,
        )
        # Listening sockets: taken from the predecessor if one runs, and offered to the successor.
        path = handover.socket_path(config.name)
        inherited = handover.request_sockets(path, log) if path else None
        self.sockets, self.predecessor_socket = inherited or ({}, None)
        self.predecessor: Partner | None = None
        self.handover = path and Handover(
            path,
            self.sockets,
            self.on_successor_message,
            self.on_successor_changed,
            self.gatekeeper.spawn,
            log,
        )
        if "callers" not in self.sockets:
            self.sockets["callers"] = handover.bind_socket(*config.listen)
        if config.peer_listen and config.settings.may_message:
            if "peers" not in self.sockets:
                self.sockets["peers"] = handover.bind_socket(
                    *parse_address(config.peer_listen), socket.SOCK_DGRAM
                )
            self.gatekeeper.messenger = self.peers
        self.front = JsonLinesFront(
            self.gatekeeper, log, self.max_connections(), self.sockets["callers"], config.limits.memory_mb
        )
        self.front.share_taken_ids = self.send_to_other_process
        self.iax2_front = self.make_iax2_front(config.iax2) if config.iax2 else None

    def make_switch(
        self, name: str, address: str, on_report: Callable[[interface.LoadReport], None]
    ) -> Switch:
        iax2 = self.config.iax2
        iax2_switch = iax2.switches.get(name) if iax2 else None
        if iax2 and iax2_switch:
            return Iax2Switch(
                name,
                self.endpoint,
                self.registrar,
                self.bridge,
                iax2.peers[iax2_switch.peer],
                iax2.username,
                iax2_switch.circuits,
                iax2_switch.context,
                iax2_switch.qualify_s,
                on_report,
                self.log,
            )
        self.sip_switches = [switch for switch in self.sip_switches if not switch.retired]
        metrics, dial_timeout_s = self.gatekeeper.metrics, self.config.dial_timeout_s
        self.sip_switches.append(
            SipSwitch(
                name,
                address,
                on_report,
                self.log,
                dial_timeout_s,
                metrics,
                self.discovery_steady_since,
                self.send_to_other_process,
            )
        )
        return self.sip_switches[-1]

    def discovery_steady_since(self) -> float | None:
        return self.channel.steady_since

    def open_records(self, path: str) -> "CdrFile":
        from tansyspur.cdr.export import CdrFile
        from tansyspur.cdr.record import record_from_call

        records, own_exchange = (
            CdrFile(path, self.config.name, self.log),
            self.config.settings.own_exchange or 0,
        )
        self.gatekeeper.recorder = lambda completed: records(record_from_call(completed, own_exchange))
        return records

    def make_iax2_front(self, iax2: configuration.Iax2Config) -> Iax2Front:
        return Iax2Front(
            self.gatekeeper,
            self.registrar,
            iax2.number_routes,
            self.bridge,
            self.rng,
            self.log,
            iax2.max_calls,
            iax2.allow_guests,
        )

    def max_connections(self) -> int:
        """Limit of callers' connections. During a hand-over, both processes share one budget of file descriptors.

        What the connections may hold of messages that are not complete or not handled must fit in the memory.
        """
        shared = self.predecessor or self.handover and self.handover.successor
        by_descriptors = self.config.limits.sockets * (3 if shared else 6) // 10
        by_memory = int(
            self.config.limits.memory_mb * 2**20 * CONNECTIONS_MEMORY_SHARE / MAX_CONNECTION_BYTES
        )
        callers_hold = self.config.limits.sockets // 3  # at most, PROTOCOL says
        return min(by_descriptors, max(by_memory, callers_hold))

    # Starting

    async def run(self) -> int:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.config.console:
            self.gatekeeper.spawn(self.console.open(*self.config.console), "console")
        if self.records:
            self.records.start()
        self.channel.load_known_events(dict(self.config.known_events))
        self.apply_events_of_others()
        self.channel.start()
        if self.predecessor_socket:
            await self.take_over(self.predecessor_socket)
        else:
            await self.start_serving()
            if self.config.iax2:
                await self.open_iax2(self.config.iax2)
            self.gatekeeper.spawn(self.wait_for_first_dials(), "start").add_done_callback(self.mark_started)
        if self.event_store and not self.predecessor:
            self.event_store.remove_abandoned()
        address = ":".join(map(str, self.config.listen))
        self.log("notice", "start", "listening", name=self.config.name, address=address)
        await self.stop_requested.wait()
        await self.shut_down()
        return 0

    def mark_started(self, _: object = None) -> None:
        self.gatekeeper.started = True

    async def wait_for_first_dials(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_DIAL_TIMEOUT_S):
                while pending := [
                    switch for switch in self.sip_switches if not switch.first_dial_done.is_set()
                ]:
                    await pending[0].first_dial_done.wait()

    async def start_serving(self) -> None:
        await self.front.start_accepting()
        if "peers" in self.sockets:
            await self.peers.open(self.sockets["peers"])
            self.gatekeeper.messenger = self.peers
        if self.handover:
            await self.handover.open()

    async def open_iax2(self, iax2: configuration.Iax2Config) -> None:
        assert self.iax2_front
        self.endpoint.on_new = self.iax2_front.on_new
        self.endpoint.is_available = lambda: self.gatekeeper.accepts_callers
        await self.endpoint.open(*iax2.listen)
        self.log("notice", "start", "listening for IAX2", address=":".join(map(str, iax2.listen)))
        for name, refresh_s in iax2.registrations.items():
            peer = iax2.peers[name]
            Registration(self.endpoint, peer, iax2.username, refresh_s, self.log).start()

    # Hand-over from the predecessor and to the successor

    async def take_over(self, predecessor_socket: socket.socket) -> None:
        """Start serving when this process has the switch list and its connections, or when the predecessor exits.

        Until then the predecessor serves the callers.
        """
        reader, writer = await asyncio.open_unix_connection(sock=predecessor_socket, limit=MAX_LINE_BYTES)
        predecessor = self.predecessor = Partner(
            Sender.PREDECESSOR, reader, writer, self.on_predecessor_message, self.log
        )
        self.gatekeeper.spawn(predecessor.run(), "predecessor")
        self.gatekeeper.spawn(
            self.after_predecessor_exit(predecessor), "wait for the exit of the predecessor"
        )
        self.front.set_connection_limit(self.max_connections())
        self.front.send_to_other_process = predecessor.send
        self.log("notice", "handover", "taking over from the predecessor", sockets=",".join(self.sockets))
        waits = [
            self.gatekeeper.spawn(self.wait_until_informed(), "wait for the switch list"),
            self.gatekeeper.spawn(
                self.wait_for_stop_or_exit(predecessor), "wait for stop or the exit of the predecessor"
            ),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not self.stop_requested.is_set():
            self.apply_events_of_others()
            await self.start_serving()
            predecessor.send(Serving())
            self.mark_started()

    async def wait_until_informed(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHANNEL_CATCH_UP_TIMEOUT_S):
                await self.channel.caught_up.wait()
        await self.wait_for_first_dials()
        await self.gatekeeper.not_paused.wait()  # a paused process takes over no callers

    async def wait_for_stop_or_exit(self, predecessor: Partner) -> None:
        waits = [asyncio.ensure_future(event.wait()) for event in (self.stop_requested, predecessor.ended)]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def after_predecessor_exit(self, predecessor: Partner) -> None:
        await predecessor.ended.wait()
        self.predecessor = self.front.send_to_other_process = None
        self.front.set_connection_limit(self.max_connections())
        self.log("notice", "handover", "the predecessor has gone")
        self.apply_events_of_others()
        if self.event_store:
            self.event_store.remove_abandoned()
        if self.config.iax2:
            # All frames of a call must reach the process that holds it, so the predecessor kept the IAX2 address until
            # its exit.
            await self.open_iax2(self.config.iax2)

    def send_to_other_process(self, message: Message) -> None:
        """Send a message to the process that shares the address, if there is one."""
        other = self.handover and self.handover.successor or self.predecessor
        if other:
            other.send(message)

    def store_event(self, event: dict[str, Any]) -> None:
        """Keep an event of discovery for the other processes, and tell those that are connected."""
        if not self.event_store:
            return
        self.event_store.append(event)
        for partner in (self.predecessor, self.handover and self.handover.successor):
            if partner:
                partner.send(EventsStored())

    def apply_events_of_others(self) -> None:
        """Apply what other processes of this gatekeeper have been told by discovery, and this one has not."""
        events = self.event_store.read_others() if self.event_store else []
        applied = self.channel.apply_stored(events)
        if applied:
            self.log(
                "notice",
                "handover",
                "events of discovery taken over from another process",
                events=applied,
                cursor=self.channel.cursor,
            )

    def on_predecessor_message(self, message: Message) -> None:
        if isinstance(message, CallEnd):
            self.front.release_for_other_process(message)
        elif isinstance(message, ConfigurationRead):
            self.reload()
        else:
            self.on_partner_message(message)

    def on_successor_message(self, successor: Partner, message: Message) -> None:
        if isinstance(message, Serving):
            self.on_successor_serving(successor)
        else:
            self.on_partner_message(message)

    def on_partner_message(self, message: Message) -> None:
        """Handle a message that either of the other processes may send."""
        match message:
            case CallerRelease():
                self.front.release_from_other_process(message)
            case SwitchRelease():
                self.on_switch_release(message)
            case TakenIds():
                self.front.take_ids_of_other_process(message)
            case EventsStored():
                self.apply_events_of_others()

    def on_switch_release(self, release: SwitchRelease) -> None:
        """A switch released a call of this process on a connection of the other one."""
        for switch in self.sip_switches:
            if switch.name == release.switch and not switch.retired:
                switch.release_from_other_process(release)

    def on_successor_serving(self, successor: Partner) -> None:
        """The successor serves the callers from now on.

        Nothing new is accepted here, and releases without a connection here are sent through the successor.
        """
        self.log(
            "notice",
            "handover",
            "the successor serves; no longer accepting callers",
            calls=len(self.gatekeeper.calls),
        )
        self.front.stop_accepting()
        self.peers.close()
        self.gatekeeper.messenger = None
        self.front.send_to_other_process, self.front.handed_over = successor.send, True
        self.front.forward_pending_releases()

    def on_successor_changed(self) -> None:
        self.front.set_connection_limit(self.max_connections())
        if self.handover and self.handover.successor:
            for message in self.front.all_taken_ids():
                self.handover.successor.send(message)
        if self.handover and not self.handover.successor and self.front.handed_over:
            # The successor exited, either before this process was stopped or while it finishes its calls.
            self.front.send_to_other_process, self.front.handed_over = None, False
            if not self.gatekeeper.ending:
                self.gatekeeper.spawn(self.start_serving(), "serve callers again")

    # Reload

    def reload(self) -> None:
        """Apply the new configuration completely, or keep the old one. Open calls are not affected."""
        try:
            new_config = configuration.load(operator_path=self.operator_path, running=self.config)
        except configuration.ConfigError as error:
            self.gatekeeper.metrics.rejected_reloads += 1
            return self.log(
                "error", "reload", f"new configuration rejected; the old configuration stays: {error}"
            )
        restart_only = {key: getattr(self.config, key) for key in configuration.RESTART_ONLY_KEYS}
        at_next_start = [key for key, value in restart_only.items() if getattr(new_config, key) != value]
        if configuration.without_number_routes(new_config.iax2) != configuration.without_number_routes(
            self.config.iax2
        ):
            at_next_start.append("iax2")
        self.log(
            "notice",
            "reload",
            "configuration read",
            channel=new_config.channel,
            classes=",".join(call_class.name for call_class in new_config.settings.classes),
            **({"at_next_start": ",".join(at_next_start)} if at_next_start else {}),
        )
        self.config = replace(new_config, iax2=self.config.iax2, **restart_only)
        self.gatekeeper.metrics.reloads += 1
        self.log.set_level(new_config.syslog.level)
        self.gatekeeper.apply_settings(new_config.settings)
        for switch in self.sip_switches:
            switch.dial_timeout_s = new_config.dial_timeout_s
        if self.iax2_front and new_config.iax2:
            self.iax2_front.set_number_routes(new_config.iax2.number_routes)
        if self.event_store:
            self.event_store.change_seed(new_config.seed)
        self.channel.change_address(new_config.channel)
        if self.records:
            self.records.reopen()
        if self.handover and self.handover.successor:
            # A successor may have read the file before it was changed, and is not told so by a signal.
            self.handover.successor.send(ConfigurationRead())

    # Shutdown

    async def shut_down(self) -> None:
        """Finish the open calls in the time before SIGKILL may come, and close everything."""
        gatekeeper, stopped_at = self.gatekeeper, self.loop.time()
        self.log("notice", "stop", "shutting down; finishing the open calls", calls=len(gatekeeper.calls))
        gatekeeper.ending = True
        self.endpoint.is_available = lambda: False
        successor = self.handover.successor if self.handover else None
        max_deadline_s = self.config.max_deadline_s
        if successor and successor.serving:
            self.front.stop_closing_connections()  # a pause keeps connections for longer
            self.front.close_idle_connections()
            self.endpoint.on_new = reject_new_leg
            deadline = (
                stopped_at + earliest_kill_s(max_deadline_s, MAX_COUNTED_DEADLINE_REPLACED_S) - EXIT_MARGIN_S
            )
            await gatekeeper.finish(deadline - self.loop.time(), keep_standing=True)
            # Without this, new set-ups could arrive on a connection that is never idle, and be lost at the exit.
            self.front.close_connections()
            # Standing calls continue until they end, the successor exits, or this process is killed.
            waits = [
                asyncio.ensure_future(wait) for wait in (gatekeeper.all_calls_ended(), successor.ended.wait())
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            await gatekeeper.finish(0)
        else:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
            self.front.stop_accepting()
            # Without this, the kernel would go on queueing connections that nobody accepts.
            self.sockets["callers"].close()
            self.endpoint.on_new = reject_new_leg
            self.front.close_idle_connections_until_exit()
            deadline = stopped_at + earliest_kill_s(max_deadline_s) - EXIT_MARGIN_S
            await gatekeeper.finish(deadline - self.loop.time())
        self.front.stop_closing_connections()
        self.front.close_connections()
        gatekeeper.close()
        self.peers.close()
        self.console.close()
        await asyncio.sleep(0.1)  # the last releases are sent; messages that arrive meanwhile are dropped
        self.endpoint.close()
        if self.event_store:
            self.event_store.close(keep_file=bool(self.handover and self.handover.successor))
        if self.records:
            await self.records.close()


def log_loop_error(log: Syslog, context: dict[str, Any]) -> None:
    """Log an exception that reached the event loop."""
    exception = context.get("exception")
    # The event loop reports the task of each connection that is still open when the process exits.
    if not isinstance(exception, asyncio.CancelledError):
        log("error", "loop", f"{context['message']}: {exception!r}" if exception else context["message"])


async def serve(config: configuration.Config, log: Syslog, operator_path: str | None) -> int:
    """Run the gatekeeper until it is stopped. Returns the exit code."""
    asyncio.get_running_loop().set_exception_handler(lambda _, context: log_loop_error(log, context))
    return await Program(config, log, operator_path).run()


def main() -> int:
    if sys.argv[1:] and not sys.argv[1].startswith("--op"):
        return run_tool(sys.argv[1:])
    parser = argparse.ArgumentParser(prog="tansyspur", description="The gatekeeper of one store switch.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's TOML file, see deploy/")
    arguments = parser.parse_args()
    try:
        config = configuration.load(operator_path=arguments.operator)
    except configuration.ConfigError as error:
        print(f"tansyspur: {error}", file=sys.stderr)
        return 2
    log = Syslog(config.name, config.syslog.level, config.syslog.udp_address, queued=True)
    logging.getLogger().addHandler(LibraryLogHandler(log))
    logging.captureWarnings(True)
    try:
        return asyncio.run(serve(config, log, arguments.operator))
    except OSError as error:
        log("error", "start", f"cannot run: {error}")
        return 1
    finally:
        log.close()


def run_tool(arguments: list[str]) -> int:
    """Run a sub-command. Imported only here, as the gatekeeper must start without the libraries of the tools."""
    try:
        from tansyspur.cli.main import main as command_line
    except ModuleNotFoundError as error:
        if error.name and error.name.startswith("tansyspur"):
            raise
        print("tansyspur: [--operator FILE] starts the gatekeeper", file=sys.stderr)
        print(f"the tools need {error.name}: pip install 'tansyspur[tools]'", file=sys.stderr)
        return 1
    return command_line(arguments)


if __name__ == "__main__":
    sys.exit(main())
