"""The gatekeeper: one Controller, the clock, the list of carrier switches, and a task for each call."""

import asyncio
import contextlib
import itertools
import traceback
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from tansyspur import interface
from tansyspur.core import guard, ports
from tansyspur.core.clock import Clock
from tansyspur.core.metrics import Metrics, Verdict
from tansyspur.core.ports import (
    Answered,
    CallerLeft,
    CallerLeg,
    EndReason,
    LegEnded,
    Offer,
    Switch,
    SwitchListing,
)
from tansyspur.policy import Controller

DEADLINE_MARGIN_MS = 10  # the final answer leaves this much before the caller stops waiting
STALE_S = 1.0  # busy groups change sooner; at 50 ms the old state misled more calls than it helped
CROSSING_S = 1.0  # so long after a change of settings callers may still go by the former ones
MOST_CALLS = 20_000  # calls open at once; more are refused unheard

Log = Callable[..., None]
Order = interface.SetUp | interface.Refuse | interface.Fail
NEEDS_RELEASE = (interface.Outcome.TIMED_OUT, interface.Outcome.CUT, interface.Outcome.CANCELLED)
PROCESSOR_CAUSES = (interface.Cause.PROCESSOR_FULL, interface.Cause.FAR_PROCESSOR_FULL)


@dataclass(slots=True, eq=False)
class Call:
    call_id: int  # the module's; the caller's id is in the offer
    offer: Offer
    caller: CallerLeg
    expires_ns: int
    signals: asyncio.Queue[ports.Signal | Order] = field(default_factory=asyncio.Queue)
    attempts: int = 0
    ready_ns: int = 0  # rule 5: no set-up before this
    last_cause: interface.Cause | None = None
    switch_id: int = -1  # of the attempt that is out or stood
    standing: bool = False
    offered_ns: int = 0
    answered_ns: int = 0
    sent_ns: int = 0
    task: asyncio.Task[None] | None = None

    def caller_left(self, cause: int = ports.NORMAL_CLEARING) -> None:
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
        settings: interface.Settings,
        seed: int,
        make_switch: ports.SwitchFactory,
        log: Log,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.former: interface.Settings | None = None  # those before the last change, for a moment
        self.controller = Controller(settings, seed)
        self.make_switch = make_switch
        self.log = log
        self.clock = clock or Clock()
        self.messenger: ports.Messenger | None = None
        self.recorder: Callable[[ports.CompletedCall], None] | None = None  # of each call that is over
        self.calls: dict[int, Call] = {}
        self.listings: dict[str, SwitchListing] = {}
        self.displaced: set[str] = set()  # switches listed at an address that another one has taken since
        self.switch_names: dict[int, str] = {}  # the module's exchange ids to names, and back
        self.switch_ids: dict[str, int] = {}
        self.switches: dict[int, Switch] = {}
        self.group_reports: dict[int, interface.LoadReport] = {}  # the last one of each group
        self.call_ids = itertools.count(1)
        self.next_switch_id = itertools.count(1)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.metrics = Metrics()
        self.metrics.add_classes(kind.name for kind in settings.classes)
        self.started = False  # its switches are dialled; it has been told the list
        self.paused = False  # an operator has sent its callers elsewhere
        self.ending = False
        self.not_paused = asyncio.Event()
        self.not_paused.set()
        self.pause_listeners: list[
            Callable[[bool], None]
        ] = []  # fronts that send their callers away, or stop to

    # Whether it takes calls: one state, asked by every front and by the console

    @property
    def accepts_callers(self) -> bool:
        """Whether callers may come; while the process ends, what they bring is still served."""
        return self.started and not self.paused

    @property
    def ready(self) -> bool:
        return self.accepts_callers and not self.ending

    @property
    def service_state(self) -> str:
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
            self.log("notice", "service", self.service_state, calls=len(self.calls))
            for tell in self.pause_listeners:
                tell(paused)

    # Its settings

    def apply_settings(self, settings: interface.Settings) -> None:
        """Other settings from now on, in one step. Who the program is, and where, stays as it started."""
        former = self.settings
        self.settings = replace(
            settings,
            shape=former.shape,
            own_exchange=former.own_exchange,
            ordinal=former.ordinal,
            gatekeepers=former.gatekeepers,
        )
        self.former = former
        self.metrics.add_classes(kind.name for kind in settings.classes)
        asyncio.get_running_loop().call_later(CROSSING_S, self._forget_former, former)
        self.consult(interface.SettingsChanged(self.settings))

    def _forget_former(self, former: interface.Settings) -> None:
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
            self.metrics.count_verdict(Verdict.FAILURE, offer.class_name)
            self._unheard(offer, "failed")
            return None
        if len(self.calls) >= MOST_CALLS:
            self.log("warning", "overfull", "too many open calls", call=offer.wire_id)
            self._refuse_unheard(offer, caller)
            return None
        margin_ms = min(DEADLINE_MARGIN_MS, offer.remaining_ms / 10)
        now_ns = self.clock.now_ns()
        expires_ns = now_ns + int((offer.remaining_ms - margin_ms) * 1e6)
        call = Call(next(self.call_ids), offer, caller, expires_ns, offered_ns=now_ns)
        self.calls[call.call_id] = call
        call.task = self.spawn(self._serve(call), f"call {offer.wire_id}")
        return call

    def reject(self, offer: Offer, caller: CallerLeg) -> None:
        """Refuse a call unheard: its connection stays for the calls that stand on it, and takes no new one."""
        self.log("info", "call", "turned away", call=offer.wire_id, service=self.service_state)
        self._refuse_unheard(offer, caller)

    def _refuse_unheard(self, offer: Offer, caller: CallerLeg) -> None:
        caller.refuse(ports.CONGESTION, self.settings.max_retry_after_ns // 1_000_000)
        self.metrics.count_verdict(Verdict.BUSY, offer.class_name)
        self._unheard(offer, "refused")

    def list_changed(self, kind: interface.SwitchListKind, rows: Iterable[SwitchListing]) -> None:
        rows = list(rows)
        if kind is not interface.SwitchListKind.CHANGES:
            there = {row.name for row in rows}
            gone = [name for name in self.listings if name not in there]
            for name in gone:
                self._unlist(name)
        together = {row.name for row in rows}
        exchanges = [self._enter(row, together) for row in rows]
        told = {exchange.switch_id for exchange in exchanges}
        if kind is interface.SwitchListKind.CHANGES:
            displaced = (self.listings[name] for name in self.displaced)
            exchanges += [row for row in map(self._as_gone, displaced) if row.switch_id not in told]
        self.consult(interface.SwitchList(kind, tuple(exchanges)))

    def _as_gone(self, row: SwitchListing) -> interface.CarrierSwitch:
        return replace(row.as_carrier_switch(self.switch_ids[row.name]), state=interface.SwitchState.GONE)

    def _enter(self, row: SwitchListing, together: set[str]) -> interface.CarrierSwitch:
        """Take one entry; together are the names that discovery tells of in the same event."""
        switch_id = self.switch_ids.get(row.name)
        if switch_id is None:
            switch_id = self.switch_ids[row.name] = next(self.next_switch_id)
            self.switch_names[switch_id] = row.name
        known = self.listings.get(row.name)
        switch = self.switches.get(switch_id)
        self._log_listing(row, known)
        if row.state is not interface.SwitchState.IN_SERVICE and switch:
            switch.stop_new_attempts()
        if row.state is interface.SwitchState.GONE:
            self._unlist(row.name)
            return row.as_carrier_switch(switch_id)
        if switch and known and known.address != row.address:
            switch.retire()
            switch = None
        if switch and known and row.started_ns and row.started_ns != known.started_ns:
            switch.process_restarted(row.started_ns)
        if known is None or known.address != row.address:
            self.displaced.discard(row.name)
            self._displace_others(row, together)
        self.listings[row.name] = row
        if row.name in self.displaced:
            return self._as_gone(row)
        if switch is None and row.exchange_number != self.settings.own_exchange:
            self.switches[switch_id] = self.make_switch(
                row.name, row.address, lambda report: self._group_report(switch_id, report)
            )
        return row.as_carrier_switch(switch_id)

    def _displace_others(self, row: SwitchListing, together: set[str]) -> None:
        """Guards against calls that stand, and set-ups that are sent, at the address of a switch which has gone
        without discovery's word, once another one is listed there."""
        for other in self.listings.values():
            older = (other.started_ns or 0) <= (row.started_ns or 0)
            if other.name in together or other.address != row.address or not older:
                continue
            switch_id = self.switch_ids[other.name]
            switch = self.switches.get(switch_id)
            if switch and switch.uses_listed_address:
                self.log("warning", "list", "the address is taken", switch=other.name, by=row.name)
                self.displaced.add(other.name)
                del self.switches[switch_id]
                switch.stop_new_attempts()
                switch.retire(EndReason.ADDRESS_TAKEN)

    def _log_listing(self, row: SwitchListing, known: SwitchListing | None) -> None:
        """A line for each entry that is not as it was, so that its effects can be traced to it."""
        if row == known:
            return
        standing = sum(
            call.standing for call in self.calls.values() if self.switch_names.get(call.switch_id) == row.name
        )
        self.log(
            "notice", "list", f"{known.state.value if known else 'unknown'} to {row.state.value}",
            switch=row.name, address=row.address, started_ms=(row.started_ns or 0) // 1_000_000, standing=standing,
        )  # fmt: skip

    def _unlist(self, name: str) -> None:
        self.listings.pop(name, None)
        self.displaced.discard(name)
        switch_id = self.switch_ids.pop(name, -1)
        self.switch_names.pop(switch_id, None)
        self.group_reports.pop(switch_id, None)
        switch = self.switches.pop(switch_id, None)
        if switch:
            switch.stop_new_attempts()
            switch.retire()

    def _group_report(self, switch_id: int, report: interface.LoadReport) -> None:
        if switch_id in self.switch_names:
            self.group_reports[switch_id] = report
        self.consult(interface.GroupReport(switch_id, interface.Outcome.ENDED, 0, report))

    def _still(self, switch_id: int, report: interface.LoadReport | None) -> None:
        """By identity: a newer state with the same figures may count set-ups that left since."""
        if report is not None and self.group_reports.get(switch_id) is report:
            self._group_report(switch_id, report)

    def avoided_switches(self) -> set[str]:
        """The listed switches that the module keeps calls from at this moment."""
        actions = self.controller.handle(self.clock.now_ns(), interface.AvoidedSwitchesQuery())
        told = [action.switch_ids for action in actions if isinstance(action, interface.AvoidedSwitches)]
        return {self.switch_names[one] for ids in told for one in ids if one in self.switch_names}

    def peer_message(self, sender: int, data: bytes) -> None:
        self.consult(interface.PeerMessage(sender, data))

    # The module is asked, and its actions applied

    def consult(self, event: interface.Event) -> None:
        for action in self.controller.handle(self.clock.now_ns(), event):
            self._apply(action)

    def _apply(self, action: interface.Action) -> None:
        match action:
            case interface.SetUp(call_id) | interface.Refuse(call_id) | interface.Fail(call_id):
                call = self.calls.get(call_id)
                if call is None:
                    self.log("warning", "guard", "an order for a call that is over", order=str(action))
                else:
                    call.signals.put_nowait(action)
            case interface.SetTimer(token, at_ns):
                loop = asyncio.get_running_loop()
                loop.call_at(self.clock.loop_time(at_ns), self.consult, interface.TimerDue(token))
            case interface.SendMessage(peer, data):
                if self.messenger:
                    self.messenger.send(peer, data)
            case interface.Probe(switch_id):
                self._probe(switch_id)
            case interface.CancelAttempt(call_id):
                self.log("warning", "recall", "a recall is not in use here", call=call_id)
            case interface.SubscribeSwitchList():
                self.log("info", "list", "the list comes unasked on the command channel")
            case interface.Log(text):
                self.log("info", "module", text)

    def _probe(self, switch_id: int) -> None:
        asked_ns, switch = self.clock.now_ns(), self.switches.get(switch_id)

        def tell(outcome: interface.Outcome, report: interface.LoadReport | None) -> None:
            self.consult(interface.GroupReport(switch_id, outcome, self.clock.now_ns() - asked_ns, report))

        if switch:
            switch.probe(tell)

    # The life of a call

    async def _serve(self, call: Call) -> None:
        try:
            leg = await self._set_up(call)
            if leg is not None:
                call.standing = True
                await self._standing(call, leg)
        except Exception:
            # The last guard of rule 1: whatever went wrong here, the caller gets an answer, and it is logged.
            end = call.caller.release if call.standing else call.caller.fail
            end(ports.TEMPORARY_FAILURE)
            if call.standing:
                self.metrics.call_ends[EndReason.INTERNAL] += 1
            else:
                self.metrics.count_verdict(Verdict.FAILURE, call.offer.class_name)
            self._over(call, "cut" if call.standing else "failed")
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
            if not isinstance(order, interface.SetUp):
                self._final(call, order)
                return None
            leg, result = await self._attempt(call, order)
            elapsed_ns = self.clock.now_ns() - call.sent_ns
            if isinstance(result, Answered):
                assert leg is not None  # what stands has a leg
                stands = interface.CallAnswered(call.call_id, call.attempts - 1, order.switch_id, elapsed_ns)
                self.consult(stands)
                if call.caller.answer(result.description):
                    self.metrics.count_verdict(Verdict.SUCCESS, call.offer.class_name)
                    call.answered_ns = self.clock.now_ns()
                    self._record(call, "stands", elapsed_ns)
                    return leg
                # Guards against a call left standing at the switch when its caller went as the answer came.
                leg.release(ports.NORMAL_CLEARING)
                result = CallerLeft()
            if isinstance(result, CallerLeft):
                self._abandon(call)
                self._attempt_over(call, LegEnded(interface.Outcome.CANCELLED), final=True)
                self._final(call, result, elapsed_ns)
                return None
            if result.outcome in NEEDS_RELEASE:
                call.ready_ns = self.clock.now_ns() + self.settings.release_delay_ns
            call.last_cause = result.cause
            doubtful = result.outcome in NEEDS_RELEASE or result.outcome is interface.Outcome.NO_ROUTE
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
            signal = interface.Fail(call.call_id)
        self._abandon(call)
        return signal

    async def _attempt(
        self, call: Call, order: interface.SetUp
    ) -> tuple[ports.SwitchLeg | None, Answered | LegEnded | CallerLeft]:
        """One attempt, until it stands, ends, times out, or the caller leaves. None is out afterwards."""
        decided_ns = call.sent_ns = self.clock.now_ns()
        call.attempts, call.switch_id = call.attempts + 1, order.switch_id
        name = self.switch_names.get(order.switch_id, "")
        decided, switch = self.listings.get(name), self.switches.get(order.switch_id)
        until_ns = call.expires_ns
        if order.timeout_ns:
            until_ns = min(until_ns, decided_ns + order.timeout_ns)

        def may_send() -> bool:
            objection = guard.objection(
                self.settings, call.offer, call.attempts, call.ready_ns, until_ns, decided, decided_ns,
                self.listings.get(name), self.clock.now_ns(),
            )  # fmt: skip
            if objection:
                self.log("warning", "guard", objection, call=call.offer.wire_id, switch=name)
            return objection is None

        if switch is None:
            return None, LegEnded(interface.Outcome.NO_ROUTE)
        wait_ms = max(1, (until_ns - decided_ns) // 1_000_000)
        request = ports.SetUpRequest(call.offer, call.attempts - 1, wait_ms)
        leg = switch.start_attempt(request, may_send, self.metrics.attempt_written, call.signals.put_nowait)
        result: Answered | LegEnded | CallerLeft = LegEnded(interface.Outcome.TIMED_OUT)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.clock.loop_time(until_ns)):
                result = await self._attempt_signal(call)
        if result == LegEnded(interface.Outcome.TIMED_OUT):
            # Guards against losing an answer that came in the very turn of the time-out: it is queued.
            while not call.signals.empty():
                signal = call.signals.get_nowait()
                if isinstance(signal, Answered | LegEnded | CallerLeft):
                    result = signal
                    break
        if isinstance(result, CallerLeft) or result == LegEnded(interface.Outcome.TIMED_OUT):
            leg.cancel()
            self._release_unheard(call, leg)
        return leg, result

    async def _attempt_signal(self, call: Call) -> Answered | LegEnded | CallerLeft:
        while True:
            signal = await call.signals.get()
            if isinstance(signal, Answered | LegEnded | CallerLeft):
                return signal

    def _release_unheard(self, call: Call, leg: ports.SwitchLeg) -> None:
        """An answer that was queued behind the caller's leaving lost the race: release it at the switch."""
        while not call.signals.empty():
            if isinstance(call.signals.get_nowait(), Answered):
                leg.release(ports.NORMAL_CLEARING)

    async def _standing(self, call: Call, leg: ports.SwitchLeg) -> None:
        """Until the switch or the caller releases the call; the other side is told at once."""
        signal = await call.signals.get()
        while not isinstance(signal, LegEnded | CallerLeft):
            signal = await call.signals.get()
        if isinstance(signal, CallerLeft):
            leg.release(signal.cause)
            self._attempt_over(call, LegEnded(interface.Outcome.CANCELLED), final=True)
            call.caller.release(signal.cause)
            ended_well = not signal.failed and signal.cause != ports.TEMPORARY_FAILURE
            reason = signal.reason
        else:
            ended_well = signal.outcome is interface.Outcome.ENDED
            reason = signal.reason or EndReason.SWITCH_RELEASED
            call.caller.release(ports.NORMAL_CLEARING if ended_well else ports.TEMPORARY_FAILURE)
            self._attempt_over(call, signal, final=True)
        self.metrics.call_ends[reason] += 1
        self._record(call, "released", self.clock.now_ns() - call.sent_ns, reason=reason)
        self._over(call, "ended" if ended_well else "cut")

    # Parts of it

    def _offered(self, call: Call) -> interface.CallOffered:
        offer = call.offer
        return interface.CallOffered(
            call_id=call.call_id,
            class_name=offer.class_name,
            expires_ns=call.expires_ns,
            destination=offer.destination,
            circuits=offer.circuits,
            called_number=offer.called_number,
            via=offer.via,
            in_transit=offer.in_transit,
            redial=offer.redial,
            was_cut=offer.was_cut,
        )

    def _attempt_over(self, call: Call, ended: LegEnded, final: bool) -> None:
        """Tell the module. Where nothing left, the circuits it counted as taken are free as last reported."""
        report = ended.report
        if report is None and ended.outcome in (interface.Outcome.NO_ROUTE, interface.Outcome.NOT_SENT):
            report = self.group_reports.get(call.switch_id)
        # Guards against a call that spends all its attempts in a moment on one full group: the state sent
        # with 'no circuit' may be older than the refusal, which itself shows that none was free. Where no
        # newer state comes, the last one held after all.
        no_circuit = ended.outcome is interface.Outcome.NOT_SENT and ended.cause is interface.Cause.NO_CIRCUIT
        if no_circuit and report and report.free is not None and report.free >= call.offer.circuits:
            last = self.group_reports.get(call.switch_id)
            asyncio.get_running_loop().call_later(STALE_S, self._still, call.switch_id, last)
            report = replace(report, free=0.0)
        elapsed_ns = self.clock.now_ns() - call.sent_ns
        self.consult(
            interface.AttemptEnded(
                call.call_id, call.attempts - 1, call.switch_id, ended.outcome, elapsed_ns, final,
                cause=ended.cause, report=report,
            )
        )  # fmt: skip

    def _abandon(self, call: Call) -> None:
        """The module owes this call nothing more. A set-up that it ordered meanwhile never leaves."""
        self.consult(interface.CallAbandoned(call.call_id))
        while not call.signals.empty():
            order = call.signals.get_nowait()
            if isinstance(order, interface.SetUp):
                call.attempts, call.switch_id = call.attempts + 1, order.switch_id
                call.sent_ns = self.clock.now_ns()
                self._attempt_over(call, LegEnded(interface.Outcome.NOT_SENT), final=True)

    def _final(self, call: Call, order: Order | CallerLeft, elapsed_ns: int = 0) -> None:
        """The final answer, unless the caller has left."""
        match order:
            case interface.Refuse(_, retry_after_ns):
                pressed = call.last_cause in PROCESSOR_CAUSES
                cause = ports.CONGESTION if pressed else ports.NO_CIRCUIT
                call.caller.refuse(cause, retry_after_ns // 1_000_000)
                self.metrics.count_verdict(Verdict.BUSY, call.offer.class_name)
                self._record(call, "refused")
                self._over(call, "refused")
            case interface.Fail():
                call.caller.fail(ports.TEMPORARY_FAILURE)
                self.metrics.count_verdict(Verdict.FAILURE, call.offer.class_name)
                self._record(call, "failed")
                self._over(call, "failed")
            case CallerLeft(failed=failed):
                if failed:
                    self.metrics.count_verdict(Verdict.FAILURE, call.offer.class_name)
                what = "failed" if failed else "given up"
                self._record(call, what, elapsed_ns)
                self._over(call, what)

    def _record(
        self, call: Call, what: str, elapsed_ns: int = 0, level: str = "info", reason: EndReason | None = None
    ) -> None:
        self.log(
            level, "call", what, call=call.offer.wire_id, **{"class": call.offer.class_name},
            to=call.offer.destination, switch=self.switch_names.get(call.switch_id, ""), attempts=call.attempts,
            cause=call.last_cause.value if call.last_cause else "", ms=elapsed_ns // 1_000_000,
            reason=reason.value if reason else "",
        )  # fmt: skip

    def _over(self, call: Call, verdict: str) -> None:
        """Each call's last word, once, for the records that must be complete."""
        if self.recorder:
            name = self.switch_names.get(call.switch_id, "")
            listing = self.listings.get(name)
            self.recorder(
                ports.CompletedCall(
                    call.offer, verdict, call.offered_ns, self.clock.now_ns(), call.answered_ns, call.attempts, name,
                    listing is not None and listing.exchange_number != call.offer.destination,
                    call.last_cause.value if call.last_cause else "",
                )
            )  # fmt: skip

    def _unheard(self, offer: Offer, verdict: str) -> None:
        if self.recorder:
            now_ns = self.clock.now_ns()
            self.recorder(ports.CompletedCall(offer, verdict, now_ns, now_ns))

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
        left = [call for call in self.calls.values() if not (keep_standing and call.standing)]
        rest = [call.task for call in left if call.task]
        for call in left:
            call.stop() if call.standing else call.fail()
        if rest:
            await asyncio.wait(rest, timeout=0.2)

    async def all_calls_ended(self) -> None:
        while tasks := [call.task for call in self.calls.values() if call.task]:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    def close(self) -> None:
        for switch in self.switches.values():
            switch.close()


def trace_of(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
