"""The replica's side of a subscription: one task for each proxy."""

from __future__ import annotations

import time

from cowslipvane.catalogue import Delta, Snapshot
from cowslipvane.subscription import Current, Pull, PullDelta, PullReply, PullSnapshot
from cowslipvane.tasks._replication import Replication
from cowslipvane.types import Seconds, Version
from cowslipvane.wire import Link, register

register(Pull, PullDelta, PullSnapshot, Current)


class Publisher:
    """Answers the pulls of proxies from the replica's catalogue."""

    def __init__(self, *, replication: Replication, pull_wait: Seconds) -> None:
        self._replication = replication
        self._pull_wait = pull_wait

    async def serve(self, link: Link) -> None:
        """Answer one proxy's pulls, in order."""
        while True:
            match await link.receive():
                case Pull(report=report):
                    self._replication.replica.record_report(report)
                    self._replication.changed.send()
                    await link.send(await self._reply(report.version))
                case _:
                    return

    async def _reply(self, version: Version) -> PullReply:
        """Wait until there is something newer than a version, and return it."""
        catalogue = self._replication.replica.catalogue
        give_up = time.monotonic() + self._pull_wait
        while catalogue.version <= version:
            left = give_up - time.monotonic()
            if left <= 0:
                return Current(version=catalogue.version)
            await self._replication.changed.wait(left)
        # The event's stamp must come before the stamp of the message that tells a proxy.
        self._replication.note_accepted()
        match catalogue.since(version):
            case Delta() as delta:
                return PullDelta(delta=delta)
            case Snapshot() as snapshot:
                return PullSnapshot(snapshot=snapshot)
