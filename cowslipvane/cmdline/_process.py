"""Commands on processes: run one, check its files, ask what it knows, take it out."""

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
    run_command,
    server_option,
    settings_option,
)
from cowslipvane.cmdline._output import print_result, table, with_progress


@click.command()
@settings_option
def run(path: Path) -> None:
    """Run the process of this host's slot."""
    try:
        commands.run(read_settings(path))
    except commands.CommandFailed as error:
        raise click.ClickException(str(error)) from error


@click.command()
@click.option(
    "--settings",
    "settings",
    multiple=True,
    type=click.Path(path_type=Path),
    help="A settings file; its settings in effect are printed.",
)
@click.option(
    "-f",
    "--file",
    "resources",
    multiple=True,
    type=click.Path(path_type=Path),
    help="A resource file, checked as if it were applied to nothing.",
)
@output_option
def check(settings: tuple[Path, ...], resources: tuple[Path, ...], output: str) -> None:
    """Check files without asking any process, and report every fault."""
    if not settings and not resources:
        raise click.UsageError("name files to check by --settings or --file")
    report = commands.check(settings, resources)
    if output == "json":
        click.echo(json.dumps(report._asdict(), indent=2))
    else:
        for settings_in_effect in report.effective:
            click.echo(json.dumps(settings_in_effect, indent=2))
        for fault in report.faults:
            click.echo(fault, err=True)
    if report.faults:
        raise SystemExit(EXIT_BAD_INPUT)


@click.command()
@server_option
@output_option
def status(servers: tuple[str, ...], output: str) -> None:
    """Print what the leader, or a process that answers, knows."""
    form = run_command(with_progress(commands.status(servers), "asking for the status"))
    print_result(form, output, _status_text(form))


@click.command()
@server_option
@output_option
@click.option("--wait/--no-wait", default=True, help="Return once the process has ended.")
@click.argument("host")
def drain(servers: tuple[str, ...], output: str, wait: bool, host: str) -> None:
    """Take HOST out as planned: it starts nothing new, ends what runs, and exits."""
    form = run_command(with_progress(commands.drain(servers, host, wait), f"draining {host}"))
    print_result(form, output, f"{host}: {form['state']}")


@click.command()
@server_option
@output_option
@click.option("--host", help="The host to ask; the first server that answers by default.")
def debug(servers: tuple[str, ...], output: str, host: str | None) -> None:
    """Print what a process knows of itself."""
    form = run_command(with_progress(commands.debug(servers, host), "asking the process"))
    print_result(form, output, table(("what", "value"), _flat("", form)))


@click.command()
@click.argument("shell", type=click.Choice(["bash", "fish", "zsh"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the script that completes this command line in SHELL."""
    kind = get_completion_class(shell)
    assert kind is not None
    root = context.find_root()
    click.echo(kind(root.command, {}, "cowslipvane", "_COWSLIPVANE_COMPLETE").source())


def _status_text(form: dict[str, Any]) -> str:
    """Return the status for people."""
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
    heads = ("HOST", "DATA CENTRE", "STATE", "SERVICE", "IN FORCE", "OPERATORS")
    leader = f"leader {replica['leader']}, term {replica['term']}" if replica else "no replica"
    accepted = f"accepted version {replica['accepted']}" if replica else ""
    first = ", ".join(filter(None, [f"asked {form['host']}", leader, accepted]))
    return f"{first}\n{table(heads, sorted(rows))}"


def _flat(path: str, form: Any) -> list[tuple[str, str]]:
    """Return nested values as one row each, with the path to each."""
    if not isinstance(form, dict):
        return [(path, form if isinstance(form, str) else json.dumps(form))]
    rows = []
    for name, value in form.items():
        rows += _flat(f"{path}.{name}" if path else name, value)
    return rows
