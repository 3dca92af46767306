"""Decide which requests are queued, started or refused at an upstream."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.admission._first_answer import FirstAnswer
from cowslipvane.admission._rate_limit import RateLimit
from cowslipvane.admission._service_times import ServiceTimes
from cowslipvane.admission._work import Work
from cowslipvane.call import AttemptId
from cowslipvane.refusal import DeadlinePassed, Draining, Overloaded, QueueFull, Refusal
from cowslipvane.routing import Load
from cowslipvane.types import Seconds, ServiceName, Verdict

# Queue capacity for each slot, divided evenly among the callers that have queued requests.
QUEUE_CAPACITY_PER_SLOT = 20
# Hard limit of the queue, as a multiple of its capacity. The headroom admits new callers while
# earlier ones still fill the queue.
QUEUE_LIMIT_FACTOR = 2
RETRY_AFTER: Seconds = 1.0
# Lower limit of the retry delay for a request that is refused because it would miss its goal.
MIN_RETRY_AFTER: Seconds = 0.05
# One slot in this many, rounded up, is reserved for short work; a single slot is not reserved.
SLOTS_PER_RESERVED_SLOT = 3
# Callers whose next fair queueing tag is kept; beyond this, those whose tag lies before the latest
# offer are dropped.
MAX_CALLER_TAGS = 4096
# Lower limit of the cost of work in fair queueing, for kinds without service time samples.
MIN_COST: Seconds = 0.001


@dataclass(frozen=True, slots=True, kw_only=True)
class FirstComeFirstServed:
    """Start work in the order of arrival; a baseline for measurements."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fair:
    """Start the work with the earliest goal first, and refuse work that would end too late.

    Some slots are reserved for short work. Work without a goal is shared fairly among callers.
    """


Policy = FirstComeFirstServed | Fair


# Queued work must be able to meet its goal even if it takes this share longer than estimated. If
# the queue were filled up to the goal itself, all work slower than the mean would be late.
GOAL_MARGIN_SHARE = 0.75
# Work that can no longer meet its goal is ordered as if its goal were this much later.
DEMOTION_DELAY: Seconds = 0.3


class _Waiting(NamedTuple):
    """Work in the queue, ordered by tag and then by arrival.

    With Fair, all tags are in time.monotonic seconds, so that work with and without a goal can be
    compared. With FirstComeFirstServed, all tags are 0, so that only the arrival counts.
    """

    tag: float
    sequence: int
    work: Work
    cost: Seconds
    demoted: bool = False


class _Running(NamedTuple):
    """Work that is running at the upstream."""

    kind: str
    long: bool
    started_at: float


