"""Tests of admission control at the owner."""

import unittest

from cowslipvane.admission import Admission, FirstComeFirstServed, Work
from cowslipvane.admission import _admission as limits
from cowslipvane.admission._service_times import (
    ESTIMATE_HALF_LIFE,
    MAX_KINDS,
    ServiceTimes,
    request_kind,
)
from cowslipvane.call import AttemptId, Request
from cowslipvane.refusal import DeadlinePassed, Draining, Overloaded, QueueFull
from cowslipvane.types import HostName, ServiceName

SERVICE = ServiceName("stock")
NO_DEADLINE = 1e9
SHORT_S, LONG_S = 0.01, 1.0


def work(
    serial: int,
    path: str = "/short",
    *,
    caller: str = "a",
    deadline: float = NO_DEADLINE,
    goal: float | None = None,
) -> Work:
    """Return work for one request of a caller."""
    attempt = AttemptId(HostName("a"), 1, serial)
    request = Request("GET", path, (), b"")
    return Work(attempt, request, deadline, True, caller, goal, request_kind(request))


class AdmissionTest(unittest.TestCase):
    """Tests of which work is started, queued or refused."""

    def setUp(self) -> None:
        """Create an admission with service times for short and long work."""
        self.admission = Admission(service=SERVICE, slots=6)
        self.train(self.admission)

    def train(self, admission: Admission) -> None:
        """Run work so that an admission learns its service times."""
        for serial in range(40):
            self.run_one(admission, work(1000 + serial), SHORT_S)
        for serial in range(2):
            self.run_one(admission, work(2000 + serial, "/long"), LONG_S)

    def run_one(self, admission: Admission, item: Work, duration: float) -> None:
        """Run work from its offer to its end."""
        self.assertIsNone(admission.offer(item, 0.0))
        self.assertEqual(admission.start_next(-duration), item)
        admission.finish(item, 0.0)

    def start_all(self) -> list[str]:
        """Start all work that can start, and return its callers and paths."""
        names = []
        while (item := self.admission.start_next(0.0)) is not None:
            names.append(f"{item.caller}{item.request.path}")
        return names

    def test_load_reports_typical_service_time(self) -> None:
        """Proxies send fewer calls to a slower upstream of the same service."""
        slower = Admission(service=SERVICE, slots=6)
        for serial in range(40):
            self.run_one(slower, work(serial), 2 * SHORT_S)
        self.assertAlmostEqual(slower.load.service_time, 2 * SHORT_S)
        self.assertLess(self.admission.load.service_time, slower.load.service_time)
        self.assertEqual(Admission(service=SERVICE, slots=6).load.service_time, 0.0)

    def test_running_work_is_limited_to_slots(self) -> None:
        """Work beyond the slots is queued, and each slot that becomes free starts one more."""
        for serial in range(8):
            self.admission.offer(work(serial), 0.0)
        self.assertEqual(len(self.start_all()), 6)
        self.admission.finish(work(0), 0.0)
        self.assertEqual(len(self.start_all()), 1)

    def test_slots_are_reserved_for_short_work(self) -> None:
        """Short work starts at once however much long work is queued."""
        for serial in range(10):
            self.admission.offer(work(serial, "/long"), 0.0)
        self.assertEqual(self.start_all(), ["a/long"] * 4)
        self.admission.offer(work(20), 0.0)
        self.assertEqual(self.start_all(), ["a/short"])

    def test_short_work_does_not_starve_long_work(self) -> None:
        """Long work starts before short work that arrived later."""
        for serial in range(6):
            self.admission.offer(work(serial), 0.0)
        self.start_all()
        self.admission.offer(work(6, "/long", caller="b"), 0.0)
        for serial in range(7, 17):
            self.admission.offer(work(serial, caller="c"), 0.0)
        self.admission.finish(work(0), 0.0)
        self.assertEqual(self.start_all(), ["b/long"])

    def test_callers_take_turns(self) -> None:
        """A caller with one request does not wait for the backlog of another caller."""
        for serial in range(106):
            self.admission.offer(work(serial), 0.0)
        self.start_all()
        self.admission.offer(work(200, caller="b"), 0.0)
        for serial in range(2):
            self.admission.finish(work(serial), 0.0)
        self.assertIn("b/short", self.start_all())

    def test_queue_is_shared_among_callers(self) -> None:
        """Each caller's share shrinks as more callers queue work, and the total is bounded."""
        capacity = 6 * limits.QUEUE_CAPACITY_PER_SLOT
        refusals = [self.admission.offer(work(serial), 0.0) for serial in range(capacity + 1)]
        self.assertEqual(refusals.count(None), capacity)
        self.assertIsInstance(refusals[-1], QueueFull)
        others = [
            self.admission.offer(work(1000 + serial, caller=f"caller {serial}"), 0.0)
            for serial in range(3 * capacity)
        ]
        self.assertIsNone(others[0])
        self.assertEqual(self.admission.load.queued, capacity * limits.QUEUE_LIMIT_FACTOR)

    def test_work_that_cannot_meet_its_deadline_is_refused_on_arrival(self) -> None:
        """The queued work counts against the deadline and sets the retry delay."""
        self.assertIsInstance(
            self.admission.offer(work(0, "/long", deadline=LONG_S / 2), 0.0), Overloaded
        )
        for serial in range(1, 67):
            self.admission.offer(work(serial), 0.0)
        self.start_all()
        refusal = self.admission.offer(work(100, deadline=5 * SHORT_S), 0.0)
        assert isinstance(refusal, Overloaded)
        self.assertAlmostEqual(refusal.retry_after, 11 * SHORT_S, delta=SHORT_S)
        self.assertIsNone(self.admission.offer(work(101, deadline=15 * SHORT_S), 0.0))

    def test_expired_work_is_not_started(self) -> None:
        """Queued work is refused once its deadline has passed or is too close."""
        expired = self.admission.check_deadline(work(0, deadline=1.0), 1.0)
        self.assertIsInstance(expired, DeadlinePassed)
        self.assertIsNone(self.admission.check_deadline(work(0, deadline=2 * SHORT_S), 0.0))
        self.assertIsInstance(
            self.admission.check_deadline(work(0, deadline=SHORT_S / 2), 0.0), Overloaded
        )

    def test_estimates_decay_without_samples(self) -> None:
        """A high estimate decays even while all work of its kind is refused."""
        item = work(0, "/long", deadline=100 * ESTIMATE_HALF_LIFE + LONG_S / 2)
        self.assertIsInstance(
            self.admission.offer(item._replace(deadline=LONG_S / 2), 0.0), Overloaded
        )
        self.assertIsNone(self.admission.offer(item, 100 * ESTIMATE_HALF_LIFE))

    def test_drain_returns_queued_work(self) -> None:
        """No work is accepted or started after a drain."""
        for serial in range(8):
            self.admission.offer(work(serial), 0.0)
        self.start_all()
        queued = {item.attempt.serial for item in self.admission.drain()}
        self.assertEqual(queued, {6, 7})
        self.admission.finish(work(0), 0.0)
        self.assertIsNone(self.admission.start_next(0.0))
        self.assertIsInstance(self.admission.offer(work(9), 0.0), Draining)

    def test_first_come_first_served_ignores_service_times(self) -> None:
        """The baseline starts work strictly in the order of arrival."""
        self.admission = Admission(service=SERVICE, slots=6, policy=FirstComeFirstServed())
        self.train(self.admission)
        for serial in range(10):
            self.admission.offer(work(serial, "/long"), 0.0)
        self.admission.offer(work(20, caller="b"), 0.0)
        self.assertEqual(self.start_all(), ["a/long"] * 6)


class ServiceTimesTest(unittest.TestCase):
    """Tests of the service time estimates."""

    def test_identifiers_are_not_part_of_a_kind(self) -> None:
        """Paths that differ only in a number are of one kind."""
        kinds = {request_kind(Request("GET", f"/stock/{n}/x?a={n}", (), b"")) for n in range(5)}
        self.assertEqual(kinds, {"GET /stock/*"})

    def test_number_of_kinds_is_bounded(self) -> None:
        """The least recently sampled kinds are dropped."""
        times = ServiceTimes()
        for number in range(MAX_KINDS + 1):
            times.add(str(number), 1.0, 0.0)
        self.assertEqual(times.estimate("0", 0.0), 0.0)
        self.assertEqual(times.estimate("1", 0.0), 1.0)


if __name__ == "__main__":
    unittest.main()
