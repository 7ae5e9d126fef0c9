"""Blocking and waiting in many trunk groups at once, vectorized: arrays hold one entry per group.

Below full occupancy a group is Erlang's birth-death chain, with overflow calls kept out of the last circuits by trunk
reservation (Akinpelu 1984). When it is full, a call that gets no tandem is held by its gatekeeper until it could no
longer be answered in time: an M/M/N queue with constant patience (Baccelli and Hebuterne 1981), whose virtual waiting
time has a closed-form density. Loads are in erlang, rates per second, times in seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Array = NDArray[np.float64]
RESCALE_ABOVE = 1e200  # unnormalized sums are scaled down above this, so that they do not overflow


@dataclass(slots=True)
class GroupState:
    """Probabilities and mean occupancy of each group, as an arriving call sees them."""

    direct_blocking: Array  # no circuit is free for a direct call
    overflow_blocking: Array  # too few circuits are free for a tandem or transit call
    held_loss: Array  # share of the held calls that get no circuit in time, over all classes
    fill: Array  # mean share of the circuits that are busy


def solve_single_width(
    circuits: Array,
    direct: Array,
    overflow: Array,
    reserved: Array,
    held_rate: Array,
    holding_time_s: Array,
    patience_s: Array,
) -> GroupState:
    """State of groups whose calls all take one circuit.

    direct, overflow: offered loads. reserved: circuits that overflow calls must leave free. held_rate: calls per second
    that wait when all circuits are busy. holding_time_s: its mean. patience_s: how long a held call waits; 0 where
    blocked calls are lost at once.
    """
    largest = int(circuits.max(initial=0))
    n_groups = len(circuits)
    p = np.zeros((largest + 1, n_groups))
    p[0] = 1.0
    barrier = np.maximum(0.0, circuits - reserved)
    total, busy_sum, shut = np.ones(n_groups), np.zeros(n_groups), np.where(barrier <= 0, 1.0, 0.0)
    shut = np.where(circuits <= 0, 0.0, shut)
    last = np.zeros(n_groups)  # birth rate out of the last state below full occupancy, in calls per second
    state = np.ones(n_groups)
    for n in range(1, largest + 1):
        births = direct + np.where(n - 1 < barrier, overflow, 0.0)
        flow = state * births
        last = np.where(n == circuits, flow / holding_time_s, last)
        inside = n < circuits
        state = np.where(inside, flow / n, state)
        total += np.where(inside, state, 0.0)
        busy_sum += np.where(inside, n * state, 0.0)
        shut += np.where(inside & (n >= barrier), state, 0.0)
        if total.max() > RESCALE_ABOVE:  # only the ratios matter
            scale = np.where(total > 1e100, total, 1.0)
            state, total, busy_sum, shut, last = (
                values / scale for values in (state, total, busy_sum, shut, last)
            )
    empty = circuits <= 0
    size = np.maximum(circuits, 1.0)
    departures = size / holding_time_s  # per second, while all circuits are busy
    within, beyond = _virtual_wait_mass(departures, held_rate, patience_s)
    full = last * (within + beyond)
    lost = beyond / np.maximum(within + beyond, 1e-300)
    total = total + full
    fill = (busy_sum + size * full) / (total * size)
    return GroupState(
        np.where(empty, 1.0, full / total),
        np.where(empty, 1.0, np.minimum(1.0, (shut + full) / total)),
        np.where(empty, 1.0, lost),
        np.where(empty, 1.0, np.clip(fill, 0.0, 1.0)),
    )


def _virtual_wait_mass(departures: Array, held_rate: Array, patience_s: Array) -> tuple[Array, Array]:
    """Integrals of the density of the virtual waiting time, normalized to 1 at 0: up to the patience, and beyond it."""
    drift = np.clip((departures - held_rate) * patience_s, -400.0, 400.0)
    near = np.abs(drift) < 1e-6
    within = patience_s * np.where(near, 1 - drift / 2, -np.expm1(-drift) / np.where(near, 1.0, drift))
    return within, np.exp(-drift) / departures


def held_loss(departures: Array, held_rate: Array, patience_s: Array) -> Array:
    """Share of the calls that arrive at held_rate while all circuits are busy and get none within their patience."""
    within, beyond = _virtual_wait_mass(departures, held_rate, patience_s)
    return beyond / np.maximum(within + beyond, 1e-300)


def solve_multi_width(
    circuits: Array,
    direct: Sequence[Array],
    overflow: Sequence[Array],
    widths: Sequence[int],
    reserved: Array,
) -> tuple[list[Array], list[Array], Array]:
    """State of groups whose calls take several circuits each and do not wait.

    direct, overflow and widths have one entry per class. Returns the blocking of direct calls and of overflow calls
    by class, and the fill. Uses the Kaufman-Roberts recursion; overflow is kept out above its barrier as Roberts (1983)
    treats reservation.
    """
    largest = int(circuits.max(initial=0))
    n_groups = len(circuits)
    q = np.zeros((largest + 1, n_groups))
    q[0] = 1.0
    barrier = circuits - reserved
    for j in range(1, largest + 1):
        term = np.zeros(n_groups)
        for a, o, width in zip(direct, overflow, widths, strict=True):
            if width <= j:
                admitted = a + np.where(j <= barrier, o, 0.0)
                term += admitted * width * q[j - width]
        q[j] = np.where(j <= circuits, term / j, 0.0)
        if q[j].max() > RESCALE_ABOVE:
            q /= np.where(q[j] > 1e100, q[j], 1.0)
    q /= q.sum(axis=0)
    level = np.arange(largest + 1)[:, None]
    empty = circuits <= 0
    blocked = [
        np.where(empty, 1.0, np.where(level > circuits - width, q, 0.0).sum(axis=0)) for width in widths
    ]
    shut = [np.where(empty, 1.0, np.where(level > barrier - width, q, 0.0).sum(axis=0)) for width in widths]
    fill = (level * q).sum(axis=0) / np.maximum(circuits, 1.0)
    return blocked, shut, np.where(empty, 1.0, fill)
