"""The catalogue of accepted resources."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue._resources import Fault, Key, Resource, Spec, dangling, own_faults
from cowslipvane.types import NO_VERSION, OperationId, Version

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
    """The difference between two versions of the catalogue."""

    base: Version
    version: Version
    puts: tuple[Resource, ...]
    deletes: tuple[Key, ...]


class Snapshot(NamedTuple):
    """All resources of one version."""

    version: Version
    resources: tuple[Resource, ...]


class _Step(NamedTuple):
    """What one accepted change touched."""

    version: Version
    keys: frozenset[Key]


class Catalogue:
    """The accepted resources under one total order of versions."""

    def __init__(self) -> None:
        self._version = NO_VERSION
        self._resources: dict[Key, Resource] = {}
        self._writers: dict[Key, tuple[OperationId, Version]] = {}
        self._outcomes: dict[OperationId, Outcome] = {}
        self._decided_at: dict[OperationId, float] = {}
        self._steps: list[_Step] = []

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

    def outcome(self, operation_id: OperationId) -> Outcome | None:
        """Return the first answer to an operation, if it has been decided."""
        return self._outcomes.get(operation_id)

    def judge(self, change: Change) -> Outcome | None:
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
        missing = [key for key in change.deletes if key not in self._resources]
        faults += [Fault(str(key), "can't be deleted: it does not exist") for key in missing]
        faults += dangling(self._changed(change, self._version))
        return tuple(faults)

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
        refused = self.judge(change)
        if refused is not None:
            self._outcomes.setdefault(change.operation_id, refused)
            return refused
        version = Version(self._version + 1)
        self._resources = self._changed(change, version)
        self._version = version
        touched = _touched(change)
        self._writers.update((key, (change.operation_id, version)) for key in touched)
        self._steps.append(_Step(version, touched))
        del self._steps[:-HISTORY_CHANGES]
        accepted = Accepted(version=version, accepted_at=accepted_at)
        self._outcomes[change.operation_id] = accepted
        return accepted

    def since(self, base: Version) -> Delta | Snapshot:
        """Return what leads from a version to the newest one."""
        oldest = self._steps[0].version - 1 if self._steps else self._version
        if base < oldest or base > self._version:
            return Snapshot(self._version, tuple(self._resources.values()))
        keys = {key for step in self._steps if step.version > base for key in step.keys}
        puts = tuple(self._resources[key] for key in sorted(keys) if key in self._resources)
        deletes = tuple(key for key in sorted(keys) if key not in self._resources)
        return Delta(base, self._version, puts, deletes)

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
            resources[key] = Resource(key, spec, version)
        for key in change.deletes:
            resources.pop(key, None)
        return resources


def _touched(change: Change) -> frozenset[Key]:
    """Return the keys that a change writes or deletes."""
    return frozenset([key for key, _ in change.puts]) | frozenset(change.deletes)
