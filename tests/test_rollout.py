"""Tests of rollouts by the pattern of the load and of the fault, in simulated time."""

import random
import unittest

from cowslipvane.catalogue import Rollout
from cowslipvane.membership import Member
from cowslipvane.rollout import (
    AnswerCounts,
    AnswerLog,
    Observations,
    Plan,
    RolloutView,
    Sound,
    WorkerAnswers,
)
from cowslipvane.rollout._judgement import judge_speed
from cowslipvane.routing import UpstreamVersions
from cowslipvane.types import HostName
from tests.rollout_simulation import (
    EXPOSURE,
    NEW,
    OLD,
    SERVICE,
    Answer,
    Behaviour,
    Moment,
    Outcome,
    RolloutSimulation,
    owner,
    running,
    work,
)

SEEDS = range(8)
# By the users' bounds: the share that a bad version may get, and beside it, and the time within
# which it gets nothing more after its 50th bad answer.
EXPOSURE_SLACK = 50
MAX_BAD_ANSWERS = 50


def sound(moment: Moment, rng: random.Random) -> Answer:
    """Answer as all upstreams do, with one failure in a thousand."""
    return Answer(work(rng), rng.random() < 0.001)


def only_new(behaviour: Behaviour) -> Behaviour:
    """Return a behaviour of the new version alone; the old one is sound."""

    def answer(moment: Moment, rng: random.Random) -> Answer:
        return behaviour(moment, rng) if moment.is_new else sound(moment, rng)

    return answer


def failing(share: float) -> Behaviour:
    """Return a behaviour in which a share of the answers fails."""

    def answer(moment: Moment, rng: random.Random) -> Answer:
        return Answer(work(rng), rng.random() < share)

    return answer


def slow(share: float, times: float) -> Behaviour:
    """Return a behaviour in which a share of the answers takes so many times as long."""

    def answer(moment: Moment, rng: random.Random) -> Answer:
        return Answer(work(rng) * (times if rng.random() < share else 1.0))

    return answer


class RolloutTestCase(unittest.TestCase):
    """Plays a behaviour with several seeds."""

    def play(self, behaviour: Behaviour, **options: object) -> list[Outcome]:
        """Return the outcomes of some seeds."""
        return [
            RolloutSimulation(behaviour=behaviour, seed=seed, **options).run()  # type: ignore[arg-type]
            for seed in SEEDS
        ]

    def assert_rolled_back(self, behaviour: Behaviour, **options: object) -> None:
        """Check that a bad version is rolled back, and what it got until then."""
        for outcome in self.play(behaviour, **options):
            self.assertEqual(outcome.phase, "rolled-back", outcome)
            self.assertLessEqual(
                outcome.exposed, EXPOSURE * outcome.requests + EXPOSURE_SLACK, outcome
            )
            self.assertLessEqual(outcome.bad_answers, MAX_BAD_ANSWERS, outcome)

    def assert_completed(self, behaviour: Behaviour, **options: object) -> None:
        """Check that a sound version is completed before the deadline."""
        for outcome in self.play(behaviour, **options):
            self.assertEqual(outcome.phase, "completed", outcome)
            self.assertLess(outcome.ended_at, 16.0)


class BadVersionTest(RolloutTestCase):
    """Versions that have to be rolled back."""

    def test_bad_at_once_by_failures(self) -> None:
        """Three answers in ten fail from the first on."""
        self.assert_rolled_back(only_new(failing(0.3)))

    def test_bad_at_once_by_slow_answers(self) -> None:
        """Three answers in ten take five times as long; the others are as before."""
        self.assert_rolled_back(only_new(slow(0.3, 5.0)))

    def test_slow_throughout(self) -> None:
        """Each answer takes four times as long."""
        self.assert_rolled_back(only_new(slow(1.0, 4.0)))

    def test_bad_late(self) -> None:
        """It is sound for eight seconds, half of the time."""

        def answer(moment: Moment, rng: random.Random) -> Answer:
            late = failing(0.4)
            return late(moment, rng) if moment.at > 8 else sound(moment, rng)

        self.assert_rolled_back(only_new(answer))

    def test_bad_on_one_route(self) -> None:
        """One of three routes fails, in half of its answers."""

        def answer(moment: Moment, rng: random.Random) -> Answer:
            faulty = failing(0.5)
            return faulty(moment, rng) if moment.kind == "b" else sound(moment, rng)

        self.assert_rolled_back(only_new(answer), kinds=("a", "b", "c"))

    # Guards against a trial so thin that its upstreams never get the load that the others have.
    def test_bad_under_load_alone(self) -> None:
        """It fails where an upstream gets over half of what the present ones get on average."""

        def answer(moment: Moment, rng: random.Random) -> Answer:
            faulty = failing(0.4)
            return faulty(moment, rng) if moment.load > 6 else sound(moment, rng)

        self.assert_rolled_back(only_new(answer), requests_per_s=144.0)


