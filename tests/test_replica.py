"""Tests of the rules of a replica, with an in-memory journal."""

import asyncio
import random
import unittest
from collections.abc import Callable
from functools import partial

from cowslipvane.catalogue import (
    Accepted,
    Change,
    Key,
    Release,
    Service,
    export_state,
    release_change,
)
from cowslipvane.replica import (
    Add,
    Append,
    AppendReply,
    Ballot,
    Candidate,
    Entry,
    Follower,
    Group,
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
    Regroup,
    Remove,
    Replace,
    Replica,
    TakeOver,
    Vote,
    Voter,
    VoteReply,
)
from cowslipvane.replica._reconfiguration import REPLACED_VOTER_TIMEOUT, VOTER_REMOVAL_TIMEOUT
from cowslipvane.tasks.replication import _replication  # noqa: F401  # Registers the messages.
from cowslipvane.types import Address, HostName, OperationId, ReplicaId, Version
from cowslipvane.wire import encode
from cowslipvane.wire._link import MAX_MESSAGE_BYTES

ELECTION_TIMEOUT_S = 1.0
HOSTS = tuple(HostName(name) for name in "abc")
A, B, C = HOSTS
# Their entries together are larger than any message may be.
LARGE_CHANGES = 200
NAME_CHARS = 300
DOCUMENT_CHARS = 300_000


def replica_id(host: str) -> ReplicaId:
    """Return the identity of the data folder on a host."""
    return ReplicaId(f"id-{host}")


def member(host: str) -> Voter:
    """Return a member of the group with a known identity."""
    return Voter(HostName(host), Address("127.0.0.1", 1), replica_id(host))


class MemoryJournal:
    """A journal that keeps its records in memory."""

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

    async def wait_until_full(self) -> None:
        """Wait for ever, since there is always room."""
        await asyncio.Event().wait()


def make_replica(
    host: HostName = A,
    *,
    now: float = 0.0,
    term: int = 0,
    entry_terms: tuple[int, ...] = (),
    own_id: ReplicaId | None = None,
    founders: tuple[Voter, ...] = (),
    compact_after_entries: int = 100,
) -> Replica:
    """Return one of three replicas, recovered with entries of the given terms."""
    entries = tuple(
        Entry(i, entry_term, Noop(), 0.0) for i, entry_term in enumerate(entry_terms, 1)
    )
    return Replica(
        host=host,
        replica_id=own_id or replica_id(host),
        founders=founders or tuple(member(name) for name in HOSTS),
        journal=MemoryJournal(),
        recovered=Recovered(Ballot(term, None), entries),
        election_timeout=ELECTION_TIMEOUT_S,
        rng=random.Random(7),
        now=now,
        compact_after_entries=compact_after_entries,
    )


def elect(replica: Replica, *voters: HostName, now: float) -> None:
    """Elect a replica with its own vote and those of others."""
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
    """Return the reply of a voter whose log matches up to an index."""
    return AppendReply(term=term, voter=voter, matched=True, index=index)


def large_change(version: int) -> Change:
    """Return a change of many resources, as when a configuration grows by many routes."""
    puts = tuple((Key("service", f"{index:0{NAME_CHARS}}"), Service()) for index in range(300))
    return Change(OperationId(str(version)), Version(version), puts)


def document_change(leader: Replica, number: int, *, wide: str = "") -> Change:
    """Return the next release, whose document shares nothing with the one before it."""
    document = f"{number} {wide}" + "xy"[number % 2] * DOCUMENT_CHARS
    release = Release(number=number + 1, based_on=number, document=document)
    change = release_change(leader.catalogue, release, {})
    assert isinstance(change, Change)
    return change


