"""What the commands do, apart from the command line that calls them."""

from cowslipvane.commands._check import CheckReport, check
from cowslipvane.commands._errors import CommandFailed
from cowslipvane.commands._explain import Account, account_of, explain, explain_from_files
from cowslipvane.commands._picture import picture
from cowslipvane.commands._process import debug, describe, drain, read_settings, run, status
from cowslipvane.commands._replica import (
    create_replica,
    join_replica,
    list_replicas,
    remove_replica,
    take_replica,
)
from cowslipvane.commands._resources import (
    apply,
    diff,
    diff_lines,
    get,
    history,
    read_resources,
    watch,
)
from cowslipvane.commands._timeline import (
    Filter,
    Timeline,
    timeline_of_files,
    timeline_of_processes,
)
from cowslipvane.settings import SettingsFault

__all__ = [
    "Account",
    "CheckReport",
    "CommandFailed",
    "Filter",
    "SettingsFault",
    "Timeline",
    "account_of",
    "apply",
    "check",
    "create_replica",
    "debug",
    "describe",
    "drain",
    "explain",
    "explain_from_files",
    "get",
    "join_replica",
    "list_replicas",
    "picture",
    "diff",
    "diff_lines",
    "history",
    "read_resources",
    "read_settings",
    "remove_replica",
    "run",
    "status",
    "take_replica",
    "timeline_of_files",
    "timeline_of_processes",
    "watch",
]
