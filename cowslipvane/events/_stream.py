"""Events as JSON lines on standard output; a stalled reader never blocks the process."""

from __future__ import annotations

import contextlib
import json
import os
import select
import zlib
from collections import Counter, deque
from collections.abc import Iterable

from cowslipvane.events._event import EventForm

# Lines buffered while the reader is stalled; more are dropped, routine events first.
MAX_BUFFERED_LINES = 2000
# Routine events are written for one request in this many; every process selects the same requests.
REQUESTS_PER_SAMPLE = 50
# Kinds of routine events, whose number grows with the load; all other kinds are always written.
ROUTINE_KINDS = frozenset({"attempt", "verdict", "answered"})
_CHUNK_BYTES = 32 << 10


class EventStream:
    """Writes events to a file descriptor, which may be a pipe with a stalled reader."""

    def __init__(self, *, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._partial = b""
        self._dropped = 0
        self._unreported: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped because the reader was stalled."""
        return self._dropped

    def write(self, forms: Iterable[EventForm]) -> None:
        """Buffer events, and write as much as the descriptor accepts without blocking."""
        for form in forms:
            self._append(form)
        self._flush()

    def _append(self, form: EventForm) -> None:
        """Buffer an event's line, unless it is routine and not sampled, or the buffer is full."""
        routine = form["kind"] in ROUTINE_KINDS
        if routine and not is_sampled(form["request"]):
            return
        limit = MAX_BUFFERED_LINES // 2 if routine else MAX_BUFFERED_LINES
        if len(self._buffer) >= limit:
            self._dropped += 1
            self._unreported[form["kind"]] += 1
            return
        if self._unreported:
            notice = {"kind": "log-dropped", "detail": dict(self._unreported)}
            self._buffer.append(_line(notice))
            self._unreported.clear()
        self._buffer.append(_line(form))

    def _flush(self) -> None:
        """Write buffered lines while the descriptor is ready."""
        while self._buffer or self._partial:
            if not self._partial:
                lines = []
                size = 0
                while self._buffer and size < _CHUNK_BYTES:
                    lines.append(self._buffer.popleft())
                    size += len(lines[-1])
                self._partial = b"".join(lines)
            with contextlib.suppress(OSError):
                if not select.select([], [self._descriptor], [], 0)[1]:
                    return
                # A pipe that is ready accepts at least PIPE_BUF bytes without blocking.
                written = os.write(self._descriptor, self._partial[: select.PIPE_BUF])
                self._partial = self._partial[written:]
                continue
            return


def is_sampled(request: str) -> bool:
    """Return whether a request's routine events are written; every process decides the same."""
    return zlib.crc32(request.encode("utf-8", "replace")) % REQUESTS_PER_SAMPLE == 0


def _line(form: object) -> bytes:
    """Return one JSON line."""
    return json.dumps({"event": form}, separators=(",", ":")).encode() + b"\n"
