"""One replica with real journals and connections, for tests of a group that forms itself."""

import asyncio
import random
import socket
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path

from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.replica import Replica
from cowslipvane.settings import Formation, Listen, Settings, Timing
from cowslipvane.tasks.peers._listener import PeerListener
from cowslipvane.tasks.replication._joining import GroupJoiner
from cowslipvane.tasks.replication._recovery import open_replica
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Address, DataCentre, HostName
from cowslipvane.wire import anonymous_identity

SEED_IPS = ("127.9.9.1", "127.9.9.2", "127.9.9.3")
JOINING_IP = "127.9.9.4"


def free_port() -> int:
    """Return a port that is free on the address of the first seed."""
    with socket.socket() as probe:
        probe.bind((SEED_IPS[0], 0))
        port: int = probe.getsockname()[1]
        return port


class ReplicaNode:
    """Runs the tasks of one replica of a group that forms itself, in the process of a test."""

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
        self.events = EventLog(
            origin=Origin(self.settings.host, self.settings.data_centre, 1), clock=HybridClock()
        )
        self._stack = AsyncExitStack()

    async def start(self) -> None:
        """Open the folder, with a new identity if it is empty, and start the tasks."""
        self.identity, journal, recovered = open_replica(
            self.settings, self.events, self._stack.enter_context(ExitStack())
        )
        self.replica = Replica(
            host=self.identity.host,
            replica_id=self.identity.replica_id,
            founders=self.identity.founders,
            journal=journal,
            recovered=recovered,
            election_timeout=self.settings.timing.election_timeout,
            rng=random.Random(),
            now=lease_now(),
        )
        self.replication = Replication(
            replica=self.replica,
            group_name=self.identity.group,
            journal=journal,
            timing=self.settings.timing,
            events=self.events,
        )
        joining = GroupJoiner(
            replication=self.replication,
            group_name=self.identity.group,
            own_address=self.settings.listen.peers,
            peer_addresses=lambda: self.settings.seeds,
            events=self.events,
            rng=random.Random(),
        )
        self._listener = PeerListener(
            handlers={"/replica": self.replication.serve, "/join": joining.serve},
            identity=anonymous_identity(),
            events=self.events,
        )
        await self._stack.enter_async_context(self._listener.listen(self.settings.listen.peers))
        self._tasks = [
            asyncio.create_task(self.replication.run()),
            asyncio.create_task(joining.run()),
        ]

    def kill(self) -> None:
        """Cancel all tasks, so that the replica does and answers nothing any more."""
        for task in self._tasks:
            task.cancel()
        self._listener.cancel_all_but_calls()

    async def stop(self) -> None:
        """Kill the replica, and close its files and connections."""
        self.kill()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    def is_voter(self) -> bool:
        """Return whether the local log has this replica id as a voter."""
        voter = self.replica.group.voter(self.replica.host)
        return voter is not None and voter.replica_id == self.replica.replica_id
