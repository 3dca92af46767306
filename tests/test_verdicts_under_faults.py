"""Test of the verdicts of calls under faults, checked against the workers' ledgers."""

import asyncio
import random
import signal
import unittest
from collections import Counter

from tests import test_leaving

SEED = 5
FAULTS = ("kill proxy", "freeze proxy", "freeze worker", "kill worker", "kill both")
FAULT_COUNT = 8
CALLER_COUNT = 8


class VerdictTest(test_leaving.LoadTestCase):
    """Verdicts that callers receive while proxies and workers are killed and frozen."""

    async def inject_fault(self, rng: random.Random) -> None:
        """Kill or freeze a random process, then restart or continue it."""
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

    async def test_every_verdict_is_correct(self) -> None:
        """No request runs twice, and none that ran has the verdict "not run"."""
        rng = random.Random(SEED)
        callers = [asyncio.create_task(self.load(name)) for name in range(CALLER_COUNT)]
        for _ in range(FAULT_COUNT):
            await asyncio.sleep(rng.uniform(0.3, 1.0))
            await self.inject_fault(rng)
        self.stop.set()
        await asyncio.gather(*callers)
        runs_by_mark = Counter(line["mark"] for line in self.fleet.ledger() if line["mark"])
        successful = [response for response in self.outcomes if response.status == 200]
        self.assertGreater(len(successful), 100)
        self.assertEqual([mark for mark, count in runs_by_mark.items() if count > 1], [])
        self.assertEqual(
            [response for response in successful if not runs_by_mark[response.mark]], []
        )
        self.assertEqual([response for response in successful if response.verdict != "ran"], [])
        incorrect = [
            response
            for response in self.outcomes
            if response.verdict == "not run" and runs_by_mark[response.mark]
        ]
        self.assertEqual(incorrect, [])


if __name__ == "__main__":
    unittest.main()
