"""A relay between hosts, whose links can be slow, limited in rate, cut, reset and silenced."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Collection, Iterator
from contextlib import contextmanager, suppress
from typing import NamedTuple

from cowslipvane.types import Address, Seconds

# The kernel acknowledges what it receives before that is relayed, so there mustn't be much of it.
_RECEIVE_BUFFER_BYTES = 16 * 1024
_PART_BYTES = 4096
# As TCP_USER_TIMEOUT of the processes, whose kernel sees acknowledgements of the relay.
_USER_TIMEOUT: Seconds = 2.0
# After this time the keepalive of an idle connection has found that nothing comes back.
_KEEPALIVE_TIME: Seconds = 7.0


class LinkCondition(NamedTuple):
    """What the own link of a host does to bytes; a cut holds up those in one direction."""

    delay: Seconds = 0.0
    # In each direction.
    bytes_per_s: float = math.inf
    cuts_in: bool = False
    cuts_out: bool = False


class _Connection:
    """A relayed connection between two hosts, and the streams to them."""

    def __init__(
        self, *, hosts: tuple[str, str], writers: tuple[asyncio.StreamWriter, ...]
    ) -> None:
        self.hosts = hosts
        self.is_silent = False
        self._writers = writers

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self._writers:
            writer.transport.abort()


class Relay:
    """Passes bytes between hosts, which are told apart by the addresses of their sockets."""

    def __init__(self) -> None:
        self._conditions: list[tuple[Collection[str], LinkCondition]] = []
        # Set when a condition ends.
        self._changed = asyncio.Event()
        self._connections: dict[asyncio.Task[None], _Connection] = {}
        self._servers: list[asyncio.Server] = []
        # When the link of a host has carried what was sent, by host and direction.
        self._free_at: dict[tuple[str, str], float] = {}

    async def listen(self, address: Address, target: Address) -> Address:
        """Relay the connections to an address; return it, with a port if it was 0."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, target)

        # A small receive buffer blocks a sender whose link is slow.
        listener = socket.create_server(address)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._servers.append(await asyncio.start_server(serve, sock=listener, limit=_PART_BYTES))
        return Address(address.ip, listener.getsockname()[1])

    @contextmanager
    def condition(self, hosts: Collection[str], condition: LinkCondition) -> Iterator[None]:
        """Keep the links of hosts in a condition, beside others that they may have."""
        self._conditions.append((hosts, condition))
        try:
            yield
        finally:
            self._conditions.remove((hosts, condition))
            self._changed.set()
            self._changed = asyncio.Event()

    def reset(self, hosts: Collection[str]) -> None:
        """Reset all connections of some hosts."""
        for connection in self._connections_of(hosts):
            connection.abort()

    def silence(self, hosts: Collection[str]) -> None:
        """Pass on nothing more over the open connections of some hosts; new ones work."""
        for connection in self._connections_of(hosts):
            connection.is_silent = True
            asyncio.get_running_loop().call_later(_KEEPALIVE_TIME, connection.abort)

    async def close(self) -> None:
        """Stop relaying."""
        for server in self._servers:
            server.close()
        for task, connection in self._connections.items():
            connection.abort()
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _connections_of(self, hosts: Collection[str]) -> list[_Connection]:
        """Return the connections that begin or end at some hosts."""
        return [
            each for each in self._connections.values() if not set(each.hosts).isdisjoint(hosts)
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: Address
    ) -> None:
        """Relay one connection."""
        task = asyncio.current_task()
        assert task is not None
        opener = writer.get_extra_info("peername")[0]
        try:
            from_target, to_target = await _connect(target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(hosts=(opener, target.ip), writers=(writer, to_target))
        self._connections[task] = connection
        # start_server reports a cancelled task of a connection as an error.
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(reader, to_target, connection, (opener, target.ip)),
                self._copy(from_target, writer, connection, (target.ip, opener)),
            )
        connection.abort()
        del self._connections[task]

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        path: tuple[str, str],
    ) -> None:
        """Copy bytes from one host to another; reset the connection if they can't pass."""
        try:
            while data := await reader.read(_RECEIVE_BUFFER_BYTES):
                await asyncio.sleep(sum(each.delay for host in path for each in self._of(host)))
                for start in range(0, len(data), _PART_BYTES):
                    part = data[start : start + _PART_BYTES]
                    await asyncio.sleep(self._carried_at(path, len(part)) - time.monotonic())
                    await self._wait_until_open(connection, path)
                    writer.write(part)
                    await writer.drain()
            await self._wait_until_open(connection, path)
            writer.write_eof()
        except OSError:
            connection.abort()

    def _of(self, host: str) -> list[LinkCondition]:
        """Return the conditions of a host's link."""
        return [condition for hosts, condition in self._conditions if host in hosts]

    def _carried_at(self, path: tuple[str, str], size: int) -> float:
        """Return when both links have carried some bytes, each after those before them."""
        now = time.monotonic()
        links = list(zip(path, ("out", "in"), strict=True))
        for link in links:
            rate = min((each.bytes_per_s for each in self._of(link[0])), default=math.inf)
            self._free_at[link] = max(now, self._free_at.get(link, now)) + size / rate
        return max(self._free_at[link] for link in links)

    async def _wait_until_open(self, connection: _Connection, path: tuple[str, str]) -> None:
        """Wait until bytes pass; raise TimeoutError if they don't for a long time."""
        sender, receiver = path
        async with asyncio.timeout(_USER_TIMEOUT):
            while (
                connection.is_silent
                or any(condition.cuts_out for condition in self._of(sender))
                or any(condition.cuts_in for condition in self._of(receiver))
            ):
                await self._changed.wait()


async def _connect(target: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a host, with a small receive buffer, too."""
    connection = socket.socket()
    try:
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(connection, target)
    except BaseException:
        connection.close()
        raise
    return await asyncio.open_connection(sock=connection, limit=_PART_BYTES)
