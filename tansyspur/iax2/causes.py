"""Causes, both ways: what a CAUSECODE means to the core, and what the core's cause is called."""

from dataclasses import dataclass

from tansyspur.interface import Cause, Outcome


@dataclass(slots=True, frozen=True)
class Row:
    code: int  # CAUSECODE, as in Q.850
    text: str  # CAUSE
    outcome: Outcome  # of an attempt that ends so before its answer
    cause: Cause | None = None


# Only the codes that say 'there was no room' prove that nothing ran; after others some may be held.
TABLE = (
    Row(1, "unallocated number", Outcome.FAULT),
    Row(3, "no route to destination", Outcome.FAULT),
    Row(16, "normal call clearing", Outcome.FAULT),
    Row(17, "user busy", Outcome.FAULT, Cause.NUMBER_BUSY),
    Row(21, "call rejected", Outcome.FAULT),
    Row(27, "destination out of order", Outcome.FAULT),
    Row(29, "facility rejected", Outcome.FAULT),
    Row(31, "normal, unspecified", Outcome.FAULT),
    Row(34, "no circuit available", Outcome.NO_ROOM, Cause.TURNED_BACK),
    Row(38, "network out of order", Outcome.FAULT),
    Row(41, "temporary failure", Outcome.FAULT),
    Row(42, "switching equipment congestion", Outcome.NO_ROOM, Cause.PROCESSOR_FULL),
    Row(44, "requested circuit not available", Outcome.NO_ROOM, Cause.TURNED_BACK),
    Row(100, "invalid information element contents", Outcome.FAULT),
    Row(102, "recovery on timer expiry", Outcome.CUT),
)
ROWS = {row.code: row for row in TABLE}
UNKNOWN = Row(0, "unspecified", Outcome.FAULT)
CLEARED = (0, 16, 31)  # a call that stood and is released with one of these has come to its end


def of_code(code: int) -> Row:
    return ROWS.get(code, UNKNOWN)


def text_for(code: int, wait_ms: int = 0) -> str:
    """For the caller. IAX2 has no element for the time to come back, so the text carries it."""
    text = of_code(code).text
    return f"{text}; retry after {wait_ms} ms" if wait_ms else text


def standing_outcome(code: int) -> Outcome:
    return Outcome.ENDED if code in CLEARED else Outcome.CUT
