"""A worker that sends bytes without end, and what it costs the process that reads them."""

import asyncio
import contextlib
import resource
import time
from pathlib import Path
from typing import NamedTuple, Self

from tests.worker_case import read_head

HEARTBEAT_INTERVAL_S = 0.005
BLOCK_BYTES = 64 << 10


class Endless(NamedTuple):
    """The start of an answer, and what is sent after it for as long as it is read."""

    label: str
    start: bytes
    repeated: bytes


class Sender:
    """Sends bytes without end on a connection, once it has a request."""

    def __init__(self, endless: Endless) -> None:
        self._endless = endless
        self.sent_bytes = 0
        self.started = asyncio.Event()
        self.closed = asyncio.Event()

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send until the connection is closed."""
        await read_head(reader)
        block = self._endless.repeated * (1 + BLOCK_BYTES // max(1, len(self._endless.repeated)))
        writer.write(self._endless.start)
        self.started.set()
        with contextlib.suppress(ConnectionError):
            if not block:
                await reader.read()
            while not reader.at_eof() and block:
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
                await asyncio.sleep(0)
        self.closed.set()


class Heartbeat:
    """Measures how late another task of the process gets its turn, and the memory in use."""

    def __init__(self) -> None:
        self.longest_delay = 0.0
        self._start_bytes = self._peak_bytes = resident_bytes()
        self._task: asyncio.Task[None] | None = None

    @property
    def memory_growth_bytes(self) -> int:
        """Return by how much the memory of the process has grown at most."""
        return self._peak_bytes - self._start_bytes

    async def __aenter__(self) -> Self:
        """Start to measure."""
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop measuring."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Record the longest delay of a short sleep."""
        while True:
            due = time.monotonic() + HEARTBEAT_INTERVAL_S
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.longest_delay = max(self.longest_delay, time.monotonic() - due)
            self._peak_bytes = max(self._peak_bytes, resident_bytes())


def resident_bytes() -> int:
    """Return the memory that the process has in use."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()
