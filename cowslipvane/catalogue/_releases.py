"""Releases: a complete configuration that the operator has numbered, applied as one change."""

from __future__ import annotations

import hashlib

from cowslipvane.catalogue._catalogue import Catalogue
from cowslipvane.catalogue._changes import Change, Conflict, Invalid
from cowslipvane.catalogue._documents import diff_documents
from cowslipvane.catalogue._resources import Fault, Key, Release, Rollout, Spec, Upstream
from cowslipvane.types import OperationId

RELEASE_KEY = Key("release", "current")


def release_in_force(catalogue: Catalogue) -> Release | None:
    """Return the newest accepted release, None before the first."""
    current = catalogue.resources.get(RELEASE_KEY)
    return current.spec if current is not None and isinstance(current.spec, Release) else None


def release_operation_id(release: Release) -> OperationId:
    """Return the operation id of a release; equal numbers and documents have equal ids."""
    return OperationId(f"release-{release.number}-{document_digest(release)}")


def document_digest(release: Release) -> str:
    """Return the digest of a release's document, in hexadecimal digits."""
    return hashlib.blake2b(release.document.encode(), digest_size=16).hexdigest()


def release_change(
    catalogue: Catalogue, release: Release, resources: dict[Key, Spec]
) -> Change | Conflict | Invalid:
    """Return the change that replaces the release in force, or why it can't be replaced.

    Every release writes the same key, so of two concurrent releases that are based on the same one
    only the first is accepted.
    """
    current = release_in_force(catalogue)
    current_number = current.number if current is not None else 0
    if release.based_on != current_number:
        winner, version = catalogue.last_write(RELEASE_KEY)
        return Conflict(key=RELEASE_KEY, winner=winner, version=version)
    if release.number <= current_number:
        fault = Fault(
            "version", f"is {release.number}; it must be above the current {current_number}"
        )
        return Invalid(faults=(fault,))
    puts = {
        key: spec
        for key, spec in resources.items()
        if key not in catalogue.resources or catalogue.resources[key].spec != spec
    }
    deletes = [
        key
        for key, resource in catalogue.resources.items()
        if key not in resources and _is_replaced(key, resource.spec, resources)
    ]
    return Change(
        release_operation_id(release),
        catalogue.version,
        (*puts.items(), (RELEASE_KEY, _with_pieces(current, release))),
        tuple(deletes),
    )


def _is_replaced(key: Key, spec: Spec, resources: dict[Key, Spec]) -> bool:
    """Return whether a release that lacks a resource removes it."""
    match spec:
        case Release() | Upstream():
            # The state of upstreams is managed separately from releases.
            return False
        case Rollout():
            return Key("service", key.name) not in resources
        case _:
            return True


def _with_pieces(current: Release | None, release: Release) -> Release:
    """Return a release whose document is given as pieces of the one in force."""
    if current is None or not release.document:
        return release
    pieces = diff_documents(current.document, release.document)
    return Release(number=release.number, based_on=release.based_on, document="", pieces=pieces)
