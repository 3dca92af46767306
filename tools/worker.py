"""Stand-in worker with limited slots, adjustable latency and a ledger of the requests it ran."""

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

ANNOUNCE_INTERVAL_S = 0.5
# Requests that are running at SIGTERM have this long to finish.
STOP_TIMEOUT_S = 10.0


class WorkerOptions(NamedTuple):
    """Options of a stand-in worker; times are in seconds."""

    service: str
    slots: int = 6
    connections: int = 110
    work_s: float = 0.002
    cold_start_s: float = 0.0


class Worker:
    """Runs at most one request for each slot at once and records each in a ledger."""

    def __init__(
        self, *, options: WorkerOptions, address: str, proxy_address: str, ledger: Path
    ) -> None:
        self._options = options
        self._address = address
        self._proxy_address = proxy_address
        self._ledger = os.open(ledger, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        self._running = 0
        self._work_factor = 1.0
        self._rng = random.Random(address)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        await asyncio.sleep(self._options.cold_start_s)
        server = web.Server(self._handle, access_log=None)
        ip, _, port = self._address.rpartition(":")
        listener = await asyncio.get_running_loop().create_server(server, ip, int(port))
        announcements = asyncio.create_task(self._announce())
        await stop.wait()
        announcements.cancel()
        await self._announce_departure()
        listener.close()
        await server.shutdown(timeout=STOP_TIMEOUT_S)

    async def _announce_departure(self) -> None:
        """Announce to the proxy on this host that this worker is leaving and takes no new work."""
        async with aiohttp.ClientSession() as session:
            with suppress(aiohttp.ClientError, OSError):
                await session.post(
                    f"http://{self._proxy_address}/v1/worker", json={"state": "leaving"}
                )

    async def _announce(self) -> None:
        """Announce this worker to the proxy on its host at each interval."""
        announcement = {
            "service": self._options.service,
            "address": self._address,
            "slots": self._options.slots,
            "connections": self._options.connections,
        }
        async with aiohttp.ClientSession() as session:
            while True:
                with suppress(aiohttp.ClientError, OSError):
                    await session.post(f"http://{self._proxy_address}/v1/worker", json=announcement)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request, or refuse it if all slots are busy."""
        body = await request.read()
        if request.path == "/_slow":
            self._work_factor = float(request.query["times"])
            return web.Response(text="ok")
        if self._running >= self._options.slots:
            self._record(request, "over")
            return web.Response(status=503, text="over the slots")
        self._running += 1
        self._record(request, "ran")
        try:
            times = float(request.headers.get("X-Work-Times", "1"))
            await asyncio.sleep(self._options.work_s * times * self._work_factor)
        finally:
            self._running -= 1
        size = int(request.headers.get("X-Answer-Bytes", "0"))
        content = {
            "service": self._options.service,
            "path": request.path,
            "mark": request.headers.get("X-Mark", ""),
            "received": len(body),
            "cookie": request.headers.get("Cookie", ""),
            "padding": "x" * size,
        }
        if "X-Break-After" in request.headers:
            return await self._break_off(request, int(request.headers["X-Break-After"]))
        response = web.json_response(content)
        if "X-Set-Cookie" in request.headers:
            response.headers["Set-Cookie"] = request.headers["X-Set-Cookie"]
        return response

    async def _break_off(self, request: web.BaseRequest, size: int) -> web.StreamResponse:
        """Close the connection after the first `size` bytes of the response body."""
        response = web.StreamResponse()
        if "X-Chunked" in request.headers:
            response.enable_chunked_encoding()
        else:
            response.content_length = 2 * size
        await response.prepare(request)
        await response.write(b"x" * size)
        assert request.transport is not None
        request.transport.close()
        raise ConnectionResetError(
            "connection closed before the end of the response, as X-Break-After requested"
        )

    def _record(self, request: web.BaseRequest, what: str) -> None:
        """Append a line to the ledger, unbuffered so that it survives a kill."""
        line = {
            "what": what,
            "mark": request.headers.get("X-Mark", ""),
            "request": ",".join(request.headers.getall("X-Request-Id", [])),
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
    arguments = parser.parse_args()
    options = WorkerOptions(
        arguments.service,
        arguments.slots,
        arguments.connections,
        arguments.work_s,
        arguments.cold_start_s,
    )
    worker = Worker(
        options=options,
        address=arguments.address,
        proxy_address=arguments.proxy,
        ledger=arguments.ledger,
    )
    asyncio.run(worker.run())


if __name__ == "__main__":
    main()
