"""Tests of planned stops and drains over real processes under load."""

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
PROPAGATION_TIME_S = 2.0
START_TIMEOUT_S = 15.0
# After this time a process that is stopped has closed its idle connections.
LEAVING_TIME_S = 2.0


class CallOutcome(NamedTuple):
    """A call, and the response that its caller received."""

    mark: str
    status: int
    verdict: str
    code: str = ""


class LoadTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class for tests of the responses that callers of a service under load receive."""

    async def asyncSetUp(self) -> None:
        """Start a service with three workers."""
        # All hosts are in one data centre, so that calls are sent between all of them.
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
        await self.fleet.until_workers(len(HOSTS))
        await self.apply(str(EXAMPLES / "quiros" / "resources.toml"))
        await self.fleet.until_in_force(1, HOSTS)
        self.outcomes: list[CallOutcome] = []
        self.stop = asyncio.Event()

    async def apply(self, path: str) -> None:
        """Apply a file of resources."""
        servers = [part for address in self.fleet.operators() for part in ("--server", address)]
        await asyncio.to_thread(self.fleet.command, "apply", "-f", path, *servers)

    async def load(self, caller: int) -> None:
        """Send calls one after another through random proxies until the stop event is set."""
        rng = random.Random(caller)
        async with aiohttp.ClientSession() as session:
            for number in range(10**6):
                if self.stop.is_set():
                    return
                times = "300" if rng.random() < 0.02 else "1"
                headers = {"X-Mark": f"{caller}/{number}", "X-Work-Times": times}
                await self.send(session, rng, headers)
                await asyncio.sleep(0.01)

    async def send_long(self, stopping_host: str, hosts: list[str]) -> None:
        """Send a long call through hosts that keep running.

        It outlasts the calls that enter at the stopping host, so that the worker of that host can
        still be running a call from another host when its own last call ends.
        """
        mark = f"long/{stopping_host}/{time.monotonic_ns()}"
        async with aiohttp.ClientSession() as session:
            headers = {"X-Mark": mark, "X-Work-Times": "1000"}
            await self.send(session, random.Random(stopping_host), headers, hosts)

    async def send(
        self,
        session: aiohttp.ClientSession,
        rng: random.Random,
        headers: dict[str, str],
        hosts: Sequence[str] = HOSTS,
    ) -> None:
        """Send a call that isn't idempotent through the first proxy that accepts the connection."""
        for host in rng.sample(hosts, len(hosts)):
            url = f"http://{self.fleet.address(host, 'callers')}/stock/{headers['X-Mark']}"
            try:
                async with session.post(url, headers=headers, data=b"line") as response:
                    body = await response.json()
                    is_own_response = body.get("mark", headers["X-Mark"]) == headers["X-Mark"]
                    verdict = body.get("verdict", "ran") if is_own_response else "another's answer"
                    code = body.get("code", "")
                    self.outcomes.append(
                        CallOutcome(headers["X-Mark"], response.status, verdict, code)
                    )
                    return
            except aiohttp.ClientConnectorError:
                continue
            except aiohttp.ClientError as error:
                self.outcomes.append(CallOutcome(headers["X-Mark"], 0, f"cut: {error!r}"))
                return

    def count_calls_run(self, host: str) -> int:
        """Return how many calls the worker of a host has run."""
        return len(self.fleet.ledger(host))

    async def until_served(self, host: str) -> None:
        """Wait until the proxy of a host has its configuration and an owner for a call."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.fleet.address(host, 'callers')}/stock/7"
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    def is_unexplained(self, outcome: CallOutcome, ran: Counter[str]) -> bool:
        """Return whether a caller has no verdict on a call that a proxy had accepted.

        A request that is sent while the proxy closes the idle connection never reaches the proxy,
        and HTTP/1.1 offers no way to report that to the caller.
        """
        if outcome.verdict in ("ran", "not run"):
            return False
        method_and_path = f"POST /stock/{outcome.mark}"
        accepted = any(
            event["detail"].get("asked") == method_and_path for event in self.fleet.events()
        )
        return not outcome.verdict.startswith("cut") or accepted or ran[outcome.mark] > 0

    def check_outcomes(self) -> None:
        """Compare the responses to callers with the ledgers of the workers."""
        ran = Counter(line["mark"] for line in self.fleet.ledger() if line["mark"])
        served = [outcome.mark for outcome in self.outcomes if outcome.status == 200]
        self.assertGreater(len(served), 100)
        unexplained = [outcome for outcome in self.outcomes if self.is_unexplained(outcome, ran)]
        self.assertEqual(unexplained, [], [outcome.code for outcome in unexplained])
        self.assertEqual([mark for mark, count in ran.items() if count > 1], [])
        self.assertEqual([mark for mark in served if not ran[mark]], [])
        false_refusals = [
            outcome
            for outcome in self.outcomes
            if outcome.verdict == "not run" and ran[outcome.mark]
        ]
        self.assertEqual(false_refusals, [])
        over_capacity = [line for line in self.fleet.ledger() if line["what"] == "over"]
        self.assertEqual(over_capacity, [])


class LeavingTest(LoadTestCase):
    """What callers observe while proxies and workers leave."""

    async def test_rolling_restart_of_proxies_loses_no_call(self) -> None:
        """Each call has a complete response or a true refusal, and runs at most once."""
        callers = [asyncio.create_task(self.load(caller)) for caller in range(CALLERS)]
        for host in HOSTS:
            others = [other for other in HOSTS if other != host]
            callers += [asyncio.create_task(self.send_long(host, others)) for _ in range(3)]
            await asyncio.sleep(0.3)
            self.fleet.signal_daemon(host, signal.SIGTERM)
            code = await asyncio.to_thread(self.fleet.wait_daemon, host)
            self.assertEqual(code, 0)
            self.fleet.start_daemon(host)
            await asyncio.wait_for(self.until_served(host), START_TIMEOUT_S)
        self.stop.set()
        await asyncio.gather(*callers)
        self.check_outcomes()
        self.assertEqual([event for event in self.fleet.events() if event["kind"] == "cut"], [])

    async def test_leaving_workers_receive_no_new_calls(self) -> None:
        """An operator takes one upstream out, and another worker announces that it is leaving."""
        callers = [asyncio.create_task(self.load(caller)) for caller in range(CALLERS)]
        await asyncio.sleep(0.3)
        await self.apply(str(upstream(self.fleet, "stock-3", "out")))
        self.fleet.signal_worker("stock-2", signal.SIGTERM)
        await asyncio.sleep(PROPAGATION_TIME_S)
        before = {host: self.count_calls_run(host) for host in HOSTS}
        await asyncio.sleep(0.7)
        after = {host: self.count_calls_run(host) for host in HOSTS}
        self.stop.set()
        await asyncio.gather(*callers)
        self.assertEqual(after["stock-3"], before["stock-3"])
        self.assertEqual(after["stock-2"], before["stock-2"])
        self.assertGreater(after["stock-1"], before["stock-1"])
        self.check_outcomes()

    async def test_repeated_signals_of_a_planned_stop_cut_no_call(self) -> None:
        """Restarts that overlap send SIGTERM twice; the second one cut all calls in flight."""
        async with aiohttp.ClientSession() as session:
            rng = random.Random(1)
            headers = {"X-Work-Times": "800"}
            sending = [
                asyncio.create_task(self.send(session, rng, {**headers, "X-Mark": f"{number}"}))
                for number in range(12)
            ]
            await asyncio.sleep(0.3)
            for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                self.fleet.signal_daemon("stock-1", number)
                await asyncio.sleep(0.1)
            await asyncio.gather(*sending)
            self.assertEqual(await asyncio.to_thread(self.fleet.wait_daemon, "stock-1"), 0)
        self.assertEqual(Counter(outcome.status for outcome in self.outcomes), {200: 12})
        self.assertEqual([event for event in self.fleet.events() if event["kind"] == "cut"], [])

    async def test_body_in_transit_during_a_planned_stop_is_received(self) -> None:
        """The rest of it was dropped once the idle connections were closed."""
        ip, _, port = self.fleet.address("stock-1", "callers").rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.addCleanup(writer.close)
        writer.write(
            b"POST /stock/1 HTTP/1.1\r\nHost: a\r\nX-Mark: 1\r\nContent-Length: 4\r\n\r\nli"
        )
        self.fleet.signal_daemon("stock-1", signal.SIGTERM)
        await asyncio.sleep(LEAVING_TIME_S)
        writer.write(b"ne")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), START_TIMEOUT_S)
        self.assertIn(b"HTTP/1.1 200", head)
        self.assertEqual(await asyncio.to_thread(self.fleet.wait_daemon, "stock-1"), 0)

    async def test_second_interrupt_records_the_calls_that_it_cuts(self) -> None:
        """The process exits without waiting for running calls and records an event for each."""
        async with aiohttp.ClientSession() as session:
            rng = random.Random(1)
            headers = {"X-Mark": "long", "X-Work-Times": "1000"}
            sending = [
                asyncio.create_task(self.send(session, rng, {**headers, "X-Mark": f"{number}"}))
                for number in range(12)
            ]
            await asyncio.sleep(0.3)
            for _ in range(2):
                self.fleet.signal_daemon("stock-1", signal.SIGINT)
                await asyncio.sleep(0.1)
            started_at = time.monotonic()
            await asyncio.to_thread(self.fleet.wait_daemon, "stock-1")
            self.assertLess(time.monotonic() - started_at, 20.0)
            await asyncio.gather(*sending)
        cut: list[dict[str, Any]] = [
            event for event in self.fleet.events() if event["kind"] == "cut"
        ]
        self.assertTrue(cut)
        self.assertEqual({event["detail"]["reason"] for event in cut}, {"a second interrupt"})
        ran = Counter(line["mark"] for line in self.fleet.ledger())
        false_refusals = [
            outcome
            for outcome in self.outcomes
            if outcome.verdict == "not run" and ran[outcome.mark]
        ]
        self.assertEqual(false_refusals, [])


if __name__ == "__main__":
    unittest.main()
