"""Demo: run both example deployments end to end, inject faults and check every response."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import uuid
from collections import Counter
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from tools.fleet import EXAMPLES, Fleet, example_hosts

CONCURRENT_CALLERS = 8
CALLS = 160
# The requirements allow new calls at an upstream for a few seconds after it was taken out.
TAKE_OUT_DELAY_S = 2.0
PATHS = {
    "quiros": ("/stock/7", "/manifests", "/invoices", "/empties"),
    "cerceve": ("/mouldings/7", "/deposits", "/cuts", "/collections"),
}
# The deployment with a team, the path of its route, and the team's key.
TEAM_DEPLOYMENT, TEAM_PATH = "cerceve", "/statements"
TEAM_KEY = "example-key-of-the-treasurers"


class CallResult(NamedTuple):
    """A call and the response that its caller received.

    The mark identifies the call in the workers' ledgers. The status is 0 if no complete response
    arrived.
    """

    mark: str
    status: int
    code: str
    verdict: str
    request_id: str
    is_valid: bool
    at_most_once: bool


class Told:
    """Prints the observations of the demo and collects the failed checks."""

    def __init__(self) -> None:
        self.wrong: list[str] = []

    def say(self, text: str) -> None:
        """Print a line and flush it."""
        print(f"  {text}", flush=True)

    def expect(self, holds: bool, text: str) -> None:
        """Print the result of a check, and collect its text if it failed."""
        self.say(f"{'ok' if holds else 'WRONG'}: {text}")
        if not holds:
            self.wrong.append(text)


async def call(session: aiohttp.ClientSession, proxy: str, path: str) -> CallResult:
    """Send a call and return its result."""
    mark = uuid.uuid4().hex
    method = "GET" if path.endswith("/7") else "POST"
    at_most_once = method == "POST"
    body = b"" if method == "GET" else b"line\n" * 40
    url, headers = f"http://{proxy}{path}", {"X-Mark": mark}
    try:
        async with session.request(method, url, data=body, headers=headers) as response:
            content = json.loads(await response.read())
            request_id = response.headers.get("X-Request-Id", "")
            if response.status == 200:
                is_valid = content["mark"] == mark and content["received"] == len(body)
                return CallResult(mark, 200, "", "ran", request_id, is_valid, at_most_once)
            code, verdict = content["code"], content["verdict"]
            return CallResult(mark, response.status, code, verdict, request_id, True, at_most_once)
    except (aiohttp.ClientError, OSError) as error:
        return CallResult(mark, 0, type(error).__name__, "may have run", "", True, at_most_once)


async def drive(
    fleet: Fleet, hosts: list[str], paths: tuple[str, ...], calls: int
) -> list[CallResult]:
    """Send calls through random proxies of the given hosts, several at a time."""
    rng = random.Random(calls)
    proxies = [fleet.address(host, "callers") for host in hosts]
    sent: list[CallResult] = []

    async def one_caller(session: aiohttp.ClientSession) -> None:
        for _ in range(calls // CONCURRENT_CALLERS):
            sent.append(await call(session, rng.choice(proxies), rng.choice(paths)))

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(one_caller(session) for _ in range(CONCURRENT_CALLERS)))
    return sent


def check_ledger(told: Told, fleet: Fleet, sent: list[CallResult]) -> None:
    """Check the responses to callers against the workers' ledgers."""
    ran = Counter(line["mark"] for line in fleet.ledger() if line["what"] == "ran")
    served = [item for item in sent if item.status == 200]
    refused = Counter(item.code for item in sent if item.status != 200)
    told.say(f"calls: {len(served)} served, refused by code: {dict(refused) or 'none'}")
    duplicated = sum(ran[item.mark] > 1 for item in sent if item.at_most_once)
    retried = sum(ran[item.mark] > 1 for item in sent if not item.at_most_once)
    told.say(f"reads run more than once, as their retry policy allows: {retried}")
    lost = sum(ran[item.mark] == 0 for item in served)
    false_verdicts = sum(ran[item.mark] > 0 for item in sent if item.verdict == "not run")
    invalid = sum(not item.is_valid for item in sent)
    told.expect(duplicated == 0, f"{duplicated} writes run more than once")
    told.expect(lost == 0, f"{lost} calls served but not run")
    told.expect(
        false_verdicts == 0,
        f"{false_verdicts} calls refused with the verdict 'not run' that did run",
    )
    told.expect(invalid == 0, f"{invalid} wrong or partial responses")


async def apply(told: Told, fleet: Fleet, resources: Path, hosts: list[str]) -> None:
    """Apply a file of resources and print how long it took to come into force."""
    servers = [part for address in fleet.operators() for part in ("--server", address)]
    response = json.loads(
        await asyncio.to_thread(fleet.command, "apply", "-f", str(resources), *servers)
    )
    in_force_at = await fleet.until_in_force(response["version"], hosts)
    delay = in_force_at - response["accepted_at"]
    told.expect(
        response["outcome"] == "accepted",
        f"version {response['version']} is in force on {len(hosts)} proxies, {delay:.3f} s after"
        " the leader accepted it",
    )


