"""Tests of nested calls to a service whose load exceeds its capacity.

Checks are nested calls, and posts are calls from outside.
"""

import random
import unittest

from cowslipvane.admission import Admission, Work
from cowslipvane.call import AttemptId, Request
from cowslipvane.types import HostName, ServiceName
from tests.admission_simulation import Arrival, simulate

SLOTS = 12
POST_S, CHECK_S = 0.18, 0.04
POST_GOAL_S, CHECK_GOAL_S = 0.6, 0.15
POST_DEADLINE_S, CHECK_DEADLINE_S = 1.5, 0.5
# Posts alone use the whole capacity, and checks half of it in addition.
POSTS_PER_S, CHECKS_PER_S = SLOTS / POST_S, SLOTS / CHECK_S / 2
PEAK_S = 6.0
# The monotonic clock of a process may have any value; tags that start at 0 would fail here.
START = 1000.0


def work(serial: int, now: float, *, nested: bool) -> Work:
    """Return a check that a parent request waits for, or a post."""
    request = Request("GET" if nested else "POST", "/", (), b"")
    attempt = AttemptId(HostName("a"), 1, serial)
    if nested:
        deadline = now + CHECK_DEADLINE_S
        goal = now + CHECK_GOAL_S
        return Work(attempt, request, deadline, True, "worker", goal, "check", nested=True)
    deadline, goal = now + POST_DEADLINE_S, now + POST_GOAL_S
    return Work(attempt, request, deadline, False, "caller", goal, "post")


class NestedCallsTest(unittest.TestCase):
    """Tests that nested calls are preferred; refusing one wastes its parent's work."""

    def test_nested_calls_start_first_during_overload(self) -> None:
        """Nearly all nested calls meet their deadline, and posts use the remaining capacity."""
        rng = random.Random(5)
        arrivals: list[Arrival] = []
        for per_s, nested in ((POSTS_PER_S, False), (CHECKS_PER_S, True)):
            now = START
            while now < START + PEAK_S:
                now += rng.expovariate(per_s)
                arrivals.append(Arrival(now, work(len(arrivals), now, nested=nested)))
        endings = simulate(
            None,
            SLOTS,
            arrivals,
            lambda it: (CHECK_S if it.nested else POST_S) * rng.uniform(0.5, 2),
        )
        checks = [it for it in endings if it.work.nested and not it.expired]
        in_time = sum(it.at <= it.work.deadline for it in checks)
        self.assertGreater(in_time, 0.95 * sum(it.work.nested for it in arrivals))
        posts = [it for it in endings if not it.work.nested and not it.expired]
        # The mean of uniform(0.5, 2) is 1.25, so checks use 0.5 * 1.25 = 0.625 of the capacity.
        remaining = POSTS_PER_S * PEAK_S * (1 - 0.625) / 1.25
        self.assertGreater(len(posts), 0.8 * remaining)

    def test_late_nested_calls_are_not_demoted(self) -> None:
        """The parent is late already, and would fail without the nested call."""
        admission = Admission(service=ServiceName("s"), slots=1)
        check = work(1, START, nested=True)._replace(goal=START - 0.1)
        post = work(2, START, nested=False)
        for item in (post, check):
            self.assertIsNone(admission.offer(item, START))
        self.assertEqual(admission.start_next(START), check)

    def test_work_with_and_without_a_goal_is_ordered_by_time(self) -> None:
        """Work with a goal overtakes the part of a caller's backlog that is due later."""
        admission = Admission(service=ServiceName("s"), slots=2)
        sample = work(0, START, nested=False)._replace(goal=None)
        admission.offer(sample, START)
        admission.finish(admission.start_next(START) or sample, START + POST_S)
        backlog = [
            sample._replace(attempt=AttemptId(HostName("b"), 1, index)) for index in range(8)
        ]
        due = work(9, START, nested=False)._replace(goal=START + 5 * POST_S)
        for item in (*backlog, due):
            self.assertIsNone(admission.offer(item, START))
        order: list[Work] = []
        while (started := admission.start_next(START)) is not None:
            order.append(started)
            admission.finish(started, START + POST_S)
        self.assertIn(order.index(due), (5, 6))


if __name__ == "__main__":
    unittest.main()
