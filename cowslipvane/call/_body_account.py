"""The memory that one process may use for request bodies, of its callers and of other proxies."""

from __future__ import annotations

from typing import Literal

from cowslipvane.call._byte_limit import ByteLimit

# Bytes of request bodies that a process holds by default. A host has 200 MB.
DEFAULT_BODY_BYTES = 64 << 20
# The part of them that one direction may take, so that the other is never without room.
DIRECTION_SHARE = 0.75
# A smaller body is always taken: the number of requests is limited in other ways.
MAX_SMALL_BODY_BYTES = 16 << 10

# Bodies of this process's callers, and bodies that other proxies send to the worker here.
Direction = Literal["callers", "peers"]


class BodyAccount:
    """The request bodies that a process holds, by direction.

    A single body is taken whatever its size while nothing else is held, so that one that its route
    allows isn't refused in calm.
    """

    def __init__(self, *, max_bytes: int = DEFAULT_BODY_BYTES) -> None:
        self._all = ByteLimit(max_bytes=max_bytes)
        share = int(max_bytes * DIRECTION_SHARE)
        self._directions: dict[Direction, ByteLimit] = {
            "callers": ByteLimit(max_bytes=share),
            "peers": ByteLimit(max_bytes=share),
        }

    @property
    def held_bytes(self) -> int:
        """Return how much is held."""
        return self._all.held_bytes

    def may_hold(self, direction: Direction, size: int) -> bool:
        """Return whether a further body may be taken."""
        if size <= MAX_SMALL_BODY_BYTES or not self.held_bytes:
            return True
        return self.has_room(direction, size)

    def has_room(self, direction: Direction, size: int) -> bool:
        """Return whether bytes fit into the limits."""
        return self._all.has_room(size) and self._directions[direction].has_room(size)

    def add(self, direction: Direction, size: int) -> None:
        """Add bytes that are held from now on."""
        self._all.add(size)
        self._directions[direction].add(size)

    def remove(self, direction: Direction, size: int) -> None:
        """Remove bytes that aren't held any more."""
        self._all.remove(size)
        self._directions[direction].remove(size)
