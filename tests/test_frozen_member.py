"""Tests of processes that stand still, over real processes."""

import asyncio
import signal
import time
import unittest
from typing import Any

import aiohttp

from tools.fleet import Fleet, example_hosts

TIMEOUT_S = 15.0


class FrozenMemberTest(unittest.IsolatedAsyncioTestCase):
    """A proxy that neither answers nor closes its connections."""

    async def asyncSetUp(self) -> None:
        """Start five hosts of one data centre."""
        names = ["stock-1", "stock-2", "stock-3", "loading-1", "billing-1"]
        hosts = [host for host in example_hosts("quiros") if host.name in names]
        hosts = [host._replace(settings={**host.settings, "data_centre": "one"}) for host in hosts]
        # Without a worker that announces itself anew, only a contradiction brings a proxy back.
        hosts = [host._replace(worker={}) if host.name == "billing-1" else host for host in hosts]
        self.fleet = Fleet(hosts=hosts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.until("stock-1", lambda seen: sum(self.alive(seen).values()) == len(names))

    async def until(self, host: str, holds: Any) -> dict[str, Any]:
        """Return a host's status once something holds of it."""
        give_up = time.monotonic() + TIMEOUT_S
        url = f"http://{self.fleet.address(host, 'operators')}/status"
        status: dict[str, Any] = {}
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < give_up:
                try:
                    async with session.get(url) as response:
                        status = await response.json()
                    if holds(status):
                        return status
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)
        raise TimeoutError(f"{host} never saw it; last seen: {status}")

    def alive(self, status: dict[str, Any]) -> dict[str, bool]:
        """Return which members a status calls alive."""
        return {member["host"]: member["alive"] for member in status["members"]}

    async def test_a_frozen_and_a_killed_proxy_come_back(self) -> None:
        """Both die for the others, and are known again once they run."""
        self.fleet.signal_daemon("billing-1", signal.SIGSTOP)
        self.fleet.kill("loading-1")
        lost = {"billing-1", "loading-1"}
        await self.until("stock-1", lambda seen: not lost & set(self.alive(seen)))
        self.fleet.signal_daemon("billing-1", signal.SIGCONT)
        self.fleet.start("loading-1")
        for host in self.fleet.hosts:
            # The proxy that stood still doesn't bury the others either.
            seen = await self.until(host, lambda seen: sum(self.alive(seen).values()) == 5)
            self.assertEqual({member["state"] for member in seen["members"]}, {"up"})

    async def test_a_frozen_worker_is_taken_out_and_comes_back(self) -> None:
        """Its proxy stays a member, and tells the others that it serves nothing."""
        self.fleet.signal_worker("stock-2", signal.SIGSTOP)
        seen = await self.until("stock-1", lambda seen: self.service(seen, "stock-2") == "")
        self.assertTrue(self.alive(seen)["stock-2"])
        self.fleet.signal_worker("stock-2", signal.SIGCONT)
        await self.until("stock-1", lambda seen: self.service(seen, "stock-2") == "stock")

    def service(self, status: dict[str, Any], host: str) -> str:
        """Return the service that a member serves."""
        return next(str(item["service"]) for item in status["members"] if item["host"] == host)

    async def test_a_drained_proxy_is_leaving_for_all(self) -> None:
        """Each of the others learns of its leave."""
        url = f"http://{self.fleet.address('stock-3', 'operators')}/drain"
        async with aiohttp.ClientSession() as session, session.post(url) as response:
            self.assertEqual((await response.json())["state"], "leaving")
        give_up = time.monotonic() + TIMEOUT_S
        others = set(self.fleet.hosts) - {"stock-3"}
        while time.monotonic() < give_up:
            if self.told_of_leave("stock-3") == others:
                return
            await asyncio.sleep(0.1)
        self.fail(f"only {self.told_of_leave('stock-3')} were told")

    def told_of_leave(self, host: str) -> set[str]:
        """Return the hosts whose events say that a host is leaving."""
        return {
            event["host"]
            for event in self.fleet.events()
            if event["kind"] == "member"
            and (event["detail"]["member"], event["detail"]["state"]) == (host, "leaving")
        }


if __name__ == "__main__":
    unittest.main()
