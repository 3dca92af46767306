"""Commands on resources."""

from __future__ import annotations

import json
import tomllib
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cowslipvane.client import HistoryUnavailable
from cowslipvane.commands._errors import CommandFailed, open_client


def read_resources(path: Path) -> dict[str, Any]:
    """Return the resources and deletes in a TOML or JSON file."""
    try:
        text = path.read_text(encoding="utf-8")
        values = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise CommandFailed(f"{path}: can't be read: {error}") from error
    return {"resources": values.get("resource", []), "deletes": values.get("delete", [])}


async def apply(
    servers: tuple[str, ...], form: dict[str, Any], based_on: int | None
) -> dict[str, Any]:
    """Send a change, based on the newest version unless another is given."""
    async with open_client(servers) as client:
        if based_on is None:
            based_on = (await client.resources())["version"]
        return await client.change({**form, "based_on": based_on})


async def get(servers: tuple[str, ...], resource: str) -> dict[str, Any]:
    """Return all accepted resources, or the one named KIND/NAME, with their convergence status."""
    kind, _, name = resource.partition("/")
    async with open_client(servers) as client:
        if not resource:
            return await client.resources()
        response = await client.resource(kind, name)
    if "kind" not in response:
        raise CommandFailed(f"{response['sentence']}; name it as KIND/NAME")
    return response


async def history(servers: tuple[str, ...], version: int) -> list[dict[str, Any]]:
    """Return the changes accepted after a version."""
    async with open_client(servers) as client:
        response = await client.history(version)
    if "changes" not in response:
        raise CommandFailed(response["sentence"])
    return list(response["changes"])


async def diff(servers: tuple[str, ...], form: dict[str, Any]) -> dict[str, Any]:
    """Return the effects of a change, or its faults, without applying it."""
    form = {**form, "operation_id": uuid.uuid4().hex, "dry_run": True}
    return await apply(servers, form, None)


def diff_lines(effects: list[dict[str, Any]]) -> list[str]:
    """Return a line for each resource and each field that a change would modify."""
    lines = []
    for effect in effects:
        before, after = effect["before"] or {}, effect["after"] or {}
        sign = "+" if not effect["before"] else "-" if not effect["after"] else "~"
        lines.append(f"{sign} {effect['kind']}/{effect['name']}")
        for field in sorted(before.keys() | after.keys()):
            old, new = before.get(field), after.get(field)
            if old != new:
                lines.append(f"    {field}: {json.dumps(old)} -> {json.dumps(new)}")
    return lines


async def watch(servers: tuple[str, ...], version: int, show: Callable[[str], Any]) -> None:
    """Show a line for each accepted change, and for the progress of the newest."""
    try:
        async with open_client(servers) as client:
            async for line in client.watch(version):
                show(json.dumps(line))
    except HistoryUnavailable as error:
        raise CommandFailed(str(error)) from error