class VotingTest(unittest.TestCase):
    """Rules for granting and counting votes."""

    def test_a_restarted_voter_grants_no_vote_for_an_election_timeout(self) -> None:
        """It may have granted a vote lease to a leader before the restart."""
        replica = make_replica(now=10.0)
        self.assertFalse(replica.handle_vote(vote(1), 10.0 + ELECTION_TIMEOUT_S * 0.99).granted)
        self.assertTrue(replica.handle_vote(vote(1), 10.0 + ELECTION_TIMEOUT_S).granted)

    def test_a_later_term_in_a_reply_does_not_end_the_vote_lease(self) -> None:
        """The voter no longer knows its leader, but the leader still relies on the lease."""
        replica = make_replica()
        replica.handle_append(heartbeat(1), 5.0)
        replica.handle_vote_reply(VoteReply(term=4, voter=C, granted=False), 5.1)
        self.assertFalse(replica.handle_vote(vote(5), 5.0 + ELECTION_TIMEOUT_S * 0.99).granted)
        self.assertTrue(replica.handle_vote(vote(5), 5.0 + ELECTION_TIMEOUT_S).granted)

    def test_a_leader_in_contact_with_a_quorum_ignores_vote_requests(self) -> None:
        """Its vote and its term stay as they are."""
        replica = make_replica()
        elect(replica, B, now=2.0)
        replica.handle_append_reply(matched(B, 1, 1), sent_at=4.0)
        self.assertFalse(
            replica.handle_vote(vote(9, candidate=C, index=9, last_term=8), 4.5).granted
        )
        self.assertEqual((replica.term, type(replica.role)), (1, Leader))

    def test_a_pre_vote_changes_no_state_and_needs_an_expired_lease_and_a_complete_log(
        self,
    ) -> None:
        """A replica that rejoins doesn't disturb a leader in contact with its voters."""
        replica = make_replica(term=3, entry_terms=(1, 3))
        replica.handle_append(heartbeat(3), 5.0)
        pre_vote_request = PreVote(term=9, candidate=C, last_index=2, last_term=3)
        self.assertFalse(replica.handle_pre_vote(pre_vote_request, 5.5).granted)
        self.assertTrue(replica.handle_pre_vote(pre_vote_request, 6.0).granted)
        outdated = PreVote(term=9, candidate=C, last_index=9, last_term=2)
        self.assertFalse(replica.handle_pre_vote(outdated, 6.0).granted)
        self.assertEqual((replica.term, replica.leader), (3, B))

    def test_pre_votes_keep_the_term_until_a_majority_grants_them(self) -> None:
        """The election starts only with a majority of pre-votes."""
        replica = make_replica(term=3)
        replica.start_pre_vote(2.0)
        refused = PreVoteReply(term=3, proposed=4, voter=B, granted=False)
        replica.handle_pre_vote_reply(refused, 2.0)
        self.assertEqual((replica.term, type(replica.role)), (3, PreCandidate))
        replica.handle_pre_vote_reply(PreVoteReply(term=3, proposed=4, voter=C, granted=True), 2.0)
        self.assertEqual((replica.term, type(replica.role)), (4, Candidate))

    def test_a_candidate_requests_votes_only_after_its_own_ballot_is_synced(self) -> None:
        """Otherwise a crash could make it a candidate twice in one term."""
        replica = make_replica()
        replica.start_election(2.0)
        self.assertIsNone(replica.vote_request_for(B))
        replica.record_own_vote(1, 2.0)
        self.assertIsInstance(replica.vote_request_for(B), Vote)

    def test_a_vote_of_an_older_term_or_of_a_non_member_is_not_counted(self) -> None:
        """Late replies and replies from outside the group elect no leader."""
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
    """Transfer of leadership from a stopping leader to another voter."""

    def setUp(self) -> None:
        """Elect a leader in term 1, whose own log is synced."""
        self.leader = make_replica()
        elect(self.leader, B, now=2.0)
        self.leader.record_synced(1)

    def follower(self, host: HostName) -> Replica:
        """Return a voter that has just received a message from the leader."""
        replica = make_replica(host, now=-9.0)
        append = self.leader.next_message_for(host)
        assert isinstance(append, Append)
        replica.handle_append(append, 2.4)
        return replica

    def test_a_voter_with_the_complete_log_is_elected_at_once(self) -> None:
        """The others need not wait for the lease to expire, since the leader released it."""
        successor, other = self.follower(B), self.follower(C)
        self.leader.handle_append_reply(matched(B, 1, 1), sent_at=2.4)
        self.assertTrue(self.leader.holds_lease(2.5))
        chosen = self.leader.hand_over(2.5)
        self.assertEqual(chosen and chosen.host, B)
        self.assertFalse(self.leader.holds_lease(2.5))
        self.assertTrue(successor.take_over(TakeOver(term=1), 2.5))
        successor.record_own_vote(2, 2.5)
        request = successor.vote_request_for(C)
        assert isinstance(request, Vote)
        successor.handle_vote_reply(other.handle_vote(request, 2.5), 2.5)
        self.assertIsInstance(successor.role, Leader)

    def test_an_election_without_a_hand_over_waits_for_the_lease(self) -> None:
        """A vote that isn't released is refused while the vote lease is valid."""
        voter = self.follower(C)
        request = vote(2, index=1, last_term=1)
        self.assertFalse(voter.handle_vote(request, 2.5).granted)

    def test_a_released_vote_of_the_leaders_own_term_is_refused(self) -> None:
        """Only leaders of earlier terms have released their leases."""
        voter = self.follower(C)
        late = Vote(term=1, candidate=B, last_index=9, last_term=1, released=True)
        self.assertFalse(voter.handle_vote(late, 2.5).granted)

    def test_a_leader_with_no_up_to_date_voter_keeps_leading(self) -> None:
        """Its last entries may exist on no other replica."""
        self.assertIsNone(self.leader.hand_over(2.5))
        self.assertIsInstance(self.leader.role, Leader)

    def test_a_stopping_leader_accepts_no_change(self) -> None:
        """Otherwise the voters might never catch up with its log."""
        self.leader.mark_stopping()
        change = Change(OperationId("o"), Version(0), ())
        self.assertIsNone(self.leader.propose(change, stamped_at=2.5))

    def test_a_late_request_to_take_over_changes_nothing(self) -> None:
        """Another leader may have been elected meanwhile."""
        replica = self.follower(B)
        replica.handle_append(heartbeat(3, leader=C), 2.6)
        self.assertFalse(replica.take_over(TakeOver(term=1), 2.7))
        self.assertEqual((replica.term, replica.leader), (3, C))


