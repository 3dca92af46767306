"""The spread of membership: one task for each neighbour."""

from __future__ import annotations

import asyncio
import time

from cowslipvane.events import EventLog
from cowslipvane.membership import Exchange, ExchangeReply, Member, Membership
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import Address, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(Exchange, ExchangeReply)


class Members:
    """Exchanges member records with neighbours."""

    def __init__(
        self,
        *,
        membership: Membership,
        seeds: tuple[Address, ...],
        interval: Seconds,
        events: EventLog,
    ) -> None:
        self._membership = membership
        self._seeds = seeds
        self._interval = interval
        self._events = events
        self._changed = Signal()

    @property
    def membership(self) -> Membership:
        """Return the membership."""
        return self._membership

    def spread(self) -> None:
        """Exchange at once, because the own record has changed."""
        self._changed.send()

    async def run(self) -> None:
        """Exchange with every neighbour until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for address in self._seeds:
                if address != self._membership.own.peers:
                    tasks.create_task(self._exchange(address))

    async def serve(self, link: Link) -> None:
        """Answer one neighbour's exchanges, in order."""
        while True:
            match await link.receive():
                case Exchange(members=members):
                    self._merge(members)
                    await link.send(ExchangeReply(members=self._membership.newer_than(members)))
                case _:
                    return

    async def _exchange(self, address: Address) -> None:
        """Keep one connection to a neighbour and exchange records over it."""
        while True:
            try:
                async with connect(address, "/members") as link:
                    await self._converse(link)
            except (LinkClosed, Malformed, TimeoutError):
                await asyncio.sleep(self._interval)

    async def _converse(self, link: Link) -> None:
        """Send the records held, take newer ones back, and wait."""
        while True:
            self._membership.renew(time.monotonic())
            own = self._membership.own.host
            await link.send(Exchange(sender=own, members=self._membership.members))
            match await asyncio.wait_for(link.receive(), self._interval * 4):
                case ExchangeReply(members=members):
                    self._merge(members)
                case _:
                    raise Malformed("a neighbour answered with another message")
            await self._changed.wait(self._interval)

    def _merge(self, records: tuple[Member, ...]) -> None:
        """Take newer records in and record what changed."""
        known = {member.host: member for member in self._membership.members}
        for member in self._membership.merge(records, time.monotonic()):
            before = known.get(member.host)
            if before is None or before.state != member.state or before.worker != member.worker:
                self._events.record("member", member=member.host, state=member.state)
