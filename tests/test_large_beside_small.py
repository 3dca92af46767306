"""Tests of small calls beside large bodies, on the link of a host that carries little."""

import asyncio
import time
import unittest
from contextlib import AsyncExitStack

from cowslipvane.call import Answer, AttemptId, Chunk, Offer, Request
from cowslipvane.membership import Member
from cowslipvane.routing import Load
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.peers._listener import CALLS_PATH, PeerListener
from cowslipvane.tasks.peers._mailbox import Mailbox
from cowslipvane.tasks.upstreams._serve_calls import _reply_function
from cowslipvane.types import Address, DataCentre, HostName, Seconds, ServiceName
from cowslipvane.wire import Link, anonymous_identity
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP, event_log

# 3.5 Mbit/s.
LINK = LinkCondition(bytes_per_s=437_500)
STOCK = ServiceName("stock")
LARGE_CALLS = 16
# All of them take 6 s of the link.
LARGE_BYTES = 160_000
SMALL_CALLS = 20
SMALL_INTERVAL: Seconds = 0.1
# A part of a body, and what the kernel and the relay hold of those before it, take 0.3 s.
MAX_DELAY: Seconds = 1.0
TIMEOUT: Seconds = 40.0


class LargeBesideSmallTest(unittest.IsolatedAsyncioTestCase):
    """An owner behind a slow link gets large and small calls at once."""

    async def asyncSetUp(self) -> None:
        """Start the owner."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.responses: set[asyncio.Task[None]] = set()
        self.serials = iter(range(1000))
        listener = PeerListener(
            handlers={CALLS_PATH: self.own}, identity=anonymous_identity(), events=event_log()
        )
        server = await self.stack.enter_async_context(listener.listen(Address(IP, 0)))
        target = Address(IP, next(iter(server.sockets)).getsockname()[1])
        relay = Relay()
        self.stack.push_async_callback(relay.close)
        self.stack.enter_context(relay.condition((IP,), LINK))
        at = await relay.listen(Address(IP, 0), target)
        self.owner = Member(HostName("owner"), DataCentre("x"), 1, 1, at, at, None, "up", None)
        self.peers = Peers(events=event_log())
        self.stack.push_async_callback(self.peers.close)

    async def own(self, link: Link) -> None:
        """Answer each call once it is complete, by a large response if its path asks for one."""
        wants_large: dict[AttemptId, bool] = {}
        while True:
            match await link.receive():
                case Offer(attempt=attempt, more=more, request=request):
                    wants_large[attempt] = request.path == "/large"
                case Chunk(attempt=attempt, more=more):
                    pass
            if not more:
                response = self.respond(link, attempt, is_large=wants_large[attempt])
                self.responses.add(asyncio.create_task(response))

    async def respond(self, link: Link, attempt: AttemptId, *, is_large: bool) -> None:
        """Send a response in parts, as an owner does."""
        reply = _reply_function(link, set())
        await reply(
            Answer(
                attempt=attempt,
                status=200,
                headers=(),
                body=b"",
                more=is_large,
                load=Load(0, 0, 1),
            )
        )
        part = bytes(1 << 16)
        for end in range(len(part), LARGE_BYTES + len(part), len(part)) if is_large else ():
            await reply(Chunk(attempt=attempt, body=part, more=end < LARGE_BYTES))

    async def call(self, path: str, body: bytes) -> Seconds:
        """Return the time that a call takes."""
        began_at = time.monotonic()
        mailbox = Mailbox(service=STOCK)
        offer = Offer(
            attempt=AttemptId(HostName("entry"), 1, next(self.serials)),
            service=STOCK,
            request=Request("POST", path, (), body),
            timeout=TIMEOUT,
            idempotent=False,
            caller="",
        )
        await self.peers.link(self.owner).send(offer, mailbox)
        more = True
        while more:
            match await mailbox.get():
                case Answer(more=more) | Chunk(more=more):
                    pass
                case other:
                    self.fail(f"the call ended with {other}")
        return time.monotonic() - began_at

    async def small_beside_large(self, path: str, body: bytes) -> list[Seconds]:
        """Return the times of small calls while large ones are on their way."""
        async with asyncio.timeout(TIMEOUT):
            await self.call("/", b"")
            large = [asyncio.create_task(self.call(path, body)) for _ in range(LARGE_CALLS)]
            small = []
            for _ in range(SMALL_CALLS):
                await asyncio.sleep(SMALL_INTERVAL)
                small.append(asyncio.create_task(self.call("/", b"")))
            times = await asyncio.gather(*small)
            await asyncio.gather(*large)
        return times

    # All parts that were due were written at once, so that each small call waited behind them.
    async def test_small_calls_pass_large_requests(self) -> None:
        """They wait for a part of a body, not for all bodies."""
        times = await self.small_beside_large("/", bytes(LARGE_BYTES))
        self.assertLess(max(times), MAX_DELAY)

    async def test_small_calls_pass_large_responses(self) -> None:
        """Likewise on the way back."""
        times = await self.small_beside_large("/large", b"")
        self.assertLess(max(times), MAX_DELAY)


if __name__ == "__main__":
    unittest.main()
