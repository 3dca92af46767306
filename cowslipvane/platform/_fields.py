"""Which fields of the platform's tables are acted on, and those of a table that aren't."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

# Operators see at most this many parts of a document, so that an event holds them all.
_MAX_PARTS = 20
_SHOWN_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_-]{0,39}")
_HIDDEN_NAME = "?"


@dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """The field is acted on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Inner:
    """The field holds a table, or a list of tables, whose fields are known."""

    fields: Fields
    is_list: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Unused:
    """The field is not needed to serve what the platform asks for."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unserved:
    """The field asks for something that this build doesn't do, unless it has one of the values."""

    reason: str
    unless: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Within:
    """The field isn't read; what this build does keeps to its value if that is in the range."""

    reason: str
    low: float = 0
    high: float = float("inf")


FieldUse = Read | Inner | Unused | Unserved | Within
Fields = Mapping[str, FieldUse]


class KnownTable(NamedTuple):
    """The fields of one table, sorted by what has to be done about each.

    Fields that are never reported are told apart by one operation on sets, since a large
    configuration has ten thousand tables.
    """

    path: str
    unreported: frozenset[str]
    inner: dict[str, KnownTable]
    checked: dict[str, Unserved | Within]


def make_known_table(fields: Fields, path: str = "") -> KnownTable:
    """Return the fields of a table, sorted; path is put before their names."""
    unreported: set[str] = set()
    inner: dict[str, KnownTable] = {}
    checked: dict[str, Unserved | Within] = {}
    for name, use in fields.items():
        match use:
            case Read() | Unused():
                unreported.add(name)
            case Inner(fields=inner_fields, is_list=is_list):
                suffix = "[]." if is_list else "."
                inner[name] = make_known_table(inner_fields, f"{path}{name}{suffix}")
            case Unserved() | Within():
                checked[name] = use
    return KnownTable(path, frozenset(unreported), inner, checked)


def unread_fields(form: Mapping[str, Any], known: KnownTable) -> set[str]:
    """Return the paths of the fields of a table that should be acted on and aren't.

    A field of many tables in a list has one path. No value is returned, since it could be a key.
    """
    found: set[str] = set()
    _collect_unread(form, known, found)
    return found


def _collect_unread(form: Mapping[str, Any], known: KnownTable, found: set[str]) -> None:
    """Add the paths of the unread fields of a table."""
    for name in form.keys() - known.unreported:
        inner = known.inner.get(name)
        if inner is not None:
            for table in _tables(form[name]):
                _collect_unread(table, inner, found)
        elif name not in known.checked or _asks_for_more(known.checked[name], form[name]):
            found.add(f"{known.path}{shown_name(name)}")


def _tables(value: object) -> list[dict[str, Any]]:
    """Return a table, or the tables of a list."""
    match value:
        case dict():
            return [value]
        case list():
            return [item for item in value if isinstance(item, dict)]
        case _:
            return []


def _asks_for_more(use: Unserved | Within, value: object) -> bool:
    """Return whether the value of a field asks for more than this build does."""
    match use:
        case Unserved(unless=unless):
            return value not in unless
        case Within(low=low, high=high):
            return not (isinstance(value, int | float) and low <= value <= high)


def shown_name(name: str) -> str:
    """Return the name of a field, or a mark in place of one that doesn't look like a name."""
    return name if _SHOWN_NAME.fullmatch(name) else _HIDDEN_NAME


def listed_parts(parts: Iterable[str]) -> tuple[str, ...]:
    """Return parts of a document in order, each once; of many only the first, and the count."""
    found = sorted(set(parts))
    if len(found) <= _MAX_PARTS:
        return tuple(found)
    return (*found[:_MAX_PARTS], f"and {len(found) - _MAX_PARTS} more")
