"""Test of keys at a real proxy process whose links to all replicas are cut."""

import asyncio
import json
import random
import tempfile
import time
import unittest
import uuid
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from cowslipvane.types import Address, Seconds
from tools.relay import LinkCondition, Relay
from tools.soak._hosts import (
    CALLERS_PORT,
    CONTROL_PORT,
    HIDDEN_PORT,
    PEERS_PORT,
    WORKER_PORT,
    Host,
    HostProcess,
)

SERVICE = "alpha"
KEY = "key-of-a-team"
REVOKE_S: Seconds = 2.0
BOUNDS = {"revoke_when_partitioned": True, "revoke_s": REVOKE_S}
# The cut lasts for this much longer than the bound.
WATCHED_S: Seconds = 1.0
TIMEOUT_S: Seconds = 15.0
HEARTBEAT_INTERVAL_S: Seconds = 1.0
POLL_INTERVAL_S: Seconds = 0.05
CUT = LinkCondition(cuts_in=True, cuts_out=True)


class RevokingProcess(HostProcess):
    """A process of a deployment that asks for the rule."""

    def _render(self, template: str, first_start: bool) -> str:
        """Fill in a template, with the bounds."""
        text = super()._render(template, first_start)
        return text.replace("{{bounds|json}}", json.dumps(BOUNDS))


class Outcome(NamedTuple):
    """The response to a request; code is empty unless the proxy refused it."""

    status: int
    code: str


def rule(prefix: str, *, is_public: bool) -> dict[str, object]:
    """Return one route."""
    return {
        "name": prefix,
        "type": "idempotent",
        "target_latency_s": 2,
        "priority": 1,
        "public": is_public,
        "match": {"path_prefix": f"/{prefix}/"},
        "action": {"service": SERVICE, "timeout_s": 2, "attempts": 2},
    }


CONFIGURATION = {
    "version": "00000001",
    "base_version": "00000000",
    "limits": {"max_body_bytes": 1000},
    "tenants": [{"name": "audit", "api_keys": [KEY]}],
    "listeners": [
        {
            "host": "shop.example",
            "route_rules": [rule("keyed", is_public=False), rule("public", is_public=True)],
        }
    ],
    "clusters": [{"name": SERVICE, "max_connections": 60}],
}


async def work(http: web.BaseRequest) -> web.Response:
    """Answer a request of the proxy as a worker."""
    return web.Response(text="done", headers={"Attempt-Id": http.headers.get("Attempt-Id", "")})


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """Three replicas, and a proxy with a worker of its own."""

    async def asyncSetUp(self) -> None:
        """Start the processes, and wait until a request with a key is served."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory(prefix="cowslipvane-")))
        prefix = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        replicas = [Host(f"replica-{i}", f"{prefix}.{10 + i}", "north", "") for i in range(3)]
        self.host = Host("proxy-0", f"{prefix}.100", "north", SERVICE)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(5.0))
        )
        self.relay = Relay()
        self.stack.push_async_callback(self.relay.close)
        for host in (*replicas, self.host):
            process = RevokingProcess(host=host, folder=folder, seeds=replicas)
            process.write_settings(first_start=True)
            await self.relay.listen(Address(host.ip, PEERS_PORT), Address(host.ip, HIDDEN_PORT))
            self.stack.push_async_callback(process.kill)
            await process.start()
        await self.start_worker()
        await self.until(lambda: self.configure(replicas))
        await self.until(self.is_key_accepted)

    async def start_worker(self) -> None:
        """Start a worker beside the proxy, and announce it until the end."""
        runner = web.ServerRunner(web.Server(work))
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.host.ip, WORKER_PORT).start()
        announcing = asyncio.create_task(self.announce())
        self.stack.callback(announcing.cancel)

    async def announce(self) -> None:
        """Send heartbeats of the worker."""
        form: dict[str, Any] = {
            "address": f"{self.host.ip}:{WORKER_PORT}",
            "born": 1_000_000,
            "info": {"service": SERVICE, "version": "v1", "zone": "north", "max_concurrency": 6},
            "status": {"phase": "ready", "sequence": 0, "cold_remaining_s": 0},
        }
        while True:
            form["status"]["sequence"] += 1
            await self.post(self.host, "Instances.Heartbeat/i-1", form)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def configure(self, replicas: list[Host]) -> bool:
        """Send the configuration to the replicas; return whether the leader has accepted it."""
        statuses = [await self.post(host, "Config.Replace", CONFIGURATION) for host in replicas]
        return 200 in statuses

    async def post(self, host: Host, call: str, form: dict[str, Any]) -> int:
        """Call a process, and return the status, 0 without a response."""
        url = f"http://{host.ip}:{CONTROL_PORT}/api/{call}"
        try:
            async with self.session.post(url, json=form, allow_redirects=False) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def fetch(self, path: str, key: str | None) -> Outcome:
        """Send a request to the proxy."""
        headers = {"Host": "shop.example", "Attempt-Id": uuid.uuid4().hex}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://{self.host.ip}:{CALLERS_PORT}{path}"
        try:
            async with self.session.get(url, headers=headers) as response:
                body = await response.read()
                if response.status == 200:
                    return Outcome(200, "")
                return Outcome(response.status, json.loads(body).get("code", ""))
        except (aiohttp.ClientError, TimeoutError):
            return Outcome(0, "")

    async def is_key_accepted(self) -> bool:
        """Return whether a request with a key is served."""
        return (await self.fetch("/keyed/1", KEY)).status == 200

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + TIMEOUT_S
        while not await condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            await asyncio.sleep(POLL_INTERVAL_S)

    # Guards against a proxy behind a cut that goes on to accept keys that were withdrawn meanwhile,
    # against one that serves nobody for lack of contact, and one that never recovers.
    async def test_keys_are_refused_behind_a_cut_and_accepted_after_it(self) -> None:
        """Public routes are served all the while."""
        with self.relay.condition((self.host.ip,), CUT):
            cut_at = time.monotonic()
            self.assertEqual((await self.fetch("/public/1", None)).status, 200)
            await asyncio.sleep(cut_at + REVOKE_S - time.monotonic())
            while time.monotonic() < cut_at + REVOKE_S + WATCHED_S:
                self.assertEqual(await self.fetch("/keyed/1", KEY), (503, "keys-unconfirmed"))
                self.assertEqual(await self.fetch("/public/1", KEY), (503, "keys-unconfirmed"))
                self.assertEqual(await self.fetch("/public/1", None), (200, ""))
                await asyncio.sleep(POLL_INTERVAL_S)
        await self.until(self.is_key_accepted)


if __name__ == "__main__":
    unittest.main()
