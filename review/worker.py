"""A sound stand-in worker, as `python review/worker.py IP SERVICE ZONE INSTANCE SLOTS WORK_MS LOG`.

It announces itself to the control address of its machine, runs requests, and writes each run into
LOG as a JSON line. Lines on standard input are orders: `hush` (announce nothing more), `late S`
(the next heartbeat arrives S seconds late), `deregister`, `drain`.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from wire import CONTROL_PORT, WORKER_PORT, Head, encode_head, post, read_body, read_head

HEARTBEAT_INTERVAL = 1.5
ACK_TIMEOUT = 1.0
QUEUED_PER_SLOT = 4
IDLE_TIMEOUT_S = 10
WORK_SPREAD = 0.6
LONG_SHARE, LONG_FACTOR = 0.03, 7.0


class Worker:
    """One lifetime of a worker."""

    def __init__(
        self,
        *,
        ip: str,
        service: str,
        zone: str,
        instance: str,
        slots: int,
        work_s: float,
        log: Path,
    ) -> None:
        self._ip, self._service, self._zone = ip, service, zone
        self._instance, self._slot_count, self._work_s = instance, slots, work_s
        self._slots = asyncio.Semaphore(slots)
        self._queued = 0
        self._log = log.open("a", buffering=1)
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._phase = "ready"
        self._is_hushed = False
        self._late_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve and announce until the process ends."""
        server = await asyncio.start_server(self._serve, self._ip, WORKER_PORT)
        self._record("born", born=self._born)
        async with server:
            await asyncio.gather(self._announce(), self._take_orders())

    def _record(self, kind: str, **detail: object) -> None:
        """Write a line into the log."""
        entry = {"at": time.monotonic(), "what": kind, "worker": self._instance, **detail}
        self._log.write(json.dumps(entry) + "\n")

    async def _announce(self) -> None:
        """Send a heartbeat at each interval."""
        while True:
            if not self._is_hushed:
                late, self._late_s = self._late_s, 0.0
                self._start(self._heartbeat(late))
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def _start(self, job: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _heartbeat(self, late: float) -> None:
        """Send a heartbeat, which may arrive late."""
        self._sequence += 1
        body = {
            "address": f"{self._ip}:{WORKER_PORT}",
            "born": self._born,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": self._zone,
                "max_concurrency": self._slot_count,
            },
            "status": {
                "phase": self._phase,
                "sequence": self._sequence,
                "cold_remaining_s": 0,
            },
        }
        sequence, phase = self._sequence, self._phase
        if late:
            self._record("heartbeat-delayed", sequence=sequence, phase=phase, seconds=late)
            await asyncio.sleep(late)
        await self._post("Heartbeat", body, sequence=sequence, phase=phase)

    async def _post(self, call: str, body: object, **detail: object) -> bool:
        """Call the daemon of this machine and return whether it acknowledged."""
        path = f"/api/Instances.{call}/{self._instance}"
        answer = await post((self._ip, CONTROL_PORT), path, body, ACK_TIMEOUT)
        status = answer.status if answer else None
        self._record(call.lower(), status=status, **detail)
        return status == 200

    async def _take_orders(self) -> None:
        """Follow the orders on standard input."""
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := (await reader.readline()).decode().split():
            match line:
                case ["hush"]:
                    self._is_hushed = True
                case ["late", seconds]:
                    self._start(self._heartbeat(float(seconds)))
                case ["deregister"]:
                    self._is_hushed = True
                    self._start(self._leave("Deregister", {"born": self._born}))
                case ["drain"]:
                    self._phase = "draining"
                    self._start(self._heartbeat(0.0))
                case _:
                    self._record("unknown-order", line=line)

    async def _leave(self, call: str, body: object) -> None:
        """Send a call until it is acknowledged."""
        is_acknowledged = await self._post(call, body)
        if not is_acknowledged:
            await asyncio.sleep(0.5)
            await self._leave(call, body)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after another."""
        with suppress(asyncio.IncompleteReadError, OSError, TimeoutError):
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S + 0.5):
                    head = await read_head(reader)
                body = await read_body(reader, head)
                await self._serve_one(reader, writer, head, body)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: Head, body: bytes
    ) -> None:
        """Answer one request."""
        request_id = head.fields.get("attempt-id", "")
        if head.start_line.startswith("GET /healthz "):
            await self._write(writer, 200, request_id, b"")
        elif not request_id:
            await self._write(writer, 400, request_id, b"", refused=True)
        elif head.fields.get("expected-instance", self._instance) != self._instance:
            self._record("misdirected", request=request_id)
            await self._write(writer, 421, request_id, b"", refused=True)
        elif self._slots.locked() and self._queued >= QUEUED_PER_SLOT * self._slot_count:
            await self._write(writer, 503, request_id, b"", refused=True)
        else:
            await self._work(reader, writer, head, body)

    async def _work(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: Head, body: bytes
    ) -> None:
        """Run a request once there is a slot."""
        request_id = head.fields["attempt-id"]
        self._queued += 1
        async with self._slots:
            self._queued -= 1
            line = head.start_line
            self._record("run", request=request_id, line=line, body_bytes=len(body))
            await asyncio.sleep(self._work_time())
            self._record("ran", request=request_id)
            answer = f"{request_id} by {self._instance}\n".encode()
            await self._write(writer, 200, request_id, answer)

    def _work_time(self) -> float:
        """Return the time that a request takes; a few take many times longer than the rest."""
        usual = self._work_s * random.lognormvariate(0.0, WORK_SPREAD)
        return usual * LONG_FACTOR if random.random() < LONG_SHARE else usual

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        *,
        refused: bool = False,
    ) -> None:
        """Write a response."""
        fields = {
            "Instance-Id": self._instance,
            "Response-Signature": f"{self._instance}.{request_id}",
            "Keep-Alive": f"timeout={IDLE_TIMEOUT_S}",
            "Content-Length": str(len(body)),
        }
        if request_id:
            fields["Attempt-Id"] = request_id
        if refused:
            fields["Not-Executed"] = "1"
        writer.write(encode_head(f"HTTP/1.1 {status} X", fields) + body)
        await writer.drain()


def main() -> None:
    """Run the worker that the arguments describe."""
    ip, service, zone, instance, slots, work_ms, log = sys.argv[1:]
    worker = Worker(
        ip=ip,
        service=service,
        zone=zone,
        instance=instance,
        slots=int(slots),
        work_s=float(work_ms) / 1000,
        log=Path(log),
    )
    asyncio.run(worker.run())


if __name__ == "__main__":
    main()
