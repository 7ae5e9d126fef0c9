"""The gatekeeper: one Controller, the clock, the list of carrier switches, and a task for each call."""

import asyncio
import contextlib
import itertools
import traceback
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from tansyspur import interface as face
from tansyspur.core import guard, ports
from tansyspur.core.clock import Clock
from tansyspur.core.figures import Figures, Verdict
from tansyspur.core.ports import CallerLeft, CallerLeg, Ended, EndReason, Listing, Offer, Stood, Switch
from tansyspur.policy import Controller

DEADLINE_MARGIN_MS = 10  # the final answer leaves this much before the caller stops waiting
STALE_S = 1.0  # busy groups change sooner; at 50 ms the old state misled more calls than it helped
CROSSING_S = 1.0  # so long after a change of settings callers may still go by the former ones
MOST_CALLS = 20_000  # calls open at once; more are refused unheard

Log = Callable[..., None]
Order = face.SetUp | face.Refuse | face.Fail
NEEDS_RELEASE = (face.Outcome.TIMED_OUT, face.Outcome.CUT, face.Outcome.CANCELLED)
PROCESSOR_CAUSES = (face.Cause.PROCESSOR_FULL, face.Cause.FAR_PROCESSOR_FULL)


@dataclass(slots=True, eq=False)
class Call:
    call_id: int  # the module's; the caller's id is in the offer
    offer: Offer
    caller: CallerLeg
    expires_ns: int
    signals: asyncio.Queue[ports.Signal | Order] = field(default_factory=asyncio.Queue)
    attempts: int = 0
    ready_ns: int = 0  # rule 5: no set-up before this
    last_cause: face.Cause | None = None
    exchange_id: int = -1  # of the attempt that is out or stood
    stands: bool = False
    offered_ns: int = 0
    stood_ns: int = 0
    sent_ns: int = 0
    task: asyncio.Task[None] | None = None

    def left(self, cause: int = ports.NORMAL_CLEARING) -> None:
        """For the front: the caller gave up or hung up."""
        self.signals.put_nowait(CallerLeft(cause))

    def stop(self) -> None:
        """The gatekeeper ends: a call that stands is released on both sides."""
        self.signals.put_nowait(CallerLeft(ports.TEMPORARY_FAILURE, reason=EndReason.STOPPED))

    def fail(self) -> None:
        """The call cannot go on: its caller is told so."""
        self.caller.fail(ports.TEMPORARY_FAILURE)
        self.signals.put_nowait(CallerLeft(ports.TEMPORARY_FAILURE, failed=True))


