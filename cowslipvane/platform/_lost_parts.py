"""Parts of a configuration that are lost when it is read, since other parts take their place."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from cowslipvane.catalogue import Key, Route, Spec
from cowslipvane.platform._fields import shown_name
from cowslipvane.routing import normalize_host


class Document(NamedTuple):
    """A JSON document, and the names that one of its objects gives more than once."""

    form: Any
    repeated_names: frozenset[str]


def load_document(body: bytes) -> Document:
    """Return the document in a body; raise ValueError if it is none."""
    repeated: set[str] = set()

    def make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        form = dict(pairs)
        if len(form) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            repeated.update(name for name, count in counts.items() if count > 1)
        return form

    form = json.loads(body, object_pairs_hook=make_object)
    return Document(form, frozenset(repeated))


def lost_parts(document: Document, entries: Sequence[tuple[Key, Spec]]) -> Iterator[str]:
    """Yield the parts of a configuration that others take the place of.

    entries are its resources in the order of the document, clusters first.
    """
    for name in document.repeated_names:
        yield f"{shown_name(name)} (one object has it more than once)"
    if _has_unused_service(document.form):
        yield "listeners[].route_rules[].action.service (weighted_clusters takes its place)"
    identities = [_identity(key, spec) for key, spec in entries]
    if len(set(identities)) < len(identities):
        yield from _repeated(zip(_places(document.form), identities, strict=True))


def _has_unused_service(form: Any) -> bool:
    """Return whether a rule of a configuration names its service in both ways."""
    return any(
        "service" in rule["action"] and rule["action"].get("weighted_clusters")
        for listener in form["listeners"]
        for rule in listener["route_rules"]
    )


def _identity(key: Key, spec: Spec) -> tuple[str, ...]:
    """Return what only one resource in force can have: of routes, the host that callers name."""
    match spec:
        case Route(host=host, path_prefix=prefix):
            return (key.kind, normalize_host(host), prefix)
        case _:
            return key


def _repeated(entries: Iterable[tuple[str, tuple[str, ...]]]) -> Iterator[str]:
    """Yield the places whose identity an earlier place has, too."""
    places: dict[tuple[str, ...], str] = {}
    for place, identity in entries:
        earlier = places.setdefault(identity, place)
        if earlier != place:
            yield f"{place} (of the same name as {earlier})"


def _places(form: Any) -> Iterator[str]:
    """Yield the place of each cluster and route of a configuration."""
    for at in range(len(form["clusters"])):
        yield f"clusters[{at}]"
    for at, listener in enumerate(form["listeners"]):
        for rule_at in range(len(listener["route_rules"])):
            yield f"listeners[{at}].route_rules[{rule_at}]"
