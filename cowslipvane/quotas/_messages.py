"""Messages between an entry proxy and a holder of quotas, and between a holder and the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

from cowslipvane.types import HostName, Seconds, TeamName, Version

# Granted, or granted from the reserve; refused; or not counted at all: the team has no quota, this
# process holds no share of it, or it knows no such team.
GrantState = Literal["granted", "stood in", "refused", "no quota", "no share", "unknown team"]


class Want(NamedTuple):
    """A token that a proxy asks for, for one request of a team.

    With stands_in, some other holder can't be asked, so that this one may use its reserve.
    """

    team: TeamName
    stands_in: bool = False


class Grant(NamedTuple):
    """What a want comes to, at a time of the holder's clock.

    retry_after is when a refused request may come back. With is_exceeded, the team has lately asked
    for so much more than its quota that no other holder need be asked.
    """

    state: GrantState
    at: float
    retry_after: Seconds = 0.0
    is_exceeded: bool = False


class Unused(NamedTuple):
    """A token that was granted and that no request has used."""

    team: TeamName
    grant: Grant


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeTokens:
    """Asks a holder for tokens, and gives back those that weren't used."""

    wants: tuple[Want, ...]
    unused: tuple[Unused, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TokensTaken:
    """The grant for each want, in the same order."""

    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewShare:
    """Asks the leader for this host's share of all quotas.

    asked_at is in seconds of the holder's clock; confirms is the version of the division that it
    acts on now, 0 for none.
    """

    host: HostName
    asked_at: float
    confirms: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareRenewed:
    """The leader's answer: of how many equal parts the host holds one, 0 if it holds none.

    was_held tells whether it held a part in the division before, too, or that was the first one.
    """

    asked_at: float
    version: Version
    parts: int
    was_held: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareUnknown:
    """Answers that this replica isn't the leader, or that quotas aren't divided yet."""
