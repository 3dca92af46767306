"""Tests that a worker runs what callers sent and nothing else, with real processes."""

import asyncio
import unittest
from typing import NamedTuple

from tests.processes_case import SERVICE
from tests.teams_case import ENTRY_SERVICE, HOST, OPEN, REQUEST_ID, Connection, TeamsCase
from tools.http_messages import encode_chunk
from tools.soak._hosts import HostProcess

ORIGIN = "caller-service"
# Larger than the buffers of sockets between a proxy and its worker.
LONG_BODY = bytes(range(256)) * 3_500
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
TARGETS = (
    f"{OPEN}",
    f"{OPEN}a/b/",
    f"{OPEN}1?",
    f"{OPEN}1?a=1&b=&c&a=2",
    f"{OPEN}a%2Fb%20c?q=%26+%2b&u=https://other.example/x?y",
    f"{OPEN}a;v=1,2/(x)'!*~$@:/?[x]=|",
    f"{OPEN}%E2%82%AC/%c3%a9",
)
BODIES = (b"", b"x", b"\r\n\r\n0\r\n\r\n", LONG_BODY)
CHUNK_SIZES = (1, 4_096, 300_000)


class Hop(NamedTuple):
    """A way to the worker, and the service on the host where it begins."""

    name: str
    process: HostProcess
    service: str


class FaithfulForwardingTest(TeamsCase):
    """Requests at a proxy beside the worker, and at another one; there are no teams."""

    async def asyncSetUp(self) -> None:
        """Put a configuration without teams in force."""
        await super().asyncSetUp()
        await self.start_serving(None)
        self.hops = (
            Hop("one hop", self.owner, SERVICE),
            Hop("two hops", self.entry, ENTRY_SERVICE),
        )

    # Guards against work of another method, target, id or body than a caller sent.
    async def test_requests_arrive_unchanged(self) -> None:
        """Each runs once."""
        for hop in self.hops:
            connection = await self.connect(hop.process)
            for method in METHODS:
                for index, target in enumerate(TARGETS):
                    with self.subTest(hop=hop.name, method=method, target=target):
                        request_id = f"{method}-{index}-{hop.service}"
                        fields = {"Content-Length": "0"} if method == "POST" else {}
                        connection.send(request_id, target, fields, method)
                        await self.check(connection, request_id, method, target, b"")

    # Guards against work under an id that no caller sent (issue 52, UNASKED).
    async def test_a_request_without_an_id_is_refused(self) -> None:
        """It doesn't run under an id that the proxy makes up; an empty one is none."""
        for hop in self.hops:
            for field in ("", f"{REQUEST_ID}: \r\n"):
                connection = await self.connect(hop.process)
                head = f"GET {OPEN}1 HTTP/1.1\r\nHost: {HOST}\r\n{field}\r\n"
                connection.writer.write(head.encode())
                self.assertEqual((await connection.answer()).status, 400, (hop.name, field))
        self.assertEqual(self.worker.received, [])

    # Guards against a body that is cut, doubled or framed wrongly on its way.
    async def test_bodies_arrive_unchanged(self) -> None:
        """They come with a length, or in chunks of any size."""
        for hop in self.hops:
            connection = await self.connect(hop.process)
            for number, body in enumerate(BODIES):
                for size in (0, *CHUNK_SIZES):
                    with self.subTest(hop=hop.name, length=len(body), chunk_bytes=size):
                        request_id = f"{hop.service}-{number}-{size}"
                        await self.send(connection, request_id, body, size)
                        await self.check(connection, request_id, "POST", f"{OPEN}1", body)

    # Guards against a service of the caller that isn't the one of its host.
    async def test_the_service_of_the_caller_is_that_of_its_host(self) -> None:
        """Whatever the caller sent, in any spelling."""
        forged: tuple[dict[str, str], ...] = (
            {},
            {"Caller-Service": "forged"},
            {"caller-service": "forged", "CALLER-SERVICE": "forged"},
            {"Caller-Service": "forged", "Connection": "Caller-Service"},
        )
        for hop in self.hops:
            for index, fields in enumerate(forged):
                with self.subTest(hop=hop.name, fields=fields):
                    request_id = f"forged-{hop.service}-{index}"
                    answer = await self.ask(hop.process, request_id, f"{OPEN}1", fields)
                    self.assertEqual(answer.status, 200)
                    (run,) = self.runs(request_id)
                    self.assertEqual(run.values(ORIGIN), [hop.service])

    # Guards against the rest of a body that is taken for a request, or joined to the next one.
    async def test_a_response_before_the_end_of_a_body_mixes_nothing(self) -> None:
        """The worker responds to the head, and reads the body afterwards."""
        self.worker.is_early = True
        for hop in self.hops:
            connection = await self.connect(hop.process)
            for index in range(6):
                with self.subTest(hop=hop.name, index=index):
                    request_id = f"early-{hop.service}-{index}"
                    body = f"GET {OPEN}inner HTTP/1.1\r\n\r\n".encode() + LONG_BODY
                    await self.send(connection, request_id, body, CHUNK_SIZES[1] * (index % 2))
                    answer = await connection.answer()
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.head.fields[REQUEST_ID], request_id)
        ids = [run.values(REQUEST_ID) for run in self.worker.received]
        self.assertEqual(len(ids), len({str(each) for each in ids}), "a request ran twice")
        for run in self.worker.received:
            self.assertRegex(run.values(REQUEST_ID)[0], "^early-")
            self.assertEqual((run.method, run.target), ("POST", f"{OPEN}1"))
            self.assertTrue(run.body.endswith(LONG_BODY))

    async def send(
        self, connection: Connection, request_id: str, body: bytes, chunk_bytes: int
    ) -> None:
        """Send a request with a body, in chunks unless their size is 0."""
        if not chunk_bytes:
            framing = {"Content-Length": str(len(body))}
        else:
            framing = {"Transfer-Encoding": "chunked"}
            # A chunk of one byte each is for the begin of a long body only.
            starts = [*range(0, min(len(body), 50 * chunk_bytes), chunk_bytes), len(body)]
            parts = [body[start:end] for start, end in zip(starts, starts[1:], strict=False)]
            body = b"".join(map(encode_chunk, [part for part in parts if part])) + encode_chunk(b"")
        connection.send(request_id, f"{OPEN}1", framing, "POST")
        connection.writer.write(body)
        async with asyncio.timeout(5):
            await connection.writer.drain()

    async def check(
        self, connection: Connection, request_id: str, method: str, target: str, body: bytes
    ) -> None:
        """Check the response to a request, and that it ran once, as it was sent."""
        answer = await connection.answer()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.head.fields["response-signature"], f"signature-{request_id}")
        (run,) = self.runs(request_id)
        self.assertEqual((run.method, run.target), (method, target))
        self.assertTrue(run.body == body, f"{len(run.body)} bytes arrived of {len(body)}")


if __name__ == "__main__":
    unittest.main()
