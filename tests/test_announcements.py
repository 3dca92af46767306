"""Tests of the order of a worker's announcements."""

import unittest
from typing import Literal

from cowslipvane.membership import Announcement, Announcements, Worker
from cowslipvane.types import Address, ServiceName

NOW_MS = 1000


def announcement(
    instance: str,
    started_at: int,
    sequence: int,
    state: Literal["ready", "leaving", "gone"] = "ready",
) -> Announcement:
    """Return an announcement."""
    worker = Worker(ServiceName("stock"), Address("127.0.0.1", 1), 6, 0, instance)
    return Announcement(worker, state, started_at, sequence)


class AnnouncementsTest(unittest.TestCase):
    """That what is late, or of an earlier life, changes nothing."""

    def setUp(self) -> None:
        """Begin without a worker."""
        self.announcements = Announcements()

    def state(self) -> str:
        """Return the instance and state that count."""
        newest = self.announcements.newest
        assert newest is not None
        return f"{newest.worker.instance} {newest.state}"

    def test_a_late_announcement_does_not_bring_a_leaving_worker_back(self) -> None:
        """Neither one that was sent before, nor a later one of the same life."""
        self.announcements.record(announcement("a", 1, 5, "leaving"))
        self.assertFalse(self.announcements.record(announcement("a", 1, 4)))
        self.announcements.record(announcement("a", 1, 6))
        self.assertEqual(self.state(), "a leaving")

    def test_a_new_life_begins_its_sequence_anew(self) -> None:
        """Under the same name or another; what the old one sent late is passed over."""
        self.announcements.record(announcement("a", 1, 9, "leaving"))
        self.assertTrue(self.announcements.record(announcement("a", 2, 1)))
        self.assertEqual(self.state(), "a ready")
        self.assertFalse(self.announcements.record(announcement("a", 1, 10, "leaving")))
        self.assertTrue(self.announcements.record(announcement("b", 3, 1)))
        self.assertFalse(self.announcements.record_departure("a", NOW_MS))
        self.assertEqual(self.state(), "b ready")

    def test_a_departure_is_for_good(self) -> None:
        """A later announcement of the same life doesn't undo it."""
        self.announcements.record(announcement("a", 1, 1))
        self.assertTrue(self.announcements.record_departure("a", NOW_MS))
        self.announcements.record(announcement("a", 1, 2))
        self.assertEqual(self.state(), "a gone")

    def test_a_departure_that_comes_first_counts(self) -> None:
        """A process that has just started hears it before a heartbeat that was sent earlier."""
        self.assertFalse(self.announcements.record_departure("a", NOW_MS))
        self.assertFalse(self.announcements.record(announcement("a", NOW_MS - 1, 7)))
        self.assertIsNone(self.announcements.newest)
        self.assertTrue(self.announcements.record(announcement("a", NOW_MS + 1, 1)))

    def test_instances_without_a_start_follow_each_other(self) -> None:
        """The one before doesn't come back with a late heartbeat."""
        self.announcements.record(announcement("a", 0, 9))
        self.assertTrue(self.announcements.record(announcement("b", 0, 1)))
        self.assertFalse(self.announcements.record(announcement("a", 0, 10)))
        self.assertEqual(self.state(), "b ready")


if __name__ == "__main__":
    unittest.main()
