"""The failure of a command, and the client that commands use."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from cowslipvane.client import Client, Unreachable
from cowslipvane.settings import TokenFault, read_token

# This environment variable names the file with the token that the processes require.
TOKEN_FILE_VARIABLE = "COWSLIPVANE_TOKEN_FILE"


class CommandFailed(Exception):
    """Raised when a command fails; the text says what to do."""


@asynccontextmanager
async def open_client(servers: tuple[str, ...]) -> AsyncIterator[Client]:
    """Open a client; raise CommandFailed if its token can't be read or no server responds."""
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
