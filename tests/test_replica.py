"""Tests of the replica's rules, with journals in memory."""

import random
import unittest

from cowslipvane.catalogue import Accepted, Change, Key, Service, export_state
from cowslipvane.replica import (
    Add,
    Append,
    AppendReply,
    Ballot,
    Candidate,
    Entry,
    Follower,
    GroupChange,
    GroupChangeRefused,
    Install,
    Leader,
    LogSnapshot,
    Noop,
    PreCandidate,
    PreVote,
    PreVoteReply,
    Recovered,
    Remove,
    Replace,
    Replica,
    TakeOver,
    Vote,
    Voter,
    VoteReply,
)
from cowslipvane.replica._roles import VOTER_REMOVAL_TIMEOUT
from cowslipvane.types import Address, HostName, OperationId, ReplicaId, Version

TIMEOUT = 1.0
HOSTS = tuple(HostName(name) for name in "abc")
A, B, C = HOSTS


def replica_id(host: str) -> ReplicaId:
    """Return the identity of the data folder on a host."""
    return ReplicaId(f"id-{host}")


def member(host: str) -> Voter:
    """Return a member of the group that has been met."""
    return Voter(HostName(host), Address("127.0.0.1", 1), replica_id(host))


class MemoryJournal:
    """Remembers what was recorded, and how much of it is synced."""

    def __init__(self) -> None:
        self.ballots: list[Ballot] = []
        self.entries: list[Entry] = []
        self.snapshots: list[LogSnapshot] = []

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""
        self.ballots.append(ballot)

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries."""
        self.entries.extend(entries)

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Record a snapshot."""
        self.snapshots.append(snapshot)

    async def sync(self) -> None:
        """Return at once."""

    async def wait_for_failure(self) -> None:
        """Return at once."""


def make_replica(
    host: HostName = A,
    *,
    now: float = 0.0,
    term: int = 0,
    entry_terms: tuple[int, ...] = (),
    own_id: ReplicaId | None = None,
    founders: tuple[Voter, ...] = (),
    compact_after: int = 100,
) -> Replica:
    """Return a replica of three, recovered with entries of some terms."""
    entries = tuple(
        Entry(i, entry_term, Noop(), 0.0) for i, entry_term in enumerate(entry_terms, 1)
    )
    return Replica(
        host=host,
        replica_id=own_id or replica_id(host),
        founders=founders or tuple(member(name) for name in HOSTS),
        journal=MemoryJournal(),
        recovered=Recovered(Ballot(term, None), entries),
        election_timeout=TIMEOUT,
        rng=random.Random(7),
        now=now,
        compact_after=compact_after,
    )


def elect(replica: Replica, *voters: HostName, now: float) -> None:
    """Let a replica be elected by itself and others."""
    replica.start_election(now)
    for voter in (replica.host, *voters):
        replica.handle_vote_reply(VoteReply(term=replica.term, voter=voter, granted=True), now)


def vote(term: int, *, candidate: HostName = B, index: int = 0, last_term: int = 0) -> Vote:
    """Return a request for a vote."""
    return Vote(term=term, candidate=candidate, last_index=index, last_term=last_term)


def heartbeat(term: int, *, leader: HostName = B, commit: int = 0) -> Append:
    """Return an Append without entries."""
    return Append(
        term=term, leader=leader, previous_index=0, previous_term=0, entries=(), commit=commit
    )


def matched(voter: HostName, term: int, index: int) -> AppendReply:
    """Return the reply of a voter that has the log up to an index."""
    return AppendReply(term=term, voter=voter, matched=True, index=index)


