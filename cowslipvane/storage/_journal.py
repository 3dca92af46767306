"""The journal of a replica: records with checksums, appended to a file and synced.

All that is written between two syncs has one checksum, so a crash leaves an incomplete end of one
record at most, and anything valid behind it shows damage.
"""

from __future__ import annotations

import asyncio
import errno
import os
import re
import struct
import zlib
from collections import deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import BinaryIO, NamedTuple

from cowslipvane.replica import Ballot, Entry, JournalFull, LogSnapshot, Recovered
from cowslipvane.storage._folder import (
    FolderDamaged,
    FolderUnreadable,
    sync_folder,
    write_file_atomically,
)
from cowslipvane.wire import Malformed, decode_as, encode_untagged

# A record is the length and CRC-32 of its body, then the body: a letter for the kind, and CBOR.
_HEADER = struct.Struct(">II")
# Length of each body in a batch, which has one checksum for all of them.
_ITEM_LENGTH = struct.Struct(">I")
_BALLOT = b"B"
_ENTRY = b"E"
_SNAPSHOT = b"S"
# First record of a compacted journal: the position that the snapshot must at least reach.
_SNAPSHOT_POSITION = b"P"
# The records that were written between two syncs, if there are several. A power loss may take one
# of them and leave those behind it, so they are recovered either together or not at all.
_BATCH = b"G"
_KINDS = (_BALLOT, _ENTRY, _SNAPSHOT, _SNAPSHOT_POSITION, _BATCH)
# Where a record shorter than 256 MiB may start.
_RECORD_START = re.compile(rb"(?=[\x00-\x0f].{7}[" + b"".join(_KINDS) + rb"])", re.DOTALL)


# The errors of a write that finds no room on the disk.
_FULL = frozenset({errno.ENOSPC, errno.EDQUOT})


class JournalFailed(Exception):
    """A write or sync failed, so the content of the file on disk is unknown."""


class _Compaction(NamedTuple):
    """An encoded snapshot record, and the journal records that follow it."""

    snapshot: bytes
    records: bytes


