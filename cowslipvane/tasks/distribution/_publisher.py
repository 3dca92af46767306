"""The replica's side of subscriptions: one task per proxy connection."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import NamedTuple

from cowslipvane.catalogue import Delta, RouteHosts, Snapshot, VersionNotReached
from cowslipvane.membership import Membership
from cowslipvane.replica import Report
from cowslipvane.rollout import Observations, WorkerAnswers
from cowslipvane.subscription import (
    WATCH_ONLY,
    WATCH_WAIT_FACTOR,
    AskFloor,
    AskLeader,
    AskNewest,
    ComeAgain,
    Convergence,
    Current,
    FactsKept,
    Floor,
    KeepFacts,
    Lagging,
    Newest,
    Proxies,
    Pull,
    PullDelta,
    PullSnapshot,
    ReportAnswers,
    Reports,
    ReportsTaken,
)
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.distribution._group_contact import GroupContact
from cowslipvane.tasks.replication import FactRecords, Replication
from cowslipvane.types import NO_VERSION, Address, HostName, Seconds, Version
from cowslipvane.wire import Link, LinkClosed, Malformed, compress, connect, encode, register

register(AskFloor, AskLeader, ComeAgain, Current, Floor, Lagging)
register(AskNewest, Newest)
register(Pull, PullDelta, PullSnapshot)
register(ReportAnswers, Reports, ReportsTaken)
register(KeepFacts, FactsKept)

# Total size of the snapshots that are being sent, unless it is a single one; further proxies are
# asked to retry. Each is held in memory until its proxy has received it.
MAX_SNAPSHOT_BYTES_IN_FLIGHT = 64 << 20
SNAPSHOT_RETRY_DELAY: Seconds = 0.5
# Reports that arrive within this time are processed and forwarded as one batch.
BATCH_DELAY: Seconds = 0.02
# The convergence is updated at least this often, because proxies can fail without a new report.
OBSERVE_INTERVAL: Seconds = 1.0
# Upper bound for the time that a request for the minimum version may wait for a leader.
MAX_FLOOR_WAIT: Seconds = 10.0
LEADER_RESPONSE_TIMEOUT: Seconds = 2.0
LEADER_RETRY_DELAY: Seconds = 0.2


class _EncodedResponse(NamedTuple):
    """An encoded response to a pull, and the version that the proxy has once it has applied it."""

    kind: str
    data: bytes
    version: Version
    is_snapshot: bool


class _Subscriber:
    """One proxy that is sent each new version, and what it has or will have once that arrives."""

    def __init__(self, *, link: Link, pull: Pull) -> None:
        self._link = link
        self._pull = pull
        self._sent_version = NO_VERSION
        self._announced_version = NO_VERSION
        self._pulled = Signal()

    @property
    def link(self) -> Link:
        """Return the connection to the proxy."""
        return self._link

    @property
    def pulled(self) -> Signal:
        """Return the signal for further pulls."""
        return self._pulled

    @property
    def newest_pull(self) -> Pull:
        """Return the newest pull."""
        return self._pull

    @property
    def next_pull(self) -> Pull:
        """Return the newest pull, from the version that was sent if the proxy hasn't it yet."""
        return dataclasses.replace(self._pull, base=max(self._pull.base, self._sent_version))

    @property
    def only_watches(self) -> bool:
        """Return whether the proxy requests no updates, but gets them from another replica."""
        return self._pull.base >= WATCH_ONLY

    @property
    def known_version(self) -> Version:
        """Return the newest version whose number the proxy knows."""
        return max(self._pull.report.version, self._announced_version)

    def record_announced(self, version: Version) -> None:
        """Record that the number of a version is on its way."""
        self._announced_version = version

    def record_pull(self, pull: Pull) -> None:
        """Record another pull, by which the proxy reports the version in force on it."""
        self._pull = pull
        self._pulled.send()

    def record_sent(self, version: Version) -> None:
        """Record that an update to a version is on its way; NO_VERSION stands for none."""
        self._sent_version = max(self._sent_version, version)

    async def wait_for_pull_after(self, pull: Pull) -> None:
        """Return once there is a newer pull than the given one."""
        while self._pull is pull:
            await self._pulled.wait()


