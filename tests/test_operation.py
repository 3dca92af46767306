"""Tests of operation over real processes: explanations, time line, bad input."""

import asyncio
import json
import time
import unittest
from typing import Any

import aiohttp
from prometheus_client.parser import text_string_to_metric_families as parse

from cowslipvane.metrics import FAMILIES
from tests.three_hosts_case import HOSTS, ThreeHostsTestCase

PATIENCE_S = 20.0


class OperationTest(ThreeHostsTestCase):
    """Three processes with one configuration in force."""

    async def restart(self, host: str) -> None:
        """Start a daemon again and wait until it serves."""
        began = time.time()
        self.fleet.start_daemon(host)
        for _ in range(200):
            async with self.fleet.client() as client:
                reports = (await client.status()).get("replica", {}).get("reports", [])
            if any(it["host"] == host and it["applied_at"] > began for it in reports):
                return
            await asyncio.sleep(0.1)
        self.fail(f"{host} did not come back")

    async def command(self, *arguments: str) -> str:
        """Run a command that asks the fleet."""
        return await asyncio.to_thread(self.fleet.command, *arguments, *self.servers)

    async def refused(self, host: str) -> dict[str, str]:
        """Return a refusal of a host's proxy."""
        url = f"http://{self.fleet.address(host, 'callers')}/nothing/here?secret=1"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            form: dict[str, str] = await answer.json()
            return form

    async def account(self, request: str) -> dict[str, object]:
        """Return the account of a request, without its events."""
        account: dict[str, object] = json.loads(
            await self.command("explain", request, "--output", "json")
        )
        del account["events"]
        return account

    async def test_a_refusal_is_explained_the_same_after_its_proxy_died(self) -> None:
        """The witness answers while the proxy is gone and after it came back without its file."""
        told = await self.refused("stock-3")
        first = await self.account(told["request"])
        self.assertEqual(first["sentence"], told["sentence"])
        self.assertEqual(first["asked"], "GET /nothing/here")
        await asyncio.sleep(1.0)
        self.fleet.kill_daemon("stock-3")
        (self.fleet.folder / "stock-3.events").unlink()
        self.assertEqual(await self.account(told["request"]), first)
        await self.restart("stock-3")
        self.assertEqual(await self.account(told["request"]), first)

    async def test_the_time_line_has_accepted_before_applied(self) -> None:
        """Live processes and files agree on the version's events, in order."""
        live = await self.complete_time_line()
        kinds = [event["kind"] for event in live["events"]]
        self.assertEqual(kinds[0], "accepted")
        applied = {event["host"] for event in live["events"] if event["kind"] == "applied"}
        self.assertEqual(applied, set(HOSTS))
        files = [f"--file={self.fleet.folder / f'{host}.events'}" for host in HOSTS]
        arguments = ["timeline", "--version", "1", "--output", "json", *files]
        give_up = time.monotonic() + PATIENCE_S
        while True:
            # Events are written beside what recorded them, a moment later.
            read = json.loads(await asyncio.to_thread(self.fleet.command, *arguments))
            if read["events"] == live["events"] or time.monotonic() > give_up:
                break
        self.assertEqual(read["events"], live["events"])

    async def complete_time_line(self) -> dict[str, Any]:
        """Return the time line of version 1, once each process has told what it does with it."""
        wanted = {("accepted", host) for host in self.fleet.replicas}
        wanted |= {("applied", host) for host in HOSTS}
        give_up = time.monotonic() + PATIENCE_S
        while True:
            text = await self.command("timeline", "--version", "1", "--output", "json")
            form: dict[str, Any] = json.loads(text)
            told = {(event["kind"], event["host"]) for event in form["events"]}
            if told >= wanted or time.monotonic() > give_up:
                return form

    async def test_every_documented_metric_is_told(self) -> None:
        """After a call and a refusal, a process with both roles has a value for each."""
        await self.refused("stock-1")
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.fleet.address('stock-1', 'callers')}/stock/7"
            async with session.get(url) as answer:
                self.assertEqual(answer.status, 200)
            found: set[str] = set()
            for host in HOSTS:
                url = f"http://{self.fleet.address(host, 'operators')}/metrics"
                async with session.get(url) as answer:
                    found |= {family.name for family in parse(await answer.text())}
        self.assertLessEqual({family.name for family in FAMILIES}, found)

    async def test_drain_ends_one_process_and_status_and_debug_tell(self) -> None:
        """A drained process exits with 0; the others are told apart from it."""
        debug = json.loads(await self.command("debug", "--host", "stock-2", "--output", "json"))
        self.assertEqual((debug["host"], debug["settings"]["host"]), ("stock-2", "stock-2"))
        self.assertGreater(debug["memory"]["resident_bytes"], 1 << 20)
        self.assertGreater(debug["peer_connections"]["/members"], 0)
        self.assertIn("ended", await self.command("drain", "stock-3"))
        self.assertEqual(self.fleet.wait_daemon("stock-3"), 0)
        status = json.loads(await self.command("status", "--output", "json"))
        states = {member["host"]: member["state"] for member in status["members"]}
        self.assertNotEqual(states["stock-3"], "up")
        self.assertEqual(states["stock-1"], "up")
        table = (await self.command("status")).splitlines()
        self.assertEqual(len(table), 2 + len(HOSTS))
        self.assertNotIn("\x1b", "".join(table))
        await self.restart("stock-3")


if __name__ == "__main__":
    unittest.main()
