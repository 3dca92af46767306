"""The bodies of callers' requests: received whole, within the limits of their route and process."""

from __future__ import annotations

import asyncio
import io
import time

from aiohttp import web

from cowslipvane.call import MAX_SMALL_BODY_BYTES, BodyAccount, Exchange
from cowslipvane.refusal import (
    BodyTooLarge,
    DeadlinePassed,
    MalformedRequest,
    QueueFull,
    Refusal,
)
from cowslipvane.routing import ServiceRules
from cowslipvane.tasks.http import MalformedBody
from cowslipvane.types import Seconds, Verdict

# Retry-After of a request whose body exceeds them.
BODY_RETRY_AFTER: Seconds = 0.3


class RequestBodies:
    """The request bodies of this process's callers, which share an account with others."""

    def __init__(self, *, account: BodyAccount) -> None:
        self._account = account

    async def receive(
        self, http: web.BaseRequest, exchange: Exchange, rules: ServiceRules, deadline: float
    ) -> bytes | Refusal:
        """Return the whole body, or a refusal if it can't be received by the deadline."""
        limit = rules.traffic.max_body_bytes
        if not http.can_read_body:
            return b""
        if (http.content_length or 0) > limit:
            return BodyTooLarge(limit=limit)
        if not self._account.may_hold("callers", http.content_length or 0):
            return QueueFull(service=rules.service, retry_after=BODY_RETRY_AFTER)
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                return await self._receive_all(http, exchange, rules)
        except TimeoutError:
            return DeadlinePassed(service=rules.service, verdict=Verdict.NOT_RUN)
        except MalformedBody as error:
            return MalformedRequest(reason=str(error))

    def release(self, exchange: Exchange) -> None:
        """Count the body of a request as held no more."""
        self._account.remove("callers", exchange.body_bytes)
        exchange.body_bytes = 0

    async def _receive_all(
        self, http: web.BaseRequest, exchange: Exchange, rules: ServiceRules
    ) -> bytes | Refusal:
        """Return the whole body, or a refusal when it exceeds a limit."""
        limit = rules.traffic.max_body_bytes
        if "Expect" in http.headers:
            await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            # The interim response must not count towards the size of the final one.
            http.writer.output_size = 0
        # Its value isn't a copy, for which a large body would need as much memory again.
        body = io.BytesIO()
        while chunk := await http.content.readany():
            if exchange.body_bytes + len(chunk) > limit:
                return BodyTooLarge(limit=limit)
            if not self._has_room(exchange, len(chunk)):
                # At once, so that the bodies that are received beside it have room.
                self.release(exchange)
                return QueueFull(service=rules.service, retry_after=BODY_RETRY_AFTER)
            body.write(chunk)
            exchange.body_bytes += len(chunk)
            self._account.add("callers", len(chunk))
        return body.getvalue()

    def _has_room(self, exchange: Exchange, size: int) -> bool:
        """Return whether there is room for a further part of a body."""
        if exchange.body_bytes + size <= MAX_SMALL_BODY_BYTES:
            return True
        is_alone = self._account.held_bytes == exchange.body_bytes
        return is_alone or self._account.has_room("callers", size)
