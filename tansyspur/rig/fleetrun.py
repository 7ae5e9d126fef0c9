"""One run: real gatekeepers among stand-ins, callers with redials, and the rules checked from outside."""

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
from tansyspur.rig.plant import Plant, holding_time, poisson_times
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
    CallerLine,
    CommandChannel,
    PeerNet,
    SipLink,
    SipMessage,
    SwitchPort,
    sip,
)

S = 1_000_000_000
READY_S = 30.0
SLACK_S = 0.05  # by which the rules' limits on sockets are longer
END_S = 20.0  # one that waits for standing calls ends by its longest deadline; later it is killed
LINES = 2  # connections of callers to each gatekeeper

Tell = Callable[[str], None]


def own_host() -> str:
    """An address of loopback that runs beside this one do not use: a port that is free there stays free."""
    number = os.getpid()
    return f"127.{64 + (number >> 16) % 64}.{number >> 8 & 255}.{max(1, number & 255)}"


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def settings_of(fleet: Fleet, load: Load, number: int) -> dict[str, Any]:
    """The platform's settings object for the gatekeeper of one store switch."""
    rules = fleet.rules
    return {
        "balancers": len(fleet.switches),
        "ordinal": number,
        "classes": [
            {
                "name": kind.name, "value": kind.worth, "objective-ns": int(kind.objective_s * S),
                "deadline-ns": int(kind.deadline_s * S), "late-worth": kind.late_worth,
                "effect": "idempotent", "dedup-scope": "all", "window-ns": 5 * S, "stream": True,
            }
            for kind in load.classes
        ],
        "family-info": {
            "shape": "mesh", "here": number, "release-ns": int(rules.release_delay_s * S), "resend-ns": 0,
            "class-hold-ns": [int(kind.holding_time_s * S) for kind in load.classes],
            "channels-needed": [kind.width for kind in load.classes], "advice": False, "says-wait": False,
        },
        "limits": {
            "max-attempts": rules.max_attempts, "peers": rules.fill_reports, "cancel": True, "probes": False,
            "retry-after": rules.retry_after_s > 0, "max-retry-after-ns": int(rules.retry_after_s * S),
            "dial-timeout-ns": S // 2, "conn-idle-ns": 600 * S,
        },
        "guarantees": {
            "cold-share": rules.cold_share, "ramp-time-ns": int(rules.ramp_s * S),
            "overload-factor": rules.overload_factor, "fall-ns": int(rules.fall_s * S),
        },
    }  # fmt: skip


@dataclass(slots=True)
class CallerCall:
    """A caller's call, with all its tries."""

    first_s: float
    origin: str
    destination: str
    class_name: str
    number: str
    holding_s: float
    draw: random.Random
    tries: int = 0
    attempts: int = 0
    stood_s: float = -1.0
    tandem: bool = False
    cut: bool = False
    over: bool = False


@dataclass(slots=True)
class Try:
    """One try at one gatekeeper, or a call in transit there."""

    wire_id: str
    at: str  # whose gatekeeper has it
    call: CallerCall
    line: CallerLine
    transit_of: "Attempt | None" = None
    offered_s: float = 0.0
    again: bool = False  # sent once more, as it crossed a close
    answered: bool = False
    ended: bool = False
    given_up: bool = False
    out: "Attempt | None" = None
    freed_s: float = -1e9  # when an attempt ended as timed out, reset or cancelled
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class Attempt:
    """One INVITE, from its gatekeeper's switch to another one."""

    one: Try
    sender: str
    receiver: str
    link: SipLink
    transit: Try | None = None
    stood: bool = False
    over: bool = False
    key: str = ""


