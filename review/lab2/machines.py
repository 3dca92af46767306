"""Start the project's program on loopback addresses, as the deploy file does, and signal it."""

from __future__ import annotations

import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CALLERS_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT = 8304, 8302, 8306, 8301
PEERS_PORT = 7620
GRACE_PERIOD_S = 6.0
_SEEDS_SECTION = re.compile(r"\{\{#seeds\}\}.*\{\{/seeds\}\}")
_BOUNDS = {
    "bounds.grace_period_s": "6",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "58",
}


def free_prefix() -> str:
    """Return the first three parts of loopback addresses on which nothing listens yet."""
    while True:
        prefix = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        try:
            for port in (CALLERS_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT, PEERS_PORT):
                for last in range(1, 21):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue


def _exit(*_: object) -> None:
    """End the script as one that couldn't run."""
    sys.exit(2)


class Machine:
    """One machine with one process of the system; service is empty on a core machine."""

    def __init__(
        self, *, lab: Lab, name: str, ip: str, zone: str, service: str, bootstrap: bool
    ) -> None:
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self._lab = lab
        self._bootstrap = bootstrap
        self._process: subprocess.Popen[bytes] | None = None
        self.disk = lab.folder / f"{name}.disk"
        self.disk.mkdir()

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """Return the process, which must have been started."""
        assert self._process is not None
        return self._process

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Render the settings and start the process with the command of the deploy file."""
        template = "proxy" if self.service else "replica"
        text = (ROOT / "deploy" / f"{template}.toml.template").read_text()
        settings = self._lab.folder / f"{self.name}.toml"
        settings.write_text(self._render(text))
        with (
            (self._lab.folder / f"{self.name}.out").open("ab") as out,
            (self._lab.folder / f"{self.name}.err").open("ab") as err,
        ):
            self._process = subprocess.Popen(
                ["python3", "-m", "cowslipvane.platform"],
                cwd=ROOT,
                env={
                    **{k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")},
                    "COWSLIPVANE_BOOT": str(settings),
                    "SSL_CERT_FILE": "/dev/null",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=out,
                stderr=err,
            )
        self._bootstrap = False
        self._lab.note(f"{self.name} ({self.ip}) started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)
            self._lab.note(f"{self.name} got {number.name}")

    def kill(self, *, wipe: bool = False) -> None:
        """Kill the process, and delete the files of its disk if wipe is set."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        if wipe:
            shutil.rmtree(self.disk)
            self.disk.mkdir()
            self._lab.note(f"{self.name} lost its disk")

    def stop(self) -> None:
        """Send SIGTERM, then SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_PERIOD_S)
            self._lab.note(f"{self.name} ended with {self.process.returncode}")
        except subprocess.TimeoutExpired:
            self.kill()

    def _render(self, text: str) -> str:
        """Fill in a template."""
        values = {
            **_BOUNDS,
            "ip": self.ip,
            "zone": self.zone,
            "service": self.service,
            "data_dir": str(self.disk),
            "bootstrap": str(self._bootstrap).lower(),
            "internal_port_range": f"{PEERS_PORT}, {PEERS_PORT + 15}",
            "bind_addresses.outbound": f"{self.ip}:{CALLERS_PORT}",
            "bind_addresses.readiness": f"{self.ip}:{READINESS_PORT}",
            "bind_addresses.control_plane": f"{self.ip}:{CONTROL_PORT}",
        }
        seeds = ", ".join(f'"{ip}:{CONTROL_PORT}"' for ip in self._lab.seeds)
        text = _SEEDS_SECTION.sub(seeds, text)
        return re.sub(r"\{\{([a-z_.]+)\}\}", lambda match: values[match[1]], text)


class Lab:
    """The machines of one script, and its record."""

    def __init__(self, *, folder: str) -> None:
        # A script that is stopped ends the processes that it has started.
        signal.signal(signal.SIGTERM, _exit)
        self._began_at = time.monotonic()
        self._record = (Path(folder) / "record.txt").open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = free_prefix()
        self.machines: list[Machine] = []
        self.children: list[subprocess.Popen[Any]] = []
        self.seeds: list[str] = []

    def add(self, name: str, last: int, zone: str, service: str = "", *, first: bool) -> Machine:
        """Add a machine, whose process isn't started yet."""
        machine = Machine(
            lab=self,
            name=name,
            ip=f"{self.prefix}.{last}",
            zone=zone,
            service=service,
            bootstrap=first,
        )
        self.machines.append(machine)
        return machine

    def note(self, text: str) -> None:
        """Write a line with the time since the start to the record."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._record.flush()

    def close(self) -> None:
        """End all processes that were started, and delete their files."""
        for machine in self.machines:
            if machine.is_running:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for child in self.children:
            child.kill()
            child.wait()
        if os.environ.get("KEEP"):
            self.note(f"files are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()