class SoundVersionTest(RolloutTestCase):
    """Versions that have to be completed in time."""

    def test_sound(self) -> None:
        """It is as the other one."""
        self.assert_completed(sound)

    def test_sound_among_upstreams_of_three_speeds(self) -> None:
        """Upstreams of both versions differ in speed by three times."""
        speeds = (0.5, 1.0, 1.5)

        def answer(moment: Moment, rng: random.Random) -> Answer:
            speed = speeds[int(moment.host.rpartition("-")[2]) % 3]
            return Answer(work(rng) / speed, rng.random() < 0.001)

        self.assert_completed(answer)

    def test_sound_among_slow_neighbours(self) -> None:
        """In mid-time a third of all upstreams takes four times as long."""

        def answer(moment: Moment, rng: random.Random) -> Answer:
            is_slow = int(moment.host.rpartition("-")[2]) % 3 == 0 and 5 < moment.at < 10
            return Answer(work(rng) * (4.0 if is_slow else 1.0))

        self.assert_completed(answer)

    def test_sound_while_all_fail(self) -> None:
        """A service that all upstreams call fails in part for some seconds."""

        def answer(moment: Moment, rng: random.Random) -> Answer:
            share = 0.3 if 4 < moment.at < 9 else 0.001
            return Answer(work(rng), rng.random() < share)

        for outcome in self.play(answer):
            self.assertEqual(outcome.phase, "completed", outcome)

    def test_one_sick_upstream(self) -> None:
        """One upstream of the new version fails in half of its answers, the others are sound."""

        def answer(moment: Moment, rng: random.Random) -> Answer:
            is_sick = moment.host == "new-3"
            return Answer(work(rng), rng.random() < (0.5 if is_sick else 0.001))

        self.assert_completed(answer)

    def test_too_little_traffic_to_judge(self) -> None:
        """A service that gets ten requests a second is moved all the same."""
        self.assert_completed(sound, requests_per_s=10.0)


class SpeedTest(unittest.TestCase):
    """The speed of a version is judged while some or all of its upstreams are missing."""

    # The leader's process ended with an error, and the next one's, too.
    def test_a_version_without_upstreams_is_not_slow(self) -> None:
        """An order may arrive before the first of them has started."""
        self.assertIsNone(judge_speed([], [counts_of(20), counts_of(20), counts_of(20)]))

    def test_upstreams_without_answers_are_not_slow(self) -> None:
        """Nor are those that haven't been sent a request yet."""
        others = [counts_of(20), counts_of(20), counts_of(20)]
        self.assertIsNone(judge_speed([(), ()], others))


def counts_of(answers: int) -> tuple[AnswerCounts, ...]:
    """Return the counts of an upstream whose answers took 1 ms each at most."""
    return (AnswerCounts("stock", answers, 0, (answers,)),)


class PlanTest(unittest.TestCase):
    """Steps that don't depend on the answers."""

    def setUp(self) -> None:
        """Plan with the usual exposure."""
        self.plan = Plan(exposure=EXPOSURE)

    def test_the_trial_stays_below_the_exposure(self) -> None:
        """What is on its way when it ends counts, too."""
        begun = self.plan.begin(target_version=NEW, duration=16.0, now=5.0)
        self.assertLess(begun.share, EXPOSURE)

    def step(
        self, elapsed: float, *, observed_for: float, share: float = 0.08, upstreams: int = 2
    ) -> Rollout | None:
        """Return the step of a rollout of 16 s at a time after the order."""
        view = RolloutView(1.0 + elapsed, Sound(answers=99), observed_for, upstreams, False, 3)
        return self.plan.next_step(running(share), view)

    # Guards against a version that is moved to by a leader that was elected just before.
    def test_a_new_leader_observes_before_it_moves(self) -> None:
        """It knows nothing of the answers so far."""
        self.assertIsNone(self.step(13.0, observed_for=2.9))
        moved = self.step(13.0, observed_for=3.0)
        assert moved is not None
        self.assertEqual((moved.phase, moved.share), ("running", 1.0))

    def test_a_version_that_could_not_be_judged_in_time_is_rolled_back(self) -> None:
        """Leaders came and went."""
        rolled_back = self.step(15.6, observed_for=1.0)
        assert rolled_back is not None
        self.assertEqual(rolled_back.phase, "rolled-back")
        self.assertIn("judge", rolled_back.reason)

    # It was completed, which tells the operator to stop the upstreams of the other versions.
    def test_nothing_is_moved_to_a_version_without_upstreams(self) -> None:
        """They may be about to start; if none has, the rollout ends as rolled back."""
        self.assertIsNone(self.step(13.0, observed_for=9.0, upstreams=0))
        rolled_back = self.step(15.6, observed_for=9.0, upstreams=0)
        assert rolled_back is not None
        self.assertEqual(rolled_back.phase, "rolled-back")

    def test_a_move_is_completed_at_the_last_moment(self) -> None:
        """A data centre is cut off, and upstreams of the other version still have work."""
        self.assertIsNone(self.step(15.0, observed_for=15.0, share=1.0))
        completed = self.step(15.6, observed_for=15.0, share=1.0)
        assert completed is not None
        self.assertEqual(completed.phase, "completed")


