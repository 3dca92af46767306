"""The admission: what waits, what runs, and what may not start."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from cowslipvane.call import AttemptId, Request
from cowslipvane.refusal import DeadlinePassed, Draining, QueueFull, Refusal
from cowslipvane.routing import Load
from cowslipvane.types import Seconds, ServiceName, Verdict

# Requests that may wait for each slot.
QUEUE_PER_SLOT = 20
RETRY_AFTER: Seconds = 1.0


class Work(NamedTuple):
    """An attempt that waits or runs; deadline is in time.monotonic seconds."""

    attempt: AttemptId
    request: Request
    deadline: float
    idempotent: bool


class Admission:
    """The one place that decides what starts at an upstream."""

    def __init__(self, *, service: ServiceName, slots: int) -> None:
        self._service = service
        self._slots = slots
        self._queue: deque[Work] = deque()
        self._running: set[AttemptId] = set()
        self._draining = False

    @property
    def service(self) -> ServiceName:
        """Return the service of the upstream."""
        return self._service

    @property
    def slots(self) -> int:
        """Return how many requests the upstream runs at once."""
        return self._slots

    @property
    def load(self) -> Load:
        """Return the slots in use and the requests that wait."""
        return Load(self._slots, len(self._running), len(self._queue))

    @property
    def idle(self) -> bool:
        """Return whether nothing waits and nothing runs."""
        return not self._queue and not self._running

    @property
    def is_draining(self) -> bool:
        """Return whether nothing starts any more."""
        return self._draining

    def offer(self, work: Work) -> Refusal | None:
        """Queue work, or return why it is refused."""
        if self._draining:
            return Draining(service=self._service)
        if len(self._queue) >= self._slots * QUEUE_PER_SLOT:
            return QueueFull(service=self._service, retry_after=RETRY_AFTER)
        self._queue.append(work)
        return None

    def start_next(self) -> Work | None:
        """Give the next work a slot, or return None when nothing can start."""
        if not self._queue or len(self._running) >= self._slots:
            return None
        work = self._queue.popleft()
        self._running.add(work.attempt)
        return work

    def overdue(self, work: Work, now: float) -> Refusal | None:
        """Return the refusal of work whose deadline passed before it started."""
        if now < work.deadline:
            return None
        return DeadlinePassed(service=self._service, verdict=Verdict.NOT_RUN)

    def finish(self, work: Work) -> None:
        """Free the slot of work that has ended."""
        self._running.discard(work.attempt)

    def withdraw(self, attempt: AttemptId) -> bool:
        """Take work out of the queue; return whether it was still there."""
        for work in self._queue:
            if work.attempt == attempt:
                self._queue.remove(work)
                return True
        return False

    def drain(self) -> list[Work]:
        """Start nothing from now on, and return what was waiting."""
        self._draining = True
        waiting = list(self._queue)
        self._queue.clear()
        return waiting
