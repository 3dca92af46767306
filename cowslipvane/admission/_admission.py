"""The admission: what waits, what runs, and what may not start."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.admission._service_times import ServiceTimes
from cowslipvane.call import AttemptId, Request
from cowslipvane.refusal import DeadlinePassed, Draining, Overloaded, QueueFull, Refusal
from cowslipvane.routing import Load
from cowslipvane.types import Seconds, ServiceName, Verdict

# Requests that may wait for each slot; shared out among the callers that wait.
QUEUE_PER_SLOT = 20
# The queue's hard limit, as a multiple of the above: it leaves room for callers that come late.
QUEUE_HEADROOM = 2
RETRY_AFTER: Seconds = 1.0
# A caller that is refused for want of time isn't asked to come back sooner.
LEAST_RETRY: Seconds = 0.05
# One slot in this many, rounded up, is kept free of long work.
SLOTS_PER_SHORT_SLOT = 3
# Callers whose turns are kept apart before those that have had theirs are forgotten.
MAX_CALLERS = 4096
# What unknown work counts for in the order of callers.
UNKNOWN_COST: Seconds = 0.001


class Work(NamedTuple):
    """An attempt that waits or runs.

    deadline and goal are in time.monotonic seconds; an answer is worth most until the goal. nested
    says that an upstream makes the call for a request that it runs, which fails without it.
    """

    attempt: AttemptId
    request: Request
    deadline: float
    idempotent: bool
    caller: str
    goal: float | None = None
    kind: str = ""
    nested: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FirstComeFirstServed:
    """Starts work in the order of its arrival, as a baseline for measurements."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fair:
    """Starts first what has its goal first, and minds deadlines; some slots are for short work.

    Callers take turns with work that has no goal.
    """


Policy = FirstComeFirstServed | Fair


# Work that has to wait must reach its goal also if it takes this share longer than usual: with a
# queue up to the goal itself, whatever takes longer than the mean is late.
GOAL_MARGIN = 0.75
# Work that can't reach its goal any more goes behind work whose goal is within this time.
LATE_DEMOTION: Seconds = 0.3


class _Waiting(NamedTuple):
    """Work in the queue; the lowest tag goes first, and among equals the first that came.

    Tags are in time.monotonic seconds, whatever they follow from.
    """

    tag: float
    number: int
    work: Work
    cost: Seconds
    demoted: bool = False


class _Running(NamedTuple):
    """Work at the upstream."""

    kind: str
    long: bool
    started: float


