"""The decision whether a request may pass, and for which team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from cowslipvane.access._keys import NoKey, OddKey, PresentedKey, ShownKey
from cowslipvane.access._teams import TeamKeys
from cowslipvane.types import KeyDigest, TeamName

# What a route does with keys: nothing, and the field is passed on like any other; or it reads them
# and passes none on, whether requests need one or not.
KeyUse = Literal["ignored", "optional", "required"]
KeyFault = Literal["missing", "unreadable", "unknown"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Unchecked:
    """The route ignores keys."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Anonymous:
    """The route needs no key, and the request shows none that a team holds.

    digest is that of the key that it shows, if any, which a newer version may know.
    """

    digest: KeyDigest | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OfTeam:
    """The request shows a key of a team."""

    team: TeamName
    digest: KeyDigest


@dataclass(frozen=True, slots=True, kw_only=True)
class Inherited:
    """A nested call without a key that a team holds, made for a request of a team."""

    team: TeamName
    digest: KeyDigest | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """The route needs a key of a team, and the request shows none."""

    fault: KeyFault


Admitted = Unchecked | Anonymous | OfTeam | Inherited
Access = Admitted | Denied


def decide_access(
    use: KeyUse, presented: PresentedKey, keys: TeamKeys, *, parent_team: TeamName | None = None
) -> Access:
    """Decide about a request; parent_team is that of the request that a nested call is made for.

    A route that requires a key requires it of nested calls, too: a call counts as nested by its id,
    which any caller could have chosen.
    """
    if use == "ignored":
        return Unchecked()
    match presented:
        case ShownKey(digest=digest) if (team := keys.holder(digest)) is not None:
            return OfTeam(team=team, digest=digest)
        case _ if use == "optional":
            unknown = presented.digest if isinstance(presented, ShownKey) else None
            if parent_team is None:
                return Anonymous(digest=unknown)
            return Inherited(team=parent_team, digest=unknown)
        case NoKey():
            return Denied(fault="missing")
        case OddKey():
            return Denied(fault="unreadable")
        case ShownKey():
            return Denied(fault="unknown")


def team_of(access: Access) -> TeamName | None:
    """Return the team that a request is for, None if it is for none."""
    match access:
        case OfTeam(team=team) | Inherited(team=team):
            return team
        case Unchecked() | Anonymous() | Denied():
            return None


def key_of(access: Access) -> KeyDigest | None:
    """Return the digest of the key that an admitted request shows, whether a team holds it or not.

    It is None if the request shows none, or keys are ignored.
    """
    match access:
        case OfTeam(digest=digest) | Anonymous(digest=digest) | Inherited(digest=digest):
            return digest
        case Unchecked() | Denied():
            return None
