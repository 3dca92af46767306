"""What entry proxies are told of their attempts: each message once, and again after a fence."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cowslipvane.call import AttemptId, Attempts, HeldBodies, OwnerMessage, Refused, SendReply
from cowslipvane.refusal import Refusal
from cowslipvane.routing import Load
from cowslipvane.tasks._signal import Signal


class DueRefusal(NamedTuple):
    """The refusal of an attempt that has ended, and where to send it if anybody waits for it."""

    message: Refused
    reply: SendReply | None


class Replies:
    """Sends messages about attempts to the entry proxies that wait for them."""

    def __init__(
        self, *, attempts: Attempts, held_bodies: HeldBodies, get_load: Callable[[], Load]
    ) -> None:
        self._attempts = attempts
        self._held_bodies = held_bodies
        self._get_load = get_load
        self._waiting: dict[AttemptId, SendReply] = {}
        self._attempt_ended = Signal()

    @property
    def attempt_ended(self) -> Signal:
        """Return the signal for an attempt that has ended."""
        return self._attempt_ended

    def is_awaited(self, attempt: AttemptId) -> bool:
        """Return whether an entry proxy waits for messages about an attempt."""
        return attempt in self._waiting

    def function_of(self, attempt: AttemptId) -> SendReply | None:
        """Return the function that sends messages about an attempt, None if nobody waits."""
        return self._waiting.get(attempt)

    def expect(self, attempt: AttemptId, reply: SendReply) -> None:
        """Send messages about an attempt by a function from now on."""
        self._waiting[attempt] = reply

    def forget(self, attempt: AttemptId) -> None:
        """Send no more messages about an attempt."""
        self._waiting.pop(attempt, None)

    async def send(self, message: OwnerMessage) -> None:
        """Keep a part of a response, and send it to the entry proxy if one is waiting."""
        self._attempts.store_part(message.attempt, message)
        reply = self._waiting.get(message.attempt)
        if reply is not None:
            await reply(message)

    async def replay(self, parts: list[OwnerMessage], reply: SendReply) -> None:
        """Send a response from its start, including the parts that arrive meanwhile."""
        sent = 0
        while sent < len(parts):
            await reply(parts[sent])
            sent += 1

    async def reply_refused(self, attempt: AttemptId, refusal: Refusal, reply: SendReply) -> None:
        """Reply with a refusal, which isn't kept."""
        await reply(Refused(attempt=attempt, refusal=refusal, load=self._get_load()))

    def end(self, attempt: AttemptId) -> None:
        """End an attempt whose response is complete."""
        self._attempts.end(attempt, time.monotonic())
        self._held_bodies.release(attempt)
        self._waiting.pop(attempt, None)
        self._attempt_ended.send()

    def end_refused(self, attempt: AttemptId, refusal: Refusal) -> DueRefusal:
        """End an attempt without a complete response, and return the refusal to send for it.

        Nothing is awaited, since another task may end it meanwhile, as when its caller leaves.
        """
        message = Refused(attempt=attempt, refusal=refusal, load=self._get_load())
        self._attempts.store_part(attempt, message)
        self._attempts.end(attempt, time.monotonic())
        self._held_bodies.release(attempt)
        return DueRefusal(message, self._waiting.pop(attempt, None))

    def end_all_refused(self, attempts: Iterable[AttemptId], refusal: Refusal) -> list[DueRefusal]:
        """End attempts for the same reason."""
        return [self.end_refused(attempt, refusal) for attempt in attempts]

    async def refuse(self, attempt: AttemptId, refusal: Refusal) -> None:
        """End an attempt without a complete response, and send its refusal."""
        await self._send_refusal(self.end_refused(attempt, refusal))

    async def send_refusals(self, refusals: Iterable[DueRefusal]) -> None:
        """Send refusals concurrently, since a peer that is cut off may stall its reply."""
        await asyncio.gather(*(self._send_refusal(refusal) for refusal in refusals))

    async def _send_refusal(self, refusal: DueRefusal) -> None:
        """Send a refusal to its entry proxy, if that still waits for one."""
        if refusal.reply is not None:
            await refusal.reply(refusal.message)
        self._attempt_ended.send()
