"""The mailbox of an attempt: what its owner has sent and the entry proxy hasn't taken yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cowslipvane.call import Answer, Chunk, OwnerMessage, Refused, payload_size
from cowslipvane.refusal import AnswerLost
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import ServiceName, Verdict

# Bytes of a response that wait before the local owner stops reading from its worker.
MAX_WAITING_BYTES = 1 << 20
# Bytes of a response from another host that wait before the rest is given up: its link isn't held
# back, since that would delay the other calls on it.
MAX_UNREAD_BYTES = 8 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """The connection to an owner has ended.

    outcome_unknown says whether the attempt may have started. An owner that closes a connection
    with "going away" has replied to every attempt that it had started.
    """

    outcome_unknown: bool


class Mailbox:
    """The messages about one attempt, in the order of their arrival."""

    def __init__(self, *, service: ServiceName) -> None:
        self._service = service
        self._messages: asyncio.Queue[OwnerMessage | LinkLost] = asyncio.Queue()
        self._waiting_bytes = 0
        self._is_closed = False
        self._changed = Signal()

    async def get(self) -> OwnerMessage | LinkLost:
        """Take the next message."""
        message = await self._messages.get()
        self._waiting_bytes -= _size(message)
        self._changed.send()
        return message

    async def put(self, message: OwnerMessage) -> None:
        """Add a message; if more of the response follows, return when there is room for it."""
        self.put_nowait(message)
        while _has_more(message) and not self._has_room:
            await self._changed.wait()

    def put_nowait(self, message: OwnerMessage | LinkLost) -> None:
        """Add a message; if too much waits then, end the response with a refusal."""
        if self._is_closed:
            return
        self._messages.put_nowait(message)
        self._waiting_bytes += _size(message)
        match message:
            case Answer() | Chunk() if self._waiting_bytes > MAX_UNREAD_BYTES:
                lost = AnswerLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
                self._messages.put_nowait(Refused(attempt=message.attempt, refusal=lost))
                self.close()

    def close(self) -> None:
        """Ignore all further messages."""
        self._is_closed = True
        self._changed.send()

    @property
    def _has_room(self) -> bool:
        """Return whether a sender may go on."""
        return self._is_closed or self._waiting_bytes <= MAX_WAITING_BYTES


def _size(message: OwnerMessage | LinkLost) -> int:
    """Return the number of bytes of the headers and the body in a message."""
    match message:
        case LinkLost():
            return 0
        case _:
            return payload_size(message)


def _has_more(message: OwnerMessage) -> bool:
    """Return whether more of the response follows."""
    match message:
        case Answer(more=more) | Chunk(more=more):
            return more
        case Refused():
            return False
