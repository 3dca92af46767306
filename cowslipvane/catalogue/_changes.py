"""Changes of the resources, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue._resources import OUT_OF_RANGE, Fault, Key, Spec, spec_faults
from cowslipvane.types import OperationId, Version, fits_int64


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
    """Another change wrote one of the resources after the version this change is based on.

    The winner is empty if the resource doesn't exist and it is forgotten whether it did.
    """

    key: Key
    winner: OperationId
    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The change violates rules; no part of it is applied."""

    faults: tuple[Fault, ...]


Outcome = Accepted | Conflict | Invalid


def change_faults(change: Change) -> list[Fault]:
    """Return the faults that a change has by itself, whatever resources it is applied to."""
    faults = [fault for key, spec in change.puts for fault in spec_faults(key, spec)]
    if not fits_int64(change.based_on):
        faults.append(Fault("based_on", OUT_OF_RANGE))
    return faults
