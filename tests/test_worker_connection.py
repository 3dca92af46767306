"""Tests of the connection to a worker, against a worker that misbehaves."""

import asyncio
import socket
import struct
import unittest

from cowslipvane.membership import Worker
from cowslipvane.tasks.upstreams._worker_connection import (
    CONNECT_TIMEOUT,
    AnswerBroken,
    WorkerUnreachable,
)
from cowslipvane.tasks.upstreams._worker_http import NotRun, SlotConnection
from cowslipvane.types import Address, ServiceName
from tests.stall import stall
from tests.worker_case import NAMES, WorkerCase, read_head, request, response


class WorkerConnectionTest(WorkerCase):
    """A response is accepted only for its own request, and only if it is complete."""

    async def test_connection_is_reused_for_next_request(self) -> None:
        """The request's head names the instance and the remaining time."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for name in ("1", "2"):
                self.heads.append(await read_head(reader))
                writer.write(response(name, name.encode()))

        self.script = script
        self.assertEqual([await self.fetch("1"), await self.fetch("2")], [b"1", b"2"])
        self.assertEqual(self.connections, 1)
        self.assertIn(b"X-Expected-Instance: i-1\r\n", self.heads[0])
        self.assertIn(b"X-Request-Timeout-Ms: 1000\r\n", self.heads[0])

    # Guards against a worker that is deregistered since its owner had no processor time.
    async def test_a_stall_of_the_owner_fails_no_connection(self) -> None:
        """The worker has accepted the connection meanwhile."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(response("1", b"own"))

        self.script = script
        fetching = asyncio.create_task(self.fetch("1"))
        await asyncio.sleep(0)
        stall(2 * CONNECT_TIMEOUT)
        self.assertEqual(await fetching, b"own")

    async def test_duplicate_response_is_not_read_as_next_response(self) -> None:
        """It arrives with the first response, or in place of the next one."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(response("1", b"one"))
            await read_head(reader)
            writer.write(response("1", b"again") + response("2", b"two"))

        self.script = script
        self.assertEqual([await self.fetch("1"), await self.fetch("2")], [b"one", b"two"])

    async def test_unsolicited_bytes_close_the_connection(self) -> None:
        """The next request is sent over a new connection."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            name = "1" if self.connections == 1 else "2"
            await read_head(reader)
            writer.write(response(name, b"own"))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(response(name, b"stray"))
            await reader.read()

        self.script = script
        self.assertEqual(await self.fetch("1"), b"own")
        await asyncio.sleep(0.2)
        self.assertEqual(await self.fetch("2"), b"own")
        self.assertEqual(self.connections, 2)

    async def test_body_without_length_is_complete_only_without_reset(self) -> None:
        """A close of the connection ends the body; a reset leaves it incomplete."""
        for reset in (False, True):
            with self.subTest(reset=reset):

                async def script(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, resets: bool = reset
                ) -> None:
                    await read_head(reader)
                    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    if resets:
                        linger = struct.pack("ii", 1, 0)
                        writer.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, linger
                        )
                        writer.transport.abort()

                self.script = script
                if reset:
                    with self.assertRaises((AnswerBroken, OSError)):
                        await self.fetch("1")
                    self.connection.close()
                else:
                    self.assertEqual(await self.fetch("1"), b"part")

    async def test_broken_responses_raise(self) -> None:
        """A truncated body, invalid HTTP and a close without a response aren't accepted."""
        for bad in (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", b"nonsense\r\n\r\n", b""):
            with self.subTest(bad=bad):

                async def script(
                    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes = bad
                ) -> None:
                    await read_head(reader)
                    writer.write(data)

                self.script = script
                with self.assertRaises((AnswerBroken, OSError)):
                    await self.fetch("1")
                self.connection.close()

    async def test_not_run_header_raises_not_run(self) -> None:
        """The field decides, not the status, and the connection is kept."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            head = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
            writer.write(head)
            await read_head(reader)
            writer.write(response("2", b"two"))

        self.script = script
        with self.assertRaises(NotRun):
            await self.fetch("1")
        self.assertEqual(await self.fetch("2"), b"two")
        self.assertEqual(self.connections, 1)

    async def test_refused_connection_raises_worker_unreachable(self) -> None:
        """The error shows that nothing was sent."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        worker = Worker(ServiceName("stock"), Address("127.0.0.1", port), 1, 10)
        with self.assertRaises(WorkerUnreachable):
            await SlotConnection(worker=worker, header_names=NAMES).send_request(request("1"), 1000)


if __name__ == "__main__":
    unittest.main()
