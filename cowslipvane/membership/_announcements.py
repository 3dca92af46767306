"""Announcements of workers, and the rules that decide which one is current."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal, NamedTuple

from cowslipvane.membership._facts import Departure, Departures
from cowslipvane.membership._member import Worker


class Announcement(NamedTuple):
    """One announcement of a worker.

    started_at is the start time of this incarnation of the worker in milliseconds of wall time, or
    0 if unknown. sequence increases with each announcement of an incarnation.
    """

    worker: Worker
    state: Literal["ready", "leaving", "gone"]
    started_at: int
    sequence: int

    @property
    def departure(self) -> Departure:
        """Return the departure of this incarnation."""
        return Departure(self.worker.instance, self.started_at)


# Ended worker instances that a host remembers, so that their late announcements are ignored.
MAX_ENDED_INSTANCES = 64


class Announcements:
    """The newest announcement on one host; ignores late ones and those of earlier incarnations.

    may_have_predecessor tells that an earlier process on the host may have been told of departures
    that aren't known here until learn is called.
    """

    def __init__(self, *, may_have_predecessor: bool = False) -> None:
        self._newest: Announcement | None = None
        self._awaits_predecessors = may_have_predecessor
        self._ended = Departures(limit=MAX_ENDED_INSTANCES)
        # The departures that nobody but this process is known to keep.
        self._unkept = Departures(limit=MAX_ENDED_INSTANCES)

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
        """Store an announcement if it is newer than the current one; return whether it is."""
        current = self._newest
        if self._ended.covers(announcement.departure):
            return False
        is_current = current is not None and current.departure == announcement.departure
        is_leaving = announcement.state != "ready"
        if is_leaving:
            self._end(announcement.departure)
        # Nothing that an incarnation said before it left counts any more, whatever its sequence.
        if current is not None and not (is_leaving and is_current):
            if not self._is_newer(announcement, current):
                return False
            self._end_replaced(current, announcement)
        self._newest = announcement
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
            self._ended.add(departure)
            self._unkept.discard(departure)
        current = self._newest
        if current is None or current.state != "ready":
            return False
        if not self._ended.covers(current.departure):
            return False
        self._newest = current._replace(state="leaving")
        return True

    def _end(self, departure: Departure) -> None:
        """Remember that the incarnations of an instance up to a start time have ended."""
        if not self._ended.covers(departure):
            self._ended.add(departure)
            self._unkept.add(departure)

    def _end_replaced(self, current: Announcement, announcement: Announcement) -> None:
        """Remember that the current incarnation has ended, if another one replaces it.

        Without start times, a late announcement can't be told from that of a new instance before
        the departures of earlier processes are known; the worker that goes on announcing itself
        has to win then.
        """
        if current.departure == announcement.departure:
            return
        if self._awaits_predecessors and announcement.started_at == current.started_at:
            return
        self._end(current.departure)

    @staticmethod
    def _is_newer(candidate: Announcement, current: Announcement) -> bool:
        """Return whether an announcement is newer than the current one."""
        if current.state != "ready":
            # It is of none that has ended. Its host's clock may have gone back since.
            return True
        if candidate.started_at != current.started_at:
            return candidate.started_at > current.started_at
        # Without start times, another instance counts as newer, since its sequence starts again;
        # record has already ignored ended instances.
        return (
            candidate.worker.instance != current.worker.instance
            or candidate.sequence > current.sequence
        )
