"""Calls handed over between proxies: one task for each peer."""

from __future__ import annotations

import asyncio
import enum
import random
import time
from dataclasses import dataclass
from typing import NoReturn

from cowslipvane.call import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Fence,
    Incomplete,
    Offer,
    OfferAssembler,
    Overflow,
    OwnerMessage,
    Refused,
    SendReply,
    split_offer,
)
from cowslipvane.events import EventLog
from cowslipvane.membership import Member
from cowslipvane.refusal import QueueFull
from cowslipvane.subscription import Backoff
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import HostName, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Offer, Answer, Chunk, Refused, Cancel, Fence)

# While answers are due and nothing comes, the peer is asked this often whether it is there.
PROBE_EVERY: Seconds = 0.25
# A peer that doesn't answer for this long is lost.
PROBE_TIMEOUT: Seconds = 0.5
# Pauses before a lost connection is made again: short after a reset, longer in a partition.
FIRST_RECONNECT: Seconds = 0.05
LONGEST_RECONNECT: Seconds = 1.0
# An owner that can't be reached for this long is connected to only when a call needs it.
LOST_FOR_GOOD: Seconds = 60.0
# When to try again after the bodies that arrive were too large together.
OVERFLOW_RETRY: Seconds = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """Report a lost connection to an owner; outcome_unknown: whether the attempt may have started.

    An owner that ends a connection as planned has answered every attempt that it had started.
    """

    outcome_unknown: bool


Mailbox = asyncio.Queue[OwnerMessage | LinkLost]


class _End(enum.Enum):
    """How an attempt to converse with an owner has ended."""

    LEFT = "it has ended the connection as planned"
    LOST = "the connection was lost"
    UNREACHABLE = "there was no connection"


class PeerLink:
    """The connection to one owner, made again when it is lost, and the attempts that wait on it."""

    def __init__(self, *, member: Member, events: EventLog) -> None:
        self._member = member
        self._events = events
        # Whether the event log says so.
        self._unreachable = False
        self._link: Link | None = None
        self._failed = False
        self._silent = False
        self._heard = False
        self._mailboxes: dict[AttemptId, Mailbox] = {}
        # Sent at each end of an attempt to connect.
        self._tried = Signal()
        self._backoff = Backoff(
            initial_delay=FIRST_RECONNECT, max_delay=LONGEST_RECONNECT, rng=random.Random()
        )
        self._task = asyncio.create_task(self._run())

    @property
    def closed(self) -> bool:
        """Return whether no connection is made any more."""
        return self._task.done()

    @property
    def is_reachable(self) -> bool:
        """Return whether the owner could be reached when it was last tried."""
        return not self._failed

    def is_to(self, member: Member) -> bool:
        """Return whether the connection is to this life of an owner."""
        return self._member.incarnation == member.incarnation

    async def send(self, message: Offer | Fence | Cancel, mailbox: Mailbox | None) -> None:
        """Send what concerns an attempt; whatever comes of it arrives in the mailbox, if any."""
        while self._link is None and not self._failed:
            await self._tried.wait()
        if self._link is None:
            if mailbox is not None:
                mailbox.put_nowait(LinkLost(outcome_unknown=False))
            return
        if mailbox is None:
            self._mailboxes.pop(message.attempt, None)
        else:
            self._mailboxes[message.attempt] = mailbox
        try:
            await self._send_parts(self._link, message)
        except LinkClosed as closed:
            if mailbox is not None and self._mailboxes.pop(message.attempt, None) is not None:
                mailbox.put_nowait(LinkLost(outcome_unknown=not closed.going_away))

    async def _send_parts(self, link: Link, message: Offer | Fence | Cancel) -> None:
        """Send a message, an offer in parts between which other calls' messages go out."""
        match message:
            case Offer():
                for part in split_offer(message):
                    await link.send(part)
                    # A send that doesn't block lets no other task run.
                    await asyncio.sleep(0)
            case Fence() | Cancel():
                await link.send(message)

    def end(self) -> None:
        """Begin to close the connection, whose owner has restarted."""
        self._task.cancel()

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Connect again and again, until the owner leaves as planned or is lost for long."""
        heard_at = time.monotonic()
        try:
            while time.monotonic() < heard_at + LOST_FOR_GOOD:
                match await self._connect_once():
                    case _End.LEFT:
                        return
                    case _End.LOST:
                        heard_at = time.monotonic()
                    case _End.UNREACHABLE:
                        pass
                await asyncio.sleep(self._backoff.next_delay())
        finally:
            self._lose(in_doubt=True)

    async def _connect_once(self) -> _End:
        """Connect, converse until that ends, and return how it did."""
        try:
            async with connect(self._member.peers, "/calls") as link:
                await self._converse(link)
        except (LinkClosed, Malformed) as error:
            connected = self._link is not None
            left = isinstance(error, LinkClosed) and error.going_away
            # A reset says nothing against a new connection; silence does.
            self._lose(in_doubt=not left, failed=not connected or self._silent)
            self._note_end(str(error))
            if left:
                return _End.LEFT
            return _End.LOST if connected else _End.UNREACHABLE

    async def _converse(self, link: Link) -> NoReturn:
        """Put every message into the mailbox of its attempt, until the connection is lost."""
        self._link = link
        self._failed = self._silent = False
        self._note_begin()
        self._tried.send()
        watch = asyncio.create_task(self._watch(link))
        try:
            while True:
                self._deliver(await link.receive())
                self._heard = True
                self._backoff.reset()
        finally:
            watch.cancel()

    def _note_begin(self) -> None:
        """Record that an owner is reached again that wasn't."""
        if self._unreachable:
            self._events.record("peer", peer=self._member.host, state="reached again")
        self._unreachable = False

    def _note_end(self, reason: str) -> None:
        """Record once that an owner can't be reached."""
        if self._failed and not self._unreachable:
            self._events.record("peer", peer=self._member.host, state="lost", reason=reason)
        self._unreachable = self._failed

    def _lose(self, *, in_doubt: bool, failed: bool = True) -> None:
        """Tell all that wait that there is no connection; failed says not to wait for another."""
        self._link = None
        self._failed = failed
        self._tried.send()
        for mailbox in self._mailboxes.values():
            mailbox.put_nowait(LinkLost(outcome_unknown=in_doubt))
        self._mailboxes.clear()

    async def _watch(self, link: Link) -> None:
        """End a connection that has gone silent while answers are due."""
        while True:
            self._heard = False
            await asyncio.sleep(PROBE_EVERY)
            if self._heard or not self._mailboxes:
                continue
            try:
                await link.probe(PROBE_TIMEOUT)
            except LinkClosed:
                self._silent = True
                link.abort()
                return

    def _deliver(self, message: object) -> None:
        """Put a message into the mailbox of its attempt, if anybody still waits."""
        match message:
            case Answer(more=more) | Chunk(more=more):
                mailbox = self._mailboxes.get(message.attempt)
                if not more:
                    self._mailboxes.pop(message.attempt, None)
            case Refused():
                mailbox = self._mailboxes.pop(message.attempt, None)
            case _:
                raise Malformed("an owner sent another message")
        if mailbox is not None:
            mailbox.put_nowait(message)


