"""One attempt of a call at a carrier switch over SIP, and the standing call that results from it."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from tansyspur import interface
from tansyspur.core.error_boundary import log_error, run_contained
from tansyspur.core.ports import (
    NORMAL_CLEARING,
    TEMPORARY_FAILURE,
    EndReason,
    LegEnded,
    SetUpRequest,
    SwitchSignal,
)
from tansyspur.net.link import Link
from tansyspur.net.sip_messages import INVITE_CSEQ, format_request

if TYPE_CHECKING:
    from tansyspur.net.sip import SipSwitch


class SipLeg:
    """One attempt, and the standing call after its answer.

    The set-up is sent by send(), which first consults may_send. on_written is called when its last byte has left the
    process; notify gets Answered and then LegEnded, and nothing after the leg has ended.
    """

    def __init__(
        self,
        switch: "SipSwitch",
        request: SetUpRequest,
        may_send: Callable[[], bool],
        on_written: Callable[[], None],
        notify: Callable[[SwitchSignal], None],
    ) -> None:
        self.switch, self.request, self.may_send, self._notify = switch, request, may_send, notify
        self.on_written = on_written
        self.call_id = request.offer.wire_id
        self.link: Link | None = None  # the connection that carried the set-up
        self.sent_at, self.sent_ns = 0.0, 0  # loop time in seconds; wall-clock time
        self.standing = self.ended = False
        self.wait_timer: asyncio.TimerHandle | None = None
        self.expires_at = switch.loop.time() + request.timeout_ms / 1000

    @property
    def setup_link_lost(self) -> bool:
        """Whether the call is standing and the connection of its set-up has closed."""
        return self.standing and self.link is not None and self.link.closed

    def notify(self, signal: SwitchSignal) -> None:
        """Pass a signal on unless the leg has ended; LegEnded ends it."""
        if not self.ended:
            self.ended = isinstance(signal, LegEnded)
            self._notify(signal)

    def send(self, link: Link) -> None:
        """Write the set-up, unless the leg has ended or may_send withdraws it (NOT_SENT).

        An error ends the leg: other set-ups may wait for the same connection.
        """
        try:
            self._send(link)
        except Exception as error:  # noqa: BLE001 - any of them must end as one failed call
            log_error(self.switch.log, "sip", error, call=self.call_id, switch=self.switch.name)
            self.fail_internal()

    def fail_internal(self) -> None:
        """End the leg after an internal error. What was sent of it is released at the switch."""
        self.switch.forget(self)
        if self.link:
            run_contained(
                self.switch.log, "sip", self.switch.send_bye, self.call_id, TEMPORARY_FAILURE, self.link
            )
        outcome = interface.Outcome.CUT if self.link else interface.Outcome.NOT_SENT
        self.notify(LegEnded(outcome, reason=EndReason.INTERNAL))

    def _send(self, link: Link) -> None:
        if self.wait_timer:
            self.wait_timer.cancel()
        if self.ended:
            return
        if not self.may_send():
            self.switch.forget(self)
            return self.notify(LegEnded(interface.Outcome.NOT_SENT, reason=EndReason.HELD_BACK))
        offer = self.request.offer
        wait_ms = max(1, int((self.expires_at - self.switch.loop.time()) * 1000))
        body = offer.description.encode("utf-8", "surrogateescape")
        headers = (f"X-Service: {offer.class_name}", f"X-Setup-Ms: {wait_ms}")
        invite = format_request("INVITE", offer.called_number, self.call_id, INVITE_CSEQ, *headers, body=body)
        self.link, self.sent_at, self.sent_ns = link, self.switch.loop.time(), time.time_ns()
        link.write(invite, self.on_written)

    def drop_description(self) -> None:
        """The description may be large, and is not needed once the set-up is answered."""
        self.request = replace(self.request, offer=replace(self.request.offer, description=""))

    def fail_no_route(self) -> None:
        self.switch.forget(self)
        self.notify(LegEnded(interface.Outcome.NO_ROUTE, reason=EndReason.NO_CONNECTION))

    def cancel(self) -> None:
        if self.ended:
            return
        self.ended = True
        self.switch.forget(self)
        if self.wait_timer:
            self.wait_timer.cancel()
        if self.link and self.link.unsent:
            # Without this a set-up could leave a stalled buffer after its attempt has ended.
            self.switch.log(
                "warning",
                "sip",
                "set-up cancelled before it was sent; closing the stalled connection",
                switch=self.switch.name,
            )
            self.link.abort()
        elif self.link:
            self.switch.remember_cancelled(self.call_id)
            cancel = format_request("CANCEL", self.request.offer.called_number, self.call_id, INVITE_CSEQ)
            if not run_contained(self.switch.log, "sip", self.link.write, cancel, call=self.call_id):
                # Unlike the CANCEL, a release is sent again until it is delivered.
                self.switch.send_bye(self.call_id, NORMAL_CLEARING, self.link)

    def release(self, cause: int) -> None:
        if not self.ended:
            self.switch.send_bye(self.call_id, cause, self.link)  # first: after an error it is released again
            self.ended = True
            self.switch.forget(self)
