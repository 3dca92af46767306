"""The membership: the newest record of each member, and which are suspected or dead."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import takewhile
from typing import Literal

from cowslipvane.membership._member import (
    MAX_ORDER,
    Member,
    Order,
    Stamp,
    Worker,
    record_hash,
)
from cowslipvane.membership._topology import (
    GATEWAYS_PER_DATA_CENTRE,
    Neighbour,
    exported_hosts,
    gateway_neighbours,
    gateways,
    ring_neighbours,
)
from cowslipvane.types import Address, DataCentre, HostName, Seconds, ServiceName

# A suspected member is dead after this time without a newer record of its own.
SUSPICION_TIMEOUT: Seconds = 3.0
# The least time between two suspicions of one incarnation by the same process. It keeps a faulty
# network path between two members from flooding all others with suspicions.
SUSPICION_INTERVAL: Seconds = 10.0
# If a process checks for a reply this long after the reply was due, it was stalled itself.
LOCAL_STALL_THRESHOLD: Seconds = 0.5
# A new process sends only its own record to other data centres for this time, until it knows the
# members of its own data centre.
EXPORT_DELAY: Seconds = 2.5
# The record of a dead member is kept for this time, so that older records can't revive it.
DEAD_RECORD_RETENTION: Seconds = 7200.0


class Membership:
    """The newest known record of each member, including this process."""

    def __init__(self, *, own: Member, now: float, seeds: Iterable[Address] = ()) -> None:
        self._own = own
        self._seeds = frozenset(seeds)
        self._members: dict[HostName, Member] = {}
        # The revision of the last change of each host, the oldest change first.
        self._changes: dict[HostName, int] = {}
        self._revision = 0
        self._digest = 0
        self._suspected_since: dict[HostName, float] = {}
        self._dead_since: dict[HostName, float] = {}
        self._last_suspicions: dict[HostName, tuple[int, float]] = {}
        self._owners: dict[ServiceName, list[Member]] = {}
        self._exported_hosts: frozenset[HostName] | None = None
        self._local_addresses: frozenset[Address] | None = None
        self._proxy_count: int | None = None
        self._export_at = now + EXPORT_DELAY
        self._exports_others = False
        self._store(own, now)

    @property
    def own(self) -> Member:
        """Return this process's own record."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the records of the members that aren't dead."""
        return tuple(self._live())

    @property
    def estimated_proxy_count(self) -> int:
        """Return an estimate of all proxies: those of this data centre times the data centres."""
        if self._proxy_count is None:
            local = sum(member.callers is not None for member in self._live_local())
            data_centres = {member.data_centre for member in self._live()}
            self._proxy_count = max(1, local) * len(data_centres)
        return self._proxy_count

    @property
    def revision(self) -> int:
        """Return a number that increases with each change."""
        return self._revision

    @property
    def digest(self) -> int:
        """Return a hash over the records of all members that aren't dead."""
        return self._digest

    @property
    def exported_hosts(self) -> frozenset[HostName]:
        """Return the members of this data centre whose records are sent to other data centres."""
        if self._exported_hosts is None:
            known = self._live_local() if self._exports_others else [self._own]
            self._exported_hosts = exported_hosts(known, self._seeds)
        return self._exported_hosts

    def member(self, host: HostName) -> Member | None:
        """Return the newest record of a host, if there is one."""
        return self._members.get(host)

    def data_centre_of(self, host: HostName) -> DataCentre | None:
        """Return the data centre of a host, None if the host isn't known."""
        member = self._members.get(host)
        return None if member is None else member.data_centre

    def set_worker(self, worker: Worker | None, now: float) -> None:
        """Set the upstream of this process, or remove it if None."""
        self._publish(self._own._replace(worker=worker), now)

    def leave(self, state: Literal["leaving", "gone"], now: float) -> None:
        """Publish that this process accepts no new work, or is gone."""
        self._publish(self._own._replace(state=state), now)

    def merge(self, records: Iterable[Member], now: float) -> list[Member]:
        """Store the records that are newer than those held, and return them.

        A record that can't be used is ignored; acting on it would end this process, or keep others
        from reading its messages.
        """
        newer = []
        for record in records:
            if not self._is_newer(record) or not record.is_sound:
                continue
            if record.host == self._own.host:
                self._refute(record, now)
            else:
                self._store(record, now)
                newer.append(record)
        return newer

    def suspect(self, host: HostName, now: float) -> bool:
        """Suspect an unresponsive member of this data centre; return whether its record changed."""
        held = self._members.get(host)
        if held is None or held.suspected or held.data_centre != self._own.data_centre:
            return False
        incarnation, suspected_at = self._last_suspicions.get(host, (0, 0.0))
        if host == self._own.host or (
            incarnation == held.incarnation and now < suspected_at + SUSPICION_INTERVAL
        ):
            return False
        self._last_suspicions[host] = (held.incarnation, now)
        self._store(held._replace(suspected=True), now)
        return True

    def handle_missed_reply(self, host: HostName, due_at: float, now: float) -> bool:
        """Suspect a member whose reply is overdue; return whether its record changed."""
        # If this process was stalled, the reply may have arrived and not been read yet.
        return now < due_at + LOCAL_STALL_THRESHOLD and self.suspect(host, now)

    def expire(self, now: float) -> list[Member]:
        """Mark members that were suspected for too long as dead, and return them.

        Also remove dead records after their retention time, and end the export delay.
        """
        expired = [
            host
            for host, since in self._suspected_since.items()
            if now >= since + SUSPICION_TIMEOUT
        ]
        if not self._exports_others and now >= self._export_at:
            self._exports_others = True
            self._revision += 1
            self._clear_derived()
        for host in expired:
            self._mark_dead(host, now)
        for host, since in list(self._dead_since.items()):
            if now >= since + DEAD_RECORD_RETENTION:
                self._forget(host)
        return [self._members[host] for host in expired]

    def is_alive(self, host: HostName, now: float) -> bool:
        """Return whether a member is known, not dead and not suspected."""
        held = self._members.get(host)
        return held is not None and not held.suspected and host not in self._dead_since

    def owners(self, service: ServiceName, now: float) -> list[Member]:
        """Return the members whose upstream serves a service and accepts new work.

        Suspected members are returned only when there are no others.
        """
        owners = self._owners.get(service)
        if owners is None:
            serving = [member for member in self._live() if _serves(member, service)]
            owners = [member for member in serving if not member.suspected] or serving
            self._owners[service] = owners
        return owners

    def replica_addresses(self) -> list[Address]:
        """Return where the known members listen that are replicas alone."""
        return [member.peers for member in self._live() if member.is_replica_alone]

    def is_local(self, peers: Address) -> bool:
        """Return whether a member of this data centre listens for peers at an address."""
        if self._local_addresses is None:
            self._local_addresses = frozenset(member.peers for member in self._live_local())
        return peers in self._local_addresses

    def neighbours(self) -> list[Neighbour]:
        """Return the members that this process keeps connections to."""
        local = [member.host for member in self._live_local()]
        remote = gateway_neighbours(self._own, gateways(self._live()))
        return ring_neighbours(self._own.host, local) + remote

    def needs_seed(self) -> bool:
        """Return whether this process is alone or a gateway, and so has to ask a seed.

        It may not learn of some members otherwise.
        """
        return self.is_alone() or self._own.host in gateways(self._live())[self._own.data_centre]

    def is_alone(self) -> bool:
        """Return whether no other member is known."""
        return len(self._members) - len(self._dead_since) <= 1

    def knows_gateways(self, data_centre: DataCentre) -> bool:
        """Return whether the full number of gateways of a data centre is known."""
        return len(gateways(self._live()).get(data_centre, [])) >= GATEWAYS_PER_DATA_CENTRE

    def changed_since(self, revision: int) -> list[Member]:
        """Return the records that have changed after a revision."""
        recent = takewhile(lambda item: item[1] > revision, reversed(self._changes.items()))
        return [self._members[host] for host, _ in recent]

    def newer_than(self, stamps: Iterable[Stamp]) -> list[Member]:
        """Return the records newer than the given stamps, and the live ones missing from them."""
        theirs: dict[HostName, Order] = {stamp.host: stamp.order for stamp in stamps}
        return [
            record
            for record in self._members.values()
            if (record.host in theirs and record.order > theirs[record.host])
            or (record.host not in theirs and record.host not in self._dead_since)
        ]

    def outdated_hosts(self, stamps: Iterable[Stamp]) -> tuple[HostName, ...]:
        """Return the hosts whose stamp is newer than the record held here."""
        return tuple(
            stamp.host
            for stamp in stamps
            if stamp.host not in self._members or stamp.order > self._members[stamp.host].order
        )

    def _live(self) -> Iterator[Member]:
        """Yield the members that aren't dead."""
        return (member for host, member in self._members.items() if host not in self._dead_since)

    def _live_local(self) -> list[Member]:
        """Return the members of this data centre that aren't dead."""
        return [member for member in self._live() if member.data_centre == self._own.data_centre]

    def _is_newer(self, record: Member) -> bool:
        """Return whether a record is newer than the one held."""
        held = self._members.get(record.host)
        return held is None or record.order > held.order

    def _refute(self, record: Member, now: float) -> None:
        """Publish a record of this host that is newer than the given one, which others hold."""
        own = self._own
        incarnation, counter = own.incarnation, max(own.counter, record.counter)
        if record.incarnation > incarnation:
            # The wall clock went back between two incarnations of this process.
            incarnation = record.incarnation + 1
        if counter >= MAX_ORDER - 1:
            # The counter can't be raised any more.
            incarnation, counter = incarnation + 1, 0
        # If the incarnation can't be raised, the counter is.
        incarnation = min(incarnation, MAX_ORDER - 1)
        self._publish(own._replace(incarnation=incarnation, counter=counter), now)

    def _publish(self, own: Member, now: float) -> None:
        """Replace the record of this process by a newer one."""
        self._own = own._replace(counter=own.counter + 1)
        self._store(self._own, now)

    def _store(self, record: Member, now: float) -> None:
        """Store a record in place of the previous one."""
        host = record.host
        if host in self._members and host not in self._dead_since:
            self._digest ^= record_hash(self._members[host])
        self._members[host] = record
        self._digest ^= record_hash(record)
        self._dead_since.pop(host, None)
        self._suspected_since.pop(host, None)
        if record.suspected:
            self._suspected_since[host] = now
        self._record_change(host)
        if record.state == "gone" and host != self._own.host:
            self._mark_dead(host, now)

    def _mark_dead(self, host: HostName, now: float) -> None:
        """Mark a member as dead."""
        self._suspected_since.pop(host, None)
        self._dead_since[host] = now
        self._digest ^= record_hash(self._members[host])
        # The next gateway or owner in line may now be exported, though no record has changed.
        self._revision += 1
        self._clear_derived()

    def _forget(self, host: HostName) -> None:
        """Remove the record of a dead member."""
        del self._members[host]
        del self._dead_since[host]
        del self._changes[host]
        self._last_suspicions.pop(host, None)

    def _record_change(self, host: HostName) -> None:
        """Assign the next revision to the change of a host's record."""
        self._revision += 1
        self._changes.pop(host, None)
        self._changes[host] = self._revision
        self._clear_derived()

    def _clear_derived(self) -> None:
        """Clear the values derived from the records."""
        self._owners.clear()
        self._exported_hosts = None
        self._local_addresses = None
        self._proxy_count = None


def _serves(member: Member, service: ServiceName) -> bool:
    """Return whether a member's upstream serves a service and accepts new work."""
    return member.worker is not None and member.worker.service == service and member.state == "up"
