"""Checks of offers on arrival, and of each set-up at the moment it would be written to a switch.

The controller follows the rules by itself, but time passes between its decision and the write to the socket. A
set-up that is stopped here is logged, as it means that a decision was late or wrong.
"""

from tansyspur import interface
from tansyspur.core.ports import Offer, SwitchListing

COLD_DELAY_NS = 100_000_000  # a set-up to a cold switch that is delayed for longer would join a later burst


def unusable(settings: interface.Settings, offer: Offer) -> str | None:
    """Name of the first part of an offer that no switch could use; None if all of it is usable.

    Prevents a faulty caller from being served with a class that does not exist or with an unlimited waiting time.
    """
    call_class = next(
        (call_class for call_class in settings.classes if call_class.name == offer.class_name), None
    )
    if call_class is None:
        return "class"
    if not 0 < offer.remaining_ms <= call_class.deadline_ns / 1e6:
        return "time to wait"
    if offer.circuits != call_class.circuits:
        return "width"
    return None


def objection(
    settings: interface.Settings,
    offer: Offer,
    attempts: int,
    next_attempt_ns: int,
    expires_ns: int,
    decided_listing: SwitchListing | None,
    decided_ns: int,
    listing: SwitchListing | None,
    now_ns: int,
) -> str | None:
    """Why this set-up must not be sent now, as a log text; None if it may.

    attempts includes this one. next_attempt_ns and expires_ns bound the time at which it may be sent. decided_listing
    is the entry of the switch when the controller decided, at decided_ns, and listing its entry now.
    """
    if listing is None or listing.state is not interface.SwitchState.IN_SERVICE:
        return "set-up not sent: the switch is draining or gone"  # rule 3: none to a switch out of service
    if not listing.same_process(decided_listing):
        return "set-up not sent: the switch has restarted since the decision"  # rule 4: limited rate after a start
    cold = listing.started_ns is not None and now_ns < listing.started_ns + settings.ramp_ns
    if cold and now_ns - decided_ns > COLD_DELAY_NS:
        return "set-up not sent: delayed too long for a cold switch"  # rule 4: limited rate after a start
    if now_ns < next_attempt_ns:
        return "set-up not sent: the previous attempt may still hold circuits"  # rule 5: release delay
    if now_ns >= expires_ns:
        return "set-up not sent: its time has run out"  # rule 1: final answer by the deadline
    if attempts > settings.max_attempts:
        return "set-up not sent: too many attempts"
    if listing.exchange_number == settings.own_exchange:
        return "set-up not sent: the switch belongs to the gatekeeper's own exchange number"
    if offer.in_transit and listing.exchange_number != offer.destination:
        return "set-up not sent: a call in transit may only go to its destination"
    return None
