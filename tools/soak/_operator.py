"""The operator: sends configurations and reads the newest one back, at any replica."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Mapping
from contextlib import suppress

import aiohttp

from cowslipvane.types import Seconds
from tools.soak._hosts import CONTROL_PORT, Host
from tools.soak._keys import Keyring, team_forms
from tools.soak._records import Change, History, Reading

_ANSWER_TIMEOUT: Seconds = 1.0
_MAX_REDIRECTS = 2
_SHORTEST_BACKOFF: Seconds = 0.1
_LONGEST_BACKOFF: Seconds = 1.0
_READ_INTERVAL: Seconds = 0.25
_RESEND_TIME: Seconds = 20.0
_ROUTE_TIMEOUT: Seconds = 5.0
_MAX_VERSION_STEP = 3
_FINAL_STATUSES = frozenset({200, 400, 409, 412, 413, 422})


class Operator:
    """Sends changes to replicas, and records each change and each reading."""

    def __init__(
        self, *, replicas: list[Host], services: list[str], rng: random.Random, history: History
    ) -> None:
        self._changes = history.changes
        self._readings = history.readings
        self._documents: dict[int, object] = {}
        # Additional routes of each service.
        self.additional_routes = 0
        self._replicas = replicas
        self._services = services
        self._rng = rng
        self._keyring = Keyring(rng=rng)
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=_ANSWER_TIMEOUT))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def change(self) -> Change:
        """Send a change of the newest configuration, repeatedly until there is a clear answer."""
        newest = max((item.version for item in self._changes if item.status == 200), default=0)
        unclear = [item.version for item in self._changes if item.status is None]
        # A change without a clear answer may be in force, so the next builds on what is read.
        if unclear and (reading := await self.read()).version is not None:
            newest = reading.version
        highest = max((item.version for item in self._changes), default=0)
        version = max(newest, highest) + self._rng.randint(1, _MAX_VERSION_STEP)
        holders = self._keyring.draw()
        self._documents[version] = self._document(version, newest, holders)
        body = json.dumps(self._documents[version]).encode()
        index = len(self._changes)
        sent_at = time.monotonic()
        change = Change(version, newest, sent_at, None, None, holders)
        self._changes.append(change)
        status = await self._resend(body)
        self._changes[index] = change._replace(answered_at=time.monotonic(), status=status)
        return self._changes[index]

    async def read(self) -> Reading:
        """Read the configuration once, at a random replica."""
        sent_at = time.monotonic()
        version: int | None = None
        is_as_sent = True
        status, body = await self._request("GET", "Config.Get", b"")
        if status == 200:
            document = json.loads(body)
            version = int(document["version"], 16)
            is_as_sent = document == self._documents.get(version)
        reading = Reading(sent_at, time.monotonic(), version, is_as_sent)
        self._readings.append(reading)
        return reading

    async def read_within(self, timeout: Seconds) -> Reading | None:
        """Read the configuration, repeatedly until it comes or a timeout is over."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            reading = await self.read()
            if reading.version is not None:
                return reading
            await asyncio.sleep(_READ_INTERVAL)
        return None

    async def keep_reading(self) -> None:
        """Read the configuration at each interval."""
        while True:
            await self.read()
            await asyncio.sleep(_READ_INTERVAL)

    async def _resend(self, body: bytes) -> int | None:
        """Send a configuration until there is a clear answer; return None if none came."""
        end = time.monotonic() + _RESEND_TIME
        backoff = _SHORTEST_BACKOFF
        while time.monotonic() < end:
            status, _ = await self._request("POST", "Config.Replace", body)
            if status in _FINAL_STATUSES:
                return status
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, _LONGEST_BACKOFF)
        return None

    async def _request(self, method: str, call: str, body: bytes) -> tuple[int | None, bytes]:
        """Call a random replica and follow redirects; the status is None without a response."""
        ip = self._rng.choice(self._replicas).ip
        url = f"http://{ip}:{CONTROL_PORT}/api/{call}"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            for _ in range(_MAX_REDIRECTS + 1):
                async with self._session.request(
                    method, url, data=body or None, allow_redirects=False
                ) as response:
                    content = await response.read()
                    if response.status != 307:
                        return response.status, content
                    url = response.headers["Location"]
        return None, b""

    def _document(
        self, version: int, based_on: int, holders: Mapping[str, str]
    ) -> dict[str, object]:
        """Return a configuration; the routes that callers use are in each one."""
        return {
            "version": f"{version:08x}",
            "base_version": f"{based_on:08x}",
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1 << 20,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "listeners": [
                {
                    "host": f"{service}.example",
                    "route_rules": [
                        _rule(service, "safe", "idempotent"),
                        _rule(service, "open", "idempotent") | {"public": True},
                        _rule(service, "unsafe", "non_idempotent"),
                        # Distinguishes the version.
                        _rule(service, f"extra-{version}", "idempotent"),
                        *(
                            _rule(service, f"additional-{index}", "idempotent")
                            for index in range(self.additional_routes)
                        ),
                    ],
                }
                for service in self._services
            ],
            "clusters": [
                {"name": name, "health_path": "/healthz", "max_connections": 60}
                for name in self._services
            ],
            "tenants": team_forms(holders),
        }


def _rule(service: str, prefix: str, kind: str) -> dict[str, object]:
    """Return one route."""
    return {
        "name": f"{service}-{prefix}",
        "type": kind,
        "target_latency_s": 0.6,
        "priority": 1,
        "match": {"path_prefix": f"/{prefix}/"},
        "action": {"service": service, "timeout_s": _ROUTE_TIMEOUT, "attempts": 2},
    }
