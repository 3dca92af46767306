"""The replica's side of a subscription: one task for each proxy."""

from __future__ import annotations

import time
from typing import NamedTuple

from cowslipvane.catalogue import Behind, Delta, RouteHosts, Snapshot
from cowslipvane.replica import Leader
from cowslipvane.subscription import (
    AskFloor,
    AskLeader,
    ComeAgain,
    Current,
    Floor,
    Pull,
    PullDelta,
    PullSnapshot,
)
from cowslipvane.tasks._replication import Replication
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import NO_VERSION, Address, Seconds, Version
from cowslipvane.wire import Link, encode, register

register(AskFloor, AskLeader, ComeAgain, Current, Floor, Pull, PullDelta, PullSnapshot)

# Snapshots that are on their way at once; more proxies are told to come again.
MAX_SNAPSHOTS = 16
SNAPSHOT_RETRY: Seconds = 0.5


class _Answer(NamedTuple):
    """An encoded answer to a pull."""

    kind: str
    data: bytes
    is_snapshot: bool


class Publisher:
    """Answers the pulls of proxies from the replica's catalogue."""

    def __init__(self, *, replication: Replication, pull_wait: Seconds) -> None:
        self._replication = replication
        self._pull_wait = pull_wait
        self._accepted = Signal()
        self._reported = Signal()
        self._snapshots = 0
        # Answers to the newest version, encoded once for all proxies that ask the same.
        self._answers: dict[tuple[Version, RouteHosts], _Answer] = {}
        self._answers_version = NO_VERSION

    @property
    def reported(self) -> Signal:
        """Return the signal that is sent when a proxy reports something new."""
        return self._reported

    async def run(self) -> None:
        """Wake the waiting pulls at each new version, and for nothing else."""
        seen = self._replication.replica.catalogue.version
        while True:
            await self._replication.changed.wait()
            newest = self._replication.replica.catalogue.version
            if newest != seen:
                seen = newest
                # The event's stamp must come before those of the messages that tell proxies.
                self._replication.note_accepted()
                self._accepted.send()

    async def serve(self, link: Link) -> None:
        """Answer one proxy's requests, in order."""
        while True:
            match await link.receive():
                case Pull() as pull:
                    self._record(pull)
                    await self._answer(link, pull)
                case AskFloor():
                    await link.send(self._floor())
                case _:
                    return

    def _record(self, pull: Pull) -> None:
        """Keep the report of a pull."""
        replica = self._replication.replica
        if replica.reports.get(pull.report.host) != pull.report:
            replica.record_report(pull.report)
            self._reported.send()

    def _floor(self) -> Floor | AskLeader:
        """Return a version that no accepted one exceeds, if this replica surely leads."""
        replica = self._replication.replica
        if replica.holds_lease(time.monotonic()):
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
            await link.send(Current(version=self._replication.replica.catalogue.version))
            return
        answer = self._encode(pull)
        if answer.is_snapshot and self._snapshots >= MAX_SNAPSHOTS:
            await link.send(ComeAgain(after=SNAPSHOT_RETRY))
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
            self._answers[key] = _answer(catalogue.since(pull.base, pull.hosts))
        return self._answers[key]


def _answer(found: Delta | Snapshot | Behind) -> _Answer:
    """Return the answer that carries what a catalogue gave."""
    match found:
        case Delta():
            return _Answer(PullDelta.__name__, encode(PullDelta(delta=found)), False)
        case Snapshot():
            return _Answer(PullSnapshot.__name__, encode(PullSnapshot(snapshot=found)), True)
        case Behind(version=version):
            return _Answer(Current.__name__, encode(Current(version=version)), False)
