"""Opening of a replica's data folder at the start of its process, with events that tell of it."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from cowslipvane.events import EventLog
from cowslipvane.replica import Recovered
from cowslipvane.settings import Settings
from cowslipvane.storage import (
    DataFolder,
    FileJournal,
    FolderDamaged,
    FolderRefused,
    Identity,
)
from cowslipvane.tasks.replication._joining import new_identity


class OpenReplica(NamedTuple):
    """An open data folder, and the state of the replica that was read from it."""

    identity: Identity
    journal: FileJournal
    recovered: Recovered


def open_replica(settings: Settings, events: EventLog, stack: ExitStack) -> OpenReplica:
    """Open the data folder and recover its state; record and raise why it can't be used."""
    try:
        return _open(settings, events, stack)
    except FolderRefused as error:
        fault = type(error).__name__
        events.record("folder-refused", folder=settings.data_folder, fault=fault, reason=str(error))
        # The process is about to end, so no task will write the event.
        events.write()
        raise


def _open(settings: Settings, events: EventLog, stack: ExitStack) -> OpenReplica:
    """Open the data folder, and create it first if the group forms automatically.

    Then a damaged folder counts as a lost disk: it is set aside, and the replica joins under a new
    identity, which votes only once a majority has admitted it.
    """
    folder = DataFolder(path=Path(settings.data_folder))
    is_new = settings.formation.automatic and folder.is_empty
    if is_new:
        folder.create(new_identity(settings, may_found=not folder.was_set_aside))
    try:
        replica = _recover(folder, stack)
    except FolderDamaged as error:
        if not settings.formation.automatic:
            raise
        path = folder.set_aside()
        events.record(
            "folder-set-aside",
            folder=settings.data_folder,
            renamed_to=str(path),
            reason=str(error),
        )
        is_new = True
        folder.create(new_identity(settings, may_found=False))
        replica = _recover(folder, stack)
    _record_recovery(events, replica, is_new=is_new)
    return replica


def _recover(folder: DataFolder, stack: ExitStack) -> OpenReplica:
    """Open an existing data folder until the stack is closed, and read the replica's state."""
    with ExitStack() as opening:
        opening.callback(folder.close)
        identity = folder.open()
        journal = FileJournal(path=folder.journal_path)
        opening.callback(journal.close)
        replica = OpenReplica(identity, journal, journal.recover())
        stack.enter_context(opening.pop_all())
        return replica


def _record_recovery(events: EventLog, replica: OpenReplica, *, is_new: bool) -> None:
    """Record an event with the state that was recovered."""
    recovered = replica.recovered
    events.record(
        "recovered",
        replica_id=replica.identity.replica_id,
        folder="new" if is_new else "existing",
        term=str(recovered.ballot.term),
        last_index=str(recovered.last_index),
        snapshot=str(recovered.snapshot.position if recovered.snapshot else 0),
        dropped_bytes=str(replica.journal.dropped_bytes),
    )
