"""`tansyspur records`: checks and prints typed records and their schemas."""

import click

from tansyspur.cli.main import InputError, print_json


def read_record(path: str, schema: str | None):
    """The record in a file as plain data. Raises InputError with all its problems."""
    from tansyspur import records as typed_records

    try:
        return typed_records.load(path, schema)
    except (typed_records.RecordError, ValueError) as error:
        raise InputError(str(error)) from None


def read_fleet_and_load(fleet_path: str, load_path: str):
    """The Fleet and the Load in two files, checked against each other. Raises InputError with all problems."""
    from tansyspur.planner.fleet import PlanError, fleet_from_record, load_from_record

    fleet_record, load_record = read_record(fleet_path, "fleet"), read_record(load_path, "load")
    path = fleet_path
    try:
        fleet = fleet_from_record(fleet_record)
        path = load_path
        return fleet, load_from_record(load_record, fleet)
    except PlanError as error:
        raise InputError("\n".join(f"{path}: {problem}" for problem in error.problems)) from None


@click.group()
def records() -> None:
    """Typed records, the files that staff write, and the schemas of the package that they are checked against.

    Example: tansyspur records check fleet.cue --schema fleet
    """


@records.command()
@click.argument("file")
@click.option("--schema", required=True, help="Name of a schema: fleet, load, ...")
def check(file: str, schema: str) -> None:
    """Report every problem of FILE, each with line, column and path.

    Example: tansyspur records check examples/core-stores/fleet.cue --schema fleet
    """
    record = read_record(file, schema)
    if schema in ("fleet", "load"):
        from tansyspur.planner import fleet as fleet_module

        try:
            getattr(fleet_module, f"{schema}_from_record")(record)
        except fleet_module.PlanError as error:
            raise InputError("\n".join(f"{file}: {problem}" for problem in error.problems)) from None
    click.echo(f"{file}: valid against the schema {schema}")


@records.command()
@click.argument("file")
@click.option(
    "--schema", help="Name of a schema to check FILE against and to take defaults from; none if left out."
)
def show(file: str, schema: str | None) -> None:
    """Print FILE as JSON, with defaults filled in, times in seconds and loads in erlang.

    Example: tansyspur records show examples/core-stores/load.cue --schema load
    """
    print_json(read_record(file, schema))


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
        raise InputError(str(error)) from None
