"""A seeded history: calls under kills and freezes, checked against the workers' ledgers."""

import asyncio
import random
import signal
import unittest
from collections import Counter

from tests import test_leaving

SEED = 5
FAULTS = ("kill proxy", "freeze proxy", "freeze worker", "kill worker", "kill both")
ROUNDS = 8
CALLERS = 8


class HistoryTest(test_leaving.LoadTestCase):
    """What callers are told while proxies and workers are killed and frozen."""

    async def fail_one(self, rng: random.Random) -> None:
        """Kill or freeze one process, and let it come back."""
        host = rng.choice(test_leaving.HOSTS)
        match rng.choice(FAULTS):
            case "kill proxy":
                self.fleet.kill_daemon(host)
                self.fleet.start_daemon(host)
            case "freeze proxy":
                self.fleet.signal_daemon(host, signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                self.fleet.signal_daemon(host, signal.SIGCONT)
            case "freeze worker":
                self.fleet.signal_worker(host, signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                self.fleet.signal_worker(host, signal.SIGCONT)
            case "kill worker":
                self.fleet.signal_worker(host, signal.SIGKILL)
                self.fleet.start_worker(host)
            case "kill both":
                self.fleet.kill(host)
                self.fleet.start_daemon(host)
                self.fleet.start_worker(host)

    async def test_no_verdict_is_untrue(self) -> None:
        """Nothing is doubled, and nothing that ran is called not run."""
        rng = random.Random(SEED)
        callers = [asyncio.create_task(self.load(name)) for name in range(CALLERS)]
        for _ in range(ROUNDS):
            await asyncio.sleep(rng.uniform(0.3, 1.0))
            await self.fail_one(rng)
        self.stop.set()
        await asyncio.gather(*callers)
        ran = Counter(line["mark"] for line in self.fleet.ledger() if line["mark"])
        served = [told for told in self.outcomes if told.status == 200]
        self.assertGreater(len(served), 100)
        self.assertEqual([mark for mark, count in ran.items() if count > 1], [])
        self.assertEqual([told for told in served if not ran[told.mark]], [])
        self.assertEqual([told for told in served if told.verdict != "ran"], [])
        untrue = [told for told in self.outcomes if told.verdict == "not run" and ran[told.mark]]
        self.assertEqual(untrue, [])


if __name__ == "__main__":
    unittest.main()
