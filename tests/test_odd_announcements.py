"""Tests of what other writers send to the process beside a worker, with real processes."""

import asyncio
import time
import unittest
from typing import Any

from tests.departures_case import DeparturesCase
from tests.processes_case import OPERATORS_PORT, SERVICE
from tools.soak._hosts import WORKER_PORT

BORN = 1_000_000
LATER = BORN + 60_000
HEARTBEAT_S = 1.5
# The longest time for which a message with sound fields may keep a sound worker out.
MAX_AWAY_S = 3 * HEARTBEAT_S + 0.5
TOO_LARGE = 1 << 70
MISSING = object()
# A table of a heartbeat, a field in it, and the odd values; the table of the top level is empty.
ODD_FIELDS: tuple[tuple[str, str, tuple[Any, ...]], ...] = (
    ("", "address", (MISSING, 7, None, "", "worker:1", "127.0.0.1", "10.9.9.9:80", "0.0.0.0:80")),
    ("", "born", (None, "x", 1.5, -1, True, TOO_LARGE)),
    ("", "info", (MISSING, None, [], "x")),
    ("", "status", (MISSING, None, [], "x")),
    ("info", "service", (MISSING, None, 7, "", "otra", "s" * 300)),
    ("info", "version", (MISSING, None, 7, "")),
    ("info", "zone", (MISSING, None, 7, "")),
    ("info", "max_concurrency", (MISSING, None, "6", 0, -1, True, 1.5, TOO_LARGE)),
    ("status", "phase", (MISSING, None, 7, "", "otra", "gone")),
    ("status", "sequence", (MISSING, None, "4", -1, True, 1.5, TOO_LARGE)),
    ("status", "cold_remaining_s", (MISSING, None, "0", -1, True)),
)


class OddAnnouncementTest(DeparturesCase):
    """A sound worker announces itself to its proxy, and another writer does, too."""

    async def asyncSetUp(self) -> None:
        """Let the sound worker be served."""
        await super().asyncSetUp()
        self.assertTrue(await self.announce("i-sound", BORN))
        await self.until(self.is_served)

    def heartbeat(self, *, born: int = LATER, phase: str = "ready") -> dict[str, Any]:
        """Return a heartbeat with sound fields and a sequence beyond the sound worker's."""
        return {
            "address": f"{self.proxy.host.ip}:{WORKER_PORT + 1}",
            "born": born,
            "info": {"service": SERVICE, "version": "v1", "zone": "north", "max_concurrency": 6},
            "status": {"phase": phase, "sequence": 1_000, "cold_remaining_s": 0},
        }

    async def address(self) -> str:
        """Return the address of the worker that the proxy serves, empty for none."""
        url = f"http://{self.proxy.host.ip}:{OPERATORS_PORT}/v1/events"
        async with self.session.get(url) as response:
            events = (await response.json())["events"]
        last = [event for event in events if event["kind"].startswith("worker")][-1]
        return str(last["detail"].get("address", ""))

    async def time_until_served(self) -> float:
        """Let the sound worker go on announcing itself until it is served."""
        began_at = time.monotonic()
        while not (await self.address()).endswith(f":{WORKER_PORT}"):
            self.assertLess(time.monotonic(), began_at + 2 * MAX_AWAY_S)
            await self.announce("i-sound", BORN)
            await asyncio.sleep(HEARTBEAT_S)
        return time.monotonic() - began_at

    # Guards against a sound worker that is never served again after one odd heartbeat (review/7).
    async def test_odd_heartbeats_change_nothing(self) -> None:
        """Whichever field is odd, under the worker's name or another one, ready or draining."""
        served = await self.address()
        for phase in ("ready", "draining"):
            for table, name, values in ODD_FIELDS:
                for instance in ("i-sound", "i-other"):
                    for value in values:
                        form = self.heartbeat(phase=phase)
                        fields = form[table] if table else form
                        fields[name] = value
                        if value is MISSING:
                            del fields[name]
                        call = f"Instances.Heartbeat/{instance}"
                        self.assertFalse(await self.post(call, form), (instance, name, value))
        for instance in ("i-sound", "i-other"):
            for body in ({"born": "x"}, {"born": None}, {"born": -1}, {"born": 1.5}):
                call = f"Instances.Deregister/{instance}"
                self.assertFalse(await self.post(call, body), (instance, body))
        self.assertEqual(await self.address(), served)
        self.assertTrue(await self.announce("i-sound", BORN))
        self.assertEqual(await self.address(), served)
        await self.kill(self.proxy)
        await self.start(self.proxy)
        await self.until(self.is_up)
        await asyncio.sleep(HEARTBEAT_S)
        self.assertTrue(await self.announce("i-sound", BORN))
        await self.until(self.is_served)
        self.assertEqual(await self.address(), served)

    # Guards against a sound worker that is ignored for good, here and by all successors.
    async def test_a_sound_worker_returns_after_a_heartbeat_that_looks_sound(self) -> None:
        """It goes on announcing itself; the other one doesn't."""
        for instance, born in (("i-other", LATER), ("i-sound", LATER), ("i-sound", BORN)):
            with self.subTest(instance, born=born):
                form = self.heartbeat(born=born)
                self.assertTrue(await self.post(f"Instances.Heartbeat/{instance}", form))
                self.assertFalse((await self.address()).endswith(f":{WORKER_PORT}"))
                self.assertLess(await self.time_until_served(), MAX_AWAY_S)
        await self.kill(self.proxy)
        await self.start(self.proxy)
        await self.until(self.is_up)
        self.assertTrue(await self.announce("i-sound", BORN))
        await self.until(self.is_served)
        await asyncio.sleep(HEARTBEAT_S)
        self.assertTrue(await self.announce("i-sound", BORN))
        self.assertTrue(await self.is_served())


if __name__ == "__main__":
    unittest.main()