class VotingTest(unittest.TestCase):
    """Who votes for whom, and when."""

    def test_a_restarted_voter_is_silent_for_an_election_timeout(self) -> None:
        """It may have promised a leader, before the restart, to elect nobody else."""
        replica = make_replica(now=10.0)
        self.assertFalse(replica.handle_vote(vote(1), 10.0 + TIMEOUT * 0.99).granted)
        self.assertTrue(replica.handle_vote(vote(1), 10.0 + TIMEOUT).granted)

    def test_a_voter_that_forgot_its_leader_still_keeps_its_promise(self) -> None:
        """A later term learnt from a reply frees no voter."""
        replica = make_replica()
        replica.handle_append(heartbeat(1), 5.0)
        replica.handle_vote_reply(VoteReply(term=4, voter=C, granted=False), 5.1)
        self.assertFalse(replica.handle_vote(vote(5), 5.0 + TIMEOUT * 0.99).granted)
        self.assertTrue(replica.handle_vote(vote(5), 5.0 + TIMEOUT).granted)

    def test_a_leader_in_contact_is_not_deposed_by_a_candidate(self) -> None:
        """Neither its vote nor its term changes."""
        replica = make_replica()
        elect(replica, B, now=2.0)
        replica.handle_append_reply(matched(B, 1, 1), sent_at=4.0)
        self.assertFalse(
            replica.handle_vote(vote(9, candidate=C, index=9, last_term=8), 4.5).granted
        )
        self.assertEqual((replica.term, type(replica.role)), (1, Leader))

    def test_a_pre_vote_changes_nothing_and_needs_silence_and_a_whole_log(self) -> None:
        """A replica that comes back disturbs no healthy leader."""
        replica = make_replica(term=3, entry_terms=(1, 3))
        replica.handle_append(heartbeat(3), 5.0)
        ask = PreVote(term=9, candidate=C, last_index=2, last_term=3)
        self.assertFalse(replica.handle_pre_vote(ask, 5.5).granted)
        self.assertTrue(replica.handle_pre_vote(ask, 6.0).granted)
        behind = PreVote(term=9, candidate=C, last_index=9, last_term=2)
        self.assertFalse(replica.handle_pre_vote(behind, 6.0).granted)
        self.assertEqual((replica.term, replica.leader), (3, B))

    def test_a_canvass_keeps_the_term_until_a_majority_is_willing(self) -> None:
        """Only then does the replica stand."""
        replica = make_replica(term=3)
        replica.start_pre_vote(2.0)
        refused = PreVoteReply(term=3, proposed=4, voter=B, granted=False)
        replica.handle_pre_vote_reply(refused, 2.0)
        self.assertEqual((replica.term, type(replica.role)), (3, PreCandidate))
        replica.handle_pre_vote_reply(PreVoteReply(term=3, proposed=4, voter=C, granted=True), 2.0)
        self.assertEqual((replica.term, type(replica.role)), (4, Candidate))

    def test_a_candidate_asks_for_votes_only_after_its_own_ballot_is_synced(self) -> None:
        """Else a crash could make it stand twice in one term."""
        replica = make_replica()
        replica.start_election(2.0)
        self.assertIsNone(replica.vote_request_for(B))
        replica.record_own_vote(1, 2.0)
        self.assertIsInstance(replica.vote_request_for(B), Vote)

    def test_a_vote_of_an_older_term_or_of_a_stranger_counts_nothing(self) -> None:
        """Late replies don't elect."""
        replica = make_replica()
        replica.start_election(2.0)
        replica.start_election(3.0)
        replica.record_own_vote(2, 3.0)
        replica.handle_vote_reply(VoteReply(term=1, voter=B, granted=True), 3.0)
        replica.handle_vote_reply(VoteReply(term=2, voter=HostName("x"), granted=True), 3.0)
        self.assertIsInstance(replica.role, Candidate)
        replica.handle_vote_reply(VoteReply(term=2, voter=B, granted=True), 3.0)
        self.assertIsInstance(replica.role, Leader)


