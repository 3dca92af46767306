"""Commands on resources."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cowslipvane.commands._errors import CommandFailed, client_of


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
    async with client_of(servers) as client:
        if based_on is None:
            based_on = (await client.resources())["version"]
        return await client.change({**form, "based_on": based_on})


async def get(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return the accepted resources and where their version is in force."""
    async with client_of(servers) as client:
        found = await client.resources()
        status = await client.status()
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
    async with client_of(servers) as client:
        async for line in client.watch(version):
            show(json.dumps(line))
