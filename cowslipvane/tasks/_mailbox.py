"""The mailbox of an attempt: what its owner has sent and the entry proxy hasn't sent on yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cowslipvane.call import Answer, ByteLimit, Chunk, OwnerMessage, Refused, payload_size
from cowslipvane.refusal import AnswerLost
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import ServiceName, Verdict

# Bytes of a response that wait before the local owner stops reading from its worker.
MAX_WAITING_BYTES = 1 << 20
# Bytes of a response from another host that wait before the rest is given up: its link isn't held
# back, since that would delay the other calls on it.
MAX_UNREAD_BYTES = 8 << 20
# Bytes of all responses that a process holds. A host has 200 MB, most of it for request bodies.
MAX_RESPONSE_BYTES = 16 << 20
# Bytes of responses that are held by slow callers, beyond which no further call is begun.
MAX_TAKEN_BYTES = 8 << 20
# The same, beyond which no response is held back until it is complete.
MAX_HELD_BACK_BYTES = 4 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """The connection to an owner has ended.

    outcome_unknown says whether the attempt may have started. An owner that closes a connection
    with "going away" has replied to every attempt that it had started.
    """

    outcome_unknown: bool


class ResponseMemory:
    """The memory that the mailboxes of a process share.

    When it is exhausted, the response of which most waits is given up.
    """

    def __init__(self) -> None:
        self._held = ByteLimit(max_bytes=MAX_RESPONSE_BYTES)
        self._taken = ByteLimit(max_bytes=MAX_TAKEN_BYTES)
        self._waiting: set[Mailbox] = set()

    @property
    def is_short(self) -> bool:
        """Return whether slow callers hold so much that no further call should begin."""
        return self._taken.is_exceeded

    @property
    def may_hold_back(self) -> bool:
        """Return whether more of a response may be taken without being sent on."""
        return self._taken.held_bytes < MAX_HELD_BACK_BYTES

    def add(self, mailbox: Mailbox, size: int) -> None:
        """Add bytes that wait in a mailbox."""
        self._held.add(size)
        self._waiting.add(mailbox)
        while self._held.is_exceeded and self._waiting:
            max(self._waiting, key=lambda waiting: waiting.waiting_bytes).give_up()

    def take(self, mailbox: Mailbox, size: int) -> None:
        """Count waiting bytes as taken."""
        self._taken.add(size)
        if not mailbox.waiting_bytes:
            self._waiting.discard(mailbox)

    def drop_taken(self, size: int) -> None:
        """Remove taken bytes, which were sent on."""
        self._taken.remove(size)
        self._held.remove(size)

    def drop_waiting(self, mailbox: Mailbox) -> None:
        """Remove all bytes that wait in a mailbox."""
        self._held.remove(mailbox.waiting_bytes)
        self._waiting.discard(mailbox)


class Mailbox:
    """The messages about one attempt, in the order of their arrival."""

    def __init__(self, *, service: ServiceName, memory: ResponseMemory) -> None:
        self._service = service
        self._memory = memory
        self._messages: asyncio.Queue[OwnerMessage | LinkLost] = asyncio.Queue()
        self._waiting_bytes = 0
        self._taken_bytes = 0
        self._is_closed = False
        self._changed = Signal()

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the messages that nobody has taken yet."""
        return self._waiting_bytes

    async def get(self, *, keep: bool = False) -> OwnerMessage | LinkLost:
        """Take the next message; without keep, those taken before have been sent on."""
        if not keep:
            self._drop_taken()
        message = await self._messages.get()
        size = _size(message)
        self._waiting_bytes -= size
        self._taken_bytes += size
        self._memory.take(self, size)
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
        size = _size(message)
        self._messages.put_nowait(message)
        self._waiting_bytes += size
        if size:
            self._memory.add(self, size)
        if self._waiting_bytes > MAX_UNREAD_BYTES:
            self.give_up()

    def give_up(self) -> None:
        """Drop what waits, and end the response with a refusal."""
        dropped = [self._messages.get_nowait() for _ in range(self._messages.qsize())]
        attempt = next(message.attempt for message in dropped if not isinstance(message, LinkLost))
        lost = AnswerLost(service=self._service, verdict=Verdict.MAY_HAVE_RUN)
        self._stop_receiving()
        self._messages.put_nowait(Refused(attempt=attempt, refusal=lost))

    def close(self) -> None:
        """Drop what is held, and ignore all further messages."""
        self._drop_taken()
        self._messages = asyncio.Queue()
        self._stop_receiving()

    def _drop_taken(self) -> None:
        """Count what was taken as sent on."""
        self._memory.drop_taken(self._taken_bytes)
        self._taken_bytes = 0

    def _stop_receiving(self) -> None:
        """Count nothing as waiting, and let the sender go on."""
        self._memory.drop_waiting(self)
        self._waiting_bytes = 0
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
