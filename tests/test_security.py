"""Tests that the listeners for operators and peers require the token."""

import asyncio
import unittest

import aiohttp

from cowslipvane.client import Client, Unreachable
from cowslipvane.events import HybridClock
from cowslipvane.membership import Exchange, ExchangeReply, Hello
from cowslipvane.settings import Token
from cowslipvane.tasks.peers import _gossip  # noqa: F401  # Registers the messages.
from cowslipvane.types import Address, DataCentre, HostName
from cowslipvane.wire import LinkClosed, LinkIdentity, Traffic, connect, link_identity
from tools.fleet import Fleet, example_hosts

SECRET = "a-secret-of-the-test-7f3a"
HOSTS = ("stock-1", "stock-2", "stock-3")


class SecurityTest(unittest.IsolatedAsyncioTestCase):
    """Three processes with a token."""

    async def asyncSetUp(self) -> None:
        """Start the processes."""
        hosts = [host for host in example_hosts("quiros") if host.name in HOSTS]
        self.fleet = Fleet(hosts=hosts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        path = self.fleet.folder / "token"
        path.write_text(SECRET + "\n")
        for host in self.fleet.hosts.values():
            host.settings["security"] = {"token_file": str(path)}
        self.fleet.create()
        self.fleet.start()

    def client(self, *servers: str, token: str | None = SECRET) -> Client:
        """Return a client that sends a token."""
        credential = Token(value=token) if token else None
        return Client(servers=servers or self.fleet.operators(), token=credential)

    async def until_members(self) -> None:
        """Wait until the processes know each other and their workers, and there is a leader."""
        for _ in range(200):
            try:
                async with self.client() as client:
                    status = await client.status()
                served = [member for member in status["members"] if member["service"]]
                if len(served) == len(HOSTS) and status["replica"]["holds_lease"]:
                    return
            except Unreachable:
                pass
            await asyncio.sleep(0.1)
        self.fail("the processes did not discover each other in time")

    async def exchange(self, token: str | None) -> object:
        """Return the response to an exchange from a peer with a token."""
        credential = Token(value=token) if token else None
        link_identity.set(LinkIdentity(HybridClock(), credential, Traffic()))
        ip, _, port = self.fleet.address("stock-1", "peers").rpartition(":")
        async with connect(Address(ip, int(port)), "/members") as link:
            await link.send(Hello(sender=HostName("x"), data_centre=DataCentre("x")))
            await link.send(Exchange(digest=0, members=()))
            return await link.receive()

    async def test_token_is_required_everywhere_and_never_written(self) -> None:
        """Operators, peers and redirects work only with the token."""
        await self.until_members()
        for wrong in (None, SECRET[:-1], SECRET + "x", "ü" * 20):
            if wrong is None or wrong.isascii():
                with self.assertRaises(LinkClosed):
                    await self.exchange(wrong)
            async with aiohttp.ClientSession() as session:
                headers = {"Authorization": f"Bearer {wrong}"} if wrong else {}
                for path in ("status", "events", "debug", "metrics", "resources", "nothing"):
                    url = f"http://{self.fleet.address('stock-1', 'operators')}/v1/{path}"
                    async with session.get(url, headers=headers) as response:
                        self.assertEqual(response.status, 401, path)
        self.assertIsInstance(await self.exchange(SECRET), ExchangeReply)
        for host in HOSTS:
            async with self.client(self.fleet.address(host, "operators")) as client:
                self.assertEqual((await client.resources())["version"], 0)
                debug = await client.request("GET", "/v1/debug")
                self.assertNotIn(SECRET, str(debug))
        await asyncio.sleep(0.5)
        # Each host has three files: events (.events), and the standard error (.err) of its daemon
        # and of its worker.
        written = [path.read_text() for path in self.fleet.folder.glob("*.e*")]
        self.assertEqual(len(written), 9)
        self.assertNotIn(SECRET, "".join(written))


if __name__ == "__main__":
    unittest.main()
