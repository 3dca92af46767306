"""Tests of real processes with a worker that sends bytes without end, and many callers of it."""

import asyncio
import sys
import time
import unittest
from pathlib import Path
from typing import Self

import aiohttp

from tests.endless_load import KINDS, SLOTS
from tests.one_worker_case import ENTRY, OneWorkerTestCase
from tools.fleet import ROOT

# The host beside the faulty worker, which has no other.
FAULTY = "stock-3"
CALLERS_FOR_S = 1.5
# What the users' platform gives a host beside a worker at least.
MAX_RESIDENT_BYTES = 200 << 20
# Other requests take a few milliseconds; this leaves them most of their latency goal.
MAX_OTHER_S = 0.25
ANNOUNCE_INTERVAL_S = 0.5


class Load:
    """A process with the faulty worker and its callers."""

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        self._process = process
        self.address = address

    @classmethod
    async def start(cls) -> Self:
        """Start the process."""
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.endless_load", stdin=pipe, stdout=pipe, cwd=ROOT
        )
        assert process.stdout is not None
        return cls(process, (await process.stdout.readline()).decode().strip())

    async def run(self, command: str) -> None:
        """Return once the process has run a command."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(f"{command}\n".encode())
        assert await self._process.stdout.readline() == b"done\n"

    async def stop(self) -> None:
        """End the process."""
        self._process.kill()
        await self._process.wait()


class EndlessBytesTest(OneWorkerTestCase):
    """A faulty worker of one service beside a sound one of another, and a proxy for both."""

    slots = 4

    async def asyncSetUp(self) -> None:
        """Start the processes and the faulty worker."""
        await super().asyncSetUp()
        self.load = await Load.start()
        self.addAsyncCleanup(self.load.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def announce(self, host: str, state: str = "ready") -> None:
        """Announce the faulty worker at the proxy of a host."""
        form = {"service": "empties", "address": self.load.address, "state": state}
        form |= {"slots": SLOTS, "connections": SLOTS}  # type: ignore[dict-item]
        url = f"http://{self.fleet.address(host, 'operators')}/v1/worker"
        async with self.session.post(url, json=form) as response:
            self.assertEqual(response.status, 200, await response.text())

    async def keep_announced(self, host: str) -> None:
        """Announce the faulty worker again and again."""
        while True:
            await self.announce(host)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def until_called(self) -> None:
        """Return once a request reaches the faulty worker: it is answered with a head or a 502."""
        url = f"http://{self.fleet.address(ENTRY, 'callers')}/empties"
        async with asyncio.timeout(10):
            while True:
                async with self.session.get(url) as response:
                    if response.status in (200, 502):
                        response.close()
                        return
                await asyncio.sleep(0.05)

    async def other_request(self) -> float:
        """Send a request to the sound worker; return how long its answer takes."""
        began_at = time.monotonic()
        url = f"http://{self.fleet.address(ENTRY, 'callers')}/stock/other"
        async with self.session.get(url) as response:
            self.assertEqual(response.status, 200, await response.text())
        return time.monotonic() - began_at

    def resident_bytes(self, host: str) -> int:
        """Return the memory of a host's process."""
        status = Path(f"/proc/{self.fleet.pid(host)}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
        return int(line.split()[1]) * 1024

    async def check(self, owner: str, *, reads: bool) -> None:
        """Call the faulty worker by many callers, and check what others and the hosts see."""
        address = self.fleet.address(ENTRY, "callers")
        await self.load.run(f"call {address} {reads:d}")
        until = time.monotonic() + CALLERS_FOR_S
        slowest, largest = 0.0, 0
        try:
            while time.monotonic() < until:
                slowest = max(slowest, await self.other_request())
                largest = max(largest, *(self.resident_bytes(host) for host in (ENTRY, owner)))
                await asyncio.sleep(0.01)
        finally:
            await self.load.run("close")
        self.assertLess(largest, MAX_RESIDENT_BYTES)
        self.assertLess(slowest, MAX_OTHER_S)

    async def check_all(self, owner: str) -> None:
        """Let the faulty worker send each kind of bytes, to callers who read and who don't."""
        announcing = asyncio.create_task(self.keep_announced(owner))
        try:
            await self.until_called()
            for number, endless in enumerate(KINDS):
                for reads in (False, True):
                    with self.subTest(endless.label, reads=reads):
                        await self.load.run(f"worker {number}")
                        await self.check(owner, reads=reads)
                        await asyncio.sleep(0.2)
        finally:
            announcing.cancel()

    # Guards against a process that runs out of memory, with the requests of all its clients,
    # because a worker on another host sends bytes without end and their callers don't read them.
    async def test_a_faulty_worker_of_another_host_harms_no_other_request(self) -> None:
        """Whether its callers read or not."""
        await self.check_all(FAULTY)

    # Guards against the same with the worker beside the process that the callers use.
    async def test_a_faulty_worker_of_the_same_host_harms_no_other_request(self) -> None:
        """Whether its callers read or not."""
        await self.check_all(ENTRY)


if __name__ == "__main__":
    unittest.main()
