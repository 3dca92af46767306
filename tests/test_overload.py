"""The load pattern of a crest over capacity: more calls than slots for several seconds."""

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
# The crest asks for this many times what the slots can do, for so many seconds.
CREST = 1.6
CREST_S = 6.0


# A few pieces of work take many times as long as the others.
TAIL_SHARE, TAIL_TIMES = 0.03, 7.0


def share(policy: Policy | None, seed: int, *, tail: bool = False) -> dict[str, float]:
    """Return shares of the calls of a crest: in their goal, served at all, held in vain."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now = 0.0
    while now < CREST_S:
        now += rng.expovariate(CREST * SLOTS / WORK_S)
        attempt = AttemptId(HostName("a"), 1, len(arrivals))
        request = Request("GET", "/", (), b"")
        work = Work(attempt, request, now + DEADLINE_S, True, "c", now + GOAL_S, "k")
        arrivals.append(Arrival(now, work))

    def took(_: Work) -> float:
        """Return how long a piece of work takes."""
        if tail and rng.random() < TAIL_SHARE:
            return WORK_S * TAIL_TIMES
        return WORK_S * rng.uniform(0.5, 1.5)

    ended = simulate(policy, SLOTS, arrivals, took)
    ran = [ending for ending in ended if not ending.held]
    counts = {
        "in goal": sum(it.work.goal is not None and it.at <= it.work.goal for it in ran),
        "served": sum(it.at <= it.work.deadline for it in ran),
        "held": len(ended) - len(ran),
    }
    return {name: count / len(arrivals) for name, count in counts.items()}


class CrestTest(unittest.TestCase):
    """That as many are served as the slots can do, and these in time."""

    def test_what_is_served_at_a_crest_is_served_in_its_goal(self) -> None:
        """The rest is refused on arrival, not held until its deadline."""
        for seed in range(3):
            ours, arrival = share(None, seed), share(FirstComeFirstServed(), seed)
            with self.subTest(seed=seed, ours=ours, arrival=arrival):
                self.assertGreater(ours["in goal"], 0.9 / CREST)
                self.assertGreater(ours["served"], arrival["served"] - 0.05)
                self.assertGreater(ours["in goal"], arrival["in goal"] + 0.1)
                self.assertLess(ours["held"], 0.01)

    def test_work_with_a_long_tail_is_queued_less_far(self) -> None:
        """A queue up to the goal would let a large part of what is served miss it."""
        ours = [share(None, seed, tail=True)["in goal"] for seed in range(5)]
        with patch.object(_admission, "GOAL_MARGIN", 0.0):
            full = [share(None, seed, tail=True)["in goal"] for seed in range(5)]
        self.assertGreater(sum(ours), 1.1 * sum(full))


if __name__ == "__main__":
    unittest.main()