class Publisher:
    """Serves the pulls of proxies from the replica's catalogue."""

    def __init__(
        self,
        *,
        replication: Replication,
        membership: Membership,
        pull_wait: Seconds,
        observations: Observations,
    ) -> None:
        self._replication = replication
        self._observations = observations
        self._membership = membership
        self._pull_wait = pull_wait
        self._facts = FactRecords(replication=replication)
        self._contact = GroupContact(replication=replication)
        self._accepted = Signal()
        self._reported = Signal()
        self._convergence_changed = Signal()
        self._convergence = Convergence()
        self._snapshot_bytes_in_flight = 0
        self._pending_floor_requests = 0
        # Responses that lead to the newest version, encoded once for all proxies with equal pulls.
        self._responses: dict[tuple[Version, RouteHosts], _EncodedResponse] = {}
        self._responses_version = NO_VERSION

    @property
    def convergence_changed(self) -> Signal:
        """Return the signal for versions that are accepted or come into force."""
        return self._convergence_changed

    @property
    def convergence(self) -> Convergence:
        """Return which versions are in force at which proxies; complete only on the leader."""
        return self._convergence

    @property
    def pending_floor_requests(self) -> int:
        """Return how many requests for the minimum version wait until a leader is known."""
        return self._pending_floor_requests

    async def run(self) -> None:
        """Run the tasks that are shared by all proxy connections."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._notify_pulls())
            tasks.create_task(self._maintain_convergence())
            tasks.create_task(self._forward_reports())
            tasks.create_task(self._contact.run())

    async def _notify_pulls(self) -> None:
        """Wake the waiting pulls at each new version, but not at other changes of the replica."""
        announced = self._newest_version
        while True:
            await self._replication.changed.wait()
            newest = self._newest_version
            if newest != announced:
                announced = newest
                self._accepted.send()
                self._convergence_changed.send()

    async def serve(self, link: Link) -> None:
        """Handle the requests of one proxy; after its first pull, send it each new version."""
        subscriber: _Subscriber | None = None
        async with AsyncExitStack() as stack:
            while True:
                match await link.receive():
                    case Pull() as pull:
                        self._record_report(pull.report)
                        if subscriber is None:
                            subscriber = _Subscriber(link=link, pull=pull)
                            await stack.enter_async_context(self._sending_updates(subscriber))
                        else:
                            subscriber.record_pull(pull)
                    case AskFloor(wait=wait):
                        await link.send(await self._resolve_floor(min(wait, MAX_FLOOR_WAIT)))
                    case AskNewest() as question:
                        newest = self._contact.answer(question)
                        if newest is not None:
                            await link.send(newest)
                    case KeepFacts() as request:
                        kept = await self._facts.keep(request)
                        if kept is not None:
                            await link.send(kept)
                    case ReportAnswers(answers=answers):
                        self._record_answers((answers,))
                    case Reports(reports=reports, answers=answers):
                        for report in reports:
                            self._record_report(report)
                        self._record_answers(answers)
                        await link.send(ReportsTaken())
                    case _:
                        return

    @asynccontextmanager
    async def _sending_updates(self, subscriber: _Subscriber) -> AsyncIterator[None]:
        """Send updates to a proxy in a task of their own, until the context ends."""
        task = asyncio.create_task(self._send_updates(subscriber))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _send_updates(self, subscriber: _Subscriber) -> None:
        """Send each new version, and heartbeats in between, until the connection is closed.

        A pull isn't waited for: on a busy link it may be on its way for long, and a version that is
        accepted meanwhile would be late by that.
        """
        with suppress(LinkClosed):
            while True:
                newest_pull = subscriber.newest_pull
                if subscriber.only_watches:
                    await self._announce(subscriber)
                    continue
                version = await self._respond(subscriber.link, subscriber.next_pull)
                if version is None:
                    await subscriber.wait_for_pull_after(newest_pull)
                else:
                    subscriber.record_sent(version)

    async def _maintain_convergence(self) -> None:
        """Update the convergence from the proxies' reports and from which proxies are alive."""
        while True:
            reports = self._replication.replica.reports
            if self._convergence.observe(reports, self._proxies(), time.time()):
                self._convergence_changed.send()
            await self._reported.wait(OBSERVE_INTERVAL)
            await asyncio.sleep(BATCH_DELAY)

    def _proxies(self) -> Proxies:
        """Return the live and the silent proxies of the membership."""
        now = time.monotonic()
        hosts = sorted(m.host for m in self._membership.members if m.callers and m.state != "gone")
        live = tuple(host for host in hosts if self._membership.is_alive(host, now))
        return Proxies(live, tuple(host for host in hosts if host not in live))

    async def _forward_reports(self) -> None:
        """Forward reports received here to the current leader."""
        while True:
            leader = self._replication.leader_address
            if leader is None:
                await self._replication.changed.wait(LEADER_RETRY_DELAY)
                continue
            try:
                async with connect(leader, "/subscribe") as link:
                    await self._send_reports(link, leader)
            except (LinkClosed, Malformed, TimeoutError):
                await asyncio.sleep(LEADER_RETRY_DELAY)

    async def _send_reports(self, link: Link, leader: Address) -> None:
        """Send each report that this leader hasn't confirmed yet, while it is the leader."""
        confirmed: dict[HostName, Report] = {}
        confirmed_answers: dict[HostName, WorkerAnswers] = {}
        while self._replication.leader_address == leader:
            reports = dict(self._replication.replica.reports)
            unconfirmed = {
                host: report for host, report in reports.items() if confirmed.get(host) != report
            }
            answers = {
                newest.host: newest
                for newest in self._observations.reports
                if confirmed_answers.get(newest.host) != newest
            }
            if unconfirmed or answers:
                reported = tuple(unconfirmed.values())
                await link.send(Reports(reports=reported, answers=tuple(answers.values())))
                response = await link.receive(timeout=LEADER_RESPONSE_TIMEOUT)
                if not isinstance(response, ReportsTaken):
                    raise Malformed("the leader answered reports with another message")
                confirmed.update(unconfirmed)
                confirmed_answers.update(answers)
            await self._reported.wait(OBSERVE_INTERVAL)
            await asyncio.sleep(BATCH_DELAY)

    def _record_report(self, report: Report) -> None:
        """Store a report and wake the tasks that process reports, unless it is a repetition."""
        replica = self._replication.replica
        if replica.reports.get(report.host) != report:
            replica.record_report(report)
            self._reported.send()

    def _record_answers(self, answers: tuple[WorkerAnswers, ...]) -> None:
        """Store what owners observed, and wake the task that forwards it if any of it is new."""
        if self._observations.record(answers, time.monotonic()):
            self._reported.send()

    async def _resolve_floor(self, wait: Seconds) -> Floor | AskLeader:
        """Return the minimum version, or the leader to ask; wait for a leader if none is known."""
        deadline = time.monotonic() + wait
        self._pending_floor_requests += 1
        try:
            while True:
                match self._floor():
                    case AskLeader(leader=None) as no_leader:
                        remaining = deadline - time.monotonic()
                        if remaining <= 0:
                            return no_leader
                        await self._replication.changed.wait(remaining)
                    case response:
                        return response
        finally:
            self._pending_floor_requests -= 1

    def _floor(self) -> Floor | AskLeader:
        """Return the newest accepted version if the leader lease is held here, else the leader."""
        replica = self._replication.replica
        if self._replication.holds_lease:
            return Floor(version=replica.catalogue.version)
        return AskLeader(leader=self._replication.leader_address)

    @property
    def _newest_version(self) -> Version:
        """Return the newest version that is accepted here."""
        return self._replication.replica.catalogue.version

    async def _announce(self, subscriber: _Subscriber) -> None:
        """Send the number of a version that the proxy doesn't know, or a heartbeat after a while.

        Send nothing to a proxy that requests updates meanwhile.
        """
        deadline = time.monotonic() + self._pull_wait * WATCH_WAIT_FACTOR
        while self._newest_version <= subscriber.known_version and subscriber.only_watches:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            await Signal.wait_any(self._accepted, subscriber.pulled, timeout=remaining)
        if subscriber.only_watches:
            subscriber.record_announced(self._newest_version)
            await subscriber.link.send(self._heartbeat())

    async def _respond(self, link: Link, pull: Pull) -> Version | None:
        """Wait for a version that the proxy can apply, and send it, or else a heartbeat.

        Return the version that was sent, or None if the proxy has to pull again.
        """
        # A proxy that is ahead of this replica waits until the replica has caught up.
        required = max(pull.floor, Version(pull.base + 1))
        if not await self._wait_for(required):
            await link.send(self._heartbeat())
            return NO_VERSION
        response = self._encode(pull)
        if response.is_snapshot and not self._may_send_snapshot(len(response.data)):
            await link.send(ComeAgain(after=SNAPSHOT_RETRY_DELAY))
            return None
        snapshot_bytes = len(response.data) if response.is_snapshot else 0
        self._snapshot_bytes_in_flight += snapshot_bytes
        try:
            await link.send_encoded(response.kind, response.data)
        finally:
            self._snapshot_bytes_in_flight -= snapshot_bytes
        return response.version

    def _heartbeat(self) -> Current | Lagging:
        """Return the newest version, unless this replica can't tell whether it is the newest."""
        if not self._replication.is_current:
            return Lagging()
        return Current(version=self._newest_version)

    def _may_send_snapshot(self, size: int) -> bool:
        """Return whether there is memory for another snapshot of some size in bytes."""
        in_flight = self._snapshot_bytes_in_flight
        return not in_flight or in_flight + size <= MAX_SNAPSHOT_BYTES_IN_FLIGHT

    async def _wait_for(self, version: Version) -> bool:
        """Return whether a version is accepted before the wait of a pull times out."""
        deadline = time.monotonic() + self._pull_wait
        while self._newest_version < version:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return False
            await self._accepted.wait(remaining)
        return True

    def _encode(self, pull: Pull) -> _EncodedResponse:
        """Return the encoded update from the base version of a pull to the newest version."""
        catalogue = self._replication.replica.catalogue
        if catalogue.version != self._responses_version:
            self._responses_version = catalogue.version
            self._responses.clear()
        key = pull.base, pull.hosts
        if key not in self._responses:
            self._responses[key] = _encode_update(catalogue.update_since(pull.base, pull.hosts))
        return self._responses[key]


def _encode_update(update: Delta | Snapshot | VersionNotReached) -> _EncodedResponse:
    """Return the encoded response that carries an update of the catalogue."""
    match update:
        case Delta():
            data = compress(encode(PullDelta(delta=update)))
            return _EncodedResponse(PullDelta.__name__, data, update.version, False)
        case Snapshot():
            data = compress(encode(PullSnapshot(snapshot=update)))
            return _EncodedResponse(PullSnapshot.__name__, data, update.version, True)
        case VersionNotReached(version=version):
            data = encode(Current(version=version))
            return _EncodedResponse(Current.__name__, data, version, False)
