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
    """Make the data folder part of a new group."""
    members = tuple(_voter(voter) for voter in voters)
    if settings.host not in [member.host for member in members]:
        raise CommandFailed(f"no --voter names this host, {settings.host}; add it")
    _create_folder(settings, group, members)


def join_replica(settings: Settings, group: str) -> ReplicaId:
    """Prepare an empty data folder for a group that will add it, and return its identity."""
    return _create_folder(settings, group, ())


async def list_replicas(servers: tuple[str, ...]) -> dict[str, Any]:
    """Return the group that is in force."""
    async with open_client(servers) as client:
        return await client.replicas()


async def add_or_replace_replica(
    servers: tuple[str, ...], change: str, member: str, replica_id: str
) -> dict[str, Any]:
    """Add a replica or replace the one on its host, and return once it votes."""
    voter = _voter(member)
    form = {"change": change, "host": voter.host, "address": str(voter.address)}
    async with open_client(servers) as client:
        await _regroup(client, {**form, "replica_id": replica_id})
        try:
            async with asyncio.timeout(PROMOTION_TIMEOUT):
                return await _until_voter(client, replica_id)
        except TimeoutError:
            raise CommandFailed(
                f"{voter.host} is a learner and has not everything yet; see 'replica list'"
            ) from None


async def remove_replica(servers: tuple[str, ...], host: str) -> dict[str, Any]:
    """Take the replica on a host out of the group."""
    async with open_client(servers) as client:
        return await _regroup(client, {"change": "remove", "host": host})


async def _regroup(client: Client, form: dict[str, Any]) -> dict[str, Any]:
    """Send a change of the group; a refusal fails the command."""
    answer = await client.change_group(form)
    if answer.get("outcome") != "accepted":
        raise CommandFailed(str(answer.get("sentence", answer)))
    return answer


async def _until_voter(client: Client, replica_id: str) -> dict[str, Any]:
    """Return the group once a replica votes in it."""
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


def _voter(text: str) -> Voter:
    """Return the voter in a text HOST=IP:PORT."""
    host, _, address = text.partition("=")
    if not host:
        raise CommandFailed(f"{text}: give HOST=IP:PORT")
    try:
        return Voter(HostName(host), Address.parse(address))
    except ValueError as error:
        raise CommandFailed(f"{text}: give HOST=IP:PORT; {error}") from error
