"""Tests of the settings."""

import dataclasses
import tempfile
import tomllib
import unittest
from pathlib import Path

from cowslipvane.settings import (
    DEFAULT_REVOCATION,
    Limits,
    Listen,
    Revocation,
    Security,
    Settings,
    SettingsFault,
    Timing,
    load,
    parse,
)
from tools.fleet import EXAMPLES

GOOD = """
host = "a"
data_centre = "b"
roles = ["proxy"]
[listen]
callers = "127.0.0.1:1001"
operators = "127.0.0.1:1002"
peers = "127.0.0.1:1003"
"""


class SettingsTest(unittest.TestCase):
    """Every fault is reported, each in one line that says what is allowed."""

    def faults(self, text: str) -> tuple[str, ...]:
        """Return the faults of a settings file, without the path of the file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            try:
                load(path)
            except SettingsFault as error:
                return tuple(fault.removeprefix(f"{path}: ") for fault in error.faults)
        return ()

    def test_good_settings_load(self) -> None:
        """Valid settings have no fault."""
        self.assertEqual(self.faults(GOOD), ())

    def test_examples_load(self) -> None:
        """All example settings are valid."""
        paths = sorted(EXAMPLES.glob("*/hosts/*.toml"))
        self.assertEqual(len(paths), 30)
        for path in paths:
            load(path)

    def test_a_fault_names_the_key_the_value_and_what_is_allowed(self) -> None:
        """A fault has all the information for its correction."""
        bad = GOOD.replace('"127.0.0.1:1002"', '"here"')
        self.assertEqual(
            self.faults(bad),
            ("listen.operators: found 'here'; allowed is IP:PORT, such as 127.0.0.1:8080",),
        )

    def test_all_faults_are_reported_together(self) -> None:
        """One fault doesn't hide another."""
        bad = GOOD.replace('host = "a"', "host = 1").replace('["proxy"]', '["king"]')
        self.assertEqual(len(self.faults(bad)), 2)

    def test_an_unknown_key_is_a_fault(self) -> None:
        """A misspelt key isn't ignored."""
        self.assertEqual(
            self.faults("colour = 1\n" + GOOD), ("found colour; no such key is known",)
        )

    def test_a_time_out_of_range_is_a_fault(self) -> None:
        """The fault has the range with its unit."""
        found = self.faults(GOOD + "[timing]\ngrace = -1\n")
        self.assertEqual(found, ("timing: timing.grace: found -1; allowed is 0 to 3600 s",))

    def test_listening_beyond_loopback_requires_a_token_or_a_flag(self) -> None:
        """Only the listeners for operators and peers require it."""
        public = GOOD.replace("127.0.0.1", "10.1.2.3")
        found = self.faults(public)
        self.assertEqual(
            [fault.partition(":")[0] for fault in found], ["listen.operators", "listen.peers"]
        )
        self.assertEqual(self.faults(public + '[security]\ntoken_file = "token"\n'), ())
        self.assertEqual(self.faults(public + "[security]\nallow_unauthenticated = true\n"), ())

    def test_a_flag_is_true_or_false(self) -> None:
        """A text isn't accepted as true."""
        found = self.faults(GOOD + '[security]\nallow_unauthenticated = "no"\n')
        self.assertEqual(
            found, ("security.allow_unauthenticated: found 'no'; allowed is true or false",)
        )

    # Guards against deployments in which callers are refused without contact, though nobody asked
    # for that, or in which withdrawn keys are accepted, though somebody did.
    def test_revocation_takes_a_flag_and_a_time(self) -> None:
        """Without the table, keys are accepted without contact."""
        self.assertFalse(DEFAULT_REVOCATION.when_partitioned)
        values = tomllib.loads(GOOD)
        self.assertEqual(parse(values, "").revocation, DEFAULT_REVOCATION)
        values["revocation"] = {"when_partitioned": True, "timeout": 7}
        expected = Revocation(when_partitioned=True, timeout=7.0)
        self.assertEqual(parse(values, "").revocation, expected)

    def test_faults_of_a_table_with_a_flag_are_reported_together(self) -> None:
        """A number is no flag, and a flag no number."""
        table = "[revocation]\nwhen_partitioned = 1\ntimeout = true\nkeys = 2\n"
        [fault] = self.faults(GOOD + table)
        self.assertIn("revocation.when_partitioned: found 1; allowed is true or false", fault)
        self.assertIn("revocation.timeout: found True; allowed is 0.5 to 3600 s", fault)
        self.assertIn("revocation.keys: no such key is known", fault)

    def test_every_setting_has_a_description(self) -> None:
        """No field has an empty description."""
        for kind in (Settings, Listen, Timing, Limits, Revocation, Security):
            for field in dataclasses.fields(kind):
                described = field.metadata.get("allowed") or field.metadata["described"]
                self.assertTrue(described.description, field.name)


if __name__ == "__main__":
    unittest.main()
