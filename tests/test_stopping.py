"""Tests of what a stopping process does with the calls that it may be unable to complete."""

import asyncio
import json
import signal
import unittest
from collections.abc import Callable
from typing import Any, NamedTuple

from tests.three_hosts_case import HOSTS
from tools.fleet import EXAMPLES, Fleet, example_hosts

ENTRY, OTHER, _ = HOSTS
# The entry exits this long after SIGTERM, although calls are in flight: at the end of its grace
# period, less what it keeps free to close its connections.
GRACE_S = 3.0
LAME_DUCK_S = 0.5
SHORTLY_AFTER_LAME_DUCK_S = 0.7
# In thousandths of a second at the workers of these tests.
LONG_WORK = 6000
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

    def send(self, mark: str, work: int) -> None:
        """Send a request that isn't idempotent."""
        self._writer.write(
            f"POST /stock/{mark} HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n"
            f"X-Mark: {mark}\r\nX-Work-Times: {work}\r\n\r\n".encode()
        )

    async def response(self) -> Response:
        """Return the next response; raise IncompleteReadError if the connection ends before."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length:")[2].split()[0])
            body = json.loads(await self._reader.readexactly(length))
        return Response(int(head.split()[1]), body)


class StoppingTest(unittest.IsolatedAsyncioTestCase):
    """A proxy that gets SIGTERM, with a worker on its own host and one on another."""

    async def asyncSetUp(self) -> None:
        """Start the processes; each worker has one slot."""
        timing = {"grace": GRACE_S, "lame_duck": LAME_DUCK_S}
        hosts = [host for host in example_hosts("quiros") if host.name in HOSTS]
        hosts = [
            host._replace(
                settings={**host.settings, "data_centre": "valley"},
                worker={**host.worker, "slots": 1, "work_s": 0.001} if host.name == OTHER else {},
            )
            for host in hosts
        ]
        self.fleet = Fleet(hosts=hosts, timing=timing)
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
        """Connect to the proxy that will stop."""
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

    async def test_a_call_that_comes_after_the_lame_duck_time_is_refused(self) -> None:
        """It was passed on over a connection that was still open, and cut off at the exit."""
        connection = await self.connect()
        self.fleet.signal_daemon(ENTRY, signal.SIGTERM)
        await asyncio.sleep(SHORTLY_AFTER_LAME_DUCK_S)
        connection.send("late", LONG_WORK)
        response = await connection.response()
        self.assertEqual((response.status, response.body["verdict"]), (503, "not run"))
        self.assertEqual(self.ran(), [])

    async def test_a_call_that_waits_for_a_slot_at_the_exit_is_refused(self) -> None:
        """Its connection was closed without an answer, although the call had not been started.

        The call that its worker runs can't be waited for any longer, and its caller is told so.
        """
        running, waiting = await self.connect(), await self.connect()
        running.send("running", LONG_WORK)
        await self.until(lambda: self.ran() == ["running"])
        waiting.send("waiting", 1)
        await self.until(lambda: self.is_passed_on("waiting"))
        self.fleet.signal_daemon(ENTRY, signal.SIGTERM)
        response = await waiting.response()
        self.assertEqual((response.status, response.body["verdict"]), (503, "not run"))
        response = await running.response()
        self.assertEqual((response.status, response.body["verdict"]), (502, "may have run"))
        self.assertEqual(self.ran(), ["running"])


if __name__ == "__main__":
    unittest.main()
