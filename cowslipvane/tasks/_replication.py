"""The tasks of a replica: one for each voter, and one that watches the leader."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from cowslipvane.catalogue import Change, Outcome
from cowslipvane.events import EventLog
from cowslipvane.replica import (
    Append,
    AppendReply,
    Journal,
    Leader,
    Replica,
    Vote,
    Voter,
    VoteReply,
)
from cowslipvane.settings import Timing
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import HostName, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Append, AppendReply, Vote, VoteReply)

WRITE_TIMEOUT: Seconds = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader:
    """The change was not run here; the leader, if known, takes it."""

    leader: HostName | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """It isn't known whether the change was accepted; ask again with the same operation id."""


class Replication:
    """Drives one replica: carries its messages and syncs its journal."""

    def __init__(
        self, *, replica: Replica, journal: Journal, timing: Timing, events: EventLog
    ) -> None:
        self._replica = replica
        self._journal = journal
        self._timing = timing
        self._events = events
        self._changed = Signal()
        self._was_leader = False
        self._noted = replica.catalogue.version

    @property
    def replica(self) -> Replica:
        """Return the replica."""
        return self._replica

    @property
    def changed(self) -> Signal:
        """Return the signal that is sent when the log, the commit index or the role changes."""
        return self._changed

    async def run(self) -> None:
        """Run the tasks of this replica until they are cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_leader())
            for voter in self._replica.voters:
                if voter.host != self._replica.host:
                    tasks.create_task(self._follow(voter))

    async def serve(self, link: Link) -> None:
        """Answer one voter's requests, in order."""
        while True:
            match await link.receive():
                case Vote() as request:
                    await link.send(await self._answer_vote(request))
                case Append() as append:
                    await link.send(await self._answer_append(append))
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
        deadline = time.monotonic() + WRITE_TIMEOUT
        while time.monotonic() < deadline:
            outcome = self._replica.catalogue.outcome(change.operation_id)
            if outcome is not None:
                return outcome
            if self._replica.term != term:
                return Unknown()
            await self._changed.wait(deadline - time.monotonic())
        return Unknown()

    def note_accepted(self) -> None:
        """Record the versions that were accepted since the last call."""
        version = self._replica.catalogue.version
        if version > self._noted:
            self._events.record("accepted", version=version, after=str(self._noted))
            self._noted = version

    async def _answer_vote(self, request: Vote) -> VoteReply:
        """Decide on a vote and sync it."""
        reply = self._replica.consider_vote(request, time.monotonic())
        await self._journal.sync()
        return reply

    async def _answer_append(self, append: Append) -> AppendReply:
        """Take entries and sync them."""
        before = self._replica.commit, self._replica.leader
        reply = self._replica.consider_append(append, time.monotonic())
        if append.entries:
            await self._journal.sync()
            self._replica.count_synced(reply.index)
        if before != (self._replica.commit, self._replica.leader):
            self._changed.send()
        return reply

    async def _watch_leader(self) -> None:
        """Stand for election whenever the leader has been silent for too long."""
        while True:
            now = time.monotonic()
            if isinstance(self._replica.role, Leader) or now < self._replica.election_at:
                wait = max(self._replica.election_at - now, self._timing.heartbeat)
                await asyncio.sleep(wait)
                continue
            self._replica.stand(now)
            term = self._replica.term
            self._events.record("candidate", term=str(term))
            await self._journal.sync()
            self._replica.count_own_vote(term, time.monotonic())
            await self._note_leadership()
            self._changed.send()

    async def _follow(self, voter: Voter) -> None:
        """Keep one connection to a voter and send it what it needs."""
        while True:
            try:
                async with connect(voter.address, "/replica") as link:
                    await self._converse(voter, link)
            except (LinkClosed, Malformed, TimeoutError):
                await asyncio.sleep(self._timing.heartbeat)

    async def _converse(self, voter: Voter, link: Link) -> None:
        """Send one request at a time and count its reply."""
        while True:
            request = self._replica.append_for(voter.host) or self._replica.vote_for(voter.host)
            if request is None:
                await self._changed.wait(self._timing.heartbeat)
                continue
            sent_at = time.monotonic()
            await link.send(request)
            reply = await asyncio.wait_for(link.receive(), self._timing.election_timeout)
            await self._count(reply, sent_at)
            if not self._replica.wants(voter.host):
                await self._changed.wait(self._timing.heartbeat)

    async def _count(self, reply: object, sent_at: float) -> None:
        """Count a voter's reply."""
        commit = self._replica.commit
        match reply:
            case AppendReply():
                self._replica.count_append(reply, sent_at=sent_at)
            case VoteReply():
                self._replica.count_vote(reply, time.monotonic())
            case _:
                raise Malformed("a voter answered with another message")
        await self._note_leadership()
        if self._replica.commit != commit:
            self._changed.send()

    async def _note_leadership(self) -> None:
        """Sync the first entry of a term that this replica has come to lead."""
        leads = isinstance(self._replica.role, Leader)
        if leads and not self._was_leader:
            self._was_leader = True
            self._events.record("leader", term=str(self._replica.term))
            self._changed.send()
            await self._sync_own(self._replica.last_index, self._replica.term)
        self._was_leader = leads

    async def _sync_own(self, index: int, term: int) -> None:
        """Sync the leader's own log and count it towards the majority."""
        await self._journal.sync()
        if self._replica.term == term and isinstance(self._replica.role, Leader):
            self._replica.count_synced(index)
            self._changed.send()
