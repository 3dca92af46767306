"""Tests of what an owner knows of the requests that its worker is running."""

import asyncio
import time
import unittest
from typing import Any, cast
from unittest import mock

from cowslipvane.admission import Work
from cowslipvane.call import DEFAULT_HEADER_NAMES, AttemptId, Request
from cowslipvane.membership import Worker
from cowslipvane.tasks.upstreams._runner import Runner, RunningRequest
from cowslipvane.tasks.upstreams._worker_http import SlotConnection
from cowslipvane.types import Address, Header, HostName, ServiceName, TeamName

WORKER = Worker(ServiceName("stock"), Address("127.0.0.1", 9), 2, 10, "i-1")
ID = "r1"


class _SilentConnection:
    """A connection to a worker that never answers."""

    async def send_request(self, request: Request, remaining_ms: int) -> Any:
        """Wait for ever."""
        await asyncio.Event().wait()

    def close(self) -> None:
        """Do nothing."""


class RunningRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Requests that run at once, each for a team."""

    def setUp(self) -> None:
        """Create a runner whose worker never answers."""
        self.runner = Runner(
            replies=mock.Mock(),
            events=mock.Mock(),
            header_names=DEFAULT_HEADER_NAMES,
            left_to_end=1.0,
            get_load=mock.Mock(),
            record_answer=mock.Mock(),
        )

    async def begin(self, *teams: str | None) -> None:
        """Begin a request of the same id for each team."""
        request = Request("GET", "/", (Header(DEFAULT_HEADER_NAMES.request_id, ID),), b"")
        connection = cast(SlotConnection, _SilentConnection())
        for serial, team in enumerate(teams):
            work = Work(
                attempt=AttemptId(HostName("entry"), 1, serial),
                request=request,
                deadline=time.monotonic() + 10,
                idempotent=True,
                caller="c",
                team=None if team is None else TeamName(team),
            )
            task = asyncio.create_task(self.runner.run(work, WORKER, connection))
            self.addAsyncCleanup(self.end, task)
        await asyncio.sleep(0)

    async def end(self, task: "asyncio.Task[Any]") -> None:
        """End a request."""
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_a_running_request_has_its_team(self) -> None:
        """One that isn't running has none."""
        await self.begin("red")
        self.assertEqual(self.runner.running_request(ID), RunningRequest(ID, TeamName("red")))
        self.assertIsNone(self.runner.running_request("r2"))

    # Guards against a nested call that runs for the team of another caller's request.
    async def test_requests_with_one_id_lend_their_team_to_calls_only_if_they_share_it(
        self,
    ) -> None:
        """Callers choose ids, so two may have the same one."""
        await self.begin("red", "red")
        self.assertEqual(self.runner.running_request(ID), RunningRequest(ID, TeamName("red")))
        for team in ("blue", None):
            await self.begin("red", team)
            self.assertEqual(self.runner.running_request(ID), RunningRequest(ID, None))


if __name__ == "__main__":
    unittest.main()