class FleetRun:
    """Starts everything, plays the load, and ends all it started, also when it is interrupted."""

    def __init__(
        self,
        fleet: Fleet,
        load: Load,
        scale: float = 1.0,
        seed: int = 1,
        seconds: float | None = None,
        folder: Path | None = None,
        tell: Tell = lambda text: None,
    ) -> None:
        self.fleet, self.load, self.scale, self.seed = fleet, load.scaled(scale), scale, seed
        self.seconds = min(load.span_s, seconds or load.span_s)
        self.folder, self.tell = folder, tell
        self.plant = Plant(fleet, seed)
        self.loop = asyncio.get_running_loop()
        self.start_s = 0.0
        self.calls: list[CallerCall] = []
        self.tries: dict[str, Try] = {}
        self.ids = itertools.count(1)
        self.attempt_keys = itertools.count(1)
        self.ports: dict[tuple[str, str], SwitchPort] = {}
        self.channels: list[CommandChannel] = []
        self.lines: dict[str, list[CallerLine]] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.usage: dict[str, tuple[float, float]] = {}
        self.crashed: set[str] = set()
        self.violations: list[str] = []
        self.messages: Counter[str] = Counter()
        self.delays = HdrHistogram(1, 60_000_000, 3)
        self.late_s = 0.0
        self.peer_net: PeerNet | None = None
        self.failure: BaseException | None = None
        self.interrupted = False
        self.ended_s = 0.0
        self.stop = asyncio.Event()
        for group in self.plant.groups.values():
            group.on_change = self._group_changed

    def now(self) -> float:
        return self.loop.time() - self.start_s

    def at(self, when_s: float, do: Callable[..., None], *given: Any) -> asyncio.TimerHandle:
        """At a time of the run. How late the loop comes to it says whether the run is a measurement."""

        def due() -> None:
            self.late_s = max(self.late_s, self.now() - max(when_s, asked_s))
            do(*given)

        asked_s = self.now()
        return self.loop.call_at(self.start_s + when_s, due)

    def violated(self, text: str) -> None:
        self.violations.append(f"{self.now():.3f}s: {text}")

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A fault of the rig's own must not pass for a measurement."""
        error = context.get("exception")
        if isinstance(error, asyncio.CancelledError | ConnectionError):
            return
        if self.failure is None:
            self.failure = error or RuntimeError(context["message"])
        self.stop.set()

    # Starting and ending

    async def run(self) -> RunResult:
        self.loop.set_exception_handler(self._failed)
        with tempfile.TemporaryDirectory(prefix="tansyspur-rig-") as scratch:
            folder = self.folder or Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                await self._open(folder, Path(scratch))
                await self._play()
            finally:
                await self._close()
            if self.failure:
                raise self.failure
            return self._result()

    async def _open(self, folder: Path, scratch: Path) -> None:
        names = self.fleet.names
        host = own_host()
        callers = {name: free_port(host) for name in names}
        peers = {name: free_port(host, socket.SOCK_DGRAM) for name in names}
        self.peer_net = PeerNet(host, peers, self.plant.delay_s, self.messages)
        if self.fleet.rules.fill_reports:
            await self.peer_net.open()
        for number, name in enumerate(names):
            endpoints = []
            for other in names:
                port = 9
                if other != name:
                    group = self.plant.group(name, other)

                    def state(group=group) -> str:
                        return f"free:{group.free};size:{group.size}" if group else "free:0;size:0"

                    made = SwitchPort(name, other, self._sip, self._sip_lost, state)
                    port = await made.open()
                    self.ports[name, other] = made
                endpoints.append(
                    {
                        "name": f"s-{other}", "address": f"{HOST}:{port}", "zone": self.plant.switches[other].depot,
                        "type": "std", "group": self.plant.numbers[other], "status": "up", "weight": 1,
                        "since_ms": 0,
                    }
                )  # fmt: skip
            channel = CommandChannel(endpoints)
            self.channels.append(channel)
            document = {
                "name": name, "listen": f"{host}:{callers[name]}", "seed": f"{self.seed:08x}{number:08x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{host}:{peers[name]}",
                "peers": [f"{host}:{self.peer_net.port(name, one)}" for one in names],
                "peers_all": f"{host}:{self.peer_net.port(name, None)}", "channel": f"{HOST}:{await channel.open()}",
                "known": {"cursor": 1, "cmds": channel.events[:1]},
                "settings": settings_of(self.fleet, self.load, number),
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
                    start_new_session=True,  # Ctrl-C is ours to pass on
                    env={
                        **os.environ, "ROUTER_NAME": name, "ROUTER_CONFIG": str(config),
                        "TMPDIR": str(scratch / name),
                    },
                )  # fmt: skip
            self.lines[name] = [
                CallerLine((host, callers[name]), self._row, self._line_lost) for _ in range(LINES)
            ]
        until = time.monotonic() + READY_S
        for name, lines in self.lines.items():
            while not await lines[0].ready():
                if self.processes[name].returncode is not None:
                    raise RuntimeError(f"the gatekeeper {name} ended with {self.processes[name].returncode}")
                if time.monotonic() > until:
                    raise RuntimeError(f"the gatekeeper {name} was not ready within {READY_S:g} s")
                await asyncio.sleep(0.05)
            for line in lines:
                await line.connect()

    async def _play(self) -> None:
        self.start_s = self.loop.time()
        for i, stream in enumerate(self.load.streams):
            draw = random.Random(f"{self.seed}/stream/{i}")
            for at_s in poisson_times(stream.calls_per_s, self.load.windows_s, draw):
                if at_s < self.seconds:
                    hold = holding_time(
                        self.load.holding_distribution,
                        self.load.class_named(stream.class_name).holding_time_s,
                        draw,
                    )
                    number = f"{draw.getrandbits(64):016x}"
                    # Redials draw from a stream of their own, so that they do not shift the arrivals.
                    again = random.Random(f"{self.seed}/caller/{number}")
                    call = CallerCall(
                        at_s, stream.origin, stream.destination, stream.class_name, number, hold, again
                    )
                    self.calls.append(call)
        self.calls.sort(key=lambda call: call.first_s)
        self.before = {name: _usage(process.pid) for name, process in self.processes.items()}
        for call in self.calls:
            self.at(call.first_s, self._dial, call)
        progress = asyncio.create_task(self._progress())
        # What began in time is decided within the longest deadline after the last first try.
        tail_s = max(kind.deadline_s for kind in self.load.classes)
        try:
            while self.now() < self.seconds + tail_s and not self.stop.is_set():
                if self.now() >= self.seconds and all(call.over for call in self.calls):
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.2):
                        await self.stop.wait()
        finally:
            self.interrupted = self.stop.is_set()
            self.ended_s = self.now()
            progress.cancel()
            for name, process in self.processes.items():
                if process.returncode is None:
                    cpu_s, memory = _usage(process.pid)
                    self.usage[name] = (cpu_s - self.before[name][0], memory)

    async def _progress(self) -> None:
        while True:
            await asyncio.sleep(1)
            stood = sum(call.stood_s >= 0 for call in self.calls)
            busy = sum(group.busy for group in self.plant.groups.values())
            self.tell(
                f"{min(self.now(), self.seconds):3.0f} of {self.seconds:.0f} s: {stood} calls stood, "
                f"{busy} circuits busy, {len(self.violations)} rules broken"
            )

    async def _close(self) -> None:
        self.crashed = {name for name, one in self.processes.items() if one.returncode is not None}
        for lines in self.lines.values():
            for line in lines:
                line.close()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                async with asyncio.timeout(END_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        for port in self.ports.values():
            port.close()
        for channel in self.channels:
            channel.close()
        await asyncio.sleep(0.05)  # their tasks end
        if self.peer_net:
            self.peer_net.close()

    def _result(self) -> RunResult:
        end_s = self.ended_s
        for port in self.ports.values():
            self.messages["sip from gatekeepers"] += port.heard
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
                    c.first_s, c.origin, c.destination, c.class_name, c.tries, c.stood_s, c.cut, c.tandem,
                    c.attempts, c.over,
                )
                for c in self.calls
                if c.first_s <= end_s
            ],
            groups=[
                GroupResult(g.ends, g.size, g.carried_erl(end_s), g.seizures, g.full)
                for g in self.plant.groups.values()
            ],
            switches=[
                SwitchResult(
                    name, self.plant.switches[name].depot, p.worked / p.rate / max(end_s, 1e-9), int(p.turned_away)
                )
                for name, p in self.plant.processors.items()
            ],
            gatekeepers=[
                GatekeeperResult(
                    name, self.usage.get(name, (0, 0))[0], self.usage.get(name, (0, 0))[1],
                    name in self.crashed,
                )
                for name in self.processes
            ],
            setup_delay_us={k: int(self.delays.get_value_at_percentile(p)) for k, p in percentiles.items()},
            messages=dict(self.messages),
        )  # fmt: skip

    # Callers

    def _dial(self, call: CallerCall) -> None:
        kind = self.load.class_named(call.class_name)
        # What a redial may still wait for is what is left of the class's deadline.
        left_s = min(
            kind.deadline_s * self.load.redial.patience_share, call.first_s + kind.deadline_s - self.now()
        )
        if left_s <= 0.05:
            call.over = True
            return
        call.tries += 1
        self.plant.processors[call.origin].work(self.now(), self.fleet.work.look)
        self._offer(call, call.origin, left_s, None)

    def _offer(self, call: CallerCall, at: str, left_s: float, transit_of: Attempt | None) -> Try | None:
        wire_id = f"{next(self.ids):016x}"
        lines = [line for line in self.lines[at] if line.writer] or self.lines[at]
        line = lines[next(self.attempt_keys) % len(lines)]
        one = Try(wire_id, at, call, line, transit_of, self.now())
        kind = self.load.class_named(call.class_name)
        via = self.plant.numbers[transit_of.sender] if transit_of else -1
        extras = f"dest:{self.plant.numbers[call.destination]};width:{kind.width};via:{via}"
        fields = {"class": call.class_name, "left": str(int(left_s * 1000)), "key": call.number}
        if transit_of:
            extras += ";transit:1"
        elif call.tries > 1:
            fields["retry"] = "1"
        fields["extras"] = extras
        sdp = f"{wire_id}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
        if not line.say("setup", wire_id, fields=fields, sdp=sdp):
            if not transit_of:
                self._redial(call, 0.0)
            return None
        self.messages["set-ups to gatekeepers"] += 1
        self.tries[wire_id] = one
        one.timer = self.at(self.now() + left_s, self._give_up, one)
        return one

    def _give_up(self, one: Try) -> None:
        if one.answered or one.ended:
            return
        one.ended = one.given_up = True
        one.line.say("release", one.wire_id, cause=16)
        self.at(self.now() + 2.0, self._forget, one)
        if one.transit_of:
            self._refused(one.transit_of, 503, "via_said_no")
        else:
            self._redial(one.call, 0.0)

    def _forget(self, one: Try) -> None:
        self.tries.pop(one.wire_id, None)

    def _redial(self, call: CallerCall, told_s: float) -> None:
        redial = self.load.redial
        kind = self.load.class_named(call.class_name)
        wait_s = max(redial.wait_s, told_s if call.draw.random() < redial.heed_share else 0.0)
        if call.tries > redial.max_redials or self.now() + wait_s >= call.first_s + kind.deadline_s:
            call.over = True
            return
        self.at(self.now() + wait_s, self._dial, call)

    def _row(self, row: dict[str, Any]) -> None:
        one = self.tries.get(row.get("id", ""))
        if one is None or row.get("type") not in ("answer", "release"):
            return
        if row["type"] == "answer":
            if one.given_up:
                return  # it crossed the caller's leaving
            if one.answered or one.ended:
                return self.violated(f"a second final answer for {one.wire_id}")
            one.answered = True
            if one.timer:
                one.timer.cancel()
            if one.transit_of:
                self._answer(one.transit_of)
            else:
                self._stands(one)
            return
        if one.given_up:
            return self._forget(one)
        if one.ended:
            return self.violated(f"a second release of {one.wire_id}")
        one.ended = True
        if one.timer:
            one.timer.cancel()
        self._forget(one)
        if one.answered:
            if one.call.stood_s >= 0 and row.get("cause") != 16 and not one.transit_of:
                one.call.cut = True
            return
        wait_s = float(row.get("fields", {}).get("wait", 0)) / 1000
        if one.transit_of:
            note = "far_cpu_full" if row.get("cause") == 42 else "via_said_no"
            self._refused(one.transit_of, 503, note)
        else:
            self._redial(one.call, wait_s)

    def _stands(self, one: Try) -> None:
        call = one.call
        call.stood_s, call.over = self.now(), True
        self.delays.record_value(max(1, int((call.stood_s - call.first_s) * 1e6)))
        attempt = one.out
        call.tandem = attempt is not None and attempt.receiver != call.destination
        self.at(self.now() + call.holding_s, self._hang_up, one)

    def _line_lost(self, line: CallerLine) -> None:
        for one in [
            one for one in self.tries.values() if one.line is line and not one.answered and not one.ended
        ]:
            one.ended = True
            self._forget(one)
            if one.timer:
                one.timer.cancel()
            if self.stop.is_set():
                continue
            if self.now() - one.offered_s < SLACK_S and not one.again:
                # A set-up that crosses the close of a connection is sent once more.
                left_s = one.timer.when() - self.loop.time() if one.timer else 0.0
                fresh = self._offer(one.call, one.at, left_s, one.transit_of)
                if fresh:
                    fresh.again = True
                    if one.transit_of:
                        one.transit_of.transit = fresh
                continue
            self.violated(f"{one.wire_id} lost with its connection to {one.at}")
            if one.transit_of:
                self._refused(one.transit_of, 503, "via_said_no")
            else:
                self._redial(one.call, 0.0)

    # Store switches

    def _group_changed(self, group: Any) -> None:
        a, b = group.ends
        for pair in ((a, b), (b, a)):
            self.ports[pair].tell_state()

    def _sip(self, port: SwitchPort, link: SipLink, message: SipMessage) -> None:
        method = message.start.split(" ", 1)[0]
        if method == "INVITE":
            self._invite(port, link, message)
        elif method == "CANCEL":
            link.send(_answer(message, 200))
            self._cancelled(message.call_id, port.gatekeeper)
        elif method == "BYE":
            link.send(_answer(message, 200))
            one = self.tries.get(message.call_id)
            if one and one.out:
                self._end_attempt(one.out, tell_transit=True)
        elif method == "OPTIONS":
            link.send(_answer(message, 200))

    def _sip_lost(self, port: SwitchPort, link: SipLink) -> None:
        """The set-ups open on a connection that ends are given up."""
        for one in list(self.tries.values()):
            attempt = one.out
            if attempt and attempt.link is link and not attempt.stood:
                self._cancelled(one.wire_id, port.gatekeeper)

    def _invite(self, port: SwitchPort, link: SipLink, message: SipMessage) -> None:
        sender, receiver, now = port.gatekeeper, port.switch, self.now()
        one = self.tries.get(message.call_id)
        if one is None or one.at != sender:
            self.violated(f"a set-up that no caller sent: {message.call_id}")
            return link.send(_answer(message, 500))
        if one.out is not None:
            self.violated(f"two attempts of {one.wire_id} out at once")
        if now - one.freed_s < self.fleet.rules.release_delay_s:
            self.violated(
                f"{one.wire_id} again {now - one.freed_s:.3f} s after an attempt that timed out or was cut"
            )
        if one.transit_of and receiver != one.call.destination:
            self.violated(f"{one.wire_id}, in transit, past its destination")
        attempt = Attempt(one, sender, receiver, link, key=f"{next(self.attempt_keys)}")
        one.out = attempt
        one.call.attempts += 1
        kind = self.load.class_named(one.call.class_name)
        group = self.plant.group(sender, receiver)
        if group is None or not group.seize(attempt.key, kind.width, now):
            return self._refused(attempt, 480, "all_trunks_busy")
        done = self.plant.processors[sender].take(now, 1.0)
        if done is None:
            return self._refused(attempt, 503, "cpu_full")
        self.at(done + self.plant.delay_s(sender, receiver), self._arrived, attempt)

    def _arrived(self, attempt: Attempt) -> None:
        """The set-up at the far switch. One that was given up is worked on all the same."""
        now, call = self.now(), attempt.one.call
        processor = self.plant.processors[attempt.receiver]
        back_s = self.plant.delay_s(attempt.sender, attempt.receiver)
        if attempt.receiver == call.destination:
            done = processor.take(now, 1.0)
            if done is None:
                self.at(now + back_s, self._refused, attempt, 503, "cpu_full")
                return
            self.at(done, self._accepted, attempt)
        elif not attempt.over:
            processor.work(now, self.fleet.work.look)
            left_s = 0.0
            if attempt.one.timer:
                left_s = attempt.one.timer.when() - self.loop.time() - 2 * back_s
            attempt.transit = self._offer(call, attempt.receiver, left_s, attempt) if left_s > 0.05 else None
            if attempt.transit is None:
                self.at(now + back_s, self._refused, attempt, 503, "via_said_no")

    def _accepted(self, attempt: Attempt) -> None:
        done = self.plant.processors[attempt.receiver].work(self.now(), self.fleet.work.answer)
        self.at(done + self.plant.delay_s(attempt.sender, attempt.receiver), self._answer, attempt)

    def _answer(self, attempt: Attempt) -> None:
        """At the sender's switch; its gatekeeper hears of it once that has worked on it."""
        if not attempt.over:
            done = self.plant.processors[attempt.sender].work(self.now(), self.fleet.work.answer)
            self.at(done, self._answered, attempt)

    def _answered(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        attempt.stood = True
        body = f"from-{attempt.receiver}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
        attempt.link.send(sip("SIP/2.0 200 OK", attempt.one.wire_id, "1 INVITE", body=body))

    def _refused(self, attempt: Attempt, status: int, note: str) -> None:
        if attempt.over:
            return
        self._free(attempt)
        group = self.plant.group(attempt.sender, attempt.receiver)
        state = f"X-Group: free:{group.free};size:{group.size}" if group else "X-Group: free:0;size:0"
        attempt.link.send(
            sip(f"SIP/2.0 {status} No", attempt.one.wire_id, "1 INVITE", f"X-Cause: {note}", state)
        )

    def _free(self, attempt: Attempt) -> None:
        attempt.over = True
        if attempt.one.out is attempt:
            attempt.one.out = None
        group = self.plant.group(attempt.sender, attempt.receiver)
        if group:
            group.release(attempt.key, self.now())

    def _cancelled(self, wire_id: str, at: str) -> None:
        one = self.tries.get(wire_id)
        if one and one.at == at and one.out:
            one.freed_s = self.now()
            self._end_attempt(one.out, tell_transit=True)

    def _end_attempt(self, attempt: Attempt, tell_transit: bool) -> None:
        """The gatekeeper has given it up, or released it: so is the leg beyond, at the tandem."""
        if attempt.over:
            return
        self._free(attempt)
        transit = attempt.transit
        if tell_transit and transit and not transit.ended:
            transit.ended = transit.given_up = True
            if transit.timer:
                transit.timer.cancel()
            transit.line.say("release", transit.wire_id, cause=16)
            self.at(self.now() + 2.0, self._forget, transit)

    def _hang_up(self, one: Try) -> None:
        """The called side ends the call: a release that passes the processors, and frees as it goes."""
        attempt = one.out
        if attempt is None or attempt.over:
            return
        legs = [attempt]
        if attempt.transit and attempt.transit.out:
            legs.append(attempt.transit.out)
        far = legs[-1]
        done = self.plant.processors[far.receiver].work(self.now(), self.fleet.work.release)
        self._release_leg(legs, done + self.plant.delay_s(far.sender, far.receiver))

    def _release_leg(self, legs: list[Attempt], at_s: float) -> None:
        def due() -> None:
            leg = legs[-1]
            done = self.plant.processors[leg.sender].work(self.now(), self.fleet.work.release)
            self.at(done, ended)

        def ended() -> None:
            leg = legs.pop()
            if not leg.over:
                self._free(leg)
                call_id = leg.one.wire_id
                link = leg.link if leg.link.open else self.ports[leg.sender, leg.receiver].any_link()
                if link:
                    link.send(
                        sip(f"BYE sip:{call_id}@net SIP/2.0", call_id, "2 BYE", "Reason: Q.850;cause=16")
                    )
            if legs:
                self._release_leg(legs, self.now() + self.plant.delay_s(legs[-1].sender, legs[-1].receiver))

        self.at(at_s, due)


def _answer(message: SipMessage, status: int) -> bytes:
    return sip(f"SIP/2.0 {status} {'OK' if status == 200 else 'No'}", message.call_id, message.cseq)


def _usage(pid: int) -> tuple[float, float]:
    """CPU seconds and resident megabytes of a process, from /proc; zeros where there is none."""
    try:
        values = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
        tick = os.sysconf("SC_CLK_TCK")
        cpu_s = (int(values[11]) + int(values[12])) / tick
        return cpu_s, int(values[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0, 0.0
