"""Loss formulas for one trunk group, by recursions that are numerically stable at any size.

Erlang B and C, Kaufman-Roberts for calls of several widths, and trunk reservation. Loads are in erlang, sizes in
circuits, and probabilities lie between 0 and 1. A load that is negative or not finite raises ValueError.
"""

import math
from collections.abc import Sequence

MAX_CIRCUITS = 10_000_000  # bounds the search in circuits_for; no trunk group is larger


def _check(offered: float, name: str = "offered") -> None:
    if not math.isfinite(offered) or offered < 0:
        raise ValueError(f"{name}: expected a load of 0 erlang or more, not {offered!r}")


def blocking(offered: float, circuits: int) -> float:
    """Erlang B: the share of calls that find all circuits busy.

    E(A, n) = A E(A, n-1) / (n + A E(A, n-1)), E(A, 0) = 1. Computed through the inverse 1/E, whose terms are all
    positive, so that no cancellation occurs (Jagerman 1974, eq. 3).
    """
    _check(offered)
    if circuits < 0 or circuits != int(circuits):
        raise ValueError(f"circuits: expected a whole number from 0, not {circuits!r}")
    if offered == 0:
        return 0.0 if circuits else 1.0
    inverse = 1.0
    for n in range(1, int(circuits) + 1):
        inverse = 1.0 + inverse * n / offered
        if inverse > 1e308:
            return 0.0
    return 1.0 / inverse


def circuits_for(offered: float, max_blocking: float) -> int:
    """The smallest number of circuits whose Erlang B blocking does not exceed max_blocking.

    Raises ValueError for a max_blocking outside (0, 1], and if more than MAX_CIRCUITS are needed.
    """
    _check(offered)
    if not 0 < max_blocking <= 1:
        raise ValueError(f"blocking: expected a share above 0 and up to 1, not {max_blocking!r}")
    if offered == 0:
        return 0 if max_blocking >= 1 else 1
    inverse, n = 1.0, 0
    # The tolerance absorbs rounding, so that a blocking that equals the limit exactly is accepted.
    enough = (1.0 - 1e-12) / max_blocking
    while inverse < enough:
        n += 1
        inverse = 1.0 + inverse * n / offered
        if n > MAX_CIRCUITS:
            raise ValueError(f"offered: a load of {offered:g} erlang needs more than {MAX_CIRCUITS} circuits")
    return n


def waiting(offered: float, circuits: int) -> float:
    """Erlang C: the share of calls that wait in a system where blocked calls are delayed; 1 if offered >= circuits."""
    if offered >= circuits:
        return 1.0
    blocked = blocking(offered, circuits)
    return circuits * blocked / (circuits - offered * (1 - blocked))


def kaufman_roberts(offered: Sequence[float], widths: Sequence[int], circuits: int) -> list[float]:
    """The blocking of each class where a call of class k takes widths[k] circuits.

    j q(j) = sum_k a_k b_k q(j - b_k) (Kaufman 1981, eq. 12; Roberts 1981), where a_k is the offered load of class k in
    simultaneous calls (not circuits) and b_k its width. A class wider than the group is always blocked.
    """
    for load in offered:
        _check(load)
    if any(width < 1 for width in widths):
        raise ValueError(f"widths: expected whole numbers from 1, not {widths!r}")
    q, total = [1.0], 1.0
    for j in range(1, circuits + 1):
        term = sum(a * b * q[j - b] for a, b in zip(offered, widths, strict=True) if b <= j) / j
        q.append(term)
        total += term
        if total > 1e250:  # rescaling prevents overflow; only the ratios matter
            q, total = [value / total for value in q], 1.0
    return [min(1.0, sum(q[max(0, circuits - b + 1) :]) / total) for b in widths]


def with_reservation(direct: float, overflow: float, circuits: int, reserved: int) -> tuple[float, float]:
    """The blocking of (direct, overflow) calls where overflow calls must leave `reserved` circuits free.

    A birth-death chain with births A_d + A_o below state N - r and A_d from there on (Akinpelu 1984, sec. 2).
    """
    _check(direct, "direct")
    _check(overflow, "overflow")
    if circuits <= 0:
        return 1.0, 1.0
    barrier = max(0, circuits - reserved)
    states, total = [1.0], 1.0
    for n in range(1, circuits + 1):
        births = direct + (overflow if n - 1 < barrier else 0.0)
        states.append(states[-1] * births / n)
        total += states[-1]
        if total > 1e250:  # rescaling prevents overflow, as above
            states, total = [value / total for value in states], 1.0
    return states[-1] / total, sum(states[barrier:]) / total
