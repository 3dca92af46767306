"""Tests of the whole path, over real processes."""

import asyncio
import json
import unittest
from collections import Counter

from tools.demo import PATHS, drive
from tools.fleet import EXAMPLES, Fleet, example_hosts


class PathTest(unittest.IsolatedAsyncioTestCase):
    """From a worker's announcement to a caller's answer."""

    async def asyncSetUp(self) -> None:
        """Start the hosts of one deployment."""
        self.fleet = Fleet(hosts=example_hosts("quiros"))
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.fleet.until_leader()
        await self.fleet.until_members(len(self.fleet.hosts))

    async def apply(self, *options: str) -> dict[str, object]:
        """Apply the deployment's resources and return the answer."""
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        path = str(EXAMPLES / "quiros" / "resources.toml")
        text = await asyncio.to_thread(self.fleet.command, "apply", "-f", path, *servers, *options)
        answer: dict[str, object] = json.loads(text)
        return answer

    async def test_a_change_comes_into_force_and_calls_are_served(self) -> None:
        """Every proxy serves every service, each call once."""
        before = await drive(self.fleet, self.fleet.alive, PATHS["quiros"], 16)
        self.assertEqual({item.code for item in before}, {"no-configuration"})
        answer = await self.apply()
        self.assertEqual((answer["outcome"], answer["version"]), ("accepted", 1))
        await self.fleet.until_in_force(1, self.fleet.alive)
        sent = await drive(self.fleet, self.fleet.alive, PATHS["quiros"], 200)
        self.assertEqual({item.status for item in sent}, {200})
        ran = Counter(line["mark"] for line in self.fleet.ledger())
        self.assertEqual(ran, Counter(item.mark for item in sent))

    async def test_a_resent_operation_is_not_run_twice(self) -> None:
        """The second answer is the first one again."""
        first = await self.apply("--operation-id", "mine", "--based-on", "0")
        second = await self.apply("--operation-id", "mine", "--based-on", "0")
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
