"""The gatekeeper: serves calls between callers and carrier switches.

Gatekeeper owns the Controller, which makes all decisions, and the list of carrier switches. It passes events to
the Controller and carries out the actions that it returns. Each open call has a task, which receives the signals of
its caller and of its switch from a queue. Names that end in _ns are nanoseconds of the gatekeeper's clock.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace
from typing import Any

from tansyspur import interface
from tansyspur.core import guard, ports
from tansyspur.core.call import Call, Order
from tansyspur.core.clock import Clock
from tansyspur.core.error_boundary import format_trace, run_contained
from tansyspur.core.metrics import Metrics, SetUpResult
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

DEADLINE_MARGIN_MS = 10  # the final answer is sent this long before the caller stops waiting
# A busy group sends a newer report sooner than this. With 50 ms, the old report misled more calls than it helped.
REPORT_RESTORE_DELAY_S = 1.0
TIMER_RETRY_S = 1.0  # after an error in a timer of the controller, without which no queue is served
SETTINGS_OVERLAP_S = 1.0  # callers may still use the former settings for this long after a change
MAX_OPEN_CALLS = 20_000  # further calls are refused on arrival

Log = Callable[..., None]
NEEDS_RELEASE = (interface.Outcome.TIMED_OUT, interface.Outcome.CUT, interface.Outcome.CANCELLED)
PROCESSOR_CAUSES = (interface.Cause.PROCESSOR_FULL, interface.Cause.FAR_PROCESSOR_FULL)


class InternalCallError(Exception):
    """A step of a call failed by an internal error, which has been logged where it was raised."""


class Gatekeeper:
    """Serves calls. Fronts call offer(), the command channel list_changed(), and peers peer_message().

    seed is for the random numbers of the controller. make_switch creates the adapter of a listed switch. It is called
    again when the address of the switch changes.
    """

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        make_switch: ports.SwitchFactory,
        log: Log,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.former_settings: interface.Settings | None = None  # until SETTINGS_OVERLAP_S after a change
        self.controller = Controller(settings, seed)
        self.make_switch = make_switch
        self.log = log
        self.clock = clock or Clock()
        self.messenger: ports.Messenger | None = None
        self.recorder: Callable[[ports.CompletedCall], None] | None = None  # called at the end of each call
        self.calls: dict[int, Call] = {}
        self.listings: dict[str, SwitchListing] = {}
        # Listed switches whose address has since been listed for another switch.
        self.displaced_names: set[str] = set()
        # The controller knows switches by id only; switch_ids is the inverse.
        self.switch_names: dict[int, str] = {}
        self.switch_ids: dict[str, int] = {}
        self.switches: dict[int, Switch] = {}
        self.group_reports: dict[int, interface.LoadReport] = {}  # last report of each trunk group
        self.call_ids = itertools.count(1)
        self.next_switch_id = itertools.count(1)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.metrics = Metrics()
        self.metrics.add_classes(call_class.name for call_class in settings.classes)
        self.started = False  # the switch list was received, and its switches were dialled
        self.paused = False  # by an operator: callers are shed
        self.ending = False
        self.not_paused = asyncio.Event()
        self.not_paused.set()
        # Called with True at a pause and with False at its end, so that fronts shed their callers or keep them.
        self.pause_listeners: list[Callable[[bool], None]] = []

    # Service state, which all fronts and the console use

    @property
    def accepts_callers(self) -> bool:
        """Whether callers may connect. While the process ends, their calls are still served."""
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
        """Shed callers. Open set-ups are still served, and answered calls continue. Does nothing if already paused."""
        self._set_paused(True)

    def resume(self) -> None:
        self._set_paused(False)

    def _set_paused(self, paused: bool) -> None:
        if self.paused is not paused:
            self.paused = paused
            self.not_paused.clear() if paused else self.not_paused.set()
            self.log("notice", "service", self.service_state, calls=len(self.calls))
            for notify in self.pause_listeners:
                notify(paused)

    # Settings

    def apply_settings(self, settings: interface.Settings) -> None:
        """Replace the settings at once. The gatekeeper's own identity and place in the network stay as at the start."""
        former = self.settings
        self.settings = replace(
            settings,
            shape=former.shape,
            own_exchange=former.own_exchange,
            ordinal=former.ordinal,
            gatekeepers=former.gatekeepers,
        )
        self.former_settings = former
        self.metrics.add_classes(call_class.name for call_class in settings.classes)
        asyncio.get_running_loop().call_later(SETTINGS_OVERLAP_S, self._drop_former_settings, former)
        self.consult(interface.SettingsChanged(self.settings))

    def _drop_former_settings(self, former: interface.Settings) -> None:
        if self.former_settings is former:
            self.former_settings = None

    def _unusable_part(self, offer: Offer) -> str | None:
        """Name of the part of the offer that is unusable; None if all of it is usable.

        For a moment after a change the former settings are valid as well. Without this, set-ups that callers sent
        before they knew of the new settings would fail.
        """
        part = guard.unusable(self.settings, offer)
        return part and guard.unusable(self.former_settings, offer) if self.former_settings else part

    # Events from fronts, switches, the command channel and peers

    def offer(self, offer: Offer, caller: CallerLeg) -> Call | None:
        """Start a call. Returns None if it was refused or failed on arrival, without consulting the controller."""
        part = self._unusable_part(offer)
        if part:
            self.log("warning", "guard", f"set-up failed on arrival: unusable {part}", call=offer.wire_id)
            caller.fail(ports.INVALID_ELEMENT)
            self.metrics.count_setup_result(SetUpResult.FAILURE, offer.class_name)
            self._record_rejected(offer, "failed")
            return None
        if len(self.calls) >= MAX_OPEN_CALLS:
            self.log(
                "warning", "overfull", "set-up refused on arrival: too many open calls", call=offer.wire_id
            )
            self.refuse_on_arrival(offer, caller)
            return None
        margin_ms = min(DEADLINE_MARGIN_MS, offer.remaining_ms / 10)
        now_ns = self.clock.now_ns()
        expires_ns = now_ns + int((offer.remaining_ms - margin_ms) * 1e6)
        call = Call(next(self.call_ids), offer, caller, expires_ns, offered_ns=now_ns)
        self.calls[call.call_id] = call
        call.task = self.spawn(self._serve(call), f"call {offer.wire_id}")
        return call

    def reject(self, offer: Offer, caller: CallerLeg) -> None:
        """Refuse a call on arrival, on a connection that is kept only for the standing calls on it."""
        self.log(
            "info",
            "call",
            "refused on arrival: the service takes no new calls",
            call=offer.wire_id,
            service=self.service_state,
        )
        self.refuse_on_arrival(offer, caller)

    def refuse_on_arrival(self, offer: Offer, caller: CallerLeg) -> None:
        """Refuse a call without a log line and without consulting the controller: trying again is harmless."""
        caller.refuse(ports.CONGESTION, self.settings.max_retry_after_ns // 1_000_000)
        self.metrics.count_setup_result(SetUpResult.BUSY, offer.class_name)
        self._record_rejected(offer, "refused")

    def list_changed(self, kind: interface.SwitchListKind, entries: Iterable[SwitchListing]) -> None:
        """Apply a complete switch list or the changes to it, and pass the result on to the controller."""
        entries = list(entries)
        if kind is not interface.SwitchListKind.CHANGES:
            listed_names = {entry.name for entry in entries}
            removed_names = [name for name in self.listings if name not in listed_names]
            for name in removed_names:
                self._remove_listing(name)
        event_names = {entry.name for entry in entries}
        switches = [self._apply_listing(entry, event_names) for entry in entries]
        included_ids = {switch.switch_id for switch in switches}
        if kind is interface.SwitchListKind.CHANGES:
            displaced = (self.listings[name] for name in self.displaced_names)
            switches += [
                switch for switch in map(self._as_gone, displaced) if switch.switch_id not in included_ids
            ]
        self.consult(interface.SwitchList(kind, tuple(switches)))

    def _as_gone(self, entry: SwitchListing) -> interface.CarrierSwitch:
        return replace(entry.as_carrier_switch(self.switch_ids[entry.name]), state=interface.SwitchState.GONE)

    def _apply_listing(self, entry: SwitchListing, event_names: set[str]) -> interface.CarrierSwitch:
        """Apply one entry of the switch list; event_names are the names of all entries in the same event."""
        switch_id = self.switch_ids.get(entry.name)
        if switch_id is None:
            switch_id = self.switch_ids[entry.name] = next(self.next_switch_id)
            self.switch_names[switch_id] = entry.name
        previous = self.listings.get(entry.name)
        switch = self.switches.get(switch_id)
        self._log_listing(entry, previous)
        if entry.state is not interface.SwitchState.IN_SERVICE and switch:
            switch.stop_new_attempts()
        if entry.state is interface.SwitchState.GONE:
            self._remove_listing(entry.name)
            return entry.as_carrier_switch(switch_id)
        if switch and previous and previous.address != entry.address:
            switch.retire()
            switch = None
        if switch and previous and entry.started_ns and entry.started_ns != previous.started_ns:
            switch.process_restarted(entry.started_ns)
        if previous is None or previous.address != entry.address:
            self.displaced_names.discard(entry.name)
            self._displace_others(entry, event_names)
        self.listings[entry.name] = entry
        if entry.name in self.displaced_names:
            return self._as_gone(entry)
        if switch is None and entry.exchange_number != self.settings.own_exchange:
            self.switches[switch_id] = self.make_switch(
                entry.name, entry.address, lambda report: self._on_group_report(switch_id, report)
            )
        return entry.as_carrier_switch(switch_id)

    def _displace_others(self, entry: SwitchListing, event_names: set[str]) -> None:
        """Cut the calls of switches that are listed at the address of this new entry, and close them to set-ups.

        Discovery may not have reported that the earlier switch is gone. Without this, its calls would stay standing,
        and set-ups for it would be sent to the switch that now has the address.
        """
        for other in self.listings.values():
            older = (other.started_ns or 0) <= (entry.started_ns or 0)
            if other.name in event_names or other.address != entry.address or not older:
                continue
            switch_id = self.switch_ids[other.name]
            switch = self.switches.get(switch_id)
            if switch and switch.uses_listed_address:
                self.log(
                    "warning",
                    "list",
                    "another switch is listed at the address; cutting the calls of the earlier one",
                    switch=other.name,
                    by=entry.name,
                )
                self.displaced_names.add(other.name)
                del self.switches[switch_id]
                switch.stop_new_attempts()
                switch.retire(EndReason.ADDRESS_TAKEN)

    def _log_listing(self, entry: SwitchListing, previous: SwitchListing | None) -> None:
        """Log each entry that has changed, so that the effects can be traced to it."""
        if entry == previous:
            return
        standing = sum(
            call.standing
            for call in self.calls.values()
            if self.switch_names.get(call.switch_id) == entry.name
        )
        self.log(
            "notice", "list", f"{previous.state.value if previous else 'unknown'} to {entry.state.value}",
            switch=entry.name, address=entry.address, started_ms=(entry.started_ns or 0) // 1_000_000,
            standing=standing,
        )  # fmt: skip

    def _remove_listing(self, name: str) -> None:
        self.listings.pop(name, None)
        self.displaced_names.discard(name)
        switch_id = self.switch_ids.pop(name, -1)
        self.switch_names.pop(switch_id, None)
        self.group_reports.pop(switch_id, None)
        switch = self.switches.pop(switch_id, None)
        if switch:
            switch.stop_new_attempts()
            switch.retire()

    def _on_group_report(self, switch_id: int, report: interface.LoadReport) -> None:
        if switch_id in self.switch_names:
            self.group_reports[switch_id] = report
        if not self._inform(interface.GroupReport(switch_id, interface.Outcome.ENDED, 0, report)):
            self._restore_later(switch_id, report)

    def _restore_later(self, switch_id: int, report: interface.LoadReport | None) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(REPORT_RESTORE_DELAY_S, self._restore_group_report, switch_id, report)

    def _restore_group_report(self, switch_id: int, report: interface.LoadReport | None) -> None:
        """Apply the report again if no newer one has come.

        Compared by identity: a newer report with the same values may include set-ups that were sent since.
        """
        if report is not None and self.group_reports.get(switch_id) is report:
            self._on_group_report(switch_id, report)

    def avoided_switches(self) -> set[str]:
        """Names of the listed switches to which the controller sends no calls at the moment."""
        actions = self.controller.handle(self.clock.now_ns(), interface.AvoidedSwitchesQuery())
        answers = [action.switch_ids for action in actions if isinstance(action, interface.AvoidedSwitches)]
        return {
            self.switch_names[switch_id]
            for switch_ids in answers
            for switch_id in switch_ids
            if switch_id in self.switch_names
        }

    def peer_message(self, sender: int, data: bytes) -> None:
        self._inform(interface.PeerMessage(sender, data))

    # Events to the controller, and its actions

    def consult(self, event: interface.Event) -> None:
        """Pass an event to the controller, and carry out the actions that it returns.

        An error in one action is logged, as the other actions may belong to other calls.
        """
        for action in self.controller.handle(self.clock.now_ns(), event):
            run_contained(self.log, "module", self._apply, action)

    def _inform(self, event: interface.Event) -> bool:
        """Pass on an event that is no step of a call. An error is logged; returns whether there was none."""
        return run_contained(self.log, "module", self.consult, event)

    def _on_timer(self, token: int) -> None:
        if not self._inform(interface.TimerDue(token)):
            asyncio.get_running_loop().call_later(TIMER_RETRY_S, self._on_timer, token)

    def _apply(self, action: interface.Action) -> None:
        match action:
            case interface.SetUp(call_id) | interface.Refuse(call_id) | interface.Fail(call_id):
                call = self.calls.get(call_id)
                if call is None:
                    self.log("warning", "guard", "order ignored: its call has ended", order=str(action))
                else:
                    call.signals.put_nowait(action)
            case interface.SetTimer(token, at_ns):
                loop = asyncio.get_running_loop()
                loop.call_at(self.clock.loop_time(at_ns), self._on_timer, token)
            case interface.SendMessage(peer, data):
                if self.messenger:
                    self.messenger.send(peer, data)
            case interface.Probe(switch_id):
                self._probe(switch_id)
            case interface.CancelAttempt(call_id):
                self.log(
                    "warning",
                    "recall",
                    "order ignored: cancelling an attempt by order is not supported",
                    call=call_id,
                )
            case interface.SubscribeSwitchList():
                self.log(
                    "info", "list", "request ignored: the command channel sends the switch list without one"
                )
            case interface.Log(text):
                self.log("info", "module", text)

    def _probe(self, switch_id: int) -> None:
        requested_ns, switch = self.clock.now_ns(), self.switches.get(switch_id)

        def on_result(outcome: interface.Outcome, report: interface.LoadReport | None) -> None:
            self._inform(
                interface.GroupReport(switch_id, outcome, self.clock.now_ns() - requested_ns, report)
            )

        if switch:
            switch.probe(on_result)

    # From the offer of a call to its end

    async def _serve(self, call: Call) -> None:
        try:
            leg = await self._set_up(call)
            if leg is not None:
                call.standing = True
                await self._serve_standing(call, leg)
        except Exception:
            self._end_after_error(call)
            raise  # the task logs the error
        finally:
            self.calls.pop(call.call_id, None)

    def _end_after_error(self, call: Call) -> None:
        """End the call on all sides after an internal error in any of its steps.

        The switch must not keep an attempt or a call without a caller, the controller must not count an attempt as
        outstanding for ever, and by rule 1 each caller gets one final answer.
        """
        for step in (self._end_leg, self._report_error, self._answer_after_error, self._count_error):
            run_contained(self.log, "call", step, call, call=call.offer.wire_id)

    def _end_leg(self, call: Call) -> None:
        if call.leg and call.answered_ns:
            call.leg.release(ports.TEMPORARY_FAILURE)
        elif call.leg and call.attempt_open:
            call.leg.cancel()
            self._release_queued_answer(call, call.leg)

    def _report_error(self, call: Call) -> None:
        if not call.answered_ns:
            self._abandon(call)
        if call.attempt_open:
            outcome = interface.Outcome.CUT if call.leg else interface.Outcome.NOT_SENT
            self._report_attempt_end(call, LegEnded(outcome, reason=EndReason.INTERNAL), final=True)

    def _answer_after_error(self, call: Call) -> None:
        end = call.caller.release if call.answered_ns else call.caller.fail
        end(ports.TEMPORARY_FAILURE)

    def _count_error(self, call: Call) -> None:
        if call.answered_ns and not call.recorded:
            self.metrics.call_ends[EndReason.INTERNAL] += 1
        self._count_result(call, SetUpResult.FAILURE)
        self._record_completed(call, "cut" if call.answered_ns else "failed")

    def _count_result(self, call: Call, result: SetUpResult) -> None:
        """Count the final answer to the call, once."""
        if call.result is None:
            call.result = result
            self.metrics.count_setup_result(result, call.offer.class_name)

    async def _set_up(self, call: Call) -> ports.SwitchLeg | None:
        """Try to connect the call, over as many attempts as the controller orders.

        Returns the switch's leg of the answered call, or None after a refusal, a failure, or the caller's leaving.
        """
        if not call.signals.empty():  # the caller left before this task started: the controller need not know
            first = call.signals.get_nowait()
            assert isinstance(first, CallerLeft)  # nothing else can come before the first decision
            self._send_final_answer(call, first)
            return None
        self.consult(self._call_offered(call))
        while True:
            order = await self._next_order(call)
            if not isinstance(order, interface.SetUp):
                self._send_final_answer(call, order)
                return None
            leg, result = await self._run_attempt(call, order)
            if isinstance(result, LegEnded) and result.reason is EndReason.INTERNAL:
                self._report_attempt_end(call, result, final=True)
                raise InternalCallError("an error in the adapter of the switch")
            elapsed_ns = self.clock.now_ns() - call.attempt_started_ns
            if isinstance(result, Answered):
                assert leg is not None  # an answer comes from a leg
                answered = interface.CallAnswered(
                    call.call_id, call.attempts - 1, order.switch_id, elapsed_ns
                )
                self.consult(answered)
                if call.caller.answer(result.description):
                    call.answered_ns = self.clock.now_ns()
                    call.offer = replace(
                        call.offer, description=""
                    )  # may be large, and is not needed any more
                    self._count_result(call, SetUpResult.SUCCESS)
                    self._log_call(call, "stands", elapsed_ns)
                    return leg
                # The caller left just as the answer came. Without this, the call would stay standing at the switch.
                leg.release(ports.NORMAL_CLEARING)
                result = CallerLeft()
            if isinstance(result, CallerLeft):
                self._abandon(call)
                self._report_attempt_end(call, LegEnded(interface.Outcome.CANCELLED), final=True)
                self._send_final_answer(call, result, elapsed_ns)
                return None
            if result.outcome in NEEDS_RELEASE:
                call.next_attempt_ns = self.clock.now_ns() + self.settings.release_delay_ns
            call.last_cause = result.cause
            notable = result.outcome in NEEDS_RELEASE or result.outcome is interface.Outcome.NO_ROUTE
            level = "info" if notable else "debug"
            self._log_call(call, f"attempt: {result.outcome.value}", elapsed_ns, level, result.reason)
            self._report_attempt_end(call, result, final=False)

    async def _next_order(self, call: Call) -> Order | CallerLeft:
        """Wait for the controller's next order for the call. At the deadline the call fails without one."""
        try:
            async with asyncio.timeout_at(self.clock.loop_time(call.expires_ns)):
                while True:
                    signal = await call.signals.get()
                    if isinstance(signal, Order):
                        return signal
                    if isinstance(signal, CallerLeft):
                        break
        except TimeoutError:
            signal = self._final_order_at_deadline(call)
        self._abandon(call)
        return signal

    def _final_order_at_deadline(self, call: Call) -> Order | CallerLeft:
        """The refusal, failure or leaving that is in the queue already, else a failure; set-ups stay in the queue.

        After a stall of the process the order and the deadline come due in the same turn of the event loop. Without
        this, a call that was refused in time would fail, without a time for its caller's next try.
        """
        signals = list(call.queued_signals())
        for signal in signals:
            if isinstance(signal, interface.Refuse | interface.Fail | CallerLeft):
                return signal
        for signal in signals:
            call.signals.put_nowait(signal)
        self.log("warning", "guard", "call failed: no decision by its deadline", call=call.offer.wire_id)
        return interface.Fail(call.call_id)

    async def _run_attempt(
        self, call: Call, order: interface.SetUp
    ) -> tuple[ports.SwitchLeg | None, Answered | LegEnded | CallerLeft]:
        """Run one attempt until it is answered, ends or times out, or until the caller leaves.

        On return the attempt is answered, ended or cancelled: none is outstanding.
        """
        decided_ns = call.attempt_started_ns = self.clock.now_ns()
        call.attempts, call.switch_id = call.attempts + 1, order.switch_id
        call.leg, call.attempt_open = None, True
        name = self.switch_names.get(order.switch_id, "")
        decided_listing, switch = self.listings.get(name), self.switches.get(order.switch_id)
        until_ns = call.expires_ns
        if order.timeout_ns:
            until_ns = min(until_ns, decided_ns + order.timeout_ns)

        def may_send() -> bool:
            objection = guard.objection(
                self.settings, call.offer, call.attempts, call.next_attempt_ns, until_ns, decided_listing, decided_ns,
                self.listings.get(name), self.clock.now_ns(),
            )  # fmt: skip
            if objection is None and call.caller.has_left:
                return False
            if objection:
                self.log("warning", "guard", objection, call=call.offer.wire_id, switch=name)
            return objection is None

        if switch is None:
            return None, LegEnded(interface.Outcome.NO_ROUTE)
        timeout_ms = max(1, (until_ns - decided_ns) // 1_000_000)
        request = ports.SetUpRequest(call.offer, call.attempts - 1, timeout_ms)
        leg = switch.start_attempt(request, may_send, self.metrics.attempt_written, call.signals.put_nowait)
        call.leg = leg
        result: Answered | LegEnded | CallerLeft = LegEnded(interface.Outcome.TIMED_OUT)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.clock.loop_time(until_ns)):
                result = await self._next_attempt_signal(call)
        if result == LegEnded(interface.Outcome.TIMED_OUT):
            # A signal that came in the same turn of the event loop as the time-out is still in the queue.
            # Without this, an answer would be lost.
            for signal in call.queued_signals():
                if isinstance(signal, Answered | LegEnded | CallerLeft):
                    result = signal
                    break
        if isinstance(result, CallerLeft) or result == LegEnded(interface.Outcome.TIMED_OUT):
            leg.cancel()
            self._release_queued_answer(call, leg)
        return leg, result

    async def _next_attempt_signal(self, call: Call) -> Answered | LegEnded | CallerLeft:
        while True:
            signal = await call.signals.get()
            if isinstance(signal, Answered | LegEnded | CallerLeft):
                return signal

    def _release_queued_answer(self, call: Call, leg: ports.SwitchLeg) -> None:
        """Release the call at the switch if its answer is queued behind the time-out or the caller's leaving."""
        for signal in call.queued_signals():
            if isinstance(signal, Answered):
                leg.release(ports.NORMAL_CLEARING)

    async def _serve_standing(self, call: Call, leg: ports.SwitchLeg) -> None:
        """Wait until the switch or the caller releases the answered call, and release it on the other side."""
        signal = await call.signals.get()
        while not isinstance(signal, LegEnded | CallerLeft):
            signal = await call.signals.get()
        if isinstance(signal, CallerLeft):
            leg.release(signal.cause)
            self._report_attempt_end(call, LegEnded(interface.Outcome.CANCELLED), final=True)
            call.caller.release(signal.cause)
            ended_well = not signal.failed and signal.cause != ports.TEMPORARY_FAILURE
            reason = signal.reason
        else:
            ended_well = signal.outcome is interface.Outcome.ENDED
            reason = signal.reason or EndReason.SWITCH_RELEASED
            call.caller.release(ports.NORMAL_CLEARING if ended_well else ports.TEMPORARY_FAILURE)
            self._report_attempt_end(call, signal, final=True)
        self.metrics.call_ends[reason] += 1
        self._log_call(call, "released", self.clock.now_ns() - call.attempt_started_ns, reason=reason)
        self._record_completed(call, "ended" if ended_well else "cut")

    # Events, log lines and records of a call

    def _call_offered(self, call: Call) -> interface.CallOffered:
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

    def _report_attempt_end(self, call: Call, ended: LegEnded, final: bool) -> None:
        """Report the end of an attempt to the controller.

        If nothing was sent, the circuits that the controller counted as taken are free, as last reported.
        """
        report = ended.report
        if report is None and ended.outcome in (interface.Outcome.NO_ROUTE, interface.Outcome.NOT_SENT):
            report = self.group_reports.get(call.switch_id)
        # The report sent with 'no circuit' may be older than the refusal, which itself shows that no circuit was
        # free. Without this, a call could spend all its attempts on one full group within a moment. If no newer
        # report comes, the last one was right and is applied again.
        no_circuit = ended.outcome is interface.Outcome.NOT_SENT and ended.cause is interface.Cause.NO_CIRCUIT
        if no_circuit and report and report.free is not None and report.free >= call.offer.circuits:
            self._restore_later(call.switch_id, self.group_reports.get(call.switch_id))
            report = replace(report, free=0.0)
        elapsed_ns = self.clock.now_ns() - call.attempt_started_ns
        self.consult(
            interface.AttemptEnded(
                call.call_id, call.attempts - 1, call.switch_id, ended.outcome, elapsed_ns, final,
                cause=ended.cause, report=report,
            )
        )  # fmt: skip
        call.attempt_open = False

    def _abandon(self, call: Call) -> None:
        """Report that the call needs no more orders. A set-up already ordered is reported as not sent."""
        self.consult(interface.CallAbandoned(call.call_id))
        for order in call.queued_signals():
            if isinstance(order, interface.SetUp):
                call.attempts, call.switch_id = call.attempts + 1, order.switch_id
                call.attempt_started_ns = self.clock.now_ns()
                self._report_attempt_end(call, LegEnded(interface.Outcome.NOT_SENT), final=True)

    def _send_final_answer(self, call: Call, order: Order | CallerLeft, elapsed_ns: int = 0) -> None:
        """Send the final answer, unless the caller has left, and log and record the end of the call."""
        match order:
            case interface.Refuse(_, retry_after_ns):
                processor_full = call.last_cause in PROCESSOR_CAUSES
                cause = ports.CONGESTION if processor_full else ports.NO_CIRCUIT
                call.caller.refuse(cause, retry_after_ns // 1_000_000)
                self._count_result(call, SetUpResult.BUSY)
                self._log_call(call, "refused")
                self._record_completed(call, "refused")
            case interface.Fail():
                call.caller.fail(ports.TEMPORARY_FAILURE)
                self._count_result(call, SetUpResult.FAILURE)
                self._log_call(call, "failed")
                self._record_completed(call, "failed")
            case CallerLeft(failed=failed):
                if failed:
                    call.caller.fail(ports.TEMPORARY_FAILURE)  # sends nothing if the front has sent it
                    self._count_result(call, SetUpResult.FAILURE)
                verdict = "failed" if failed else "given up"
                self._log_call(call, verdict, elapsed_ns)
                self._record_completed(call, verdict)

    def _log_call(
        self,
        call: Call,
        event: str,
        elapsed_ns: int = 0,
        level: str = "info",
        reason: EndReason | None = None,
    ) -> None:
        self.log(
            level, "call", event, call=call.offer.wire_id, **{"class": call.offer.class_name},
            to=call.offer.destination, switch=self.switch_names.get(call.switch_id, ""), attempts=call.attempts,
            cause=call.last_cause.value if call.last_cause else "", ms=elapsed_ns // 1_000_000,
            reason=reason.value if reason else "",
        )  # fmt: skip

    def _record_completed(self, call: Call, verdict: str) -> None:
        """Pass the ended call to the recorder. Done exactly once for each call, as the records must be complete."""
        if self.recorder and not call.recorded:
            call.recorded = True
            name = self.switch_names.get(call.switch_id, "")
            listing = self.listings.get(name)
            self.recorder(
                ports.CompletedCall(
                    call.offer, verdict, call.offered_ns, self.clock.now_ns(), call.answered_ns, call.attempts, name,
                    listing is not None and listing.exchange_number != call.offer.destination,
                    call.last_cause.value if call.last_cause else "",
                )
            )  # fmt: skip

    def _record_rejected(self, offer: Offer, verdict: str) -> None:
        if self.recorder:
            now_ns = self.clock.now_ns()
            self.recorder(ports.CompletedCall(offer, verdict, now_ns, now_ns))

    # Tasks and shutdown

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Start a task. It is referenced while it runs, so that it is not collected, and its exception is logged."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.log("error", "task", f"{task.get_name()} failed: {error!r}", trace=format_trace(error))

    async def finish(self, seconds: float, keep_standing: bool = False) -> None:
        """Wait up to this many seconds for all calls to end, then fail the unanswered and release the standing ones.

        With keep_standing, standing calls continue: another process serves the callers, so this one may run on.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        # New calls may arrive during a wait, so the list is built again after each call that ends.
        while self.calls and loop.time() < deadline:
            tasks = [call.task for call in self.calls.values() if call.task]
            await asyncio.wait(tasks, timeout=deadline - loop.time(), return_when=asyncio.FIRST_COMPLETED)
        remaining = [call for call in self.calls.values() if not (keep_standing and call.standing)]
        tasks_to_end = [call.task for call in remaining if call.task]
        for call in remaining:
            call.stop() if call.standing else call.fail()
        if tasks_to_end:
            await asyncio.wait(tasks_to_end, timeout=0.2)

    async def all_calls_ended(self) -> None:
        while tasks := [call.task for call in self.calls.values() if call.task]:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    def close(self) -> None:
        for switch in self.switches.values():
            switch.close()
