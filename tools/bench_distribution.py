"""Measure the distribution of updates from one replica to many subscribers in this process."""

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
from cowslipvane.membership import Announcements
from cowslipvane.settings import Settings, Timing
from cowslipvane.settings._settings import Listen
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.distribution import AnswerReporter
from cowslipvane.tasks.distribution._fact_keeper import FactKeeper
from cowslipvane.tasks.distribution._subscriber import Subscriber
from cowslipvane.types import Address, DataCentre, HostName, ServiceName, Version
from cowslipvane.wire import Link
from tools.single_replica import SingleReplica, lone_membership

CHANGES = 20
IDLE_S = 12.0
UNUSED_ADDRESS = Address("127.0.0.1", 1)
# Size of a WebSocket frame header of messages under 64 KiB; only clients send a masking key.
CLIENT_HEADER_BYTES = 8
SERVER_HEADER_BYTES = 4


class CountingLink(Link):
    """Link that counts the payload and frame header bytes that this process sends."""

    sent_bytes = 0

    async def send_encoded(self, kind: str, encoded: bytes) -> None:
        """Count the bytes of a message and send it."""
        # Both ends of each connection use this class, so it counts the mean header size.
        CountingLink.sent_bytes += len(encoded) + (CLIENT_HEADER_BYTES + SERVER_HEADER_BYTES) // 2
        await super().send_encoded(kind, encoded)


class ApplyTimes(EventLog):
    """Records when proxies apply a version."""

    def __init__(self, *, proxy_count: int) -> None:
        origin = Origin(HostName("bench"), DataCentre("here"), 1)
        super().__init__(origin=origin, clock=HybridClock())
        self._proxy_count = proxy_count
        self._times: dict[int, list[float]] = defaultdict(list)
        self._all_applied: dict[int, asyncio.Event] = defaultdict(asyncio.Event)

    def record(
        self, kind: EventKind, *, request: str = "", version: int = 0, **detail: str
    ) -> None:
        """Record the time at which a proxy applied a version; ignore other events."""
        if kind == "applied":
            self._times[version].append(time.monotonic())
            if len(self._times[version]) == self._proxy_count:
                self._all_applied[version].set()

    async def wait_for_all(self, version: Version) -> list[float]:
        """Wait until all proxies have applied a version, and return when each did."""
        await self._all_applied[version].wait()
        return self._times[version]


def start_proxy(index: int, seed: Address, apply_times: ApplyTimes) -> asyncio.Task[None]:
    """Start the subscriber of one proxy."""
    settings = Settings(
        host=HostName(f"proxy-{index}"),
        data_centre=DataCentre("here"),
        roles=("proxy",),
        listen=Listen(operators=UNUSED_ADDRESS, peers=UNUSED_ADDRESS, callers=UNUSED_ADDRESS),
        seeds=(seed,),
        timing=Timing(),
    )
    rng = random.Random(index)
    subscriber = Subscriber(
        subscription=Subscription(),
        settings=settings,
        membership=lone_membership(settings),
        events=apply_times,
        rng=rng,
        fact_keeper=FactKeeper(host=settings.host, announcements=Announcements()),
        answer_reporter=AnswerReporter(get_answers=lambda: None),
    )
    return asyncio.create_task(subscriber.run())


def generate_puts(count: int) -> list[tuple[Key, Spec]]:
    """Return `count` resources, half of them services and half routes to them."""
    puts: list[tuple[Key, Spec]] = []
    for index in range(count // 2):
        name = f"service-{index}"
        target = Target(ServiceName(name))
        puts.append((Key("service", name), Service()))
        puts.append((Key("route", name), Route(targets=(target,), path_prefix=f"/{name}")))
    return puts


async def measure_distribution(
    proxy_count: int, resource_count: int, idle_s: float
) -> dict[str, float | int]:
    """Return the figures for a number of proxies and of resources."""
    apply_times = ApplyTimes(proxy_count=proxy_count)
    async with AsyncExitStack() as stack:
        stack.enter_context(patch("cowslipvane.wire._link.Link", CountingLink))
        stack.enter_context(patch("tools.single_replica.Link", CountingLink))
        replica = await stack.enter_async_context(SingleReplica())
        version = replica.put(*generate_puts(resource_count))
        started = time.monotonic()
        proxies = [start_proxy(index, replica.address, apply_times) for index in range(proxy_count)]
        stack.callback(lambda: [proxy.cancel() for proxy in proxies])
        startup_s = max(await apply_times.wait_for_all(version)) - started
        startup_bytes = CountingLink.sent_bytes
        delays, change_bytes = [], []
        for number in range(CHANGES):
            await asyncio.sleep(0.2)
            before = CountingLink.sent_bytes
            policy = TrafficPolicy(timeout=1.0 + number)
            put_at = time.monotonic()
            version = replica.put((Key("traffic-policy", "bench"), policy))
            delays += [
                applied_at - put_at for applied_at in await apply_times.wait_for_all(version)
            ]
            await asyncio.sleep(0.2)
            change_bytes.append((CountingLink.sent_bytes - before) / proxy_count)
        before = CountingLink.sent_bytes
        await asyncio.sleep(idle_s)
        # -1: not measured
        idle_bytes = (CountingLink.sent_bytes - before) / proxy_count / idle_s if idle_s else -1.0
    quantiles = statistics.quantiles(delays, n=100)
    return {
        "proxies": proxy_count,
        "resources": resource_count,
        # storm: all proxies start at once. It ends when all have applied the first version.
        "storm_s": round(startup_s, 3),
        "storm_bytes_each": round(startup_bytes / proxy_count),
        "in_force_p50_ms": round(quantiles[49] * 1000, 1),
        "in_force_p99_ms": round(quantiles[98] * 1000, 1),
        "change_bytes_each": round(statistics.median(change_bytes)),
        "idle_bytes_per_s_each": round(idle_bytes, 1),
    }


def main() -> None:
    """Print the figures for each number of resources as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, default=500)
    parser.add_argument("--resources", type=int, nargs="+", default=[100])
    parser.add_argument(
        "--idle", type=float, default=IDLE_S, help="seconds without changes in which to count bytes"
    )
    arguments = parser.parse_args()
    for count in arguments.resources:
        print(
            json.dumps(asyncio.run(measure_distribution(arguments.proxies, count, arguments.idle))),
            flush=True,
        )


if __name__ == "__main__":
    main()
