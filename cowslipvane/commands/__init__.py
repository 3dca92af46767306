"""Implementation of the commands, independent of the command line."""

from cowslipvane.commands._check import CheckReport, check
from cowslipvane.commands._errors import CommandFailed
from cowslipvane.commands._explain import Account, build_account
from cowslipvane.commands._process import (
    debug,
    drain,
    effective_settings,
    read_settings,
    run,
    status,
)
from cowslipvane.commands._replica import (
    add_or_replace_replica,
    create_replica,
    join_replica,
    list_replicas,
    remove_replica,
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
from cowslipvane.commands._rollouts import show_rollout, start_rollout
from cowslipvane.commands._teams import QuotaReport, TeamTotal, digest_keys, show_quotas
from cowslipvane.commands._timeline import (
    Filter,
    Timeline,
    timeline_from_files,
    timeline_from_processes,
)
from cowslipvane.commands._timeline_page import render_timeline_page
from cowslipvane.settings import SettingsFault

__all__ = [
    "Account",
    "CheckReport",
    "CommandFailed",
    "Filter",
    "SettingsFault",
    "Timeline",
    "build_account",
    "apply",
    "check",
    "create_replica",
    "debug",
    "QuotaReport",
    "TeamTotal",
    "digest_keys",
    "show_quotas",
    "effective_settings",
    "drain",
    "get",
    "join_replica",
    "list_replicas",
    "render_timeline_page",
    "diff",
    "diff_lines",
    "history",
    "read_resources",
    "read_settings",
    "remove_replica",
    "run",
    "show_rollout",
    "start_rollout",
    "status",
    "add_or_replace_replica",
    "timeline_from_files",
    "timeline_from_processes",
    "watch",
]
