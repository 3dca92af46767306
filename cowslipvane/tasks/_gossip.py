"""The spread of membership: one task for each neighbour, one for the seeds."""

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

# News waits this long for more of it, so that a herd's changes travel together.
BATCH_DELAY: Seconds = 0.02
# A neighbour that takes longer to reply than this many heartbeats is suspected.
REPLY_TIMEOUT_HEARTBEATS = 4
# A distant neighbour gets a heartbeat this seldom, as a multiple of the near ones' interval.
DISTANT_HEARTBEAT_FACTOR = 10
# A connection on which nothing came for this many heartbeats is closed.
IDLE_HEARTBEATS = 4 * DISTANT_HEARTBEAT_FACTOR
# Time between two conversations with seeds, as a multiple of the interval.
SEED_INTERVAL_FACTOR = 10
# A conversation with a seed ends after this many exchanges, settled or not.
MAX_SEED_EXCHANGES = 6


class Gossip:
    """Keeps the membership in step with neighbours, and judges whether they live."""

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
        self._near: set[HostName] = set()
        self._rng = random.Random()
        self._noted = membership.revision

    @property
    def membership(self) -> Membership:
        """Return the membership."""
        return self._membership

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Ask these processes from now on."""
        self._seeds = [address for address in seeds if address != self._membership.own.peers]

    def notify_neighbours(self) -> None:
        """Tell the neighbours at once, because the own record has changed."""
        self._changed.send()

    async def run(self) -> None:
        """Keep a task for each neighbour, and one for the seeds, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._ask_seeds())
            while True:
                for member in self._membership.expire(time.monotonic()):
                    self._events.record("member", member=member.host, state="dead")
                self._keep_neighbours(tasks)
                await self._changed.wait(self._interval)
                await asyncio.sleep(BATCH_DELAY)

    async def serve(self, link: Link) -> None:
        """Answer one neighbour's exchanges, in order, until it falls silent."""
        try:
            await self._answer(link)
        except TimeoutError:
            return

    async def _answer(self, link: Link) -> None:
        """Answer exchanges; raise TimeoutError when none comes."""
        timeout = self._interval * IDLE_HEARTBEATS
        match await link.receive(timeout=timeout):
            case Hello(data_centre=centre, guest=guest):
                feed = Feed(membership=self._membership, data_centre=centre, guest=guest)
            case _:
                return
        while True:
            match await link.receive(timeout=timeout):
                case Exchange() | Compare() as message:
                    reply, newer = feed.handle_message(message, time.monotonic())
                    self._note(newer)
                    await link.send(reply)
                case _:
                    return

    def _keep_neighbours(self, tasks: asyncio.TaskGroup) -> None:
        """Start the tasks of new neighbours and end those of former ones."""
        wanted = {neighbour.host: neighbour for neighbour in self._membership.neighbours()}
        for host in self._neighbours.keys() - wanted.keys():
            self._neighbours.pop(host).cancel()
        for host in wanted.keys() - self._neighbours.keys():
            self._neighbours[host] = tasks.create_task(self._talk_to(host))
        self._near = {host for host, neighbour in wanted.items() if neighbour.frequent_heartbeats}

    async def _talk_to(self, host: HostName) -> None:
        """Keep a connection to a neighbour, and suspect it while there is none."""
        while True:
            member = self._membership.member(host)
            if member is None:
                return
            try:
                async with connect(member.peers, "/members") as link:
                    await self._converse(link, member)
            except (LinkClosed, Malformed):
                # One retry first: a neighbour that restarts has closed the connection too.
                await self._suspect_unless_reachable(member)
            await asyncio.sleep(self._interval)

    async def _suspect_unless_reachable(self, member: Member) -> None:
        """Suspect a neighbour that can't be connected to."""
        try:
            async with connect(member.peers, "/members"):
                return
        except LinkClosed:
            if self._membership.suspect(member.host, time.monotonic()):
                self._note_suspicion(member.host)

    async def _converse(self, link: Link, member: Member) -> None:
        """Exchange news and heartbeats with one neighbour until it fails."""
        feed = await self._greet(link, member)
        while True:
            asked_at = time.monotonic()
            try:
                await self._exchange(link, feed)
            except TimeoutError:
                due_at = asked_at + self._reply_timeout
                if self._membership.handle_missed_reply(member.host, due_at, time.monotonic()):
                    self._note_suspicion(member.host)
                return
            if not feed.has_updates:
                await self._changed.wait(feed.next_exchange_delay(self._beat(member.host)))
                await asyncio.sleep(BATCH_DELAY)

    def _beat(self, host: HostName) -> Seconds:
        """Return the time between heartbeats to a neighbour."""
        return self._interval * (1 if host in self._near else DISTANT_HEARTBEAT_FACTOR)

    async def _ask_seeds(self) -> None:
        """Ask one seed after another while this process has to."""
        while True:
            if self._seeds and self._membership.needs_seed():
                await self._ask_seed(self._rng.choice(self._seeds))
            pause = 1 if self._membership.is_alone() else SEED_INTERVAL_FACTOR
            # Processes that have started together shall not ask together.
            await asyncio.sleep(self._interval * pause * self._rng.uniform(0.5, 1.5))

    async def _ask_seed(self, address: Address) -> None:
        """Exchange records with a seed until neither side lacks any."""
        seed = next((item for item in self._membership.members if item.peers == address), None)
        try:
            async with connect(address, "/members") as link:
                feed = await self._greet(link, seed, guest=True)
                for _ in range(MAX_SEED_EXCHANGES):
                    await self._exchange(link, feed)
                    if feed.is_synchronized:
                        return
        except (LinkClosed, Malformed, TimeoutError):
            return

    async def _greet(self, link: Link, member: Member | None, guest: bool = False) -> Feed:
        """Say who opened the connection."""
        own = self._membership.own
        await link.send(Hello(sender=own.host, data_centre=own.data_centre, guest=guest))
        data_centre = member.data_centre if member else None
        return Feed(membership=self._membership, data_centre=data_centre)

    async def _exchange(self, link: Link, feed: Feed) -> None:
        """Send what the other side lacks and take its reply in."""
        message = feed.next_message(time.monotonic())
        await link.send(message)
        match await link.receive(timeout=self._reply_timeout):
            case ExchangeReply() as reply:
                self._note(feed.handle_reply(message, reply, time.monotonic()))
            case _:
                raise Malformed("a neighbour answered with another message")

    @property
    def _reply_timeout(self) -> Seconds:
        """Return how long a reply may take."""
        return self._interval * REPLY_TIMEOUT_HEARTBEATS

    def _note_suspicion(self, host: HostName) -> None:
        """Record a suspicion of this process and pass it on."""
        self._events.record("member", member=host, state="suspected")
        self._changed.send()

    def _note(self, newer: Iterable[Member]) -> None:
        """Record news and pass on what has changed, the own record included."""
        for member in newer:
            state = "suspected" if member.suspected else member.state
            self._events.record("member", member=member.host, state=state)
        if self._membership.revision != self._noted:
            self._noted = self._membership.revision
            self._changed.send()
