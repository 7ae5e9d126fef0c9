"""Seeded trials of calls that stand, among failing switches and discovery; by hand with more seeds:
`python -m tests.test_standing_trial FIRST LAST SECONDS`; those of under 10 s end by SIGTERM."""

import asyncio
import sys

import pytest

from tests.standing_trial import Trial
from tests.test_program import program

SHUTDOWN_BELOW_S = 10.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@program
async def test_every_end_is_told_in_time_whatever_fails(seed):
    trial = Trial(seed, seconds=20)
    await trial.run()
    assert len(trial.record.calls) > 50
    assert trial.broken() == []


@pytest.mark.parametrize("seed", [101, 102])
@program
async def test_every_end_is_told_before_the_kill_whatever_fails(seed):
    trial = Trial(seed, seconds=6, shutdown=True)
    await trial.run()
    assert len(trial.record.calls) > 15
    assert trial.broken() == []


async def by_hand(first: int, last: int, seconds: float) -> int:
    """A line for each seed; how many were broken."""
    failed = 0
    for seed in range(first, last + 1):
        trial = Trial(seed, seconds, shutdown=seconds < SHUTDOWN_BELOW_S)
        await trial.run()
        broken = trial.broken()
        failed += bool(broken)
        print(
            f"seed {seed}: stood {len(trial.record.calls)}, early {trial.early()}, broken {len(broken)}",
            *broken[:4],
            sep="\n  ",
        )
    return failed


if __name__ == "__main__":
    sys.exit(asyncio.run(by_hand(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))))
