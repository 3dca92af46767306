"""A stand-in worker that speaks the platform's protocol and misbehaves as its options say."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import Enum

import aiohttp

from cowslipvane.types import Seconds
from tools.http_messages import Head, encode_chunk, encode_head, read_body, read_head
from tools.soak._hosts import CONTROL_PORT, WORKER_PORT, Host
from tools.soak._keys import shows_key
from tools.soak._records import (
    Answered,
    BrokenOff,
    Completed,
    Dropped,
    RunOutcome,
    RunRecord,
    WorkerRefusal,
)

HEARTBEAT_INTERVAL: Seconds = 1.0
DRAIN_TIME: Seconds = 2.0
_ACK_TIMEOUT: Seconds = 1.0
# A worker that gets no acknowledgement of its leaving exits anyway.
_MAX_LEAVING_HEARTBEATS = 8
_IDLE_TIMEOUT_S = 5
_MAX_QUEUED = 3
_MAX_QUEUE_TIME: Seconds = 0.4
_REFUSED_SHARE, _FAILED_SHARE, _CLOSED_SHARE = 0.03, 0.02, 0.02
_SLOW_SHARE = 0.08
_MAX_WORK: Seconds = 0.05
_SLOW_WORK: tuple[Seconds, Seconds] = (0.2, 2.4)
_ENDLESS_BLOCK = b"e" * 16_384
_ENDLESS_INTERVAL: Seconds = 0.05
_BODY_SIZES = (0, 30, 600, 600, 5_000, 120_000)


class Break(Enum):
    """Where a response breaks off."""

    AT_ONCE = "at once"
    IN_HEAD = "in the head"
    IN_BODY = "in the body"
    NEVER = "never"


def digest(body: bytes) -> str:
    """Return a short digest of a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class Worker:
    """One incarnation of the worker on a host."""

    def __init__(
        self,
        *,
        host: Host,
        instance: str,
        slots: int,
        broken_share: float,
        rng: random.Random,
        runs: list[RunRecord],
        refusals: list[WorkerRefusal],
    ) -> None:
        self.instance = instance
        self.refuses_all = False
        self._host = host
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queued = 0
        self._broken_share = broken_share
        self._rng = rng
        self._runs = runs
        self._refusals = refusals
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._leaving = False
        self._ended = False
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce this worker until it leaves or ends."""
        self._server = await asyncio.start_server(self._serve, self._host.ip, WORKER_PORT)
        self._heartbeats = asyncio.create_task(self._announce())

    async def crash(self) -> None:
        """End at once: reset all connections and say nothing."""
        self._ended = True
        assert self._server is not None and self._heartbeats is not None
        self._heartbeats.cancel()
        self._server.close()
        for task, writer in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def leave(self) -> None:
        """Announce that this worker is leaving, serve for the drain time, then end."""
        self._leaving = True
        assert self._heartbeats is not None
        self._heartbeats.cancel()
        async with aiohttp.ClientSession() as session:
            for _ in range(_MAX_LEAVING_HEARTBEATS):
                if await self._heartbeat(session, "draining"):
                    break
                await asyncio.sleep(HEARTBEAT_INTERVAL / 2)
            await asyncio.sleep(DRAIN_TIME + 0.5)
            await self._post(session, f"Instances.Deregister/{self.instance}", {})
        await asyncio.sleep(0.5)
        await self.crash()

    async def _announce(self) -> None:
        """Send a heartbeat to the proxy on this host at each interval."""
        async with aiohttp.ClientSession() as session:
            while True:
                await self._heartbeat(session, "ready")
                await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def _heartbeat(self, session: aiohttp.ClientSession, phase: str) -> bool:
        """Send a heartbeat and return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "address": f"{self._host.ip}:{WORKER_PORT}",
            "born": self._born,
            "info": {
                "service": self._host.service,
                "version": "v1",
                "zone": self._host.data_centre,
                "max_concurrency": self._slot_count,
            },
            "status": {"phase": phase, "sequence": self._sequence, "cold_remaining_s": 0},
        }
        return await self._post(session, f"Instances.Heartbeat/{self.instance}", body)

    async def _post(self, session: aiohttp.ClientSession, call: str, body: object) -> bool:
        """Call the proxy on this host and return whether it succeeded."""
        url = f"http://{self._host.ip}:{CONTROL_PORT}/api/{call}"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=_ACK_TIMEOUT)
            headers = {"Content-Type": "application/json"}
            async with session.post(
                url, data=json.dumps(body), headers=headers, timeout=timeout
            ) as response:
                return response.status == 200
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after another."""
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = writer
        try:
            with suppress(asyncio.IncompleteReadError, OSError, TimeoutError):
                while await self._serve_one(reader, writer):
                    pass
        except asyncio.CancelledError:
            # start_server reports a cancelled task of a connection as an error.
            if not self._ended:
                raise
        finally:
            del self._connections[task]
            writer.transport.abort() if self._ended else writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request and return whether the connection stays open."""
        async with asyncio.timeout(_IDLE_TIMEOUT_S + 0.5):
            head = await read_head(reader)
        await read_body(reader, head)
        request_id = head.fields.get("attempt-id", "")
        if head.start_line.startswith("GET /healthz "):
            return await self._write(writer, 503 if self._leaving else 200)
        if not request_id:
            return await self._refuse(writer, 400, request_id)
        if head.fields.get("expected-instance", self.instance) != self.instance:
            return await self._refuse(writer, 421, request_id)
        if self.refuses_all or self._rng.random() < _REFUSED_SHARE:
            return await self._refuse(writer, 503, request_id)
        async with self._slot() as has_slot:
            if not has_slot:
                return await self._refuse(writer, 503, request_id)
            return await self._work(reader, writer, head, request_id)

    @asynccontextmanager
    async def _slot(self) -> AsyncIterator[bool]:
        """Wait for a slot, and hold it; give whether one became free in time."""
        if self._slots.locked() and self._queued >= _MAX_QUEUED:
            yield False
            return
        self._queued += 1
        try:
            async with asyncio.timeout(_MAX_QUEUE_TIME):
                await self._slots.acquire()
        except TimeoutError:
            yield False
            return
        finally:
            self._queued -= 1
        try:
            yield True
        finally:
            self._slots.release()

    async def _work(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        head: Head,
        request_id: str,
    ) -> bool:
        """Run a request and respond; record the run however it ends."""
        is_failure = self._rng.random() < _FAILED_SHARE
        breaks_off = self._rng.random() < self._broken_share
        time_left = float(head.fields.get("deadline-ms", "10000")) / 1000
        work = self._work_time()
        status = 504 if work > time_left else 500 if is_failure else 200
        body = self._body(request_id)
        signature = f"{self.instance}.{request_id}.{self._rng.getrandbits(32):x}"
        answer = Answered(status=status, signature=signature, digest=digest(body))
        origin = head.fields.get("caller-service", "")
        now = time.monotonic()
        due_at = now + min(work, time_left)
        run = RunRecord(request_id, self._host.name, origin, now, due_at, answer)
        run = run._replace(team=head.fields.get("tenant", ""), shows_key=shows_key(head.fields))
        outcome: RunOutcome = BrokenOff()
        try:
            if await _is_closed_within(reader, min(work, time_left)):
                outcome = Dropped()
                return False
            if breaks_off:
                with suppress(OSError):
                    await self._break_off(writer, signature, request_id, body)
                return False
            keep = await self._write(writer, status, request_id, body=body, signature=signature)
            outcome = Completed()
            return keep
        except OSError:
            outcome = Dropped()
            return False
        finally:
            self._runs.append(run._replace(ended_at=time.monotonic(), outcome=outcome))

    def _work_time(self) -> Seconds:
        """Return the time that a request takes."""
        if self._rng.random() < _SLOW_SHARE:
            return self._rng.uniform(*_SLOW_WORK)
        return self._rng.random() * _MAX_WORK

    def _body(self, request_id: str) -> bytes:
        """Return a body that no other request has."""
        return f"{request_id} ".encode() + b"x" * self._rng.choice(_BODY_SIZES)

    async def _refuse(self, writer: asyncio.StreamWriter, status: int, request_id: str) -> bool:
        """Refuse a request without running it."""
        signature = f"{self.instance}.refused.{self._rng.getrandbits(32):x}"
        self._refusals.append(WorkerRefusal(request_id, signature, status))
        return await self._write(writer, status, request_id, signature=signature, refused=True)

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str = "",
        *,
        body: bytes = b"",
        signature: str = "",
        refused: bool = False,
    ) -> bool:
        """Write a response and return whether the connection stays open."""
        closes = self._leaving or self._rng.random() < _CLOSED_SHARE
        fields = {"Instance-Id": self.instance}
        if refused:
            fields["Not-Executed"] = "1"
        if signature:
            fields["Response-Signature"] = signature
        if request_id:
            fields["Attempt-Id"] = request_id
        if closes:
            fields["Connection"] = "close"
        else:
            fields["Keep-Alive"] = f"timeout={_IDLE_TIMEOUT_S}"
        if self._rng.random() < 0.3:
            fields["Transfer-Encoding"] = "chunked"
            middle = len(body) // 2
            parts = [encode_chunk(part) for part in (body[:middle], body[middle:]) if part]
            body = b"".join([*parts, encode_chunk(b"")])
        else:
            fields["Content-Length"] = str(len(body))
        writer.write(encode_head(f"HTTP/1.1 {status} X", fields) + body)
        await writer.drain()
        return not closes

    async def _break_off(
        self, writer: asyncio.StreamWriter, signature: str, request_id: str, body: bytes
    ) -> None:
        """Write no whole response: a part of it or none, or one that never ends."""
        fields = {
            "Response-Signature": signature,
            "Attempt-Id": request_id,
            "Content-Length": str(len(body) + 1),
        }
        head = encode_head("HTTP/1.1 200 X", fields)
        match self._rng.choice(list(Break)):
            case Break.AT_ONCE:
                return
            case Break.IN_HEAD:
                writer.write(head[: self._rng.randrange(1, len(head))])
            case Break.IN_BODY:
                writer.write(head + body)
            case Break.NEVER:
                del fields["Content-Length"]
                fields["Transfer-Encoding"] = "chunked"
                writer.write(encode_head("HTTP/1.1 200 X", fields))
                await _write_endlessly(writer)
        await writer.drain()
        # Long enough for the proxy to pass on the head.
        await asyncio.sleep(0.05)


async def _write_endlessly(writer: asyncio.StreamWriter) -> None:
    """Write a body until the peer closes the connection."""
    while not writer.is_closing():
        writer.write(encode_chunk(_ENDLESS_BLOCK))
        await writer.drain()
        await asyncio.sleep(_ENDLESS_INTERVAL)


async def _is_closed_within(reader: asyncio.StreamReader, seconds: Seconds) -> bool:
    """Wait for a time and return whether the peer closed the connection meanwhile."""
    try:
        async with asyncio.timeout(seconds):
            return not await reader.read(1)
    except TimeoutError:
        return False
