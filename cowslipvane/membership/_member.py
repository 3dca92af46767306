"""The record of a member, and the messages that spread records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

from cowslipvane.types import Address, DataCentre, HostName, ServiceName


class Worker(NamedTuple):
    """What an upstream announces of itself to the proxy on its host."""

    service: ServiceName
    address: Address
    slots: int
    connections: int


class Member(NamedTuple):
    """A process of the system, as its own process last described it."""

    host: HostName
    data_centre: DataCentre
    incarnation: int
    counter: int
    peers: Address
    operators: Address
    callers: Address | None
    state: Literal["up", "leaving", "gone"]
    worker: Worker | None

    @property
    def order(self) -> tuple[int, int]:
        """Return what orders the records of one host: the later one wins."""
        return self.incarnation, self.counter


@dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """Sends the records that the sender holds and asks for the receiver's."""

    sender: HostName
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeReply:
    """Answers an exchange with the records that are newer here."""

    members: tuple[Member, ...]
