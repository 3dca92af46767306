"""Tests of which announcement of a worker is current."""

import unittest
from typing import Literal

from cowslipvane.membership import (
    MAX_HOST_DEPARTURES,
    MAX_ORDER,
    Announcement,
    Announcements,
    Departure,
    FactRegister,
    HostFacts,
    Worker,
    WorkerLimit,
)
from cowslipvane.membership._announcements import RESCIND_TIME
from cowslipvane.membership._facts import MAX_FACT_BYTES
from cowslipvane.types import Address, HostName, ServiceName
from cowslipvane.wire import encode_untagged

NOW_MS = 1000
BORN_MS = 1_796_537_690_892
HEARTBEAT_S = 1.5
# The longest time for which one message of another writer may keep a sound worker out.
MAX_AWAY_S = 3 * HEARTBEAT_S
# Hosts at the size to design for (docs/CAPACITY.md).
FLEET = 5_167


def announcement(
    instance: str,
    started_at: int,
    sequence: int,
    state: Literal["ready", "leaving", "gone"] = "ready",
) -> Announcement:
    """Return an announcement of a worker of stock."""
    worker = Worker(ServiceName("stock"), Address("127.0.0.1", 1), 6, 0, instance)
    return Announcement(worker, state, started_at, sequence)


class AnnouncementsTest(unittest.TestCase):
    """Late announcements and those of earlier incarnations are ignored."""

    def setUp(self) -> None:
        """Start without a worker."""
        self.announcements = Announcements()

    def instance_and_state(self) -> str:
        """Return the instance and state of the newest announcement."""
        newest = self.announcements.newest
        assert newest is not None
        return f"{newest.worker.instance} {newest.state}"

    def test_a_leaving_worker_does_not_become_ready_again(self) -> None:
        """Neither an earlier nor a later announcement of the same incarnation changes its state."""
        self.announcements.record(announcement("a", 1, 5, "leaving"))
        self.assertFalse(self.announcements.record(announcement("a", 1, 4)))
        self.announcements.record(announcement("a", 1, 6))
        self.assertEqual(self.instance_and_state(), "a leaving")

    def test_a_new_incarnation_restarts_the_sequence(self) -> None:
        """Late announcements of the previous one are ignored, whether or not its name is reused."""
        self.announcements.record(announcement("a", 1, 9, "leaving"))
        self.assertTrue(self.announcements.record(announcement("a", 2, 1)))
        self.assertEqual(self.instance_and_state(), "a ready")
        self.assertFalse(self.announcements.record(announcement("a", 1, 10, "leaving")))
        self.assertTrue(self.announcements.record(announcement("b", 3, 1)))
        self.assertFalse(self.announcements.record_departure("a", NOW_MS))
        self.assertEqual(self.instance_and_state(), "b ready")

    def test_a_departure_is_final(self) -> None:
        """A later announcement of the same incarnation does not revert it."""
        self.announcements.record(announcement("a", 1, 1))
        self.assertTrue(self.announcements.record_departure("a", NOW_MS))
        self.announcements.record(announcement("a", 1, 2))
        self.assertEqual(self.instance_and_state(), "a gone")

    def test_a_departure_may_precede_all_announcements(self) -> None:
        """A process that has just started may receive it before an earlier heartbeat."""
        self.assertFalse(self.announcements.record_departure("a", NOW_MS))
        self.assertFalse(self.announcements.record(announcement("a", NOW_MS - 1, 7)))
        self.assertIsNone(self.announcements.newest)
        self.assertTrue(self.announcements.record(announcement("a", NOW_MS + 1, 1)))

    def test_instances_without_a_start_time_replace_each_other(self) -> None:
        """A late heartbeat of the previous instance is ignored."""
        self.announcements.record(announcement("a", 0, 9))
        self.assertTrue(self.announcements.record(announcement("b", 0, 1)))
        self.assertFalse(self.announcements.record(announcement("a", 0, 10)))
        self.assertEqual(self.instance_and_state(), "b ready")

    def test_announcements_of_one_incarnation_do_not_end_it(self) -> None:
        """Only another incarnation replaces the current one."""
        for sequence in (1, 2, 3):
            self.assertTrue(self.announcements.record(announcement("a", 1, sequence)))
        self.assertEqual(self.announcements.unkept, ())

    # Guards against a sound worker that is never served, since the clock of its host went back.
    def test_a_worker_may_come_after_one_that_has_left_with_an_earlier_start_time(self) -> None:
        """A late announcement is of one that has ended."""
        self.announcements.record(announcement("a", 5, 1))
        self.announcements.record_departure("a", NOW_MS)
        self.assertTrue(self.announcements.record(announcement("b", 3, 1)))
        self.assertFalse(self.announcements.record(announcement("a", 5, 2)))
        self.assertEqual(self.instance_and_state(), "b ready")

    # Guards against requests to a worker whose draining was acknowledged, but not heeded.
    def test_leaving_counts_whatever_its_sequence(self) -> None:
        """An announcement as ready that was sent before may have overtaken it."""
        self.announcements.record(announcement("a", 1, 7))
        self.assertTrue(self.announcements.record(announcement("a", 1, 6, "leaving")))
        self.assertEqual(self.instance_and_state(), "a leaving")

    def test_leaving_counts_for_an_incarnation_that_is_not_current(self) -> None:
        """Its later announcements as ready are late ones."""
        self.announcements.record(announcement("b", 2, 1))
        self.assertFalse(self.announcements.record(announcement("a", 1, 6, "leaving")))
        self.assertEqual(self.announcements.unkept, (Departure("a", 1),))

    # Guards against a worker that gets no requests since an earlier one of its name ended late.
    def test_a_late_departure_does_not_end_a_later_incarnation(self) -> None:
        """It tells the start time of the incarnation that it ends."""
        self.announcements.record(announcement("a", 1, 1))
        self.announcements.record(announcement("a", 2, 1))
        self.assertFalse(self.announcements.record_end(Departure("a", 1)))
        self.assertEqual(self.instance_and_state(), "a ready")
        self.assertTrue(self.announcements.record_end(Departure("a", 2)))


