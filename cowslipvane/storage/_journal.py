"""The journal of a replica: checksummed records, appended and synced."""

from __future__ import annotations

import asyncio
import os
import struct
import zlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from cowslipvane.replica import Ballot, Entry, Recovered
from cowslipvane.storage._folder import FolderDamaged, sync_folder
from cowslipvane.wire import decode_as, encode_plain

# Length and CRC-32 of a record's body, then the body: one letter of kind, then CBOR.
_HEADER = struct.Struct(">II")
_BALLOT = b"B"
_ENTRY = b"E"


class FileJournal:
    """Ballots and entries in one append-only file."""

    def __init__(self, *, path: Path) -> None:
        self._path = path
        created = not path.exists()
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if created:
            os.fsync(self._file)
            sync_folder(path.parent)
        self._pending: list[bytes] = []
        self._disk = ThreadPoolExecutor(max_workers=1, thread_name_prefix="journal")

    def recover(self) -> Recovered:
        """Read the journal back and cut a torn tail."""
        data = self._path.read_bytes()
        ballot = Ballot(0, None)
        entries: list[Entry] = []
        end = 0
        for record_end, kind, body in _records(data):
            end = record_end
            if kind == _BALLOT:
                ballot = decode_as(Ballot, body)
                continue
            entry = decode_as(Entry, body)
            del entries[entry.position - 1 :]
            entries.append(entry)
        if end < len(data):
            self._cut_tail(data, end)
        os.lseek(self._file, end, os.SEEK_SET)
        return Recovered(ballot, tuple(entries))

    def record_ballot(self, ballot: Ballot) -> None:
        """Record a new ballot."""
        self._pending.append(_framed(_BALLOT + encode_plain(ballot)))

    def record_entries(self, entries: tuple[Entry, ...]) -> None:
        """Record entries; an entry replaces all at its index and after."""
        self._pending.extend(_framed(_ENTRY + encode_plain(entry)) for entry in entries)

    async def sync(self) -> None:
        """Return once everything recorded before the call is on the disk."""
        # One thread writes in order, so a sync also covers what earlier calls handed over.
        data, self._pending = b"".join(self._pending), []
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._disk, self._write, data)

    def close(self) -> None:
        """Finish writing and close the file."""
        self._disk.shutdown()
        os.close(self._file)

    def _write(self, data: bytes) -> None:
        """Append and sync on the disk's thread."""
        if data:
            os.write(self._file, data)
            os.fdatasync(self._file)

    def _cut_tail(self, data: bytes, end: int) -> None:
        """Cut a record that a crash left torn; refuse damage before the last record."""
        if any(True for _ in _records_after_damage(data, end)):
            raise FolderDamaged(f"{self._path} is damaged at byte {end}; replace this replica")
        os.ftruncate(self._file, end)
        os.fsync(self._file)


def _framed(body: bytes) -> bytes:
    """Return a record with its length and checksum."""
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def _records(data: bytes) -> Iterator[tuple[int, bytes, bytes]]:
    """Yield the end, kind and body of each whole record up to the first that isn't."""
    start = 0
    while start + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, start)
        start += _HEADER.size
        body = data[start : start + length]
        if length == 0 or len(body) < length or zlib.crc32(body) != checksum:
            return
        start += length
        yield start, body[:1], body[1:]


def _records_after_damage(data: bytes, end: int) -> Iterator[tuple[int, bytes, bytes]]:
    """Yield whole records that stand behind a damaged one."""
    for start in range(end + 1, len(data)):
        yield from _records(data[start:])
