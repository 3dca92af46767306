"""Base class for tests of departures: processes on loopback addresses, without callers."""

import time
from typing import Any

import aiohttp

from tests.processes_case import OPERATORS_PORT, SERVICE, ProcessesCase
from tools.soak._hosts import CONTROL_PORT, WORKER_PORT

# The longest time that a worker waits for an acknowledgement.
ACK_TIMEOUT_S = 1.0


class DeparturesCase(ProcessesCase):
    """Three replicas and three proxies; tests announce the workers themselves."""

    async def asyncSetUp(self) -> None:
        """Start the processes, and wait until a first departure can be acknowledged."""
        await super().asyncSetUp()
        self.proxy = self.proxies[0]
        self.sequence = 0
        await self.until(lambda: self.deregister("i-first", 1))
        self.end_formation()

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
