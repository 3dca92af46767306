"""The proxy's side of a subscription: one task that pulls versions."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from typing import NamedTuple

from cowslipvane.catalogue import Delta, Snapshot
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.replica import Report
from cowslipvane.settings import Settings
from cowslipvane.subscription import (
    WATCH_ONLY,
    WATCH_WAIT_FACTOR,
    Applied,
    AskFloor,
    AskLeader,
    Backoff,
    ComeAgain,
    Current,
    FactsKept,
    Floor,
    Lagging,
    Newest,
    Proof,
    Pull,
    PullDelta,
    PullSnapshot,
    Rejected,
    Subscription,
)
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.distribution._answer_reporter import AnswerReporter
from cowslipvane.tasks.distribution._contact_keeper import ContactKeeper
from cowslipvane.tasks.distribution._fact_keeper import FactKeeper
from cowslipvane.types import NO_VERSION, Address, Seconds, Version
from cowslipvane.wire import CONNECT_TIMEOUT, Link, LinkClosed, Malformed, Reception, connect

INITIAL_BACKOFF: Seconds = 0.1
# A busy link takes a while for the round trips in which a connection is opened. Another replica is
# connected meanwhile.
SUBSCRIBE_TIMEOUT: Seconds = 1.5
# How often the second subscription looks for a replica that the first one doesn't use.
FREE_REPLICA_INTERVAL: Seconds = 1.0
# How long a version may be later from one replica than its number from the other, before it is
# requested from that.
TAKE_OVER_DELAY: Seconds = 0.4
# Share of a connection's silence timeout for which a replica may wait for a leader.
FLOOR_WAIT_SHARE = 0.6


class _Replica(NamedTuple):
    """The connection to a replica, and whether that is in the data centre of this proxy."""

    link: Link
    is_local: bool


class _UnusableReplica(Exception):
    """The replica can't serve a usable version; try another one."""


