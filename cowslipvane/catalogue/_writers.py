"""The last writers of resources, by which changes conflict."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from cowslipvane.catalogue._resources import Key
from cowslipvane.sizes import message_size
from cowslipvane.types import NO_VERSION, OperationId, Version

# Size in messages of the writers of deleted resources that are kept; those of the resources that
# were deleted first are forgotten above that.
MAX_DELETED_BYTES = 2 << 20
# In a snapshot, the writer of no resource names the newest version of those that are forgotten.
_FORGOTTEN = Key("", "")
_UNKNOWN = OperationId("")


class LastWrite(NamedTuple):
    """The operation that last wrote or deleted a resource, and the version it made.

    The operation is empty if there was none, or if it is forgotten; then no later version wrote
    the resource.
    """

    operation_id: OperationId
    version: Version


class Writers:
    """The last writer of each resource, also of those that were deleted not long ago."""

    def __init__(self) -> None:
        self._writes: dict[Key, LastWrite] = {}
        # The size of the writer of each deleted resource, the first deleted first.
        self._deleted: dict[Key, int] = {}
        self._deleted_bytes = 0
        self._forgotten_version = NO_VERSION

    def last_write(self, key: Key) -> LastWrite:
        """Return the last write of a resource, or of any that may have been the last."""
        return self._writes.get(key, LastWrite(_UNKNOWN, self._forgotten_version))

    def record_put(self, key: Key, write: LastWrite) -> None:
        """Record that a resource was written."""
        self._deleted_bytes -= self._deleted.pop(key, 0)
        self._writes[key] = write

    def record_delete(self, key: Key, write: LastWrite) -> None:
        """Record that a resource was deleted, and forget the first deletions above the limit."""
        self.record_put(key, write)
        self._add_deleted(key)
        while self._deleted_bytes > MAX_DELETED_BYTES:
            self._forget_first()

    def export(self) -> dict[Key, LastWrite]:
        """Return all writers, from which restore makes the same state."""
        if self._forgotten_version == NO_VERSION:
            return dict(self._writes)
        forgotten = LastWrite(_UNKNOWN, self._forgotten_version)
        return {**self._writes, _FORGOTTEN: forgotten}

    def restore(self, writes: Mapping[Key, LastWrite], existing: Mapping[Key, object]) -> None:
        """Replace the state by an exported one; existing has the keys that aren't deleted."""
        self._writes = dict(writes)
        self._forgotten_version = self._writes.pop(_FORGOTTEN, LastWrite(_UNKNOWN, NO_VERSION))[1]
        self._deleted.clear()
        self._deleted_bytes = 0
        deleted = [key for key in self._writes if key not in existing]
        for key in sorted(deleted, key=lambda key: (self._writes[key].version, key)):
            self._add_deleted(key)

    def _add_deleted(self, key: Key) -> None:
        """Add the writer of a resource to those of deleted ones, as the newest."""
        size = message_size((key, self._writes[key]))
        self._deleted[key] = size
        self._deleted_bytes += size

    def _forget_first(self) -> None:
        """Forget the writer of the resource that was deleted first."""
        key = next(iter(self._deleted))
        self._deleted_bytes -= self._deleted.pop(key)
        self._forgotten_version = max(self._forgotten_version, self._writes.pop(key).version)
