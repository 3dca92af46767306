"""Base class for tests over processes of the platform's program on loopback addresses."""

import asyncio
import random
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

import aiohttp

from cowslipvane.types import Address
from tools.relay import Relay
from tools.soak._hosts import HIDDEN_PORT, PEERS_PORT, Host, HostProcess

SERVICE = "alpha"
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
OPERATORS_PORT = PEERS_PORT + 1
_DATA_CENTRES = ("north", "south", "east")


def data_centre(index: int) -> str:
    """Return the data centre of a host, by its number."""
    return _DATA_CENTRES[index % len(_DATA_CENTRES)]


class ProcessesCase(unittest.IsolatedAsyncioTestCase):
    """Replicas and proxies, without workers and callers; their links pass through a relay."""

    replica_count: ClassVar[int] = 3
    # The service on the host of each proxy.
    services: ClassVar[tuple[str, ...]] = (SERVICE,) * 3

    async def asyncSetUp(self) -> None:
        """Start the processes."""
        folder = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        prefix = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        replicas = [
            Host(
                f"replica-{index}",
                f"{prefix}.{10 + index}",
                _DATA_CENTRES[index % len(_DATA_CENTRES)],
                "",
            )
            for index in range(self.replica_count)
        ]
        proxies = [
            Host(
                f"proxy-{index}",
                f"{prefix}.{100 + index}",
                _DATA_CENTRES[index % len(_DATA_CENTRES)],
                service,
            )
            for index, service in enumerate(self.services)
        ]
        self.processes = [
            HostProcess(host=host, folder=self.folder, seeds=replicas)
            for host in (*replicas, *proxies)
        ]
        self.core = self.processes[: self.replica_count]
        self.proxies = self.processes[self.replica_count :]
        self.relay = Relay()
        self.addAsyncCleanup(self.relay.close)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(5.0))
        self.addAsyncCleanup(self.session.close)
        self.addAsyncCleanup(self.kill, *self.processes)
        for process in self.processes:
            process.write_settings(first_start=True)
            ip = process.host.ip
            await self.relay.listen(Address(ip, PEERS_PORT), Address(ip, HIDDEN_PORT))
        await self.start(*self.processes)

    def end_formation(self) -> None:
        """Let replicas that start from now on with an empty disk join the group."""
        for process in self.processes:
            process.write_settings(first_start=False)

    async def start(self, *processes: HostProcess) -> None:
        """Start processes."""
        await asyncio.gather(*(process.start() for process in processes))

    async def kill(self, *processes: HostProcess) -> None:
        """Kill processes at the same moment."""
        await asyncio.gather(*(process.kill() for process in processes))

    async def until(self, condition: Callable[[], Any], timeout: float = TIMEOUT_S) -> None:
        """Wait until an asynchronous condition holds."""
        deadline = time.monotonic() + timeout
        while not await condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            await asyncio.sleep(POLL_INTERVAL_S)
