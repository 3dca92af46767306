"""A disk that takes no more bytes, for tests of what the storage code does then."""

import errno
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock


class FullDisk:
    """Refuses writes to files under a folder while it is full, after some bytes of the first."""

    def __init__(self, *, root: Path, room: int = 0) -> None:
        self._root = root
        self._room = room
        self.is_full = False

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Take the place of the system calls that write."""
        write, path_open = os.write, Path.open

        def limited_write(file: int, data: bytes) -> int:
            if not self.is_full or not self._contains(file):
                return write(file, data)
            if not self._room:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            part = bytes(data[: self._room])
            self._room -= len(part)
            return write(file, part)

        def limited_open(path: Path, mode: str = "r") -> object:
            if self.is_full and "w" in mode and path.is_relative_to(self._root):
                path_open(path, mode).close()
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return path_open(path, mode)

        with mock.patch("os.write", limited_write), mock.patch.object(Path, "open", limited_open):
            yield

    def _contains(self, file: int) -> bool:
        """Return whether an open file is under the folder."""
        return Path(os.readlink(f"/proc/self/fd/{file}")).is_relative_to(self._root)