class RestartTest(unittest.TestCase):
    """A group whose processes all restarted while their vote leases are still valid."""

    def setUp(self) -> None:
        """Start three replicas at the same time."""
        self.replicas = {host: make_replica(host, now=10.0, term=4) for host in HOSTS}
        self.replicas[A].start_pre_vote(10.1)

    def request_pre_vote(self, voter: HostName, now: float = 10.1) -> PreVoteReply:
        """Request a voter's pre-vote, and pass the reply to the first replica."""
        request = self.replicas[A].vote_request_for(voter)
        assert isinstance(request, PreVote)
        reply = self.replicas[voter].handle_pre_vote(request, now)
        self.replicas[A].handle_pre_vote_reply(reply, now)
        return reply

    def test_restarted_replicas_elect_a_leader_without_waiting(self) -> None:
        """There is no leader, so no vote lease has to be kept."""
        self.assertFalse(self.request_pre_vote(B).granted)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)
        self.request_pre_vote(C)
        self.replicas[A].record_own_vote(5, 10.1)
        request = self.replicas[A].vote_request_for(B)
        assert isinstance(request, Vote)
        self.replicas[A].handle_vote_reply(self.replicas[B].handle_vote(request, 10.1), 10.1)
        self.assertIsInstance(self.replicas[A].role, Leader)

    def test_idle_replicas_start_elections_one_after_another(self) -> None:
        """Any but the first candidate waits, and starts one later if there is no leader by then."""
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

    def test_a_voter_that_does_not_reply_may_be_the_leader(self) -> None:
        """The vote leases are kept until they expire."""
        self.request_pre_vote(B)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)
        self.assertFalse(self.replicas[B].handle_vote(vote(5, candidate=A), 10.2).granted)

    def test_a_voter_that_follows_a_leader_is_not_idle(self) -> None:
        """It received a message from the leader after its start."""
        self.replicas[B].handle_append(heartbeat(4, leader=C), 10.05)
        self.assertFalse(self.request_pre_vote(B).idle)

    def test_a_leader_is_not_idle(self) -> None:
        """It replies to pre-votes like any other voter."""
        self.replicas[C] = make_replica(C, term=3)
        elect(self.replicas[C], B, now=10.0)
        self.assertFalse(self.request_pre_vote(C).idle)

    def test_a_candidate_is_not_idle(self) -> None:
        """Votes on their way could make it a leader, whose lease the released votes ignore."""
        self.replicas[C] = make_replica(C, now=10.0, term=3)
        self.replicas[C].start_election(10.05)
        self.assertEqual(self.replicas[C].term, 4)
        self.assertFalse(self.request_pre_vote(C).idle)

    def test_an_idle_voter_in_an_earlier_term_is_not_counted(self) -> None:
        """It could still be elected in that term and hold a lease."""
        self.replicas[B] = make_replica(B, now=10.0, term=3)
        self.assertTrue(self.request_pre_vote(B).idle)
        self.request_pre_vote(C)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)

    def test_a_voter_replaced_by_another_identity_counts_as_idle(self) -> None:
        """A lost disk doesn't delay the election of the others."""
        self.request_pre_vote(B)
        self.replicas[A].record_identity_mismatch(C, 10.1)
        self.assertIsInstance(self.replicas[A].role, Candidate)

    def test_a_restarted_replica_does_not_count_its_own_pre_vote(self) -> None:
        """It may have granted a vote lease, so one granted pre-vote is no majority."""
        self.replicas[B] = make_replica(B, now=-9.0, term=4)
        self.assertTrue(self.request_pre_vote(B).granted)
        self.assertIsInstance(self.replicas[A].role, PreCandidate)


