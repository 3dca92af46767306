"""The replica: rules of replication, commitment and group changes; the root of its aggregate."""

from __future__ import annotations

import random
from collections.abc import Mapping
from types import MappingProxyType

from cowslipvane.catalogue import Catalogue, Change
from cowslipvane.membership import FactRegister, HostFacts
from cowslipvane.replica._election_timer import ElectionTimer
from cowslipvane.replica._elections import Elections
from cowslipvane.replica._group import (
    Demote,
    Group,
    GroupChange,
    GroupChangeRefused,
    Voter,
    apply_group_change,
)
from cowslipvane.replica._identities import Identities
from cowslipvane.replica._journal import Journal, Recovered
from cowslipvane.replica._messages import (
    Append,
    AppendReply,
    Command,
    Install,
    PreVote,
    PreVoteReply,
    RecordFacts,
    Regroup,
    Report,
    TakeOver,
    Vote,
    VoteReply,
    Write,
)
from cowslipvane.replica._reconfiguration import MIN_VOTERS, Situation, due_change
from cowslipvane.replica._replicated_state import ReplicatedState
from cowslipvane.replica._roles import Leader, Role
from cowslipvane.types import DataCentre, HostName, ReplicaId, Seconds

NO_DATA_CENTRES: Mapping[HostName, DataCentre] = MappingProxyType({})
# Number of applied entries after which a snapshot replaces them.
COMPACT_AFTER_ENTRIES = 1000
# Memory of applied entries after which a snapshot replaces them, however few they are. A replica
# that is over its host's memory ends, and again at each start.
COMPACT_AFTER_BYTES = 16 << 20


