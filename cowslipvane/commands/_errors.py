"""The failure of a command."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from cowslipvane.client import Client, Unreachable
from cowslipvane.settings import TokenFault, read_token

# Names the file with the token that the processes want.
TOKEN_FILE_VARIABLE = "COWSLIPVANE_TOKEN_FILE"


class CommandFailed(Exception):
    """A command could not do its work; the text says what to do."""


@asynccontextmanager
async def open_client(servers: tuple[str, ...]) -> AsyncIterator[Client]:
    """Return a client whose failure to reach anybody fails the command."""
    path = os.environ.get(TOKEN_FILE_VARIABLE)
    try:
        token = read_token(Path(path)) if path else None
    except TokenFault as error:
        raise CommandFailed(f"{TOKEN_FILE_VARIABLE}: {error}") from error
    try:
        async with Client(servers=servers, token=token) as client:
            yield client
    except Unreachable as error:
        raise CommandFailed(str(error)) from error
