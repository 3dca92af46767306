"""Commands that explain what happened to requests and versions."""

from __future__ import annotations

import datetime
from pathlib import Path

import click

from cowslipvane import commands
from cowslipvane.cmdline._options import EXIT_BAD_INPUT, output_option, run_command
from cowslipvane.cmdline._output import with_progress

NO_SOURCE_MESSAGE = "name processes by --server, or event files by --file"


class Timestamp(click.ParamType[float]):
    """A time in ISO 8601, in UTC unless it has an offset, or in seconds since 1970."""

    name = "time"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> float:
        """Return the wall-clock time in seconds since 1970."""
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


optional_server_option = click.option(
    "--server",
    "servers",
    multiple=True,
    envvar="COWSLIPVANE_SERVERS",
    help="IP:PORT of a process's operators' listener; it reports the other processes.",
)
file_option = click.option(
    "--file",
    "files",
    multiple=True,
    type=click.Path(path_type=Path),
    help="An event file or log to read instead of querying processes; repeat to merge several.",
)


@click.command()
@optional_server_option
@file_option
@output_option
@click.argument("request")
def explain(
    *, servers: tuple[str, ...], files: tuple[Path, ...], output: str, request: str
) -> None:
    """Explain what happened to the request with this id."""
    account = run_command(
        with_progress(_account(servers, files, request), "querying every process")
    )
    click.echo(account.as_json() if output == "json" else account.as_text())


async def _account(
    servers: tuple[str, ...], files: tuple[Path, ...], request: str
) -> commands.Account:
    """Return the account of a request from the files if any are given, else from processes."""
    merged = await _collect(servers, files, commands.Filter(request=request))
    return commands.build_account(request, merged)


@click.command()
@optional_server_option
@file_option
@click.option("--request", default="", help="Only events of the request with this id.")
@click.option("--version", type=int, default=0, help="Only events of this version.")
@click.option("--upstream", default="", help="Only events at or about this host.")
@click.option("--since", type=Timestamp(), help="Only events from this time on.")
@click.option("--until", type=Timestamp(), help="Only events up to this time.")
@click.option(
    "--html",
    type=click.Path(path_type=Path),
    help="Also write a diagram of the events to this HTML file.",
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
    """Print the events of all processes in one order, with causes before effects."""
    criteria = commands.Filter(request, version, upstream, since, until)
    merged = run_command(with_progress(_collect(servers, files, criteria), "collecting events"))
    click.echo(merged.as_json() if output == "json" else merged.as_text())
    if html is not None:
        _write(html, commands.render_timeline_page(merged))


async def _collect(
    servers: tuple[str, ...], files: tuple[Path, ...], criteria: commands.Filter
) -> commands.Timeline:
    """Return the timeline of the files if any are given, else of processes."""
    if files:
        return commands.timeline_from_files(files, criteria)
    if servers:
        return await commands.timeline_from_processes(servers, criteria)
    raise commands.CommandFailed(NO_SOURCE_MESSAGE)


def _write(path: Path, text: str) -> None:
    """Write a file, or print the error in one line and exit."""
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        click.echo(f"{path}: can't be written: {error.strerror}", err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None