class Replica:
    """A member of the group, with its role and term, its log and its catalogue."""

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
        compact_after_entries: int = COMPACT_AFTER_ENTRIES,
        compact_after_bytes: int = COMPACT_AFTER_BYTES,
    ) -> None:
        self._host = host
        self._state = ReplicatedState(
            founders=founders,
            journal=journal,
            recovered=recovered,
            compact_after_entries=compact_after_entries,
            compact_after_bytes=compact_after_bytes,
        )
        is_founder = any(founder.host == host for founder in founders)
        self._identities = Identities(host=host, replica_id=replica_id, is_founder=is_founder)
        self._elections = Elections(
            host=host,
            identities=self._identities,
            state=self._state,
            journal=journal,
            ballot=recovered.ballot,
            timer=ElectionTimer(election_timeout=election_timeout, rng=rng, now=now),
        )
        self._reports: dict[HostName, Report] = {}

    @property
    def host(self) -> HostName:
        """Return this replica's host."""
        return self._host

    @property
    def replica_id(self) -> ReplicaId:
        """Return the identity of this replica's data folder."""
        return self._identities.replica_id

    @property
    def is_founder(self) -> bool:
        """Return whether this replica is one of those that founded the group."""
        return self._identities.is_founder

    @property
    def group(self) -> Group:
        """Return the group in force, whose entry may be uncommitted."""
        return self._state.group

    @property
    def is_voter(self) -> bool:
        """Return whether the group has this replica's host and identity as a voter."""
        return self._identities.is_voter(self.group)

    @property
    def may_be_replaced(self) -> bool:
        """Return whether the group might do without this replica's vote when it stops."""
        has_others = len(self.group.voters) > MIN_VOTERS or bool(self.group.learners)
        return self.is_voter and has_others

    @property
    def role(self) -> Role:
        """Return the role of the replica in its term."""
        return self._elections.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._elections.term

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue after applying the committed log."""
        return self._state.catalogue

    @property
    def facts(self) -> FactRegister:
        """Return what is kept of workers, after applying the committed log."""
        return self._state.facts

    @property
    def commit_index(self) -> int:
        """Return the index up to which the log is committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry of the log."""
        return self._state.last_index

    @property
    def log_bytes(self) -> int:
        """Return the memory of the log's entries, in bytes."""
        return self._state.log_bytes

    @property
    def election_due_at(self) -> float:
        """Return when to start a pre-vote if no message from a leader arrives before."""
        return self._elections.timer.election_due_at

    @property
    def reports(self) -> dict[HostName, Report]:
        """Return the latest report of each known proxy."""
        return self._reports

    @property
    def leader(self) -> HostName | None:
        """Return the leader of the term, or None while it is unknown."""
        return self._elections.leader

    def holds_lease(self, now: float) -> bool:
        """Return whether this leader's lease is valid, so that no later leader can exist yet."""
        return self._elections.holds_lease(now)

    def is_current(self, now: float) -> bool:
        """Return whether this replica's committed state is at most one election timeout old."""
        return self._elections.is_current(now)

    def check_quorum(self, now: float) -> bool:
        """Step down if removed or without contact with a quorum; return whether it did."""
        return self._elections.check_quorum(now)

    def start_pre_vote(self, now: float) -> None:
        """Start collecting pre-votes, which leaves the current term unchanged."""
        self._elections.start_pre_vote(now)

    def start_election(self, now: float, *, released: bool = False) -> None:
        """Become a candidate in a new term; released is as in a Vote message."""
        self._elections.start_election(now, released=released)

    def mark_stopping(self) -> None:
        """Refuse changes and start no pre-vote from now on, because the process is stopping."""
        self._elections.mark_stopping()

    def set_disk_full(self, is_full: bool) -> None:
        """Start no pre-vote while the disk takes no more, since nothing could be acknowledged."""
        self._elections.set_disk_full(is_full)

    def resign(self, now: float) -> None:
        """Step down, if this replica leads, without a successor."""
        self._elections.resign(now)

    def hand_over(self, now: float) -> Voter | None:
        """Step down in favour of a voter with the complete log; return it, or None without one."""
        return self._elections.hand_over(now)

    def take_over(self, request: TakeOver, now: float) -> bool:
        """Start an election if the leader of this term requests it; return whether it did."""
        return self._elections.take_over(request, now)

    def handle_pre_vote(self, request: PreVote, now: float) -> PreVoteReply:
        """Return whether a vote would be granted, without any change of state."""
        return self._elections.handle_pre_vote(request, now)

    def handle_pre_vote_reply(self, reply: PreVoteReply, now: float) -> None:
        """Count a pre-vote, and start an election once a majority has granted theirs."""
        self._elections.handle_pre_vote_reply(reply, now)

    def record_identity_mismatch(self, voter: HostName, now: float) -> None:
        """Record that a voter can't lead, because its host responds with another identity."""
        self._elections.record_identity_mismatch(voter, now)

    def record_own_vote(self, term: int, now: float) -> None:
        """Count this replica's vote for itself, once its ballot is synced."""
        self._elections.record_own_vote(term, now)

    def handle_vote(self, request: Vote, now: float) -> VoteReply:
        """Grant or refuse a vote; the reply may be sent only after a sync."""
        return self._elections.handle_vote(request, now)

    def handle_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote, and become the leader once a majority has granted theirs."""
        self._elections.handle_vote_reply(reply, now)

    def vote_request_for(self, voter: HostName) -> PreVote | Vote | None:
        """Return the pre-vote or vote request that a voter hasn't granted yet, or None."""
        return self._elections.vote_request_for(voter)

    def check_identity(self, host: HostName, replica_id: ReplicaId) -> bool:
        """Return whether the member on a host has the given identity."""
        return self._identities.check(self.group, host, replica_id)

    def matches_identity(self, recorded_id: ReplicaId) -> bool:
        """Return whether this replica is the member that a log records for this host."""
        return self._identities.matches(recorded_id)

    def has_taken_in(self, joining: Voter, *, is_founder: bool) -> bool:
        """Return whether a replica that asks to join is a member already."""
        return self._identities.has_taken_in(self.group, joining, is_founder=is_founder)

    def handle_append(self, append: Append, now: float) -> AppendReply:
        """Accept entries from the leader; the reply may be sent only after a sync."""
        if not self._elections.follow(append.term, append.leader, now):
            return self._append_reply(matched=False, index=0)
        if append.previous_index > self.last_index:
            return self._append_reply(matched=False, index=self.last_index)
        # Entries up to the base index are committed, so they are the same in every log.
        starts_before_base = append.previous_index < self._state.base_index
        if (
            not starts_before_base
            and self._state.term_of(append.previous_index) != append.previous_term
        ):
            # The leader may lack this whole term, so skip it in one round trip.
            index = self._state.first_index_of_term(append.previous_index) - 1
            return self._append_reply(matched=False, index=max(index, self.commit_index))
        self._state.merge_entries(append.entries)
        matched = append.previous_index + len(append.entries)
        self._commit_to(min(append.commit, matched))
        return self._append_reply(matched=True, index=matched)

    def handle_install(self, install: Install, now: float) -> AppendReply:
        """Accept a snapshot from the leader; the reply may be sent only after a sync."""
        if not self._elections.follow(install.term, install.leader, now):
            return self._append_reply(matched=False, index=0)
        self._state.install_snapshot(install.snapshot, self._elections.ballot)
        return self._append_reply(matched=True, index=install.snapshot.position)

    def next_message_for(self, host: HostName) -> Append | Install | None:
        """Return the next message for the member on a host, or None if this isn't the leader."""
        if not isinstance(self.role, Leader):
            return None
        return self.role.next_message(host, self._state, leader=self._host, term=self.term)

    def is_behind(self, host: HostName) -> bool:
        """Return whether the member on a host lacks entries or the commit index of this leader."""
        return isinstance(self.role, Leader) and self.role.is_behind(host, self._state)

    def handle_append_reply(self, reply: AppendReply, *, sent_at: float) -> None:
        """Record what a member has synced, and commit what a majority has synced."""
        self._elections.observe_term(reply.term)
        if not isinstance(self.role, Leader) or reply.term != self.term:
            return
        self.role.record_contact(reply.voter, sent_at)
        if not reply.matched:
            self.role.record_mismatch(reply.voter, min(reply.index, self.last_index - 1))
            return
        self.role.record_match(reply.voter, reply.index)
        self._commit_majority()

    def change_group(self, change: GroupChange, *, stamped_at: float) -> int | GroupChangeRefused:
        """Append a group change, unless another is uncommitted, and return its index."""
        if not isinstance(self.role, Leader):
            return GroupChangeRefused(reason="this replica doesn't lead")
        group = apply_group_change(self.group, change, position=self.last_index + 1)
        if isinstance(group, GroupChangeRefused):
            return group
        if group == self.group:
            return self._state.group_index
        if not self._state.group_is_committed:
            return GroupChangeRefused(reason="another change of the group is under way; try again")
        # Until an entry of its own term is committed, a leader can't know whether an earlier
        # leader's change was committed, and two changes at once may have disjoint quorums.
        if not self._state.has_committed_in(self.term):
            return GroupChangeRefused(
                reason="this leader has committed nothing of its term yet; try again"
            )
        for member in self.group.members:
            if group.member(member.host) != member:
                self.role.forget_progress(member.host)
        return self._append_command(Regroup(group=group), stamped_at)

    def maintain_group(
        self,
        *,
        stamped_at: float,
        now: float,
        data_centres: Mapping[HostName, DataCentre] = NO_DATA_CENTRES,
    ) -> int | None:
        """Append the group change that is due, if any, and return its index.

        The identities of founders are recorded, and members become voters or stop being voters.
        data_centres has the known data centres of the members.
        """
        if not isinstance(self.role, Leader):
            return None
        # An identity changes no majority, so it is recorded even on top of an uncommitted change,
        # which may need the founder's acknowledgement to be committed.
        identified = self.group.with_identities(self._identities.known)
        if (
            identified != self.group
            and sum(bool(v.replica_id) for v in identified.voters) >= identified.majority
        ):
            return self._append_command(Regroup(group=identified), stamped_at)
        change = self._due_group_change(self.role, now, data_centres)
        if change is None or change == Demote(host=self._host):
            return None
        changed = self.change_group(change, stamped_at=stamped_at)
        return changed if isinstance(changed, int) else None

    def should_hand_over(self, now: float, data_centres: Mapping[HostName, DataCentre]) -> bool:
        """Return whether this leader is the voter that the group should do without."""
        if not isinstance(self.role, Leader):
            return False
        return self._due_group_change(self.role, now, data_centres) == Demote(host=self._host)

    def is_released(self, host: HostName, now: float) -> bool:
        """Return whether the member on a host may stop: the group has, or can't get, a substitute.

        A group that did without it in an uncommitted entry might need it again.
        """
        if not isinstance(self.role, Leader):
            return False
        if self.group.voter(host) is None and self._state.group_is_committed:
            return True
        return not self._situation(self.role, now, NO_DATA_CENTRES).may_do_without(host)

    def record_leaving(self, host: HostName) -> None:
        """Record that the process of a member is stopping."""
        if isinstance(self.role, Leader):
            self.role.leaving.add(host)

    def record_start(self, host: HostName) -> None:
        """Record that a connection to the process of a member was opened, so that it runs."""
        if isinstance(self.role, Leader):
            self.role.leaving.discard(host)

    def _due_group_change(
        self, role: Leader, now: float, data_centres: Mapping[HostName, DataCentre]
    ) -> GroupChange | None:
        """Return the group change that is due, None also while another is uncommitted."""
        if not self._state.group_is_committed:
            return None
        return due_change(self._situation(role, now, data_centres))

    def _situation(
        self, role: Leader, now: float, data_centres: Mapping[HostName, DataCentre]
    ) -> Situation:
        """Return how this leader sees the group."""
        return Situation(
            group=self.group,
            leader=self._host,
            now=now,
            elected_at=role.elected_at,
            reply_timeout=self._elections.timer.election_timeout,
            statuses={
                member.host: role.member_status(member.host, self.commit_index)
                for member in self.group.members
            },
            data_centres=data_centres,
        )

    def propose(self, change: Change, *, stamped_at: float) -> int | None:
        """Append a change and return its index, or None if this isn't the leader or is stopping."""
        if not isinstance(self.role, Leader) or self._elections.is_stopping:
            return None
        return self._append_command(Write(change=change), stamped_at)

    def propose_facts(self, facts: HostFacts, *, stamped_at: float) -> int | None:
        """Append facts and return their index, or None as for a change."""
        if not isinstance(self.role, Leader) or self._elections.is_stopping:
            return None
        return self._append_command(RecordFacts(facts=facts), stamped_at)

    def record_synced(self, index: int) -> None:
        """Record that this replica's own log is synced up to an index."""
        self._state.record_synced(index)
        if isinstance(self.role, Leader):
            self._commit_majority()

    def record_report(self, report: Report) -> None:
        """Record the report of a proxy, unless a newer one is known."""
        known = self._reports.get(report.host)
        if known is None or report.changed_at >= known.changed_at:
            self._reports[report.host] = report

    def _append_command(self, command: Command, stamped_at: float) -> int:
        """Append a command of this leader to its log."""
        return self._state.append(self.term, command, stamped_at)

    def _append_reply(self, *, matched: bool, index: int) -> AppendReply:
        """Return the reply to an Append or Install message."""
        return AppendReply(term=self.term, voter=self._host, matched=matched, index=index)

    def _commit_majority(self) -> None:
        """Commit what a majority has synced, if its last entry is of this term."""
        assert isinstance(self.role, Leader)
        index = self.role.synced_by_majority(self._state, own=self._host)
        # An entry of an older term commits only together with one of this term, because a later
        # leader could otherwise replace it although a majority has it.
        if index > self.commit_index and self._state.term_of(index) == self.term:
            self._commit_to(index)

    def _commit_to(self, index: int) -> None:
        """Apply the log to the catalogue up to a committed index."""
        self._state.commit_to(index, self._elections.ballot)
