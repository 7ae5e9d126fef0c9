"""A seeded trial of calls that stand: switches and discovery fail in any order, and each end must be told in time.

The program runs as a process. Switches and discovery are reached through fault proxies; what each switch holds, and
when that is over, is known here, and judged against what callers were told and when.
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
SLACK_S = 0.05  # of the protocol page
UNSENT_TOLD_S = 8.0 + SLACK_S
LAST_SET_UP_S = 2.5  # by then every set-up is answered or given up
SETTLE_S = 8.5  # after the last end
EARLIEST_KILL_S = 3.7  # after SIGTERM, as the longest deadline is over 3 s
EARLY_WINDOW_S = 12.0  # a call may be told to be over that is not, so long after a fault of its switch


@dataclass
class StandingCall:
    switch: str
    stood_at: float
    over_at: float | None = None
    told_at: float | None = None
    hung_up: bool = False


@dataclass
class Record:
    calls: dict[str, StandingCall] = field(default_factory=dict)
    over: dict[tuple[str, str], float] = field(default_factory=dict)  # by switch and call
    faults: list[tuple[float, str, str]] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)


class HeldCalls:
    """In place of the stand-in's set of calls that are out: what a release or a cancel ends is over."""

    def __init__(self, switch: "TrialSwitch") -> None:
        self.switch = switch

    def add(self, call_id: str) -> None: ...

    def discard(self, call_id: str) -> None:
        self.switch.release(call_id)

    def __contains__(self, call_id: str) -> bool:
        return False  # a cancel may have been lost in a cut

    def __iter__(self):
        return iter(list(self.switch.ends))

    def __len__(self) -> int:
        return len(self.switch.ends)


class TrialSwitch(Switch):
    """Holds calls for a while. A release goes out on the set-up's connection, and once on the next that opens."""

    def __init__(self, name: str, number: int, rng: random.Random, record: Record) -> None:
        super().__init__(name, number, free=500)
        self.rng, self.record = rng, record
        self.ends: dict[str, asyncio.TimerHandle] = {}
        self.out = HeldCalls(self)
        self.with_refusal = "X-Any: 1"

    def notify(self, writer, free=None) -> None:
        super().notify(writer, free)
        untold, self.untold = self.untold, {}
        for call_id, cause in untold.items():
            self.bye(call_id, cause, writer)

    def act(self, what, call_id, writer=None) -> None:
        super().act(what, call_id, writer)
        self.release(call_id)
        self.record.over.pop((self.name, call_id), None)
        hold_s = 0.2 + self.rng.expovariate(1 / HOLD_S)
        loop = asyncio.get_running_loop()
        self.ends[call_id] = loop.call_later(hold_s, self.end, call_id)

    def release(self, call_id: str) -> None:
        timer = self.ends.pop(call_id, None)
        if timer:
            timer.cancel()
            self.note_over(call_id)

    def note_over(self, call_id: str) -> None:
        self.record.over.setdefault((self.name, call_id), asyncio.get_running_loop().time())

    def end(self, call_id: str) -> None:
        del self.ends[call_id]
        self.note_over(call_id)
        self.untold[call_id] = 16
        origin = self.origin[call_id]
        open_writers = [origin, *self.writers]
        writer = next((one for one in open_writers if not one.is_closing()), None)
        if writer:
            self.bye(call_id, 16, writer)

    def die(self) -> None:
        """The process is gone: its calls are cut, and the next one knows none of them."""
        for call_id in list(self.ends):
            self.release(call_id)
        self.untold = {}
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []


