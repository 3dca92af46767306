"""Tests that an owner counts the body of an attempt until that has ended, in whichever way."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from cowslipvane.call import BodyAccount, Cancel, Fence
from cowslipvane.membership import Worker
from tests.test_owner import NOWHERE, SERVICE, OwnerTestCase, make_owner, member, offer, stop

BODY_BYTES = 1 << 20
RUNNING, QUEUED = offer(1, "/wait"), offer(2, "/ok")


class HeldBodiesTest(OwnerTestCase):
    """One attempt runs and one is queued, each with a large body."""

    async def asyncSetUp(self) -> None:
        """Start the owner with an account."""
        await super().asyncSetUp()
        self.account = BodyAccount(max_bytes=64 << 20)
        self.owner = make_owner(member("a", NOWHERE, None), bodies=self.account)
        await self.owner.register_worker(Worker(SERVICE, self.address, 1, 10))
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner.run()))
        for given in (RUNNING, QUEUED):
            self.assertTrue(self.owner.held_bodies.reserve(given.attempt, BODY_BYTES))
        # A link has one reply function, by which the owner knows it.
        self.reply = self.inbox.reply
        self.worker.arrived.clear()
        await self.owner.offer(RUNNING, self.reply)
        await self.worker.arrived.wait()
        await self.owner.offer(QUEUED, self.reply)
        self.assertGreaterEqual(self.account.held_bytes, 2 * BODY_BYTES)

    async def check(self, end: Callable[[], Awaitable[None]]) -> None:
        """End both attempts, and check that nothing is held any more."""
        await end()
        self.worker.release.set()
        async with asyncio.timeout(5):
            await self.owner.wait_idle()
            while self.account.held_bytes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_both_are_answered(self) -> None:
        """One after the other."""

        async def end() -> None:
            self.worker.release.set()

        await self.check(end)

    async def test_both_are_cancelled(self) -> None:
        """Their entry proxies don't need them any more."""

        async def end() -> None:
            for given in (QUEUED, RUNNING):
                await self.owner.cancel(Cancel(attempt=given.attempt, incarnation=1), self.reply)

        await self.check(end)

    async def test_both_are_fenced(self) -> None:
        """Their links were lost, and the outcome was asked for over others."""

        async def end() -> None:
            for given in (QUEUED, RUNNING):
                await self.owner.fence(Fence(attempt=given.attempt, incarnation=1), self.reply)

        await self.check(end)

    async def test_their_link_is_lost_for_good(self) -> None:
        """Nobody asks for the outcome."""

        async def end() -> None:
            for given in (QUEUED, RUNNING):
                self.owner.abandon(given.attempt, self.reply)

        await self.check(end)

    async def test_the_worker_leaves(self) -> None:
        """Its queue is refused."""
        await self.check(self.owner.deregister_worker)

    async def test_the_process_stops(self) -> None:
        """What is queued is refused, and what runs ends."""
        await self.check(self.owner.drain)

    async def test_an_attempt_that_is_refused_at_once(self) -> None:
        """It was withdrawn before its offer came."""
        late = offer(3, "/ok")
        await self.owner.fence(Fence(attempt=late.attempt, incarnation=1), self.reply)
        self.assertTrue(self.owner.held_bodies.reserve(late.attempt, BODY_BYTES))
        held = self.account.held_bytes
        await self.owner.offer(late, self.reply)
        self.assertLess(self.account.held_bytes, held)


if __name__ == "__main__":
    unittest.main()
