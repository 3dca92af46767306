"""Tests of the program for the users' platform, run as a separate process."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from cowslipvane.platform.__main__ import SETTINGS_VARIABLE
from tools.fleet import ROOT

# Each run needs an address of its own, since several may use the machine at once.
IP = f"127.74.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
# A compiled module that the program loads long before it handles signals.
LOADED_MODULE = "cbor2"
LOADING_TIMEOUT_S = 20.0
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


class ProxyCase(unittest.TestCase):
    """A proxy that runs as a separate process."""

    # Lines at the end of its settings.
    extra = ""

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

    def end(self) -> None:
        """Stop the proxy."""
        self.process.kill()
        self.process.communicate()

    def write(self, *seeds: str) -> None:
        """Replace the settings file by one with the given seeds."""
        seed_list = ", ".join(f'"{seed}"' for seed in seeds)
        new_file = self.path.with_suffix(".new")
        new_file.write_text(SETTINGS.format(ip=IP, seeds=seed_list) + self.extra)
        new_file.replace(self.path)

    def next_event(self, kind: str) -> Any:
        """Return the detail of the next event of a kind."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            event = json.loads(line)["event"]
            if event["kind"] == kind:
                return event["detail"]
        raise AssertionError("the process ended")


class StartTest(ProxyCase):
    """A proxy that gets a signal while it starts."""

    # Guards against a process that ends when the settings change while it starts.
    def test_a_change_of_the_settings_does_not_end_the_process(self) -> None:
        """The interpreter has started, and the program is being loaded."""
        maps = Path(f"/proc/{self.process.pid}/maps")
        deadline = time.monotonic() + LOADING_TIMEOUT_S
        while LOADED_MODULE not in maps.read_text():
            self.assertLess(time.monotonic(), deadline, "the program isn't being loaded")
            time.sleep(0.001)
        self.process.send_signal(signal.SIGHUP)
        self.next_event("started")


class UnreadSettingsTest(ProxyCase):
    """A proxy whose settings have a bound that this build doesn't keep to."""

    extra = 'bounds = \'{"grace_period_s": 6, "revoke_s": 1.4711}\'\n'

    # Guards against a part of the rules that is in force and not kept to, while nobody is told
    # (issue 52).
    def test_a_start_and_a_reload_name_it(self) -> None:
        """Without its value."""
        self.assertEqual(self.next_event("started"), {"unread": "bounds.revoke_s"})
        self.write("10.0.0.2:1")
        self.assertEqual(self.next_event("reloaded")["unread"], "bounds.revoke_s")


class ReloadTest(ProxyCase):
    """A proxy whose settings file changes while it runs."""

    def setUp(self) -> None:
        """Start a proxy, and wait until it runs."""
        super().setUp()
        self.next_event("started")

    def test_new_seeds_are_applied_without_a_signal(self) -> None:
        """The process checks the settings file for changes."""
        self.write("10.0.0.2:1")
        expected = {"outcome": "taken", "seeds": "10.0.0.2:27353"}
        self.assertEqual(self.next_event("reloaded"), expected)

    def test_a_signal_reloads_the_settings_at_once(self) -> None:
        """The event is recorded even if the settings haven't changed."""
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(self.next_event("reloaded")["outcome"], "taken")

    def test_invalid_settings_are_refused_once(self) -> None:
        """The process keeps its settings, and applies the next valid ones."""
        self.path.write_text("host = ")
        self.assertEqual(self.next_event("reloaded")["outcome"], "refused")
        self.write("10.0.0.3:1")
        self.assertEqual(self.next_event("reloaded")["seeds"], "10.0.0.3:27353")

    def test_settings_without_a_usable_port_do_not_end_the_process(self) -> None:
        """An empty or infinite range of ports is refused like other invalid settings."""
        settings = self.path.read_text()
        for ports in ("[]", "[inf, inf]"):
            self.path.write_text(settings.replace("[27353, 27360]", ports))
            self.assertEqual(self.next_event("reloaded")["outcome"], "refused")


class ReloadedSettingsTest(ProxyCase):
    """A proxy whose settings file changes in more than the seeds while it runs."""

    # Guards against a change of the settings that is taken in silence and not acted on, here one
    # by which keys that were withdrawn are to be refused without contact to the replicas.
    def test_a_changed_setting_that_takes_no_effect_is_named(self) -> None:
        """Only seeds are applied before the next start."""
        self.next_event("started")
        self.extra = 'bounds = \'{"revoke_when_partitioned": true, "revoke_s": 5}\'\n'
        self.write("10.0.0.2:1")
        reloaded = self.next_event("reloaded")
        self.assertIn("revo", " ".join([reloaded.get("unread", ""), reloaded.get("reason", "")]))


if __name__ == "__main__":
    unittest.main()
