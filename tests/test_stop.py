"""Tests of the time that a planned stop takes, with parts of the daemon that don't finish."""

import asyncio
import time
import unittest
from typing import Any, cast

from cowslipvane.daemon import EXIT_RESERVE, Daemon
from cowslipvane.settings import Settings, Timing
from cowslipvane.settings._settings import Listen
from cowslipvane.types import Address, DataCentre, HostName, Seconds

GRACE_S = 2.0
HAND_OVER_S = 0.8
# Time for which the event loop may be late on a busy machine.
SLACK_S = 0.4


class SlowHandOver:
    """A replication whose successor doesn't answer."""

    async def hand_over(self) -> None:
        """Wait as long as for a successor that is cut off."""
        await asyncio.sleep(HAND_OVER_S)


class BusyRole:
    """Callers and owner in one, with a call in flight that never ends."""

    in_flight = ("call",)

    def stop(self) -> None:
        """Do nothing."""

    def stop_accepting(self) -> None:
        """Do nothing."""

    async def give_up(self) -> None:
        """Return at once."""

    async def drain(self) -> None:
        """Return at once."""

    async def wait_idle(self) -> None:
        """Wait for the call, which never ends."""
        await asyncio.Event().wait()


class StopTest(unittest.IsolatedAsyncioTestCase):
    """A stop ends within the grace period."""

    def daemon(self) -> Any:
        """Return a daemon that has opened no listener and no data folder."""
        address = Address("127.0.0.1", 1)
        settings = Settings(
            host=HostName("a"),
            data_centre=DataCentre("here"),
            roles=("proxy",),
            listen=Listen(operators=address, peers=address, callers=address),
            seeds=(),
            timing=Timing(grace=GRACE_S, lame_duck=0.1),
        )
        return cast(Any, Daemon(settings=settings))

    async def leaving_time(self, daemon: Any) -> Seconds:
        """Return the time from a stop to the point at which the daemon closes everything."""
        started_at = time.monotonic()
        daemon.stop()
        await daemon._leave()
        return time.monotonic() - started_at

    async def test_the_hand_over_counts_towards_the_grace_period(self) -> None:
        """A leader whose successor was cut off outlived the grace period and was killed."""
        daemon = self.daemon()
        daemon._replication = SlowHandOver()
        daemon._callers = daemon._owner = BusyRole()
        daemon._record_cut_work = lambda callers, owner: None
        elapsed = await self.leaving_time(daemon)
        self.assertLess(elapsed, GRACE_S - EXIT_RESERVE + SLACK_S)


if __name__ == "__main__":
    unittest.main()
