"""The share of all quotas that one process holds, by a lease of the leader."""

from __future__ import annotations

import math

from cowslipvane.quotas._messages import ShareRenewed
from cowslipvane.types import NO_VERSION, Seconds, Version


class HeldShare:
    """The share that was granted last, until its lease ends.

    Times are in seconds of lease_now(), which goes on while the host is suspended; started_at is
    when the process started.
    """

    def __init__(self, *, lease: Seconds, started_at: float) -> None:
        self._lease = lease
        self._started_at = started_at
        self._since = math.inf
        self._version = NO_VERSION
        self._parts = 0
        self._ends_at = -math.inf

    @property
    def version(self) -> Version:
        """Return the version of the division that this share is of, 0 for none."""
        return self._version

    @property
    def parts(self) -> int:
        """Return of how many equal parts this process holds one, 0 if it holds none."""
        return self._parts

    def part(self, now: float) -> float:
        """Return the part of each quota that may be granted here now."""
        return 1 / self._parts if self._parts and now < self._ends_at else 0.0

    @property
    def since(self) -> float:
        """Return from when on nobody else can have granted the part that is held."""
        return self._since

    def remaining(self, now: float) -> Seconds:
        """Return how long the lease lasts without another renewal."""
        return max(0.0, self._ends_at - now)

    def take(self, renewed: ShareRenewed, now: float) -> None:
        """Take in an answer of the leader; one of an earlier division counts no more.

        The lease runs from the question: the answer may have been on its way for long.
        """
        if renewed.version < self._version:
            return
        if not self.part(now):
            # What this host held before its process started, nobody has granted since then. Two
            # divisions can't have passed meanwhile, as the second one waits for its holders.
            was_kept = self._version == NO_VERSION and renewed.was_held
            self._since = self._started_at if was_kept else now
        self._version = renewed.version
        self._parts = renewed.parts
        self._ends_at = renewed.asked_at + self._lease
