"""Who talks to whom: neighbours within a data centre, gateways between them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from cowslipvane.membership._member import Member
from cowslipvane.types import Address, DataCentre, HostName, ServiceName

# Members of a data centre that talk to other data centres.
GATEWAYS = 2
# Owners of a service that other data centres are told of.
OWNERS_ABROAD = 3
# Neighbours with frequent heartbeats; the others only get news and a rare digest.
NEAR_NEIGHBOURS = 2


class Neighbour(NamedTuple):
    """A member to keep a connection to, and whether its heartbeats are frequent."""

    host: HostName
    frequent_heartbeats: bool


def ring_neighbours(own: HostName, hosts: Iterable[HostName]) -> list[Neighbour]:
    """Return the successors of a host at distances 1, 2, 4 and so on, by sorted name."""
    ring = sorted({own, *hosts})
    at = ring.index(own)
    found: list[Neighbour] = []
    distance = 1
    while distance < len(ring):
        host = ring[(at + distance) % len(ring)]
        found.append(Neighbour(host, len(found) < NEAR_NEIGHBOURS))
        distance *= 2
    return found


def gateways(members: Iterable[Member]) -> dict[DataCentre, list[HostName]]:
    """Return the hosts of each data centre that talk to the others: the lowest names."""
    hosts: dict[DataCentre, list[HostName]] = defaultdict(list)
    for member in members:
        hosts[member.data_centre].append(member.host)
    return {data_centre: sorted(found)[:GATEWAYS] for data_centre, found in hosts.items()}


def gateway_neighbours(
    own: Member, by_data_centre: dict[DataCentre, list[HostName]]
) -> list[Neighbour]:
    """Return the gateways abroad that this process talks to, if it is one itself."""
    here = by_data_centre.get(own.data_centre, [])
    if own.host not in here:
        return []
    rank = here.index(own.host)
    return [
        Neighbour(hosts[rank % len(hosts)], True)
        for data_centre, hosts in sorted(by_data_centre.items())
        if data_centre != own.data_centre
    ]


def exported(live: Sequence[Member], seeds: Collection[Address]) -> frozenset[HostName]:
    """Return the members of a data centre that other data centres are told of."""
    hosts = sorted(member.host for member in live)[:GATEWAYS]
    hosts += [member.host for member in live if member.peers in seeds]
    owners: dict[ServiceName, list[HostName]] = defaultdict(list)
    for member in live:
        if member.worker is not None and member.state == "up" and not member.suspected:
            owners[member.worker.service].append(member.host)
    for names in owners.values():
        hosts += sorted(names)[:OWNERS_ABROAD]
    return frozenset(hosts)
