"""The tokens that one holder grants of its part of each quota; the root of this aggregate."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from cowslipvane.quotas._messages import Grant, TakeTokens, TokensTaken, Want
from cowslipvane.quotas._quota import (
    BucketSize,
    NoQuota,
    QuotaOfTeam,
    TeamUse,
    UnknownTeam,
    own_size,
    reserve_size,
)
from cowslipvane.settings import Quotas
from cowslipvane.token_bucket import TokenBucket
from cowslipvane.types import Quota, Seconds, TeamName

# Refusals and grants count for this time when it is judged how much a team asks for.
DEMAND_TIME: Seconds = 1.0
# A team has exceeded its quota by far if so many of its latest requests were refused, and they were
# more than this share of those granted.
FEW_REFUSALS = 3.0
EXCEEDED_SHARE = 0.5
MAX_RETRY_AFTER: Seconds = 5.0


class _Demand:
    """Counts events, each of which counts less the older it is."""

    def __init__(self, *, now: float) -> None:
        self._count = 0.0
        self._at = now

    def add(self, now: float) -> None:
        """Add an event of now."""
        self._count = self.recent(now) + 1
        self._at = now

    def recent(self, now: float) -> float:
        """Return about how many there were in the last DEMAND_TIME."""
        return self._count * math.exp(-max(0.0, now - self._at) / DEMAND_TIME)


class _Account:
    """The buckets of one team at this holder, and what it has asked for."""

    def __init__(self, *, quota: Quota, own: TokenBucket, reserve: TokenBucket, now: float) -> None:
        self.quota = quota
        self.own = own
        self.reserve = reserve
        self.granted = self.stood_in = self.refused = 0
        self._refusals = _Demand(now=now)
        self._grants = _Demand(now=now)

    def take(self, want: Want, now: float) -> Grant:
        """Grant a token if there is one."""
        if self.own.spend(now):
            self.granted += 1
            self._grants.add(now)
            return Grant("granted", now)
        if want.stands_in and self.reserve.spend(now):
            self.stood_in += 1
            self._grants.add(now)
            return Grant("stood in", now)
        self.refused += 1
        self._refusals.add(now)
        refusals = self._refusals.recent(now)
        retry_after = min(self.own.delay(now, ahead=refusals), MAX_RETRY_AFTER)
        is_exceeded = refusals >= max(FEW_REFUSALS, EXCEEDED_SHARE * self._grants.recent(now))
        return Grant("refused", now, retry_after, is_exceeded)

    def give_back(self, grant: Grant, now: float) -> None:
        """Put back a token that no request has used."""
        match grant.state:
            case "granted":
                self.own.give_back(grant.at, now)
            case "stood in":
                self.reserve.give_back(grant.at, now)


class QuotaLedger:
    """Grants tokens of this holder's part of each quota.

    quota_of returns the quota of a team by the newest version that is known here. Times are in
    seconds of lease_now().
    """

    def __init__(self, *, settings: Quotas, quota_of: Callable[[TeamName], QuotaOfTeam]) -> None:
        self._settings = settings
        self._quota_of = quota_of
        self._part = 0.0
        self._part_since = -math.inf
        self._accounts: dict[TeamName, _Account] = {}

    @property
    def part(self) -> float:
        """Return the part of each quota that is granted here."""
        return self._part

    def set_part(self, part: float, now: float, *, since: float) -> None:
        """Set the part of each quota that may be granted here, 0 for none.

        After a time without a part, tokens have been earned since it was nobody else's.
        """
        if part == self._part:
            return
        begins_anew = not self._part
        self._part = part
        if not part:
            return
        if begins_anew:
            self._part_since = since
        for account in self._accounts.values():
            if begins_anew:
                account.own, account.reserve = self._buckets(account.quota, now)
            else:
                self._resize(account, now)

    def take(self, request: TakeTokens, now: float) -> TokensTaken:
        """Grant tokens, after those that were given back."""
        for unused in request.unused:
            account = self._accounts.get(unused.team)
            if account is not None:
                account.give_back(unused.grant, now)
        return TokensTaken(grants=tuple(self._grant(want, now) for want in request.wants))

    def uses(self, now: float) -> Iterator[TeamUse]:
        """Yield what was counted of each team that has asked for tokens here."""
        for team, account in self._accounts.items():
            account.own.fill(now)
            yield TeamUse(
                team,
                account.quota,
                account.own.tokens,
                account.granted,
                account.stood_in,
                account.refused,
            )

    def _grant(self, want: Want, now: float) -> Grant:
        """Grant a token to a team, or tell why there is none."""
        match self._quota_of(want.team):
            case Quota() as quota if self._part:
                return self._account(want.team, quota, now).take(want, now)
            case Quota():
                return Grant("no share", now)
            case NoQuota():
                self._accounts.pop(want.team, None)
                return Grant("no quota", now)
            case UnknownTeam():
                # Its account stays: the team may come back before what it has used is earned again.
                return Grant("unknown team", now)

    def _account(self, team: TeamName, quota: Quota, now: float) -> _Account:
        """Return the account of a team, changed to its quota of now."""
        account = self._accounts.get(team)
        if account is None:
            own, reserve = self._buckets(quota, now)
            account = _Account(quota=quota, own=own, reserve=reserve, now=now)
            self._accounts[team] = account
        elif account.quota != quota:
            account.quota = quota
            self._resize(account, now)
        return account

    def _buckets(self, quota: Quota, now: float) -> tuple[TokenBucket, TokenBucket]:
        """Return a team's own bucket and its reserve, filled since this holder has its part."""
        own = own_size(quota, self._part, self._settings)
        reserve = reserve_size(quota, self._part, self._settings)
        return self._bucket(own, now), self._bucket(reserve, now)

    def _bucket(self, size: BucketSize, now: float) -> TokenBucket:
        """Return a bucket that was empty when this holder got its part."""
        bucket = TokenBucket(
            tokens_per_s=size.tokens_per_s, capacity=size.capacity, now=self._part_since, tokens=0.0
        )
        bucket.fill(now)
        return bucket

    def _resize(self, account: _Account, now: float) -> None:
        """Change the buckets of a team to its quota and to the part that is granted here."""
        own = own_size(account.quota, self._part, self._settings)
        account.own.resize(tokens_per_s=own.tokens_per_s, capacity=own.capacity, now=now)
        reserve = reserve_size(account.quota, self._part, self._settings)
        account.reserve.resize(
            tokens_per_s=reserve.tokens_per_s, capacity=reserve.capacity, now=now
        )
