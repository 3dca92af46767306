"""The messages that spread the records of members."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.membership._member import Member, Stamp
from cowslipvane.types import DataCentre, Digest, HostName


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Says who opened the connection; it is the first message and has no reply.

    A guest only asks for members that it doesn't know, as those do who join.
    """

    sender: HostName
    data_centre: DataCentre
    guest: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """Sends the records that the receiver lacks; without any it is a heartbeat."""

    digest: Digest
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Compare:
    """Lists which records the sender holds, because the digests differ."""

    stamps: tuple[Stamp, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeReply:
    """Answers an exchange or a comparison with newer records, and asks for those wanted."""

    digest: Digest
    members: tuple[Member, ...]
    wanted: tuple[HostName, ...] = ()