class Peers:
    """The connections to owners on other hosts, opened when first needed."""

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._links: dict[HostName, PeerLink] = {}

    def is_reachable(self, member: Member) -> bool:
        """Return whether a call to an owner is likely to arrive there."""
        link = self._current(member)
        return link is None or link.is_reachable

    def link(self, member: Member) -> PeerLink:
        """Return the connection to an owner."""
        link = self._current(member)
        if link is None:
            if member.host in self._links:
                # It is to an earlier life of the owner, or has ended already.
                self._links[member.host].end()
            link = self._links[member.host] = PeerLink(member=member, events=self._events)
        return link

    def _current(self, member: Member) -> PeerLink | None:
        """Return the connection to this life of an owner, if one is kept."""
        link = self._links.get(member.host)
        return None if link is None or link.closed or not link.is_to(member) else link

    async def close(self) -> None:
        """Close all connections at once, since a peer that is cut off answers no closing."""
        await asyncio.gather(*(link.close() for link in self._links.values()))


async def serve_calls(link: Link, owner: Owner) -> None:
    """Take one proxy's attempts and send their answers back."""
    under_way: set[AttemptId] = set()
    arrivals = OfferAssembler()
    reply = _reply_over(link, under_way)
    try:
        while True:
            match await link.receive():
                case Offer() as offer:
                    under_way.add(offer.attempt)
                    await _take(arrivals.begin(offer), owner, reply)
                case Chunk() as chunk:
                    await _take(arrivals.add(chunk), owner, reply)
                case Fence() as fence:
                    under_way.add(fence.attempt)
                    arrivals.drop(fence.attempt)
                    await owner.fence(fence, reply)
                case Cancel() as cancel:
                    arrivals.drop(cancel.attempt)
                    await owner.cancel(cancel, reply)
                case _:
                    return
    finally:
        for attempt in under_way:
            owner.abandon(attempt, reply)


async def _take(arrival: Offer | Incomplete | Overflow, owner: Owner, reply: SendReply) -> None:
    """Hand an offer to the owner once its body is whole."""
    match arrival:
        case Offer() as offer:
            await owner.offer(offer, reply)
        case Overflow(offer=offer):
            refusal = QueueFull(service=offer.service, retry_after=OVERFLOW_RETRY)
            await reply(Refused(attempt=offer.attempt, refusal=refusal))
        case Incomplete():
            return


def _reply_over(link: Link, under_way: set[AttemptId]) -> SendReply:
    """Return a reply that sends over a link and gives up once it is closed."""

    async def reply(message: OwnerMessage) -> None:
        match message:
            case Refused() | Answer(more=False) | Chunk(more=False):
                under_way.discard(message.attempt)
        try:
            await link.send(message)
        except LinkClosed:
            return

    return reply
