"""What a process should act on and doesn't, as a detail of events."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypedDict


class UnreadDetail(TypedDict, total=False):
    """The detail that names parts of a document or of settings."""

    unread: str


def unread_detail(parts: Sequence[str]) -> UnreadDetail:
    """Return the detail that names some parts, an empty one if there are none."""
    return UnreadDetail(unread=", ".join(parts)) if parts else UnreadDetail()
