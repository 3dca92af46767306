"""A websockets connection that carries typed messages."""

from __future__ import annotations

import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager
from contextvars import ContextVar
from typing import NamedTuple

import websockets
from websockets.asyncio.client import connect as websocket_connect
from websockets.asyncio.connection import Connection
from websockets.frames import CloseCode

from cowslipvane.events import HybridClock, Stamp
from cowslipvane.response_timeout import ResponseTimeout
from cowslipvane.settings import Token
from cowslipvane.types import Address, Seconds
from cowslipvane.wire._codec import Malformed, Message, decode, encode

CONNECT_TIMEOUT: Seconds = 0.7
# The kernel closes a connection whose peer hasn't acknowledged data for this long.
USER_TIMEOUT_MS = 2000
# Idle time before the first keepalive probe of the kernel, and time between probes.
KEEPALIVE_S = 5
# The connection is dropped if the peer doesn't complete the closing handshake within this time.
CLOSE_TIMEOUT: Seconds = 0.3
MAX_MESSAGE_BYTES = 16 << 20
# Larger messages are sent in frames of this size, so that a slow one can be told from silence.
FRAME_BYTES = 16 << 10
# Each message ends with its sender's hybrid clock stamp: wall time in seconds, logical counter.
_STAMP = struct.Struct(">dI")
_MAX_LOGICAL = 2**32 - 1


class Traffic:
    """Bytes sent and received on the links of a process, by message type."""

    def __init__(self) -> None:
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()

    @property
    def sent_bytes(self) -> Mapping[str, int]:
        """Return the bytes sent, by message type."""
        return self._sent

    @property
    def received_bytes(self) -> Mapping[str, int]:
        """Return the bytes received, by message type."""
        return self._received

    def count_sent(self, kind: str, size: int) -> None:
        """Add the size in bytes of a message that is sent."""
        self._sent[kind] += size

    def count_received(self, kind: str, size: int) -> None:
        """Add the size in bytes of a message that was received."""
        self._received[kind] += size


class LinkIdentity(NamedTuple):
    """What the links of a process share: its clock, its token and its traffic counters."""

    clock: HybridClock
    token: Token | None
    traffic: Traffic


# The identity of the process whose tasks run in this context, for the links that they open.
link_identity: ContextVar[LinkIdentity | None] = ContextVar("link_identity", default=None)


def anonymous_identity() -> LinkIdentity:
    """Return an identity without a token, for links outside any process of the system."""
    return LinkIdentity(HybridClock(), None, Traffic())


class LinkClosed(Exception):
    """Raised when a connection is closed; going_away is set if the peer closed it as planned."""

    def __init__(self, reason: str, *, going_away: bool = False) -> None:
        super().__init__(reason)
        self.going_away = going_away


class Link:
    """One connection to a peer, for messages in both directions."""

    def __init__(self, *, connection: Connection, identity: LinkIdentity) -> None:
        self._connection = connection
        self._clock = identity.clock
        self._traffic = identity.traffic

    async def send(self, message: Message) -> None:
        """Send one message."""
        await self.send_encoded(type(message).__name__, encode(message))

    async def send_encoded(self, kind: str, encoded: bytes) -> None:
        """Send an encoded message; kind is its class name. Several peers may share its bytes."""
        wall, logical = self._clock.now()
        data = encoded + _STAMP.pack(wall, min(logical, _MAX_LOGICAL))
        self._traffic.count_sent(kind, len(data))
        try:
            if len(data) <= FRAME_BYTES:
                await self._connection.send(data)
            else:
                await self._send_frames(data)
        except websockets.ConnectionClosed as error:
            raise _link_closed(error) from error

    async def _send_frames(self, data: bytes) -> None:
        """Send a message in frames, all of which are written even if the sending is cancelled.

        The library's own way waits after each frame; no message can be sent on a connection after
        one that has no last frame.
        """
        protocol = self._connection.protocol
        first, *others = _frames(data)
        async with self._connection.send_context():
            protocol.send_binary(first, fin=False)
            for frame in others:
                protocol.send_continuation(frame, fin=frame is others[-1])

    async def receive(self, *, timeout: Seconds | None = None) -> Message:
        """Return the next message; raise Malformed if it is invalid.

        Raise TimeoutError if nothing of it arrives for the timeout; the link can't be used then.
        """
        try:
            if timeout is None:
                data = await self._connection.recv(decode=False)
            else:
                data = await self._receive_frames(timeout)
        except websockets.ConnectionClosed as error:
            raise _link_closed(error) from error
        if len(data) < _STAMP.size:
            raise Malformed("a message without a stamp")
        message = decode(data[: -_STAMP.size])
        self._traffic.count_received(type(message).__name__, len(data))
        self._clock.observe(Stamp(*_STAMP.unpack(data[-_STAMP.size :])))
        return message

    async def _receive_frames(self, timeout: Seconds) -> bytes:
        """Return the next message as bytes; raise TimeoutError if a frame of it is late."""
        frames: list[bytes] = []
        # Unlike wait_for, this doesn't lose a cancellation that coincides with a message.
        async with ResponseTimeout(timeout) as limit:
            async for frame in self._connection.recv_streaming(decode=False):
                frames.append(frame)
                limit.restart()
        return b"".join(frames)

    async def probe(self, timeout: Seconds) -> None:
        """Ping the peer and await the pong; raise LinkClosed if it is late or the link closed."""
        try:
            async with ResponseTimeout(timeout):
                await (await self._connection.ping())
        except websockets.ConnectionClosed as error:
            raise _link_closed(error) from error
        except TimeoutError as error:
            raise LinkClosed(f"the peer didn't answer a ping within {timeout} s") from error

    def abort(self) -> None:
        """Close the connection at once; a closing handshake would wait for a silent peer."""
        self._connection.transport.abort()

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()


def _frames(data: bytes) -> Iterator[memoryview]:
    """Yield the contents of the frames of a message."""
    for start in range(0, len(data), FRAME_BYTES):
        yield memoryview(data)[start : start + FRAME_BYTES]


def _link_closed(error: websockets.ConnectionClosed) -> LinkClosed:
    """Convert the exception of the websockets library to LinkClosed."""
    going_away = error.rcvd is not None and error.rcvd.code == CloseCode.GOING_AWAY
    return LinkClosed(str(error), going_away=going_away)


@asynccontextmanager
async def connect(address: Address, path: str) -> AsyncIterator[Link]:
    """Connect to a path of a peer; raise LinkClosed if it can't be reached."""
    identity = link_identity.get() or anonymous_identity()
    try:
        async with ResponseTimeout(CONNECT_TIMEOUT):
            connection = await websocket_connect(
                f"ws://{address}{path}",
                open_timeout=None,
                close_timeout=CLOSE_TIMEOUT,
                ping_interval=None,
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                proxy=None,
                additional_headers=identity.token.headers if identity.token else None,
            )
    except TimeoutError as error:
        raise LinkClosed(f"{address} didn't accept a link within {CONNECT_TIMEOUT} s") from error
    except (OSError, websockets.WebSocketException) as error:
        raise LinkClosed(f"{address} can't be reached: {error}") from error
    enable_keepalive(connection)
    try:
        yield Link(connection=connection, identity=identity)
    finally:
        await connection.close()


def enable_keepalive(connection: Connection) -> None:
    """Let the kernel close a connection whose peer no longer acknowledges data."""
    tcp_socket = connection.transport.get_extra_info("socket")
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
