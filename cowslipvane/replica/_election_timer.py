"""The vote lease that a replica grants its leader, and the timer of its own elections."""

from __future__ import annotations

import math
import random

from cowslipvane.types import Seconds

# An election starts after the election timeout plus a random part of this share of it.
ELECTION_JITTER_SHARE = 0.5

# A started replica sends its first pre-vote after a random part of this time. The delay is random
# because all replicas may start together, and several candidates in a term can split the vote.
MAX_FIRST_PRE_VOTE_DELAY: Seconds = 0.1

# How long a replica waits for the first candidate; a vote takes some round trips and syncs.
CANDIDACY_DEFERRAL: Seconds = 0.1

# A leader's lease lasts for this share of the election timeout after it sent a message that a voter
# replied to; the rest allows for clocks that run at different rates.
LEADER_LEASE_SHARE = 0.9


class ElectionTimer:
    """Vote lease and election timer of a replica.

    For one election timeout after a leader's message, and after its own start, the replica grants
    no vote to another candidate, unless the vote is released. An election begins with a pre-vote,
    which is due some time after the vote lease. It is due earlier after a start, and after a
    deferral, which happens only if no voter can hold a lease. Times are in seconds of one clock,
    which keeps running while the host is suspended.
    """

    def __init__(self, *, election_timeout: Seconds, rng: random.Random, now: float) -> None:
        self._election_timeout = election_timeout
        self._rng = rng
        # Before a restart this voter may have replied to a leader, which relies on that reply for
        # up to an election timeout. So the vote lease also begins at the start of the process.
        self._vote_lease_start = now
        # Unlike the vote lease, this is set only by a message from a leader.
        self._leader_contact_at = -math.inf
        # The first pre-vote may come early, because it only finds out whether there is a leader.
        self._election_due_at = now + MAX_FIRST_PRE_VOTE_DELAY * rng.random()

    @property
    def election_timeout(self) -> Seconds:
        """Return the election timeout, which is also the length of a vote lease."""
        return self._election_timeout

    @property
    def leader_lease(self) -> Seconds:
        """Return the time for which a leader may rely on a voter's reply."""
        return self._election_timeout * LEADER_LEASE_SHARE

    @property
    def election_due_at(self) -> float:
        """Return when to start a pre-vote if no message from a leader arrives before."""
        return self._election_due_at

    def record_leader_contact(self, now: float) -> None:
        """Record a message from the leader, which resets the timer."""
        self._vote_lease_start = self._leader_contact_at = now
        self.reset(now)

    def reset(self, now: float) -> None:
        """Delay the next election by the election timeout and a random time."""
        self._election_due_at = now + self._election_timeout * (
            1 + ELECTION_JITTER_SHARE * self._rng.random()
        )

    def defer(self, now: float) -> None:
        """Delay the next election so that another replica can start one first."""
        self._election_due_at = now + CANDIDACY_DEFERRAL

    def has_granted_lease(self, now: float) -> bool:
        """Return whether a leader may still rely on this replica's vote lease."""
        return now < self._vote_lease_start + self._election_timeout

    def is_following(self, now: float) -> bool:
        """Return whether a message from a leader arrived within the last election timeout."""
        return now < self._leader_contact_at + self._election_timeout
