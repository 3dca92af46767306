"""Tests of the program that runs on the users' platform, as a process of its own."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from cowslipvane.platform.__main__ import SETTINGS_VARIABLE
from tools.fleet import ROOT

IP = "127.73.51.11"
SETTINGS = """
host = "{ip}"
data_centre = "north"
roles = ["proxy"]
log_events = true
[security]
allow_unauthenticated = true
[platform]
ip = "{ip}"
internal_ports = [27353, 27360]
seeds = [{seeds}]
callers = "{ip}:27361"
control = "{ip}:27362"
readiness = "{ip}:27363"
"""


class ReloadTest(unittest.TestCase):
    """A proxy whose settings file changes while it runs."""

    def setUp(self) -> None:
        """Start a proxy."""
        folder = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"
        self.write("10.0.0.1:1")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cowslipvane.platform"],
            env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.addCleanup(self.end)
        self.next_event("started")

    def end(self) -> None:
        """Stop the proxy."""
        self.process.kill()
        self.process.communicate()

    def write(self, *seeds: str) -> None:
        """Replace the settings file by one that names some seeds."""
        listed = ", ".join(f'"{seed}"' for seed in seeds)
        fresh = self.path.with_suffix(".new")
        fresh.write_text(SETTINGS.format(ip=IP, seeds=listed))
        fresh.replace(self.path)

    def next_event(self, kind: str) -> Any:
        """Return the detail of the next event of a kind."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            event = json.loads(line)["event"]
            if event["kind"] == kind:
                return event["detail"]
        raise AssertionError("the process ended")

    def test_new_seeds_are_taken_over_without_a_signal(self) -> None:
        """The file alone tells of them."""
        self.write("10.0.0.2:1")
        taken = {"outcome": "taken", "seeds": "10.0.0.2:27353"}
        self.assertEqual(self.next_event("reloaded"), taken)

    def test_a_signal_makes_the_process_look_at_once(self) -> None:
        """It says so also when nothing has changed."""
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(self.next_event("reloaded")["outcome"], "taken")

    def test_settings_that_can_not_be_used_are_refused_once(self) -> None:
        """The process goes on with those that it has, and takes the next good ones."""
        self.path.write_text("host = ")
        self.assertEqual(self.next_event("reloaded")["outcome"], "refused")
        self.write("10.0.0.3:1")
        self.assertEqual(self.next_event("reloaded")["seeds"], "10.0.0.3:27353")


if __name__ == "__main__":
    unittest.main()
