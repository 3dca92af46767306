"""Tests of head-of-line blocking: short calls that queue together with long ones.

Checks are short calls, and posts are long ones.
"""

import random
import unittest
from collections import Counter

from cowslipvane.admission import Admission, FirstComeFirstServed, Policy, Work
from cowslipvane.call import AttemptId, Request
from cowslipvane.types import HostName, ServiceName
from tests.admission_simulation import Arrival, simulate

SLOTS = 6
CHECK_S, POST_S = 0.022, 0.100
CHECK_GOAL_S, POST_GOAL_S = 0.1, 0.4
CALLS = 4000
# Mean load of both kinds together as a share of the capacity; the rate varies over time.
LOAD = 0.95


def goal_shares(policy: Policy | None, seed: int) -> dict[str, float]:
    """Return the share of each kind of call that meets its goal in a simulation."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now = 0.0
    mean = (CHECK_S + POST_S) / 2
    for number in range(CALLS):
        rate_factor = 1.5 if int(now) % 4 == 0 else 0.8
        now += rng.expovariate(LOAD * rate_factor * SLOTS / mean)
        kind, goal = ("check", CHECK_GOAL_S) if number % 2 else ("post", POST_GOAL_S)
        attempt = AttemptId(HostName("a"), 1, number)
        request = Request("GET", "/", (), b"")
        work = Work(attempt, request, now + 3 * goal, True, "c", now + goal, kind)
        arrivals.append(Arrival(now, work))

    def duration(work: Work) -> float:
        return (CHECK_S if work.kind == "check" else POST_S) * rng.uniform(0.5, 1.5)

    offered = Counter(arrival.work.kind for arrival in arrivals)
    met = Counter(
        ending.work.kind
        for ending in simulate(policy, SLOTS, arrivals, duration)
        if not ending.expired and ending.work.goal is not None and ending.at <= ending.work.goal
    )
    return {kind: met[kind] / offered[kind] for kind in offered}


class HeadOfLineBlockingTest(unittest.TestCase):
    """Tests that checks are not blocked by posts with later goals."""

    def test_more_calls_meet_their_goal_during_load_peaks(self) -> None:
        """More calls meet their goal than in order of arrival, for the worse kind and in total."""
        for seed in range(3):
            default, baseline = goal_shares(None, seed), goal_shares(FirstComeFirstServed(), seed)
            with self.subTest(seed=seed, default=default, baseline=baseline):
                self.assertGreater(min(default.values()), min(baseline.values()) + 0.1)
                self.assertGreater(sum(default.values()), sum(baseline.values()) + 0.1)

    def test_late_work_is_demoted_once(self) -> None:
        """A late call does not delay one that can meet its goal, and is not starved."""
        admission = Admission(service=ServiceName("s"), slots=1)

        def work(serial: int, goal: float) -> Work:
            request = Request("GET", "/", (), b"")
            return Work(AttemptId(HostName("a"), 1, serial), request, 9.0, True, "c", goal, "k")

        for serial, goal in ((1, 0.1), (2, 0.35), (3, 5.0)):
            admission.offer(work(serial, goal), 0.0)
        order = []
        while (started := admission.start_next(0.2)) is not None:
            order.append(started.attempt.serial)
            admission.finish(started, 0.2, ran=False)
        self.assertEqual(order, [2, 1, 3])


if __name__ == "__main__":
    unittest.main()
