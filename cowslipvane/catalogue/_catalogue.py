"""The catalogue: validates changes, and keeps the accepted resources and recent history."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue._closure import RouteHosts, closure, combine_digests, resource_digest
from cowslipvane.catalogue._documents import apply_pieces
from cowslipvane.catalogue._resources import (
    OUT_OF_RANGE,
    Fault,
    Key,
    Release,
    Resource,
    Spec,
    new_reference_faults,
    spec_faults,
)
from cowslipvane.memory_size import memory_size
from cowslipvane.types import NO_VERSION, Digest, OperationId, Version, fits_int64

# Accepted changes that are kept to compute deltas; a proxy that lags further gets a snapshot.
HISTORY_CHANGES = 1000
# Memory of the replaced resources that the history keeps at most; the oldest changes are dropped
# above that. A replica with full memory would end, and again after each restart.
MAX_HISTORY_BYTES = 16 << 20

# How long the outcome of an operation is kept, in seconds by the time stamps of the log.
OUTCOME_LIFETIME_SECONDS = 24 * 3600.0


class Change(NamedTuple):
    """A change that an operator requests, based on the version that the operator saw."""

    operation_id: OperationId
    based_on: Version
    puts: tuple[tuple[Key, Spec], ...]
    deletes: tuple[Key, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The change was applied and created this version.

    accepted_at is the time stamp of its entry in the log, in seconds of wall time.
    """

    version: Version
    accepted_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another change wrote one of the resources after the version this change is based on."""

    key: Key
    winner: OperationId
    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The change violates rules; no part of it is applied."""

    faults: tuple[Fault, ...]


Outcome = Accepted | Conflict | Invalid


class Delta(NamedTuple):
    """The difference between two versions of a closure, and the digest of the newer one."""

    base: Version
    version: Version
    puts: tuple[Resource, ...]
    deletes: tuple[Key, ...]
    digest: Digest


class Snapshot(NamedTuple):
    """All resources of one version of a closure, and their digest."""

    version: Version
    resources: tuple[Resource, ...]
    digest: Digest


class VersionNotReached(NamedTuple):
    """The requested base is newer than version, the newest one here."""

    version: Version


class HistoryEntry(NamedTuple):
    """One accepted change: each key that it wrote or deleted, with its resource before it.

    memory_bytes is the memory of those.
    """

    version: Version
    accepted_at: float
    operation_id: OperationId
    before: dict[Key, Resource | None]
    memory_bytes: int


class AcceptedChange(NamedTuple):
    """One accepted change: each key it wrote, with its resource after it, None when deleted."""

    version: Version
    accepted_at: float
    operation_id: OperationId
    after: dict[Key, Resource | None]


class Effect(NamedTuple):
    """The effect of a change on one resource; None stands for no resource."""

    key: Key
    before: Spec | None
    after: Spec | None


class _HostClosure(NamedTuple):
    """The closure of some route hosts in one version, and its digest."""

    version: Version
    keys: frozenset[Key]
    digest: Digest


