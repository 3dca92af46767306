"""The catalogue: validates changes, and keeps the accepted resources and recent history."""

from __future__ import annotations

from typing import NamedTuple

from cowslipvane.catalogue._changes import (
    Accepted,
    Change,
    Conflict,
    Invalid,
    Outcome,
    change_faults,
)
from cowslipvane.catalogue._closure import RouteHosts, closure, combine_digests, resource_digest
from cowslipvane.catalogue._documents import apply_pieces
from cowslipvane.catalogue._outcomes import OUTCOME_LIFETIME_SECONDS, Decided, Outcomes
from cowslipvane.catalogue._resources import (
    Fault,
    Key,
    Release,
    Resource,
    Spec,
    new_reference_faults,
)
from cowslipvane.catalogue._teams import shared_key_faults
from cowslipvane.catalogue._writers import LastWrite, Writers
from cowslipvane.sizes import memory_size, message_size
from cowslipvane.types import NO_VERSION, Digest, OperationId, Version

# Accepted changes that are kept to compute deltas; a proxy that lags further gets a snapshot.
HISTORY_CHANGES = 1000
# Memory of the replaced resources that the history keeps at most; the oldest changes are dropped
# above that. A replica with full memory would end, and again after each restart.
MAX_HISTORY_BYTES = 16 << 20

# Size of all resources and their last writers in a snapshot, which a follower takes in one message
# together with what outcomes and deleted resources take.
MAX_KEPT_BYTES = 9 << 20


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
        self._writers = Writers()
        self._outcomes = Outcomes()
        self._history: list[HistoryEntry] = []
        self._history_bytes = 0
        # Caches of derived values: the digest of each resource and the size of it and its writer,
        # the closure of each set of hosts.
        self._resource_digests: dict[Key, tuple[Version, int]] = {}
        self._kept_sizes: dict[Key, tuple[Version, int]] = {}
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
    def writers(self) -> dict[Key, LastWrite]:
        """Return the last write of each resource, also of those that were deleted lately."""
        return self._writers.export()

    @property
    def outcomes(self) -> dict[OperationId, Decided]:
        """Return the outcomes that are kept, the oldest first."""
        return self._outcomes.export()

    def restore(
        self,
        *,
        version: Version,
        resources: dict[Key, Resource],
        writers: dict[Key, LastWrite],
        outcomes: dict[OperationId, Decided],
    ) -> None:
        """Replace the state by that of another catalogue, with an empty history."""
        self._version = version
        self._resources = resources
        self._writers.restore(writers, resources)
        self._outcomes.restore(outcomes)
        self._history.clear()
        self._history_bytes = 0
        self._resource_digests.clear()
        self._kept_sizes.clear()
        self._host_closures.clear()

    @property
    def oldest_version(self) -> Version:
        """Return the oldest version from which a delta can be computed."""
        return Version(self._history[0].version - 1) if self._history else self._version

    def outcome(self, operation_id: OperationId) -> Outcome | None:
        """Return the outcome of an operation, None if it is undecided or no longer kept."""
        return self._outcomes.get(operation_id)

    def last_write(self, key: Key) -> LastWrite:
        """Return the last write of a resource, or of any that may have been the last."""
        return self._writers.last_write(key)

    def check(self, change: Change) -> Outcome | None:
        """Return the known outcome or why a change is refused, None if it may be replicated.

        What is in the log already counts even if there is no room for it.
        """
        outcome = self.evaluate(change)
        if outcome is not None:
            return outcome
        fault = self._size_fault(change)
        return None if fault is None else Invalid(faults=(fault,))

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
        resources = self._resources_after(change, self._version)
        puts = [key for key, _ in change.puts]
        faults += new_reference_faults(resources, puts=puts, deletes=change.deletes)
        faults += shared_key_faults(resources, puts=puts)
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
        """Decide a change, and forget outcomes whose lifetime has passed."""
        self._outcomes.forget_before(accepted_at - OUTCOME_LIFETIME_SECONDS)
        outcome = self._decide(change, accepted_at=accepted_at)
        self._outcomes.record(change.operation_id, Decided(outcome, accepted_at))
        return outcome

    def _decide(self, change: Change, *, accepted_at: float) -> Outcome:
        """Decide a change and, if it is accepted, apply it as the next version."""
        outcome = self.evaluate(change)
        if outcome is not None:
            return outcome
        version = Version(self._version + 1)
        written_keys = _written_keys(change)
        before = {key: self._resources.get(key) for key in written_keys}
        size = memory_size(before)
        self._record_history(HistoryEntry(version, accepted_at, change.operation_id, before, size))
        self._resources = self._resources_after(change, version)
        self._version = version
        self._record_writes(written_keys, LastWrite(change.operation_id, version))
        return Accepted(version=version, accepted_at=accepted_at)

    def _record_writes(self, keys: frozenset[Key], write: LastWrite) -> None:
        """Record the writer of resources, and drop the cached values of those that it deleted."""
        for key in sorted(keys):
            if key in self._resources:
                self._writers.record_put(key, write)
                continue
            self._writers.record_delete(key, write)
            self._resource_digests.pop(key, None)
            self._kept_sizes.pop(key, None)

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

    def _size_fault(self, change: Change) -> Fault | None:
        """Return the fault of a change after which the resources would take too much room."""
        before = sum(self._kept_size(key) for key in self._resources)
        after = before + sum(
            message_size((key, self._with_document(key, spec), self._version, key))
            + message_size((change.operation_id, self._version))
            for key, spec in change.puts
        )
        after -= sum(self._kept_size(key) for key in _written_keys(change) & self._resources.keys())
        if after <= max(before, MAX_KEPT_BYTES):
            return None
        limit = f"{MAX_KEPT_BYTES} bytes"
        return Fault("resources", f"would take {after} bytes in all; allowed are {limit}")

    def _kept_size(self, key: Key) -> int:
        """Return the size of a resource and its writer in a snapshot."""
        resource = self._resources[key]
        version, size = self._kept_sizes.get(key, (NO_VERSION, 0))
        if version != resource.version:
            size = message_size((*resource, key, self._writers.last_write(key)))
            self._kept_sizes[key] = resource.version, size
        return size

    def _conflict(self, change: Change) -> Conflict | None:
        """Return the first conflict of a change with a version later than its base."""
        for key in sorted(_written_keys(change)):
            winner, version = self._writers.last_write(key)
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


def _written_keys(change: Change) -> frozenset[Key]:
    """Return the keys that a change writes or deletes."""
    return frozenset([key for key, _ in change.puts]) | frozenset(change.deletes)
