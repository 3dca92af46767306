"""Tests of consistency through lost disks and group changes, with real processes."""

import asyncio
import shutil
import unittest

from cowslipvane.client import Unreachable
from tests.histories import HistoryTestCase


class RepairTest(HistoryTestCase):
    """Consistency while replicas lose disks and are replaced, removed and added."""

    async def lose_disk(self, host: str, change: str = "replace") -> None:
        """Kill a replica, delete its data folder, and add it with a new identity."""
        self.fleet.kill_daemon(host)
        shutil.rmtree(self.fleet.folder / f"{host}.data")
        settings = str(self.fleet.folder / f"{host}.toml")
        join = ("replica", "join", "--group", "fleet", "--settings", settings)
        replica_id = (await asyncio.to_thread(self.fleet.command, *join)).strip()
        self.fleet.start_daemon(host)
        await self.change_group(change, f"{host}={self.fleet.address(host, 'peers')}", replica_id)

    async def change_group(self, change: str, member: str, replica_id: str = "") -> None:
        """Change the group through the command line."""
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        identity = ("--id", replica_id) if replica_id else ()
        command = ("replica", change, *servers, *identity, member)
        await asyncio.to_thread(self.fleet.command, *command)

    async def until_identified(self) -> None:
        """Wait until the group has the identity of each founder."""
        async with self.fleet.client() as client:
            while True:
                group = await client.replicas()
                if all(voter["replica_id"] for voter in group["voters"]):
                    return
                await asyncio.sleep(0.1)

    async def test_a_second_host_can_fail_after_a_lost_disk_is_replaced(self) -> None:
        """No accepted change is lost, and the group still accepts changes."""
        first, second, _ = sorted(self.fleet.replicas)

        async def lose_disk_and_host() -> None:
            await self.lose_disk(first)
            self.fleet.kill_daemon(second)

        await self.run_with_faults(lose_disk_and_host)

    async def test_a_replica_is_removed_and_another_added_while_operators_write(self) -> None:
        """Operators keep writing, and the added replica counts when another host fails."""
        first, second, _ = sorted(self.fleet.replicas)

        async def remove_and_add() -> None:
            await self.change_group("remove", first)
            await self.lose_disk(first, "add")
            self.fleet.kill_daemon(second)

        await self.run_with_faults(remove_and_add)

    async def test_a_recreated_data_folder_does_not_vote(self) -> None:
        """With one other replica it elects no leader, even if the command names it as a voter."""
        first, second, third = sorted(self.fleet.replicas)
        await self.until_identified()
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
