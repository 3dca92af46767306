"""The bodies that an owner holds for other proxies, until their attempts have ended."""

from __future__ import annotations

from cowslipvane.call._body_account import MAX_SMALL_BODY_BYTES, BodyAccount
from cowslipvane.call._messages import AttemptId

# A body that is being sent to the worker waits in the connection, too.
COPIES = 2


class HeldBodies:
    """Reserves room for the bodies of attempts before they arrive."""

    def __init__(self, *, account: BodyAccount) -> None:
        self._account = account
        self._reserved: dict[AttemptId, int] = {}

    def reserve(self, attempt: AttemptId, size: int) -> bool:
        """Reserve room for the body of an attempt; return whether there is any."""
        if size <= MAX_SMALL_BODY_BYTES or attempt in self._reserved:
            return True
        needed = COPIES * size
        if not self._account.may_hold("peers", needed):
            return False
        self._account.add("peers", needed)
        self._reserved[attempt] = needed
        return True

    def release(self, attempt: AttemptId) -> None:
        """Release what is reserved for an attempt, if anything is."""
        self._account.remove("peers", self._reserved.pop(attempt, 0))
