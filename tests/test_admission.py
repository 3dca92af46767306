"""Tests of the owner's admission."""

import unittest

from cowslipvane.admission import Admission, FirstComeFirstServed, Work
from cowslipvane.admission import _admission as limits
from cowslipvane.admission._service_times import HALF_LIFE, MAX_KINDS, ServiceTimes, request_kind
from cowslipvane.call import AttemptId, Request
from cowslipvane.refusal import DeadlinePassed, Draining, Overloaded, QueueFull
from cowslipvane.types import HostName, ServiceName

SERVICE = ServiceName("stock")
FAR = 1e9
SHORT_S, LONG_S = 0.01, 1.0


def work(
    serial: int,
    path: str = "/short",
    *,
    caller: str = "a",
    deadline: float = FAR,
    goal: float | None = None,
) -> Work:
    """Return work that a caller wants done."""
    attempt = AttemptId(HostName("a"), 1, serial)
    request = Request("GET", path, (), b"")
    return Work(attempt, request, deadline, True, caller, goal, request_kind(request))


class AdmissionTest(unittest.TestCase):
    """What starts, what waits, and what is refused."""

    def setUp(self) -> None:
        """Make an admission that knows its short and its long work."""
        self.admission = Admission(service=SERVICE, slots=6)
        self.teach(self.admission)

    def teach(self, admission: Admission) -> None:
        """Let an admission learn how long work takes."""
        for serial in range(40):
            self.run_one(admission, work(1000 + serial), SHORT_S)
        for serial in range(2):
            self.run_one(admission, work(2000 + serial, "/long"), LONG_S)

    def run_one(self, admission: Admission, given: Work, took: float) -> None:
        """Run work from its offer to its end."""
        self.assertIsNone(admission.offer(given, 0.0))
        self.assertEqual(admission.start_next(-took), given)
        admission.finish(given, 0.0)

    def started(self) -> list[str]:
        """Start all that can start, and return whose or which work it was."""
        names = []
        while (given := self.admission.start_next(0.0)) is not None:
            names.append(f"{given.caller}{given.request.path}")
        return names

    def test_the_load_tells_how_long_work_takes_here(self) -> None:
        """A slower upstream of the same service gets fewer calls by that."""
        slower = Admission(service=SERVICE, slots=6)
        for serial in range(40):
            self.run_one(slower, work(serial), 2 * SHORT_S)
        self.assertAlmostEqual(slower.load.service_time, 2 * SHORT_S)
        self.assertLess(self.admission.load.service_time, slower.load.service_time)
        self.assertEqual(Admission(service=SERVICE, slots=6).load.service_time, 0.0)

    def test_never_more_than_the_slots(self) -> None:
        """Work beyond the slots waits, and one end starts one more."""
        for serial in range(8):
            self.admission.offer(work(serial), 0.0)
        self.assertEqual(len(self.started()), 6)
        self.admission.finish(work(0), 0.0)
        self.assertEqual(len(self.started()), 1)

    def test_long_work_leaves_slots_to_short_work(self) -> None:
        """Short work starts at once behind any amount of long work."""
        for serial in range(10):
            self.admission.offer(work(serial, "/long"), 0.0)
        self.assertEqual(self.started(), ["a/long"] * 4)
        self.admission.offer(work(20), 0.0)
        self.assertEqual(self.started(), ["a/short"])

    def test_short_work_does_not_shut_long_work_out(self) -> None:
        """Long work that came first starts before short work that came later."""
        for serial in range(6):
            self.admission.offer(work(serial), 0.0)
        self.started()
        self.admission.offer(work(6, "/long", caller="b"), 0.0)
        for serial in range(7, 17):
            self.admission.offer(work(serial, caller="c"), 0.0)
        self.admission.finish(work(0), 0.0)
        self.assertEqual(self.started(), ["b/long"])

    def test_callers_take_turns(self) -> None:
        """A caller with one request doesn't wait behind another's hundred."""
        for serial in range(106):
            self.admission.offer(work(serial), 0.0)
        self.started()
        self.admission.offer(work(200, caller="b"), 0.0)
        for serial in range(2):
            self.admission.finish(work(serial), 0.0)
        self.assertIn("b/short", self.started())

    def test_one_caller_can_not_fill_the_queue(self) -> None:
        """The share of each is smaller the more callers wait, and all is bounded."""
        capacity = 6 * limits.QUEUE_PER_SLOT
        taken = [self.admission.offer(work(serial), 0.0) for serial in range(capacity + 1)]
        self.assertEqual(taken.count(None), capacity)
        self.assertIsInstance(taken[-1], QueueFull)
        others = [
            self.admission.offer(work(1000 + serial, caller=f"caller {serial}"), 0.0)
            for serial in range(3 * capacity)
        ]
        self.assertIsNone(others[0])
        self.assertEqual(self.admission.load.queued, capacity * limits.QUEUE_HEADROOM)

    def test_what_can_not_end_in_time_is_refused_at_once(self) -> None:
        """The queue's work is counted against the deadline, and says when to try again."""
        self.assertIsInstance(
            self.admission.offer(work(0, "/long", deadline=LONG_S / 2), 0.0), Overloaded
        )
        for serial in range(1, 67):
            self.admission.offer(work(serial), 0.0)
        self.started()
        refusal = self.admission.offer(work(100, deadline=5 * SHORT_S), 0.0)
        assert isinstance(refusal, Overloaded)
        self.assertAlmostEqual(refusal.retry_after, 11 * SHORT_S, delta=SHORT_S)
        self.assertIsNone(self.admission.offer(work(101, deadline=15 * SHORT_S), 0.0))

    def test_work_that_waited_too_long_does_not_start(self) -> None:
        """It is refused as not run when its time is up, or too short for it."""
        late = self.admission.check_deadline(work(0, deadline=1.0), 1.0)
        self.assertIsInstance(late, DeadlinePassed)
        self.assertIsNone(self.admission.check_deadline(work(0, deadline=2 * SHORT_S), 0.0))
        self.assertIsInstance(
            self.admission.check_deadline(work(0, deadline=SHORT_S / 2), 0.0), Overloaded
        )

    def test_refusals_do_not_outlive_a_slow_spell(self) -> None:
        """An estimate that lets nothing through loses its weight by itself."""
        given = work(0, "/long", deadline=100 * HALF_LIFE + LONG_S / 2)
        self.assertIsInstance(
            self.admission.offer(given._replace(deadline=LONG_S / 2), 0.0), Overloaded
        )
        self.assertIsNone(self.admission.offer(given, 100 * HALF_LIFE))

    def test_a_drain_returns_what_waits(self) -> None:
        """Nothing starts from then on."""
        for serial in range(8):
            self.admission.offer(work(serial), 0.0)
        self.started()
        waiting = {given.attempt.serial for given in self.admission.drain()}
        self.assertEqual(waiting, {6, 7})
        self.admission.finish(work(0), 0.0)
        self.assertIsNone(self.admission.start_next(0.0))
        self.assertIsInstance(self.admission.offer(work(9), 0.0), Draining)

    def test_the_baseline_takes_all_in_order(self) -> None:
        """First come, first served, whatever it costs."""
        self.admission = Admission(service=SERVICE, slots=6, policy=FirstComeFirstServed())
        self.teach(self.admission)
        for serial in range(10):
            self.admission.offer(work(serial, "/long"), 0.0)
        self.admission.offer(work(20, caller="b"), 0.0)
        self.assertEqual(self.started(), ["a/long"] * 6)


class ServiceTimesTest(unittest.TestCase):
    """What is learned of each kind of work."""

    def test_identifiers_do_not_make_kinds(self) -> None:
        """Paths that differ in a number are of one kind."""
        kinds = {request_kind(Request("GET", f"/stock/{n}/x?a={n}", (), b"")) for n in range(5)}
        self.assertEqual(kinds, {"GET /stock/*"})

    def test_kinds_are_bounded(self) -> None:
        """The kinds unused for longest are forgotten."""
        times = ServiceTimes()
        for number in range(MAX_KINDS + 1):
            times.learn(str(number), 1.0, 0.0)
        self.assertEqual(times.estimate("0", 0.0), 0.0)
        self.assertEqual(times.estimate("1", 0.0), 1.0)


if __name__ == "__main__":
    unittest.main()
