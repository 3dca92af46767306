"""Measure how costs grow with resources, proxies and calls, for docs/CAPACITY.md.

The costs are memory, bytes sent, delays and processor time. Each result is a line fitted to points.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import time
import tracemalloc
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypedDict

import aiohttp

from cowslipvane.catalogue import Catalogue, Change, Key, Service, Spec, Target
from cowslipvane.catalogue import Route as RouteSpec
from cowslipvane.routing import RoutingTable
from cowslipvane.types import OperationId, ServiceName, Version
from tools.bench import open_loop
from tools.bench_distribution import measure_distribution
from tools.fleet import EXAMPLES, Fleet, Host, example_hosts
from tools.processes import Usage, usage

PROXIES = (50, 150, 300, 500)
RESOURCES = (100, 1_000, 10_000)
CALLS_PER_S = (50, 100, 200)
RATE_DURATION_S = 8.0
IDLE_S = 10.0


class Line(TypedDict):
    """A line fitted to measured points, and the points."""

    unit: str
    slope: float
    intercept: float
    points: list[tuple[float, float]]


class Point(NamedTuple):
    """A measured value `y` at a count or a rate `x`."""

    x: float
    y: float


def fit_line(unit: str, points: Sequence[Point]) -> Line:
    """Fit a line to points by least squares."""
    mean_x = sum(point.x for point in points) / len(points)
    mean_y = sum(point.y for point in points) / len(points)
    sum_of_squares = sum((point.x - mean_x) ** 2 for point in points)
    slope = sum((point.x - mean_x) * (point.y - mean_y) for point in points) / sum_of_squares
    return Line(
        unit=unit,
        slope=slope,
        intercept=mean_y - slope * mean_x,
        points=[(point.x, round(point.y, 4)) for point in points],
    )


def generate_puts(count: int) -> tuple[tuple[Key, Spec], ...]:
    """Return `count` resources, half of them services and half routes to them."""
    puts: list[tuple[Key, Spec]] = []
    for index in range(count // 2):
        name = f"service-{index}"
        route = RouteSpec(targets=(Target(ServiceName(name)),), path_prefix=f"/{name}")
        puts += [(Key("service", name), Service()), (Key("route", name), route)]
    return tuple(puts)


def measure_resources() -> dict[str, Line]:
    """Measure the memory of a catalogue and a routing table, and the table's build time."""
    catalogue_bytes, table_bytes, table_ms = [], [], []
    for count in RESOURCES:
        tracemalloc.start()
        catalogue = Catalogue()
        change = Change(OperationId("all"), Version(0), generate_puts(count))
        catalogue.apply(change, accepted_at=0.0)
        catalogue_size, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        table = RoutingTable(version=Version(1), resources=catalogue.resources.values())
        total_size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started = time.perf_counter()
        RoutingTable(version=table.version, resources=catalogue.resources.values())
        table_ms.append(Point(count, (time.perf_counter() - started) * 1e3))
        catalogue_bytes.append(Point(count, catalogue_size))
        table_bytes.append(Point(count, total_size - catalogue_size))
    return {
        "catalogue_bytes_by_resource": fit_line("bytes", catalogue_bytes),
        "table_bytes_by_resource": fit_line("bytes", table_bytes),
        "table_build_ms_by_resource": fit_line("ms", table_ms),
    }


def measure_proxies() -> dict[str, Line]:
    """Measure the bytes and delays of a replica and its subscribers by number of proxies.

    The replica and the subscribers all run in this process, so the figures include both ends.
    """
    startup, idle, change, delay = [], [], [], []
    for count in PROXIES:
        # 14 is the number of resources in the catalogue that is distributed.
        figures = asyncio.run(measure_distribution(count, 14, IDLE_S))
        startup.append(Point(count, float(figures["storm_s"])))
        idle.append(Point(count, float(figures["idle_bytes_per_s_each"]) * count))
        change.append(Point(count, float(figures["change_bytes_each"]) * count))
        delay.append(Point(count, float(figures["in_force_p99_ms"])))
    return {
        "storm_s_by_proxy": fit_line("s", startup),
        "idle_bytes_per_s_by_proxy": fit_line("bytes/s", idle),
        "change_bytes_by_proxy": fit_line("bytes", change),
        "in_force_p99_ms_by_proxy": fit_line("ms", delay),
    }


def fast_worker(host: Host) -> dict[str, object]:
    """Return the options of a worker that responds at once for stock-1; none for other hosts."""
    return {**host.worker, "work_s": 0.0, "slots": 60} if host.name == "stock-1" else {}


async def measure_calls() -> tuple[dict[str, Line], int]:
    """Measure the processor use of the owner and the entry proxy by call rate.

    Also return the resident memory of the entry proxy in bytes.
    """
    names = ("stock-1", "stock-2", "stock-3", "empties-1")
    hosts = [host for host in example_hosts("quiros") if host.name in names]
    with Fleet(hosts=[host._replace(worker=fast_worker(host)) for host in hosts]) as fleet:
        fleet.create()
        fleet.start()
        await fleet.until_leader()
        await fleet.until_workers(1)
        servers = [part for address in fleet.operators() for part in ("--server", address)]
        fleet.command("apply", "-f", str(EXAMPLES / "quiros" / "resources.toml"), *servers)
        await fleet.until_in_force(1, fleet.alive)
        owner, entry = fleet.pid("stock-1"), fleet.pid("empties-1")
        before, started = usage(entry), time.monotonic()
        await asyncio.sleep(IDLE_S)
        idle = _core_percent(before, usage(entry), time.monotonic() - started)
        at_owner, at_entry = list[Point](), [Point(0, idle)]
        url = f"http://{fleet.address('empties-1', 'callers')}/stock/7"
        async with aiohttp.ClientSession() as session:

            async def send() -> None:
                async with session.get(url) as response:
                    await response.read()

            for rate in CALLS_PER_S:
                before_calls, started = (usage(owner), usage(entry)), time.monotonic()
                await open_loop({"other proxy": send}, calls=int(rate * RATE_DURATION_S), rate=rate)
                elapsed_s = time.monotonic() - started
                at_owner.append(
                    Point(rate, _core_percent(before_calls[0], usage(owner), elapsed_s))
                )
                at_entry.append(
                    Point(rate, _core_percent(before_calls[1], usage(entry), elapsed_s))
                )
        resident_bytes = usage(entry).resident_bytes
    lines = {
        "owner_core_percent_by_call_per_s": fit_line("% of a core", at_owner),
        "entry_core_percent_by_call_per_s": fit_line("% of a core", at_entry),
    }
    return lines, resident_bytes


def _core_percent(before: Usage, after: Usage, elapsed_s: float) -> float:
    """Return the average use of a core between two readings, in percent."""
    return (after.processor_s - before.processor_s) / elapsed_s * 100


def main() -> None:
    """Measure all lines and record them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", type=Path, required=True, help="JSON file to write")
    record = parser.parse_args().record
    random.seed(1)
    calls, resident_bytes = asyncio.run(measure_calls())
    lines = {**measure_resources(), **measure_proxies(), **calls}
    figures = {"cores": os.cpu_count(), "proxy_resident_bytes": resident_bytes, "lines": lines}
    record.write_text(json.dumps(figures, indent=1) + "\n")
    for name, item in lines.items():
        print(f"{name}: slope {item['slope']:.4g} {item['unit']}, at zero {item['intercept']:.4g}")


if __name__ == "__main__":
    main()
