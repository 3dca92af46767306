"""Measure acceptance: the time of a change, and the gap when the leader is killed."""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import time
from http import HTTPStatus
from typing import Any

import aiohttp

from cowslipvane.client import Client
from tools.fleet import Fleet, example_hosts

CHANGES = 200
# Longer waits for one server, or between rounds, would measure the patience of the client.
ATTEMPT_TIMEOUT_S = 0.3
POLL_S = 0.01


def change_form(number: int, based_on: int) -> dict[str, Any]:
    """Return a change of one small resource."""
    spec = {"max_body_bytes": number}
    resource = {"kind": "traffic-policy", "name": "bench", "spec": spec}
    return {"operation_id": f"b{number}", "based_on": based_on, "resources": [resource]}


async def change(fleet: Fleet, number: int, based_on: int) -> None:
    """Send a change to one replica after another until it is accepted."""
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for server in fleet.operators():
                url = f"http://{server}/v1/changes"
                try:
                    async with session.post(url, json=change_form(number, based_on)) as answer:
                        if answer.status == HTTPStatus.OK:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    continue
            await asyncio.sleep(POLL_S)


async def measure_changes(fleet: Fleet) -> list[float]:
    """Return the seconds that each of many changes took, one after another."""
    leader = (await fleet.until_leader())["host"]
    taken = []
    async with Client(servers=(fleet.address(leader, "operators"),)) as client:
        version = int((await client.resources())["version"])
        for number in range(CHANGES):
            begun = time.monotonic()
            answer = await client.change(change_form(number, version))
            taken.append(time.monotonic() - begun)
            version = answer["version"]
    return taken


async def measure_recovery(fleet: Fleet, number: int, version: int) -> float:
    """Return the seconds from the kill of the leader to the next accepted change."""
    leader = (await fleet.until_leader())["host"]
    fleet.kill_daemon(leader)
    begun = time.monotonic()
    await change(fleet, number, version)
    taken = time.monotonic() - begun
    fleet.start_daemon(leader)
    return taken


async def run(kills: int) -> dict[str, Any]:
    """Measure on the replicas of one deployment, with the timing that they come with."""
    hosts = [host for host in example_hosts("quiros") if host.is_replica]
    with Fleet(hosts=[host._replace(worker={}) for host in hosts]) as fleet:
        fleet.create()
        fleet.start()
        taken = await measure_changes(fleet)
        recoveries = []
        for number in range(kills):
            recoveries.append(await measure_recovery(fleet, CHANGES + number, CHANGES + number))
            await asyncio.sleep(2.0)
    cuts = statistics.quantiles(taken, n=100)
    return {
        "changes": len(taken),
        "change_p50_ms": round(cuts[49] * 1000, 2),
        "change_p99_ms": round(cuts[98] * 1000, 2),
        "recoveries_s": [round(item, 2) for item in recoveries],
    }


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=5, help="leaders to kill")
    print(json.dumps(asyncio.run(run(parser.parse_args().kills))))


if __name__ == "__main__":
    main()
