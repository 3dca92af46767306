"""The demo: the whole path of both deployments, driven, failed, and checked."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import uuid
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from tools.fleet import EXAMPLES, Fleet, example_hosts

CALLS_AT_ONCE = 8
CALLS = 160
# The brief allows an upstream that leaves to get new work for a few seconds.
OUT_WITHIN_S = 2.0
PATHS = {
    "quiros": ("/stock/7", "/manifests", "/invoices", "/empties"),
    "cerceve": ("/mouldings/7", "/deposits", "/cuts", "/collections"),
}


class Sent(NamedTuple):
    """A call and what its caller was told."""

    mark: str
    status: int
    code: str
    verdict: str
    request: str
    whole: bool
    once: bool


class Told:
    """What the demo saw, and what was wrong with it."""

    def __init__(self) -> None:
        self.wrong: list[str] = []

    def say(self, text: str) -> None:
        """Print a line at once."""
        print(f"  {text}", flush=True)

    def expect(self, holds: bool, text: str) -> None:
        """Print a line, and keep it when it doesn't hold."""
        self.say(f"{'ok' if holds else 'WRONG'}: {text}")
        if not holds:
            self.wrong.append(text)


async def call(session: aiohttp.ClientSession, proxy: str, path: str) -> Sent:
    """Send one call and return what came back."""
    mark = uuid.uuid4().hex
    method = "GET" if path.endswith("/7") else "POST"
    once = method == "POST"
    body = b"" if method == "GET" else b"line\n" * 40
    url, headers = f"http://{proxy}{path}", {"X-Mark": mark}
    try:
        async with session.request(method, url, data=body, headers=headers) as response:
            form = json.loads(await response.read())
            request = response.headers.get("X-Request-Id", "")
            if response.status == 200:
                whole = form["mark"] == mark and form["received"] == len(body)
                return Sent(mark, 200, "", "ran", request, whole, once)
            code, verdict = form["code"], form["verdict"]
            return Sent(mark, response.status, code, verdict, request, True, once)
    except (aiohttp.ClientError, OSError) as error:
        return Sent(mark, 0, type(error).__name__, "may have run", "", True, once)


async def drive(fleet: Fleet, hosts: list[str], paths: tuple[str, ...], calls: int) -> list[Sent]:
    """Send calls through some hosts' proxies, several at once."""
    rng = random.Random(calls)
    proxies = [fleet.address(host, "callers") for host in hosts]
    sent: list[Sent] = []

    async def one_caller(session: aiohttp.ClientSession) -> None:
        for _ in range(calls // CALLS_AT_ONCE):
            sent.append(await call(session, rng.choice(proxies), rng.choice(paths)))

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(one_caller(session) for _ in range(CALLS_AT_ONCE)))
    return sent


def check_ledger(told: Told, fleet: Fleet, sent: list[Sent]) -> None:
    """Compare what callers were told with what the workers ran."""
    ran = Counter(line["mark"] for line in fleet.ledger() if line["what"] == "ran")
    served = [item for item in sent if item.status == 200]
    refused = Counter(item.code for item in sent if item.status != 200)
    told.say(f"calls: {len(served)} served, refused by code: {dict(refused) or 'none'}")
    doubled = sum(ran[item.mark] > 1 for item in sent if item.once)
    again = sum(ran[item.mark] > 1 for item in sent if not item.once)
    told.say(f"reads run again, as their retry policy allows: {again}")
    lost = sum(ran[item.mark] == 0 for item in served)
    untrue = sum(ran[item.mark] > 0 for item in sent if item.verdict == "not run")
    mixed = sum(not item.whole for item in sent)
    told.expect(doubled == 0, f"{doubled} calls doubled")
    told.expect(lost == 0, f"{lost} calls lost")
    told.expect(untrue == 0, f"{untrue} calls refused as not run that ran")
    told.expect(mixed == 0, f"{mixed} wrong or partial answers")


