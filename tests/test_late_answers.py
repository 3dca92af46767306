"""Tests that an answer which has begun is not waited for beyond the deadline of its request."""

import asyncio
import time
import unittest
from typing import NamedTuple

from tests.connections_case import PART, ConnectionsTestCase, answer, chunk

DEADLINE_S = 0.3
# An answer that is overdue by more than this counts against the route's timeout.
MAX_OVERDUE_S = 0.5
FIELDS = f"X-Request-Timeout-Ms: {DEADLINE_S * 1000:.0f}\r\nContent-Length: 0\r\n"


class Case(NamedTuple):
    """A request, whether parts of its answer keep coming, and whether its caller reads them."""

    path: str
    goes_on: bool
    reads: bool


CASES = (Case("/1", True, True), Case("/2", False, True), Case("/3", True, False))


class LateAnswerTest(ConnectionsTestCase):
    """The answer to a request that may run only once begins, and isn't complete in time."""

    async def send_parts(self, case: Case) -> None:
        """Begin an answer, and send further parts if it goes on."""
        self.script.send(case.path, answer(PART, more=True))
        while case.goes_on:
            self.script.send(case.path, chunk(PART, more=True))
            await asyncio.sleep(0.01)

    # The answer was passed on until its worker's left_to_end was over, 30 s after the deadline.
    async def test_answer_in_parts_is_broken_off_after_the_deadline(self) -> None:
        """It ends with a reset, and its owner is told."""
        for number, case in enumerate(CASES, start=1):
            with self.subTest(case=case):
                await self.connect()
                started_at = time.monotonic()
                self.send(case.path, method="POST", fields=FIELDS)
                sending = asyncio.create_task(self.send_parts(case))
                self.addCleanup(sending.cancel)
                if case.reads:
                    with self.assertRaises(ConnectionResetError):
                        await self.read_to_end()
                self.assertEqual((await self.end(case.path))["kind"], "broken")
                elapsed = time.monotonic() - started_at
                self.assertTrue(DEADLINE_S <= elapsed < DEADLINE_S + MAX_OVERDUE_S, elapsed)
                self.assertEqual(self.script.abandoned, number)
                sending.cancel()

    async def test_held_answer_is_refused_after_the_deadline(self) -> None:
        """The connection goes on with the answer behind it."""
        self.script.send("/2", answer(b"two"))
        self.send("/1", method="POST", fields=FIELDS)
        self.send("/2")
        await self.until_arrived("/1", "/2")
        self.script.send("/1", answer(PART, more=True))
        self.assertEqual((await self.response())[0], 504)
        self.assertEqual((await self.response())[2], b"two")
        self.assertEqual(self.script.abandoned, 1)


if __name__ == "__main__":
    unittest.main()
