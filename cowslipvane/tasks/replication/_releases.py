"""Accepts releases one at a time, and returns the one in force."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Invalid,
    Key,
    Release,
    Spec,
    release_change,
    release_in_force,
    release_operation_id,
)
from cowslipvane.events import EventLog, unread_detail
from cowslipvane.tasks.replication._messages import NotLeader, Unknown
from cowslipvane.tasks.replication._replication import Replication


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRelease:
    """No release has been accepted yet."""


class Releases:
    """Handles the releases that operators send to this replica."""

    def __init__(self, *, replication: Replication, events: EventLog) -> None:
        self._replication = replication
        self._events = events
        # Serializes releases, since one may be based on another that is still being written.
        self._lock = asyncio.Lock()

    def newest(self) -> Release | NoRelease | NotLeader:
        """Return the newest accepted release, if this replica holds the leader lease."""
        replica = self._replication.replica
        if not self._replication.holds_lease:
            return NotLeader(leader=replica.leader)
        return release_in_force(replica.catalogue) or NoRelease()

    async def put(
        self, release: Release, resources: dict[Key, Spec], *, unread: Sequence[str] = ()
    ) -> Accepted | Conflict | Invalid | NotLeader | Unknown:
        """Replace the release in force by a new one, or return why it isn't replaced.

        A release that was already accepted is acknowledged again. unread are the parts of its
        document that the front end should act on and doesn't.
        """
        async with self._lock:
            outcome = await self._decide(release, resources)
        self._events.record(
            "release",
            version=self._catalogue.version,
            number=str(release.number),
            based_on=str(release.based_on),
            outcome=type(outcome).__name__.lower(),
            reason=_reason(outcome),
            **unread_detail(unread),
        )
        return outcome

    async def _decide(
        self, release: Release, resources: dict[Key, Spec]
    ) -> Accepted | Conflict | Invalid | NotLeader | Unknown:
        """Evaluate a release against the one in force; only a valid one is written to the log."""
        replica = self._replication.replica
        if not self._replication.holds_lease:
            return NotLeader(leader=replica.leader)
        known = self._catalogue.outcome(release_operation_id(release))
        if isinstance(known, Accepted):
            return known
        change = release_change(self._catalogue, release, resources)
        if not isinstance(change, Change):
            return change
        return await self._replication.write(change)

    @property
    def _catalogue(self) -> Catalogue:
        """Return the catalogue of this replica."""
        return self._replication.replica.catalogue


def _reason(outcome: object) -> str:
    """Return why a release was not accepted, or an empty text."""
    match outcome:
        case Invalid(faults=faults):
            return "; ".join(f"{fault.path} {fault.message}" for fault in faults)
        case Conflict(winner=winner, version=version):
            return f"{winner} is in force since version {version}"
        case _:
            return ""
