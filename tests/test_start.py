"""The load pattern of a restart: calls that come before the proxy has its first configuration."""

import asyncio
import random
import time
import unittest
from contextlib import AsyncExitStack
from typing import Any, cast
from unittest.mock import patch

import aiohttp

from cowslipvane.call import Call
from cowslipvane.catalogue import Key, Resource, Route, Service, Snapshot, Target, combine
from cowslipvane.catalogue import resource_digest as digest_of
from cowslipvane.metrics import Metrics
from cowslipvane.refusal import NoUpstream
from cowslipvane.subscription import Subscription
from cowslipvane.tasks import _callers
from cowslipvane.tasks._callers import Callers
from cowslipvane.tasks._carrier import Carrier
from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import Address, ServiceName, Version
from tools.lone_replica import event_log

LISTENER = Address("127.73.51.9", 27_351)
URL = f"http://{LISTENER}/stock"
LONG_S = 60.0
PATIENCE_S = 20.0


class NoCarrier:
    """Finds no upstream for any call."""

    async def carry(self, call: Call) -> NoUpstream:
        """Refuse a call."""
        return NoUpstream(service=call.rules.service)


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A proxy that waits for its first configuration."""

    async def asyncSetUp(self) -> None:
        """Listen for callers, with nothing in force."""
        self.subscription = Subscription()
        self.applied = Signal()
        self.callers = Callers(
            subscription=self.subscription,
            carrier=cast(Carrier, NoCarrier()),
            events=event_log(),
            rng=random.Random(1),
            metrics=Metrics(),
            applied=self.applied,
        )
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        listener = HttpListener(handler=self.callers.handle, address=LISTENER)
        await self.stack.enter_async_context(listener)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())

    async def code(self, **headers: str) -> Any:
        """Send a call and return the code of its refusal."""
        async with self.session.get(URL, headers=headers) as answer:
            return (await answer.json())["code"]

    async def until_under_way(self) -> None:
        """Return once a call has come."""
        give_up = time.monotonic() + PATIENCE_S
        while not self.callers.under_way:
            self.assertLess(time.monotonic(), give_up, "no call came")
            await asyncio.sleep(0.01)

    def apply(self) -> None:
        """Put a first version in force."""
        resources = (
            Resource(Key("service", "stock"), Service(), Version(1)),
            Resource(Key("route", "r"), Route(targets=(Target(ServiceName("stock")),)), Version(1)),
        )
        digest = combine(digest_of(resource) for resource in resources)
        self.subscription.learn_floor(Version(1))
        self.subscription.take_snapshot(Snapshot(Version(1), resources, digest))
        self.assertIsNotNone(self.subscription.table)
        self.applied.send()

    async def test_a_call_waits_for_the_first_configuration(self) -> None:
        """It is routed once that is in force, and isn't refused meanwhile."""
        with patch.object(_callers, "START_TIME", LONG_S):
            asking = asyncio.create_task(self.code())
            await self.until_under_way()
            self.apply()
            self.assertEqual(await asking, "no-upstream")

    async def test_a_caller_with_little_patience_gets_part_of_it_back(self) -> None:
        """It can still come back, or go elsewhere."""
        with patch.object(_callers, "START_TIME", LONG_S):
            self.assertEqual(await self.code(**{"X-Request-Timeout-Ms": "60"}), "no-configuration")

    async def test_long_after_the_start_a_call_is_refused_at_once(self) -> None:
        """A proxy that is cut off doesn't hold its callers."""
        with patch.object(_callers, "START_TIME", 0.0):
            self.assertEqual(await self.code(), "no-configuration")


if __name__ == "__main__":
    unittest.main()
