"""Tests of orders for rollouts: accepted once, kept by the replicas, carried out by the leader."""

import asyncio
import time
import unittest

from cowslipvane.catalogue import (
    Catalogue,
    Change,
    Invalid,
    Key,
    Release,
    Rollout,
    Service,
    export_state,
    import_state,
    release_change,
)
from cowslipvane.rollout import AnswerLog, Plan, WorkerAnswers
from cowslipvane.subscription import Reports
from cowslipvane.tasks import InProgress, NoRollout, NoService, NotLeader, Rollouts
from cowslipvane.types import HostName, ServiceName
from cowslipvane.wire import decode, encode
from tools.single_replica import SingleReplica, event_log

SERVICE = ServiceName("stock")
KEY = Key("rollout", SERVICE)
TIMEOUT_S = 5.0


def answers(host: str, version: str, *, failures: int, number: int = 60) -> WorkerAnswers:
    """Return the report of an owner whose worker has failed some of its requests."""
    log = AnswerLog()
    for index in range(number):
        log.record("route", 0.1, failed=index < failures)
    return WorkerAnswers(HostName(host), 1, 1, number, SERVICE, version, log.counts, 0)


class OrderTestCase(unittest.IsolatedAsyncioTestCase):
    """A leader whose configuration has one service."""

    async def asyncSetUp(self) -> None:
        """Accept the service."""
        self.leader = await self.enterAsyncContext(SingleReplica())
        self.leader.put((Key("service", SERVICE), Service()))
        self.events = event_log()
        self.rollouts = self.make_rollouts(self.leader)

    def make_rollouts(self, replica: SingleReplica) -> Rollouts:
        """Return the orders of a replica."""
        return Rollouts(
            replication=replica.replication,
            publisher=replica.publisher,
            observations=replica.observations,
            plan=Plan(exposure=0.1),
            events=self.events,
        )

    async def order(self, version: str = "v2", duration: float = 12.0) -> object:
        """Give an order and return the response."""
        return await self.rollouts.start(SERVICE, target_version=version, duration=duration)

    @property
    def current(self) -> Rollout:
        """Return the rollout that the catalogue has."""
        spec = self.leader.replica.catalogue.resources[KEY].spec
        assert isinstance(spec, Rollout)
        return spec

    async def until_phase(self, phase: str) -> None:
        """Carry out the steps that are due until the rollout is in a phase."""
        task = asyncio.create_task(self.rollouts.run())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while self.current.phase != phase:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
        finally:
            task.cancel()


class OrderTest(OrderTestCase):
    """Which orders are accepted."""

    async def test_an_order_is_accepted(self) -> None:
        """It begins with a trial."""
        started = await self.order()
        self.assertEqual(started, self.current)
        self.assertEqual((self.current.phase, self.current.target_version), ("running", "v2"))

    # Guards against orders that are refused because their acknowledgement was lost.
    async def test_the_same_order_again_is_acknowledged_again(self) -> None:
        """It changes nothing."""
        first = await self.order()
        version = self.leader.replica.catalogue.version
        self.assertEqual(await self.order(), first)
        self.assertEqual(self.leader.replica.catalogue.version, version)

    async def test_orders_at_the_same_time_begin_one_rollout(self) -> None:
        """Both are acknowledged."""
        first, second = await asyncio.gather(self.order(), self.order())
        self.assertEqual(first, second)

    async def test_another_order_while_one_is_in_progress(self) -> None:
        """It is refused and changes nothing."""
        first = await self.order()
        self.assertIsInstance(await self.order("v3"), InProgress)
        self.assertIsInstance(await self.order(duration=30.0), InProgress)
        self.assertEqual(self.current, first)

    async def test_orders_that_can_not_be_carried_out(self) -> None:
        """The service isn't known, or a field is out of range."""
        unknown = ServiceName("none")
        response = await self.rollouts.start(unknown, target_version="v2", duration=12.0)
        self.assertIsInstance(response, NoService)
        for version, duration in (("", 12.0), ("v2", 0.0), ("v2", -1.0), ("v" * 300, 12.0)):
            with self.subTest(version=version[:3], duration=duration):
                self.assertIsInstance(await self.order(version, duration), Invalid)
        self.assertIsInstance(self.rollouts.get(SERVICE), NoRollout)

    async def test_a_follower_takes_no_order(self) -> None:
        """It names the leader, if it knows one."""
        follower = await self.enterAsyncContext(SingleReplica(leads=False))
        rollouts = self.make_rollouts(follower)
        self.assertIsInstance(rollouts.get(SERVICE), NotLeader)
        response = await rollouts.start(SERVICE, target_version="v2", duration=12.0)
        self.assertIsInstance(response, NotLeader)