class HandOverTest(unittest.TestCase):
    """How a leader that is stopping lets another one lead."""

    def setUp(self) -> None:
        """Let a leader of term 1 have a voter that holds its log, and one that lags."""
        self.leader = make_replica()
        elect(self.leader, B, now=2.0)
        self.leader.record_synced(1)

    def follower(self, host: HostName) -> Replica:
        """Return a voter that has just heard the leader."""
        replica = make_replica(host, now=-9.0)
        append = self.leader.next_message_for(host)
        assert isinstance(append, Append)
        replica.handle_append(append, 2.4)
        return replica

    def test_a_voter_that_holds_everything_is_elected_at_once(self) -> None:
        """The others needn't wait for the end of the lease, since it is given up."""
        successor, other = self.follower(B), self.follower(C)
        self.leader.handle_append_reply(matched(B, 1, 1), sent_at=2.4)
        self.assertTrue(self.leader.holds_lease(2.5))
        told = self.leader.hand_over(2.5)
        self.assertEqual(told and told.host, B)
        self.assertFalse(self.leader.holds_lease(2.5))
        self.assertTrue(successor.take_over(TakeOver(term=1), 2.5))
        successor.record_own_vote(2, 2.5)
        request = successor.vote_request_for(C)
        assert isinstance(request, Vote)
        successor.handle_vote_reply(other.handle_vote(request, 2.5), 2.5)
        self.assertIsInstance(successor.role, Leader)

    def test_an_election_that_nobody_asked_for_waits_for_the_lease(self) -> None:
        """A candidate of its own accord frees no voter."""
        voter = self.follower(C)
        request = vote(2, index=1, last_term=1)
        self.assertFalse(voter.handle_vote(request, 2.5).granted)

    def test_a_released_vote_of_a_term_that_has_its_leader_frees_nobody(self) -> None:
        """Only leaders of earlier terms have given up their leases."""
        voter = self.follower(C)
        late = Vote(term=1, candidate=B, last_index=9, last_term=1, released=True)
        self.assertFalse(voter.handle_vote(late, 2.5).granted)

    def test_a_leader_whose_log_nobody_holds_goes_on(self) -> None:
        """Its last entries may be nowhere else."""
        self.assertIsNone(self.leader.hand_over(2.5))
        self.assertIsInstance(self.leader.role, Leader)

    def test_a_retiring_leader_takes_no_change(self) -> None:
        """Else the voters might never have caught up with it."""
        self.leader.stop_accepting_writes()
        change = Change(OperationId("o"), Version(0), ())
        self.assertIsNone(self.leader.propose(change, stamped_at=2.5))

    def test_a_late_request_to_take_over_changes_nothing(self) -> None:
        """Another leader may lead by now."""
        replica = self.follower(B)
        replica.handle_append(heartbeat(3, leader=C), 2.6)
        self.assertFalse(replica.take_over(TakeOver(term=1), 2.7))
        self.assertEqual((replica.term, replica.leader), (3, C))


class RestartTest(unittest.TestCase):
    """A group whose processes have all restarted, within the time of their old promises."""

    def setUp(self) -> None:
        """Start three replicas at one moment."""
        self.replicas = {host: make_replica(host, now=10.0, term=4) for host in HOSTS}
        self.replicas[A].start_pre_vote(10.1)

    def ask(self, voter: HostName, now: float = 10.1) -> PreVoteReply:
        """Ask a voter for its pre-vote, and let the first replica count it."""
        request = self.replicas[A].vote_request_for(voter)
        assert isinstance(request, PreVote)
        reply = self.replicas[voter].handle_pre_vote(request, now)
        self.replicas[A].handle_pre_vote_reply(reply, now)
        return reply

    def test_all_that_started_elect_at_once(self) -> None:
        """Nobody leads, so that no promise binds anybody to a lease."""
        self.assertFalse(self.ask(B).granted)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)
        self.ask(C)
        self.replicas[A].record_own_vote(5, 10.1)
        request = self.replicas[A].vote_request_for(B)
        assert isinstance(request, Vote)
        self.replicas[A].handle_vote_reply(self.replicas[B].handle_vote(request, 10.1), 10.1)
        self.assertIsInstance(self.replicas[A].role, Leader)

    def test_one_stands_first_though_all_find_out_at_once(self) -> None:
        """The other one stands a moment later, should the first not lead by then."""
        second = self.replicas[B]
        second.start_pre_vote(10.1)
        for now in (10.1, 10.2):
            for voter in (A, C):
                request = second.vote_request_for(voter)
                assert isinstance(request, PreVote)
                second.handle_pre_vote_reply(
                    self.replicas[voter].handle_pre_vote(request, now), now
                )
            self.assertIsInstance(second.role, Follower if now == 10.1 else Candidate)
            if now == 10.1:
                self.assertLessEqual(second.election_due_at, 10.2)
                second.start_pre_vote(10.2)

    def test_one_that_is_not_heard_may_lead(self) -> None:
        """The promises hold until their time is over."""
        self.ask(B)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)
        self.assertFalse(self.replicas[B].handle_vote(vote(5, candidate=A), 10.2).granted)

    def test_a_voter_that_knows_a_leader_is_not_idle(self) -> None:
        """It has heard it since its start."""
        self.replicas[B].handle_append(heartbeat(4, leader=C), 10.05)
        self.assertFalse(self.ask(B).idle)

    def test_a_leader_is_not_idle(self) -> None:
        """It is asked like any other voter."""
        self.replicas[C] = make_replica(C, term=3)
        elect(self.replicas[C], B, now=10.0)
        self.assertFalse(self.ask(C).idle)

    def test_a_voter_in_an_earlier_term_is_not_counted(self) -> None:
        """It could still be elected in that term, and hold a lease of it."""
        self.replicas[B] = make_replica(B, now=10.0, term=3)
        self.assertTrue(self.ask(B).idle)
        self.ask(C)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)

    def test_another_identity_in_place_of_a_voter_shows_that_it_is_gone(self) -> None:
        """A lost disk doesn't hold the others up."""
        self.ask(B)
        self.replicas[A].record_identity_mismatch(C, 10.1)
        self.assertIsInstance(self.replicas[A].role, Candidate)

    def test_a_replica_that_has_restarted_keeps_its_own_promise(self) -> None:
        """One willing voter and itself are no majority, as long as it may be bound to a leader."""
        self.replicas[B] = make_replica(B, now=-9.0, term=4)
        self.assertTrue(self.ask(B).granted)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)


