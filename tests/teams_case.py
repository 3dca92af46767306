"""Base class for tests of teams and their keys: processes, and a worker that records requests."""

import asyncio
import json
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import Any, ClassVar, NamedTuple, Self

import aiohttp

from tests.processes_case import OPERATORS_PORT, SERVICE, ProcessesCase
from tools.http_messages import Head, encode_head, parse_head, read_body, read_head, read_head_lines
from tools.soak._hosts import CALLERS_PORT, CONTROL_PORT, WORKER_PORT, Host, HostProcess

HOST = f"{SERVICE}.example"
# The service on the host of the proxy without a worker.
ENTRY_SERVICE = "beta"
# The path prefixes of routes: those that need a key, for any number of runs and for one at most,
# and those that don't.
CLOSED, ONCE, OPEN = "/closed/", "/once/", "/open/"
ANSWER_TIMEOUT_S = 5.0
_HEARTBEAT_INTERVAL_S = 0.5
_TIMEOUT_S = 5.0
# The time between an early response and the reading of the body.
_EARLY_TIME_S = 0.1
# Names of fields in lower case.
KEY, TEAM, REQUEST_ID = "authorization", "tenant", "attempt-id"


class Received(NamedTuple):
    """A request that the worker ran, with the names of its fields in lower case.

    at is when it was received, in time.monotonic seconds.
    """

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    at: float

    def values(self, name: str) -> list[str]:
        """Return the values of all fields of a name, in lower case."""
        return [value for field, value in self.fields if field == name]


