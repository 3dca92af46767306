"""Announcements of workers, and the rules that decide which one is current."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal, NamedTuple

from cowslipvane.membership._facts import Departure, Departures
from cowslipvane.membership._member import Worker
from cowslipvane.types import Seconds


class Announcement(NamedTuple):
    """One announcement of a worker.

    started_at is the start time of this incarnation of the worker in milliseconds of wall time, or
    0 if unknown. sequence increases with each announcement of an incarnation. received_at is in
    seconds of a steady clock. cold_for is how much longer the worker is slow after its start.
    """

    worker: Worker
    state: Literal["ready", "leaving", "gone"]
    started_at: int
    sequence: int
    received_at: float = 0.0
    cold_for: Seconds = 0.0

    @property
    def departure(self) -> Departure:
        """Return the departure of this incarnation."""
        return Departure(self.worker.instance, self.started_at)


# Ended worker instances that a host remembers, so that their late announcements are ignored.
MAX_ENDED_INSTANCES = 64
# Late announcements come singly, or many at a time. What an incarnation says in a series of this
# length, and over the times below, isn't late.
MIN_SERIES = 3
# Time over which an incarnation that another one has replaced must go on announcing itself, without
# a word of that one, to replace it in turn.
RETURN_TIME: Seconds = 2.5
# The same for one that has left. A departed worker may live on for many seconds.
RESCIND_TIME: Seconds = 60.0


class _Series(NamedTuple):
    """Announcements of an incarnation that isn't current, with increasing sequences."""

    departure: Departure
    first_at: float
    last: Announcement
    length: int

    def extended(self, announcement: Announcement) -> _Series:
        """Return the series with a further announcement, or the new one that starts with it."""
        if announcement.departure != self.departure or announcement.sequence <= self.last.sequence:
            return _new_series(announcement)
        return self._replace(last=announcement, length=self.length + 1)

    def lasts(self, duration: Seconds) -> bool:
        """Return whether the incarnation goes on announcing itself for a time."""
        return self.length >= MIN_SERIES and self.last.received_at - self.first_at >= duration


def _new_series(announcement: Announcement) -> _Series:
    """Return the series that starts with an announcement."""
    return _Series(announcement.departure, announcement.received_at, announcement, 1)