def upstream(fleet: Fleet, host: str, state: str) -> Path:
    """Write a file of resources that sets the state of an upstream, and return its path."""
    path = fleet.folder / f"{host}-{state}.toml"
    path.write_text(
        f'[[resource]]\nkind = "upstream"\nname = "{host}"\nspec = {{ state = "{state}" }}\n'
    )
    return path


async def explain(told: Told, fleet: Fleet, host: str) -> None:
    """Print a refusal and check that `explain` reports the same sentence."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{fleet.address(host, 'callers')}/nothing-here"
        async with session.get(url) as response:
            refusal: dict[str, Any] = await response.json()
    servers = [part for address in fleet.operators() for part in ("--server", address)]
    text = await asyncio.to_thread(fleet.command, "explain", refusal["request"], *servers)
    told.say(f"refused: {refusal['sentence']}")
    told.expect(text.splitlines()[0] == refusal["sentence"], "explain reports the same sentence")


async def show_key(told: Told, fleet: Fleet, host: str) -> None:
    """Check that a route of a team serves a request with the team's key, and no other."""
    url = f"http://{fleet.address(host, 'callers')}{TEAM_PATH}"
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            refusal: dict[str, Any] = await response.json()
        told.say(f"refused: {refusal['sentence']}")
        told.expect(refusal["code"] == "key-missing", "a request without a key is refused")
        headers = {"Authorization": f"Bearer {TEAM_KEY}"}
        async with session.get(url, headers=headers) as response:
            told.expect(response.status == HTTPStatus.OK, "a request with the key is served")


async def take_out(told: Told, fleet: Fleet, deployment: str, sent: list[CallResult]) -> None:
    """Take an upstream out and check that it gets no new calls."""
    host = list(fleet.hosts)[-1]
    await apply(told, fleet, upstream(fleet, host, "out"), fleet.alive)
    await asyncio.sleep(TAKE_OUT_DELAY_S)
    before = len(fleet.ledger(host))
    sent += await drive(fleet, fleet.alive, PATHS[deployment], CALLS)
    after = len(fleet.ledger(host))
    told.expect(after == before, f"{after - before} new calls at {host}, which is out")


async def kill_leader(told: Told, fleet: Fleet, deployment: str, sent: list[CallResult]) -> None:
    """Kill the leader's host while calls are running, apply a change and send more calls."""
    leader = (await fleet.until_leader())["host"]
    told.say(f"killing {leader}, the leader, with its proxy and its worker")
    calls = asyncio.create_task(drive(fleet, fleet.alive, PATHS[deployment], CALLS))
    await asyncio.sleep(0.1)
    fleet.kill(leader)
    killed_at = time.monotonic()
    host = list(fleet.hosts)[-1]
    await apply(told, fleet, upstream(fleet, host, "in"), fleet.alive)
    told.say(
        f"{time.monotonic() - killed_at:.2f} s from the kill until the next version was in force"
    )
    sent += await calls
    sent += await drive(fleet, fleet.alive, PATHS[deployment], CALLS)


async def run_deployment(told: Told, deployment: str) -> None:
    """Run one deployment end to end."""
    print(f"{deployment}:", flush=True)
    with Fleet(hosts=example_hosts(deployment)) as fleet:
        fleet.create()
        fleet.start()
        await fleet.until_leader()
        status = await fleet.until_workers(sum(bool(host.worker) for host in fleet.hosts.values()))
        data_centres = {member["data_centre"] for member in status["members"]}
        told.say(f"{len(status['members'])} hosts up in {len(data_centres)} data centres")
        sent: list[CallResult] = []
        await apply(told, fleet, EXAMPLES / deployment / "resources.toml", fleet.alive)
        sent += await drive(fleet, fleet.alive, PATHS[deployment], CALLS)
        await explain(told, fleet, fleet.alive[0])
        if deployment == TEAM_DEPLOYMENT:
            await show_key(told, fleet, fleet.alive[0])
        await take_out(told, fleet, deployment, sent)
        await kill_leader(told, fleet, deployment, sent)
        codes = await asyncio.to_thread(fleet.stop)
        told.expect(not any(codes.values()), f"{len(codes)} daemons stopped with exit code 0")
        check_ledger(told, fleet, sent)
        errors = fleet.errors()
        told.expect(not errors, f"{len(errors.splitlines())} lines on standard error")
        sys.stderr.write(errors)


async def main() -> int:
    """Run both deployments and return 1 if a check failed."""
    told = Told()
    for deployment in PATHS:
        await run_deployment(told, deployment)
    print(f"wrong: {len(told.wrong)}")
    return 1 if told.wrong else 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
