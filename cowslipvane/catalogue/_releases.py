"""Releases: a complete configuration that the operator has numbered, applied as one change."""

from __future__ import annotations

import dataclasses
import hashlib

from cowslipvane.catalogue._catalogue import Catalogue
from cowslipvane.catalogue._changes import Change, Conflict, Invalid
from cowslipvane.catalogue._documents import diff_documents
from cowslipvane.catalogue._resources import (
    Fault,
    Key,
    QuotaDivision,
    Release,
    Rollout,
    Route,
    Spec,
    Team,
    Upstream,
)
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


def missing_access(catalogue: Catalogue, resources: dict[Key, Spec]) -> Change | None:
    """Return the change that adds teams or quotas to the release in force, None if it needs none.

    A build that knew no teams, or no quotas, derived the resources without them, though the
    document has them. resources are those that this build derives from it.
    """
    current = [resource.spec for resource in catalogue.resources.values()]
    if not any(_is_of_access(spec) for spec in current):
        puts = _missing_teams(catalogue, resources)
    elif not any(_has_quota(spec) for spec in current):
        puts = _missing_quotas(catalogue, resources)
    else:
        return None
    if not puts:
        return None
    # A representation leaves out quotas.
    quotas = [(spec.rate, spec.burst) for _, spec in puts if isinstance(spec, Team)]
    text = repr((catalogue.version, puts, quotas))
    digest = hashlib.blake2b(text.encode(), digest_size=16)
    operation_id = OperationId(f"teams-{digest.hexdigest()}")
    return Change(operation_id, catalogue.version, tuple(puts))


def _missing_teams(catalogue: Catalogue, resources: dict[Key, Spec]) -> list[tuple[Key, Spec]]:
    """Return the teams, and the routes that read keys, which a build without teams left out."""
    puts: list[tuple[Key, Spec]] = []
    for key, spec in resources.items():
        current = catalogue.resources.get(key)
        match spec:
            case Team():
                puts.append((key, spec))
            case Route(access_keys=use) if current is not None and _is_of_access(spec):
                # Whatever else an operator has changed in a route stays.
                assert isinstance(current.spec, Route)
                puts.append((key, dataclasses.replace(current.spec, access_keys=use)))
    return puts


def _missing_quotas(catalogue: Catalogue, resources: dict[Key, Spec]) -> list[tuple[Key, Spec]]:
    """Return the teams in force with the quotas that a build without quotas left out."""
    puts: list[tuple[Key, Spec]] = []
    for key, spec in resources.items():
        current = catalogue.resources.get(key)
        match spec, current and current.spec:
            case Team(rate=rate, burst=burst), Team() as team if _has_quota(spec):
                puts.append((key, dataclasses.replace(team, rate=rate, burst=burst)))
    return puts


def _has_quota(spec: Spec) -> bool:
    """Return whether a resource is a team with a quota."""
    return isinstance(spec, Team) and spec.rate > 0


def _is_of_access(spec: Spec) -> bool:
    """Return whether a resource is a team, or a route that reads keys."""
    match spec:
        case Team():
            return True
        case Route(access_keys=use):
            return use != "ignored"
        case _:
            return False


def _is_replaced(key: Key, spec: Spec, resources: dict[Key, Spec]) -> bool:
    """Return whether a release that lacks a resource removes it."""
    match spec:
        case Release() | Upstream() | QuotaDivision():
            # The state of upstreams and the division of quotas are managed separately.
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