class SuccessorTest(unittest.TestCase):
    """What a process learns of the departures that its predecessors acknowledged."""

    def setUp(self) -> None:
        """Start a successor, which knows nothing yet."""
        self.announcements = Announcements(may_have_predecessor=True)

    # Guards against a successor that takes a late announcement for new (issue 37, DRAIN).
    def test_a_late_announcement_counts_until_the_departure_is_learnt(self) -> None:
        """A sound worker would have to wait otherwise; one that has left is deregistered then."""
        self.assertTrue(self.announcements.awaits_predecessors)
        self.assertTrue(self.announcements.record(announcement("a", 1, 5)))
        self.assertTrue(self.announcements.learn([Departure("a", 1)]))
        self.assertFalse(self.announcements.awaits_predecessors)
        self.assertFalse(self.announcements.record(announcement("a", 1, 6)))
        self.assertTrue(self.announcements.record(announcement("a", 2, 1)))

    def test_learning_what_is_known_deregisters_nobody(self) -> None:
        """The worker that is ready isn't one of those that have left."""
        self.announcements.record(announcement("b", 2, 1))
        self.assertFalse(self.announcements.learn([Departure("a", 1)]))
        self.assertFalse(self.announcements.learn([Departure("a", 1), Departure("b", 1)]))

    def test_a_departure_is_kept_once_it_is_learnt_back(self) -> None:
        """What was sent isn't known to be kept before."""
        self.announcements.record(announcement("a", 1, 1))
        self.announcements.record_departure("a", NOW_MS)
        self.assertEqual(self.announcements.unkept, (Departure("a", 1),))
        self.assertFalse(self.announcements.is_kept(Departure("a", 1)))
        self.announcements.learn([Departure("a", 1)])
        self.assertTrue(self.announcements.is_kept(Departure("a", 1)))
        self.assertFalse(self.announcements.is_kept(Departure("a", 2)))

    # Guards against a sound worker that is never served again: a late announcement of the one
    # before it, whose start time isn't known, replaced it and ended it for good.
    def test_a_late_announcement_without_start_time_ends_no_sound_worker(self) -> None:
        """The worker that goes on announcing itself wins."""
        self.announcements.record(announcement("b", 0, 1))
        self.announcements.record(announcement("a", 0, 9))
        self.assertTrue(self.announcements.record(announcement("b", 0, 2)))
        self.assertEqual(self.announcements.unkept, ())
        self.announcements.learn([Departure("a", 0)])
        self.assertFalse(self.announcements.record(announcement("a", 0, 10)))
        newest = self.announcements.newest
        assert newest is not None
        self.assertEqual((newest.worker.instance, newest.state), ("b", "ready"))

    # Guards against a sound worker that no successor serves again, since one message of another
    # writer replaced it (review/7).
    def test_replaced_instances_are_not_known_to_have_ended(self) -> None:
        """What they say is late here all the same, and at a successor until the next one speaks."""
        self.announcements.learn([])
        self.announcements.record(announcement("a", 0, 9))
        self.announcements.record(announcement("b", 0, 1))
        self.assertEqual(self.announcements.unkept, ())
        self.assertFalse(self.announcements.record(announcement("a", 0, 10)))
        successor = Announcements(may_have_predecessor=True)
        successor.learn([])
        self.assertTrue(successor.record(announcement("a", 0, 11)))
        self.assertTrue(successor.record(announcement("b", 0, 2)))
        self.assertFalse(successor.record(announcement("a", 0, 12)))