class LeadingTest(unittest.TestCase):
    """What a leader commits, and how long its lease is valid."""

    def setUp(self) -> None:
        """Elect a leader in term 3 whose older entries are of terms 1 and 2."""
        self.replica = make_replica(term=2, entry_terms=(1, 2))
        elect(self.replica, B, now=10.0)

    def test_entries_of_an_older_term_commit_only_with_one_of_this_term(self) -> None:
        """It isn't enough that a majority has synced the old entry."""
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 3, 2), sent_at=10.0)
        self.assertEqual(self.replica.commit_index, 0)
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=10.0)
        self.assertEqual(self.replica.commit_index, 3)

    def test_the_leaders_own_entry_counts_only_when_synced(self) -> None:
        """One voter and a leader with an unsynced log are no majority."""
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=10.0)
        self.assertEqual(self.replica.commit_index, 0)

    def test_a_reply_of_an_older_term_is_ignored(self) -> None:
        """The voter may since have lost what it had synced."""
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 2, 3), sent_at=10.0)
        self.assertEqual(self.replica.commit_index, 0)
        self.assertFalse(self.replica.holds_lease(10.0))

    def test_only_a_replica_in_contact_with_a_leader_is_current(self) -> None:
        """A replica that just started isn't, and neither is a leader without a quorum."""
        voter = make_replica(B, now=20.0)
        self.assertFalse(voter.is_current(20.0))
        voter.handle_append(heartbeat(3, leader=A), 20.0)
        self.assertTrue(voter.is_current(20.0 + ELECTION_TIMEOUT_S * 0.9))
        self.assertFalse(voter.is_current(20.0 + ELECTION_TIMEOUT_S * 1.1))
        self.replica.record_synced(3)
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=20.0)
        self.assertTrue(self.replica.is_current(20.5))
        self.assertFalse(self.replica.is_current(20.0 + ELECTION_TIMEOUT_S * 1.1))

    def test_the_lease_ends_before_a_voter_may_elect_another(self) -> None:
        """The lease starts when the leader sends a message, not when the reply arrives."""
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
        self.assertLess(max(leased), min(electing) - ELECTION_TIMEOUT_S * 0.05)

    def test_a_leader_without_a_quorum_steps_down(self) -> None:
        """It reports no leader and accepts no change."""
        self.replica.handle_append_reply(matched(B, 3, 3), sent_at=10.5)
        self.assertFalse(self.replica.check_quorum(11.4))
        self.assertTrue(self.replica.check_quorum(11.5))
        self.assertEqual((type(self.replica.role), self.replica.leader), (Follower, None))
        change = Change(OperationId("x"), Version(0), ())
        self.assertIsNone(self.replica.propose(change, stamped_at=0.0))

    def test_a_change_is_accepted_once_a_majority_has_synced_it(self) -> None:
        """Its outcome is known from the commit on."""
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

    def catch_up(self, change: Callable[[Replica, int], Change], count: int) -> None:
        """Let a follower catch up with many changes that it has missed, in small messages."""
        leader, follower = make_replica(), make_replica(B)
        elect(leader, C, now=2.0)
        for number in range(count):
            index = leader.propose(change(leader, number), stamped_at=2.0)
            assert index is not None
            leader.record_synced(index)
            leader.handle_append_reply(matched(C, leader.term, index), sent_at=2.0)
        self.assertEqual(leader.commit_index, leader.last_index)
        while follower.last_index < leader.last_index:
            append = leader.next_message_for(B)
            assert isinstance(append, Append)
            self.assertLess(len(encode(append)), MAX_MESSAGE_BYTES / 16)
            leader.handle_append_reply(follower.handle_append(append, 2.0), sent_at=2.0)

    # Guards against a replica that never catches up with changes that are large by their text, so
    # that the next lost disk takes the majority.
    def test_missed_documents_are_sent_in_messages_of_bounded_size(self) -> None:
        """Each shares nothing with the one before it, and changes a single resource."""
        for wide in ("", "\N{LATIN SMALL LETTER E WITH ACUTE}", "\N{GRINNING FACE}"):
            with self.subTest(wide=wide):
                # No more than a log keeps, at one to four bytes for each character.
                self.catch_up(partial(document_change, wide=wide), 12 if wide > "\xff" else 50)

    # Guards against a replica that never catches up, since what it lacks fits into no message.
    def test_what_a_follower_lacks_is_sent_in_messages_of_bounded_size(self) -> None:
        """Their size doesn't grow with the number of large changes that it has missed."""
        leader, follower = make_replica(), make_replica(B)
        elect(leader, C, now=2.0)
        for version in range(LARGE_CHANGES):
            leader.propose(large_change(version), stamped_at=2.0)
        leader.record_synced(leader.last_index)
        while follower.last_index < leader.last_index:
            append = leader.next_message_for(B)
            assert isinstance(append, Append)
            self.assertLess(len(encode(append)), MAX_MESSAGE_BYTES / 16)
            leader.handle_append_reply(follower.handle_append(append, 2.0), sent_at=2.0)
        self.assertEqual(leader.commit_index, leader.last_index)


