"""The mailbox of an attempt: what its owner has sent and the entry proxy hasn't taken yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cowslipvane.call import Answer, AttemptId, Chunk, OwnerMessage, Refused, payload_size
from cowslipvane.refusal import AnswerLost
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import ServiceName, Verdict

# Bytes of a response that wait before the local owner stops reading from its worker.
MAX_WAITING_BYTES = 1 << 20
# Bytes of a response from another host that wait before the rest is given up: its link isn't held
# back, since that would delay the other calls on it.
MAX_UNREAD_BYTES = 8 << 20
# Bytes of all responses that wait in a process before the largest of them is given up; from half
# of it on, local owners keep nothing waiting.
MAX_ALL_UNREAD_BYTES = 32 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """The connection to an owner has ended.

    outcome_unknown says whether the attempt may have started. An owner that closes a connection
    with "going away" has replied to every attempt that it had started.
    """

    outcome_unknown: bool


class UnreadResponses:
    """The sizes of all responses that wait in a process until their callers read them."""

    def __init__(self, *, max_bytes: int = MAX_ALL_UNREAD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[Mailbox, int] = {}
        self._bytes = 0

    @property
    def are_many(self) -> bool:
        """Return whether so much waits that senders who can wait should."""
        return self._bytes > self._max_bytes // 2

    def record(self, mailbox: Mailbox, size: int) -> None:
        """Record how much waits in a mailbox now, in bytes."""
        self._bytes += size - self._sizes.pop(mailbox, 0)
        if size:
            self._sizes[mailbox] = size

    def give_up_largest(self) -> None:
        """Give up the largest responses while too much waits."""
        while self._bytes > self._max_bytes:
            max(self._sizes, key=self._sizes.__getitem__).give_up()


class Mailbox:
    """The messages about one attempt, in the order of their arrival.

    Without others, the unread responses are those of this mailbox alone. on_give_up is called when
    the rest of the response isn't waited for any more.
    """

    def __init__(
        self,
        *,
        service: ServiceName,
        unread: UnreadResponses | None = None,
        on_give_up: Callable[[], None] | None = None,
    ) -> None:
        self._service = service
        self._unread = unread or UnreadResponses()
        self._on_give_up = on_give_up
        self._messages: asyncio.Queue[OwnerMessage | LinkLost] = asyncio.Queue()
        self._waiting_bytes = 0
        self._is_closed = False
        self._attempt: AttemptId | None = None
        self._changed = Signal()

    async def get(self) -> OwnerMessage | LinkLost:
        """Take the next message."""
        message = await self._messages.get()
        self._count(-_size(message))
        self._changed.send()
        return message

    async def put(self, message: OwnerMessage) -> None:
        """Add a message; if more of the response follows, return when there is room for it."""
        self.put_nowait(message)
        while _has_more(message) and not self._has_room:
            await self._changed.wait()

    def put_nowait(self, message: OwnerMessage | LinkLost) -> None:
        """Add a message; if too much waits then, give up this response or larger ones."""
        if self._is_closed:
            return
        self._messages.put_nowait(message)
        self._count(_size(message))
        match message:
            case Answer(attempt=attempt, more=more) | Chunk(attempt=attempt, more=more):
                self._attempt = attempt
                if more and self._waiting_bytes > MAX_UNREAD_BYTES:
                    self.give_up()
                self._unread.give_up_largest()

    def give_up(self) -> None:
        """Put a refusal in the place of what waits, and ignore the rest of the response."""
        assert self._attempt is not None
        self.close()
        lost = AnswerLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        self._messages.put_nowait(Refused(attempt=self._attempt, refusal=lost))
        if self._on_give_up is not None:
            self._on_give_up()

    def close(self) -> None:
        """Drop what waits, and ignore all further messages."""
        self._is_closed = True
        while not self._messages.empty():
            self._messages.get_nowait()
        self._count(-self._waiting_bytes)
        self._changed.send()

    def _count(self, difference: int) -> None:
        """Add to the bytes that wait."""
        self._waiting_bytes += difference
        self._unread.record(self, self._waiting_bytes)

    @property
    def _has_room(self) -> bool:
        """Return whether a sender may go on."""
        max_bytes = 0 if self._unread.are_many else MAX_WAITING_BYTES
        return self._is_closed or self._waiting_bytes <= max_bytes


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
