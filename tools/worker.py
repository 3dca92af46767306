"""A stand-in worker: slots, connections, slow spells, long work, and a ledger of what it ran."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import aiohttp
from aiohttp import web

ANNOUNCE_EVERY_S = 0.5


class Traits(NamedTuple):
    """How a stand-in worker behaves; times are in seconds."""

    service: str
    slots: int = 6
    connections: int = 110
    work_s: float = 0.002
    cold_start_s: float = 0.0


class Worker:
    """Answers requests, never more at once than its slots, and writes down each that it runs."""

    def __init__(self, *, traits: Traits, address: str, proxy: str, ledger: Path) -> None:
        self._traits = traits
        self._address = address
        self._proxy = proxy
        self._ledger = os.open(ledger, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        self._running = 0
        self._slow = 1.0
        self._rng = random.Random(address)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        await asyncio.sleep(self._traits.cold_start_s)
        server = web.Server(self._handle, access_log=None)
        ip, _, port = self._address.rpartition(":")
        listener = await asyncio.get_running_loop().create_server(server, ip, int(port))
        announcing = asyncio.create_task(self._announce())
        await stop.wait()
        announcing.cancel()
        listener.close()
        await server.shutdown(timeout=1.0)

    async def _announce(self) -> None:
        """Announce this worker to the proxy on its host, again and again."""
        form = {
            "service": self._traits.service,
            "address": self._address,
            "slots": self._traits.slots,
            "connections": self._traits.connections,
        }
        async with aiohttp.ClientSession() as session:
            while True:
                with suppress(aiohttp.ClientError, OSError):
                    await session.post(f"http://{self._proxy}/v1/worker", json=form)
                await asyncio.sleep(ANNOUNCE_EVERY_S)

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Run one request."""
        body = await http.read()
        if http.path == "/_slow":
            self._slow = float(http.query["times"])
            return web.Response(text="ok")
        if self._running >= self._traits.slots:
            self._write(http, "over")
            return web.Response(status=503, text="over the slots")
        self._running += 1
        self._write(http, "ran")
        try:
            times = float(http.headers.get("X-Work-Times", "1"))
            await asyncio.sleep(self._traits.work_s * times * self._slow)
        finally:
            self._running -= 1
        size = int(http.headers.get("X-Answer-Bytes", "0"))
        answer = {
            "service": self._traits.service,
            "path": http.path,
            "mark": http.headers.get("X-Mark", ""),
            "received": len(body),
            "cookie": http.headers.get("Cookie", ""),
            "padding": "x" * size,
        }
        if "X-Break-After" in http.headers:
            return await self._break(http, int(http.headers["X-Break-After"]))
        response = web.json_response(answer)
        if "X-Set-Cookie" in http.headers:
            response.headers["Set-Cookie"] = http.headers["X-Set-Cookie"]
        return response

    async def _break(self, http: web.BaseRequest, size: int) -> web.StreamResponse:
        """Close the connection after a part of an answer."""
        response = web.StreamResponse()
        if "X-Chunked" in http.headers:
            response.enable_chunked_encoding()
        else:
            response.content_length = 2 * size
        await response.prepare(http)
        await response.write(b"x" * size)
        assert http.transport is not None
        http.transport.close()
        raise ConnectionResetError("the answer is broken off on request")

    def _write(self, http: web.BaseRequest, what: str) -> None:
        """Write a line to the ledger at once, so that it outlives a kill."""
        line = {
            "what": what,
            "mark": http.headers.get("X-Mark", ""),
            "request": ",".join(http.headers.getall("X-Request-Id", [])),
            "at": asyncio.get_running_loop().time(),
        }
        os.write(self._ledger, json.dumps(line).encode() + b"\n")


def main() -> None:
    """Run a stand-in worker from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--proxy", required=True)
    parser.add_argument("--ledger", required=True, type=Path)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--connections", type=int, default=110)
    parser.add_argument("--work-s", type=float, default=0.002)
    parser.add_argument("--cold-start-s", type=float, default=0.0)
    given = parser.parse_args()
    traits = Traits(given.service, given.slots, given.connections, given.work_s, given.cold_start_s)
    worker = Worker(traits=traits, address=given.address, proxy=given.proxy, ledger=given.ledger)
    asyncio.run(worker.run())


if __name__ == "__main__":
    main()
