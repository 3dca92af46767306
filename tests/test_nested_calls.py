"""The load pattern of nested calls: work under way needs a service that is at a crest."""

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
# Posts alone ask for all the slots, and checks for half of them beside.
POSTS_PER_S, CHECKS_PER_S = SLOTS / POST_S, SLOTS / CHECK_S / 2
CREST_S = 6.0
# A process may have run for any time when the crest comes.
BEGAN = 1000.0


def work(serial: int, now: float, *, nested: bool) -> Work:
    """Return a check that a parent waits for, or a post."""
    request = Request("GET" if nested else "POST", "/", (), b"")
    attempt = AttemptId(HostName("a"), 1, serial)
    if nested:
        deadline = now + CHECK_DEADLINE_S
        goal = now + CHECK_GOAL_S
        return Work(attempt, request, deadline, True, "worker", goal, "check", nested=True)
    deadline, goal = now + POST_DEADLINE_S, now + POST_GOAL_S
    return Work(attempt, request, deadline, False, "caller", goal, "post")


class NestedCallsTest(unittest.TestCase):
    """A call that is refused or late wastes what its parent has done."""

    def test_nested_calls_go_first_at_a_crest(self) -> None:
        """Nearly all are answered in time, and the posts get the slots that are left."""
        rng = random.Random(5)
        arrivals: list[Arrival] = []
        for per_s, nested in ((POSTS_PER_S, False), (CHECKS_PER_S, True)):
            now = BEGAN
            while now < BEGAN + CREST_S:
                now += rng.expovariate(per_s)
                arrivals.append(Arrival(now, work(len(arrivals), now, nested=nested)))
        ended = simulate(
            None,
            SLOTS,
            arrivals,
            lambda it: (CHECK_S if it.nested else POST_S) * rng.uniform(0.5, 2),
        )
        checks = [it for it in ended if it.work.nested and not it.held]
        in_time = sum(it.at <= it.work.deadline for it in checks)
        self.assertGreater(in_time, 0.95 * sum(it.work.nested for it in arrivals))
        posts = [it for it in ended if not it.work.nested and not it.held]
        # Work takes 1.25 times as long on average, so that checks take 0.625 of the slots' time.
        left = POSTS_PER_S * CREST_S * (1 - 0.625) / 1.25
        self.assertGreater(len(posts), 0.8 * left)

    def test_a_nested_call_that_is_late_is_not_put_behind(self) -> None:
        """Its parent is answered late in any case, and not at all without it."""
        admission = Admission(service=ServiceName("s"), slots=1)
        check = work(1, BEGAN, nested=True)._replace(goal=BEGAN - 0.1)
        post = work(2, BEGAN, nested=False)
        for given in (post, check):
            self.assertIsNone(admission.offer(given, BEGAN))
        self.assertEqual(admission.start_next(BEGAN), check)

    def test_work_with_a_goal_and_without_one_is_ordered_by_one_clock(self) -> None:
        """A caller's backlog without goals is passed by what is due before its turn."""
        admission = Admission(service=ServiceName("s"), slots=2)
        taught = work(0, BEGAN, nested=False)._replace(goal=None)
        admission.offer(taught, BEGAN)
        admission.finish(admission.start_next(BEGAN) or taught, BEGAN + POST_S)
        backlog = [taught._replace(attempt=AttemptId(HostName("b"), 1, at)) for at in range(8)]
        due = work(9, BEGAN, nested=False)._replace(goal=BEGAN + 5 * POST_S)
        for given in (*backlog, due):
            self.assertIsNone(admission.offer(given, BEGAN))
        order: list[Work] = []
        while (started := admission.start_next(BEGAN)) is not None:
            order.append(started)
            admission.finish(started, BEGAN + POST_S)
        self.assertIn(order.index(due), (5, 6))


if __name__ == "__main__":
    unittest.main()
