"""Tests of calls whose owner is silent for a moment."""

import asyncio
import signal
import unittest

from tests.one_worker_case import OWNER, OneWorkerTestCase

# Longer than the silence after which an owner isn't chosen for further calls.
PAUSE_S = 1.2
# The worker answers within the pause of its owner.
WORK = 700


class SilentOwnerTest(OneWorkerTestCase):
    """An owner that has no processor time for a while, as under load on a small host."""

    slots = 2

    # Guards against 502 for a call at which its worker is at work, since its owner was busy.
    async def test_calls_are_answered_after_a_pause_of_their_owner(self) -> None:
        """Whether they may be repeated or not; no other owner could run them."""
        connections = {}
        for method in ("GET", "POST"):
            connections[method] = await self.connect()
            connections[method].send(method, WORK, method)
        await self.until(lambda: sorted(self.ran()) == ["GET", "POST"])
        self.fleet.signal_daemon(OWNER, signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.fleet.signal_daemon(OWNER, signal.SIGCONT)
        statuses = {
            method: (await connection.response()).status
            for method, connection in connections.items()
        }
        self.assertEqual(statuses, {"GET": 200, "POST": 200})
        self.assertEqual(sorted(self.ran()), ["GET", "POST"])


if __name__ == "__main__":
    unittest.main()
