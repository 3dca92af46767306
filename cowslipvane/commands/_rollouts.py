"""Commands on rollouts."""

from __future__ import annotations

from typing import Any

from cowslipvane.commands._errors import CommandFailed, open_client


async def start_rollout(
    servers: tuple[str, ...], service: str, target_version: str, duration: float
) -> dict[str, Any]:
    """Order that a service's requests move to upstreams of a version within a time in seconds."""
    async with open_client(servers) as client:
        response = await client.start_rollout(service, target_version, duration)
    if response.get("outcome") != "accepted":
        faults = [f"{fault['path']} {fault['message']}" for fault in response.get("faults", ())]
        raise CommandFailed("; ".join(faults) or response["sentence"])
    return response


async def show_rollout(servers: tuple[str, ...], service: str) -> dict[str, Any]:
    """Return the newest rollout of a service."""
    async with open_client(servers) as client:
        response = await client.rollout(service)
    if "phase" not in response:
        raise CommandFailed(f"{response['sentence']}; name the service as the configuration does")
    return response
