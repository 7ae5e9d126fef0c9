"""An open call of the gatekeeper, and the orders and signals that its task receives."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from tansyspur import interface
from tansyspur.core import ports
from tansyspur.core.metrics import SetUpResult
from tansyspur.core.ports import CallerLeft, CallerLeg, EndReason, Offer, SwitchLeg

Order = interface.SetUp | interface.Refuse | interface.Fail


@dataclass(slots=True, eq=False)
class Call:
    """An open call, from its offer to its end. Names that end in _ns are nanoseconds of the gatekeeper's clock."""

    call_id: int  # used with the controller only; the caller's id is offer.wire_id
    offer: Offer
    caller: CallerLeg
    expires_ns: int  # when the final answer is due
    signals: asyncio.Queue[ports.Signal | Order] = field(default_factory=asyncio.Queue)
    attempts: int = 0
    next_attempt_ns: int = 0  # rule 5: no set-up before this, as the last attempt may still hold circuits
    last_cause: interface.Cause | None = None
    switch_id: int = -1  # of the last attempt
    leg: SwitchLeg | None = None  # the switch's side of the last attempt
    attempt_open: bool = False  # an attempt was ordered, and its end has not been reported to the controller
    standing: bool = False  # answered, and not yet ended
    result: SetUpResult | None = None  # the final answer, once it is counted
    recorded: bool = False  # its record is complete
    offered_ns: int = 0
    answered_ns: int = 0
    attempt_started_ns: int = 0  # of the last attempt
    task: asyncio.Task[None] | None = None

    def queued_signals(self) -> Iterator[ports.Signal | Order]:
        """Take the signals that are in the queue, one at a time and without waiting; the rest stay in the queue."""
        while not self.signals.empty():
            yield self.signals.get_nowait()

    def caller_left(self, cause: int = ports.NORMAL_CLEARING) -> None:
        """Called by the front when the caller gives up or hangs up."""
        self.signals.put_nowait(CallerLeft(cause))

    def stop(self) -> None:
        """Release the standing call on both sides, because the gatekeeper is stopping."""
        self.signals.put_nowait(CallerLeft(ports.TEMPORARY_FAILURE, reason=EndReason.STOPPED))

    def fail(self) -> None:
        """Send the caller a failure, and end the call."""
        self.signals.put_nowait(CallerLeft(ports.TEMPORARY_FAILURE, failed=True))
        self.caller.fail(ports.TEMPORARY_FAILURE)
