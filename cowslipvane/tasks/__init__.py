"""The tasks: one for each connection and each peer, each written straight down."""

from cowslipvane.tasks._front_end import Components, FrontEnd
from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._releases import NoRelease, Releases
from cowslipvane.tasks._replication import NotLeader, Unknown

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
