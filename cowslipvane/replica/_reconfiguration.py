"""The group change that is due: which members become voters, and which stop being voters."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from cowslipvane.replica._group import Demote, Group, GroupChange, Promote, Remove, Voter
from cowslipvane.types import DataCentre, HostName, Seconds

# A group of this size or less keeps its lost voters while no learner can take their place; three
# voters tolerate one failure.
MIN_VOTERS = 3
# A voter without a reply for this long is lost: the group does without it where it can.
REPLACED_VOTER_TIMEOUT: Seconds = 1.5
# A learner that has been in contact, and then hasn't replied for this long, is removed. Machines
# are replaced by others at new addresses.
VOTER_REMOVAL_TIMEOUT: Seconds = 10.0


class MemberStatus(NamedTuple):
    """What a leader knows of another member.

    first_contact_at and contact_at are the send times of the first and the latest message that it
    has replied to, in seconds of the lease clock; a member that never replied has neither.
    """

    first_contact_at: float = math.inf
    contact_at: float = -math.inf
    is_caught_up: bool = False
    is_leaving: bool = False


_UNKNOWN = MemberStatus()


class Situation(NamedTuple):
    """What decides about the group: its members as their leader sees them at a moment.

    elected_at is when the leader was elected. A member counts as reachable if it has replied to a
    message sent within reply_timeout. data_centres has the data centres that are known.
    """

    group: Group
    leader: HostName
    now: float
    elected_at: float
    reply_timeout: Seconds
    statuses: Mapping[HostName, MemberStatus]
    data_centres: Mapping[HostName, DataCentre]

    @property
    def candidates(self) -> tuple[Voter, ...]:
        """Return the learners that could vote now, those first that no voter supersedes."""
        learners = [
            learner
            for learner in self.group.learners
            if self.is_reachable(learner)
            and self.status(learner).is_caught_up
            and not self.status(learner).is_leaving
        ]
        return tuple(sorted(learners, key=self.is_superseded))

    @property
    def outgoing(self) -> Voter | None:
        """Return a voter whose vote the group shouldn't rely on: a lost one, else one leaving."""
        others = [voter for voter in self.group.voters if voter.host != self.leader]
        lost = [voter for voter in others if self.is_missing(voter, REPLACED_VOTER_TIMEOUT)]
        leaving = [voter for voter in others if self.status(voter).is_leaving]
        if lost:
            return min(lost, key=lambda voter: self.status(voter).contact_at)
        return leaving[0] if leaving else None

    @property
    def superseded(self) -> Voter | None:
        """Return the voter in whose data centre the newest superseding voter joined, if any."""
        voters = [voter for voter in self.group.voters if self.is_superseded(voter)]
        if not voters:
            return None
        # The machine that was added last replaces the one that is most likely to go next.
        return max(voters, key=lambda voter: (self._newest_beside(voter), -voter.joined_at))

    def status(self, member: Voter) -> MemberStatus:
        """Return what is known of a member."""
        return self.statuses.get(member.host, _UNKNOWN)

    def is_reachable(self, member: Voter) -> bool:
        """Return whether a member has replied lately."""
        return self._has_replied(member, self.now - self.reply_timeout)

    def is_missing(self, member: Voter, timeout: Seconds) -> bool:
        """Return whether a member hasn't replied for a time in which this leader led."""
        since = max(self.elected_at, self.status(member).contact_at)
        return self.now - timeout >= since

    def is_superseded(self, member: Voter) -> bool:
        """Return whether a voter in the same data centre joined later than a member."""
        return self._newest_beside(member) > member.joined_at

    def can_do_without(self, voter: Voter) -> bool:
        """Return whether a majority of the other voters would be reachable."""
        rest = self.group.with_demoted(voter.host)
        return sum(map(self.is_reachable, rest.voters)) >= rest.majority

    def may_do_without(self, host: HostName) -> bool:
        """Return whether the vote of a host isn't needed, or may soon not be needed any more."""
        if self.group.voter(host) is None or len(self.group.voters) > MIN_VOTERS:
            return True
        return any(
            not self.status(learner).is_leaving
            and not self.is_missing(learner, REPLACED_VOTER_TIMEOUT)
            for learner in self.group.learners
        )

    def are_all_reachable_since(self, learner: Voter) -> bool:
        """Return whether all voters have replied lately, and since the first reply of a learner.

        A machine that the learner replaces may have replied until shortly before.
        """
        since = max(self.now - self.reply_timeout, self.status(learner).first_contact_at)
        return all(self._has_replied(voter, since) for voter in self.group.voters)

    def _has_replied(self, member: Voter, since: float) -> bool:
        """Return whether a member has replied to a message sent since some time."""
        return member.host == self.leader or self.status(member).contact_at >= since

    def _newest_beside(self, member: Voter) -> int:
        """Return when the newest other voter in a member's data centre joined, -1 for none."""
        data_centre = self.data_centres.get(member.host)
        return max(
            (
                voter.joined_at
                for voter in self.group.voters
                if voter.host != member.host
                and data_centre is not None
                and self.data_centres.get(voter.host) == data_centre
            ),
            default=-1,
        )


