"""Tests that malformed input on a connection closes that connection and affects no other."""

import asyncio
import contextlib
import itertools
import json
import random
import unittest
from collections.abc import AsyncIterator
from typing import Any, ClassVar

import aiohttp
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import connect as websocket_connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from cowslipvane import daemon  # noqa: F401  # It registers every message.
from cowslipvane.call import AttemptId, Cancel, Offer, Request
from cowslipvane.membership import Exchange, ExchangeReply, Hello
from cowslipvane.subscription import Pull
from cowslipvane.tasks.peers._event_copies import KeepEvents
from cowslipvane.types import Address, DataCentre, HostName, ServiceName
from cowslipvane.wire import Link, connect, encode
from tools.fleet import EXAMPLES, Fleet, example_hosts

HOSTS = ("stock-1", "stock-2", "stock-3")
PATHS = ("/replica", "/subscribe", "/members", "/events", "/calls")
STAMP = bytes(12)
# CBOR: empty, shorter than a stamp, deeply nested arrays, an array of a huge declared length, and
# stray break codes.
MALFORMED_MESSAGES = (
    b"",
    b"\x00" * 11,
    b"\x81" * 50_000 + STAMP,
    b"\x9b" + b"\xff" * 30,
    b"\xff" * 40,
)
FUZZ = settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# A process handles these messages with any values. Votes and log entries are left out: they are
# trusted, since they come from a replica of the group.
MESSAGES = st.one_of(
    st.from_type(Offer), st.from_type(Cancel), st.from_type(Pull), st.from_type(KeepEvents)
)
HEADS = (
    b"\x16\x03\x01" * 30,
    b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 5000 + b"\r\n",
    b"GET /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n",
    b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /stock/7 HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n",
    b"POST /stock/7 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
    b"GET //other/stock HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    b"OPTIONS * HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    b"GET http://[ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
)


