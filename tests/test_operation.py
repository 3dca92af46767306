"""Tests of operation over real processes: explanations, time line, bad input."""

import asyncio
import json
import unittest

import aiohttp

from tools.fleet import EXAMPLES, Fleet, example_hosts

HOSTS = ("stock-1", "stock-2", "stock-3")


class OperationTest(unittest.IsolatedAsyncioTestCase):
    """Three processes with one configuration in force."""

    async def asyncSetUp(self) -> None:
        """Start the processes and apply the resources."""
        hosts = [host for host in example_hosts("quiros") if host.name in HOSTS]
        self.fleet = Fleet(hosts=hosts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.fleet.until_leader()
        await self.fleet.until_members(len(HOSTS))
        self.servers = [
            part for address in self.fleet.operators() for part in ("--server", address)
        ]
        path = str(EXAMPLES / "quiros" / "resources.toml")
        await self.command("apply", "-f", path)
        await self.fleet.until_in_force(1, self.fleet.alive)

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
        self.fleet.start_daemon("stock-3")
        await self.fleet.until_in_force(1, HOSTS)
        self.assertEqual(await self.account(told["request"]), first)

    async def test_the_time_line_has_accepted_before_applied(self) -> None:
        """Live processes and files agree on the version's events, in order."""
        live = json.loads(await self.command("timeline", "--version", "1", "--output", "json"))
        kinds = [event["kind"] for event in live["events"]]
        self.assertEqual(kinds[0], "accepted")
        self.assertEqual(kinds.count("applied"), len(HOSTS))
        await asyncio.sleep(0.5)
        files = [f"--file={self.fleet.folder / f'{host}.events'}" for host in HOSTS]
        arguments = ["timeline", "--version", "1", "--output", "json", *files]
        read = json.loads(await asyncio.to_thread(self.fleet.command, *arguments))
        self.assertEqual(read["events"], live["events"])

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


if __name__ == "__main__":
    unittest.main()
