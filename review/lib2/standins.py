"""Stand-ins for a small deployment round real gatekeeper processes, all on 127.0.0.1 and the real clock.

They follow PROTOCOL, DEPLOY and LATER; where these are silent, they behave as a sound platform, switch, discovery or
caller would. A case derives its verdict from what they have sent and received. Standard library only.
"""

import asyncio
import collections
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NS_PER_S = 1_000_000_000
RUN_LIMIT_S = 100.0  # the whole case; a run may take 120 s
READY_LIMIT_S = 30.0  # DEPLOY: callers come after 30 s at the latest
SINGLE_AGAIN_AFTER_S = 5.5  # LATER: rules that count what is held are not checked for 5 s after two have run
YES_LIMIT_S = 6.0  # LATER: a process that replaces another says yes within 6 s
HELD, BROKEN, CANNOT_RUN = 0, 11, 2  # of the interpreter; run.sh turns 11 into 1, and all but 0 and 11 into 2


class CannotRun(Exception):
    """The case could not be carried out, so that it says nothing about the rule."""


def settings(switches, **changed):
    """Settings as in WIRE, for own exchange number 0 and this many exchanges."""
    return {
        "balancers": switches,
        "ordinal": 0,
        "classes": [
            {
                "name": "box-lookup", "value": 1.0, "objective-ns": 1_500_000_000, "deadline-ns": 9 * NS_PER_S,
                "late-worth": 0.25, "effect": "idempotent", "stream": True, "dedup-scope": "all",
                "window-ns": 5 * NS_PER_S,
            },
            {
                "name": "rig-depth-fix", "value": 8.0, "objective-ns": NS_PER_S, "deadline-ns": 6 * NS_PER_S,
                "late-worth": 0.25, "effect": "idempotent", "stream": True, "dedup-scope": "all",
                "window-ns": 5 * NS_PER_S,
            },
        ],
        "clients": {"marks-retry": True},
        "family-info": {
            "advice": True, "channels-needed": [1, 1], "class-hold-ns": [11_600_000_000, 5_800_000_000], "here": 0,
            "release-ns": 200_000_000, "remote-load": "pull", "resend-ns": 0, "says-wait": False, "shape": "mesh",
            "skilled-pools": [],
        },
        "guarantees": {
            "ask-every-ns": 10 * NS_PER_S, "cold-share": 0.31, "drain-grace-ns": 250_000_000,
            "fall-ns": 3 * NS_PER_S, "grace-to-answer-ns": 20_000_000, "overload-factor": 3.0,
            "ramp-time-ns": 13 * NS_PER_S,
        },
        "kind-of-service": "trunks",
        "kinds": ["std-1core"],
        "layers": ["core-exchange"],
        "limits": {
            "cancel": True, "conn-idle-ns": 600 * NS_PER_S, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400_000,
            "dial-timeout-ns": 500_000_000, "max-attempts": 5, "max-open": 20000,
            "max-retry-after-ns": 2 * NS_PER_S, "peers": True, "probes": True, "retry-after": True,
            "second-copies": False, "streams-per-conn": 1_048_576,
        },
        "membership-mode": "automatic",
        "objective-mix": {"whole": 0.6, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.1},
        "orgs": [],
        "report": {"fields": ["free", "size", "latency_ms", "can_take"], "source": "pull"},
        "stage": 0,
        "tick-ns": 5_000_000,
        "weights": "silent",
        "worth-by": "request",
        "zone": "agadir",
        "zones": ["casablanca", "marrakech", "agadir", "oujda"],
        **changed,
    }  # fmt: skip