class Catalogue:
    """The accepted resources, with one total order of versions."""

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._resources: dict[Key, Resource] = {}
        self._writers: dict[Key, tuple[OperationId, Version]] = {}
        self._outcomes: dict[OperationId, Outcome] = {}
        self._decided_at: dict[OperationId, float] = {}
        self._history: list[HistoryEntry] = []
        self._history_bytes = 0
        # Caches of derived values: the digest of each resource, the closure of each set of hosts.
        self._resource_digests: dict[Key, tuple[Version, int]] = {}
        self._host_closures: dict[RouteHosts, _HostClosure] = {}

    @property
    def version(self) -> Version:
        """Return the newest accepted version."""
        return self._version

    @property
    def resources(self) -> dict[Key, Resource]:
        """Return the resources by key."""
        return self._resources

    @property
    def writers(self) -> dict[Key, tuple[OperationId, Version]]:
        """Return the operation that last wrote or deleted each resource, and its version."""
        return self._writers

    @property
    def decisions(self) -> dict[OperationId, tuple[Outcome, float]]:
        """Return the outcomes that are kept and when they were decided, the oldest first."""
        return {
            operation_id: (self._outcomes[operation_id], decided_at)
            for operation_id, decided_at in self._decided_at.items()
        }

    def restore(
        self,
        *,
        version: Version,
        resources: dict[Key, Resource],
        writers: dict[Key, tuple[OperationId, Version]],
        decisions: dict[OperationId, tuple[Outcome, float]],
    ) -> None:
        """Replace the state by that of another catalogue, with an empty history."""
        self._version = version
        self._resources = resources
        self._writers = writers
        self._outcomes = {operation_id: outcome for operation_id, (outcome, _) in decisions.items()}
        self._decided_at = {
            operation_id: decided_at for operation_id, (_, decided_at) in decisions.items()
        }
        self._history.clear()
        self._history_bytes = 0
        self._resource_digests.clear()
        self._host_closures.clear()

    @property
    def oldest_version(self) -> Version:
        """Return the oldest version from which a delta can be computed."""
        return Version(self._history[0].version - 1) if self._history else self._version

    def outcome(self, operation_id: OperationId) -> Outcome | None:
        """Return the outcome of an operation, None if it is undecided or no longer kept."""
        return self._outcomes.get(operation_id)

    def evaluate(self, change: Change) -> Outcome | None:
        """Return the known outcome or the reason for refusing a change, None if acceptable."""
        known = self._outcomes.get(change.operation_id)
        if known is not None:
            return known
        conflict = self._conflict(change)
        if conflict is not None:
            return conflict
        faults = self.faults(change)
        return Invalid(faults=faults) if faults else None

    def faults(self, change: Change) -> tuple[Fault, ...]:
        """Return all faults of a change, and of the catalogue that would result from it."""
        faults = change_faults(change)
        if change.based_on > self._version:
            faults.append(Fault("based_on", f"is newer than the newest version, {self._version}"))
        missing = [key for key in change.deletes if key not in self._resources]
        faults += [Fault(str(key), "can't be deleted: it does not exist") for key in missing]
        faults += new_reference_faults(
            self._resources_after(change, self._version),
            puts=[key for key, _ in change.puts],
            deletes=change.deletes,
        )
        return tuple(faults)

    def effects(self, change: Change) -> tuple[Effect, ...]:
        """Return the effect of a change on each resource that it would alter."""
        resources_after = self._resources_after(change, self._version)
        altered = []
        for key in sorted(_written_keys(change)):
            before, after = self._resources.get(key), resources_after.get(key)
            effect = Effect(key, before and before.spec, after and after.spec)
            if effect.before != effect.after:
                altered.append(effect)
        return tuple(altered)

    def acceptance_times(self) -> dict[Version, float]:
        """Return when each version in the history was accepted, in seconds of wall time."""
        return {entry.version: entry.accepted_at for entry in self._history}

    def apply(self, change: Change, *, accepted_at: float) -> Outcome:
        """Decide a change, and drop outcomes whose lifetime has passed."""
        self._drop_outcomes_before(accepted_at - OUTCOME_LIFETIME_SECONDS)
        outcome = self._decide(change, accepted_at=accepted_at)
        self._decided_at.setdefault(change.operation_id, accepted_at)
        return outcome

    def _drop_outcomes_before(self, cutoff: float) -> None:
        """Drop the outcomes decided before a time, by the time stamps of the log alone."""
        while self._decided_at:
            operation_id, decided_at = next(iter(self._decided_at.items()))
            if decided_at >= cutoff:
                return
            del self._decided_at[operation_id], self._outcomes[operation_id]

    def _decide(self, change: Change, *, accepted_at: float) -> Outcome:
        """Decide a change and, if it is accepted, apply it as the next version."""
        outcome = self.evaluate(change)
        if outcome is not None:
            self._outcomes.setdefault(change.operation_id, outcome)
            return outcome
        version = Version(self._version + 1)
        written_keys = _written_keys(change)
        before = {key: self._resources.get(key) for key in written_keys}
        size = memory_size(before)
        self._record_history(HistoryEntry(version, accepted_at, change.operation_id, before, size))
        self._resources = self._resources_after(change, version)
        self._version = version
        self._writers.update((key, (change.operation_id, version)) for key in written_keys)
        accepted = Accepted(version=version, accepted_at=accepted_at)
        self._outcomes[change.operation_id] = accepted
        return accepted

    def _record_history(self, entry: HistoryEntry) -> None:
        """Add a change to the history, and drop the oldest changes above its limits."""
        self._history.append(entry)
        self._history_bytes += entry.memory_bytes
        while len(self._history) > HISTORY_CHANGES or self._history_bytes > MAX_HISTORY_BYTES:
            self._history_bytes -= self._history.pop(0).memory_bytes

    def update_since(
        self, base: Version, hosts: RouteHosts = ()
    ) -> Delta | Snapshot | VersionNotReached:
        """Return the update from a version to the newest one, for the closure of some hosts."""
        if base > self._version:
            return VersionNotReached(self._version)
        host_closure = self._closure_of(hosts)
        if base < self.oldest_version or base == NO_VERSION:
            resources = tuple(self._resources[key] for key in sorted(host_closure.keys))
            return Snapshot(self._version, resources, host_closure.digest)
        before = self._changed_since(base)
        base_keys = closure(self._resources_before(before), hosts) if hosts else None
        if base_keys is None:
            # The closure of all hosts contains each unchanged resource that is no release.
            previous = {key: old for key, old in before.items() if old is not None}
            base_keys = (host_closure.keys - before.keys()) | closure(previous, hosts)
        puts = [key for key in host_closure.keys if key in before or key not in base_keys]
        return Delta(
            base,
            self._version,
            tuple(self._resources[key] for key in sorted(puts)),
            tuple(sorted(base_keys - host_closure.keys)),
            host_closure.digest,
        )

    def history(self, base: Version) -> list[AcceptedChange]:
        """Return the changes in the history after a version, the oldest first."""
        changes: list[AcceptedChange] = []
        later: dict[Key, Resource | None] = {}
        for entry in reversed(self._history):
            if entry.version <= base:
                break
            after = {key: later.get(key, self._resources.get(key)) for key in entry.before}
            changes.append(
                AcceptedChange(entry.version, entry.accepted_at, entry.operation_id, after)
            )
            later.update(entry.before)
        return changes[::-1]

    def _changed_since(self, base: Version) -> dict[Key, Resource | None]:
        """Return the resources that changed after a version, as they were in that version."""
        before: dict[Key, Resource | None] = {}
        for entry in reversed(self._history):
            if entry.version <= base:
                break
            before.update(entry.before)
        return before

    def _resources_before(self, before: dict[Key, Resource | None]) -> dict[Key, Resource]:
        """Return all resources, with the given ones restored to their former state."""
        resources: dict[Key, Resource | None] = {**self._resources, **before}
        return {key: resource for key, resource in resources.items() if resource is not None}

    def _closure_of(self, hosts: RouteHosts) -> _HostClosure:
        """Return the closure of some hosts in the newest version."""
        host_closure = self._host_closures.get(hosts)
        if host_closure is None or host_closure.version != self._version:
            keys = closure(self._resources, hosts)
            digest = combine_digests(self._digest_of(self._resources[key]) for key in keys)
            host_closure = self._host_closures[hosts] = _HostClosure(self._version, keys, digest)
        return host_closure

    def _digest_of(self, resource: Resource) -> int:
        """Return the digest of a resource, computed once for each of its versions."""
        version, digest = self._resource_digests.get(resource.key, (NO_VERSION, 0))
        if version != resource.version:
            digest = resource_digest(resource)
            self._resource_digests[resource.key] = resource.version, digest
        return digest

    def _conflict(self, change: Change) -> Conflict | None:
        """Return the first conflict of a change with a version later than its base."""
        for key in sorted(_written_keys(change)):
            winner, version = self._writers.get(key, (OperationId(""), NO_VERSION))
            if version > change.based_on:
                return Conflict(key=key, winner=winner, version=version)
        return None

    def _resources_after(self, change: Change, version: Version) -> dict[Key, Resource]:
        """Return the resources that would result from a change."""
        resources = dict(self._resources)
        for key, spec in change.puts:
            resources[key] = Resource(key, self._with_document(key, spec), version)
        for key in change.deletes:
            resources.pop(key, None)
        return resources

    def _with_document(self, key: Key, spec: Spec) -> Spec:
        """Return a specification with the full document instead of pieces."""
        current = self._resources.get(key)
        match spec, current and current.spec:
            case Release(pieces=pieces) as release, Release(document=before) if pieces:
                document = apply_pieces(before, pieces)
                return Release(number=release.number, based_on=release.based_on, document=document)
            case _:
                return spec


def change_faults(change: Change) -> list[Fault]:
    """Return the faults that a change has by itself, whatever resources it is applied to."""
    faults = [fault for key, spec in change.puts for fault in spec_faults(key, spec)]
    if not fits_int64(change.based_on):
        faults.append(Fault("based_on", OUT_OF_RANGE))
    return faults


def _written_keys(change: Change) -> frozenset[Key]:
    """Return the keys that a change writes or deletes."""
    return frozenset([key for key, _ in change.puts]) | frozenset(change.deletes)
