"""Commands on the group of replicas."""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path
from typing import Any

from cowslipvane.client import Client
from cowslipvane.commands._errors import CommandFailed, open_client
from cowslipvane.replica import Voter
from cowslipvane.settings import Settings
from cowslipvane.storage import DataFolder, FolderBusy, Identity
from cowslipvane.types import Address, HostName, ReplicaId, Seconds

PROMOTION_TIMEOUT: Seconds = 60.0
_POLL_INTERVAL: Seconds = 0.1


def create_replica(settings: Settings, group: str, voters: tuple[str, ...]) -> None:
    """Initialize the data folder of a founding member of a new group."""
    members = tuple(_parse_voter(voter) for voter in voters)
    if settings.host not in [member.host for member in members]:
        raise CommandFailed(f"no --voter names this host, {settings.host}; add it")
    _create_folder(settings, group, members)


def join_replica(settings: Settings, group: str) -> ReplicaId:
    """Initialize the data folder of a replica to be added to a group; return its identity."""
    return _create_folder(settings, group, ())


async def list_replicas(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return the group that is in force."""
    async with open_client(servers) as client:
        return await client.replicas()


async def add_or_replace_replica(
    servers: tuple[str, ...], change: str, member: str, replica_id: str
) -> dict[str, Any]:
    """Add a replica or replace the one on its host, and wait until it is a voter."""
    voter = _parse_voter(member)
    form = {"change": change, "host": voter.host, "address": str(voter.address)}
    async with open_client(servers) as client:
        await _change_group(client, {**form, "replica_id": replica_id})
        try:
            async with asyncio.timeout(PROMOTION_TIMEOUT):
                return await _wait_until_voter(client, replica_id)
        except TimeoutError:
            raise CommandFailed(
                f"{voter.host} is still a learner: it has not caught up, or stands by for a newer"
                " replica in its data centre; see 'replica list'"
            ) from None


async def remove_replica(servers: tuple[str, ...], host: str) -> dict[str, Any]:
    """Remove the replica on a host from the group."""
    async with open_client(servers) as client:
        return await _change_group(client, {"change": "remove", "host": host})


async def _change_group(client: Client, form: dict[str, Any]) -> dict[str, Any]:
    """Send a group change; raise CommandFailed if it is not accepted."""
    response = await client.change_group(form)
    if response.get("outcome") != "accepted":
        raise CommandFailed(str(response.get("sentence", response)))
    return response


async def _wait_until_voter(client: Client, replica_id: str) -> dict[str, Any]:
    """Wait until a replica is a voter, and return the group."""
    while True:
        group = await client.replicas()
        if any(voter["replica_id"] == replica_id for voter in group["voters"]):
            return group
        await asyncio.sleep(_POLL_INTERVAL)


def _create_folder(settings: Settings, group: str, founders: tuple[Voter, ...]) -> ReplicaId:
    """Create the data folder under a new identity."""
    replica_id = ReplicaId(uuid.uuid4().hex)
    try:
        DataFolder(path=Path(settings.data_folder)).create(
            Identity(group, settings.host, replica_id, founders)
        )
    except FolderBusy as error:
        raise CommandFailed(str(error)) from error
    return replica_id


def _parse_voter(text: str) -> Voter:
    """Parse a voter given as HOST=IP:PORT."""
    host, _, address = text.partition("=")
    if not host:
        raise CommandFailed(f"{text}: give HOST=IP:PORT")
    try:
        return Voter(HostName(host), Address.parse(address))
    except ValueError as error:
        raise CommandFailed(f"{text}: give HOST=IP:PORT; {error}") from error