class Run:
    """One run of a case: the record, the free ports, and the processes and servers that must be ended."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record = open(Path(folder, "record.txt"), "w", encoding="utf-8")  # noqa: SIM115 - open for the run
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.reserved = collections.deque()
        self.tasks = set()
        self.processes, self.servers, self.findings = [], [], []
        self.note("case", f"TROUBLE={int(self.trouble)}")

    def now(self):
        return time.monotonic() - self.started

    def note(self, who, text):
        self.record.write(f"{self.now():8.3f} {who}: {text}\n")
        self.record.flush()

    def broken(self, text):
        """Record that the rule was broken."""
        self.findings.append(text)
        self.note("RULE BROKEN", text)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def port(self, kind=socket.SOCK_STREAM):
        """A free port. A TCP port stays bound, without listening, so that no one else gets it meanwhile."""
        probe = socket.socket(socket.AF_INET, kind)
        if kind == socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.reserved.append(probe)
        probe.bind((HOST, 0))
        number = probe.getsockname()[1]
        if kind != socket.SOCK_STREAM:
            probe.close()
        return number

    def datagram_port(self):
        """The port of a datagram socket that is open for the run, and that nobody reads."""
        listening = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        listening.bind((HOST, 0))
        self.servers.append(listening)
        return listening.getsockname()[1]

    async def until_alone(self, process):
        """Wait until the process has been gone for a while: LATER checks some rules only 5 s after both have run."""
        await self.wait_until(
            lambda: process.returncode is not None, 10, f"the end of process {process.label}"
        )
        await asyncio.sleep(SINGLE_AGAIN_AFTER_S)

    async def wait_until(self, condition, limit_s, what):
        """Wait until condition() is true; CannotRun after limit_s."""
        until = self.now() + limit_s
        while not condition():
            if self.now() > until:
                raise CannotRun(f"not seen within {limit_s:g} s: {what}")
            await asyncio.sleep(0.01)

    async def end(self):
        """End all processes and servers."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
                await process.wait()
        for server in self.servers:
            server.close()
        for sock in self.reserved:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """Starts gatekeeper processes by `run` of the deploy file, and replaces them as LATER describes."""

    def __init__(self, run, channel, switches, **changed_settings):
        self.run, self.channel = run, channel
        self.listen_port = run.port()
        self.command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        # The other gatekeepers of the tier, which only listen, and the address that reaches all of them.
        others = [run.datagram_port() for _ in switches]
        peer_port, all_peers = run.port(socket.SOCK_DGRAM), run.datagram_port()
        self.temporary_folder = Path(run.folder, "tmp")
        self.temporary_folder.mkdir()
        self.config_path = Path(run.folder, "config.json")
        self.document = {
            "name": "n0",
            "listen": f"{HOST}:{self.listen_port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{peer_port}",
            "peers": [f"{HOST}:{port}" for port in (peer_port, *others)],
            "peers_all": f"{HOST}:{all_peers}",
            "channel": f"{HOST}:{channel.port}",
            "known": {"cursor": len(channel.events), "cmds": list(channel.events)},
            "settings": settings(len(switches) + 1, **changed_settings),
        }
        self.config_path.write_text(json.dumps(self.document))

    async def start(self, label):
        """Start one process, with a console of its own, and return it."""
        console = self.run.port()
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT, start_new_session=True,
            env={
                **{name: value for name, value in os.environ.items() if name != "PYTHONPATH"},
                "ROUTER_NAME": "n0", "ROUTER_LISTEN": f"{HOST}:{self.listen_port}",
                "ROUTER_CONFIG": str(self.config_path), "ROUTER_CONSOLE": f"{HOST}:{console}",
                "TMPDIR": str(self.temporary_folder), "PYTHONDONTWRITEBYTECODE": "1",
            },
        )  # fmt: skip
        process.console, process.label = console, label
        self.run.processes.append(process)
        self.run.note("platform", f"started process {label}")
        self.run.spawn(self.copy_log(process))
        self.run.spawn(self.note_exit(process))
        return process

    async def copy_log(self, process):
        while line := await process.stdout.readline():
            self.run.note(f"log of {process.label}", line.decode("utf-8", "replace").rstrip()[:400])

    async def note_exit(self, process):
        self.run.note("platform", f"process {process.label} ended with {await process.wait()}")

    async def says_yes(self, process):
        """Ask STATUS once, as staff and platform do."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(HOST, process.console)
                writer.write(b"STATUS\n")
                answer = await reader.readline()
                writer.close()
                return answer.startswith(b"+OK")
        return False

    async def ready(self, process, limit_s=READY_LIMIT_S):
        until = self.run.now() + limit_s
        while not await self.says_yes(process):
            if self.run.now() > until or process.returncode is not None:
                raise CannotRun(f"process {process.label} did not say yes within {limit_s:g} s")
            await asyncio.sleep(0.1)  # the front asks ten times each second
        self.run.note("platform", f"process {process.label} says yes")

    async def replace(self, old, label):
        """Replace the process, as LATER says: SIGTERM to the old one at the yes, SIGKILL 5.7 s later."""
        new = await self.start(label)
        await self.ready(new, YES_LIMIT_S)
        self.run.note("platform", f"SIGTERM to process {old.label}")
        old.send_signal(signal.SIGTERM)
        self.run.spawn(self.kill_later(old))
        return new

    async def kill_later(self, process):
        longest_s = max(row["deadline-ns"] for row in self.document["settings"]["classes"]) / NS_PER_S
        await asyncio.sleep(min(longest_s, 5.0) + 0.7)
        if process.returncode is None:
            self.run.note("platform", f"SIGKILL to process {process.label}")
            process.kill()


class Channel:
    """Discovery: numbered events of the switch list, and each second the last number."""

    def __init__(self, run):
        self.run, self.events, self.writers, self.port = run, [], set(), run.port()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, reuse_port=True)
        self.run.servers.append(self.server)

    def stop(self):
        """The process of discovery is down: connections are refused, and the open ones are reset."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.run.note("discovery", "down")

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, ValueError):
            _, cursor = (await reader.readline()).split()
            self.run.note("discovery", f"resume {int(cursor)}")
            for event in self.events[int(cursor) :]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.writers.add(writer)
            while not writer.is_closing():
                writer.write(b"%d\n" % len(self.events))
                await asyncio.sleep(1)
        self.writers.discard(writer)
        writer.close()

    def event(self, *entries, snapshot=False):
        event = {
            "cursor": len(self.events) + 1,
            "nodes": {"index": len(self.events) + 1, "snapshot": snapshot, "endpoints": list(entries)},
        }
        self.events.append(event)
        self.run.note("discovery", "event " + json.dumps(event))
        for writer in self.writers:
            writer.write(json.dumps(event).encode() + b"\n")