class Admission:
    """The queue and the slots of one upstream.

    first_answer is given for an upstream that hasn't answered a request of this process yet.
    """

    def __init__(
        self,
        *,
        service: ServiceName,
        slots: int,
        policy: Policy | None = None,
        first_answer: FirstAnswer | None = None,
    ) -> None:
        self._first_answer = first_answer
        self._service = service
        self._slots = slots
        self._policy = policy or Fair()
        self._times = ServiceTimes()
        self._waiting: dict[AttemptId, _Waiting] = {}
        # The heaps may still contain withdrawn work, which is skipped when it reaches the head.
        self._short: list[_Waiting] = []
        self._long: list[_Waiting] = []
        self._callers: Counter[str] = Counter()
        self._sequence = itertools.count()
        self._latest_offer_at = 0.0
        self._next_tags: dict[str, float] = {}
        self._running: dict[AttemptId, _Running] = {}
        self._rate_limit: RateLimit | None = None
        self._draining = False

    @property
    def service(self) -> ServiceName:
        """Return the service of the upstream."""
        return self._service

    @property
    def slots(self) -> int:
        """Return how many requests the upstream can run concurrently."""
        return self._slots

    @property
    def load(self) -> Load:
        """Return the slots, the running and queued requests, and the typical service time."""
        running, waiting, typical = len(self._running), len(self._waiting), self._times.typical
        slots = self._slots
        if self._rate_limit is not None:
            # More are of no use at this rate, and would draw calls that have to wait for a token.
            slots = min(slots, self._rate_limit.slots(typical))
        return Load(slots, running, waiting, typical)

    @property
    def requests_per_s(self) -> float | None:
        """Return the requests a second that the upstream takes, None if it names no limit."""
        return None if self._rate_limit is None else self._rate_limit.requests_per_s

    def limit_rate(self, requests_per_s: float | None, now: float) -> None:
        """Start no more requests a second than the upstream takes; None lifts the limit."""
        if requests_per_s is None:
            self._rate_limit = None
        elif self._rate_limit is None:
            self._rate_limit = RateLimit(requests_per_s=requests_per_s, now=now)
        else:
            self._rate_limit.change(requests_per_s, now)

    def expect_rate(self, requests_per_s: float, now: float) -> None:
        """Start no more than this rate until the upstream answers; its first request starts now."""
        if self._first_answer is not None:
            self._rate_limit = RateLimit(requests_per_s=requests_per_s, now=now, tokens=1.0)

    @property
    def awaits_first_answer(self) -> bool:
        """Return whether the upstream hasn't answered a request yet."""
        return self._first_answer is not None

    def record_answer(self) -> None:
        """Record that the upstream has answered, so that all its slots can be used."""
        self._first_answer = None

    @property
    def is_idle(self) -> bool:
        """Return whether no work is queued or running."""
        return not self._waiting and not self._running

    @property
    def is_draining(self) -> bool:
        """Return whether the admission has stopped taking work."""
        return self._draining

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or return the refusal."""
        if self._draining:
            return Draining(service=self._service)
        if self._is_full(work.caller):
            return QueueFull(service=self._service, retry_after=RETRY_AFTER)
        waiting = self._with_tag(work, now)
        match self._policy:
            case Fair():
                refusal = self._late_refusal(waiting, now)
                if refusal is not None:
                    return refusal
            case FirstComeFirstServed():
                pass
        self._waiting[work.attempt] = waiting
        self._callers[work.caller] += 1
        if work.goal is None and not work.nested:
            self._next_tags[work.caller] = waiting.tag + max(waiting.cost, MIN_COST)
        heapq.heappush(self._heap_for(waiting.work.kind), waiting)
        return None

    def start_next(self, now: float) -> Work | None:
        """Assign a slot to the next work and return it, or return None if nothing can start."""
        if len(self._running) >= self._usable_slots(now):
            return None
        ready = [self._short] if self._prune_head(self._short) else []
        if self._prune_head(self._long) and self._long_may_start():
            ready.append(self._long)
        if not ready or not self._take_token(now):
            return None
        waiting = self._pop(min(ready, key=lambda heap: heap[0]), now)
        self._dequeue(waiting)
        long = self._times.is_long(waiting.work.kind)
        self._running[waiting.work.attempt] = _Running(waiting.work.kind, long, now)
        if self._first_answer is not None:
            self._first_answer.record_start(now)
        return waiting.work

    def _usable_slots(self, now: float) -> int:
        """Return how many requests may run at once now."""
        if self._first_answer is None:
            return self._slots
        return min(self._slots, self._first_answer.slots(now))

    def _take_token(self, now: float) -> bool:
        """Return whether the upstream's rate limit, if any, lets another request start."""
        return self._rate_limit is None or self._rate_limit.take(now)

    def start_delay(self, now: float) -> Seconds | None:
        """Return the time until queued work may start though none ends, None if it may not."""
        if not self._waiting or len(self._running) >= self._slots:
            return None
        delays = []
        if self._first_answer is not None:
            may_start = len(self._running) < self._first_answer.slots(now)
            delays.append(0.0 if may_start else self._first_answer.delay(now))
        if self._rate_limit is not None:
            delays.append(self._rate_limit.delay(now))
        return max(delays, default=None)

    def check_deadline(self, work: Work, now: float) -> Refusal | None:
        """Return the refusal of work that can no longer end before its deadline."""
        if now >= work.deadline:
            return DeadlinePassed(service=self._service, verdict=Verdict.NOT_RUN)
        remaining = work.deadline - now
        match self._policy:
            case Fair() if self._times.estimate(work.kind, now) > remaining:
                return Overloaded(service=self._service, retry_after=RETRY_AFTER)
        return None

    def finish(self, work: Work, now: float, *, ran: bool = True) -> None:
        """Free the slot of work; ran tells whether the work was sent to the upstream."""
        running = self._running.pop(work.attempt)
        if ran:
            self._times.add(running.kind, now - running.started_at, now)
        elif self._rate_limit is not None:
            self._rate_limit.give_back()

    def withdraw(self, attempt: AttemptId) -> Work | None:
        """Remove work from the queue and return it, or return None if it isn't queued."""
        waiting = self._waiting.get(attempt)
        if waiting is None:
            return None
        self._dequeue(waiting)
        return waiting.work

    def drain(self) -> list[Work]:
        """Stop taking and starting work, and return the work that was queued."""
        self._draining = True
        return self.clear_queue()

    def clear_queue(self) -> list[Work]:
        """Remove all work from the queue and return it."""
        removed = [waiting.work for waiting in self._waiting.values()]
        for heap in (self._short, self._long):
            heap.clear()
        self._waiting.clear()
        self._callers.clear()
        self._next_tags.clear()
        return removed

    def _pop(self, heap: list[_Waiting], now: float) -> _Waiting:
        """Return the next work of a heap, after demoting late work; work is demoted only once."""
        while True:
            waiting = heapq.heappop(heap)
            goal = waiting.work.goal
            if goal is None or waiting.demoted or now + waiting.cost <= goal or waiting.work.nested:
                return waiting
            waiting = waiting._replace(tag=goal + DEMOTION_DELAY, demoted=True)
            self._waiting[waiting.work.attempt] = waiting
            heapq.heappush(heap, waiting)
            self._prune_head(heap)

    def _is_full(self, caller: str) -> bool:
        """Return whether the caller has used up its share of the queue, or the queue is full."""
        capacity = self._slots * QUEUE_CAPACITY_PER_SLOT
        match self._policy:
            case FirstComeFirstServed():
                return len(self._waiting) >= capacity
            case Fair():
                callers = len(self._callers) + (caller not in self._callers)
                return (
                    self._callers[caller] >= max(1, capacity // callers)
                    or len(self._waiting) >= capacity * QUEUE_LIMIT_FACTOR
                )

    def _with_tag(self, work: Work, now: float) -> _Waiting:
        """Return work with its tag and its estimated cost.

        Work with a goal is ordered by the goal. Work without one is ordered by fair queueing: the
        caller's next tag advances by the cost of its work.
        """
        cost = self._times.estimate(work.kind, now)
        self._latest_offer_at = max(self._latest_offer_at, now)
        match self._policy:
            case FirstComeFirstServed():
                tag = 0.0
            case Fair() if work.goal is not None:
                tag = work.goal
            case Fair():
                tag = max(self._latest_offer_at, self._next_tags.get(work.caller, 0.0))
        return _Waiting(tag, next(self._sequence), work, cost)

    def _late_refusal(self, waiting: _Waiting, now: float) -> Refusal | None:
        """Return the refusal of work that would end too late.

        Work that would miss its goal because of the queue is refused too. Otherwise, during a load
        peak all requests would wait so long that none meets its goal, although as many are served
        either way. Nested calls may miss their goal: refusing one would waste the work already
        done for the request that made it.
        """
        wait = self._expected_wait(waiting, now)
        end = now + wait + waiting.cost
        goal = waiting.work.goal
        if goal is not None and wait > 0 and not waiting.work.nested:
            lateness = end + waiting.cost * GOAL_MARGIN_SHARE - goal
            if lateness > 0:
                # The same request would be accepted once this much of the queue is done.
                return Overloaded(service=self._service, retry_after=max(lateness, MIN_RETRY_AFTER))
        if end > waiting.work.deadline:
            return Overloaded(service=self._service, retry_after=max(wait, waiting.cost))
        return None

    def _expected_wait(self, waiting: _Waiting, now: float) -> Seconds:
        """Return the estimated time until work gets a slot."""
        heap = self._heap_for(waiting.work.kind)
        long = heap is self._long
        slots = self._max_long_slots() if long else self._slots - self._long_running()
        same_class = [running for running in self._running.values() if running.long == long]
        ahead = [other.cost for other in heap if self._is_ahead(other, waiting)]
        wait_for_token = self._expected_wait_for_token(waiting, now)
        if not ahead and len(same_class) < slots:
            return wait_for_token
        remaining = sum(
            max(0.0, self._times.estimate(running.kind, now) - (now - running.started_at))
            for running in same_class
        )
        return max((sum(ahead) + remaining) / max(1, slots), wait_for_token)

    def _expected_wait_for_token(self, waiting: _Waiting, now: float) -> Seconds:
        """Return the estimated time until work has a token of the upstream's rate limit."""
        if self._rate_limit is None:
            return 0.0
        ahead = sum(
            self._is_ahead(other, waiting) for heap in (self._short, self._long) for other in heap
        )
        return self._rate_limit.delay(now, ahead=ahead)

    def _is_ahead(self, other: _Waiting, waiting: _Waiting) -> bool:
        """Return whether other work is still queued and is to start earlier."""
        return other < waiting and other.work.attempt in self._waiting

    def _heap_for(self, kind: str) -> list[_Waiting]:
        """Return the heap for a kind of work."""
        match self._policy:
            case Fair() if self._times.is_long(kind):
                return self._long
        return self._short

    def _prune_head(self, heap: list[_Waiting]) -> bool:
        """Drop withdrawn work from the head of a heap; return whether any work remains."""
        while heap and heap[0].work.attempt not in self._waiting:
            heapq.heappop(heap)
        return bool(heap)

    def _max_long_slots(self) -> int:
        """Return how many slots long work may use at the same time."""
        reserved = -(-self._slots // SLOTS_PER_RESERVED_SLOT)
        return max(1, self._slots - reserved)

    def _long_running(self) -> int:
        """Return how many slots are in use by long work."""
        return sum(running.long for running in self._running.values())

    def _long_may_start(self) -> bool:
        """Return whether long work may take another slot."""
        return self._long_running() < self._max_long_slots()

    def _dequeue(self, waiting: _Waiting) -> None:
        """Remove work from the queue."""
        caller = waiting.work.caller
        del self._waiting[waiting.work.attempt]
        self._callers[caller] -= 1
        if not self._callers[caller]:
            del self._callers[caller]
        if not self._waiting:
            self._next_tags.clear()
        elif len(self._next_tags) > MAX_CALLER_TAGS:
            tags = self._next_tags.items()
            self._next_tags = {name: tag for name, tag in tags if tag > self._latest_offer_at}
