"""Tests of real processes with a worker that sends bytes without end, and many callers of it."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest
from pathlib import Path

import aiohttp

from tests.endless_worker import Endless
from tests.one_worker_case import ENTRY, OneWorkerTestCase

# The host beside the faulty worker, which has no other.
FAULTY = "stock-3"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"ffff\r\n" + bytes(0xFFFF) + b"\r\n"
KINDS = (
    Endless("head", HEAD, b"A: " + b"b" * 1000 + b"\r\n"),
    Endless("body without a length", HEAD + b"\r\n", bytes(1 << 16)),
    Endless("body with a length", HEAD + b"Content-Length: 1000000000000\r\n\r\n", bytes(1 << 16)),
    Endless("body in chunks", HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
)
CALLERS = 40
SLOTS = 64
CALLERS_FOR_S = 1.5
# What the users' platform gives a host beside a worker at least.
MAX_RESIDENT_BYTES = 200 << 20
# Other requests take a few milliseconds; this leaves them most of their latency goal.
MAX_OTHER_S = 0.25
ANNOUNCE_INTERVAL_S = 0.5
RECEIVE_BYTES = 1 << 16


class EndlessWorker:
    """Sends bytes without end to each request, from threads of its own."""

    def __init__(self) -> None:
        self.endless = KINDS[0]
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=SLOTS)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self) -> None:
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        """Send until the connection is closed."""
        with connection, contextlib.suppress(OSError):
            connection.recv(RECEIVE_BYTES)
            connection.sendall(self.endless.start)
            while True:
                connection.sendall(self.endless.repeated)


class Caller:
    """A connection with one request, whose answer is read by a thread or by nobody."""

    def __init__(self, *, address: str, reads: bool) -> None:
        ip, _, port = address.rpartition(":")
        self._socket = socket.create_connection((ip, int(port)))
        self._socket.sendall(b"GET /empties HTTP/1.1\r\nHost: shop\r\n\r\n")
        if reads:
            threading.Thread(target=self._read, daemon=True).start()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _read(self) -> None:
        """Read until the connection ends."""
        with contextlib.suppress(OSError):
            while self._socket.recv(RECEIVE_BYTES):
                pass


class EndlessBytesTest(OneWorkerTestCase):
    """A faulty worker of one service beside a sound one of another, and a proxy for both."""

    slots = 4

    async def asyncSetUp(self) -> None:
        """Start the processes and the faulty worker."""
        await super().asyncSetUp()
        self.worker = EndlessWorker()
        self.addCleanup(self.worker.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def announce(self, host: str, state: str = "ready") -> None:
        """Announce the faulty worker at the proxy of a host."""
        form = {"service": "empties", "address": self.worker.address, "state": state}
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
        callers = [Caller(address=address, reads=reads) for _ in range(CALLERS)]
        until = time.monotonic() + CALLERS_FOR_S
        slowest, largest = 0.0, 0
        try:
            while time.monotonic() < until:
                slowest = max(slowest, await self.other_request())
                largest = max(largest, *(self.resident_bytes(host) for host in (ENTRY, owner)))
                await asyncio.sleep(0.01)
        finally:
            for caller in callers:
                caller.close()
        self.assertLess(largest, MAX_RESIDENT_BYTES)
        self.assertLess(slowest, MAX_OTHER_S)

    async def check_all(self, owner: str) -> None:
        """Let the faulty worker send each kind of bytes, to callers who read and who don't."""
        announcing = asyncio.create_task(self.keep_announced(owner))
        try:
            await self.until_called()
            for endless in KINDS:
                for reads in (False, True):
                    with self.subTest(endless.label, reads=reads):
                        self.worker.endless = endless
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
