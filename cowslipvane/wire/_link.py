"""A websockets connection that carries typed messages."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys
import termios
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager
from contextvars import ContextVar
from typing import NamedTuple

import websockets
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.client import connect as websocket_connect
from websockets.asyncio.connection import Connection
from websockets.frames import CloseCode

from cowslipvane.events import HybridClock, Stamp
from cowslipvane.response_timeout import ResponseTimeout
from cowslipvane.settings import Token
from cowslipvane.types import Address, Seconds
from cowslipvane.wire._codec import Malformed, Message, compress, decode, encode

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
# Bytes that the kernel takes before it has sent those before them, so that a message which is
# written later doesn't wait for long.
MAX_KERNEL_UNSENT_BYTES = 32 << 10
# Each message ends with its sender's hybrid clock stamp: wall time in seconds, logical counter.
_STAMP = struct.Struct(">dI")
_MAX_LOGICAL = 2**32 - 1
_INT_BYTES = 4


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


class Reception(NamedTuple):
    """How a message arrived.

    sent_at is the wall time at the sender in seconds, size in bytes. transfer is the time from the
    first of its frames to the last one, 0 for a message in one frame.
    """

    sent_at: float
    size: int
    transfer: Seconds
    decoding: Seconds


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


class _OpenedConnection(ClientConnection):
    """A connection that this process has opened, which counts the bytes that it receives."""

    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Count and process received bytes."""
        self.received_bytes += len(data)
        super().data_received(data)


class _Delivery:
    """The delivery to a peer of what has been sent over a link, and what the peer sends meanwhile.

    A response can't be late before its request has been delivered. A peer that isn't running
    acknowledges no more than its kernel has room for.
    """

    def __init__(self, *, link: Link) -> None:
        self._link = link
        self._sent_bytes = link.sent_bytes
        self._acknowledged_bytes = link.acknowledged_bytes()
        self._received_bytes = link.received_bytes

    def has_progress(self) -> bool:
        """Return whether anything was delivered or received since the last call."""
        acknowledged, received = self._link.acknowledged_bytes(), self._link.received_bytes
        # Less may be about to be acknowledged by a peer that isn't running.
        had_backlog = self._sent_bytes - self._acknowledged_bytes > FRAME_BYTES
        is_delivering = had_backlog and acknowledged > self._acknowledged_bytes
        is_receiving = self._received_bytes < received
        self._acknowledged_bytes, self._received_bytes = acknowledged, received
        return is_delivering or is_receiving


class _Received(NamedTuple):
    """The bytes of a message, and the time from the first of its frames to the last one."""

    data: bytes
    transfer: Seconds


