"""Measure distribution: one replica in this process, and many proxies' subscribers."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import time
from collections import defaultdict
from contextlib import AsyncExitStack
from unittest.mock import patch

from cowslipvane.catalogue import Key, Route, Service, Spec, Target, TrafficPolicy
from cowslipvane.events import EventKind, EventLog, HybridClock, Origin
from cowslipvane.settings import Settings, Timing
from cowslipvane.settings._settings import Listen
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._subscriber import Subscriber
from cowslipvane.types import Address, DataCentre, HostName, ServiceName, Version
from cowslipvane.wire import Link
from tools.single_replica import SingleReplica

CHANGES = 20
IDLE_S = 12.0
NOWHERE = Address("127.0.0.1", 1)
# Bytes of a websocket frame's header for messages under 64 KiB, from a client and from a server.
CLIENT_HEADER_BYTES = 8
SERVER_HEADER_BYTES = 4


class CountingLink(Link):
    """A link whose process counts the payload and the frame headers that it sends."""

    sent_bytes = 0

    async def send_encoded(self, kind: str, encoded: bytes) -> None:
        """Count a message and send it."""
        CountingLink.sent_bytes += len(encoded) + (CLIENT_HEADER_BYTES + SERVER_HEADER_BYTES) // 2
        await super().send_encoded(kind, encoded)


class Arrivals(EventLog):
    """Notes when proxies apply a version."""

    def __init__(self, *, proxies: int) -> None:
        origin = Origin(HostName("bench"), DataCentre("here"), 1)
        super().__init__(origin=origin, clock=HybridClock())
        self._proxies = proxies
        self._times: dict[int, list[float]] = defaultdict(list)
        self._all: dict[int, asyncio.Event] = defaultdict(asyncio.Event)

    def record(
        self, kind: EventKind, *, request: str = "", version: int = 0, **detail: str
    ) -> None:
        """Note when a version was applied."""
        if kind == "applied":
            self._times[version].append(time.monotonic())
            if len(self._times[version]) == self._proxies:
                self._all[version].set()

    async def everywhere(self, version: Version) -> list[float]:
        """Return when each proxy applied a version, once all have."""
        await self._all[version].wait()
        return self._times[version]


def start_proxy(number: int, seed: Address, arrivals: Arrivals) -> asyncio.Task[None]:
    """Start the subscriber of one proxy."""
    settings = Settings(
        host=HostName(f"proxy-{number}"),
        data_centre=DataCentre("here"),
        roles=("proxy",),
        listen=Listen(operators=NOWHERE, peers=NOWHERE, callers=NOWHERE),
        seeds=(seed,),
        timing=Timing(),
    )
    rng = random.Random(number)
    subscriber = Subscriber(
        subscription=Subscription(), settings=settings, events=arrivals, rng=rng
    )
    return asyncio.create_task(subscriber.run())


def resources(number: int) -> list[tuple[Key, Spec]]:
    """Return services and routes, two resources for each."""
    puts: list[tuple[Key, Spec]] = []
    for index in range(number // 2):
        name = f"service-{index}"
        target = Target(ServiceName(name))
        puts.append((Key("service", name), Service()))
        puts.append((Key("route", name), Route(targets=(target,), path_prefix=f"/{name}")))
    return puts


async def measure(proxy_number: int, resource_number: int, idle: float) -> dict[str, float | int]:
    """Return the figures for some proxies and a catalogue of some size."""
    arrivals = Arrivals(proxies=proxy_number)
    async with AsyncExitStack() as stack:
        stack.enter_context(patch("cowslipvane.wire._link.Link", CountingLink))
        stack.enter_context(patch("tools.single_replica.Link", CountingLink))
        replica = await stack.enter_async_context(SingleReplica())
        version = replica.put(*resources(resource_number))
        begun = time.monotonic()
        proxies = [start_proxy(number, replica.address, arrivals) for number in range(proxy_number)]
        stack.callback(lambda: [proxy.cancel() for proxy in proxies])
        storm = max(await arrivals.everywhere(version)) - begun
        storm_bytes = CountingLink.sent_bytes
        delays, change_bytes = [], []
        for number in range(CHANGES):
            await asyncio.sleep(0.2)
            before = CountingLink.sent_bytes
            policy = TrafficPolicy(timeout=1.0 + number)
            put_at = time.monotonic()
            version = replica.put((Key("traffic-policy", "bench"), policy))
            delays += [done - put_at for done in await arrivals.everywhere(version)]
            await asyncio.sleep(0.2)
            change_bytes.append((CountingLink.sent_bytes - before) / proxy_number)
        before = CountingLink.sent_bytes
        await asyncio.sleep(idle)
        idle_bytes = (CountingLink.sent_bytes - before) / proxy_number / idle if idle else -1.0
    quantiles = statistics.quantiles(delays, n=100)
    return {
        "proxies": proxy_number,
        "resources": resource_number,
        "storm_s": round(storm, 3),
        "storm_bytes_each": round(storm_bytes / proxy_number),
        "in_force_p50_ms": round(quantiles[49] * 1000, 1),
        "in_force_p99_ms": round(quantiles[98] * 1000, 1),
        "change_bytes_each": round(statistics.median(change_bytes)),
        "idle_bytes_per_s_each": round(idle_bytes, 1),
    }


def main() -> None:
    """Print one line of figures for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, default=500)
    parser.add_argument("--resources", type=int, nargs="+", default=[100])
    parser.add_argument("--idle", type=float, default=IDLE_S, help="seconds to measure idle bytes")
    options = parser.parse_args()
    for number in options.resources:
        print(json.dumps(asyncio.run(measure(options.proxies, number, options.idle))), flush=True)


if __name__ == "__main__":
    main()
