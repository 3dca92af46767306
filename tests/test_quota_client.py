"""Tests of an entry proxy that asks scripted holders for tokens."""

import asyncio
import random
import time
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

from websockets.asyncio.server import ServerConnection, serve

from cowslipvane.access import OfTeam, Unchecked
from cowslipvane.catalogue import QuotaHolder
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.quotas import Grant, TakeTokens, TokensTaken, Unused, Want
from cowslipvane.refusal import OverQuota, QuotaUnconfirmed
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.quotas import QuotaClient
from cowslipvane.tasks.quotas._client import HOLDER_WAIT_SHARE, Token
from cowslipvane.tasks.quotas._holder_link import ASK_TIMEOUT
from cowslipvane.types import DataCentre, HostName, KeyDigest, Quota, TeamName, Verdict, Version
from cowslipvane.wire import Link, LinkClosed, anonymous_identity

MILL = TeamName("mill")
ACCESS = OfTeam(team=MILL, digest=KeyDigest("0" * 32))
QUOTA = Quota(20.0, 10.0)
HOLDERS = 3
TIMEOUT_S = 4.0
GRANTED = Grant("granted", 1.0)
EMPTY = Grant("refused", 1.0, retry_after=0.5)
EXCEEDED = Grant("refused", 1.0, retry_after=2.0, is_exceeded=True)


class ScriptedHolder:
    """A holder that answers each want as the test says, and records what it was asked."""

    def __init__(self) -> None:
        self.wants: list[Want] = []
        self.unused: list[Unused] = []
        self.decide: Callable[[Want], Grant] = lambda _: GRANTED
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def serve(self, connection: ServerConnection) -> None:
        """Answer over one connection until it is closed."""
        link = Link(connection=connection, identity=anonymous_identity())
        try:
            while True:
                request = await link.receive()
                assert isinstance(request, TakeTokens)
                self.wants += request.wants
                self.unused += request.unused
                await self.may_answer.wait()
                grants = tuple(self.decide(want) for want in request.wants)
                await link.send(TokensTaken(grants=grants))
        except LinkClosed:
            return