class StepTest(OrderTestCase):
    """Steps that the leader takes."""

    async def test_a_bad_version_is_rolled_back(self) -> None:
        """At once, and the operator reads why."""
        await self.order()
        reports = [answers(f"old-{n}", "v1", failures=0) for n in range(4)]
        reports += [answers(f"new-{n}", "v2", failures=30) for n in range(4)]
        self.leader.observations.record(reports, time.monotonic())
        await self.until_phase("rolled-back")
        self.assertIn("failed", self.current.reason)
        phases = [event["detail"]["phase"] for event in self.events.select()]
        self.assertEqual(phases, ["running", "rolled-back"])

    async def test_a_sound_version_is_completed_in_time(self) -> None:
        """The deadline is two seconds after the order."""
        await self.order(duration=2.0)
        reports = [answers(f"old-{n}", "v1", failures=1) for n in range(4)]
        reports += [answers(f"new-{n}", "v2", failures=1) for n in range(4)]
        self.leader.observations.record(reports, time.monotonic())
        await self.until_phase("completed")

    async def test_another_leader_goes_on(self) -> None:
        """It has what the replicas keep, and what owners report again."""
        await self.order()
        self.rollouts = self.make_rollouts(self.leader)
        reports = [answers(f"new-{n}", "v2", failures=30) for n in range(4)]
        self.leader.observations.record(reports, time.monotonic())
        await self.until_phase("rolled-back")


class KeptTest(unittest.TestCase):
    """Rollouts beside other changes of the configuration."""

    def setUp(self) -> None:
        """Accept a service with a rollout."""
        self.catalogue = Catalogue()
        self.rollout = Rollout(target_version="v2", duration=12.0, ordered_at=1.0, share=0.08)
        puts = ((Key("service", SERVICE), Service()), (KEY, self.rollout))
        self.catalogue.apply(Change("op", self.catalogue.version, puts), accepted_at=1.0)  # type: ignore[arg-type]

    def release(self, *services: str) -> Catalogue:
        """Apply a release with some services."""
        release = Release(number=1, based_on=0, document="{}")
        resources = {Key("service", name): Service() for name in services}
        change = release_change(self.catalogue, release, resources)  # type: ignore[arg-type]
        assert isinstance(change, Change)
        self.catalogue.apply(change, accepted_at=2.0)
        return self.catalogue

    def test_a_release_leaves_rollouts(self) -> None:
        """It doesn't name them."""
        self.assertEqual(self.release(SERVICE, "other").resources[KEY].spec, self.rollout)

    def test_a_release_without_the_service_removes_its_rollout(self) -> None:
        """Nothing of it is left behind."""
        self.assertNotIn(KEY, self.release("other").resources)

    def test_a_snapshot_keeps_rollouts(self) -> None:
        """What restarts and lost disks leave is a snapshot and the log behind it."""
        copy = Catalogue()
        import_state(copy, export_state(self.catalogue))
        self.assertEqual(copy.resources[KEY].spec, self.rollout)

    def test_reports_of_answers_are_passed_on(self) -> None:
        """Replicas send them to the leader with the reports of versions."""
        message = Reports(reports=(), answers=(answers("a", "v2", failures=3),))
        self.assertEqual(decode(encode(message)), message)


if __name__ == "__main__":
    unittest.main()
