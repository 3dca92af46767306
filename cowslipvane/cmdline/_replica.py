"""Commands on the group of replicas."""

from __future__ import annotations

from pathlib import Path

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import (
    read_settings,
    report_failure,
    run_command,
    server_option,
    settings_option,
)
from cowslipvane.cmdline._output import print_json

id_option = click.option(
    "--id", "replica_id", required=True, help="The identity that 'replica join' printed."
)


@click.group()
def replica() -> None:
    """Create and change the group of replicas."""


@replica.command()
@settings_option
@click.option("--group", required=True, help="A name for the group, the same on each host.")
@click.option(
    "--voter",
    "voters",
    multiple=True,
    required=True,
    help="HOST=IP:PORT of a founding member; repeat for each.",
)
def create(path: Path, group: str, voters: tuple[str, ...]) -> None:
    """Initialize the data folder for a new group; run this once on the host of each member."""
    settings = read_settings(path)
    with report_failure():
        commands.create_replica(settings, group, voters)


@replica.command()
@settings_option
@click.option("--group", required=True, help="The name under which the group was created.")
def join(path: Path, group: str) -> None:
    """Initialize an empty data folder for a group; print the id for 'replica add' or 'replace'."""
    settings = read_settings(path)
    with report_failure():
        click.echo(commands.join_replica(settings, group))


@replica.command(name="list")
@server_option
def list_(servers: tuple[str, ...]) -> None:
    """Print the group of replicas."""
    print_json(run_command(commands.list_replicas(servers)))


@replica.command()
@server_option
@id_option
@click.argument("member")
def add(servers: tuple[str, ...], replica_id: str, member: str) -> None:
    """Add a replica, MEMBER as HOST=IP:PORT, and wait until it is a voter."""
    group = run_command(commands.add_or_replace_replica(servers, "add", member, replica_id))
    print_json(group)


@replica.command()
@server_option
@id_option
@click.argument("member")
def replace(servers: tuple[str, ...], replica_id: str, member: str) -> None:
    """Replace the replica on a host that lost its disk, MEMBER as HOST=IP:PORT."""
    group = run_command(commands.add_or_replace_replica(servers, "replace", member, replica_id))
    print_json(group)


@replica.command()
@server_option
@click.argument("host")
def remove(servers: tuple[str, ...], host: str) -> None:
    """Remove the replica on a host from the group."""
    print_json(run_command(commands.remove_replica(servers, host)))
