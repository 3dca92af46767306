"""Commands on teams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TextIO

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import report_bad_input


@click.group()
def team() -> None:
    """Prepare the keys of teams."""


# Bytes beyond ASCII become characters that no key may have, whatever the encoding is.
@team.command()
@click.option(
    "-f",
    "--file",
    "keys",
    type=click.File(encoding="latin-1"),
    default="-",
    help="The file with the keys; standard input by default.",
)
def digest(keys: TextIO) -> None:
    """Print the digest of each key in a file or standard input, which has one key a line."""
    lines: Iterable[str] = [_prompt()] if keys.isatty() else keys
    with report_bad_input():
        digests = commands.digest_keys(lines)
    for line in digests:
        click.echo(line)


def _prompt() -> str:
    """Return a key that is typed at a terminal, which doesn't show it."""
    return str(click.prompt("Key", hide_input=True, err=True))
