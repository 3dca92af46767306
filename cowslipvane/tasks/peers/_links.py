"""Calls between proxies: one task for the connection to each peer."""

from __future__ import annotations

import asyncio
import enum
import random
import time
from typing import NoReturn

from cowslipvane.call import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Fence,
    Offer,
    Refused,
    split_offer,
)
from cowslipvane.events import EventLog
from cowslipvane.membership import Member
from cowslipvane.subscription import Backoff
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.peers._mailbox import LinkLost, Mailbox
from cowslipvane.types import HostName, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Offer, Answer, Chunk, Refused, Cancel, Fence)

# Interval of liveness probes while replies are outstanding and nothing is received.
PROBE_INTERVAL: Seconds = 0.25
# An owner that doesn't respond to a probe within this time gets no further calls until it does.
PROBE_TIMEOUT: Seconds = 0.5
# Its connection is lost if it goes on not to respond for this time. A host that is short of
# processor time is silent for less, and the calls that it holds would end with their connection.
LOSS_TIMEOUT: Seconds = 1.5
# Delays before reconnecting: short after a reset, longer during a partition.
INITIAL_RECONNECT_DELAY: Seconds = 0.05
MAX_RECONNECT_DELAY: Seconds = 1.0
# After this time without a connection, one is opened again only when a call needs it.
STOP_RECONNECTING_AFTER: Seconds = 60.0


class _End(enum.Enum):
    """How a connection to an owner, or an attempt to connect, has ended."""

    GOING_AWAY = "it has ended the connection as planned"
    LOST = "the connection was lost"
    UNREACHABLE = "there was no connection"


