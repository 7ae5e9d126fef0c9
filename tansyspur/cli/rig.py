"""`tansyspur rig` and `tansyspur demo`: run a fleet on loopback and report what was measured."""

import asyncio
import json
import signal
import sys
from pathlib import Path

import click

from tansyspur.cli.main import FORMAT, CommandFailed, InputError, print_json
from tansyspur.cli.records import read_fleet_and_load

DEMO_DURATION_S = 20.0


def run_fleet(fleet, load, scale, seconds, seed, folder):
    """Runs the load on the fleet and returns the RunResult. Progress goes to standard error.

    SIGINT (Ctrl-C) or SIGTERM ends the run early; the result then covers the part that was run. Raises CommandFailed
    if the run cannot be started or fails.
    """
    from tansyspur.rig.fleetrun import FleetRun

    is_terminal = sys.stderr.isatty()

    def show_progress(text: str) -> None:
        print(
            f"\r{text:78}" if is_terminal else text,
            end="" if is_terminal else "\n",
            file=sys.stderr,
            flush=True,
        )

    async def run():
        fleet_run = FleetRun(fleet, load, scale, seed, seconds, folder, show_progress)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, fleet_run.stop_requested.set)
        return await fleet_run.run()

    try:
        result = asyncio.run(run())
    except (OSError, RuntimeError) as error:
        raise CommandFailed(str(error)) from None
    if is_terminal:
        print(file=sys.stderr)
    return result


@click.group()
def rig() -> None:
    """Run real gatekeepers with simulated store switches on loopback.

    Example: tansyspur rig run examples/core-stores/fleet.cue examples/core-stores/load.cue --seconds 30
    """


@rig.command()
@click.argument("fleet")
@click.argument("load")
@click.option("--scale", type=click.FloatRange(0.01, 100), default=1.0, help="Factor for the load.")
@click.option(
    "--seconds", type=click.FloatRange(1, 3600), help="How much of the load to run; all of it if left out."
)
@click.option("--seed", type=int, default=1, help="Random seed; the same seed yields the same calls.")
@click.option("--out", type=click.Path(file_okay=False), default="rig-run", help="Folder for the results.")
@FORMAT
def run(fleet: str, load: str, scale: float, seconds: float | None, seed: int, out: str, form: str) -> None:
    """Run LOAD on FLEET. Ctrl-C ends the run early and keeps its results.

    Writes OUT/run.msgpack (every call), OUT/summary.json, and the gatekeepers' logs and call detail records.

    Example: tansyspur rig run examples/core-stores/fleet.cue examples/core-stores/load.cue --scale 1.1 --seed 7
    """
    from tansyspur.rig import results

    fleet_model, load_model = read_fleet_and_load(fleet, load)
    folder = Path(out)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise InputError(f"--out: {error}") from None
    result = run_fleet(fleet_model, load_model, scale, seconds, seed, folder)
    summary = results.summary(result, load_model)
    (folder / "run.msgpack").write_bytes(results.encode(result))
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
    if form == "json":
        print_json(summary)
    else:
        click.echo(format_summary(summary))
    if result.violations:
        raise CommandFailed(
            f"{len(result.violations)} violations of the rules; the first: {result.violations[0]}"
        )


@rig.command()
@click.argument("file")
def show(file: str) -> None:
    """Show what a run measured, for each trunk group; FILE is its run.msgpack.

    Example: tansyspur rig show rig-run/run.msgpack
    """
    from tansyspur.rig import results

    try:
        result = results.decode(Path(file).read_bytes())
    except (OSError, ValueError) as error:
        raise InputError(f"{file}: {error}") from None
    click.echo(f"{'group':28} {'circuits':>8} {'carried':>8} {'seizures':>8} {'full':>6}")
    for group in sorted(result.groups, key=lambda group: -group.full):
        ends = " - ".join(group.ends)
        click.echo(f"{ends:28} {group.circuits:8} {group.carried_erl:8.1f} {group.seizures:8} {group.full:6}")


def format_summary(summary: dict) -> str:
    """The summary of a run, from results.summary, as text."""
    delays = summary["setup_delay_ms"]
    lines = [
        f"{summary['calls']} calls in {summary['seconds']:g} s"
        + (", interrupted" if summary["interrupted"] else ""),
        f"service {100 * summary['service']:.1f}%: worth of calls answered in time, as a share of the worth offered",
        *(f"  {name:24} {100 * value:6.1f}" for name, value in summary["service_by_class"].items()),
        f"{100 * summary['stood']:.1f}% were answered, {100 * summary['tandem']:.1f}% of them over a tandem, "
        f"{100 * summary['cut']:.1f}% were cut",
        f"{summary['tries_per_call']:.2f} tries and {summary['attempts_per_call']:.2f} attempts per call; "
        f"{summary['turned_away']} set-ups rejected by full processors",
        f"set-up delay: 50% within {delays['p50']:g} ms, 99% within {delays['p99']:g} ms",
        f"gatekeepers used {summary['gatekeeper_cpu_s']:g} s of processor time; "
        f"rules broken: {len(summary['violations'])}",
    ]
    if summary["late_ms"] > 50:
        lines.append(
            f"the rig itself ran {summary['late_ms']:g} ms late: the machine was too busy for a valid measurement"
        )
    return "\n".join(lines)


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=DEMO_DURATION_S)
def demo(seconds: float) -> None:
    """Start three store switches with their gatekeepers, place calls, and print the results.

    Example: tansyspur demo
    """
    import tempfile

    from tansyspur.planner.fleet import CallClass, Fleet, Group, Load, StoreSwitch, Stream
    from tansyspur.rig import results

    names = ["casablanca", "agadir", "oujda"]
    fleet = Fleet(
        tuple(StoreSwitch(name, name, 40.0) for name in names),
        (
            Group(("casablanca", "agadir"), 12),
            Group(("casablanca", "oujda"), 9),
            Group(("agadir", "oujda"), 20),
        ),
    )
    classes = (
        CallClass("box-lookup", 3.0, 1.5, 9.0, 1.0, 0.25),
        CallClass("rig-depth-fix", 1.5, 1.0, 6.0, 8.0, 0.25),
    )
    streams = tuple(
        Stream(origin, destination, call_class.name, (rate,))
        for origin in names
        for destination in names
        if origin != destination
        for call_class, rate in zip(classes, (1.6, 0.1), strict=True)
    )
    load = Load((seconds,), classes, streams)
    click.echo(
        f"three store switches, their gatekeepers, and {load.total_calls / seconds:.0f} calls per second",
        err=True,
    )
    with tempfile.TemporaryDirectory(prefix="tansyspur-demo-") as folder:
        result = run_fleet(fleet, load, 1.0, seconds, 7, Path(folder))
    summary = results.summary(result, load)
    click.echo(format_summary(summary))
    for group in result.groups:
        click.echo(
            f"  {group.ends[0]:10} - {group.ends[1]:10} {group.circuits:3} circuits, "
            f"{group.carried_erl:4.1f} busy on average, "
            f"{group.full} of {group.seizures} seizures found none free"
        )
    if result.violations:
        raise CommandFailed(f"rules were violated; the first: {result.violations[0]}")
