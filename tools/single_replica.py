"""A replica group with one voter, in this process and without storage."""

from __future__ import annotations

import asyncio
import random
import time
from types import TracebackType
from typing import Self

from websockets.asyncio.server import Server, ServerConnection, serve

from cowslipvane.catalogue import Change, Key, Spec
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.membership import Member, Membership
from cowslipvane.replica import Ballot, Entry, LogSnapshot, Recovered, Replica, Voter
from cowslipvane.rollout import Observations
from cowslipvane.settings import Settings, Timing
from cowslipvane.tasks.distribution._publisher import Publisher
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import (
    Address,
    DataCentre,
    HostName,
    OperationId,
    ReplicaId,
    Seconds,
    Version,
)
from cowslipvane.wire import Link, LinkClosed, anonymous_identity

IP = "127.0.0.1"
HOST = HostName("single")


class NullJournal:
    """Journal that stores nothing."""

    def record_ballot(self, ballot: Ballot) -> None:
        """Do nothing."""

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Do nothing."""

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Do nothing."""

    async def sync(self) -> None:
        """Return at once."""

    async def wait_for_failure(self) -> None:
        """Return without raising, since no write can fail."""

    async def wait_until_full(self) -> None:
        """Wait for ever, since there is always room."""
        await asyncio.Event().wait()


def lone_membership(settings: Settings) -> Membership:
    """Return the membership of a process that knows no other."""
    listen = settings.listen
    own = Member(
        settings.host,
        settings.data_centre,
        1,
        1,
        listen.peers,
        listen.operators,
        listen.callers,
        "up",
        None,
    )
    return Membership(own=own, now=time.monotonic())


def event_log(host: str = HOST) -> EventLog:
    """Return an event log that writes to no file."""
    origin = Origin(HostName(host), DataCentre("here"), 1)
    return EventLog(origin=origin, clock=HybridClock())


class SingleReplica:
    """Publishes updates to proxies, as the leader by default and as a follower otherwise."""

    def __init__(self, *, leads: bool = True, pull_wait: Seconds = 10.0) -> None:
        now = time.monotonic()
        self.replica = Replica(
            host=HOST,
            replica_id=ReplicaId("single"),
            founders=(Voter(HOST, Address(IP, 1), ReplicaId("single")),),
            journal=NullJournal(),
            recovered=Recovered(Ballot(0, None), ()),
            election_timeout=1.0,
            rng=random.Random(1),
            now=now,
        )
        self.replication = Replication(
            replica=self.replica,
            group_name="single",
            journal=NullJournal(),
            timing=Timing(),
            events=event_log(),
        )
        own = Member(
            HOST, DataCentre("here"), 1, 0, Address(IP, 1), Address(IP, 1), None, "up", None
        )
        self.membership = Membership(own=own, now=now)
        self.observations = Observations()
        self.publisher = Publisher(
            replication=self.replication,
            membership=self.membership,
            pull_wait=pull_wait,
            observations=self.observations,
        )
        if leads:
            self.lead()

    async def __aenter__(self) -> Self:
        """Start the listener and the publisher."""
        self._server: Server = await serve(
            self._serve, IP, 0, compression=None, ping_interval=None
        ).__aenter__()
        self._task = asyncio.create_task(self.publisher.run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the listener and the publisher."""
        self._task.cancel()
        self.close()
        await self._server.wait_closed()

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return Address(IP, next(iter(self._server.sockets)).getsockname()[1])

    def lead(self) -> None:
        """Win an election and notify the waiting tasks."""
        now = time.monotonic()
        self.replica.start_election(now)
        self.replica.record_own_vote(self.replica.term, now)
        self.replication.record_synced(self.replica.last_index)

    def close(self) -> None:
        """Close the listener and every connection."""
        self._server.close()

    def put(self, *puts: tuple[Key, Spec]) -> Version:
        """Accept a change, notify the waiting pulls and return the new version."""
        catalogue = self.replica.catalogue
        operation_id = OperationId(str(catalogue.version))
        change = Change(operation_id, catalogue.version, puts)
        index = self.replica.propose(change, stamped_at=time.time())
        assert index is not None
        self.replication.record_synced(index)
        return catalogue.version

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve the connection of a proxy until it closes."""
        try:
            await self.publisher.serve(Link(connection=connection, identity=anonymous_identity()))
        except LinkClosed:
            return
