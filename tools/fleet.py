"""Run the hosts of an example deployment as local processes on free loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

from cowslipvane.client import Client, Unreachable
from cowslipvane.types import Seconds

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
STATUS_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
_BASE_PORT = 10_000
_POLL_INTERVAL_S = 0.02


class Host(NamedTuple):
    """A host of the fleet: its settings, and the options of its stand-in worker."""

    name: str
    settings: dict[str, Any]
    worker: dict[str, Any]

    @property
    def is_replica(self) -> bool:
        """Return whether the host runs a replica."""
        return "replica" in self.settings["roles"]


def example_hosts(deployment: str) -> list[Host]:
    """Return the hosts of a deployment under examples/."""
    workers = tomllib.loads((EXAMPLES / deployment / "workers.toml").read_text())
    hosts = []
    for path in sorted((EXAMPLES / deployment / "hosts").glob("*.toml")):
        settings = tomllib.loads(path.read_text())
        hosts.append(Host(settings["host"], settings, workers.get(settings["host"], {})))
    return hosts


class Fleet:
    """Starts, stops and kills the processes of a set of hosts."""

    def __init__(self, *, hosts: Iterable[Host], timing: dict[str, float] | None = None) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        self.folder = Path(self._folder.name)
        self.hosts = {host.name: host for host in hosts}
        self._timing = timing or {}
        self._ip, self._next_port = _free_ip(), _BASE_PORT
        self._addresses = {
            host: {
                name: self._new_address() for name in ("callers", "operators", "peers", "worker")
            }
            for host in self.hosts
        }
        self._daemons: dict[str, subprocess.Popen[bytes]] = {}
        self._workers: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        """Return the fleet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill the remaining processes and delete the files."""
        for process in [*self._daemons.values(), *self._workers.values()]:
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()

    @property
    def replicas(self) -> list[str]:
        """Return the hosts that run a replica."""
        return [host.name for host in self.hosts.values() if host.is_replica]

    @property
    def alive(self) -> list[str]:
        """Return the hosts whose daemon is running."""
        return [host for host, daemon in self._daemons.items() if daemon.poll() is None]

    def address(self, host: str, listener: str) -> str:
        """Return IP:PORT of a host's listener."""
        return self._addresses[host][listener]

    def pid(self, host: str) -> int:
        """Return the process id of a host's daemon."""
        return self._daemons[host].pid

    def operators(self) -> tuple[str, ...]:
        """Return the operators' addresses of the replicas."""
        return tuple(self.address(host, "operators") for host in self.replicas)

    def client(self, timeout: Seconds = 20.0) -> Client:
        """Return an operator client that connects to the replicas."""
        return Client(servers=self.operators(), timeout=timeout)

    def create(self) -> None:
        """Create a new replica group in the data folders of the replicas."""
        voters = [f"--voter={host}={self.address(host, 'peers')}" for host in self.replicas]
        for host in self.replicas:
            settings = ["--settings", str(self._write_settings(host))]
            self.command("replica", "create", "--group", "fleet", *settings, *voters)

    def command(self, *arguments: str) -> str:
        """Run a cowslipvane command and return its standard output; raise if it fails."""
        command = [sys.executable, "-m", "cowslipvane", *arguments]
        result = subprocess.run(command, capture_output=True, text=True, check=False, cwd=ROOT)
        if result.returncode:
            raise RuntimeError(f"{' '.join(arguments)}: {result.stderr or result.stdout}")
        return result.stdout

    def start(self, *hosts: str) -> None:
        """Start the daemons and workers of the named hosts, or of all hosts by default."""
        for host in hosts or self.hosts:
            self.start_daemon(host)
        for host in hosts or self.hosts:
            self.start_worker(host)

    def start_daemon(self, host: str) -> None:
        """Start the daemon of a host."""
        settings = self._write_settings(host)
        self._daemons[host] = self._spawn(
            f"{host}.daemon", "-m", "cowslipvane", "run", "--settings", str(settings)
        )

    def start_worker(self, host: str) -> None:
        """Start the stand-in worker of a host, if it has one."""
        worker = self.hosts[host].worker
        if not worker:
            return
        options = [
            argument
            for name, value in worker.items()
            for argument in (f"--{name.replace('_', '-')}", str(value))
        ]
        self._workers[host] = self._spawn(
            f"{host}.worker",
            "-m",
            "tools.worker",
            "--address",
            self.address(host, "worker"),
            "--proxy",
            self.address(host, "operators"),
            "--ledger",
            str(self.folder / f"{host}.ledger"),
            *options,
        )

    def signal_daemon(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a host's daemon."""
        self._daemons[host].send_signal(number)

    def signal_worker(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a host's worker."""
        self._workers[host].send_signal(number)

    def kill(self, host: str) -> None:
        """Kill the daemon and the worker of a host."""
        for processes in (self._daemons, self._workers):
            if host in processes:
                processes[host].kill()
                processes[host].wait()

    def kill_daemon(self, host: str) -> None:
        """Kill the daemon of a host."""
        self._daemons[host].kill()
        self._daemons[host].wait()

    def wait_daemon(self, host: str) -> int:
        """Wait for a host's daemon to end and return its exit code."""
        return self._daemons[host].wait(STOP_TIMEOUT_S)

    def stop(self) -> dict[str, int]:
        """Stop all daemons with SIGTERM, then the workers, and return the daemons' exit codes."""
        running = self.alive
        for host in running:
            self.signal_daemon(host, signal.SIGTERM)
        codes = {host: self._daemons[host].wait(STOP_TIMEOUT_S) for host in running}
        for worker in self._workers.values():
            if worker.poll() is None:
                worker.terminate()
            worker.wait(STOP_TIMEOUT_S)
        return codes

    def ledger(self, *hosts: str) -> list[dict[str, Any]]:
        """Return the ledger lines of the named hosts' workers, or of all hosts by default."""
        lines = []
        for host in hosts or self.hosts:
            path = self.folder / f"{host}.ledger"
            if path.exists():
                lines += [{**json.loads(line), "host": host} for line in path.open()]
        return lines

    def events(self) -> list[dict[str, Any]]:
        """Return the events of all daemons in the order of their timestamps."""
        events = []
        for host in self.hosts:
            path = self.folder / f"{host}.events"
            if path.exists():
                events += [json.loads(line)["event"] for line in path.open() if line.endswith("\n")]
        return sorted(events, key=lambda event: (event["wall"], event["logical"]))

    def errors(self) -> str:
        """Return the standard error of all processes."""
        texts = [path.read_text() for path in sorted(self.folder.glob("*.err"))]
        return "".join(texts)

    async def until_leader(self) -> dict[str, Any]:
        """Wait for a leader that holds its lease and return its status."""
        return await self._wait_for_status(
            lambda status: status.get("replica", {}).get("holds_lease", False)
        )

    async def until_workers(self, count: int) -> dict[str, Any]:
        """Wait until the status lists at least `count` workers, and return the status."""

        def all_registered(status: dict[str, Any]) -> bool:
            return sum(bool(member["service"]) for member in status["members"]) >= count

        return await self._wait_for_status(all_registered)

    async def until_in_force(self, version: int, hosts: Iterable[str]) -> float:
        """Wait until all given hosts have applied a version.

        Return the wall-clock time in seconds since the epoch at which the last one applied it.
        """
        expected = set(hosts)

        def on_all_hosts(status: dict[str, Any]) -> bool:
            reports = status.get("replica", {}).get("reports", [])
            return expected <= {item["host"] for item in reports if item["version"] >= version}

        status = await self._wait_for_status(on_all_hosts)
        reports = status["replica"]["reports"]
        return float(max(item["applied_at"] for item in reports if item["host"] in expected))

    async def _wait_for_status(self, condition: Any) -> dict[str, Any]:
        """Poll the status of the leader, or else of any replica, until a condition holds.

        Return the status that meets the condition.
        """
        deadline = time.monotonic() + STATUS_TIMEOUT_S
        status: dict[str, Any] = {}
        async with self.client(timeout=2.0) as client:
            while time.monotonic() < deadline:
                try:
                    status = await client.status()
                    if condition(status):
                        return status
                except Unreachable:
                    pass
                await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"condition not met within {STATUS_TIMEOUT_S} s; last status: {status}")

    def _spawn(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a Python process with its standard error in a file."""
        with (self.folder / f"{name}.err").open("ab") as errors:
            return subprocess.Popen([sys.executable, *arguments], stderr=errors, cwd=ROOT)

    def _new_address(self) -> str:
        """Return an unused IP:PORT for a listener."""
        self._next_port += 1
        return f"{self._ip}:{self._next_port}"

    def _write_settings(self, host: str) -> Path:
        """Write a host's settings with the addresses of this fleet."""
        addresses = self._addresses[host]
        settings = self.hosts[host].settings
        seeds = [self.address(replica, "peers") for replica in self.replicas]
        listen = {name: addresses[name] for name in ("callers", "operators", "peers")}
        lines = [
            f"host = {json.dumps(host)}",
            f"data_centre = {json.dumps(settings['data_centre'])}",
            f"roles = {json.dumps(settings['roles'])}",
            f"seeds = {json.dumps(seeds)}",
            f"data_folder = {json.dumps(str(self.folder / f'{host}.data'))}",
            f"event_file = {json.dumps(str(self.folder / f'{host}.events'))}",
            "[listen]",
            *(f"{name} = {json.dumps(value)}" for name, value in listen.items()),
            "[timing]",
            *(f"{name} = {value}" for name, value in self._timing.items()),
            "[security]",
            *(
                f"{name} = {json.dumps(value)}"
                for name, value in settings.get("security", {}).items()
            ),
        ]
        path = self.folder / f"{host}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path


def _free_ip() -> str:
    """Return a random loopback address that no other fleet is likely to use."""
    # Connections to loopback originate from 127.0.0.1, so that their ephemeral ports cannot
    # collide with the port of a listener on another address.
    rng = random.Random(os.urandom(8))
    while True:
        ip = f"127.{rng.randint(16, 250)}.{rng.randint(0, 250)}.{rng.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, _BASE_PORT + 1))
            except OSError:
                continue
            return ip
