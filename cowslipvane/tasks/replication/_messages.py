"""The handshake between two replicas, and what a request to one can come to without an outcome."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.replica import Group
from cowslipvane.types import HostName, ReplicaId
from cowslipvane.wire import register


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader:
    """The change was not run here; send it to the leader, which is None while unknown."""

    leader: HostName | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The outcome of the change is unknown; retry a write with the same operation id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupChanged:
    """The group change is accepted; a learner is promoted to voter once its log is complete."""

    group: Group


@dataclass(frozen=True, slots=True, kw_only=True)
class Greeting:
    """Opens a connection: the group, and the expected replica id, empty while it is unknown."""

    group: str
    wanted: ReplicaId


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome:
    """Accepts a handshake and returns the replica id of the local data folder."""

    replica_id: ReplicaId


@dataclass(frozen=True, slots=True, kw_only=True)
class Stranger:
    """Rejects a handshake that is addressed to another group or another data folder."""

    group: str
    replica_id: ReplicaId


@dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """Tells the leader that the process of a member is stopping."""

    host: HostName


@dataclass(frozen=True, slots=True, kw_only=True)
class MayLeave:
    """Replies once the group does without the member's vote, or can't; it may stop then."""


register(Greeting, Welcome, Stranger, Leave, MayLeave)
