"""The closure of route hosts: the resources that a proxy needs, and their digest."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

from cowslipvane.catalogue._resources import (
    Key,
    QuotaDivision,
    Release,
    Resource,
    Rollout,
    Route,
    Team,
    Upstream,
    references,
)

# Route hosts that a proxy serves; none means all of them.
RouteHosts = tuple[str, ...]

_DIGEST_BYTES = 8
_DIGEST_MODULUS = 1 << (8 * _DIGEST_BYTES)


def closure(resources: Mapping[Key, Resource], hosts: RouteHosts) -> frozenset[Key]:
    """Return the routes of some hosts, what they refer to, and what is of all hosts.

    Releases are left out: a proxy only uses the resources that were made from one.
    """
    if not hosts:
        return frozenset(
            key for key, resource in resources.items() if not isinstance(resource.spec, Release)
        )
    route_hosts = {"*", *hosts}
    pending = [key for key, resource in resources.items() if _is_root(resource, route_hosts)]
    reached: set[Key] = set()
    while pending:
        key = pending.pop()
        if key not in reached and key in resources:
            reached.add(key)
            pending.extend(references(resources[key].spec))
    return frozenset(reached)


def resource_digest(resource: Resource) -> int:
    """Return the digest of one resource; all processes of one software version agree on it."""
    # The representation of a specification names each field, so it is unambiguous.
    data = repr(tuple(resource)).encode()
    # A route that ignores keys has the digest that builds without teams compute, and a team without
    # a quota that of builds without quotas.
    match resource.spec:
        case Route(access_keys=use) if use != "ignored":
            data += use.encode()
        case Team(rate=rate, burst=burst) if rate or burst:
            data += f"{rate!r} {burst!r}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest(), "big")


def combine_digests(digests: Iterable[int]) -> int:
    """Return the digest of a set of resources; a negated digest removes its resource."""
    # A sum is independent of the order and can be updated for the changed resources alone.
    return sum(digests) % _DIGEST_MODULUS


def _is_root(resource: Resource, route_hosts: set[str]) -> bool:
    """Return whether a proxy for some hosts needs a resource even if nothing refers to it."""
    match resource.spec:
        case Route(host=host):
            return host in route_hosts
        case Upstream() | Rollout() | Team() | QuotaDivision():
            # Nothing refers to them: upstreams announce themselves, a rollout is of those, and
            # requests of any route may be of any team, whose quotas are divided.
            return True
        case _:
            return False
