"""HTML report of a forecast: service against load, blocking of the trunk groups, and the effect of losses.

The page embeds its charts, so that it needs no other file. Charts show shares in percent.
"""

import base64
import html
import io
import os
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import numpy as np
from matplotlib.figure import Figure

from tansyspur.planner import questions
from tansyspur.planner.fleet import Fleet, Load
from tansyspur.planner.forecast import Forecast, forecast

RELATIVE_SCALES = (0.5, 0.7, 0.85, 1.0, 1.15, 1.3, 1.5)  # of the chart of service against load
MAX_LOSSES = 24  # shown in the chart of losses
STYLE = """body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}"""


def _forecasts(cases: Sequence[tuple[Fleet, Load]]) -> list[Forecast]:
    """Computes forecasts in parallel processes; one after the other, those of a report would take a minute."""
    workers = max(1, min(len(cases), os.cpu_count() or 1))
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        return list(pool.map(forecast, [fleet for fleet, _ in cases], [load for _, load in cases]))


def service_chart(fleet: Fleet, load: Load, scale: float) -> Figure:
    """Service against load around a scale, over all calls and by class; load is unscaled."""
    figure, axes = plt.subplots(figsize=(7, 4), constrained_layout=True)
    results = _forecasts([(fleet, load.scaled(scale * relative)) for relative in RELATIVE_SCALES])
    x = [scale * relative for relative in RELATIVE_SCALES]
    axes.fill_between(
        x,
        [100 * result.band[0] for result in results],
        [100 * result.band[1] for result in results],
        alpha=0.2,
    )
    axes.plot(
        x, [100 * result.service for result in results], "o-", label="all, with the 95 % interval of one run"
    )
    for call_class in load.classes:
        axes.plot(
            x,
            [100 * result.service_by_class[call_class.name] for result in results],
            "--",
            label=call_class.name,
        )
    axes.axvline(scale, color="grey", lw=1)
    axes.set(xlabel="load, as a multiple of the load file", ylabel="service, %")
    axes.legend(fontsize=8)
    return figure


def heat_map(fleet: Fleet, result: Forecast) -> Figure:
    """Blocking of each trunk group as a matrix of switches."""
    names = fleet.names
    index = {name: i for i, name in enumerate(names)}
    grid = np.full((len(names), len(names)), np.nan)
    for row in result.groups:
        a, b = row["ends"]
        grid[index[a], index[b]] = grid[index[b], index[a]] = 100 * row["blocking"]
    figure, axes = plt.subplots(figsize=(6.4, 5.4), constrained_layout=True)
    image = axes.imshow(
        grid, cmap="YlOrRd", vmin=0, vmax=max(1.0, np.nanmax(grid) if np.isfinite(grid).any() else 1)
    )
    axes.set_xticks(range(len(names)), names, rotation=60, ha="right", fontsize=8)
    axes.set_yticks(range(len(names)), names, fontsize=8)
    dark = 0.7 * image.get_clim()[1]
    if len(names) <= 16:
        for (i, j), value in np.ndenumerate(grid):
            if np.isfinite(value):
                axes.text(
                    j,
                    i,
                    f"{value:.0f}",
                    ha="center",
                    va="center",
                    fontsize=8,
                    color="white" if value > dark else "black",
                )
    figure.colorbar(image, label="calls that find the group full, %")
    return figure


def losses_chart(fleet: Fleet, load: Load, result: Forecast) -> Figure:
    """Service after the loss of each depot and each switch; result is the forecast of the complete fleet."""
    losses = [
        (f"{unit} {name}", remaining)
        for unit in ("depot", "switch")
        for name, remaining in questions.losses(fleet, unit)
    ]
    losses = [(name, remaining) for name, remaining in losses if len(remaining.switches) > 1][:MAX_LOSSES]
    cases = [(remaining, load) for _, remaining in losses] + [
        (remaining, load.restricted_to(remaining.names)) for _, remaining in losses
    ]
    services = [after.service for after in _forecasts(cases)] if cases else []
    rows = [("no loss", result.service, result.service)]
    rows += [(name, services[i], services[i + len(losses)]) for i, (name, _) in enumerate(losses)]
    figure, axes = plt.subplots(figsize=(7, 1 + 0.32 * len(rows)), constrained_layout=True)
    y = np.arange(len(rows))
    axes.barh(y - 0.2, [100 * row[1] for row in rows], 0.38, label="of all calls")
    axes.barh(y + 0.2, [100 * row[2] for row in rows], 0.38, label="of calls between the remaining switches")
    axes.set_yticks(y, [row[0] for row in rows], fontsize=8)
    axes.invert_yaxis()
    axes.set(xlabel="service, %", xlim=(0, 100))
    figure.legend(fontsize=8, loc="outside upper center", ncols=2)
    return figure


def _image(figure: Figure, caption: str) -> str:
    """HTML of a heading and the figure as an embedded PNG; closes the figure."""
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    text = html.escape(caption)
    return f'<h2>{text}</h2><img alt="{text}" src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def write_report(folder: Path, fleet: Fleet, load: Load, scale: float, result: Forecast) -> Path:
    """Writes FOLDER/forecast.html and returns its path.

    load is unscaled; result is the forecast of the load multiplied by the scale. Raises OSError if the page cannot be
    written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    low, high = result.band
    groups = sorted(result.groups, key=lambda row: -float(row["blocking"]))
    rows = "".join(
        f"<tr><td>{html.escape(' - '.join(row['ends']))}</td><td>{row['circuits']}</td>"
        f"<td>{row['offered_erl']:.1f}</td><td>{100 * row['blocking']:.1f}</td><td>{100 * row['fill']:.0f}</td></tr>"
        for row in groups[:40]
    )
    classes = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{100 * value:.1f}</td></tr>"
        for name, value in result.service_by_class.items()
    )
    notes = "".join(f"<li>{html.escape(note)}</li>" for note in (*load.notes, *result.notes))
    state = "converged" if result.converged else "did not converge"
    body = [
        f"<h1>Forecast: service {100 * result.service:.1f} %</h1>",
        f"<p>{len(fleet.switches)} store switches, {len(fleet.groups)} trunk groups, {scale:g} times the load of the "
        f"file. 95 % of such runs show {100 * low:.1f} to {100 * high:.1f} %. The iteration {state}, residual "
        f"{result.residual:.1e}.</p>",
        f"<ul>{notes}</ul>" if notes else "",
        f"<table><tr><th>class</th><th>service, %</th></tr>{classes}</table>",
        _image(service_chart(fleet, load, scale), "Service against load"),
        _image(heat_map(fleet, result), "Trunk groups: calls that find the group full, %"),
        _image(losses_chart(fleet, load.scaled(scale), result), "Service after a loss"),
        "<h2>Trunk groups</h2><table><tr><th>group</th><th>circuits</th><th>offered, erlang</th><th>full, %</th>"
        f"<th>busy, %</th></tr>{rows}</table>",
    ]
    path = folder / "forecast.html"
    path.write_text(
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Forecast</title><style>{STYLE}</style>'
        + "".join(body)
        + "</html>\n"
    )
    return path
