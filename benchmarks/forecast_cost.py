"""Measure the time of a forecast against the size of the fleet.

Prints the seconds that a forecast of ten minutes takes, and the ratio of the forecast span to that time; with OUT.png,
plots the ratio as well.

Usage: OMP_NUM_THREADS=1 python benchmarks/forecast_cost.py [OUT.png]
"""

import random
import sys
import time

from tansyspur.planner.fleet import CallClass, Fleet, Group, Load, StoreSwitch, Stream
from tansyspur.planner.forecast import forecast

CALL_CLASSES = (
    CallClass("box-lookup", 10.75, 1.5, 9.0, 1.0, 0.25),
    CallClass("rig-depth-fix", 5.4, 1.0, 6.0, 8.0, 0.25),
)
SPAN_S = 600.0  # span of the load that is forecast


def fleet_and_load(switch_count: int, seed: int = 1) -> tuple[Fleet, Load]:
    """Return switches in depots of eight, about 90 erlang each, spread unevenly over all groups except 5 %."""
    rng = random.Random(seed)
    switches = tuple(StoreSwitch(f"s{i}", f"d{i // 8}", 38.0) for i in range(switch_count))
    groups, streams = [], []
    for i in range(switch_count):
        for j in range(i + 1, switch_count):
            calls_per_s = 8.3 / (switch_count - 1) * rng.lognormvariate(0, 0.4)
            offered_erl = 2 * calls_per_s * 10.4
            if switch_count > 8 and rng.random() < 0.05:
                continue
            groups.append(Group((f"s{i}", f"s{j}"), max(1, round(offered_erl + 0.5 * offered_erl**0.5))))
            for a, b in ((i, j), (j, i)):
                for call_class, share in zip(CALL_CLASSES, (0.94, 0.06), strict=True):
                    streams.append(Stream(f"s{a}", f"s{b}", call_class.name, (calls_per_s * share,) * 5))
    return Fleet(switches, tuple(groups)), Load((SPAN_S / 5,) * 5, CALL_CLASSES, tuple(streams))


def main(target: str | None) -> None:
    sizes, ratios = [], []
    print(f"{'switches':>9} {'groups':>7} {'seconds':>8} {'ratio':>7} {'service':>8} {'converged':>9}")
    for switch_count in (4, 8, 16, 32, 64):
        fleet, load = fleet_and_load(switch_count)
        started_s = time.perf_counter()
        result = forecast(fleet, load)
        elapsed_s = time.perf_counter() - started_s
        sizes.append(switch_count)
        ratios.append(SPAN_S / elapsed_s)
        print(
            f"{switch_count:9} {len(fleet.groups):7} {elapsed_s:8.2f} {SPAN_S / elapsed_s:7.0f} "
            f"{100 * result.service:8.1f} {result.converged!s:>9}"
        )
    if target:
        import matplotlib

        matplotlib.use("Agg")
        import matplotlib.pyplot as plt

        figure, axes = plt.subplots(figsize=(6, 4), constrained_layout=True)
        axes.loglog(sizes, ratios, "o-")
        axes.axhline(100, color="grey", lw=1, ls="--")
        axes.set_xticks(sizes, [str(switch_count) for switch_count in sizes])
        axes.set(xlabel="store switches", ylabel="forecast span divided by computing time")
        figure.savefig(target, dpi=110)


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else None)