class LeadingTest(unittest.TestCase):
    """What a leader commits, and for how long it may answer as one."""

    def setUp(self) -> None:
        """Elect a leader in term 3 whose log ends in an entry of term 2."""
        self.replica = make_replica(term=2, entry_terms=(1, 2))
        elect(self.replica, B, now=10.0)

    def test_entries_of_an_older_term_commit_only_under_one_of_this_term(self) -> None:
        """A majority that has an old entry isn't enough."""
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 3, 2), sent_at=10.0)
        self.assertEqual(self.replica.commit, 0)
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=10.0)
        self.assertEqual(self.replica.commit, 3)

    def test_the_leaders_own_entry_counts_only_when_synced(self) -> None:
        """One voter and an unsynced leader are no majority."""
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=10.0)
        self.assertEqual(self.replica.commit, 0)

    def test_a_reply_of_an_older_term_counts_nothing(self) -> None:
        """What a voter had then it may have lost since."""
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 2, 3), sent_at=10.0)
        self.assertEqual(self.replica.commit, 0)
        self.assertFalse(self.replica.holds_lease(10.0))

    def test_only_who_hears_a_leader_is_current(self) -> None:
        """A start is no sign of one, and neither is a leader without a quorum."""
        voter = make_replica(B, now=20.0)
        self.assertFalse(voter.is_current(20.0))
        voter.handle_append(heartbeat(3, leader=A), 20.0)
        self.assertTrue(voter.is_current(20.0 + TIMEOUT * 0.9))
        self.assertFalse(voter.is_current(20.0 + TIMEOUT * 1.1))
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=20.0)
        self.assertTrue(self.replica.is_current(20.5))
        self.assertFalse(self.replica.is_current(20.0 + TIMEOUT * 1.1))

    def test_the_lease_ends_before_a_voter_may_elect_another(self) -> None:
        """The bound is counted from the sending of the last answered message."""
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=20.0)
        voter = make_replica(B)
        voter.handle_append(heartbeat(3, leader=A), 20.0)
        self.assertTrue(self.replica.holds_lease(20.5))
        times = [20.0 + step / 100 for step in range(300)]
        leased = [now for now in times if self.replica.holds_lease(now)]
        electing = [
            now
            for now in times
            if voter.handle_pre_vote(
                PreVote(term=9, candidate=C, last_index=9, last_term=9), now
            ).granted
        ]
        self.assertLess(max(leased), min(electing) - TIMEOUT * 0.05)

    def test_a_leader_without_a_quorum_steps_down(self) -> None:
        """It names no leader, and takes no change."""
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=10.5)
        self.assertFalse(self.replica.check_quorum(11.4))
        self.assertTrue(self.replica.check_quorum(11.5))
        self.assertEqual((type(self.replica.role), self.replica.leader), (Follower, None))
        change = Change(OperationId("x"), Version(0), ())
        self.assertIsNone(self.replica.propose(change, stamped_at=0.0))

    def test_a_change_is_accepted_when_a_majority_has_it(self) -> None:
        """The outcome is known from the commit on."""
        change = Change(OperationId("x"), Version(0), ((Key("service", "s"), Service()),))
        index = self.replica.propose(change, stamped_at=5.0)
        assert index is not None
        self.replica.record_synced(index)
        self.assertIsNone(self.replica.catalogue.outcome(OperationId("x")))
        self.replica.handle_append_reply(matched(C, 3, index), sent_at=10.0)
        self.assertEqual(
            self.replica.catalogue.outcome(OperationId("x")),
            Accepted(version=Version(1), accepted_at=5.0),
        )


