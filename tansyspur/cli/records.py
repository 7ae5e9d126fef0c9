"""`tansyspur records`: typed records on their own."""

import click

from tansyspur.cli.main import Unusable, as_json


def read(path: str, schema: str | None):
    from tansyspur import records as typed

    try:
        return typed.load(path, schema)
    except (typed.RecordError, ValueError) as error:
        raise Unusable(str(error)) from None


def read_plan(fleet_path: str, load_path: str):
    """A fleet and a load, checked against each other."""
    from tansyspur.planner.fleet import PlanError, fleet_from_record, load_from_record

    fleet_record, load_record = read(fleet_path, "fleet"), read(load_path, "load")
    path = fleet_path
    try:
        fleet = fleet_from_record(fleet_record)
        path = load_path
        return fleet, load_from_record(load_record, fleet)
    except PlanError as error:
        raise Unusable("\n".join(f"{path}: {one}" for one in error.problems)) from None


@click.group()
def records() -> None:
    """Typed records: what staff write, checked against the schemas of the package.

    Example: tansyspur records check fleet.cue --schema fleet
    """


@records.command()
@click.argument("file")
@click.option("--schema", required=True, help="fleet, load, ...")
def check(file: str, schema: str) -> None:
    """Say all that is wrong with FILE, each with line, column and path.

    Example: tansyspur records check examples/core-stores/fleet.cue --schema fleet
    """
    record = read(file, schema)
    if schema in ("fleet", "load"):
        from tansyspur.planner import fleet as plans

        try:
            getattr(plans, f"{schema}_from_record")(record)
        except plans.PlanError as error:
            raise Unusable("\n".join(f"{file}: {one}" for one in error.problems)) from None
    click.echo(f"{file}: as the schema {schema} wants it")


@records.command()
@click.argument("file")
@click.option("--schema", help="Without one, the file alone.")
def show(file: str, schema: str | None) -> None:
    """FILE as JSON, with defaults filled in; times in seconds, loads in erlang.

    Example: tansyspur records show examples/core-stores/load.cue --schema load
    """
    as_json(read(file, schema))


@records.command()
@click.argument("schema")
def schema(schema: str) -> None:
    """Print a schema of the package.

    Example: tansyspur records schema fleet
    """
    from tansyspur.records import evaluate

    try:
        click.echo(evaluate.schema_text(schema), nl=False)
    except ValueError as error:
        raise Unusable(str(error)) from None