class Announcements:
    """The newest announcement on one host; ignores late ones and those of earlier incarnations.

    An incarnation that goes on announcing itself is never ignored for good, since whatever seemed
    to replace or to end it may have been a message of another writer. may_have_predecessor tells
    that an earlier process on the host may have been told of departures that aren't known here
    until learn is called.
    """

    def __init__(self, *, may_have_predecessor: bool = False) -> None:
        self._newest: Announcement | None = None
        self._awaits_predecessors = may_have_predecessor
        self._ended = Departures(limit=MAX_ENDED_INSTANCES)
        # The departures that nobody but this process is known to keep.
        self._unkept = Departures(limit=MAX_ENDED_INSTANCES)
        # Those that turned out not to have ended, though a departure of theirs may be kept.
        self._rescinded = Departures(limit=MAX_ENDED_INSTANCES)
        # The incarnations that others have replaced. They aren't known to have ended.
        self._replaced = Departures(limit=MAX_ENDED_INSTANCES)
        self._series: _Series | None = None

    @property
    def newest(self) -> Announcement | None:
        """Return the newest announcement, None before the first."""
        return self._newest

    @property
    def awaits_predecessors(self) -> bool:
        """Return whether it isn't known yet which departures earlier processes were told of."""
        return self._awaits_predecessors

    @property
    def unkept(self) -> tuple[Departure, ...]:
        """Return the departures that would be lost with this process, the oldest first."""
        return self._unkept.all

    def is_kept(self, departure: Departure) -> bool:
        """Return whether a departure is known here and would outlive this process."""
        return self._ended.covers(departure) and not self._unkept.covers(departure)

    def record(self, announcement: Announcement) -> bool:
        """Store an announcement if it counts as the newest; return whether it does."""
        if announcement.state != "ready":
            return self._record_leaving(announcement)
        if self._ended.covers(announcement.departure):
            if not self._lasts(announcement, RESCIND_TIME):
                return False
            self._rescind(announcement.departure)
        elif not self._is_newer(announcement) and not self._lasts(announcement, RETURN_TIME):
            return False
        self._replace_newest(announcement)
        return True

    def _record_leaving(self, announcement: Announcement) -> bool:
        """Record that an incarnation says it leaves; return whether it is the current one now."""
        departure, current = announcement.departure, self._newest
        if self._ended.covers(departure):
            return False
        self._end(departure)
        # Nothing that an incarnation said before it left counts any more, whatever its sequence.
        if current is not None and current.departure != departure:
            return False
        self._replace_newest(announcement)
        return True

    def record_leaving(self, instance: str) -> None:
        """Record that an instance says it is leaving, other than in an announcement."""
        current = self._newest
        if current is not None and current.worker.instance == instance and current.state == "ready":
            self._newest = current._replace(state="leaving")
            self._end(current.departure)

    def departure_of(self, instance: str, wall_ms: int) -> Departure:
        """Return the departure of an instance that doesn't tell when it started.

        After a restart, a process may receive a departure before any announcement of the instance.
        In that case every incarnation that started by wall_ms, the wall time in milliseconds, has
        ended.
        """
        current = self._newest
        if current is None or current.worker.instance != instance:
            return Departure(instance, wall_ms)
        return current.departure

    def record_departure(self, instance: str, wall_ms: int) -> bool:
        """Record that an instance is gone; return whether it was the current one."""
        return self.record_end(self.departure_of(instance, wall_ms))

    def record_end(self, departure: Departure) -> bool:
        """Record a departure; return whether the current incarnation has ended by it."""
        self._end(departure)
        current = self._newest
        if current is None or current.worker.instance != departure.instance:
            return False
        if current.started_at > departure.started_at:
            return False
        self._newest = current._replace(state="gone")
        return True

    def record_kept(self, departures: Iterable[Departure]) -> None:
        """Record that departures would outlive this process."""
        for departure in departures:
            self._unkept.discard(departure)

    def learn(self, departures: Iterable[Departure]) -> bool:
        """Take over departures that outlived earlier processes, or that were kept for this one.

        Return whether the current worker was ready and has left by one of them.
        """
        self._awaits_predecessors = False
        for departure in departures:
            self._unkept.discard(departure)
            if not self._rescinded.covers(departure):
                self._ended.add(departure)
        current = self._newest
        if current is None or current.state != "ready":
            return False
        if not self._ended.covers(current.departure):
            return False
        self._newest = current._replace(state="leaving")
        return True

    def _end(self, departure: Departure) -> None:
        """Remember that the incarnations of an instance up to a start time have ended."""
        self._rescinded.remove(departure.instance)
        if not self._ended.covers(departure):
            self._ended.add(departure)
            self._unkept.add(departure)

    def _rescind(self, departure: Departure) -> None:
        """Forget that an incarnation has ended, since it hasn't."""
        ended = self._ended.remove(departure.instance)
        self._unkept.remove(departure.instance)
        if ended is not None:
            self._rescinded.add(ended)

    def _lasts(self, announcement: Announcement, duration: Seconds) -> bool:
        """Return whether an incarnation that isn't current goes on announcing itself for a time."""
        series = self._series
        self._series = (
            _new_series(announcement) if series is None else series.extended(announcement)
        )
        return self._series.lasts(duration)

    def _replace_newest(self, announcement: Announcement) -> None:
        """Store an announcement as the newest, and remember an incarnation that it replaces.

        Without start times, a late announcement can't be told from that of a new instance before
        the departures of earlier processes are known; the worker that goes on announcing itself
        has to win then.
        """
        current, self._newest, self._series = self._newest, announcement, None
        self._replaced.remove(announcement.worker.instance)
        if current is None or current.departure == announcement.departure:
            return
        if not self._awaits_predecessors or announcement.started_at != current.started_at:
            self._replaced.add(current.departure)

    def _is_newer(self, candidate: Announcement) -> bool:
        """Return whether an announcement is newer than the current one, if there is one."""
        current = self._newest
        if current is None or current.state != "ready":
            # It is of none that has ended. Its host's clock may have gone back since.
            return True
        if candidate.departure == current.departure:
            return candidate.sequence > current.sequence
        if self._replaced.covers(candidate.departure):
            return False
        # Without start times, another instance counts as newer, since its sequence starts again.
        return candidate.started_at >= current.started_at
