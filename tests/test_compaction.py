"""Tests of compaction over real processes."""

import asyncio
from typing import Any

from cowslipvane.client import Client, Unreachable
from cowslipvane.replica._replica import COMPACT_AFTER_ENTRIES
from tests.histories import HistoryTest
from tools.fleet import START_TIMEOUT_S

OPERATORS = 30
ROUNDS = COMPACT_AFTER_ENTRIES // OPERATORS + 2


def form(operator: int, number: int, based_on: int) -> dict[str, Any]:
    """Return an operator's change of a resource of its own."""
    spec = {"max_body_bytes": number}
    resource = {"kind": "traffic-policy", "name": f"t{operator}", "spec": spec}
    name = f"op-{operator}-{number}"
    return {"operation_id": name, "based_on": based_on, "resources": [resource]}


class CompactionTest(HistoryTest):
    """A log that grows past a snapshot while a follower is down."""

    async def grow(self, client: Client, operator: int) -> dict[str, Any]:
        """Send changes one after another, and return the answer to the first."""
        first = answer = await client.change(form(operator, 0, 0))
        for number in range(1, ROUNDS):
            answer = await client.change(form(operator, number, answer["version"]))
            self.assertEqual(answer["outcome"], "accepted")
        return first

    async def until_snapshot(self, host: str) -> None:
        """Wait until a replica has a snapshot on its disk."""
        while True:
            if (self.fleet.folder / f"{host}.data" / "snapshot").exists():
                return
            await asyncio.sleep(0.05)

    async def until_accepted(self, host: str, version: int) -> None:
        """Wait until a replica has a version in its own catalogue."""
        async with Client(servers=(self.fleet.address(host, "operators"),)) as client:
            while True:
                try:
                    if (await client.status())["replica"]["accepted"] == version:
                        return
                except Unreachable:
                    pass
                await asyncio.sleep(0.05)

    async def test_a_follower_that_missed_a_compaction_leads_later_without_loss(self) -> None:
        """Resources and the answers to old operations come with the snapshot."""
        leader = await self.leader()
        away, other = sorted(set(self.fleet.replicas) - {leader})
        self.fleet.kill_daemon(away)
        async with self.fleet.client() as client:
            firsts = await asyncio.gather(*(self.grow(client, n) for n in range(OPERATORS)))
            before = await client.resources()
            self.fleet.start_daemon(away)
            await client.change(form(0, ROUNDS, before["version"]))
            async with asyncio.timeout(START_TIMEOUT_S):
                await self.until_snapshot(leader)
                await self.until_accepted(away, before["version"] + 1)
            # Without the other one's log, the group stands on what is in the two data folders.
            for host in (other, leader, away):
                self.fleet.kill_daemon(host)
            self.fleet.start_daemon(leader)
            self.fleet.start_daemon(away)
            await self.leader()
            for operator, first in enumerate(firsts):
                self.assertEqual(await client.change(form(operator, 0, 0)), first)
            after = await client.resources()
        self.assertEqual(after["version"], before["version"] + 1)
        # Where a version is in force is no part of the state, and the proxies report it anew.
        for item in before["resources"] + after["resources"]:
            del item["status"]
        changed = [item for item in before["resources"] if item not in after["resources"]]
        self.assertEqual([item["name"] for item in changed], ["t0"])
