"""`tansyspur plan`: forecasts, sizing and comparison of fleets, with the planner."""

import json
import os
from pathlib import Path

import click

from tansyspur.cli.main import FORMAT, CommandFailed, InputError, print_json
from tansyspur.cli.records import read_fleet_and_load

SCALE = click.option("--scale", type=click.FloatRange(0.001, 100), default=1.0, help="Factor for the load.")
GOAL = click.option("--goal", type=click.FloatRange(0, 1), default=0.95, help="The service to reach, 0 to 1.")


@click.group()
def plan() -> None:
    """Forecast how a fleet of store switches performs under a load.

    Example: tansyspur plan forecast examples/core-stores/fleet.cue examples/core-stores/load.cue
    """
    # The matrices are small: threads of the linear algebra library would only wait for each other.
    os.environ.setdefault("OMP_NUM_THREADS", "1")
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")


@plan.command()
@click.option("--offered", type=float, required=True, help="The offered load, in erlang.")
@click.option("--circuits", type=int, help="Size of the trunk group.")
@click.option("--blocking", type=float, help="Largest share of calls that may be blocked.")
@FORMAT
def erlang(offered: float, circuits: int | None, blocking: float | None, form: str) -> None:
    """Erlang B: the blocking of a trunk group, or the fewest circuits for a given blocking.

    Example: tansyspur plan erlang --offered 20 --circuits 30
    """
    from tansyspur.planner import erlang as formulas

    if (circuits is None) is (blocking is None):
        raise InputError("give either --circuits or --blocking")
    try:
        if circuits is not None:
            answer = {"blocking": formulas.blocking(offered, circuits)}
        else:
            answer = {"circuits": formulas.circuits_for(offered, blocking or 0.0)}
    except ValueError as error:
        raise InputError(f"--{error}") from None
    if form == "json":
        print_json(answer)
    else:
        (name, value), *_ = answer.items()
        click.echo(f"{name}: {value:.6g}")


def forecast_to_dict(result) -> dict:
    """The JSON form of a forecast."""
    return {
        "service": result.service,
        "band": list(result.band),
        "service_by_class": result.service_by_class,
        "worst_class": result.worst_class,
        "service_by_depot": result.service_by_depot,
        "service_by_pair": [
            {"from": a, "to": b, "service": service} for (a, b), service in result.service_by_pair.items()
        ],
        "groups": result.groups,
        "switches": result.switches,
        "tandem": result.tandem_share,
        "late": result.late_share,
        "residual": result.residual,
        "converged": result.converged,
        "fixed_points": result.fixed_points,
        "moments": [
            {
                "at_s": moment.at_s,
                "service": moment.earned / moment.offered if moment.offered else 1.0,
                "busy": moment.busy_share,
            }
            for moment in result.moments
        ],
        "notes": result.notes,
    }


def format_forecast(result, max_groups: int = 6) -> str:
    """A forecast as text, with the groups of the highest blocking."""
    low, high = result.band
    lines = [
        f"service {100 * result.service:.1f}%; 95% of such runs measure {100 * low:.1f}% to {100 * high:.1f}%",
        *(f"  {name:24} {100 * value:6.1f}" for name, value in result.service_by_class.items()),
        "by depot: "
        + ", ".join(f"{name} {100 * service:.1f}" for name, service in result.service_by_depot.items()),
        f"{100 * result.tandem_share:.1f}% of the calls answered in time use a tandem, "
        f"{100 * result.late_share:.1f}% are answered late",
        f"{'group':30} {'circuits':>8} {'offered':>9} {'full':>6}",
    ]
    for row in sorted(result.groups, key=lambda row: -row["blocking"])[:max_groups]:
        ends = " - ".join(row["ends"])
        offered, blocked = f"{row['offered_erl']:.1f} erl", f"{100 * row['blocking']:.1f}%"
        lines.append(f"{ends:30} {row['circuits']:8} {offered:>9} {blocked:>6}")
    state = "converged" if result.converged else "did NOT converge"
    lines.append(f"the fixed-point iteration {state}, residual {result.residual:.1e}")
    return "\n".join([*lines, *result.notes])


