"""Output of commands: tables for people, JSON for programs, progress on a terminal."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar

import click

from cowslipvane.types import Seconds

# A command that is still running reports it at this interval.
PROGRESS_INTERVAL: Seconds = 1.0
_COLUMN_SEPARATOR = "  "
_STATE_COLOURS = {"up": "green", "leaving": "yellow", "gone": "red", "silent": "red"}
T = TypeVar("T")


def print_json(form: Any) -> None:
    """Print a form as JSON over several lines."""
    click.echo(json.dumps(form, indent=2))


def print_result(form: Any, output: str, text: str) -> None:
    """Print a form as JSON or as text, according to the output option."""
    if output == "json":
        print_json(form)
    else:
        click.echo(text)


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns; click removes the colours outside a terminal."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(headers, *texts, strict=True)]
    lines = [_line(headers, widths, bold=True), *(_line(row, widths) for row in texts)]
    return "\n".join(lines)


def _line(cells: Sequence[str], widths: Sequence[int], *, bold: bool = False) -> str:
    """Return one line of a table."""
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    padded[-1] = padded[-1].rstrip()
    styled = [
        click.style(text, fg=_STATE_COLOURS.get(cell), bold=bold or None)
        for cell, text in zip(cells, padded, strict=True)
    ]
    return _COLUMN_SEPARATOR.join(styled).rstrip()


async def with_progress(work: Coroutine[Any, Any, T], activity: str) -> T:
    """Await the work and return its result; on a terminal, report that it is still running."""
    task = asyncio.ensure_future(work)
    try:
        while not (await asyncio.wait({task}, timeout=PROGRESS_INTERVAL))[0]:
            if sys.stderr.isatty():
                click.echo(f"{activity} ...", err=True)
        return task.result()
    finally:
        task.cancel()
