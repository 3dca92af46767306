"""What a replica is within its term."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cowslipvane.replica._group import Group, Voter
from cowslipvane.replica._history import History
from cowslipvane.replica._messages import Append, Install
from cowslipvane.types import HostName, Seconds

# A voter that hasn't answered for this long is taken out, if enough others are left: machines are
# replaced by others at new addresses, and each that stays in the group raises its majority.
VOTER_REMOVAL_TIMEOUT: Seconds = 10.0
# A group that is no larger than this keeps also those that are gone; it bears the loss of one.
LEAST_VOTERS = 3
# Entries in one Append message.
MAX_APPEND_ENTRIES = 200


@dataclass(slots=True, kw_only=True)
class Follower:
    """Takes entries from the leader of the term, once it is known."""

    leader: HostName | None = None


@dataclass(slots=True, kw_only=True)
class PreCandidate:
    """Asks who would vote for it in the next term, and disturbs no leader meanwhile.

    idle are the voters that can't lead in this term or an earlier one any more, absent those among
    them whose disk is lost.
    """

    votes: set[HostName]
    idle: set[HostName]
    absent: set[HostName] = field(default_factory=set)

    @property
    def preferred(self) -> HostName:
        """Return the voter that stands first when all are idle."""
        return min(self.idle - self.absent)


@dataclass(slots=True, kw_only=True)
class Candidate:
    """Collects votes for its term; released says that no leader before holds a lease."""

    votes: set[HostName]
    released: bool = False


@dataclass(slots=True, kw_only=True)
class Leader:
    """Replicates its log: next, matching and told commit index, and last contact, by voter."""

    since: float
    next_index: dict[HostName, int] = field(default_factory=dict)
    match_index: dict[HostName, int] = field(default_factory=dict)
    contact: dict[HostName, float] = field(default_factory=dict)
    told_commit: dict[HostName, int] = field(default_factory=dict)

    def next_for(
        self, host: HostName, history: History, *, leader: HostName, term: int
    ) -> Append | Install:
        """Return what a member needs next from this leader's history."""
        first = self.next_index.setdefault(host, max(1, history.last_index))
        if first <= history.base_index:
            return Install(term=term, leader=leader, snapshot=history.snapshot())
        self.told_commit[host] = history.commit
        return Append(
            term=term,
            leader=leader,
            previous_index=first - 1,
            previous_term=history.term_of(first - 1),
            entries=history.after(first - 1, MAX_APPEND_ENTRIES),
            commit=history.commit,
        )

    def lacks(self, host: HostName, history: History) -> bool:
        """Return whether a member lacks entries or the newest commit index."""
        behind = self.next_index.get(host, 0) <= history.last_index
        return behind or self.told_commit.get(host, 0) < history.commit

    def successor(self, history: History, *, own: HostName) -> Voter | None:
        """Return a voter that holds this leader's whole log, if there is one."""
        others = (voter for voter in history.group.voters if voter.host != own)
        return next((v for v in others if self.matched(v.host) == history.last_index), None)

    def gone(self, group: Group, now: float, *, own: HostName) -> Voter | None:
        """Return the voter to give up, which has been silent for longest, if there is one."""
        if len(group.voters) <= LEAST_VOTERS:
            return None
        others = [voter for voter in group.voters if voter.host != own]
        silent = min(others, key=lambda voter: self.answered(voter.host))
        since = max(self.since, self.answered(silent.host))
        return silent if now >= since + VOTER_REMOVAL_TIMEOUT else None

    def synced_by_majority(self, history: History, *, own: HostName) -> int:
        """Return up to which index a majority has synced this leader's log."""
        group = history.group
        synced = sorted(self._synced_by(voter, history, own) for voter in group.voters)
        return synced[-group.majority]

    def matched(self, host: HostName) -> int:
        """Return up to which index a member has synced this leader's log."""
        return self.match_index.get(host, 0)

    def answered(self, host: HostName) -> float:
        """Return when this leader last sent what a member has since answered."""
        return self.contact.get(host, -math.inf)

    def quorum_contact(self, group: Group, own: HostName, now: float) -> float:
        """Return since when a majority has answered this leader."""
        contacts = sorted(
            now if voter.host == own else self.answered(voter.host) for voter in group.voters
        )
        return contacts[-group.majority]

    def count_contact(self, host: HostName, sent_at: float) -> None:
        """Note that a member has answered a message of some time."""
        self.contact[host] = max(sent_at, self.answered(host))

    def count_match(self, host: HostName, index: int) -> None:
        """Note up to which index a member has synced the log."""
        self.match_index[host] = max(self.matched(host), index)
        self.next_index[host] = self.matched(host) + 1

    def count_refusal(self, host: HostName, index: int) -> None:
        """Go back to an index for a member whose log differs, never behind what has matched."""
        self.next_index[host] = max(self.matched(host), index) + 1

    def forget(self, host: HostName) -> None:
        """Forget what a former identity on a host has synced and answered."""
        for progress in (self.next_index, self.match_index, self.contact, self.told_commit):
            progress.pop(host, None)

    def _synced_by(self, voter: Voter, history: History, own: HostName) -> int:
        """Return up to which index a voter has synced this leader's log."""
        # A founder whose identity isn't in the log could come back with an empty disk unnoticed.
        if not voter.replica_id:
            return 0
        return history.synced if voter.host == own else self.matched(voter.host)


Role = Follower | PreCandidate | Candidate | Leader
