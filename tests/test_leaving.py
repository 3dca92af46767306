"""Tests of planned stops and drains, over real processes under load."""

import asyncio
import random
import signal
import time
import unittest
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp

from tools.demo import upstream
from tools.fleet import EXAMPLES, Fleet, example_hosts

HOSTS = ("stock-1", "stock-2", "stock-3")
CALLERS = 12
OUT_WITHIN_S = 2.0
START_S = 15.0


class Told(NamedTuple):
    """A call, and what its caller was told."""

    mark: str
    status: int
    verdict: str
    code: str = ""


class LoadTestCase(unittest.IsolatedAsyncioTestCase):
    """A service under load; a base for tests of what its callers are told."""

    async def asyncSetUp(self) -> None:
        """Start one service of three workers."""
        # In one data centre, so that calls cross between all hosts.
        hosts = [
            host._replace(settings={**host.settings, "data_centre": "valley"})
            for host in example_hosts("quiros")
            if host.name in HOSTS
        ]
        self.fleet = Fleet(hosts=hosts)
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        await self.fleet.until_leader()
        await self.fleet.until_members(len(HOSTS))
        await self.apply(str(EXAMPLES / "quiros" / "resources.toml"))
        await self.fleet.until_in_force(1, HOSTS)
        self.told: list[Told] = []
        self.stop = asyncio.Event()

    async def apply(self, path: str) -> None:
        """Apply a file of resources."""
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        await asyncio.to_thread(self.fleet.command, "apply", "-f", path, *servers)

    async def load(self, name: int) -> None:
        """Send one call after another, each through some proxy, until told to stop."""
        rng = random.Random(name)
        async with aiohttp.ClientSession() as session:
            for number in range(10**6):
                if self.stop.is_set():
                    return
                times = "300" if rng.random() < 0.02 else "1"
                headers = {"X-Mark": f"{name}/{number}", "X-Work-Times": times}
                await self.send(session, rng, headers)
                await asyncio.sleep(0.01)

    async def send_long(self, name: str, hosts: list[str]) -> None:
        """Send a call through other hosts that outlasts the calls that enter at this one."""
        mark = f"long/{name}/{time.monotonic_ns()}"
        async with aiohttp.ClientSession() as session:
            headers = {"X-Mark": mark, "X-Work-Times": "1000"}
            await self.send(session, random.Random(name), headers, hosts)

    async def send(
        self,
        session: aiohttp.ClientSession,
        rng: random.Random,
        headers: dict[str, str],
        hosts: Sequence[str] = HOSTS,
    ) -> None:
        """Send a call that may run once only, through the first proxy that listens."""
        for host in rng.sample(hosts, len(hosts)):
            url = f"http://{self.fleet.address(host, 'callers')}/stock/{headers['X-Mark']}"
            try:
                async with session.post(url, headers=headers, data=b"line") as answer:
                    form = await answer.json()
                    whole = form.get("mark", headers["X-Mark"]) == headers["X-Mark"]
                    verdict = form.get("verdict", "ran") if whole else "another's answer"
                    code = form.get("code", "")
                    self.told.append(Told(headers["X-Mark"], answer.status, verdict, code))
                    return
            except aiohttp.ClientConnectorError:
                continue
            except aiohttp.ClientError as error:
                self.told.append(Told(headers["X-Mark"], 0, f"cut: {error!r}"))
                return

    def count(self, host: str) -> int:
        """Return how much the worker of a host has run."""
        return len(self.fleet.ledger(host))

    async def until_served(self, host: str) -> None:
        """Return once a host's proxy has its configuration and sees a worker."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.fleet.address(host, 'callers')}/stock/7"
            while True:
                try:
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    def is_unclear(self, told: Told, ran: Counter[str]) -> bool:
        """Return whether a caller was told nothing of a call that a proxy had taken.

        A request that crosses the close of an idle connection reaches no proxy, and HTTP/1.1
        has no way to tell its caller so.
        """
        if told.verdict in ("ran", "not run"):
            return False
        asked = f"POST /stock/{told.mark}"
        taken = any(event["detail"].get("asked") == asked for event in self.fleet.events())
        return not told.verdict.startswith("cut") or taken or ran[told.mark] > 0

    def check(self) -> None:
        """Compare what callers were told with what the workers ran."""
        ran = Counter(line["mark"] for line in self.fleet.ledger() if line["mark"])
        served = [told.mark for told in self.told if told.status == 200]
        self.assertGreater(len(served), 100)
        unclear = [told for told in self.told if self.is_unclear(told, ran)]
        self.assertEqual(unclear, [], [told.code for told in unclear])
        self.assertEqual([mark for mark, count in ran.items() if count > 1], [])
        self.assertEqual([mark for mark in served if not ran[mark]], [])
        untrue = [told for told in self.told if told.verdict == "not run" and ran[told.mark]]
        self.assertEqual(untrue, [])
        over = [line for line in self.fleet.ledger() if line["what"] == "over"]
        self.assertEqual(over, [])


class LeavingTest(LoadTestCase):
    """What callers see while proxies and workers leave."""

    async def test_restarting_all_proxies_in_turn_cuts_nothing(self) -> None:
        """Every call is answered in full or truly refused, and runs at most once."""
        callers = [asyncio.create_task(self.load(name)) for name in range(CALLERS)]
        for host in HOSTS:
            others = [other for other in HOSTS if other != host]
            callers += [asyncio.create_task(self.send_long(host, others)) for _ in range(3)]
            await asyncio.sleep(0.3)
            self.fleet.signal_daemon(host, signal.SIGTERM)
            code = await asyncio.to_thread(self.fleet.wait_daemon, host)
            self.assertEqual(code, 0)
            self.fleet.start_daemon(host)
            await asyncio.wait_for(self.until_served(host), START_S)
        self.stop.set()
        await asyncio.gather(*callers)
        self.check()
        self.assertEqual([event for event in self.fleet.events() if event["kind"] == "cut"], [])

    async def test_what_leaves_gets_no_new_work(self) -> None:
        """An operator takes one upstream out, and another worker says that it leaves."""
        callers = [asyncio.create_task(self.load(name)) for name in range(CALLERS)]
        await asyncio.sleep(0.3)
        await self.apply(str(upstream(self.fleet, "stock-3", "out")))
        self.fleet.signal_worker("stock-2", signal.SIGTERM)
        await asyncio.sleep(OUT_WITHIN_S)
        before = {host: self.count(host) for host in HOSTS}
        await asyncio.sleep(0.7)
        after = {host: self.count(host) for host in HOSTS}
        self.stop.set()
        await asyncio.gather(*callers)
        self.assertEqual(after["stock-3"], before["stock-3"])
        self.assertEqual(after["stock-2"], before["stock-2"])
        self.assertGreater(after["stock-1"], before["stock-1"])
        self.check()

    async def test_a_second_signal_says_what_it_cuts(self) -> None:
        """The exit doesn't wait for what runs, and the events name it."""
        async with aiohttp.ClientSession() as session:
            rng = random.Random(1)
            headers = {"X-Mark": "long", "X-Work-Times": "1000"}
            sending = [
                asyncio.create_task(self.send(session, rng, {**headers, "X-Mark": f"{number}"}))
                for number in range(12)
            ]
            await asyncio.sleep(0.3)
            for _ in range(2):
                self.fleet.signal_daemon("stock-1", signal.SIGTERM)
                await asyncio.sleep(0.1)
            begun = time.monotonic()
            await asyncio.to_thread(self.fleet.wait_daemon, "stock-1")
            self.assertLess(time.monotonic() - begun, 20.0)
            await asyncio.gather(*sending)
        cut: list[dict[str, Any]] = [
            event for event in self.fleet.events() if event["kind"] == "cut"
        ]
        self.assertTrue(cut)
        self.assertEqual({event["detail"]["reason"] for event in cut}, {"a second signal"})
        ran = Counter(line["mark"] for line in self.fleet.ledger())
        untrue = [told for told in self.told if told.verdict == "not run" and ran[told.mark]]
        self.assertEqual(untrue, [])


if __name__ == "__main__":
    unittest.main()
