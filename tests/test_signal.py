"""Tests of signals."""

import asyncio
import unittest

from cowslipvane.tasks._signal import Signal


class SignalTest(unittest.IsolatedAsyncioTestCase):
    """Signals that wake waiting tasks."""

    async def test_cancellation_that_coincides_with_the_wake_up_is_not_lost(self) -> None:
        """Otherwise a planned stop would wait forever for a task that waits in a loop."""
        signal = Signal()

        async def wait_in_a_loop() -> None:
            while True:
                await signal.wait(60.0)

        task = asyncio.create_task(wait_in_a_loop())
        await asyncio.sleep(0)
        signal.send()
        task.cancel()
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertTrue(task.cancelled())

    async def test_wait_returns_at_its_timeout(self) -> None:
        """A wait without a signal returns and doesn't raise."""
        await Signal().wait(0.01)


if __name__ == "__main__":
    unittest.main()
