"""Tests of the callers' side, over real processes."""

import unittest

import aiohttp

from tools.fleet import EXAMPLES, Fleet, example_hosts


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """What passes between a caller and an upstream."""

    async def asyncSetUp(self) -> None:
        """Start one worker behind three replicas, with the deployment's resources."""
        hosts = [host for host in example_hosts("quiros") if host.is_replica]
        hosts = [host if host.name == "stock-1" else host._replace(worker={}) for host in hosts]
        self.fleet = Fleet(hosts=hosts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.fleet.until_leader()
        await self.fleet.until_members(1)
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        resources = str(EXAMPLES / "quiros" / "resources.toml")
        self.fleet.command("apply", "-f", resources, *servers)
        await self.fleet.until_in_force(1, self.fleet.alive)

    def url(self, host: str) -> str:
        """Return the URL of the upstream through a host's proxy."""
        return f"http://{self.fleet.address(host, 'callers')}/stock/7"

    async def test_a_cookie_stays_with_its_caller(self) -> None:
        """An upstream's cookie for one caller isn't sent for another."""
        jar = aiohttp.DummyCookieJar()
        async with aiohttp.ClientSession(cookie_jar=jar) as session:
            headers = {"X-Set-Cookie": "who=first"}
            async with session.get(self.url("stock-1"), headers=headers) as first:
                self.assertEqual(first.headers["Set-Cookie"], "who=first")
            async with session.get(self.url("stock-1")) as second:
                self.assertEqual((await second.json())["cookie"], "")

    async def test_an_answer_names_the_owner(self) -> None:
        """A caller learns which proxy serves it without a hop."""
        async with aiohttp.ClientSession() as session, session.get(self.url("stock-2")) as answer:
            owner = answer.headers["X-Cowslipvane-Owner"]
            self.assertEqual(owner, self.fleet.address("stock-1", "callers"))


if __name__ == "__main__":
    unittest.main()
