"""The operator's client: asks any process of the system over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from http import HTTPStatus
from types import TracebackType
from typing import Any, Self
from urllib.parse import quote

import aiohttp

from cowslipvane.types import Seconds

RETRY_WAIT: Seconds = 0.2


class Unreachable(Exception):
    """None of the given servers answered."""


class Gone(Exception):
    """The history does not reach back far enough; the text says what to do."""


class Client:
    """Talks to the processes at the given operators' addresses, in turn until one answers."""

    def __init__(self, *, servers: tuple[str, ...], timeout: Seconds = 10.0) -> None:
        self._servers = servers
        self._timeout = timeout
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout))

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self._session.close()

    async def change(self, form: dict[str, Any]) -> dict[str, Any]:
        """Send a change until its outcome is known; resends keep its operation id."""
        return await self._ask("POST", "/v1/changes", form)

    async def resources(self) -> dict[str, Any]:
        """Return the accepted resources and their version."""
        return await self._ask("GET", "/v1/resources", None)

    async def status(self) -> dict[str, Any]:
        """Return the status of the leader, or of a process that answers."""
        fallback: dict[str, Any] = {}
        for server in self._servers:
            try:
                _, status = await self._send("GET", server, "/v1/status", None)
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            if status.get("replica", {}).get("holds_lease"):
                return dict(status)
            fallback = status
        if not fallback:
            raise Unreachable(f"no answer from {', '.join(self._servers)}; name others by --server")
        return fallback

    async def events(self, request: str) -> list[dict[str, Any]]:
        """Return the events of a request from every process that is known and answers."""
        status = await self.status()
        addresses = {member["operators"] for member in status["members"]}
        path = f"/v1/events?request={request}"
        answers = await asyncio.gather(
            *(self._send("GET", address, path, None) for address in sorted(addresses)),
            return_exceptions=True,
        )
        found = [
            event
            for answer in answers
            if not isinstance(answer, BaseException)
            for event in answer[1]
        ]
        return sorted(found, key=lambda event: (event["wall"], event["logical"]))

    async def resource(self, kind: str, name: str) -> dict[str, Any]:
        """Return one accepted resource with its status."""
        return await self._ask("GET", f"/v1/resources/{quote(kind)}/{quote(name)}", None)

    async def history(self, version: int) -> dict[str, Any]:
        """Return the changes accepted after a version."""
        return await self._ask("GET", f"/v1/history?from={version}", None)

    async def watch(self, version: int) -> AsyncIterator[dict[str, Any]]:
        """Yield each change accepted after a version once, and how far the newest has come.

        Raise Gone when the servers don't remember the changes that follow the version.
        """
        loop = asyncio.get_running_loop()
        give_up = loop.time() + self._timeout
        while loop.time() < give_up:
            for server in self._servers:
                try:
                    async for line in self._stream(server, version):
                        version = line.get("accepted", version)
                        give_up = loop.time() + self._timeout
                        yield line
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
            await asyncio.sleep(RETRY_WAIT)
        raise Unreachable(f"no leader answered at {', '.join(self._servers)}; try again")

    async def _stream(self, server: str, version: int) -> AsyncIterator[dict[str, Any]]:
        """Yield the lines of one stream until it ends."""
        timeout = aiohttp.ClientTimeout(total=None, sock_read=self._timeout)
        url = f"http://{server}/v1/watch?from={version}"
        async with self._session.get(url, timeout=timeout) as response:
            if response.status == HTTPStatus.GONE:
                raise Gone((await response.json())["sentence"])
            response.raise_for_status()
            async for line in response.content:
                # An empty line is a heartbeat.
                if line.strip():
                    yield json.loads(line)

    async def _ask(self, method: str, path: str, form: dict[str, Any] | None) -> dict[str, Any]:
        """Ask one server after another until one answers for good."""
        give_up = asyncio.get_running_loop().time() + self._timeout
        while asyncio.get_running_loop().time() < give_up:
            for server in self._servers:
                try:
                    status, answer = await self._send(method, server, path, form)
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
                if status not in (503, 504):
                    return dict(answer)
            await asyncio.sleep(RETRY_WAIT)
        raise Unreachable(f"no leader answered at {', '.join(self._servers)}; try again")

    async def _send(
        self, method: str, server: str, path: str, form: dict[str, Any] | None
    ) -> tuple[int, Any]:
        """Send one request and return status and JSON."""
        url = f"http://{server}{path}"
        async with self._session.request(method, url, json=form) as response:
            return response.status, await response.json(content_type=None)
