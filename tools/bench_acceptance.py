"""Measure the time to accept a change, and the recovery time after the leader is killed."""

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
# Short, since a longer timeout or poll interval of the client would add to the recovery time.
ATTEMPT_TIMEOUT_S = 0.3
POLL_INTERVAL_S = 0.01


def change_body(number: int, based_on: int) -> dict[str, Any]:
    """Return the request body of a change to one small resource."""
    spec = {"max_body_bytes": number}
    resource = {"kind": "traffic-policy", "name": "bench", "spec": spec}
    return {"operation_id": f"b{number}", "based_on": based_on, "resources": [resource]}


async def send_change_until_accepted(fleet: Fleet, number: int, based_on: int) -> None:
    """Send a change to one replica after another until it is accepted."""
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for server in fleet.operators():
                url = f"http://{server}/v1/changes"
                try:
                    async with session.post(url, json=change_body(number, based_on)) as response:
                        if response.status == HTTPStatus.OK:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    continue
            await asyncio.sleep(POLL_INTERVAL_S)


async def measure_changes(fleet: Fleet) -> list[float]:
    """Return the time in seconds that each of a series of changes took."""
    leader = (await fleet.until_leader())["host"]
    durations = []
    async with Client(servers=(fleet.address(leader, "operators"),)) as client:
        version = int((await client.resources())["version"])
        for number in range(CHANGES):
            started = time.monotonic()
            response = await client.change(change_body(number, version))
            durations.append(time.monotonic() - started)
            version = response["version"]
    return durations


async def measure_recovery(fleet: Fleet, number: int, based_on: int) -> float:
    """Return the time in seconds from the kill of the leader to the next accepted change."""
    leader = (await fleet.until_leader())["host"]
    fleet.kill_daemon(leader)
    killed_at = time.monotonic()
    await send_change_until_accepted(fleet, number, based_on)
    recovery = time.monotonic() - killed_at
    fleet.start_daemon(leader)
    return recovery


async def run(kills: int) -> dict[str, Any]:
    """Measure on the replicas of one example deployment with the default timing."""
    hosts = [host for host in example_hosts("quiros") if host.is_replica]
    with Fleet(hosts=[host._replace(worker={}) for host in hosts]) as fleet:
        fleet.create()
        fleet.start()
        durations = await measure_changes(fleet)
        recoveries = []
        for number in range(kills):
            # Each accepted change adds one version, so the current version is CHANGES + number.
            recoveries.append(await measure_recovery(fleet, CHANGES + number, CHANGES + number))
            await asyncio.sleep(2.0)
    quantiles = statistics.quantiles(durations, n=100)
    return {
        "changes": len(durations),
        "change_p50_ms": round(quantiles[49] * 1000, 2),
        "change_p99_ms": round(quantiles[98] * 1000, 2),
        "recoveries_s": [round(recovery, 2) for recovery in recoveries],
    }


def main() -> None:
    """Run the benchmark and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=5, help="number of times to kill the leader")
    print(json.dumps(asyncio.run(run(parser.parse_args().kills))))


if __name__ == "__main__":
    main()
