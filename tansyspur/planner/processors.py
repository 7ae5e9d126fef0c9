"""Queueing model of the processors of store switches, which alternate between phases with and without other work.

Arrays hold one row per processor. Times are in seconds, work in units of one set-up.
"""

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Array = NDArray[np.float64]
BISECTION_STEPS = 9  # halvings of the interval that contains a wait, before the last step along the chord
# Gatekeepers hold calls back while a queue is long, so that calls arrive more evenly than a Poisson process and the
# queue does not grow without bound as utilization approaches 1: its formula is capped at MAX_QUEUE_UTILIZATION. Above
# SATURATION_UTILIZATION only holding back can restore the balance; it exceeds 1 slightly because phases end before
# the queue is at its longest.
MAX_QUEUE_UTILIZATION, SATURATION_UTILIZATION, SATURATION_SLOPE_S = 0.7, 1.03, 10.0
# An exponential phase in three equally likely parts: the median of the time since its start in each, in units of the
# mean length of the phase
PHASE_LEVELS = tuple(-np.log(1 - q) for q in (1 / 6, 1 / 2, 5 / 6))


@dataclass(slots=True)
class ProcessorState:
    """By processor (row) and phase (column): without other work, then with it at each of PHASE_LEVELS."""

    time_share: Array  # share of the time in the phase
    speed: Array  # share of the processor that is left for calls
    wait_s: Array  # mean wait in the queue
    rejected: Array  # share of the set-ups that are rejected because the queue is too long

    @property
    def mean_wait_s(self) -> Array:
        """Mean wait of each processor over its phases."""
        return (self.time_share * self.wait_s).sum(1)


def phases(share: Array, on_s: Array, off_s: Array) -> tuple[Array, Array]:
    """Time share and speed of the phases (without, with other work).

    share: of the processor, taken by other work. on_s, off_s: mean length of the phases with and without it.
    """
    on = np.where(share > 0, on_s / np.maximum(on_s + off_s, 1e-9), 0.0)
    return np.stack([1 - on, on], axis=1), np.stack([np.ones_like(share), 1 - share], axis=1)


def equilibrium(
    power: Array, limit_s: Array, squares: Array, work: Callable[[Array], Array]
) -> tuple[Array, Array]:
    """Waits that are consistent with the work offered at those waits, and the share that the queue limit rejects.

    power: work per second that each processor can do. squares: sum of rate times squared work. work: offered work per
    second as a decreasing function of the waits, since gatekeepers hold calls back from processors that answer late.
    The wait of an M/G/1 queue (Pollaczek-Khinchine), squares / power^2 / 2 (1 - utilization), decreases with the
    offered work, so that the root is unique and bisection finds it. Where the work exceeds the capacity even though
    calls are held back, the queue fills to its limit.
    """

    def excess(wait: Array) -> Array:
        utilization = work(wait) / power
        queue = squares / power**2 / (2 * (1 - np.minimum(utilization, MAX_QUEUE_UTILIZATION)))
        return queue + SATURATION_SLOPE_S * np.maximum(utilization - SATURATION_UTILIZATION, 0.0) - wait

    low, high = np.zeros_like(power), np.broadcast_to(limit_s, power.shape).copy()
    saturated = excess(high) > 0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        above = excess(middle) > 0
        low, high = np.where(above, middle, low), np.where(above, high, middle)
    # Interpolating along the chord makes the root change smoothly with the loads; a midpoint would jump.
    at_low, at_high = excess(low), excess(high)
    chord = low + (high - low) * at_low / np.maximum(at_low - at_high, 1e-12)
    wait = np.where(saturated, limit_s, np.clip(chord, low, high))
    offered = np.maximum(work(wait), 1e-12)
    rejected = np.where(saturated, np.clip(1 - power / offered, 0.0, 1.0), 0.0)
    return wait, rejected


def transient_waits(wait_s: Array, utilization: Array, on_s: Array, off_s: Array) -> Array:
    """Waits in the phase without other work, and at each of PHASE_LEVELS in the phase with it.

    Phases are too short to reach equilibrium. In an overloaded one, whose length is exponential with mean on_s, the
    queue grows at the rate utilization - 1 until it reaches its equilibrium; the backlog is worked off in the next
    phase. wait_s (equilibrium), utilization (with no call held back): by processor and phase (without, with).
    """
    growth = np.maximum(utilization[:, 1] - 1, 0.0) * on_s
    on = [
        np.where(growth > 0, np.minimum(wait_s[:, 1], growth * level), wait_s[:, 1]) for level in PHASE_LEVELS
    ]
    backlog = sum(np.where(growth > 0, wait, 0.0) for wait in on) / len(PHASE_LEVELS)
    off = wait_s[:, 0] + backlog**2 / (2 * np.maximum(1 - utilization[:, 0], 0.05) * np.maximum(off_s, 1e-9))
    return np.stack([np.minimum(off, np.maximum(wait_s[:, 0], backlog)), *on], axis=1)


def repeat_for_levels(phased: Array) -> Array:
    """Expands the two phases (without, with other work) to columns, the second repeated for each of PHASE_LEVELS."""
    return np.concatenate([phased[:, :1], *[phased[:, 1:]] * len(PHASE_LEVELS)], axis=1)