class FollowingTest(unittest.TestCase):
    """How a log that differs is mended."""

    def test_a_conflicting_term_is_skipped_at_once(self) -> None:
        """Three rounds mend a log that differs in two terms, and nothing matched is resent."""
        leader = make_replica(A, term=8, entry_terms=(1, 1, 5, 6, 6, 6))
        follower = make_replica(B, term=4, entry_terms=(1, 1, 2, 2, 3, 3, 4))
        elect(leader, C, now=10.0)
        rounds = 0
        while leader.is_behind(B):
            append = leader.next_message_for(B)
            assert isinstance(append, Append)
            leader.handle_append_reply(follower.handle_append(append, 10.0), sent_at=10.0)
            rounds += 1
        self.assertEqual((follower.last_index, follower.term, rounds), (7, 9, 3))
        leader.record_synced(7)
        self.assertEqual(leader.commit, 7)

    def test_a_late_refusal_does_not_take_back_what_matched(self) -> None:
        """Refusals that cross an acknowledgement are harmless."""
        leader = make_replica(A, term=8, entry_terms=(1, 1))
        elect(leader, C, now=10.0)
        leader.handle_append_reply(matched(B, 9, 3), sent_at=10.0)
        late = AppendReply(term=9, voter=B, matched=False, index=0)
        leader.handle_append_reply(late, sent_at=10.0)
        append = leader.next_message_for(B)
        assert isinstance(append, Append)
        self.assertEqual(append.previous_index, 3)


def put(name: str, based_on: int) -> Change:
    """Return a change that puts a service."""
    return Change(OperationId(name), Version(based_on), ((Key("service", "s"), Service()),))


class CommitTest(unittest.TestCase):
    """How members learn of what is committed."""

    def test_a_member_is_told_of_a_commit_that_another_member_made(self) -> None:
        """It lacks no entry, but it can't apply what it doesn't know to be committed."""
        leader = make_replica()
        elect(leader, B, now=2.0)
        leader.record_synced(leader.last_index)
        for host in (B, C):
            leader.next_message_for(host)
        leader.handle_append_reply(matched(C, leader.term, 1), sent_at=2.0)
        leader.handle_append_reply(matched(B, leader.term, 1), sent_at=2.0)
        self.assertEqual(leader.commit, 1)
        self.assertTrue(leader.is_behind(B))
        self.assertTrue(leader.is_behind(C))
        append = leader.next_message_for(C)
        assert isinstance(append, Append)
        self.assertEqual(append.commit, 1)
        self.assertFalse(leader.is_behind(C))


def leader_of_changes(count: int, *, compact_after: int) -> Replica:
    """Return a leader that has accepted some changes, with one follower's help."""
    leader = make_replica(compact_after=compact_after)
    elect(leader, B, now=10.0)
    for number in range(count):
        index = leader.propose(put(f"op{number}", number), stamped_at=float(number))
        assert index is not None
        leader.record_synced(index)
        leader.handle_append_reply(matched(B, 1, index), sent_at=10.0)
    return leader


