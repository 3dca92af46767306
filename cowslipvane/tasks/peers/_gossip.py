"""Gossip of membership records: one task per neighbour, and one for the seeds."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable

from cowslipvane.events import EventLog
from cowslipvane.membership import (
    Compare,
    Exchange,
    ExchangeReply,
    Feed,
    Hello,
    Member,
    Membership,
)
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import Address, HostName, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Hello, Exchange, Compare, ExchangeReply)

# Updates are held back this long, so that many simultaneous changes are sent in one message.
BATCH_DELAY: Seconds = 0.02
# A neighbour is suspected when its reply takes longer than this many heartbeat intervals.
REPLY_TIMEOUT_HEARTBEATS = 4
# Heartbeat interval of neighbours without frequent heartbeats, as a multiple of the usual one.
INFREQUENT_HEARTBEAT_FACTOR = 10
# A connection without a message for this many heartbeat intervals is closed.
IDLE_TIMEOUT_HEARTBEATS = 4 * INFREQUENT_HEARTBEAT_FACTOR
# Mean time between two synchronizations with a seed, as a multiple of the heartbeat interval.
SEED_INTERVAL_FACTOR = 10
# A synchronization with a seed ends after this many exchanges, complete or not.
MAX_SEED_EXCHANGES = 6


class Gossip:
    """Synchronizes the membership with neighbours, and detects failed ones."""

    def __init__(
        self,
        *,
        membership: Membership,
        seeds: tuple[Address, ...],
        interval: Seconds,
        events: EventLog,
    ) -> None:
        self._membership = membership
        self._seeds: list[Address] = []
        self.update_seeds(seeds)
        self._interval = interval
        self._events = events
        self._changed = Signal()
        self._neighbours: dict[HostName, asyncio.Task[None]] = {}
        self._frequent_heartbeat_hosts: set[HostName] = set()
        self._rng = random.Random()
        self._announced_revision = membership.revision

    @property
    def membership(self) -> Membership:
        """Return the membership."""
        return self._membership

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the addresses of the seeds."""
        self._seeds = [address for address in seeds if address != self._membership.own.peers]

    def notify_neighbours(self) -> None:
        """Send this process's changed record to the neighbours before the next heartbeat."""
        self._changed.send()

    async def run(self) -> None:
        """Run a task per neighbour, and one for the seeds, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._synchronize_with_seeds())
            while True:
                for member in self._membership.expire(time.monotonic()):
                    self._events.record("member", member=member.host, state="dead")
                self._update_neighbours(tasks)
                await self._changed.wait(self._interval)
                await asyncio.sleep(BATCH_DELAY)

    async def serve(self, link: Link) -> None:
        """Handle the exchanges of one neighbour in order until it is silent for too long."""
        try:
            await self._handle_exchanges(link)
        except TimeoutError:
            return

    async def _handle_exchanges(self, link: Link) -> None:
        """Handle exchanges; raise TimeoutError when none is received in time."""
        timeout = self._interval * IDLE_TIMEOUT_HEARTBEATS
        match await link.receive(timeout=timeout):
            case Hello(data_centre=data_centre, guest=guest):
                feed = Feed(membership=self._membership, data_centre=data_centre, guest=guest)
            case _:
                return
        while True:
            match await link.receive(timeout=timeout):
                case Exchange() | Compare() as message:
                    reply, updated_members = feed.handle_message(message, time.monotonic())
                    self._record_updates(updated_members)
                    await link.send(reply)
                case _:
                    return

    def _update_neighbours(self, tasks: asyncio.TaskGroup) -> None:
        """Start the tasks of new neighbours and cancel those of former ones."""
        neighbours = {neighbour.host: neighbour for neighbour in self._membership.neighbours()}
        for host in self._neighbours.keys() - neighbours.keys():
            self._neighbours.pop(host).cancel()
        for host in neighbours.keys() - self._neighbours.keys():
            self._neighbours[host] = tasks.create_task(self._gossip_with(host))
        self._frequent_heartbeat_hosts = {
            host for host, neighbour in neighbours.items() if neighbour.frequent_heartbeats
        }

    async def _gossip_with(self, host: HostName) -> None:
        """Keep a connection to a neighbour, and suspect the neighbour if none can be opened."""
        while True:
            member = self._membership.member(host)
            if member is None:
                return
            try:
                async with connect(member.peers, "/members") as link:
                    await self._run_exchanges(link, member)
            except (LinkClosed, Malformed):
                # A restarting neighbour closes its connections too, so try to reconnect first.
                await self._suspect_unless_reachable(member)
            await asyncio.sleep(self._interval)

    async def _suspect_unless_reachable(self, member: Member) -> None:
        """Suspect a neighbour if a connection to it can't be opened."""
        try:
            async with connect(member.peers, "/members"):
                return
        except LinkClosed:
            if self._membership.suspect(member.host, time.monotonic()):
                self._record_suspicion(member.host)

    async def _run_exchanges(self, link: Link, member: Member) -> None:
        """Exchange updates and heartbeats with one neighbour until a reply is missing."""
        feed = await self._open_feed(link, member)
        while True:
            sent_at = time.monotonic()
            try:
                await self._exchange(link, feed)
            except TimeoutError:
                due_at = sent_at + self._reply_timeout
                if self._membership.handle_missed_reply(member.host, due_at, time.monotonic()):
                    self._record_suspicion(member.host)
                return
            if not feed.has_updates:
                await self._changed.wait(
                    feed.next_exchange_delay(self._heartbeat_interval(member.host))
                )
                await asyncio.sleep(BATCH_DELAY)

    def _heartbeat_interval(self, host: HostName) -> Seconds:
        """Return the time between heartbeats to a neighbour."""
        return self._interval * (
            1 if host in self._frequent_heartbeat_hosts else INFREQUENT_HEARTBEAT_FACTOR
        )

    async def _synchronize_with_seeds(self) -> None:
        """Synchronize with a random seed at intervals while the membership requires it."""
        while True:
            if self._seeds and self._membership.needs_seed():
                await self._synchronize_with_seed(self._rng.choice(self._seeds))
            factor = 1 if self._membership.is_alone() else SEED_INTERVAL_FACTOR
            # The jitter spreads the load of processes that were started together.
            await asyncio.sleep(self._interval * factor * self._rng.uniform(0.5, 1.5))

    async def _synchronize_with_seed(self, address: Address) -> None:
        """Exchange records with a seed until both sides are synchronized."""
        seed = next((item for item in self._membership.members if item.peers == address), None)
        try:
            async with connect(address, "/members") as link:
                feed = await self._open_feed(link, seed, guest=True)
                for _ in range(MAX_SEED_EXCHANGES):
                    await self._exchange(link, feed)
                    if feed.is_synchronized:
                        return
        except (LinkClosed, Malformed, TimeoutError):
            return

    async def _open_feed(self, link: Link, member: Member | None, guest: bool = False) -> Feed:
        """Introduce this process on a new connection and return the feed for it."""
        own = self._membership.own
        await link.send(Hello(sender=own.host, data_centre=own.data_centre, guest=guest))
        data_centre = member.data_centre if member else None
        return Feed(membership=self._membership, data_centre=data_centre)

    async def _exchange(self, link: Link, feed: Feed) -> None:
        """Send pending updates to the other side and apply its reply."""
        message = feed.next_message(time.monotonic())
        await link.send(message)
        match await link.receive(timeout=self._reply_timeout):
            case ExchangeReply() as reply:
                self._record_updates(feed.handle_reply(message, reply, time.monotonic()))
            case _:
                raise Malformed("a neighbour answered with another message")

    @property
    def _reply_timeout(self) -> Seconds:
        """Return the timeout of a reply."""
        return self._interval * REPLY_TIMEOUT_HEARTBEATS

    def _record_suspicion(self, host: HostName) -> None:
        """Record that this process suspects a member, and notify the neighbours."""
        self._events.record("member", member=host, state="suspected")
        self._changed.send()

    def _record_updates(self, updated_members: Iterable[Member]) -> None:
        """Record updated members, and notify the neighbours if any record has changed."""
        for member in updated_members:
            state = "suspected" if member.suspected else member.state
            self._events.record("member", member=member.host, state=state)
        if self._membership.revision != self._announced_revision:
            self._announced_revision = self._membership.revision
            self._changed.send()
