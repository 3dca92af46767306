"""The proxy's side of facts of workers: one task that has the replicas keep them for successors."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Iterator
from contextlib import contextmanager

from cowslipvane.membership import (
    MAX_HOST_DEPARTURES,
    Announcements,
    Departure,
    HostFacts,
    WorkerLimit,
)
from cowslipvane.subscription import FactsKept, KeepFacts
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import HostName, Seconds
from cowslipvane.wire import Link, LinkClosed

# How long an acknowledgement waits until a departure is kept. A worker takes one within a second.
KEEP_TIMEOUT: Seconds = 0.8
# Time without a response after which the next replica is asked.
RESEND_INTERVAL: Seconds = 0.3
# Facts that become known within this time after another are sent together.
BATCH_DELAY: Seconds = 0.01
# Least time between two limits that are kept, since a worker may name another in each answer.
LIMIT_INTERVAL: Seconds = 10.0


class FactKeeper:
    """Has the replicas keep what is known of the workers of this host, and learns from them.

    A process that is killed leaves nothing on its host, and an announcement that was sent before a
    departure may arrive after it. So a departure is acknowledged once it would outlive this
    process. A rate limit that a worker names is kept too, but nothing waits for that.
    """

    def __init__(self, *, host: HostName, announcements: Announcements) -> None:
        self._host = host
        self._announcements = announcements
        self._links: list[Link] = []
        self._changed = Signal()
        self._learnt = Signal()
        self._limit: WorkerLimit | None = None
        self._kept_limit: WorkerLimit | None = None
        # When another limit was last kept, in time.monotonic seconds.
        self._limit_kept_at = -math.inf

    @property
    def learnt(self) -> Signal:
        """Return the signal for a departure or a limit that an earlier process was told of."""
        return self._learnt

    @property
    def kept_limit(self) -> WorkerLimit | None:
        """Return the limit that the replicas keep, None if there is none or it isn't known."""
        return self._kept_limit

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

    def note_limit(self, limit: WorkerLimit) -> None:
        """Have a limit kept that a worker names."""
        if limit != self._limit:
            self._limit = limit
            self._changed.send()

    async def run(self) -> None:
        """Ask the replicas while they don't keep what is known here, or weren't asked yet."""
        count = 0
        while True:
            if not self._links or not self._has_to_ask:
                await self._changed.wait(self._limit_delay)
                continue
            await self._ask(self._links[count % len(self._links)])
            count += 1
            await self._changed.wait(RESEND_INTERVAL)
            await asyncio.sleep(BATCH_DELAY)

    def handle(self, response: FactsKept) -> None:
        """Take over what the replicas keep."""
        is_first = self._announcements.awaits_predecessors
        if response.facts.limit != self._kept_limit:
            self._kept_limit = response.facts.limit
            self._limit_kept_at = time.monotonic()
        if self._announcements.learn(response.facts.departures) or is_first:
            self._learnt.send()
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
        return (
            self._announcements.awaits_predecessors
            or bool(self._announcements.unkept)
            or self._limit_delay == 0
        )

    @property
    def _limit_delay(self) -> Seconds | None:
        """Return the time until the limit is to be sent, None if it needn't be."""
        if self._limit is None or self._limit.is_close_to(self._kept_limit):
            return None
        return max(0.0, self._limit_kept_at + LIMIT_INTERVAL - time.monotonic())

    async def _ask(self, link: Link) -> None:
        """Send what isn't kept yet, the oldest departures first."""
        unkept = self._announcements.unkept[:MAX_HOST_DEPARTURES]
        limit = self._limit if self._limit_delay == 0 else None
        message = KeepFacts(facts=HostFacts(self._host, unkept, limit))
        try:
            async with asyncio.timeout(RESEND_INTERVAL):
                await link.send(message)
        except (LinkClosed, TimeoutError):
            return
