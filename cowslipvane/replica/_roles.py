"""The role of a replica within its term."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cowslipvane.replica._group import Group, Voter
from cowslipvane.replica._messages import Append, Entry, Install
from cowslipvane.replica._reconfiguration import MemberStatus
from cowslipvane.replica._replicated_state import ReplicatedState
from cowslipvane.types import HostName

MAX_APPEND_ENTRIES = 200
# A larger entry, by its memory, is sent alone, so that a message's size and the time that a member
# needs for it don't grow with what it lacks.
MAX_APPEND_BYTES = 400 << 10


@dataclass(slots=True, kw_only=True)
class Follower:
    """A replica that accepts entries from the leader; leader is None while it is unknown."""

    leader: HostName | None = None


@dataclass(slots=True, kw_only=True)
class PreCandidate:
    """A replica that collects pre-votes for the next term, without disturbing a leader.

    idle contains this replica, the voters of the same term that neither led nor had a message from
    a leader within the last election timeout when they replied, and the voters in replaced. Those
    can't lead, because their host responds with another identity, as after the loss of its disk.
    """

    votes: set[HostName]
    idle: set[HostName]
    replaced: set[HostName] = field(default_factory=set)

    @property
    def first_candidate(self) -> HostName:
        """Return the voter that starts an election first when all are idle."""
        return min(self.idle - self.replaced)


@dataclass(slots=True, kw_only=True)
class Candidate:
    """A replica that collects votes; released means that no earlier leader holds a lease."""

    votes: set[HostName]
    released: bool = False


@dataclass(slots=True, kw_only=True)
class Leader:
    """A replica that replicates its log to the other members.

    By member, it tracks the index of the next entry to send, the index up to which the log matches
    and is synced there, the send times of the first and the latest message replied to, and the
    commit index last sent. leaving has the members whose processes are stopping.
    """

    elected_at: float
    next_index: dict[HostName, int] = field(default_factory=dict)
    match_index: dict[HostName, int] = field(default_factory=dict)
    first_contact_at: dict[HostName, float] = field(default_factory=dict)
    contact_at: dict[HostName, float] = field(default_factory=dict)
    sent_commit: dict[HostName, int] = field(default_factory=dict)
    leaving: set[HostName] = field(default_factory=set)

    def next_message(
        self, host: HostName, state: ReplicatedState, *, leader: HostName, term: int
    ) -> Append | Install:
        """Return the next message that a member needs to catch up with this leader."""
        first = self.next_index.setdefault(host, max(1, state.last_index))
        if first <= state.base_index:
            return Install(term=term, leader=leader, snapshot=state.snapshot())
        self.sent_commit[host] = state.commit_index
        return Append(
            term=term,
            leader=leader,
            previous_index=first - 1,
            previous_term=state.term_of(first - 1),
            entries=_next_entries(state, first),
            commit=state.commit_index,
        )

    def is_behind(self, host: HostName, state: ReplicatedState) -> bool:
        """Return whether a member lacks entries or the latest commit index."""
        lacks_entries = self.next_index.get(host, 0) <= state.last_index
        return lacks_entries or self.sent_commit.get(host, 0) < state.commit_index

    def successor(self, state: ReplicatedState, *, own: HostName) -> Voter | None:
        """Return a voter with this leader's complete log that isn't leaving, if there is one."""
        others = (voter for voter in state.group.voters if voter.host not in {own, *self.leaving})
        return next((v for v in others if self.matched_index(v.host) == state.last_index), None)

    def member_status(self, host: HostName, commit_index: int) -> MemberStatus:
        """Return what decides whether a member should vote."""
        return MemberStatus(
            first_contact_at=self.first_contact_at.get(host, math.inf),
            contact_at=self.last_contact(host),
            is_caught_up=self.matched_index(host) >= max(commit_index, 1),
            is_leaving=host in self.leaving,
        )

    def synced_by_majority(self, state: ReplicatedState, *, own: HostName) -> int:
        """Return the index up to which a majority has synced this leader's log."""
        group = state.group
        synced = sorted(self._counted_index(voter, state, own) for voter in group.voters)
        return synced[-group.majority]

    def matched_index(self, host: HostName) -> int:
        """Return the index up to which a member's synced log matches this leader's."""
        return self.match_index.get(host, 0)

    def last_contact(self, host: HostName) -> float:
        """Return the send time of the latest message that a member has replied to."""
        return self.contact_at.get(host, -math.inf)

    def quorum_contact(self, group: Group, own: HostName, now: float) -> float:
        """Return the latest time such that a majority replied to messages sent then or later."""
        contacts = sorted(
            now if voter.host == own else self.last_contact(voter.host) for voter in group.voters
        )
        return contacts[-group.majority]

    def record_contact(self, host: HostName, sent_at: float) -> None:
        """Record that a member has replied to a message sent at some time."""
        self.first_contact_at.setdefault(host, sent_at)
        self.contact_at[host] = max(sent_at, self.last_contact(host))

    def record_match(self, host: HostName, index: int) -> None:
        """Record the index up to which a member's synced log matches."""
        self.match_index[host] = max(self.matched_index(host), index)
        self.next_index[host] = self.matched_index(host) + 1

    def record_mismatch(self, host: HostName, index: int) -> None:
        """Go back to an index for a member whose log differs, but never before a matched one."""
        self.next_index[host] = max(self.matched_index(host), index) + 1

    def forget_progress(self, host: HostName) -> None:
        """Drop the progress of the former identity on a host."""
        for progress in (self.next_index, self.match_index, self.sent_commit):
            progress.pop(host, None)
        self.first_contact_at.pop(host, None)
        self.contact_at.pop(host, None)

    def _counted_index(self, voter: Voter, state: ReplicatedState, own: HostName) -> int:
        """Return the index up to which a voter counts as having synced this leader's log."""
        # A founder whose identity isn't in the log could restart with an empty disk unnoticed.
        if not voter.replica_id:
            return 0
        return state.synced_index if voter.host == own else self.matched_index(voter.host)


def _next_entries(state: ReplicatedState, first: int) -> tuple[Entry, ...]:
    """Return the entries from an index on, as many as one message may carry."""
    entries = state.entries_after(first - 1, MAX_APPEND_ENTRIES)
    size = 0
    for count, entry in enumerate(entries):
        size += state.entry_bytes(entry.position)
        if count and size > MAX_APPEND_BYTES:
            return entries[:count]
    return entries


Role = Follower | PreCandidate | Candidate | Leader