def due_change(situation: Situation) -> GroupChange | None:
    """Return the next change of the group, which may be to demote the leader itself.

    The group tolerates one loss more right after the failure or the replacement of any member:

    - A learner replaces a voter that is lost or leaving. Without a learner, such a voter is only
      given up by a group that keeps MIN_VOTERS.
    - An even number of voters tolerates no more losses than one voter fewer. So a voter is given up
      for a newer one in its data centre, since a machine that is added there usually replaces it.
    """
    group = situation.group
    if len(group.voters) < MIN_VOTERS:
        # All voters are needed, so a learner takes the place of none, whether or not all reply.
        caught_up = [item for item in group.learners if situation.status(item).is_caught_up]
        learners = situation.candidates or tuple(caught_up)
        return Promote(learner=learners[0]) if learners else _due_removal(situation)
    outgoing = situation.outgoing
    change = _balance(situation) if outgoing is None else _replace(situation, outgoing)
    return change or _due_removal(situation)


def _replace(situation: Situation, outgoing: Voter) -> GroupChange | None:
    """Return the next change by which the group does without a voter."""
    if not situation.can_do_without(outgoing):
        return None
    if len(situation.group.voters) > MIN_VOTERS:
        return Demote(host=outgoing.host)
    candidates = situation.candidates
    if not candidates:
        return None
    # A voter that still replies keeps its vote until the learner has one. One that doesn't would
    # raise the majority.
    if situation.is_reachable(outgoing):
        return Promote(learner=candidates[0])
    return Demote(host=outgoing.host)


def _balance(situation: Situation) -> GroupChange | None:
    """Return the next change of a group whose voters are neither lost nor leaving."""
    candidates = situation.candidates
    has_even_number = len(situation.group.voters) % 2 == 0
    if candidates:
        first = candidates[0]
        # One alone that a voter supersedes stands by, since it would make the number even.
        is_useful = has_even_number or len(candidates) > 1 or not situation.is_superseded(first)
        if is_useful and situation.are_all_reachable_since(first):
            return Promote(learner=first)
        return None
    is_any_joining = any(map(situation.is_reachable, situation.group.learners))
    superseded = situation.superseded
    if not has_even_number or is_any_joining or superseded is None:
        return None
    are_reachable = all(map(situation.is_reachable, situation.group.voters))
    return Demote(host=superseded.host) if are_reachable else None


def _due_removal(situation: Situation) -> GroupChange | None:
    """Return the removal of a learner that is gone, if there is one."""
    for learner in situation.group.learners:
        was_in_contact = situation.status(learner).contact_at > -math.inf
        if was_in_contact and situation.is_missing(learner, VOTER_REMOVAL_TIMEOUT):
            return Remove(host=learner.host)
    return None
