"""The record of a member, and the order between two records of one host."""

from __future__ import annotations

import hashlib
from typing import Literal, NamedTuple

from cowslipvane.types import Address, DataCentre, HostName, ServiceName

_HASH_BYTES = 8


class Worker(NamedTuple):
    """The description that an upstream announces to the proxy on its host.

    slots is the number of requests that it runs at the same time, connections the number that it
    accepts, 0 if it announces none. instance is the name that the upstream gives to itself, empty
    if it gives none; a later incarnation may reuse it.
    """

    service: ServiceName
    address: Address
    slots: int
    connections: int
    instance: str = ""


class Order(NamedTuple):
    """The order of the records of one host: the greater one is newer.

    Only the host itself raises incarnation and counter; others may only set suspected. Each later
    record of the host therefore overrides a suspicion.
    """

    incarnation: int
    counter: int
    suspected: bool


class Stamp(NamedTuple):
    """The order of the record that a process holds for a host."""

    host: HostName
    order: Order


class Member(NamedTuple):
    """One record of a process: its own description, and whether others suspect it.

    peers, operators and callers are the addresses on which it listens for them; callers is None if
    it accepts no requests of callers.
    """

    host: HostName
    data_centre: DataCentre
    incarnation: int
    counter: int
    peers: Address
    operators: Address
    callers: Address | None
    state: Literal["up", "leaving", "gone"]
    worker: Worker | None
    suspected: bool = False

    @property
    def order(self) -> Order:
        """Return the position of this record among those of the same host."""
        return Order(self.incarnation, self.counter, self.suspected)


def record_hash(member: Member) -> int:
    """Return a hash of the host and order of a record."""
    text = f"{member.host} {member.incarnation} {member.counter} {member.suspected}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest())