@plan.command()
@click.argument("fleet")
@click.argument("load")
@SCALE
@click.option("--without-depot", multiple=True, help="Leave out this depot; may be given several times.")
@click.option("--without-switch", multiple=True, help="Leave out this switch; may be given several times.")
@click.option("--report", type=click.Path(file_okay=False), help="Folder for an HTML report with charts.")
@FORMAT
def forecast(fleet, load, scale, without_depot, without_switch, report, form) -> None:
    """Forecast the service, by class, depot, pair and group.

    Example: tansyspur plan forecast examples/core-stores/fleet.cue examples/core-stores/load.cue --scale 1.1
    """
    from tansyspur.planner.fleet import PlanError
    from tansyspur.planner.forecast import forecast as compute_forecast

    fleet_model, load_model = read_fleet_and_load(fleet, load)
    try:
        fleet_model = fleet_model.without(without_depot, without_switch)
    except PlanError as error:
        raise InputError(str(error)) from None
    result = compute_forecast(fleet_model, load_model.scaled(scale))
    if report:
        from tansyspur.report import page

        try:
            path = page.write_report(Path(report), fleet_model, load_model, scale, result)
        except OSError as error:
            raise InputError(f"--report: {error}") from None
        click.echo(f"report: {path}", err=True)
    print_json(forecast_to_dict(result)) if form == "json" else click.echo(format_forecast(result))


@plan.command()
@click.argument("fleet")
@click.argument("load")
@GOAL
@FORMAT
def breaks(fleet, load, goal, form) -> None:
    """Raise the load until the goal is missed; show that load and the four worst bottlenecks.

    Example: tansyspur plan breaks examples/core-stores/fleet.cue examples/core-stores/load.cue --goal 0.95
    """
    from tansyspur.planner import questions

    fleet_model, load_model = read_fleet_and_load(fleet, load)
    result = questions.breaks(fleet_model, load_model, goal)
    if form == "json":
        return print_json(
            {
                "scale": result.scale if result else None,
                "service": result.service if result else None,
                "first": [
                    {"kind": bottleneck.resource, "name": bottleneck.name, "strain": bottleneck.refused_share}
                    for bottleneck in result.first
                ]
                if result
                else [],
            }
        )
    if result is None:
        return click.echo(f"the goal is met up to {questions.MAX_SCALE:g} times the load")
    click.echo(
        f"at {result.scale:.2f} times the load, service {100 * result.service:.1f}% is below {100 * goal:g}%"
    )
    for bottleneck in result.first:
        click.echo(
            f"  {bottleneck.resource:10} {bottleneck.name:30} refuses or holds back "
            f"{100 * bottleneck.refused_share:.1f}%"
        )


@plan.command()
@click.argument("fleet")
@click.argument("load")
@click.argument("depot")
@SCALE
@FORMAT
def lose(fleet, load, depot, scale, form) -> None:
    """Forecast the effect of losing DEPOT, on all calls and on those between the other depots.

    Example: tansyspur plan lose examples/core-stores/fleet.cue examples/core-stores/load.cue agadir
    """
    from tansyspur.planner.fleet import PlanError
    from tansyspur.planner.forecast import forecast as compute_forecast

    fleet_model, load_model = read_fleet_and_load(fleet, load)
    load_model = load_model.scaled(scale)
    try:
        rest = fleet_model.without(depots=[depot])
    except PlanError as error:
        raise InputError(str(error)) from None
    before, after = compute_forecast(fleet_model, load_model), compute_forecast(rest, load_model)
    others = compute_forecast(rest, load_model.restricted_to(rest.names))
    answer = {
        "service_before": before.service,
        "service_after": after.service,
        "service_of_the_rest": others.service,
    }
    if form == "json":
        return print_json(answer)
    click.echo(f"service {100 * before.service:.1f}% with {depot}, {100 * after.service:.1f}% without it;")
    click.echo(f"for the calls between the other depots, {100 * others.service:.1f}%")