class FollowingTest(unittest.TestCase):
    """Repair of a follower's log that conflicts with the leader's."""

    def test_a_conflicting_term_is_skipped_in_one_round(self) -> None:
        """Three rounds repair a log that differs in two terms, and no matched entry is resent."""
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
        self.assertEqual(leader.commit_index, 7)

    def test_a_late_mismatch_reply_does_not_reset_the_matched_index(self) -> None:
        """A mismatch reply may arrive after an acknowledgement that was sent later."""
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
    """How members learn the commit index."""

    def test_a_member_receives_a_commit_index_that_another_members_reply_advanced(self) -> None:
        """It lacks no entry, but it can't apply entries before it knows that they are committed."""
        leader = make_replica()
        elect(leader, B, now=2.0)
        leader.record_synced(leader.last_index)
        for host in (B, C):
            leader.next_message_for(host)
        leader.handle_append_reply(matched(C, leader.term, 1), sent_at=2.0)
        leader.handle_append_reply(matched(B, leader.term, 1), sent_at=2.0)
        self.assertEqual(leader.commit_index, 1)
        self.assertTrue(leader.is_behind(B))
        self.assertTrue(leader.is_behind(C))
        append = leader.next_message_for(C)
        assert isinstance(append, Append)
        self.assertEqual(append.commit, 1)
        self.assertFalse(leader.is_behind(C))


def leader_of_changes(count: int, *, compact_after_entries: int) -> Replica:
    """Return a leader that has committed some changes with one follower."""
    leader = make_replica(compact_after_entries=compact_after_entries)
    elect(leader, B, now=10.0)
    for number in range(count):
        index = leader.propose(put(f"op{number}", number), stamped_at=float(number))
        assert index is not None
        leader.record_synced(index)
        leader.handle_append_reply(matched(B, 1, index), sent_at=10.0)
    return leader


def snapshot_for(leader: Replica, follower: HostName) -> Install:
    """Return the snapshot that a leader sends to a follower with an empty log."""
    refusal = AppendReply(term=1, voter=follower, matched=False, index=0)
    leader.handle_append_reply(refusal, sent_at=10.0)
    install = leader.next_message_for(follower)
    assert isinstance(install, Install)
    return install


