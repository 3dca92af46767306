"""The load pattern of short calls behind long ones, such as nested checks behind posts."""

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
# Both kinds together ask for this share of the slots, in waves.
LOAD = 0.95


def share(policy: Policy | None, seed: int) -> dict[str, float]:
    """Return the share of each kind of call that reaches its goal, over simulated time."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now = 0.0
    mean = (CHECK_S + POST_S) / 2
    for number in range(CALLS):
        wave = 1.5 if int(now) % 4 == 0 else 0.8
        now += rng.expovariate(LOAD * wave * SLOTS / mean)
        kind, goal = ("check", CHECK_GOAL_S) if number % 2 else ("post", POST_GOAL_S)
        attempt = AttemptId(HostName("a"), 1, number)
        request = Request("GET", "/", (), b"")
        work = Work(attempt, request, now + 3 * goal, True, "c", now + goal, kind)
        arrivals.append(Arrival(now, work))

    def took(work: Work) -> float:
        return (CHECK_S if work.kind == "check" else POST_S) * rng.uniform(0.5, 1.5)

    asked = Counter(arrival.work.kind for arrival in arrivals)
    met = Counter(
        ending.work.kind
        for ending in simulate(policy, SLOTS, arrivals, took)
        if not ending.held and ending.work.goal is not None and ending.at <= ending.work.goal
    )
    return {kind: met[kind] / asked[kind] for kind in asked}


class ShortBehindLongTest(unittest.TestCase):
    """That a check isn't held by posts that have more time than it."""

    def test_checks_reach_their_goal_in_waves_over_capacity(self) -> None:
        """The worse served kind is served better than in the order of arrival, and so are all."""
        for seed in range(3):
            ours, arrival = share(None, seed), share(FirstComeFirstServed(), seed)
            with self.subTest(seed=seed, ours=ours, arrival=arrival):
                self.assertGreater(min(ours.values()), min(arrival.values()) + 0.1)
                self.assertGreater(sum(ours.values()), sum(arrival.values()) + 0.1)

    def test_what_has_become_late_lets_others_go_first_once(self) -> None:
        """So that one late call makes no second one late, and isn't starved either."""
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
