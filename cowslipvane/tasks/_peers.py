"""Calls handed over between proxies: one task for each peer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cowslipvane.call import (
    Answer,
    Arrivals,
    Arriving,
    AttemptId,
    Cancel,
    Chunk,
    Fence,
    Offer,
    Overflow,
    OwnerMessage,
    Refused,
    Reply,
    parts_of,
)
from cowslipvane.membership import Member
from cowslipvane.refusal import QueueFull
from cowslipvane.tasks._owner import Owner
from cowslipvane.types import HostName, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Offer, Answer, Chunk, Refused, Cancel, Fence)

# While answers are due and nothing comes, the peer is asked this often whether it is there.
PROBE_EVERY: Seconds = 0.25
# A peer that doesn't answer for this long is lost.
PROBE_TIMEOUT: Seconds = 0.5
# When to try again after the bodies that arrive were too large together.
OVERFLOW_RETRY: Seconds = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """The connection to an owner has ended; in_doubt says whether the attempt may have started.

    An owner that ends a connection as planned has answered every attempt that it had started.
    """

    in_doubt: bool


Mailbox = asyncio.Queue[OwnerMessage | LinkLost]


class PeerLink:
    """The connection to one owner, and the attempts that wait for its answers."""

    def __init__(self, *, member: Member) -> None:
        self._member = member
        self._link: Link | None = None
        self._heard = False
        self._mailboxes: dict[AttemptId, Mailbox] = {}
        self._task = asyncio.create_task(self._run())
        self._opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._task.done()

    async def send(self, message: Offer | Fence | Cancel, mailbox: Mailbox | None) -> None:
        """Send what concerns an attempt; whatever comes of it arrives in the mailbox, if any."""
        try:
            await asyncio.shield(self._opened)
        except LinkClosed:
            if mailbox is not None:
                mailbox.put_nowait(LinkLost(in_doubt=False))
            return
        assert self._link is not None
        if mailbox is None:
            self._mailboxes.pop(message.attempt, None)
        else:
            self._mailboxes[message.attempt] = mailbox
        try:
            await self._send_parts(self._link, message)
        except LinkClosed as closed:
            if mailbox is not None and self._mailboxes.pop(message.attempt, None) is not None:
                mailbox.put_nowait(LinkLost(in_doubt=not closed.going_away))

    async def _send_parts(self, link: Link, message: Offer | Fence | Cancel) -> None:
        """Send a message, an offer in parts between which other calls' messages go out."""
        match message:
            case Offer():
                for part in parts_of(message):
                    await link.send(part)
                    # A send that doesn't block lets no other task run.
                    await asyncio.sleep(0)
            case Fence() | Cancel():
                await link.send(message)

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Connect, and put every message into the mailbox of its attempt."""
        in_doubt = True
        try:
            async with connect(self._member.peers, "/calls") as link:
                self._link = link
                self._opened.set_result(None)
                watch = asyncio.create_task(self._watch(link))
                try:
                    while True:
                        self._deliver(await link.receive())
                        self._heard = True
                finally:
                    watch.cancel()
        except (LinkClosed, Malformed) as error:
            in_doubt = not (isinstance(error, LinkClosed) and error.going_away)
            if not self._opened.done():
                self._opened.set_exception(LinkClosed(str(error)))
                self._opened.exception()
        finally:
            for mailbox in self._mailboxes.values():
                mailbox.put_nowait(LinkLost(in_doubt=in_doubt))
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

    def __init__(self) -> None:
        self._links: dict[HostName, PeerLink] = {}

    def link(self, member: Member) -> PeerLink:
        """Return the connection to an owner."""
        link = self._links.get(member.host)
        if link is None or link.closed:
            link = PeerLink(member=member)
            self._links[member.host] = link
        return link

    async def close(self) -> None:
        """Close all connections at once, since a peer that is cut off answers no closing."""
        await asyncio.gather(*(link.close() for link in self._links.values()))


async def serve_calls(link: Link, owner: Owner) -> None:
    """Take one proxy's attempts and send their answers back."""
    under_way: set[AttemptId] = set()
    arrivals = Arrivals()
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
            owner.forsake(attempt, reply)


async def _take(arrival: Offer | Arriving | Overflow, owner: Owner, reply: Reply) -> None:
    """Hand an offer to the owner once its body is whole."""
    match arrival:
        case Offer() as offer:
            await owner.offer(offer, reply)
        case Overflow(offer=offer):
            refusal = QueueFull(service=offer.service, retry_after=OVERFLOW_RETRY)
            await reply(Refused(attempt=offer.attempt, refusal=refusal))
        case Arriving():
            return


def _reply_over(link: Link, under_way: set[AttemptId]) -> Reply:
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
