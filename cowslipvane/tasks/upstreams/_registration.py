"""What workers announce to their owner, and what they leave behind when they depart."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from cowslipvane.events import EventLog
from cowslipvane.membership import Announcement, Announcements, Departure, Worker
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.distribution import FactKeeper
from cowslipvane.types import Seconds, ServiceName

# How long the acknowledgement of a departure waits for refusals, which a slow peer may hold up.
REFUSALS_TIMEOUT: Seconds = 0.1
NO_SERVICE = ServiceName("")


class Registration:
    """Registers the worker by its announcements, and removes it once it departs.

    service is that of the settings. start_removal removes the current worker in a task of its own,
    and returns None if there is none.
    """

    def __init__(
        self,
        *,
        announcements: Announcements,
        fact_keeper: FactKeeper,
        subscription: Subscription,
        events: EventLog,
        service: ServiceName,
        register: Callable[[Worker], Awaitable[None]],
        start_removal: Callable[[], asyncio.Task[None] | None],
    ) -> None:
        self._announcements = announcements
        self._fact_keeper = fact_keeper
        self._subscription = subscription
        self._events = events
        self._service = service
        self._register = register
        self._start_removal = start_removal
        # The incarnation and state of the last announcement that didn't count.
        self._last_ignored: tuple[Departure, str] | None = None

    async def handle_announcement(self, announcement: Announcement) -> bool:
        """Handle an announcement; return whether it may be acknowledged.

        Raise ValueError if it names no worker to use.
        """
        worker = announcement.worker
        if not self._is_known(worker.service):
            raise ValueError(f"nothing names the service {worker.service!r:.80}")
        received = announcement._replace(received_at=time.monotonic())
        is_newer = self._announcements.record(received)
        self._fact_keeper.notify()
        if not is_newer:
            self._record_ignored(announcement)
        if announcement.state != "ready":
            return await self._handle_end(announcement.departure, is_current=is_newer)
        if is_newer:
            await self._register(announcement.worker)
        return True

    async def handle_departure(self, instance: str, started_at: int | None) -> bool:
        """Handle the departure of an instance; return whether it may be acknowledged.

        Raise ValueError if it names no instance.
        """
        departure = (
            self._announcements.departure_of(instance, time.time_ns() // 1_000_000)
            if started_at is None
            else Departure(instance, started_at)
        )
        if not departure.is_sound:
            raise ValueError(f"the departure names no instance: {departure!r:.200}")
        is_current = self._announcements.record_end(departure)
        return await self._handle_end(departure, is_current=is_current)

    def _is_known(self, service: ServiceName) -> bool:
        """Return whether the settings, the configuration or the current worker name a service."""
        newest = self._announcements.newest
        if service == self._service or (newest and service == newest.worker.service):
            return True
        table = self._subscription.table
        return table.has_service(service) if table else self._service == NO_SERVICE

    def _record_ignored(self, announcement: Announcement) -> None:
        """Record that an announcement doesn't count, once for several of an incarnation."""
        ignored = announcement.departure, announcement.state
        if ignored != self._last_ignored:
            self._last_ignored = ignored
            self._events.record(
                "ignored",
                instance=announcement.worker.instance,
                started_at=str(announcement.started_at),
                state=announcement.state,
            )

    async def _handle_end(self, departure: Departure, *, is_current: bool) -> bool:
        """Deregister the worker if it is the one that ends; return whether the end is kept."""
        removal = self._start_removal() if is_current else None
        is_kept = await self._fact_keeper.wait_until_kept(departure)
        if removal is not None:
            await asyncio.wait([removal], timeout=REFUSALS_TIMEOUT)
        kept = "yes" if is_kept else "not yet, so it isn't acknowledged"
        self._events.record("departure", instance=departure.instance, kept=kept)
        return is_kept
