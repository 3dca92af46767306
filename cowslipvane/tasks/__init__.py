"""The asyncio tasks of a process: one per connection and per peer, in sequential code."""

from cowslipvane.tasks._front_end import Components, FrontEnd
from cowslipvane.tasks.distribution import InProgress, NoRollout, NoService, Rollouts
from cowslipvane.tasks.http import HttpListener
from cowslipvane.tasks.replication import Derivation, NoRelease, NotLeader, Releases, Unknown
from cowslipvane.tasks.upstreams import Owner

__all__ = [
    "Components",
    "Derivation",
    "FrontEnd",
    "HttpListener",
    "InProgress",
    "NoRelease",
    "NoRollout",
    "NoService",
    "NotLeader",
    "Owner",
    "Releases",
    "Rollouts",
    "Unknown",
]
