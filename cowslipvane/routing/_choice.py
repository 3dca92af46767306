"""Choose among the owners of a service's upstreams."""

from __future__ import annotations

import math
import random
import statistics
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
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
# Random draws of an owner before all of them are looked at.
MAX_DRAWS = 8
# Outliers are looked for at least this often, since the median that they are held against changes.
OUTLIER_CHECK_INTERVAL: Seconds = 0.25
# Sequences of owners that are known; each service has one or two.
MAX_POOLS = 1024


class Ejection(NamedTuple):
    """The ejection of an owner for a time, and the reason."""

    host: HostName
    loses_attempts: bool
    latency: Seconds
    median_latency: Seconds
    duration: Seconds


@dataclass(slots=True, kw_only=True, eq=False)
class _Pool:
    """The owners of a service for one state of its members, with their views.

    local and remote are the indices of the owners in this data centre and in others. top_share is
    the share of its usual traffic that the owner gets which has ramped up furthest.
    """

    owners: Sequence[Member]
    views: Sequence[OwnerView]
    local: Sequence[int]
    remote: Sequence[int]
    may_have_outliers: bool = True
    checked_at: float = -math.inf
    top_share: float = 1.0


def _is_any(owner: Member) -> bool:
    """Return that an owner may get a call."""
    return True


class Chooser:
    """Choose the less loaded of two random owners, preferring the local data centre.

    Most choices look at two owners alone, so that they cost the same whatever the number of owners.
    All owners are looked at when a call was refused, when both are overloaded, and to find outliers
    when there may be any.
    """

    def __init__(self, *, data_centre: DataCentre, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._views: dict[HostName, OwnerView] = {}
        self._ejections: list[Ejection] = []
        # Keyed by the id of the sequence of owners, which the pool keeps.
        self._pools: OrderedDict[int, _Pool] = OrderedDict()
        # The newest pool that each owner is in.
        self._pool_of: dict[HostName, _Pool] = {}

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
        is_usable: Callable[[Member], bool] = _is_any,
    ) -> Member | None:
        """Return the owner for the next attempt, or None if there is none.

        The same owners have to come as the same sequence, unchanged. small tells that the call has
        few bytes and is cheap to send to another data centre.
        """
        pool = self._pool(owners, now)
        if pool.may_have_outliers or now >= pool.checked_at + OUTLIER_CHECK_INTERVAL:
            self._eject_outliers(pool, now)
        limit = OVERLOAD_CALLS_PER_SLOT_SMALL if small else OVERLOAD_CALLS_PER_SLOT
        chosen = None if excluded else self._choose_of_two(pool, now, limit, is_usable)
        return chosen or self._choose_of_all(pool, excluded, now, limit, is_usable)

    def _choose_of_two(
        self,
        pool: _Pool,
        now: float,
        overload_calls_per_slot: float,
        is_usable: Callable[[Member], bool],
    ) -> Member | None:
        """Return the less loaded of two random owners, None if that needs a look at all of them."""
        is_split = bool(pool.local and pool.remote)
        leaves = is_split and self._rng.random() < REMOTE_SHARE
        indices = pool.remote if leaves or not pool.local else pool.local
        if len(indices) < 2:
            return None
        first = self._draw_one(pool, indices, now, is_usable, None)
        second = None if first is None else self._draw_one(pool, indices, now, is_usable, first)
        if first is None or second is None:
            return None
        chosen = self._less_loaded(pool.owners[first], pool.owners[second], now)
        if is_split and not leaves and self._calls_per_slot(chosen, now) >= overload_calls_per_slot:
            return None
        return chosen

    def _draw_one(
        self,
        pool: _Pool,
        indices: Sequence[int],
        now: float,
        is_usable: Callable[[Member], bool],
        other: int | None,
    ) -> int | None:
        """Return the index of a random owner, weighted by how far it has ramped up.

        Return None if several draws in a row meet owners that are out of the question.
        """
        for _ in range(MAX_DRAWS):
            index = self._rng.choice(indices)
            view = pool.views[index]
            if index == other or view.is_ejected(now) or not is_usable(pool.owners[index]):
                continue
            if self._rng.random() * pool.top_share < view.traffic_share(now):
                return index
        return None

    def _choose_of_all(
        self,
        pool: _Pool,
        excluded: Collection[HostName],
        now: float,
        overload_calls_per_slot: float,
        is_usable: Callable[[Member], bool],
    ) -> Member | None:
        """Return an owner after a look at all of them."""
        remaining = [
            owner for owner in pool.owners if owner.host not in excluded and is_usable(owner)
        ]
        usable = [o for o in remaining if not self._views[o.host].is_ejected(now)] or remaining
        if any(self._is_local(owner) for owner in pool.owners if owner.host in excluded):
            usable = [owner for owner in usable if self._may_retry_at(owner, now)]
        candidates = self._preferred(usable, now, overload_calls_per_slot)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        first = self._draw(candidates, now)
        second = self._draw([owner for owner in candidates if owner is not first], now)
        return self._less_loaded(first, second, now)

    def _pool(self, owners: Sequence[Member], now: float) -> _Pool:
        """Return the pool of some owners, a new one if their members have changed."""
        pool = self._pools.get(id(owners))
        if pool is not None and pool.owners is owners:
            return pool
        for owner in owners:
            self._ensure_view(owner, now)
        views = [self._views[owner.host] for owner in owners]
        local = [index for index, owner in enumerate(owners) if self._is_local(owner)]
        remote = [index for index, owner in enumerate(owners) if not self._is_local(owner)]
        pool = _Pool(owners=owners, views=views, local=local, remote=remote)
        self._pools[id(owners)] = pool
        self._pool_of.update((owner.host, pool) for owner in owners)
        while len(self._pools) > MAX_POOLS:
            self._pools.popitem(last=False)
        return pool

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
        view = self._views[host]
        view.end(result, load, duration, now)
        if view.may_be_outlier and host in self._pool_of:
            self._pool_of[host].may_have_outliers = True

    def _ensure_view(self, owner: Member, now: float) -> None:
        """Create a view of an owner that is new or has restarted."""
        view = self._views.get(owner.host)
        if view is None or not view.describes(owner):
            self._views[owner.host] = OwnerView(member=owner, now=now)
            # Pools with the view of an earlier incarnation aren't used any more.
            self._pools.clear()

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

    def _eject_outliers(self, pool: _Pool, now: float) -> None:
        """Eject the worst outliers, up to the allowed share."""
        pool.may_have_outliers, pool.checked_at = False, now
        pool.top_share = max((view.traffic_share(now) for view in pool.views), default=1.0)
        in_use = [owner for owner in pool.owners if not self._views[owner.host].is_ejected(now)]
        allowed = int(len(pool.owners) * MAX_EJECTED_SHARE) - (len(pool.owners) - len(in_use))
        median = self._median_latency(in_use)
        limit = max(median * SLOW_FACTOR, median + MIN_SLOW_EXCESS)
        for view in pool.views:
            view.set_slow_limit(limit)
        for owner in self._outliers(in_use)[: max(allowed, 0)]:
            self._eject(owner, self._median_latency(in_use), now)
            in_use.remove(owner)

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
        views = {owner.host: self._views[owner.host] for owner in owners}
        return sorted(
            (owner for owner in owners if views[owner.host].may_be_outlier),
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
