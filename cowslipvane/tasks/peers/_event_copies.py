"""Copies of refusal events on another process, so that they survive a crash of this one."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from cowslipvane.events import Event, EventLog, Origin
from cowslipvane.membership import Member, Membership
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

# Time between copies. A crash loses the refusals of this time, or more if no copy could be sent.
COPY_INTERVAL: Seconds = 0.25
RESPONSE_TIMEOUT: Seconds = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepEvents:
    """Asks a process to store copies of another process's events."""

    origin: Origin
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EventsKept:
    """Confirms that the copies are stored."""

    count: int


register(KeepEvents, EventsKept)


class EventCopies:
    """Copies refusal events to another process, and stores the copies of other processes."""

    def __init__(self, *, membership: Membership, events: EventLog) -> None:
        self._membership = membership
        self._events = events

    async def run(self) -> None:
        """Copy new refusals to another process at intervals."""
        while True:
            await asyncio.sleep(COPY_INTERVAL)
            events = self._events.take_uncopied()
            if not events:
                continue
            member = choose_copy_holder(self._membership, time.monotonic())
            if member is None or not await self._send_copies(member, events):
                self._events.requeue_uncopied(events)

    async def serve(self, link: Link) -> None:
        """Store the copies that one other process sends."""
        while True:
            match await link.receive():
                case KeepEvents(origin=origin, events=events):
                    self._events.store_copies(origin, events)
                    await link.send(EventsKept(count=len(events)))
                case _:
                    return

    async def _send_copies(self, member: Member, events: tuple[Event, ...]) -> bool:
        """Send copies to one process and return whether it has stored them."""
        try:
            async with connect(member.peers, "/events") as link:
                await link.send(KeepEvents(origin=self._events.origin, events=events))
                response = await link.receive(timeout=RESPONSE_TIMEOUT)
        except (LinkClosed, Malformed, TimeoutError):
            return False
        return isinstance(response, EventsKept)


def choose_copy_holder(membership: Membership, now: float) -> Member | None:
    """Return the next live process by host name, preferably in this data centre."""
    own = membership.own
    candidates = [
        member
        for member in membership.members
        if member.host != own.host
        and member.state == "up"
        and membership.is_alive(member.host, now)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda member: (
            member.data_centre != own.data_centre,
            member.host < own.host,
            member.host,
        ),
    )
