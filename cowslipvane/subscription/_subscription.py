"""The subscription: whole versions only, and never back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cowslipvane.catalogue import Delta, Key, Resource, Snapshot
from cowslipvane.catalogue._resources import dangling
from cowslipvane.routing import RoutingTable
from cowslipvane.types import NO_VERSION, Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The version is in force."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The version is not taken, in no part."""

    version: Version
    reason: str


class Subscription:
    """The configuration that one proxy has in force."""

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._resources: Mapping[Key, Resource] = {}
        self._table: RoutingTable | None = None

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self._version

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table in force, None before the first version."""
        return self._table

    def take_delta(self, delta: Delta) -> Applied | Rejected:
        """Move on by the difference from the version in force."""
        if delta.base != self._version:
            reason = f"the delta starts at {delta.base}, in force is {self._version}"
            return Rejected(version=delta.version, reason=reason)
        resources = dict(self._resources)
        for key in delta.deletes:
            resources.pop(key, None)
        resources.update((resource.key, resource) for resource in delta.puts)
        return self._take(delta.version, resources)

    def take_snapshot(self, snapshot: Snapshot) -> Applied | Rejected:
        """Move on to a version that came whole."""
        resources = {resource.key: resource for resource in snapshot.resources}
        return self._take(snapshot.version, resources)

    def _take(self, version: Version, resources: Mapping[Key, Resource]) -> Applied | Rejected:
        """Build the new state aside and swap it in, unless a rule forbids it."""
        if version < self._version:
            reason = f"it is older than version {self._version}, which is in force"
            return Rejected(version=version, reason=reason)
        faults = list(dangling(resources))
        if faults:
            return Rejected(version=version, reason=f"{faults[0].path} {faults[0].message}")
        self._table = RoutingTable(version=version, resources=resources.values())
        self._resources = resources
        self._version = version
        return Applied(version=version)
