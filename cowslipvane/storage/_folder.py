"""The data folder of a replica: created once, and locked by one process at a time."""

from __future__ import annotations

import contextlib
import fcntl
import os
from itertools import count
from pathlib import Path
from typing import NamedTuple

from cowslipvane.replica import Voter
from cowslipvane.types import HostName, ReplicaId
from cowslipvane.wire import decode_as, encode_untagged


class FolderRefused(Exception):
    """The data folder can't be used; the text tells why and what to do."""


class FolderBusy(FolderRefused):
    """The data folder is in use by another process, or already belongs to a group."""


class FolderEmpty(FolderRefused):
    """The data folder was never created as part of a group."""


class FolderDamaged(FolderRefused):
    """A file of the data folder is missing, or its content isn't what was written."""


class FolderUnreadable(FolderRefused):
    """A file of the data folder is whole, but this build can't read what it holds."""


class Identity(NamedTuple):
    """The replica that the data folder belongs to, and the founders of its group."""

    group: str
    host: HostName
    replica_id: ReplicaId
    founders: tuple[Voter, ...]


class DataFolder:
    """The folder with the durable state of a replica, locked while it is open."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._lock = -1

    @property
    def journal_path(self) -> Path:
        """Return the path of the journal."""
        return self._path / "journal"

    @property
    def is_empty(self) -> bool:
        """Return whether the folder doesn't belong to a group yet."""
        return not self._identity_path.exists()

    def create(self, identity: Identity) -> None:
        """Create the files of a replica; raise FolderBusy if the folder belongs to a group."""
        _make_folder(self._path)
        if self._identity_path.exists():
            raise FolderBusy(f"{self._path} already belongs to a group; use an empty folder")
        write_file_atomically(self.journal_path, b"")
        write_file_atomically(self._identity_path, encode_untagged(identity))

    @property
    def was_set_aside(self) -> bool:
        """Return whether a damaged folder was set aside here before."""
        return self._path_aside(1).exists()

    def open(self) -> Identity:
        """Lock the folder and return its identity."""
        if not self._identity_path.exists():
            raise FolderEmpty(f"{self._path} contains no replica; run 'cowslipvane replica create'")
        self._take_lock()
        if not self.journal_path.exists():
            raise FolderDamaged(f"{self._path} has no journal; replace this replica")
        self._sync_names()
        try:
            return decode_as(Identity, self._identity_path.read_bytes())
        except ValueError as error:
            raise FolderDamaged(f"{self._identity_path} is damaged: {error}") from error

    def set_aside(self) -> Path:
        """Rename a damaged folder, so that another can be created; return its new path."""
        self._take_lock()
        path = next(path for path in map(self._path_aside, count(1)) if not path.exists())
        self._path.rename(path)
        self.close()
        sync_folder(path.parent)
        return path

    def close(self) -> None:
        """Release the lock on the folder."""
        if self._lock >= 0:
            os.close(self._lock)
        self._lock = -1

    def _take_lock(self) -> None:
        """Lock the folder; raise FolderBusy if another process has it open."""
        self._lock = os.open(self._path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise FolderBusy(f"{self._path} is in use by another process; stop it first") from None

    def _path_aside(self, number: int) -> Path:
        """Return the path of the damaged folder that was set aside as the given number."""
        return self._path.with_name(f"{self._path.name}.damaged-{number}")

    def _sync_names(self) -> None:
        """Sync the names in the folder and its own, before anything relies on them.

        A process that was killed between a change of a name and its sync leaves one that the next
        power loss can take.
        """
        sync_folder(self._path)
        # Without the permission to read it, the folder was made by somebody else.
        with contextlib.suppress(PermissionError):
            sync_folder(self._path.parent)

    @property
    def _identity_path(self) -> Path:
        """Return the path of the identity file."""
        return self._path / "identity"


def write_file_atomically(path: Path, data: bytes) -> None:
    """Replace a file atomically and sync it: a crash leaves either the old or the new content."""
    temporary = path.with_suffix(".new")
    try:
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        # It may be what fills the disk.
        temporary.unlink(missing_ok=True)
        raise
    temporary.replace(path)
    sync_folder(path.parent)


def _make_folder(path: Path) -> None:
    """Make a folder and those that contain it, each synced; do nothing if it exists."""
    if path.is_dir():
        return
    _make_folder(path.parent)
    path.mkdir(exist_ok=True)
    sync_folder(path.parent)


def sync_folder(path: Path) -> None:
    """Sync a folder, so that created and renamed files survive a crash."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
