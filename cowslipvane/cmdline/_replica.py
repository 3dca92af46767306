"""Commands on the group of replicas."""

from __future__ import annotations

from pathlib import Path

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import read_settings, settings_option


@click.group()
def replica() -> None:
    """Create and change the group of replicas."""


@replica.command()
@settings_option
@click.option("--group", required=True, help="A name for the group, the same on each host.")
@click.option("--voter", "voters", multiple=True, required=True, help="HOST=IP:PORT of a member.")
def create(path: Path, group: str, voters: tuple[str, ...]) -> None:
    """Make the data folder part of a new group; do this once on each member's host."""
    try:
        commands.create_replica(read_settings(path), group, voters)
    except commands.CommandFailed as error:
        raise click.ClickException(str(error)) from error
