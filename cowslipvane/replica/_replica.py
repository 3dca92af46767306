"""The replica: the rules of voting, replication and commitment."""

from __future__ import annotations

import random
from typing import NamedTuple, Protocol

from cowslipvane.catalogue import Catalogue, Change
from cowslipvane.replica._messages import (
    Append,
    AppendReply,
    Command,
    Entry,
    Noop,
    Report,
    Vote,
    Voter,
    VoteReply,
    Write,
)
from cowslipvane.replica._roles import Candidate, Follower, Leader, Role
from cowslipvane.types import HostName, Seconds

# Entries in one Append message.
MAX_APPEND_ENTRIES = 200


class Ballot(NamedTuple):
    """The term, and whom this replica voted for in it."""

    term: int
    voted_for: HostName | None


class Recovered(NamedTuple):
    """What the disk held at the start."""

    ballot: Ballot
    entries: tuple[Entry, ...]


class Journal(Protocol):
    """The durable record of ballot and entries; nothing counts before it is synced."""

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries; an entry replaces all at its index and after."""

    async def sync(self) -> None:
        """Return once everything recorded before the call is on the disk."""


class Replica:
    """One voter of the group, with its log and the catalogue that the log builds."""

    def __init__(
        self,
        *,
        host: HostName,
        voters: tuple[Voter, ...],
        journal: Journal,
        recovered: Recovered,
        election_timeout: Seconds,
        rng: random.Random,
        now: float,
    ) -> None:
        self._host = host
        self._voters = voters
        self._journal = journal
        self._term = recovered.ballot.term
        self._voted_for = recovered.ballot.voted_for
        self._entries = list(recovered.entries)
        self._synced = self.last_index
        self._commit = 0
        self._applied = 0
        self._catalogue = Catalogue()
        self._role: Role = Follower()
        self._election_timeout = election_timeout
        self._rng = rng
        self._heard_leader_at = now
        self._election_at = 0.0
        self._delay_election(now)
        self._reports: dict[HostName, Report] = {}

    @property
    def host(self) -> HostName:
        """Return this replica's host."""
        return self._host

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Return the members of the group."""
        return self._voters

    @property
    def role(self) -> Role:
        """Return what the replica is in its term."""
        return self._role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._term

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue that the committed log has built."""
        return self._catalogue

    @property
    def commit(self) -> int:
        """Return the index up to which the log is committed."""
        return self._commit

    @property
    def last_index(self) -> int:
        """Return the index of the last entry of the log."""
        return len(self._entries)

    @property
    def election_at(self) -> float:
        """Return when to stand for election unless a leader is heard before."""
        return self._election_at

    @property
    def reports(self) -> dict[HostName, Report]:
        """Return what each known proxy has in force."""
        return self._reports

    @property
    def leader(self) -> HostName | None:
        """Return the leader of the term, as far as it is known."""
        match self._role:
            case Leader():
                return self._host
            case Follower(leader=leader):
                return leader
            case Candidate():
                return None

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can have become leader by now."""
        if not isinstance(self._role, Leader) or self._term_of(self._commit) != self._term:
            return False
        contacts = sorted(self._contact(self._role, voter, now) for voter in self._voters)
        return now < contacts[-self._majority] + self._election_timeout

    def stand(self, now: float) -> None:
        """Become a candidate in a new term."""
        self._set_ballot(Ballot(self._term + 1, self._host))
        self._role = Candidate(votes=set())
        self._delay_election(now)

    def count_own_vote(self, term: int, now: float) -> None:
        """Count the replica's vote for itself, once its ballot is synced."""
        self.count_vote(VoteReply(term=term, voter=self._host, granted=True), now)

    def consider_vote(self, request: Vote, now: float) -> VoteReply:
        """Grant or refuse a vote; the reply may leave only after a sync."""
        if self._hears_leader(now):
            return VoteReply(term=self._term, voter=self._host, granted=False)
        self._observe_term(request.term)
        current = (self._term_of(self.last_index), self.last_index)
        granted = (
            request.term == self._term
            and self._voted_for in (None, request.candidate)
            and (request.last_term, request.last_index) >= current
        )
        if granted:
            self._set_ballot(Ballot(self._term, request.candidate))
            self._delay_election(now)
        return VoteReply(term=self._term, voter=self._host, granted=granted)

    def count_vote(self, reply: VoteReply, now: float) -> None:
        """Count a vote, and lead once a majority has granted theirs."""
        self._observe_term(reply.term)
        if not isinstance(self._role, Candidate) or reply.term != self._term or not reply.granted:
            return
        self._role.votes.add(reply.voter)
        if len(self._role.votes) >= self._majority:
            self._lead(now)

    def consider_append(self, append: Append, now: float) -> AppendReply:
        """Take entries from the leader; the reply may leave only after a sync."""
        self._observe_term(append.term)
        if append.term < self._term:
            return self._append_reply(matched=False, index=0)
        self._role = Follower(leader=append.leader)
        self._heard_leader_at = now
        self._delay_election(now)
        if append.previous_index > self.last_index:
            return self._append_reply(matched=False, index=self.last_index)
        if self._term_of(append.previous_index) != append.previous_term:
            return self._append_reply(matched=False, index=append.previous_index - 1)
        self._take_entries(append.entries)
        matched = append.previous_index + len(append.entries)
        self._commit_to(min(append.commit, matched))
        return self._append_reply(matched=True, index=matched)

    def append_for(self, voter: HostName) -> Append | None:
        """Return what a voter needs next, or None when this replica doesn't lead."""
        if not isinstance(self._role, Leader):
            return None
        first = self._role.next_index[voter]
        return Append(
            term=self._term,
            leader=self._host,
            previous_index=first - 1,
            previous_term=self._term_of(first - 1),
            entries=tuple(self._entries[first - 1 : first - 1 + MAX_APPEND_ENTRIES]),
            commit=self._commit,
        )

    def vote_for(self, voter: HostName) -> Vote | None:
        """Return the request that a voter has not granted yet, or None."""
        if not isinstance(self._role, Candidate) or voter in self._role.votes:
            return None
        return Vote(
            term=self._term,
            candidate=self._host,
            last_index=self.last_index,
            last_term=self._term_of(self.last_index),
        )

    def wants(self, voter: HostName) -> bool:
        """Return whether a voter lacks entries or the newest commit index of this leader."""
        return isinstance(self._role, Leader) and self._role.next_index[voter] <= self.last_index

    def count_append(self, reply: AppendReply, *, sent_at: float) -> None:
        """Count what a voter has synced, and commit what a majority has."""
        self._observe_term(reply.term)
        if not isinstance(self._role, Leader) or reply.term != self._term:
            return
        role = self._role
        role.contact[reply.voter] = max(sent_at, role.contact.get(reply.voter, 0.0))
        if not reply.matched:
            role.next_index[reply.voter] = max(1, min(reply.index + 1, self.last_index))
            return
        role.match_index[reply.voter] = max(role.match_index[reply.voter], reply.index)
        role.next_index[reply.voter] = role.match_index[reply.voter] + 1
        self._commit_majority()

    def propose(self, change: Change, *, stamped_at: float) -> int | None:
        """Append a change to the leader's log and return its index; None when not the leader."""
        if not isinstance(self._role, Leader):
            return None
        return self._append_own(Write(change=change), stamped_at)

    def count_synced(self, index: int) -> None:
        """Count this replica's own log as synced up to an index."""
        self._synced = min(max(self._synced, index), self.last_index)
        if isinstance(self._role, Leader):
            self._commit_majority()

    def record_report(self, report: Report) -> None:
        """Keep what a proxy says that it has in force, unless something newer is known."""
        held = self._reports.get(report.host)
        if held is None or report.changed_at >= held.changed_at:
            self._reports[report.host] = report

    @property
    def _majority(self) -> int:
        """Return how many voters make a quorum."""
        return len(self._voters) // 2 + 1

    def _contact(self, role: Leader, voter: Voter, now: float) -> float:
        """Return when this leader last sent what a voter has since answered."""
        return now if voter.host == self._host else role.contact.get(voter.host, 0.0)

    def _hears_leader(self, now: float) -> bool:
        """Return whether a leader was heard too recently to vote for another."""
        return now < self._heard_leader_at + self._election_timeout and self.leader is not None

    def _delay_election(self, now: float) -> None:
        """Put the next election off by a random time of one to two timeouts."""
        self._election_at = now + self._election_timeout * (1 + self._rng.random())

    def _set_ballot(self, ballot: Ballot) -> None:
        """Take and record a ballot."""
        if ballot != Ballot(self._term, self._voted_for):
            self._term, self._voted_for = ballot
            self._journal.record_ballot(ballot)

    def _observe_term(self, term: int) -> None:
        """Follow when another replica is in a later term."""
        if term > self._term:
            self._set_ballot(Ballot(term, None))
            self._role = Follower()

    def _lead(self, now: float) -> None:
        """Become the leader and open the term with an entry of its own."""
        others = [voter.host for voter in self._voters if voter.host != self._host]
        next_index = dict.fromkeys(others, self.last_index + 1)
        self._role = Leader(next_index=next_index, match_index=dict.fromkeys(others, 0))
        self._append_own(Noop(), now)

    def _append_own(self, command: Command, stamped_at: float) -> int:
        """Append a command of this leader to its log."""
        entry = Entry(self.last_index + 1, self._term, command, stamped_at)
        self._entries.append(entry)
        self._journal.record_entries((entry,))
        return entry.position

    def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        """Keep the entries that match the log and replace it from the first that doesn't."""
        for position, entry in enumerate(entries):
            if entry.position <= self.last_index and self._term_of(entry.position) == entry.term:
                continue
            del self._entries[entry.position - 1 :]
            self._entries.extend(entries[position:])
            self._synced = min(self._synced, entry.position - 1)
            self._journal.record_entries(entries[position:])
            return

    def _append_reply(self, *, matched: bool, index: int) -> AppendReply:
        """Return the reply to an Append message."""
        return AppendReply(term=self._term, voter=self._host, matched=matched, index=index)

    def _term_of(self, index: int) -> int:
        """Return the term of the entry at an index, 0 before the first."""
        return self._entries[index - 1].term if index else 0

    def _commit_majority(self) -> None:
        """Commit what a majority has synced, if it ends in an entry of this term."""
        assert isinstance(self._role, Leader)
        synced = sorted([self._synced, *self._role.match_index.values()])
        index = synced[-self._majority]
        # An entry of an older term commits only under one of this term, because a later
        # leader could otherwise still replace it although a majority holds it.
        if index > self._commit and self._term_of(index) == self._term:
            self._commit_to(index)

    def _commit_to(self, index: int) -> None:
        """Apply the log to the catalogue up to a committed index."""
        self._commit = max(self._commit, index)
        while self._applied < self._commit:
            entry = self._entries[self._applied]
            self._applied += 1
            match entry.command:
                case Write(change=change):
                    self._catalogue.apply(change, accepted_at=entry.stamped_at)
                case Noop():
                    pass
