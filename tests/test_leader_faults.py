"""Histories through the death, freezing and isolation of leaders, over real processes."""

import asyncio
import random
import signal
import unittest

import aiohttp

from tests.histories import TIMING, HistoryTest


class AcceptanceTest(HistoryTest):
    """Three replicas under seeded faults."""

    async def kill_leader(self) -> None:
        """Kill the leader and start it again once another leads."""
        host = await self.leader()
        self.fleet.kill_daemon(host)
        await self.leader()
        self.fleet.start_daemon(host)

    async def freeze_leader(self) -> None:
        """Stop the leader until another leads and has accepted a change, then let it go on."""
        frozen = await self.leader()
        url = f"http://{self.fleet.address(frozen, 'operators')}/v1/resources"
        others = tuple(
            self.fleet.address(host, "operators") for host in self.fleet.replicas if host != frozen
        )
        async with aiohttp.ClientSession() as session:
            # Requests on connections that are open before are what the thawed leader reads first.
            warm = [session.get(url, allow_redirects=False) for _ in range(5)]
            for answer in await asyncio.gather(*warm):
                await answer.read()
            self.fleet.signal_daemon(frozen, signal.SIGSTOP)
            held = await self.read_from(others)
            asked = [asyncio.create_task(session.get(url, allow_redirects=False)) for _ in range(5)]
            await asyncio.sleep(0.1)
            self.fleet.signal_daemon(frozen, signal.SIGCONT)
            for answer in await asyncio.gather(*asked):
                if answer.status == 200:
                    self.assertGreaterEqual((await answer.json())["version"], held)

    async def cut_leader_off(self) -> None:
        """Kill the followers, write to the leader, and kill it over what it may have taken."""
        leader = await self.leader()
        followers = [host for host in self.fleet.replicas if host != leader]
        for host in followers:
            self.fleet.kill_daemon(host)
        first = self.fleet.address(leader, "operators")
        async with asyncio.TaskGroup() as writing:
            for seed in (7, 8):
                rng = random.Random(seed)
                writing.create_task(self.write(rng, seed, f"{seed}", 1.0, first=first))
            await asyncio.sleep(0.3)
            self.fleet.kill_daemon(leader)
            for host in followers:
                self.fleet.start_daemon(host)
            await self.leader()
        self.fleet.start_daemon(leader)

    async def test_a_race_under_kills_and_freezes_is_one_order(self) -> None:
        """Leaders die, freeze and thaw, answers are lost."""
        await self.race(
            self.kill_leader, self.freeze_leader, self.cut_leader_off, self.freeze_leader
        )

    async def test_a_leader_that_is_cut_off_silently_stops_answering(self) -> None:
        """Its connections stay open, and it reads and accepts nothing after its bound."""
        leader = await self.leader()
        followers = [host for host in self.fleet.replicas if host != leader]
        for host in followers:
            self.fleet.signal_daemon(host, signal.SIGSTOP)
        await asyncio.sleep(2 * TIMING["election_timeout"])
        url = f"http://{self.fleet.address(leader, 'operators')}/v1"
        form = {"operation_id": "x", "based_on": 0, "resources": []}
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{url}/resources", allow_redirects=False) as answer:
                self.assertEqual(answer.status, 503)
            async with session.post(f"{url}/changes", json=form, allow_redirects=False) as answer:
                self.assertEqual(
                    (answer.status, (await answer.json())["outcome"]), (503, "not run")
                )
        for host in followers:
            self.fleet.signal_daemon(host, signal.SIGCONT)
        await self.leader()


if __name__ == "__main__":
    unittest.main()
