"""Tests of calls that arrive after a restart, before the proxy has its first configuration."""

import asyncio
import time
import unittest
from unittest.mock import patch

from cowslipvane.tasks.callers import _router
from tests.callers_case import CallersTestCase

LONG_TIMEOUT_S = 60.0
TIMEOUT_S = 20.0


class StartTest(CallersTestCase):
    """A proxy that waits for its first configuration."""

    async def until_in_flight(self) -> None:
        """Return once a call has arrived."""
        give_up_at = time.monotonic() + TIMEOUT_S
        while not self.callers.in_flight:
            self.assertLess(time.monotonic(), give_up_at, "no call arrived")
            await asyncio.sleep(0.01)

    async def test_call_waits_for_the_first_configuration(self) -> None:
        """It isn't refused, but routed once the configuration is in force."""
        with patch.object(_router, "FIRST_CONFIGURATION_TIMEOUT", LONG_TIMEOUT_S):
            refusal_code_task = asyncio.create_task(self.code())
            await self.until_in_flight()
            self.apply()
            self.assertEqual(await refusal_code_task, "no-upstream")

    async def test_call_with_a_short_timeout_is_refused_before_it_expires(self) -> None:
        """Its refusal arrives early enough for a retry, here or at another proxy."""
        with patch.object(_router, "FIRST_CONFIGURATION_TIMEOUT", LONG_TIMEOUT_S):
            self.assertEqual(await self.code(**{"X-Request-Timeout-Ms": "60"}), "no-configuration")

    async def test_call_is_refused_at_once_long_after_the_start(self) -> None:
        """A partitioned proxy doesn't delay its callers."""
        with patch.object(_router, "FIRST_CONFIGURATION_TIMEOUT", 0.0):
            self.assertEqual(await self.code(), "no-configuration")


if __name__ == "__main__":
    unittest.main()
