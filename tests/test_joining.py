"""Tests of automatic group formation and repair, with real journals and connections."""

import asyncio
import random
import shutil
import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from unittest.mock import patch

from cowslipvane.catalogue import Accepted, Change, Key, Release, Service
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.replica import Replica, _roles
from cowslipvane.settings import Formation, Listen, Settings, Timing
from cowslipvane.storage import DataFolder, FileJournal
from cowslipvane.tasks import NotLeader, Releases
from cowslipvane.tasks._joining import GroupJoiner, new_identity
from cowslipvane.tasks._peer_listener import PeerListener
from cowslipvane.tasks._replication import Replication
from cowslipvane.types import Address, DataCentre, HostName, OperationId, Version
from cowslipvane.wire import anonymous_identity

TIMEOUT_S = 15.0
SEED_IPS = ("127.9.9.1", "127.9.9.2", "127.9.9.3")
JOINING_IP = "127.9.9.4"


def free_port() -> int:
    """Return a port that is free on the address of the first seed."""
    with socket.socket() as probe:
        probe.bind((SEED_IPS[0], 0))
        port: int = probe.getsockname()[1]
        return port


class Node:
    """Runs the tasks of one replica, on a data folder that a test can delete."""

    def __init__(self, *, ip: str, port: int, folder: Path, first_start: bool) -> None:
        self.settings = Settings(
            host=HostName(ip),
            data_centre=DataCentre("here"),
            roles=("replica",),
            listen=Listen(operators=Address(ip, 1), peers=Address(ip, port)),
            seeds=tuple(Address(seed, port) for seed in SEED_IPS),
            data_folder=str(folder),
            formation=Formation(automatic=True, first_start=first_start),
            timing=Timing(election_timeout=0.4, heartbeat=0.05),
        )
        self._stack = AsyncExitStack()

    async def start(self) -> None:
        """Open the folder, with a new identity if it is empty, and start the tasks."""
        folder = DataFolder(path=Path(self.settings.data_folder))
        if folder.is_empty:
            folder.create(new_identity(self.settings))
        identity = folder.open()
        self._stack.callback(folder.close)
        journal = FileJournal(path=folder.journal_path)
        self._stack.callback(journal.close)
        self.replica = Replica(
            host=identity.host,
            replica_id=identity.replica_id,
            founders=identity.founders,
            journal=journal,
            recovered=journal.recover(),
            election_timeout=self.settings.timing.election_timeout,
            rng=random.Random(),
            now=lease_now(),
        )
        self.events = EventLog(
            origin=Origin(identity.host, DataCentre("here"), 1), clock=HybridClock()
        )
        self.replication = Replication(
            replica=self.replica,
            group_name=identity.group,
            journal=journal,
            timing=self.settings.timing,
            events=self.events,
        )
        joining = GroupJoiner(
            replication=self.replication,
            group_name=identity.group,
            own_address=self.settings.listen.peers,
            peer_addresses=lambda: self.settings.seeds,
            events=self.events,
            rng=random.Random(),
        )
        listener = PeerListener(
            handlers={"/replica": self.replication.serve, "/join": joining.serve},
            identity=anonymous_identity(),
            events=self.events,
        )
        await self._stack.enter_async_context(listener.listen(self.settings.listen.peers))
        self._tasks = [
            asyncio.create_task(self.replication.run()),
            asyncio.create_task(joining.run()),
        ]

    async def stop(self) -> None:
        """Cancel the tasks, as if the process was killed."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    def is_voter(self) -> bool:
        """Return whether the local log has this replica id as a voter."""
        voter = self.replica.group.voter(self.replica.host)
        return voter is not None and voter.replica_id == self.replica.replica_id


class JoiningTest(unittest.IsolatedAsyncioTestCase):
    """Founders, replicas that join later, and lost disks."""

    async def asyncSetUp(self) -> None:
        """Start the seeds for the first time on empty disks."""
        self.folder = Path(tempfile.mkdtemp(prefix="cowslipvane-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.port = free_port()
        self.nodes: dict[str, Node] = {}
        self.addAsyncCleanup(self.stop_all)
        for ip in SEED_IPS:
            await self.start(ip, first_start=True)

    async def stop_all(self) -> None:
        """Stop all running replicas."""
        for node in self.nodes.values():
            await node.stop()

    async def start(self, ip: str, *, first_start: bool = False) -> Node:
        """Start a replica."""
        node = Node(ip=ip, port=self.port, folder=self.folder / ip, first_start=first_start)
        await node.start()
        self.nodes[ip] = node
        return node

    async def lose_disk(self, ip: str) -> Node:
        """Restart a replica with an empty disk."""
        await self.nodes.pop(ip).stop()
        shutil.rmtree(self.folder / ip)
        return await self.start(ip)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            await asyncio.sleep(0.01)

    async def write(self, name: str) -> Version:
        """Write a change through the current leader and return its version."""
        change = Change(OperationId(name), Version(0), ((Key("service", name), Service()),))
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            for node in list(self.nodes.values()):
                outcome = await node.replication.write(change)
                if isinstance(outcome, Accepted):
                    return outcome.version
            await asyncio.sleep(0.02)
        raise AssertionError("no replica accepted the change")

    async def test_seeds_form_the_group_and_a_later_replica_joins(self) -> None:
        """The joining replica has all accepted changes before it becomes a voter."""
        version = await self.write("first")
        joining = await self.start(JOINING_IP, first_start=True)
        await self.until(joining.is_voter)
        self.assertEqual(joining.replica.catalogue.version, version)
        self.assertEqual(len(joining.replica.group.voters), len(SEED_IPS) + 1)

    async def test_successive_loss_of_two_disks_loses_no_change(self) -> None:
        """The second disk is lost as soon as the replacement of the first is a voter."""
        names = [f"change-{number}" for number in range(3)]
        for name, ip in zip(names, (None, *SEED_IPS[:2]), strict=True):
            if ip is not None:
                node = await self.lose_disk(ip)
                await self.until(node.is_voter)
            await self.write(name)
        await self.until(lambda: all(n.replica.catalogue.version == 3 for n in self.nodes.values()))
        stored = {key.name for key in self.nodes[SEED_IPS[0]].replica.catalogue.resources}
        self.assertEqual(stored, set(names))
        group = self.nodes[SEED_IPS[2]].replica.group
        self.assertEqual({voter.host for voter in group.voters}, set(SEED_IPS))

    async def test_removed_voter_rejoins(self) -> None:
        """A voter that was removed while it was down can't see the removal in its own log."""
        await self.start(JOINING_IP, first_start=True)
        await self.until(self.nodes[JOINING_IP].is_voter)
        with patch.object(_roles, "VOTER_REMOVAL_TIMEOUT", 0.5):
            await self.nodes.pop(JOINING_IP).stop()
            await self.until(lambda: self.voter_hosts() == set(SEED_IPS))
        version = await self.write("meanwhile")
        returning = await self.start(JOINING_IP)
        self.assertTrue(returning.is_voter())
        await self.until(lambda: self.voter_hosts() == {*SEED_IPS, JOINING_IP})
        await self.until(lambda: returning.replica.catalogue.version == version)

    def voter_hosts(self) -> set[str]:
        """Return the hosts of the voters in the leader's log, none without a leader."""
        leaders = [n.replica for n in self.nodes.values() if n.replica.holds_lease(lease_now())]
        return {voter.host for leader in leaders[:1] for voter in leader.group.voters}

    def test_leases_use_a_clock_that_includes_suspension(self) -> None:
        """CLOCK_BOOTTIME is the only system clock that does, apart from the time of day."""
        with patch("time.clock_gettime", return_value=7.0) as clock:
            self.assertEqual(lease_now(), 7.0)
        clock.assert_called_once_with(time.CLOCK_BOOTTIME)

    async def test_suspended_leader_does_not_serve_the_newest_release(self) -> None:
        """The monotonic clock stops during a suspension, in which another leader can be elected."""
        await self.write("first")
        leader = next(n for n in self.nodes.values() if n.replica.holds_lease(lease_now()))
        releases = Releases(replication=leader.replication, events=leader.events)
        self.assertNotIsInstance(releases.newest(), NotLeader)
        suspension = leader.settings.timing.election_timeout
        with patch("cowslipvane.tasks._replication.lease_now", lambda: lease_now() + suspension):
            self.assertFalse(leader.replication.holds_lease)
            self.assertIsInstance(releases.newest(), NotLeader)
            release = Release(number=1, based_on=0, document="x")
            self.assertIsInstance(await releases.put(release, {}), NotLeader)


if __name__ == "__main__":
    unittest.main()