class AnotherWriterTest(unittest.TestCase):
    """A sound worker that goes on announcing itself, and one message of another writer."""

    def setUp(self) -> None:
        """Let the sound worker announce itself twice."""
        self.announcements = Announcements()
        self.now = 0.0
        self.sequence = 0
        for _ in range(2):
            self.assertTrue(self.announce())

    def announce(self, *, delay: float = HEARTBEAT_S) -> bool:
        """Let the sound worker announce itself after a time; return whether it counts."""
        self.now += delay
        self.sequence += 1
        return self.announcements.record(self.received("a", 10, self.sequence))

    def received(
        self, instance: str, started_at: int, sequence: int, state: Literal["ready"] = "ready"
    ) -> Announcement:
        """Return an announcement that is received now."""
        return announcement(instance, started_at, sequence, state)._replace(received_at=self.now)

    def time_to_return(self) -> float:
        """Return the time until the sound worker counts again."""
        since = self.now
        while not self.announce():
            self.assertLess(self.now, since + 100.0)
        return self.now - since

    # Guards against a sound worker that is never served again (review/7, RECOVER).
    def test_a_worker_that_goes_on_returns(self) -> None:
        """Whatever the message says, and under whichever name it comes."""
        for instance, started_at, sequence in (
            ("b", 20, 1),
            ("c", MAX_ORDER, 1),
            ("d", 10, 1),
            ("a", 20, 1),
            ("a", MAX_ORDER, MAX_ORDER),
            ("a", 10, MAX_ORDER),
        ):
            with self.subTest(instance, started_at=started_at, sequence=sequence):
                odd = self.received(instance, started_at, sequence)
                self.assertTrue(self.announcements.record(odd))
                self.assertLessEqual(self.time_to_return(), MAX_AWAY_S)
                self.assertTrue(self.announce())
                self.assertEqual(self.announcements.unkept, ())

    def test_the_same_message_again_does_not_replace_it_at_once(self) -> None:
        """It has been replaced itself."""
        self.announcements.record(self.received("other", 20, 1))
        self.time_to_return()
        self.assertFalse(self.announcements.record(self.received("other", 20, 2)))
        self.assertTrue(self.announce())

    def test_a_worker_may_start_anew_under_its_name(self) -> None:
        """Also after a message of another writer with a later start time."""
        self.announcements.record(self.received("a", MAX_ORDER, 1))
        self.time_to_return()
        anew = [self.received("a", 11, sequence) for sequence in range(1, 6)]
        counts = [
            self.announcements.record(each._replace(received_at=self.now + number * HEARTBEAT_S))
            for number, each in enumerate(anew)
        ]
        self.assertTrue(counts[-1])

    def test_late_announcements_do_not_bring_a_replaced_worker_back(self) -> None:
        """They come many at a time, or singly beside those of its successor."""
        self.assertTrue(self.announcements.record(self.received("b", 20, 1)))
        for _ in range(10):
            self.assertFalse(self.announce(delay=0.1))
        for sequence in range(2, 10):
            self.assertFalse(self.announce())
            self.assertTrue(self.announcements.record(self.received("b", 20, sequence)))

    def test_leaving_under_another_name_ends_nobody_else(self) -> None:
        """The current worker didn't say it."""
        leaving = announcement("other", 20, 1, "leaving")
        self.assertFalse(self.announcements.record(leaving))
        self.assertTrue(self.announce())

    def test_a_worker_that_has_not_left_returns_after_a_while(self) -> None:
        """Late announcements would have ended by then, and so would a worker that has left."""
        self.announcements.record_end(Departure("a", MAX_ORDER))
        away = self.time_to_return()
        self.assertGreaterEqual(away, RESCIND_TIME)
        self.assertLessEqual(away, RESCIND_TIME + 2 * HEARTBEAT_S)

    # Guards against a departure that the replicas keep of a worker that hasn't left.
    def test_a_kept_departure_does_not_end_it_again(self) -> None:
        """A process that learns of it again ignores it, until the worker says that it leaves."""
        kept = Departure("a", MAX_ORDER)
        self.announcements.learn([kept])
        self.time_to_return()
        self.assertFalse(self.announcements.learn([kept]))
        self.assertTrue(self.announce())
        self.assertTrue(self.announcements.record_end(Departure("a", 10)))
        self.announcements.learn([kept])
        self.assertTrue(self.announcements.is_kept(Departure("a", 10)))
        self.assertFalse(self.announce())


