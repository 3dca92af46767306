"""Tests of log compaction with real processes."""

import asyncio
from typing import Any

from cowslipvane.client import Client, Unreachable
from cowslipvane.replica._replica import COMPACT_AFTER_ENTRIES
from tests.histories import HistoryTestCase
from tools.fleet import STATUS_TIMEOUT_S

OPERATOR_COUNT = 30
CHANGES_PER_OPERATOR = COMPACT_AFTER_ENTRIES // OPERATOR_COUNT + 2


def change_form(operator: int, number: int, based_on: int) -> dict[str, Any]:
    """Return a change by an operator to its own resource."""
    spec = {"max_body_bytes": number}
    resource = {"kind": "traffic-policy", "name": f"t{operator}", "spec": spec}
    name = f"op-{operator}-{number}"
    return {"operation_id": name, "based_on": based_on, "resources": [resource]}


class CompactionTest(HistoryTestCase):
    """Compaction of the log while a follower is down."""

    async def send_changes(self, client: Client, operator: int) -> dict[str, Any]:
        """Send changes one after another, and return the response to the first."""
        first_response = response = await client.change(change_form(operator, 0, 0))
        for number in range(1, CHANGES_PER_OPERATOR):
            response = await client.change(change_form(operator, number, response["version"]))
            self.assertEqual(response["outcome"], "accepted")
        return first_response

    async def until_snapshot(self, host: str) -> None:
        """Wait until a replica has a snapshot on disk."""
        while True:
            if (self.fleet.folder / f"{host}.data" / "snapshot").exists():
                return
            await asyncio.sleep(0.05)

    async def until_applied(self, host: str, version: int) -> None:
        """Wait until a replica has applied a version to its own catalogue."""
        async with Client(servers=(self.fleet.address(host, "operators"),)) as client:
            while True:
                try:
                    if (await client.status())["replica"]["accepted"] == version:
                        return
                except Unreachable:
                    pass
                await asyncio.sleep(0.05)

    async def test_a_follower_down_during_compaction_can_later_lead_without_loss(self) -> None:
        """The snapshot includes the resources and the outcomes of old operations."""
        leader = await self.leader()
        restarted, other = sorted(set(self.fleet.replicas) - {leader})
        self.fleet.kill_daemon(restarted)
        async with self.fleet.client() as client:
            first_responses = await asyncio.gather(
                *(self.send_changes(client, n) for n in range(OPERATOR_COUNT))
            )
            before = await client.resources()
            self.fleet.start_daemon(restarted)
            await client.change(change_form(0, CHANGES_PER_OPERATOR, before["version"]))
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                await self.until_snapshot(leader)
                await self.until_applied(restarted, before["version"] + 1)
            # Only the leader and the restarted replica start again, so the group depends on their
            # data folders.
            for host in (other, leader, restarted):
                self.fleet.kill_daemon(host)
            self.fleet.start_daemon(leader)
            self.fleet.start_daemon(restarted)
            await self.leader()
            for operator, first_response in enumerate(first_responses):
                self.assertEqual(await client.change(change_form(operator, 0, 0)), first_response)
            after = await client.resources()
        self.assertEqual(after["version"], before["version"] + 1)
        # The status is no part of the replicated state; proxies report it again after a restart.
        for item in before["resources"] + after["resources"]:
            del item["status"]
        changed = [item for item in before["resources"] if item not in after["resources"]]
        self.assertEqual([item["name"] for item in changed], ["t0"])
