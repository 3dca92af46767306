"""The asyncio tasks of a process: one per connection and per peer, in sequential code."""

from cowslipvane.tasks._front_end import Components, FrontEnd
from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._releases import NoRelease, Releases
from cowslipvane.tasks._replication_messages import NotLeader, Unknown

__all__ = [
    "Components",
    "FrontEnd",
    "HttpListener",
    "NoRelease",
    "NotLeader",
    "Owner",
    "Releases",
    "Unknown",
]
