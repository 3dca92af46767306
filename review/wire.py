"""Reading and writing of HTTP/1.1 messages, for the stand-ins of the review's scripts."""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple

CALLERS_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT = 8304, 8302, 8306, 8301


class Head(NamedTuple):
    """The start line of a message, and its fields with names in lower case."""

    start_line: str
    fields: dict[str, str]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(" ", 2)[1])

    @property
    def closes(self) -> bool:
        """Return whether the sender closes the connection after this message."""
        return self.fields.get("connection", "").lower() == "close"


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = data.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(start_line, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body that follows a head."""
    if head.fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(head.fields.get("content-length", "0")))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def encode_head(start_line: str, fields: dict[str, str]) -> bytes:
    """Return the bytes of a head."""
    lines = [start_line, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def post(address: tuple[str, int], path: str, body: object, timeout: float) -> Head | None:
    """Send one call with a JSON body; return the head of the answer, None if there is none."""
    status, _ = await call("POST", address, path, json.dumps(body).encode(), timeout)
    return status


async def call(
    method: str, address: tuple[str, int], path: str, body: bytes, timeout: float
) -> tuple[Head | None, bytes]:
    """Send one call on a connection of its own; return the head and the body of the answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                fields = {
                    "Host": f"{address[0]}:{address[1]}",
                    "Content-Type": "application/json",
                    "Content-Length": str(len(body)),
                    "Connection": "close",
                }
                writer.write(encode_head(f"{method} {path} HTTP/1.1", fields) + body)
                head = await read_head(reader)
                return head, await read_body(reader, head)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, b""
