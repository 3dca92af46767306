"""The failure of a command."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cowslipvane.client import Client, Unreachable


class CommandFailed(Exception):
    """A command could not do its work; the text says what to do."""


@asynccontextmanager
async def client_of(servers: tuple[str, ...]) -> AsyncIterator[Client]:
    """Return a client whose failure to reach anybody fails the command."""
    try:
        async with Client(servers=servers) as client:
            yield client
    except Unreachable as error:
        raise CommandFailed(str(error)) from error