class FileJournal:
    """Journal in an append-only file, next to a file with a snapshot of compacted entries."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        created = not path.exists()
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if created:
            os.fsync(self._file)
            sync_folder(path.parent)
        self._pending: deque[bytes | _Compaction] = deque()
        self._recorded_count = 0
        self._synced_count = 0
        self._dropped_bytes = 0
        self._failure: OSError | None = None
        self._failed = asyncio.Event()
        self._full = asyncio.Event()
        # A single thread writes, so that records reach the file in the order of the calls.
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix="journal")

    @property
    def dropped_bytes(self) -> int:
        """Return the length of the incomplete end that recovery dropped."""
        return self._dropped_bytes

    def recover(self) -> Recovered:
        """Read the snapshot and the journal, truncate an incomplete last record, and sync the rest.

        A process that was killed between a write and its sync leaves records that the next power
        loss can take, and the replica relies on everything that is recovered. Raise FolderDamaged
        if bytes have changed, and FolderUnreadable if a whole record has no known meaning.
        """
        try:
            return self._recover()
        except Malformed as error:
            raise FolderUnreadable(
                f"{self._path} holds a record that this build can't read ({error}); start the"
                " build that wrote it, or replace this replica"
            ) from error

    def _recover(self) -> Recovered:
        """Return the state that recover reads."""
        snapshot = self._recover_snapshot()
        ballot = Ballot(0, None)
        entries: list[Entry] = []
        snapshot_position = end = 0
        with self._path.open("rb") as file:
            for record_end, kind, body in _read_records(file):
                end = record_end
                if kind == _BALLOT:
                    ballot = decode_as(Ballot, body)
                    continue
                if kind == _SNAPSHOT_POSITION:
                    snapshot_position = decode_as(int, body)
                    self._check_snapshot(snapshot, snapshot_position)
                    continue
                entry = decode_as(Entry, body)
                while entries and entries[-1].position >= entry.position:
                    entries.pop()
                entries.append(entry)
            file.seek(end)
            tail = file.read()
        if tail:
            self._truncate_tail(tail, end)
        os.fsync(self._file)
        os.lseek(self._file, end, os.SEEK_SET)
        later = self._entries_after_snapshot(entries, snapshot)
        if snapshot is not None and snapshot.position != snapshot_position:
            # A crash came between the snapshot and the journal. Entries that are appended to the
            # older journal could not be told from those in it that conflict with the snapshot.
            self._replace(_journal_records(snapshot.position, ballot, later))
        return Recovered(ballot, later, snapshot)

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""
        self._record(_BALLOT + encode_untagged(ballot))

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries; an entry replaces those recorded at its index and after."""
        for entry in entries:
            self._record(_ENTRY + encode_untagged(entry))

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Replace the journal by a snapshot, a ballot and the entries after the snapshot."""
        records = _journal_records(snapshot.position, ballot, entries)
        snapshot_record = _encode_record(_SNAPSHOT + encode_untagged(snapshot))
        self._pending.append(_Compaction(snapshot_record, records))
        self._recorded_count += 1

    async def sync(self) -> None:
        """Wait until everything recorded before the call is on disk.

        Raise JournalFull if there is no room for it now, and JournalFailed if the journal can't be
        written any more.
        """
        recorded_count = self._recorded_count
        if self._failure is None and self._synced_count >= recorded_count:
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._writer, self._write_pending)
        except JournalFull:
            self._full.set()
            raise
        except OSError as error:
            self._failed.set()
            raise JournalFailed(f"{self._path}: {error}") from error
        self._full.clear()

    async def wait_for_failure(self) -> None:
        """Wait for a failed write, then raise so that the process stops."""
        await self._failed.wait()
        raise JournalFailed(f"{self._path}: {self._failure}; the process must stop")

    async def wait_until_full(self) -> None:
        """Wait until a write has found the disk full."""
        await self._full.wait()

    def close(self) -> None:
        """Wait for running writes and close the file."""
        self._writer.shutdown()
        os.close(self._file)

    def _record(self, body: bytes) -> None:
        """Queue the body of a record for the next sync."""
        self._pending.append(body)
        self._recorded_count += 1

    def _write_pending(self) -> None:
        """Write and sync all queued records, in the writer thread."""
        # After a failed sync the kernel may have dropped the dirty pages, and a later sync could
        # succeed without them. So every sync after a failure fails too.
        if self._failure is not None:
            raise self._failure
        pending = [self._pending.popleft() for _ in range(len(self._pending))]
        if not pending:
            return
        try:
            bodies: list[bytes] = []
            for item in pending:
                match item:
                    case _Compaction():
                        # It contains all that was recorded before it.
                        bodies.clear()
                        self._compact(item)
                    case _:
                        bodies.append(item)
            if bodies:
                self._append(_encode_batch(bodies))
            os.fdatasync(self._file)
        except JournalFull:
            kept = _from_last_compaction(pending)
            self._pending.extendleft(reversed(kept))
            self._synced_count += len(pending) - len(kept)
            raise
        except OSError as error:
            self._failure = error
            raise
        self._synced_count += len(pending)

    def _append(self, record: bytes) -> None:
        """Write a record at the end of the file, or nothing of it if there is no room for all."""
        end = os.lseek(self._file, 0, os.SEEK_END)
        try:
            write_all(self._file, record)
        except OSError as error:
            if error.errno not in _FULL:
                raise
            os.ftruncate(self._file, end)
            os.lseek(self._file, end, os.SEEK_SET)
            raise JournalFull(f"{self._path}: {error}") from error

    def _compact(self, compaction: _Compaction) -> None:
        """Replace the snapshot, then the journal, so that a crash in between loses no entries."""
        try:
            write_file_atomically(self._snapshot_path, compaction.snapshot)
            self._replace(compaction.records)
        except OSError as error:
            if error.errno not in _FULL:
                raise
            raise JournalFull(f"{self._path}: {error}") from error

    def _replace(self, records: bytes) -> None:
        """Replace the journal by other records."""
        write_file_atomically(self._path, records)
        os.close(self._file)
        self._file = os.open(self._path, os.O_RDWR | os.O_APPEND)

    @property
    def _snapshot_path(self) -> Path:
        """Return the path of the snapshot."""
        return self._path.with_name("snapshot")

    def _recover_snapshot(self) -> LogSnapshot | None:
        """Return the snapshot, or None if there is no snapshot file."""
        if not self._snapshot_path.exists():
            return None
        body = _read_record(memoryview(self._snapshot_path.read_bytes()), 0)
        if body is None:
            raise FolderDamaged(f"{self._snapshot_path} is damaged; replace this replica")
        return decode_as(LogSnapshot, bytes(body[1:]))

    def _check_snapshot(self, snapshot: LogSnapshot | None, position: int) -> None:
        """Raise FolderDamaged if the snapshot doesn't reach the position the journal needs."""
        if snapshot is None or snapshot.position < position:
            raise FolderDamaged(
                f"{self._snapshot_path} is missing or too old; replace this replica"
            )

    def _entries_after_snapshot(
        self, entries: list[Entry], snapshot: LogSnapshot | None
    ) -> tuple[Entry, ...]:
        """Return the entries after the snapshot; raise FolderDamaged if some are missing."""
        base = snapshot.position if snapshot else 0
        covered = [entry for entry in entries if entry.position <= base]
        later = tuple(entry for entry in entries if entry.position > base)
        # After a crash the journal may be older than an installed snapshot and conflict with it.
        if (
            snapshot
            and covered
            and (covered[-1].position, covered[-1].term) != (base, snapshot.term)
        ):
            return ()
        if [entry.position for entry in later] != list(range(base + 1, base + 1 + len(later))):
            raise FolderDamaged(f"{self._path} lacks entries after {base}; replace this replica")
        return later

    def _truncate_tail(self, tail: bytes, end: int) -> None:
        """Truncate an incomplete last record; raise FolderDamaged if the damage is elsewhere."""
        if _has_record_after_start(tail):
            raise FolderDamaged(f"{self._path} is damaged at byte {end}; replace this replica")
        os.ftruncate(self._file, end)
        self._dropped_bytes = len(tail)


