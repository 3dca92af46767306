"""Callers that send requests to the proxy on their host, in different ways."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from contextlib import suppress
from enum import Enum

from cowslipvane.types import Seconds
from tools.http_messages import encode_chunk, encode_head, read_body, read_head
from tools.soak._hosts import CALLERS_PORT, Host
from tools.soak._keys import TEAMS, draw_key
from tools.soak._records import Answered, CallOutcome, CallRecord, Cut, Left, Silent, Unread
from tools.soak._worker import digest

_CONNECT_TIMEOUT: Seconds = 1.0
_RECONNECT_DELAY: Seconds = 0.1
TIMEOUT: Seconds = 2.5
# A response that comes this long after the deadline still counts as one.
PATIENCE: Seconds = 1.5
_MAX_PAUSE: Seconds = 0.15
_IDLE_SHARE = 0.02
_IDLE_PAUSE: tuple[Seconds, Seconds] = (1.0, 8.0)
_MAX_STAY: Seconds = 0.5
_HALF_CLOSED_SHARE = 0.4
_MAX_PIPELINED = 5
_BODY_SIZES = (0, 40, 3_000, 60_000)
_PUBLIC_SHARE = 0.2
# The share of requests that name a team themselves.
_FORGED_SHARE = 0.1
_UNSAFE_METHODS = ("POST", "PUT", "DELETE")


class Habit(Enum):
    """How a caller uses its connections."""

    KEPT = "kept"
    PIPELINED = "pipelined"
    FRESH = "fresh"
    LEAVING = "leaving"


class Caller:
    """Sends requests to one proxy, over one connection at a time, until it is told to stop."""

    _ids = itertools.count()

    def __init__(
        self,
        *,
        host: Host,
        habit: Habit,
        services: list[str],
        rng: random.Random,
        calls: list[CallRecord],
    ) -> None:
        self._host = host
        self._habit = habit
        self._services = services
        self._rng = rng
        self._calls = calls
        self._stopping = False

    def stop(self) -> None:
        """Send no more requests once the current ones have ended."""
        self._stopping = True

    async def run(self) -> None:
        """Open one connection after another."""
        while not self._stopping:
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT):
                    reader, writer = await asyncio.open_connection(self._host.ip, CALLERS_PORT)
            except (OSError, TimeoutError):
                await asyncio.sleep(_RECONNECT_DELAY)
                continue
            try:
                if self._habit is Habit.LEAVING:
                    await self._leave(reader, writer)
                else:
                    await self._use(reader, writer)
            finally:
                writer.transport.abort()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests over a connection until it is closed."""
        while not self._stopping and not reader.at_eof() and not writer.is_closing():
            count = 1
            if self._habit is Habit.PIPELINED:
                count = self._rng.randint(1, _MAX_PIPELINED)
            sent = [self._send(writer, is_pipelined=index > 0) for index in range(count)]
            if not await self._read_responses(reader, sent) or self._habit is Habit.FRESH:
                return
            await asyncio.sleep(self._pause())

    async def _leave(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a request and leave soon, by closing the connection or its own half of it."""
        request = self._send(writer, is_pipelined=False)
        await asyncio.sleep(self._rng.random() * _MAX_STAY)
        left_at = time.monotonic()
        outcome: CallOutcome = Left()
        if self._rng.random() < _HALF_CLOSED_SHARE and not writer.is_closing():
            # Fails if the proxy has reset the connection.
            with suppress(OSError):
                writer.write_eof()
                outcome, _ = await self._read_response(reader, request)
            if isinstance(outcome, Cut):
                outcome = Left()
        self._calls.append(request._replace(ended_at=left_at, outcome=outcome))

    def _pause(self) -> Seconds:
        """Return the time until the next request."""
        if self._rng.random() < _IDLE_SHARE:
            return self._rng.uniform(*_IDLE_PAUSE)
        return self._rng.random() * _MAX_PAUSE

    def _send(self, writer: asyncio.StreamWriter, *, is_pipelined: bool) -> CallRecord:
        """Write one request."""
        request_id = f"r{next(self._ids):07x}"
        idempotent = self._habit is Habit.PIPELINED or self._rng.random() < 0.5
        method = "GET" if idempotent else self._rng.choice(_UNSAFE_METHODS)
        service = self._rng.choice(self._services)
        is_public = idempotent and self._rng.random() < _PUBLIC_SHARE
        key = draw_key(self._rng)
        fields = {
            "Host": f"{service}.example",
            "Attempt-Id": request_id,
            "Deadline-Ms": str(round(TIMEOUT * 1000)),
        }
        if key:
            fields["Authorization"] = f"Bearer {key}"
        if self._rng.random() < _FORGED_SHARE:
            fields[self._rng.choice(("Tenant", "tenant"))] = self._rng.choice(TEAMS)
        body = b"" if idempotent else b"b" * self._rng.choice(_BODY_SIZES)
        if body and self._rng.random() < 0.3:
            fields["Transfer-Encoding"] = "chunked"
            body = encode_chunk(body) + encode_chunk(b"")
        elif not idempotent:
            fields["Content-Length"] = str(len(body))
        prefix = "open" if is_public else "safe" if idempotent else "unsafe"
        path = f"/{prefix}/{request_id}"
        writer.write(encode_head(f"{method} {path} HTTP/1.1", fields) + body)
        now = time.monotonic()
        record = CallRecord(
            request_id, self._host.name, method, idempotent, is_pipelined, now, now + TIMEOUT
        )
        return record._replace(key=key, needs_key=not is_public)

    async def _read_responses(self, reader: asyncio.StreamReader, sent: list[CallRecord]) -> bool:
        """Read and record one outcome for each request; return whether the connection is usable."""
        ended: CallOutcome | None = None
        for request in sent:
            outcome, closes = (ended, True) if ended else await self._read_response(reader, request)
            self._calls.append(request._replace(ended_at=time.monotonic(), outcome=outcome))
            if closes:
                ended = _outcome_behind(outcome)
        return ended is None

    async def _read_response(
        self, reader: asyncio.StreamReader, request: CallRecord
    ) -> tuple[CallOutcome, bool]:
        """Read a response; return it, and whether the connection ends with it."""
        begun = False
        try:
            async with asyncio.timeout(request.deadline + PATIENCE - time.monotonic()):
                head = await read_head(reader)
                begun = True
                body = await read_body(reader, head)
        except (asyncio.IncompleteReadError, OSError) as error:
            return Cut(begun=begun, error=repr(error)), True
        except TimeoutError:
            return Silent(), True
        signature = head.fields.get("response-signature", "")
        own_id = head.fields.get("attempt-id", request.request_id)
        if own_id != request.request_id:
            signature = f"another request: {own_id}"
        outcome = Answered(status=head.status, signature=signature, digest=digest(body))
        return outcome, head.closes


def _outcome_behind(outcome: CallOutcome) -> CallOutcome:
    """Return the outcome of the requests behind one whose outcome ends the connection."""
    match outcome:
        case Answered():
            return Unread()
        case Cut(error=error):
            return Cut(begun=False, error=f"behind: {error}")
        case _:
            return outcome
