"""Tests that docs/OPERATIONS.md leads from a request's id to its cause, over real processes' files.

Each test makes one kind of failed request, and then has only the event files, as an engineer has.
"""

import asyncio
import json
import time
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from tests.three_hosts_case import HOSTS, ThreeHostsTestCase
from tools.fleet import Host

PATIENCE_S = 20.0
# The only upstream is on the first host, so that calls which enter at the second cross over.
OWNER, ENTRY = "stock-1", "stock-2"
SLOTS = 1
GOAL_S = 0.2
# A call takes this many times the stand-in's 2 ms.
SLOW_TIMES = 300


class OperationsPageTest(ThreeHostsTestCase):
    """One slow upstream with one slot, behind a route that has a goal."""

    @classmethod
    def customize_host(cls, host: Host) -> Host:
        """Return a host with the one upstream, or with none."""
        worker = {**host.worker, "slots": SLOTS} if host.name == OWNER else {}
        return host._replace(worker=worker)

    @classmethod
    def resources(cls) -> Path:
        """Return the example's resources with a goal for the route."""
        text = super().resources().read_text()
        route = 'path_prefix = "/stock", '
        assert route in text
        path = cls.fleet.folder / "resources.toml"
        path.write_text(text.replace(route, f"{route}goal = {GOAL_S}, "))
        return path

    async def call(self, session: aiohttp.ClientSession, **headers: str) -> tuple[int, str]:
        """Send a call through the entry and return the answer's status and the request's id."""
        url = f"http://{self.fleet.address(ENTRY, 'callers')}/stock/7"
        async with session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status, answer.headers["X-Request-Id"]

    def files(self) -> list[Path]:
        """Return the event files of all processes."""
        return [self.fleet.folder / f"{host}.events" for host in HOSTS]

    async def account(self, request: str, wanted: str) -> dict[str, Any]:
        """Return what the files tell of a request, once they hold an event of a kind."""
        arguments = [f"--file={path}" for path in self.files()]
        give_up = time.monotonic() + PATIENCE_S
        while time.monotonic() < give_up:
            try:
                text = await asyncio.to_thread(
                    self.fleet.command, "explain", request, "--output", "json", *arguments
                )
            except RuntimeError:
                continue
            account: dict[str, Any] = json.loads(text)
            if any(event["kind"] == wanted for event in account["events"]):
                return account
        raise AssertionError(f"the files hold no {wanted} of {request}")

    def event(self, account: dict[str, Any], kind: str) -> dict[str, Any]:
        """Return the one event of a kind."""
        (event,) = [event for event in account["events"] if event["kind"] == kind]
        return dict(event)

    async def test_a_refusal_at_a_crest_leads_to_the_owner_and_its_load(self) -> None:
        """Its event names the owner that was tried, and how busy that was."""
        async with aiohttp.ClientSession() as session:
            # The owner learns how long this takes, and then what can't reach its goal.
            await self.call(session, **{"X-Work-Times": str(SLOW_TIMES)})
            calls = [self.call(session, **{"X-Work-Times": str(SLOW_TIMES)}) for _ in range(8)]
            refused = [id_ for status, id_ in await asyncio.gather(*calls) if status == 503]
        self.assertTrue(refused)
        account = await self.account(refused[0], "refusal")
        self.assertEqual(account["verdict"], "not run")
        told = self.event(account, "refusal")["detail"]
        self.assertEqual(told["code"], "overloaded")
        self.assertEqual((told["tried"], told["in_force"]), (OWNER, "1"))
        self.assertRegex(told["load"], rf"^1 running and \d+ waiting for {SLOTS} slots$")

    async def test_an_answer_that_was_lost_leads_to_the_owner_and_the_reason(self) -> None:
        """The owner's event of the same request says what became of the connection."""
        async with aiohttp.ClientSession() as session:
            status, request = await self.call(session, **{"X-Break-After": "10"})
        self.assertEqual(status, 502)
        account = await self.account(request, "lost")
        self.assertEqual(account["verdict"], "may have run")
        lost = self.event(account, "lost")
        self.assertEqual(lost["host"], OWNER)
        self.assertIn("AnswerBroken", lost["detail"]["reason"])

    async def test_a_late_answer_leads_to_the_slow_upstream(self) -> None:
        """Its event tells how long it took, by which owner, and how busy that was."""
        async with aiohttp.ClientSession() as session:
            times = {"X-Work-Times": str(SLOW_TIMES)}
            status, request = await self.call(session, **times)
        self.assertEqual(status, 200)
        account = await self.account(request, "late")
        told = self.event(account, "late")["detail"]
        self.assertEqual((told["owner"], told["goal"]), (OWNER, f"{GOAL_S:.3f}"))
        self.assertGreater(float(told["took"]), GOAL_S)
        self.assertIn(f"after {told['took']} s", account["sentence"])


if __name__ == "__main__":
    unittest.main()
