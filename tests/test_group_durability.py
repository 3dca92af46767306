"""Tests that a group loses nothing accepted, and elects a leader again, after faults."""

import unittest

from tests.group_histories import RECOVERY, play
from tests.group_simulation import SimulatedGroup

SEEDS = range(12)


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


class GroupDurabilityTest(unittest.TestCase):
    """No accepted change is lost, and a leader is elected after every fault that must be borne."""

    def check(self, size: int) -> None:
        """Play some seeds with a group of a size."""
        accepted = 0
        for seed in SEEDS:
            history = play(seed, size)
            self.assertEqual(history.violations, [], f"seed {seed}: {history.trace}")
            accepted += len(history.group.accepted)
        self.assertGreater(accepted, 10 * len(SEEDS))

    def test_three_machines(self) -> None:
        """All of them are founders."""
        self.check(3)

    def test_four_machines(self) -> None:
        """Three are founders, and one has joined."""
        self.check(4)


if __name__ == "__main__":
    unittest.main()
