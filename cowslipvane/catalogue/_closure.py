"""The part of a catalogue that a proxy needs, and the digest of that part."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

from cowslipvane.catalogue._resources import Key, Release, Resource, Route, Upstream, references

# Route hosts that a proxy serves; none means all of them.
RouteHosts = tuple[str, ...]

_DIGEST_BYTES = 8
_DIGEST_MODULUS = 1 << (8 * _DIGEST_BYTES)


def closure(resources: Mapping[Key, Resource], hosts: RouteHosts) -> frozenset[Key]:
    """Return the routes for some hosts, what these refer to, and the state of every upstream.

    Releases stay with the replicas: a proxy acts on the resources that were made from one.
    """
    if not hosts:
        return frozenset(
            key for key, held in resources.items() if not isinstance(held.spec, Release)
        )
    wanted = {"*", *hosts}
    waiting = [key for key, resource in resources.items() if _is_root(resource, wanted)]
    found: set[Key] = set()
    while waiting:
        key = waiting.pop()
        if key not in found and key in resources:
            found.add(key)
            waiting.extend(references(resources[key].spec))
    return frozenset(found)


def resource_digest(resource: Resource) -> int:
    """Return the digest of one resource; every process of a release computes the same."""
    # The representation of a specification names each field, so it is unambiguous.
    data = repr(tuple(resource)).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest(), "big")


def combine_digests(digests: Iterable[int]) -> int:
    """Return the digest of a set of resources; a negated digest takes its resource out."""
    # A sum depends on no order, so that a change costs only what it touches.
    return sum(digests) % _DIGEST_MODULUS


def _is_root(resource: Resource, wanted: set[str]) -> bool:
    """Return whether a proxy for the wanted hosts needs a resource by itself."""
    match resource.spec:
        case Route(host=host):
            return host in wanted
        case Upstream():
            # No route names an upstream, since upstreams announce themselves.
            return True
        case _:
            return False