class Link:
    """One connection to a peer, for messages in both directions."""

    def __init__(self, *, connection: Connection, identity: LinkIdentity) -> None:
        self._connection = connection
        self._clock = identity.clock
        self._traffic = identity.traffic
        self._sent_bytes = 0
        self._reception: Reception | None = None
        self._bulk_turn = asyncio.Lock()

    @property
    def reception(self) -> Reception | None:
        """Return how the message that was received last has arrived, None before the first."""
        return self._reception

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of the messages sent so far."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Return the bytes received so far, 0 on a link that the peer has opened."""
        match self._connection:
            case _OpenedConnection() as connection:
                return connection.received_bytes
            case _:
                return 0

    async def send(self, message: Message) -> None:
        """Send one message."""
        await self.send_encoded(type(message).__name__, encode(message))

    async def send_bulk(self, message: Message) -> None:
        """Send a message of a large transfer, once those before it have been written.

        All other messages pass it while it waits for its turn.
        """
        async with self._bulk_turn:
            await self.send(message)

    async def send_compressed(self, message: Message) -> None:
        """Send one message, compressed if it is large; it should be of text, such as resources."""
        await self.send_encoded(type(message).__name__, compress(encode(message)))

    async def send_encoded(self, kind: str, encoded: bytes) -> None:
        """Send an encoded message; kind is its class name. Several peers may share its bytes."""
        wall, logical = self._clock.now()
        data = encoded + _STAMP.pack(wall, min(logical, _MAX_LOGICAL))
        self._traffic.count_sent(kind, len(data))
        self._sent_bytes += len(data)
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
                received = _Received(await self._connection.recv(decode=False), 0.0)
            else:
                received = await self._receive_in_time(timeout)
        except websockets.ConnectionClosed as error:
            raise _link_closed(error) from error
        data = received.data
        if len(data) < _STAMP.size:
            raise Malformed("a message without a stamp")
        decoding_since = time.monotonic()
        message = decode(data[: -_STAMP.size])
        decoding = time.monotonic() - decoding_since
        stamp = Stamp(*_STAMP.unpack(data[-_STAMP.size :]))
        self._traffic.count_received(type(message).__name__, len(data))
        self._clock.observe(stamp)
        self._reception = Reception(stamp.wall, len(data), received.transfer, decoding)
        return message

    async def _receive_in_time(self, timeout: Seconds) -> _Received:
        """Return the next message as bytes; raise TimeoutError if a frame of it is late."""
        frames: list[bytes] = []
        receiving_since = 0.0
        # Unlike wait_for, this doesn't lose a cancellation that coincides with a message.
        async with ResponseTimeout(timeout, has_progress=self._delivery().has_progress) as limit:
            async for frame in self._connection.recv_streaming(decode=False):
                receiving_since = receiving_since or time.monotonic()
                frames.append(frame)
                limit.restart()
        return _Received(b"".join(frames), time.monotonic() - receiving_since)

    async def probe(self, timeout: Seconds) -> None:
        """Ping the peer and await the pong; raise LinkClosed if it is late or the link closed.

        It isn't late while it may wait behind data that goes on arriving, on either side.
        """
        delivery = self._delivery()
        try:
            async with ResponseTimeout(timeout, has_progress=delivery.has_progress):
                await (await self._connection.ping())
        except websockets.ConnectionClosed as error:
            raise _link_closed(error) from error
        except TimeoutError as error:
            raise LinkClosed(f"the peer didn't answer a ping within {timeout} s") from error

    def _delivery(self) -> _Delivery:
        """Return the delivery of what has been sent so far."""
        return _Delivery(link=self)

    def acknowledged_bytes(self) -> int:
        """Return the bytes that the kernel of the peer has acknowledged so far."""
        transport = self._connection.transport
        return self._sent_bytes - unsent_bytes(transport)

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


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that were written and that the kernel of the peer hasn't acknowledged."""
    return transport.get_write_buffer_size() + _unacknowledged_bytes(transport)


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel holds until the peer acknowledges them, 0 if not known."""
    tcp_socket = transport.get_extra_info("socket")
    try:
        size = fcntl.ioctl(tcp_socket.fileno(), termios.TIOCOUTQ, bytes(_INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(size, sys.byteorder)


def _link_closed(error: websockets.ConnectionClosed) -> LinkClosed:
    """Convert the exception of the websockets library to LinkClosed."""
    going_away = error.rcvd is not None and error.rcvd.code == CloseCode.GOING_AWAY
    return LinkClosed(str(error), going_away=going_away)


@asynccontextmanager
async def connect(
    address: Address, path: str, *, timeout: Seconds = CONNECT_TIMEOUT
) -> AsyncIterator[Link]:
    """Connect to a path of a peer; raise LinkClosed if it can't be reached."""
    identity = link_identity.get() or anonymous_identity()
    try:
        async with ResponseTimeout(timeout):
            connection = await websocket_connect(
                f"ws://{address}{path}",
                create_connection=_OpenedConnection,
                open_timeout=None,
                close_timeout=CLOSE_TIMEOUT,
                ping_interval=None,
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                proxy=None,
                additional_headers=identity.token.headers if identity.token else None,
            )
    except TimeoutError as error:
        raise LinkClosed(f"{address} didn't accept a link within {timeout} s") from error
    except (OSError, ValueError, OverflowError, websockets.WebSocketException) as error:
        # ValueError and OverflowError: the address is none.
        raise LinkClosed(f"{address} can't be reached: {error}") from error
    configure_socket(connection)
    try:
        yield Link(connection=connection, identity=identity)
    finally:
        await connection.close()


def configure_socket(connection: Connection) -> None:
    """Let the kernel hold little unsent, and close a connection that isn't acknowledged."""
    tcp_socket = connection.transport.get_extra_info("socket")
    unsent = MAX_KERNEL_UNSENT_BYTES
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, unsent)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
