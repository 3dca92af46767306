"""Tests of the command line without a running process."""

import json
import tempfile
import unittest
from pathlib import Path

import click
from click.testing import CliRunner, Result

from cowslipvane.cmdline import main
from cowslipvane.cmdline._output import table
from tests.test_settings import GOOD
from tools.fleet import EXAMPLES

UNREACHABLE_SERVER = "127.0.0.1:9"


class CommandLineTest(unittest.TestCase):
    """Exit codes and error messages are as documented."""

    def setUp(self) -> None:
        """Create a temporary folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_command(self, *arguments: str, token_file: str = "") -> Result:
        """Run a command."""
        env = {"COWSLIPVANE_TOKEN_FILE": token_file}
        return CliRunner().invoke(main, arguments, env=env)

    def file(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_unreachable_servers_fail_a_command(self) -> None:
        """One line on standard error says what to do, and the exit code is 1."""
        for arguments in (
            ["status"],
            ["debug"],
            ["drain", "a"],
            ["explain", "r1"],
            ["timeline"],
        ):
            result = self.run_command(*arguments, "--server", UNREACHABLE_SERVER)
            self.assertEqual((result.exit_code, result.stdout), (1, ""), arguments)
            self.assertIn("name others by --server", result.stderr)
            self.assertEqual(result.stderr.count("\n"), 1, result.stderr)

    def test_valid_files_pass_the_check(self) -> None:
        """The resources of the examples are valid, and the settings in effect are printed."""
        resources = [f"--file={path}" for path in sorted(EXAMPLES.glob("*/resources.toml"))]
        result = self.run_command("check", "--settings", self.file("s.toml", GOOD), *resources)
        self.assertEqual((result.exit_code, result.stderr), (0, ""))
        self.assertIn('"election_timeout": 1.0', result.stdout)
        self.assertEqual(len(resources), 2)
        result = self.run_command("check", "--output", "json", *resources)
        self.assertEqual(json.loads(result.stdout), {"effective": [], "faults": []})

    def test_all_faults_of_all_files_are_reported_together(self) -> None:
        """The exit code is 2, and each fault is a line with its file."""
        route = '[[resource]]\nkind = "route"\nname = "r"\n[resource.spec]\nnonsense = 1\n'
        result = self.run_command(
            "check",
            "--settings",
            self.file("s.toml", "host = 1\n" + GOOD.replace('host = "a"', "")),
            "--file",
            self.file("r.toml", route + '[[resource]]\nkind = "king"\nname = "k"\n'),
            "--file",
            str(self.folder / "missing.toml"),
        )
        self.assertEqual(result.exit_code, 2)
        for part in ("s.toml: host", "r.toml: route/r", "found 'king'", "missing.toml: can't be"):
            self.assertIn(part, result.stderr)

    def test_an_invalid_token_file_is_reported_without_the_token(self) -> None:
        """A token that is too short isn't printed."""
        path = self.file("token", "tiny-secret")
        result = self.run_command("status", "--server", UNREACHABLE_SERVER, token_file=path)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("at least 16 characters", result.stderr)
        self.assertNotIn("tiny-secret", result.output)

    def test_run_reports_in_one_line_why_it_can_not_start(self) -> None:
        """A replica without a group fails with a message instead of a traceback."""
        settings = GOOD.replace('["proxy"]', '["replica"]').replace(
            "[listen]", f'data_folder = "{self.folder}"\n[listen]'
        )
        result = self.run_command("run", "--settings", self.file("s.toml", settings))
        self.assertEqual(result.exit_code, 1)
        self.assertRegex(result.stderr, r"^Error: .*run 'cowslipvane replica create'\n$")

    def test_times_are_parsed(self) -> None:
        """An invalid time is bad input."""
        empty = self.file("e", "")
        good = self.run_command("timeline", "--file", empty, "--since", "2026-01-01T00:00:00")
        self.assertEqual(good.exit_code, 0)
        bad = self.run_command("timeline", "--file", empty, "--since", "soon")
        self.assertEqual(bad.exit_code, 2)
        self.assertIn("give 2026-01-31T12:00:00", bad.stderr)

    def test_completion_names_the_program(self) -> None:
        """There is a script for each shell."""
        for shell in ("bash", "fish", "zsh"):
            script = self.run_command("completion", shell).stdout
            self.assertIn("_COWSLIPVANE_COMPLETE", script)

    def test_the_columns_of_a_table_are_aligned(self) -> None:
        """Columns are as wide as their widest cell."""
        text = click.unstyle(table(("A", "B"), [("long cell", 1), ("x", "up")]))
        self.assertEqual(text, "A          B\nlong cell  1\nx          up")
        self.assertEqual(click.unstyle(table(("A", "B"), [])), "A  B")


if __name__ == "__main__":
    unittest.main()