async def apply(told: Told, fleet: Fleet, resources: Path, hosts: list[str]) -> None:
    """Apply a file of resources and say how long it took to be in force."""
    servers = [part for address in fleet.operators() for part in ("--server", address)]
    answer = json.loads(
        await asyncio.to_thread(fleet.command, "apply", "-f", str(resources), *servers)
    )
    at = await fleet.until_in_force(answer["version"], hosts)
    took = at - answer["accepted_at"]
    told.expect(
        answer["outcome"] == "accepted",
        f"version {answer['version']} is in force on {len(hosts)} proxies, {took:.3f} s after"
        " it was stamped",
    )


def upstream(fleet: Fleet, host: str, state: str) -> Path:
    """Return a file of resources that takes an upstream in or out."""
    path = fleet.folder / f"{host}-{state}.toml"
    path.write_text(
        f'[[resource]]\nkind = "upstream"\nname = "{host}"\nspec = {{ state = "{state}" }}\n'
    )
    return path


async def explain(told: Told, fleet: Fleet, host: str) -> None:
    """Show a refusal, and that staff are told the same sentence."""
    async with aiohttp.ClientSession() as session:
        url = f"http://{fleet.address(host, 'callers')}/nothing-here"
        async with session.get(url) as response:
            refusal: dict[str, Any] = await response.json()
    servers = [part for address in fleet.operators() for part in ("--server", address)]
    text = await asyncio.to_thread(fleet.command, "explain", refusal["request"], *servers)
    told.say(f"refused: {refusal['sentence']}")
    told.expect(
        text.splitlines()[0] == refusal["sentence"], "explain gives staff the same sentence"
    )


async def take_out(told: Told, fleet: Fleet, deployment: str, sent: list[Sent]) -> None:
    """Take an upstream out, and see that it gets no new work."""
    out = list(fleet.hosts)[-1]
    await apply(told, fleet, upstream(fleet, out, "out"), fleet.alive)
    await asyncio.sleep(OUT_WITHIN_S)
    before = len(fleet.ledger(out))
    sent += await drive(fleet, fleet.alive, PATHS[deployment], CALLS)
    after = len(fleet.ledger(out))
    told.expect(after == before, f"{after - before} new calls at {out}, which is out")


async def kill_leader(told: Told, fleet: Fleet, deployment: str, sent: list[Sent]) -> None:
    """Kill the host of the leader, apply again, and go on calling."""
    leader = (await fleet.until_leader())["host"]
    told.say(f"killing {leader}, the leader, with its proxy and its worker")
    driving = asyncio.create_task(drive(fleet, fleet.alive, PATHS[deployment], CALLS))
    await asyncio.sleep(0.1)
    fleet.kill(leader)
    killed = time.monotonic()
    out = list(fleet.hosts)[-1]
    await apply(told, fleet, upstream(fleet, out, "in"), fleet.alive)
    told.say(f"{time.monotonic() - killed:.2f} s from the kill until the next version was in force")
    sent += await driving
    sent += await drive(fleet, fleet.alive, PATHS[deployment], CALLS)


async def show(told: Told, deployment: str) -> None:
    """Run one deployment's path from end to end."""
    print(f"{deployment}:", flush=True)
    with Fleet(hosts=example_hosts(deployment)) as fleet:
        fleet.create()
        fleet.start()
        await fleet.until_leader()
        status = await fleet.until_members(sum(bool(host.worker) for host in fleet.hosts.values()))
        centres = {member["data_centre"] for member in status["members"]}
        told.say(f"{len(status['members'])} hosts up in {len(centres)} data centres")
        sent: list[Sent] = []
        await apply(told, fleet, EXAMPLES / deployment / "resources.toml", fleet.alive)
        sent += await drive(fleet, fleet.alive, PATHS[deployment], CALLS)
        await explain(told, fleet, fleet.alive[0])
        await take_out(told, fleet, deployment, sent)
        await kill_leader(told, fleet, deployment, sent)
        codes = await asyncio.to_thread(fleet.stop)
        told.expect(not any(codes.values()), f"{len(codes)} daemons stopped as planned")
        check_ledger(told, fleet, sent)
        errors = fleet.errors()
        told.expect(not errors, f"{len(errors.splitlines())} lines on standard error")
        sys.stderr.write(errors)


async def main() -> int:
    """Run both deployments and say whether anything was wrong."""
    told = Told()
    for deployment in PATHS:
        await show(told, deployment)
    print(f"wrong: {len(told.wrong)}")
    return 1 if told.wrong else 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
