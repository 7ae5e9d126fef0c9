"""`tansyspur plan`: the questions to the planner."""

import json
import os
from pathlib import Path

import click

from tansyspur.cli.main import FORMAT, Cannot, Unusable, as_json
from tansyspur.cli.records import read_plan

SCALE = click.option("--scale", type=click.FloatRange(0.001, 100), default=1.0, help="How much of the load.")
GOAL = click.option(
    "--goal", type=click.FloatRange(0, 1), default=0.95, help="The service that is wanted, 0 to 1."
)


@click.group()
def plan() -> None:
    """What a fleet of store switches will do under a load.

    Example: tansyspur plan forecast examples/core-stores/fleet.cue examples/core-stores/load.cue
    """
    # Small matrices: threads of the linear algebra would only wait for each other.
    os.environ.setdefault("OMP_NUM_THREADS", "1")
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")


@plan.command()
@click.option("--offered", type=float, required=True, help="The offered load, in erlang.")
@click.option("--circuits", type=int, help="How large the trunk group is.")
@click.option("--blocking", type=float, help="The share of calls that may be lost.")
@FORMAT
def erlang(offered: float, circuits: int | None, blocking: float | None, form: str) -> None:
    """Erlang B: the blocking of a trunk group, or the least circuits for a blocking.

    Example: tansyspur plan erlang --offered 20 --circuits 30
    """
    from tansyspur.planner import erlang as formulas

    if (circuits is None) is (blocking is None):
        raise Unusable("give one of --circuits and --blocking")
    try:
        if circuits is not None:
            found = {"blocking": formulas.blocking(offered, circuits)}
        else:
            found = {"circuits": formulas.circuits_for(offered, blocking or 0.0)}
    except ValueError as error:
        raise Unusable(f"--{error}") from None
    if form == "json":
        as_json(found)
    else:
        (name, value), *_ = found.items()
        click.echo(f"{name}: {value:.6g}")


def as_told(found) -> dict:
    """A forecast as programs read it."""
    return {
        "service": found.service,
        "band": list(found.band),
        "service_by_class": found.service_by_class,
        "worst_class": found.worst_class,
        "service_by_depot": found.service_by_depot,
        "service_by_pair": [
            {"from": a, "to": b, "service": x} for (a, b), x in found.service_by_pair.items()
        ],
        "groups": found.groups,
        "switches": found.switches,
        "tandem": found.tandem_share,
        "late": found.late_share,
        "residual": found.residual,
        "converged": found.converged,
        "fixed_points": found.fixed_points,
        "moments": [
            {"at_s": m.at_s, "service": m.earned / m.offered if m.offered else 1.0, "busy": m.busy_share}
            for m in found.moments
        ],
        "notes": found.notes,
    }


def in_words(found, most: int = 6) -> str:
    low, high = found.band
    lines = [
        f"service {100 * found.service:.1f} of 100; one such run shows {100 * low:.1f} to {100 * high:.1f}",
        *(f"  {name:24} {100 * value:6.1f}" for name, value in found.service_by_class.items()),
        "by depot: " + ", ".join(f"{name} {100 * x:.1f}" for name, x in found.service_by_depot.items()),
        f"{100 * found.tandem_share:.1f}% of the calls in time stand over a tandem, "
        f"{100 * found.late_share:.1f}% stand late",
        f"{'group':30} {'circuits':>8} {'offered':>9} {'full':>6}",
    ]
    for row in sorted(found.groups, key=lambda row: -row["blocking"])[:most]:
        ends = " - ".join(row["ends"])
        offered, full = f"{row['offered_erl']:.1f} erl", f"{100 * row['blocking']:.1f}%"
        lines.append(f"{ends:30} {row['circuits']:8} {offered:>9} {full:>6}")
    state = "converged" if found.converged else "did NOT converge"
    lines.append(f"the iteration {state}, residual {found.residual:.1e}")
    return "\n".join([*lines, *found.notes])


@plan.command()
@click.argument("fleet")
@click.argument("load")
@SCALE
@click.option("--without-depot", multiple=True, help="As if this depot were lost; may be given again.")
@click.option("--without-switch", multiple=True, help="The same for a switch.")
@click.option("--report", type=click.Path(file_okay=False), help="Folder for one HTML page with charts.")
@FORMAT
def forecast(fleet, load, scale, without_depot, without_switch, report, form) -> None:
    """Service, by class, depot, pair and group.

    Example: tansyspur plan forecast examples/core-stores/fleet.cue examples/core-stores/load.cue --scale 1.1
    """
    from tansyspur.planner.fleet import PlanError
    from tansyspur.planner.forecast import forecast as make

    known, asked = read_plan(fleet, load)
    try:
        known = known.without(without_depot, without_switch)
    except PlanError as error:
        raise Unusable(str(error)) from None
    found = make(known, asked.scaled(scale))
    if report:
        from tansyspur.report import page

        try:
            path = page.write_report(Path(report), known, asked, scale, found)
        except OSError as error:
            raise Unusable(f"--report: {error}") from None
        click.echo(f"report: {path}", err=True)
    as_json(as_told(found)) if form == "json" else click.echo(in_words(found))


