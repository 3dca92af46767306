"""Messages that exchange the records of members."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.membership._member import Member, Stamp
from cowslipvane.types import DataCentre, Digest, HostName


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Identifies the side that opened the connection; it is the first message and has no reply.

    A guest only asks for members that it doesn't know, as a joining process does.
    """

    sender: HostName
    data_centre: DataCentre
    guest: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """Sends the records that the receiver lacks; without records it is a heartbeat."""

    digest: Digest
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Compare:
    """Lists the stamps of the records that the sender holds, as digests don't show which differ."""

    stamps: tuple[Stamp, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeReply:
    """Replies to Exchange or Compare with newer records, and requests those of the wanted hosts."""

    digest: Digest
    members: tuple[Member, ...]
    wanted: tuple[HostName, ...] = ()