class Trial:
    def __init__(self, seed: int, seconds: float, shutdown: bool = False) -> None:
        self.rng, self.seconds, self.shutdown = random.Random(seed), seconds, shutdown
        self.record = Record()
        self.switches = [TrialSwitch(f"s-{number}", number, self.rng, self.record) for number in (1, 2, 3)]
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        async with World(*self.switches, proxied=True) as world:
            self.world, self.loop = world, asyncio.get_running_loop()
            callers = [await world.caller() for _ in range(2)]
            for caller in callers:
                self.start(self.listen(caller))
            faults = [self.start(self.fail_switches()), self.start(self.fail_discovery())]
            await self.place_calls(callers)
            if self.shutdown:
                await self.shut_down(world)
            else:
                await asyncio.gather(*faults)
                await self.end_all()
            for task in self.tasks:
                task.cancel()

    async def end_all(self) -> None:
        await asyncio.sleep(LAST_SET_UP_S)
        for switch in self.switches:
            for call_id in list(switch.ends):
                switch.end(call_id)
        await asyncio.sleep(SETTLE_S)

    async def shut_down(self, world) -> None:
        """SIGTERM among the faults: what stands then is over, and told, by the time of the earliest kill."""
        self.record.faults.append((self.loop.time(), "discovery", "SIGTERM"))
        killed_at = self.loop.time() + EARLIEST_KILL_S
        world.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout_at(killed_at):
            await world.process.wait()
        await asyncio.sleep(0.1)  # what was written is read
        for call_id, call in self.record.calls.items():
            self.record.over.setdefault((call.switch, call_id), killed_at - UNSENT_TOLD_S)

    def start(self, work) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Callers

    async def place_calls(self, callers) -> None:
        until = self.loop.time() + self.seconds
        while self.loop.time() < until:
            self.rng.choice(callers).set_up(self.rng.choice((1, 2, 3)), left=2000)
            await asyncio.sleep(self.rng.expovariate(CALLS_PER_S))

    async def listen(self, caller) -> None:
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
                elif call.told_at is None:
                    call.told_at = now

    def hang_up(self, caller, call_id: str) -> None:
        call = self.record.calls[call_id]
        if call.told_at is None:
            call.hung_up = True
            caller.say("release", call_id, cause=16)

    # Faults

    async def fail_switches(self) -> None:
        until = self.loop.time() + self.seconds
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.2, 2.5))
            switch = self.rng.choice(self.switches)
            kind = self.rng.choice(
                ["partition", "vanish", "hang", "crash", "crash at once", "reset", "silence", "gone"]
            )
            if switch.proxy.fault is not Fault.NONE:
                continue
            self.record.faults.append((self.loop.time(), switch.name, kind))
            self.start(getattr(self, kind.replace(" ", "_"))(switch))

    async def partition(self, switch: TrialSwitch) -> None:
        await switch.proxy.set_fault(Fault.SILENT)
        await asyncio.sleep(self.rng.uniform(0.2, 9))
        await switch.proxy.set_fault(Fault.NONE)

    async def vanish(self, switch: TrialSwitch) -> None:
        """A machine that is lost without a sign, and another process at its address later."""
        await self.lose_machine(switch, 2.2, 9)

    async def gone(self, switch: TrialSwitch) -> None:
        """The same, and it is back only when the trial is nearly over."""
        await self.lose_machine(switch, 10, 14)

    async def lose_machine(self, switch: TrialSwitch, least_s: float, longest_s: float) -> None:
        await switch.proxy.set_fault(Fault.SILENT)
        switch.die()
        await asyncio.sleep(self.rng.uniform(least_s, longest_s))
        await self.come_back(switch)

    async def hang(self, switch: TrialSwitch) -> None:
        await switch.proxy.set_fault(Fault.HANG)
        await asyncio.sleep(self.rng.uniform(0.2, 9))
        await switch.proxy.set_fault(Fault.NONE)

    async def crash(self, switch: TrialSwitch) -> None:
        """A process that dies resets its connections, and nothing runs there until the next one starts."""
        await switch.proxy.set_fault(Fault.REFUSE)
        switch.die()
        switch.proxy.reset_connections()
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        await self.come_back(switch)

    async def crash_at_once(self, switch: TrialSwitch) -> None:
        switch.die()
        switch.proxy.reset_connections()
        await self.come_back(switch)

    async def reset(self, switch: TrialSwitch) -> None:
        switch.proxy.reset_connections()

    async def silence(self, switch: TrialSwitch) -> None:
        switch.proxy.silence_connections()

    async def come_back(self, switch: TrialSwitch) -> None:
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

    # The verdict

    def broken(self) -> list[str]:
        """Each end that was not told in time, and each call that was told to be over for no reason."""
        told_wrongly = []
        for call_id, call in self.record.calls.items():
            over_at = self.record.over.get((call.switch, call_id))
            if over_at is None:
                told_wrongly.append(f"{call_id} on {call.switch} has no end in the trial")
            elif call.hung_up:
                continue
            elif self.shutdown and call.told_at is not None:
                continue  # the other trials judge when
            elif call.told_at is None or call.told_at > over_at + UNSENT_TOLD_S:
                late = "never told" if call.told_at is None else f"told {call.told_at - over_at:.2f} s late"
                told_wrongly.append(
                    f"{call_id} on {call.switch} was over at {over_at:.2f}, {late}: {self.near(call, over_at)}"
                )
            elif call.told_at < over_at - 0.5 and not self.near(call, call.told_at):
                told_wrongly.append(
                    f"{call_id} on {call.switch} was told over {over_at - call.told_at:.2f} s early"
                )
        return told_wrongly

    def near(self, call: StandingCall, at: float) -> list[str]:
        return [
            f"{name} {kind} {moment - at:+.2f}"
            for moment, name, kind in self.record.faults
            if name in (call.switch, "discovery") and at - EARLY_WINDOW_S <= moment <= at + EARLY_WINDOW_S
        ]

    def early(self) -> int:
        pairs = (
            (call, self.record.over.get((call.switch, call_id)))
            for call_id, call in self.record.calls.items()
        )
        return sum(bool(over and call.told_at and call.told_at < over - 0.5) for call, over in pairs)
