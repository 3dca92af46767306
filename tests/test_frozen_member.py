"""Tests of stopped processes: they are suspected, and return once they run again."""

import asyncio
import signal
import time
import unittest
from typing import Any

import aiohttp

from tools.fleet import Fleet, example_hosts

TIMEOUT_SECONDS = 15.0


class FrozenMemberTest(unittest.IsolatedAsyncioTestCase):
    """Five processes of one data centre, some of which are drained, killed or stopped.

    A stopped process neither answers nor closes its connections.
    """

    async def asyncSetUp(self) -> None:
        """Start the hosts, and wait until one knows all of them."""
        names = ["stock-1", "stock-2", "stock-3", "loading-1", "billing-1"]
        hosts = [host for host in example_hosts("quiros") if host.name in names]
        hosts = [host._replace(settings={**host.settings, "data_centre": "one"}) for host in hosts]
        # Without worker announcements, only a refuted suspicion can make this proxy alive again.
        hosts = [host._replace(worker={}) if host.name == "billing-1" else host for host in hosts]
        self.fleet = Fleet(hosts=hosts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.wait_for(
            "stock-1", lambda status: sum(self.alive(status).values()) == len(names)
        )

    async def wait_for(self, host: str, condition: Any) -> dict[str, Any]:
        """Return a host's status once a condition holds for it."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        url = f"http://{self.fleet.address(host, 'operators')}/status"
        status: dict[str, Any] = {}
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                try:
                    async with session.get(url) as response:
                        status = await response.json()
                    if condition(status):
                        return status
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)
        raise TimeoutError(f"{host} never met the condition; last status: {status}")

    def alive(self, status: dict[str, Any]) -> dict[str, bool]:
        """Return whether each member of a status is alive."""
        return {member["host"]: member["alive"] for member in status["members"]}

    async def test_a_stopped_and_a_killed_proxy_return(self) -> None:
        """The others mark both dead, and alive again once they run."""
        self.fleet.signal_daemon("billing-1", signal.SIGSTOP)
        self.fleet.kill("loading-1")
        unavailable = {"billing-1", "loading-1"}
        await self.wait_for("stock-1", lambda status: not unavailable & set(self.alive(status)))
        self.fleet.signal_daemon("billing-1", signal.SIGCONT)
        self.fleet.start("loading-1")
        for host in self.fleet.hosts:
            # The proxy that was stopped must not mark the others dead either.
            status = await self.wait_for(host, lambda status: sum(self.alive(status).values()) == 5)
            self.assertEqual({member["state"] for member in status["members"]}, {"up"})

    async def test_a_stopped_worker_is_removed_and_returns(self) -> None:
        """Its proxy stays a member, and announces to the others that it serves nothing."""
        self.fleet.signal_worker("stock-2", signal.SIGSTOP)
        status = await self.wait_for(
            "stock-1", lambda status: self.service(status, "stock-2") == ""
        )
        self.assertTrue(self.alive(status)["stock-2"])
        self.fleet.signal_worker("stock-2", signal.SIGCONT)
        await self.wait_for("stock-1", lambda status: self.service(status, "stock-2") == "stock")

    def service(self, status: dict[str, Any], host: str) -> str:
        """Return the service that a member serves."""
        return next(str(item["service"]) for item in status["members"] if item["host"] == host)

    async def test_all_members_learn_that_a_drained_proxy_is_leaving(self) -> None:
        """Each of the others records a member event for it."""
        url = f"http://{self.fleet.address('stock-3', 'operators')}/drain"
        async with aiohttp.ClientSession() as session, session.post(url) as response:
            self.assertEqual((await response.json())["state"], "leaving")
        deadline = time.monotonic() + TIMEOUT_SECONDS
        others = set(self.fleet.hosts) - {"stock-3"}
        while time.monotonic() < deadline:
            if self.informed_of_leave("stock-3") == others:
                return
            await asyncio.sleep(0.1)
        self.fail(f"only {self.informed_of_leave('stock-3')} learned of it")

    def informed_of_leave(self, host: str) -> set[str]:
        """Return the hosts that recorded that a host is leaving."""
        return {
            event["host"]
            for event in self.fleet.events()
            if event["kind"] == "member"
            and (event["detail"]["member"], event["detail"]["state"]) == (host, "leaving")
        }


if __name__ == "__main__":
    unittest.main()
