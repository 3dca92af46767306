"""The command line: it parses, calls, and prints."""

from __future__ import annotations

import asyncio
import json
import tomllib
import uuid
from pathlib import Path
from typing import Any

import click

from cowslipvane import commands

EXIT_BAD_INPUT = 2

_SERVER = click.option(
    "--server",
    "servers",
    multiple=True,
    required=True,
    envvar="COWSLIPVANE_SERVERS",
    help="IP:PORT of a process's operators' listener; give several to survive failures.",
)


@click.group()
@click.version_option(package_name="cowslipvane")
def main() -> None:
    """Distribute routing configuration to every proxy of a service mesh."""


@main.command()
@click.option("--settings", "path", required=True, type=click.Path(path_type=Path))
def run(path: Path) -> None:
    """Run the process of this host's slot."""
    commands.run(_settings(path))


@main.command()
@click.option("--settings", "path", required=True, type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Check a settings file and print the settings in effect."""
    click.echo(commands.describe(_settings(path)))


@main.group()
def replica() -> None:
    """Create and change the group of replicas."""


@replica.command()
@click.option("--settings", "path", required=True, type=click.Path(path_type=Path))
@click.option("--group", required=True, help="A name for the group, the same on each host.")
@click.option("--voter", "voters", multiple=True, required=True, help="HOST=IP:PORT of a member.")
def create(path: Path, group: str, voters: tuple[str, ...]) -> None:
    """Make the data folder part of a new group; do this once on each member's host."""
    try:
        commands.create_replica(_settings(path), group, voters)
    except commands.CommandFailed as error:
        raise click.ClickException(str(error)) from error


@main.command()
@_SERVER
@click.option("-f", "--file", "path", required=True, type=click.Path(path_type=Path))
@click.option("--based-on", type=int, help="The version you saw; the newest by default.")
@click.option("--operation-id", default=lambda: uuid.uuid4().hex, help="Names this change.")
@click.option("--dry-run", is_flag=True, help="Validate only.")
def apply(
    servers: tuple[str, ...], path: Path, based_on: int | None, operation_id: str, dry_run: bool
) -> None:
    """Write the resources in a TOML or JSON file."""
    form = _read_resources(path)
    form["operation_id"] = operation_id
    form["dry_run"] = dry_run
    answer = _ask(commands.apply(servers, form, based_on))
    for fault in answer.get("faults", ()):
        click.echo(f"{path}: {fault['path']}: {fault['message']}", err=True)
    click.echo(json.dumps(answer))
    if answer["outcome"] not in ("accepted", "valid"):
        raise SystemExit(1)


@main.command()
@_SERVER
def get(servers: tuple[str, ...]) -> None:
    """Print the accepted resources and where they are in force."""
    click.echo(json.dumps(_ask(commands.get(servers)), indent=2))


@main.command()
@_SERVER
@click.option("--from", "version", type=int, default=0, help="The version you hold.")
def watch(servers: tuple[str, ...], version: int) -> None:
    """Print a line whenever something is accepted or comes into force."""
    _ask(commands.watch(servers, version, click.echo))


@main.command()
@_SERVER
@click.argument("request")
def explain(servers: tuple[str, ...], request: str) -> None:
    """Explain what became of a request, by its id."""
    click.echo(_ask(commands.explain(servers, request)))


@main.command()
@_SERVER
def status(servers: tuple[str, ...]) -> None:
    """Print what the leader, or a process that answers, knows."""
    click.echo(json.dumps(_ask(commands.status(servers)), indent=2))


def _ask(coroutine: Any) -> Any:
    """Run a command and turn its failure into one line."""
    try:
        return asyncio.run(coroutine)
    except commands.CommandFailed as error:
        raise click.ClickException(str(error)) from error


def _settings(path: Path) -> Any:
    """Return the settings in a file, or exit with a line for each fault."""
    try:
        return commands.read_settings(path)
    except commands.SettingsFault as error:
        for fault in error.faults:
            click.echo(fault, err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None


def _read_resources(path: Path) -> dict[str, Any]:
    """Return the resources and deletes in a file."""
    try:
        text = path.read_text(encoding="utf-8")
        values = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        click.echo(f"{path}: can't be read: {error}", err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None
    return {"resources": values.get("resource", []), "deletes": values.get("delete", [])}
