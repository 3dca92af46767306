"""The connections of a member: a ring within its data centre, gateways between data centres."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from cowslipvane.membership._member import Member
from cowslipvane.types import Address, DataCentre, HostName, ServiceName

# Members of a data centre that connect to other data centres.
GATEWAYS_PER_DATA_CENTRE = 2
# Owners of each service whose records are sent to other data centres.
EXPORTED_OWNERS_PER_SERVICE = 3
# Ring neighbours with frequent heartbeats; the others get updates at once and a digest rarely.
FREQUENT_HEARTBEAT_NEIGHBOURS = 2


class Neighbour(NamedTuple):
    """A member to keep a connection to, and whether heartbeats to it are frequent."""

    host: HostName
    frequent_heartbeats: bool


def ring_neighbours(own: HostName, hosts: Iterable[HostName]) -> list[Neighbour]:
    """Return the successors of a host at distances 1, 2, 4, ... in the ring of sorted names."""
    ring = sorted({own, *hosts})
    position = ring.index(own)
    neighbours: list[Neighbour] = []
    distance = 1
    while distance < len(ring):
        host = ring[(position + distance) % len(ring)]
        neighbours.append(Neighbour(host, len(neighbours) < FREQUENT_HEARTBEAT_NEIGHBOURS))
        distance *= 2
    return neighbours


def gateways(members: Iterable[Member]) -> dict[DataCentre, list[HostName]]:
    """Return the gateways of each data centre: the hosts with the lowest names."""
    hosts: dict[DataCentre, list[HostName]] = defaultdict(list)
    for member in members:
        hosts[member.data_centre].append(member.host)
    return {
        data_centre: sorted(names)[:GATEWAYS_PER_DATA_CENTRE]
        for data_centre, names in hosts.items()
    }


def gateway_neighbours(
    own: Member, gateways_by_data_centre: dict[DataCentre, list[HostName]]
) -> list[Neighbour]:
    """Return the remote gateways that this process connects to if it is a gateway itself."""
    local_gateways = gateways_by_data_centre.get(own.data_centre, [])
    if own.host not in local_gateways:
        return []
    rank = local_gateways.index(own.host)
    return [
        Neighbour(hosts[rank % len(hosts)], True)
        for data_centre, hosts in sorted(gateways_by_data_centre.items())
        if data_centre != own.data_centre
    ]


def exported_hosts(live: Sequence[Member], seeds: Collection[Address]) -> frozenset[HostName]:
    """Return the members of a data centre whose records are sent to other data centres."""
    hosts = sorted(member.host for member in live)[:GATEWAYS_PER_DATA_CENTRE]
    hosts += [member.host for member in live if member.peers in seeds or member.is_replica_alone]
    owners: dict[ServiceName, list[HostName]] = defaultdict(list)
    for member in live:
        if member.worker is not None and member.state == "up" and not member.suspected:
            owners[member.worker.service].append(member.host)
    for names in owners.values():
        hosts += sorted(names)[:EXPORTED_OWNERS_PER_SERVICE]
    return frozenset(hosts)
