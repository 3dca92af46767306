"""The tasks of a replica: one for each voter, and one that watches the leader."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from cowslipvane.catalogue import Change, Outcome
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.replica import (
    Append,
    AppendReply,
    Candidate,
    Group,
    GroupChange,
    GroupChangeRefused,
    Install,
    Journal,
    Leader,
    PreVote,
    PreVoteReply,
    Replica,
    TakeOver,
    TakingOver,
    Vote,
    Voter,
    VoteReply,
)
from cowslipvane.settings import Timing
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import HostName, ReplicaId, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Append, AppendReply, Install, PreVote, PreVoteReply, Vote, VoteReply)
register(TakeOver, TakingOver)

WRITE_TIMEOUT: Seconds = 5.0
# How long a stopping leader waits for a voter to hold its whole log, and for that one's answer.
HAND_OVER_TIMEOUT: Seconds = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader:
    """The change was not run here; the leader, if known, takes it."""

    leader: HostName | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """It isn't known whether the change was accepted; ask again with the same operation id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupChanged:
    """The change of the group is accepted; a learner becomes a voter once it has everything."""

    group: Group


@dataclass(frozen=True, slots=True, kw_only=True)
class Greeting:
    """Opens a connection: the group, and the identity that the member should have, if known."""

    group: str
    wanted: ReplicaId


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome:
    """Answers a greeting with the identity of the data folder here."""

    replica_id: ReplicaId


@dataclass(frozen=True, slots=True, kw_only=True)
class Stranger:
    """Answers a greeting that is meant for another group or another data folder."""

    group: str
    replica_id: ReplicaId


register(Greeting, Welcome, Stranger)


