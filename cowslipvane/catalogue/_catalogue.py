"""The catalogue of accepted resources."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue._closure import RouteHosts, closure, combine_digests, resource_digest
from cowslipvane.catalogue._documents import rebuilt
from cowslipvane.catalogue._resources import (
    Fault,
    Key,
    Release,
    Resource,
    Spec,
    dangling,
    own_faults,
)
from cowslipvane.types import NO_VERSION, Digest, OperationId, Version

# Changes kept for deltas; a subscriber that is further behind gets a snapshot.
HISTORY_CHANGES = 1000

# Time in seconds, by the stamps of the log, for which the answer to an operation is kept.
OUTCOME_LIFETIME = 24 * 3600.0


class Change(NamedTuple):
    """What an operator asks for, based on the version that the operator saw."""

    operation_id: OperationId
    based_on: Version
    puts: tuple[tuple[Key, Spec], ...]
    deletes: tuple[Key, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The change is in the catalogue under this version."""

    version: Version
    accepted_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another change came first to a resource that this change touches."""

    key: Key
    winner: OperationId
    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The change as a whole breaks rules; nothing of it is applied."""

    faults: tuple[Fault, ...]


Outcome = Accepted | Conflict | Invalid


class Delta(NamedTuple):
    """The difference between two versions of a closure, and the digest that it leads to."""

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
    """The version asked about is newer than the newest one here."""

    version: Version


class Step(NamedTuple):
    """What one accepted change touched, each with the resource that was there before."""

    version: Version
    accepted_at: float
    operation_id: OperationId
    before: dict[Key, Resource | None]


class AcceptedChange(NamedTuple):
    """One accepted change, each touched key with the resource that it left, None when deleted."""

    version: Version
    accepted_at: float
    operation_id: OperationId
    after: dict[Key, Resource | None]


class Effect(NamedTuple):
    """What a change would do to one resource; None stands for no resource."""

    key: Key
    before: Spec | None
    after: Spec | None


class _Part(NamedTuple):
    """The closure for some route hosts in one version, and its digest."""

    version: Version
    keys: frozenset[Key]
    digest: Digest


