"""A timeout that tells a silent peer from a process that was itself busy or suspended."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from cowslipvane.types import Seconds

# If a timeout expires later than this after it was due, this process didn't run meanwhile.
MIN_STALL: Seconds = 0.02


class ResponseTimeout:
    """Raises TimeoutError in its block when no response arrives for a delay.

    If it expires late, a response may have arrived that this process has had no time to read.
    Then it waits once more, for as long as it was late but at most for another delay.
    """

    def __init__(self, delay: Seconds) -> None:
        self._delay = delay
        self._limit = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0
        self._is_extended = False

    async def __aenter__(self) -> Self:
        """Begin the delay."""
        await self._limit.__aenter__()
        self.restart()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Raise TimeoutError if the block was cancelled by this timeout."""
        self._cancel_timer()
        await self._limit.__aexit__(kind, error, trace)

    def restart(self) -> None:
        """Begin the delay anew, since a part of the response has arrived."""
        self._is_extended = False
        # The block may be about to be cancelled.
        self._limit.reschedule(None)
        self._schedule(self._delay)

    def _schedule(self, delay: Seconds) -> None:
        """Expire after a delay."""
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + delay
        self._timer = loop.call_at(self._due_at, self._expire)

    def _expire(self) -> None:
        """Cancel the block, or extend the delay once by the time for which this process stalled."""
        now = asyncio.get_running_loop().time()
        late = now - self._due_at
        if late >= MIN_STALL and not self._is_extended:
            self._is_extended = True
            self._schedule(min(late, self._delay))
        else:
            self._limit.reschedule(now)

    def _cancel_timer(self) -> None:
        """Cancel the timer, if there is one."""
        if self._timer is not None:
            self._timer.cancel()
