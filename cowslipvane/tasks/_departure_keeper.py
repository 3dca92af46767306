"""The proxy's side of departures: one task that has the replicas keep them for its successors."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager

from cowslipvane.membership import (
    MAX_HOST_DEPARTURES,
    Announcements,
    Departure,
    HostDepartures,
)
from cowslipvane.subscription import DeparturesKept, KeepDepartures
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import HostName, Seconds
from cowslipvane.wire import Link, LinkClosed

# How long an acknowledgement waits until a departure is kept. A worker takes one within a second.
KEEP_TIMEOUT: Seconds = 0.8
# Time without a response after which the next replica is asked.
RESEND_INTERVAL: Seconds = 0.3
# Departures that become known within this time after another are sent together.
BATCH_DELAY: Seconds = 0.01


class DepartureKeeper:
    """Has the replicas keep what workers of this host say of their end, and learns from them.

    A process that is killed leaves nothing on its host, and an announcement that was sent before
    the end may arrive after it. So an end is acknowledged once it would outlive this process.
    """

    def __init__(self, *, host: HostName, announcements: Announcements) -> None:
        self._host = host
        self._announcements = announcements
        self._links: list[Link] = []
        self._changed = Signal()
        self._worker_left = Signal()

    @property
    def worker_left(self) -> Signal:
        """Return the signal that the current worker has left, as an earlier process was told."""
        return self._worker_left

    @contextmanager
    def using(self, link: Link) -> Iterator[None]:
        """Ask over the connection of a subscription while the context lasts."""
        self._links.append(link)
        self._changed.send()
        try:
            yield
        finally:
            self._links.remove(link)

    def notify(self) -> None:
        """Ask soon, since the announcements have changed."""
        self._changed.send()

    async def run(self) -> None:
        """Ask the replicas while they don't keep what is known here, or weren't asked yet."""
        count = 0
        while True:
            if not self._links or not self._has_to_ask:
                await self._changed.wait()
                continue
            await self._ask(self._links[count % len(self._links)])
            count += 1
            await self._changed.wait(RESEND_INTERVAL)
            await asyncio.sleep(BATCH_DELAY)

    def handle(self, response: DeparturesKept) -> None:
        """Take over the departures that the replicas keep."""
        if self._announcements.learn(response.departures.departures):
            self._worker_left.send()
        self._changed.send()

    async def wait_until_kept(self, departure: Departure) -> bool:
        """Return whether a departure is kept, after waiting for it for KEEP_TIMEOUT at most."""
        deadline = time.monotonic() + KEEP_TIMEOUT
        self._changed.send()
        while not self._announcements.is_kept(departure):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return False
            await self._changed.wait(remaining)
        return True

    @property
    def _has_to_ask(self) -> bool:
        """Return whether there is something to be kept, or to be learnt."""
        return self._announcements.awaits_predecessors or bool(self._announcements.unkept)

    async def _ask(self, link: Link) -> None:
        """Send the departures that aren't kept yet, the oldest first."""
        unkept = self._announcements.unkept[:MAX_HOST_DEPARTURES]
        message = KeepDepartures(departures=HostDepartures(self._host, unkept))
        try:
            async with asyncio.timeout(RESEND_INTERVAL):
                await link.send(message)
        except (LinkClosed, TimeoutError):
            return
