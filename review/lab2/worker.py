"""A sound worker, as the users' pages describe: it announces itself, and runs what it gets."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import NamedTuple

from lab2.machines import CONTROL_PORT, WORKER_PORT, Lab, Machine

HEARTBEAT_INTERVAL_S = 1.5
SLOTS = 6


class Run(NamedTuple):
    """A request that a worker began to work on; at is in seconds of the steady clock."""

    at: float
    request_id: str
    worker: str
    target: str


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    worker: Worker

    def handle_error(self, *_: object) -> None:
        """Ignore a connection that the daemon has closed, as when it aborts a request."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    def handle_any(self) -> None:
        """Run one request."""
        worker = self.server.worker
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        request_id = self.headers.get("Attempt-Id", "")
        expected = self.headers.get("Expected-Instance")
        if expected is not None and expected != worker.instance:
            self._answer(421, b"", request_id, signed=False)
            return
        worker.record(request_id, self.path)
        time.sleep(worker.work_s)
        if worker.large_bytes and "/large/" in self.path:
            self._send_large(worker, request_id)
            return
        self._answer(200, f"{worker.service} ran {request_id}".encode(), request_id, signed=True)

    def _send_large(self, worker: Worker, request_id: str) -> None:
        """Send a large answer, and break it off two thirds through if the worker is faulty."""
        size = worker.large_bytes
        self.send_response(200)
        self.send_header("Attempt-Id", request_id)
        self.send_header("Response-Signature", f"sig-{request_id}")
        self.send_header("Content-Length", str(size))
        self.end_headers()
        self.wfile.write(b"l" * (2 * size // 3))
        if worker.breaks_off:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        self.wfile.write(b"l" * (size - 2 * size // 3))

    do_GET = do_POST = do_PUT = do_DELETE = handle_any  # noqa: N815

    def _answer(self, status: int, body: bytes, request_id: str, *, signed: bool) -> None:
        """Send a whole answer."""
        self.send_response(status)
        self.send_header("Attempt-Id", request_id)
        if signed:
            self.send_header("Response-Signature", f"sig-{request_id}")
        else:
            self.send_header("Not-Executed", "1")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Write no log."""


class Worker:
    """One worker beside a daemon, in threads of the script."""

    def __init__(
        self, *, lab: Lab, machine: Machine, instance: str, runs: list[Run], work_s: float = 0.05
    ) -> None:
        self.instance, self.service, self.work_s = instance, machine.service, work_s
        # The size of answers below /large/, 0 for usual ones, and whether they break off.
        self.large_bytes, self.breaks_off = 0, False
        self._lab, self._machine, self._runs = lab, machine, runs
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._stopped = threading.Event()
        self._server = _Server((machine.ip, WORKER_PORT), _Handler)
        self._server.worker = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def record(self, request_id: str, target: str) -> None:
        """Record that a request began to run."""
        self._runs.append(Run(time.monotonic(), request_id, self.instance, target))
        self._lab.note(f"{self.instance} ({self.service}) runs {request_id} {target}")

    def close(self) -> None:
        """Stop serving and announcing."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _announce(self) -> None:
        """Send a heartbeat at each interval."""
        while not self._stopped.is_set():
            self._sequence += 1
            body = json.dumps(
                {
                    "address": f"{self._machine.ip}:{WORKER_PORT}",
                    "born": self._born,
                    "info": {
                        "service": self.service,
                        "version": "v1",
                        "zone": self._machine.zone,
                        "max_concurrency": SLOTS,
                    },
                    "status": {
                        "phase": "ready",
                        "sequence": self._sequence,
                        "cold_remaining_s": 0,
                    },
                }
            )
            try:
                connection = http.client.HTTPConnection(self._machine.ip, CONTROL_PORT, timeout=1.0)
                connection.request(
                    "POST",
                    f"/api/Instances.Heartbeat/{self.instance}",
                    body,
                    {"Content-Type": "application/json"},
                )
                connection.getresponse().read()
                connection.close()
            except (OSError, http.client.HTTPException):
                self._stopped.wait(0.2)
                continue
            self._stopped.wait(HEARTBEAT_INTERVAL_S)
