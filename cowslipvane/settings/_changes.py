"""Which settings differ between two files."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

from cowslipvane.settings._settings import Settings

# Settings that a running process acts on when its file is read again.
_APPLIED_AT_RELOAD = frozenset({"seeds", "timing.grace", "timing.lame_duck"})


def pending_settings(started_with: Settings, newest: Settings) -> tuple[str, ...]:
    """Return the names of settings that have changed and take effect at the next start."""
    changed = _changes(dataclasses.asdict(started_with), dataclasses.asdict(newest))
    return tuple(name for name in changed if name not in _APPLIED_AT_RELOAD)


def _changes(before: dict[str, Any], after: dict[str, Any], table: str = "") -> Iterator[str]:
    """Yield the names of values that differ, each with the tables that it is in."""
    for name, value in before.items():
        if isinstance(value, dict):
            yield from _changes(value, after[name], f"{table}{name}.")
        elif value != after[name]:
            yield f"{table}{name}"
