"""Choose among the owners of a service's upstreams."""

from __future__ import annotations

import random
import statistics
from collections.abc import Collection, Sequence
from typing import NamedTuple

from cowslipvane.membership import Member
from cowslipvane.routing._owner_view import AttemptResult, Load, OwnerView
from cowslipvane.types import DataCentre, HostName, Seconds

# Largest share of a service's owners, over all data centres, that may be ejected as outliers.
MAX_EJECTED_SHARE = 1 / 3
# An owner is slow, and so an outlier, if its median latency is this many times the median over the
# owners that are not ejected.
SLOW_FACTOR = 3.0
# An owner is not slow if its latency exceeds the median by less than this.
MIN_SLOW_EXCESS: Seconds = 0.005
# Share of the calls that always go to other data centres, to measure the latencies there for
# comparison.
REMOTE_SHARE = 0.02
# Other data centres are considered once every local owner has this many calls per slot. The limit
# is high since traffic between data centres is expensive, and since an owner refuses calls that it
# can't answer within their goal anyway.
OVERLOAD_CALLS_PER_SLOT = 5.0
# The same for calls of few bytes, which are cheap to send to another data centre.
OVERLOAD_CALLS_PER_SLOT_SMALL = 2.5
# A call that a local owner did not serve goes only to remote owners with fewer calls per slot than
# this. An owner without a free slot would probably refuse it too, after the bytes were sent.
MAX_REMOTE_CALLS_PER_SLOT_ON_RETRY = 1.0
# Difference in calls per slot by which a remote owner must be less loaded than the best local one.
# A smaller gain would not be worth the traffic between data centres.
REMOTE_MARGIN_CALLS_PER_SLOT = 0.8


class Ejection(NamedTuple):
    """The ejection of an owner for a time, and the reason."""

    host: HostName
    loses_attempts: bool
    latency: Seconds
    median_latency: Seconds
    duration: Seconds