class Replication:
    """Drives one replica: carries its messages and syncs its journal."""

    def __init__(
        self,
        *,
        replica: Replica,
        group_name: str,
        journal: Journal,
        timing: Timing,
        events: EventLog,
    ) -> None:
        self._replica = replica
        self._group_name = group_name
        self._journal = journal
        self._timing = timing
        self._events = events
        self._changed = Signal()
        self._stood_in = 0
        self._led_in = 0
        self._noted = replica.catalogue.version

    @property
    def replica(self) -> Replica:
        """Return the replica."""
        return self._replica

    @property
    def changed(self) -> Signal:
        """Return the signal that is sent when the log, the commit index or the role changes."""
        return self._changed

    @property
    def holds_lease(self) -> bool:
        """Return whether no other replica can have become leader by now."""
        return self._replica.holds_lease(lease_now())

    @property
    def is_current(self) -> bool:
        """Return whether what is committed here can't be older than an election timeout."""
        return self._replica.is_current(lease_now())

    async def run(self) -> None:
        """Run the tasks of this replica until they are cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._journal.wait_for_failure())
            tasks.create_task(self._watch_leader())
            await self._keep_followers(tasks)

    async def serve(self, link: Link) -> None:
        """Answer one member's requests, in order."""
        if not await self._welcome(link):
            return
        while True:
            match await link.receive():
                case PreVote() as request:
                    await link.send(await self._answer_pre_vote(request))
                case Vote() as request:
                    await link.send(await self._answer_vote(request))
                case Append() as append:
                    await link.send(await self._answer_append(append))
                case Install() as install:
                    await link.send(await self._answer_append(install))
                case TakeOver() as request:
                    await link.send(await self._answer_take_over(request))
                case _:
                    return

    async def write(self, change: Change) -> Outcome | NotLeader | Unknown:
        """Replicate a change and return its outcome once a majority has it synced."""
        known = self._replica.catalogue.outcome(change.operation_id)
        if known is not None:
            return known
        index = self._replica.propose(change, stamped_at=time.time())
        if index is None:
            return NotLeader(leader=self._replica.leader)
        term = self._replica.term
        self._changed.send()
        await self._sync_own(index, term)
        deadline = lease_now() + WRITE_TIMEOUT
        while lease_now() < deadline:
            outcome = self._replica.catalogue.outcome(change.operation_id)
            if outcome is not None:
                return outcome
            if self._replica.term != term or not isinstance(self._replica.role, Leader):
                return Unknown()
            await self._changed.wait(deadline - lease_now())
        return Unknown()

    async def change_group(
        self, change: GroupChange
    ) -> GroupChanged | GroupChangeRefused | NotLeader | Unknown:
        """Replicate a change of the group and return once a majority has it synced."""
        index = self._replica.change_group(change, stamped_at=time.time())
        if not isinstance(self._replica.role, Leader):
            return NotLeader(leader=self._replica.leader)
        if isinstance(index, GroupChangeRefused):
            return index
        term = self._replica.term
        self._changed.send()
        await self._sync_own(index, term)
        deadline = lease_now() + WRITE_TIMEOUT
        while self._replica.commit_index < index:
            left = deadline - lease_now()
            if left <= 0 or self._replica.term != term:
                return Unknown()
            await self._changed.wait(left)
        return GroupChanged(group=self._replica.group) if self._replica.term == term else Unknown()

    async def hand_over(self) -> None:
        """Let another replica lead, if this one does, because the process is stopping."""
        self._replica.mark_stopping()
        term = self._replica.term
        give_up = lease_now() + HAND_OVER_TIMEOUT
        while isinstance(self._replica.role, Leader):
            successor = self._replica.hand_over(lease_now())
            if successor is not None:
                self._changed.send()
                await self._ask_to_take_over(successor, term)
                return
            left = give_up - lease_now()
            if left <= 0:
                self._events.record("handed-over", outcome="no voter holds the whole log")
                return
            await self._changed.wait(min(left, self._timing.heartbeat))

    def record_accepted(self) -> None:
        """Record the versions that were accepted since the last call."""
        version = self._replica.catalogue.version
        if version > self._noted:
            self._events.record("accepted", version=version, after=str(self._noted))
            self._noted = version

    async def _answer_pre_vote(self, request: PreVote) -> PreVoteReply:
        """Say whether a vote would be granted; what binds this replica is synced before."""
        reply = self._replica.handle_pre_vote(request, lease_now())
        if reply.idle:
            # A term that a crash takes back could be led here after all.
            await self._journal.sync()
        return reply

    async def _answer_vote(self, request: Vote) -> VoteReply:
        """Decide on a vote and sync it."""
        reply = self._replica.handle_vote(request, lease_now())
        await self._journal.sync()
        return reply

    async def _answer_append(self, append: Append | Install) -> AppendReply:
        """Take entries or a snapshot and sync them."""
        before = self._replica.commit_index, self._replica.leader
        match append:
            case Append():
                reply = self._replica.handle_append(append, lease_now())
            case Install():
                reply = self._replica.handle_install(append, lease_now())
        # Also a message without entries may bring a new term, or vouch for entries that another
        # connection's task has recorded and not synced yet.
        await self._journal.sync()
        if before != (self._replica.commit_index, self._replica.leader):
            self._changed.send()
        return reply

    async def _answer_take_over(self, request: TakeOver) -> TakingOver:
        """Stand at once when the leader asks for it."""
        stands = self._replica.take_over(request, lease_now())
        if stands:
            await self._follow_up()
            self._changed.send()
        return TakingOver(stands=stands)

    async def _ask_to_take_over(self, successor: Voter, term: int) -> None:
        """Ask a voter to lead in place of this replica, and record what became of it."""
        try:
            async with (
                asyncio.timeout(HAND_OVER_TIMEOUT),
                connect(successor.address, "/replica") as link,
            ):
                await self._greet(link, successor.host, successor.replica_id)
                await link.send(TakeOver(term=term))
                match await link.receive():
                    case TakingOver(stands=stands):
                        outcome = "it stands" if stands else "it doesn't stand"
                    case _:
                        raise Malformed("a voter answered with another message")
        except (LinkClosed, Malformed, TimeoutError) as error:
            outcome = f"not known: {error!r}"
        self._events.record("handed-over", to=successor.host, term=str(term), outcome=outcome)

    async def _watch_leader(self) -> None:
        """Canvass whenever the leader has been silent, and stop leading without a quorum."""
        while True:
            now = lease_now()
            if isinstance(self._replica.role, Leader):
                if self._replica.check_quorum(now):
                    self._events.record("no-quorum", term=str(self._replica.term))
                    self._changed.send()
                await asyncio.sleep(self._timing.heartbeat)
                continue
            if now < self._replica.election_due_at:
                # A leader may emerge meanwhile in another task, and then needs watching.
                await asyncio.sleep(
                    min(self._replica.election_due_at - now, self._timing.heartbeat)
                )
                continue
            self._replica.start_pre_vote(now)
            await self._follow_up()
            self._changed.send()

    async def _keep_followers(self, tasks: asyncio.TaskGroup) -> None:
        """Keep a task for each other member of the group; one that is removed ends by itself."""
        followers: dict[HostName, asyncio.Task[None]] = {}
        while True:
            for member in self._replica.group.members:
                follower = followers.get(member.host)
                if member.host != self._replica.host and (follower is None or follower.done()):
                    followers[member.host] = tasks.create_task(self._follow(member.host))
            await self._changed.wait()

    async def _follow(self, host: HostName) -> None:
        """Keep one connection to a member, as long as it is one, and send it what it needs."""
        while (member := self._replica.group.member(host)) is not None:
            try:
                async with connect(member.address, "/replica") as link:
                    replica_id = await self._greet(link, host, member.replica_id)
                    await self._converse(host, replica_id, link)
            except (LinkClosed, Malformed, TimeoutError):
                await asyncio.sleep(self._timing.heartbeat)

    async def _greet(self, link: Link, host: HostName, wanted: ReplicaId) -> ReplicaId:
        """Return the identity that answers; raise LinkClosed when it is another."""
        await link.send(Greeting(group=self._group_name, wanted=wanted))
        match await link.receive(timeout=self._timing.election_timeout):
            case Welcome(replica_id=replica_id):
                return replica_id
            case Stranger(group=group, replica_id=replica_id):
                if wanted and group == self._group_name:
                    self._replica.record_identity_mismatch(host, lease_now())
                    await self._follow_up()
                raise LinkClosed(f"replica {replica_id} of group {group} answers")
            case _:
                raise Malformed("a member answered a greeting with another message")

    async def _welcome(self, link: Link) -> bool:
        """Answer a greeting and return whether it is meant for this replica."""
        own = self._replica.replica_id
        match await link.receive():
            case Greeting(group=group, wanted=wanted):
                meant = group == self._group_name and wanted in ("", own)
            case _:
                return False
        if meant:
            await link.send(Welcome(replica_id=own))
        else:
            await link.send(Stranger(group=self._group_name, replica_id=own))
        return meant

    async def _converse(self, host: HostName, replica_id: ReplicaId, link: Link) -> None:
        """Send one request at a time and count its reply, while the identity is the member's."""
        while self._replica.check_identity(host, replica_id):
            request = self._replica.next_message_for(host) or self._replica.vote_request_for(host)
            if request is None:
                await self._changed.wait(self._timing.heartbeat)
                continue
            sent_at = lease_now()
            await link.send(request)
            reply = await link.receive(timeout=self._timing.election_timeout)
            if not self._replica.check_identity(host, replica_id):
                break
            await self._count(reply, sent_at)
            if not self._replica.is_behind(host):
                await self._changed.wait(self._timing.heartbeat)
        raise LinkClosed(f"replica {replica_id} is not the member on {host}")

    async def _count(self, reply: object, sent_at: float) -> None:
        """Count a voter's reply."""
        commit = self._replica.commit_index
        match reply:
            case AppendReply():
                self._replica.handle_append_reply(reply, sent_at=sent_at)
            case PreVoteReply():
                self._replica.handle_pre_vote_reply(reply, lease_now())
            case VoteReply():
                self._replica.handle_vote_reply(reply, lease_now())
            case _:
                raise Malformed("a voter answered with another message")
        await self._follow_up()
        index = self._replica.maintain_group(stamped_at=time.time(), now=lease_now())
        if index is not None:
            self._changed.send()
            await self._sync_own(index, self._replica.term)
        if self._replica.commit_index != commit:
            self._changed.send()

    async def _follow_up(self) -> None:
        """Sync what a role has recorded that the replica has come to in this term."""
        term = self._replica.term
        if isinstance(self._replica.role, Candidate) and self._stood_in != term:
            self._stood_in = term
            self._events.record("candidate", term=str(term))
            await self._journal.sync()
            self._replica.record_own_vote(term, lease_now())
            self._changed.send()
        if isinstance(self._replica.role, Leader) and self._led_in != self._replica.term:
            self._led_in = self._replica.term
            self._events.record("leader", term=str(self._replica.term))
            self._changed.send()
            await self._sync_own(self._replica.last_index, self._replica.term)

    async def _sync_own(self, index: int, term: int) -> None:
        """Sync the leader's own log and count it towards the majority."""
        await self._journal.sync()
        if self._replica.term == term and isinstance(self._replica.role, Leader):
            self._replica.record_synced(index)
            self._changed.send()
