"""Announcements of workers, and the rules that decide which one is current."""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal, NamedTuple

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


# Ended worker instances that a host remembers, so that their late announcements are ignored.
MAX_ENDED_INSTANCES = 64


class Announcements:
    """The newest announcement on one host; ignores late ones and those of earlier incarnations."""

    def __init__(self) -> None:
        self._newest: Announcement | None = None
        # The latest start time among the ended incarnations of each instance.
        self._ended: OrderedDict[str, int] = OrderedDict()

    @property
    def newest(self) -> Announcement | None:
        """Return the newest announcement, None before the first."""
        return self._newest

    def record(self, announcement: Announcement) -> bool:
        """Store an announcement if it is newer than the current one; return whether it is."""
        current = self._newest
        instance = announcement.worker.instance
        if instance in self._ended and announcement.started_at <= self._ended[instance]:
            return False
        if current is not None and not self._is_newer(announcement, current):
            return False
        if current is not None and self._incarnation(current) == self._incarnation(announcement):
            if current.state != "ready":
                # A worker that is leaving or gone can't become ready again in one incarnation.
                announcement = announcement._replace(state=current.state)
        elif current is not None:
            self._record_end(current.worker.instance, current.started_at)
        self._newest = announcement
        return True

    def record_leaving(self, instance: str) -> None:
        """Record that an instance says it is leaving, other than in an announcement."""
        current = self._newest
        if current is not None and current.worker.instance == instance and current.state == "ready":
            self._newest = current._replace(state="leaving")

    def record_departure(self, instance: str, wall_ms: int) -> bool:
        """Record that an instance is gone; return whether it was the current one.

        After a restart, a process may receive a departure before any announcement of the instance.
        In that case every incarnation that started by wall_ms, the wall time in milliseconds, has
        ended.
        """
        current = self._newest
        if current is None or current.worker.instance != instance:
            self._record_end(instance, wall_ms)
            return False
        self._record_end(instance, current.started_at)
        self._newest = current._replace(state="gone")
        return True

    def _record_end(self, instance: str, started_at: int) -> None:
        """Remember that the incarnations of an instance up to a start time have ended."""
        self._ended[instance] = max(started_at, self._ended.pop(instance, 0))
        if len(self._ended) > MAX_ENDED_INSTANCES:
            self._ended.popitem(last=False)

    @staticmethod
    def _is_newer(candidate: Announcement, current: Announcement) -> bool:
        """Return whether an announcement is newer than the current one."""
        if candidate.started_at != current.started_at:
            return candidate.started_at > current.started_at
        # Without start times, another instance counts as newer, since its sequence starts again;
        # record has already ignored ended instances.
        return (
            candidate.worker.instance != current.worker.instance
            or candidate.sequence > current.sequence
        )

    @staticmethod
    def _incarnation(announcement: Announcement) -> tuple[str, int]:
        """Return what identifies the incarnation of the worker."""
        return announcement.worker.instance, announcement.started_at
