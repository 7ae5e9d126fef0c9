"""Randomized test of standing calls: switches and discovery fail in any order; callers must get each release in time.

The gatekeeper runs as a process and reaches the switches and the command channel through fault proxies. The trial
records when each call ends on its stand-in switch, and compares this with the release that the caller received. All
random choices come from one seeded generator.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field

from tansyspur.faults.proxy import Fault
from tests.world import Switch, World

HOLD_S = 3.0  # mean holding time
CALLS_PER_S = 20.0
HANG_UP_SHARE = 0.15
SLACK_S = 0.05  # tolerance that the protocol specification allows
MAX_NOTIFY_DELAY_S = 8.0 + SLACK_S  # limit for the caller's release when the switch could not deliver its own
SET_UP_TAIL_S = 2.5  # within this time after the last set-up, every set-up is answered or given up
SETTLE_S = 8.5  # wait after the last call has ended
EARLIEST_KILL_S = 3.7  # after SIGTERM, because the longest deadline is over 3 s
EARLY_WINDOW_S = 12.0  # a standing call may be reported as ended this long after a fault of its switch


@dataclass
class StandingCall:
    """An answered call as its caller sees it; times are those of the event loop, in seconds."""

    switch: str
    answered_at: float
    ended_at: float | None = None
    released_at: float | None = None  # when the caller received the release
    hung_up: bool = False


@dataclass
class TrialRecord:
    """Everything that a trial observed: calls at the callers, ends at the switches, and injected faults."""

    calls: dict[str, StandingCall] = field(default_factory=dict)
    ended_at: dict[tuple[str, str], float] = field(default_factory=dict)  # by switch and call
    faults: list[tuple[float, str, str]] = field(default_factory=list)  # (time, switch or "discovery", fault)
    outcomes: Counter[str] = field(default_factory=Counter)


class HeldCalls:
    """Replaces `Switch.open_calls`: a call that a release or a cancel removes is recorded as ended at that time."""

    def __init__(self, switch: "TrialSwitch") -> None:
        self.switch = switch

    def add(self, call_id: str) -> None: ...

    def discard(self, call_id: str) -> None:
        self.switch.release(call_id)

    def __contains__(self, call_id: str) -> bool:
        return False  # a cancel may have been lost with its connection

    def __iter__(self):
        return iter(list(self.switch.ends))

    def __len__(self) -> int:
        return len(self.switch.ends)


class TrialSwitch(Switch):
    """A stand-in switch that holds each call for a random time and then releases it.

    The release is sent on the set-up's connection, or another open one, and once more on the next that opens.
    """

    def __init__(self, name: str, number: int, rng: random.Random, record: TrialRecord) -> None:
        super().__init__(name, number, free=500)
        self.rng, self.record = rng, record
        self.ends: dict[str, asyncio.TimerHandle] = {}
        self.open_calls = HeldCalls(self)
        self.refusal_header = "X-Any: 1"

    def notify(self, writer, free=None) -> None:
        super().notify(writer, free)
        pending, self.pending_releases = self.pending_releases, {}
        for call_id, cause in pending.items():
            self.bye(call_id, cause, writer)

    def handle_setup(self, action, call_id, writer=None) -> None:
        super().handle_setup(action, call_id, writer)
        self.release(call_id)
        self.record.ended_at.pop((self.name, call_id), None)
        hold_s = 0.2 + self.rng.expovariate(1 / HOLD_S)
        loop = asyncio.get_running_loop()
        self.ends[call_id] = loop.call_later(hold_s, self.end, call_id)

    def release(self, call_id: str) -> None:
        timer = self.ends.pop(call_id, None)
        if timer:
            timer.cancel()
            self.record_end(call_id)

    def record_end(self, call_id: str) -> None:
        self.record.ended_at.setdefault((self.name, call_id), asyncio.get_running_loop().time())

    def end(self, call_id: str) -> None:
        del self.ends[call_id]
        self.record_end(call_id)
        self.pending_releases[call_id] = 16
        origin = self.origin[call_id]
        writers = [origin, *self.writers]
        writer = next((candidate for candidate in writers if not candidate.is_closing()), None)
        if writer:
            self.bye(call_id, 16, writer)

    def die(self) -> None:
        """End all calls and reset all connections, as the loss of the process does; its successor has no calls."""
        for call_id in list(self.ends):
            self.release(call_id)
        self.pending_releases = {}
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []


class Trial:
    """One trial with its own gatekeeper process; `violations` judges what it recorded.

    seconds: duration of the load and of the faults. shutdown: end with SIGTERM while faults are still active.
    """

    def __init__(self, seed: int, seconds: float, shutdown: bool = False) -> None:
        self.rng, self.seconds, self.shutdown = random.Random(seed), seconds, shutdown
        self.record = TrialRecord()
        self.switches = [TrialSwitch(f"s-{number}", number, self.rng, self.record) for number in (1, 2, 3)]
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        async with World(*self.switches, proxied=True) as world:
            self.world, self.loop = world, asyncio.get_running_loop()
            callers = [await world.caller() for _ in range(2)]
            for caller in callers:
                self.start(self.listen(caller))
            faults = [self.start(self.fail_switches()), self.start(self.fail_discovery())]
            await self.offer_calls(callers)
            if self.shutdown:
                await self.shut_down(world)
            else:
                await asyncio.gather(*faults)
                await self.end_all()
            for task in self.tasks:
                task.cancel()

    async def end_all(self) -> None:
        await asyncio.sleep(SET_UP_TAIL_S)
        for switch in self.switches:
            for call_id in list(switch.ends):
                switch.end(call_id)
        await asyncio.sleep(SETTLE_S)

    async def shut_down(self, world) -> None:
        """Send SIGTERM during the faults: standing calls must be released before the process may be killed."""
        self.record.faults.append((self.loop.time(), "discovery", "SIGTERM"))
        killed_at = self.loop.time() + EARLIEST_KILL_S
        world.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout_at(killed_at):
            await world.process.wait()
        await asyncio.sleep(0.1)  # the callers read what the process wrote last
        for call_id, call in self.record.calls.items():
            self.record.ended_at.setdefault((call.switch, call_id), killed_at - MAX_NOTIFY_DELAY_S)

    def start(self, coroutine) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Callers

    async def offer_calls(self, callers) -> None:
        until = self.loop.time() + self.seconds
        while self.loop.time() < until:
            self.rng.choice(callers).set_up(self.rng.choice((1, 2, 3)), remaining_ms=2000)
            await asyncio.sleep(self.rng.expovariate(CALLS_PER_S))

    async def listen(self, caller) -> None:
        """Record answers and releases, and hang up some of the calls."""
        while True:
            row = await caller.next_row()
            call_id, now = row["id"], self.loop.time()
            if row["type"] == "answer":
                assert call_id not in self.record.calls, "two answers"
                self.record.calls[call_id] = StandingCall(row["sdp"].split()[0].removeprefix("from-"), now)
                if self.rng.random() < HANG_UP_SHARE:
                    self.loop.call_later(self.rng.random() * 2, self.hang_up, caller, call_id)
            elif row["type"] == "release":
                call = self.record.calls.get(call_id)
                if call is None:
                    self.record.outcomes["refused or failed"] += 1
                elif call.released_at is None:
                    call.released_at = now

    def hang_up(self, caller, call_id: str) -> None:
        call = self.record.calls[call_id]
        if call.released_at is None:
            call.hung_up = True
            caller.send("release", call_id, cause=16)

    # Faults

    async def fail_switches(self) -> None:
        until = self.loop.time() + self.seconds
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.2, 2.5))
            switch = self.rng.choice(self.switches)
            fault = self.rng.choice(
                [
                    "partition",
                    "machine loss",
                    "hang",
                    "crash",
                    "crash at once",
                    "reset",
                    "silence",
                    "long machine loss",
                ]
            )
            if switch.proxy.fault is not Fault.NONE:
                continue
            self.record.faults.append((self.loop.time(), switch.name, fault))
            self.start(getattr(self, fault.replace(" ", "_"))(switch))

    async def partition(self, switch: TrialSwitch) -> None:
        """Drop all traffic for a while; the switch keeps its calls."""
        await switch.proxy.set_fault(Fault.SILENT)
        await asyncio.sleep(self.rng.uniform(0.2, 9))
        await switch.proxy.set_fault(Fault.NONE)

    async def machine_loss(self, switch: TrialSwitch) -> None:
        """Lose the machine without closing its connections; later another process starts at its address."""
        await self.lose_machine(switch, 2.2, 9)

    async def long_machine_loss(self, switch: TrialSwitch) -> None:
        """The same, but the address is in use again only near the end of the trial."""
        await self.lose_machine(switch, 10, 14)

    async def lose_machine(self, switch: TrialSwitch, min_s: float, max_s: float) -> None:
        await switch.proxy.set_fault(Fault.SILENT)
        switch.die()
        await asyncio.sleep(self.rng.uniform(min_s, max_s))
        await self.restart(switch)

    async def hang(self, switch: TrialSwitch) -> None:
        """Connections stay open and new ones are accepted, but nothing is forwarded for a while."""
        await switch.proxy.set_fault(Fault.HANG)
        await asyncio.sleep(self.rng.uniform(0.2, 9))
        await switch.proxy.set_fault(Fault.NONE)

    async def crash(self, switch: TrialSwitch) -> None:
        """Reset all connections and refuse new ones until the next process starts, as after a crash."""
        await switch.proxy.set_fault(Fault.REFUSE)
        switch.die()
        switch.proxy.reset_connections()
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        await self.restart(switch)

    async def crash_at_once(self, switch: TrialSwitch) -> None:
        """A crash after which the next process accepts connections immediately."""
        switch.die()
        switch.proxy.reset_connections()
        await self.restart(switch)

    async def reset(self, switch: TrialSwitch) -> None:
        switch.proxy.reset_connections()

    async def silence(self, switch: TrialSwitch) -> None:
        switch.proxy.silence_connections()

    async def restart(self, switch: TrialSwitch) -> None:
        """Forward again, and list the new start time on the command channel shortly afterwards."""
        started_ms = int(time.time() * 1000)
        await switch.proxy.set_fault(Fault.NONE)
        await asyncio.sleep(self.rng.uniform(0.3, 3))
        self.world.channel.event(switch.entry(since_ms=started_ms))

    async def fail_discovery(self) -> None:
        until = self.loop.time() + self.seconds
        proxy = self.world.channel_proxy
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 5))
            fault = self.rng.choice([Fault.REFUSE, Fault.SILENT, Fault.HANG])
            self.record.faults.append((self.loop.time(), "discovery", fault.value))
            await proxy.set_fault(fault)
            if fault is Fault.REFUSE:
                proxy.reset_connections()
            await asyncio.sleep(self.rng.uniform(1, 12))
            await proxy.set_fault(Fault.NONE)

    # Judgement

    def violations(self) -> list[str]:
        """Describe each release that is missing or late, and each early one with no fault that explains it."""
        violations = []
        for call_id, call in self.record.calls.items():
            ended_at = self.record.ended_at.get((call.switch, call_id))
            if ended_at is None:
                violations.append(f"{call_id} on {call.switch}: no end of the call was recorded")
            elif call.hung_up:
                continue
            elif self.shutdown and call.released_at is not None:
                continue  # only the trials without shutdown check the time of the release
            elif call.released_at is None or call.released_at > ended_at + MAX_NOTIFY_DELAY_S:
                delay = (
                    "no release"
                    if call.released_at is None
                    else f"release {call.released_at - ended_at:.2f} s later"
                )
                violations.append(
                    f"{call_id} on {call.switch} ended at {ended_at:.2f}, {delay}; "
                    f"faults near: {self.faults_near(call, ended_at)}"
                )
            elif call.released_at < ended_at - 0.5 and not self.faults_near(call, call.released_at):
                violations.append(
                    f"{call_id} on {call.switch}: release {ended_at - call.released_at:.2f} s before the call ended"
                )
        return violations

    def faults_near(self, call: StandingCall, at: float) -> list[str]:
        """Describe the faults of the call's switch and of discovery within EARLY_WINDOW_S of a time."""
        return [
            f"{name} {fault} {moment - at:+.2f}"
            for moment, name, fault in self.record.faults
            if name in (call.switch, "discovery") and at - EARLY_WINDOW_S <= moment <= at + EARLY_WINDOW_S
        ]

    def early_releases(self) -> int:
        """Count the calls whose caller received a release more than 0.5 s before the call ended."""
        pairs = (
            (call, self.record.ended_at.get((call.switch, call_id)))
            for call_id, call in self.record.calls.items()
        )
        return sum(
            bool(ended and call.released_at and call.released_at < ended - 0.5) for call, ended in pairs
        )
