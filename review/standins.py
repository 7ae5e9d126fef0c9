"""Stand-ins for the cases of the review: the gatekeeper's process, carrier switches, discovery and callers.

Everything runs on loopback and in real time. The gatekeeper is started with the `run` command of deploy/balancer.toml.
The stand-ins are sound: a case tells them what else to do.
"""

import asyncio
import contextlib
import itertools
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NS = 1_000_000_000
TIME_LIMIT_S = 95  # of a play; its processes are ended after that, within the 120 s of a script
DESCRIPTION = "{token}\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def settings(here=0, gatekeepers=3):
    """Settings of a small deployment, with the names and the figures of the example in WIRE."""
    classes = [
        ("box-lookup", 1.0, 1_500_000_000, 9 * NS),
        ("rig-depth-fix", 8.0, 1_000_000_000, 6 * NS),
    ]
    return {
        "balancers": gatekeepers,
        "ordinal": here,
        "classes": [
            {
                "name": name, "value": value, "objective-ns": objective, "deadline-ns": deadline,
                "late-worth": 0.25, "effect": "idempotent", "dedup-scope": "all", "window-ns": 5 * NS,
                "stream": True,
            }
            for name, value, objective, deadline in classes
        ],
        "clients": {"marks-retry": True},
        "family-info": {
            "advice": True, "channels-needed": [1, 1], "class-hold-ns": [11_600_000_000, 5_800_000_000],
            "here": here, "release-ns": 200_000_000, "remote-load": "pull", "resend-ns": 0, "says-wait": False,
            "shape": "mesh", "skilled-pools": [],
        },
        "guarantees": {
            "ask-every-ns": 10 * NS, "cold-share": 0.31, "drain-grace-ns": 250_000_000, "fall-ns": 3 * NS,
            "grace-to-answer-ns": 20_000_000, "overload-factor": 3.0, "ramp-time-ns": 13 * NS,
        },
        "kind-of-service": "trunks",
        "limits": {
            "cancel": True, "conn-idle-ns": 600 * NS, "dial-timeout-ns": 500_000_000, "max-attempts": 5,
            "max-open": 20000, "max-retry-after-ns": 2 * NS, "peers": True, "probes": True, "retry-after": True,
            "second-copies": False, "streams-per-conn": 1_048_576,
        },
        "membership-mode": "automatic",
        "report": {"fields": ["free", "size", "latency_ms", "can_take"], "source": "pull"},
        "tick-ns": 5_000_000,
        "zone": "agadir",
        "zones": ["casablanca", "marrakech", "agadir", "oujda"],
    }  # fmt: skip


