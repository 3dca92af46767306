"""A websockets connection that carries typed messages."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import websockets
from websockets.asyncio.client import connect as websocket_connect
from websockets.asyncio.connection import Connection
from websockets.frames import CloseCode

from cowslipvane.types import Address, Seconds
from cowslipvane.wire._codec import Message, decode, encode

CONNECT_TIMEOUT: Seconds = 2.0
MAX_MESSAGE_BYTES = 16 << 20


class LinkClosed(Exception):
    """The connection to a peer is closed; going_away says that the peer ended it as planned."""

    def __init__(self, reason: str, *, going_away: bool = False) -> None:
        super().__init__(reason)
        self.going_away = going_away


class Link:
    """One connection to a peer, for messages in both directions."""

    def __init__(self, *, connection: Connection) -> None:
        self._connection = connection

    async def send(self, message: Message) -> None:
        """Send one message."""
        try:
            await self._connection.send(encode(message))
        except websockets.ConnectionClosed as error:
            raise _closed(error) from error

    async def receive(self) -> Message:
        """Return the next message; raise Malformed when it is none."""
        try:
            data = await self._connection.recv(decode=False)
        except websockets.ConnectionClosed as error:
            raise _closed(error) from error
        return decode(data)

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()


def _closed(error: websockets.ConnectionClosed) -> LinkClosed:
    """Return why a connection is closed."""
    going_away = error.rcvd is not None and error.rcvd.code == CloseCode.GOING_AWAY
    return LinkClosed(str(error), going_away=going_away)


@asynccontextmanager
async def connect(address: Address, path: str) -> AsyncIterator[Link]:
    """Connect to a path of a peer; raise LinkClosed when it can't be reached."""
    try:
        connection = await websocket_connect(
            f"ws://{address}{path}",
            open_timeout=CONNECT_TIMEOUT,
            close_timeout=CONNECT_TIMEOUT,
            ping_interval=None,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            proxy=None,
        )
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise LinkClosed(f"{address} can't be reached: {error}") from error
    try:
        yield Link(connection=connection)
    finally:
        await connection.close()
