"""The promise of a voter to its leader, and when its own patience ends."""

from __future__ import annotations

import math
import random

from cowslipvane.types import Seconds

# An election waits one election timeout plus a random share of this many more.
ELECTION_SPREAD = 0.5

# A replica that has started asks the others within this time; at different ones, since all may
# have started together, and several candidates in a term may get no majority.
FIRST_CANVASS: Seconds = 0.1

# How long a replica lets a preferred one stand first; a vote takes some round trips and syncs.
ASIDE_TIME: Seconds = 0.1

# Share of the election timeout for which a leader trusts that a voter it has heard from
# elects nobody else; the rest covers clocks that run at different rates.
LEASE_SHARE = 0.9


class Promise:
    """Elect nobody within an election timeout of hearing a leader, and stand only some time later.

    Times are in seconds of one clock, which also goes on while the host is suspended.
    """

    def __init__(self, *, election_timeout: Seconds, rng: random.Random, now: float) -> None:
        self._election_timeout = election_timeout
        self._rng = rng
        # Before a restart this voter may have answered a leader, which counts on it for an
        # election timeout; so a start counts as hearing from a leader.
        self._heard_at = now
        # Unlike the promise above, this begins with the first message of a leader.
        self._followed_at = -math.inf
        # Nothing is asked of the others but whether one of them leads.
        self._stand_at = now + FIRST_CANVASS * rng.random()

    @property
    def election_timeout(self) -> Seconds:
        """Return the time for which a promise holds."""
        return self._election_timeout

    @property
    def lease(self) -> Seconds:
        """Return the time for which a leader counts on a voter that has answered."""
        return self._election_timeout * LEASE_SHARE

    @property
    def stand_at(self) -> float:
        """Return when to stand for election unless a leader is heard before."""
        return self._stand_at

    def hear(self, now: float) -> None:
        """Note a message of the leader."""
        self._heard_at = self._followed_at = now
        self.delay(now)

    def delay(self, now: float) -> None:
        """Put the next election off by one election timeout and a random time."""
        self._stand_at = now + self._election_timeout * (1 + ELECTION_SPREAD * self._rng.random())

    def stand_aside(self, now: float) -> None:
        """Let another replica stand first, which is as free to."""
        self._stand_at = now + ASIDE_TIME

    def binds(self, now: float) -> bool:
        """Return whether a leader was heard, or may have been, too recently to elect another."""
        return now < self._heard_at + self._election_timeout

    def is_following(self, now: float) -> bool:
        """Return whether a leader was surely heard within an election timeout."""
        return now < self._followed_at + self._election_timeout
