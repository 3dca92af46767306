"""Commands on the group of replicas."""

from __future__ import annotations

import uuid
from pathlib import Path

from cowslipvane.commands._errors import CommandFailed
from cowslipvane.replica import Voter
from cowslipvane.settings import Settings
from cowslipvane.storage import DataFolder, FolderBusy, Identity
from cowslipvane.types import Address, HostName, ReplicaId


def create_replica(settings: Settings, group: str, voters: tuple[str, ...]) -> None:
    """Make the data folder part of a new group."""
    members = tuple(_voter(voter) for voter in voters)
    if settings.host not in [member.host for member in members]:
        raise CommandFailed(f"no --voter names this host, {settings.host}; add it")
    folder = DataFolder(path=Path(settings.data_folder))
    try:
        folder.create(Identity(group, settings.host, ReplicaId(uuid.uuid4().hex), members))
    except FolderBusy as error:
        raise CommandFailed(str(error)) from error


def _voter(text: str) -> Voter:
    """Return the voter in a text HOST=IP:PORT."""
    host, _, address = text.partition("=")
    ip, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise CommandFailed(f"--voter {text}: give HOST=IP:PORT")
    return Voter(HostName(host), Address(ip, int(port)))