class RegisterTest(unittest.TestCase):
    """The departures of all hosts, as the replicas keep them."""

    def setUp(self) -> None:
        """Start with an empty register."""
        self.register = FactRegister()

    def record(self, host: str, *departures: Departure) -> None:
        """Record departures of a host."""
        self.register.record(HostFacts(HostName(host), departures))

    def test_the_newest_departures_of_a_host_are_kept(self) -> None:
        """A later one of an instance takes the place of the earlier one."""
        for number in range(MAX_HOST_DEPARTURES + 3):
            self.record("p", Departure(f"i-{number}", number))
        self.record("p", Departure("i-5", 100), Departure("i-5", 99))
        kept = self.register.of(HostName("p")).departures
        self.assertEqual(len(kept), MAX_HOST_DEPARTURES)
        self.assertEqual((kept[0].instance, kept[-1]), ("i-3", Departure("i-5", 100)))

    def test_only_what_is_missing_and_sound_is_to_be_recorded(self) -> None:
        """An unsound one would keep others from reading the log."""
        self.record("p", Departure("a", 5))
        asked = (Departure("a", 5), Departure("a", 6), Departure("", 1), Departure("b", -1))
        missing = self.register.missing(HostFacts(HostName("p"), asked))
        self.assertEqual(missing.departures, (Departure("a", 6),))

    # Guards against replicas whose memory grows with every host that there ever was.
    def test_its_size_is_bounded(self) -> None:
        """It has room for a departure of each host at the size to design for."""
        for number in range(2 * FLEET):
            self.record(
                f"10.{number >> 8}.{number & 255}.1", Departure(f"i-{number:010x}", BORN_MS)
            )
        newest = 2 * FLEET - 1
        for number in range(newest - FLEET + 1, newest + 1):
            self.assertTrue(
                self.register.of(HostName(f"10.{number >> 8}.{number & 255}.1")).departures
            )
        self.assertLess(len(encode_untagged(self.register.export())), MAX_FACT_BYTES)
        self.assertEqual(self.register.of(HostName("10.0.0.1")).departures, ())

    def test_the_newest_limit_of_a_host_is_kept(self) -> None:
        """One that was recorded before, or is none, isn't recorded again."""
        host, limit = HostName("p"), WorkerLimit("a", 1, 2.5)
        self.register.record(HostFacts(host, (), limit))
        self.record("p", Departure("b", 1))
        self.assertEqual(self.register.of(host).limit, limit)
        unsound = WorkerLimit("a", 1, -1.0)
        for known in (None, limit, unsound):
            self.assertTrue(self.register.missing(HostFacts(host, (), known)).is_empty)
        newer = HostFacts(host, (), limit._replace(requests_per_s=1.0))
        self.assertEqual(self.register.missing(newer), newer)

    def test_restores_what_it_exports(self) -> None:
        """Also in which order the hosts are forgotten."""
        for number in range(5):
            self.record(f"p-{number % 3}", Departure(f"i-{number}", number))
        copy = FactRegister()
        copy.restore(self.register.export())
        self.assertEqual(copy.export(), self.register.export())


if __name__ == "__main__":
    unittest.main()