class RecordingWorker:
    """The worker beside a proxy, which records each request that it runs."""

    def __init__(self, *, host: Host) -> None:
        self.received: list[Received] = []
        # The statuses of the next responses, each of which refuses a request without running it.
        self.refusals: list[int] = []
        # Runs that have begun end once this is set.
        self.may_end = asyncio.Event()
        self.may_end.set()
        # Whether responses are sent before bodies are read.
        self.is_early = False
        self._host = host
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats to the proxy on this host."""
        self._server = await asyncio.start_server(self._serve, self._host.ip, WORKER_PORT)
        self._heartbeats = asyncio.create_task(self._announce())

    async def close(self) -> None:
        """End, and close all connections."""
        assert self._server is not None and self._heartbeats is not None
        self._heartbeats.cancel()
        self._server.close()
        self.may_end.set()
        for writer in self._connections.values():
            writer.transport.abort()
        await asyncio.gather(self._heartbeats, *self._connections, return_exceptions=True)

    async def _announce(self) -> None:
        """Send a heartbeat at each interval."""
        url = f"http://{self._host.ip}:{CONTROL_PORT}/api/Instances.Heartbeat/{self._host.name}"
        async with aiohttp.ClientSession() as session:
            while True:
                with suppress(aiohttp.ClientError, TimeoutError):
                    async with session.post(url, json=self._heartbeat()):
                        pass
                await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    def _heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self._sequence += 1
        return {
            "address": f"{self._host.ip}:{WORKER_PORT}",
            "born": 1_000_000,
            "info": {
                "service": SERVICE,
                "version": "v1",
                "zone": self._host.data_centre,
                "max_concurrency": 6,
            },
            "status": {"phase": "ready", "sequence": self._sequence, "cold_remaining_s": 0},
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after another."""
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = writer
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self._serve_one(reader, writer)
        del self._connections[task]
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run one request, refuse it, or tell that this worker is healthy."""
        lines = await read_head_lines(reader)
        head = parse_head(lines)
        if REQUEST_ID not in head.fields:
            writer.write(self._response(head, 200))
            return
        if self.is_early:
            writer.write(self._response(head, 200))
            await asyncio.sleep(_EARLY_TIME_S)
        body = await read_body(reader, head)
        if self.refusals:
            writer.write(self._response(head, self.refusals.pop(0), {"Not-Executed": "1"}))
            return
        self.received.append(_received(lines, body))
        await self.may_end.wait()
        if not self.is_early:
            writer.write(self._response(head, 200))

    def _response(self, head: Head, status: int, more: Mapping[str, str] = {}) -> bytes:
        """Return the response to a request."""
        fields = {"Instance-Id": self._host.name, "Content-Length": "0", **more}
        if REQUEST_ID in head.fields:
            fields["Attempt-Id"] = head.fields[REQUEST_ID]
            fields["Response-Signature"] = f"signature-{head.fields[REQUEST_ID]}"
        return encode_head(f"HTTP/1.1 {status} X", fields)


def _received(lines: Sequence[str], body: bytes) -> Received:
    """Return a request as it was received."""
    method, target, _ = lines[0].split(" ")
    pairs = (line.partition(":") for line in lines[1:])
    fields = tuple((name.lower(), value.strip()) for name, _, value in pairs)
    return Received(method, target, fields, body, time.monotonic())


class Answer(NamedTuple):
    """A response that a caller read."""

    head: Head
    body: bytes

    @property
    def status(self) -> int:
        """Return its status."""
        return self.head.status


class Connection:
    """A connection of a caller to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self._reader = reader

    @classmethod
    async def open(cls, ip: str) -> Self:
        """Connect to the proxy with an address."""
        return cls(*await asyncio.open_connection(ip, CALLERS_PORT))

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def send(
        self, request_id: str, path: str, fields: Mapping[str, str], method: str = "GET"
    ) -> None:
        """Send the head of a request; it has no body unless a field says so."""
        own = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "4000"}
        self.writer.write(encode_head(f"{method} {path} HTTP/1.1", {**own, **fields}))

    async def answer(self) -> Answer:
        """Return the next response."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = await read_head(self._reader)
            return Answer(head, await read_body(self._reader, head))


def bearer(key: str) -> dict[str, str]:
    """Return the field that shows a key."""
    return {"Authorization": f"Bearer {key}"}


def team(name: str, *keys: str) -> dict[str, Any]:
    """Return a team of a configuration."""
    return {"name": name, "api_keys": list(keys), "priority": 1, "rate_per_s": 0, "burst": 0}


def configuration(
    version: int, teams: Sequence[Mapping[str, Any]] | None, *, max_body_bytes: int = 1 << 20
) -> dict[str, Any]:
    """Return a configuration that builds on the version before; None is for one without teams."""
    rules = [_rule(CLOSED, "idempotent"), _rule(ONCE, "non_idempotent"), _rule(OPEN, "idempotent")]
    form: dict[str, Any] = {
        "version": f"{version:08x}",
        "base_version": f"{version - 1:08x}",
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": max_body_bytes,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": HOST, "route_rules": rules}],
        "clusters": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 60}],
    }
    if teams is not None:
        form["tenants"] = list(teams)
    return form


def _rule(prefix: str, kind: str) -> dict[str, Any]:
    """Return one route."""
    return {
        "name": prefix.strip("/"),
        "type": kind,
        "target_latency_s": 0.6,
        "priority": 1,
        "public": prefix == OPEN,
        "match": {"path_prefix": prefix},
        "action": {"service": SERVICE, "timeout_s": _TIMEOUT_S, "attempts": 3},
    }


class TeamsCase(ProcessesCase):
    """Two replicas and two proxies, the second of which has a worker."""

    replica_count: ClassVar[int] = 2
    services: ClassVar[tuple[str, ...]] = (ENTRY_SERVICE, SERVICE)

    async def asyncSetUp(self) -> None:
        """Start the processes and the worker, without a configuration."""
        await super().asyncSetUp()
        self.entry, self.owner = self.proxies
        self.worker = await self.start_worker(self.owner)

    async def start_worker(self, process: HostProcess) -> RecordingWorker:
        """Start the worker beside a proxy."""
        worker = RecordingWorker(host=process.host)
        await worker.start()
        self.addAsyncCleanup(worker.close)
        return worker

    async def connect(self, process: HostProcess) -> Connection:
        """Connect to a proxy as a caller."""
        connection = await Connection.open(process.host.ip)
        self.addCleanup(connection.close)
        return connection

    async def ask(
        self, process: HostProcess, request_id: str, path: str, fields: Mapping[str, str]
    ) -> Answer:
        """Send a request over a connection of its own, and return its response."""
        connection = await self.connect(process)
        connection.send(request_id, path, fields)
        return await connection.answer()

    def runs(self, request_id: str, worker: RecordingWorker | None = None) -> list[Received]:
        """Return the runs of a request at a worker, by default the one of the second proxy."""
        received = (worker or self.worker).received
        return [each for each in received if each.values(REQUEST_ID) == [request_id]]

    async def replace(self, form: Mapping[str, Any]) -> int:
        """Send a configuration until there is a clear answer, and return its status."""
        statuses: list[int] = []

        async def is_answered() -> bool:
            statuses.append(await self._put(form))
            return statuses[-1] < 500

        await self.until(is_answered)
        return statuses[-1]

    async def put_in_force(self, form: Mapping[str, Any], *processes: HostProcess) -> None:
        """Let a configuration be accepted, and be in force on some proxies, by default on all."""
        self.assertEqual(await self.replace(form), 200)

        async def is_in_force() -> bool:
            replicas = [await self.status(replica) for replica in self.core]
            if not all("replica" in status for status in replicas):
                # One of them hasn't opened its listeners yet.
                return False
            accepted = max(status["replica"]["accepted"] for status in replicas)
            statuses = [await self.status(proxy) for proxy in processes or self.proxies]
            return all(status.get("in_force", 0) >= accepted for status in statuses)

        await self.until(is_in_force)

    async def start_serving(self, teams: Sequence[Mapping[str, Any]] | None) -> None:
        """Put a first configuration in force, and wait until both proxies know the worker."""
        await self.put_in_force(configuration(1, teams))
        self.end_formation()

        async def is_known() -> bool:
            statuses = [await self.status(proxy) for proxy in self.proxies]
            return all(self.lists_worker(status, self.owner) for status in statuses)

        await self.until(is_known)

    async def status(self, process: HostProcess) -> dict[str, Any]:
        """Return what a process tells operators of itself, empty if it doesn't answer."""
        url = f"http://{process.host.ip}:{OPERATORS_PORT}/status"
        try:
            async with self.session.get(url) as response:
                status: dict[str, Any] = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return {}
        return status

    def lists_worker(self, status: Mapping[str, Any], process: HostProcess) -> bool:
        """Return whether a status has the worker beside a proxy."""
        ip = process.host.ip
        return any(each["host"] == ip and each["service"] for each in status.get("members", ()))

    async def _put(self, form: Mapping[str, Any]) -> int:
        """Send a configuration once; the status is 503 without a response."""
        url = f"http://{self.core[0].host.ip}:{CONTROL_PORT}/api/Config.Replace"
        try:
            async with self.session.post(url, data=json.dumps(form)) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 503
