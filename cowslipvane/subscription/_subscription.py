"""The subscription: whole versions only, and never back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from cowslipvane.catalogue import (
    Delta,
    Key,
    Resource,
    Snapshot,
    combine_digests,
    dangling,
    resource_digest,
)
from cowslipvane.routing import RoutingTable
from cowslipvane.types import NO_VERSION, Digest, Version


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
    """The configuration that one proxy has in force.

    A proxy without a disk does not know what it had in force before a restart. It takes no version
    until it has learnt a floor: a version that is at least all that were accepted by then.
    """

    def __init__(self) -> None:
        self._floor: Version | None = None
        self._version = NO_VERSION
        self._resources: Mapping[Key, Resource] = {}
        self._digest = 0
        self._table: RoutingTable | None = None

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self._version

    @property
    def floor(self) -> Version | None:
        """Return the version that the proxy may not go under, None before it is learnt."""
        return None if self._floor is None else max(self._floor, self._version)

    @property
    def is_ready(self) -> bool:
        """Return whether a version is in force."""
        return self._table is not None

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table in force, None before the first version."""
        return self._table

    def raise_floor(self, floor: Version) -> None:
        """Refuse every version under a floor from now on; a floor never sinks."""
        self._floor = max(floor, self._floor or NO_VERSION)

    def apply_delta(self, delta: Delta) -> Applied | Rejected:
        """Move on by the difference from the version in force."""
        if delta.base != self._version:
            reason = f"the delta starts at {delta.base}, in force is {self._version}"
            return Rejected(version=delta.version, reason=reason)
        resources = dict(self._resources)
        gone = [resources.pop(key, None) for key in delta.deletes]
        gone += [resources.get(resource.key) for resource in delta.puts]
        resources.update((resource.key, resource) for resource in delta.puts)
        digests = [-resource_digest(resource) for resource in gone if resource is not None]
        digests += [resource_digest(resource) for resource in delta.puts]
        digest = combine_digests([self._digest, *digests])
        return self._take(delta.version, resources, digest, delta.digest)

    def apply_snapshot(self, snapshot: Snapshot) -> Applied | Rejected:
        """Move on to a version that came whole."""
        resources = {resource.key: resource for resource in snapshot.resources}
        digest = combine_digests(resource_digest(resource) for resource in snapshot.resources)
        return self._take(snapshot.version, resources, digest, snapshot.digest)

    def _take(
        self, version: Version, resources: Mapping[Key, Resource], digest: Digest, promised: Digest
    ) -> Applied | Rejected:
        """Build the new state aside and swap it in, unless a rule forbids it."""
        reason = self._reason_against(version, resources, digest, promised)
        if reason:
            return Rejected(version=version, reason=reason)
        table = RoutingTable(version=version, resources=resources.values())
        self._table, self._resources = table, resources
        self._version, self._digest = version, digest
        return Applied(version=version)

    def _reason_against(
        self, version: Version, resources: Mapping[Key, Resource], digest: Digest, promised: Digest
    ) -> str:
        """Return why a version can't be taken, or nothing."""
        floor = self.floor
        if floor is None:
            return "it isn't known yet under which version this proxy may not go"
        if version < floor:
            return f"it is older than version {floor}, under which this proxy may not go"
        if digest != promised:
            return f"its digest is {digest:016x}; {promised:016x} was promised"
        faults = list(dangling(resources))
        return f"{faults[0].path} {faults[0].message}" if faults else ""