class VersionsTest(unittest.TestCase):
    """Which owners may get a request."""

    def setUp(self) -> None:
        """Know two upstreams of a version."""
        self.versions = UpstreamVersions(rng=random.Random(1))
        self.old = [owner("old-1", OLD), owner("old-2", OLD)]
        self.new = [owner("new-1", NEW)]
        self.allowed(self.old, None, 0.0)

    def allowed(
        self, owners: list[Member], rollout: Rollout | None, now: float, *, is_first: bool = True
    ) -> list[HostName]:
        """Return the owners that many attempts may go to first."""
        hosts: set[HostName] = set()
        for _ in range(200):
            groups = self.versions.candidates(
                SERVICE, owners, rollout, now, wall_time=0.0, is_first=is_first
            )
            hosts |= {member.host for member in groups[0]}
        return sorted(hosts)

    # Guards against requests to a version whose order hasn't reached this proxy yet.
    def test_a_new_version_waits_for_its_order(self) -> None:
        """It counts as a replacement only if no order comes."""
        both = self.old + self.new
        self.assertEqual(self.allowed(both, None, 100.0), ["old-1", "old-2"])
        self.assertEqual(self.allowed(both, None, 104.9), ["old-1", "old-2"])
        self.assertEqual(self.allowed(both, None, 105.1), ["new-1", "old-1", "old-2"])

    def test_a_trial_gets_first_attempts_alone(self) -> None:
        """A call that a version on trial has failed is better served by the others."""
        both = self.old + self.new
        self.assertEqual(self.allowed(both, running(0.1), 1.0), ["new-1", "old-1", "old-2"])
        self.assertEqual(self.allowed(both, running(0.1), 1.0, is_first=False), ["old-1", "old-2"])

    def test_the_share_is_kept(self) -> None:
        """Of 10,000 requests, a tenth goes to the trial."""
        both, rollout = self.old + self.new, running(0.1)
        tried = sum(
            len(self.versions.candidates(SERVICE, both, rollout, 1.0, wall_time=0.0, is_first=True))
            > 1
            for _ in range(10_000)
        )
        self.assertAlmostEqual(tried / 10_000, 0.1, delta=0.015)

    def test_the_move_leaves_the_others(self) -> None:
        """Unless there is no upstream of the new version."""
        both = self.old + self.new
        self.assertEqual(self.allowed(both, running(1.0), 1.0), ["new-1"])
        self.assertEqual(self.allowed(list(self.old), running(1.0), 1.0), ["old-1", "old-2"])

    def test_a_version_that_was_rolled_back_gets_nothing(self) -> None:
        """Not even if there is no other upstream."""
        rolled_back = Rollout(target_version=NEW, duration=16.0, phase="rolled-back")
        self.assertEqual(self.allowed(self.old + self.new, rolled_back, 99.0), ["old-1", "old-2"])
        self.assertEqual(self.allowed(list(self.new), rolled_back, 99.0), [])

    def test_a_completed_rollout_retires_the_other_versions(self) -> None:
        """A third one that comes later is used, as after a replacement without an order."""
        completed = Rollout(target_version=NEW, duration=16.0, phase="completed")
        both = self.old + self.new
        self.assertEqual(self.allowed(both, completed, 20.0), ["new-1"])
        third = [*both, owner("third-1", "v3")]
        self.assertEqual(self.allowed(third, completed, 30.0), ["new-1"])
        self.assertEqual(self.allowed(third, completed, 36.0), ["new-1", "third-1"])


class ObservationsTest(unittest.TestCase):
    """Reports that are lost, repeated or crossed."""

    def report(self, sequence: int, answers: int, *, registration: int = 1) -> WorkerAnswers:
        """Return a report of an owner that has counted some answers."""
        log = AnswerLog()
        for _ in range(answers):
            log.record("route", 0.1, failed=False)
        host = HostName("a")
        return WorkerAnswers(host, 1, registration, sequence, SERVICE, NEW, log.counts, 0)

    def test_an_older_report_changes_nothing(self) -> None:
        """Counts only grow."""
        observations = Observations()
        self.assertTrue(observations.record([self.report(2, 20)], 1.0))
        self.assertFalse(observations.record([self.report(1, 10)], 1.1))
        self.assertEqual(observations.reports[0].counts[0].answers, 20)

    def test_recent_answers(self) -> None:
        """Those that were known three seconds ago are no longer recent."""
        observations = Observations()
        observations.record([self.report(1, 10)], 0.0)
        for tick in range(10):
            observations.keep_record(tick * 0.5)
        newest = self.report(2, 25)
        observations.record([newest], 5.0)
        self.assertEqual(observations.recent(newest)[0].answers, 15)

    def test_another_worker_is_counted_anew(self) -> None:
        """The owner has registered another one, whose counts began at 0."""
        observations = Observations()
        observations.record([self.report(9, 100)], 0.0)
        observations.keep_record(0.0)
        newest = self.report(1, 5, registration=2)
        self.assertTrue(observations.record([newest], 1.0))
        self.assertEqual(observations.recent(newest)[0].answers, 5)


if __name__ == "__main__":
    unittest.main()