@plan.command()
@click.argument("fleet")
@click.argument("load")
@GOAL
@SCALE
@click.option(
    "--lose",
    type=click.Choice(["switch", "depot"]),
    help="Meet the goal also with any one switch, or depot, lost.",
)
@click.option("--most", type=click.IntRange(2, 64), default=16, help="Largest number of switches to try.")
@FORMAT
def size(fleet, load, goal, scale, lose, most, form) -> None:
    """Find the fewest switches, and the circuits of each group, that meet the goal.

    Example: tansyspur plan size examples/core-stores/fleet.cue examples/core-stores/load.cue --goal 0.98 --lose switch
    """
    import structlog

    from tansyspur.planner import questions

    fleet_model, load_model = read_fleet_and_load(fleet, load)
    log = structlog.get_logger()
    result = questions.size(
        fleet_model, load_model.scaled(scale), goal, lose or "", most, lambda text: log.debug(text)
    )
    answer = {
        "met": result.met,
        "switches": result.switches,
        "least_switches": result.min_switches,
        "service": result.service,
        "worst_loss": result.worst_loss,
        "why": result.reason,
        "circuits": sum(result.circuits.values()),
        "groups": [{"ends": list(ends), "circuits": circuits} for ends, circuits in result.circuits.items()],
    }
    if form == "json":
        print_json(answer)
    else:
        verdict = "meet the goal" if result.met else "are the best that was found, and do NOT meet the goal"
        click.echo(
            f"{result.switches} switches with {answer['circuits']} circuits {verdict}: "
            f"service {100 * result.service:.1f}%"
        )
        if result.worst_loss:
            click.echo(f"the loss of {result.worst_loss} does the most harm")
        click.echo(
            f"at least {result.min_switches} switches are needed: {result.reason}"
            if result.met
            else result.reason
        )
    if not result.met:
        raise CommandFailed(f"the goal of {100 * goal:g}% cannot be met: {result.reason}")


@plan.command()
@click.argument("a", metavar="FLEET_A")
@click.argument("b", metavar="FLEET_B")
@click.argument("load")
@SCALE
@FORMAT
def compare(a, b, load, scale, form) -> None:
    """Compare the service of two fleets under one load.

    Example: tansyspur plan compare fleet.cue fleet-even.cue load.cue
    """
    from tansyspur.planner.forecast import forecast as compute_forecast

    results = {}
    for path in (a, b):
        fleet_model, load_model = read_fleet_and_load(path, load)
        results[path] = compute_forecast(fleet_model, load_model.scaled(scale))
    if form == "json":
        return print_json({path: forecast_to_dict(result) for path, result in results.items()})
    first, second = results.values()
    click.echo(f"{'':26} {Path(a).stem:>14} {Path(b).stem:>14} {'difference':>10}")
    rows = [("service", first.service, second.service)]
    rows += [
        (name, service, second.service_by_class[name]) for name, service in first.service_by_class.items()
    ]
    rows += [
        (name, service, second.service_by_depot[name])
        for name, service in first.service_by_depot.items()
        if name in second.service_by_depot
    ]
    for name, first_service, second_service in rows:
        click.echo(
            f"{name:26} {100 * first_service:14.1f} {100 * second_service:14.1f} "
            f"{100 * (second_service - first_service):+10.1f}"
        )


