"""The group of all commands."""

from __future__ import annotations

import click

from cowslipvane.cmdline._explain import explain
from cowslipvane.cmdline._process import check, run, status
from cowslipvane.cmdline._replica import replica
from cowslipvane.cmdline._resources import apply, diff, get, history, watch


@click.group()
@click.version_option(package_name="cowslipvane")
def main() -> None:
    """Distribute routing configuration to every proxy of a service mesh."""


for _command in (apply, check, diff, explain, get, history, replica, run, status, watch):
    main.add_command(_command)
