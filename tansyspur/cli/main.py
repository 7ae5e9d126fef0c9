"""Entry point of the operators' tools: the top-level command, common options, and the errors with their exit codes.

Each sub-command is in a module of its own, which is imported only when the sub-command is called.
"""

import importlib
import sys
from typing import Any

import click

COMMAND_MODULES = {
    "plan": "tansyspur.cli.plan",
    "records": "tansyspur.cli.records",
    "rig": "tansyspur.cli.rig",
    "demo": "tansyspur.cli.rig",
}


class LazyGroup(click.Group):
    """Imports a sub-command on first use, so that a call does not load the libraries of the other sub-commands."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        module = COMMAND_MODULES.get(cmd_name)
        return getattr(importlib.import_module(module), cmd_name) if module else None


@click.group(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
@click.option("--log-format", type=click.Choice(["console", "json", "rfc5424"]), default="console")
@click.option("-v", "--verbose", is_flag=True, help="Also log debug messages.")
@click.version_option(package_name="tansyspur")
def cli(log_format: str, verbose: bool) -> None:
    """The gatekeeper's tools. Without a sub-command, `tansyspur` runs the gatekeeper itself.

    Exit codes: 0 success, 1 the command failed, 2 invalid input.
    """
    from tansyspur.cli import logs

    logs.configure(log_format, verbose)


def main(arguments: list[str]) -> int:
    """Runs the command line and returns the exit code. Errors are printed to standard error."""
    try:
        return cli.main(arguments, prog_name="tansyspur", standalone_mode=False) or 0
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.Abort:
        print("tansyspur: interrupted", file=sys.stderr)
        return 1
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except BrokenPipeError:  # the reader of a pipe closed it early, as `head` does
        sys.stderr.close()
        return 1


FORMAT = click.option(
    "--format",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    help="Output for people (table) or for programs (json).",
)


class InputError(click.ClickException):
    """Invalid input; the text names the option, file, key or line. Ends the program with exit code 2."""

    exit_code = 2


class CommandFailed(click.ClickException):
    """The command failed with valid input. Ends the program with exit code 1."""

    exit_code = 1


def print_json(answer: Any) -> None:
    import msgspec

    click.echo(msgspec.json.encode(answer, enc_hook=float))  # the hook converts numpy scalars
