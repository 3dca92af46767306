"""Commands on resources."""

from __future__ import annotations

import json
import uuid
from pathlib import Path

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import EXIT_BAD_INPUT, ask, server_option


@click.command()
@server_option
@click.option("-f", "--file", "path", required=True, type=click.Path(path_type=Path))
@click.option("--based-on", type=int, help="The version you saw; the newest by default.")
@click.option("--operation-id", default=lambda: uuid.uuid4().hex, help="Names this change.")
@click.option("--dry-run", is_flag=True, help="Validate only.")
def apply(
    servers: tuple[str, ...], path: Path, based_on: int | None, operation_id: str, dry_run: bool
) -> None:
    """Write the resources in a TOML or JSON file."""
    try:
        form = commands.read_resources(path)
    except commands.CommandFailed as error:
        click.echo(str(error), err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None
    form |= {"operation_id": operation_id, "dry_run": dry_run}
    answer = ask(commands.apply(servers, form, based_on))
    for fault in answer.get("faults", ()):
        click.echo(f"{path}: {fault['path']}: {fault['message']}", err=True)
    click.echo(json.dumps(answer))
    if answer["outcome"] not in ("accepted", "valid"):
        raise SystemExit(1)


@click.command()
@server_option
def get(servers: tuple[str, ...]) -> None:
    """Print the accepted resources and where they are in force."""
    click.echo(json.dumps(ask(commands.get(servers)), indent=2))


@click.command()
@server_option
@click.option("--from", "version", type=int, default=0, help="The version you hold.")
def watch(servers: tuple[str, ...], version: int) -> None:
    """Print a line whenever something is accepted or comes into force."""
    ask(commands.watch(servers, version, click.echo))
