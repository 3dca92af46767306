"""Tests of a group whose leader has a full disk, with real journals and connections."""

import asyncio
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from cowslipvane.catalogue import Accepted, Change, Key, Service
from cowslipvane.clock import lease_now
from cowslipvane.tasks.replication._messages import NotLeader, Unknown
from cowslipvane.types import OperationId, Version
from tests.full_disk import FullDisk
from tests.replica_node import SEED_IPS, ReplicaNode, free_port

TIMEOUT_S = 10.0
# A change has to be acknowledged within this time, also while one disk takes no more bytes.
ACK_TIMEOUT_S = 4.0


class FullDiskTest(unittest.IsolatedAsyncioTestCase):
    """Three replicas; the disk of the leader fills up."""

    async def asyncSetUp(self) -> None:
        """Form a group."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        port = free_port()
        self.nodes = {}
        for ip in SEED_IPS:
            node = ReplicaNode(ip=ip, port=port, folder=self.root / ip, first_start=True)
            await node.start()
            self.addAsyncCleanup(node.stop)
            self.nodes[ip] = node
        await self.until(self.leaders)
        self.leader = self.leaders()[0]
        self.others = [node for node in self.nodes.values() if node is not self.leader]
        self.assertIsInstance(await self.write("before", list(self.nodes.values())), Accepted)

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def leaders(self) -> list[ReplicaNode]:
        """Return the nodes that hold the lease."""
        return [node for node in self.nodes.values() if node.replica.holds_lease(lease_now())]

    async def write(self, name: str, nodes: list[ReplicaNode]) -> object:
        """Write a change through whichever of some nodes leads; return its outcome."""
        change = Change(OperationId(name), Version(0), ((Key("service", name), Service()),))
        outcome: object = None
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(outcome, Accepted):
                for node in nodes:
                    outcome = await node.replication.write(change)
                    if isinstance(outcome, Accepted):
                        return outcome
                    self.assertIsInstance(outcome, NotLeader | Unknown)
                await asyncio.sleep(0.02)
        return outcome

    async def test_changes_are_accepted_by_the_others(self) -> None:
        """Another replica leads soon, and the one with the full disk ends no task."""
        disk = FullDisk(root=self.root / self.leader.settings.host)
        with disk.installed():
            disk.is_full = True
            began_at = time.monotonic()
            await self.write("meanwhile", [self.leader, *self.others])
            self.assertLess(time.monotonic() - began_at, ACK_TIMEOUT_S)
            await self.until(lambda: self.leaders() and self.leader not in self.leaders())
            await self.write("later", self.others)
            await asyncio.sleep(1.0)
            self.assertNotIn(self.leader, self.leaders())
            self.assertFalse(any(task.done() for task in self.leader._tasks))
            disk.is_full = False
            await self.until(lambda: self.leader.replica.catalogue.version == 3)
            await self.until(lambda: self.disk_states() == ["full", "has room"])

    def disk_states(self) -> list[str]:
        """Return what the first leader has recorded of its disk."""
        events = self.leader.events.select()
        return [event["detail"]["state"] for event in events if event["kind"] == "disk"]

    async def test_what_a_full_disk_does_not_hold_is_not_acknowledged(self) -> None:
        """With the other follower gone, the leader alone is no majority."""
        full, gone = self.others
        disk = FullDisk(root=self.root / full.settings.host)
        with disk.installed():
            disk.is_full = True
            await gone.stop()
            change = Change(OperationId("x"), Version(0), ((Key("service", "x"), Service()),))
            outcome = await self.leader.replication.write(change)
            self.assertNotIsInstance(outcome, Accepted)
            self.assertEqual(self.leader.replica.catalogue.version, 1)
            disk.is_full = False
            await self.write("after", [self.leader, full])


if __name__ == "__main__":
    unittest.main()
