"""Randomized trials of standing calls while switches and discovery fail.

They detect releases that never reach the caller, or arrive too late, because the switch, its connection or the
command channel fails while the call ends. More seeds can be run by hand:
`python -m tests.test_standing_trial FIRST LAST SECONDS`; trials shorter than 10 s end with SIGTERM.
"""

import asyncio
import sys

import pytest

from tests.async_runner import async_test
from tests.standing_trial import Trial

SHUTDOWN_BELOW_S = 10.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@async_test
async def test_each_release_reaches_the_caller_in_time_despite_faults(seed):
    trial = Trial(seed, seconds=20)
    await trial.run()
    assert len(trial.record.calls) > 50
    assert trial.violations() == []


@pytest.mark.parametrize("seed", [101, 102])
@async_test
async def test_each_release_reaches_the_caller_before_the_kill_despite_faults(seed):
    trial = Trial(seed, seconds=6, shutdown=True)
    await trial.run()
    assert len(trial.record.calls) > 15
    assert trial.violations() == []


async def run_seeds(first: int, last: int, seconds: float) -> int:
    """Run the trial with each seed, print one line for each, and return how many seeds failed."""
    failed = 0
    for seed in range(first, last + 1):
        trial = Trial(seed, seconds, shutdown=seconds < SHUTDOWN_BELOW_S)
        await trial.run()
        violations = trial.violations()
        failed += bool(violations)
        print(
            f"seed {seed}: {len(trial.record.calls)} calls answered, {trial.early_releases()} released early, "
            f"{len(violations)} violations",
            *violations[:4],
            sep="\n  ",
        )
    return failed


if __name__ == "__main__":
    sys.exit(asyncio.run(run_seeds(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))))
