"""Tests that the body of a request is forwarded with the encoding that its caller chose."""

import gzip
import unittest

from tests.connections_case import ConnectionsTestCase, answer


class EncodedBodyTest(ConnectionsTestCase):
    """A body was decoded, and forwarded with the field that still named its encoding."""

    async def check_forwarded(self, body: bytes) -> None:
        """Send a body as gzip, and check that it is forwarded unchanged."""
        self.script.send("/1", answer(b"first"))
        fields = f"Content-Encoding: gzip\r\nContent-Length: {len(body)}\r\n"
        self.send("/1", method="POST", fields=fields, body=body)
        self.assertEqual((await self.response())[0], 200)
        self.assertEqual(self.script.bodies["/1"], body)

    async def test_encoded_body(self) -> None:
        """The worker received another body than the caller had sent."""
        await self.check_forwarded(gzip.compress(b"line"))

    async def test_body_that_is_not_in_its_encoding(self) -> None:
        """It was refused as a failure of the proxy."""
        await self.check_forwarded(b"line")


if __name__ == "__main__":
    unittest.main()
