"""End-to-end tests over real processes: from worker announcements to the responses to callers."""

import asyncio
import json
import unittest
from collections import Counter

from tools.demo import PATHS, drive
from tools.fleet import EXAMPLES, Fleet, example_hosts


class PathTest(unittest.IsolatedAsyncioTestCase):
    """The hosts of one example deployment, each with a stand-in worker."""

    async def asyncSetUp(self) -> None:
        """Start the processes, and wait for a leader and all workers."""
        self.fleet = Fleet(hosts=example_hosts("quiros"))
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.fleet.until_leader()
        await self.fleet.until_workers(len(self.fleet.hosts))

    async def apply(self, *options: str) -> dict[str, object]:
        """Apply the deployment's resources and return the response."""
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        path = str(EXAMPLES / "quiros" / "resources.toml")
        text = await asyncio.to_thread(self.fleet.command, "apply", "-f", path, *servers, *options)
        response: dict[str, object] = json.loads(text)
        return response

    async def test_calls_are_served_once_a_change_is_in_force(self) -> None:
        """Proxies refuse calls before the first version, then serve all, each run exactly once."""
        refused = await drive(self.fleet, self.fleet.alive, PATHS["quiros"], 16)
        self.assertEqual({item.code for item in refused}, {"no-configuration"})
        response = await self.apply()
        self.assertEqual((response["outcome"], response["version"]), ("accepted", 1))
        await self.fleet.until_in_force(1, self.fleet.alive)
        sent = await drive(self.fleet, self.fleet.alive, PATHS["quiros"], 200)
        self.assertEqual({item.status for item in sent}, {200})
        ran = Counter(line["mark"] for line in self.fleet.ledger())
        self.assertEqual(ran, Counter(item.mark for item in sent))

    async def test_a_resent_operation_is_applied_once(self) -> None:
        """The second request with the same operation id gets the first response again."""
        first = await self.apply("--operation-id", "mine", "--based-on", "0")
        second = await self.apply("--operation-id", "mine", "--based-on", "0")
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
