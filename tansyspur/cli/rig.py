"""`tansyspur rig` and `tansyspur demo`: a fleet on loopback."""

import asyncio
import json
import signal
import sys
from pathlib import Path

import click

from tansyspur.cli.main import FORMAT, Cannot, Unusable, as_json
from tansyspur.cli.records import read_plan

DEMO_SECONDS = 20.0


def play(fleet, load, scale, seconds, seed, folder):
    """One run, ended cleanly by Ctrl-C; what it measured, as far as it came."""
    from tansyspur.rig.fleetrun import FleetRun

    line = sys.stderr.isatty()

    def tell(text: str) -> None:
        print(f"\r{text:78}" if line else text, end="" if line else "\n", file=sys.stderr, flush=True)

    async def run():
        one = FleetRun(fleet, load, scale, seed, seconds, folder, tell)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, one.stop.set)
        return await one.run()

    try:
        result = asyncio.run(run())
    except (OSError, RuntimeError) as error:
        raise Cannot(str(error)) from None
    if line:
        print(file=sys.stderr)
    return result


@click.group()
def rig() -> None:
    """Real gatekeepers among stand-in store switches on loopback.

    Example: tansyspur rig run examples/core-stores/fleet.cue examples/core-stores/load.cue --seconds 30
    """


@rig.command()
@click.argument("fleet")
@click.argument("load")
@click.option("--scale", type=click.FloatRange(0.01, 100), default=1.0, help="How much of the load.")
@click.option("--seconds", type=click.FloatRange(1, 3600), help="Of the load's span; the whole if left out.")
@click.option("--seed", type=int, default=1, help="The same seed draws the same calls.")
@click.option(
    "--out", type=click.Path(file_okay=False), default="rig-run", help="Folder for what it measures."
)
@FORMAT
def run(fleet: str, load: str, scale: float, seconds: float | None, seed: int, out: str, form: str) -> None:
    """Play LOAD on FLEET; Ctrl-C ends it early, and keeps what it measured.

    Writes OUT/run.msgpack (every call), OUT/summary.json, and the gatekeepers' logs and call records.

    Example: tansyspur rig run examples/core-stores/fleet.cue examples/core-stores/load.cue --scale 1.1 --seed 7
    """
    from tansyspur.rig import results

    known_fleet, known_load = read_plan(fleet, load)
    folder = Path(out)
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise Unusable(f"--out: {error}") from None
    result = play(known_fleet, known_load, scale, seconds, seed, folder)
    told = results.summary(result, known_load)
    (folder / "run.msgpack").write_bytes(results.encode(result))
    (folder / "summary.json").write_text(json.dumps(told, indent=1) + "\n")
    if form == "json":
        as_json(told)
    else:
        click.echo(in_words(told))
    if result.violations:
        raise Cannot(f"{len(result.violations)} rules were broken; the first: {result.violations[0]}")


@rig.command()
@click.argument("file")
def show(file: str) -> None:
    """What a kept run (run.msgpack) measured, group by group.

    Example: tansyspur rig show rig-run/run.msgpack
    """
    from tansyspur.rig import results

    try:
        result = results.decode(Path(file).read_bytes())
    except (OSError, ValueError) as error:
        raise Unusable(f"{file}: {error}") from None
    click.echo(f"{'group':28} {'circuits':>8} {'carried':>8} {'seizures':>8} {'full':>6}")
    for one in sorted(result.groups, key=lambda one: -one.full):
        ends = " - ".join(one.ends)
        click.echo(f"{ends:28} {one.circuits:8} {one.carried_erl:8.1f} {one.seizures:8} {one.full:6}")


def in_words(told: dict) -> str:
    delays = told["setup_delay_ms"]
    lines = [
        f"{told['calls']} calls in {told['seconds']:g} s" + (", interrupted" if told["interrupted"] else ""),
        f"service {100 * told['service']:.1f} of 100: worth that stood in time, of the worth offered",
        *(f"  {name:24} {100 * value:6.1f}" for name, value in told["service_by_class"].items()),
        f"{100 * told['stood']:.1f}% stood, {100 * told['tandem']:.1f}% of them over a tandem, "
        f"{100 * told['cut']:.1f}% were cut",
        f"{told['tries_per_call']:.2f} tries and {told['attempts_per_call']:.2f} attempts a call; "
        f"{told['turned_away']} set-ups turned away by processors",
        f"time to stand: half within {delays['p50']:g} ms, 99 of 100 within {delays['p99']:g} ms",
        f"gatekeepers used {told['gatekeeper_cpu_s']:g} s of processor time; rules broken: {len(told['violations'])}",
    ]
    if told["late_ms"] > 50:
        lines.append(
            f"the rig itself ran {told['late_ms']:g} ms late: the machine was too busy to measure by"
        )
    return "\n".join(lines)


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 600), default=DEMO_SECONDS)
def demo(seconds: float) -> None:
    """Start three store switches with their gatekeepers, place calls, and say what happened.

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
    kinds = (
        CallClass("box-lookup", 3.0, 1.5, 9.0, 1.0, 0.25),
        CallClass("rig-depth-fix", 1.5, 1.0, 6.0, 8.0, 0.25),
    )
    streams = tuple(
        Stream(a, b, kind.name, (rate,))
        for a in names
        for b in names
        if a != b
        for kind, rate in zip(kinds, (1.6, 0.1), strict=True)
    )
    load = Load((seconds,), kinds, streams)
    click.echo(
        f"three store switches, their gatekeepers, and {load.total_calls / seconds:.0f} calls a second",
        err=True,
    )
    with tempfile.TemporaryDirectory(prefix="tansyspur-demo-") as folder:
        result = play(fleet, load, 1.0, seconds, 7, Path(folder))
    told = results.summary(result, load)
    click.echo(in_words(told))
    for one in result.groups:
        click.echo(
            f"  {one.ends[0]:10} - {one.ends[1]:10} {one.circuits:3} circuits, {one.carried_erl:4.1f} busy on average, "
            f"{one.full} of {one.seizures} seizures found none free"
        )
    if result.violations:
        raise Cannot(f"rules were broken: {result.violations[0]}")