class Catalogue:
    """The accepted resources under one total order of versions."""

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._resources: dict[Key, Resource] = {}
        self._writers: dict[Key, tuple[OperationId, Version]] = {}
        self._outcomes: dict[OperationId, Outcome] = {}
        self._decided_at: dict[OperationId, float] = {}
        self._steps: list[Step] = []
        # Both are derived, and hold what was last asked for.
        self._digests: dict[Key, tuple[Version, int]] = {}
        self._parts: dict[RouteHosts, _Part] = {}

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
        """Return which operation last touched each resource, and in which version."""
        return self._writers

    @property
    def decisions(self) -> dict[OperationId, tuple[Outcome, float]]:
        """Return the answers that are kept and when they were given, the oldest first."""
        return {name: (self._outcomes[name], at) for name, at in self._decided_at.items()}

    def restore(
        self,
        *,
        version: Version,
        resources: dict[Key, Resource],
        writers: dict[Key, tuple[OperationId, Version]],
        decisions: dict[OperationId, tuple[Outcome, float]],
    ) -> None:
        """Take the state of another catalogue; the history for deltas begins anew."""
        self._version = version
        self._resources = resources
        self._writers = writers
        self._outcomes = {name: outcome for name, (outcome, _) in decisions.items()}
        self._decided_at = {name: decided_at for name, (_, decided_at) in decisions.items()}
        self._steps.clear()
        self._digests.clear()
        self._parts.clear()

    @property
    def oldest_version(self) -> Version:
        """Return the oldest version that the history reaches back to."""
        return Version(self._steps[0].version - 1) if self._steps else self._version

    def outcome(self, operation_id: OperationId) -> Outcome | None:
        """Return the first answer to an operation, if it has been decided."""
        return self._outcomes.get(operation_id)

    def evaluate(self, change: Change) -> Outcome | None:
        """Return why a change can't be accepted, or None when it can."""
        known = self._outcomes.get(change.operation_id)
        if known is not None:
            return known
        conflict = self._conflict(change)
        if conflict is not None:
            return conflict
        faults = self.faults(change)
        return Invalid(faults=faults) if faults else None

    def faults(self, change: Change) -> tuple[Fault, ...]:
        """Return everything that is wrong with the catalogue as the change would leave it."""
        faults = [fault for key, spec in change.puts for fault in own_faults(key, spec)]
        if change.based_on > self._version:
            faults.append(Fault("based_on", f"is newer than the newest version, {self._version}"))
        missing = [key for key in change.deletes if key not in self._resources]
        faults += [Fault(str(key), "can't be deleted: it does not exist") for key in missing]
        faults += dangling(self._changed(change, self._version))
        return tuple(faults)

    def effects(self, change: Change) -> tuple[Effect, ...]:
        """Return what a change would do, leaving out what it would not alter."""
        changed = self._changed(change, self._version)
        found = []
        for key in sorted(_touched(change)):
            before, after = self._resources.get(key), changed.get(key)
            effect = Effect(key, before and before.spec, after and after.spec)
            if effect.before != effect.after:
                found.append(effect)
        return tuple(found)

    def accepted_at(self) -> dict[Version, float]:
        """Return when each version that the history reaches was accepted, as wall time."""
        return {step.version: step.accepted_at for step in self._steps}

    def apply(self, change: Change, *, accepted_at: float) -> Outcome:
        """Decide a change, and forget answers that were given too long before."""
        self._forget_before(accepted_at - OUTCOME_LIFETIME)
        outcome = self._decide(change, accepted_at=accepted_at)
        self._decided_at.setdefault(change.operation_id, accepted_at)
        return outcome

    def _forget_before(self, time: float) -> None:
        """Forget the answers given before a time, by the log's stamps alone."""
        while self._decided_at:
            operation_id, decided_at = next(iter(self._decided_at.items()))
            if decided_at >= time:
                return
            del self._decided_at[operation_id], self._outcomes[operation_id]

    def _decide(self, change: Change, *, accepted_at: float) -> Outcome:
        """Decide a change and, when it is accepted, take it in under the next version."""
        refused = self.evaluate(change)
        if refused is not None:
            self._outcomes.setdefault(change.operation_id, refused)
            return refused
        version = Version(self._version + 1)
        touched = _touched(change)
        before = {key: self._resources.get(key) for key in touched}
        self._steps.append(Step(version, accepted_at, change.operation_id, before))
        self._resources = self._changed(change, version)
        self._version = version
        self._writers.update((key, (change.operation_id, version)) for key in touched)
        del self._steps[:-HISTORY_CHANGES]
        accepted = Accepted(version=version, accepted_at=accepted_at)
        self._outcomes[change.operation_id] = accepted
        return accepted

    def update_since(
        self, base: Version, hosts: RouteHosts = ()
    ) -> Delta | Snapshot | VersionNotReached:
        """Return what leads from a version to the newest one, within the closure of some hosts."""
        if base > self._version:
            return VersionNotReached(self._version)
        part = self._part(hosts)
        if base < self.oldest_version or base == NO_VERSION:
            resources = tuple(self._resources[key] for key in sorted(part.keys))
            return Snapshot(self._version, resources, part.digest)
        before = self._before(base)
        held = closure(self._at(before), hosts) if hosts else None
        if held is None:
            known = {key: old for key, old in before.items() if old is not None}
            held = (part.keys - before.keys()) | closure(known, hosts)
        puts = [key for key in part.keys if key in before or key not in held]
        return Delta(
            base,
            self._version,
            tuple(self._resources[key] for key in sorted(puts)),
            tuple(sorted(held - part.keys)),
            part.digest,
        )

    def history(self, base: Version) -> list[AcceptedChange]:
        """Return the changes kept that were accepted after a version, the oldest first."""
        changes: list[AcceptedChange] = []
        later: dict[Key, Resource | None] = {}
        for step in reversed(self._steps):
            if step.version <= base:
                break
            after = {key: later.get(key, self._resources.get(key)) for key in step.before}
            changes.append(AcceptedChange(step.version, step.accepted_at, step.operation_id, after))
            later.update(step.before)
        return changes[::-1]

    def _before(self, base: Version) -> dict[Key, Resource | None]:
        """Return what was changed after a version, as it was in that version."""
        before: dict[Key, Resource | None] = {}
        for step in reversed(self._steps):
            if step.version <= base:
                break
            before.update(step.before)
        return before

    def _at(self, before: dict[Key, Resource | None]) -> dict[Key, Resource]:
        """Return all resources with some of them as they were before."""
        resources: dict[Key, Resource | None] = {**self._resources, **before}
        return {key: resource for key, resource in resources.items() if resource is not None}

    def _part(self, hosts: RouteHosts) -> _Part:
        """Return the closure of some hosts in the newest version."""
        part = self._parts.get(hosts)
        if part is None or part.version != self._version:
            keys = closure(self._resources, hosts)
            digest = combine_digests(self._digest(self._resources[key]) for key in keys)
            part = self._parts[hosts] = _Part(self._version, keys, digest)
        return part

    def _digest(self, resource: Resource) -> int:
        """Return the digest of a resource, computed once for each of its versions."""
        version, digest = self._digests.get(resource.key, (NO_VERSION, 0))
        if version != resource.version:
            digest = resource_digest(resource)
            self._digests[resource.key] = resource.version, digest
        return digest

    def _conflict(self, change: Change) -> Conflict | None:
        """Return the first resource that changed after the version the change is based on."""
        for key in sorted(_touched(change)):
            winner, version = self._writers.get(key, (OperationId(""), NO_VERSION))
            if version > change.based_on:
                return Conflict(key=key, winner=winner, version=version)
        return None

    def _changed(self, change: Change, version: Version) -> dict[Key, Resource]:
        """Return the resources as a change would leave them."""
        resources = dict(self._resources)
        for key, spec in change.puts:
            resources[key] = Resource(key, self._whole(key, spec), version)
        for key in change.deletes:
            resources.pop(key, None)
        return resources

    def _whole(self, key: Key, spec: Spec) -> Spec:
        """Return a specification with its document in full."""
        held = self._resources.get(key)
        match spec, held and held.spec:
            case Release(pieces=pieces) as told, Release(document=before) if pieces:
                document = rebuilt(before, pieces)
                return Release(number=told.number, based_on=told.based_on, document=document)
            case _:
                return spec


def _touched(change: Change) -> frozenset[Key]:
    """Return the keys that a change writes or deletes."""
    return frozenset([key for key, _ in change.puts]) | frozenset(change.deletes)
