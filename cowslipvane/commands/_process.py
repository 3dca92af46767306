"""Commands on one process: run it, describe it, ask for its status."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from pathlib import Path
from typing import Any

from cowslipvane.commands._errors import client_of
from cowslipvane.settings import Settings, load


def read_settings(path: Path) -> Settings:
    """Return the settings in a file."""
    return load(path)


def describe(settings: Settings) -> str:
    """Return the settings in effect as JSON."""
    return json.dumps(dataclasses.asdict(settings), indent=2)


def run(settings: Settings) -> None:
    """Run a daemon until it is stopped."""
    asyncio.run(_run(settings))


async def status(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return what the leader, or a process that answers, knows."""
    async with client_of(servers) as client:
        return await client.status()


async def _run(settings: Settings) -> None:
    """Build the daemon inside the event loop, and run it."""
    # Other commands need not load what only a daemon needs.
    from cowslipvane.daemon import Daemon  # noqa: PLC0415

    await Daemon(settings=settings).run()
