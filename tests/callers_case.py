"""A base case for tests of calls before an owner receives them, with stubs behind Callers."""

import os
import random
import time
import unittest
from contextlib import AsyncExitStack
from typing import cast

import aiohttp

from cowslipvane.call import DEFAULT_HEADER_NAMES, BodyAccount, Call
from cowslipvane.catalogue import (
    Key,
    Resource,
    Route,
    Service,
    Snapshot,
    Target,
    TrafficPolicy,
    combine_digests,
)
from cowslipvane.catalogue import resource_digest as digest_of
from cowslipvane.metrics import Metrics
from cowslipvane.refusal import NoUpstream
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.callers._callers import Callers
from cowslipvane.tasks.callers._dispatcher import Dispatcher
from cowslipvane.tasks.http._listener import HttpListener
from cowslipvane.tasks.upstreams import RunningRequest
from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.types import Address, HostName, ServiceName, TeamName, Version
from tools.single_replica import event_log

# Test modules run concurrently, each in a process of its own, so each needs its own address.
LISTENER = Address(f"127.73.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}", 27_351)
URL = f"http://{LISTENER}/stock"
GOAL_S = 0.3
MAX_BODY_BYTES = 1000
OWNER = HostName("owner")
LOAD = Load(slots=4, running=3, queued=9)
HEADER_NAMES = DEFAULT_HEADER_NAMES._replace(accepts_request_ids=True)


class RefusingDispatcher:
    """Refuses every call after an attempt at one busy owner, and records the calls."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    async def dispatch(self, call: Call) -> NoUpstream:
        """Record a call and refuse it."""
        self.calls.append(call)
        call.begin_attempt(OWNER)
        call.record_load(LOAD)
        return NoUpstream(service=call.rules.service)


class StubOwner:
    """Stands in for an owner whose worker runs the requests that a test sets, by their teams."""

    def __init__(self) -> None:
        self.running: dict[str, TeamName | None] = {}

    def running_request(self, request_id: str) -> RunningRequest | None:
        """Return a request that is running, None if it isn't."""
        if request_id not in self.running:
            return None
        return RunningRequest(request_id, self.running[request_id])


class CallersTestCase(unittest.IsolatedAsyncioTestCase):
    """A listener for callers whose dispatcher and owner are stubs; a base for tests."""

    max_body_bytes = MAX_BODY_BYTES
    bodies: BodyAccount | None = None

    async def asyncSetUp(self) -> None:
        """Start the listener without a configuration in force."""
        self.subscription = Subscription()
        self.configuration_applied = Signal()
        self.dispatcher = RefusingDispatcher()
        self.events = event_log()
        self.owner = StubOwner()
        self.callers = self.make_callers(cast(Dispatcher, self.dispatcher))
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        listener = HttpListener(handler=self.callers.handle, address=LISTENER)
        await self.stack.enter_async_context(listener)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())

    def make_callers(self, dispatcher: Dispatcher) -> Callers:
        """Return the interface of a proxy whose calls go to a dispatcher."""
        return Callers(
            subscription=self.subscription,
            dispatcher=dispatcher,
            events=self.events,
            rng=random.Random(1),
            metrics=Metrics(),
            configuration_applied=self.configuration_applied,
            owner=cast(Owner, self.owner),
            header_names=HEADER_NAMES,
            bodies=self.bodies,
        )

    async def code(self, **headers: str) -> str:
        """Send a call and return the code of its refusal."""
        async with self.session.get(URL, headers=headers) as response:
            return str((await response.json())["code"])

    def apply(self) -> None:
        """Put a first version in force, with a route that has a latency goal."""
        route = Route(targets=(Target(ServiceName("stock")),), goal=GOAL_S)
        traffic = TrafficPolicy(max_body_bytes=self.max_body_bytes)
        resources = (
            Resource(Key("traffic-policy", "t"), traffic, Version(1)),
            Resource(Key("service", "stock"), Service(traffic_policy="t"), Version(1)),
            Resource(Key("route", "r"), route, Version(1)),
        )
        digest = combine_digests(digest_of(resource) for resource in resources)
        self.subscription.raise_floor(Version(1))
        self.subscription.apply_snapshot(Snapshot(Version(1), resources, digest))
        self.assertIsNotNone(self.subscription.table)
        self.configuration_applied.send()

    def goal_remaining(self) -> float:
        """Return the remaining time of the latency goal of the last call."""
        remaining = self.dispatcher.calls[-1].goal_remaining(time.monotonic())
        assert remaining is not None
        return remaining
