"""A small deployment of the project's program on loopback addresses, for the review's scripts.

Its processes are started with the command and the settings templates of the deploy file.
"""

from __future__ import annotations

import asyncio
import atexit
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from wire import (
    CALLERS_PORT,
    CONTROL_PORT,
    READINESS_PORT,
    WORKER_PORT,
    call,
)

ROOT = Path(__file__).resolve().parent.parent
FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT = 7620, 7635
ZONES = ("north", "south", "east")
GRACE_S = 6.0
RESTART_DELAY_S = 0.5
# Answers that end an order.
CLEAR_ANSWERS = frozenset({200, 400, 409, 412, 413, 422})
LONGEST_BACKOFF_S = 1.0
READ_INTERVAL_S = 0.25
Document = dict[str, Any]
_SEEDS_SECTION = re.compile(r"\{\{#seeds\}\}.*\{\{/seeds\}\}")


class Machine(NamedTuple):
    """A machine with one process; service is empty on a core machine."""

    name: str
    ip: str
    zone: str
    service: str


class Outcome(NamedTuple):
    """What a client saw of one request; status is 0 if no complete answer came."""

    request: str
    machine: str
    service: str
    kind: str
    sent_at: float
    ended_at: float
    status: int
    signature: str
    detail: str


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def note(self, what: str, **detail: object) -> None:
        """Write a line that begins with the time."""
        words = " ".join(f"{name}={value}" for name, value in detail.items())
        self.line(time.monotonic(), f"{what} {words}")

    def line(self, at: float, text: str) -> None:
        """Write a line for an earlier time."""
        self._file.write(f"{at - self._began_at:9.3f} {text}\n")
        self._file.flush()


