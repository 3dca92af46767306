"""Commands on processes: run, settings, status, drain and debug."""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path
from typing import Any

from cowslipvane.client import Client, Unreachable
from cowslipvane.commands._errors import CommandFailed, open_client
from cowslipvane.settings import Settings, TokenFault, load
from cowslipvane.storage import FolderRefused
from cowslipvane.types import Seconds

# Time between status requests to a process that is being drained.
DRAIN_POLL_INTERVAL: Seconds = 0.2


def read_settings(path: Path) -> Settings:
    """Return the settings in a file."""
    return load(path)


def effective_settings(settings: Settings) -> dict[str, Any]:
    """Return the settings in effect as JSON values."""
    return dataclasses.asdict(settings)


def run(settings: Settings) -> None:
    """Run a daemon until it is stopped; raise CommandFailed if it can't start."""
    try:
        asyncio.run(_run(settings))
    except (FolderRefused, TokenFault) as error:
        raise CommandFailed(str(error)) from error
    except OSError as error:
        raise CommandFailed(f"host {settings.host} can't run: {error}") from error


async def status(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return the status of the leader, or else of the first server that responds."""
    async with open_client(servers) as client:
        return await client.status()


async def drain(servers: tuple[str, ...], host: str, wait: bool) -> dict[str, str]:
    """Drain the process of a host; if wait is set, return once it has ended."""
    async with open_client((await _operators_address(servers, host),)) as client:
        await client.request("POST", "/v1/drain")
        if wait:
            await _wait_until_ended(client)
    return {"host": host, "state": "ended" if wait else "leaving"}


async def debug(servers: tuple[str, ...], host: str | None) -> dict[str, Any]:
    """Return the debug report of a host, or else of the first server that responds."""
    if host is not None:
        servers = (await _operators_address(servers, host),)
    async with open_client(servers) as client:
        return await client.request("GET", "/v1/debug")


async def _operators_address(servers: tuple[str, ...], host: str) -> str:
    """Return the operators' address of a host."""
    async with open_client(servers) as client:
        members = await client.members()
    known = {member["host"]: str(member["operators"]) for member in members}
    if host not in known:
        raise CommandFailed(
            f"no host {host} is known; the known hosts are {', '.join(sorted(known))}"
        )
    return known[host]


async def _wait_until_ended(client: Client) -> None:
    """Wait until a process no longer responds with its status."""
    while True:
        try:
            await client.request("GET", "/v1/status")
        except Unreachable:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL)


async def _run(settings: Settings) -> None:
    """Build the daemon inside the event loop, and run it."""
    # Imported here, so that other commands don't load what only a daemon needs.
    from cowslipvane.daemon import Daemon  # noqa: PLC0415

    await Daemon(settings=settings).run()
