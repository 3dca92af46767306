"""Parts of a configuration that are lost when it is read, since other parts take their place."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from cowslipvane.catalogue import Key
from cowslipvane.platform._fields import shown_name


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


def lost_parts(document: Document, keys: Sequence[Key]) -> Iterator[str]:
    """Yield the parts of a configuration that others take the place of.

    keys are those of its resources in the order of the document, clusters first.
    """
    for name in document.repeated_names:
        yield f"{shown_name(name)} (one object has it more than once)"
    if _has_unused_service(document.form):
        yield "listeners[].route_rules[].action.service (weighted_clusters takes its place)"
    if len(set(keys)) < len(keys):
        yield from _replaced(zip(_places(document.form), keys, strict=True))


def _has_unused_service(form: Any) -> bool:
    """Return whether a rule of a configuration names its service in both ways."""
    return any(
        "service" in rule["action"] and rule["action"].get("weighted_clusters")
        for listener in form["listeners"]
        for rule in listener["route_rules"]
    )


def _replaced(entries: Iterable[tuple[str, Key]]) -> Iterator[str]:
    """Yield the places whose key another place has further on."""
    places: dict[Key, str] = {}
    for place, key in entries:
        if key in places:
            yield f"{places[key]} ({place} takes its place)"
        places[key] = place


def _places(form: Any) -> Iterator[str]:
    """Yield the place of each cluster and route of a configuration."""
    for at in range(len(form["clusters"])):
        yield f"clusters[{at}]"
    for at, listener in enumerate(form["listeners"]):
        for rule_at in range(len(listener["route_rules"])):
            yield f"listeners[{at}].route_rules[{rule_at}]"
