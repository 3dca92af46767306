"""The subscription: applies complete versions only, and never an older one."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue import (
    Delta,
    Fault,
    Key,
    Resource,
    Snapshot,
    combine_digests,
    new_reference_faults,
    reference_faults,
    resource_digest,
)
from cowslipvane.routing import RoutingTable
from cowslipvane.settings import DEFAULT_REVOCATION, Revocation
from cowslipvane.subscription._contact import Contact, Proof
from cowslipvane.types import NO_VERSION, Digest, Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The version is in force."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The version is refused, and no part of it applied."""

    version: Version
    reason: str


class _Candidate(NamedTuple):
    """The state that an update leads to, its faults, and the digest that the replica promised."""

    version: Version
    resources: Mapping[Key, Resource]
    digest: Digest
    promised: Digest
    faults: Iterator[Fault]


class Subscription:
    """The configuration in force on one proxy.

    A proxy stores no configuration on disk, so after a restart it doesn't know which version was in
    force. It applies no version until it knows a floor: a version not older than any that was
    accepted before the proxy requested the floor.
    """

    def __init__(self, *, revocation: Revocation = DEFAULT_REVOCATION) -> None:
        self._contact = Contact(revocation=revocation)
        self._floor: Version | None = None
        self._version = NO_VERSION
        self._newest_known = NO_VERSION
        self._resources: Mapping[Key, Resource] = {}
        self._digest = 0
        self._table: RoutingTable | None = None

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self._version

    @property
    def newest_known(self) -> Version:
        """Return the newest version that is known to be accepted, here or elsewhere."""
        return max(self._newest_known, self._version)

    @property
    def floor(self) -> Version | None:
        """Return the minimum version that may be applied, None while it is unknown."""
        return None if self._floor is None else max(self._floor, self._version)

    @property
    def is_ready(self) -> bool:
        """Return whether a version is in force."""
        return self._table is not None

    @property
    def table(self) -> RoutingTable | None:
        """Return the routing table in force, None before the first version."""
        return self._table

    def accepts_keys(self, now: float) -> bool:
        """Return whether a key may be accepted at a time of lease_now() by the version in force."""
        return self._contact.accepts_keys(now)

    def record_proof(self, proof: Proof) -> None:
        """Record up to when a version is known to be the newest accepted one."""
        self._contact.record(proof, self._version)
        self.record_accepted(proof.version)

    def raise_floor(self, floor: Version) -> None:
        """Refuse every version below a floor from now on; a lower floor has no effect."""
        self._floor = max(floor, self._floor or NO_VERSION)

    def record_accepted(self, version: Version) -> None:
        """Record that a version is accepted, whose update may not have come yet."""
        self._newest_known = max(self._newest_known, version)

    def apply_delta(self, delta: Delta) -> Applied | Rejected:
        """Apply a delta to the version in force."""
        if delta.base != self._version:
            reason = f"the delta starts at {delta.base}, in force is {self._version}"
            return Rejected(version=delta.version, reason=reason)
        resources = dict(self._resources)
        previous = [resources.pop(key, None) for key in delta.deletes]
        previous += [resources.get(resource.key) for resource in delta.puts]
        resources.update((resource.key, resource) for resource in delta.puts)
        digests = [-resource_digest(resource) for resource in previous if resource is not None]
        digests += [resource_digest(resource) for resource in delta.puts]
        digest = combine_digests([self._digest, *digests])
        faults = new_reference_faults(
            resources, puts=[resource.key for resource in delta.puts], deletes=delta.deletes
        )
        return self._apply(_Candidate(delta.version, resources, digest, delta.digest, faults))

    def apply_snapshot(self, snapshot: Snapshot) -> Applied | Rejected:
        """Apply a version with all its resources."""
        resources = {resource.key: resource for resource in snapshot.resources}
        digest = combine_digests(resource_digest(resource) for resource in snapshot.resources)
        faults = reference_faults(resources)
        return self._apply(_Candidate(snapshot.version, resources, digest, snapshot.digest, faults))

    def _apply(self, candidate: _Candidate) -> Applied | Rejected:
        """Build the new state and replace the old one as a whole, unless a check fails."""
        version, resources = candidate.version, candidate.resources
        reason = self._rejection_reason(candidate)
        if reason:
            return Rejected(version=version, reason=reason)
        table = RoutingTable(version=version, resources=resources.values(), previous=self._table)
        self._table, self._resources = table, resources
        self._version, self._digest = version, candidate.digest
        self._contact.record_in_force(version)
        return Applied(version=version)

    def _rejection_reason(self, candidate: _Candidate) -> str:
        """Return why a version can't be applied, or an empty text."""
        floor = self.floor
        if floor is None:
            return "it isn't known yet under which version this proxy may not go"
        if candidate.version < floor:
            return f"it is older than version {floor}, under which this proxy may not go"
        if candidate.digest != candidate.promised:
            return f"its digest is {candidate.digest:016x}; {candidate.promised:016x} was promised"
        fault = next(candidate.faults, None)
        return f"{fault.path} {fault.message}" if fault is not None else ""
