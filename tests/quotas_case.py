"""Base class for tests of quotas: processes, a worker that records requests, and steady callers."""

import asyncio
import time
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Any, ClassVar, NamedTuple

from cowslipvane.token_bucket import TokenBucket
from tests.processes_case import SERVICE, ProcessesCase
from tests.teams_case import (
    CLOSED,
    ENTRY_SERVICE,
    REQUEST_ID,
    TEAM,
    Connection,
    TeamsCase,
    bearer,
    configuration,
)
from tools.soak._hosts import HostProcess
from tools.soak._windows import Busiest, Use, busiest_window

WINDOW_S = 5.0
# What the platform's pages allow beyond a quota in a window.
OVERSHOOT, SLACK = 0.1, 20
REFUSED = 429


def quota(name: str, key: str, rate: float, burst: float) -> dict[str, Any]:
    """Return a team of a configuration with a quota, or with none if the rate is 0."""
    return {
        "name": name,
        "api_keys": [key],
        "priority": 1,
        "rate_per_s": rate,
        "burst": burst,
    }


def allowed_in_window(rate: float, burst: float) -> float:
    """Return how many requests of a team may run in one window."""
    return (rate * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK


class Sent(NamedTuple):
    """A request that a caller sent, and its response; the status is 0 without one."""

    request_id: str
    sent_at: float
    status: int
    retry_after: float


class QuotasCase(TeamsCase):
    """Three replicas and four proxies, the last of which has a worker."""

    replica_count: ClassVar[int] = 3
    services: ClassVar[tuple[str, ...]] = (ENTRY_SERVICE, ENTRY_SERVICE, ENTRY_SERVICE, SERVICE)

    async def asyncSetUp(self) -> None:
        """Start the processes and the worker, without a configuration."""
        await ProcessesCase.asyncSetUp(self)
        self.owner = self.proxies[-1]
        self.worker = await self.start_worker(self.owner)
        self._serial = 0

    async def serve(self, *teams: Mapping[str, Any]) -> None:
        """Put a first configuration in force, and wait until requests of its teams are served."""
        await self.start_serving(teams)
        for each in teams:
            for process in self.proxies:
                await self.until(partial(self._is_served, each, process))

    async def change(self, version: int, *teams: Mapping[str, Any]) -> None:
        """Put a later configuration in force on all proxies."""
        await self.put_in_force(configuration(version, teams))

    async def send_steadily(
        self, key: str, rate: float, duration: float, *proxies: HostProcess
    ) -> list[Sent]:
        """Send requests of a team at a rate, by turns to some proxies, and return them."""
        share = rate / len(proxies)
        flows = [
            self._send_to(process, key, share, duration, at / rate)
            for at, process in enumerate(proxies)
        ]
        sent = await asyncio.gather(*flows)
        return sorted((each for flow in sent for each in flow), key=lambda each: each.sent_at)

    def busiest(self, name: str, sent: Sequence[Sent]) -> Busiest:
        """Return the window in which most requests of a team were both sent and run."""
        sent_at = {each.request_id: each.sent_at for each in sent}
        uses = [
            Use(sent_at[request_id], run.at)
            for run in self.worker.received
            for request_id in run.values(REQUEST_ID)
            if run.values(TEAM) == [name] and request_id in sent_at
        ]
        return busiest_window(uses, WINDOW_S)

    def assert_within(self, name: str, sent: Sequence[Sent], rate: float, burst: float) -> None:
        """Check that no window had more requests of a team than its quota allows."""
        busiest = self.busiest(name, sent)
        self.assertLessEqual(busiest.uses, allowed_in_window(rate, burst))

    def assert_refusals_true(self, sent: Sequence[Sent]) -> None:
        """Check that no refused request ran, and that each refusal tells when to come back."""
        ran = {request_id for run in self.worker.received for request_id in run.values(REQUEST_ID)}
        for each in sent:
            if each.status == REFUSED:
                self.assertNotIn(each.request_id, ran)
                self.assertGreater(each.retry_after, 0)

    def assert_none_refused_below(self, sent: Sequence[Sent], rate: float, burst: float) -> None:
        """Check that each request is answered with success that one bucket for all would admit.

        On a busy machine callers are late, and then send what is due at once.
        """
        bucket = TokenBucket(tokens_per_s=rate, capacity=burst, now=sent[0].sent_at)
        for each in sent:
            bucket.fill(each.sent_at)
            if bucket.tokens >= 1:
                self.assertEqual(each.status, 200, each)
            self.assertIn(each.status, (200, REFUSED), each)
            if each.status == 200:
                bucket.add(-1.0)

    async def _is_served(self, team: Mapping[str, Any], process: HostProcess) -> bool:
        """Return whether a request of a team is answered with success at a proxy."""
        key = team["api_keys"][0]
        return (await self._send_one(await self.connect(process), key)).status == 200

    async def _send_to(
        self, process: HostProcess, key: str, rate: float, duration: float, delay: float
    ) -> list[Sent]:
        """Send requests to one proxy at a rate, one after another on a kept connection."""
        began_at = time.monotonic() + delay
        connection: Connection | None = None
        sent: list[Sent] = []
        while (due_at := began_at + len(sent) / rate) < began_at + duration:
            await asyncio.sleep(due_at - time.monotonic())
            try:
                connection = connection or await self.connect(process)
            except ConnectionError:
                sent.append(Sent("", time.monotonic(), 0, 0.0))
                continue
            sent.append(await self._send_one(connection, key))
            if sent[-1].status == 0:
                connection.close()
                connection = None
        return sent

    async def _send_one(self, connection: Connection, key: str) -> Sent:
        """Send one request and read its response."""
        self._serial += 1
        request_id = f"request-{self._serial}"
        sent_at = time.monotonic()
        connection.send(request_id, f"{CLOSED}item", bearer(key))
        try:
            answer = await connection.answer()
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return Sent(request_id, sent_at, 0, 0.0)
        retry_after = float(answer.head.fields.get("retry-after", "0"))
        return Sent(request_id, sent_at, answer.status, retry_after)
