"""Releases: a whole configuration under an operator's own number, put in place by one change."""

from __future__ import annotations

import hashlib

from cowslipvane.catalogue._catalogue import Catalogue, Change, Conflict, Invalid
from cowslipvane.catalogue._documents import difference
from cowslipvane.catalogue._resources import Fault, Key, Release, Spec, Upstream
from cowslipvane.types import NO_VERSION, OperationId

RELEASE_KEY = Key("release", "current")


def release_in_force(catalogue: Catalogue) -> Release | None:
    """Return the newest accepted release, None before the first."""
    held = catalogue.resources.get(RELEASE_KEY)
    return held.spec if held is not None and isinstance(held.spec, Release) else None


def release_operation_id(release: Release) -> OperationId:
    """Return the id under which a release is decided; the same document has the same id."""
    digest = hashlib.blake2b(release.document.encode(), digest_size=16).hexdigest()
    return OperationId(f"release-{release.number}-{digest}")


def release_change(
    catalogue: Catalogue, release: Release, resources: dict[Key, Spec]
) -> Change | Conflict | Invalid:
    """Return the change that puts a release in place of the one in force, or why there is none.

    A change that writes the release's key conflicts with every other one that does, so of two
    releases that build on the same one only the first is accepted.
    """
    held = release_in_force(catalogue)
    number = held.number if held is not None else 0
    if release.based_on != number:
        winner, version = catalogue.writers.get(RELEASE_KEY, (OperationId(""), NO_VERSION))
        return Conflict(key=RELEASE_KEY, winner=winner, version=version)
    if release.number <= number:
        fault = Fault("version", f"is {release.number}; it must be above the current {number}")
        return Invalid(faults=(fault,))
    puts = {
        key: spec
        for key, spec in resources.items()
        if key not in catalogue.resources or catalogue.resources[key].spec != spec
    }
    # Which upstreams are in or out is decided beside releases.
    deletes = [
        key
        for key, present in catalogue.resources.items()
        if key not in resources and not isinstance(present.spec, Release | Upstream)
    ]
    return Change(
        release_operation_id(release),
        catalogue.version,
        (*puts.items(), (RELEASE_KEY, _told_after(held, release))),
        tuple(deletes),
    )


def _told_after(held: Release | None, release: Release) -> Release:
    """Return a release with its document told by pieces of the one in force."""
    if held is None or not release.document:
        return release
    pieces = difference(held.document, release.document)
    return Release(number=release.number, based_on=release.based_on, document="", pieces=pieces)