class Process:
    """The process of one machine, started again when it ends by itself."""

    def __init__(self, machine: Machine, folder: Path, seeds: list[Machine], rec: Record) -> None:
        self.machine = machine
        self.own_ends: list[tuple[float, int]] = []
        self.started_at = 0.0
        self._folder, self._seeds, self._record = folder, seeds, rec
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._is_wanted = False

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def errors(self) -> str:
        """Return what the process wrote to standard error."""
        path = self._folder / f"{self.machine.name}.err"
        return path.read_text(errors="replace") if path.exists() else ""

    @property
    def events(self) -> list[str]:
        """Return the lines that the process wrote to standard output."""
        path = self._folder / f"{self.machine.name}.log"
        return path.read_text(errors="replace").splitlines() if path.exists() else []

    async def start(self, *, first: bool = False) -> None:
        """Write the settings and start the process."""
        role = "proxy" if self.machine.service else "replica"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][role]
        template = (ROOT / deploy["template"]).read_text()
        settings = self._folder / f"{self.machine.name}.toml"
        settings.write_text(self._render(template, first))
        program, *arguments = deploy["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COWSLIPVANE_BOOT": str(settings),
            **deploy.get("env", {}),
        }
        with (
            (self._folder / f"{self.machine.name}.log").open("ab") as log,
            (self._folder / f"{self.machine.name}.err").open("ab") as errors,
        ):
            self._process = await asyncio.create_subprocess_exec(
                program, *arguments, env=environment, stdout=log, stderr=errors, cwd=ROOT
            )
        self.started_at = time.monotonic()
        self._is_wanted = True
        self._watch = asyncio.create_task(self._wait(self._process))
        self._record.note("start", machine=self.machine.name, pid=self._process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._record.note(number.name, machine=self.machine.name)
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._is_wanted = False
        self.signal(signal.SIGKILL)
        if self._watch is not None:
            await self._watch

    def lose_disk(self) -> None:
        """Delete what the machine has on its disk, while no process runs there."""
        shutil.rmtree(self._folder / f"{self.machine.name}.disk", ignore_errors=True)

    async def stop(self) -> int | None:
        """Send SIGTERM, and SIGKILL after the grace period; return the exit code."""
        self._is_wanted = False
        self.signal(signal.SIGTERM)
        if self._process is None or self._watch is None:
            return None
        try:
            await asyncio.wait_for(asyncio.shield(self._watch), GRACE_S)
        except TimeoutError:
            await self.kill()
        return self._process.returncode

    async def _wait(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the end of the process; start it again if it ended by itself."""
        code = await process.wait()
        self._record.note("end", machine=self.machine.name, code=code, wanted=not self._is_wanted)
        if self._is_wanted:
            self.own_ends.append((time.monotonic(), code))
            await asyncio.sleep(RESTART_DELAY_S)
            if self._is_wanted:
                await self.start()

    def _render(self, template: str, first: bool) -> str:
        """Fill in a template."""
        ip = self.machine.ip
        values = {
            "ip": ip,
            "zone": self.machine.zone,
            "service": self.machine.service,
            "data_dir": str(self._folder / f"{self.machine.name}.disk"),
            "bootstrap": str(first).lower(),
            "internal_port_range": f"{FIRST_INTERNAL_PORT}, {LAST_INTERNAL_PORT}",
            "bounds.grace_period_s": f"{GRACE_S:g}",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "58",
            "bind_addresses.outbound": f"{ip}:{CALLERS_PORT}",
            "bind_addresses.readiness": f"{ip}:{READINESS_PORT}",
            "bind_addresses.control_plane": f"{ip}:{CONTROL_PORT}",
        }
        seeds = ", ".join(f'"{seed.ip}:{CONTROL_PORT}"' for seed in self._seeds)
        text = _SEEDS_SECTION.sub(seeds, template)
        return re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: values[match[1]], text)


class WorkerProcess:
    """A stand-in worker in a process of its own."""

    def __init__(self, machine: Machine, folder: Path, rec: Record) -> None:
        self.machine = machine
        self._folder, self._record = folder, rec
        self._process: asyncio.subprocess.Process | None = None
        self._lifetimes = itertools.count()
        self.instance = ""

    @property
    def log(self) -> Path:
        """Return the path of the log of its runs."""
        return self._folder / f"{self.machine.name}.runs"

    async def start(self, slots: int, work_ms: float) -> None:
        """Start a new lifetime."""
        machine = self.machine
        self.instance = f"i-{machine.name}-{next(self._lifetimes)}"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "worker.py"),
            *(machine.ip, machine.service, machine.zone, self.instance),
            *(str(slots), str(work_ms), str(self.log)),
            stdin=asyncio.subprocess.PIPE,
        )
        self._record.note("worker-start", worker=self.instance)

    def order(self, text: str) -> None:
        """Give the worker an order."""
        assert self._process is not None and self._process.stdin is not None
        self._record.note("order", worker=self.instance, order=text)
        self._process.stdin.write(text.encode() + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the worker."""
        if self._process is not None and self._process.returncode is None:
            self._record.note(number.name, worker=self.instance)
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the worker and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Lab:
    """The processes, workers, clients and the operator of one small deployment."""

    def __init__(self, services: Iterable[str], record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="cowslipvane-review-"))
        atexit.register(shutil.rmtree, self.folder, ignore_errors=True)
        prefix = _free_prefix()
        cores = [Machine(f"core-{n}", f"{prefix}.{10 + n}", ZONES[n], "") for n in range(3)]
        sides = [
            Machine(f"side-{n}-{service}", f"{prefix}.{100 + n}", ZONES[n % 3], service)
            for n, service in enumerate(services)
        ]
        self.cores = [Process(machine, self.folder, cores, record) for machine in cores]
        self.sides = [Process(machine, self.folder, cores, record) for machine in sides]
        self.workers = {m.name: WorkerProcess(m, self.folder, record) for m in sides}
        self.version = 0
        self._clients: list[asyncio.subprocess.Process] = []
        self._answers: list[Path] = []

    @property
    def services(self) -> list[str]:
        """Return the names of the services."""
        return sorted({side.machine.service for side in self.sides})

    async def start(
        self,
        *,
        slots: int,
        work_ms: dict[str, float],
        timeout_s: float,
        goal_s: float,
        slots_of: dict[str, int] | None = None,
    ) -> None:
        """Start everything, and wait until the first configuration is in force.

        A service may have another number of slots than the rest.
        """
        await asyncio.gather(*(p.start(first=True) for p in [*self.cores, *self.sides]))
        await asyncio.gather(
            *(
                worker.start(
                    (slots_of or {}).get(worker.machine.service, slots),
                    work_ms[worker.machine.service],
                )
                for worker in self.workers.values()
            )
        )
        await self.configure(timeout_s=timeout_s, goal_s=goal_s)
        async with asyncio.timeout(15):
            for side in self.sides:
                await self._until_ready(side)
        await asyncio.sleep(2.0)

    async def configure(self, *, timeout_s: float, goal_s: float) -> None:
        """Send a configuration until it is acknowledged."""
        base, self.version = self.version, self.version + 1
        document = self.document(self.version, base, timeout_s, goal_s)
        if await self.order(document, 15.0) != 200:
            raise TimeoutError("the configuration wasn't acknowledged")

    async def order(self, document: Document, seconds: float, text: str = "") -> int:
        """Send an order as the operator does, until there is a clear answer; return its status.

        It goes to any daemon, and to another one after a failure, with increasing backoff. The text
        is the form of the document that is sent, if it matters.
        """
        body = (text or json.dumps(document)).encode()
        deadline, backoff = time.monotonic() + seconds, 0.1
        while time.monotonic() < deadline:
            first = random.choice(self.cores).machine.ip
            status = await self._order_once((first, CONTROL_PORT), body)
            self.record.note("order", version=document["version"], to=first, status=status)
            if status in CLEAR_ANSWERS:
                return status
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, LONGEST_BACKOFF_S)
        return 0

    async def _order_once(self, address: tuple[str, int], body: bytes) -> int:
        """Send an order once, and follow a 307 twice; return the status, 0 without an answer."""
        for _ in range(3):
            head, _ = await call("POST", address, "/api/Config.Replace", body, 1.0)
            if head is None or head.status != 307:
                return head.status if head else 0
            address = _address_in(head.fields["location"])
        return 0

    async def read(self) -> Document | None:
        """Read the configuration once, at any daemon that serves control."""
        address = random.choice(self.cores).machine.ip, CONTROL_PORT
        for _ in range(3):
            head, body = await call("GET", address, "/api/Config.Get", b"", 1.0)
            if head is None or head.status != 307:
                break
            address = _address_in(head.fields["location"])
        document: Document | None = None
        if head is not None and head.status == 200:
            document = json.loads(body)
        version = document["version"] if document else None
        self.record.note("read", at=address[0], status=head and head.status, version=version)
        return document

    async def _until_ready(self, side: Process) -> None:
        """Ask for the readiness of a process until it is ready."""
        is_ready = await self.is_ready(side)
        if not is_ready:
            await asyncio.sleep(0.1)
            await self._until_ready(side)

    async def is_ready(self, side: Process) -> bool:
        """Ask for the readiness of a process."""
        address = side.machine.ip, READINESS_PORT
        head, _ = await call("GET", address, "/api/readyz", b"", 1.0)
        return head is not None and head.status == 200

    def document(self, version: int, base: int, timeout_s: float, goal_s: float) -> Document:
        """Return a configuration with two routes for each service."""
        return {
            "version": f"{version:08x}",
            "base_version": f"{base:08x}",
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
                        {
                            "name": f"{service}-{kind}",
                            "type": kind,
                            "target_latency_s": goal_s,
                            "priority": 1,
                            "match": {"path_prefix": f"/{kind}/"},
                            "action": {"service": service, "timeout_s": timeout_s, "attempts": 2},
                        }
                        for kind in ("idempotent", "non_idempotent")
                    ],
                }
                for service in self.services
            ],
            "clusters": [
                {
                    "name": service,
                    "health_path": "/healthz",
                    "max_connections": 110,
                    "protocol": "h1",
                    "tls": False,
                }
                for service in self.services
            ],
        }

    async def start_clients(
        self,
        side: Process,
        service: str,
        *,
        kind: str,
        count: int,
        deadline_ms: float,
        seconds: float,
        leaving: int = 0,
        leave_ms: float = 0.0,
        pause_ms: float = 0.0,
        body_bytes: int = 0,
    ) -> None:
        """Start clients of a machine, in a process of their own."""
        machine = side.machine
        words = (machine.ip, machine.name, service, kind, count, leaving, leave_ms, deadline_ms)
        log = self.folder / f"{machine.name}.{service}.{kind}.answers"
        self._answers.append(log)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "client.py"),
            *map(str, (*words, pause_ms, body_bytes, seconds, log)),
        )
        self._clients.append(process)

    async def wait_for_clients(self) -> None:
        """Return once all clients have ended."""
        await asyncio.gather(*(process.wait() for process in self._clients))

    def outcomes(self) -> list[Outcome]:
        """Return what the clients saw, in the order of sending."""
        lines = [
            line for log in self._answers if log.exists() for line in log.read_text().split("\n")
        ]
        outcomes = [Outcome(**json.loads(line)) for line in lines if line]
        return sorted(outcomes, key=lambda outcome: outcome.sent_at)

    async def read_within(self, seconds: float) -> Document | None:
        """Read the configuration, repeatedly until it comes or a time is over."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            document = await self.read()
            if document is not None:
                return document
            await asyncio.sleep(READ_INTERVAL_S)
        return None

    def runs(self) -> list[dict[str, object]]:
        """Return what the workers recorded, in the order of time."""
        lines = [
            json.loads(line)
            for worker in self.workers.values()
            if worker.log.exists()
            for line in worker.log.read_text().splitlines()
        ]
        return sorted(lines, key=lambda line: line["at"])

    def write_record(self) -> None:
        """Write all requests, answers and runs into the record."""
        for outcome in self.outcomes():
            self.record.line(
                outcome.sent_at,
                f"sent {outcome.request} {outcome.kind} " f"{outcome.service} to {outcome.machine}",
            )
            self.record.line(
                outcome.ended_at,
                f"answered {outcome.request} {outcome.status} "
                f"{outcome.signature} {outcome.detail}",
            )
        for run in self.runs():
            rest = {key: value for key, value in run.items() if key != "at"}
            self.record.line(float(str(run["at"])), f"worker {json.dumps(rest)}")

    async def close(self) -> None:
        """End all processes."""
        await asyncio.gather(*(process.kill() for process in [*self.cores, *self.sides]))
        await asyncio.gather(*(worker.kill() for worker in self.workers.values()))
        for client in self._clients:
            if client.returncode is None:
                client.kill()
                await client.wait()


def _address_in(location: str) -> tuple[str, int]:
    """Return the address in the Location of a redirect."""
    ip, _, port = location.split("/")[2].partition(":")
    return ip, int(port)


def _free_prefix() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    while True:
        prefix = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        with suppress(OSError):
            for last in (*range(10, 13), *range(100, 112)):
                for port in (CALLERS_PORT, CONTROL_PORT, WORKER_PORT, FIRST_INTERNAL_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", port))
            return prefix
