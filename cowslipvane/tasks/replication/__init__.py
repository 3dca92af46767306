"""Replication between replicas: a task for each voter; joining, hand-over, releases."""

from cowslipvane.tasks.replication._fact_records import FactRecords
from cowslipvane.tasks.replication._joining import GroupJoiner
from cowslipvane.tasks.replication._messages import GroupChanged, NotLeader, Unknown
from cowslipvane.tasks.replication._recovery import open_replica
from cowslipvane.tasks.replication._releases import Derivation, NoRelease, Releases
from cowslipvane.tasks.replication._replication import Replication

__all__ = [
    "Derivation",
    "FactRecords",
    "GroupChanged",
    "GroupJoiner",
    "NoRelease",
    "NotLeader",
    "Releases",
    "Replication",
    "Unknown",
    "open_replica",
]
