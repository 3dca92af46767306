"""Tests that operators get digests of keys, and that no command shows a key."""

import json
import os
import pty
import select
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from cowslipvane.access import MAX_KEY_CHARACTERS, key_digest
from cowslipvane.cmdline import main

KEYS = ("first-key-of-the-night-shift", "second/key+of~the=night-shift")
EXIT_BAD_INPUT = 2
TIMEOUT_S = 20.0
READ_BYTES = 4096


def read_until(terminal: int, text: bytes) -> bytes:
    """Return what is shown at a terminal up to some text."""
    shown = b""
    while text not in shown:
        ready, _, _ = select.select([terminal], [], [], TIMEOUT_S)
        assert ready, shown
        shown += os.read(terminal, READ_BYTES)
    return shown


class TeamCommandsTest(unittest.TestCase):
    """The command that makes digests, and the check of teams in a file."""

    def setUp(self) -> None:
        """Create a temporary folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_command(self, *arguments: str, stdin: bytes = b"") -> Result:
        """Run a command."""
        return CliRunner().invoke(main, arguments, input=stdin)

    def check(self, spec: object) -> Result:
        """Check a file with one team."""
        path = self.folder / "resources.json"
        resource = {"kind": "team", "name": "night", "spec": spec}
        path.write_text(json.dumps({"resource": [resource]}))
        return self.run_command("check", "--file", str(path))

    def test_digests_of_keys_from_standard_input_make_a_valid_team(self) -> None:
        """They are those that proxies compute, one a line and in order."""
        result = self.run_command("team", "digest", stdin="\n".join(KEYS).encode())
        self.assertEqual((result.exit_code, result.stderr), (0, ""))
        digests = result.stdout.splitlines()
        self.assertEqual(digests, [key_digest(key) for key in KEYS])
        checked = self.check({"key_digests": digests})
        self.assertEqual((checked.exit_code, checked.output), (0, ""))

    def test_keys_may_be_in_a_file_with_any_line_ends(self) -> None:
        """A carriage return would otherwise be part of a key that no caller can show."""
        path = self.folder / "keys"
        path.write_bytes("".join(f"{key}\r\n" for key in KEYS).encode())
        result = self.run_command("team", "digest", "--file", str(path))
        self.assertEqual(result.stdout.splitlines(), [key_digest(key) for key in KEYS])

    # Guards against a key on the screen, and in the record of a session, of who types it.
    def test_a_terminal_does_not_show_the_key(self) -> None:
        """The command asks for one key, and prints its digest."""
        pid, terminal = pty.fork()
        if pid == 0:
            arguments = [sys.executable, "-m", "cowslipvane", "team", "digest"]
            os.execv(sys.executable, arguments)
        self.addCleanup(os.close, terminal)
        shown = read_until(terminal, b"Key: ")
        os.write(terminal, f"{KEYS[0]}\n".encode())
        shown += read_until(terminal, key_digest(KEYS[0]).encode())
        self.assertNotIn(KEYS[0].encode(), shown)
        self.assertEqual(os.waitpid(pid, 0), (pid, 0))

    # Guards against digests of texts that no request can show, and against keys on a terminal or
    # in a log of commands because a character was wrong.
    def test_odd_lines_are_named_by_number_alone(self) -> None:
        """Nothing is printed but one line on standard error."""
        odd_keys = (b"", b"a key", b" key-with-a-space", b"k\xc3\xa9y", b"key\0", b"key\x7f")
        for odd in (*odd_keys, b"x" * (MAX_KEY_CHARACTERS + 1)):
            lines = b"\n".join([KEYS[0].encode(), odd, KEYS[1].encode()])
            result = self.run_command("team", "digest", stdin=lines)
            self.assertEqual((result.exit_code, result.stdout), (EXIT_BAD_INPUT, ""), odd)
            self.assertRegex(result.stderr, r"^no key on line 2; give one key a line[^\n]*\n$")
        result = self.run_command("team", "digest")
        self.assertEqual((result.exit_code, result.stdout), (EXIT_BAD_INPUT, ""))

    # Guards against keys in the output of a check because an operator wrote a key where its digest
    # belongs.
    def test_a_key_in_place_of_a_digest_is_not_shown(self) -> None:
        """The fault names the place."""
        long_key = KEYS[0] * MAX_KEY_CHARACTERS
        specs: tuple[object, ...] = (
            {"key_digests": [KEYS[0]]},
            {"key_digests": KEYS[0]},
            {"key_digests": {KEYS[0]: 1}},
            {"key_digests": [long_key]},
            {"key_digests": [f"{KEYS[0]}\t"]},
            {"key_digests": [[KEYS[0]]]},
            KEYS[0],
            [KEYS[0]],
        )
        for spec in specs:
            result = self.check(spec)
            self.assertEqual(result.exit_code, EXIT_BAD_INPUT, spec)
            self.assertIn("team/night", result.stderr)
            self.assertNotIn(KEYS[0], result.output)

    def test_a_digest_is_shown_in_no_fault(self) -> None:
        """Two teams with one key are named, and what they have in common isn't."""
        path = self.folder / "resources.json"
        spec = {"key_digests": [key_digest(KEYS[0])]}
        teams = [{"kind": "team", "name": name, "spec": spec} for name in ("day", "night")]
        path.write_text(json.dumps({"resource": teams}))
        result = self.run_command("check", "--file", str(path))
        self.assertEqual(result.exit_code, EXIT_BAD_INPUT)
        self.assertIn("team/night: has a key of team/day", result.stderr)
        self.assertNotIn(key_digest(KEYS[0]), result.output)


if __name__ == "__main__":
    unittest.main()
