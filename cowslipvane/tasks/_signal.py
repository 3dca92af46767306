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
            # Unlike wait_for, a timeout doesn't lose a cancellation that comes with the wake-up.
            async with asyncio.timeout(timeout):
                await future
        except TimeoutError:
            return
        finally:
            self._waiting.discard(future)


class LifoSignal:
    """Wakes one waiting task for each pass, the one that waited least."""

    def __init__(self) -> None:
        self._waiting: list[asyncio.Future[None]] = []

    def send(self) -> None:
        """Wake one task that waits, if there is one."""
        while self._waiting:
            future = self._waiting.pop()
            if not future.done():
                future.set_result(None)
                return

    async def wait(self) -> None:
        """Return when it is this task's turn."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future in self._waiting:
                self._waiting.remove(future)
            raise
