"""Tests of requests that an entry proxy routes by a version that has been replaced."""

import asyncio
import unittest
from collections.abc import Callable

from cowslipvane.call import Answer, Call, Offer, Refused
from cowslipvane.catalogue import (
    Key,
    Resource,
    Route,
    Service,
    Snapshot,
    Target,
    combine_digests,
    resource_digest,
)
from cowslipvane.refusal import NoUpstream, Refusal, RouteOutdated
from cowslipvane.subscription import Subscription
from cowslipvane.types import ServiceName, Version
from tests.callers_case import CallersTestCase
from tests.test_owner import SERVICE, OwnerTestCase, offer

OTHER = ServiceName("other")


def apply(subscription: Subscription, version: int, *targets: Target) -> None:
    """Put a version in force that leads all requests to some services, or has no route."""
    number = Version(version)
    services = [Key("service", name) for name in (SERVICE, OTHER)]
    resources = [Resource(key, Service(), number) for key in services]
    if targets:
        resources.append(Resource(Key("route", "r"), Route(targets=targets), number))
    digest = combine_digests(map(resource_digest, resources))
    subscription.raise_floor(number)
    subscription.apply_snapshot(Snapshot(number, tuple(resources), digest))


def routed_by(version: int, serial: int, path: str = "/ok") -> Offer:
    """Return an offer of a request that was routed by a version."""
    return offer(serial, path, version=Version(version))


class OwnerOfNewerVersionTest(OwnerTestCase):
    """An owner with a newer version than the entry proxies of its requests."""

    # Guards against requests that run at the old service, since only their entry proxy checks the
    # route and has the new version late (issue 23, CONFIG).
    async def test_request_by_a_replaced_route_is_not_run(self) -> None:
        """The route was moved, deleted, or has no weight for the service any more."""
        replaced: tuple[tuple[Target, ...], ...] = (
            (Target(OTHER),),
            (),
            (Target(SERVICE, 0), Target(OTHER, 1)),
        )
        for version, targets in enumerate(replaced, start=2):
            apply(self.subscription, version, *targets)
            await self.owner.offer(routed_by(version - 1, version), self.inbox.reply)
            refused = await self.inbox.next()
            assert isinstance(refused, Refused)
            self.assertEqual(refused.refusal, RouteOutdated(version=Version(version)))
        self.assertEqual(self.worker.received, [])

    async def test_request_by_a_route_that_still_leads_here_is_run(self) -> None:
        """So is one by the owner's version or a newer one, which the owner doesn't know."""
        apply(self.subscription, 3, Target(SERVICE), Target(OTHER))
        await self.owner.offer(routed_by(2, 1), self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Answer)
        apply(self.subscription, 4, Target(OTHER))
        for version in (4, 5):
            await self.owner.offer(routed_by(version, version), self.inbox.reply)
            self.assertIsInstance(await self.inbox.next(), Answer)

    async def test_queued_request_is_not_started_once_its_route_is_replaced(self) -> None:
        """The owner gets the newer version while the request waits for a slot."""
        apply(self.subscription, 1, Target(SERVICE))
        await self.begin(routed_by(1, 1, "/wait"))
        await self.owner.offer(routed_by(1, 2), self.inbox.reply)
        apply(self.subscription, 2, Target(OTHER))
        self.worker.release.set()
        replies = [await self.inbox.next(), await self.inbox.next()]
        self.assertEqual(sorted(type(reply).__name__ for reply in replies), ["Answer", "Refused"])
        self.assertEqual(self.worker.received, ["/wait"])


class OutdatingDispatcher:
    """Refuses a first call as routed by a replaced version, and later ones otherwise."""

    def __init__(self, *, refused: Callable[[], None]) -> None:
        self.calls: list[Call] = []
        self._refused = refused

    async def dispatch(self, call: Call) -> Refusal:
        """Record and refuse a call."""
        self.calls.append(call)
        if len(self.calls) == 1:
            self._refused()
            return RouteOutdated(version=Version(2))
        return NoUpstream(service=call.rules.service)


class OutdatedEntryTest(CallersTestCase):
    """An entry proxy that learns from an owner that there is a newer version."""

    def dispatch(self, *, refused: Callable[[], None]) -> OutdatingDispatcher:
        """Replace the dispatcher by one that calls a function with its first refusal."""
        dispatcher = OutdatingDispatcher(refused=refused)
        self.callers._dispatcher = dispatcher  # type: ignore[assignment]
        apply(self.subscription, 1, Target(SERVICE))
        return dispatcher

    def apply_newer(self) -> None:
        """Put a version in force that leads to the other service."""
        apply(self.subscription, 2, Target(OTHER))
        self.configuration_applied.send()

    def apply_newer_soon(self) -> None:
        """Put that version in force a little later."""
        asyncio.get_running_loop().call_later(0.1, self.apply_newer)

    async def test_request_is_routed_again_by_the_newer_version(self) -> None:
        """It waits until that version is in force here."""
        dispatcher = self.dispatch(refused=self.apply_newer_soon)
        self.assertEqual(await self.code(), "no-upstream")
        routed = [(call.rules.service, call.version) for call in dispatcher.calls]
        self.assertEqual(routed, [(SERVICE, 1), (OTHER, 2)])

    # Guards against a 404 for a route that has been added, from a proxy that has the version late
    # (issue 23, CONFIG).
    async def test_request_without_a_route_waits_for_a_version_that_is_known(self) -> None:
        """The proxy has heard of the version, whose update is on its way."""
        self.dispatch(refused=lambda: None)
        apply(self.subscription, 3)
        self.subscription.record_accepted(Version(4))
        asyncio.get_running_loop().call_later(0.1, self.apply_fourth)
        self.assertEqual(await self.code(), "no-upstream")
        self.assertEqual(self.subscription.version, 4)

    def apply_fourth(self) -> None:
        """Put a version in force that adds a route."""
        apply(self.subscription, 4, Target(OTHER))
        self.configuration_applied.send()

    async def test_request_without_a_route_is_not_refused_for_that_if_the_version_is_late(
        self,
    ) -> None:
        """The caller is told that the proxy lacks a version, and to come again."""
        self.dispatch(refused=lambda: None)
        apply(self.subscription, 3)
        self.subscription.record_accepted(Version(4))
        header = {"X-Request-Timeout-Ms": "400"}
        async with asyncio.timeout(0.4):
            self.assertEqual(await self.code(**header), "route-outdated")
        self.subscription.record_accepted(Version(3))
        apply(self.subscription, 4)
        self.assertEqual(await self.code(), "no-route")

    async def test_request_is_refused_if_the_newer_version_does_not_come(self) -> None:
        """The caller is told that the request was not run, and early enough for a retry."""
        dispatcher = self.dispatch(refused=lambda: None)
        header = {"X-Request-Timeout-Ms": "400"}
        async with asyncio.timeout(0.4):
            self.assertEqual(await self.code(**header), "route-outdated")
        self.assertEqual(len(dispatcher.calls), 1)


if __name__ == "__main__":
    unittest.main()
