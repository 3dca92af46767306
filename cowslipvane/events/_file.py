"""The event file of one process: JSON lines, bounded in size, with one rotated file."""

from __future__ import annotations

import contextlib
import json
import logging
from collections import deque
from collections.abc import Iterable
from logging.handlers import RotatingFileHandler
from pathlib import Path

from cowslipvane.events._event import EventForm
from cowslipvane.settings import Settings

# Bytes to read for each event at the end of a file; events are about half as long.
_BYTES_PER_EVENT = 1024


class EventFile:
    """Appends events to a file, which is rotated when it reaches its size limit."""

    def __init__(self, *, path: Path, max_bytes: int) -> None:
        # Imported here because only a process with an event file needs it.
        from pythonjsonlogger.json import JsonFormatter  # noqa: PLC0415

        self._path = path
        self._handler = _RotatingHandler(path=path, max_bytes=max_bytes)
        self._handler.setFormatter(JsonFormatter("%(message)s"))

    @property
    def dropped(self) -> int:
        """Return how many events were deleted with rotated files."""
        return self._handler.dropped

    @property
    def failed(self) -> int:
        """Return how many events could not be written, as on a full disk."""
        return self._handler.failed

    def write(self, forms: Iterable[EventForm]) -> None:
        """Append events."""
        for form in forms:
            fields = {"msg": form["kind"], "levelno": logging.INFO, "event": form}
            self._handler.handle(logging.makeLogRecord(fields))

    def tail(self, count: int) -> list[EventForm]:
        """Return the newest events of the files, oldest first."""
        paths = [rotated_path(self._path), self._path]
        return list(deque(read_events(paths, last_bytes=count * _BYTES_PER_EVENT), maxlen=count))

    def close(self) -> None:
        """Close the file."""
        self._handler.close()


class _RotatingHandler(RotatingFileHandler):
    """Keeps one rotated file, and counts the lines deleted with the one before it."""

    def __init__(self, *, path: Path, max_bytes: int) -> None:
        self.dropped = 0
        self.failed = 0
        self._lines, self._rotated_lines = _count_lines(path), _count_lines(rotated_path(path))
        super().__init__(path, maxBytes=max_bytes, backupCount=1, encoding="utf-8")

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        self._lines += 1
        super().emit(record)

    def doRollover(self) -> None:  # noqa: N802
        """Rotate the file, and start a new one with the line that is being written."""
        super().doRollover()
        self.dropped += self._rotated_lines
        self._rotated_lines, self._lines = self._lines - 1, 1

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Count a line that could not be written; its event is still in memory."""
        self.failed += 1
        # The buffer of an open stream would grow with every line that can't be written.
        stream, self.stream = self.stream, None
        if stream is not None:
            with contextlib.suppress(OSError):
                stream.close()


def rotated_path(path: Path) -> Path:
    """Return the path of the rotated file that belongs to an event file."""
    return path.with_name(f"{path.name}.1")


def read_events(paths: Iterable[Path], last_bytes: int | None = None) -> Iterable[EventForm]:
    """Yield the events in files, skipping truncated and damaged lines.

    If last_bytes is given, only that many bytes at the end of each file are read.
    """
    for path in paths:
        if not path.is_file():
            continue
        with path.open("rb") as lines:
            if last_bytes is not None:
                lines.seek(max(0, path.stat().st_size - last_bytes))
            for line in lines:
                form = _parse_line(line)
                if form is not None:
                    yield form


def _parse_line(line: bytes) -> EventForm | None:
    """Return the event in a line, or None if the line holds no complete event."""
    try:
        form: EventForm = json.loads(line)["event"]
        is_complete = form.keys() >= EventForm.__required_keys__
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    return form if is_complete else None


def _count_lines(path: Path) -> int:
    """Return how many lines a file has, 0 if it doesn't exist."""
    if not path.is_file():
        return 0
    with path.open("rb") as lines:
        return sum(1 for _ in lines)


def open_event_file(settings: Settings) -> EventFile | None:
    """Open the event file that the settings of a process name, if they name one."""
    if not settings.event_file:
        return None
    max_bytes = int(settings.limits.event_file_bytes)
    return EventFile(path=Path(settings.event_file), max_bytes=max_bytes)
