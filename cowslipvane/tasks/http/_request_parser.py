"""Parsing of requests one at a time.

aiohttp's parser keeps the last trailer field of a chunked body, and adds it to the fields of the
next request on the connection. So the parser is given no trailer fields.
"""

from typing import Any, NamedTuple, Protocol

from aiohttp import EMPTY_PAYLOAD, StreamReader, hdrs
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE

from cowslipvane.tasks.http._chunked_body import ChunkedBody

_HEAD_END = b"\r\n\r\n"
_LINE_BREAK_BYTES = b"\r\n"


# A request and its body.
ParsedMessage = tuple[RawRequestMessage, StreamReader]


class Parsed(NamedTuple):
    """Requests, whether the last one asks for another protocol, and the bytes behind that one."""

    messages: list[ParsedMessage]
    is_upgrade: bool
    tail: bytes


class AiohttpParser(Protocol):
    """What a connection uses of aiohttp's parser."""

    def feed_data(self, data: bytes) -> Any: ...
    def message_consumed(self) -> None: ...
    def pause_reading(self) -> None: ...
    def set_upgraded(self, val: bool) -> None: ...


class _Head(NamedTuple):
    """The part before the body; its last bytes received may be the start of its end."""

    last: bytes


_HEAD = _Head(b"")


class _SizedBody(NamedTuple):
    """A body with a length, of which some bytes are still to come."""

    missing: int


class RequestParser:
    """Gives aiohttp's parser whole heads and filtered bodies, so that it never gets a trailer.

    It takes the place of that parser in a connection. Bytes behind a request are held until the
    parser has completed that one, and while the queue of requests is full. A connection reads
    nothing meanwhile, and then calls feed_data without data. If the parser sees the end of a
    request anywhere else, the connection receives no more.
    """

    def __init__(self, *, parser: AiohttpParser) -> None:
        self._parser = parser
        self._part: _Head | _SizedBody | ChunkedBody = _HEAD
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._held = b""
        self._queued = 0
        self._error: HttpProcessingError | None = None

    def feed_data(self, data: bytes) -> Parsed:
        """Parse the next bytes; raise HttpProcessingError from the first invalid one on."""
        if self._error is not None:
            raise BadHttpMessage(self._error.message)
        try:
            return self._parse(bytes(data))
        except HttpProcessingError as error:
            self._error = error
            self._held = b""
            raise

    def message_consumed(self) -> None:
        """Make room in the queue of requests."""
        self._queued = max(0, self._queued - 1)

    def pause_reading(self) -> None:
        """Parse no more of the current body until the next call of feed_data."""
        self._parser.pause_reading()

    def set_upgraded(self, val: bool) -> None:
        """Parse requests again, after one that asked for another protocol in vain."""
        self._parser.set_upgraded(val)

    @property
    def _must_wait(self) -> bool:
        """Return whether the next head must not be parsed yet."""
        return self._queued >= MAX_MSG_QUEUE_SIZE or not self._payload.is_eof()

    def _parse(self, data: bytes) -> Parsed:
        """Parse what was held and the next bytes, part by part."""
        messages: list[ParsedMessage] = []
        rest, self._held = self._held + data, b""
        # The parser may have paused within a body.
        tail = None if data else self._feed(b"", messages)
        while rest and tail is None:
            match self._part:
                case _Head(last=last):
                    if self._must_wait:
                        self._hold(rest)
                        break
                    rest, tail = self._parse_head(last, rest, messages)
                case _SizedBody(missing=missing):
                    piece, rest = rest[:missing], rest[missing:]
                    tail = self._parse_body(piece, messages)
                    missing -= len(piece)
                    self._part = _SizedBody(missing) if missing else _HEAD
                case ChunkedBody() as body:
                    piece, rest = body.filter(rest)
                    tail = self._parse_body(piece, messages)
                    self._part = _HEAD if body.is_whole else body
        if tail is None:
            return Parsed(messages, False, b"")
        self._part, self._payload = _HEAD, EMPTY_PAYLOAD
        return Parsed(messages, True, tail + rest)

    def _hold(self, data: bytes) -> None:
        """Keep bytes behind a request, unless its body has failed and never ends."""
        if self._payload.is_eof() or self._payload.exception() is None:
            self._held = data

    def _parse_head(
        self, last: bytes, data: bytes, messages: list[ParsedMessage]
    ) -> tuple[bytes, bytes | None]:
        """Parse a head as far as it has been received; return what is behind it, and the tail."""
        if not last and data[0] in _LINE_BREAK_BYTES:
            # A parser ignores empty lines before a request.
            rest = data.lstrip(_LINE_BREAK_BYTES)
            return rest, self._feed(data[: len(data) - len(rest)], messages)
        found = (last + data).find(_HEAD_END)
        if found < 0:
            self._part = _Head((last + data)[-len(_HEAD_END) + 1 :])
            return b"", self._feed(data, messages)
        end = found + len(_HEAD_END) - len(last)
        count = len(messages)
        # The queue and the body before this head leave the parser no reason to pause.
        tail = self._feed(data[:end], messages, may_begin=True)
        if tail is None and len(messages) == count:
            raise BadHttpMessage("a head has no end")
        return data[end:], tail

    def _parse_body(self, piece: bytes, messages: list[ParsedMessage]) -> bytes | None:
        """Parse the next bytes of a body, and return the tail."""
        if self._payload.is_eof():
            raise BadHttpMessage("a body is shorter than its framing")
        return self._feed(piece, messages)

    def _feed(
        self, data: bytes, messages: list[ParsedMessage], *, may_begin: bool = False
    ) -> bytes | None:
        """Give bytes to the parser; return the tail behind a request for another protocol."""
        begun, is_upgrade, tail = self._parser.feed_data(data)
        if begun:
            if len(begun) > may_begin:
                raise BadHttpMessage("a request begins within another one")
            messages += begun
            self._begin(*begun[0])
        return tail if is_upgrade else None

    def _begin(self, message: RawRequestMessage, payload: StreamReader) -> None:
        """Begin with the body of a request."""
        self._queued += 1
        # The parser has its own limit of the queue. It loses the bytes behind a request for another
        # protocol if it pauses at that one.
        self._parser.message_consumed()
        self._payload = payload
        if message.chunked:
            self._part = ChunkedBody()
        elif payload.is_eof():
            self._part = _HEAD
        else:
            # The parser has checked the length.
            self._part = _SizedBody(int(message.headers[hdrs.CONTENT_LENGTH]))
