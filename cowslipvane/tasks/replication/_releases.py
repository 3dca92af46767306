"""Accepts releases one at a time, and returns the one in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Invalid,
    Key,
    Release,
    Spec,
    missing_access,
    release_change,
    release_in_force,
    release_operation_id,
)
from cowslipvane.events import EventLog, unread_detail
from cowslipvane.tasks.replication._messages import NotLeader, Unknown
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Seconds

# How often a leader checks whether there is a release that this process hasn't derived.
DERIVATION_CHECK_INTERVAL: Seconds = 1.0


class Derivation(NamedTuple):
    """What a front end makes of a document: resources, and the parts that it should act on."""

    resources: dict[Key, Spec]
    unread: tuple[str, ...]


# Raises ValueError if the document is none that the front end accepts.
Derive = Callable[[str], Derivation]


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRelease:
    """No release has been accepted yet."""


class Releases:
    """Handles the releases that operators send to this replica."""

    def __init__(
        self, *, replication: Replication, events: EventLog, derive: Derive | None = None
    ) -> None:
        """Without a front end that derives resources, there are no releases."""
        self._replication = replication
        self._events = events
        self._derive = derive
        # The release in force whose unread parts were counted last, and their number.
        self._counted: tuple[Release | None, int] = (None, 0)
        # The release in force whose resources are known to be those that this build derives.
        self._derived: Release | None = None
        # Serializes releases, since one may be based on another that is still being written.
        self._lock = asyncio.Lock()

    def newest(self) -> Release | NoRelease | NotLeader:
        """Return the newest accepted release, if this replica holds the leader lease."""
        replica = self._replication.replica
        if not self._replication.holds_lease:
            return NotLeader(leader=replica.leader)
        return release_in_force(replica.catalogue) or NoRelease()

    @property
    def unread_parts(self) -> int:
        """Return how many parts of the release in force this build should act on and doesn't."""
        release = release_in_force(self._catalogue)
        if release is None or self._derive is None:
            return 0
        if release is not self._counted[0]:
            try:
                unread = self._derive(release.document).unread
            except ValueError:
                # An earlier build has accepted it; what became of that is in the event log.
                unread = ()
            self._counted = (release, len(unread))
        return self._counted[1]

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
            return await self._acknowledge_again(release, resources, known)
        change = release_change(self._catalogue, release, resources)
        if not isinstance(change, Change):
            return change
        outcome = await self._replication.write(change)
        if isinstance(outcome, Accepted):
            self._derived = release_in_force(self._catalogue)
        return outcome

    async def _acknowledge_again(
        self, release: Release, resources: dict[Key, Spec], known: Accepted
    ) -> Accepted | NotLeader | Unknown:
        """Return that a release was accepted, after adding what an earlier build left out of it."""
        current = release_in_force(self._catalogue)
        if current is None or current.document != release.document:
            return known
        match await self._add_teams(resources):
            case NotLeader() | Unknown() as outcome:
                return outcome
            case _:
                return known

    async def run(self) -> None:
        """Add the teams that an earlier build left out of the release in force, while leading."""
        while True:
            await asyncio.sleep(DERIVATION_CHECK_INTERVAL)
            async with self._lock:
                await self._check_derivation()

    async def _check_derivation(self) -> None:
        """Derive the release in force again, unless this process knows what that leads to."""
        release = self.newest()
        if not isinstance(release, Release) or release is self._derived or self._derive is None:
            return
        try:
            resources = self._derive(release.document).resources
        except ValueError as error:
            # An earlier build has accepted what this one refuses, so there is nothing to add.
            self._record_derivation("refused", str(error))
            self._derived = release
            return
        outcome = await self._add_teams(resources)
        if outcome is None or isinstance(outcome, Accepted | Invalid):
            self._derived = release

    async def _add_teams(
        self, resources: dict[Key, Spec]
    ) -> Accepted | Conflict | Invalid | NotLeader | Unknown | None:
        """Add the teams that an earlier build left out; return None if there are none."""
        change = missing_access(self._catalogue, resources)
        if change is None:
            return None
        outcome = await self._replication.write(change)
        self._record_derivation(type(outcome).__name__.lower(), _reason(outcome))
        return outcome

    def _record_derivation(self, outcome: str, reason: str) -> None:
        """Record what became of teams that an earlier build left out."""
        version = self._catalogue.version
        self._events.record("release", version=version, outcome=f"teams {outcome}", reason=reason)

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
