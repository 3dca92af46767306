"""Tests that an owner's events tell what it did with attempts that nobody waits for any more."""

import asyncio
import dataclasses
import unittest

from cowslipvane.call import Cancel, Offer
from cowslipvane.membership import Worker
from cowslipvane.types import Header
from tests.test_owner import (
    NOWHERE,
    SERVICE,
    TIMEOUT_S,
    Inbox,
    ScriptedWorker,
    events,
    make_owner,
    member,
    offer,
    stop,
)


def named(serial: int, path: str, *, method: str = "GET") -> Offer:
    """Return an offer of a request whose id is its path."""
    given = offer(serial, path, method=method)
    request = given.request._replace(headers=(Header("X-Request-Id", path),))
    return dataclasses.replace(given, request=request)


class CancelledEventTest(unittest.IsolatedAsyncioTestCase):
    """The worker has one slot; requests are named by their paths."""

    async def asyncSetUp(self) -> None:
        """Start an owner whose events are kept."""
        self.worker = ScriptedWorker()
        address = await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.events = events()
        self.owner = make_owner(member("a", NOWHERE, None), log=self.events)
        await self.owner.register_worker(Worker(SERVICE, address, 1, 10))
        self.addAsyncCleanup(stop, asyncio.create_task(self.owner.run()))
        await asyncio.sleep(0)
        self.inbox = Inbox()

    async def begin(self, given: Offer) -> None:
        """Offer an attempt and return once the worker has it."""
        self.worker.arrived.clear()
        await self.owner.offer(given, self.inbox.reply)
        await asyncio.wait_for(self.worker.arrived.wait(), TIMEOUT_S)

    async def cancel(self, given: Offer) -> None:
        """Cancel an attempt."""
        await self.owner.cancel(Cancel(attempt=given.attempt, incarnation=1), self.inbox.reply)

    def details(self, kind: str, name: str) -> dict[str, str]:
        """Return a detail of each event of a kind, by its request."""
        selected = (event for event in self.events.select() if event["kind"] == kind)
        return {event["request"]: event["detail"][name] for event in selected}

    # An entry proxy knows only that a request was at an owner, not whether its worker had it.
    async def test_cancelled_attempts(self) -> None:
        """Queued, running, and running though it may run only once."""
        await self.begin(named(1, "/wait/1"))
        await self.owner.offer(named(2, "/queued"), self.inbox.reply)
        await self.cancel(named(2, "/queued"))
        await self.cancel(named(1, "/wait/1"))
        await self.begin(named(3, "/wait/3", method="PUT"))
        await self.cancel(named(3, "/wait/3"))
        expected = {
            "/queued": "queued",
            "/wait/1": "running, aborted",
            "/wait/3": "running, left to end",
        }
        self.assertEqual(self.details("cancelled", "state"), expected)

    async def test_attempts_of_a_lost_entry_proxy(self) -> None:
        """The event names the cause."""
        await self.begin(named(1, "/wait/1"))
        await self.owner.offer(named(2, "/queued"), self.inbox.reply)
        for serial in (2, 1):
            attempt = offer(serial, "").attempt
            reply = self.owner._replies.function_of(attempt)
            assert reply is not None
            self.owner.abandon(attempt, reply)
        reason = "the connection to its entry proxy was lost"
        expected = {"/queued": reason, "/wait/1": reason}
        self.assertEqual(self.details("cancelled", "reason"), expected)

    async def test_exit(self) -> None:
        """The event of a request that the exit cuts off names it."""
        await self.begin(named(1, "/wait/1"))
        self.owner.record_exit("the grace period is over")
        self.assertEqual(self.details("cut", "reason"), {"/wait/1": "the grace period is over"})


if __name__ == "__main__":
    unittest.main()
