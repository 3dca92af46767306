"""Tests that a worker's response counts as one only if its status is one of HTTP."""

import asyncio
import unittest

from cowslipvane.call import AttemptId, Offer, Refused, Request
from cowslipvane.membership import Worker
from cowslipvane.refusal import explain
from cowslipvane.tasks.upstreams._worker_connection import AnswerBroken
from cowslipvane.types import Header, HostName, Verdict
from tests.test_owner import NOWHERE, SERVICE, Inbox, make_owner, member, stop
from tests.worker_case import WorkerCase, read_head

# None of these is a status of RFC 9110: out of range, not three digits, with a sign or a space, and
# digits of another script.
ODD_STATUSES = (
    "000",
    "001",
    "099",
    "600",
    "700",
    "999",
    "0",
    "20",
    "2000",
    "0200",
    "-200",
    "+200",
    "2 00",
    "20x",
    "２００",
    "",
)
# A response with such a status is refused at once, whatever remains of the deadline.
AT_ONCE_S = 2.0


def odd_response(status: str) -> bytes:
    """Return a response with a status to the request 1."""
    head = f"HTTP/1.1 {status} Odd\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\r\n"
    return head.encode() + b"whole"


class OddStatusTest(WorkerCase):
    """The worker answers with a status that isn't one, and leaves the connection open."""

    async def serve_odd(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a request, and wait for another one."""
        await read_head(reader)
        writer.write(odd_response(self.status))
        await reader.read()

    # Guards against callers that get such a response as their answer, and against requests that
    # wait until their deadline, since a status below 100 was taken for an interim one.
    async def test_such_a_response_is_none(self) -> None:
        """The request may have run, and the connection isn't used again."""
        self.script = self.serve_odd
        for status in ODD_STATUSES:
            with self.subTest(status=status):
                self.status = status
                with self.assertRaises(AnswerBroken):
                    async with asyncio.timeout(AT_ONCE_S):
                        await self.fetch("1")
                self.connection.close()

    async def test_statuses_at_the_ends_of_the_range(self) -> None:
        """They reach the caller unchanged."""
        self.script = self.serve_odd
        for status in ("200", "299", "404", "599"):
            with self.subTest(status=status):
                self.status = status
                self.assertEqual(await self.fetch("1"), b"whole")
                self.connection.close()

    async def test_the_caller_gets_a_refusal(self) -> None:
        """It says that the request may have run, at the owner as well."""
        self.script, self.status = self.serve_odd, "000"
        owner = make_owner(member("a", NOWHERE, None))
        await owner.register_worker(Worker(SERVICE, self.address, 1, 10))
        self.addAsyncCleanup(stop, asyncio.create_task(owner.run()))
        inbox = Inbox()
        headers = (Header("X-Request-Id", "1"),)
        given = Offer(
            attempt=AttemptId(HostName("a"), 1, 1),
            service=SERVICE,
            request=Request("PUT", "/", headers, b""),
            timeout=30.0,
            idempotent=False,
            caller="c",
        )
        await owner.offer(given, inbox.reply)
        async with asyncio.timeout(AT_ONCE_S):
            message = await inbox.next()
        assert isinstance(message, Refused), message
        explanation = explain(message.refusal)
        self.assertEqual((explanation.status, explanation.verdict), (502, Verdict.MAY_HAVE_RUN))


if __name__ == "__main__":
    unittest.main()
