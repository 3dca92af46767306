"""Signals that wake waiting tasks: all of them, or one at a time."""

from __future__ import annotations

import asyncio

from cowslipvane.types import Seconds


class Signal:
    """Wakes all tasks that are waiting when it is sent."""

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future[None]] = set()

    def send(self) -> None:
        """Wake all waiting tasks."""
        waiting, self._waiting = self._waiting, set()
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout: Seconds | None = None) -> None:
        """Return at the next send, or after the timeout in seconds."""
        await self.wait_any(self, timeout=timeout)

    @staticmethod
    async def wait_any(*signals: Signal, timeout: Seconds | None = None) -> None:
        """Return at the next send of one of the signals, or after the timeout in seconds."""
        future = asyncio.get_running_loop().create_future()
        for signal in signals:
            signal._waiting.add(future)
        try:
            # Unlike asyncio.wait_for, asyncio.timeout doesn't lose a cancellation that coincides
            # with the wake-up.
            async with asyncio.timeout(timeout):
                await future
        except TimeoutError:
            return
        finally:
            for signal in signals:
                signal._waiting.discard(future)


class LifoSignal:
    """Wakes one waiting task for each send, the one that has waited for the shortest time."""

    def __init__(self) -> None:
        self._waiting: list[asyncio.Future[None]] = []

    def send(self) -> None:
        """Wake one waiting task, if there is one."""
        while self._waiting:
            future = self._waiting.pop()
            if not future.done():
                future.set_result(None)
                return

    async def wait(self) -> None:
        """Return once a send has woken this task."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future in self._waiting:
                self._waiting.remove(future)
            raise
