"""Calls handed over between proxies: one task for each peer."""

from __future__ import annotations

import asyncio

from cowslipvane.admission import Reply
from cowslipvane.call import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Offer,
    OwnerMessage,
    Refused,
)
from cowslipvane.membership import Member
from cowslipvane.refusal import OwnerUnreachable
from cowslipvane.tasks._owner import Owner
from cowslipvane.types import HostName, Verdict
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Offer, Answer, Chunk, Refused, Cancel)

Mailbox = asyncio.Queue[OwnerMessage]


class PeerLink:
    """The connection to one owner, and the attempts that wait for its answers."""

    def __init__(self, *, member: Member) -> None:
        self._member = member
        self._link: Link | None = None
        self._mailboxes: dict[AttemptId, Mailbox] = {}
        self._task = asyncio.create_task(self._run())
        self._opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._task.done()

    async def offer(self, offer: Offer, mailbox: Mailbox) -> None:
        """Hand an attempt over; whatever comes of it arrives in the mailbox."""
        try:
            await asyncio.shield(self._opened)
        except LinkClosed:
            await mailbox.put(self._unreachable(offer.attempt, Verdict.NOT_RUN))
            return
        assert self._link is not None
        self._mailboxes[offer.attempt] = mailbox
        try:
            await self._link.send(offer)
        except LinkClosed:
            if self._mailboxes.pop(offer.attempt, None) is not None:
                await mailbox.put(self._unreachable(offer.attempt, Verdict.MAY_HAVE_RUN))

    async def cancel(self, attempt: AttemptId) -> None:
        """Give an attempt up."""
        if self._mailboxes.pop(attempt, None) is None or self._link is None:
            return
        try:
            await self._link.send(Cancel(attempt=attempt))
        except LinkClosed:
            return

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Connect, and put every message into the mailbox of its attempt."""
        try:
            async with connect(self._member.peers, "/calls") as link:
                self._link = link
                self._opened.set_result(None)
                while True:
                    self._deliver(await link.receive())
        except (LinkClosed, Malformed) as error:
            if not self._opened.done():
                self._opened.set_exception(LinkClosed(str(error)))
                self._opened.exception()
        finally:
            for attempt, mailbox in self._mailboxes.items():
                mailbox.put_nowait(self._unreachable(attempt, Verdict.MAY_HAVE_RUN))
            self._mailboxes.clear()

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

    def _unreachable(self, attempt: AttemptId, verdict: Verdict) -> Refused:
        """Return the refusal for an attempt that the connection has lost."""
        refusal = OwnerUnreachable(host=self._member.host, verdict=verdict)
        return Refused(attempt=attempt, refusal=refusal)


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
        """Close all connections."""
        for link in self._links.values():
            await link.close()


async def serve_calls(link: Link, owner: Owner) -> None:
    """Take one proxy's attempts and send their answers back."""
    under_way: set[AttemptId] = set()
    reply = _reply_over(link, under_way)
    try:
        while True:
            match await link.receive():
                case Offer() as offer:
                    under_way.add(offer.attempt)
                    await owner.offer(offer, reply)
                case Cancel(attempt=attempt):
                    owner.cancel(attempt)
                case _:
                    return
    finally:
        for attempt in under_way:
            owner.cancel(attempt)


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
