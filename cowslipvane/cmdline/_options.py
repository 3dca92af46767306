"""Options shared by several commands, and the handling of failed commands."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

import click

from cowslipvane import commands
from cowslipvane.settings import Settings

EXIT_BAD_INPUT = 2
T = TypeVar("T")

server_option = click.option(
    "--server",
    "servers",
    multiple=True,
    required=True,
    envvar="COWSLIPVANE_SERVERS",
    help="IP:PORT of a process's operators' listener; repeat to name fallbacks.",
)
output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    help="A table for people, or JSON for programs.",
)
settings_option = click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="The settings file of the process, in TOML.",
)


def run_command(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a command, and report its failure as one line."""
    with report_failure():
        return asyncio.run(coroutine)


@contextmanager
def report_failure() -> Iterator[None]:
    """Report the failure of a command as one line, and exit with 1."""
    try:
        yield
    except commands.CommandFailed as error:
        raise click.ClickException(str(error)) from error


@contextmanager
def report_bad_input() -> Iterator[None]:
    """Report the failure of a command as one line, and exit with 2."""
    try:
        yield
    except commands.CommandFailed as error:
        click.echo(str(error), err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None


def read_settings(path: Path) -> Settings:
    """Return the settings in a file, or print a line for each fault and exit."""
    try:
        return commands.read_settings(path)
    except commands.SettingsFault as error:
        for fault in error.faults:
            click.echo(fault, err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None
