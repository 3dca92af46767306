"""Tests that a group bears one more loss right after a machine was replaced, however that left."""

import unittest
from collections.abc import Callable
from contextlib import closing
from functools import partial
from itertools import product

from cowslipvane.types import HostName, Seconds
from tests.group_simulation import SimulatedGroup

FORMATION: Seconds = 3.0
# A new machine counts as lost until it has been there for this long, as does one that is back.
CATCH_UP: Seconds = 4.0
GRACE: Seconds = 6.0
DOWN: Seconds = 1.0
FROZEN: Seconds = 7.5
# With one machine lost, a change is accepted within this time.
ACCEPTANCE: Seconds = 3.0
STEP: Seconds = 0.05

Leave = Callable[["Replacement", HostName], None]


class Replacement:
    """A group whose machines are replaced, and a change at any time."""

    def __init__(self, *, seed: int, founders: int) -> None:
        self.group = SimulatedGroup(seed=seed, founders=founders)
        self.violations: list[str] = []
        self.run(FORMATION)

    def run(self, duration: Seconds) -> None:
        """Let time pass, and check what processes answer."""
        end = self.group.now + duration
        while self.group.now < end:
            self.group.run(min(STEP, end - self.group.now))
            self.violations += self.group.violations()

    def host(self, *, leads: bool) -> HostName:
        """Return the machine of the leader, or another one."""
        leader = self.group.leader()
        assert leader is not None
        others = sorted(self.group.hosts - {leader.host})
        return leader.host if leads else others[0]

    def is_accepted(self) -> bool:
        """Return whether a change is accepted in time, at a leader that has all changes."""
        accepted = set(self.group.accepted)
        end = self.group.now + ACCEPTANCE
        while self.group.now < end:
            self.group.send_change()
            self.run(STEP)
            if accepted < set(self.group.accepted):
                leader = self.group.leader()
                return leader is not None and not self.group.missing(leader, accepted)
        return False

    def lose_disk(self, host: HostName) -> None:
        """Let a machine lose its disk, and come back."""
        self.group.lose_disk(host)
        self.run(DOWN)
        self.group.start(host)
        self.run(STEP)

    def freeze(self, host: HostName) -> None:
        """Freeze a machine, which stays frozen."""
        self.group.freeze(host)

    def kill(self, host: HostName) -> None:
        """Kill a process, which isn't started again yet."""
        self.group.kill(host)

    def cut(self, host: HostName) -> None:
        """Cut a machine off from the others."""
        self.group.cut = {host}


def stop(replacement: Replacement, host: HostName) -> None:
    """Send SIGTERM, and wait for the exit."""
    group = replacement.group
    end = group.now + GRACE
    group.stop(host, lambda: None)
    while host in group.nodes and group.now < end:
        replacement.run(STEP)
    group.remove_machine(host)


def crash(replacement: Replacement, host: HostName) -> None:
    """Let the machine go without notice."""
    replacement.group.remove_machine(host)


def crash_after_lost_disk(replacement: Replacement, host: HostName) -> None:
    """Let the machine lose its disk, come back and go without notice."""
    replacement.lose_disk(host)
    replacement.run(CATCH_UP)
    crash(replacement, host)


def crash_after_freeze(replacement: Replacement, host: HostName) -> None:
    """Freeze the machine, let it wake, and go without notice."""
    replacement.group.freeze(host)
    replacement.run(FROZEN)
    replacement.group.thaw(host)
    replacement.run(CATCH_UP)
    crash(replacement, host)


def stop_after_restart(replacement: Replacement, host: HostName) -> None:
    """Stop the process, start it again, and stop the machine for good."""
    group = replacement.group
    group.stop(host, partial(group.start, host))
    replacement.run(CATCH_UP + DOWN)
    stop(replacement, host)


WAYS_TO_LEAVE: tuple[Leave, ...] = (
    stop,
    crash,
    crash_after_lost_disk,
    crash_after_freeze,
    stop_after_restart,
)
LOSSES = (Replacement.lose_disk, Replacement.freeze, Replacement.kill, Replacement.cut)


