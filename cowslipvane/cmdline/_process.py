"""Commands on one process."""

from __future__ import annotations

import json
from pathlib import Path

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import ask, read_settings, server_option, settings_option


@click.command()
@settings_option
def run(path: Path) -> None:
    """Run the process of this host's slot."""
    commands.run(read_settings(path))


@click.command()
@settings_option
def check(path: Path) -> None:
    """Check a settings file and print the settings in effect."""
    click.echo(commands.describe(read_settings(path)))


@click.command()
@server_option
def status(servers: tuple[str, ...]) -> None:
    """Print what the leader, or a process that answers, knows."""
    click.echo(json.dumps(ask(commands.status(servers)), indent=2))
