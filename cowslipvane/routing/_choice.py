"""The choice among the owners of a service's upstreams."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from cowslipvane.membership import Member
from cowslipvane.types import DataCentre, HostName


class Load(NamedTuple):
    """What an owner says of its upstream with each answer."""

    slots: int
    running: int
    queued: int


class Chooser:
    """Chooses the less loaded of two owners, in the own data centre first."""

    def __init__(self, *, data_centre: DataCentre, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._loads: dict[HostName, Load] = {}
        self._under_way: dict[HostName, int] = {}

    def choose(self, owners: Sequence[Member], excluded: Collection[HostName]) -> Member | None:
        """Return the owner for the next attempt, or None when there is none."""
        left = [owner for owner in owners if owner.host not in excluded]
        near = [owner for owner in left if owner.data_centre == self._data_centre]
        pool = near or left
        if len(pool) <= 1:
            return pool[0] if pool else None
        return min(self._rng.sample(pool, 2), key=self._pressure)

    def begin(self, host: HostName) -> None:
        """Count a call under way to an owner."""
        self._under_way[host] = self._under_way.get(host, 0) + 1

    def end(self, host: HostName, load: Load | None) -> None:
        """Count a call as over, and keep the load that came with its answer."""
        left = self._under_way.get(host, 1) - 1
        self._under_way[host] = left
        if not left:
            del self._under_way[host]
        if load is not None:
            self._loads[host] = load

    def _pressure(self, owner: Member) -> float:
        """Return the calls per slot that an owner has to serve."""
        slots = owner.worker.slots if owner.worker else 1
        load = self._loads.get(owner.host, Load(slots, 0, 0))
        here = self._under_way.get(owner.host, 0)
        return (max(load.running + load.queued, here) + here) / max(slots, 1)
