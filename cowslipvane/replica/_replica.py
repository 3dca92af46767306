"""The replica: the rules of voting, replication and commitment."""

from __future__ import annotations

import random

from cowslipvane.catalogue import Catalogue, Change
from cowslipvane.replica._group import (
    UNBOUND,
    Group,
    GroupChange,
    GroupChangeRefused,
    Promote,
    Remove,
    Voter,
    changed_group,
)
from cowslipvane.replica._history import History
from cowslipvane.replica._journal import Ballot, Journal, Recovered
from cowslipvane.replica._messages import (
    Append,
    AppendReply,
    Command,
    Install,
    Noop,
    PreVote,
    PreVoteReply,
    Regroup,
    Report,
    TakeOver,
    Vote,
    VoteReply,
    Write,
)
from cowslipvane.replica._promise import Promise
from cowslipvane.replica._roles import Candidate, Follower, Leader, PreCandidate, Role
from cowslipvane.types import HostName, ReplicaId, Seconds

# Applied entries after which the log is replaced by a snapshot.
COMPACT_AFTER_ENTRIES = 1000


class Replica:
    """One voter of the group, with its log and the catalogue that the log builds."""

    def __init__(
        self,
        *,
        host: HostName,
        replica_id: ReplicaId,
        founders: tuple[Voter, ...],
        journal: Journal,
        recovered: Recovered,
        election_timeout: Seconds,
        rng: random.Random,
        now: float,
        compact_after: int = COMPACT_AFTER_ENTRIES,
    ) -> None:
        self._host = host
        self._replica_id = replica_id
        self._journal = journal
        self._term = recovered.ballot.term
        self._voted_for = recovered.ballot.voted_for
        self._history = History(
            founders=founders, journal=journal, recovered=recovered, compact_after=compact_after
        )
        self._identities = {host: replica_id}
        self._role: Role = Follower()
        self._promise = Promise(election_timeout=election_timeout, rng=rng, now=now)
        self._reports: dict[HostName, Report] = {}
        self._is_retiring = False
        self._stood_aside = False

    @property
    def host(self) -> HostName:
        """Return this replica's host."""
        return self._host

    @property
    def replica_id(self) -> ReplicaId:
        """Return the identity of this replica's data folder."""
        return self._replica_id

    @property
    def group(self) -> Group:
        """Return the group in force, which may not be committed yet."""
        return self._history.group

    @property
    def is_voter(self) -> bool:
        """Return whether this replica votes, under the identity of its data folder."""
        own = self.group.voter(self._host)
        return own is not None and own.replica_id in (UNBOUND, self._replica_id)

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
        return self._history.catalogue

    @property
    def commit(self) -> int:
        """Return the index up to which the log is committed."""
        return self._history.commit

    @property
    def last_index(self) -> int:
        """Return the index of the last entry of the log."""
        return self._history.last_index

    @property
    def election_due_at(self) -> float:
        """Return when to stand for election unless a leader is heard before."""
        return self._promise.stand_at

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
            case PreCandidate() | Candidate():
                return None

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can have become leader by now."""
        if not isinstance(self._role, Leader) or not self._history.has_committed_in(self._term):
            return False
        return now < self._role.quorum_contact(self.group, self._host, now) + self._promise.lease

    def is_current(self, now: float) -> bool:
        """Return whether what is committed here can't be older than an election timeout."""
        match self._role:
            case Leader():
                return self.holds_lease(now)
            case _:
                return self._promise.is_following(now)

    def check_quorum(self, now: float) -> bool:
        """Stop leading when no quorum was in contact for too long; return whether it stopped."""
        if not isinstance(self._role, Leader):
            return False
        removed = not self.is_voter and self._history.group_is_committed
        if not removed and self._has_contact(self._role, now):
            return False
        self._role = Follower()
        self._promise.delay(now)
        return True

    def start_pre_vote(self, now: float) -> None:
        """Ask the voters whether they would elect this replica, in the term it is in."""
        self._promise.delay(now)
        if not self.is_voter or self._is_retiring:
            return
        # A replica that has just started may have promised a leader not to vote for itself.
        votes = set() if self._promise.binds(now) else {self._host}
        self._role = PreCandidate(votes=votes, idle={self._host})
        self._stand_if_elected(self._role, now)

    def start_election(self, now: float, *, released: bool = False) -> None:
        """Become a candidate in a new term; released is as in a request for a vote."""
        self._set_ballot(Ballot(self._term + 1, self._host))
        self._role = Candidate(votes=set(), released=released)
        self._promise.delay(now)

    def stop_accepting_writes(self) -> None:
        """Take no more changes, because this replica's process is stopping."""
        self._is_retiring = True

    def hand_over(self, now: float) -> Voter | None:
        """Stop leading in favour of a voter that holds everything, and return it if there is one.

        The lease ends with this, so that the voters needn't wait for it.
        """
        if not isinstance(self._role, Leader):
            return None
        successor = self._role.successor(self._history, own=self._host)
        if successor is not None:
            self._role = Follower()
            self._promise.delay(now)
        return successor

    def take_over(self, request: TakeOver, now: float) -> bool:
        """Stand at once, if the leader of this term asks for it; return whether it does."""
        if request.term != self._term or not isinstance(self._role, Follower) or not self.is_voter:
            return False
        self.start_election(now, released=True)
        return True

    def handle_pre_vote(self, request: PreVote, now: float) -> PreVoteReply:
        """Say whether a vote would be granted; this changes nothing."""
        fits = (
            request.term > self._term and (request.last_term, request.last_index) >= self._position
        )
        knows_leader = isinstance(self._role, Leader) or self._promise.is_following(now)
        return PreVoteReply(
            term=self._term,
            proposed=request.term,
            voter=self._host,
            granted=fits and not self._hears_leader(now),
            idle=fits and not knows_leader,
        )

    def handle_pre_vote_reply(self, reply: PreVoteReply, now: float) -> None:
        """Count a willing voter, and stand once a majority is willing."""
        self._observe_term(reply.term)
        if not isinstance(self._role, PreCandidate) or reply.proposed != self._term + 1:
            return
        if reply.granted:
            self._role.votes.add(reply.voter)
        # A voter that lags in an earlier term could still come to lead in that one.
        if reply.idle and reply.term == self._term:
            self._role.idle.add(reply.voter)
        self._stand_if_elected(self._role, now)

    def record_identity_mismatch(self, voter: HostName, now: float) -> None:
        """Count a voter as unable to lead, because another identity answers in its place."""
        if isinstance(self._role, PreCandidate):
            self._role.idle.add(voter)
            self._role.absent.add(voter)
            self._stand_if_elected(self._role, now)

    def record_own_vote(self, term: int, now: float) -> None:
        """Count the replica's vote for itself, once its ballot is synced."""
        self.handle_vote_reply(VoteReply(term=term, voter=self._host, granted=True), now)

    def handle_vote(self, request: Vote, now: float) -> VoteReply:
        """Grant or refuse a vote; the reply may leave only after a sync."""
        # A released vote is of the term after that of the leader that gave up its lease, and that
        # one was elected after all leases of earlier terms had ended.
        released = request.released and request.term > self._term
        if self._hears_leader(now) and not released:
            return VoteReply(term=self._term, voter=self._host, granted=False)
        self._observe_term(request.term)
        granted = (
            request.term == self._term
            and self._voted_for in (None, request.candidate)
            and (request.last_term, request.last_index) >= self._position
        )
        if granted:
            self._set_ballot(Ballot(self._term, request.candidate))
            self._role = Follower()
            self._promise.delay(now)
        return VoteReply(term=self._term, voter=self._host, granted=granted)

    def handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote, and lead once a majority has granted theirs."""
        self._observe_term(reply.term)
        if not isinstance(self._role, Candidate) or reply.term != self._term or not reply.granted:
            return
        self._role.votes.add(reply.voter)
        if self._is_quorum(self._role.votes):
            self._lead(now)

    def handle_append(self, append: Append, now: float) -> AppendReply:
        """Take entries from the leader; the reply may leave only after a sync."""
        if not self._follow(append.term, append.leader, now):
            return self._append_reply(matched=False, index=0)
        if append.previous_index > self.last_index:
            return self._append_reply(matched=False, index=self.last_index)
        # What lies before the base is committed, so it is the same in every log.
        reaches_back = append.previous_index < self._history.base_index
        if (
            not reaches_back
            and self._history.term_of(append.previous_index) != append.previous_term
        ):
            # The leader may have nothing of this term, so it goes back the whole term at once.
            index = self._history.start_of_term(append.previous_index) - 1
            return self._append_reply(matched=False, index=max(index, self.commit))
        self._history.take(append.entries)
        matched = append.previous_index + len(append.entries)
        self._commit_to(min(append.commit, matched))
        return self._append_reply(matched=True, index=matched)

    def handle_install(self, install: Install, now: float) -> AppendReply:
        """Take a snapshot from the leader; the reply may leave only after a sync."""
        if not self._follow(install.term, install.leader, now):
            return self._append_reply(matched=False, index=0)
        self._history.install(install.snapshot, self._ballot)
        return self._append_reply(matched=True, index=install.snapshot.position)

    def next_message_for(self, voter: HostName) -> Append | Install | None:
        """Return what a voter needs next, or None when this replica doesn't lead."""
        if not isinstance(self._role, Leader):
            return None
        return self._role.next_for(voter, self._history, leader=self._host, term=self._term)

    def vote_request_for(self, voter: HostName) -> PreVote | Vote | None:
        """Return the request that a voter has not granted yet, or None."""
        last_term, last_index = self._position
        match self._role:
            case PreCandidate(votes=votes) if voter not in votes:
                return PreVote(
                    term=self._term + 1,
                    candidate=self._host,
                    last_index=last_index,
                    last_term=last_term,
                )
            # A candidate whose own ballot isn't synced could forget that it stood in this
            # term, and stand in it again with another log; so it asks for no vote before.
            case Candidate(votes=votes) if voter not in votes and self._host in votes:
                return Vote(
                    term=self._term,
                    candidate=self._host,
                    last_index=last_index,
                    last_term=last_term,
                    released=self._role.released,
                )
            case _:
                return None

    def is_behind(self, voter: HostName) -> bool:
        """Return whether a voter lacks entries or the newest commit index of this leader."""
        return isinstance(self._role, Leader) and self._role.lacks(voter, self._history)

    def handle_append_reply(self, reply: AppendReply, *, sent_at: float) -> None:
        """Count what a voter has synced, and commit what a majority has."""
        self._observe_term(reply.term)
        if not isinstance(self._role, Leader) or reply.term != self._term:
            return
        self._role.count_contact(reply.voter, sent_at)
        if not reply.matched:
            self._role.count_refusal(reply.voter, min(reply.index, self.last_index - 1))
            return
        self._role.count_match(reply.voter, reply.index)
        self._commit_majority()

    def check_identity(self, host: HostName, replica_id: ReplicaId) -> bool:
        """Return whether an identity is the member on a host; a founder's first one is."""
        member = self.group.member(host)
        if member is None:
            return False
        return replica_id == (member.replica_id or self._identities.setdefault(host, replica_id))

    def change_group(self, change: GroupChange, *, stamped_at: float) -> int | GroupChangeRefused:
        """Append a change of the group, one at a time, and return its index."""
        if not isinstance(self._role, Leader):
            return GroupChangeRefused(reason="this replica doesn't lead")
        group = changed_group(self.group, change)
        if isinstance(group, GroupChangeRefused):
            return group
        if group == self.group:
            return self._history.group_changed_at
        if not self._history.group_is_committed:
            return GroupChangeRefused(reason="another change of the group is under way; try again")
        # Until an entry of its own term is committed, a leader can't know whether a change of
        # an earlier leader still stands, and two changes at once may have disjoint quorums.
        if not self._history.has_committed_in(self._term):
            return GroupChangeRefused(
                reason="this leader has committed nothing of its term yet; try again"
            )
        for member in self.group.members:
            if group.member(member.host) != member:
                self._role.forget(member.host)
        return self._append_own(Regroup(group=group), stamped_at)

    def maintain_group(self, *, stamped_at: float, now: float) -> int | None:
        """Make the change that the group needs, if any, and return its index.

        Founders that have been met are bound, a learner that has all is promoted, and a voter that
        is gone is taken out.
        """
        if not isinstance(self._role, Leader) or not self._history.group_is_committed:
            return None
        bound = self.group.bound(self._identities)
        if bound != self.group and sum(bool(v.replica_id) for v in bound.voters) >= bound.majority:
            return self._append_own(Regroup(group=bound), stamped_at)
        change = self._needed_change(self._role, now)
        if change is None:
            return None
        changed = self.change_group(change, stamped_at=stamped_at)
        return changed if isinstance(changed, int) else None

    def _needed_change(self, role: Leader, now: float) -> GroupChange | None:
        """Return the change of the group that replaces what is lost."""
        for learner in self.group.learners:
            if role.matched(learner.host) >= max(self.commit, 1):
                return Promote(learner=learner)
        gone = role.gone(self.group, now, own=self._host)
        return None if gone is None else Remove(host=gone.host)

    def propose(self, change: Change, *, stamped_at: float) -> int | None:
        """Append a change to the leader's log and return its index; None when not the leader."""
        if not isinstance(self._role, Leader) or self._is_retiring:
            return None
        return self._append_own(Write(change=change), stamped_at)

    def record_synced(self, index: int) -> None:
        """Count this replica's own log as synced up to an index."""
        self._history.count_synced(index)
        if isinstance(self._role, Leader):
            self._commit_majority()

    def record_report(self, report: Report) -> None:
        """Keep what a proxy says that it has in force, unless something newer is known."""
        held = self._reports.get(report.host)
        if held is None or report.changed_at >= held.changed_at:
            self._reports[report.host] = report

    @property
    def _position(self) -> tuple[int, int]:
        """Return term and index of the last entry, by which logs are compared."""
        return self._history.position

    @property
    def _ballot(self) -> Ballot:
        """Return the ballot that a journal begun anew starts with."""
        return Ballot(self._term, self._voted_for)

    def _is_quorum(self, hosts: set[HostName]) -> bool:
        """Return whether hosts include a majority of the voters."""
        return len(hosts & {voter.host for voter in self.group.voters}) >= self.group.majority

    def _stand_if_elected(self, role: PreCandidate, now: float) -> None:
        """Stand once a majority is willing, or once no voter can hold a lease.

        When all processes have restarted, none leads, and their promises bind them to nobody. Each
        voter that says so in this term can lead only in a later one. All find that out at once, so
        that they stand one after another: several candidates in a term may get no majority.
        """
        if role.idle >= {voter.host for voter in self.group.voters}:
            if role.preferred == self._host or self._stood_aside:
                self.start_election(now, released=True)
            else:
                self._stood_aside = True
                self._role = Follower()
                self._promise.stand_aside(now)
        elif self._is_quorum(role.votes):
            self.start_election(now)

    def _has_contact(self, role: Leader, now: float) -> bool:
        """Return whether a majority answered this leader within the election timeout."""
        return (
            now
            < max(role.since, role.quorum_contact(self.group, self._host, now))
            + self._promise.election_timeout
        )

    def _hears_leader(self, now: float) -> bool:
        """Return whether a leader was heard too recently to vote for another."""
        if isinstance(self._role, Leader):
            return self._has_contact(self._role, now)
        return self._promise.binds(now)

    def _set_ballot(self, ballot: Ballot) -> None:
        """Take and record a ballot."""
        if ballot != self._ballot:
            self._term, self._voted_for = ballot
            self._journal.record_ballot(ballot)

    def _observe_term(self, term: int) -> None:
        """Follow when another replica is in a later term."""
        if term > self._term:
            self._set_ballot(Ballot(term, None))
            self._role = Follower()

    def _follow(self, term: int, leader: HostName, now: float) -> bool:
        """Follow a leader, and return False when its term is over."""
        self._observe_term(term)
        if term < self._term:
            return False
        self._role = Follower(leader=leader)
        self._promise.hear(now)
        return True

    def _lead(self, now: float) -> None:
        """Become the leader and open the term with an entry of its own."""
        self._role = Leader(since=now)
        self._append_own(Noop(), now)

    def _append_own(self, command: Command, stamped_at: float) -> int:
        """Append a command of this leader to its log."""
        return self._history.append(self._term, command, stamped_at)

    def _append_reply(self, *, matched: bool, index: int) -> AppendReply:
        """Return the reply to an Append message."""
        return AppendReply(term=self._term, voter=self._host, matched=matched, index=index)

    def _commit_majority(self) -> None:
        """Commit what a majority has synced, if it ends in an entry of this term."""
        assert isinstance(self._role, Leader)
        index = self._role.synced_by_majority(self._history, own=self._host)
        # An entry of an older term commits only under one of this term, because a later
        # leader could otherwise still replace it although a majority holds it.
        if index > self.commit and self._history.term_of(index) == self._term:
            self._commit_to(index)

    def _commit_to(self, index: int) -> None:
        """Apply the log to the catalogue up to a committed index."""
        self._history.commit_to(index, self._ballot)
