"""A simulated disk that keeps only what was synced when the power is lost.

Its files are those of a real folder, which stands for the page cache: a killed process leaves them
as they are. What was synced is recorded beside it. A power loss replaces the folder by what was
synced, and by those writes, names and truncations since then that happen to have reached the disk.
"""

import os
import random
import shutil
import stat
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple
from unittest import mock

# Parts of a write reach the disk on their own at multiples of this offset.
PAGE_BYTES = 512
# Share of power losses that take everything that wasn't synced.
ALL_LOST_SHARE = 0.3


class ProcessKilled(BaseException):
    """The process was killed inside a system call."""


class _Inode(NamedTuple):
    """A file or folder, whichever names it has."""

    device: int
    number: int


class SimulatedDisk:
    """Tracks what is durable of the files under a folder, while its system calls are installed."""

    def __init__(self, *, root: Path) -> None:
        self._root = root
        self._contents: dict[_Inode, bytes] = {}
        self._names: dict[_Inode, dict[str, _Inode]] = {}
        self._write_starts: dict[_Inode, set[int]] = {}
        # An inode whose last name is gone would be used again for another file.
        self._held: dict[_Inode, int] = {}
        # The process is killed instead of the sync after this many, or never if it is None.
        self.kill_after_syncs: int | None = None
        self.stalled_sync_count = 0
        self._passes_syncs = threading.Event()
        self._passes_syncs.set()
        self._record_all_as_durable()

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Observe writes and syncs of this process, for files under the folder."""
        write, fsync, fdatasync = os.write, os.fsync, os.fdatasync

        def observed_write(file: int, data: bytes) -> int:
            if self._contains(file):
                start = os.lseek(file, 0, os.SEEK_CUR)
                self._write_starts.setdefault(self._hold(file), set()).add(start)
            return write(file, data)

        def observed_fsync(file: int) -> None:
            if self._contains(file):
                self._sync(file)
            else:
                fsync(file)

        def observed_fdatasync(file: int) -> None:
            if self._contains(file):
                self._sync(file)
            else:
                fdatasync(file)

        with (
            mock.patch("os.write", observed_write),
            mock.patch("os.fsync", observed_fsync),
            mock.patch("os.fdatasync", observed_fdatasync),
        ):
            yield

    def stall_syncs(self) -> None:
        """Let each sync wait from now on, behind a write that only the page cache holds."""
        self._passes_syncs.clear()

    def kill_stalled_syncs(self) -> None:
        """Kill the process in each sync that waits, and let later syncs pass."""
        self._passes_syncs.set()

    def lose_power(self, rng: random.Random) -> None:
        """Replace the folder by what a power loss leaves of it; no file may be open any more."""
        all_lost = rng.random() < ALL_LOST_SHARE
        remaining = self._root.with_name(f"{self._root.name}.remaining")
        remaining.mkdir()
        self._copy_remaining(self._root, remaining, rng, all_lost)
        shutil.rmtree(self._root)
        remaining.rename(self._root)
        self._forget()
        self._record_all_as_durable()

    def wipe(self) -> None:
        """Replace the folder by an empty one, as a new disk."""
        shutil.rmtree(self._root)
        self._root.mkdir()
        self._forget()
        self._record_all_as_durable()

    def close(self) -> None:
        """Close the files that are held open."""
        self._forget()

    def _sync(self, file: int) -> None:
        """Record the content of a file, or the names in a folder, as durable."""
        if not self._passes_syncs.is_set():
            self.stalled_sync_count += 1
            self._passes_syncs.wait()
            raise ProcessKilled
        if self.kill_after_syncs is not None:
            self.kill_after_syncs -= 1
            if self.kill_after_syncs < 0:
                self.kill_after_syncs = None
                raise ProcessKilled
        inode = self._hold(file)
        if stat.S_ISDIR(os.fstat(file).st_mode):
            path = _path_of(file)
            self._names[inode] = {child.name: self._hold_path(child) for child in path.iterdir()}
            return
        self._contents[inode] = _path_of(file).read_bytes()
        self._write_starts.pop(inode, None)

    def _copy_remaining(
        self, source: Path, target: Path, rng: random.Random, all_lost: bool
    ) -> None:
        """Copy what remains of a folder after a power loss."""
        durable = self._names.get(_inode_of(source.stat()), {})
        current = {child.name: self._hold_path(child) for child in source.iterdir()}
        for name in sorted(durable.keys() | current.keys()):
            keeps_current = durable.get(name) == current.get(name) or (
                not all_lost and rng.random() < 0.5
            )
            inode = current.get(name) if keeps_current else durable.get(name)
            if inode is None:
                continue
            path = Path(f"/proc/self/fd/{self._held[inode]}")
            if path.is_dir():
                (target / name).mkdir()
                self._copy_remaining(path, target / name, rng, all_lost)
            else:
                content = self._remaining_content(inode, path.read_bytes(), rng, all_lost)
                (target / name).write_bytes(content)

    def _remaining_content(
        self, inode: _Inode, current: bytes, rng: random.Random, all_lost: bool
    ) -> bytes:
        """Return what remains of a file: each part that changed since its sync is old or new."""
        durable = self._contents.get(inode, b"")
        if all_lost or durable == current:
            return durable
        length = rng.choice((len(durable), len(current), rng.randint(0, len(current))))
        length = max(length, min(len(durable), len(current)))
        remaining = bytearray(durable[:length].ljust(length, b"\0"))
        starts = self._write_starts.get(inode, set()) | set(range(0, length, PAGE_BYTES))
        starts |= {rng.randint(0, length)}
        bounds = sorted({0, length, *(start for start in starts if start < length)})
        for start, end in zip(bounds, bounds[1:], strict=False):
            if rng.random() < 0.5:
                part = current[start:end]
                remaining[start : start + len(part)] = part
        return bytes(remaining)

    def _record_all_as_durable(self) -> None:
        """Record everything in the folder as durable."""
        for path in (self._root, *self._root.rglob("*")):
            inode = self._hold_path(path)
            if path.is_dir():
                self._names[inode] = {
                    child.name: self._hold_path(child) for child in path.iterdir()
                }
            else:
                self._contents[inode] = path.read_bytes()

    def _forget(self) -> None:
        """Forget what is known of the files."""
        for file in self._held.values():
            os.close(file)
        for known in (self._contents, self._names, self._write_starts, self._held):
            known.clear()

    def _contains(self, file: int) -> bool:
        """Return whether an open file is under the folder."""
        path = _path_of(file)
        return path == self._root or self._root in path.parents

    def _hold(self, file: int) -> _Inode:
        """Keep an open file's inode, and return it."""
        inode = _inode_of(os.fstat(file))
        if inode not in self._held:
            self._held[inode] = os.open(f"/proc/self/fd/{file}", os.O_RDONLY)
        return inode

    def _hold_path(self, path: Path) -> _Inode:
        """Keep the inode of a path, and return it."""
        file = os.open(path, os.O_RDONLY)
        try:
            return self._hold(file)
        finally:
            os.close(file)


def _inode_of(status: os.stat_result) -> _Inode:
    """Return the inode that a status belongs to."""
    return _Inode(status.st_dev, status.st_ino)


def _path_of(file: int) -> Path:
    """Return the path of an open file."""
    return Path(os.readlink(f"/proc/self/fd/{file}"))
