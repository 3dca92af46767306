"""The group: which replicas vote, and which only learn."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.types import Address, HostName, ReplicaId

# The identity of a founder that the group hasn't met yet.
UNBOUND = ReplicaId("")


class Voter(NamedTuple):
    """A member of the group: its host, where peers reach it, and whose data folder it is."""

    host: HostName
    address: Address
    replica_id: ReplicaId = UNBOUND


class Group(NamedTuple):
    """The members; a learner receives the log and counts for nothing."""

    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...] = ()

    @property
    def majority(self) -> int:
        """Return how many voters make a quorum."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[Voter, ...]:
        """Return voters and learners."""
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
        """Return the group with a learner, in place of any other identity on its host."""
        rest = self.without(learner.host)
        return Group(rest.voters, (*rest.learners, learner))

    def promoted(self, learner: Voter) -> Group:
        """Return the group in which a learner votes."""
        rest = self.without(learner.host)
        return Group((*rest.voters, learner), rest.learners)

    def bound(self, identities: Mapping[HostName, ReplicaId]) -> Group:
        """Return the group in which founders that have been met have their identity."""
        voters = tuple(
            (
                voter
                if voter.replica_id
                else voter._replace(replica_id=identities.get(voter.host, UNBOUND))
            )
            for voter in self.voters
        )
        return Group(voters, self.learners)


class GroupHistory:
    """The groups that a log names, of which the last is in force."""

    def __init__(self, *, index: int, group: Group) -> None:
        self._groups = [(index, group)]

    @property
    def current(self) -> Group:
        """Return the group in force."""
        return self._groups[-1][1]

    @property
    def changed_at(self) -> int:
        """Return the index of the entry that put the current group in force."""
        return self._groups[-1][0]

    def at(self, index: int) -> Group:
        """Return the group that the log up to an index puts in force."""
        return next(group for at, group in reversed(self._groups) if at <= index)

    def add(self, index: int, group: Group) -> None:
        """Put a group in force from an index on."""
        self._groups.append((index, group))

    def drop_from(self, index: int) -> None:
        """Forget the groups that entries from an index on named."""
        self._groups[1:] = [item for item in self._groups[1:] if item[0] < index]

    def compact(self, index: int) -> None:
        """Forget the groups before the one that is in force at an index."""
        later = [item for item in self._groups if item[0] > index]
        self._groups = [(index, self.at(index)), *later]


@dataclass(frozen=True, slots=True, kw_only=True)
class Add:
    """Takes a replica in as a learner, on a host that has none."""

    learner: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class Replace:
    """Takes a replica in as a learner, in place of another identity on its host."""

    learner: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class Promote:
    """Lets a learner vote."""

    learner: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Takes the replica on a host out."""

    host: HostName


GroupChange = Add | Replace | Promote | Remove


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupChangeRefused:
    """The group was not changed."""

    reason: str


def changed_group(group: Group, change: GroupChange) -> Group | GroupChangeRefused:
    """Return the group after a change of at most one voter."""
    match change:
        case Add(learner=learner) | Replace(learner=learner):
            if learner in group.members:
                return group
            if any(member.replica_id == learner.replica_id for member in group.members):
                return GroupChangeRefused(
                    reason=f"replica {learner.replica_id} is a member on another host"
                )
            held = group.member(learner.host)
            if held is not None and isinstance(change, Add):
                return GroupChangeRefused(reason=f"{learner.host} has a replica; replace it")
            if held is None and isinstance(change, Replace):
                return GroupChangeRefused(reason=f"{learner.host} has no replica; add it")
            changed = group.with_learner(learner)
        case Promote(learner=learner):
            changed = group.promoted(learner)
        case Remove(host=host):
            changed = group.without(host)
    if not changed.voters:
        return GroupChangeRefused(reason="this would leave no voter")
    return changed
