"""Histories through lost disks and changes of the group, over real processes."""

import asyncio
import shutil
import unittest

from cowslipvane.client import Unreachable
from tests.histories import HistoryTest


class RepairTest(HistoryTest):
    """Three replicas that lose disks, and are replaced, removed and added."""

    async def lose_disk(self, host: str, change: str = "replace") -> None:
        """Kill a replica, empty its folder, and take it in under a new identity."""
        self.fleet.kill_daemon(host)
        shutil.rmtree(self.fleet.folder / f"{host}.data")
        settings = str(self.fleet.folder / f"{host}.toml")
        join = ("replica", "join", "--group", "fleet", "--settings", settings)
        replica_id = (await asyncio.to_thread(self.fleet.command, *join)).strip()
        self.fleet.start_daemon(host)
        await self.regroup(change, f"{host}={self.fleet.address(host, 'peers')}", replica_id)

    async def regroup(self, change: str, member: str, replica_id: str = "") -> None:
        """Change the group by the command line."""
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        identity = ("--id", replica_id) if replica_id else ()
        command = ("replica", change, *servers, *identity, member)
        await asyncio.to_thread(self.fleet.command, *command)

    async def until_bound(self) -> None:
        """Wait until the log names the identity of each founder."""
        async with self.fleet.client() as client:
            while True:
                group = await client.replicas()
                if all(voter["replica_id"] for voter in group["voters"]):
                    return
                await asyncio.sleep(0.1)

    async def test_a_lost_disk_is_repaired_and_then_a_second_host_is_lost(self) -> None:
        """What was accepted is still there, and the group goes on."""
        first, second, _ = sorted(self.fleet.replicas)

        async def lose_two() -> None:
            await self.lose_disk(first)
            self.fleet.kill_daemon(second)

        await self.race(lose_two)

    async def test_a_replica_is_removed_and_another_added_while_operators_write(self) -> None:
        """The group never stops, and counts the added replica as it counted the removed one."""
        first, second, _ = sorted(self.fleet.replicas)

        async def exchange() -> None:
            await self.regroup("remove", first)
            await self.lose_disk(first, "add")
            self.fleet.kill_daemon(second)

        await self.race(exchange)

    async def test_a_disk_that_is_created_again_is_no_voter(self) -> None:
        """It and one other replica elect nobody, whatever the operator typed."""
        first, second, third = sorted(self.fleet.replicas)
        await self.until_bound()
        self.fleet.kill_daemon(first)
        shutil.rmtree(self.fleet.folder / f"{first}.data")
        voters = [f"--voter={host}={self.fleet.address(host, 'peers')}" for host in (first, second)]
        settings = ("--settings", str(self.fleet.folder / f"{first}.toml"))
        create = ("replica", "create", "--group", "fleet", *settings, *voters)
        await asyncio.to_thread(self.fleet.command, *create)
        self.fleet.kill_daemon(third)
        self.fleet.start_daemon(first)
        form = {"operation_id": "x", "based_on": 0, "resources": []}
        with self.assertRaises(Unreachable):
            async with self.fleet.client(timeout=4.0) as client:
                await client.change(form)


if __name__ == "__main__":
    unittest.main()
