"""The replica's side of a subscription: one task for each proxy."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from cowslipvane.catalogue import Delta, RouteHosts, Snapshot, VersionNotReached
from cowslipvane.membership import Membership
from cowslipvane.replica import Leader, Report
from cowslipvane.subscription import (
    AskFloor,
    AskLeader,
    ComeAgain,
    Current,
    Floor,
    Lagging,
    Proxies,
    Pull,
    PullDelta,
    PullSnapshot,
    Reports,
    ReportsTaken,
    Rollout,
)
from cowslipvane.tasks._replication import Replication
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import NO_VERSION, Address, HostName, Seconds, Version
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, encode, register

register(AskFloor, AskLeader, ComeAgain, Current, Floor, Lagging)
register(Pull, PullDelta, PullSnapshot)
register(Reports, ReportsTaken)

# Snapshots that are on their way at once; more proxies are told to come again.
MAX_CONCURRENT_SNAPSHOTS = 16
SNAPSHOT_RETRY_DELAY: Seconds = 0.5
# Reports that come within this time are looked at, and passed on, together.
GATHER_TIME: Seconds = 0.02
# The longest time between two looks at which proxies live.
OBSERVE_TIME: Seconds = 1.0
# A question for the floor waits no longer than this for a leader, whatever it allows.
MOST_FLOOR_WAIT: Seconds = 10.0
LEADER_TIMEOUT: Seconds = 2.0
LEADER_RETRY: Seconds = 0.2


class _Answer(NamedTuple):
    """An encoded answer to a pull."""

    kind: str
    data: bytes
    is_snapshot: bool


class Publisher:
    """Answers the pulls of proxies from the replica's catalogue."""

    def __init__(
        self, *, replication: Replication, membership: Membership, pull_wait: Seconds
    ) -> None:
        self._replication = replication
        self._membership = membership
        self._pull_wait = pull_wait
        self._accepted = Signal()
        self._reported = Signal()
        self._moved = Signal()
        self._rollout = Rollout()
        self._snapshots = 0
        self._floor_questions = 0
        # Answers to the newest version, encoded once for all proxies that ask the same.
        self._answers: dict[tuple[Version, RouteHosts], _Answer] = {}
        self._answers_version = NO_VERSION

    @property
    def rollout_changed(self) -> Signal:
        """Return the signal that is sent when a version is accepted or comes into force."""
        return self._moved

    @property
    def rollout(self) -> Rollout:
        """Return where versions are in force; only the leader's is complete."""
        return self._rollout

    @property
    def pending_floor_requests(self) -> int:
        """Return how many proxies wait for a leader to tell their floor."""
        return self._floor_questions

    async def run(self) -> None:
        """Run the tasks beside those of the proxies' connections."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._wake_pulls())
            tasks.create_task(self._observe_reports())
            tasks.create_task(self._inform_leader())

    async def _wake_pulls(self) -> None:
        """Wake the waiting pulls at each new version, and for nothing else."""
        seen = self._replication.replica.catalogue.version
        while True:
            await self._replication.changed.wait()
            newest = self._replication.replica.catalogue.version
            if newest != seen:
                seen = newest
                # The event's stamp must come before those of the messages that tell proxies.
                self._replication.record_accepted()
                self._accepted.send()
                self._moved.send()

    async def serve(self, link: Link) -> None:
        """Answer one proxy's requests, in order."""
        while True:
            match await link.receive():
                case Pull() as pull:
                    self._record(pull.report)
                    await self._answer(link, pull)
                case AskFloor(wait=wait):
                    await link.send(await self._known_floor(min(wait, MOST_FLOOR_WAIT)))
                case Reports(reports=reports):
                    for report in reports:
                        self._record(report)
                    await link.send(ReportsTaken())
                case _:
                    return

    async def _observe_reports(self) -> None:
        """Keep the rollout at what the proxies report."""
        while True:
            reports = self._replication.replica.reports
            if self._rollout.observe(reports, self._proxies(), time.time()):
                self._moved.send()
            await self._reported.wait(OBSERVE_TIME)
            await asyncio.sleep(GATHER_TIME)

    def _proxies(self) -> Proxies:
        """Return the proxies among the members."""
        now = time.monotonic()
        hosts = sorted(m.host for m in self._membership.members if m.callers and m.state != "gone")
        live = tuple(host for host in hosts if self._membership.is_alive(host, now))
        return Proxies(live, tuple(host for host in hosts if host not in live))

    async def _inform_leader(self) -> None:
        """Pass on to the leader, whichever it is, what proxies report here."""
        while True:
            leader = self._leader_address()
            if leader is None:
                await self._replication.changed.wait(LEADER_RETRY)
                continue
            try:
                async with connect(leader, "/subscribe") as link:
                    await self._send_reports(link, leader)
            except (LinkClosed, Malformed, TimeoutError):
                await asyncio.sleep(LEADER_RETRY)

    async def _send_reports(self, link: Link, leader: Address) -> None:
        """Send each report that this leader has not confirmed yet, as long as it leads."""
        confirmed: dict[HostName, Report] = {}
        while self._leader_address() == leader:
            held = dict(self._replication.replica.reports)
            news = {host: report for host, report in held.items() if confirmed.get(host) != report}
            if news:
                await link.send(Reports(reports=tuple(news.values())))
                answer = await link.receive(timeout=LEADER_TIMEOUT)
                if not isinstance(answer, ReportsTaken):
                    raise Malformed("the leader answered reports with another message")
                confirmed.update(news)
            await self._reported.wait(OBSERVE_TIME)
            await asyncio.sleep(GATHER_TIME)

    def _record(self, report: Report) -> None:
        """Keep a report."""
        replica = self._replication.replica
        if replica.reports.get(report.host) != report:
            replica.record_report(report)
            self._reported.send()

    async def _known_floor(self, wait: Seconds) -> Floor | AskLeader:
        """Return the floor, or who knows it; wait a while for a leader when there is none."""
        give_up = time.monotonic() + wait
        self._floor_questions += 1
        try:
            while True:
                match self._floor():
                    case AskLeader(leader=None) as unknown:
                        left = give_up - time.monotonic()
                        if left <= 0:
                            return unknown
                        await self._replication.changed.wait(left)
                    case known:
                        return known
        finally:
            self._floor_questions -= 1

    def _floor(self) -> Floor | AskLeader:
        """Return a version that no accepted one exceeds, if this replica surely leads."""
        replica = self._replication.replica
        if self._replication.holds_lease:
            return Floor(version=replica.catalogue.version)
        return AskLeader(leader=self._leader_address())

    def _leader_address(self) -> Address | None:
        """Return where another replica that leads is reached, as far as is known."""
        replica = self._replication.replica
        if isinstance(replica.role, Leader):
            return None
        addresses = {voter.host: voter.address for voter in replica.group.voters}
        return addresses.get(replica.leader) if replica.leader else None

    async def _answer(self, link: Link, pull: Pull) -> None:
        """Wait until there is something that a proxy may take, and send it."""
        # A proxy that is ahead of this replica waits here until the replica has caught up.
        wanted = max(pull.floor, Version(pull.base + 1))
        if not await self._wait_for(wanted):
            replica = self._replication.replica
            if self._replication.is_current:
                await link.send(Current(version=replica.catalogue.version))
            else:
                await link.send(Lagging())
            return
        answer = self._encode(pull)
        if answer.is_snapshot and self._snapshots >= MAX_CONCURRENT_SNAPSHOTS:
            await link.send(ComeAgain(after=SNAPSHOT_RETRY_DELAY))
            return
        self._snapshots += answer.is_snapshot
        try:
            await link.send_encoded(answer.kind, answer.data)
        finally:
            self._snapshots -= answer.is_snapshot

    async def _wait_for(self, version: Version) -> bool:
        """Return whether a version was accepted before the pull has waited its time."""
        give_up = time.monotonic() + self._pull_wait
        while self._replication.replica.catalogue.version < version:
            left = give_up - time.monotonic()
            if left <= 0:
                return False
            await self._accepted.wait(left)
        return True

    def _encode(self, pull: Pull) -> _Answer:
        """Return what leads from the base of a pull to the newest version."""
        catalogue = self._replication.replica.catalogue
        if catalogue.version != self._answers_version:
            self._answers_version = catalogue.version
            self._answers.clear()
        key = pull.base, pull.hosts
        if key not in self._answers:
            self._answers[key] = _answer(catalogue.update_since(pull.base, pull.hosts))
        return self._answers[key]


def _answer(found: Delta | Snapshot | VersionNotReached) -> _Answer:
    """Return the answer that carries what a catalogue gave."""
    match found:
        case Delta():
            return _Answer(PullDelta.__name__, encode(PullDelta(delta=found)), False)
        case Snapshot():
            return _Answer(PullSnapshot.__name__, encode(PullSnapshot(snapshot=found)), True)
        case VersionNotReached(version=version):
            return _Answer(Current.__name__, encode(Current(version=version)), False)
