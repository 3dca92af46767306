"""One process's callers' side alone, for tests of what becomes of a call before an owner has it."""

import os
import random
import time
import unittest
from contextlib import AsyncExitStack
from typing import cast

import aiohttp

from cowslipvane.call import DEFAULT_HEADER_NAMES, Call
from cowslipvane.catalogue import Key, Resource, Route, Service, Snapshot, Target, combine_digests
from cowslipvane.catalogue import resource_digest as digest_of
from cowslipvane.metrics import Metrics
from cowslipvane.refusal import NoUpstream
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._callers import Callers
from cowslipvane.tasks._dispatcher import Dispatcher
from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import Address, HostName, ServiceName, Version
from tools.single_replica import event_log

# Test modules run beside each other, each in a process of its own.
LISTENER = Address(f"127.73.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}", 27_351)
URL = f"http://{LISTENER}/stock"
GOAL_S = 0.3
OWNER = HostName("owner")
LOAD = Load(slots=4, running=3, queued=9)
NAMES = DEFAULT_HEADER_NAMES._replace(accepts_request_ids=True)


class RefusingDispatcher:
    """Finds one busy owner for any call, and remembers them."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    async def dispatch(self, call: Call) -> NoUpstream:
        """Refuse a call."""
        self.calls.append(call)
        call.begin_attempt(OWNER)
        call.record_load(LOAD)
        return NoUpstream(service=call.rules.service)


class StubOwner:
    """Stands for an owner whose worker runs what a test says."""

    def __init__(self) -> None:
        self.running: set[str] = set()

    def is_running(self, request_id: str) -> bool:
        """Return whether a request runs."""
        return request_id in self.running


class CallersTestCase(unittest.IsolatedAsyncioTestCase):
    """A listener for callers, behind which there is nothing; a base for tests."""

    async def asyncSetUp(self) -> None:
        """Listen, with no configuration in force."""
        self.subscription = Subscription()
        self.applied = Signal()
        self.dispatcher = RefusingDispatcher()
        self.events = event_log()
        self.owner = StubOwner()
        self.callers = Callers(
            subscription=self.subscription,
            dispatcher=cast(Dispatcher, self.dispatcher),
            events=self.events,
            rng=random.Random(1),
            metrics=Metrics(),
            configuration_applied=self.applied,
            owner=cast(Owner, self.owner),
            header_names=NAMES,
        )
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        listener = HttpListener(handler=self.callers.handle, address=LISTENER)
        await self.stack.enter_async_context(listener)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())

    async def code(self, **headers: str) -> str:
        """Send a call and return the code of its refusal."""
        async with self.session.get(URL, headers=headers) as answer:
            return str((await answer.json())["code"])

    def apply(self) -> None:
        """Put a first version in force, with a route that has a goal."""
        route = Route(targets=(Target(ServiceName("stock")),), goal=GOAL_S)
        resources = (
            Resource(Key("service", "stock"), Service(), Version(1)),
            Resource(Key("route", "r"), route, Version(1)),
        )
        digest = combine_digests(digest_of(resource) for resource in resources)
        self.subscription.raise_floor(Version(1))
        self.subscription.apply_snapshot(Snapshot(Version(1), resources, digest))
        self.assertIsNotNone(self.subscription.table)
        self.applied.send()

    def goal_left(self) -> float:
        """Return how much is left of the goal of the last call."""
        left = self.dispatcher.calls[-1].goal_remaining(time.monotonic())
        assert left is not None
        return left
