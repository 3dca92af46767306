"""Measure the latency that proxies add to a call, against direct calls in the same run."""

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
    """Percentiles and mean of the latency of one target in milliseconds."""

    p50_ms: float
    p99_ms: float
    mean_ms: float


def latency(samples: list[float]) -> Latency:
    """Return the percentiles and the mean, in milliseconds, of samples in seconds."""
    quantiles = statistics.quantiles(samples, n=100)
    return Latency(quantiles[49] * 1e3, quantiles[98] * 1e3, statistics.fmean(samples) * 1e3)


async def open_loop(
    targets: dict[str, Callable[[], Awaitable[None]]], *, calls: int, rate: float
) -> dict[str, list[float]]:
    """Send calls with Poisson arrivals at a rate per second, each to a random target.

    Return the latencies in seconds by target name.
    """
    rng = random.Random(1)
    samples: dict[str, list[float]] = {name: [] for name in targets}
    names = list(targets)

    async def call_target(name: str) -> None:
        started = time.perf_counter()
        await targets[name]()
        samples[name].append(time.perf_counter() - started)

    send_at = time.perf_counter()
    running: set[asyncio.Task[None]] = set()
    for _ in range(calls):
        send_at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, send_at - time.perf_counter()))
        task = asyncio.create_task(call_target(rng.choice(names)))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    return samples


async def added_latency(calls: int, rate: float) -> None:
    """Compare direct calls with calls through the owner and through another proxy."""
    hosts = [host for host in example_hosts("quiros") if host.is_replica]
    hosts += [host for host in example_hosts("quiros") if host.name == "empties-1"]
    # Only one host has a worker of the service, so that the path of each call is known.
    hosts = [host._replace(worker=_fast_worker(host)) for host in hosts]
    with Fleet(hosts=hosts) as fleet:
        fleet.create()
        fleet.start()
        await fleet.until_leader()
        await fleet.until_workers(1)
        servers = [part for address in fleet.operators() for part in ("--server", address)]
        fleet.command("apply", "-f", str(EXAMPLES / "quiros" / "resources.toml"), *servers)
        await fleet.until_in_force(1, fleet.alive)
        gc.freeze()
        async with aiohttp.ClientSession() as session:

            def target(address: str) -> Callable[[], Awaitable[None]]:
                async def send() -> None:
                    async with session.get(f"http://{address}/stock/7") as response:
                        await response.read()
                        assert response.status == 200

                return send

            targets = {
                "direct": target(fleet.address("stock-1", "worker")),
                "owner": target(fleet.address("stock-1", "callers")),
                "other proxy": target(fleet.address("empties-1", "callers")),
            }
            await open_loop(targets, calls=WARM_UP_CALLS, rate=rate)
            results = {
                name: latency(samples)
                for name, samples in (await open_loop(targets, calls=calls, rate=rate)).items()
            }
    direct = results["direct"]
    print(f"added latency at {rate:g} calls/s, {calls} calls, no work at the worker; in ms")
    for name, figures in results.items():
        print(
            f"  {name:11} p50 {figures.p50_ms:.2f} (+{figures.p50_ms - direct.p50_ms:.2f})"
            f" p99 {figures.p99_ms:.2f} (+{figures.p99_ms - direct.p99_ms:.2f})"
        )


def _fast_worker(host: Host) -> dict[str, object]:
    """Return the options of a worker that responds at once for stock-1; none for other hosts."""
    return {**host.worker, "work_s": 0.0, "slots": 60} if host.name == "stock-1" else {}


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=6000)
    parser.add_argument("--rate", type=float, default=300.0)
    arguments = parser.parse_args()
    asyncio.run(added_latency(arguments.calls, arguments.rate))


if __name__ == "__main__":
    main()
