"""The outcomes of operations, kept so that a resend gets the same one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from cowslipvane.catalogue._changes import Outcome
from cowslipvane.sizes import message_size
from cowslipvane.types import OperationId

# How long the outcome of an operation is kept, in seconds by the time stamps of the log.
OUTCOME_LIFETIME_SECONDS = 24 * 3600.0
# Size in messages of the outcomes that are kept; the oldest are forgotten above that.
MAX_OUTCOME_BYTES = 4 << 20


class Decided(NamedTuple):
    """The outcome of an operation, and when it was decided, in seconds of wall time."""

    outcome: Outcome
    decided_at: float


class Outcomes:
    """The outcomes of operations, the oldest first.

    What is forgotten depends on the log alone, so that all replicas forget the same.
    """

    def __init__(self) -> None:
        self._decided: dict[OperationId, Decided] = {}
        self._sizes: dict[OperationId, int] = {}
        self._bytes = 0

    def get(self, operation_id: OperationId) -> Outcome | None:
        """Return the outcome of an operation, None if it is undecided or no longer kept."""
        decided = self._decided.get(operation_id)
        return None if decided is None else decided.outcome

    def record(self, operation_id: OperationId, decided: Decided) -> None:
        """Keep the outcome of an operation, unless one is kept already."""
        if operation_id in self._decided:
            return
        self._add(operation_id, decided)
        while self._bytes > MAX_OUTCOME_BYTES and len(self._decided) > 1:
            self._forget_first()

    def forget_before(self, cutoff: float) -> None:
        """Forget the outcomes decided before a time."""
        while self._decided and next(iter(self._decided.values())).decided_at < cutoff:
            self._forget_first()

    def export(self) -> dict[OperationId, Decided]:
        """Return all outcomes, the oldest first."""
        return dict(self._decided)

    def restore(self, decided: Mapping[OperationId, Decided]) -> None:
        """Replace the outcomes by exported ones."""
        self._decided.clear()
        self._sizes.clear()
        self._bytes = 0
        for operation_id, item in decided.items():
            self._add(operation_id, item)

    def _add(self, operation_id: OperationId, decided: Decided) -> None:
        """Add the newest outcome."""
        size = message_size((operation_id, decided))
        self._decided[operation_id] = decided
        self._sizes[operation_id] = size
        self._bytes += size

    def _forget_first(self) -> None:
        """Forget the oldest outcome."""
        operation_id = next(iter(self._decided))
        del self._decided[operation_id]
        self._bytes -= self._sizes.pop(operation_id)
