"""Tests of departures that bind the successors of the process that acknowledged them."""

import asyncio
import time
import unittest

from tests.departures_case import DeparturesCase
from tools.relay import LinkCondition

# An upstream that is leaving receives no new work after this time.
DRAIN_S = 2.0
RESTART_DELAY_S = 0.5
# A worker that announces itself is served at once, give or take the processor.
SOON_S = 1.0
BORN = 1_000_000
CUT = LinkCondition(cuts_in=True, cuts_out=True)


class DepartureTest(DeparturesCase):
    """The process that acknowledged a departure is gone when a late announcement arrives."""

    async def restart(self, disruption: str) -> None:
        """Let the process that acknowledged end, and others with it."""
        match disruption:
            case "killed":
                await self.kill(self.proxy)
            case "stopped":
                await self.proxy.stop()
            case "killed twice":
                await self.kill(self.proxy)
                await asyncio.sleep(RESTART_DELAY_S)
                await self.start(self.proxy)
                await self.until(self.is_up)
                await self.kill(self.proxy)
            case "killed with its neighbours":
                await self.kill(*self.proxies)
            case "killed with the whole core":
                await self.kill(self.proxy, *self.core)
            case "killed with all":
                await self.kill(*self.proxies, *self.core)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start(*self.core, *self.proxies)
        await self.until(self.is_up)

    async def check_gone(self, instance: str, born: int) -> None:
        """Check that late announcements, from the start on, bring no worker back for long."""
        await self.announce(instance, born)
        # A departure of another worker is acknowledged once there is a leader.
        await self.until(lambda: self.deregister("i-other", BORN))
        since = time.monotonic()
        while time.monotonic() < since + SOON_S:
            await self.announce(instance, born)
            self.assertFalse(await self.is_served(), "a worker that had left is back")
            await asyncio.sleep(0.1)

    # Guards against a successor that takes a late announcement for new and sends requests to a
    # worker that has left (issue 37, DRAIN).
    async def test_a_departure_outlives_the_process_that_acknowledged_it(self) -> None:
        """A worker that comes after it is served at once."""
        disruptions = (
            "killed",
            "stopped",
            "killed twice",
            "killed with its neighbours",
            "killed with the whole core",
            "killed with all",
        )
        for number, disruption in enumerate(disruptions):
            instance, born = f"i-{number}", BORN + 10_000 * number
            with self.subTest(disruption):
                self.assertTrue(await self.announce(instance, born))
                await self.until(self.is_served)
                self.assertTrue(await self.deregister(instance, None))
                self.assertFalse(await self.is_served())
                await self.restart(disruption)
                await self.check_gone(instance, born)
                self.assertTrue(await self.announce(f"{instance}-next", born + 1000))
                self.assertTrue(await self.is_served())
                self.assertTrue(await self.deregister(f"{instance}-next", born + 1000))

    # Guards against the same for a worker that says in a heartbeat that it drains.
    async def test_a_draining_worker_stays_gone(self) -> None:
        """Its heartbeat is acknowledged once it is kept."""
        self.assertTrue(await self.announce("i-1", BORN))
        await self.until(self.is_served)
        self.assertTrue(await self.announce("i-1", BORN, "draining"))
        await self.restart("killed")
        await self.check_gone("i-1", BORN)

    # Guards against a worker that is never served again since an earlier one had its name.
    async def test_a_worker_may_return_under_its_name(self) -> None:
        """Its start time tells it from the one that has left."""
        self.assertTrue(await self.announce("i-1", BORN))
        self.assertTrue(await self.deregister("i-1", BORN))
        await self.restart("killed")
        await self.check_gone("i-1", BORN)
        self.sequence = 0
        self.assertTrue(await self.announce("i-1", BORN + 1))
        self.assertTrue(await self.is_served())

    # Guards against an acknowledgement that nobody else knows of.
    async def test_a_process_that_is_cut_off_acknowledges_no_departure(self) -> None:
        """The worker gets no new work all the same; its repetition is acknowledged later."""
        self.assertTrue(await self.announce("i-1", BORN))
        await self.until(self.is_served)
        ips = [self.proxy.host.ip]
        with self.relay.condition(ips, CUT):
            began_at = time.monotonic()
            self.assertFalse(await self.deregister("i-1", BORN))
            self.assertLess(time.monotonic() - began_at, 1.0)
            self.assertFalse(await self.is_served())
        await self.until(lambda: self.deregister("i-1", BORN))
        await self.restart("killed")
        await self.check_gone("i-1", BORN)

    # Guards against a restarted proxy whose sound worker waits until there is a leader.
    async def test_a_sound_worker_is_served_without_a_leader(self) -> None:
        """It is as before the process was killed with the whole core."""
        self.assertTrue(await self.announce("i-1", BORN))
        await self.until(self.is_served)
        await self.kill(self.proxy, *self.core)
        await self.start(self.proxy)
        await self.until(self.is_up)
        self.assertTrue(await self.announce("i-1", BORN))
        await self.until(self.is_served, SOON_S)


if __name__ == "__main__":
    unittest.main()
