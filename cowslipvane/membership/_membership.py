"""The membership: whose record is newest, who is suspected, and who is dead."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import takewhile
from typing import Literal

from cowslipvane.membership._member import Member, Order, Stamp, Worker, record_hash
from cowslipvane.membership._topology import (
    GATEWAYS,
    Neighbour,
    exported,
    gateway_neighbours,
    gateways,
    ring_neighbours,
)
from cowslipvane.types import Address, DataCentre, HostName, Seconds, ServiceName

# A suspected member that hasn't contradicted for this long is dead.
SUSPICION_TIMEOUT: Seconds = 3.0
# One process suspects an incarnation this seldom, so that a bad path between two can't flood.
SUSPECT_AGAIN: Seconds = 10.0
# A process that looks this long after a reply was due has stood still itself.
OWN_STALL: Seconds = 0.5
# A new process tells other data centres of others only after this, once it knows its own.
SETTLING_TIME: Seconds = 2.5
# The record of a dead member is kept this long, so that older ones can't bring it back.
FORGET_AFTER: Seconds = 7200.0


class Membership:
    """The newest known record of each member, one of them this process's own."""

    def __init__(self, *, own: Member, now: float, seeds: Iterable[Address] = ()) -> None:
        self._own = own
        self._seeds = frozenset(seeds)
        self._members: dict[HostName, Member] = {}
        # The hosts by their last change, oldest first, with the revision that it made.
        self._changes: dict[HostName, int] = {}
        self._revision = 0
        self._digest = 0
        self._suspected_since: dict[HostName, float] = {}
        self._dead_since: dict[HostName, float] = {}
        self._accused: dict[HostName, tuple[int, float]] = {}
        self._owners: dict[ServiceName, list[Member]] = {}
        self._exported: frozenset[HostName] | None = None
        self._proxies: int | None = None
        self._settled_at = now + SETTLING_TIME
        self._settled = False
        self._keep(own, now)

    @property
    def own(self) -> Member:
        """Return this process's own record."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the newest record of each member that isn't dead."""
        return tuple(self._live())

    @property
    def estimated_proxy_count(self) -> int:
        """Return about how many proxies there are: those here, times the data centres."""
        if self._proxies is None:
            here = sum(member.callers is not None for member in self._live_here())
            centres = {member.data_centre for member in self._live()}
            self._proxies = max(1, here) * len(centres)
        return self._proxies

    @property
    def revision(self) -> int:
        """Return a number that grows with each change."""
        return self._revision

    @property
    def digest(self) -> int:
        """Return a hash over the records of all members that aren't dead."""
        return self._digest

    @property
    def exported_hosts(self) -> frozenset[HostName]:
        """Return the members of this data centre that others are told of."""
        if self._exported is None:
            known = self._live_here() if self._settled else [self._own]
            self._exported = exported(known, self._seeds)
        return self._exported

    def member(self, host: HostName) -> Member | None:
        """Return the newest record of a host, if there is one."""
        return self._members.get(host)

    def set_worker(self, worker: Worker | None, now: float) -> None:
        """Take the own upstream in, or out when it is None."""
        self._publish(self._own._replace(worker=worker), now)

    def leave(self, state: Literal["leaving", "gone"], now: float) -> None:
        """Say that this process takes no new work, or is gone."""
        self._publish(self._own._replace(state=state), now)

    def merge(self, records: Iterable[Member], now: float) -> list[Member]:
        """Keep the records that are newer than those held, and return them."""
        newer = []
        for record in records:
            if record.host == self._own.host:
                self._contradict(record, now)
            elif self._is_news(record):
                self._keep(record, now)
                newer.append(record)
        return newer

    def suspect(self, host: HostName, now: float) -> bool:
        """Suspect a member of this data centre that doesn't answer; return whether that is news."""
        held = self._members.get(host)
        if held is None or held.suspected or held.data_centre != self._own.data_centre:
            return False
        incarnation, at = self._accused.get(host, (0, 0.0))
        if host == self._own.host or (incarnation == held.incarnation and now < at + SUSPECT_AGAIN):
            return False
        self._accused[host] = (held.incarnation, now)
        self._keep(held._replace(suspected=True), now)
        return True

    def handle_missed_reply(self, host: HostName, due_at: float, now: float) -> bool:
        """Suspect a member whose reply is overdue; return whether that is news."""
        # After a stall of this process the reply may lie unread, and proves nothing.
        return now < due_at + OWN_STALL and self.suspect(host, now)

    def expire(self, now: float) -> list[Member]:
        """Count members that were suspected for too long as dead, and return them."""
        late = [
            host
            for host, since in self._suspected_since.items()
            if now >= since + SUSPICION_TIMEOUT
        ]
        if not self._settled and now >= self._settled_at:
            self._settled = True
            self._revision += 1
            self._drop_views()
        for host in late:
            self._bury(host, now)
        for host, since in list(self._dead_since.items()):
            if now >= since + FORGET_AFTER:
                self._forget(host)
        return [self._members[host] for host in late]

    def is_alive(self, host: HostName, now: float) -> bool:
        """Return whether a member is there and nobody suspects it."""
        held = self._members.get(host)
        return held is not None and not held.suspected and host not in self._dead_since

    def owners(self, service: ServiceName, now: float) -> list[Member]:
        """Return the members whose upstream serves a service and takes new work.

        Suspected members are among them only when there is no other.
        """
        found = self._owners.get(service)
        if found is None:
            serving = [member for member in self._live() if _serves(member, service)]
            found = [member for member in serving if not member.suspected] or serving
            self._owners[service] = found
        return found

    def neighbours(self) -> list[Neighbour]:
        """Return the members that this process keeps connections to."""
        here = [member.host for member in self._live_here()]
        abroad = gateway_neighbours(self._own, gateways(self._live()))
        return ring_neighbours(self._own.host, here) + abroad

    def needs_seed(self) -> bool:
        """Return whether this process has to ask a seed for members that it can't know of."""
        return self.is_alone() or self._own.host in gateways(self._live())[self._own.data_centre]

    def is_alone(self) -> bool:
        """Return whether no other member is known."""
        return len(self._members) - len(self._dead_since) <= 1

    def knows_gateways(self, data_centre: DataCentre) -> bool:
        """Return whether enough members of a data centre are known to reach it."""
        return len(gateways(self._live()).get(data_centre, [])) >= GATEWAYS

    def changed_since(self, revision: int) -> list[Member]:
        """Return the records that have changed after a revision."""
        recent = takewhile(lambda item: item[1] > revision, reversed(self._changes.items()))
        return [self._members[host] for host, _ in recent]

    def newer_than(self, stamps: Iterable[Stamp]) -> list[Member]:
        """Return the records held here that a holder of the given ones lacks."""
        theirs: dict[HostName, Order] = {stamp.host: stamp.order for stamp in stamps}
        return [
            record
            for record in self._members.values()
            if (record.host in theirs and record.order > theirs[record.host])
            or (record.host not in theirs and record.host not in self._dead_since)
        ]

    def lacking(self, stamps: Iterable[Stamp]) -> tuple[HostName, ...]:
        """Return the hosts of which somebody else holds a newer record."""
        return tuple(
            stamp.host
            for stamp in stamps
            if stamp.host not in self._members or stamp.order > self._members[stamp.host].order
        )

    def _live(self) -> Iterator[Member]:
        """Yield the members that aren't dead."""
        return (member for host, member in self._members.items() if host not in self._dead_since)

    def _live_here(self) -> list[Member]:
        """Return the members of this data centre that aren't dead."""
        return [member for member in self._live() if member.data_centre == self._own.data_centre]

    def _is_news(self, record: Member) -> bool:
        """Return whether a record is newer than the one held."""
        held = self._members.get(record.host)
        return held is None or record.order > held.order

    def _contradict(self, record: Member, now: float) -> None:
        """Outbid a record of this host that somebody else holds against this process."""
        own = self._own
        if record.order <= own.order:
            return
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            # The clock went back between two lives of this process.
            incarnation = record.incarnation + 1
        counter = max(own.counter, record.counter)
        self._publish(own._replace(incarnation=incarnation, counter=counter), now)

    def _publish(self, own: Member, now: float) -> None:
        """Replace the own record by a newer one."""
        self._own = own._replace(counter=own.counter + 1)
        self._keep(self._own, now)

    def _keep(self, record: Member, now: float) -> None:
        """Hold a record in place of the one before."""
        host = record.host
        if host in self._members and host not in self._dead_since:
            self._digest ^= record_hash(self._members[host])
        self._members[host] = record
        self._digest ^= record_hash(record)
        self._dead_since.pop(host, None)
        self._suspected_since.pop(host, None)
        if record.suspected:
            self._suspected_since[host] = now
        self._note_change(host)
        if record.state == "gone" and host != self._own.host:
            self._bury(host, now)

    def _bury(self, host: HostName, now: float) -> None:
        """Count a member as dead."""
        self._suspected_since.pop(host, None)
        self._dead_since[host] = now
        self._digest ^= record_hash(self._members[host])
        # The next gateway or owner in line may be told abroad from now on.
        self._revision += 1
        self._drop_views()

    def _forget(self, host: HostName) -> None:
        """Drop the record of a dead member."""
        del self._members[host]
        del self._dead_since[host]
        del self._changes[host]
        self._accused.pop(host, None)

    def _note_change(self, host: HostName) -> None:
        """Give the change of a host's record the next revision."""
        self._revision += 1
        self._changes.pop(host, None)
        self._changes[host] = self._revision
        self._drop_views()

    def _drop_views(self) -> None:
        """Forget what was derived from the records."""
        self._owners.clear()
        self._exported = None
        self._proxies = None


def _serves(member: Member, service: ServiceName) -> bool:
    """Return whether a member's upstream takes new work of a service."""
    return member.worker is not None and member.worker.service == service and member.state == "up"
