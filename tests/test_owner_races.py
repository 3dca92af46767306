"""Tests of owners at which two tasks end the same work, or change the worker, at the same time."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import PropertyMock, patch

from cowslipvane.call import Answer, Cancel, Fence, OwnerMessage, Refused
from cowslipvane.membership import Announcement, Worker
from cowslipvane.refusal import explain
from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.types import Verdict
from tests.test_owner import SERVICE, TIMEOUT_S, Inbox, OwnerTestCase, offer, stop

QUEUED = offer(2, "/ok/2")
OTHER = offer(3, "/ok/3")


class HeldReply:
    """A reply function that waits until it is released, as that of a peer that is cut off."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.messages: list[OwnerMessage] = []

    async def __call__(self, message: OwnerMessage) -> None:
        """Wait for the release, and record the message."""
        await self.released.wait()
        self.messages.append(message)


class EndTest(OwnerTestCase):
    """Queued work that two tasks end at the same time."""

    async def asyncSetUp(self) -> None:
        """Queue two attempts behind one that runs."""
        await super().asyncSetUp()
        await self.begin(offer(1, "/wait"))
        # A link has one reply function, by which the owner knows it.
        self.reply = self.inbox.reply
        await self.owner.offer(QUEUED, self.reply)
        self.other = Inbox()
        await self.owner.offer(OTHER, self.other.reply)

    def cancel(self) -> Coroutine[Any, Any, None]:
        """Cancel an attempt, as for a caller who leaves or a deadline that passes."""
        message = Cancel(attempt=QUEUED.attempt, incarnation=1)
        return self.owner.cancel(message, self.reply)

    def fence(self) -> Coroutine[Any, Any, None]:
        """Ask for the outcome of an attempt, as after the loss of a link."""
        message = Fence(attempt=QUEUED.attempt, incarnation=1)
        return self.owner.fence(message, self.reply)

    async def abandon(self) -> None:
        """Withdraw an attempt whose link was lost for good."""
        self.owner.abandon(QUEUED.attempt, self.reply)

    def ends(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the ways in which an owner refuses its queue."""
        changed = Worker(SERVICE, self.address, 2, 10)
        return {
            "drain": self.owner.drain,
            "worker leaves or is silent": self.owner.deregister_worker,
            "worker changes": lambda: self.owner.register_worker(changed),
            "operator takes the upstream out": self.owner._refuse_if_out,
            "process exits": self.owner._stop_slots,
        }

    async def race(
        self, end: str, other: Callable[["EndTest"], Coroutine[Any, Any, None]], *, first: bool
    ) -> None:
        """Let an owner refuse its queue while another task ends one attempt in it."""
        await self.asyncSetUp()
        with patch.object(Owner, "_is_out", PropertyMock(return_value=True)):
            tasks = [self.ends()[end](), other(self)]
            await asyncio.wait_for(asyncio.gather(*(tasks if first else tasks[::-1])), TIMEOUT_S)
        refused = await self.other.next()
        assert isinstance(refused, Refused)
        self.assertEqual(explain(refused.refusal).verdict, Verdict.NOT_RUN)
        self.assertNotIn(QUEUED.attempt, self.owner.in_flight)

    # Guards against planned stops that end with an exception and cut the requests in flight, since
    # a caller left just as its queued request was refused. The same ended a process without a stop.
    async def test_work_that_ends_twice_is_refused_once(self) -> None:
        """Every way to refuse the queue meets every way to end one attempt, in both orders."""
        others = (EndTest.cancel, EndTest.fence, EndTest.abandon)
        for end in self.ends():
            for other in others:
                for first in (True, False):
                    with self.subTest(end=end, other=other.__name__, first=first):
                        await self.race(end, other, first=first)


class WorkerTest(OwnerTestCase):
    """Announcements that arrive while the refusals of an earlier one wait for a peer."""

    async def asyncSetUp(self) -> None:
        """Run one attempt, and queue another whose refusal will wait."""
        await super().asyncSetUp()
        await self.begin(offer(1, "/wait"))
        self.held = HeldReply()
        await self.owner.offer(QUEUED, self.held)

    def announce(self, slots: int, sequence: int, *, leaves: bool = False) -> asyncio.Task[bool]:
        """Let the owner handle an announcement."""
        worker = Worker(SERVICE, self.address, slots, 10, "w")
        state: Any = "leaving" if leaves else "ready"
        announcement = Announcement(worker, state, 1, sequence)
        task = asyncio.create_task(self.owner.handle_announcement(announcement))
        self.addAsyncCleanup(stop, task)
        return task

    async def release(self, first: asyncio.Task[bool]) -> None:
        """Let the first announcement's refusals be sent."""
        await asyncio.sleep(0.05)
        self.held.released.set()
        await asyncio.wait_for(first, TIMEOUT_S)
        self.assertEqual(len(self.held.messages), 1)

    # Guards against workers that get no request any more: the slots of each of two announcements
    # waited for those of the other.
    async def test_a_second_change_during_the_first_leaves_slots_that_run(self) -> None:
        """The newer announcement counts."""
        first = self.announce(2, 1)
        await asyncio.sleep(0.05)
        await asyncio.wait_for(self.announce(3, 2), TIMEOUT_S)
        await self.release(first)
        self.worker.release.set()
        self.assertIsInstance(await self.inbox.next(), Answer)
        self.assertEqual(self.owner.load.slots, 3)
        await self.owner.offer(OTHER, self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Answer)

    # Guards against work for a worker that has left, brought back by an earlier announcement that
    # was still being handled.
    async def test_a_worker_that_leaves_during_a_change_stays_away(self) -> None:
        """The change was announced before."""
        first = self.announce(2, 1)
        await asyncio.sleep(0.05)
        await asyncio.wait_for(self.announce(2, 2, leaves=True), TIMEOUT_S)
        await self.release(first)
        await self.owner.offer(OTHER, self.inbox.reply)
        message = await self.inbox.next()
        assert isinstance(message, Refused)
        self.assertIn("draining", explain(message.refusal).code)
        self.assertIsNone(self.owner._worker)

    # Guards against a worker that gets no requests until it announces itself again, since the
    # departure of the one before it was handled at the same moment.
    async def test_a_worker_that_comes_as_another_departs_stays(self) -> None:
        """The departure ends only the one that it names."""
        self.held.released.set()
        await asyncio.wait_for(self.announce(2, 1), TIMEOUT_S)
        departing = asyncio.create_task(self.owner.handle_departure("w", None))
        worker = Worker(SERVICE, self.address, 3, 10, "next")
        announcement = Announcement(worker, "ready", 2, 1)
        coming = asyncio.create_task(self.owner.handle_announcement(announcement))
        await asyncio.wait_for(asyncio.gather(departing, coming), TIMEOUT_S)
        self.assertEqual(self.owner._worker, worker)


if __name__ == "__main__":
    unittest.main()
