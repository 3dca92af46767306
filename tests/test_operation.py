"""Tests of operation with real processes: explanation, timeline, metrics, drain."""

import asyncio
import json
import time
import unittest
from pathlib import Path
from typing import Any

import aiohttp
from prometheus_client.parser import text_string_to_metric_families as parse

from cowslipvane.metrics import FAMILIES
from tests.three_hosts_case import (
    HOSTS,
    QUOTA,
    TEAM_KEY,
    TEAM_PATH,
    ThreeHostsTestCase,
    team_resources,
)

TIMEOUT_S = 20.0


class OperationTest(ThreeHostsTestCase):
    """Three processes with one configuration in force."""

    @classmethod
    def resources(cls) -> Path:
        """Return the example's resources with a team."""
        return cls.write_resources(super().resources().read_text() + team_resources(QUOTA))

    async def restart(self, host: str) -> None:
        """Start a daemon that has ended, and wait until it has applied the configuration."""
        started_at = time.time()
        self.fleet.start_daemon(host)
        for _ in range(200):
            async with self.fleet.client() as client:
                reports = (await client.status()).get("replica", {}).get("reports", [])
            if any(
                report["host"] == host and report["applied_at"] > started_at for report in reports
            ):
                return
            await asyncio.sleep(0.1)
        self.fail(f"{host} did not apply the configuration after its restart")

    async def command(self, *arguments: str) -> str:
        """Run a command against the servers of the fleet."""
        return await asyncio.to_thread(self.fleet.command, *arguments, *self.servers)

    async def provoke_refusal(self, host: str) -> dict[str, str]:
        """Send a request without a route to a host's proxy, and return its refusal."""
        url = f"http://{self.fleet.address(host, 'callers')}/nothing/here?secret=1"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            form: dict[str, str] = await response.json()
            return form

    async def account(self, request: str) -> dict[str, object]:
        """Return the account of a request, without its events."""
        account: dict[str, object] = json.loads(
            await self.command("explain", request, "--output", "json")
        )
        del account["events"]
        return account

    async def test_a_refusal_is_explained_after_its_proxy_was_killed(self) -> None:
        """The copy at another process serves while the proxy is down and after it lost its file."""
        refusal = await self.provoke_refusal("stock-3")
        first = await self.account(refusal["request"])
        self.assertEqual(first["sentence"], refusal["sentence"])
        self.assertEqual(first["asked"], "GET /nothing/here")
        await asyncio.sleep(1.0)
        self.fleet.kill_daemon("stock-3")
        (self.fleet.folder / "stock-3.events").unlink()
        self.assertEqual(await self.account(refusal["request"]), first)
        await self.restart("stock-3")
        self.assertEqual(await self.account(refusal["request"]), first)

    async def test_the_timeline_has_accepted_before_applied(self) -> None:
        """Processes and event files yield the same events of a version in the same order."""
        # A test that deletes an event file deletes 'accepted' events of earlier versions with it.
        version = await self.apply_new_version()
        from_processes = await self.complete_timeline(version)
        kinds = [event["kind"] for event in from_processes["events"]]
        self.assertEqual(kinds[0], "accepted")
        applied = {
            event["host"] for event in from_processes["events"] if event["kind"] == "applied"
        }
        self.assertEqual(applied, set(HOSTS))
        files = [f"--file={self.fleet.folder / f'{host}.events'}" for host in HOSTS]
        arguments = ["timeline", "--version", str(version), "--output", "json", *files]
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            # Events are written to the files asynchronously, after they are recorded.
            from_files = json.loads(await asyncio.to_thread(self.fleet.command, *arguments))
            if from_files["events"] == from_processes["events"] or time.monotonic() > deadline:
                break
        self.assertEqual(from_files["events"], from_processes["events"])

    async def apply_new_version(self) -> int:
        """Apply the resources again, and return the version that this creates."""
        response = json.loads(await self.command("apply", "-f", str(self.resources())))
        self.assertEqual(response["outcome"], "accepted")
        return int(response["version"])

    async def complete_timeline(self, version: int) -> dict[str, Any]:
        """Return the timeline of a version once it is complete, or after the timeout."""
        arguments = ["timeline", "--version", str(version), "--output", "json"]
        expected = {("accepted", host) for host in self.fleet.replicas}
        expected |= {("applied", host) for host in HOSTS}
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            form: dict[str, Any] = json.loads(await self.command(*arguments))
            recorded = {(event["kind"], event["host"]) for event in form["events"]}
            if recorded >= expected or time.monotonic() > deadline:
                return form

    async def test_every_documented_metric_is_exported(self) -> None:
        """After two calls and a refusal, the processes together export each metric family."""
        await self.provoke_refusal("stock-1")
        async with aiohttp.ClientSession() as session:
            # Requests are counted by team, too.
            headers = {"Authorization": f"Bearer {TEAM_KEY}"}
            for path in ("/stock/7", TEAM_PATH):
                url = f"http://{self.fleet.address('stock-1', 'callers')}{path}"
                async with session.get(url, headers=headers) as response:
                    self.assertEqual(response.status, 200)
            exported: set[str] = set()
            for host in HOSTS:
                url = f"http://{self.fleet.address(host, 'operators')}/metrics"
                async with session.get(url) as response:
                    exported |= {family.name for family in parse(await response.text())}
        self.assertLessEqual({family.name for family in FAMILIES}, exported)

    async def test_drain_ends_one_process_as_status_and_debug_show(self) -> None:
        """The drained process exits with 0 and isn't up any more; another one stays up."""
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
