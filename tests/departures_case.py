"""Base class for tests of departures: processes on loopback addresses, without callers."""

import asyncio
import random
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from cowslipvane.types import Address
from tools.relay import Relay
from tools.soak._hosts import (
    CONTROL_PORT,
    HIDDEN_PORT,
    PEERS_PORT,
    WORKER_PORT,
    Host,
    HostProcess,
)

SERVICE = "alpha"
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
OPERATORS_PORT = PEERS_PORT + 1
# The longest time that a worker waits for an acknowledgement.
ACK_TIMEOUT_S = 1.0


class DeparturesCase(unittest.IsolatedAsyncioTestCase):
    """Three replicas and three proxies; tests announce the workers themselves."""

    async def asyncSetUp(self) -> None:
        """Start the processes, and wait until a first departure can be acknowledged."""
        folder = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        self.addCleanup(folder.cleanup)
        prefix = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        centres = ("north", "south", "east")
        replicas = [
            Host(f"replica-{index}", f"{prefix}.{10 + index}", centres[index], "")
            for index in range(3)
        ]
        proxies = [
            Host(f"proxy-{index}", f"{prefix}.{100 + index}", centres[index], SERVICE)
            for index in range(3)
        ]
        processes = [
            HostProcess(host=host, folder=Path(folder.name), seeds=replicas)
            for host in (*replicas, *proxies)
        ]
        self.core, self.proxies = processes[:3], processes[3:]
        self.proxy = self.proxies[0]
        self.sequence = 0
        self.relay = Relay()
        self.addAsyncCleanup(self.relay.close)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(5.0))
        self.addAsyncCleanup(self.session.close)
        self.addAsyncCleanup(self.kill, *processes)
        for process in processes:
            process.write_settings(first_start=True)
            ip = process.host.ip
            await self.relay.listen(Address(ip, PEERS_PORT), Address(ip, HIDDEN_PORT))
        await self.start(*processes)
        await self.until(lambda: self.deregister("i-first", 1))
        for process in processes:
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

    async def announce(self, instance: str, born: int, phase: str = "ready") -> bool:
        """Announce the worker beside the proxy; return whether that was acknowledged."""
        self.sequence += 1
        form = {
            "address": f"{self.proxy.host.ip}:{WORKER_PORT}",
            "born": born,
            "info": {"service": SERVICE, "version": "v1", "zone": "north", "max_concurrency": 6},
            "status": {"phase": phase, "sequence": self.sequence, "cold_remaining_s": 0},
        }
        return await self.post(f"Instances.Heartbeat/{instance}", form)

    async def deregister(self, instance: str, born: int | None) -> bool:
        """Report the end of a worker; return whether that was acknowledged."""
        return await self.post(
            f"Instances.Deregister/{instance}", None if born is None else {"born": born}
        )

    async def post(self, call: str, form: dict[str, Any] | None) -> bool:
        """Call the proxy; return whether it acknowledged the call in time."""
        url = f"http://{self.proxy.host.ip}:{CONTROL_PORT}/api/{call}"
        began_at = time.monotonic()
        try:
            async with self.session.post(url, json=form) as response:
                is_acknowledged = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
        return is_acknowledged and time.monotonic() < began_at + ACK_TIMEOUT_S

    async def is_served(self) -> bool:
        """Return whether the proxy has a worker registered."""
        url = f"http://{self.proxy.host.ip}:{OPERATORS_PORT}/status"
        try:
            async with self.session.get(url) as response:
                status = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return False
        return any(
            member["host"] == self.proxy.host.ip and member["service"] == SERVICE
            for member in status["members"]
        )

    async def is_up(self) -> bool:
        """Return whether the proxy answers."""
        url = f"http://{self.proxy.host.ip}:{OPERATORS_PORT}/status"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