class HostileTest(unittest.TestCase):
    """Three processes; the first receives malformed input while other connections are served."""

    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the processes and put a version in force."""
        hosts = [host for host in example_hosts("quiros") if host.name in HOSTS]
        cls.fleet = Fleet(hosts=hosts)
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.create()
        cls.fleet.start()
        asyncio.run(cls.prepare())

    @classmethod
    async def prepare(cls) -> None:
        """Wait for the processes and apply the resources."""
        await cls.fleet.until_leader()
        await cls.fleet.until_workers(len(HOSTS))
        servers = [f"--server={address}" for address in cls.fleet.operators()]
        path = str(EXAMPLES / "quiros" / "resources.toml")
        cls.fleet.command("apply", "-f", path, *servers)
        await cls.fleet.until_in_force(1, HOSTS)

    def tearDown(self) -> None:
        """Check that every process is alive, serves, and has its configuration."""
        self.assertEqual(self.fleet.alive, list(HOSTS))
        asyncio.run(self.check_service())

    async def check_service(self) -> None:
        """Send calls to each proxy."""
        async with aiohttp.ClientSession() as session:
            for host in itertools.chain(HOSTS, HOSTS):
                url = f"http://{self.fleet.address(host, 'callers')}/stock/7"
                async with session.get(url) as response:
                    self.assertEqual(response.status, 200, await response.text())

    def peers(self) -> Address:
        """Return the address of the peers' listener that receives the malformed input."""
        ip, _, port = self.fleet.address("stock-1", "peers").rpartition(":")
        return Address(ip, int(port))

    async def send_raw(self, path: str, data: bytes) -> int | None:
        """Send bytes as one message, and return the close code of the connection."""
        async with websocket_connect(f"ws://{self.peers()}{path}", proxy=None) as connection:
            try:
                await connection.send(data)
                async with asyncio.timeout(5):
                    while True:
                        await connection.recv()
            except ConnectionClosed as error:
                return error.rcvd.code if error.rcvd else None

    @contextlib.asynccontextmanager
    async def valid_peer(self) -> AsyncIterator[Link]:
        """Open the connection of a peer that sends valid messages."""
        async with connect(self.peers(), "/members") as link:
            await link.send(Hello(sender=HostName("valid-peer"), data_centre=DataCentre("x")))
            yield link

    async def exchange(self, link: Link) -> None:
        """Send a message on a valid peer's connection, and check that a reply arrives."""
        await link.send(Exchange(digest=0, members=()))
        self.assertIsInstance(await link.receive(), ExchangeReply)

    def test_invalid_messages_close_only_their_connection(self) -> None:
        """They close it on each path, and a valid peer's connection stays usable."""

        async def attack() -> None:
            """Send random and malformed messages to each path, and a huge one to /members."""
            rng = random.Random(7)
            async with self.valid_peer() as valid_peer:
                for path in PATHS:
                    for data in (*MALFORMED_MESSAGES, *(rng.randbytes(60) for _ in range(5))):
                        self.assertIsNotNone(await self.send_raw(path, data), (path, data[:20]))
                    await self.exchange(valid_peer)
                with self.assertRaisesRegex(InvalidStatus, "404"):
                    await self.send_raw("/nothing", b"")
                await self.exchange(valid_peer)
                huge = await websocket_connect(f"ws://{self.peers()}/members", proxy=None)
                with contextlib.suppress(ConnectionClosed):
                    await huge.send(bytes(17 << 20))
                async with asyncio.timeout(5):
                    await huge.wait_closed()
                await self.exchange(valid_peer)

        asyncio.run(attack())

    @FUZZ
    @given(message=MESSAGES, path=st.sampled_from(PATHS))
    def test_messages_with_arbitrary_values_affect_no_valid_peer(
        self, message: Any, path: str
    ) -> None:
        """A message of the protocol with arbitrary values, on any path, affects no valid peer."""

        async def attack() -> None:
            """Send the message, and another one as a valid peer."""
            try:
                data = encode(message) + STAMP
            except (ValueError, OverflowError):
                return
            async with (
                self.valid_peer() as valid_peer,
                websocket_connect(f"ws://{self.peers()}{path}", proxy=None) as link,
            ):
                # The connection may be closed before the message is sent.
                with contextlib.suppress(ConnectionClosed):
                    await link.send(data)
                await self.exchange(valid_peer)

        asyncio.run(attack())

    def test_unsendable_offer_occupies_no_slot(self) -> None:
        """More odd or unsendable offers than there are slots leave all slots usable."""
        odd = [("GET", "http://127.0.0.1:9/x"), ("GET", "//127.0.0.1:9/x"), ("G\r\nT", "/x")]

        async def attack() -> None:
            """Offer requests that the HTTP library refuses, or could send to another server."""
            async with connect(self.peers(), "/calls") as link:
                for number in range(30):
                    method, path = odd[number % len(odd)]
                    offer = Offer(
                        attempt=AttemptId(HostName("x"), 1, number),
                        service=ServiceName("stock"),
                        request=Request(method, path, (), b""),
                        timeout=2.0,
                        idempotent=True,
                        caller="",
                    )
                    await link.send(offer)
                    response = await asyncio.wait_for(link.receive(), 5)
                    if method == "GET":
                        # Only the worker of this owner receives the odd target, unchanged.
                        self.assertIn(b'"service": "stock"', response.body, path)
                    else:
                        self.assertEqual(type(response).__name__, "Refused", (method, path))

        asyncio.run(attack())

    def test_absolute_target_is_not_connected_to(self) -> None:
        """An absolute target is refused, and the server that it names isn't connected to."""

        async def attack() -> None:
            """Name a server of this test in the target."""
            connections = 0

            async def count_connection(
                _: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                """Count a connection."""
                nonlocal connections
                connections += 1
                writer.close()

            async with await asyncio.start_server(count_connection, "127.0.0.1", 0) as server:
                own = server.sockets[0].getsockname()[1]
                for _ in range(8):
                    target = f"GET http://127.0.0.1:{own}/stock/7 HTTP/1.1\r\n"
                    head = f"{target}Host: a\r\nConnection: close\r\n\r\n".encode()
                    response = await self.send_head("callers", head)
                    self.assertIn(b" 400 ", response.partition(b"\n")[0])
            self.assertEqual(connections, 0)

        asyncio.run(attack())

    async def send_head(self, listener: str, data: bytes) -> bytes:
        """Send bytes to a listener and return the start of its response."""
        ip, _, port = self.fleet.address("stock-1", listener).rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(data)
            async with asyncio.timeout(5):
                await writer.drain()
                return await reader.read(4096)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    def test_malformed_heads_get_an_error_and_no_traceback(self) -> None:
        """The listeners for callers and operators respond with 4xx, or close the connection."""

        async def attack() -> None:
            """Send fixed and random heads."""
            rng = random.Random(11)
            heads = HEADS + tuple(rng.randbytes(80) + b"\r\n\r\n" for _ in range(40))
            for listener, head in itertools.product(("callers", "operators"), heads):
                response = await self.send_head(listener, head)
                self.assertRegex(response[:13], rb"^(HTTP/1\.[01] 4|$)", head[:60])

        asyncio.run(attack())
        self.assertNotIn("Traceback", self.fleet.errors())

    def test_invalid_bodies_get_a_sentence(self) -> None:
        """Each invalid body gets the expected status, and a JSON response with a sentence."""
        bodies: list[tuple[str, bytes, str, int]] = [
            ("changes", b"{", "application/json", 400),
            ("changes", b"\xff\xfe", "application/json", 400),
            ("changes", b"{}", "text/x; charset=nonsense", 400),
            ("changes", b"[" * 100_000, "application/json", 400),
            ("changes", b" " * (2 << 20), "application/json", 413),
            ("changes", b"[]", "application/json", 422),
            ("worker", b"[]", "application/json", 400),
            ("worker", json.dumps({"service": "s", "address": "x"}).encode(), "", 400),
        ]

        async def attack() -> None:
            """Post each body."""
            url = f"http://{self.fleet.address('stock-1', 'operators')}/v1"
            async with aiohttp.ClientSession() as session:
                for path, body, kind, status in bodies:
                    headers = {"Content-Type": kind} if kind else {}
                    async with session.post(
                        f"{url}/{path}", data=body, headers=headers
                    ) as response:
                        answer_json = await response.json()
                        self.assertEqual(
                            (response.status, "sentence" in answer_json),
                            (status, True),
                            answer_json,
                        )

        asyncio.run(attack())
        self.assertNotIn("Traceback", self.fleet.errors())


if __name__ == "__main__":
    unittest.main()