def snapshot_for(leader: Replica, follower: HostName) -> Install:
    """Return what a leader sends to a follower whose log is empty."""
    refusal = AppendReply(term=1, voter=follower, matched=False, index=0)
    leader.handle_append_reply(refusal, sent_at=10.0)
    install = leader.next_message_for(follower)
    assert isinstance(install, Install)
    return install


class CompactionTest(unittest.TestCase):
    """A snapshot stands in for the entries that it covers."""

    def test_a_follower_too_far_behind_gets_a_snapshot_and_the_rest(self) -> None:
        """It answers a resent operation as the leader does, and counts towards the majority."""
        leader = leader_of_changes(12, compact_after=10)
        follower = make_replica(C)
        install = snapshot_for(leader, C)
        leader.handle_append_reply(follower.handle_install(install, 10.0), sent_at=10.0)
        append = leader.next_message_for(C)
        assert isinstance(append, Append)
        leader.handle_append_reply(follower.handle_append(append, 10.0), sent_at=10.0)
        self.assertEqual(export_state(follower.catalogue), export_state(leader.catalogue))
        again = follower.catalogue.apply(put("op3", 3), accepted_at=99.0)
        self.assertEqual(again, Accepted(version=Version(4), accepted_at=3.0))
        self.assertEqual((follower.commit, follower.group), (leader.commit, leader.group))

    def test_an_older_snapshot_takes_nothing_back(self) -> None:
        """A snapshot that arrives late is acknowledged and left."""
        leader = leader_of_changes(12, compact_after=5)
        old = snapshot_for(leader_of_changes(6, compact_after=5), C)
        new = snapshot_for(leader, C)
        follower = make_replica(C)
        follower.handle_install(new, 10.0)
        reply = follower.handle_install(old, 10.0)
        self.assertTrue(reply.matched)
        self.assertEqual(follower.catalogue.version, leader.catalogue.version)

    def test_a_snapshot_replaces_a_log_that_differs(self) -> None:
        """Entries behind it stay only where the log leads through it."""
        leader = leader_of_changes(12, compact_after=10)
        install = snapshot_for(leader, C)
        differs = make_replica(C, entry_terms=(0,) * 20)
        differs.handle_install(install, 10.0)
        self.assertEqual(differs.last_index, install.snapshot.position)
        same = make_replica(C, entry_terms=(1,) * 20)
        same.handle_install(install, 10.0)
        self.assertEqual(same.last_index, 20)


