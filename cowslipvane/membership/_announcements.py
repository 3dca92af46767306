"""What a worker announces of itself, and which announcement is the newest."""

from __future__ import annotations

from collections import OrderedDict
from typing import Literal, NamedTuple

from cowslipvane.membership._member import Worker


class Announcement(NamedTuple):
    """One announcement of a worker.

    started_at is when this life of the worker began, in any unit that grows; sequence grows with
    each announcement of a life.
    """

    worker: Worker
    state: Literal["ready", "leaving", "gone"]
    started_at: int
    sequence: int


# Ended lives that are remembered on a host, so that what they sent late changes nothing.
MAX_ENDED = 64


class Announcements:
    """The newest announcement on one host: late ones, and ones of earlier lives, don't count."""

    def __init__(self) -> None:
        self._newest: Announcement | None = None
        # The latest start of a life of each instance that has ended.
        self._ended: OrderedDict[str, int] = OrderedDict()

    @property
    def newest(self) -> Announcement | None:
        """Return the newest announcement, None before the first."""
        return self._newest

    def record(self, announcement: Announcement) -> bool:
        """Keep an announcement that is newer than the one held; return whether it is."""
        held = self._newest
        instance = announcement.worker.instance
        if instance in self._ended and announcement.started_at <= self._ended[instance]:
            return False
        if held is not None and not self._is_newer(announcement, held):
            return False
        if held is not None and self._life(held) == self._life(announcement):
            if held.state != "ready":
                # A worker that leaves doesn't come back in the same life.
                announcement = announcement._replace(state=held.state)
        elif held is not None:
            self._note_end(held.worker.instance, held.started_at)
        self._newest = announcement
        return True

    def record_departure(self, instance: str, wall_ms: int) -> bool:
        """Note that an instance is gone; return whether it was the one here.

        A departure may come to a process that has heard nothing of the instance yet, as after a
        restart; then every life that began before the time of day, in milliseconds, has ended.
        """
        held = self._newest
        if held is None or held.worker.instance != instance:
            self._note_end(instance, wall_ms)
            return False
        self._note_end(instance, held.started_at)
        self._newest = held._replace(state="gone")
        return True

    def _note_end(self, instance: str, started_at: int) -> None:
        """Remember that the lives of an instance up to a start have ended."""
        self._ended[instance] = max(started_at, self._ended.pop(instance, 0))
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    @staticmethod
    def _is_newer(one: Announcement, held: Announcement) -> bool:
        """Return whether an announcement comes after the one held."""
        if one.started_at != held.started_at:
            return one.started_at > held.started_at
        # Where starts aren't told, a new instance begins its sequence anew.
        return one.worker.instance != held.worker.instance or one.sequence > held.sequence

    @staticmethod
    def _life(announcement: Announcement) -> tuple[str, int]:
        """Return what tells the lives of workers apart."""
        return announcement.worker.instance, announcement.started_at
