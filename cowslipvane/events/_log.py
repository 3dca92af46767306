"""The event log of one process: bounded in memory, and written as JSON lines."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from cowslipvane.events._clock import HybridClock, Stamp
from cowslipvane.events._event import Event, EventForm, EventKind, Origin, event_form
from cowslipvane.events._file import EventFile
from cowslipvane.events._stream import EventStream
from cowslipvane.types import Seconds

# Interval at which new events are written to the event file and to standard output.
WRITE_INTERVAL: Seconds = 0.2
# An event loop that is late by more than this gets an event.
MIN_RECORDED_STALL: Seconds = 0.1
# Events kept in memory by default; older ones are dropped and counted.
DEFAULT_EVENTS_IN_MEMORY = 4000
# A longer text of an event, such as all faults of a large configuration, is cut.
MAX_TEXT_CHARACTERS = 2000
_CUT_MARK = " ..."
# Copies in memory of events of other processes, and of this host's process before it restarted.
MAX_COPIED_EVENTS = 1000
# Refusals queued to be copied to another process; when full, the oldest are dropped and counted.
MAX_UNCOPIED_EVENTS = 500


class EventLog:
    """The newest events of this process, and copies that it keeps for others."""

    def __init__(
        self,
        *,
        origin: Origin,
        clock: HybridClock,
        file: EventFile | None = None,
        stream: EventStream | None = None,
        max_events: int = DEFAULT_EVENTS_IN_MEMORY,
        observer: Callable[[Event], None] | None = None,
    ) -> None:
        self._observer = observer
        self._origin = origin
        self._clock = clock
        self._file = file
        self._stream = stream
        self._events: deque[Event] = deque(maxlen=max_events)
        self._copies: deque[EventForm] = deque(maxlen=MAX_COPIED_EVENTS)
        self._uncopied: deque[Event] = deque(maxlen=MAX_UNCOPIED_EVENTS)
        self._recorded = 0
        self._written = 0
        self._never_written = 0
        self._never_copied = 0
        if file is not None:
            self._restore(file.tail(MAX_COPIED_EVENTS))

    @property
    def origin(self) -> Origin:
        """Return the process whose events these are."""
        return self._origin

    @property
    def counts(self) -> dict[str, int]:
        """Return the counts of recorded, lost and copied events, and of refused clock stamps."""
        return {
            "recorded": self._recorded,
            "dropped_from_memory": self._recorded - len(self._events),
            "dropped_from_file": self._file.dropped if self._file else 0,
            "never_written": self._never_written + (self._file.failed if self._file else 0),
            "never_copied": self._never_copied,
            "dropped_from_log": self._stream.dropped if self._stream else 0,
            "kept_for_others": len(self._copies),
            "clocks_refused": self._clock.refused,
        }

    def record(
        self, kind: EventKind, *, request: str = "", version: int = 0, **detail: str
    ) -> None:
        """Record an event, whose texts are cut if they are long."""
        texts = {name: _cut(text) for name, text in detail.items()}
        event = Event(kind, self._clock.now(), request, version, texts)
        self._events.append(event)
        self._recorded += 1
        if self._observer is not None:
            self._observer(event)
        if kind == "refusal":
            self._never_copied += len(self._uncopied) == self._uncopied.maxlen
            self._uncopied.append(event)

    async def run(self) -> None:
        """Write new events periodically, so that recording one never waits."""
        try:
            while True:
                due_at = time.monotonic() + WRITE_INTERVAL
                await asyncio.sleep(WRITE_INTERVAL)
                self._record_stall(time.monotonic() - due_at)
                self.write()
        finally:
            self.write()

    def _record_stall(self, stall: Seconds) -> None:
        """Record how late the event loop is, which tells a slow process from a slow peer."""
        if stall > MIN_RECORDED_STALL:
            self.record("stalled", seconds=f"{stall:.3f}")

    def write(self) -> None:
        """Write the events that were recorded since the last write."""
        new_count = min(self._recorded - self._written, len(self._events))
        # Events that left memory before this write are lost to the file and the stream.
        self._never_written += self._recorded - self._written - new_count if self._writers else 0
        for writer in self._writers:
            new_events = islice(self._events, len(self._events) - new_count, None)
            writer.write(event_form(self._origin, event) for event in new_events)
        self._written = self._recorded

    @property
    def _writers(self) -> list[EventFile | EventStream]:
        """Return the destinations that events are written to."""
        return [writer for writer in (self._file, self._stream) if writer is not None]

    def take_uncopied(self) -> tuple[Event, ...]:
        """Return the refusals not copied to another process yet, and clear their queue."""
        events = tuple(self._uncopied)
        self._uncopied.clear()
        return events

    def requeue_uncopied(self, events: tuple[Event, ...]) -> None:
        """Queue refusals again that could not be copied."""
        room = MAX_UNCOPIED_EVENTS - len(self._uncopied)
        kept = events[-room:] if room else ()
        self._never_copied += len(events) - len(kept)
        self._uncopied.extendleft(reversed(kept))

    def store_copies(self, origin: Origin, events: Iterable[Event]) -> None:
        """Keep copies of another process's events."""
        self._copies.extend(event_form(origin, event) for event in events)

    def select(self, *, request: str = "", version: int = 0) -> Iterator[EventForm]:
        """Yield the events in memory, restricted to a request or a version if one is given."""
        for form in self._copies:
            if _matches(form["request"], form["version"], request, version):
                yield form
        for event in self._events:
            if _matches(event.request, event.version, request, version):
                yield event_form(self._origin, event)

    def _restore(self, forms: list[EventForm]) -> None:
        """Restore the events that this host's process wrote before it restarted."""
        self._copies.extend(forms)
        for form in forms:
            self._clock.observe(Stamp(form["wall"], form["logical"]))


def _cut(text: str) -> str:
    """Return a text, without its end and marked so if it is long."""
    if len(text) <= MAX_TEXT_CHARACTERS:
        return text
    return text[: MAX_TEXT_CHARACTERS - len(_CUT_MARK)] + _CUT_MARK


def _matches(request: str, version: int, request_filter: str, version_filter: int) -> bool:
    """Return whether an event passes both filters; an empty text and 0 let all events pass."""
    return request_filter in ("", request) and version_filter in (0, version)
