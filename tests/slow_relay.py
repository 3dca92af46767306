"""A relay between two processes, with a link that carries little."""

import asyncio
import socket
from contextlib import suppress

from cowslipvane.types import Address

RELAYED_BYTES = 4096
# The kernel acknowledges what it receives before that is relayed, so there mustn't be much of it.
RECEIVE_BUFFER_BYTES = 16 << 10


class SlowRelay:
    """Passes bytes between a client and its target, at a limited rate in each direction."""

    def __init__(self, *, target: Address, bytes_per_s: float) -> None:
        self._target = target
        self._delay_per_byte = 1 / bytes_per_s

    async def listen(self) -> asyncio.Server:
        """Begin to relay."""
        listener = socket.create_server((self._target.ip, 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return await asyncio.start_server(self._serve, sock=listener, limit=RELAYED_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection."""
        from_target, to_target = await asyncio.open_connection(self._target.ip, self._target.port)
        await asyncio.gather(self._copy(reader, to_target), self._copy(from_target, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copy bytes until the connection ends, with a delay after each part."""
        with suppress(ConnectionError):
            while data := await reader.read(RELAYED_BYTES):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(self._delay_per_byte * len(data))
        writer.close()
