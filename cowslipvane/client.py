"""HTTP client for operators: sends requests to any process of the system."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from http import HTTPStatus
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import quote

import aiohttp
from yarl import URL

from cowslipvane.settings import Token
from cowslipvane.types import Seconds

RETRY_DELAY: Seconds = 0.2
# A request is redirected more than once if the leader changes between two responses.
MAX_REDIRECTS = 4
_OK = 200
_REDIRECT = 307
_NO_LEADER = 503
_REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class AllResponses(NamedTuple):
    """The responses of processes by host, and the error of each failed request by host."""

    responses: dict[str, Any]
    errors: dict[str, str]


class Unreachable(Exception):
    """Raised when no server responds, or when a server responds with an error."""


class HistoryUnavailable(Exception):
    """Raised when the history starts after the requested version; the text says what to do."""


class Client:
    """Sends requests to the given operators' addresses, in turn until one responds."""

    def __init__(
        self, *, servers: tuple[str, ...], timeout: Seconds = 10.0, token: Token | None = None
    ) -> None:
        self._servers = servers
        self._timeout = timeout
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=timeout), headers=token.headers if token else None
        )

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
        """Send a change, and resend it under its operation id until the outcome is known."""
        return await self._request_until_final("POST", "/v1/changes", form)

    async def resources(self) -> dict[str, Any]:
        """Return the accepted resources and their version."""
        return await self._request_until_final("GET", "/v1/resources", None)

    async def replicas(self) -> dict[str, Any]:
        """Return the group of replicas."""
        return await self._request_until_final("GET", "/v1/replicas", None)

    async def change_group(self, form: dict[str, Any]) -> dict[str, Any]:
        """Send a group change, and resend it until the outcome is known."""
        return await self._request_until_final("POST", "/v1/replicas", form)

    async def status(self) -> dict[str, Any]:
        """Return the status of the leader, or else of the first server that responds."""
        statuses = await self._statuses()
        for status in statuses:
            if status.get("replica", {}).get("holds_lease"):
                return status
        return statuses[0]

    async def members(self) -> list[dict[str, Any]]:
        """Return the members that any of the servers knows, sorted by host."""
        known: dict[str, dict[str, Any]] = {}
        for status in await self._statuses():
            for member in status["members"]:
                previous = known.get(member["host"])
                if previous is None or member["alive"] and not previous["alive"]:
                    known[member["host"]] = member
        return [known[host] for host in sorted(known)]

    async def request_all(self, path: str) -> AllResponses:
        """Request a path from every process that the servers know."""
        members = await self.members()
        results = await asyncio.gather(
            *(self._send("GET", member["operators"], path, None) for member in members),
            return_exceptions=True,
        )
        responses: dict[str, Any] = {}
        errors: dict[str, str] = {}
        for member, result in zip(members, results, strict=True):
            match result:
                case BaseException():
                    errors[member["host"]] = str(result) or type(result).__name__
                case (200, form):
                    responses[member["host"]] = form
                case (status, _):
                    errors[member["host"]] = f"answered with HTTP status {status}"
        return AllResponses(responses, errors)

    async def request(self, method: str, path: str) -> dict[str, Any]:
        """Return the response of the first server that responds, whatever its role.

        Raise Unreachable if no server responds, or if the status of the response isn't 200.
        """
        for server in self._servers:
            try:
                status, response = await self._send(method, server, path, None)
            except _REQUEST_ERRORS:
                continue
            if status != _OK:
                raise Unreachable(f"{server}: {response.get('sentence', f'HTTP status {status}')}")
            return dict(response)
        raise self._no_answer()

    async def resource(self, kind: str, name: str) -> dict[str, Any]:
        """Return one accepted resource with its status."""
        return await self._request_until_final(
            "GET", f"/v1/resources/{quote(kind)}/{quote(name)}", None
        )

    async def history(self, version: int) -> dict[str, Any]:
        """Return the changes accepted after a version."""
        return await self._request_until_final("GET", f"/v1/history?from={version}", None)

    async def start_rollout(
        self, service: str, target_version: str, duration: float
    ) -> dict[str, Any]:
        """Order a rollout, and return its state or why it was refused."""
        form = {"service": service, "target_version": target_version, "duration": duration}
        return await self._request_until_final("POST", "/v1/rollouts", form)

    async def rollout(self, service: str) -> dict[str, Any]:
        """Return the newest rollout of a service."""
        return await self._request_until_final("GET", f"/v1/rollouts/{quote(service)}", None)

    async def watch(self, version: int) -> AsyncIterator[dict[str, Any]]:
        """Yield each change accepted after a version once, and the progress of the newest.

        Raise HistoryUnavailable if the servers no longer hold the changes after the version.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout
        while loop.time() < deadline:
            for server in self._servers:
                try:
                    async for line in self._stream(server, version):
                        version = line.get("accepted", version)
                        deadline = loop.time() + self._timeout
                        yield line
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue
            await asyncio.sleep(RETRY_DELAY)
        raise self._no_leader()

    async def _stream(self, server: str, version: int) -> AsyncIterator[dict[str, Any]]:
        """Yield the lines of one server's stream until it ends."""
        timeout = aiohttp.ClientTimeout(total=None, sock_read=self._timeout)
        url = f"http://{server}/v1/watch?from={version}"
        async with self._session.get(url, timeout=timeout) as response:
            if response.status == HTTPStatus.GONE:
                raise HistoryUnavailable((await response.json())["sentence"])
            response.raise_for_status()
            async for line in response.content:
                # An empty line is a heartbeat.
                if line.strip():
                    yield json.loads(line)

    async def _statuses(self) -> list[dict[str, Any]]:
        """Return the status of each server that responds."""
        results = await asyncio.gather(
            *(self._send("GET", server, "/v1/status", None) for server in self._servers),
            return_exceptions=True,
        )
        responses = [result for result in results if not isinstance(result, BaseException)]
        statuses = [dict(form) for status, form in responses if status == _OK]
        if statuses:
            return statuses
        if responses:
            raise Unreachable(str(responses[0][1].get("sentence", responses[0])))
        raise self._no_answer()

    async def _request_until_final(
        self, method: str, path: str, form: dict[str, Any] | None
    ) -> dict[str, Any]:
        """Send a request to the servers in turn until one gives a final response.

        A response is final unless its status is 503 or 504.
        """
        deadline = asyncio.get_running_loop().time() + self._timeout
        while asyncio.get_running_loop().time() < deadline:
            for server in self._servers:
                try:
                    status, response = await self._send(method, server, path, form)
                except _REQUEST_ERRORS:
                    continue
                if status not in (503, 504):
                    return dict(response)
            await asyncio.sleep(RETRY_DELAY)
        raise self._no_leader()

    async def _send(
        self, method: str, server: str, path: str, form: dict[str, Any] | None
    ) -> tuple[int, Any]:
        """Send a request, follow redirects to the leader, and return the status and JSON."""
        url = URL(f"http://{server}{path}")
        # aiohttp would drop the token on a redirect, so redirects are followed here.
        for _ in range(MAX_REDIRECTS):
            async with self._session.request(
                method, url, json=form, allow_redirects=False
            ) as response:
                if response.status != _REDIRECT:
                    return response.status, await response.json(content_type=None)
                url = url.join(URL(response.headers["Location"]))
        return _NO_LEADER, {"sentence": "not run: each replica named another as the leader"}

    def _no_answer(self) -> Unreachable:
        """Return the error for servers of which none responds."""
        return Unreachable(f"no answer from {', '.join(self._servers)}; name others by --server")

    def _no_leader(self) -> Unreachable:
        """Return the error for servers that give no final response in time."""
        return Unreachable(f"no leader answered at {', '.join(self._servers)}; try again")