class Subscriber:
    """Keeps the proxy's configuration at the newest version that a replica serves.

    It is connected to two replicas. One, which is active, sends the versions; the other sends their
    numbers, and takes over when the active one is silent or late. Connecting only then would take
    several round trips, which are long when the proxy's link is busy. The first one is in the
    proxy's data centre if there is one there, and active whenever it can be, since traffic between
    data centres is expensive; the second one is in another, which isn't lost at the same time.
    """

    def __init__(
        self,
        *,
        subscription: Subscription,
        settings: Settings,
        membership: Membership,
        events: EventLog,
        rng: random.Random,
        fact_keeper: FactKeeper,
        answer_reporter: AnswerReporter,
    ) -> None:
        self._fact_keeper = fact_keeper
        self._answer_reporter = answer_reporter
        self._contact_keeper = ContactKeeper(
            subscription=subscription, revocation=settings.revocation, events=events
        )
        self._subscription = subscription
        self._settings = settings
        self._membership = membership
        self._seeds = settings.seeds
        self._events = events
        self._rng = rng
        self._applied_at = 0.0
        self._changed_at = time.time()
        self._rejection = ""
        self._configuration_applied = Signal()
        self._active: _Replica | None = None
        self._replicas_in_use: set[Address] = set()
        # After a rejection the next pull requests a full snapshot.
        self._needs_snapshot = False
        max_delay = settings.timing.longest_backoff
        self._backoff = Backoff(initial_delay=INITIAL_BACKOFF, max_delay=max_delay, rng=rng)

    @property
    def configuration_applied(self) -> Signal:
        """Return the signal for versions that come into force."""
        return self._configuration_applied

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the addresses of the replicas to subscribe to."""
        self._seeds = seeds

    async def run(self) -> None:
        """Keep two subscriptions, the second one from the first version on, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            if self._settings.revocation.when_partitioned:
                tasks.create_task(self._contact_keeper.run())
            tasks.create_task(self._keep_subscribed(prefers_local=True))
            while not self._subscription.is_ready:
                await self._configuration_applied.wait()
            tasks.create_task(self._keep_subscribed(prefers_local=False))

    async def _keep_subscribed(self, *, prefers_local: bool) -> None:
        """Subscribe to one replica after another until cancelled, those preferred first."""
        failed: Address | None = None
        untried: list[Address] = []
        while True:
            address = self._take_free(untried)
            if address is None:
                untried = self._ordered_replicas(failed, prefers_local=prefers_local)
                address = self._take_free(untried)
            if address is None:
                await asyncio.sleep(FREE_REPLICA_INTERVAL)
                continue
            self._replicas_in_use.add(address)
            try:
                await self._subscribe(address)
            except (LinkClosed, Malformed, TimeoutError, _UnusableReplica) as error:
                self._record_end(address, error, after=failed)
                failed = address
            finally:
                self._replicas_in_use.discard(address)
            await asyncio.sleep(self._backoff.next_delay())

    def _ordered_replicas(self, failed: Address | None, *, prefers_local: bool) -> list[Address]:
        """Return the known replicas: those preferred first, and the one that has failed last.

        Seeds that aren't known as members come after those that are, since they may be gone.
        Replicas that are alike come in random order.
        """
        members = set(self._membership.replica_addresses())
        replicas = sorted({*self._seeds, *members})
        self._rng.shuffle(replicas)
        return sorted(
            replicas,
            key=lambda address: (
                address == failed,
                self._membership.is_local(address) is not prefers_local,
                address not in members,
            ),
        )

    def _take_free(self, untried: list[Address]) -> Address | None:
        """Take the first replica that isn't in use from a list, or None if there is none."""
        while untried:
            address = untried.pop(0)
            if address not in self._replicas_in_use:
                return address
        return None

    async def _fetch_floor(self, link: Link) -> None:
        """Fetch the minimum version from this replica, or from the leader that it names.

        No version after it was accepted before the request, so it is a proof of contact too.
        """
        asked_at = lease_now()
        response = await self._request_floor(link)
        if isinstance(response, AskLeader) and response.leader is not None:
            async with connect(response.leader, "/subscribe") as leader:
                response = await self._request_floor(leader)
        if not isinstance(response, Floor):
            raise _UnusableReplica("the replica knows no leader")
        self._subscription.raise_floor(response.version)
        self._subscription.record_proof(Proof(response.version, asked_at))
        self._events.record("floor", version=response.version)
        self._backoff.reset()

    async def _request_floor(self, link: Link) -> Floor | AskLeader:
        """Request the minimum version from one replica."""
        silence = self._settings.timing.silence
        await link.send(AskFloor(wait=silence * FLOOR_WAIT_SHARE))
        match await link.receive(timeout=silence):
            case Floor() | AskLeader() as response:
                return response
            case _:
                raise Malformed("a replica answered a question for the floor with another message")

    def _record_end(self, address: Address, error: Exception, *, after: Address | None) -> None:
        """Record why a subscription has ended, once for each replica that fails in succession."""
        if address != after:
            self._events.record("unsubscribed", replica=str(address), reason=repr(error))

    @property
    def _connect_timeout(self) -> Seconds:
        """Return how long a connection may take; before the first version, there is no other."""
        return SUBSCRIBE_TIMEOUT if self._subscription.is_ready else CONNECT_TIMEOUT

    async def _subscribe(self, address: Address) -> None:
        """Pull versions over one connection; each pull reports the version in force."""
        timing = self._settings.timing
        async with connect(address, "/subscribe", timeout=self._connect_timeout) as link:
            if self._subscription.floor is None:
                await self._fetch_floor(link)
            replica = _Replica(link, self._membership.is_local(address))
            try:
                async with AsyncExitStack() as stack:
                    stack.enter_context(self._fact_keeper.using(link))
                    stack.enter_context(self._answer_reporter.using(link))
                    await stack.enter_async_context(self._contact_keeper.using(link))
                    while True:
                        if self._should_be_active(replica):
                            self._active = replica
                        is_active = self._active is replica
                        await link.send(self._pull(is_active=is_active))
                        # A replica responds within the wait of a pull, so this detects a dead
                        # connection.
                        wait = timing.pull_wait * (1 if is_active else WATCH_WAIT_FACTOR)
                        response = await self._receive(link, wait + timing.silence)
                        await self._handle_response(response, replica)
            finally:
                if self._active is replica:
                    self._active = None

    async def _receive(self, link: Link, timeout: Seconds) -> object:
        """Return the next message of a replica about versions, and handle others before it."""
        deadline = time.monotonic() + timeout
        while True:
            match await link.receive(timeout=max(0.0, deadline - time.monotonic())):
                case FactsKept() as response:
                    self._fact_keeper.handle(response)
                case Newest() as response:
                    self._contact_keeper.handle(response)
                case response:
                    return response

    def _should_be_active(self, replica: _Replica) -> bool:
        """Return whether a replica takes over: from none, or from one in another data centre."""
        if self._active is None:
            return True
        is_current = self._subscription.newest_known <= self._subscription.version
        return replica.is_local and not self._active.is_local and is_current

    def _pull(self, *, is_active: bool) -> Pull:
        """Return a pull from the version in force, or for a full snapshot after a rejection.

        The replica that isn't active is asked for the numbers of versions alone.
        """
        base = NO_VERSION if self._needs_snapshot else self._subscription.version
        return Pull(
            report=self._report(),
            base=base if is_active else WATCH_ONLY,
            floor=self._subscription.floor or NO_VERSION,
            hosts=self._settings.route_hosts,
        )

    async def _handle_response(self, response: object, replica: _Replica) -> None:
        """Apply a response to a pull; raise _UnusableReplica if another replica should be tried."""
        began_at, reception = time.monotonic(), replica.link.reception
        match response:
            case PullDelta(delta=Delta() as update) | PullSnapshot(
                snapshot=Snapshot() as update
            ) if (update.version <= self._subscription.version):
                # The other replica was faster.
                return
            case PullDelta(delta=delta):
                result = self._subscription.apply_delta(delta)
                self._record_result(result, reception, time.monotonic() - began_at)
            case PullSnapshot(snapshot=snapshot):
                result = self._subscription.apply_snapshot(snapshot)
                self._record_result(result, reception, time.monotonic() - began_at)
            case Current(version=version):
                self._backoff.reset()
                self._subscription.record_accepted(version)
                if version < (self._subscription.floor or NO_VERSION):
                    raise _UnusableReplica("the replica lags behind this proxy")
                if self._active is not replica and version > self._subscription.version:
                    await self._take_over(replica, version)
            case Lagging():
                raise _UnusableReplica("the replica has no contact with a leader")
            case ComeAgain(after=after):
                await asyncio.sleep(after * self._rng.uniform(1, 2))
            case _:
                raise Malformed("a replica answered a pull with another message")

    async def _take_over(self, replica: _Replica, version: Version) -> None:
        """Let a replica be the active one, unless a version comes soon from the other one."""
        await self._configuration_applied.wait(TAKE_OVER_DELAY)
        if version > self._subscription.version:
            self._active = replica

    def _report(self) -> Report:
        """Return the report of the version in force at this proxy."""
        return Report(
            self._settings.host,
            self._subscription.version,
            self._applied_at,
            self._settings.listen.operators,
            self._rejection,
            self._changed_at,
        )

    def _record_result(
        self, result: Applied | Rejected, reception: Reception | None, applying: Seconds
    ) -> None:
        """Record whether a version was applied; raise _UnusableReplica if it was rejected."""
        self._changed_at = time.time()
        match result:
            case Applied(version=version):
                self._applied_at = self._changed_at
                self._rejection = ""
                self._needs_snapshot = False
                self._backoff.reset()
                self._configuration_applied.send()
                detail = _describe(reception, applying)
                self._events.record("applied", version=version, **detail)
            case Rejected(version=version, reason=reason):
                self._rejection = f"version {version}: {reason}"
                self._needs_snapshot = True
                self._events.record("rejected", version=version, reason=reason)
                raise _UnusableReplica(reason)


def _describe(reception: Reception | None, applying: Seconds) -> dict[str, str]:
    """Return when an update was sent, and what its way into force took, for the event log."""
    if reception is None:
        return {}
    return {
        "sent_at": f"{reception.sent_at:.3f}",
        "bytes": str(reception.size),
        "transfer": f"{reception.transfer:.3f}",
        "decoding": f"{reception.decoding:.3f}",
        "applying": f"{applying:.3f}",
    }
