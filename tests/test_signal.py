"""Tests of signals."""

import asyncio
import unittest

from cowslipvane.tasks._signal import Signal


class SignalTest(unittest.IsolatedAsyncioTestCase):
    """Waking the tasks that wait."""

    async def test_a_cancellation_that_comes_with_the_wake_up_is_not_lost(self) -> None:
        """A task that waits again and again ends, or a planned stop would wait for it for ever."""
        signal = Signal()

        async def wait_again_and_again() -> None:
            while True:
                await signal.wait(60.0)

        task = asyncio.create_task(wait_again_and_again())
        await asyncio.sleep(0)
        signal.send()
        task.cancel()
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertTrue(task.cancelled())

    async def test_a_wait_ends_at_its_timeout(self) -> None:
        """Without a signal, nothing is raised."""
        await Signal().wait(0.01)


if __name__ == "__main__":
    unittest.main()
