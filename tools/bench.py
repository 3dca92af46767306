"""Benchmarks: every figure stands beside a baseline of the same run."""

from __future__ import annotations

import argparse
import asyncio
import gc
import random
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp

from tools.fleet import EXAMPLES, Fleet, Host, example_hosts

WARM_UP_CALLS = 400


class Latency(NamedTuple):
    """Latencies of one way in milliseconds."""

    p50: float
    p99: float
    mean: float


def latency(samples: list[float]) -> Latency:
    """Return the percentiles of samples in seconds."""
    cuts = statistics.quantiles(samples, n=100)
    return Latency(cuts[49] * 1e3, cuts[98] * 1e3, statistics.fmean(samples) * 1e3)


async def open_loop(
    ways: dict[str, Callable[[], Awaitable[None]]], *, calls: int, rate: float
) -> dict[str, list[float]]:
    """Send calls at a rate in calls a second, each by a way drawn at random."""
    rng = random.Random(1)
    samples: dict[str, list[float]] = {way: [] for way in ways}
    names = list(ways)

    async def one(way: str) -> None:
        begun = time.perf_counter()
        await ways[way]()
        samples[way].append(time.perf_counter() - begun)

    at = time.perf_counter()
    running: set[asyncio.Task[None]] = set()
    for _ in range(calls):
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, at - time.perf_counter()))
        task = asyncio.create_task(one(rng.choice(names)))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    return samples


async def added_latency(calls: int, rate: float) -> None:
    """Compare a direct call with one through the owner, and one through another proxy."""
    hosts = [host for host in example_hosts("quiros") if host.is_replica]
    hosts += [host for host in example_hosts("quiros") if host.name == "empties-1"]
    # One worker of the service, so that the way of each call is known.
    hosts = [host._replace(worker=_quick(host)) for host in hosts]
    with Fleet(hosts=hosts) as fleet:
        fleet.create()
        fleet.start()
        await fleet.until_leader()
        await fleet.until_members(1)
        servers = [part for address in fleet.operators() for part in ("--server", address)]
        fleet.command("apply", "-f", str(EXAMPLES / "quiros" / "resources.toml"), *servers)
        await fleet.until_in_force(1, fleet.alive)
        gc.freeze()
        async with aiohttp.ClientSession() as session:

            def way(address: str) -> Callable[[], Awaitable[None]]:
                async def send() -> None:
                    async with session.get(f"http://{address}/stock/7") as response:
                        await response.read()
                        assert response.status == 200

                return send

            ways = {
                "direct": way(fleet.address("stock-1", "worker")),
                "owner": way(fleet.address("stock-1", "callers")),
                "hop": way(fleet.address("empties-1", "callers")),
            }
            await open_loop(ways, calls=WARM_UP_CALLS, rate=rate)
            found = {
                name: latency(samples)
                for name, samples in (await open_loop(ways, calls=calls, rate=rate)).items()
            }
    direct = found["direct"]
    print(f"added latency at {rate:g} calls/s, {calls} calls, worker's work 0 ms; in ms")
    for name, figures in found.items():
        print(
            f"  {name:8} p50 {figures.p50:.2f} (+{figures.p50 - direct.p50:.2f})"
            f" p99 {figures.p99:.2f} (+{figures.p99 - direct.p99:.2f})"
        )


def _quick(host: Host) -> dict[str, object]:
    """Return a worker of one host that answers at once, and none of the others."""
    return {**host.worker, "work_s": 0.0, "slots": 60} if host.name == "stock-1" else {}


def main() -> None:
    """Run a benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=6000)
    parser.add_argument("--rate", type=float, default=300.0)
    given = parser.parse_args()
    asyncio.run(added_latency(given.calls, given.rate))


if __name__ == "__main__":
    main()
