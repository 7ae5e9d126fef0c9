"""The gatekeeper: `python -m tansyspur [--operator FILE]`; with a sub-command, one of its tools.

Exit codes: 0 ended as told, 1 cannot run (an address is taken, say), 2 an unusable configuration.
"""

import argparse
import asyncio
import contextlib
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
from tansyspur.net.handover import Handover, Partner
from tansyspur.net.jsonlines import JsonLinesFront
from tansyspur.net.peers import Peers, parse_address
from tansyspur.net.sip import SipSwitch
from tansyspur.syslog import Syslog

if TYPE_CHECKING:
    from tansyspur.cdr.export import CdrFile

ACCEPT_S = 0.6  # after SIGTERM, new connections keep coming for 0.4 s
EXIT_MARGIN_S = 0.45  # before the time at which SIGKILL may come: for the last words, and for the end itself
KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL comes no sooner after the longest deadline
LONGEST_COUNTED_S = 3.0  # a longer deadline counts as this one
LONGEST_REPLACED_S = 5.0  # or as this one, where another process takes the calls
CURRENT_S = 2.5  # for the command channel's first number, which comes each second
READY_S = 1.5  # a switch that cannot be dialled must not keep the gatekeeper from its test for longer


def earliest_kill_s(longest_deadline_s: float, counted_s: float = LONGEST_COUNTED_S) -> float:
    """How long after SIGTERM the platform's SIGKILL may come at the earliest."""
    return min(counted_s, longest_deadline_s) + KILL_AFTER_DEADLINE_S


