"""Tests that a group loses nothing accepted, and elects a leader again, after faults."""

import unittest

from cowslipvane.types import Seconds
from tests.group_simulation import SimulatedGroup

RECOVERY: Seconds = 15.0


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


if __name__ == "__main__":
    unittest.main()
