"""Tests that nothing but its own end takes the answer from a request in progress."""

import unittest

from cowslipvane.catalogue import Key, Resource, Service, Snapshot, TrafficPolicy, combine_digests
from cowslipvane.catalogue import resource_digest as digest_of
from cowslipvane.tasks.http._pipeline import PipelinedConnection
from cowslipvane.types import Version
from tests.connections_case import ConnectionsTestCase, answer

FIRST_HALF, SECOND_HALF = b"12345", b"67890"
LENGTH_FIELD = f"Content-Length: {len(FIRST_HALF + SECOND_HALF)}\r\n"


class RequestsInProgressTest(ConnectionsTestCase):
    """Two requests have been passed on, and the body of a third is arriving."""

    async def asyncSetUp(self) -> None:
        """Send the requests."""
        await super().asyncSetUp()
        self.send("/1", "/2")
        await self.until_arrived("/1", "/2")
        self.first = self.reader, self.writer
        await self.connect()
        self.send("/3", method="POST", fields=LENGTH_FIELD, body=FIRST_HALF)
        await self.until(lambda: len(self.callers.in_flight) == 3)

    async def check_answers(self) -> None:
        """Check that each request gets its answer."""
        self.writer.write(SECOND_HALF)
        await self.until_arrived("/1", "/2", "/3")
        self.script.send("/3", answer(b"/3"))
        self.assertEqual((await self.response())[2], b"/3")
        self.reader, self.writer = self.first
        for path in ("/1", "/2"):
            self.script.send(path, answer(path.encode()))
            self.assertEqual((await self.response())[2], path.encode())

    async def test_new_configuration(self) -> None:
        """It has neither their route nor room for their bodies."""
        resources = (
            Resource(Key("traffic-policy", "t"), TrafficPolicy(max_body_bytes=1), Version(2)),
            Resource(Key("service", "stock"), Service(traffic_policy="t"), Version(2)),
        )
        digest = combine_digests(digest_of(resource) for resource in resources)
        self.subscription.apply_snapshot(Snapshot(Version(2), resources, digest))
        self.configuration_applied.send()
        await self.check_answers()
        self.send("/4")
        self.assertEqual((await self.response())[0], 404)

    async def test_end_of_the_idle_time(self) -> None:
        """It closes only connections on which nothing is in progress."""
        connections = self.listener._server.connections
        for connection in connections:
            assert isinstance(connection, PipelinedConnection)
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
        await self.check_answers()


if __name__ == "__main__":
    unittest.main()
