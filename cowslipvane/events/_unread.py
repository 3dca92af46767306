"""What a process should act on and doesn't, as a detail of events."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypedDict

_SEPARATOR = ", "


class UnreadDetail(TypedDict, total=False):
    """The detail that names parts of a document or of settings."""

    unread: str


def unread_detail(parts: Sequence[str]) -> UnreadDetail:
    """Return the detail that names some parts, an empty one if there are none."""
    return UnreadDetail(unread=_SEPARATOR.join(parts)) if parts else UnreadDetail()


def count_unread(detail: Mapping[str, str]) -> int:
    """Return how many parts the detail of an event names."""
    return len(detail["unread"].split(_SEPARATOR)) if "unread" in detail else 0
