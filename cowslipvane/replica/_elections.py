"""The term, the ballot and the role of a replica, and the rules of votes."""

from __future__ import annotations

from cowslipvane.replica._election_timer import ElectionTimer
from cowslipvane.replica._group import Voter
from cowslipvane.replica._identities import Identities
from cowslipvane.replica._journal import Ballot, Journal
from cowslipvane.replica._messages import (
    Noop,
    PreVote,
    PreVoteReply,
    TakeOver,
    Vote,
    VoteReply,
)
from cowslipvane.replica._replicated_state import ReplicatedState
from cowslipvane.replica._roles import Candidate, Follower, Leader, PreCandidate, Role
from cowslipvane.types import HostName


class Elections:
    """Elects one replica or another as the leader of a term, at most one in each."""

    def __init__(
        self,
        *,
        host: HostName,
        identities: Identities,
        state: ReplicatedState,
        journal: Journal,
        ballot: Ballot,
        timer: ElectionTimer,
    ) -> None:
        self._host = host
        self._identities = identities
        self._state = state
        self._journal = journal
        self._term, self._voted_for = ballot
        self._timer = timer
        self._role: Role = Follower()
        self._is_stopping = False
        self._is_disk_full = False
        self._has_deferred = False

    @property
    def role(self) -> Role:
        """Return the role of the replica in its term."""
        return self._role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._term

    @property
    def ballot(self) -> Ballot:
        """Return the current ballot."""
        return Ballot(self._term, self._voted_for)

    @property
    def timer(self) -> ElectionTimer:
        """Return the vote lease and the timer of elections."""
        return self._timer

    @property
    def is_stopping(self) -> bool:
        """Return whether the process is stopping."""
        return self._is_stopping

    @property
    def leader(self) -> HostName | None:
        """Return the leader of the term, or None while it is unknown."""
        match self._role:
            case Leader():
                return self._host
            case Follower(leader=leader):
                return leader
            case PreCandidate() | Candidate():
                return None

    def holds_lease(self, now: float) -> bool:
        """Return whether this leader's lease is valid, so that no later leader can exist yet.

        Before an entry of its term is committed, the catalogue may lack accepted changes, so the
        lease doesn't count yet.
        """
        if not isinstance(self._role, Leader) or not self._state.has_committed_in(self._term):
            return False
        return (
            now
            < self._role.quorum_contact(self._state.group, self._host, now)
            + self._timer.leader_lease
        )

    def is_current(self, now: float) -> bool:
        """Return whether this replica's committed state is at most one election timeout old."""
        match self._role:
            case Leader():
                return self.holds_lease(now)
            case _:
                return self._timer.is_following(now)

    def check_quorum(self, now: float) -> bool:
        """Step down if removed or without contact with a quorum; return whether it did."""
        if not isinstance(self._role, Leader):
            return False
        removed = not self._is_voter and self._state.group_is_committed
        if not removed and self._has_quorum_contact(self._role, now):
            return False
        self._role = Follower()
        self._timer.reset(now)
        return True

    def start_pre_vote(self, now: float) -> None:
        """Start collecting pre-votes, which leaves the current term unchanged."""
        self._timer.reset(now)
        if not self._is_voter or self._is_stopping or self._is_disk_full:
            return
        # A replica that has just started may have granted a leader a vote lease.
        votes = set() if self._timer.has_granted_lease(now) else {self._host}
        self._role = PreCandidate(votes=votes, idle={self._host})
        self._start_election_if_granted(self._role, now)

    def start_election(self, now: float, *, released: bool = False) -> None:
        """Become a candidate in a new term; released is as in a Vote message."""
        self._set_ballot(Ballot(self._term + 1, self._host))
        self._role = Candidate(votes=set(), released=released)
        self._timer.reset(now)

    def mark_stopping(self) -> None:
        """Refuse changes and start no pre-vote from now on, because the process is stopping."""
        self._is_stopping = True

    def set_disk_full(self, is_full: bool) -> None:
        """Start no pre-vote while the disk takes no more, since nothing could be acknowledged."""
        self._is_disk_full = is_full

    def resign(self, now: float) -> None:
        """Step down, if this replica leads, without a successor."""
        if isinstance(self._role, Leader):
            self._role = Follower()
            self._timer.reset(now)

    def hand_over(self, now: float) -> Voter | None:
        """Step down in favour of a voter with the complete log; return it, or None without one.

        This ends the lease, so that the voters need not wait until it expires.
        """
        if not isinstance(self._role, Leader):
            return None
        successor = self._role.successor(self._state, own=self._host)
        if successor is not None:
            self._role = Follower()
            self._timer.reset(now)
        return successor

    def take_over(self, request: TakeOver, now: float) -> bool:
        """Start an election if the leader of this term requests it; return whether it did."""
        if request.term != self._term or not isinstance(self._role, Follower) or not self._is_voter:
            return False
        if self._is_disk_full:
            return False
        self.start_election(now, released=True)
        return True

    def handle_pre_vote(self, request: PreVote, now: float) -> PreVoteReply:
        """Return whether a vote would be granted, without any change of state."""
        is_eligible = (
            request.term > self._term
            and (request.last_term, request.last_index) >= self._state.last_position
        )
        # A candidate may still become leader in this term.
        may_lead = isinstance(self._role, Leader | Candidate)
        knows_leader = may_lead or self._timer.is_following(now)
        return PreVoteReply(
            term=self._term,
            proposed=request.term,
            voter=self._host,
            granted=is_eligible and not self._must_refuse_votes(now),
            idle=is_eligible and not knows_leader,
        )

    def handle_pre_vote_reply(self, reply: PreVoteReply, now: float) -> None:
        """Count a pre-vote, and start an election once a majority has granted theirs."""
        self.observe_term(reply.term)
        if not isinstance(self._role, PreCandidate) or reply.proposed != self._term + 1:
            return
        if reply.granted:
            self._role.votes.add(reply.voter)
        # A voter in an earlier term could still become leader in that term.
        if reply.idle and reply.term == self._term:
            self._role.idle.add(reply.voter)
        self._start_election_if_granted(self._role, now)

    def record_identity_mismatch(self, voter: HostName, now: float) -> None:
        """Record that a voter can't lead, because its host responds with another identity."""
        if isinstance(self._role, PreCandidate):
            self._role.idle.add(voter)
            self._role.replaced.add(voter)
            self._start_election_if_granted(self._role, now)

    def record_own_vote(self, term: int, now: float) -> None:
        """Count this replica's vote for itself, once its ballot is synced."""
        self.handle_vote_reply(VoteReply(term=term, voter=self._host, granted=True), now)

    def handle_vote(self, request: Vote, now: float) -> VoteReply:
        """Grant or refuse a vote; the reply may be sent only after a sync."""
        # A released vote belongs to the term after that of the leader that gave up its lease, and
        # that leader was elected after all leases of earlier terms had ended.
        released = request.released and request.term > self._term
        if self._must_refuse_votes(now) and not released:
            return VoteReply(term=self._term, voter=self._host, granted=False)
        self.observe_term(request.term)
        granted = (
            request.term == self._term
            and self._voted_for in (None, request.candidate)
            and (request.last_term, request.last_index) >= self._state.last_position
        )
        if granted:
            self._set_ballot(Ballot(self._term, request.candidate))
            self._role = Follower()
            self._timer.reset(now)
        return VoteReply(term=self._term, voter=self._host, granted=granted)

    def handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote, and become the leader once a majority has granted theirs."""
        self.observe_term(reply.term)
        if not isinstance(self._role, Candidate) or reply.term != self._term or not reply.granted:
            return
        self._role.votes.add(reply.voter)
        if self._is_quorum(self._role.votes):
            self._become_leader(now)

    def vote_request_for(self, voter: HostName) -> PreVote | Vote | None:
        """Return the pre-vote or vote request that a voter hasn't granted yet, or None."""
        last_term, last_index = self._state.last_position
        match self._role:
            case PreCandidate(votes=votes) if voter not in votes:
                return PreVote(
                    term=self._term + 1,
                    candidate=self._host,
                    last_index=last_index,
                    last_term=last_term,
                )
            # A candidate requests no vote before its own ballot is synced. Otherwise a crash could
            # make it a candidate in the same term again, with another log.
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

    def observe_term(self, term: int) -> None:
        """Become a follower in a later term, if another replica is in one."""
        if term > self._term:
            self._set_ballot(Ballot(term, None))
            self._role = Follower()

    def follow(self, term: int, leader: HostName, now: float) -> bool:
        """Follow a leader; return False if its term is over."""
        self.observe_term(term)
        if term < self._term:
            return False
        self._role = Follower(leader=leader)
        self._timer.record_leader_contact(now)
        return True

    @property
    def _is_voter(self) -> bool:
        """Return whether the group has this replica as a voter."""
        return self._identities.is_voter(self._state.group)

    def _start_election_if_granted(self, role: PreCandidate, now: float) -> None:
        """Start an election once a majority grants it, or once all voters are idle.

        After a restart of all processes there is no leader for their vote leases to protect. A
        voter that reports idle in this term doesn't lead, so it holds no lease, and had no message
        from a leader within the last election timeout. All replicas find out at the same time that
        all voters are idle, so they start elections one after another: several candidates in a term
        can split the vote.
        """
        if role.idle >= {voter.host for voter in self._state.group.voters}:
            if role.first_candidate == self._host or self._has_deferred:
                self.start_election(now, released=True)
            else:
                self._has_deferred = True
                self._role = Follower()
                self._timer.defer(now)
        elif self._is_quorum(role.votes):
            self.start_election(now)

    def _is_quorum(self, hosts: set[HostName]) -> bool:
        """Return whether hosts include a majority of the voters."""
        return (
            len(hosts & {voter.host for voter in self._state.group.voters})
            >= self._state.group.majority
        )

    def _has_quorum_contact(self, role: Leader, now: float) -> bool:
        """Return whether a majority replied to this leader within the election timeout."""
        return (
            now
            < max(role.elected_at, role.quorum_contact(self._state.group, self._host, now))
            + self._timer.election_timeout
        )

    def _must_refuse_votes(self, now: float) -> bool:
        """Return whether to refuse votes that aren't released.

        A leader does so while it has contact with a quorum, any other replica while a leader may
        rely on its vote lease.
        """
        if isinstance(self._role, Leader):
            return self._has_quorum_contact(self._role, now)
        return self._timer.has_granted_lease(now)

    def _set_ballot(self, ballot: Ballot) -> None:
        """Set the ballot and record it in the journal."""
        if ballot != self.ballot:
            self._term, self._voted_for = ballot
            self._journal.record_ballot(ballot)

    def _become_leader(self, now: float) -> None:
        """Become the leader and append the first entry of the term."""
        self._role = Leader(elected_at=now)
        self._state.append(self._term, Noop(), now)
