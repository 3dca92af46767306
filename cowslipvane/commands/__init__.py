"""What the commands do, apart from the command line that calls them."""

from cowslipvane.commands._errors import CommandFailed
from cowslipvane.commands._explain import explain
from cowslipvane.commands._process import describe, read_settings, run, status
from cowslipvane.commands._replica import create_replica
from cowslipvane.commands._resources import (
    apply,
    diff,
    diff_lines,
    get,
    history,
    read_resources,
    watch,
)
from cowslipvane.settings import SettingsFault

__all__ = [
    "CommandFailed",
    "SettingsFault",
    "apply",
    "create_replica",
    "describe",
    "diff",
    "diff_lines",
    "explain",
    "get",
    "history",
    "read_resources",
    "read_settings",
    "run",
    "status",
    "watch",
]