class Program:
    """The parts, wired; and how they start, change, and end."""

    def __init__(self, config: configuration.Config, log: Syslog, operator: str | None) -> None:
        self.config, self.log, self.operator = config, log, operator
        self.loop = asyncio.get_running_loop()
        self.stop = asyncio.Event()
        self.sip: list[SipSwitch] = []
        self.bridge, self.rng = Bridge(), random.Random(config.seed)
        self.registrar = Registrar(config.iax2.peers if config.iax2 else {}, self.rng, log)
        self.endpoint = Endpoint(log, self.rng)
        self.gatekeeper = Gatekeeper(config.settings, config.seed, self.make_switch, log)
        self.records = self.open_records(config.records_file) if config.records_file else None
        self.console = Console(self.gatekeeper, log)
        self.peers = Peers(list(config.peers), config.peers_all, self.gatekeeper.peer_message, log)
        self.channel = Channel(
            config.channel, self.gatekeeper.list_changed, self.gatekeeper.spawn, log, self.gatekeeper.metrics
        )
        # Of the process before this one, as long as it lives, and for the one after it.
        path = handover.socket_path(config.name)
        asked = handover.request_sockets(path, log) if path else None
        self.sockets, self.line = asked or ({}, None)
        self.predecessor: Partner | None = None
        self.handover = path and Handover(
            path, self.sockets, self.from_successor, self.successor_changed, self.gatekeeper.spawn, log
        )
        if "callers" not in self.sockets:
            self.sockets["callers"] = handover.bind_socket(*config.listen)
        if config.peer_listen and config.settings.may_message:
            if "peers" not in self.sockets:
                self.sockets["peers"] = handover.bind_socket(
                    *parse_address(config.peer_listen), socket.SOCK_DGRAM
                )
            self.gatekeeper.messenger = self.peers
        self.front = JsonLinesFront(self.gatekeeper, log, self.most_links(), self.sockets["callers"])
        self.iax2_front = self.make_iax2_front(config.iax2) if config.iax2 else None

    def make_switch(
        self, name: str, address: str, on_report: Callable[[interface.LoadReport], None]
    ) -> Switch:
        iax2 = self.config.iax2
        by_iax2 = iax2.switches.get(name) if iax2 else None
        if iax2 and by_iax2:
            return Iax2Switch(
                name,
                self.endpoint,
                self.registrar,
                self.bridge,
                iax2.peers[by_iax2.peer],
                iax2.username,
                by_iax2.circuits,
                by_iax2.context,
                by_iax2.qualify_s,
                on_report,
                self.log,
            )
        self.sip = [one for one in self.sip if not one.retired]
        metrics, dial_timeout_s = self.gatekeeper.metrics, self.config.dial_timeout_s
        steady_since = self.discovery_steady_since
        self.sip.append(SipSwitch(name, address, on_report, self.log, dial_timeout_s, metrics, steady_since))
        return self.sip[-1]

    def discovery_steady_since(self) -> float | None:
        return self.channel.steady_since

    def open_records(self, path: str) -> "CdrFile":
        from tansyspur.cdr.export import CdrFile
        from tansyspur.cdr.record import record_from_call

        records, own = CdrFile(path, self.config.name, self.log), self.config.settings.own_exchange or 0
        self.gatekeeper.recorder = lambda over: records(record_from_call(over, own))
        return records

    def make_iax2_front(self, iax2: configuration.Iax2Config) -> Iax2Front:
        return Iax2Front(
            self.gatekeeper,
            self.registrar,
            iax2.numbers,
            self.bridge,
            self.rng,
            self.log,
            iax2.max_calls,
            iax2.allow_guests,
        )

    def most_links(self) -> int:
        """Two processes share one budget of descriptors, one has it all."""
        shared = self.predecessor or self.handover and self.handover.successor
        return self.config.limits.sockets * (3 if shared else 6) // 10

    # Starting

    async def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.config.console:
            self.gatekeeper.spawn(self.console.open(*self.config.console), "console")
        if self.records:
            self.records.start()
        self.channel.load_known_events(dict(self.config.known_events))
        self.channel.start()
        if self.line:
            await self.take_over(self.line)
        else:
            await self.serve_callers()
            if self.config.iax2:
                await self.open_iax2(self.config.iax2)
            self.gatekeeper.spawn(self.until_dialled(), "start").add_done_callback(self.started)
        address = ":".join(map(str, self.config.listen))
        self.log("notice", "start", "listening", name=self.config.name, address=address)
        await self.stop.wait()
        await self.end()
        return 0

    def started(self, _: object = None) -> None:
        self.gatekeeper.started = True

    async def until_dialled(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                while waited := [one for one in self.sip if not one.first_dial_done.is_set()]:
                    await waited[0].first_dial_done.wait()

    async def serve_callers(self) -> None:
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

    # Another process at the same address

    async def take_over(self, line: socket.socket) -> None:
        """The predecessor serves until this process knows as much as it does, unless it goes before."""
        reader, writer = await asyncio.open_unix_connection(sock=line)
        predecessor = self.predecessor = Partner(reader, writer, self.from_predecessor)
        self.gatekeeper.spawn(predecessor.run(), "predecessor")
        self.gatekeeper.spawn(self.until_alone(predecessor), "until alone")
        self.front.set_connection_limit(self.most_links())
        self.front.send_to_other_process = predecessor.send
        self.log("notice", "handover", "taking over", sockets=",".join(self.sockets))
        waits = [
            self.gatekeeper.spawn(self.as_informed(), "informed"),
            self.gatekeeper.spawn(self.stop_or_gone(predecessor), "stop or gone"),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not self.stop.is_set():
            await self.serve_callers()
            predecessor.send("serving")
            self.started()

    async def as_informed(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CURRENT_S):
                await self.channel.caught_up.wait()
        await self.until_dialled()
        await self.gatekeeper.not_paused.wait()  # a process that sends callers away takes none over

    async def stop_or_gone(self, predecessor: Partner) -> None:
        waits = [asyncio.ensure_future(one.wait()) for one in (self.stop, predecessor.gone)]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def until_alone(self, predecessor: Partner) -> None:
        await predecessor.gone.wait()
        self.predecessor = self.front.send_to_other_process = None
        self.front.set_connection_limit(self.most_links())
        self.log("notice", "handover", "the predecessor has gone")
        if self.config.iax2:
            # A call's frames come to its own process only, so the predecessor had the address to its end.
            await self.open_iax2(self.config.iax2)

    def from_predecessor(self, row: dict[str, Any]) -> None:
        if row["type"] == "release":
            self.front.release_for_other_process(row)

    def from_successor(self, successor: Partner, row: dict[str, Any]) -> None:
        """It serves: nothing new comes here, and what finds no connection here may find one there."""
        if row["type"] == "serving":
            self.log("notice", "handover", "the successor serves", calls=len(self.gatekeeper.calls))
            self.front.stop_accepting()
            self.peers.close()
            self.gatekeeper.messenger = None
            self.front.send_to_other_process, self.front.handed_over = successor.send, True
            self.front.forward_pending_releases()
        elif row["type"] == "release":
            self.front.release_from_other_process(row)

    def successor_changed(self) -> None:
        self.front.set_connection_limit(self.most_links())
        if self.handover and not self.handover.successor and self.front.handed_over:
            # It has gone before it was needed, or we end and do so alone.
            self.front.send_to_other_process, self.front.handed_over = None, False
            if not self.gatekeeper.ending:
                self.gatekeeper.spawn(self.serve_callers(), "take up again")

    # Changing

    def reload(self) -> None:
        """Take the new file whole, or keep to the old one; no call notices."""
        try:
            fresh = configuration.load(operator_path=self.operator, running=self.config)
        except configuration.ConfigError as error:
            self.gatekeeper.metrics.rejected_reloads += 1
            return self.log("error", "reload", f"the old configuration stays: {error}")
        kept = {key: getattr(self.config, key) for key in configuration.RESTART_ONLY_KEYS}
        later = [key for key, value in kept.items() if getattr(fresh, key) != value]
        if configuration.without_numbers(fresh.iax2) != configuration.without_numbers(self.config.iax2):
            later.append("iax2")
        self.log(
            "notice",
            "reload",
            "configuration read",
            channel=fresh.channel,
            classes=",".join(kind.name for kind in fresh.settings.classes),
            **({"at_next_start": ",".join(later)} if later else {}),
        )
        self.config = replace(fresh, iax2=self.config.iax2, **kept)
        self.gatekeeper.metrics.reloads += 1
        self.log.set_level(fresh.syslog.level)
        self.gatekeeper.apply_settings(fresh.settings)
        for switch in self.sip:
            switch.dial_timeout_s = fresh.dial_timeout_s
        if self.iax2_front and fresh.iax2:
            self.iax2_front.set_numbers(fresh.iax2.numbers)
        self.channel.change_address(fresh.channel)
        if self.records:
            self.records.reopen()

    # Ending

    async def end(self) -> None:
        gatekeeper, stopped = self.gatekeeper, self.loop.time()
        self.log("notice", "stop", "finishing what was taken", calls=len(gatekeeper.calls))
        gatekeeper.ending = True
        self.endpoint.is_available = lambda: False
        successor = self.handover.successor if self.handover else None
        longest_s = self.config.max_deadline_s
        if successor and successor.serving:
            self.front.stop_closing_connections()  # of a pause, which keeps a connection for longer
            self.front.close_idle_connections()
            self.endpoint.on_new = reject_new_leg
            until = stopped + earliest_kill_s(longest_s, LONGEST_REPLACED_S) - EXIT_MARGIN_S
            await gatekeeper.finish(until - self.loop.time(), keep_standing=True)
            # Guards against set-ups that come, and go down with us, on a connection never without one.
            self.front.close_connections()
            # What stands goes on until its end, or until we are killed.
            over = [
                asyncio.ensure_future(wait) for wait in (gatekeeper.all_calls_ended(), successor.gone.wait())
            ]
            await asyncio.wait(over, return_when=asyncio.FIRST_COMPLETED)
            await gatekeeper.finish(0)
        else:
            await asyncio.sleep(ACCEPT_S)
            self.front.stop_accepting()
            # Guards against connections that come up in a queue which nobody serves any more.
            self.sockets["callers"].close()
            self.endpoint.on_new = reject_new_leg
            self.front.close_idle_connections_until_exit()
            until = stopped + earliest_kill_s(longest_s) - EXIT_MARGIN_S
            await gatekeeper.finish(until - self.loop.time())
        self.front.stop_closing_connections()
        self.front.close_connections()
        gatekeeper.close()
        self.peers.close()
        self.console.close()
        await asyncio.sleep(0.1)  # the last releases leave, and what crossed the close is dropped
        self.endpoint.close()
        if self.records:
            await self.records.close()


async def serve(config: configuration.Config, log: Syslog, operator: str | None) -> int:
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: log("error", "loop", str(context.get("exception") or context["message"]))
    )
    return await Program(config, log, operator).run()


def main() -> int:
    if sys.argv[1:] and not sys.argv[1].startswith("--op"):
        return tool(sys.argv[1:])
    parser = argparse.ArgumentParser(prog="tansyspur", description="The gatekeeper of one store switch.")
    parser.add_argument("--operator", metavar="FILE", help="the operator's TOML file, see deploy/")
    arguments = parser.parse_args()
    try:
        config = configuration.load(operator_path=arguments.operator)
    except configuration.ConfigError as error:
        print(f"tansyspur: {error}", file=sys.stderr)
        return 2
    log = Syslog(config.name, config.syslog.level, config.syslog.udp_address)
    try:
        return asyncio.run(serve(config, log, arguments.operator))
    except OSError as error:
        log("error", "start", f"cannot run: {error}")
        return 1
    finally:
        log.close()


def tool(arguments: list[str]) -> int:
    """The libraries of the tools are theirs alone: the gatekeeper starts without any."""
    try:
        from tansyspur.cli.main import main as command_line
    except ModuleNotFoundError as missing:
        if missing.name and missing.name.startswith("tansyspur"):
            raise
        print("tansyspur: [--operator FILE] starts the gatekeeper", file=sys.stderr)
        print(f"the tools need {missing.name}: pip install 'tansyspur[tools]'", file=sys.stderr)
        return 1
    return command_line(arguments)


if __name__ == "__main__":
    sys.exit(main())
