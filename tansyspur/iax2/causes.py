"""Cause codes of IAX2: the outcome that a received CAUSECODE stands for, and the CAUSE text sent with a code."""

from dataclasses import dataclass

from tansyspur.interface import Cause, Outcome


@dataclass(slots=True, frozen=True)
class CauseCode:
    code: int  # CAUSECODE, a cause value of Q.850
    text: str  # sent as CAUSE
    outcome: Outcome  # of an attempt that ends with this code before it is answered
    cause: Cause | None = None


# Only the codes with NO_ROOM prove that no circuit was taken; after the others some may be held.
CAUSE_CODES = (
    CauseCode(1, "unallocated number", Outcome.FAULT),
    CauseCode(3, "no route to destination", Outcome.FAULT),
    CauseCode(16, "normal call clearing", Outcome.FAULT),
    CauseCode(17, "user busy", Outcome.FAULT, Cause.NUMBER_BUSY),
    CauseCode(21, "call rejected", Outcome.FAULT),
    CauseCode(27, "destination out of order", Outcome.FAULT),
    CauseCode(29, "facility rejected", Outcome.FAULT),
    CauseCode(31, "normal, unspecified", Outcome.FAULT),
    CauseCode(34, "no circuit available", Outcome.NO_ROOM, Cause.TURNED_BACK),
    CauseCode(38, "network out of order", Outcome.FAULT),
    CauseCode(41, "temporary failure", Outcome.FAULT),
    CauseCode(42, "switching equipment congestion", Outcome.NO_ROOM, Cause.PROCESSOR_FULL),
    CauseCode(44, "requested circuit not available", Outcome.NO_ROOM, Cause.TURNED_BACK),
    CauseCode(100, "invalid information element contents", Outcome.FAULT),
    CauseCode(102, "recovery on timer expiry", Outcome.CUT),
)
BY_CODE = {entry.code: entry for entry in CAUSE_CODES}
UNSPECIFIED = CauseCode(0, "unspecified", Outcome.FAULT)
NORMAL_RELEASE_CODES = (0, 16, 31)  # an answered call released with one of these ended normally; 0: no code


def lookup(code: int) -> CauseCode:
    """The entry of the code; UNSPECIFIED if it has none."""
    return BY_CODE.get(code, UNSPECIFIED)


def cause_text(code: int, retry_after_ms: int = 0) -> str:
    """The CAUSE text for a caller. IAX2 has no element for a retry delay, so the text carries it unless it is 0."""
    text = lookup(code).text
    return f"{text}; retry after {retry_after_ms} ms" if retry_after_ms else text


def release_outcome(code: int) -> Outcome:
    """The outcome of an answered call that was released with this code."""
    return Outcome.ENDED if code in NORMAL_RELEASE_CODES else Outcome.CUT
