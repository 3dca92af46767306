"""Tests that many large request bodies at once don't exhaust the memory of a process."""

import asyncio
import unittest

from cowslipvane.tasks._callers import MAX_BODY_BYTES
from tests.connections_case import ConnectionsTestCase, answer
from tests.endless_worker import Heartbeat

BODY_BYTES = 16 << 20
CALLERS = 12
# What the sockets, asyncio and the stand-in callers hold beside the bodies.
MAX_OTHER_BYTES = 48 << 20
FIELDS = f"Content-Length: {BODY_BYTES}\r\n"


class BodyMemoryTest(ConnectionsTestCase):
    """Each caller sends a large body on a connection of its own."""

    max_body_bytes = BODY_BYTES

    async def asyncSetUp(self) -> None:
        """Switch off the debug mode of asyncio, which slows each turn of the loop."""
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
        self.assertLess(heartbeat.memory_growth_bytes, MAX_BODY_BYTES + MAX_OTHER_BYTES)
        self.assertGreaterEqual(statuses.count(200), 1)
        self.assertEqual(statuses.count(200) + statuses.count(503), CALLERS)
        self.assertEqual(set(map(len, self.script.bodies.values())), {BODY_BYTES})
        await self.until(lambda: not self.callers.in_flight)
        self.script.send("/again", answer(b""))
        self.assertEqual(await self.call("/again"), 200)

    @property
    def passed_on(self) -> int:
        """Return how many requests were passed on."""
        return len(self.script.arrived)

    @property
    def refused(self) -> int:
        """Return how many requests were refused."""
        selected = [event for event in self.events.select() if event["kind"] == "refusal"]
        return len(selected)


if __name__ == "__main__":
    unittest.main()
