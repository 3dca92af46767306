"""The choice among the owners of a service's upstreams."""

from __future__ import annotations

import random
import statistics
from collections.abc import Collection, Sequence
from typing import NamedTuple

from cowslipvane.membership import Member
from cowslipvane.routing._owner_view import AttemptResult, Load, OwnerView
from cowslipvane.types import DataCentre, HostName, Seconds

# At most this share of a service's owners, of all data centres, is left out as outliers.
EASED_SHARE = 1 / 3
# An owner is an outlier when its median latency is this many times that of the others.
SLOW_FACTOR = 3.0
# A difference below this doesn't make an outlier.
SLOW_EXCESS: Seconds = 0.005
# This share of the calls goes to other data centres, whose latency is the one to compare with.
FAR_SHARE = 0.02
# With so many calls for each slot at each owner here, other data centres are considered. Bytes
# between data centres are dear, and an owner refuses by itself what can't reach its goal there.
OVERLOADED = 5.0
# The same for calls of few bytes, which cost little on the way.
OVERLOADED_FOR_LIGHT = 2.5
# A call that was refused here goes only to an owner elsewhere with fewer calls for each slot: one
# whose slots are all taken is likely to refuse it too, once its bytes have travelled.
ROOM_ELSEWHERE = 1.0
# An owner in another data centre must have so many calls for each slot fewer than the best one
# here, since else a call gains nothing there that is worth its bytes.
SPILL_MARGIN = 0.8


class Ejection(NamedTuple):
    """An owner that is left out for a while, and why."""

    host: HostName
    loses_attempts: bool
    latency: Seconds
    median_latency: Seconds
    duration: Seconds


class Chooser:
    """Chooses the less loaded of two owners, in the own data centre first."""

    def __init__(self, *, data_centre: DataCentre, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._views: dict[HostName, OwnerView] = {}
        self._eased: list[Ejection] = []

    def take_ejections(self) -> list[Ejection]:
        """Return the owners that were left out since the last call."""
        eased, self._eased = self._eased, []
        return eased

    def choose(
        self,
        owners: Sequence[Member],
        excluded: Collection[HostName],
        now: float,
        *,
        small: bool = False,
    ) -> Member | None:
        """Return the owner for the next attempt, or None when there is none.

        A light call is one of few bytes.
        """
        for owner in owners:
            self._see(owner, now)
        left = [owner for owner in owners if owner.host not in excluded]
        usable = {owner.host for owner in self._without_outliers(owners, now)}
        pool = [owner for owner in left if owner.host in usable] or left
        if any(self._is_near(owner) for owner in owners if owner.host in excluded):
            pool = [owner for owner in pool if self._may_follow(owner, now)]
        candidates = self._nearest(pool, now, OVERLOADED_FOR_LIGHT if small else OVERLOADED)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        first = self._draw(candidates, now)
        second = self._draw([owner for owner in candidates if owner is not first], now)
        return self._lighter(first, second, now)

    def begin(self, host: HostName) -> None:
        """Count a call under way to an owner."""
        self._views[host].begin()

    def end(
        self, host: HostName, result: AttemptResult, load: Load | None, took: Seconds, now: float
    ) -> None:
        """Count a call as over, and learn from what became of it."""
        self._views[host].end(result, load, took, now)

    def _see(self, owner: Member, now: float) -> None:
        """Begin a new view of an owner that is new, or new again."""
        view = self._views.get(owner.host)
        if view is None or not view.is_of(owner):
            self._views[owner.host] = OwnerView(member=owner, now=now)

    def _nearest(self, pool: Sequence[Member], now: float, limit: float) -> Sequence[Member]:
        """Return the owners of the own data centre, or of others when those can't serve."""
        near = [owner for owner in pool if self._is_near(owner)]
        far = [owner for owner in pool if not self._is_near(owner)]
        if not near or not far:
            return near or far
        load = min(self._per_slot(owner, now) for owner in near)
        if load < limit:
            return far if self._rng.random() < FAR_SHARE else near
        lighter = [own for own in far if self._per_slot(own, now) <= load - SPILL_MARGIN]
        return lighter or near

    def _is_near(self, owner: Member) -> bool:
        """Return whether an owner is in the own data centre."""
        return owner.data_centre == self._data_centre

    def _may_follow(self, owner: Member, now: float) -> bool:
        """Return whether a call may go to an owner after one of the own data centre had it."""
        return self._is_near(owner) or self._per_slot(owner, now) < ROOM_ELSEWHERE

    def _per_slot(self, owner: Member, now: float) -> float:
        """Return the calls for each slot of an owner."""
        return self._views[owner.host].per_slot(now)

    def _without_outliers(self, pool: Sequence[Member], now: float) -> list[Member]:
        """Ease out the worst owners, as far as their share allows, and return the others."""
        used = [owner for owner in pool if not self._views[owner.host].is_eased(now)]
        allowed = int(len(pool) * EASED_SHARE) - (len(pool) - len(used))
        for owner in self._outliers(used)[: max(allowed, 0)]:
            self._ease_out(owner, self._usual(used), now)
            used.remove(owner)
        return used

    def _ease_out(self, owner: Member, usual: Seconds, now: float) -> None:
        """Leave an owner out for a while, and remember why."""
        view = self._views[owner.host]
        loses, latency = view.loses, view.latency or 0.0
        self._eased.append(Ejection(owner.host, loses, latency, usual, view.ease_out(now)))

    def _usual(self, owners: Sequence[Member]) -> Seconds:
        """Return the latency of the owner in the middle; 0 when none is known."""
        latencies = [self._views[owner.host].latency for owner in owners]
        known = [latency for latency in latencies if latency is not None]
        return statistics.median_low(known) if known else 0.0

    def _outliers(self, owners: Sequence[Member]) -> list[Member]:
        """Return the owners that lose attempts or are slow, the worst first."""
        usual = self._usual(owners)
        limit = max(usual * SLOW_FACTOR, usual + SLOW_EXCESS)
        views = {owner.host: self._views[owner.host] for owner in owners}
        found = [
            owner
            for owner in owners
            if views[owner.host].loses or (views[owner.host].latency or 0.0) > limit
        ]
        return sorted(
            found,
            key=lambda owner: (views[owner.host].loses, views[owner.host].latency or 0.0),
            reverse=True,
        )

    def _draw(self, owners: Sequence[Member], now: float) -> Member:
        """Return an owner at random, new and returning ones less often."""
        ramps = [self._views[owner.host].ramp(now) for owner in owners]
        return self._rng.choices(owners, ramps)[0]

    def _lighter(self, one: Member, other: Member, now: float) -> Member:
        """Return the owner that is likely to answer sooner."""
        views = [self._views[owner.host] for owner in (one, other)]
        times = [view.service_time for view in views]
        # Times count only when both are known.
        weights = times if all(times) else [1.0, 1.0]
        waits = [
            (view.per_slot(now) + 1) * weight for view, weight in zip(views, weights, strict=True)
        ]
        return one if waits[0] <= waits[1] else other
