"""Commands on teams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TextIO

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import (
    output_option,
    report_bad_input,
    run_command,
    server_option,
)
from cowslipvane.cmdline._output import print_result, table


@click.group()
def team() -> None:
    """Prepare the keys of teams, and show what counts towards their quotas."""


@team.command()
@server_option
@output_option
def quotas(servers: tuple[str, ...], output: str) -> None:
    """Print what the replicas have granted and refused of each team's quota.

    A replica that has no token left refuses, and the proxy asks the next one, so that the refusals
    here are more than those of callers.
    """
    report = run_command(commands.show_quotas(servers))
    form = {**report._asdict(), "teams": [total._asdict() for total in report.teams]}
    print_result(form, output, _quotas_text(report))


def _quotas_text(report: commands.QuotaReport) -> str:
    """Return the shares of the replicas and the totals of the teams as text."""
    lines = [f"{host}: share {share}" for host, share in report.shares.items()]
    lines += [f"{host}: {error}" for host, error in report.errors.items()]
    headers = ("TEAM", "RATE", "BURST", "LEFT", "GRANTED", "STOOD IN", "REFUSED")
    return "\n".join([*lines, table(headers, [_cells(total) for total in report.teams])])


def _cells(total: commands.TeamTotal) -> tuple[object, ...]:
    """Return the cells of a team's line."""
    return (
        total.team,
        f"{total.rate:g}",
        f"{total.burst:g}",
        f"{total.tokens:.1f}",
        *(total.granted, total.stood_in, total.refused),
    )


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
