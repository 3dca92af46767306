"""A base case for tests of callers' connections, over real sockets with a scripted dispatcher."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, cast

from cowslipvane.call import Answer, AttemptId, Call, Chunk, OwnerMessage, Refused
from cowslipvane.events import EventForm
from cowslipvane.membership import Member
from cowslipvane.refusal import Refusal, UpstreamLost
from cowslipvane.tasks.callers._dispatcher import Dispatcher, StartedResponse
from cowslipvane.tasks.http._listener import HttpListener
from cowslipvane.tasks.http._pipeline import Prefetcher
from cowslipvane.tasks.peers._mailbox import Mailbox, UnreadResponses
from cowslipvane.types import Address, DataCentre, HostName, ServiceName, Verdict
from tests.callers_case import LISTENER, LOAD, OWNER, CallersTestCase
from tools.http_messages import read_body, read_head

TIMEOUT_S = 5.0
PART = b"x" * (64 << 10)
ATTEMPT = AttemptId(HostName("entry"), 1, 1)
_ADDRESS = Address("127.0.0.1", 1)
_OWNER = Member(OWNER, DataCentre("here"), 1, 1, _ADDRESS, _ADDRESS, None, "up", None)


def answer(body: bytes, *, more: bool = False) -> Answer:
    """Return the first message of a response."""
    return Answer(attempt=ATTEMPT, status=200, headers=(), body=body, more=more, load=LOAD)


def lost() -> Refused:
    """Return the message that ends a response whose worker broke it off."""
    refusal = UpstreamLost(service=ServiceName("stock"), verdict=Verdict.MAY_HAVE_RUN)
    return Refused(attempt=ATTEMPT, refusal=refusal)


def chunk(body: bytes, *, more: bool) -> Chunk:
    """Return another part of a response."""
    return Chunk(attempt=ATTEMPT, body=body, more=more)


class ScriptedDispatcher(Dispatcher):
    """Starts the response to each path when the test sends its first message."""

    def __init__(self) -> None:
        self.arrived: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.cancelled: list[str] = []
        self.abandoned = 0
        self._mailboxes: dict[str, Mailbox] = {}
        self._unread = UnreadResponses()
        self._failures: dict[str, Exception] = {}

    def send(self, path: str, *messages: OwnerMessage) -> None:
        """Send parts of the response to a path."""
        for message in messages:
            self._mailbox(path).put_nowait(message)

    def fail(self, path: str, error: Exception) -> None:
        """Raise an error in the dispatch of a path."""
        self._failures[path] = error

    async def dispatch(self, call: Call) -> StartedResponse | Refusal:
        """Return the start of the scripted response to a call."""
        path = call.request.path
        call.begin_attempt(OWNER)
        self.arrived.append(path)
        self.bodies[path] = call.request.body
        if path in self._failures:
            raise self._failures[path]
        mailbox = self._mailbox(path)
        try:
            match await mailbox.get():
                case Answer() as first:
                    return StartedResponse(answer=first, owner=_OWNER, mailbox=mailbox)
                case Refused(refusal=refusal):
                    return refusal
                case other:
                    raise AssertionError(other)
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise

    def give_up(self) -> None:
        """Refuse the calls that have no response yet, as the proxy does before it exits."""
        for path in self.arrived:
            self.send(path, lost())

    async def abandon(self, started: StartedResponse) -> None:
        """Count the responses whose rest isn't needed."""
        self.abandoned += 1

    def _mailbox(self, path: str) -> Mailbox:
        """Return the mailbox of a path."""
        mailbox = Mailbox(service=ServiceName("stock"), unread=self._unread)
        return self._mailboxes.setdefault(path, mailbox)


class ConnectionsTestCase(CallersTestCase):
    """A listener for callers with pipelining; requests are named by their paths."""

    async def asyncSetUp(self) -> None:
        """Start the listener with a configuration in force, and open a connection."""
        await super().asyncSetUp()
        await self.stack.aclose()
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.script = ScriptedDispatcher()
        self.callers = self.make_callers(cast(Dispatcher, self.script))
        self.listener = HttpListener(
            handler=self.callers.handle,
            address=LISTENER,
            prefetcher=Prefetcher(self.callers.fetch, self.callers.discard),
        )
        await self.stack.enter_async_context(self.listener)
        self.apply()
        await self.connect()

    async def connect(self) -> None:
        """Open a connection."""
        self.reader, self.writer = await asyncio.open_connection(LISTENER.ip, LISTENER.port)
        self.addCleanup(self.writer.close)

    def send(self, *paths: str, method: str = "GET", fields: str = "", body: bytes = b"") -> None:
        """Send requests at once, each with its path as its id."""
        for path in paths:
            head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {path}\r\n{fields}\r\n"
            self.writer.write(head.encode() + body)

    async def until(self, condition: Callable[[], Any]) -> None:
        """Return once a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    async def until_arrived(self, *paths: str) -> None:
        """Return once the dispatcher has exactly these requests."""
        await self.until(lambda: sorted(self.script.arrived) == sorted(paths))

    async def response(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, fields and body of the next response."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await read_head(self.reader)
            self.assertTrue(head.fields.keys() & {"content-length", "transfer-encoding"})
            return head.status, head.fields, await read_body(self.reader, head)

    async def read_to_end(self) -> bytes:
        """Return all that is received until the connection ends; raise if it was reset."""
        return await asyncio.wait_for(self.reader.read(), TIMEOUT_S)

    def ends(self, path: str) -> list[EventForm]:
        """Return the events that tell why a request has no complete response."""
        return [
            event
            for event in self.events.select(request=path)
            if event["kind"] in ("broken", "cut")
            or (event["kind"], event["detail"].get("code")) == ("refusal", "caller-gone")
        ]

    async def end(self, path: str) -> dict[str, str]:
        """Return the kind, the reason and the progress of the only end of a request."""
        await self.until(lambda: self.ends(path))
        (event,) = self.ends(path)
        detail = event["detail"]
        return {
            "kind": event["kind"],
            "reason": detail.get("reason", ""),
            "progress": detail.get("progress", ""),
        }