@plan.command()
@click.argument("fleet")
@click.argument("load")
@GOAL
@FORMAT
def breaks(fleet, load, goal, form) -> None:
    """Raise the load until the goal is missed; say at what load, and what gives way first, with the next three.

    Example: tansyspur plan breaks examples/core-stores/fleet.cue examples/core-stores/load.cue --goal 0.95
    """
    from tansyspur.planner import questions

    known, asked = read_plan(fleet, load)
    found = questions.breaks(known, asked, goal)
    if form == "json":
        return as_json(
            {
                "scale": found.scale if found else None,
                "service": found.service if found else None,
                "first": [{"kind": x.kind, "name": x.name, "strain": x.refused_share} for x in found.first]
                if found
                else [],
            }
        )
    if found is None:
        return click.echo(f"the goal holds up to {questions.MAX_SCALE:g} times the load")
    click.echo(
        f"at {found.scale:.2f} times the load, service {100 * found.service:.1f} is under {100 * goal:g}"
    )
    for one in found.first:
        click.echo(f"  {one.kind:10} {one.name:30} refuses or holds back {100 * one.refused_share:.1f}%")


@plan.command()
@click.argument("fleet")
@click.argument("load")
@click.argument("depot")
@SCALE
@FORMAT
def lose(fleet, load, depot, scale, form) -> None:
    """What losing DEPOT does, to its own calls and to the others'.

    Example: tansyspur plan lose examples/core-stores/fleet.cue examples/core-stores/load.cue agadir
    """
    from tansyspur.planner.fleet import PlanError
    from tansyspur.planner.forecast import forecast as make

    known, asked = read_plan(fleet, load)
    asked = asked.scaled(scale)
    try:
        rest = known.without(depots=[depot])
    except PlanError as error:
        raise Unusable(str(error)) from None
    before, after = make(known, asked), make(rest, asked)
    others = make(rest, asked.restricted_to(rest.names))
    told = {
        "service_before": before.service,
        "service_after": after.service,
        "service_of_the_rest": others.service,
    }
    if form == "json":
        return as_json(told)
    click.echo(f"service {100 * before.service:.1f} with {depot}, {100 * after.service:.1f} without it;")
    click.echo(f"of the calls between the other depots, {100 * others.service:.1f}")


@plan.command()
@click.argument("fleet")
@click.argument("load")
@GOAL
@SCALE
@click.option("--lose", type=click.Choice(["switch", "depot"]), help="Also with any one of these lost.")
@click.option("--most", type=click.IntRange(2, 64), default=16, help="The most switches to try.")
@FORMAT
def size(fleet, load, goal, scale, lose, most, form) -> None:
    """The fewest switches, and circuits for each group, that meet the goal.

    Example: tansyspur plan size examples/core-stores/fleet.cue examples/core-stores/load.cue --goal 0.98 --lose switch
    """
    import structlog

    from tansyspur.planner import questions

    known, asked = read_plan(fleet, load)
    log = structlog.get_logger()
    found = questions.size(known, asked.scaled(scale), goal, lose or "", most, lambda text: log.debug(text))
    told = {
        "met": found.met,
        "switches": found.switches,
        "least_switches": found.min_switches,
        "service": found.service,
        "worst_loss": found.worst_loss,
        "why": found.reason,
        "circuits": sum(found.circuits.values()),
        "groups": [{"ends": list(ends), "circuits": n} for ends, n in found.circuits.items()],
    }
    if form == "json":
        as_json(told)
    else:
        verdict = "meet the goal" if found.met else "are the best that was found, and do NOT meet the goal"
        click.echo(
            f"{found.switches} switches with {told['circuits']} circuits {verdict}: {100 * found.service:.1f}"
        )
        if found.worst_loss:
            click.echo(f"the worst loss is that of {found.worst_loss}")
        click.echo(f"no fewer than {found.min_switches} can: {found.reason}" if found.met else found.reason)
    if not found.met:
        raise Cannot(f"the goal of {100 * goal:g} is out of reach: {found.reason}")


@plan.command()
@click.argument("a", metavar="FLEET_A")
@click.argument("b", metavar="FLEET_B")
@click.argument("load")
@SCALE
@FORMAT
def compare(a, b, load, scale, form) -> None:
    """Two fleets under one load.

    Example: tansyspur plan compare fleet.cue fleet-even.cue load.cue
    """
    from tansyspur.planner.forecast import forecast as make

    found = {}
    for path in (a, b):
        known, asked = read_plan(path, load)
        found[path] = make(known, asked.scaled(scale))
    if form == "json":
        return as_json({path: as_told(one) for path, one in found.items()})
    first, second = found.values()
    click.echo(f"{'':26} {Path(a).stem:>14} {Path(b).stem:>14} {'difference':>10}")
    rows = [("service", first.service, second.service)]
    rows += [(name, x, second.service_by_class[name]) for name, x in first.service_by_class.items()]
    rows += [
        (name, x, second.service_by_depot[name])
        for name, x in first.service_by_depot.items()
        if name in second.service_by_depot
    ]
    for name, x, y in rows:
        click.echo(f"{name:26} {100 * x:14.1f} {100 * y:14.1f} {100 * (y - x):+10.1f}")


