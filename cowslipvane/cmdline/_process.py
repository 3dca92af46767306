"""Commands on processes: run, check, status, drain, debug and completion."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
from click.shell_completion import get_completion_class

from cowslipvane import commands
from cowslipvane.cmdline._options import (
    EXIT_BAD_INPUT,
    output_option,
    read_settings,
    report_failure,
    run_command,
    server_option,
    settings_option,
)
from cowslipvane.cmdline._output import print_json, print_result, table, with_progress


@click.command()
@settings_option
def run(path: Path) -> None:
    """Run the process of this host."""
    settings = read_settings(path)
    with report_failure():
        commands.run(settings)


@click.command()
@click.option(
    "--settings",
    "settings",
    multiple=True,
    type=click.Path(path_type=Path),
    help="A settings file to check; the settings in effect are printed.",
)
@click.option(
    "-f",
    "--file",
    "resources",
    multiple=True,
    type=click.Path(path_type=Path),
    help="A resource file to check, as if it were applied to an empty catalogue.",
)
@output_option
def check(settings: tuple[Path, ...], resources: tuple[Path, ...], output: str) -> None:
    """Check settings and resource files offline, and report every fault."""
    if not settings and not resources:
        raise click.UsageError("name files to check by --settings or --file")
    report = commands.check(settings, resources)
    if output == "json":
        print_json(report._asdict())
    else:
        for settings_in_effect in report.effective:
            print_json(settings_in_effect)
        for fault in report.faults:
            click.echo(fault, err=True)
    if report.faults:
        raise SystemExit(EXIT_BAD_INPUT)


@click.command()
@server_option
@output_option
def status(servers: tuple[str, ...], output: str) -> None:
    """Print the status of the leader, or else of the first server that responds."""
    form = run_command(with_progress(commands.status(servers), "requesting the status"))
    print_result(form, output, _status_text(form))


@click.command()
@server_option
@output_option
@click.option("--wait/--no-wait", default=True, help="Return once the process has ended.")
@click.argument("host")
def drain(servers: tuple[str, ...], output: str, wait: bool, host: str) -> None:
    """Drain HOST: its process accepts no new work, finishes running work, and exits."""
    form = run_command(with_progress(commands.drain(servers, host, wait), f"draining {host}"))
    print_result(form, output, f"{host}: {form['state']}")


@click.command()
@server_option
@output_option
@click.option("--host", help="The host to query; by default, the first server that responds.")
def debug(servers: tuple[str, ...], output: str, host: str | None) -> None:
    """Print the debug report of a process."""
    form = run_command(with_progress(commands.debug(servers, host), "requesting the debug report"))
    print_result(form, output, table(("what", "value"), _flatten("", form)))


@click.command()
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for SHELL."""
    kind = get_completion_class(shell)
    assert kind is not None
    root = context.find_root()
    click.echo(kind(root.command, {}, "cowslipvane", "_COWSLIPVANE_COMPLETE").source())


def _status_text(form: dict[str, Any]) -> str:
    """Return the status as text."""
    replica = form.get("replica", {})
    reports = {report["host"]: report["version"] for report in replica.get("reports", [])}
    rows = [
        (
            member["host"],
            member["data_centre"],
            member["state"] if member["alive"] else "silent",
            member["service"] or "-",
            reports.get(member["host"], "-"),
            member["operators"],
        )
        for member in form["members"]
    ]
    headers = ("HOST", "DATA CENTRE", "STATE", "SERVICE", "IN FORCE", "OPERATORS")
    leader = f"leader {replica['leader']}, term {replica['term']}" if replica else "no replica"
    accepted = f"accepted version {replica['accepted']}" if replica else ""
    summary = ", ".join(filter(None, [f"asked {form['host']}", leader, accepted]))
    return f"{summary}\n{table(headers, sorted(rows))}"


def _flatten(path: str, form: Any) -> list[tuple[str, str]]:
    """Return a row with the path and the value for each nested value."""
    if not isinstance(form, dict):
        return [(path, form if isinstance(form, str) else json.dumps(form))]
    rows = []
    for name, value in form.items():
        rows += _flatten(f"{path}.{name}" if path else name, value)
    return rows
