"""The size of a holder's part of a quota, and of its reserve for what others can't grant."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.settings import Quotas
from cowslipvane.types import Quota, TeamName

# A holder's bucket has room for this many tokens more than its part of the burst, if the slack
# allows it: what is left there may be too little for a request, and then is of use to nobody.
ROUNDING_TOKENS = 1.0


class BucketSize(NamedTuple):
    """The tokens that a bucket earns in a second, and its capacity."""

    tokens_per_s: float
    capacity: float


def own_size(quota: Quota, part: float, settings: Quotas) -> BucketSize:
    """Return the size of the bucket for a holder's part of a quota."""
    capacity = quota.burst * part + _rounding(part, settings)
    return BucketSize(quota.rate * part, max(1.0, capacity))


def reserve_size(quota: Quota, part: float, settings: Quotas) -> BucketSize:
    """Return the size of the bucket that stands in for other holders' parts.

    In a window it gives at most this holder's part of what the settings allow beyond the quota,
    less what the rounding takes. Half of the slack is for requests that come at once.
    """
    slack = settings.slack * part - _rounding(part, settings)
    return BucketSize(
        quota.rate * part * settings.overshoot + slack / 2 / settings.window,
        quota.burst * part * settings.overshoot + slack / 2,
    )


def _rounding(part: float, settings: Quotas) -> float:
    """Return the tokens that a holder may have beyond its part of the burst."""
    return min(ROUNDING_TOKENS, settings.slack * part)


@dataclass(frozen=True, slots=True, kw_only=True)
class NoQuota:
    """The team may send as many requests as it likes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownTeam:
    """No version that is known here has the team."""


QuotaOfTeam = Quota | NoQuota | UnknownTeam


class TeamUse(NamedTuple):
    """What one holder has counted of a team's requests.

    tokens are those left; granted, stood_in and refused count since the start of the process.
    """

    team: TeamName
    quota: Quota
    tokens: float
    granted: int
    stood_in: int
    refused: int
