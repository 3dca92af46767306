"""Tests of which announcement of a worker is current."""

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


if __name__ == "__main__":
    unittest.main()
