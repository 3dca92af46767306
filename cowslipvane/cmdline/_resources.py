"""Commands on resources."""

from __future__ import annotations

import json
import uuid
from pathlib import Path
from typing import Any

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import (
    EXIT_BAD_INPUT,
    report_bad_input,
    run_command,
    server_option,
)
from cowslipvane.cmdline._output import print_json

resource_file_option = click.option(
    "-f", "--file", "path", required=True, type=click.Path(path_type=Path)
)
from_option = click.option(
    "--from", "version", type=int, default=0, help="Print only changes after this version."
)


@click.command()
@server_option
@resource_file_option
@click.option(
    "--based-on", type=int, help="The version that the change is based on; the newest by default."
)
@click.option(
    "--operation-id",
    default=lambda: uuid.uuid4().hex,
    help="Identifies this change; a random id by default.",
)
@click.option("--dry-run", is_flag=True, help="Validate the change without applying it.")
def apply(
    servers: tuple[str, ...], path: Path, based_on: int | None, operation_id: str, dry_run: bool
) -> None:
    """Apply the resources in a TOML or JSON file."""
    form = _read(path)
    form |= {"operation_id": operation_id, "dry_run": dry_run}
    response = run_command(commands.apply(servers, form, based_on))
    _show_faults(path, response)
    click.echo(json.dumps(response))
    if response["outcome"] not in ("accepted", "valid"):
        raise SystemExit(1)


@click.command()
@server_option
@click.argument("resource", default="")
def get(servers: tuple[str, ...], resource: str) -> None:
    """Print all accepted resources, or the one named KIND/NAME, with their convergence status."""
    print_json(run_command(commands.get(servers, resource)))


@click.command()
@server_option
@resource_file_option
def diff(servers: tuple[str, ...], path: Path) -> None:
    """Print what applying a TOML or JSON file would change; exit with 1 if there are changes."""
    response = run_command(commands.diff(servers, _read(path)))
    _show_faults(path, response)
    if response["outcome"] != "valid":
        raise SystemExit(EXIT_BAD_INPUT)
    for line in commands.diff_lines(response["effects"]):
        click.echo(line)
    raise SystemExit(1 if response["effects"] else 0)


@click.command()
@server_option
@from_option
def history(servers: tuple[str, ...], version: int) -> None:
    """Print a line for each change that was accepted after a version."""
    for change in run_command(commands.history(servers, version)):
        click.echo(json.dumps(change))


@click.command()
@server_option
@from_option
def watch(servers: tuple[str, ...], version: int) -> None:
    """Print a line for each accepted change, and for the progress of the newest."""
    run_command(commands.watch(servers, version, click.echo))


def _read(path: Path) -> dict[str, Any]:
    """Return the resources in a file, or print the error in one line and exit."""
    with report_bad_input():
        return commands.read_resources(path)


def _show_faults(path: Path, response: dict[str, Any]) -> None:
    """Print a line for each fault of a file."""
    for fault in response.get("faults", ()):
        click.echo(f"{path}: {fault['path']}: {fault['message']}", err=True)
