"""The framing of a chunked request body (RFC 9112 section 7.1)."""

import re
from enum import Enum
from typing import NamedTuple

from aiohttp.http_exceptions import BadHttpMessage

# Maximum size of a line with a chunk size, and of a trailer field.
MAX_LINE_BYTES = 16 << 10
# aiohttp's limit for the fields of a message.
MAX_TRAILERS = 128
_LINE_BREAK = b"\r\n"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e\x80-\xff]*)?")
_PLAIN_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})\r\n")
_TRAILER = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[\t\x20-\x7e\x80-\xff]*")
# aiohttp's parser refuses these as trailers, since a recipient may take them for framing.
_FRAMING_NAMES = frozenset({b"content-length", b"transfer-encoding"})


class _Part(Enum):
    """The part of a body that comes next."""

    SIZE_LINE = "size line"
    DATA = "data"
    DATA_END = "line break after data"
    TRAILERS = "trailers"
    NONE = "none"


class Filtered(NamedTuple):
    """Bytes of a body without its trailer fields, and the bytes that follow the body."""

    body: bytes
    rest: bytes


class ChunkedBody:
    """Finds the end of one body in the bytes received, and drops its trailer fields.

    A recipient may drop them (RFC 9110 section 6.5.1).
    """

    def __init__(self) -> None:
        self._part = _Part.SIZE_LINE
        # Bytes of the current chunk that are still to come.
        self._missing = 0
        self._trailers = 0
        # The start of a line whose end has not been received.
        self._incomplete = b""

    @property
    def is_whole(self) -> bool:
        """Return whether the end of the body has been received."""
        return self._part is _Part.NONE

    def filter(self, data: bytes) -> Filtered:
        """Filter the next bytes; raise BadHttpMessage if they break the framing."""
        if self._incomplete:
            data, self._incomplete = self._incomplete + data, b""
        # Everything before the trailers is passed on.
        passed = position = 0
        while self._part is not _Part.NONE:
            part = self._part
            if part is _Part.SIZE_LINE:
                passed = position = _skip_whole_chunks(data, position)
            end = self._skip_part(data, position)
            if end is None:
                break
            position = end
            if part is not _Part.TRAILERS:
                passed = end
        if self.is_whole:
            return Filtered(data[:passed] + _LINE_BREAK, data[position:])
        self._incomplete = data[position:]
        return Filtered(data[:passed], b"")

    def _skip_part(self, data: bytes, start: int) -> int | None:
        """Return where the part or line that starts here ends, or None if more bytes are needed."""
        match self._part:
            case _Part.SIZE_LINE:
                return self._skip_size_line(data, start)
            case _Part.DATA:
                return self._skip_data(data, start)
            case _Part.DATA_END:
                return self._skip_data_end(data, start)
            case _Part.TRAILERS:
                return self._skip_trailer(data, start)
            case _Part.NONE:
                return None

    def _skip_size_line(self, data: bytes, start: int) -> int | None:
        """Read the size of the next chunk."""
        end = _find_line_end(data, start)
        if end is None:
            return None
        line = _SIZE_LINE.fullmatch(data, start, end)
        if line is None:
            raise BadHttpMessage("a chunk size is invalid")
        self._missing = int(line[1], 16)
        self._part = _Part.DATA if self._missing else _Part.TRAILERS
        return end + len(_LINE_BREAK)

    def _skip_data(self, data: bytes, start: int) -> int | None:
        """Skip the data of a chunk that has been received."""
        end = min(start + self._missing, len(data))
        if end == start:
            return None
        self._missing -= end - start
        if not self._missing:
            self._part = _Part.DATA_END
        return end

    def _skip_data_end(self, data: bytes, start: int) -> int | None:
        """Skip the line break after the data of a chunk."""
        end = start + len(_LINE_BREAK)
        if data.startswith(_LINE_BREAK, start):
            self._part = _Part.SIZE_LINE
            return end
        if not _LINE_BREAK.startswith(data[start:end]):
            raise BadHttpMessage("a chunk is longer than its size")
        return None

    def _skip_trailer(self, data: bytes, start: int) -> int | None:
        """Skip a trailer field, or the empty line that ends the body."""
        end = _find_line_end(data, start)
        if end is None:
            return None
        if end == start:
            self._part = _Part.NONE
            return end + len(_LINE_BREAK)
        self._trailers += 1
        if self._trailers > MAX_TRAILERS:
            raise BadHttpMessage("there are too many trailer fields")
        trailer = _TRAILER.fullmatch(data, start, end)
        if trailer is None or trailer[1].lower() in _FRAMING_NAMES:
            raise BadHttpMessage("a trailer field is invalid")
        return end + len(_LINE_BREAK)


def _skip_whole_chunks(data: bytes, start: int) -> int:
    """Return where the chunks that start here and have been received whole end.

    Without this, a segment of very short chunks takes several times as long.
    """
    while line := _PLAIN_SIZE_LINE.match(data, start):
        size = int(line[1], 16)
        end = line.end() + size
        if not size or not data.startswith(_LINE_BREAK, end):
            break
        start = end + len(_LINE_BREAK)
    return start


def _find_line_end(data: bytes, start: int) -> int | None:
    """Return where the line that starts here ends, or None if its end has not been received."""
    limit = start + MAX_LINE_BYTES
    end = data.find(_LINE_BREAK, start, limit + len(_LINE_BREAK))
    if end >= 0:
        return end
    if len(data) > limit:
        raise BadHttpMessage("a line in a body is too long")
    return None
