"""The planner's report: service against load, groups as a heat map, what losses would do; no file but the page."""

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

SCALES = (0.5, 0.7, 0.85, 1.0, 1.15, 1.3, 1.5)
MOST_LOSSES = 24
STYLE = """body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}"""


def _forecasts(asked: Sequence[tuple[Fleet, Load]]) -> list[Forecast]:
    """One after the other they would take a minute; each is a process's work."""
    workers = max(1, min(len(asked), os.cpu_count() or 1))
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        return list(pool.map(forecast, [fleet for fleet, _ in asked], [load for _, load in asked]))


def service_chart(fleet: Fleet, load: Load, scale: float) -> Figure:
    figure, axes = plt.subplots(figsize=(7, 4), constrained_layout=True)
    found = _forecasts([(fleet, load.scaled(scale * one)) for one in SCALES])
    x = [scale * one for one in SCALES]
    axes.fill_between(x, [100 * f.band[0] for f in found], [100 * f.band[1] for f in found], alpha=0.2)
    axes.plot(x, [100 * f.service for f in found], "o-", label="all, with the band of one run")
    for kind in load.classes:
        axes.plot(x, [100 * f.service_by_class[kind.name] for f in found], "--", label=kind.name)
    axes.axvline(scale, color="grey", lw=1)
    axes.set(xlabel="load, as a multiple of the file's", ylabel="service, of 100")
    axes.legend(fontsize=8)
    return figure


def heat_map(fleet: Fleet, found: Forecast) -> Figure:
    names = fleet.names
    index = {name: i for i, name in enumerate(names)}
    grid = np.full((len(names), len(names)), np.nan)
    for row in found.groups:
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
    figure.colorbar(image, label="calls that find the group full, of 100")
    return figure


def losses_chart(fleet: Fleet, load: Load, found: Forecast) -> Figure:
    lost = [
        (f"{what} {name}", rest)
        for what in ("depot", "switch")
        for name, rest in questions.losses(fleet, what)
    ]
    lost = [(name, rest) for name, rest in lost if len(rest.switches) > 1][:MOST_LOSSES]
    asked = [(rest, load) for _, rest in lost] + [(rest, load.restricted_to(rest.names)) for _, rest in lost]
    services = [one.service for one in _forecasts(asked)] if asked else []
    rows = [("nothing lost", found.service, found.service)]
    rows += [(name, services[i], services[i + len(lost)]) for i, (name, _) in enumerate(lost)]
    figure, axes = plt.subplots(figsize=(7, 1 + 0.32 * len(rows)), constrained_layout=True)
    y = np.arange(len(rows))
    axes.barh(y - 0.2, [100 * row[1] for row in rows], 0.38, label="of all calls")
    axes.barh(y + 0.2, [100 * row[2] for row in rows], 0.38, label="of calls that need nothing lost")
    axes.set_yticks(y, [row[0] for row in rows], fontsize=8)
    axes.invert_yaxis()
    axes.set(xlabel="service, of 100", xlim=(0, 100))
    figure.legend(fontsize=8, loc="outside upper center", ncols=2)
    return figure


def _image(figure: Figure, caption: str) -> str:
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=110)
    plt.close(figure)
    text = html.escape(caption)
    return f'<h2>{text}</h2><img alt="{text}" src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def write_report(folder: Path, fleet: Fleet, load: Load, scale: float, found: Forecast) -> Path:
    """The page FOLDER/forecast.html; load is unscaled. Raises OSError where it cannot be written."""
    folder.mkdir(parents=True, exist_ok=True)
    low, high = found.band
    groups = sorted(found.groups, key=lambda row: -float(row["blocking"]))
    rows = "".join(
        f"<tr><td>{html.escape(' - '.join(row['ends']))}</td><td>{row['circuits']}</td>"
        f"<td>{row['offered_erl']:.1f}</td><td>{100 * row['blocking']:.1f}</td><td>{100 * row['fill']:.0f}</td></tr>"
        for row in groups[:40]
    )
    classes = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{100 * value:.1f}</td></tr>"
        for name, value in found.service_by_class.items()
    )
    notes = "".join(f"<li>{html.escape(note)}</li>" for note in (*load.notes, *found.notes))
    state = "converged" if found.converged else "did not converge"
    body = [
        f"<h1>Forecast: service {100 * found.service:.1f} of 100</h1>",
        f"<p>{len(fleet.switches)} store switches, {len(fleet.groups)} trunk groups, {scale:g} times the load of the "
        f"file. One such run shows {100 * low:.1f} to {100 * high:.1f} (95 of 100). The iteration {state}, residual "
        f"{found.residual:.1e}.</p>",
        f"<ul>{notes}</ul>" if notes else "",
        f"<table><tr><th>class</th><th>service</th></tr>{classes}</table>",
        _image(service_chart(fleet, load, scale), "Service against load"),
        _image(heat_map(fleet, found), "Trunk groups: calls that find them full, of 100"),
        _image(losses_chart(fleet, load.scaled(scale), found), "What a loss would do"),
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