class CompactionTest(unittest.TestCase):
    """A snapshot replaces the entries that it covers."""

    def test_a_follower_too_far_behind_gets_a_snapshot_and_the_later_entries(self) -> None:
        """It then returns the same outcome for a resent operation as the leader."""
        leader = leader_of_changes(12, compact_after_entries=10)
        follower = make_replica(C)
        install = snapshot_for(leader, C)
        leader.handle_append_reply(follower.handle_install(install, 10.0), sent_at=10.0)
        append = leader.next_message_for(C)
        assert isinstance(append, Append)
        leader.handle_append_reply(follower.handle_append(append, 10.0), sent_at=10.0)
        self.assertEqual(export_state(follower.catalogue), export_state(leader.catalogue))
        again = follower.catalogue.apply(put("op3", 3), accepted_at=99.0)
        self.assertEqual(again, Accepted(version=Version(4), accepted_at=3.0))
        self.assertEqual(
            (follower.commit_index, follower.group), (leader.commit_index, leader.group)
        )

    def test_an_older_snapshot_is_ignored(self) -> None:
        """A snapshot that arrives late is acknowledged but not installed."""
        leader = leader_of_changes(12, compact_after_entries=5)
        old = snapshot_for(leader_of_changes(6, compact_after_entries=5), C)
        new = snapshot_for(leader, C)
        follower = make_replica(C)
        follower.handle_install(new, 10.0)
        reply = follower.handle_install(old, 10.0)
        self.assertTrue(reply.matched)
        self.assertEqual(follower.catalogue.version, leader.catalogue.version)

    def test_a_snapshot_replaces_a_conflicting_log(self) -> None:
        """Entries after the snapshot are kept only if the log matches its term."""
        leader = leader_of_changes(12, compact_after_entries=10)
        install = snapshot_for(leader, C)
        conflicting = make_replica(C, entry_terms=(0,) * 20)
        conflicting.handle_install(install, 10.0)
        self.assertEqual(conflicting.last_index, install.snapshot.position)
        same = make_replica(C, entry_terms=(1,) * 20)
        same.handle_install(install, 10.0)
        self.assertEqual(same.last_index, 20)


