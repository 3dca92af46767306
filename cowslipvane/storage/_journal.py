"""The journal of a replica: checksummed records, appended and synced."""

from __future__ import annotations

import asyncio
import os
import struct
import zlib
from collections import deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from cowslipvane.replica import Ballot, Entry, LogSnapshot, Recovered
from cowslipvane.storage._folder import FolderDamaged, sync_folder, write_synced
from cowslipvane.wire import decode_as, encode_untagged

# Length and CRC-32 of a record's body, then the body: one letter of kind, then CBOR.
_HEADER = struct.Struct(">II")
_BALLOT = b"B"
_ENTRY = b"E"
_SNAPSHOT = b"S"
# Opens a journal that needs a snapshot up to at least this position.
_BASE = b"P"
_KINDS = (_BALLOT, _ENTRY, _SNAPSHOT, _BASE)


class JournalFailed(Exception):
    """The disk refused a write or a sync; what it holds since then isn't known."""


class _Compaction(NamedTuple):
    """A framed snapshot, and the records that follow it."""

    snapshot: bytes
    records: bytes


class FileJournal:
    """Ballots and entries in one append-only file, and beside it a snapshot of older entries."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        created = not path.exists()
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if created:
            os.fsync(self._file)
            sync_folder(path.parent)
        self._pending: deque[bytes | _Compaction] = deque()
        self._recorded = 0
        self._synced = 0
        self._failure: OSError | None = None
        self._failed = asyncio.Event()
        # One thread writes, so records reach the file in the order of the calls.
        self._disk = ThreadPoolExecutor(max_workers=1, thread_name_prefix="journal")

    def recover(self) -> Recovered:
        """Read snapshot and journal back and cut a torn tail."""
        data = self._path.read_bytes()
        snapshot = self._recover_snapshot()
        ballot = Ballot(0, None)
        entries: list[Entry] = []
        end = 0
        for record_end, kind, body in _records(data):
            end = record_end
            if kind == _BALLOT:
                ballot = decode_as(Ballot, body)
                continue
            if kind == _BASE:
                self._check_base(snapshot, decode_as(int, body))
                continue
            entry = decode_as(Entry, body)
            while entries and entries[-1].position >= entry.position:
                entries.pop()
            entries.append(entry)
        if end < len(data):
            self._cut_tail(data, end)
        os.lseek(self._file, end, os.SEEK_SET)
        return Recovered(ballot, self._after_snapshot(entries, snapshot), snapshot)

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""
        self._record(_BALLOT + encode_untagged(ballot))

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries; an entry replaces all at its index and after."""
        for entry in entries:
            self._record(_ENTRY + encode_untagged(entry))

    def record_snapshot(
        self, snapshot: LogSnapshot, ballot: Ballot, entries: tuple[Entry, ...]
    ) -> None:
        """Record a snapshot, and begin the record anew with a ballot and the later entries."""
        records = [_framed(_BASE + encode_untagged(snapshot.position))]
        records.append(_framed(_BALLOT + encode_untagged(ballot)))
        records += [_framed(_ENTRY + encode_untagged(entry)) for entry in entries]
        framed = _framed(_SNAPSHOT + encode_untagged(snapshot))
        self._pending.append(_Compaction(framed, b"".join(records)))
        self._recorded += 1

    async def sync(self) -> None:
        """Return once everything recorded before the call is on the disk, or raise."""
        recorded = self._recorded
        if self._failure is None and self._synced >= recorded:
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._disk, self._write_pending)
        except OSError as error:
            self._failed.set()
            raise JournalFailed(f"{self._path}: {error}") from error

    async def wait_for_failure(self) -> None:
        """Wait for a failed write and raise, so that the process stops."""
        await self._failed.wait()
        raise JournalFailed(f"{self._path}: {self._failure}; the process must stop")

    def close(self) -> None:
        """Finish writing and close the file."""
        self._disk.shutdown()
        os.close(self._file)

    def _record(self, body: bytes) -> None:
        """Put a record behind those that wait to be written."""
        self._pending.append(_framed(body))
        self._recorded += 1

    def _write_pending(self) -> None:
        """Append and sync, on the disk's thread, all that is recorded."""
        # After a failed sync the system may have dropped the pages, and the next sync would
        # pass without them; so a failure is for good.
        if self._failure is not None:
            raise self._failure
        records = [self._pending.popleft() for _ in range(len(self._pending))]
        if not records:
            return
        try:
            for record in records:
                match record:
                    case _Compaction():
                        self._compact(record)
                    case _:
                        write_whole(self._file, record)
            os.fdatasync(self._file)
        except OSError as error:
            self._failure = error
            raise
        self._synced += len(records)

    def _compact(self, compaction: _Compaction) -> None:
        """Replace the snapshot, and only then the journal that it makes shorter."""
        write_synced(self._snapshot_path, compaction.snapshot)
        write_synced(self._path, compaction.records)
        os.close(self._file)
        self._file = os.open(self._path, os.O_RDWR | os.O_APPEND)

    @property
    def _snapshot_path(self) -> Path:
        """Return where the snapshot is."""
        return self._path.with_name("snapshot")

    def _recover_snapshot(self) -> LogSnapshot | None:
        """Return the snapshot, if one was ever taken."""
        if not self._snapshot_path.exists():
            return None
        body = _record_at(memoryview(self._snapshot_path.read_bytes()), 0)
        if body is None:
            raise FolderDamaged(f"{self._snapshot_path} is damaged; replace this replica")
        return decode_as(LogSnapshot, bytes(body[1:]))

    def _check_base(self, snapshot: LogSnapshot | None, position: int) -> None:
        """Raise when the snapshot doesn't reach as far as the journal needs."""
        if snapshot is None or snapshot.position < position:
            raise FolderDamaged(f"{self._snapshot_path} is lost; replace this replica")

    def _after_snapshot(
        self, entries: list[Entry], snapshot: LogSnapshot | None
    ) -> tuple[Entry, ...]:
        """Return the entries that follow the snapshot; raise when some are missing."""
        base = snapshot.position if snapshot else 0
        known = [entry for entry in entries if entry.position <= base]
        later = tuple(entry for entry in entries if entry.position > base)
        # A crash may have left the journal from before an installed snapshot, which says otherwise.
        if snapshot and known and (known[-1].position, known[-1].term) != (base, snapshot.term):
            return ()
        if [entry.position for entry in later] != list(range(base + 1, base + 1 + len(later))):
            raise FolderDamaged(f"{self._path} lacks entries after {base}; replace this replica")
        return later

    def _cut_tail(self, data: bytes, end: int) -> None:
        """Cut a record that a crash left torn; refuse damage before the last record."""
        if _has_record_after(data, end):
            raise FolderDamaged(f"{self._path} is damaged at byte {end}; replace this replica")
        os.ftruncate(self._file, end)
        os.fsync(self._file)


def write_whole(file: int, data: bytes) -> None:
    """Write all of the data, also where the system takes a part at a time."""
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]


def _framed(body: bytes) -> bytes:
    """Return a record with its length and checksum."""
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def _record_at(data: memoryview, start: int) -> memoryview | None:
    """Return the body of the whole record that starts here, or None."""
    if start + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, start)
    body = data[start + _HEADER.size : start + _HEADER.size + length]
    if length == 0 or len(body) < length or bytes(body[:1]) not in _KINDS:
        return None
    return body if zlib.crc32(body) == checksum else None


def _records(data: bytes) -> Iterator[tuple[int, bytes, bytes]]:
    """Yield the end, kind and body of each whole record up to the first that isn't."""
    start = 0
    while (body := _record_at(memoryview(data), start)) is not None:
        start += _HEADER.size + len(body)
        yield start, bytes(body[:1]), bytes(body[1:])


def _has_record_after(data: bytes, end: int) -> bool:
    """Return whether a whole record stands behind a damaged one."""
    # Only the torn last write is searched to its end: elsewhere the next record ends the search.
    view = memoryview(data)
    return any(_record_at(view, start) is not None for start in range(end + 1, len(data)))
