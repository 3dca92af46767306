"""Tests that the procedure in docs/OPERATIONS.md finds the cause of a failure by request id.

Each test causes one kind of failed or late request on real processes, and then uses only their
event files, as an engineer on call would.
"""

import asyncio
import json
import time
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from cowslipvane.access import key_digest
from tests.three_hosts_case import (
    HOSTS,
    TEAM,
    TEAM_KEY,
    TEAM_PATH,
    TEAM_ROUTE,
    ThreeHostsTestCase,
    team_resources,
)
from tools.fleet import Host

EVENT_TIMEOUT_S = 20.0
# The only upstream is on the first host, so that the second host dispatches its calls to the first.
OWNER, ENTRY_PROXY = "stock-1", "stock-2"
SLOTS = 1
# Latency goal of the route.
GOAL_S = 0.2
# Factor on the 2 ms that a call takes at the stand-in worker.
WORK_FACTOR = 300
# A key that no team has.
OTHER_KEY = "key-of-nobody"


class OperationsPageTest(ThreeHostsTestCase):
    """One slow upstream with one slot, behind a route with a latency goal."""

    @classmethod
    def customize_host(cls, host: Host) -> Host:
        """Return the owner with a worker that has one slot, and other hosts without a worker."""
        worker = {**host.worker, "slots": SLOTS} if host.name == OWNER else {}
        return host._replace(worker=worker)

    @classmethod
    def resources(cls) -> Path:
        """Return the example's resources with a goal for the route, and with a team."""
        text = super().resources().read_text()
        route = 'path_prefix = "/stock", '
        assert route in text
        text = text.replace(route, f"{route}goal = {GOAL_S}, ")
        return cls.write_resources(text + team_resources())

    async def call(
        self, session: aiohttp.ClientSession, path: str = "/stock/7", **headers: str
    ) -> tuple[int, str]:
        """Send a call through the entry proxy, and return its status and request id."""
        url = f"http://{self.fleet.address(ENTRY_PROXY, 'callers')}{path}"
        async with session.get(url, headers=headers) as response:
            await response.read()
            return response.status, response.headers["X-Request-Id"]

    def event_files(self) -> list[Path]:
        """Return the event files of all processes."""
        return [self.fleet.folder / f"{host}.events" for host in HOSTS]

    async def account(self, request: str, kind: str) -> dict[str, Any]:
        """Return the account of a request, once the files hold an event of that kind for it."""
        arguments = [f"--file={path}" for path in self.event_files()]
        deadline = time.monotonic() + EVENT_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                text = await asyncio.to_thread(
                    self.fleet.command, "explain", request, "--output", "json", *arguments
                )
            except RuntimeError:
                continue
            account: dict[str, Any] = json.loads(text)
            if any(event["kind"] == kind for event in account["events"]):
                return account
        raise AssertionError(f"no event of kind {kind} for request {request} in the event files")

    def event(self, account: dict[str, Any], kind: str) -> dict[str, Any]:
        """Return the only event of a kind."""
        (event,) = [event for event in account["events"] if event["kind"] == kind]
        return dict(event)

    async def test_a_refusal_under_overload_names_the_owner_and_its_load(self) -> None:
        """The refusal event names the owner that was tried and the load that it reported."""
        async with aiohttp.ClientSession() as session:
            # The owner measures the service time of this call, and then refuses calls that would
            # miss the goal.
            await self.call(session, **{"X-Work-Times": str(WORK_FACTOR)})
            calls = [self.call(session, **{"X-Work-Times": str(WORK_FACTOR)}) for _ in range(8)]
            refused = [id_ for status, id_ in await asyncio.gather(*calls) if status == 503]
        self.assertTrue(refused)
        account = await self.account(refused[0], "refusal")
        self.assertEqual(account["verdict"], "not run")
        detail = self.event(account, "refusal")["detail"]
        self.assertEqual(detail["code"], "overloaded")
        self.assertEqual((detail["tried"], detail["in_force"]), (OWNER, "1"))
        self.assertRegex(detail["load"], rf"^1 running and \d+ waiting for {SLOTS} slots$")

    async def test_a_lost_response_names_the_owner_and_the_reason(self) -> None:
        """The owner's event for the request records that the worker broke off its response."""
        async with aiohttp.ClientSession() as session:
            status, request = await self.call(session, **{"X-Break-After": "10"})
        self.assertEqual(status, 502)
        account = await self.account(request, "lost")
        self.assertEqual(account["verdict"], "may have run")
        lost = self.event(account, "lost")
        self.assertEqual(lost["host"], OWNER)
        self.assertIn("AnswerBroken", lost["detail"]["reason"])

    async def test_a_late_response_names_the_slow_upstream(self) -> None:
        """The event of a response after its goal records the owner and the time that it took."""
        async with aiohttp.ClientSession() as session:
            headers = {"X-Work-Times": str(WORK_FACTOR)}
            status, request = await self.call(session, **headers)
        self.assertEqual(status, 200)
        account = await self.account(request, "late")
        detail = self.event(account, "late")["detail"]
        self.assertEqual((detail["owner"], detail["goal"]), (OWNER, f"{GOAL_S:.3f}"))
        self.assertGreater(float(detail["took"]), GOAL_S)
        self.assertIn(f"after {detail['took']} s", account["sentence"])

    async def test_a_refusal_for_a_key_names_the_fault_the_route_and_the_version(self) -> None:
        """The files have the key nowhere, nor its digest."""
        shown = {
            "key-missing": {},
            "key-unreadable": {"Authorization": OTHER_KEY},
            "key-unknown": {"Authorization": f"Bearer {OTHER_KEY}"},
        }
        async with aiohttp.ClientSession() as session:
            for code, headers in shown.items():
                status, request = await self.call(session, TEAM_PATH, **headers)
                self.assertEqual(status, 401)
                account = await self.account(request, "refusal")
                self.assertEqual(
                    account["decision"], f"refused as {code} by route {TEAM_ROUTE} of version 1"
                )
                self.assertEqual(account["verdict"], "not run")
                self.assertEqual(self.event(account, "refusal")["host"], ENTRY_PROXY)
            status, request = await self.call(
                session, TEAM_PATH, Authorization=f"Bearer {TEAM_KEY}"
            )
        self.assertEqual(status, 200)
        account = await self.account(request, "attempt")
        detail = self.event(account, "attempt")["detail"]
        self.assertEqual((detail["team"], detail["credentials"]), (TEAM, "none"))
        logged = "".join(path.read_text() for path in self.event_files())
        for key in (TEAM_KEY, OTHER_KEY):
            self.assertNotIn(key, logged)
            self.assertNotIn(key_digest(key), logged)


if __name__ == "__main__":
    unittest.main()
