"""Exact Markov chain of a mesh of three switches, a reference for the fixed-point approximation in network.py.

Every call takes one circuit. A call that finds its own group full goes over the third switch as tandem if more than
`reserved` circuits are free on both legs, else it is lost. There is no waiting, no processor limit and no redial.
"""

from itertools import product

import numpy as np
from scipy.sparse import csc_matrix
from scipy.sparse.linalg import spsolve

PAIRS = ((0, 1), (0, 2), (1, 2))


def three_switches(
    offered: tuple[float, float, float], circuits: tuple[int, int, int], reserved: int
) -> tuple:
    """Solves the chain: (lost share of each pair, share that finds its own group full, number of states).

    offered: erlang between switches 1-2, 1-3 and 2-3; circuits: sizes of their groups in the same order. A state
    counts the direct calls on each group and each pair's calls over the third switch, which take one circuit on each
    of the two other groups.
    """

    def free_circuits(state: tuple[int, ...]) -> tuple[int, int, int]:
        direct, overflow = state[:3], state[3:]
        total = sum(overflow)
        # The overflow of a pair occupies the two other groups, not its own.
        return tuple(circuits[g] - direct[g] - (total - overflow[g]) for g in range(3))  # type: ignore[return-value]

    largest = max(circuits)
    states = [state for state in product(range(largest + 1), repeat=6) if min(free_circuits(state)) >= 0]
    index = {state: i for i, state in enumerate(states)}
    rows, columns, values = [], [], []
    blocked, lost = np.zeros((3, len(states))), np.zeros((3, len(states)))

    def add_transition(source: int, target_state: tuple[int, ...], rate: float) -> None:
        target = index[target_state]
        rows.extend((target, source))
        columns.extend((source, source))
        values.extend((rate, -rate))

    for i, state in enumerate(states):
        free = free_circuits(state)
        for g in range(3):
            after = list(state)
            if free[g] > 0:
                after[g] += 1
                add_transition(i, tuple(after), offered[g])
            else:
                blocked[g, i] = 1
                others = [free[h] for h in range(3) if h != g]
                if min(others) > reserved:
                    after[3 + g] += 1
                    add_transition(i, tuple(after), offered[g])
                else:
                    lost[g, i] = 1
        for k in range(6):
            if state[k]:
                after = list(state)
                after[k] -= 1
                add_transition(i, tuple(after), float(state[k]))
    count = len(states)
    matrix = csc_matrix((values, (rows, columns)), shape=(count, count)).tolil()
    matrix[-1, :] = 1.0  # normalization replaces one balance equation, which follows from the others
    right_side = np.zeros(count)
    right_side[-1] = 1.0
    probability = spsolve(matrix.tocsc(), right_side)
    return lost @ probability, blocked @ probability, count