class GroupTest(unittest.TestCase):
    """Changes of the group, of which only one may be uncommitted."""

    def setUp(self) -> None:
        """Elect a leader with one committed entry of its term."""
        self.leader = leader_of_changes(1, compact_after_entries=100)

    def change_group(self, change: GroupChange) -> int | GroupChangeRefused:
        """Request a group change from the leader."""
        return self.leader.change_group(change, stamped_at=0.0)

    def ack(self, *hosts: str) -> None:
        """Record that the leader and some hosts have synced the whole log."""
        index = self.leader.last_index
        self.leader.record_synced(index)
        for host in hosts:
            self.leader.next_message_for(HostName(host))
            self.leader.handle_append_reply(matched(HostName(host), 1, index), sent_at=10.0)

    def ack_at(self, sent_at: float, *hosts: HostName) -> None:
        """Record that the leader and some hosts have synced the whole log at some time."""
        index = self.leader.last_index
        self.leader.record_synced(index)
        for host in hosts:
            self.leader.handle_append_reply(matched(host, 1, index), sent_at=sent_at)

    def test_a_learner_counts_only_after_its_promotion(self) -> None:
        """Its acknowledgements commit nothing before; it is promoted once it has caught up."""
        self.change_group(Add(learner=member("d")))
        committed = self.leader.commit_index
        self.ack("d")
        self.assertEqual(self.leader.commit_index, committed)
        self.ack("b")
        self.assertGreater(self.leader.commit_index, committed)
        self.assertEqual(len(self.leader.group.voters), 3)
        self.ack("c")
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [*HOSTS, "d"])

    def test_a_learner_that_lacks_entries_is_not_promoted(self) -> None:
        """Membership alone isn't enough."""
        self.change_group(Add(learner=member("d")))
        self.ack("b")
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))

    def test_an_unreachable_voter_is_removed_before_its_replacement_votes(self) -> None:
        """If it stayed in the group, one more lost disk would leave too few voters for ever."""
        soon = 10.0 + REPLACED_VOTER_TIMEOUT
        self.ack("c")
        self.change_group(Add(learner=member("d")))
        self.ack("b")
        self.ack_at(soon - 0.1, B, HostName("d"))
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=soon - 0.01))
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=soon))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [A, B])
        self.ack_at(soon, B, HostName("d"))
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=soon))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [A, B, "d"])

    def test_a_voter_is_not_removed_for_a_learner_that_has_gone_too(self) -> None:
        """The two voters that remain would both be needed for long."""
        self.change_group(Add(learner=member("d")))
        self.ack("b", "d")
        late = 10.0 + 2 * REPLACED_VOTER_TIMEOUT
        self.ack_at(late, B)
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=late))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [*HOSTS])

    def test_a_learner_that_has_gone_does_not_keep_an_unreachable_voter(self) -> None:
        """The voter is removed as late as without the learner."""
        late = 10.0 + VOTER_REMOVAL_TIMEOUT
        self.change_group(Add(learner=member("d")))
        self.ack("b", "c", "d")
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=10.0))
        self.ack("b", "d")
        self.change_group(Add(learner=member("e")))
        self.ack("b", "d", "e")
        self.assertEqual([voter.host for voter in self.leader.group.voters], [*HOSTS, "d"])
        self.ack_at(late, B, HostName("d"))
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=late))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [A, B, "d"])

    def test_a_learner_is_promoted_at_once_while_all_voters_are_needed(self) -> None:
        """Of two voters none can be removed without a risk to what only they have."""
        self.change_group(Remove(host=C))
        self.ack("b")
        self.change_group(Add(learner=member("d")))
        self.ack("b", "d")
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=99.0))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [A, B, "d"])

    def test_a_voter_that_is_lost_after_the_promotion_is_removed_later(self) -> None:
        """If it stayed in the group, one more loss would leave no majority."""
        soon, late = 10.0 + VOTER_REMOVAL_TIMEOUT / 2, 10.0 + VOTER_REMOVAL_TIMEOUT
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=late))
        self.change_group(Add(learner=member("d")))
        self.ack("b", "c", "d")
        self.leader.maintain_group(stamped_at=0.0, now=10.0)
        self.ack("b", "d")
        self.assertEqual(len(self.leader.group.voters), 4)
        self.assertIsNone(self.leader.maintain_group(stamped_at=0.0, now=soon))
        for host in (B, HostName("d")):
            index = self.leader.last_index
            self.leader.handle_append_reply(matched(host, 1, index), sent_at=late)
        self.assertIsNotNone(self.leader.maintain_group(stamped_at=0.0, now=late))
        self.assertEqual([voter.host for voter in self.leader.group.voters], [A, B, "d"])

    def test_a_second_group_change_is_refused_until_the_first_is_committed(self) -> None:
        """Two uncommitted changes could have quorums without a common member."""
        self.assertIsInstance(self.change_group(Remove(host=C)), int)
        self.assertIsInstance(self.change_group(Add(learner=member("d"))), GroupChangeRefused)
        self.ack("b")
        self.assertIsInstance(self.change_group(Add(learner=member("d"))), int)

    def test_a_new_leader_refuses_group_changes_before_its_first_commit(self) -> None:
        """It can't know yet which group is committed."""
        leader = make_replica()
        elect(leader, B, now=10.0)
        refused = leader.change_group(Remove(host=C), stamped_at=0.0)
        self.assertIsInstance(refused, GroupChangeRefused)

    def test_a_replaced_disk_has_a_new_identity_that_has_synced_nothing(self) -> None:
        """Acknowledgements of the former identity on the host no longer count."""
        self.ack("b", "c")
        new = member("c")._replace(replica_id=ReplicaId("new"))
        self.change_group(Replace(learner=new))
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

    def test_a_replica_with_another_identity_never_starts_an_election(self) -> None:
        """A host with a new disk isn't the voter that the group knows."""
        replica = make_replica(own_id=ReplicaId("other"))
        replica.start_pre_vote(5.0)
        self.assertIsInstance(replica.role, Follower)

    def test_founders_count_only_once_their_identity_is_in_the_log(self) -> None:
        """The first group entry records the identities of those that have connected."""
        founders = tuple(member(host)._replace(replica_id=ReplicaId("")) for host in HOSTS)
        leader = make_replica(founders=founders)
        elect(leader, B, now=10.0)
        self.assertTrue(leader.check_identity(B, replica_id(B)))
        self.assertFalse(leader.check_identity(B, ReplicaId("other")))
        leader.record_synced(1)
        leader.handle_append_reply(matched(B, 1, 1), sent_at=10.0)
        self.assertEqual(leader.commit_index, 0)
        index = leader.maintain_group(stamped_at=0.0, now=10.0)
        assert index is not None
        leader.record_synced(index)
        leader.handle_append_reply(matched(B, 1, index), sent_at=10.0)
        self.assertEqual(leader.commit_index, index)
        self.assertEqual([voter.replica_id for voter in leader.group.voters], ["id-a", "id-b", ""])

    def test_a_replica_on_a_founders_lost_disk_does_not_stand_for_it(self) -> None:
        """The start of the log, in which the founder has no identity, made it a voter."""
        unknown = member(C)._replace(replica_id=ReplicaId(""))
        group = Group((member(A), member(B), unknown))
        joined, founder = (
            Replica(
                host=C,
                replica_id=replica_id(C),
                founders=founders,
                journal=MemoryJournal(),
                recovered=Recovered(Ballot(1, None), (Entry(1, 1, Regroup(group=group), 0.0),)),
                election_timeout=ELECTION_TIMEOUT_S,
                rng=random.Random(7),
                now=0.0,
            )
            for founders in ((), group.voters)
        )
        self.assertEqual((joined.is_voter, founder.is_voter), (False, True))
        self.assertFalse(joined.matches_identity(ReplicaId("")))
        self.assertTrue(joined.matches_identity(replica_id(C)))
        self.assertFalse(founder.matches_identity(ReplicaId("other")))

    def test_a_replica_that_joins_is_not_taken_for_an_unknown_founder(self) -> None:
        """It became a voter at once, though the founder may have voted before its disk was lost."""
        unknown = member(C)._replace(replica_id=ReplicaId(""))
        leader = make_replica(founders=(member(A), member(B), unknown))
        self.assertFalse(leader.has_taken_in(member(C), is_founder=False))
        self.assertTrue(leader.has_taken_in(member(C), is_founder=True))
        self.assertTrue(leader.has_taken_in(member(B), is_founder=False))
        self.assertFalse(leader.has_taken_in(member("d"), is_founder=False))

    def test_a_founder_is_identified_although_the_group_is_uncommitted(self) -> None:
        """After a restart nothing could be committed without it, nor its identity be recorded."""
        unknown = member(B)._replace(replica_id=ReplicaId(""))
        group = Group((member(A), unknown, member(C)))
        leader = Replica(
            host=C,
            replica_id=replica_id(C),
            founders=group.voters,
            journal=MemoryJournal(),
            recovered=Recovered(Ballot(1, None), (Entry(1, 1, Regroup(group=group), 0.0),)),
            election_timeout=ELECTION_TIMEOUT_S,
            rng=random.Random(7),
            now=0.0,
        )
        elect(leader, B, now=10.0)
        self.assertTrue(leader.check_identity(B, replica_id(B)))
        index = leader.maintain_group(stamped_at=0.0, now=10.0)
        assert index is not None
        leader.record_synced(index)
        leader.handle_append_reply(matched(B, 2, index), sent_at=10.0)
        self.assertEqual(leader.commit_index, index)
        self.assertIsNone(leader.maintain_group(stamped_at=0.0, now=10.0))

    def test_a_truncated_group_change_is_undone(self) -> None:
        """The group in force is the last one in the log."""
        self.change_group(Remove(host=C))
        self.assertEqual(len(self.leader.group.voters), 2)
        index = self.leader.last_index
        entry = Entry(index, 2, Noop(), 0.0)
        other = Append(
            term=2, leader=B, previous_index=index - 1, previous_term=1, entries=(entry,), commit=0
        )
        self.leader.handle_append(other, 20.0)
        self.assertEqual(len(self.leader.group.voters), 3)

    def test_a_removed_leader_steps_down_once_its_removal_is_committed(self) -> None:
        """Until then it replicates the change."""
        self.change_group(Remove(host=A))
        self.assertFalse(self.leader.check_quorum(10.1))
        self.ack("b", "c")
        self.assertTrue(self.leader.check_quorum(10.1))


if __name__ == "__main__":
    unittest.main()
