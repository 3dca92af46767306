"""Base class for tests over three real processes, of which one has a worker."""

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple

from tests.three_hosts_case import HOSTS
from tools.fleet import EXAMPLES, Fleet, example_hosts

# The proxy that callers connect to, and the one that owns the worker.
ENTRY, OWNER, _ = HOSTS
ANSWER_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02


class Response(NamedTuple):
    """The status of a response, and its JSON body."""

    status: int
    body: dict[str, Any]


class Connection:
    """A caller's connection to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Connection":
        """Connect to a proxy."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port)))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def send(self, mark: str, work: int, method: str = "POST") -> None:
        """Send a request, by default one that isn't idempotent; its work takes milliseconds."""
        self._writer.write(
            f"{method} /stock/{mark} HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n"
            f"X-Mark: {mark}\r\nX-Work-Times: {work}\r\n\r\n".encode()
        )

    async def response(self) -> Response:
        """Return the next response; raise IncompleteReadError if the connection ends before."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length:")[2].split()[0])
            body = json.loads(await self._reader.readexactly(length))
        return Response(int(head.split()[1]), body)


class OneWorkerTestCase(unittest.IsolatedAsyncioTestCase):
    """Three processes with a configuration in force; a base for tests."""

    timing: ClassVar[dict[str, float]] = {}
    slots: ClassVar[int] = 1

    async def asyncSetUp(self) -> None:
        """Start the processes; the worker has one slot, unless a test sets more."""
        hosts = [host for host in example_hosts("quiros") if host.name in HOSTS]
        hosts = [
            host._replace(
                settings={**host.settings, "data_centre": "valley"},
                worker=(
                    {**host.worker, "slots": self.slots, "work_s": 0.001}
                    if host.name == OWNER
                    else {}
                ),
            )
            for host in hosts
        ]
        self.fleet = Fleet(hosts=hosts, timing=self.timing)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.fleet.until_leader()
        await self.fleet.until_workers(1)
        servers = [f"--server={address}" for address in self.fleet.operators()]
        resources = str(EXAMPLES / "quiros" / "resources.toml")
        await asyncio.to_thread(self.fleet.command, "apply", "-f", resources, *servers)
        await self.fleet.until_in_force(1, HOSTS)

    async def connect(self) -> Connection:
        """Connect to the proxy without a worker."""
        connection = await Connection.open(self.fleet.address(ENTRY, "callers"))
        self.addCleanup(connection.close)
        return connection

    def ran(self) -> list[str]:
        """Return the marks of the calls that a worker has run."""
        return [line["mark"] for line in self.fleet.ledger()]

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    def is_passed_on(self, mark: str) -> bool:
        """Return whether the entry has recorded an attempt of a call."""
        return any(
            event["kind"] == "attempt" and event["detail"]["asked"] == f"POST /stock/{mark}"
            for event in self.fleet.events()
        )
