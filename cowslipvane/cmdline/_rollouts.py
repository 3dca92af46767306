"""Commands on rollouts."""

from __future__ import annotations

import json

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import run_command, server_option
from cowslipvane.cmdline._output import print_json


@click.group()
def rollout() -> None:
    """Move a service's requests to upstreams of another version."""


@rollout.command()
@server_option
@click.argument("service")
@click.argument("version")
@click.option(
    "--duration", type=float, required=True, help="Seconds within which the move is completed."
)
def start(servers: tuple[str, ...], service: str, version: str, duration: float) -> None:
    """Begin to move SERVICE to upstreams of VERSION; a bad version is rolled back."""
    response = run_command(commands.start_rollout(servers, service, version, duration))
    click.echo(json.dumps(response))


@rollout.command()
@server_option
@click.argument("service")
def show(servers: tuple[str, ...], service: str) -> None:
    """Print the phase, the share and the reason of the newest rollout of SERVICE."""
    print_json(run_command(commands.show_rollout(servers, service)))
