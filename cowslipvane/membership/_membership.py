"""The membership: whose record is newest, and whose lease has run out."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from cowslipvane.membership._member import Member, Worker
from cowslipvane.types import HostName, Seconds, ServiceName

# A record that was not renewed for this long counts as gone.
LEASE: Seconds = 3.0


class Membership:
    """The newest known record of each member, one of them this process's own."""

    def __init__(self, *, own: Member, now: float) -> None:
        self._own = own
        self._members: dict[HostName, Member] = {own.host: own}
        self._renewed: dict[HostName, float] = {own.host: now}

    @property
    def own(self) -> Member:
        """Return this process's own record."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest record of each member."""
        return tuple(self._members.values())

    def member(self, host: HostName) -> Member | None:
        """Return the newest record of a host, if there is one."""
        return self._members.get(host)

    def renew(self, now: float) -> None:
        """Renew this process's own lease."""
        self._publish(self._own._replace(counter=self._own.counter + 1), now)

    def announce(self, worker: Worker | None, now: float) -> None:
        """Take the own upstream in, or out when it is None."""
        self._publish(self._own._replace(counter=self._own.counter + 1, worker=worker), now)

    def leave(self, state: Literal["leaving", "gone"], now: float) -> None:
        """Say that this process takes no new work, or is gone."""
        self._publish(self._own._replace(counter=self._own.counter + 1, state=state), now)

    def merge(self, records: Iterable[Member], now: float) -> list[Member]:
        """Keep the records that are newer than those held, and return them."""
        newer = [record for record in records if self._is_news(record)]
        for record in newer:
            self._members[record.host] = record
            self._renewed[record.host] = now
        return newer

    def newer_than(self, records: Iterable[Member]) -> tuple[Member, ...]:
        """Return the records held here that a holder of the given ones lacks."""
        theirs = {record.host: record.order for record in records}
        return tuple(
            record
            for record in self._members.values()
            if record.order > theirs.get(record.host, (-1, -1))
        )

    def owners(self, service: ServiceName, now: float) -> list[Member]:
        """Return the members whose upstream serves a service and takes new work."""
        return [
            member
            for member in self._members.values()
            if member.worker is not None
            and member.worker.service == service
            and member.state == "up"
            and self.is_alive(member.host, now)
        ]

    def is_alive(self, host: HostName, now: float) -> bool:
        """Return whether a member's lease still runs."""
        return host == self._own.host or now < self._renewed.get(host, -LEASE) + LEASE

    def _is_news(self, record: Member) -> bool:
        """Return whether a record of another host is newer than the one held."""
        held = self._members.get(record.host)
        return record.host != self._own.host and (held is None or record.order > held.order)

    def _publish(self, own: Member, now: float) -> None:
        """Replace the own record."""
        self._own = own
        self._members[own.host] = own
        self._renewed[own.host] = now
