"""Tests that a group loses nothing accepted, and elects a leader again, after faults."""

import unittest
from contextlib import closing

from tests.group_histories import FORMATION, RECOVERY, History, play
from tests.group_simulation import SimulatedGroup

SEEDS = range(12)
# A history with files takes several times as long.
FILE_SEEDS = range(4)
KILLED_SEEDS = range(8)


class FormationTest(unittest.TestCase):
    """Disks that are lost before all founders know each other's identities."""

    def test_an_empty_disk_does_not_vote_in_a_founders_place(self) -> None:
        """A founder that knew no identity yet accepted its vote, and what was accepted was lost."""
        group = SimulatedGroup(seed=1, founders=3)
        lost, behind, dark = sorted(group.hosts)
        group.cut = {behind}
        group.run(3.0)
        group.send_change()
        group.run(1.0)
        self.assertEqual(len(group.accepted), 1)
        group.kill(dark)
        group.lose_disk(lost)
        group.cut = set()
        group.start(lost)
        group.run(5.0)
        self.assertIsNone(group.leader())
        group.start(dark)
        group.run(RECOVERY)
        leader = group.leader()
        assert leader is not None
        self.assertEqual(group.missing(leader, group.accepted), [])


class KilledFollowersTest(unittest.TestCase):
    """Followers that are killed between a write and its sync."""

    # Guards against an accepted change that only the page cache of a killed process held.
    def test_what_killed_followers_had_written_is_not_lost(self) -> None:
        """The leader's disk is lost and the others' power, once it counts on them."""
        for seed in KILLED_SEEDS:
            history = History(seed=seed, size=3, has_files=True)
            with self.subTest(seed=seed), closing(history.group):
                history.run(FORMATION)
                history.kill_followers_within_writes()
                history.run_until_accepted()
                leading = history.leading_host()
                assert leading is not None
                history.lose_disk_and_power(leading)
                self.assertEqual(history.violations, [], history.trace)


class GroupDurabilityTest(unittest.TestCase):
    """No accepted change is lost, and a leader is elected after every fault that must be borne."""

    def check(self, size: int, seeds: range = SEEDS, *, has_files: bool = False) -> None:
        """Play some seeds with a group of a size."""
        accepted = 0
        for seed in seeds:
            history = play(seed, size, has_files=has_files)
            self.assertEqual(history.violations, [], f"seed {seed}: {history.trace}")
            accepted += len(history.group.accepted)
        self.assertGreater(accepted, 10 * len(seeds))

    def test_three_machines(self) -> None:
        """All of them are founders."""
        self.check(3)

    def test_four_machines(self) -> None:
        """Three are founders, and one has joined."""
        self.check(4)

    # Guards against torn batches, and against records and folders that were never synced.
    def test_real_journals(self) -> None:
        """Each machine has a data folder on a simulated disk."""
        self.check(4, FILE_SEEDS, has_files=True)


if __name__ == "__main__":
    unittest.main()
