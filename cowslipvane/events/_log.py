"""The event log of one process: bounded in memory, and written as JSON lines."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple, TypedDict

from cowslipvane.events._clock import HybridClock, Stamp
from cowslipvane.types import DataCentre, HostName, Seconds

# Time between writes of new events to the event file.
WRITE_EVERY: Seconds = 0.2
# Events kept in memory; older ones are dropped and counted.
MEMORY_EVENTS = 4000


class EventForm(TypedDict):
    """An event as JSON."""

    kind: str
    wall: float
    logical: int
    host: str
    data_centre: str
    process: int
    request: str
    version: int
    detail: dict[str, str]


class Event(NamedTuple):
    """Something that a process did or decided."""

    kind: str
    stamp: Stamp
    request: str
    version: int
    detail: dict[str, str]


class EventLog:
    """The newest events of this process."""

    def __init__(
        self, *, host: HostName, data_centre: DataCentre, process: int, clock: HybridClock
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._process = process
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=MEMORY_EVENTS)
        self._recorded = 0
        self._written = 0
        self._unwritten = 0
        self._logger = logging.getLogger("cowslipvane.events")

    @property
    def dropped(self) -> int:
        """Return how many events are no longer in memory."""
        return self._recorded - len(self._events)

    @property
    def unwritten(self) -> int:
        """Return how many events left memory before they were written."""
        return self._unwritten

    def record(self, kind: str, *, request: str = "", version: int = 0, **detail: str) -> None:
        """Record an event."""
        self._events.append(Event(kind, self._clock.now(), request, version, detail))
        self._recorded += 1

    async def run(self) -> None:
        """Write new events as JSON lines, aside from what recorded them."""
        try:
            while True:
                await asyncio.sleep(WRITE_EVERY)
                self.write()
        finally:
            self.write()

    def write(self) -> None:
        """Write the events that were recorded since the last write."""
        new = min(self._recorded - self._written, len(self._events))
        self._unwritten += self._recorded - self._written - new
        self._written = self._recorded
        if not self._logger.isEnabledFor(logging.INFO):
            return
        for event in islice(self._events, len(self._events) - new, None):
            self._logger.info(event.kind, extra={"event": self.form(event)})

    def select(self, *, request: str = "") -> Iterator[EventForm]:
        """Yield the events in memory, of one request if it is named."""
        for event in self._events:
            if not request or event.request == request:
                yield self.form(event)

    def form(self, event: Event) -> EventForm:
        """Return an event as JSON."""
        return EventForm(
            kind=event.kind,
            wall=event.stamp.wall,
            logical=event.stamp.logical,
            host=self._host,
            data_centre=self._data_centre,
            process=self._process,
            request=event.request,
            version=event.version,
            detail=event.detail,
        )
