"""The operator's client: asks any process of the system over HTTP."""

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

RETRY_WAIT: Seconds = 0.2
# A change of leader between two answers may send a request on more than once.
MAX_REDIRECTS = 4
_OK = 200
_REDIRECT = 307
_NO_LEADER = 503
_NO_ANSWER = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class AllResponses(NamedTuple):
    """What each process answered by its host, and why the others did not."""

    responses: dict[str, Any]
    errors: dict[str, str]


class Unreachable(Exception):
    """None of the given servers answered."""


class HistoryUnavailable(Exception):
    """The history does not reach back far enough; the text says what to do."""


class Client:
    """Talks to the processes at the given operators' addresses, in turn until one answers."""

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
        """Send a change until its outcome is known; resends keep its operation id."""
        return await self._ask("POST", "/v1/changes", form)

    async def resources(self) -> dict[str, Any]:
        """Return the accepted resources and their version."""
        return await self._ask("GET", "/v1/resources", None)

    async def replicas(self) -> dict[str, Any]:
        """Return the group of replicas."""
        return await self._ask("GET", "/v1/replicas", None)

    async def change_group(self, form: dict[str, Any]) -> dict[str, Any]:
        """Send a change of the group until its outcome is known."""
        return await self._ask("POST", "/v1/replicas", form)

    async def status(self) -> dict[str, Any]:
        """Return the status of the leader, or of a process that answers."""
        found = await self._statuses()
        for status in found:
            if status.get("replica", {}).get("holds_lease"):
                return status
        return found[0]

    async def members(self) -> list[dict[str, Any]]:
        """Return every member that any of the servers knows, the first by name first."""
        known: dict[str, dict[str, Any]] = {}
        for status in await self._statuses():
            for member in status["members"]:
                held = known.get(member["host"])
                if held is None or member["alive"] and not held["alive"]:
                    known[member["host"]] = member
        return [known[host] for host in sorted(known)]

    async def request_all(self, path: str) -> AllResponses:
        """Ask every process that the servers know, and return who answered what."""
        members = await self.members()
        results = await asyncio.gather(
            *(self._send("GET", member["operators"], path, None) for member in members),
            return_exceptions=True,
        )
        answers: dict[str, Any] = {}
        silent: dict[str, str] = {}
        for member, result in zip(members, results, strict=True):
            match result:
                case BaseException():
                    silent[member["host"]] = str(result) or type(result).__name__
                case (200, form):
                    answers[member["host"]] = form
                case (status, _):
                    silent[member["host"]] = f"answered with HTTP status {status}"
        return AllResponses(answers, silent)

    async def request(self, method: str, path: str) -> dict[str, Any]:
        """Ask the first server that answers, whatever its role."""
        for server in self._servers:
            try:
                status, answer = await self._send(method, server, path, None)
            except _NO_ANSWER:
                continue
            if status != _OK:
                raise Unreachable(f"{server}: {answer.get('sentence', f'HTTP status {status}')}")
            return dict(answer)
        raise Unreachable(f"no answer from {', '.join(self._servers)}; name others by --server")

    async def resource(self, kind: str, name: str) -> dict[str, Any]:
        """Return one accepted resource with its status."""
        return await self._ask("GET", f"/v1/resources/{quote(kind)}/{quote(name)}", None)

    async def history(self, version: int) -> dict[str, Any]:
        """Return the changes accepted after a version."""
        return await self._ask("GET", f"/v1/history?from={version}", None)

    async def watch(self, version: int) -> AsyncIterator[dict[str, Any]]:
        """Yield each change accepted after a version once, and how far the newest has come.

        Raise HistoryUnavailable when the servers no longer hold the changes after the version.
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
                raise HistoryUnavailable((await response.json())["sentence"])
            response.raise_for_status()
            async for line in response.content:
                # An empty line is a heartbeat.
                if line.strip():
                    yield json.loads(line)

    async def _statuses(self) -> list[dict[str, Any]]:
        """Return the status of each server that answers."""
        results = await asyncio.gather(
            *(self._send("GET", server, "/v1/status", None) for server in self._servers),
            return_exceptions=True,
        )
        answers = [result for result in results if not isinstance(result, BaseException)]
        found = [dict(form) for status, form in answers if status == _OK]
        if found:
            return found
        if answers:
            raise Unreachable(str(answers[0][1].get("sentence", answers[0])))
        raise Unreachable(f"no answer from {', '.join(self._servers)}; name others by --server")

    async def _ask(self, method: str, path: str, form: dict[str, Any] | None) -> dict[str, Any]:
        """Ask one server after another until one answers for good."""
        give_up = asyncio.get_running_loop().time() + self._timeout
        while asyncio.get_running_loop().time() < give_up:
            for server in self._servers:
                try:
                    status, answer = await self._send(method, server, path, form)
                except _NO_ANSWER:
                    continue
                if status not in (503, 504):
                    return dict(answer)
            await asyncio.sleep(RETRY_WAIT)
        raise Unreachable(f"no leader answered at {', '.join(self._servers)}; try again")

    async def _send(
        self, method: str, server: str, path: str, form: dict[str, Any] | None
    ) -> tuple[int, Any]:
        """Send one request, on to the leader where that is said, and return status and JSON."""
        url = URL(f"http://{server}{path}")
        # The library would not show the token again after a redirect.
        for _ in range(MAX_REDIRECTS):
            async with self._session.request(
                method, url, json=form, allow_redirects=False
            ) as response:
                if response.status != _REDIRECT:
                    return response.status, await response.json(content_type=None)
                url = url.join(URL(response.headers["Location"]))
        return _NO_LEADER, {"sentence": "not run: each replica named another as the leader"}
