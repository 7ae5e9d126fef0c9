"""One run of the test rig: real gatekeeper processes among simulated store switches, under a generated load.

FleetRun starts a gatekeeper process for each store switch of a fleet, plays the calls of a load with their redials, and
simulates the store switches behind their SIP ports. While it does, it checks from the outside that the gatekeepers keep
the rules of their interface. The outcome is a RunResult.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from tansyspur.planner.fleet import Fleet, Load
from tansyspur.rig.fleet_model import FleetModel, holding_time, poisson_times
from tansyspur.rig.reserved_ports import reserved_ports
from tansyspur.rig.results import (
    FORMAT,
    CallResult,
    GatekeeperResult,
    GroupResult,
    RunResult,
    SwitchResult,
)
from tansyspur.rig.standins import (
    HOST,
    CallerConnection,
    CommandChannel,
    PeerNetwork,
    SipConnection,
    SipMessage,
    SwitchPort,
    format_sip,
)

NS_PER_S = 1_000_000_000  # nanoseconds in a second
READY_TIMEOUT_S = 30.0
RULE_TOLERANCE_S = 0.05  # added to the time limits of the rules, for transport on sockets
EXIT_TIMEOUT_S = 20.0  # after SIGTERM standing calls are awaited up to the longest deadline; later: SIGKILL
CONNECTIONS_PER_GATEKEEPER = 2  # caller connections

OnProgress = Callable[[str], None]


def run_host() -> str:
    """Return a loopback address that concurrent runs do not use, so that a free port there stays free."""
    number = os.getpid()
    return f"127.{64 + (number >> 16) % 64}.{number >> 8 & 255}.{max(1, number & 255)}"


def gatekeeper_settings(fleet: Fleet, load: Load, number: int) -> dict[str, Any]:
    """Return the settings object of the configuration file for the gatekeeper of one store switch."""
    rules = fleet.rules
    return {
        "balancers": len(fleet.switches),
        "ordinal": number,
        "classes": [
            {
                "name": call_class.name, "value": call_class.worth,
                "objective-ns": int(call_class.objective_s * NS_PER_S),
                "deadline-ns": int(call_class.deadline_s * NS_PER_S), "late-worth": call_class.late_worth,
                "effect": "idempotent", "dedup-scope": "all", "window-ns": 5 * NS_PER_S, "stream": True,
            }
            for call_class in load.classes
        ],
        "family-info": {
            "shape": "mesh", "here": number, "release-ns": int(rules.release_delay_s * NS_PER_S), "resend-ns": 0,
            "class-hold-ns": [int(call_class.holding_time_s * NS_PER_S) for call_class in load.classes],
            "channels-needed": [call_class.width for call_class in load.classes], "advice": False, "says-wait": False,
        },
        "limits": {
            "max-attempts": rules.max_attempts, "peers": rules.fill_reports, "cancel": True, "probes": False,
            "retry-after": rules.retry_after_s > 0, "max-retry-after-ns": int(rules.retry_after_s * NS_PER_S),
            "dial-timeout-ns": NS_PER_S // 2, "conn-idle-ns": 600 * NS_PER_S,
        },
        "guarantees": {
            "cold-share": rules.cold_share, "ramp-time-ns": int(rules.ramp_s * NS_PER_S),
            "overload-factor": rules.overload_factor, "fall-ns": int(rules.fall_s * NS_PER_S),
        },
    }  # fmt: skip


@dataclass(slots=True)
class OfferedCall:
    """A call of the load with all its tries; times in seconds after the start of the run."""

    first_try_s: float
    origin: str
    destination: str
    class_name: str
    dedup_key: str
    holding_time_s: float
    redial_rng: random.Random
    tries: int = 0
    attempts: int = 0
    answered_s: float = -1.0
    tandem: bool = False
    cut: bool = False
    decided: bool = False  # answered, or no further try will follow


@dataclass(slots=True)
class Offer:
    """A set-up sent to one gatekeeper: a try of a call, or the leg of a call in transit through its switch."""

    wire_id: str
    gatekeeper: str  # name of the gatekeeper that received it
    call: OfferedCall
    connection: CallerConnection
    transit_of: "Attempt | None" = None
    offered_s: float = 0.0
    resent: bool = False  # repeats a set-up that crossed the close of its connection
    answered: bool = False
    ended: bool = False
    abandoned: bool = False
    attempt: "Attempt | None" = None
    attempt_lost_s: float = -1e9  # when an attempt last ended by time-out, reset or cancel
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class Attempt:
    """An INVITE from the switch of its gatekeeper (sender) to another switch (receiver)."""

    offer: Offer
    sender: str
    receiver: str
    connection: SipConnection
    transit: Offer | None = None
    answered: bool = False
    ended: bool = False
    key: str = ""


class FleetRun:
    """Starts the processes and sockets of a run, plays the load, and stops them again, also when interrupted.

    scale multiplies the load. seconds shortens the load's span. folder receives the logs and call records (None: a
    temporary folder). on_progress is called with a line of text each second. Setting `stop_requested` interrupts the
    run.
    """

    def __init__(
        self,
        fleet: Fleet,
        load: Load,
        scale: float = 1.0,
        seed: int = 1,
        seconds: float | None = None,
        folder: Path | None = None,
        on_progress: OnProgress = lambda text: None,
    ) -> None:
        self.fleet, self.load, self.scale, self.seed = fleet, load.scaled(scale), scale, seed
        self.seconds = min(load.span_s, seconds or load.span_s)
        self.folder, self.on_progress = folder, on_progress
        self.model = FleetModel(fleet, seed)
        self.loop = asyncio.get_running_loop()
        self.start_s = 0.0
        self.calls: list[OfferedCall] = []
        self.offers: dict[str, Offer] = {}
        self.wire_ids = itertools.count(1)
        self.attempt_keys = itertools.count(1)
        self.ports: dict[tuple[str, str], SwitchPort] = {}
        self.channels: list[CommandChannel] = []
        self.connections: dict[str, list[CallerConnection]] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.usage: dict[str, tuple[float, float]] = {}
        self.crashed: set[str] = set()
        self.violations: list[str] = []
        self.messages: Counter[str] = Counter()
        self.setup_delays_us = HdrHistogram(1, 60_000_000, 3)
        self.late_s = 0.0
        self.peer_network: PeerNetwork | None = None
        self.failure: BaseException | None = None
        self.interrupted = False
        self.ended_s = 0.0
        self.stop_requested = asyncio.Event()
        for group in self.model.groups.values():
            group.on_change = self._group_changed

    def now(self) -> float:
        """Return the seconds since the start of the load."""
        return self.loop.time() - self.start_s

    def schedule(self, at_s: float, callback: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle:
        """Call back at a time of the run, and record the greatest delay: a late rig gives no valid measurement."""

        def run_callback() -> None:
            self.late_s = max(self.late_s, self.now() - max(at_s, scheduled_s))
            callback(*arguments)

        scheduled_s = self.now()
        return self.loop.call_at(self.start_s + at_s, run_callback)

    def record_violation(self, text: str) -> None:
        self.violations.append(f"{self.now():.3f}s: {text}")

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Stop the run on an internal error of the rig, so that `run` raises it and returns no result."""
        error = context.get("exception")
        if isinstance(error, asyncio.CancelledError | ConnectionError):
            return
        if self.failure is None:
            self.failure = error or RuntimeError(context["message"])
        self.stop_requested.set()

    # Start and stop

    async def run(self) -> RunResult:
        """Execute the run; raises RuntimeError if a gatekeeper does not start, and any internal error of the rig."""
        self.loop.set_exception_handler(self._on_loop_error)
        with tempfile.TemporaryDirectory(prefix="tansyspur-rig-") as scratch:
            folder = self.folder or Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                await self._start_all(folder, Path(scratch))
                await self._run_load()
            finally:
                await self._stop_all()
            if self.failure:
                raise self.failure
            return self._result()

    async def _start_all(self, folder: Path, scratch: Path) -> None:
        names = self.fleet.names
        host = run_host()
        with (
            reserved_ports(host, names, socket.SOCK_STREAM) as callers,
            reserved_ports(host, names, socket.SOCK_DGRAM) as peers,
        ):
            self.peer_network = PeerNetwork(host, peers, self.model.delay_s, self.messages)
            if self.fleet.rules.fill_reports:
                await self.peer_network.open()
        for number, name in enumerate(names):
            endpoints = []
            for other in names:
                port = 9
                if other != name:
                    group = self.model.group(name, other)

                    def state(group=group) -> str:
                        return f"free:{group.free};size:{group.size}" if group else "free:0;size:0"

                    switch_port = SwitchPort(
                        name, other, self._on_sip_message, self._on_sip_connection_lost, state
                    )
                    port = await switch_port.open()
                    self.ports[name, other] = switch_port
                endpoints.append(
                    {
                        "name": f"s-{other}", "address": f"{HOST}:{port}", "zone": self.model.switches[other].depot,
                        "type": "std", "group": self.model.exchange_numbers[other], "status": "up", "weight": 1,
                        "since_ms": 0,
                    }
                )  # fmt: skip
            channel = CommandChannel(endpoints)
            self.channels.append(channel)
            document = {
                "name": name, "listen": f"{host}:{callers[name]}", "seed": f"{self.seed:08x}{number:08x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{host}:{peers[name]}",
                "peers": [f"{host}:{self.peer_network.port(name, other)}" for other in names],
                "peers_all": f"{host}:{self.peer_network.port(name, None)}",
                "channel": f"{HOST}:{await channel.open()}",
                "known": {"cursor": 1, "cmds": channel.events[:1]},
                "settings": gatekeeper_settings(self.fleet, self.load, number),
            }  # fmt: skip
            config = scratch / f"{name}.json"
            config.write_text(json.dumps(document))
            operator = scratch / f"{name}.toml"
            records = (folder / f"calls-{name}.log").absolute()
            operator.write_text(f'[syslog]\nlevel = "warning"\n[records]\nfile = "{records}"\n')
            (scratch / name).mkdir()
            log = (folder / f"gatekeeper-{name}.log").open("wb")
            with log:
                self.processes[name] = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "tansyspur", "--operator", str(operator),
                    stdout=asyncio.subprocess.DEVNULL, stderr=log,
                    start_new_session=True,  # keeps Ctrl-C from the process: the rig stops it with SIGTERM
                    env={
                        **os.environ, "ROUTER_NAME": name, "ROUTER_CONFIG": str(config),
                        "TMPDIR": str(scratch / name),
                    },
                )  # fmt: skip
            self.connections[name] = [
                CallerConnection(
                    (host, callers[name]), self._on_caller_message, self._on_caller_connection_lost
                )
                for _ in range(CONNECTIONS_PER_GATEKEEPER)
            ]
        until = time.monotonic() + READY_TIMEOUT_S
        for name, connections in self.connections.items():
            while not await connections[0].ready():
                if self.processes[name].returncode is not None:
                    raise RuntimeError(
                        f"gatekeeper {name} ended during its start with exit code {self.processes[name].returncode}"
                    )
                if time.monotonic() > until:
                    raise RuntimeError(f"gatekeeper {name} was not ready within {READY_TIMEOUT_S:g} s")
                await asyncio.sleep(0.05)
            for connection in connections:
                await connection.connect()

    async def _run_load(self) -> None:
        self.start_s = self.loop.time()
        for i, stream in enumerate(self.load.streams):
            rng = random.Random(f"{self.seed}/stream/{i}")
            for at_s in poisson_times(stream.calls_per_s, self.load.windows_s, rng):
                if at_s < self.seconds:
                    holding_time_s = holding_time(
                        self.load.holding_distribution,
                        self.load.class_by_name(stream.class_name).holding_time_s,
                        rng,
                    )
                    number = f"{rng.getrandbits(64):016x}"
                    # Redials draw from a generator of their own, so that they do not shift the arrivals.
                    redial_rng = random.Random(f"{self.seed}/caller/{number}")
                    call = OfferedCall(
                        at_s,
                        stream.origin,
                        stream.destination,
                        stream.class_name,
                        number,
                        holding_time_s,
                        redial_rng,
                    )
                    self.calls.append(call)
        self.calls.sort(key=lambda call: call.first_try_s)
        self.usage_before = {name: _process_usage(process.pid) for name, process in self.processes.items()}
        for call in self.calls:
            self.schedule(call.first_try_s, self._dial, call)
        progress = asyncio.create_task(self._progress())
        # Every call is decided within the longest deadline after the last first try.
        tail_s = max(call_class.deadline_s for call_class in self.load.classes)
        try:
            while self.now() < self.seconds + tail_s and not self.stop_requested.is_set():
                if self.now() >= self.seconds and all(call.decided for call in self.calls):
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.2):
                        await self.stop_requested.wait()
        finally:
            self.interrupted = self.stop_requested.is_set()
            self.ended_s = self.now()
            progress.cancel()
            for name, process in self.processes.items():
                if process.returncode is None:
                    cpu_s, memory_mb = _process_usage(process.pid)
                    self.usage[name] = (cpu_s - self.usage_before[name][0], memory_mb)

    async def _progress(self) -> None:
        while True:
            await asyncio.sleep(1)
            answered = sum(call.answered_s >= 0 for call in self.calls)
            busy = sum(group.busy for group in self.model.groups.values())
            self.on_progress(
                f"{min(self.now(), self.seconds):3.0f} of {self.seconds:.0f} s: {answered} calls answered, "
                f"{busy} circuits busy, {len(self.violations)} rule violations"
            )

    async def _stop_all(self) -> None:
        self.crashed = {name for name, process in self.processes.items() if process.returncode is not None}
        for connections in self.connections.values():
            for connection in connections:
                connection.close()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        for port in self.ports.values():
            port.close()
        for channel in self.channels:
            channel.close()
        await asyncio.sleep(0.05)  # lets the tasks of the connections end
        if self.peer_network:
            self.peer_network.close()

    def _result(self) -> RunResult:
        end_s = self.ended_s
        for port in self.ports.values():
            self.messages["sip from gatekeepers"] += port.received
            self.messages["sip to gatekeepers"] += port.sent
        percentiles = {"p50": 50, "p90": 90, "p99": 99, "p999": 99.9, "max": 100}
        return RunResult(
            format=FORMAT,
            seed=self.seed,
            scale=self.scale,
            seconds=min(end_s, self.seconds),
            interrupted=self.interrupted,
            late_s=self.late_s,
            violations=self.violations,
            calls=[
                CallResult(
                    call.first_try_s, call.origin, call.destination, call.class_name, call.tries, call.answered_s,
                    call.cut, call.tandem, call.attempts, call.decided,
                )
                for call in self.calls
                if call.first_try_s <= end_s
            ],
            groups=[
                GroupResult(group.ends, group.size, group.carried_erl(end_s), group.seizures, group.blocked)
                for group in self.model.groups.values()
            ],
            switches=[
                SwitchResult(
                    name, self.model.switches[name].depot,
                    processor.setups_done / processor.setups_per_s / max(end_s, 1e-9), int(processor.rejected),
                )
                for name, processor in self.model.processors.items()
            ],
            gatekeepers=[
                GatekeeperResult(
                    name, self.usage.get(name, (0, 0))[0], self.usage.get(name, (0, 0))[1],
                    name in self.crashed,
                )
                for name in self.processes
            ],
            setup_delay_us={
                name: int(self.setup_delays_us.get_value_at_percentile(percentile))
                for name, percentile in percentiles.items()
            },
            messages=dict(self.messages),
        )  # fmt: skip

    # Callers

    def _dial(self, call: OfferedCall) -> None:
        call_class = self.load.class_by_name(call.class_name)
        # A redial waits no longer than the rest of its class's deadline.
        remaining_s = min(
            call_class.deadline_s * self.load.redial.patience_share,
            call.first_try_s + call_class.deadline_s - self.now(),
        )
        if remaining_s <= 0.05:
            call.decided = True
            return
        call.tries += 1
        self.model.processors[call.origin].add_work(self.now(), self.fleet.work.look)
        self._offer(call, call.origin, remaining_s, None)

    def _offer(
        self, call: OfferedCall, gatekeeper: str, remaining_s: float, transit_of: Attempt | None
    ) -> Offer | None:
        wire_id = f"{next(self.wire_ids):016x}"
        connections = [
            connection for connection in self.connections[gatekeeper] if connection.writer
        ] or self.connections[gatekeeper]
        connection = connections[next(self.attempt_keys) % len(connections)]
        offer = Offer(wire_id, gatekeeper, call, connection, transit_of, self.now())
        call_class = self.load.class_by_name(call.class_name)
        via = self.model.exchange_numbers[transit_of.sender] if transit_of else -1
        extras = f"dest:{self.model.exchange_numbers[call.destination]};width:{call_class.width};via:{via}"
        fields = {"class": call.class_name, "left": str(int(remaining_s * 1000)), "key": call.dedup_key}
        if transit_of:
            extras += ";transit:1"
        elif call.tries > 1:
            fields["retry"] = "1"
        fields["extras"] = extras
        sdp = f"{wire_id}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
        if not connection.send("setup", wire_id, fields=fields, sdp=sdp):
            if not transit_of:
                self._redial(call, 0.0)
            return None
        self.messages["set-ups to gatekeepers"] += 1
        self.offers[wire_id] = offer
        offer.timer = self.schedule(self.now() + remaining_s, self._abandon, offer)
        return offer

    def _abandon(self, offer: Offer) -> None:
        """The caller's time has passed: release the set-up at its gatekeeper."""
        if offer.answered or offer.ended:
            return
        offer.ended = offer.abandoned = True
        offer.connection.send("release", offer.wire_id, cause=16)
        self.schedule(self.now() + 2.0, self._forget, offer)
        if offer.transit_of:
            self._refuse_attempt(offer.transit_of, 503, "via_said_no")
        else:
            self._redial(offer.call, 0.0)

    def _forget(self, offer: Offer) -> None:
        self.offers.pop(offer.wire_id, None)

    def _redial(self, call: OfferedCall, retry_after_s: float) -> None:
        redial = self.load.redial
        call_class = self.load.class_by_name(call.class_name)
        wait_s = max(redial.wait_s, retry_after_s if call.redial_rng.random() < redial.heed_share else 0.0)
        if call.tries > redial.max_redials or self.now() + wait_s >= call.first_try_s + call_class.deadline_s:
            call.decided = True
            return
        self.schedule(self.now() + wait_s, self._dial, call)

    def _on_caller_message(self, message: dict[str, Any]) -> None:
        offer = self.offers.get(message.get("id", ""))
        if offer is None or message.get("type") not in ("answer", "release"):
            return
        if message["type"] == "answer":
            if offer.abandoned:
                return  # the answer crossed the caller's release
            if offer.answered or offer.ended:
                return self.record_violation(f"second final answer for call {offer.wire_id}")
            offer.answered = True
            if offer.timer:
                offer.timer.cancel()
            if offer.transit_of:
                self._answer_arrived(offer.transit_of)
            else:
                self._record_answer(offer)
            return
        if offer.abandoned:
            return self._forget(offer)
        if offer.ended:
            return self.record_violation(f"second release of call {offer.wire_id}")
        offer.ended = True
        if offer.timer:
            offer.timer.cancel()
        self._forget(offer)
        if offer.answered:
            if offer.call.answered_s >= 0 and message.get("cause") != 16 and not offer.transit_of:
                offer.call.cut = True
            return
        wait_s = float(message.get("fields", {}).get("wait", 0)) / 1000
        if offer.transit_of:
            x_cause = "far_cpu_full" if message.get("cause") == 42 else "via_said_no"
            self._refuse_attempt(offer.transit_of, 503, x_cause)
        else:
            self._redial(offer.call, wait_s)

    def _record_answer(self, offer: Offer) -> None:
        call = offer.call
        call.answered_s, call.decided = self.now(), True
        self.setup_delays_us.record_value(max(1, int((call.answered_s - call.first_try_s) * 1e6)))
        attempt = offer.attempt
        call.tandem = attempt is not None and attempt.receiver != call.destination
        self.schedule(self.now() + call.holding_time_s, self._hang_up, offer)

    def _on_caller_connection_lost(self, connection: CallerConnection) -> None:
        for offer in [
            offer
            for offer in self.offers.values()
            if offer.connection is connection and not offer.answered and not offer.ended
        ]:
            offer.ended = True
            self._forget(offer)
            if offer.timer:
                offer.timer.cancel()
            if self.stop_requested.is_set():
                continue
            if self.now() - offer.offered_s < RULE_TOLERANCE_S and not offer.resent:
                # A set-up that crossed the close of its connection is sent again, once.
                remaining_s = offer.timer.when() - self.loop.time() if offer.timer else 0.0
                resent_offer = self._offer(offer.call, offer.gatekeeper, remaining_s, offer.transit_of)
                if resent_offer:
                    resent_offer.resent = True
                    if offer.transit_of:
                        offer.transit_of.transit = resent_offer
                continue
            self.record_violation(
                f"call {offer.wire_id} lost with its connection to gatekeeper {offer.gatekeeper}"
            )
            if offer.transit_of:
                self._refuse_attempt(offer.transit_of, 503, "via_said_no")
            else:
                self._redial(offer.call, 0.0)

    # Store switches

    def _group_changed(self, group: Any) -> None:
        first, second = group.ends
        for pair in ((first, second), (second, first)):
            self.ports[pair].send_state()

    def _on_sip_message(self, port: SwitchPort, connection: SipConnection, message: SipMessage) -> None:
        method = message.start.split(" ", 1)[0]
        if method == "INVITE":
            self._invite(port, connection, message)
        elif method == "CANCEL":
            connection.send(_sip_response(message, 200))
            self._cancel_attempt(message.call_id, port.gatekeeper)
        elif method == "BYE":
            connection.send(_sip_response(message, 200))
            offer = self.offers.get(message.call_id)
            if offer and offer.attempt:
                self._end_attempt(offer.attempt, release_transit=True)
        elif method == "OPTIONS":
            connection.send(_sip_response(message, 200))

    def _on_sip_connection_lost(self, port: SwitchPort, connection: SipConnection) -> None:
        """Cancel the unanswered attempts of a connection that was closed."""
        for offer in list(self.offers.values()):
            attempt = offer.attempt
            if attempt and attempt.connection is connection and not attempt.answered:
                self._cancel_attempt(offer.wire_id, port.gatekeeper)

    def _invite(self, port: SwitchPort, connection: SipConnection, message: SipMessage) -> None:
        sender, receiver, now = port.gatekeeper, port.switch, self.now()
        offer = self.offers.get(message.call_id)
        if offer is None or offer.gatekeeper != sender:
            self.record_violation(f"set-up for a call that no caller offered: {message.call_id}")
            return connection.send(_sip_response(message, 500))
        if offer.attempt is not None:
            self.record_violation(f"two attempts of call {offer.wire_id} in progress at once")
        if now - offer.attempt_lost_s < self.fleet.rules.release_delay_s:
            self.record_violation(
                f"new attempt of call {offer.wire_id} {now - offer.attempt_lost_s:.3f} s after "
                "one that timed out or was cut"
            )
        if offer.transit_of and receiver != offer.call.destination:
            self.record_violation(
                f"attempt of call {offer.wire_id}, in transit, to another switch than its destination"
            )
        attempt = Attempt(offer, sender, receiver, connection, key=f"{next(self.attempt_keys)}")
        offer.attempt = attempt
        offer.call.attempts += 1
        call_class = self.load.class_by_name(offer.call.class_name)
        group = self.model.group(sender, receiver)
        if group is None or not group.seize(attempt.key, call_class.width, now):
            return self._refuse_attempt(attempt, 480, "all_trunks_busy")
        done_s = self.model.processors[sender].offer_setup(now, 1.0)
        if done_s is None:
            return self._refuse_attempt(attempt, 503, "cpu_full")
        self.schedule(done_s + self.model.delay_s(sender, receiver), self._attempt_arrived, attempt)

    def _attempt_arrived(self, attempt: Attempt) -> None:
        """The set-up reaches the receiver, whose processor works on it even if it was cancelled meanwhile."""
        now, call = self.now(), attempt.offer.call
        processor = self.model.processors[attempt.receiver]
        back_s = self.model.delay_s(attempt.sender, attempt.receiver)
        if attempt.receiver == call.destination:
            done_s = processor.offer_setup(now, 1.0)
            if done_s is None:
                self.schedule(now + back_s, self._refuse_attempt, attempt, 503, "cpu_full")
                return
            self.schedule(done_s, self._setup_processed, attempt)
        elif not attempt.ended:
            processor.add_work(now, self.fleet.work.look)
            remaining_s = 0.0
            if attempt.offer.timer:
                remaining_s = attempt.offer.timer.when() - self.loop.time() - 2 * back_s
            attempt.transit = (
                self._offer(call, attempt.receiver, remaining_s, attempt) if remaining_s > 0.05 else None
            )
            if attempt.transit is None:
                self.schedule(now + back_s, self._refuse_attempt, attempt, 503, "via_said_no")

    def _setup_processed(self, attempt: Attempt) -> None:
        done_s = self.model.processors[attempt.receiver].add_work(self.now(), self.fleet.work.answer)
        self.schedule(
            done_s + self.model.delay_s(attempt.sender, attempt.receiver), self._answer_arrived, attempt
        )

    def _answer_arrived(self, attempt: Attempt) -> None:
        """The answer reaches the sender's switch, which processes it before it answers its gatekeeper."""
        if not attempt.ended:
            done_s = self.model.processors[attempt.sender].add_work(self.now(), self.fleet.work.answer)
            self.schedule(done_s, self._send_answer, attempt)

    def _send_answer(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        attempt.answered = True
        body = f"from-{attempt.receiver}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
        attempt.connection.send(format_sip("SIP/2.0 200 OK", attempt.offer.wire_id, "1 INVITE", body=body))

    def _refuse_attempt(self, attempt: Attempt, status: int, x_cause: str) -> None:
        if attempt.ended:
            return
        self._finish_attempt(attempt)
        group = self.model.group(attempt.sender, attempt.receiver)
        state = f"X-Group: free:{group.free};size:{group.size}" if group else "X-Group: free:0;size:0"
        attempt.connection.send(
            format_sip(
                f"SIP/2.0 {status} No", attempt.offer.wire_id, "1 INVITE", f"X-Cause: {x_cause}", state
            )
        )

    def _finish_attempt(self, attempt: Attempt) -> None:
        """Mark an attempt as ended and free its circuits."""
        attempt.ended = True
        if attempt.offer.attempt is attempt:
            attempt.offer.attempt = None
        group = self.model.group(attempt.sender, attempt.receiver)
        if group:
            group.release(attempt.key, self.now())

    def _cancel_attempt(self, wire_id: str, gatekeeper: str) -> None:
        offer = self.offers.get(wire_id)
        if offer and offer.gatekeeper == gatekeeper and offer.attempt:
            offer.attempt_lost_s = self.now()
            self._end_attempt(offer.attempt, release_transit=True)

    def _end_attempt(self, attempt: Attempt, release_transit: bool) -> None:
        """End an attempt that its gatekeeper cancelled or released, and release the leg beyond the tandem."""
        if attempt.ended:
            return
        self._finish_attempt(attempt)
        transit = attempt.transit
        if release_transit and transit and not transit.ended:
            transit.ended = transit.abandoned = True
            if transit.timer:
                transit.timer.cancel()
            transit.connection.send("release", transit.wire_id, cause=16)
            self.schedule(self.now() + 2.0, self._forget, transit)

    def _hang_up(self, offer: Offer) -> None:
        """The called side ends the call: the release passes each processor and frees the circuits leg by leg."""
        attempt = offer.attempt
        if attempt is None or attempt.ended:
            return
        legs = [attempt]
        if attempt.transit and attempt.transit.attempt:
            legs.append(attempt.transit.attempt)
        far = legs[-1]
        done_s = self.model.processors[far.receiver].add_work(self.now(), self.fleet.work.release)
        self._release_leg(legs, done_s + self.model.delay_s(far.sender, far.receiver))

    def _release_leg(self, legs: list[Attempt], at_s: float) -> None:
        """Release the last leg when the release reaches its sender, then the legs before it."""

        def reached_sender() -> None:
            leg = legs[-1]
            done_s = self.model.processors[leg.sender].add_work(self.now(), self.fleet.work.release)
            self.schedule(done_s, release)

        def release() -> None:
            leg = legs.pop()
            if not leg.ended:
                self._finish_attempt(leg)
                call_id = leg.offer.wire_id
                connection = (
                    leg.connection
                    if leg.connection.open
                    else self.ports[leg.sender, leg.receiver].any_connection()
                )
                if connection:
                    connection.send(
                        format_sip(
                            f"BYE sip:{call_id}@net SIP/2.0", call_id, "2 BYE", "Reason: Q.850;cause=16"
                        )
                    )
            if legs:
                self._release_leg(legs, self.now() + self.model.delay_s(legs[-1].sender, legs[-1].receiver))

        self.schedule(at_s, reached_sender)


def _sip_response(message: SipMessage, status: int) -> bytes:
    return format_sip(f"SIP/2.0 {status} {'OK' if status == 200 else 'No'}", message.call_id, message.cseq)


def _process_usage(pid: int) -> tuple[float, float]:
    """Return the CPU seconds and resident megabytes of a process, from /proc, or zeros if they cannot be read."""
    try:
        values = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
        tick = os.sysconf("SC_CLK_TCK")
        cpu_s = (int(values[11]) + int(values[12])) / tick
        return cpu_s, int(values[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0, 0.0