class GroupTest(unittest.TestCase):
    """Changes of the group, one at a time."""

    def setUp(self) -> None:
        """Elect a leader with one committed entry of its term."""
        self.leader = leader_of_changes(1, compact_after=100)

    def regroup(self, change: GroupChange) -> int | GroupChangeRefused:
        """Ask the leader for a change of the group."""
        return self.leader.change_group(change, stamped_at=0.0)

    def ack(self, *hosts: str) -> None:
        """Let the leader and some hosts have synced everything."""
        index = self.leader.last_index
        self.leader.record_synced(index)
        for host in hosts:
            self.leader.next_message_for(HostName(host))
            self.leader.handle_append_reply(matched(HostName(host), 1, index), sent_at=10.0)

    def test_a_learner_counts_only_once_it_has_everything(self) -> None:
        """Its acknowledgement makes no majority before, and it is promoted then."""
        self.regroup(Add(learner=member("d")))
        committed = self.leader.commit
        self.ack("d")
        self.assertEqual(self.leader.commit, committed)
        self.ack("b")
        self.assertGreater(self.leader.commit, committed)
        self.assertEqual(len(self.leader.group.voters), 3)
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [*HOSTS, "d"])

    def test_a_learner_that_lacks_entries_is_not_promoted(self) -> None:
        """Being a member is not enough."""
        self.regroup(Add(learner=member("d")))
        self.ack("b")
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))

    def test_a_voter_that_is_gone_is_taken_out_once_a_newcomer_votes(self) -> None:
        """A machine was replaced by another: one more loss would else stop the group."""
        soon, late = 10.0 + VOTER_REMOVAL_TIMEOUT / 2, 10.0 + VOTER_REMOVAL_TIMEOUT
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=late))
        self.regroup(Add(learner=member("d")))
        self.ack("b", "d")
        self.leader.maintain_group(stamped_at=0.0, now=soon)
        self.ack("b", "d")
        self.assertEqual(len(self.leader.group.voters), 4)
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=soon))
        for host in (B, HostName("d")):
            index = self.leader.last_index
            self.leader.handle_append_reply(matched(host, 1, index), sent_at=late)
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=late))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [A, B, "d"])

    def test_a_second_change_waits_for_the_first(self) -> None:
        """Two at once could have quorums without a common member."""
        self.assertIsInstance(self.regroup(Remove(host=C)), int)
        self.assertIsInstance(self.regroup(Add(learner=member("d"))), GroupChangeRefused)
        self.ack("b")
        self.assertIsInstance(self.regroup(Add(learner=member("d"))), int)

    def test_a_new_leader_changes_nothing_before_it_has_committed(self) -> None:
        """It can't know yet which group stands."""
        leader = make_replica()
        elect(leader, B, now=10.0)
        refused = leader.change_group(Remove(host=C), stamped_at=0.0)
        self.assertIsInstance(refused, GroupChangeRefused)

    def test_a_replaced_disk_is_a_new_identity_that_has_synced_nothing(self) -> None:
        """What the former identity on the host had acknowledged counts no more."""
        self.ack("b", "c")
        new = member("c")._replace(replica_id=ReplicaId("new"))
        self.regroup(Replace(learner=new))
        self.ack("b")
        self.assertFalse(self.leader.check_identity(C, replica_id(C)))
        self.assertTrue(self.leader.check_identity(C, ReplicaId("new")))
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))
        refusal = AppendReply(term=1, voter=C, matched=False, index=0)
        self.leader.handle_append_reply(refusal, sent_at=10.0)
        append = self.leader.next_message_for(C)
        assert isinstance(append, Append)
        self.assertEqual(append.previous_index, 0)
        self.ack("c")
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))

    def test_a_replica_under_a_foreign_identity_never_stands(self) -> None:
        """A disk that happens to be empty isn't the voter that was on its host."""
        replica = make_replica(own_id=ReplicaId("foreign"))
        replica.start_pre_vote(5.0)
        self.assertIsInstance(replica.role, Follower)

    def test_founders_count_only_once_their_identity_is_in_the_log(self) -> None:
        """The first entry of a new group binds those that were met."""
        founders = tuple(member(host)._replace(replica_id=ReplicaId("")) for host in HOSTS)
        leader = make_replica(founders=founders)
        elect(leader, B, now=10.0)
        self.assertTrue(leader.check_identity(B, replica_id(B)))
        self.assertFalse(leader.check_identity(B, ReplicaId("other")))
        leader.record_synced(1)
        leader.handle_append_reply(matched(B, 1, 1), sent_at=10.0)
        self.assertEqual(leader.commit, 0)
        index = leader.maintain_group(stamped_at=0.0, now=10.0)
        assert index is not None
        leader.record_synced(index)
        leader.handle_append_reply(matched(B, 1, index), sent_at=10.0)
        self.assertEqual(leader.commit, index)
        self.assertEqual([voter.replica_id for voter in leader.group.voters], ["id-a", "id-b", ""])

    def test_a_truncated_change_of_the_group_is_undone(self) -> None:
        """The group in force is the one that the log names last."""
        self.regroup(Remove(host=C))
        self.assertEqual(len(self.leader.group.voters), 2)
        index = self.leader.last_index
        entry = Entry(index, 2, Noop(), 0.0)
        other = Append(
            term=2, leader=B, previous_index=index - 1, previous_term=1, entries=(entry,), commit=0
        )
        self.leader.handle_append(other, 20.0)
        self.assertEqual(len(self.leader.group.voters), 3)

    def test_a_leader_that_is_removed_steps_down_when_that_is_committed(self) -> None:
        """Until then it leads the change."""
        self.regroup(Remove(host=A))
        self.assertFalse(self.leader.check_quorum(10.1))
        self.ack("b", "c")
        self.assertTrue(self.leader.check_quorum(10.1))


if __name__ == "__main__":
    unittest.main()
