"""Which data folders count as the members of the group."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipvane.replica._group import UNKNOWN_REPLICA_ID, Group, Voter
from cowslipvane.types import HostName, ReplicaId


class Identities:
    """The identity of one replica, and those of founders that the log may not have yet."""

    def __init__(self, *, host: HostName, replica_id: ReplicaId, is_founder: bool) -> None:
        self._host = host
        self._replica_id = replica_id
        self._is_founder = is_founder
        self._known = {host: replica_id}

    @property
    def replica_id(self) -> ReplicaId:
        """Return the identity of this replica's data folder."""
        return self._replica_id

    @property
    def is_founder(self) -> bool:
        """Return whether this replica is one of those that founded the group."""
        return self._is_founder

    @property
    def known(self) -> Mapping[HostName, ReplicaId]:
        """Return the identity of each founder that has connected, and of this replica."""
        return self._known

    def is_voter(self, group: Group) -> bool:
        """Return whether a group has this replica's host and identity as a voter.

        A founder whose identity isn't recorded in the log yet counts too.
        """
        own = group.voter(self._host)
        return own is not None and self.matches(own.replica_id)

    def matches(self, recorded_id: ReplicaId) -> bool:
        """Return whether this replica is the member that a log records for this host.

        A founder's identity may not be recorded yet. A replica that joins in its place, after the
        loss of its disk, isn't that founder, and would otherwise vote without what it had.
        """
        if recorded_id == UNKNOWN_REPLICA_ID:
            return self._is_founder
        return recorded_id == self._replica_id

    def check(self, group: Group, host: HostName, replica_id: ReplicaId) -> bool:
        """Return whether the member on a host has the given identity.

        The first identity with which a founder connects is recorded as its own.
        """
        member = group.member(host)
        if member is None:
            return False
        return replica_id == (member.replica_id or self._known.setdefault(host, replica_id))

    def has_taken_in(self, group: Group, joining: Voter, *, is_founder: bool) -> bool:
        """Return whether a replica that asks to join is a member already."""
        member = group.member(joining.host)
        if member is not None and member.replica_id == UNKNOWN_REPLICA_ID and not is_founder:
            return False
        return self.check(group, joining.host, joining.replica_id)
