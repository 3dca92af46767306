"""Tests of what an owner counts of its worker, and when it sends it nothing more by itself."""

import asyncio
import dataclasses
import unittest

from cowslipvane.call import Answer, Refused
from cowslipvane.catalogue import (
    Key,
    Resource,
    Rollout,
    Service,
    Snapshot,
    Spec,
    combine_digests,
    resource_digest,
)
from cowslipvane.membership import Announcement, Worker
from cowslipvane.refusal import explain
from cowslipvane.subscription import Applied, Subscription
from cowslipvane.types import NO_VERSION, Verdict, Version
from tests.test_owner import (
    NOWHERE,
    SERVICE,
    OwnerTestCase,
    make_owner,
    member,
    offer,
    stop,
)


def apply(subscription: Subscription, number: int, rollout: Rollout | None) -> None:
    """Put a version in force that has the service, and a rollout of it if there is one."""
    specs: list[tuple[Key, Spec]] = [(Key("service", SERVICE), Service())]
    if rollout is not None:
        specs.append((Key("rollout", SERVICE), rollout))
    resources = tuple(Resource(key, spec, Version(number)) for key, spec in specs)
    digest = combine_digests(resource_digest(resource) for resource in resources)
    subscription.raise_floor(NO_VERSION)
    applied = subscription.apply_snapshot(Snapshot(Version(number), resources, digest))
    assert isinstance(applied, Applied), applied


TRIAL = Rollout(target_version="v2", duration=12.0, ordered_at=1.0, share=0.08)


class WorkerAnswersTest(OwnerTestCase):
    """An owner whose worker is of the version that is tried."""

    async def asyncSetUp(self) -> None:
        """Start the owner, with a trial in force."""
        await super().asyncSetUp()
        self.subscription = Subscription()
        self.owner = make_owner(member("a", NOWHERE, None), self.subscription)
        apply(self.subscription, 1, TRIAL)
        await self.announce()
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner.run()))

    async def announce(self, cold_for: float = 0.0) -> None:
        """Announce the worker."""
        worker = Worker(SERVICE, self.address, 2, 10, "i-1", "v2")
        announcement = Announcement(worker, "ready", 1, 1, cold_for=cold_for)
        await self.owner.handle_announcement(announcement)

    async def ask(self, serial: int, path: str = "/ok") -> Answer | Refused:
        """Offer a request, and return the answer or the refusal."""
        await self.owner.offer(offer(serial, path), self.inbox.reply)
        message = await self.inbox.next()
        assert isinstance(message, Answer | Refused)
        return message

    def counted(self) -> tuple[int, int]:
        """Return the answers and the failures that are reported."""
        report = self.owner.answers
        assert report is not None
        return sum(c.answers for c in report.counts), sum(c.failures for c in report.counts)

    async def test_answers_are_counted_while_a_rollout_runs(self) -> None:
        """A failure is one by its status."""
        self.assertIsInstance(await self.ask(1), Answer)
        self.assertIsInstance(await self.ask(2, "/error"), Answer)
        await asyncio.sleep(0.05)
        self.assertEqual(self.counted(), (2, 1))
        apply(self.subscription, 2, dataclasses.replace(TRIAL, phase="completed"))
        self.assertIsNone(self.owner.answers)

    # Guards against sound versions that are rolled back, since upstreams are slow when they start.
    async def test_answers_of_a_cold_worker_are_not_counted(self) -> None:
        """Its announcement says for how long it is slow."""
        await self.announce(cold_for=30.0)
        await self.ask(1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.counted(), (0, 0))

    # Guards against a bad version that goes on getting requests while no leader can roll it back.
    async def test_a_worker_that_fails_clearly_is_paused(self) -> None:
        """The requests after that are refused as not run, until the rollout has a further step."""
        for serial in range(1, 12):
            message = await self.ask(serial, "/error")
            if isinstance(message, Refused):
                break
            await asyncio.sleep(0.01)
        assert isinstance(message, Refused)
        self.assertEqual(explain(message.refusal).verdict, Verdict.NOT_RUN)
        report = self.owner.answers
        assert report is not None
        self.assertTrue(report.is_paused)
        apply(self.subscription, 2, dataclasses.replace(TRIAL, share=1.0))
        self.assertIsInstance(await self.ask(20), Answer)

    # Guards against entry proxies that learn late of a rollback.
    async def test_a_version_that_was_rolled_back_gets_nothing(self) -> None:
        """Its owner refuses what still comes."""
        apply(self.subscription, 2, dataclasses.replace(TRIAL, phase="rolled-back"))
        message = await self.ask(1)
        assert isinstance(message, Refused)
        self.assertEqual(explain(message.refusal).verdict, Verdict.NOT_RUN)

    async def test_workers_of_other_versions_are_not_paused(self) -> None:
        """There is nothing else that could take their requests."""
        apply(self.subscription, 2, dataclasses.replace(TRIAL, target_version="v3"))
        for serial in range(1, 15):
            self.assertIsInstance(await self.ask(serial, "/error"), Answer)


if __name__ == "__main__":
    unittest.main()
