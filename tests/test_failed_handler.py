"""Tests that an unexpected error in the handling of one request is a refusal of that request."""

import dataclasses
import json
import unittest

from cowslipvane.types import Header
from tests.connections_case import PART, ConnectionsTestCase, answer


class FailedHandlerTest(ConnectionsTestCase):
    """The error ended the connection, with the answers of the other requests on it."""

    def failure(self, path: str) -> dict[str, str]:
        """Return the details of the event of an unexpected error."""
        (event,) = [form for form in self.events.select(request=path) if form["kind"] == "failed"]
        return event["detail"]

    async def check_refusal(self, status: int, verdict: str) -> None:
        """Check the next response, and that the connection isn't closed after it."""
        received, fields, body = await self.response()
        refusal = json.loads(body)
        self.assertEqual((received, refusal["code"]), (status, "proxy-failed"))
        self.assertEqual(refusal["verdict"], verdict)
        self.assertNotEqual(fields.get("connection"), "close")

    async def test_error_in_the_dispatch(self) -> None:
        """The call may have run; a request that waited behind it is answered."""
        self.script.fail("/2", RuntimeError("unexpected"))
        self.send("/1", "/2", "/3")
        await self.until_arrived("/1", "/2", "/3")
        self.script.send("/1", answer(b"first"))
        self.script.send("/3", answer(b"third"))
        self.assertEqual((await self.response())[2], b"first")
        await self.check_refusal(502, "may have run")
        self.assertEqual((await self.response())[2], b"third")
        failure = self.failure("/2")
        self.assertEqual(failure["error"], "RuntimeError('unexpected')")
        self.assertRegex(failure["place"], r"^connections_case\.py:\d+$")

    async def test_error_before_the_request_is_passed_on(self) -> None:
        """The caller may send such a request again."""
        self.callers._owner = None  # type: ignore[assignment]
        self.send("/parent.1")
        await self.check_refusal(503, "not run")
        self.assertEqual(self.failure("/parent.1")["progress"], "not passed on")

    async def test_response_whose_head_cannot_be_written(self) -> None:
        """The handler doesn't write it itself; the connection was closed without an answer."""
        broken = dataclasses.replace(answer(b"first"), headers=(Header("X-Mark", "a\r\nb"),))
        self.send("/1", "/2")
        await self.until_arrived("/1", "/2")
        self.script.send("/1", broken)
        self.script.send("/2", answer(b"second"))
        await self.check_refusal(502, "may have run")
        self.assertEqual((await self.response())[2], b"second")
        self.assertIn("ValueError", self.failure("/1")["error"])

    async def test_response_in_parts_whose_head_cannot_be_written(self) -> None:
        """Its refusal was sent as a chunk, whose end was in front of the next response."""
        head = answer(PART, more=True)
        self.script.send("/1", dataclasses.replace(head, headers=(Header("X-Mark", "a\r\nb"),)))
        self.send("/1")
        await self.check_refusal(502, "may have run")
        self.assertEqual(self.script.abandoned, 1)
        self.send("/2", "/3")
        await self.until_arrived("/1", "/2", "/3")
        self.script.send("/2", answer(b"second"))
        self.script.send("/3", answer(b"third"))
        self.assertEqual((await self.response())[2], b"second")
        self.assertEqual((await self.response())[2], b"third")


if __name__ == "__main__":
    unittest.main()
