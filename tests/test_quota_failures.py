"""Tests over real processes that quotas hold while replicas and proxies fail, and after that."""

import asyncio
import signal

import aiohttp

from tests.processes_case import OPERATORS_PORT
from tests.quotas_case import REFUSED, QuotasCase, quota
from tools.relay import LinkCondition

KEY = "key-of-mill-4711"
RATE, BURST = 20, 10
# Four times the quota; a half of it, as callers usually send.
HOT, USUAL = 80, 10
CUT = LinkCondition(cuts_in=True, cuts_out=True)
# Long enough for a replica to be down, and for it to be back.
DOWN_S = 1.0


class QuotaFailureTest(QuotasCase):
    """No failure lets a team have more than its quota, nor refuses what is usual for it."""

    async def asyncSetUp(self) -> None:
        """Serve a team with a quota."""
        await super().asyncSetUp()
        await self.serve(quota("mill", KEY, RATE, BURST))

    async def test_a_frozen_replica_grants_nothing_twice(self) -> None:
        """The others stand in for it, and it has its part when it wakes."""
        sending = asyncio.create_task(self.send_steadily(KEY, HOT, 9, *self.proxies))
        await asyncio.sleep(2)
        self.core[0].signal(signal.SIGSTOP)
        await asyncio.sleep(4)
        self.core[0].signal(signal.SIGCONT)
        sent = await sending
        self.assert_within("mill", sent, RATE, BURST)
        self.assert_refusals_true(sent)

    async def test_replicas_that_are_killed_grant_nothing_twice(self) -> None:
        """One after another, then all at once; each forgets what it has granted."""
        sending = asyncio.create_task(self.send_steadily(KEY, HOT, 12, *self.proxies))
        for replicas in (self.core[:1], self.core[1:2], self.core):
            await asyncio.sleep(1.5)
            await self.kill(*replicas)
            await asyncio.sleep(DOWN_S)
            await self.start(*replicas)
        sent = await sending
        self.assert_within("mill", sent, RATE, BURST)
        self.assert_refusals_true(sent)

    async def test_proxies_that_are_frozen_or_killed_run_nothing_twice(self) -> None:
        """What they were granted before counts when it was granted."""
        sending = asyncio.create_task(self.send_steadily(KEY, HOT, 9, *self.proxies))
        await asyncio.sleep(2)
        self.proxies[0].signal(signal.SIGSTOP)
        await self.kill(self.proxies[1])
        await self.start(self.proxies[1])
        await asyncio.sleep(3)
        self.proxies[0].signal(signal.SIGCONT)
        sent = await sending
        self.assert_within("mill", sent, RATE, BURST)
        self.assert_refusals_true(sent)

    async def test_the_usual_load_is_served_while_a_replica_is_cut_off(self) -> None:
        """Its part can't be asked for, and the reserve of the others takes its place."""
        with self.relay.condition((self.core[0].host.ip,), CUT):
            sent = await self.send_steadily(KEY, USUAL, 6, *self.proxies)
        self.assertEqual({each.status for each in sent}, {200})

    async def test_the_usual_load_is_served_while_the_leader_changes(self) -> None:
        """Shares don't depend on a leader."""
        statuses = [await self.status(replica) for replica in self.core]
        leads = [status["replica"]["holds_lease"] for status in statuses]
        sending = asyncio.create_task(self.send_steadily(KEY, USUAL, 6, *self.proxies))
        await asyncio.sleep(1)
        await self.kill(self.core[leads.index(True)])
        sent = await sending
        self.assertEqual({each.status for each in sent}, {200})

    async def test_the_usual_load_is_served_after_all_replicas_were_killed(self) -> None:
        """Within the time in which they elect a leader; what is refused before is refused truly."""
        await self.kill(*self.core)
        sent = await self.send_steadily(KEY, USUAL, 1, *self.proxies)
        self.assertLessEqual({each.status for each in sent}, {503})
        await self.start(*self.core)

        async def is_served() -> bool:
            one = await self.send_steadily(KEY, USUAL, 0.1, self.proxies[0])
            return one[0].status == 200

        await self.until(is_served)
        sent = await self.send_steadily(KEY, USUAL, 4, *self.proxies)
        self.assertEqual({each.status for each in sent}, {200})

    async def test_a_lost_disk_takes_no_part_of_the_quota_for_good(self) -> None:
        """The host's next replica holds the part that the one before held."""
        await self.core[0].kill(wipe=True)
        await self.start(self.core[0])

        async def holds_its_part() -> bool:
            url = f"http://{self.core[0].host.ip}:{OPERATORS_PORT}/v1/quotas"
            try:
                async with self.session.get(url) as response:
                    form = await response.json()
            except aiohttp.ClientError:
                return False
            return bool(form["parts"] == len(self.core))

        await self.until(holds_its_part)
        sent = await self.send_steadily(KEY, HOT, 8, *self.proxies)
        self.assert_within("mill", sent, RATE, BURST)
        self.assertGreaterEqual(sum(each.status == 200 for each in sent), RATE * 8 * 0.9)
        self.assertIn(REFUSED, {each.status for each in sent})