class ReplacementTest(unittest.TestCase):
    """A machine is added, an old one leaves, and the next one is lost at the same moment."""

    def check(
        self, leave: Leave, loss: Callable[[Replacement, HostName], None], *, founders: int
    ) -> None:
        """Check each machine as the next one to be lost, with a leader that leaves or stays."""
        for number, leads in product(range(founders), (True, False)):
            replacement = Replacement(seed=number, founders=founders)
            group = replacement.group
            with (
                self.subTest(leave.__name__, loss=loss.__name__, lost=number, leads=leads),
                closing(group),
            ):
                old = replacement.host(leads=leads)
                group.add_machine(beside=old)
                replacement.run(CATCH_UP)
                leave(replacement, old)
                loss(replacement, sorted(group.hosts)[number])
                self.assertTrue(replacement.is_accepted(), "no change is accepted any more")
                self.assertEqual(replacement.violations, [])

    # Guards against a group that never elects a leader again, since a voter that was replaced still
    # counted when the next disk was lost (review/6).
    def test_a_lost_disk_after_any_replacement(self) -> None:
        """The machine that left doesn't count any more."""
        for leave in WAYS_TO_LEAVE:
            self.check(leave, Replacement.lose_disk, founders=3)

    def test_any_loss_after_a_replacement(self) -> None:
        """The next one freezes, dies or is cut off, and stays so."""
        for leave, loss in product((stop, crash), LOSSES[1:]):
            self.check(leave, loss, founders=3)

    def test_a_replacement_in_a_group_of_four(self) -> None:
        """Each machine is in a data centre of its own."""
        for leave, loss in product((stop, crash), LOSSES):
            self.check(leave, loss, founders=4)

    def test_a_stopped_machine_is_replaced_from_another_data_centre(self) -> None:
        """Which machine goes isn't known before the signal."""
        for number in range(3):
            replacement = Replacement(seed=number, founders=3)
            with self.subTest(lost=number), closing(replacement.group):
                first, second, _ = sorted(replacement.group.hosts)
                replacement.group.add_machine(beside=second)
                replacement.run(CATCH_UP)
                stop(replacement, first)
                replacement.lose_disk(sorted(replacement.group.hosts)[number])
                self.assertTrue(replacement.is_accepted())
                self.assertEqual(replacement.violations, [])

    def test_machines_replaced_one_after_another(self) -> None:
        """Each successor has as long as a new machine may need."""
        for leave, last in product((stop, crash), LOSSES):
            replacement = Replacement(seed=7, founders=3)
            group = replacement.group
            with self.subTest(leave.__name__, loss=last.__name__), closing(group):
                for old in sorted(group.hosts):
                    group.add_machine(beside=old)
                    replacement.run(CATCH_UP)
                    leave(replacement, old)
                last(replacement, sorted(group.hosts)[0])
                self.assertTrue(replacement.is_accepted())
                self.assertEqual(replacement.violations, [])

    def test_a_machine_that_went_before_its_successor_came(self) -> None:
        """The successor has as long as a new machine may need."""
        for leads, loss in product((True, False), LOSSES):
            replacement = Replacement(seed=3, founders=3)
            group = replacement.group
            with self.subTest(loss=loss.__name__, leads=leads), closing(group):
                old = replacement.host(leads=leads)
                crash(replacement, old)
                replacement.run(DOWN)
                group.add_machine(beside=old)
                replacement.run(CATCH_UP)
                loss(replacement, sorted(group.hosts)[0])
                self.assertTrue(replacement.is_accepted())
                self.assertEqual(replacement.violations, [])


class GrowthTest(unittest.TestCase):
    """Machines that are added without any that leaves."""

    def test_an_older_voter_stands_by_for_a_newer_one_in_its_data_centre(self) -> None:
        """A fourth voter would raise the majority; a fifth machine lets all of them vote."""
        replacement = Replacement(seed=5, founders=3)
        group = replacement.group
        with closing(group):
            first, second, third = sorted(group.hosts)
            fourth = group.add_machine(beside=first)
            replacement.run(CATCH_UP)
            leader = group.leader()
            assert leader is not None
            found = leader.replica.group
            self.assertEqual({voter.host for voter in found.voters}, {second, third, fourth})
            self.assertEqual([learner.host for learner in found.learners], [first])
            group.add_machine(beside=second)
            replacement.run(CATCH_UP)
            leader = group.leader()
            assert leader is not None
            self.assertEqual(len(leader.replica.group.voters), 5)
            self.assertEqual(replacement.violations, [])

    def test_a_stop_of_one_of_three_voters_keeps_its_vote(self) -> None:
        """Two voters would tolerate no further failure even after it is back."""
        replacement = Replacement(seed=6, founders=3)
        with closing(replacement.group):
            host = replacement.host(leads=False)
            began_at = replacement.group.now
            ended_at: list[Seconds] = []
            replacement.group.stop(host, lambda: ended_at.append(replacement.group.now))
            replacement.run(DOWN)
            self.assertLess(ended_at[0] - began_at, STEP)
            leader = replacement.group.leader()
            assert leader is not None
            self.assertEqual(len(leader.replica.group.voters), 3)


if __name__ == "__main__":
    unittest.main()