class Attempt:
    """A set-up at a switch: open, standing or over."""

    def __init__(self, call_id, link, at):
        self.call_id, self.link, self.received_at, self.state = call_id, link, at, "open"
        self.answered_at = self.over_at = self.bye_received_at = self.bye_sent_at = None
        self.how_over = ""


class Switch:
    """A carrier switch over SIP. It answers each set-up after answer_after_s; None: only when told to."""

    def __init__(self, run, name, number, circuits=100, answer_after_s=0.05):
        self.run, self.name, self.number, self.circuits = run, name, number, circuits
        self.answer_after_s = answer_after_s
        self.port = run.port()
        self.links = []  # writers of the open connections, oldest first
        self.attempts = []  # all set-ups received
        self.owed = {}  # call id -> message: releases that are sent on the next connection opened, too
        self.server = None
        self.opened = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, reuse_port=True)
        self.run.servers.append(self.server)
        return self

    def entry(self, status="up", since_ms=0):
        return {
            "name": self.name, "address": f"{HOST}:{self.port}", "zone": "agadir", "type": "std-1core",
            "group": self.number, "status": status, "weight": 1, "since_ms": since_ms,
        }  # fmt: skip

    def note(self, text):
        self.run.note(self.name, text)

    def free(self):
        return self.circuits - sum(attempt.state != "over" for attempt in self.attempts)

    def find(self, call_id, *states):
        return next((a for a in self.attempts if a.call_id == call_id and a.state in states), None)

    def of(self, call_id):
        return [attempt for attempt in self.attempts if attempt.call_id == call_id]

    def report(self):
        return f"X-Group: free:{self.free()};size:{self.circuits}"

    def send(self, link, start, call_id, cseq, *headers, body=b""):
        lines = [start, "Via: SIP/2.0/TCP peer", f"Call-ID: {call_id}", f"CSeq: {cseq}", *headers]
        head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
        if not link.is_closing():
            link.write(head.encode() + body)

    def tell_group(self, links=None):
        for link in self.links if links is None else links:
            self.send(link, "NOTIFY sip:group@net SIP/2.0", "group", "1 NOTIFY", self.report())

    async def serve(self, reader, link):
        self.opened += 1
        link.number = self.opened
        self.links.append(link)
        self.note(f"connection {link.number} opened")
        self.tell_group([link])
        for call_id, message in self.owed.items():
            self.note(f"connection {link.number}: BYE {call_id} again, on the next connection opened")
            link.write(message)
        self.owed.clear()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                start, *rows = head.strip().split("\r\n")
                headers = {name.lower(): value for name, value in (row.split(": ", 1) for row in rows)}
                await self.on_message(
                    link, start, headers, await reader.readexactly(int(headers["content-length"]))
                )
        self.links.remove(link)
        self.note(f"connection {link.number} ended")
        for attempt in self.attempts:
            if attempt.link is link and attempt.state == "open":
                self.over(attempt, "given up, its connection has ended")
        link.close()

    async def on_message(self, link, start, headers, body):
        method, call_id = start.split()[0], headers["call-id"]
        if method not in ("OPTIONS", "SIP/2.0"):
            self.note(f"connection {link.number}: {method} {call_id}")
        if method == "INVITE":
            attempt = Attempt(call_id, link, self.run.now())
            attempt.earlier = self.find(call_id, "open", "standing")
            attempt.body = body
            self.attempts.append(attempt)
            self.on_invite(attempt)
        elif method == "OPTIONS":
            self.send(link, "SIP/2.0 200 OK", call_id, headers["cseq"], self.report())
        elif method == "CANCEL":
            self.send(link, "SIP/2.0 200 OK", call_id, headers["cseq"])
            if attempt := self.find(call_id, "open"):
                self.over(attempt, "given up")
                self.send(link, "SIP/2.0 487 Request Terminated", call_id, "1 INVITE")
        elif method == "BYE":
            self.send(link, "SIP/2.0 200 OK", call_id, headers["cseq"])
            if attempt := self.find(call_id, "standing"):
                attempt.bye_received_at = self.run.now()
                self.over(attempt, "released by the gatekeeper")

    def on_invite(self, attempt):
        self.tell_group()
        if self.answer_after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.answer_after_s, self.answer, attempt)

    def answer(self, attempt):
        if attempt.state == "open":
            attempt.state, attempt.answered_at = "standing", self.run.now()
            attempt.description = (
                f"{secrets.token_hex(8)}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
            )
            self.note(f"connection {attempt.link.number}: 200 to INVITE {attempt.call_id}")
            self.send(
                attempt.link, "SIP/2.0 200 OK", attempt.call_id, "1 INVITE", body=attempt.description.encode()
            )

    def reset(self, link):
        """Reset the connection: the other side gets an RST, and not an orderly close."""
        self.note(f"resets connection {link.number}")
        link.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.transport.abort()

    def end_call(self, attempt, link=None):
        """The call comes to its end: BYE on the connection of its set-up, else on any open one."""
        message = (
            f"BYE sip:{attempt.call_id}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {attempt.call_id}\r\n"
            f"CSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        if attempt.link in self.links:
            link = attempt.link
        elif link is None and self.links:
            link = self.links[-1]
        self.owed[attempt.call_id] = message
        attempt.bye_sent_at = self.run.now()
        self.over(attempt, "ended by the switch")
        if link:
            self.note(f"connection {link.number}: BYE {attempt.call_id}")
            link.write(message)

    def over(self, attempt, how):
        attempt.state, attempt.how_over, attempt.over_at = "over", how, self.run.now()
        self.note(f"call {attempt.call_id} {how}")
        self.tell_group()


class Caller:
    """A connection of a caller. messages holds (time, message) of all that was received on it."""

    def __init__(self, run, label):
        self.run, self.label, self.messages, self.closed_at = run, label, [], None

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.run.note(self.label, "connected")
        self.run.spawn(self.receive())
        return self

    async def receive(self):
        how = "closed"
        try:
            while line := await self.reader.readline():
                self.run.note(self.label, "received " + line.decode("utf-8", "replace").rstrip()[:400])
                self.messages.append((self.run.now(), json.loads(line)))
        except OSError as error:
            how = f"ended: {error}"
        self.closed_at = self.run.now()
        self.run.note(self.label, how)
        self.writer.close()

    def send(self, message_type, call_id, **more):
        self.send_raw(json.dumps({"type": message_type, "id": call_id, "fields": {}, **more}))

    def send_raw(self, line):
        self.run.note(
            self.label, "sent " + (line if len(line) < 400 else f"{line[:200]} ... ({len(line)} bytes)")
        )
        self.writer.write(line.encode() + b"\n")

    def set_up(self, dest, left_ms=3000, call_id=None, class_name="box-lookup", extras="", **fields):
        call_id = call_id or secrets.token_hex(8)
        self.send(
            "setup", call_id,
            fields={
                "class": class_name, "left": str(left_ms), "key": secrets.token_hex(8),
                "extras": f"dest:{dest};width:1;via:-1{extras}", **fields,
            },
            sdp=f"{secrets.token_hex(8)}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
        )  # fmt: skip
        return call_id

    def of(self, call_id, *types):
        return [row for row in self.messages if row[1]["id"] == call_id and row[1]["type"] in types]

    async def answered(self, call_id, limit_s=5.0):
        """Wait until the call stands."""
        await self.run.wait_until(lambda: self.of(call_id, "answer"), limit_s, f"answer to {call_id}")

    def close(self):
        self.writer.close()


async def deployment(run, count=4, **changed_settings):
    """A channel, an own switch with exchange number 0, and count carrier switches; returns platform and switches."""
    channel = Channel(run)
    await channel.start()
    own = Switch(run, "s-own", 0)
    switches = [own] + [Switch(run, f"s-{number}", number) for number in range(1, count + 1)]
    for switch in switches:
        await switch.start()
    channel.event(*(switch.entry() for switch in switches), snapshot=True)
    return Platform(run, channel, switches[1:], **changed_settings), switches


def main(body, file):
    """Run the case; its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    run = Run(Path(file).parent)

    async def limited():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await body(run)
            return BROKEN if run.findings else HELD
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - whatever it is, it could not run
            run.note("case", f"could not run: {error!r}")
            return CANNOT_RUN
        finally:
            await run.end()

    code = asyncio.run(limited())
    run.note(
        "case", f"exit code {code}: " + ("rule broken" if code == 1 else "held" if code == 0 else "not run")
    )
    run.record.close()
    sys.stderr.flush()
    os._exit(code)  # without the finalizers of streams, which need the loop that has ended
