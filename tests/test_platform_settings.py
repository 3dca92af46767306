"""Tests of the settings that the platform renders from the templates of the deploy file."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from cowslipvane.platform._settings import load
from cowslipvane.settings import DEFAULT_REVOCATION, Revocation, Settings, SettingsFault
from tools.soak._hosts import Host, HostProcess

SEED = Host("replica-0", "127.0.0.2", "north", "")
PROXY = Host("proxy-0", "127.0.0.3", "north", "stock")
PLACEHOLDER = "{{bounds|json}}"


class BoundsTest(unittest.TestCase):
    """The bounds of a deployment, in the settings of a proxy and of a replica."""

    def settings(self, host: Host, bounds: dict[str, Any] | None) -> Settings:
        """Return the settings of a process; without bounds their placeholder stays as it is."""
        with tempfile.TemporaryDirectory() as folder:
            HostProcess(host=host, folder=Path(folder), seeds=[SEED]).write_settings(
                first_start=True
            )
            path = Path(folder) / f"{host.name}.toml"
            text = path.read_text()
            self.assertIn(PLACEHOLDER, text)
            if bounds is not None:
                path.write_text(text.replace(PLACEHOLDER, json.dumps(bounds)))
            return load(path).product

    # Guards against processes that don't start, or refuse keys, where nobody asks for that.
    def test_without_the_bound_keys_are_accepted_without_contact(self) -> None:
        """The bounds may be missing, false, or not rendered at all."""
        false: dict[str, Any] = {"revoke_when_partitioned": False, "revoke_s": 0}
        for bounds in (None, {}, {"revoke_s": 7}, false):
            for host in (SEED, PROXY):
                with self.subTest(bounds=bounds, host=host.name):
                    self.assertEqual(self.settings(host, bounds).revocation, DEFAULT_REVOCATION)

    # Guards against a deployment whose bound is read and never gets into force.
    def test_the_bound_and_its_time_become_settings(self) -> None:
        """The time has a default."""
        asked: dict[str, Any] = {"revoke_when_partitioned": True}
        self.assertEqual(self.settings(PROXY, asked).revocation, Revocation(when_partitioned=True))
        self.assertEqual(
            self.settings(PROXY, asked | {"revoke_s": 7}).revocation,
            Revocation(when_partitioned=True, timeout=7.0),
        )

    def test_a_bound_that_is_no_flag_is_refused(self) -> None:
        """The fault names the setting that it would become."""
        with self.assertRaisesRegex(SettingsFault, "revocation.when_partitioned: found 'yes'"):
            self.settings(PROXY, {"revoke_when_partitioned": "yes"})


if __name__ == "__main__":
    unittest.main()