class Admission:
    """The one place that decides what starts at an upstream."""

    def __init__(self, *, service: ServiceName, slots: int, policy: Policy | None = None) -> None:
        self._service = service
        self._slots = slots
        self._policy = policy or Fair()
        self._times = ServiceTimes()
        self._waiting: dict[AttemptId, _Waiting] = {}
        # Heaps that may still hold work that was withdrawn.
        self._short: list[_Waiting] = []
        self._long: list[_Waiting] = []
        self._callers: Counter[str] = Counter()
        self._numbers = itertools.count()
        self._offered_at = 0.0
        self._next_tags: dict[str, float] = {}
        self._running: dict[AttemptId, _Running] = {}
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
        """Return the slots in use, the requests that wait, and how long most work takes."""
        running, waiting = len(self._running), len(self._waiting)
        return Load(self._slots, running, waiting, self._times.typical)

    @property
    def idle(self) -> bool:
        """Return whether nothing waits and nothing runs."""
        return not self._waiting and not self._running

    @property
    def is_draining(self) -> bool:
        """Return whether nothing starts any more."""
        return self._draining

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or return why it is refused."""
        if self._draining:
            return Draining(service=self._service)
        if self._is_full(work.caller):
            return QueueFull(service=self._service, retry_after=RETRY_AFTER)
        waiting = self._place(work, now)
        match self._policy:
            case Fair():
                refusal = self._too_late(waiting, now)
                if refusal is not None:
                    return refusal
            case FirstComeFirstServed():
                pass
        self._waiting[work.attempt] = waiting
        self._callers[work.caller] += 1
        if work.goal is None and not work.nested:
            self._next_tags[work.caller] = waiting.tag + max(waiting.cost, UNKNOWN_COST)
        heapq.heappush(self._heap(waiting.work.kind), waiting)
        return None

    def start_next(self, now: float) -> Work | None:
        """Give the next work a slot, or return None when nothing can start."""
        if len(self._running) >= self._slots:
            return None
        heads = [self._short] if self._head(self._short) else []
        if self._head(self._long) and self._long_may_start():
            heads.append(self._long)
        if not heads:
            return None
        waiting = self._pop(min(heads, key=lambda heap: heap[0]), now)
        self._leave_queue(waiting)
        long = self._times.is_long(waiting.work.kind)
        self._running[waiting.work.attempt] = _Running(waiting.work.kind, long, now)
        return waiting.work

    def check_deadline(self, work: Work, now: float) -> Refusal | None:
        """Return the refusal of work that can't end in time, though it has waited."""
        if now >= work.deadline:
            return DeadlinePassed(service=self._service, verdict=Verdict.NOT_RUN)
        left = work.deadline - now
        match self._policy:
            case Fair() if self._times.estimate(work.kind, now) > left:
                return Overloaded(service=self._service, retry_after=RETRY_AFTER)
        return None

    def finish(self, work: Work, now: float, *, ran: bool = True) -> None:
        """Free the slot of work that has ended; ran says whether the upstream had it."""
        running = self._running.pop(work.attempt)
        if ran:
            self._times.learn(running.kind, now - running.started, now)

    def withdraw(self, attempt: AttemptId) -> bool:
        """Take work out of the queue; return whether it was still there."""
        waiting = self._waiting.get(attempt)
        if waiting is None:
            return False
        self._leave_queue(waiting)
        return True

    def drain(self) -> list[Work]:
        """Start nothing from now on, and return what was waiting."""
        self._draining = True
        return self.clear_queue()

    def clear_queue(self) -> list[Work]:
        """Take everything out of the queue and return it."""
        left = [waiting.work for waiting in self._waiting.values()]
        for heap in (self._short, self._long):
            heap.clear()
        self._waiting.clear()
        self._callers.clear()
        self._next_tags.clear()
        return left

    def _pop(self, heap: list[_Waiting], now: float) -> _Waiting:
        """Return the next work of a heap; what has become late lets others go first, once."""
        while True:
            waiting = heapq.heappop(heap)
            goal = waiting.work.goal
            if goal is None or waiting.demoted or now + waiting.cost <= goal or waiting.work.nested:
                return waiting
            waiting = waiting._replace(tag=goal + LATE_DEMOTION, demoted=True)
            self._waiting[waiting.work.attempt] = waiting
            heapq.heappush(heap, waiting)
            self._head(heap)

    def _is_full(self, caller: str) -> bool:
        """Return whether a caller has its share of the queue, or the queue is at its limit."""
        capacity = self._slots * QUEUE_PER_SLOT
        match self._policy:
            case FirstComeFirstServed():
                return len(self._waiting) >= capacity
            case Fair():
                callers = len(self._callers) + (caller not in self._callers)
                return (
                    self._callers[caller] >= max(1, capacity // callers)
                    or len(self._waiting) >= capacity * QUEUE_HEADROOM
                )

    def _place(self, work: Work, now: float) -> _Waiting:
        """Return where work stands.

        What has its goal first goes first. Callers whose work has none take turns, by what their
        work costs.
        """
        cost = self._times.estimate(work.kind, now)
        self._offered_at = max(self._offered_at, now)
        match self._policy:
            case FirstComeFirstServed():
                tag = 0.0
            case Fair() if work.goal is not None:
                tag = work.goal
            case Fair():
                tag = max(self._offered_at, self._next_tags.get(work.caller, 0.0))
        return _Waiting(tag, next(self._numbers), work, cost)

    def _too_late(self, waiting: _Waiting, now: float) -> Refusal | None:
        """Return the refusal of work that would end too late.

        Work that has to wait past its goal is refused too: at a crest all would else wait so long
        that none reaches its goal, and as many are served either way. A nested call may be late:
        refused, it would waste what the request that it is for has taken.
        """
        wait = self._expected_wait(waiting, now)
        end = now + wait + waiting.cost
        goal = waiting.work.goal
        if goal is not None and wait > 0 and not waiting.work.nested:
            late = end + waiting.cost * GOAL_MARGIN - goal
            if late > 0:
                # Once so much of the work ahead is done, the same request would fit.
                return Overloaded(service=self._service, retry_after=max(late, LEAST_RETRY))
        if end > waiting.work.deadline:
            return Overloaded(service=self._service, retry_after=max(wait, waiting.cost))
        return None

    def _expected_wait(self, waiting: _Waiting, now: float) -> Seconds:
        """Return how long work is likely to wait for a slot."""
        heap = self._heap(waiting.work.kind)
        long = heap is self._long
        slots = self._long_slots() if long else self._slots - self._long_running()
        alike = [running for running in self._running.values() if running.long == long]
        ahead = [other.cost for other in heap if self._is_ahead(other, waiting)]
        if not ahead and len(alike) < slots:
            return 0.0
        left = sum(
            max(0.0, self._times.estimate(running.kind, now) - (now - running.started))
            for running in alike
        )
        return (sum(ahead) + left) / max(1, slots)

    def _is_ahead(self, other: _Waiting, waiting: _Waiting) -> bool:
        """Return whether work in a heap still waits, and before other work."""
        return other < waiting and other.work.attempt in self._waiting

    def _heap(self, kind: str) -> list[_Waiting]:
        """Return the heap for work of a kind."""
        match self._policy:
            case Fair() if self._times.is_long(kind):
                return self._long
        return self._short

    def _head(self, heap: list[_Waiting]) -> bool:
        """Return whether a heap holds work, once what was withdrawn is gone from its head."""
        while heap and heap[0].work.attempt not in self._waiting:
            heapq.heappop(heap)
        return bool(heap)

    def _long_slots(self) -> int:
        """Return how many slots long work may hold at once."""
        kept = -(-self._slots // SLOTS_PER_SHORT_SLOT)
        return max(1, self._slots - kept)

    def _long_running(self) -> int:
        """Return how many slots long work holds."""
        return sum(running.long for running in self._running.values())

    def _long_may_start(self) -> bool:
        """Return whether long work may have one more slot."""
        return self._long_running() < self._long_slots()

    def _leave_queue(self, waiting: _Waiting) -> None:
        """Forget work that no longer waits."""
        caller = waiting.work.caller
        del self._waiting[waiting.work.attempt]
        self._callers[caller] -= 1
        if not self._callers[caller]:
            del self._callers[caller]
        if not self._waiting:
            self._next_tags.clear()
        elif len(self._next_tags) > MAX_CALLERS:
            tags = self._next_tags.items()
            self._next_tags = {name: tag for name, tag in tags if tag > self._offered_at}