class PeerLink:
    """The connection to one owner, reopened when it is lost, and its outstanding attempts."""

    def __init__(self, *, member: Member, events: EventLog) -> None:
        self._member = member
        self._events = events
        # Whether the owner was last recorded as lost in the event log.
        self._recorded_lost = False
        self._link: Link | None = None
        self._failed = False
        self._silent = False
        self._mailboxes: dict[AttemptId, Mailbox] = {}
        # Attempts whose offer lacks parts yet; an owner starts none of them.
        self._incomplete: set[AttemptId] = set()
        # Sent when a reply becomes outstanding.
        self._reply_expected = Signal()
        # Sent when an attempt to connect has succeeded or failed.
        self._connect_attempted = Signal()
        self._backoff = Backoff(
            initial_delay=INITIAL_RECONNECT_DELAY,
            max_delay=MAX_RECONNECT_DELAY,
            rng=random.Random(),
        )
        self._task = asyncio.create_task(self._run())

    @property
    def is_closed(self) -> bool:
        """Return whether the task has ended, so that no connection is opened any more."""
        return self._task.done()

    @property
    def is_reachable(self) -> bool:
        """Return False if the last attempt to connect failed, or while the owner is silent."""
        return not self._failed and not self._silent

    def is_for(self, member: Member) -> bool:
        """Return whether the connection is to this incarnation of an owner."""
        return self._member.incarnation == member.incarnation

    async def send(self, message: Offer | Fence | Cancel, mailbox: Mailbox | None) -> None:
        """Send a message about an attempt; replies and LinkLost go into the mailbox, if any."""
        while self._link is None and not self._failed:
            await self._connect_attempted.wait()
        if self._link is None:
            if mailbox is not None:
                mailbox.put_nowait(LinkLost(outcome_unknown=False))
            return
        if mailbox is None:
            self._mailboxes.pop(message.attempt, None)
        else:
            self._mailboxes[message.attempt] = mailbox
            self._reply_expected.send()
        try:
            await self._send_parts(self._link, message)
        except LinkClosed as closed:
            if mailbox is not None and self._mailboxes.pop(message.attempt, None) is not None:
                mailbox.put_nowait(self._lost(message.attempt, going_away=closed.going_away))
        finally:
            self._incomplete.discard(message.attempt)

    async def _send_parts(self, link: Link, message: Offer | Fence | Cancel) -> None:
        """Send a message, an offer in parts that are interleaved with other calls' messages."""
        match message:
            case Offer():
                self._incomplete.add(message.attempt)
                for part in split_offer(message):
                    if message.attempt not in self._mailboxes:
                        # The owner has refused it, and drops what still comes of its body.
                        return
                    if not part.more:
                        self._incomplete.discard(message.attempt)
                    match part:
                        case Offer(more=False):
                            await link.send(part)
                        case _:
                            await link.send_bulk(part)
                    # Without this, a send that doesn't block would let no other task run.
                    await asyncio.sleep(0)
            case Fence() | Cancel():
                await link.send(message)

    def _lost(self, attempt: AttemptId, *, going_away: bool) -> LinkLost:
        """Return what is known of an attempt whose connection is lost."""
        return LinkLost(outcome_unknown=not going_away and attempt not in self._incomplete)

    def start_closing(self) -> None:
        """Start closing the connection without waiting for it."""
        self._task.cancel()

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        """Connect repeatedly, until the owner goes away or can't be reached for a long time."""
        last_connected_at = time.monotonic()
        try:
            while time.monotonic() < last_connected_at + STOP_RECONNECTING_AFTER:
                match await self._connect_once():
                    case _End.GOING_AWAY:
                        return
                    case _End.LOST:
                        last_connected_at = time.monotonic()
                    case _End.UNREACHABLE:
                        pass
                await asyncio.sleep(self._backoff.next_delay())
        finally:
            self._fail_pending()

    async def _connect_once(self) -> _End:
        """Connect, receive messages until the connection ends, and return how it ended."""
        try:
            async with connect(self._member.peers, "/calls") as link:
                await self._receive_messages(link)
        except (LinkClosed, Malformed) as error:
            connected = self._link is not None
            going_away = isinstance(error, LinkClosed) and error.going_away
            # After a reset, a new connection is likely to succeed; after silence, it isn't.
            self._fail_pending(going_away=going_away, failed=not connected or self._silent)
            self._record_unreachable(str(error))
            if going_away:
                return _End.GOING_AWAY
            return _End.LOST if connected else _End.UNREACHABLE

    async def _receive_messages(self, link: Link) -> NoReturn:
        """Deliver each received message, until the connection is lost."""
        self._link = link
        self._failed = self._silent = False
        self._record_reachable()
        self._connect_attempted.send()
        watchdog = asyncio.create_task(self._watch(link))
        try:
            while True:
                self._deliver(await link.receive())
                self._backoff.reset()
        finally:
            watchdog.cancel()

    def _record_reachable(self) -> None:
        """Record that an owner that was lost has been reached again."""
        if self._recorded_lost:
            self._events.record("peer", peer=self._member.host, state="reached again")
        self._recorded_lost = False

    def _record_unreachable(self, reason: str) -> None:
        """Record that an owner can't be reached, once until it is reached again."""
        if self._failed and not self._recorded_lost:
            self._events.record("peer", peer=self._member.host, state="lost", reason=reason)
        self._recorded_lost = self._failed

    def _fail_pending(self, *, going_away: bool = False, failed: bool = True) -> None:
        """Put LinkLost into all mailboxes; if failed, senders don't wait for a new connection."""
        self._link = None
        self._failed = failed
        self._connect_attempted.send()
        for attempt, mailbox in self._mailboxes.items():
            mailbox.put_nowait(self._lost(attempt, going_away=going_away))
        self._mailboxes.clear()

    async def _watch(self, link: Link) -> None:
        """Note when the owner is silent while replies are outstanding; abort if it stays silent."""
        while True:
            # A process has links to many owners, and most of them are idle at any time.
            if not self._mailboxes:
                await self._reply_expected.wait()
            received_bytes = link.received_bytes
            await asyncio.sleep(PROBE_INTERVAL)
            if link.received_bytes > received_bytes or not self._mailboxes:
                continue
            if await _responds(link, PROBE_TIMEOUT):
                continue
            self._silent = True
            self._events.record("peer", peer=self._member.host, state="silent")
            if not await _responds(link, LOSS_TIMEOUT):
                link.abort()
                return
            self._silent = False
            self._events.record("peer", peer=self._member.host, state="responds again")

    def _deliver(self, message: object) -> None:
        """Put a message into the mailbox of its attempt, if there is still one."""
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
    """The connections to owners on other hosts, opened on demand."""

    def __init__(self, *, events: EventLog) -> None:
        self._events = events
        self._links: dict[HostName, PeerLink] = {}

    def is_reachable(self, member: Member) -> bool:
        """Return whether a call to an owner is likely to reach it."""
        link = self._active_link(member)
        return link is None or link.is_reachable

    def link(self, member: Member) -> PeerLink:
        """Return the connection to an owner."""
        link = self._active_link(member)
        if link is None:
            if member.host in self._links:
                # It is to an earlier incarnation of the owner, or has ended already.
                self._links[member.host].start_closing()
            link = self._links[member.host] = PeerLink(member=member, events=self._events)
        return link

    def _active_link(self, member: Member) -> PeerLink | None:
        """Return the active link to this incarnation of an owner, if there is one."""
        link = self._links.get(member.host)
        return None if link is None or link.is_closed or not link.is_for(member) else link

    async def close(self) -> None:
        """Close all connections concurrently, since a partitioned peer doesn't confirm a close."""
        await asyncio.gather(*(link.close() for link in self._links.values()))


async def _responds(link: Link, timeout: Seconds) -> bool:
    """Return whether the peer responds to a probe within a timeout."""
    try:
        await link.probe(timeout)
    except LinkClosed:
        return False
    return True
