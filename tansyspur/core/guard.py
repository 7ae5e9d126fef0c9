"""What may come in, and the last guard: the rules, once more, at the moment a set-up would be written.

The module keeps the rules by itself; on sockets time passes between its decision and the write. Whatever the
guard stops is logged, as it means that a decision was late or wrong.
"""

from tansyspur import interface
from tansyspur.core.ports import Offer, SwitchListing

COLD_DELAY_NS = 100_000_000  # a set-up to a cold switch that is held up longer would join a later burst


def unusable(settings: interface.Settings, offer: Offer) -> str | None:
    """What in an offer no switch could use; None if all may be used.

    Guards against serving what a broken caller made up: a class of its own, or a time that has no end.
    """
    kind = next((kind for kind in settings.classes if kind.name == offer.class_name), None)
    if kind is None:
        return "class"
    if not 0 < offer.remaining_ms <= kind.deadline_ns / 1e6:
        return "time to wait"
    if offer.circuits != kind.circuits:
        return "width"
    return None


def objection(
    settings: interface.Settings,
    offer: Offer,
    attempts: int,
    ready_ns: int,
    expires_ns: int,
    decided: SwitchListing | None,
    decided_ns: int,
    listed: SwitchListing | None,
    now_ns: int,
) -> str | None:
    """Why this set-up must not leave now; None if it may."""
    if listed is None or listed.state is not interface.SwitchState.IN_SERVICE:
        return "the switch drains or is gone"  # rule 3
    if not listed.same_process(decided):
        return "the switch has started anew since the decision"  # rule 4
    cold = listed.started_ns is not None and now_ns < listed.started_ns + settings.ramp_ns
    if cold and now_ns - decided_ns > COLD_DELAY_NS:
        return "the set-up to a cold switch was held up"  # rule 4
    if now_ns < ready_ns:
        return "the attempt before it may still hold circuits"  # rule 5
    if now_ns >= expires_ns:
        return "the caller waits no longer"  # rule 1
    if attempts > settings.max_attempts:
        return "too many attempts"
    if listed.exchange_number == settings.own_exchange:
        return "a set-up to the own exchange"
    if offer.in_transit and listed.exchange_number != offer.destination:
        return "a call in transit past its destination"
    return None
