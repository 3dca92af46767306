"""The record of a member, and the order between two records of one host."""

from __future__ import annotations

import hashlib
from typing import Literal, NamedTuple

from cowslipvane.types import Address, DataCentre, HostName, ServiceName

_HASH_BYTES = 8


MAX_NAME_CHARACTERS = 256
_ALLOWED_NAME = f"a text of 1 to {MAX_NAME_CHARACTERS} characters"
# Incarnations and counters are raised by one, and have to stay within 64 bits.
MAX_ORDER = 1 << 62


class Worker(NamedTuple):
    """The description that an upstream announces to the proxy on its host.

    slots is the number of requests that it runs at the same time, connections the number that it
    accepts, 0 if it announces none. instance is the name that the upstream gives to itself, empty
    if it gives none; a later incarnation may reuse it. version is that of its software.
    """

    service: ServiceName
    address: Address
    slots: int
    connections: int
    instance: str = ""
    version: str = ""

    @property
    def fault(self) -> str:
        """Return why the description names no worker to use, or an empty text."""
        if not is_name(self.service):
            return f"found service {self.service!r:.80}; allowed is {_ALLOWED_NAME}"
        if self.instance and not is_name(self.instance):
            return f"found instance {self.instance!r:.80}; allowed is {_ALLOWED_NAME}"
        if self.version and not is_name(self.version):
            return f"found version {self.version!r:.80}; allowed is {_ALLOWED_NAME}"
        if not self.address.is_sound:
            return f"found address {self.address!s:.80}; allowed is that of one host"
        return "" if self.slots > 0 else f"found {self.slots} slots; allowed is 1 and more"


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

    @property
    def is_replica_alone(self) -> bool:
        """Return whether the process takes no callers, which it would as a proxy."""
        return self.callers is None

    @property
    def is_sound(self) -> bool:
        """Return whether other processes can use the record."""
        addresses = [self.peers, self.operators, self.callers]
        return (
            is_name(self.host)
            and all(address.is_sound for address in addresses if address is not None)
            and 0 <= self.incarnation < MAX_ORDER
            and 0 <= self.counter < MAX_ORDER
            and (self.worker is None or not self.worker.fault)
        )


def is_name(text: str) -> bool:
    """Return whether a text can be used as a name, which has a UTF-8 form."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return 0 < len(text) <= MAX_NAME_CHARACTERS


def record_hash(member: Member) -> int:
    """Return a hash of the host and order of a record."""
    text = f"{member.host} {member.incarnation} {member.counter} {member.suspected}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest())
