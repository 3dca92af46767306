"""Tests of consistency while leaders are killed, frozen and isolated, with real processes."""

import asyncio
import random
import signal
import unittest

import aiohttp

from tests.histories import TIMING, HistoryTestCase


class LeaderFaultsTest(HistoryTestCase):
    """Consistency of three replicas under leader faults."""

    async def kill_leader(self) -> None:
        """Kill the leader and restart it once another replica leads."""
        host = await self.leader()
        self.fleet.kill_daemon(host)
        await self.leader()
        self.fleet.start_daemon(host)

    async def freeze_leader(self) -> None:
        """Freeze the leader until another one is elected and read from, then continue it."""
        frozen = await self.leader()
        url = f"http://{self.fleet.address(frozen, 'operators')}/v1/resources"
        others = tuple(
            self.fleet.address(host, "operators") for host in self.fleet.replicas if host != frozen
        )
        async with aiohttp.ClientSession() as session:
            # The continued leader reads requests on already open connections first.
            warm_up_requests = [session.get(url, allow_redirects=False) for _ in range(5)]
            for response in await asyncio.gather(*warm_up_requests):
                await response.read()
            self.fleet.signal_daemon(frozen, signal.SIGSTOP)
            version_read = await self.read_from(others)
            requests = [
                asyncio.create_task(session.get(url, allow_redirects=False)) for _ in range(5)
            ]
            await asyncio.sleep(0.1)
            self.fleet.signal_daemon(frozen, signal.SIGCONT)
            for response in await asyncio.gather(*requests):
                if response.status == 200:
                    self.assertGreaterEqual((await response.json())["version"], version_read)

    async def kill_leader_without_followers(self) -> None:
        """Kill the followers, and the leader while it may have writes that it can't commit."""
        leader = await self.leader()
        followers = [host for host in self.fleet.replicas if host != leader]
        for host in followers:
            self.fleet.kill_daemon(host)
        leader_address = self.fleet.address(leader, "operators")
        async with asyncio.TaskGroup() as writing:
            for seed in (7, 8):
                rng = random.Random(seed)
                writing.create_task(
                    self.write(rng, seed, f"{seed}", 1.0, first_server=leader_address)
                )
            await asyncio.sleep(0.3)
            self.fleet.kill_daemon(leader)
            for host in followers:
                self.fleet.start_daemon(host)
            await self.leader()
        self.fleet.start_daemon(leader)

    async def test_concurrent_writes_stay_in_one_order_under_leader_faults(self) -> None:
        """Leaders are killed, frozen and continued, and responses are lost."""
        await self.run_with_faults(
            self.kill_leader,
            self.freeze_leader,
            self.kill_leader_without_followers,
            self.freeze_leader,
        )

    async def test_a_leader_with_unresponsive_followers_stops_serving(self) -> None:
        """Its connections stay open, but after its lease it serves no reads and no changes."""
        leader = await self.leader()
        followers = [host for host in self.fleet.replicas if host != leader]
        for host in followers:
            self.fleet.signal_daemon(host, signal.SIGSTOP)
        await asyncio.sleep(2 * TIMING["election_timeout"])
        url = f"http://{self.fleet.address(leader, 'operators')}/v1"
        form = {"operation_id": "x", "based_on": 0, "resources": []}
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{url}/resources", allow_redirects=False) as response:
                self.assertEqual(response.status, 503)
            async with session.post(f"{url}/changes", json=form, allow_redirects=False) as response:
                self.assertEqual(
                    (response.status, (await response.json())["outcome"]), (503, "not run")
                )
        for host in followers:
            self.fleet.signal_daemon(host, signal.SIGCONT)
        await self.leader()


if __name__ == "__main__":
    unittest.main()
