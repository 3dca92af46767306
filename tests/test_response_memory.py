"""Tests that responses which wait for slow callers don't exhaust the memory of a process."""

import asyncio
import unittest

from cowslipvane.call import Chunk
from tests.connections_case import PART, ConnectionsTestCase, answer, chunk
from tests.endless_worker import Heartbeat

CONNECTIONS = 100
PARTS = 16
# Responses, and what asyncio and the stand-in callers hold; a host has 200 MB.
MAX_MEMORY_GROWTH_BYTES = 96 << 20


def part(*, more: bool = True) -> Chunk:
    """Return a part with a body of its own."""
    return chunk(bytes(len(PART)), more=more)


class SlowCallersTest(ConnectionsTestCase):
    """Many callers have large responses at the same time."""

    async def asyncSetUp(self) -> None:
        """Switch off the debug mode of asyncio, which slows each turn of the loop."""
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)

    async def until_passed_on(self, count: int) -> None:
        """Return once so many requests have been passed on."""
        await self.until(lambda: len(self.script.arrived) == count)

    # Guards against a process that is killed at its memory limit, with every call that it holds.
    async def test_held_responses_are_bounded(self) -> None:
        """One is held back on each connection, and another waits behind it."""
        async with Heartbeat() as heartbeat:
            for number in range(CONNECTIONS):
                await self.connect()
                held, behind = f"/{number}/held", f"/{number}/behind"
                self.send(held, behind)
                await self.until_passed_on(2 * (number + 1))
                for path in (behind, held):
                    parts = [part() for _ in range(PARTS - 2)]
                    self.script.send(path, answer(b"", more=True), *parts, part(more=path == held))
                await asyncio.sleep(0.001)
        self.assertLess(heartbeat.memory_growth_bytes, MAX_MEMORY_GROWTH_BYTES)

    # Guards against responses that are never held back again, since those that were sent, or whose
    # callers are gone, still count.
    async def test_what_was_sent_or_lost_is_not_held(self) -> None:
        """Half of the callers read their responses, the others leave."""
        for number in range(2 * PARTS):
            await self.connect()
            held, behind = f"/{number}/held", f"/{number}/behind"
            self.send(held, behind)
            await self.until_passed_on(2 * (number + 1))
            self.script.send(held, answer(b"", more=True), *(part() for _ in range(PARTS - 2)))
            await self.until(lambda: self.callers._responder.held_bytes)
            if number % 2:
                self.writer.transport.abort()
            else:
                self.script.send(held, part(more=False))
                self.script.send(behind, answer(b"second"))
                self.assertEqual(len((await self.response())[2]), (PARTS - 1) * len(PART))
                self.assertEqual((await self.response())[2], b"second")
            await self.until(lambda: not self.callers._responder.held_bytes)


if __name__ == "__main__":
    unittest.main()
