"""Reading and writing of HTTP/1.1 messages over streams."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

MAX_HEAD_BYTES = 64 * 1024


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


async def read_head_lines(reader: asyncio.StreamReader) -> list[str]:
    """Read a head, one line each; raise IncompleteReadError if the connection ends before it."""
    data = await reader.readuntil(b"\r\n\r\n")
    return data.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")


def parse_head(lines: Sequence[str]) -> Head:
    """Return the head with these lines."""
    pairs = (line.partition(":") for line in lines[1:])
    return Head(lines[0], {name.lower(): value.strip() for name, _, value in pairs})


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message; raise IncompleteReadError if the connection ends before it."""
    return parse_head(await read_head_lines(reader))


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


def encode_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk; an empty one ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
