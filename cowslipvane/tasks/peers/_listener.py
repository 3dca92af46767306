"""The listener for peers: it authenticates a connection, and dispatches it by its path."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from typing import Any

from websockets.asyncio.server import ServerConnection, serve
from websockets.http11 import Request, Response

from cowslipvane.events import EventLog
from cowslipvane.settings import AUTHORIZATION
from cowslipvane.types import Address
from cowslipvane.wire import Link, LinkClosed, LinkIdentity, Malformed
from cowslipvane.wire._link import CLOSE_TIMEOUT, MAX_MESSAGE_BYTES, configure_socket

Handler = Callable[[Link], Awaitable[None]]
# Maximum number of characters of an untrusted text, such as a path, in an event.
_MAX_TEXT_LENGTH = 200

CALLS_PATH = "/calls"


class PeerListener:
    """Serves the connections of peers, each in a task of its own."""

    def __init__(
        self, *, handlers: Mapping[str, Handler], identity: LinkIdentity, events: EventLog
    ) -> None:
        self._handlers = handlers
        self._identity = identity
        self._events = events
        self._connections: Counter[str] = Counter()
        self._non_call_tasks: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> Mapping[str, int]:
        """Return how many connections are open on each path."""
        return self._connections

    def listen(self, address: Address) -> AbstractAsyncContextManager[Any]:
        """Return the context manager that keeps the listener open."""
        return serve(
            self._serve,
            address.ip,
            address.port,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT,
            compression=None,
            process_request=self._admit,
            max_size=MAX_MESSAGE_BYTES,
        )

    def cancel_all_but_calls(self) -> None:
        """Cancel all tasks except those of calls.

        The cancelled tasks may wait for updates that no longer arrive.
        """
        for task in self._non_call_tasks:
            task.cancel()

    async def _admit(self, connection: ServerConnection, request: Request) -> Response | None:
        """Reject a peer without a valid token, or a request for an unknown path."""
        token = self._identity.token
        if token is not None and not token.matches(request.headers.get(AUTHORIZATION)):
            self._record_malformed(request.path, "a peer showed no valid token")
            return connection.respond(HTTPStatus.UNAUTHORIZED, "show the token of the settings\n")
        if request.path not in self._handlers:
            return connection.respond(HTTPStatus.NOT_FOUND, "this process serves no such path\n")
        return None

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve one connection until it closes or sends a malformed message."""
        configure_socket(connection)
        assert connection.request is not None
        path = connection.request.path
        self._connections[path] += 1
        task = asyncio.current_task()
        if task is not None and path != CALLS_PATH:
            self._non_call_tasks.add(task)
            task.add_done_callback(self._non_call_tasks.discard)
        try:
            await self._handlers[path](Link(connection=connection, identity=self._identity))
        except LinkClosed:
            return
        except Malformed as error:
            self._record_malformed(path, str(error))
        except Exception as error:
            # The library logs the error and closes this connection only.
            self._record_malformed(path, repr(error))
            raise
        finally:
            self._connections[path] -= 1

    def _record_malformed(self, path: str, reason: str) -> None:
        """Record why a connection is closed."""
        self._events.record(
            "malformed", path=path[:_MAX_TEXT_LENGTH], reason=reason[:_MAX_TEXT_LENGTH]
        )
