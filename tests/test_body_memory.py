"""Tests that many large request bodies at once don't exhaust the memory of a process."""

import asyncio
import tracemalloc
import unittest

from cowslipvane.call import BodyAccount
from tests.connections_case import ConnectionsTestCase, answer
from tests.endless_worker import Heartbeat
from tests.worker_case import WorkerCase, read_head, request, response

BODY_BYTES = 4 << 20
LARGE_BODY_BYTES = 16 << 20
CALLERS = 24
MAX_BODY_BYTES = 16 << 20
# The bodies, what their growth leaves unused, and what asyncio and the stand-in callers hold.
MAX_MEMORY_GROWTH_BYTES = 2 * MAX_BODY_BYTES + (16 << 20)
FIELDS = f"Content-Length: {BODY_BYTES}\r\n"


class BodyMemoryTest(ConnectionsTestCase):
    """Each caller sends a large body on a connection of its own."""

    max_body_bytes = BODY_BYTES

    async def asyncSetUp(self) -> None:
        """Switch off the debug mode of asyncio, which slows each turn of the loop."""
        self.account = BodyAccount(max_bytes=MAX_BODY_BYTES)
        self.bodies = self.account
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)
        self.body = bytes(BODY_BYTES)

    async def call(self, path: str) -> int:
        """Send a request with a large body, and return the status of its response."""
        await self.connect()
        reader, writer = self.reader, self.writer
        self.send(path, method="POST", fields=FIELDS)
        for start in range(0, BODY_BYTES, 1 << 16):
            writer.write(self.body[start : start + (1 << 16)])
            await writer.drain()
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        writer.close()
        return status

    # A process held all of them, and was killed at the memory limit of its host.
    async def test_bodies_beyond_the_limit_are_refused_as_not_run(self) -> None:
        """The others are passed on whole, and room that is free again is used again."""
        async with asyncio.timeout(20), Heartbeat() as heartbeat:
            calls = [asyncio.create_task(self.call(f"/{n}")) for n in range(CALLERS)]
            await self.until(lambda: self.passed_on + self.refused >= CALLERS)
            for path in self.script.arrived:
                self.script.send(path, answer(b""))
            statuses = await asyncio.gather(*calls)
        self.assertLess(heartbeat.memory_growth_bytes, MAX_MEMORY_GROWTH_BYTES)
        self.assertGreaterEqual(statuses.count(200), 1)
        self.assertEqual(statuses.count(200) + statuses.count(503), CALLERS)
        self.assertEqual(set(map(len, self.script.bodies.values())), {BODY_BYTES})
        await self.until(lambda: not self.callers.in_flight)
        self.script.send("/again", answer(b""))
        self.assertEqual(await self.call("/again"), 200)

    # Guards against bodies that take up room for ever once their callers have left.
    async def test_a_caller_that_leaves_in_the_middle_of_its_body_frees_its_room(self) -> None:
        """Its request isn't passed on."""
        await self.connect()
        self.send("/left", method="POST", fields=FIELDS)
        self.writer.write(self.body[: BODY_BYTES // 2])
        await self.until(lambda: self.account.held_bytes == BODY_BYTES // 2)
        self.writer.close()
        await self.until(lambda: not self.account.held_bytes)
        self.assertEqual(self.script.arrived, [])

    @property
    def passed_on(self) -> int:
        """Return how many requests were passed on."""
        return len(self.script.arrived)

    @property
    def refused(self) -> int:
        """Return how many requests were refused."""
        selected = [event for event in self.events.select() if event["kind"] == "refusal"]
        return len(selected)


class WorkerBodyTest(WorkerCase):
    """A worker receives a large body slowly."""

    async def test_a_worker_that_responds_before_it_has_read_the_body(self) -> None:
        """Its response is passed on at once, and the next request isn't taken for the body."""
        has_response = asyncio.Event()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await read_head(reader):
                size = LARGE_BODY_BYTES if not has_response.is_set() else 0
                writer.write(response("1" if size else "2", b"early" if size else b"next"))
                await has_response.wait()
                await reader.readexactly(size)

        self.script = script
        large = request("1", method="POST")._replace(body=bytes(LARGE_BODY_BYTES))
        async with asyncio.timeout(10):
            early = await self.connection.send_request(large, 1000)
            self.assertEqual(await early.body.read(), b"early")
            self.connection.keep_alive(early)
            has_response.set()
            self.assertEqual(await self.fetch("2"), b"next")

    # It was copied three times, twice of that for a moment.
    async def test_large_body_is_copied_once(self) -> None:
        """The copy waits in the connection, so that all of it is sent."""
        body = bytes(LARGE_BODY_BYTES)
        received: list[bytes] = []

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            await proceed.wait()
            received.append(await reader.readexactly(LARGE_BODY_BYTES))
            writer.write(response("1", b"whole"))

        self.script = script
        proceed = asyncio.Event()
        given = request("1", method="POST")._replace(body=body)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        sending = asyncio.create_task(self.connection.send_request(given, 5000))
        await asyncio.sleep(0.1)
        _, peak_bytes = tracemalloc.get_traced_memory()
        proceed.set()
        self.assertEqual((await asyncio.wait_for(sending, 5)).status, 200)
        self.assertEqual(received, [body])
        self.assertLess(peak_bytes, 1.5 * LARGE_BODY_BYTES)


if __name__ == "__main__":
    unittest.main()
