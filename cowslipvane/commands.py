"""What the commands do."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cowslipvane.client import Client, Unreachable
from cowslipvane.settings import Settings, SettingsFault, load
from cowslipvane.types import Address, HostName


class CommandFailed(Exception):
    """A command could not do its work; the text says what to do."""


def read_settings(path: Path) -> Settings:
    """Return the settings in a file."""
    return load(path)


def describe(settings: Settings) -> str:
    """Return the settings in effect as JSON."""
    return json.dumps(dataclasses.asdict(settings), indent=2)


def run(settings: Settings) -> None:
    """Run a daemon until it is stopped."""
    from cowslipvane.daemon import Daemon  # noqa: PLC0415

    _log_events(settings)
    asyncio.run(_run(Daemon, settings))


async def _run(daemon: Any, settings: Settings) -> None:
    """Build the daemon inside the event loop, and run it."""
    await daemon(settings=settings).run()


def _log_events(settings: Settings) -> None:
    """Write events as JSON lines to the event file, if the settings name one."""
    if not settings.event_file:
        return
    from pythonjsonlogger.json import JsonFormatter  # noqa: PLC0415

    handler = logging.FileHandler(settings.event_file)
    handler.setFormatter(JsonFormatter("%(message)s"))
    logger = logging.getLogger("cowslipvane.events")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False


def create_replica(settings: Settings, group: str, voters: tuple[str, ...]) -> None:
    """Make the data folder part of a new group."""
    from cowslipvane.replica import Voter  # noqa: PLC0415
    from cowslipvane.storage import DataFolder, FolderBusy  # noqa: PLC0415
    from cowslipvane.storage._folder import Identity  # noqa: PLC0415

    members = []
    for voter in voters:
        host, _, address = voter.partition("=")
        ip, _, port = address.rpartition(":")
        if not host or not port.isdecimal():
            raise CommandFailed(f"--voter {voter}: give HOST=IP:PORT")
        members.append(Voter(HostName(host), Address(ip, int(port))))
    if settings.host not in [member.host for member in members]:
        raise CommandFailed(f"no --voter names this host, {settings.host}; add it")
    try:
        DataFolder(path=Path(settings.data_folder)).create(
            Identity(group, settings.host, tuple(members))
        )
    except FolderBusy as error:
        raise CommandFailed(str(error)) from error


async def apply(
    servers: tuple[str, ...], form: dict[str, Any], based_on: int | None
) -> dict[str, Any]:
    """Send a change, based on the newest version unless another is given."""
    try:
        async with Client(servers=servers) as client:
            if based_on is None:
                based_on = (await client.resources())["version"]
            return await client.change({**form, "based_on": based_on})
    except Unreachable as error:
        raise CommandFailed(str(error)) from error


async def get(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return the accepted resources and where their version is in force."""
    try:
        async with Client(servers=servers) as client:
            found = await client.resources()
            status = await client.status()
    except Unreachable as error:
        raise CommandFailed(str(error)) from error
    reports = status.get("replica", {}).get("reports", [])
    found["in_force"] = {
        "proxies": len(reports),
        "on": sum(report["version"] >= found["version"] for report in reports),
        "since": max((report["applied_at"] for report in reports), default=None),
        "behind": [item["host"] for item in reports if item["version"] < found["version"]],
    }
    return found


async def watch(servers: tuple[str, ...], version: int, show: Callable[[str], Any]) -> None:
    """Show a line for each thing that is accepted or comes into force."""
    async with Client(servers=servers) as client:
        async for line in client.watch(version):
            show(json.dumps(line))


async def status(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return what the leader, or a process that answers, knows."""
    try:
        async with Client(servers=servers) as client:
            return await client.status()
    except Unreachable as error:
        raise CommandFailed(str(error)) from error


async def explain(servers: tuple[str, ...], request: str) -> str:
    """Return the sentence that a caller was told, and the events behind it."""
    try:
        async with Client(servers=servers) as client:
            events = await client.events(request)
    except Unreachable as error:
        raise CommandFailed(str(error)) from error
    if not events:
        raise CommandFailed(f"no process remembers request {request}; check the id")
    sentences = [event["detail"]["sentence"] for event in events if event["kind"] == "refused"]
    lines = sentences or ["The request was answered by its upstream."]
    lines += [f"  {_event_line(event)}" for event in events]
    return "\n".join(lines)


def _event_line(event: dict[str, Any]) -> str:
    """Return one event as a line."""
    detail = " ".join(f"{name}={value}" for name, value in event["detail"].items())
    return f"{event['wall']:.6f} {event['host']} {event['kind']} {detail}"


__all__ = [
    "CommandFailed",
    "SettingsFault",
    "apply",
    "create_replica",
    "describe",
    "explain",
    "get",
    "read_settings",
    "run",
    "status",
    "watch",
]
