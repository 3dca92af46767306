"""Tests of the end of a day: one disk is lost, and all other machines lose power at that moment."""

import asyncio
import random
import tempfile
import time
import unittest
from contextlib import ExitStack
from pathlib import Path

from cowslipvane.catalogue import Accepted, Release
from cowslipvane.tasks import NoRelease, NotLeader, Releases, Unknown
from tests.replica_node import JOINING_IP, SEED_IPS, ReplicaNode, free_port
from tests.simulated_disk import SimulatedDisk

IPS = (*SEED_IPS, JOINING_IP)
SEEDS = range(3)
TIMEOUT_S = 15.0
RELEASES_BEFORE_THE_FAULT = 5
MAX_POWER_LOSS_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 0.5


class Machine:
    """A machine with a disk, on which one replica runs."""

    def __init__(self, *, ip: str, port: int, folder: Path) -> None:
        folder.mkdir()
        self.ip = ip
        self.disk = SimulatedDisk(root=folder)
        self._port = port
        self._folder = folder

    async def start(self, *, first_start: bool = False) -> None:
        """Start the replica."""
        self.node = ReplicaNode(
            ip=self.ip, port=self._port, folder=self._folder / "replica", first_start=first_start
        )
        await self.node.start()
        self.releases = Releases(replication=self.node.replication, events=self.node.events)

    def is_voter(self) -> bool:
        """Return whether the local log has this replica as a voter."""
        return self.node.is_voter()

    async def end_writes(self) -> None:
        """End the replica's writes between a write and its sync, and close what it has open."""
        self.disk.kill_stalled_syncs()
        await self.node.stop()


class PowerLossTest(unittest.IsolatedAsyncioTestCase):
    """Four machines of a group that forms itself."""

    def setUp(self) -> None:
        """Start without a release."""
        self.accepted = 0

    async def start_all(self) -> None:
        """Start three seeds and a fourth machine for the first time, and wait until all vote."""
        folder = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        self.addCleanup(folder.cleanup)
        port = free_port()
        self.machines = [Machine(ip=ip, port=port, folder=Path(folder.name) / ip) for ip in IPS]
        disks = ExitStack()
        self.addCleanup(disks.close)
        for machine in self.machines:
            disks.enter_context(machine.disk.installed())
            self.addCleanup(machine.disk.close)
        for machine in self.machines:
            await machine.start(first_start=True)
        deadline = time.monotonic() + TIMEOUT_S
        while not all(machine.is_voter() for machine in self.machines):
            self.assertLess(time.monotonic(), deadline, "not all machines vote")
            await asyncio.sleep(0.01)

    async def stop_all(self) -> None:
        """Stop all replicas."""
        for machine in self.machines:
            await machine.end_writes()

    async def put_releases(self) -> None:
        """Put one release after another, until cancelled, and keep the newest accepted number."""
        while True:
            for machine in self.machines:
                number = self.accepted + 1
                release = Release(number=number, based_on=self.accepted, document=f"{number}")
                match await machine.releases.put(release, {}):
                    case Accepted():
                        self.accepted = number
                        break
                    case NotLeader() | Unknown():
                        pass
                    case outcome:
                        raise AssertionError(f"release {number}: {outcome}")
            await asyncio.sleep(0)

    async def fail_all_while_writing(self, rng: random.Random) -> Machine:
        """Lose one disk, and the power of all other machines, while releases are put."""
        operator = asyncio.create_task(self.put_releases())
        deadline = time.monotonic() + TIMEOUT_S
        while self.accepted < RELEASES_BEFORE_THE_FAULT:
            self.assertLess(time.monotonic(), deadline, "no release is accepted")
            await asyncio.sleep(0.001)
        for machine in self.machines:
            machine.disk.stall_syncs()
        while not any(machine.disk.stalled_sync_count for machine in self.machines):
            self.assertLess(time.monotonic(), deadline, "no machine is writing")
            await asyncio.sleep(0)
        # The entry is on its way to the disks of the others.
        await asyncio.sleep(rng.uniform(0, MAX_POWER_LOSS_DELAY_S))
        operator.cancel()
        for machine in self.machines:
            machine.node.kill()
        with self.assertRaises(asyncio.CancelledError):
            await operator
        await self.stop_all()
        lost = rng.choice(self.machines)
        for machine in self.machines:
            if machine is lost:
                machine.disk.wipe()
            else:
                machine.disk.lose_power(rng)
        return lost

    def check_reads(self, running: list[Machine]) -> bool:
        """Fail if a read gets less than was accepted; return whether one is answered."""
        is_answered = False
        for machine in running:
            match machine.releases.newest():
                case Release(number=number):
                    self.assertGreaterEqual(number, self.accepted, machine.ip)
                    is_answered = True
                case NoRelease():
                    self.fail(f"{machine.ip} answers that there is no release")
                case NotLeader():
                    pass
        return is_answered

    def has_everything(self, machine: Machine) -> bool:
        """Return whether a machine votes, and has the newest release and knows a leader."""
        replica = machine.node.replica
        release = replica.catalogue.version >= self.accepted
        return machine.is_voter() and release and replica.leader is not None

    # Guards against the loss of an accepted release, and against a group founded by an empty disk.
    async def test_the_newest_release_is_read_back_after_a_lost_disk_and_lost_power(self) -> None:
        """One disk is empty, and the others have what was synced and some of what wasn't."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, rng: random.Random) -> None:
        """Let all machines fail once, and wait until each has everything that was accepted."""
        self.accepted = 0
        await self.start_all()
        try:
            identities = {each.ip: each.node.identity.replica_id for each in self.machines}
            lost = await self.fail_all_while_writing(rng)
            running: list[Machine] = []
            for machine in rng.sample(self.machines, len(self.machines)):
                await machine.start()
                running.append(machine)
                until = time.monotonic() + rng.uniform(0, MAX_RESTART_DELAY_S)
                while time.monotonic() < until:
                    self.check_reads(running)
                    await asyncio.sleep(0.01)
            self.assertEqual(lost.node.identity.founders, ())
            for machine in self.machines:
                kept = machine.node.identity.replica_id == identities[machine.ip]
                self.assertEqual(kept, machine is not lost, machine.ip)
            deadline = time.monotonic() + TIMEOUT_S
            while not (
                self.check_reads(running) and all(self.has_everything(each) for each in running)
            ):
                self.assertLess(time.monotonic(), deadline, "not every machine has everything")
                await asyncio.sleep(0.01)
        finally:
            await self.stop_all()


if __name__ == "__main__":
    unittest.main()
