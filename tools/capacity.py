"""Slopes for the page on capacity: what more proxies, resources, calls and members cost."""

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
from tools.bench_distribution import measure
from tools.fleet import EXAMPLES, Fleet, Host, example_hosts
from tools.processes import Usage, usage

PROXIES = (50, 150, 300, 500)
RESOURCES = (100, 1_000, 10_000)
RATES = (50, 100, 200)
CALLS_S = 8.0
IDLE_S = 10.0


class Line(TypedDict):
    """A straight line through measured points, and the points."""

    unit: str
    slope: float
    intercept: float
    points: list[tuple[float, float]]


class Point(NamedTuple):
    """One measured point."""

    x: float
    y: float


def line(unit: str, points: Sequence[Point]) -> Line:
    """Return the least-squares line through points."""
    mean_x = sum(point.x for point in points) / len(points)
    mean_y = sum(point.y for point in points) / len(points)
    spread = sum((point.x - mean_x) ** 2 for point in points)
    slope = sum((point.x - mean_x) * (point.y - mean_y) for point in points) / spread
    return Line(
        unit=unit,
        slope=slope,
        intercept=mean_y - slope * mean_x,
        points=[(point.x, round(point.y, 4)) for point in points],
    )


def puts(number: int) -> tuple[tuple[Key, Spec], ...]:
    """Return services and routes, two resources for each."""
    found: list[tuple[Key, Spec]] = []
    for index in range(number // 2):
        name = f"service-{index}"
        route = RouteSpec(targets=(Target(ServiceName(name)),), path_prefix=f"/{name}")
        found += [(Key("service", name), Service()), (Key("route", name), route)]
    return tuple(found)


def of_resources() -> dict[str, Line]:
    """Return memory and time for each resource: in the catalogue, and in a routing table."""
    catalogue_bytes, table_bytes, table_ms = [], [], []
    for number in RESOURCES:
        tracemalloc.start()
        catalogue = Catalogue()
        change = Change(OperationId("all"), Version(0), puts(number))
        catalogue.apply(change, accepted_at=0.0)
        in_catalogue, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        table = RoutingTable(version=Version(1), resources=catalogue.resources.values())
        in_both, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        begun = time.perf_counter()
        RoutingTable(version=table.version, resources=catalogue.resources.values())
        table_ms.append(Point(number, (time.perf_counter() - begun) * 1e3))
        catalogue_bytes.append(Point(number, in_catalogue))
        table_bytes.append(Point(number, in_both - in_catalogue))
    return {
        "catalogue_bytes_by_resource": line("bytes", catalogue_bytes),
        "table_bytes_by_resource": line("bytes", table_bytes),
        "table_build_ms_by_resource": line("ms", table_ms),
    }


def of_proxies() -> dict[str, Line]:
    """Return what a replica and its stand-in proxies, in one process, spend by their number."""
    storm, idle, change, delay = [], [], [], []
    for number in PROXIES:
        figures = asyncio.run(measure(number, 14, IDLE_S))
        storm.append(Point(number, float(figures["storm_s"])))
        idle.append(Point(number, float(figures["idle_bytes_per_s_each"]) * number))
        change.append(Point(number, float(figures["change_bytes_each"]) * number))
        delay.append(Point(number, float(figures["in_force_p99_ms"])))
    return {
        "storm_s_by_proxy": line("s", storm),
        "idle_bytes_per_s_by_proxy": line("bytes/s", idle),
        "change_bytes_by_proxy": line("bytes", change),
        "in_force_p99_ms_by_proxy": line("ms", delay),
    }


def quick(host: Host) -> dict[str, object]:
    """Return a worker of one host that answers at once, and none of the others."""
    return {**host.worker, "work_s": 0.0, "slots": 60} if host.name == "stock-1" else {}


async def of_calls() -> tuple[dict[str, Line], int]:
    """Return the processor time that calls cost entry and owner, and an entry's memory in bytes."""
    names = ("stock-1", "stock-2", "stock-3", "empties-1")
    hosts = [host for host in example_hosts("quiros") if host.name in names]
    with Fleet(hosts=[host._replace(worker=quick(host)) for host in hosts]) as fleet:
        fleet.create()
        fleet.start()
        await fleet.until_leader()
        await fleet.until_members(1)
        servers = [part for address in fleet.operators() for part in ("--server", address)]
        fleet.command("apply", "-f", str(EXAMPLES / "quiros" / "resources.toml"), *servers)
        await fleet.until_in_force(1, fleet.alive)
        owner, entry = fleet.pid("stock-1"), fleet.pid("empties-1")
        before, began = usage(entry), time.monotonic()
        await asyncio.sleep(IDLE_S)
        idle = _share(before, usage(entry), time.monotonic() - began)
        at_owner, at_entry = list[Point](), [Point(0, idle)]
        url = f"http://{fleet.address('empties-1', 'callers')}/stock/7"
        async with aiohttp.ClientSession() as session:

            async def send() -> None:
                async with session.get(url) as response:
                    await response.read()

            for rate in RATES:
                used, began = (usage(owner), usage(entry)), time.monotonic()
                await open_loop({"hop": send}, calls=int(rate * CALLS_S), rate=rate)
                took = time.monotonic() - began
                at_owner.append(Point(rate, _share(used[0], usage(owner), took)))
                at_entry.append(Point(rate, _share(used[1], usage(entry), took)))
        resident = usage(entry).resident
    lines = {
        "owner_core_percent_by_call_per_s": line("% of a core", at_owner),
        "entry_core_percent_by_call_per_s": line("% of a core", at_entry),
    }
    return lines, resident


def _share(before: Usage, after: Usage, took: float) -> float:
    """Return the share of a core used, in percent."""
    return (after.processor_s - before.processor_s) / took * 100


def main() -> None:
    """Measure all slopes and record them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", type=Path, required=True, help="where the JSON goes")
    record = parser.parse_args().record
    random.seed(1)
    calls, resident = asyncio.run(of_calls())
    lines = {**of_resources(), **of_proxies(), **calls}
    found = {"cores": os.cpu_count(), "proxy_resident_bytes": resident, "lines": lines}
    record.write_text(json.dumps(found, indent=1) + "\n")
    for name, item in lines.items():
        print(f"{name}: {item['slope']:.4g} {item['unit']} each, from {item['intercept']:.4g}")


if __name__ == "__main__":
    main()