class Record:
    """What was sent, answered and run: a line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.path, self.started, self.lines = Path(folder, "record.txt"), time.monotonic(), []

    def __call__(self, who, what):
        self.lines.append(f"{time.monotonic() - self.started:9.4f} {who:14} {what}")

    def save(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Switch:
    """A carrier switch. `on_invite(call_id, writer, description)` decides about a set-up; by default it is answered.

    `open` holds the set-ups that are out: Call-ID to the connections that they were read on. `standing` holds the
    calls that were answered and not released, `released` when a BYE for a call was read.
    """

    def __init__(self, name, number, record, size=40):
        self.name, self.number, self.record, self.size = name, number, record, size
        self.on_invite = None
        self.writers, self.tasks, self.muted = [], set(), set()
        self.open, self.standing, self.released, self.descriptions = {}, {}, {}, {}
        self.attempts = []  # each set-up that was read: [Call-ID, when it was read, when it ended or None]
        self.ended = {}  # when the switch released a call
        self.server, self.port, self.pending_byes = None, 0, {}

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, status="up", since_ms=0):
        return {
            "name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "oujda", "type": "std-1core",
            "group": self.number, "status": status, "weight": 1, "since_ms": since_ms,
        }  # fmt: skip

    def later(self, delay_s, function, *arguments):
        """Call the function after a delay; its errors end up in the record."""

        async def run():
            await asyncio.sleep(delay_s)
            function(*arguments)

        task = asyncio.get_running_loop().create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @property
    def free(self):
        return self.size - len(self.open) - len(self.standing)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        self.record(self.name, f"connection {len(self.writers)} accepted")
        self.state(writer)
        for call_id, cause in list(self.pending_byes.items()):
            self.send(
                writer, f"BYE sip:{call_id}@net SIP/2.0", call_id, "2 BYE", f"Reason: Q.850;cause={cause}"
            )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                start, *rows = head.strip().split("\r\n")
                headers = {name.lower(): value for name, value in (row.split(": ", 1) for row in rows)}
                body = await reader.readexactly(int(headers["content-length"]))
                self.take(writer, start, headers, body)
        for call_id, writers in list(self.open.items()):
            while writer in writers:
                self.end_open(call_id, writer)
                self.record(self.name, f"set-up {call_id} given up: its connection was closed")
        writer.close()

    def take(self, writer, start, headers, body):
        method, call_id = start.split()[0], headers["call-id"]
        if method == "INVITE":
            self.record(self.name, f"read INVITE {call_id} X-Setup-Ms {headers.get('x-setup-ms')}")
            self.attempts.append([call_id, time.monotonic(), None])
            self.open.setdefault(call_id, []).append(writer)
            self.state_all()
            (self.on_invite or self.answer)(call_id, writer)
        elif method == "OPTIONS":
            report = f"X-Group: free:{self.free};size:{self.size};latency_ms:3;can_take:50"
            self.send(writer, "SIP/2.0 200 OK", call_id, "1 OPTIONS", report)
        elif method == "CANCEL":
            self.record(self.name, f"read CANCEL {call_id}")
            self.end_all(call_id)
            self.state_all()
        elif method == "BYE":
            self.record(self.name, f"read BYE {call_id} {headers.get('reason')}")
            self.send(writer, "SIP/2.0 200 OK", call_id, headers["cseq"])
            self.released.setdefault(call_id, time.monotonic())
            self.end_all(call_id)
            self.standing.pop(call_id, None)
            self.state_all()
        elif start.startswith("SIP/2.0 ") and headers["cseq"].endswith("BYE"):
            self.pending_byes.pop(call_id, None)

    def state(self, writer):
        self.send(
            writer, "NOTIFY sip:group@net SIP/2.0", "state", "1 NOTIFY",
            f"X-Group: free:{self.free};size:{self.size};latency_ms:-1;can_take:-1",
        )  # fmt: skip

    def state_all(self):
        for writer in self.writers:
            if not writer.is_closing():
                self.state(writer)

    def description(self, call_id):
        """The description that this switch made for the call."""
        return self.descriptions.setdefault(call_id, DESCRIPTION.format(token=secrets.token_hex(8)))

    def answer(self, call_id, writer):
        """Answer the oldest set-up of the call that is out, unless it was given up."""
        if writer not in self.open.get(call_id, ()):
            return
        self.end_open(call_id, writer)
        self.standing[call_id] = writer
        self.record(self.name, f"wrote 200 to INVITE {call_id}: the call stands")
        self.send(writer, "SIP/2.0 200 OK", call_id, "1 INVITE", body=self.description(call_id))
        self.state_all()

    def refuse(self, call_id, writer, status, *headers):
        """End a set-up that is out with this status."""
        if writer not in self.open.get(call_id, ()):
            return
        self.end_open(call_id, writer)
        self.record(self.name, f"wrote {status} to INVITE {call_id}")
        self.send(writer, f"SIP/2.0 {status} No", call_id, "1 INVITE", *headers)
        self.state_all()

    def end_open(self, call_id, writer):
        """The oldest set-up of the call that is out on this connection has its end."""
        self.open[call_id].remove(writer)
        if not self.open[call_id]:
            del self.open[call_id]
        attempt = next(attempt for attempt in self.attempts if attempt[0] == call_id and attempt[2] is None)
        attempt[2] = time.monotonic()

    def end_all(self, call_id):
        for writer in list(self.open.get(call_id, ())):
            self.end_open(call_id, writer)

    def bye(self, call_id, cause=16):
        """The call has come to its end: release it on the connection of its set-up, else on any open one."""
        writer = self.standing.pop(call_id)
        self.record(self.name, f"BYE {call_id} cause {cause}: the call is over")
        self.pending_byes[call_id], self.ended[call_id] = cause, time.monotonic()
        usable = [writer, *self.writers]
        for candidate in usable:
            if not candidate.is_closing():
                self.send(
                    candidate,
                    f"BYE sip:{call_id}@net SIP/2.0",
                    call_id,
                    "2 BYE",
                    f"Reason: Q.850;cause={cause}",
                )
                break
        self.state_all()

    def send(self, writer, start, call_id, cseq, *headers, body="", length=None):
        if writer.is_closing():
            return
        data = body.encode()
        length = len(data) if length is None else length
        lines = [start, "Via: SIP/2.0/TCP peer", f"Call-ID: {call_id}", f"CSeq: {cseq}", *headers]
        writer.write("\r\n".join([*lines, f"Content-Length: {length}", "", ""]).encode() + data)

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()


def quick_switch(name, number, record, size=80, holding_s=3.0):
    """A switch that answers each set-up after 50 ms and releases the call holding_s later."""
    switch = Switch(name, number, record, size)

    def end(call_id):
        if call_id in switch.standing:
            switch.bye(call_id)

    def answer(call_id, writer):
        switch.answer(call_id, writer)
        switch.later(holding_s, end, call_id)

    switch.on_invite = lambda call_id, writer: switch.later(0.05, answer, call_id, writer)
    return switch


class Discovery:
    """The command channel: serves numbered events from the requested one on, and the last number each second.

    Its first line comes answer_delay_s after the request.
    """

    def __init__(self, record):
        self.events, self.writers, self.record, self.server, self.port = [], [], record, None, 0
        self.answer_delay_s = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, ValueError, asyncio.CancelledError):
            _, cursor = (await reader.readline()).split()
            self.record("discovery", f"read resume {int(cursor)}")
            await asyncio.sleep(self.answer_delay_s)
            for event in self.events[int(cursor) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.writers.append(writer)
            while not writer.is_closing():
                writer.write(b"%d\n" % len(self.events))
                await asyncio.sleep(1)

    def event(self, *entries, snapshot=False):
        nodes = {"index": len(self.events) + 1, "snapshot": snapshot, "endpoints": list(entries)}
        self.events.append({"cursor": len(self.events) + 1, "nodes": nodes})
        for writer in self.writers:
            writer.write(json.dumps(self.events[-1]).encode() + b"\n")


class Caller:
    """One connection of a client. `rows` holds all that was received for a call, with its time."""

    numbers = itertools.count(1)

    def __init__(self, record, name="caller"):
        self.record, self.name = record, f"{name} {next(self.numbers)}"
        self.rows, self.closed, self.changed = {}, False, asyncio.Event()

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.record(self.name, "connected")
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        with contextlib.suppress(OSError):
            while line := await self.reader.readline():
                row = json.loads(line)
                if row["type"] != "pong":
                    self.record(self.name, f"received {line.decode().strip()}")
                self.rows.setdefault(row["id"], []).append((time.monotonic(), row))
                self.changed.set()
        self.record(self.name, "connection closed by the gatekeeper")
        self.closed = True
        self.changed.set()
        self.writer.close()

    def send(self, message_type, call_id, **more):
        line = json.dumps({"type": message_type, "id": call_id, "fields": {}, **more})
        if message_type != "ping":
            self.record(self.name, f"sent {line}")
        self.writer.write(line.encode() + b"\n")

    def set_up(self, destination, left_ms=3000, sdp=None, class_name="box-lookup", key=None):
        call_id = secrets.token_hex(8)
        fields = {
            "class": class_name, "left": str(left_ms), "key": key or secrets.token_hex(8),
            "extras": f"dest:{destination};width:1;via:-1",
        }  # fmt: skip
        sdp = DESCRIPTION.format(token=secrets.token_hex(8)) if sdp is None else sdp
        self.send("setup", call_id, fields=fields, sdp=sdp)
        return call_id

    async def wait(self, call_id, types=("answer", "release"), timeout_s=12.0):
        """The first message of these types for the call; None if none comes in time or the connection ends."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    for _, row in self.rows.get(call_id, ()):
                        if row["type"] in types:
                            return row
                    if self.closed:
                        return None
                    self.changed.clear()
                    await self.changed.wait()
        return None

    def close(self):
        self.writer.close()


