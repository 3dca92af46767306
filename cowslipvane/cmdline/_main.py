"""The group of all commands."""

from __future__ import annotations

import click

from cowslipvane.cmdline._explain import explain, timeline
from cowslipvane.cmdline._process import check, completion, debug, drain, run, status
from cowslipvane.cmdline._replica import replica
from cowslipvane.cmdline._resources import apply, diff, get, history, watch
from cowslipvane.cmdline._rollouts import rollout
from cowslipvane.cmdline._teams import team


@click.group()
@click.version_option(package_name="cowslipvane")
def main() -> None:
    """Distribute routing configuration to every proxy of a service mesh."""


_COMMANDS = (
    apply,
    check,
    completion,
    debug,
    diff,
    drain,
    explain,
    get,
    history,
    replica,
    rollout,
    run,
    status,
    team,
    timeline,
    watch,
)
for _command in _COMMANDS:
    main.add_command(_command)
