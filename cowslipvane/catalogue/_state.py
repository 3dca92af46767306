"""The state of a catalogue as an immutable value, for snapshots of the replicated log."""

from __future__ import annotations

from typing import NamedTuple

from cowslipvane.catalogue._catalogue import Catalogue
from cowslipvane.catalogue._changes import Outcome
from cowslipvane.catalogue._outcomes import Decided
from cowslipvane.catalogue._resources import Key, Resource
from cowslipvane.catalogue._writers import LastWrite
from cowslipvane.types import OperationId, Version


class Writer(NamedTuple):
    """The operation that last wrote or deleted a resource."""

    key: Key
    operation_id: OperationId
    version: Version


class Decision(NamedTuple):
    """The outcome of an operation, and when it was decided, in seconds of wall time."""

    operation_id: OperationId
    outcome: Outcome
    decided_at: float


class CatalogueState(NamedTuple):
    """The state on which later decisions depend; the history for deltas is left out."""

    version: Version
    resources: tuple[Resource, ...]
    writers: tuple[Writer, ...]
    decisions: tuple[Decision, ...]


def export_state(catalogue: Catalogue) -> CatalogueState:
    """Return the state of a catalogue."""
    writers = tuple(Writer(key, *writer) for key, writer in catalogue.writers.items())
    decisions = tuple(
        Decision(operation_id, outcome, decided_at)
        for operation_id, (outcome, decided_at) in catalogue.outcomes.items()
    )
    resources = tuple(catalogue.resources.values())
    return CatalogueState(catalogue.version, resources, writers, decisions)


def import_state(catalogue: Catalogue, state: CatalogueState) -> None:
    """Replace the contents of a catalogue by a state."""
    catalogue.restore(
        version=state.version,
        resources={resource.key: resource for resource in state.resources},
        writers={
            writer.key: LastWrite(writer.operation_id, writer.version) for writer in state.writers
        },
        outcomes={
            decision.operation_id: Decided(decision.outcome, decision.decided_at)
            for decision in state.decisions
        },
    )