def _from_last_compaction(pending: list[bytes | _Compaction]) -> list[bytes | _Compaction]:
    """Return the records without those that a later compaction contains."""
    compactions = [at for at, item in enumerate(pending) if isinstance(item, _Compaction)]
    return pending[compactions[-1] :] if compactions else pending


def write_all(file: int, data: bytes) -> None:
    """Write all of the data, also if the system call writes only a part at a time."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(file, remaining) :]


def _encode_record(body: bytes) -> bytes:
    """Return a record with its length and checksum in front."""
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def _journal_records(snapshot_position: int, ballot: Ballot, entries: tuple[Entry, ...]) -> bytes:
    """Return the records of a journal that follows a snapshot."""
    bodies = [
        _SNAPSHOT_POSITION + encode_untagged(snapshot_position),
        _BALLOT + encode_untagged(ballot),
        *(_ENTRY + encode_untagged(entry) for entry in entries),
    ]
    return b"".join(_encode_record(body) for body in bodies)


def _encode_batch(bodies: list[bytes]) -> bytes:
    """Return a record with all bodies; one that is alone is the record itself."""
    if len(bodies) == 1:
        return _encode_record(bodies[0])
    items = b"".join(_ITEM_LENGTH.pack(len(body)) + body for body in bodies)
    return _encode_record(_BATCH + items)


def _read_items(body: bytes) -> Iterator[bytes]:
    """Yield the bodies in a record, which has several if it is a batch."""
    if body[:1] != _BATCH:
        yield body
        return
    start = len(_BATCH)
    while start < len(body):
        (length,) = _ITEM_LENGTH.unpack_from(body, start)
        start += _ITEM_LENGTH.size + length
        yield body[start - length : start]


def _read_record(data: memoryview, start: int) -> memoryview | None:
    """Return the body of the record at an offset, or None if it isn't complete and valid."""
    if start + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, start)
    body = data[start + _HEADER.size : start + _HEADER.size + length]
    if length == 0 or len(body) < length or bytes(body[:1]) not in _KINDS:
        return None
    return body if zlib.crc32(body) == checksum else None


def _read_records(file: BinaryIO) -> Iterator[tuple[int, bytes, bytes]]:
    """Yield the end, kind and content of each item, up to the first invalid record.

    One record at a time is in memory.
    """
    size = os.fstat(file.fileno()).st_size
    end = 0
    while (body := _read_next_record(file, size - end)) is not None:
        end += _HEADER.size + len(body)
        for item in _read_items(body):
            yield end, item[:1], item[1:]


def _read_next_record(file: BinaryIO, remaining: int) -> bytes | None:
    """Return the body of the next record, or None if it isn't complete and valid."""
    header = file.read(_HEADER.size)
    if len(header) < _HEADER.size:
        return None
    length, _ = _HEADER.unpack(header)
    if _HEADER.size + length > remaining:
        return None
    body = _read_record(memoryview(header + file.read(length)), 0)
    return None if body is None else bytes(body)


def _has_record_after_start(data: bytes) -> bool:
    """Return whether a valid record follows a damaged one at the start."""
    view = memoryview(data)
    starts = (match.start() for match in _RECORD_START.finditer(data, 1))
    return any(_read_record(view, start) is not None for start in starts)
