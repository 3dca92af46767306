"""The group: the replicas that vote, and the learners that only receive the log."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.types import Address, HostName, ReplicaId

# Placeholder for the identity of a founder that isn't recorded in the log yet.
UNKNOWN_REPLICA_ID = ReplicaId("")


class Voter(NamedTuple):
    """A member of the group: its host, its address for peers and its data folder's identity.

    joined_at is the position of the entry that added its host, 0 for a founder. A lost disk that is
    replaced on the same host doesn't change it.
    """

    host: HostName
    address: Address
    replica_id: ReplicaId = UNKNOWN_REPLICA_ID
    joined_at: int = 0

    def is_same(self, other: Voter) -> bool:
        """Return whether another record is of the same replica at the same address."""
        return self._replace(joined_at=other.joined_at) == other


class Group(NamedTuple):
    """The members; a learner receives the log but doesn't count towards a majority."""

    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...] = ()

    @property
    def majority(self) -> int:
        """Return the number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[Voter, ...]:
        """Return the voters and the learners."""
        return self.voters + self.learners

    def member(self, host: HostName) -> Voter | None:
        """Return the member on a host, if there is one."""
        return next((member for member in self.members if member.host == host), None)

    def voter(self, host: HostName) -> Voter | None:
        """Return the voter on a host, if there is one."""
        return next((voter for voter in self.voters if voter.host == host), None)

    def without(self, host: HostName) -> Group:
        """Return the group without the member on a host."""
        return Group(
            tuple(voter for voter in self.voters if voter.host != host),
            tuple(learner for learner in self.learners if learner.host != host),
        )

    def with_learner(self, learner: Voter) -> Group:
        """Return the group with a learner, which replaces any other member on its host."""
        rest = self.without(learner.host)
        return Group(rest.voters, (*rest.learners, learner))

    def with_voter(self, learner: Voter) -> Group:
        """Return the group with a learner promoted to voter."""
        rest = self.without(learner.host)
        return Group((*rest.voters, learner), rest.learners)

    def with_demoted(self, host: HostName) -> Group:
        """Return the group with the voter on a host as a learner."""
        voter = self.voter(host)
        return self if voter is None else self.with_learner(voter)

    def with_identities(self, identities: Mapping[HostName, ReplicaId]) -> Group:
        """Return the group with the known identities of founders filled in."""
        voters = tuple(
            (
                voter
                if voter.replica_id
                else voter._replace(replica_id=identities.get(voter.host, UNKNOWN_REPLICA_ID))
            )
            for voter in self.voters
        )
        return Group(voters, self.learners)


class GroupHistory:
    """The groups recorded in a log, of which the last is in force."""

    def __init__(self, *, index: int, group: Group) -> None:
        self._groups = [(index, group)]

    @property
    def current(self) -> Group:
        """Return the group in force."""
        return self._groups[-1][1]

    @property
    def changed_index(self) -> int:
        """Return the index of the entry that put the current group in force."""
        return self._groups[-1][0]

    def in_force_at(self, index: int) -> Group:
        """Return the group in force at an index of the log."""
        return next(group for start, group in reversed(self._groups) if start <= index)

    def add(self, index: int, group: Group) -> None:
        """Record that a group is in force from an index on."""
        self._groups.append((index, group))

    def truncate_from(self, index: int) -> None:
        """Drop the groups recorded by entries from an index on."""
        self._groups[1:] = [item for item in self._groups[1:] if item[0] < index]

    def compact(self, index: int) -> None:
        """Drop the groups before the one in force at an index."""
        later = [item for item in self._groups if item[0] > index]
        self._groups = [(index, self.in_force_at(index)), *later]


@dataclass(frozen=True, slots=True, kw_only=True)
class Add:
    """Add a replica as a learner on a host that has no member."""

    learner: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class Replace:
    """Add a replica as a learner, replacing the member on its host."""

    learner: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class Promote:
    """Promote a learner to voter."""

    learner: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class Demote:
    """Make the voter on a host a learner."""

    host: HostName


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Remove the member on a host."""

    host: HostName


GroupChange = Add | Replace | Promote | Demote | Remove


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupChangeRefused:
    """The group change was refused."""

    reason: str


def apply_group_change(
    group: Group, change: GroupChange, *, position: int
) -> Group | GroupChangeRefused:
    """Return the group after a change, which affects at most one voter.

    position is that of the entry that records the change.
    """
    match change:
        case Add(learner=learner) | Replace(learner=learner):
            if any(member.is_same(learner) for member in group.members):
                return group
            if any(member.replica_id == learner.replica_id for member in group.members):
                return GroupChangeRefused(
                    reason=f"replica {learner.replica_id} is a member on another host"
                )
            existing = group.member(learner.host)
            if existing is not None and isinstance(change, Add):
                return GroupChangeRefused(reason=f"{learner.host} has a replica; replace it")
            if existing is None and isinstance(change, Replace):
                return GroupChangeRefused(reason=f"{learner.host} has no replica; add it")
            joined_at = position if existing is None else existing.joined_at
            changed = group.with_learner(learner._replace(joined_at=joined_at))
        case Promote(learner=learner):
            changed = group.with_voter(learner)
        case Demote(host=host):
            changed = group.with_demoted(host)
        case Remove(host=host):
            changed = group.without(host)
    if not changed.voters:
        return GroupChangeRefused(reason="this would leave no voter")
    return changed
