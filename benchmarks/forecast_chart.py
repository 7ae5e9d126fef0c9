"""Plot the forecast service against the service measured by the rig.

Usage: python benchmarks/forecast_chart.py docs/measurements/forecast.json OUT.png
"""

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt


def main(source: str, target: str) -> None:
    rows = json.loads(Path(source).read_text())
    figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4.6), constrained_layout=True)
    names = sorted({row["fleet"] for row in rows})
    colours = dict(zip(names, ("tab:blue", "tab:orange", "tab:green", "tab:red"), strict=False))
    for row in rows:
        marker = "o" if row["set"] == "fitted" else "^"
        left.plot(
            100 * row["measured"], 100 * row["forecast"], marker, color=colours[row["fleet"]], ms=5, alpha=0.8
        )
        right.plot(row["scale"], row["difference"], marker, color=colours[row["fleet"]], ms=5, alpha=0.8)
    ends = [100 * min(row["measured"] for row in rows) - 2, 100]
    left.plot(ends, ends, color="grey", lw=1)
    left.fill_between(
        ends,
        [percent - 3 for percent in ends],
        [percent + 3 for percent in ends],
        color="grey",
        alpha=0.15,
        label="within 3 points",
    )
    left.set(xlabel="measured service, %", ylabel="forecast service, %")
    right.axhspan(-3, 3, color="grey", alpha=0.15)
    right.axhline(0, color="grey", lw=1)
    right.set(
        xlabel="load, as a multiple of the example load", ylabel="forecast minus measured service, points"
    )
    for name, colour in colours.items():
        left.plot([], [], "o", color=colour, label=name)
    left.plot([], [], "o", color="black", label="used to fit the constants")
    left.plot([], [], "^", color="black", label="held out")
    left.legend(fontsize=8)
    figure.savefig(target, dpi=110)


if __name__ == "__main__":
    main(*sys.argv[1:3])
