"""The data folder: created once, and held by one process."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import NamedTuple

from cowslipvane.replica import Voter
from cowslipvane.types import HostName, ReplicaId
from cowslipvane.wire import decode_as, encode_untagged


class FolderBusy(Exception):
    """Another process holds the data folder."""


class FolderEmpty(Exception):
    """The data folder was never created as part of a group."""


class FolderDamaged(Exception):
    """A file of the data folder can't be read back as it was written."""


class Identity(NamedTuple):
    """Whom the data folder belongs to, and the group that it was created in."""

    group: str
    host: HostName
    replica_id: ReplicaId
    founders: tuple[Voter, ...]


class DataFolder:
    """A folder of the system's own state, locked while it is open."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._lock = -1

    @property
    def journal_path(self) -> Path:
        """Return where the journal is."""
        return self._path / "journal"

    @property
    def is_empty(self) -> bool:
        """Return whether the folder was never made part of a group."""
        return not self._identity_path.exists()

    def create(self, identity: Identity) -> None:
        """Make the folder part of a group; refuse when it already is."""
        self._path.mkdir(parents=True, exist_ok=True)
        if self._identity_path.exists():
            raise FolderBusy(f"{self._path} already belongs to a group; give an empty folder")
        write_synced(self.journal_path, b"")
        write_synced(self._identity_path, encode_untagged(identity))

    def open(self) -> Identity:
        """Lock the folder and return whose it is."""
        if not self._identity_path.exists():
            raise FolderEmpty(f"{self._path} holds no replica; run 'cowslipvane replica create'")
        if not self.journal_path.exists():
            raise FolderDamaged(f"{self._path} has lost its journal; replace this replica")
        self._lock = os.open(self._path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise FolderBusy(f"{self._path} is held by another process; stop it first") from None
        try:
            return decode_as(Identity, self._identity_path.read_bytes())
        except ValueError as error:
            raise FolderDamaged(f"{self._identity_path} is damaged: {error}") from error

    def close(self) -> None:
        """Give the folder up."""
        if self._lock >= 0:
            os.close(self._lock)
        self._lock = -1

    @property
    def _identity_path(self) -> Path:
        """Return where the identity is."""
        return self._path / "identity"


def write_synced(path: Path, data: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new content, whole."""
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Sync a folder, so that the names of its files survive a crash."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
