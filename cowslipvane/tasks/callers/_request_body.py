"""The bodies of callers' requests: received whole, within the limits of their route and process."""

from __future__ import annotations

import asyncio
import io
import time

from aiohttp import web

from cowslipvane.call import ByteLimit, Exchange
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

# Bytes of request bodies that a process holds. A host has 200 MB, and a body may be held twice: by
# its call and by the connection to the worker.
MAX_BODY_BYTES = 64 << 20
# Retry-After of a request whose body exceeds them.
BODY_RETRY_AFTER: Seconds = 0.3


class RequestBodies:
    """The request bodies that a process holds, which share a limit."""

    def __init__(self) -> None:
        self._limit = ByteLimit(max_bytes=MAX_BODY_BYTES)

    async def receive(
        self, http: web.BaseRequest, exchange: Exchange, rules: ServiceRules, deadline: float
    ) -> bytes | Refusal:
        """Return the whole body, or a refusal if it can't be received by the deadline."""
        limit = rules.traffic.max_body_bytes
        if not http.can_read_body:
            return b""
        if (http.content_length or 0) > limit:
            return BodyTooLarge(limit=limit)
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                return await self._receive_all(http, exchange, rules)
        except TimeoutError:
            return DeadlinePassed(service=rules.service, verdict=Verdict.NOT_RUN)
        except MalformedBody as error:
            return MalformedRequest(reason=str(error))

    def release(self, exchange: Exchange) -> None:
        """Count the body of a request as held no more."""
        self._limit.remove(exchange.body_bytes)
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
            body.write(chunk)
            exchange.body_bytes += len(chunk)
            self._limit.add(len(chunk))
            if exchange.body_bytes > limit:
                return BodyTooLarge(limit=limit)
            if self._limit.is_exceeded:
                # At once, so that the bodies that are received beside it have room.
                self.release(exchange)
                return QueueFull(service=rules.service, retry_after=BODY_RETRY_AFTER)
        return body.getvalue()