class Chooser:
    """Choose the less loaded of two random owners, preferring the local data centre."""

    def __init__(self, *, data_centre: DataCentre, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._views: dict[HostName, OwnerView] = {}
        self._ejections: list[Ejection] = []

    def take_ejections(self) -> list[Ejection]:
        """Return the ejections since the last call of this method."""
        ejections, self._ejections = self._ejections, []
        return ejections

    def choose(
        self,
        owners: Sequence[Member],
        excluded: Collection[HostName],
        now: float,
        *,
        small: bool = False,
    ) -> Member | None:
        """Return the owner for the next attempt, or None if there is none.

        small tells that the call has few bytes and is cheap to send to another data centre.
        """
        for owner in owners:
            self._ensure_view(owner, now)
        remaining = [owner for owner in owners if owner.host not in excluded]
        usable = {owner.host for owner in self._eject_outliers(owners, now)}
        pool = [owner for owner in remaining if owner.host in usable] or remaining
        if any(self._is_local(owner) for owner in owners if owner.host in excluded):
            pool = [owner for owner in pool if self._may_retry_at(owner, now)]
        candidates = self._preferred(
            pool, now, OVERLOAD_CALLS_PER_SLOT_SMALL if small else OVERLOAD_CALLS_PER_SLOT
        )
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        first = self._draw(candidates, now)
        second = self._draw([owner for owner in candidates if owner is not first], now)
        return self._less_loaded(first, second, now)

    def begin(self, host: HostName) -> None:
        """Count an attempt in flight to an owner."""
        self._views[host].begin()

    def end(
        self,
        host: HostName,
        result: AttemptResult,
        load: Load | None,
        duration: Seconds,
        now: float,
    ) -> None:
        """Record the end of an attempt and its result."""
        self._views[host].end(result, load, duration, now)

    def _ensure_view(self, owner: Member, now: float) -> None:
        """Create a view of an owner that is new or has restarted."""
        view = self._views.get(owner.host)
        if view is None or not view.describes(owner):
            self._views[owner.host] = OwnerView(member=owner, now=now)

    def _preferred(
        self, pool: Sequence[Member], now: float, overload_calls_per_slot: float
    ) -> Sequence[Member]:
        """Return the local owners, or remote ones.

        Remote owners are returned for a small share of all calls, and if all local ones are
        overloaded and some remote ones are less loaded.
        """
        local = [owner for owner in pool if self._is_local(owner)]
        remote = [owner for owner in pool if not self._is_local(owner)]
        if not local or not remote:
            return local or remote
        least_calls_per_slot = min(self._calls_per_slot(owner, now) for owner in local)
        if least_calls_per_slot < overload_calls_per_slot:
            return remote if self._rng.random() < REMOTE_SHARE else local
        less_loaded = [
            owner
            for owner in remote
            if self._calls_per_slot(owner, now)
            <= least_calls_per_slot - REMOTE_MARGIN_CALLS_PER_SLOT
        ]
        return less_loaded or local

    def _is_local(self, owner: Member) -> bool:
        """Return whether an owner is in this data centre."""
        return owner.data_centre == self._data_centre

    def _may_retry_at(self, owner: Member, now: float) -> bool:
        """Return whether a call that a local owner did not serve may go to an owner."""
        return (
            self._is_local(owner)
            or self._calls_per_slot(owner, now) < MAX_REMOTE_CALLS_PER_SLOT_ON_RETRY
        )

    def _calls_per_slot(self, owner: Member, now: float) -> float:
        """Return the calls per slot of an owner."""
        return self._views[owner.host].calls_per_slot(now)

    def _eject_outliers(self, pool: Sequence[Member], now: float) -> list[Member]:
        """Eject the worst outliers, up to the allowed share, and return the other owners."""
        in_use = [owner for owner in pool if not self._views[owner.host].is_ejected(now)]
        allowed = int(len(pool) * MAX_EJECTED_SHARE) - (len(pool) - len(in_use))
        for owner in self._outliers(in_use)[: max(allowed, 0)]:
            self._eject(owner, self._median_latency(in_use), now)
            in_use.remove(owner)
        return in_use

    def _eject(self, owner: Member, median: Seconds, now: float) -> None:
        """Eject an owner for a time and record the ejection."""
        view = self._views[owner.host]
        loses_attempts, latency = view.loses_attempts, view.latency or 0.0
        self._ejections.append(
            Ejection(owner.host, loses_attempts, latency, median, view.eject(now))
        )

    def _median_latency(self, owners: Sequence[Member]) -> Seconds:
        """Return the median of the owners' latencies, or 0 if none is known."""
        latencies = [self._views[owner.host].latency for owner in owners]
        known = [latency for latency in latencies if latency is not None]
        return statistics.median_low(known) if known else 0.0

    def _outliers(self, owners: Sequence[Member]) -> list[Member]:
        """Return the owners that lose attempts or are slow, worst first."""
        median = self._median_latency(owners)
        limit = max(median * SLOW_FACTOR, median + MIN_SLOW_EXCESS)
        views = {owner.host: self._views[owner.host] for owner in owners}
        outliers = [
            owner
            for owner in owners
            if views[owner.host].loses_attempts or (views[owner.host].latency or 0.0) > limit
        ]
        return sorted(
            outliers,
            key=lambda owner: (views[owner.host].loses_attempts, views[owner.host].latency or 0.0),
            reverse=True,
        )

    def _draw(self, owners: Sequence[Member], now: float) -> Member:
        """Return a random owner, weighted by how far each has ramped up."""
        traffic_shares = [self._views[owner.host].traffic_share(now) for owner in owners]
        return self._rng.choices(owners, traffic_shares)[0]

    def _less_loaded(self, first: Member, second: Member, now: float) -> Member:
        """Return the owner with the shorter expected wait."""
        views = [self._views[owner.host] for owner in (first, second)]
        times = [view.service_time for view in views]
        # Service times are compared only if both are known.
        weights = times if all(times) else [1.0, 1.0]
        waits = [
            (view.calls_per_slot(now) + 1) * weight
            for view, weight in zip(views, weights, strict=True)
        ]
        return first if waits[0] <= waits[1] else second
