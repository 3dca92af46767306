"""Commands that explain what became of requests."""

from __future__ import annotations

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import ask, server_option


@click.command()
@server_option
@click.argument("request")
def explain(servers: tuple[str, ...], request: str) -> None:
    """Explain what became of a request, by its id."""
    click.echo(ask(commands.explain(servers, request)))
