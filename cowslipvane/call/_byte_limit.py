"""A limit on the bytes that one process holds of all calls together."""

from __future__ import annotations


class ByteLimit:
    """The total size of what is held, and its limit."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return how much is held."""
        return self._held_bytes

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self._held_bytes > self._max_bytes

    def has_room(self, size: int) -> bool:
        """Return whether bytes may be added without exceeding the limit."""
        return self._held_bytes + size <= self._max_bytes

    def add(self, size: int) -> None:
        """Add bytes that are held from now on."""
        self._held_bytes += size

    def remove(self, size: int) -> None:
        """Remove bytes that aren't held any more."""
        self._held_bytes -= size