@plan.command()
@click.argument("logs", nargs=-1, required=True)
@click.option("--like", required=True, help="A load file to take the classes and the redial behaviour from.")
@click.option("--fleet", required=True, help="The fleet file, for the names and the order of its switches.")
@click.option("--window", type=click.FloatRange(1), default=60.0, help="Length of a window, in seconds.")
@click.option("--out", required=True, help="The load file to write.")
def capture(logs, like, fleet, window, out) -> None:
    """Derive a load from the gatekeepers' call detail records (the [records] file of each).

    Redials count with their first try. Missing or malformed records, and samples that are too small, are reported,
    and noted in the file that is written.

    Example: tansyspur plan capture rig-run/calls-*.log --fleet fleet.cue --like load.cue --out measured.json
    """
    from tansyspur.planner import capture as capture_module
    from tansyspur.planner.fleet import record_from_load

    fleet_model, like_load = read_fleet_and_load(fleet, like)
    sources = {}
    for path in logs:
        try:
            sources[path] = Path(path).read_text(errors="replace").splitlines()
        except OSError as error:
            raise InputError(f"{path}: {error.strerror}") from None
    try:
        result = capture_module.capture(sources, fleet_model.names, like_load, window)
    except ValueError as error:
        raise InputError(str(error)) from None
    Path(out).write_text(json.dumps(record_from_load(result.load), indent=1) + "\n")
    click.echo(
        f"{out}: {result.first_tries} calls, {result.redials} redials counted as part of them, {result.windows} windows"
    )
    for note in result.load.notes:
        click.echo(f"  {note}")


@plan.command()
@click.argument("fleet")
@click.argument("load")
@click.option(
    "--scale",
    "scales",
    multiple=True,
    type=float,
    help="Factor for the load; may be given several times; 0.9, 1.1 and 1.2 if left out.",
)
@click.option("--seeds", type=click.IntRange(1, 20), default=1)
@click.option("--seconds", type=click.FloatRange(1, 3600))
@click.option(
    "--jobs", type=click.IntRange(1, 16), default=2, help="Concurrent runs; each takes about one core."
)
@click.option("--out", type=click.Path(file_okay=False), default="plan-verify")
@FORMAT
def verify(fleet, load, scales, seeds, seconds, jobs, out, form) -> None:
    """Compare forecasts with runs of the rig; the difference is in percentage points.

    Example: tansyspur plan verify examples/core-stores/fleet.cue examples/core-stores/load.cue --scale 1.1 --seeds 3
    """
    import subprocess
    import sys
    from concurrent.futures import ThreadPoolExecutor

    from tansyspur.planner.forecast import forecast as compute_forecast
    from tansyspur.planner.forecast import truncate_load

    fleet_model, load_model = read_fleet_and_load(fleet, load)

    def run(job):
        scale, seed = job
        folder = Path(out) / f"{Path(fleet).stem}-{scale:g}-{seed}"
        command = [sys.executable, "-m", "tansyspur", "rig", "run", fleet, load, "--scale", str(scale)]
        command += ["--seed", str(seed), "--out", str(folder), "--format", "json"]
        command += ["--seconds", str(seconds)] if seconds else []
        process = subprocess.run(command, capture_output=True, text=True)
        if process.returncode:
            raise CommandFailed(
                f"the run at scale {scale:g} with seed {seed} failed: {process.stderr.strip().splitlines()[-1:]}"
            )
        return scale, seed, json.loads(process.stdout)

    jobs_to_run = [(scale, seed) for scale in scales or (0.9, 1.1, 1.2) for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(jobs) as pool:
        measured = list(pool.map(run, jobs_to_run))
    forecasts = {
        scale: compute_forecast(fleet_model, truncate_load(load_model, seconds).scaled(scale))
        for scale, _ in jobs_to_run
    }
    rows = [
        {
            "scale": scale, "seed": seed, "forecast": forecasts[scale].service, "measured": summary["service"],
            "difference": 100 * (forecasts[scale].service - summary["service"]), "late_ms": summary["late_ms"],
        }
        for scale, seed, summary in measured
    ]  # fmt: skip
    mean_difference = sum(abs(row["difference"]) for row in rows) / len(rows)
    if form == "json":
        return print_json({"runs": rows, "mean_difference": mean_difference})
    click.echo(f"{'load':>6} {'seed':>5} {'forecast':>9} {'measured':>9} {'points':>7}")
    for row in rows:
        columns = f"{100 * row['forecast']:9.1f} {100 * row['measured']:9.1f}"
        click.echo(f"{row['scale']:6g} {row['seed']:5} {columns} {row['difference']:+7.1f}")
    click.echo(f"mean absolute difference: {mean_difference:.2f} percentage points")
