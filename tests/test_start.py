"""The load pattern of a restart: calls that come before the proxy has its first configuration."""

import asyncio
import time
import unittest
from unittest.mock import patch

from cowslipvane.tasks import _callers
from tests.callers_case import CallersTestCase

LONG_S = 60.0
PATIENCE_S = 20.0


class StartTest(CallersTestCase):
    """A proxy that waits for its first configuration."""

    async def until_under_way(self) -> None:
        """Return once a call has come."""
        give_up = time.monotonic() + PATIENCE_S
        while not self.callers.in_flight:
            self.assertLess(time.monotonic(), give_up, "no call came")
            await asyncio.sleep(0.01)

    async def test_a_call_waits_for_the_first_configuration(self) -> None:
        """It is routed once that is in force, and isn't refused meanwhile."""
        with patch.object(_callers, "FIRST_CONFIGURATION_TIMEOUT", LONG_S):
            asking = asyncio.create_task(self.code())
            await self.until_under_way()
            self.apply()
            self.assertEqual(await asking, "no-upstream")

    async def test_a_caller_with_little_patience_gets_part_of_it_back(self) -> None:
        """It can still come back, or go elsewhere."""
        with patch.object(_callers, "FIRST_CONFIGURATION_TIMEOUT", LONG_S):
            self.assertEqual(await self.code(**{"X-Request-Timeout-Ms": "60"}), "no-configuration")

    async def test_long_after_the_start_a_call_is_refused_at_once(self) -> None:
        """A proxy that is cut off doesn't hold its callers."""
        with patch.object(_callers, "FIRST_CONFIGURATION_TIMEOUT", 0.0):
            self.assertEqual(await self.code(), "no-configuration")


if __name__ == "__main__":
    unittest.main()
