"""Commands that explain what became of requests and versions."""

from __future__ import annotations

import datetime
from pathlib import Path

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import EXIT_BAD_INPUT, output_option, run_command
from cowslipvane.cmdline._output import with_progress

NO_SOURCE_MESSAGE = "name processes by --server, or event files by --file"


class Timestamp(click.ParamType[float]):
    """A time: ISO 8601, in UTC unless it says otherwise, or seconds since 1970."""

    name = "time"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> float:
        """Return wall time in seconds."""
        text = str(value)
        try:
            return float(text)
        except ValueError:
            pass
        try:
            moment = datetime.datetime.fromisoformat(text)
        except ValueError:
            self.fail(f"{text!r}: give 2026-01-31T12:00:00 or seconds since 1970", param, ctx)
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=datetime.UTC)
        return moment.timestamp()


any_server_option = click.option(
    "--server",
    "servers",
    multiple=True,
    envvar="COWSLIPVANE_SERVERS",
    help="IP:PORT of a process's operators' listener; the others are found through it.",
)
file_option = click.option(
    "--file",
    "files",
    multiple=True,
    type=click.Path(path_type=Path),
    help="An event file or log to read instead of asking processes; give several to merge them.",
)


@click.command()
@any_server_option
@file_option
@output_option
@click.argument("request")
def explain(
    *, servers: tuple[str, ...], files: tuple[Path, ...], output: str, request: str
) -> None:
    """Explain what became of a request, by its id."""
    account = run_command(with_progress(_account(servers, files, request), "asking every process"))
    click.echo(account.as_json() if output == "json" else account.as_text())


async def _account(
    servers: tuple[str, ...], files: tuple[Path, ...], request: str
) -> commands.Account:
    """Return the account of a request from files if there are any, or from live processes."""
    if files:
        return commands.explain_from_files(files, request)
    if servers:
        return await commands.explain(servers, request)
    raise commands.CommandFailed(NO_SOURCE_MESSAGE)


@click.command()
@any_server_option
@file_option
@click.option("--request", default="", help="Only events of the request with this id.")
@click.option("--version", type=int, default=0, help="Only events of this version.")
@click.option("--upstream", default="", help="Only events at or about this host.")
@click.option("--since", type=Timestamp(), help="Only events from this time on.")
@click.option("--until", type=Timestamp(), help="Only events up to this time.")
@click.option(
    "--html", type=click.Path(path_type=Path), help="Also draw the events into this HTML file."
)
@output_option
def timeline(
    *,
    servers: tuple[str, ...],
    files: tuple[Path, ...],
    request: str,
    version: int,
    upstream: str,
    since: float | None,
    until: float | None,
    html: Path | None,
    output: str,
) -> None:
    """Print the events of all processes in one order."""
    wanted = commands.Filter(request, version, upstream, since, until)
    found = run_command(with_progress(_collect(servers, files, wanted), "collecting events"))
    click.echo(found.as_json() if output == "json" else found.as_text())
    if html is not None:
        _write(html, commands.render_timeline_page(found))


async def _collect(
    servers: tuple[str, ...], files: tuple[Path, ...], wanted: commands.Filter
) -> commands.Timeline:
    """Return the events of files if there are any, or of live processes."""
    if files:
        return commands.timeline_from_files(files, wanted)
    if servers:
        return await commands.timeline_from_processes(servers, wanted)
    raise commands.CommandFailed(NO_SOURCE_MESSAGE)


def _write(path: Path, text: str) -> None:
    """Write a file, or exit with a line that says why not."""
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        click.echo(f"{path}: can't be written: {error.strerror}", err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None