class QuotaClientTest(unittest.IsolatedAsyncioTestCase):
    """Holders are asked by turns, and others stand in for one that can't be asked."""

    async def asyncSetUp(self) -> None:
        """Start the holders and the client."""
        self.holders = [ScriptedHolder() for _ in range(HOLDERS)]
        known = []
        for at, holder in enumerate(self.holders):
            server = await serve(holder.serve, "127.0.0.1", 0)
            self.addCleanup(server.close)
            port = next(iter(server.sockets)).getsockname()[1]
            known.append(QuotaHolder(HostName(f"replica-{at}"), f"127.0.0.1:{port}"))
        table = SimpleNamespace(quota_holders=tuple(known), quota={MILL: QUOTA}.get)
        subscription = SimpleNamespace(table=table, version=Version(7))
        origin = Origin(HostName("a"), DataCentre("here"), 1)
        self.client = QuotaClient(
            subscription=cast(Subscription, subscription),
            configuration_applied=Signal(),
            events=EventLog(origin=origin, clock=HybridClock()),
            rng=random.Random(1),
        )
        task = asyncio.create_task(self.client.run())
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)
        for holder in self.holders:
            self.addCleanup(holder.may_answer.set)
        links = self.client._links
        await self.until(lambda: sum(link.is_usable for link in links.values()) == HOLDERS)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        give_up_at = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), give_up_at, "the condition did not hold in time")
            await asyncio.sleep(0.01)

    async def take(self) -> object:
        """Ask for a token."""
        return await self.client.take(MILL, TIMEOUT_S)

    def asked(self) -> list[int]:
        """Return how many tokens each holder was asked for."""
        return [len(holder.wants) for holder in self.holders]

    def answer_all(self, grant: Grant) -> None:
        """Let all holders give the same answer."""
        for holder in self.holders:
            holder.decide = lambda _: grant

    async def test_holders_are_asked_by_turns(self) -> None:
        """Guards against a part that is used up while the others aren't touched."""
        for _ in range(3 * HOLDERS):
            self.assertIsInstance(await self.take(), Token)
        self.assertEqual(self.asked(), [3] * HOLDERS)

    async def test_each_holder_is_asked_before_a_request_is_refused(self) -> None:
        """Guards against refusals below the quota, since one holder's part is used up."""
        self.answer_all(EMPTY)
        self.holders[2].decide = lambda _: GRANTED
        for _ in range(HOLDERS):
            self.assertIsInstance(await self.take(), Token)
        self.answer_all(EMPTY)
        refused = await self.take()
        assert isinstance(refused, OverQuota)
        self.assertGreaterEqual(refused.retry_after, EMPTY.retry_after)

    async def test_a_team_far_beyond_its_quota_costs_one_question(self) -> None:
        """Guards against a hot team that keeps all holders busy with what they will refuse."""
        self.answer_all(EXCEEDED)
        self.assertIsInstance(await self.take(), OverQuota)
        self.assertEqual(sum(self.asked()), 1)

    async def test_others_stand_in_for_a_silent_holder(self) -> None:
        """It costs one timeout; after that it isn't asked until it answers again."""
        self.holders[0].may_answer.clear()
        for _ in range(HOLDERS):
            self.assertIsInstance(await self.take(), Token)
        began_at = time.monotonic()
        for _ in range(10):
            self.assertIsInstance(await self.take(), Token)
        self.assertLess(time.monotonic() - began_at, ASK_TIMEOUT)
        self.assertTrue(self.holders[1].wants[-1].stands_in)
        self.assertEqual(len(self.holders[0].wants), 1)

    # Guards against a token that nobody uses: the request has gone on without it.
    async def test_a_grant_that_comes_too_late_is_given_back(self) -> None:
        """With the next message."""
        holder = self.holders[0]
        holder.may_answer.clear()
        for _ in range(HOLDERS):
            await self.take()
        holder.may_answer.set()
        await self.until(lambda: bool(holder.unused))
        self.assertEqual(holder.unused, [Unused(MILL, GRANTED)])

    # Guards against a 429 of a team that is within its quota, as far as anybody can know.
    async def test_an_empty_part_tells_nothing_of_those_out_of_reach(self) -> None:
        """What is left there can't be asked for."""
        self.answer_all(EMPTY)
        self.holders[0].may_answer.clear()
        refused = [await self.take() for _ in range(HOLDERS)]
        self.assertEqual({type(each) for each in refused}, {QuotaUnconfirmed})

    async def test_a_request_waits_a_while_for_any_holder(self) -> None:
        """All have just started, and hold no shares yet."""
        self.answer_all(Grant("no share", 1.0))
        taking = asyncio.create_task(self.take())
        await asyncio.sleep(0.2)
        self.answer_all(GRANTED)
        self.assertIsInstance(await taking, Token)
        self.answer_all(Grant("no share", 1.0))
        began_at = time.monotonic()
        self.assertIsInstance(await self.take(), QuotaUnconfirmed)
        self.assertGreaterEqual(time.monotonic() - began_at, TIMEOUT_S * HOLDER_WAIT_SHARE)

    async def test_an_attempt_that_may_have_run_uses_its_token_up(self) -> None:
        """The next one needs another; one that surely didn't run leaves it for the next."""
        token = self.client.token_for(ACCESS)
        for verdict, expected in (
            (Verdict.NOT_RUN, 1),
            (Verdict.MAY_HAVE_RUN, 1),
            (Verdict.NOT_RUN, 2),
        ):
            self.assertIsNone(await token.hold(TIMEOUT_S))
            token.keep(token.spend(), verdict)
            self.assertEqual(sum(self.asked()), expected)
        token.release()
        await self.until(lambda: any(holder.unused for holder in self.holders))

    async def test_requests_without_a_quota_ask_nobody(self) -> None:
        """Guards against a cost for all that have no quotas."""
        for access in (Unchecked(), OfTeam(team=TeamName("b"), digest=KeyDigest("1" * 32))):
            token = self.client.token_for(access)
            self.assertIsNone(await token.hold(TIMEOUT_S))
            token.release()
        self.assertEqual(sum(self.asked()), 0)


if __name__ == "__main__":
    unittest.main()