class Proxy:
    """Passes connections on to a port. silence() leaves the present ones open, and nothing passes on them any more."""

    def __init__(self, record, target):
        self.record, self.target, self.pumps, self.writers = record, target, set(), []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        self.writers += [writer, far_writer]
        for pair in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.get_running_loop().create_task(self.pump(*pair))
            self.pumps.add(task)
            task.add_done_callback(self.pumps.discard)

    async def pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                writer.write(data)
        writer.close()

    def silence(self):
        self.record("proxy", f"nothing passes any more on the {len(self.pumps) // 2} open connections")
        for task in self.pumps:
            task.cancel()

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class LogReader:
    """The platform's reader of the log of a gatekeeper (what it writes to standard output and error), over a pipe."""

    def __init__(self, record, name):
        self.record, self.name, self.partial = record, name, b""
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)

    def start(self):
        """Called when the process has its copy of the write end."""
        os.close(self.write_end)
        self.resume()

    def pause(self):
        asyncio.get_running_loop().remove_reader(self.read_end)

    def resume(self):
        asyncio.get_running_loop().add_reader(self.read_end, self.read)

    def read(self):
        try:
            data = os.read(self.read_end, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            return self.pause()
        *lines, self.partial = (self.partial + data).split(b"\n")
        for line in lines:
            self.record(self.name, line.decode(errors="replace").strip())

    def close(self):
        """Read what is left, and go."""
        if self.read_end is not None:
            self.pause()
            self.read()
            os.close(self.read_end)
            self.read_end = None


class World:
    """A gatekeeper process among the stand-ins. All that it started is ended when the block is left."""

    def __init__(self, record, *switches, gatekeepers=3, operator=""):
        self.record, self.switches, self.gatekeepers = record, switches, gatekeepers
        self.operator = operator  # text of the operator's file; without it the gatekeeper gets none
        self.discovery = Discovery(record)
        self.processes, self.logs = [], []

    async def __aenter__(self):
        await self.discovery.start()
        for switch in self.switches:
            if switch.server is None:
                await switch.start()
        own = {
            "name": "s-own", "address": "127.0.0.1:9", "zone": "agadir", "type": "std-1core", "group": 0,
            "status": "up", "weight": 1, "since_ms": 0,
        }  # fmt: skip
        self.discovery.event(own, *(switch.entry() for switch in self.switches), snapshot=True)
        self.folder = tempfile.TemporaryDirectory()
        self.port, self.peer_port = free_port(), free_port()
        self.config = Path(self.folder.name, "config.json")
        temporary = Path(self.folder.name, "tmp")
        temporary.mkdir()
        self.temporary = str(temporary)
        self.document = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "channel": f"127.0.0.1:{self.discovery.port}",
            "known": {"cursor": 1, "cmds": list(self.discovery.events)},
            "settings": settings(gatekeepers=self.gatekeepers),
        }  # fmt: skip
        self.config.write_text(json.dumps(self.document))
        try:
            self.process, self.console_port = await self.launch()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def launch(self):
        """Start a gatekeeper by the deploy file's `run`, and wait until it says that it is ready to serve."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if self.operator:
            path = Path(self.folder.name, "operator.toml")
            path.write_text(self.operator)
            run += f" --operator {path}"
        console_port = free_port()
        log = LogReader(self.record, f"gatekeeper {len(self.processes) + 1} log")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, stderr=log.write_end, stdout=log.write_end,
            env={
                **os.environ, "ROUTER_NAME": "n0", "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
                "ROUTER_CONFIG": str(self.config), "TMPDIR": self.temporary,
                "ROUTER_CONSOLE": f"127.0.0.1:{console_port}",
            },
        )  # fmt: skip
        log.start()
        self.processes.append(process)
        self.logs.append(log)
        name = f"gatekeeper {len(self.processes)}"
        self.record(name, f"started: {run}")
        for _ in range(150):
            if process.returncode is not None:
                raise CannotRun("the gatekeeper ended during its start")
            if (await self.console("STATUS", console_port)).startswith("+OK"):
                self.record(name, "says that it is ready to serve")
                return process, console_port
            await asyncio.sleep(0.1)
        raise CannotRun("the gatekeeper was not ready in time")

    async def console(self, command, port):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(command.encode() + b"\n")
                answer = (await reader.read()).decode()
                writer.close()
                return answer
        return ""

    async def caller(self, name="caller"):
        return await Caller(self.record, name).connect(self.port)

    async def __aexit__(self, *_):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(6):
                    await process.wait()
            if process.returncode is None:
                process.kill()
                await process.wait()
        for log in self.logs:
            log.close()
        for server in (self.discovery, *self.switches):
            if server.server:
                server.server.close()
        self.folder.cleanup()


def main(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    play(record) returns a list of texts, one for each breach of the rule.
    """
    record = Record(folder)

    async def limited():
        async with asyncio.timeout(TIME_LIMIT_S):
            return await play(record)

    record("case", f"TROUBLE={int(TROUBLE)}")
    try:
        breaches = asyncio.run(limited())
        code = 1 if breaches else 0
        for breach in breaches:
            record("verdict", breach)
        record("verdict", "the rule was broken" if breaches else "the rule held")
    except Exception as error:  # any error means that the case could not be played
        record("verdict", f"could not run: {error!r}")
        record.lines.append(traceback.format_exc())
        code = 2
    record.save()
    print(*[line for line in record.lines if " verdict " in line], sep="\n")
    sys.exit(code)
