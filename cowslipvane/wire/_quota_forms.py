"""JSON forms of quotas, for operators."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypedDict

from cowslipvane.quotas import HeldShare, TeamUse


class TeamUseForm(TypedDict):
    """What one replica has counted of a team since the start of its process.

    rate and burst are the team's whole quota, tokens are those left of this replica's part.
    stood_in are those granted beyond that part, in place of replicas that couldn't be asked.
    """

    team: str
    rate: float
    burst: float
    tokens: float
    granted: int
    stood_in: int
    refused: int


class QuotasForm(TypedDict):
    """The share of a replica, one of parts equal ones or none if that is 0, and its teams."""

    parts: int
    version: int
    seconds_left: float
    teams: list[TeamUseForm]


def quotas_form(share: HeldShare, uses: Iterable[TeamUse], now: float) -> QuotasForm:
    """Return what a replica has counted as JSON, the teams with most refusals first."""
    ordered = sorted(uses, key=lambda use: (-use.refused, use.team))
    return QuotasForm(
        parts=share.parts if share.part(now) else 0,
        version=share.version,
        seconds_left=round(share.remaining(now), 1),
        teams=[
            TeamUseForm(
                team=use.team,
                rate=use.quota.rate,
                burst=use.quota.burst,
                tokens=round(use.tokens, 2),
                granted=use.granted,
                stood_in=use.stood_in,
                refused=use.refused,
            )
            for use in ordered
        ],
    )
