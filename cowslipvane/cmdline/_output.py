"""What commands print: tables for people, JSON for programs, progress on a terminal."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar

import click

from cowslipvane.types import Seconds

# What takes longer than this says so.
PROGRESS_INTERVAL: Seconds = 1.0
_GAP = "  "
_STATE_COLOURS = {"up": "green", "leaving": "yellow", "gone": "red", "silent": "red"}
T = TypeVar("T")


def print_result(form: Any, output: str, text: str) -> None:
    """Print a form as JSON, or its text, whichever the output option asks for."""
    click.echo(json.dumps(form, indent=2) if output == "json" else text)


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows in columns that line up; click drops the colours where there is no terminal."""
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
    return _GAP.join(styled).rstrip()


async def with_progress(work: Coroutine[Any, Any, T], doing: str) -> T:
    """Return what the work returns; say on a terminal that it still goes on."""
    task = asyncio.ensure_future(work)
    try:
        while not (await asyncio.wait({task}, timeout=PROGRESS_INTERVAL))[0]:
            if sys.stderr.isatty():
                click.echo(f"{doing} ...", err=True)
        return task.result()
    finally:
        task.cancel()
