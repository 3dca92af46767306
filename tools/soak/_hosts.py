"""The hosts of a soak: their settings, rendered from the templates of deploy/, and processes."""

from __future__ import annotations

import asyncio
import os
import re
import shutil
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from cowslipvane.platform.__main__ import SETTINGS_VARIABLE
from cowslipvane.types import Seconds
from tools.fleet import ROOT
from tools.soak._records import PROCESSOR_WAIT, Lifetime, SignalRecord

GRACE: Seconds = 6.0
# The processor of a shared machine may be late.
GRACE_SLACK: Seconds = 1.0
# Processes that wait this long for a processor may take each other for silent.
LONG_WAIT: Seconds = 0.25
CALLERS_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT = 8304, 8302, 8306, 8301
# Peers connect to the relay, which connects to the hidden port.
PEERS_PORT, HIDDEN_PORT = 7620, 7720
_INTERNAL_PORTS = f"{PEERS_PORT}, {PEERS_PORT + 15}"
_RESTART_DELAY: Seconds = 0.5
_SEEDS_SECTION = re.compile(r"\{\{#seeds\}\}.*\{\{/seeds\}\}")


def total_wait(pid: int) -> Seconds:
    """Return how long the main thread of a process has waited for a processor since its start."""
    # proc(5): time on the processor and time spent waiting for one, in nanoseconds.
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


class Host(NamedTuple):
    """A host with one process; service is empty on a replica."""

    name: str
    ip: str
    data_centre: str
    service: str

    @property
    def is_replica(self) -> bool:
        """Return whether the process is a replica."""
        return not self.service


class HostProcess:
    """Starts and signals the process of one host, and restarts it when it ends by itself."""

    def __init__(self, *, host: Host, folder: Path, seeds: list[Host]) -> None:
        self.host = host
        self.lifetimes: list[Lifetime] = []
        self._folder = folder
        self._seeds = seeds
        self._process: asyncio.subprocess.Process | None = None
        self._pidfd = -1
        self._waited: Seconds = 0.0
        self._wanted = False
        # Starts, stops and kills of one process come one after another.
        self._lifecycle = asyncio.Lock()
        self._watch: asyncio.Task[None] | None = None
        self._restart: asyncio.Task[None] | None = None

    @property
    def disk(self) -> Path:
        """Return the folder that stands for the host's disk."""
        return self._folder / f"{self.host.name}.disk"

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.returncode is None

    def write_settings(self, *, first_start: bool, seeds: list[Host] | None = None) -> None:
        """Replace the settings file."""
        self._seeds = seeds or self._seeds
        role = "replica" if self.host.is_replica else "proxy"
        template = (ROOT / "deploy" / f"{role}.toml.template").read_text()
        new_file = self._settings_path.with_suffix(".new")
        new_file.write_text(self._render(template, first_start))
        new_file.replace(self._settings_path)

    async def start(self) -> None:
        """Start the process, unless it is running."""
        async with self._lifecycle:
            self._wanted = True
            if not self.is_running:
                await self._spawn()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self._process is not None and self.is_running:
            self.record(number.name, time.monotonic())
            # Process.send_signal polls, and so takes the exit code from asyncio's child watcher.
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._pidfd, number)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL when the grace period is over; wait for the end."""
        async with self._lifecycle:
            self._wanted = False
            self.signal(signal.SIGTERM)
            await self._end_within(GRACE + GRACE_SLACK)

    async def kill(self, *, wipe: bool = False) -> None:
        """Kill the process, wait for its end, and delete the disk's files if wipe is set."""
        self._wanted = False
        self.signal(signal.SIGKILL)
        async with self._lifecycle:
            self._wanted = False
            self.signal(signal.SIGKILL)
            await self._end_within(GRACE)
            if wipe:
                shutil.rmtree(self.disk)

    def record(self, name: str, at: float) -> None:
        """Record a signal, or another disturbance, in the newest lifetime."""
        self.lifetimes[-1].signals.append(SignalRecord(name, at))

    def record_wait(self, duration: Seconds) -> None:
        """Record that the process has waited for a processor since the last sample."""
        now = time.monotonic()
        # It began at the first of these times at the latest.
        self.record(PROCESSOR_WAIT, now - duration)
        self.record(PROCESSOR_WAIT, now)

    def sample_wait(self) -> None:
        """Record a long wait of the process for a processor since the last sample."""
        if self._process is not None and self.is_running:
            with suppress(FileNotFoundError):
                waited = total_wait(self._process.pid)
                if waited - self._waited > LONG_WAIT:
                    self.record_wait(waited - self._waited)
                self._waited = waited

    @property
    def _settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self._folder / f"{self.host.name}.toml"

    def _render(self, template: str, first_start: bool) -> str:
        """Fill in a template."""
        ip = self.host.ip
        values = {
            "ip": ip,
            "zone": self.host.data_centre,
            "service": self.host.service,
            "data_dir": str(self.disk),
            "bootstrap": str(first_start).lower(),
            "internal_port_range": _INTERNAL_PORTS,
            "bounds.grace_period_s": str(GRACE),
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

    async def _spawn(self) -> None:
        """Start the process, with its output in files."""
        self._waited = 0.0
        self.disk.mkdir(exist_ok=True)
        with (
            (self._folder / f"{self.host.name}.events").open("ab") as events,
            (self._folder / f"{self.host.name}.err").open("ab") as errors,
        ):
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tools.behind_relay",
                self.host.ip,
                str(PEERS_PORT),
                str(HIDDEN_PORT),
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(self._settings_path),
                    "SSL_CERT_FILE": "/dev/null",
                },
                stdout=events,
                stderr=errors,
                cwd=ROOT,
            )
        self._pidfd = os.pidfd_open(self._process.pid)
        life = Lifetime(
            host=self.host.name, is_replica=self.host.is_replica, started_at=time.monotonic()
        )
        self.lifetimes.append(life)
        self._watch = asyncio.create_task(self._record_end(self._process, life))

    async def _end_within(self, timeout: Seconds) -> None:
        """Wait for the process to end and kill it after a timeout."""
        if self._process is None or self._watch is None:
            return
        try:
            async with asyncio.timeout(timeout):
                await asyncio.shield(self._watch)
        except TimeoutError:
            self.lifetimes[-1].overdue = True
            self.signal(signal.SIGKILL)
            await self._watch

    async def _record_end(self, process: asyncio.subprocess.Process, life: Lifetime) -> None:
        """Wait for the end of a process, and restart it if it wasn't asked to end."""
        pidfd = self._pidfd
        life.exit_code = await process.wait()
        life.ended_at = time.monotonic()
        os.close(pidfd)
        if self._wanted:
            self._restart = asyncio.create_task(self._restart_later())

    async def _restart_later(self) -> None:
        """Start the process again after a delay, unless it was stopped or killed meanwhile."""
        await asyncio.sleep(_RESTART_DELAY)
        async with self._lifecycle:
            if self._wanted and not self.is_running:
                await self._spawn()
