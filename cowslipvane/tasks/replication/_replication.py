"""Replication tasks of a replica: one task per group member, one for leader election."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from cowslipvane.catalogue import Change, Invalid, Outcome, change_faults
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.membership import HostFacts
from cowslipvane.replica import (
    Append,
    AppendReply,
    Candidate,
    GroupChange,
    GroupChangeRefused,
    Install,
    Journal,
    JournalFull,
    Leader,
    PreVote,
    PreVoteReply,
    Replica,
    TakeOver,
    TakingOver,
    Vote,
    VoteReply,
)
from cowslipvane.settings import Timing
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.replication._hand_over import LEAVE_TIMEOUT, HandOver, greet
from cowslipvane.tasks.replication._messages import (
    Greeting,
    GroupChanged,
    Leave,
    MayLeave,
    NotLeader,
    Stranger,
    Unknown,
    Welcome,
)
from cowslipvane.types import Address, DataCentre, HostName, ReplicaId, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Append, AppendReply, Install, PreVote, PreVoteReply, Vote, VoteReply)
register(TakeOver, TakingOver)

WRITE_TIMEOUT: Seconds = 5.0
# How often a replica whose disk is full tries to write again.
ROOM_CHECK_INTERVAL: Seconds = 0.2


def _unknown_data_centre(host: HostName) -> DataCentre | None:
    """Return None, as no data centre is known."""


class Replication:
    """Exchanges one replica's messages, and syncs its journal before replies that depend on it.

    data_centre_of returns the data centre of a host, None if it isn't known.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        group_name: str,
        journal: Journal,
        timing: Timing,
        events: EventLog,
        data_centre_of: Callable[[HostName], DataCentre | None] = _unknown_data_centre,
    ) -> None:
        self._replica = replica
        self._data_centre_of = data_centre_of
        self._group_name = group_name
        self._journal = journal
        self._timing = timing
        self._events = events
        self._changed = Signal()
        self._hand_over = HandOver(
            replica=replica,
            group_name=group_name,
            changed=self._changed,
            timing=timing,
            events=events,
        )
        self._candidate_term = 0
        self._leader_term = 0
        self._recorded_version = replica.catalogue.version

    @property
    def replica(self) -> Replica:
        """Return the replica."""
        return self._replica

    @property
    def changed(self) -> Signal:
        """Return the signal for changes of the log, the commit index or the role."""
        return self._changed

    @property
    def leader_address(self) -> Address | None:
        """Return the address of the leader, None if it is unknown or this replica."""
        replica = self._replica
        if isinstance(replica.role, Leader):
            return None
        addresses = {voter.host: voter.address for voter in replica.group.voters}
        return addresses.get(replica.leader) if replica.leader else None

    @property
    def holds_lease(self) -> bool:
        """Return whether the leader lease is valid, so that no other replica can be leader."""
        return self._replica.holds_lease(lease_now())

    @property
    def is_current(self) -> bool:
        """Return whether the committed state is at most one election timeout old."""
        return self._replica.is_current(lease_now())

    async def run(self) -> None:
        """Run the replication tasks until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._journal.wait_for_failure())
            tasks.create_task(self._watch_disk())
            tasks.create_task(self._run_elections())
            await self._maintain_member_tasks(tasks)

    async def serve(self, link: Link) -> None:
        """Handle the requests of one member in order; end the connection if the disk is full."""
        if not await self._accept_handshake(link):
            return
        with suppress(JournalFull):
            await self._handle_requests(link)

    async def _handle_requests(self, link: Link) -> None:
        """Handle the requests of one member until it sends an unknown one."""
        while True:
            match await link.receive():
                case PreVote() as request:
                    await link.send(await self._handle_pre_vote(request))
                case Vote() as request:
                    await link.send(await self._handle_vote(request))
                case Append() as append:
                    await link.send(await self._handle_append(append))
                case Install() as install:
                    await link.send(await self._handle_append(install))
                case TakeOver() as request:
                    await link.send(await self._handle_take_over(request))
                case Leave(host=host):
                    if not await self._release(host):
                        return
                    await link.send(MayLeave())
                case _:
                    return

    async def write(self, change: Change) -> Outcome | NotLeader | Unknown:
        """Replicate a change and return its outcome once a majority has synced it.

        A change that is refused already now isn't replicated, so that it leaves nothing behind.
        """
        known = self._replica.catalogue.outcome(change.operation_id)
        if known is not None:
            return known
        refused = self._evaluate(change)
        if refused is not None:
            return refused
        index = self._replica.propose(change, stamped_at=time.time())
        if index is None:
            return NotLeader(leader=self._replica.leader)
        term = self._replica.term
        self._changed.send()
        with suppress(JournalFull):
            # Without this disk, the others are a majority that can accept the change.
            await self._sync_leader_log(index, term)
        deadline = lease_now() + WRITE_TIMEOUT
        while lease_now() < deadline:
            outcome = self._replica.catalogue.outcome(change.operation_id)
            if outcome is not None:
                return outcome
            if self._replica.term != term or not isinstance(self._replica.role, Leader):
                return Unknown()
            await self._changed.wait(deadline - lease_now())
        return Unknown()

    def _evaluate(self, change: Change) -> Outcome | None:
        """Return why a change is refused as far as it is known here, None if it may be accepted."""
        if self.holds_lease:
            return self._replica.catalogue.check(change)
        # Without the lease the resources here may be outdated.
        faults = change_faults(change)
        return Invalid(faults=tuple(faults)) if faults else None

    async def change_group(
        self, change: GroupChange
    ) -> GroupChanged | GroupChangeRefused | NotLeader | Unknown:
        """Replicate a group change and return once a majority has synced it."""
        index = self._replica.change_group(change, stamped_at=time.time())
        if not isinstance(self._replica.role, Leader):
            return NotLeader(leader=self._replica.leader)
        if isinstance(index, GroupChangeRefused):
            return index
        is_accepted = await self._replicate(index)
        return GroupChanged(group=self._replica.group) if is_accepted else Unknown()

    async def keep_facts(self, facts: HostFacts) -> HostFacts | None:
        """Replicate facts of a host, and return all that are kept of it.

        Return None if this isn't the leader, or may not be any more: others may be kept then.
        """
        missing = self._replica.facts.missing(facts)
        if not missing.is_empty:
            index = self._replica.propose_facts(missing, stamped_at=time.time())
            if index is None or not await self._replicate(index):
                return None
        if not self.holds_lease:
            return None
        return self._replica.facts.of(facts.host)

    async def _replicate(self, index: int) -> bool:
        """Return whether a majority syncs the log of this leader up to an index in time."""
        term = self._replica.term
        self._changed.send()
        with suppress(JournalFull):
            await self._sync_leader_log(index, term)
        deadline = lease_now() + WRITE_TIMEOUT
        while self._replica.commit_index < index:
            remaining = deadline - lease_now()
            if remaining <= 0 or self._replica.term != term:
                return False
            await self._changed.wait(remaining)
        return self._replica.term == term

    async def hand_over(self) -> None:
        """Prepare for the stop of the process: pass on the lead and the vote.

        The replica accepts no more writes and starts no pre-votes.
        """
        self._replica.mark_stopping()
        await self._hand_over.pass_lead()
        await self._hand_over.pass_vote()

    def record_synced(self, index: int) -> None:
        """Count the leader's own log, synced up to an index, towards the majority."""
        self._replica.record_synced(index)
        self._record_accepted()
        self._changed.send()

    def _record_accepted(self) -> None:
        """Record an event if versions were accepted since the last call.

        It follows each step that can commit, without an await between them, so that no task sends
        an accepted version while the event isn't recorded.
        """
        version = self._replica.catalogue.version
        if version > self._recorded_version:
            self._events.record("accepted", version=version, after=str(self._recorded_version))
            self._recorded_version = version

    async def _handle_pre_vote(self, request: PreVote) -> PreVoteReply:
        """Return whether a vote would be granted.

        A reply that reports that this replica knows no leader is sent only after a sync.
        """
        reply = self._replica.handle_pre_vote(request, lease_now())
        if reply.idle:
            # Without a sync, this replica could forget the term in a crash and become its leader.
            await self._journal.sync()
        return reply

    async def _handle_vote(self, request: Vote) -> VoteReply:
        """Grant or deny a vote, and sync the decision before replying."""
        reply = self._replica.handle_vote(request, lease_now())
        await self._journal.sync()
        return reply

    async def _handle_append(self, append: Append | Install) -> AppendReply:
        """Append entries or install a snapshot, and sync before replying."""
        before = self._replica.commit_index, self._replica.leader
        match append:
            case Append():
                reply = self._replica.handle_append(append, lease_now())
            case Install():
                reply = self._replica.handle_install(append, lease_now())
        self._record_accepted()
        # Even a message without entries needs a sync: it may raise the term, and its reply may
        # acknowledge entries that the task of another connection has recorded but not yet synced.
        await self._journal.sync()
        if before != (self._replica.commit_index, self._replica.leader):
            self._changed.send()
        return reply

    async def _handle_take_over(self, request: TakeOver) -> TakingOver:
        """Start an election immediately at the request of the leader."""
        stands = self._replica.take_over(request, lease_now())
        if stands:
            await self._complete_role_change()
            self._changed.send()
        return TakingOver(stands=stands)

    async def _release(self, host: HostName) -> bool:
        """As leader, wait until the group does without a member's vote, unless it can't.

        Return False if this isn't the leader any more, so that the member has to ask another one.
        """
        self._replica.record_leaving(host)
        deadline = lease_now() + LEAVE_TIMEOUT
        while isinstance(self._replica.role, Leader) and lease_now() < deadline:
            await self._maintain_group()
            if self._replica.is_released(host, lease_now()):
                break
            await self._changed.wait(self._timing.heartbeat)
        return isinstance(self._replica.role, Leader)

    async def _run_elections(self) -> None:
        """Start a pre-vote when the leader is silent; as leader, step down without a quorum.

        A leader also hands over if the group should do without its vote.
        """
        while True:
            now = lease_now()
            if isinstance(self._replica.role, Leader):
                if self._replica.check_quorum(now):
                    self._events.record("no-quorum", term=str(self._replica.term))
                    self._changed.send()
                elif self._replica.should_hand_over(now, self._data_centres):
                    await self._hand_over.pass_lead()
                await asyncio.sleep(self._timing.heartbeat)
                continue
            if now < self._replica.election_due_at:
                # The role can change in another task, so check it again at each heartbeat.
                await asyncio.sleep(
                    min(self._replica.election_due_at - now, self._timing.heartbeat)
                )
                continue
            self._replica.start_pre_vote(now)
            with suppress(JournalFull):
                await self._complete_role_change()
            self._changed.send()

    async def _watch_disk(self) -> None:
        """Leave the lead to others while the disk is full, and try it until there is room again."""
        while True:
            await self._journal.wait_until_full()
            self._events.record("disk", state="full")
            self._replica.set_disk_full(True)
            await self._hand_over.pass_lead()
            self._replica.resign(lease_now())
            self._changed.send()
            await self._wait_for_room()
            self._replica.set_disk_full(False)
            self._events.record("disk", state="has room")

    async def _wait_for_room(self) -> None:
        """Wait until what was recorded is on disk."""
        while True:
            try:
                await self._journal.sync()
                return
            except JournalFull:
                await asyncio.sleep(ROOM_CHECK_INTERVAL)

    async def _maintain_member_tasks(self, task_group: asyncio.TaskGroup) -> None:
        """Run one connection task per other member; that of a removed member returns by itself."""
        tasks_by_host: dict[HostName, asyncio.Task[None]] = {}
        while True:
            for member in self._replica.group.members:
                task = tasks_by_host.get(member.host)
                if member.host != self._replica.host and (task is None or task.done()):
                    tasks_by_host[member.host] = task_group.create_task(
                        self._keep_connection_to(member.host)
                    )
            await self._changed.wait()

    async def _keep_connection_to(self, host: HostName) -> None:
        """Keep a connection to a group member, and send it entries or requests for votes."""
        while (member := self._replica.group.member(host)) is not None:
            try:
                async with connect(member.address, "/replica") as link:
                    replica_id = await self._handshake(link, host, member.replica_id)
                    self._replica.record_start(host)
                    await self._send_requests(host, replica_id, link)
            except (LinkClosed, Malformed, TimeoutError, JournalFull):
                await asyncio.sleep(self._timing.heartbeat)

    async def _handshake(self, link: Link, host: HostName, expected_id: ReplicaId) -> ReplicaId:
        """Return the responding replica id; raise LinkClosed if the handshake is rejected."""
        timeout = self._timing.election_timeout
        match await greet(link, group=self._group_name, expected_id=expected_id, timeout=timeout):
            case Welcome(replica_id=replica_id):
                return replica_id
            case Stranger(group=group, replica_id=replica_id):
                if expected_id and group == self._group_name:
                    self._replica.record_identity_mismatch(host, lease_now())
                    await self._complete_role_change()
                raise LinkClosed(f"replica {replica_id} of group {group} answers")

    async def _accept_handshake(self, link: Link) -> bool:
        """Respond to a handshake and return whether it is addressed to this replica."""
        own = self._replica.replica_id
        match await link.receive():
            case Greeting(group=group, wanted=expected_id):
                accepted = group == self._group_name and self._replica.matches_identity(expected_id)
            case _:
                return False
        if accepted:
            await link.send(Welcome(replica_id=own))
        else:
            await link.send(Stranger(group=self._group_name, replica_id=own))
        return accepted

    async def _send_requests(self, host: HostName, replica_id: ReplicaId, link: Link) -> None:
        """Send one request at a time and handle its reply, while the host's member keeps its id."""
        while self._replica.check_identity(host, replica_id):
            request = self._replica.next_message_for(host) or self._replica.vote_request_for(host)
            if request is None:
                await self._changed.wait(self._timing.heartbeat)
                continue
            sent_at = lease_now()
            # The next heartbeat waits for the reply, so an entry mustn't be long on its way.
            await link.send_compressed(request)
            reply = await link.receive(timeout=self._timing.election_timeout)
            if not self._replica.check_identity(host, replica_id):
                break
            await self._handle_reply(reply, sent_at)
            if not self._replica.is_behind(host):
                await self._changed.wait(self._timing.heartbeat)
        raise LinkClosed(f"replica {replica_id} is not the member on {host}")

    async def _handle_reply(self, reply: object, sent_at: float) -> None:
        """Handle a member's reply, and sync and signal the changes that follow from it."""
        commit = self._replica.commit_index
        match reply:
            case AppendReply():
                self._replica.handle_append_reply(reply, sent_at=sent_at)
                self._record_accepted()
            case PreVoteReply():
                self._replica.handle_pre_vote_reply(reply, lease_now())
            case VoteReply():
                self._replica.handle_vote_reply(reply, lease_now())
            case _:
                raise Malformed("a voter answered with another message")
        await self._complete_role_change()
        await self._maintain_group()
        if self._replica.commit_index != commit:
            self._changed.send()

    async def _maintain_group(self) -> bool:
        """As leader, append and sync the group change that is due; return whether there was one."""
        index = self._replica.maintain_group(
            stamped_at=time.time(), now=lease_now(), data_centres=self._data_centres
        )
        if index is None:
            return False
        group = self._replica.group
        voters = " ".join(voter.host for voter in group.voters)
        learners = " ".join(learner.host for learner in group.learners)
        self._events.record("regrouped", voters=voters, learners=learners)
        self._changed.send()
        await self._sync_leader_log(index, self._replica.term)
        return True

    @property
    def _data_centres(self) -> dict[HostName, DataCentre]:
        """Return the known data centres of the group's members."""
        found = {
            member.host: self._data_centre_of(member.host) for member in self._replica.group.members
        }
        return {host: centre for host, centre in found.items() if centre is not None}

    async def _complete_role_change(self) -> None:
        """Record and sync that this replica became candidate or leader, once per role and term."""
        term = self._replica.term
        if isinstance(self._replica.role, Candidate) and self._candidate_term != term:
            self._candidate_term = term
            self._events.record("candidate", term=str(term))
            await self._journal.sync()
            self._replica.record_own_vote(term, lease_now())
            self._changed.send()
        if isinstance(self._replica.role, Leader) and self._leader_term != self._replica.term:
            self._leader_term = self._replica.term
            self._events.record("leader", term=str(self._replica.term))
            self._changed.send()
            await self._sync_leader_log(self._replica.last_index, self._replica.term)

    async def _sync_leader_log(self, index: int, term: int) -> None:
        """Sync the leader's own log and count the leader towards the majority."""
        await self._journal.sync()
        if self._replica.term == term and isinstance(self._replica.role, Leader):
            self.record_synced(index)