@plan.command()
@click.argument("logs", nargs=-1, required=True)
@click.option("--like", required=True, help="A load file whose classes and redials are taken over.")
@click.option("--fleet", required=True, help="The fleet, for the names of its switches, in its order.")
@click.option("--window", type=click.FloatRange(1), default=60.0, help="Seconds a window.")
@click.option("--out", required=True, help="The load file to write.")
def capture(logs, like, fleet, window, out) -> None:
    """A load from the gatekeepers' call records (the [records] file of each).

    Redials count with their first try. What is missing, spoilt or too little is said, and stands in the file's notes.

    Example: tansyspur plan capture rig-run/calls-*.log --fleet fleet.cue --like load.cue --out measured.json
    """
    from tansyspur.planner import capture as reader
    from tansyspur.planner.fleet import record_from_load

    known, model = read_plan(fleet, like)
    sources = {}
    for path in logs:
        try:
            sources[path] = Path(path).read_text(errors="replace").splitlines()
        except OSError as error:
            raise Unusable(f"{path}: {error.strerror}") from None
    try:
        found = reader.capture(sources, known.names, model, window)
    except ValueError as error:
        raise Unusable(str(error)) from None
    Path(out).write_text(json.dumps(record_from_load(found.load), indent=1) + "\n")
    click.echo(
        f"{out}: {found.first_tries} calls, {found.redials} redials counted with them, {found.windows} windows"
    )
    for note in found.load.notes:
        click.echo(f"  {note}")


@plan.command()
@click.argument("fleet")
@click.argument("load")
@click.option(
    "--scale", "scales", multiple=True, type=float, help="May be given again; 0.9, 1.1, 1.2 if left out."
)
@click.option("--seeds", type=click.IntRange(1, 20), default=1)
@click.option("--seconds", type=click.FloatRange(1, 3600))
@click.option(
    "--jobs", type=click.IntRange(1, 16), default=2, help="Runs side by side; each takes about a core."
)
@click.option("--out", type=click.Path(file_okay=False), default="plan-verify")
@FORMAT
def verify(fleet, load, scales, seeds, seconds, jobs, out, form) -> None:
    """Forecast beside runs of the rig, with the difference in points.

    Example: tansyspur plan verify examples/core-stores/fleet.cue examples/core-stores/load.cue --scale 1.1 --seeds 3
    """
    import subprocess
    import sys
    from concurrent.futures import ThreadPoolExecutor

    from tansyspur.planner.forecast import forecast as make
    from tansyspur.planner.forecast import truncate_load

    known, asked = read_plan(fleet, load)

    def run(job):
        scale, seed = job
        folder = Path(out) / f"{Path(fleet).stem}-{scale:g}-{seed}"
        command = [sys.executable, "-m", "tansyspur", "rig", "run", fleet, load, "--scale", str(scale)]
        command += ["--seed", str(seed), "--out", str(folder), "--format", "json"]
        command += ["--seconds", str(seconds)] if seconds else []
        ended = subprocess.run(command, capture_output=True, text=True)
        if ended.returncode:
            raise Cannot(
                f"the run at {scale:g} with seed {seed} failed: {ended.stderr.strip().splitlines()[-1:]}"
            )
        return scale, seed, json.loads(ended.stdout)

    work = [(scale, seed) for scale in scales or (0.9, 1.1, 1.2) for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(jobs) as pool:
        measured = list(pool.map(run, work))
    forecasts = {scale: make(known, truncate_load(asked, seconds).scaled(scale)) for scale, _ in work}
    rows = [
        {
            "scale": scale, "seed": seed, "forecast": forecasts[scale].service, "measured": told["service"],
            "difference": 100 * (forecasts[scale].service - told["service"]), "late_ms": told["late_ms"],
        }
        for scale, seed, told in measured
    ]  # fmt: skip
    mean = sum(abs(row["difference"]) for row in rows) / len(rows)
    if form == "json":
        return as_json({"runs": rows, "mean_difference": mean})
    click.echo(f"{'load':>6} {'seed':>5} {'forecast':>9} {'measured':>9} {'points':>7}")
    for row in rows:
        both = f"{100 * row['forecast']:9.1f} {100 * row['measured']:9.1f}"
        click.echo(f"{row['scale']:6g} {row['seed']:5} {both} {row['difference']:+7.1f}")
    click.echo(f"mean of the absolute differences: {mean:.2f} points")