class Gatekeeper:
    def __init__(
        self,
        settings: face.Settings,
        seed: int,
        make_switch: ports.SwitchMaker,
        log: Log,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.former: face.Settings | None = None  # those before the last change, for a moment
        self.controller = Controller(settings, seed)
        self.make_switch = make_switch
        self.log = log
        self.clock = clock or Clock()
        self.messenger: ports.Messenger | None = None
        self.recorder: Callable[[ports.Over], None] | None = None  # of each call that is over
        self.calls: dict[int, Call] = {}
        self.listed: dict[str, Listing] = {}
        self.displaced: set[str] = set()  # switches listed at an address that another one has taken since
        self.names: dict[int, str] = {}  # the module's exchange ids to names, and back
        self.exchange_ids: dict[str, int] = {}
        self.switches: dict[int, Switch] = {}
        self.reports: dict[int, face.Report] = {}  # the last one of each group
        self.call_ids = itertools.count(1)
        self.next_exchange_id = itertools.count(1)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.figures = Figures()
        self.figures.know(kind.name for kind in settings.classes)
        self.started = False  # its switches are dialled; it has been told the list
        self.paused = False  # an operator has sent its callers elsewhere
        self.ending = False
        self.not_paused = asyncio.Event()
        self.not_paused.set()
        self.on_pause: list[Callable[[bool], None]] = []  # fronts that send their callers away, or stop to

    # Whether it takes calls: one state, asked by every front and by the console

    @property
    def admits(self) -> bool:
        """Whether callers may come; while the process ends, what they bring is still served."""
        return self.started and not self.paused

    @property
    def ready(self) -> bool:
        return self.admits and not self.ending

    @property
    def service(self) -> str:
        if self.ending:
            return "ending"
        return "paused" if self.paused else "serving" if self.started else "starting"

    def pause(self) -> None:
        """Send callers away; what is open is served, what stands goes on. A second time changes nothing."""
        self._set_paused(True)

    def resume(self) -> None:
        self._set_paused(False)

    def _set_paused(self, paused: bool) -> None:
        if self.paused is not paused:
            self.paused = paused
            self.not_paused.clear() if paused else self.not_paused.set()
            self.log("notice", "service", self.service, calls=len(self.calls))
            for tell in self.on_pause:
                tell(paused)

    # Its settings

    def retune(self, settings: face.Settings) -> None:
        """Other settings from now on, in one step. Who the program is, and where, stays as it started."""
        former = self.settings
        self.settings = replace(
            settings,
            shape=former.shape,
            own_exchange=former.own_exchange,
            ordinal=former.ordinal,
            softswitches=former.softswitches,
        )
        self.former = former
        self.figures.know(kind.name for kind in settings.classes)
        asyncio.get_running_loop().call_later(CROSSING_S, self._forget_former, former)
        self.consult(face.SettingsChanged(self.settings))

    def _forget_former(self, former: face.Settings) -> None:
        if self.former is former:
            self.former = None

    def _unusable(self, offer: Offer) -> str | None:
        """Guards against failing what a caller sent before it knew of new settings."""
        wrong = guard.unusable(self.settings, offer)
        return wrong and guard.unusable(self.former, offer) if self.former else wrong

    # What fronts, switches, channel and peers tell

    def offer(self, offer: Offer, caller: CallerLeg) -> Call | None:
        """A call is offered; None if it was refused unheard."""
        wrong = self._unusable(offer)
        if wrong:
            self.log("warning", "guard", f"a set-up with an unusable {wrong}", call=offer.wire_id)
            caller.fail(ports.INVALID_ELEMENT)
            self.figures.ended(Verdict.FAILURE, offer.class_name)
            self._unheard(offer, "failed")
            return None
        if len(self.calls) >= MOST_CALLS:
            self.log("warning", "overfull", "too many open calls", call=offer.wire_id)
            self._refuse_unheard(offer, caller)
            return None
        margin_ms = min(DEADLINE_MARGIN_MS, offer.left_ms / 10)
        now_ns = self.clock.now_ns()
        expires_ns = now_ns + int((offer.left_ms - margin_ms) * 1e6)
        call = Call(next(self.call_ids), offer, caller, expires_ns, offered_ns=now_ns)
        self.calls[call.call_id] = call
        call.task = self.spawn(self._serve(call), f"call {offer.wire_id}")
        return call

    def turn_away(self, offer: Offer, caller: CallerLeg) -> None:
        """Refuse a call unheard: its connection stays for the calls that stand on it, and takes no new one."""
        self.log("info", "call", "turned away", call=offer.wire_id, service=self.service)
        self._refuse_unheard(offer, caller)

    def _refuse_unheard(self, offer: Offer, caller: CallerLeg) -> None:
        caller.refuse(ports.CONGESTION, self.settings.max_retry_advice_ns // 1_000_000)
        self.figures.ended(Verdict.BUSY, offer.class_name)
        self._unheard(offer, "refused")

    def list_changed(self, kind: face.ListKind, rows: Iterable[Listing]) -> None:
        rows = list(rows)
        if kind is not face.ListKind.CHANGES:
            there = {row.name for row in rows}
            gone = [name for name in self.listed if name not in there]
            for name in gone:
                self._unlist(name)
        together = {row.name for row in rows}
        exchanges = [self._enter(row, together) for row in rows]
        told = {exchange.exchange_id for exchange in exchanges}
        if kind is face.ListKind.CHANGES:
            displaced = (self.listed[name] for name in self.displaced)
            exchanges += [row for row in map(self._as_gone, displaced) if row.exchange_id not in told]
        self.consult(face.ExchangeList(kind, tuple(exchanges)))

    def _as_gone(self, row: Listing) -> face.Exchange:
        return replace(row.as_exchange(self.exchange_ids[row.name]), state=face.ExchangeState.GONE)

    def _enter(self, row: Listing, together: set[str]) -> face.Exchange:
        """Take one entry; together are the names that discovery tells of in the same event."""
        exchange_id = self.exchange_ids.get(row.name)
        if exchange_id is None:
            exchange_id = self.exchange_ids[row.name] = next(self.next_exchange_id)
            self.names[exchange_id] = row.name
        known = self.listed.get(row.name)
        switch = self.switches.get(exchange_id)
        self._log_listing(row, known)
        if row.state is not face.ExchangeState.IN_SERVICE and switch:
            switch.closed_to_new()
        if row.state is face.ExchangeState.GONE:
            self._unlist(row.name)
            return row.as_exchange(exchange_id)
        if switch and known and known.address != row.address:
            switch.retire()
            switch = None
        if switch and known and row.started_ns and row.started_ns != known.started_ns:
            switch.restarted(row.started_ns)
        if known is None or known.address != row.address:
            self.displaced.discard(row.name)
            self._displace_others(row, together)
        self.listed[row.name] = row
        if row.name in self.displaced:
            return self._as_gone(row)
        if switch is None and row.number != self.settings.own_exchange:
            self.switches[exchange_id] = self.make_switch(
                row.name, row.address, lambda report: self._group_report(exchange_id, report)
            )
        return row.as_exchange(exchange_id)

    def _displace_others(self, row: Listing, together: set[str]) -> None:
        """Guards against calls that stand, and set-ups that are sent, at the address of a switch which has gone
        without discovery's word, once another one is listed there."""
        for other in self.listed.values():
            older = (other.started_ns or 0) <= (row.started_ns or 0)
            if other.name in together or other.address != row.address or not older:
                continue
            exchange_id = self.exchange_ids[other.name]
            switch = self.switches.get(exchange_id)
            if switch and switch.uses_listed_address:
                self.log("warning", "list", "the address is taken", switch=other.name, by=row.name)
                self.displaced.add(other.name)
                del self.switches[exchange_id]
                switch.closed_to_new()
                switch.retire(EndReason.ADDRESS_TAKEN)

    def _log_listing(self, row: Listing, known: Listing | None) -> None:
        """A line for each entry that is not as it was, so that its effects can be traced to it."""
        if row == known:
            return
        standing = sum(
            call.stands for call in self.calls.values() if self.names.get(call.exchange_id) == row.name
        )
        self.log(
            "notice", "list", f"{known.state.value if known else 'unknown'} to {row.state.value}",
            switch=row.name, address=row.address, started_ms=(row.started_ns or 0) // 1_000_000, standing=standing,
        )  # fmt: skip

    def _unlist(self, name: str) -> None:
        self.listed.pop(name, None)
        self.displaced.discard(name)
        exchange_id = self.exchange_ids.pop(name, -1)
        self.names.pop(exchange_id, None)
        self.reports.pop(exchange_id, None)
        switch = self.switches.pop(exchange_id, None)
        if switch:
            switch.closed_to_new()
            switch.retire()

    def _group_report(self, exchange_id: int, report: face.Report) -> None:
        if exchange_id in self.names:
            self.reports[exchange_id] = report
        self.consult(face.GroupReport(exchange_id, face.Outcome.ENDED, 0, report))

    def _still(self, exchange_id: int, report: face.Report | None) -> None:
        """By identity: a newer state with the same figures may count set-ups that left since."""
        if report is not None and self.reports.get(exchange_id) is report:
            self._group_report(exchange_id, report)

    def avoided(self) -> set[str]:
        """The listed switches that the module keeps calls from at this moment."""
        actions = self.controller.handle(self.clock.now_ns(), face.AvoidedAsked())
        told = [action.exchange_ids for action in actions if isinstance(action, face.Avoided)]
        return {self.names[one] for ids in told for one in ids if one in self.names}

    def peer_message(self, sender: int, data: bytes) -> None:
        self.consult(face.PeerMessage(sender, data))

    # The module is asked, and its actions applied

    def consult(self, event: face.Event) -> None:
        for action in self.controller.handle(self.clock.now_ns(), event):
            self._apply(action)

    def _apply(self, action: face.Action) -> None:
        match action:
            case face.SetUp(call_id) | face.Refuse(call_id) | face.Fail(call_id):
                call = self.calls.get(call_id)
                if call is None:
                    self.log("warning", "guard", "an order for a call that is over", order=str(action))
                else:
                    call.signals.put_nowait(action)
            case face.SetTimer(token, at_ns):
                loop = asyncio.get_running_loop()
                loop.call_at(self.clock.loop_time(at_ns), self.consult, face.TimerDue(token))
            case face.SendMessage(peer, data):
                if self.messenger:
                    self.messenger.send(peer, data)
            case face.Probe(exchange_id):
                self._probe(exchange_id)
            case face.Recall(call_id):
                self.log("warning", "recall", "a recall is not in use here", call=call_id)
            case face.AskList():
                self.log("info", "list", "the list comes unasked on the command channel")
            case face.Log(text):
                self.log("info", "module", text)

    def _probe(self, exchange_id: int) -> None:
        asked_ns, switch = self.clock.now_ns(), self.switches.get(exchange_id)

        def tell(outcome: face.Outcome, report: face.Report | None) -> None:
            self.consult(face.GroupReport(exchange_id, outcome, self.clock.now_ns() - asked_ns, report))

        if switch:
            switch.probe(tell)

    # The life of a call

    async def _serve(self, call: Call) -> None:
        try:
            leg = await self._set_up(call)
            if leg is not None:
                call.stands = True
                await self._standing(call, leg)
        except Exception:
            # The last guard of rule 1: whatever went wrong here, the caller gets an answer, and it is logged.
            end = call.caller.release if call.stands else call.caller.fail
            end(ports.TEMPORARY_FAILURE)
            if call.stands:
                self.figures.call_ends[EndReason.INTERNAL] += 1
            else:
                self.figures.ended(Verdict.FAILURE, call.offer.class_name)
            self._over(call, "cut" if call.stands else "failed")
            raise
        finally:
            self.calls.pop(call.call_id, None)

    async def _set_up(self, call: Call) -> ports.SwitchLeg | None:
        """Offered, decision, attempt, answer; the leg if the call stands, None if all is answered."""
        if not call.signals.empty():  # taken back in the same breath: the module need not know
            first = call.signals.get_nowait()
            assert isinstance(first, CallerLeft)  # there is no attempt yet, and no decision
            self._final(call, first)
            return None
        self.consult(self._offered(call))
        while True:
            order = await self._decision(call)
            if not isinstance(order, face.SetUp):
                self._final(call, order)
                return None
            leg, result = await self._attempt(call, order)
            elapsed_ns = self.clock.now_ns() - call.sent_ns
            if isinstance(result, Stood):
                assert leg is not None  # what stands has a leg
                stands = face.CallStands(call.call_id, call.attempts - 1, order.exchange_id, elapsed_ns)
                self.consult(stands)
                if call.caller.answer(result.description):
                    self.figures.ended(Verdict.SUCCESS, call.offer.class_name)
                    call.stood_ns = self.clock.now_ns()
                    self._record(call, "stands", elapsed_ns)
                    return leg
                # Guards against a call left standing at the switch when its caller went as the answer came.
                leg.release(ports.NORMAL_CLEARING)
                result = CallerLeft()
            if isinstance(result, CallerLeft):
                self._abandon(call)
                self._attempt_over(call, Ended(face.Outcome.CANCELLED), final=True)
                self._final(call, result, elapsed_ns)
                return None
            if result.outcome in NEEDS_RELEASE:
                call.ready_ns = self.clock.now_ns() + self.settings.release_ns
            call.last_cause = result.cause
            doubtful = result.outcome in NEEDS_RELEASE or result.outcome is face.Outcome.NO_ROUTE
            level = "info" if doubtful else "debug"
            self._record(call, f"attempt: {result.outcome.value}", elapsed_ns, level, result.reason)
            self._attempt_over(call, result, final=False)

    async def _decision(self, call: Call) -> Order | CallerLeft:
        """The module's next order for this call. It may hold the call; at the deadline the answer is owed."""
        try:
            async with asyncio.timeout_at(self.clock.loop_time(call.expires_ns)):
                while True:
                    signal = await call.signals.get()
                    if isinstance(signal, Order):
                        return signal
                    if isinstance(signal, CallerLeft):
                        break
        except TimeoutError:
            self.log("warning", "guard", "no decision by the deadline", call=call.offer.wire_id)
            signal = face.Fail(call.call_id)
        self._abandon(call)
        return signal

    async def _attempt(
        self, call: Call, order: face.SetUp
    ) -> tuple[ports.SwitchLeg | None, Stood | Ended | CallerLeft]:
        """One attempt, until it stands, ends, times out, or the caller leaves. None is out afterwards."""
        decided_ns = call.sent_ns = self.clock.now_ns()
        call.attempts, call.exchange_id = call.attempts + 1, order.exchange_id
        name = self.names.get(order.exchange_id, "")
        decided, switch = self.listed.get(name), self.switches.get(order.exchange_id)
        until_ns = call.expires_ns
        if order.time_out_ns:
            until_ns = min(until_ns, decided_ns + order.time_out_ns)

        def may_send() -> bool:
            objection = guard.objection(
                self.settings, call.offer, call.attempts, call.ready_ns, until_ns, decided, decided_ns,
                self.listed.get(name), self.clock.now_ns(),
            )  # fmt: skip
            if objection:
                self.log("warning", "guard", objection, call=call.offer.wire_id, switch=name)
            return objection is None

        if switch is None:
            return None, Ended(face.Outcome.NO_ROUTE)
        wait_ms = max(1, (until_ns - decided_ns) // 1_000_000)
        request = ports.SetUpRequest(call.offer, call.attempts - 1, wait_ms)
        leg = switch.place(request, may_send, self.figures.attempt_written, call.signals.put_nowait)
        result: Stood | Ended | CallerLeft = Ended(face.Outcome.TIMED_OUT)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.clock.loop_time(until_ns)):
                result = await self._attempt_signal(call)
        if result == Ended(face.Outcome.TIMED_OUT):
            # Guards against losing an answer that came in the very turn of the time-out: it is queued.
            while not call.signals.empty():
                signal = call.signals.get_nowait()
                if isinstance(signal, Stood | Ended | CallerLeft):
                    result = signal
                    break
        if isinstance(result, CallerLeft) or result == Ended(face.Outcome.TIMED_OUT):
            leg.cancel()
            self._release_unheard(call, leg)
        return leg, result

    async def _attempt_signal(self, call: Call) -> Stood | Ended | CallerLeft:
        while True:
            signal = await call.signals.get()
            if isinstance(signal, Stood | Ended | CallerLeft):
                return signal

    def _release_unheard(self, call: Call, leg: ports.SwitchLeg) -> None:
        """An answer that was queued behind the caller's leaving lost the race: release it at the switch."""
        while not call.signals.empty():
            if isinstance(call.signals.get_nowait(), Stood):
                leg.release(ports.NORMAL_CLEARING)

    async def _standing(self, call: Call, leg: ports.SwitchLeg) -> None:
        """Until the switch or the caller releases the call; the other side is told at once."""
        signal = await call.signals.get()
        while not isinstance(signal, Ended | CallerLeft):
            signal = await call.signals.get()
        if isinstance(signal, CallerLeft):
            leg.release(signal.cause)
            self._attempt_over(call, Ended(face.Outcome.CANCELLED), final=True)
            call.caller.release(signal.cause)
            ended_well = not signal.failed and signal.cause != ports.TEMPORARY_FAILURE
            reason = signal.reason
        else:
            ended_well = signal.outcome is face.Outcome.ENDED
            reason = signal.reason or EndReason.SWITCH_RELEASED
            call.caller.release(ports.NORMAL_CLEARING if ended_well else ports.TEMPORARY_FAILURE)
            self._attempt_over(call, signal, final=True)
        self.figures.call_ends[reason] += 1
        self._record(call, "released", self.clock.now_ns() - call.sent_ns, reason=reason)
        self._over(call, "ended" if ended_well else "cut")

    # Parts of it

    def _offered(self, call: Call) -> face.CallOffered:
        offer = call.offer
        return face.CallOffered(
            call_id=call.call_id,
            class_name=offer.class_name,
            expires_ns=call.expires_ns,
            destination=offer.destination,
            circuits=offer.circuits,
            number=offer.number,
            via=offer.via,
            in_transit=offer.in_transit,
            redial=offer.redial,
            was_cut=offer.was_cut,
        )

    def _attempt_over(self, call: Call, ended: Ended, final: bool) -> None:
        """Tell the module. Where nothing left, the circuits it counted as taken are free as last reported."""
        report = ended.report
        if report is None and ended.outcome in (face.Outcome.NO_ROUTE, face.Outcome.NOT_SENT):
            report = self.reports.get(call.exchange_id)
        # Guards against a call that spends all its attempts in a moment on one full group: the state sent
        # with 'no circuit' may be older than the refusal, which itself shows that none was free. Where no
        # newer state comes, the last one held after all.
        no_circuit = ended.outcome is face.Outcome.NOT_SENT and ended.cause is face.Cause.NO_CIRCUIT
        if no_circuit and report and report.free is not None and report.free >= call.offer.circuits:
            last = self.reports.get(call.exchange_id)
            asyncio.get_running_loop().call_later(STALE_S, self._still, call.exchange_id, last)
            report = replace(report, free=0.0)
        elapsed_ns = self.clock.now_ns() - call.sent_ns
        self.consult(
            face.AttemptEnded(
                call.call_id, call.attempts - 1, call.exchange_id, ended.outcome, elapsed_ns, final,
                cause=ended.cause, report=report,
            )
        )  # fmt: skip

    def _abandon(self, call: Call) -> None:
        """The module owes this call nothing more. A set-up that it ordered meanwhile never leaves."""
        self.consult(face.CallGone(call.call_id))
        while not call.signals.empty():
            order = call.signals.get_nowait()
            if isinstance(order, face.SetUp):
                call.attempts, call.exchange_id = call.attempts + 1, order.exchange_id
                call.sent_ns = self.clock.now_ns()
                self._attempt_over(call, Ended(face.Outcome.NOT_SENT), final=True)

    def _final(self, call: Call, order: Order | CallerLeft, elapsed_ns: int = 0) -> None:
        """The final answer, unless the caller has left."""
        match order:
            case face.Refuse(_, retry_in_ns):
                pressed = call.last_cause in PROCESSOR_CAUSES
                cause = ports.CONGESTION if pressed else ports.NO_CIRCUIT
                call.caller.refuse(cause, retry_in_ns // 1_000_000)
                self.figures.ended(Verdict.BUSY, call.offer.class_name)
                self._record(call, "refused")
                self._over(call, "refused")
            case face.Fail():
                call.caller.fail(ports.TEMPORARY_FAILURE)
                self.figures.ended(Verdict.FAILURE, call.offer.class_name)
                self._record(call, "failed")
                self._over(call, "failed")
            case CallerLeft(failed=failed):
                if failed:
                    self.figures.ended(Verdict.FAILURE, call.offer.class_name)
                what = "failed" if failed else "given up"
                self._record(call, what, elapsed_ns)
                self._over(call, what)

    def _record(
        self, call: Call, what: str, elapsed_ns: int = 0, level: str = "info", reason: EndReason | None = None
    ) -> None:
        self.log(
            level, "call", what, call=call.offer.wire_id, **{"class": call.offer.class_name},
            to=call.offer.destination, switch=self.names.get(call.exchange_id, ""), attempts=call.attempts,
            cause=call.last_cause.value if call.last_cause else "", ms=elapsed_ns // 1_000_000,
            reason=reason.value if reason else "",
        )  # fmt: skip

    def _over(self, call: Call, verdict: str) -> None:
        """Each call's last word, once, for the records that must be complete."""
        if self.recorder:
            name = self.names.get(call.exchange_id, "")
            listing = self.listed.get(name)
            self.recorder(
                ports.Over(
                    call.offer, verdict, call.offered_ns, self.clock.now_ns(), call.stood_ns, call.attempts, name,
                    listing is not None and listing.number != call.offer.destination,
                    call.last_cause.value if call.last_cause else "",
                )
            )  # fmt: skip

    def _unheard(self, offer: Offer, verdict: str) -> None:
        if self.recorder:
            now_ns = self.clock.now_ns()
            self.recorder(ports.Over(offer, verdict, now_ns, now_ns))

    # Running and ending

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """A task whose exception is logged, and which is not lost while it runs."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.log("error", "task", f"{task.get_name()} failed: {error!r}", trace=trace_of(error))

    async def finish(self, seconds: float, keep_standing: bool = False) -> None:
        """Let the calls end by themselves for so long, then fail what is unanswered and release what still
        stands, unless another process serves on and it may stand for longer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        # Guards against missing the calls that come while others are waited for.
        while self.calls and loop.time() < until:
            tasks = [call.task for call in self.calls.values() if call.task]
            await asyncio.wait(tasks, timeout=until - loop.time(), return_when=asyncio.FIRST_COMPLETED)
        left = [call for call in self.calls.values() if not (keep_standing and call.stands)]
        rest = [call.task for call in left if call.task]
        for call in left:
            call.stop() if call.stands else call.fail()
        if rest:
            await asyncio.wait(rest, timeout=0.2)

    async def all_over(self) -> None:
        while tasks := [call.task for call in self.calls.values() if call.task]:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    def close(self) -> None:
        for switch in self.switches.values():
            switch.close()


def trace_of(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
