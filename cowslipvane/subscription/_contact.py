"""Contact: how long the version in force is known to have been the newest accepted one."""

from __future__ import annotations

import math
from typing import NamedTuple

from cowslipvane.settings import Revocation
from cowslipvane.subscription._messages import AskNewest, Newest
from cowslipvane.types import Seconds, Version

# A proof holds for this share of the timeout. The rest allows for clocks that run at different
# rates, and for what passes between the check of a key and the start of its request.
PROOF_SHARE = 0.9
# Proofs of versions that aren't in force yet, at most; those that come first will count first.
MAX_WAITING_PROOFS = 100


class Proof(NamedTuple):
    """That no version after this one was accepted before a time, in seconds of lease_now()."""

    version: Version
    at: float

    @classmethod
    def from_answer(cls, answer: Newest) -> Proof:
        """Return what an answer proves, by the clock of the process that asked.

        The question was sent before the answer, and the answer may have been on its way for long.
        """
        return cls(answer.version, answer.sent_at - max(answer.age, 0.0))

    def answer(self, question: AskNewest, now: float) -> Newest:
        """Return the answer to a question that arrives now, by the clock of this proof."""
        return Newest(sent_at=question.sent_at, version=self.version, age=now - self.at)


class Contact:
    """Whether a proxy may accept keys, by what replicas have proved to it.

    A key may have been withdrawn by each version that was accepted after the newest proof, and by
    each that is known and not in force. Times are in seconds of one clock, which keeps running
    while the host is suspended.
    """

    def __init__(self, *, revocation: Revocation) -> None:
        self._revocation = revocation
        self._proved_at = -math.inf
        self._waiting: dict[Version, float] = {}

    @property
    def proof_lifetime(self) -> Seconds:
        """Return how long keys may be accepted after the time of a proof."""
        return self._revocation.timeout * PROOF_SHARE

    def record(self, proof: Proof, in_force: Version) -> None:
        """Take in a proof, which counts once its version or a later one is in force."""
        if proof.version <= in_force:
            self._proved_at = max(self._proved_at, proof.at)
            return
        earlier = self._waiting.get(proof.version, -math.inf)
        if proof.version in self._waiting or len(self._waiting) < MAX_WAITING_PROOFS:
            self._waiting[proof.version] = max(earlier, proof.at)

    def record_in_force(self, version: Version) -> None:
        """Count the proofs that have waited for a version that is in force now."""
        proved = [waiting for waiting in self._waiting if waiting <= version]
        for waiting in proved:
            self._proved_at = max(self._proved_at, self._waiting.pop(waiting))

    def accepts_keys(self, now: float) -> bool:
        """Return whether keys may be accepted by the version in force."""
        if not self._revocation.when_partitioned:
            return True
        return now < self._proved_at + self.proof_lifetime
