"""Copies of refusals: one task hands them to another process, which answers after a restart."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from cowslipvane.events import Event, EventLog, Origin
from cowslipvane.membership import Member, Membership
from cowslipvane.types import Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

# Time between copies; refusals of the last such time are lost with a process that dies.
COPY_EVERY: Seconds = 0.25
ANSWER_TIMEOUT: Seconds = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepEvents:
    """Asks a process to keep copies of another's events."""

    origin: Origin
    events: tuple[Event, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EventsKept:
    """Says that the copies are kept."""

    count: int


register(KeepEvents, EventsKept)


class EventCopies:
    """Keeps refusals of other processes, and has another process keep those of this one."""

    def __init__(self, *, membership: Membership, events: EventLog) -> None:
        self._membership = membership
        self._events = events

    async def run(self) -> None:
        """Hand refusals to a witness whenever there are new ones."""
        while True:
            await asyncio.sleep(COPY_EVERY)
            events = self._events.take_uncopied()
            if not events:
                continue
            member = choose_copy_holder(self._membership, time.monotonic())
            if member is None or not await self._copy_to(member, events):
                self._events.requeue_uncopied(events)

    async def serve(self, link: Link) -> None:
        """Keep what one other process sends."""
        while True:
            match await link.receive():
                case KeepEvents(origin=origin, events=events):
                    self._events.store_copies(origin, events)
                    await link.send(EventsKept(count=len(events)))
                case _:
                    return

    async def _copy_to(self, member: Member, events: tuple[Event, ...]) -> bool:
        """Send copies to one process and return whether it keeps them."""
        try:
            async with connect(member.peers, "/events") as link:
                await link.send(KeepEvents(origin=self._events.origin, events=events))
                answer = await link.receive(timeout=ANSWER_TIMEOUT)
        except (LinkClosed, Malformed, TimeoutError):
            return False
        return isinstance(answer, EventsKept)


def choose_copy_holder(membership: Membership, now: float) -> Member | None:
    """Return the next live process in the order of names, in this data centre if there is one."""
    own = membership.own
    others = [
        member
        for member in membership.members
        if member.host != own.host
        and member.state == "up"
        and membership.is_alive(member.host, now)
    ]
    if not others:
        return None
    return min(
        others, key=lambda it: (it.data_centre != own.data_centre, it.host < own.host, it.host)
    )
