"""Tests of a load peak above the capacity that lasts several seconds."""

import random
import unittest
from unittest.mock import patch

from cowslipvane.admission import FirstComeFirstServed, Policy, Work, _admission
from cowslipvane.call import AttemptId, Request
from cowslipvane.types import HostName
from tests.admission_simulation import Arrival, simulate

SLOTS = 12
WORK_S = 0.14
GOAL_S, DEADLINE_S = 0.5, 1.2
# The load peak as a multiple of the capacity, and how long it lasts.
PEAK_LOAD = 1.6
PEAK_S = 6.0

# A small share of the calls takes many times as long as the others.
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0


def shares(policy: Policy | None, seed: int, *, tail: bool = False) -> dict[str, float]:
    """Return the shares of calls that met the goal, met the deadline, or expired in the queue."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now = 0.0
    while now < PEAK_S:
        now += rng.expovariate(PEAK_LOAD * SLOTS / WORK_S)
        attempt = AttemptId(HostName("a"), 1, len(arrivals))
        request = Request("GET", "/", (), b"")
        work = Work(attempt, request, now + DEADLINE_S, True, "c", now + GOAL_S, "k")
        arrivals.append(Arrival(now, work))

    def duration(_: Work) -> float:
        """Return the service time of a call."""
        if tail and rng.random() < TAIL_SHARE:
            return WORK_S * TAIL_FACTOR
        return WORK_S * rng.uniform(0.5, 1.5)

    endings = simulate(policy, SLOTS, arrivals, duration)
    completed = [ending for ending in endings if not ending.expired]
    counts = {
        "in goal": sum(it.work.goal is not None and it.at <= it.work.goal for it in completed),
        "served": sum(it.at <= it.work.deadline for it in completed),
        "expired": len(endings) - len(completed),
    }
    return {name: count / len(arrivals) for name, count in counts.items()}


class OverloadTest(unittest.TestCase):
    """Tests that the capacity is used, and that the calls served meet their goal."""

    def test_calls_served_during_overload_meet_their_goal(self) -> None:
        """The other calls are refused on arrival instead of expiring in the queue."""
        for seed in range(3):
            default, baseline = shares(None, seed), shares(FirstComeFirstServed(), seed)
            with self.subTest(seed=seed, default=default, baseline=baseline):
                self.assertGreater(default["in goal"], 0.9 / PEAK_LOAD)
                self.assertGreater(default["served"], baseline["served"] - 0.05)
                self.assertGreater(default["in goal"], baseline["in goal"] + 0.1)
                self.assertLess(default["expired"], 0.01)

    def test_goal_margin_helps_with_long_tailed_service_times(self) -> None:
        """Without the margin, many of the calls served would miss their goal."""
        default = [shares(None, seed, tail=True)["in goal"] for seed in range(5)]
        with patch.object(_admission, "GOAL_MARGIN_SHARE", 0.0):
            no_margin = [shares(None, seed, tail=True)["in goal"] for seed in range(5)]
        self.assertGreater(sum(default), 1.1 * sum(no_margin))


if __name__ == "__main__":
    unittest.main()
