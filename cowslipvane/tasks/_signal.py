"""A signal that wakes every task that waits for it."""

from __future__ import annotations

import asyncio

from cowslipvane.types import Seconds


class Signal:
    """Wakes the tasks that wait at the moment it is sent."""

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future[None]] = set()

    def send(self) -> None:
        """Wake all tasks that wait."""
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout: Seconds | None = None) -> None:
        """Return at the next send, or after the timeout in seconds."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return
        finally:
            self._waiting.discard(future)
