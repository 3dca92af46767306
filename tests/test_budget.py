"""Tests of the budgets for retries and hedged requests with simulated calls."""

import random
import time
import unittest
from typing import cast

from cowslipvane.call import Call, Cancel, Fence, Offer, Refused, Request
from cowslipvane.catalogue import RetryPolicy, TrafficPolicy
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.membership import Member, Membership
from cowslipvane.refusal import Draining, OwnerUnreachable
from cowslipvane.routing import Budgets, Chooser, Hedging, ServiceRules
from cowslipvane.routing._budget import HEDGE_SHARE, SPENDABLE_SHARE
from cowslipvane.routing._hedging import MIN_SAMPLES
from cowslipvane.settings import Retries
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.callers._dispatcher import Dispatcher
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.peers._mailbox import Mailbox
from cowslipvane.tasks.upstreams._owner import Owner
from cowslipvane.types import DataCentre, HostName, RequestId, ServiceName, Verdict
from tests.test_membership import record
from tests.uncounted import uncounted

STOCK = ServiceName("stock")
ALLOWED = Retries()
# Bucket capacity and tokens per second of the only proxy of a fleet.
CAPACITY = ALLOWED.slack * SPENDABLE_SHARE / 2
TOKENS_PER_S = CAPACITY / ALLOWED.window
LOST = OwnerUnreachable(host=HostName("a"), verdict=Verdict.NOT_RUN)


class BudgetTest(unittest.TestCase):
    """Tests of how many extra attempts are allowed."""

    def test_retries_and_hedges_stay_a_share_of_the_calls(self) -> None:
        """A peak of failures is not amplified by retries."""
        budgets = Budgets()
        retries = hedges = 0
        for _ in range(1000):
            budgets.record_call(STOCK, 0.0)
            retries += budgets.allow_retry(STOCK, LOST, 0.0)
            hedges += budgets.allow_hedge(STOCK, 0.0)
        self.assertLessEqual(retries, 1000 * ALLOWED.share * SPENDABLE_SHARE + CAPACITY)
        self.assertGreaterEqual(retries, 1000 * ALLOWED.share * SPENDABLE_SHARE)
        self.assertLessEqual(hedges, 1000 * HEDGE_SHARE + 5)

    def test_rare_calls_may_be_retried(self) -> None:
        """Tokens are also earned by time, up to the capacity of the bucket."""
        budgets = Budgets()
        budgets.record_call(STOCK, 0.0)
        self.spend_all(budgets)
        self.assertTrue(budgets.allow_retry(STOCK, LOST, 1.2 / TOKENS_PER_S))
        self.assertFalse(budgets.allow_retry(STOCK, LOST, 1.2 / TOKENS_PER_S))
        spent = sum(budgets.allow_retry(STOCK, LOST, 1e6) for _ in range(100))
        self.assertEqual(spent, int(CAPACITY))

    def test_fleet_stays_within_its_allowance(self) -> None:
        """The allowance holds in every window, with failing calls spread unevenly over proxies."""
        rng = random.Random(3)
        fleet = [Budgets(retries=ALLOWED) for _ in range(30)]
        calls, retries = [0] * 60, [0] * 60
        for budgets in fleet:
            budgets.set_proxy_count(len(fleet), 0.0)
        for second in range(60):
            for _ in range(rng.randrange(200)):
                budgets = fleet[min(rng.randrange(40), len(fleet) - 1)]
                budgets.record_call(STOCK, float(second))
                calls[second] += 1
                for _ in range(3):
                    retries[second] += budgets.allow_retry(STOCK, LOST, float(second))
        window = int(ALLOWED.window)
        for start in range(60 - window):
            sent, retried = sum(calls[start : start + window]), sum(retries[start : start + window])
            self.assertLessEqual(retried, ALLOWED.share * sent + ALLOWED.slack)

    def test_a_proxy_that_learns_of_others_keeps_to_its_part(self) -> None:
        """A proxy that has just started knows no others, and would earn the slack of the fleet."""
        budgets = Budgets(retries=ALLOWED)
        budgets.record_call(STOCK, 0.0)
        proxy_count = 10
        budgets.set_proxy_count(proxy_count, 0.0)
        self.spend_all(budgets)
        window = int(ALLOWED.window)
        retries = sum(
            budgets.allow_retry(STOCK, LOST, float(second)) for second in range(1, 10 * window + 1)
        )
        self.assertLessEqual(retries, 10 * CAPACITY / proxy_count)

    def spend_all(self, budgets: Budgets) -> None:
        """Use up the retries of the stock service."""
        self.assertIn(False, [budgets.allow_retry(STOCK, LOST, 0.0) for _ in range(100)])

    def test_calls_refused_by_a_drain_are_always_retried(self) -> None:
        """A drain refuses the whole queue at once, before any of it has reached an upstream."""
        budgets = Budgets()
        budgets.record_call(STOCK, 0.0)
        self.spend_all(budgets)
        self.assertTrue(budgets.allow_retry(STOCK, Draining(service=STOCK), 0.0))

    def test_each_service_has_its_own_budget(self) -> None:
        """Failures of one service do not use up the retries of another."""
        budgets = Budgets()
        other = ServiceName("billing")
        budgets.record_call(STOCK, 0.0)
        budgets.record_call(other, 0.0)
        self.spend_all(budgets)
        self.assertTrue(budgets.allow_retry(other, LOST, 0.0))


class LostPeers:
    """A fake of Peers that refuses every attempt as lost."""

    def __init__(self) -> None:
        self.offers = 0

    def is_reachable(self, member: Member) -> bool:
        """Return True for every owner."""
        return True

    def link(self, member: Member) -> "LostPeers":
        """Return the fake link to an owner."""
        return self

    async def send(self, message: Offer | Fence | Cancel, mailbox: Mailbox | None) -> None:
        """Refuse an attempt as not run."""
        if isinstance(message, Offer) and mailbox is not None:
            self.offers += 1
            await mailbox.put(Refused(attempt=message.attempt, refusal=LOST))


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """Tests that calls stay within the budget."""

    async def test_call_that_loses_every_owner_stops_when_the_budget_is_used_up(self) -> None:
        """The call does not try all of a hundred owners."""
        membership = Membership(own=record("a")._replace(worker=None), now=0.0)
        # Owners without a listener for callers are not counted as proxies, which leaves this one.
        owners = [record(f"h{index}")._replace(callers=None) for index in range(100)]
        membership.merge(owners, 0.0)
        peers = LostPeers()
        dispatcher = Dispatcher(
            subscription=Subscription(),
            membership=membership,
            owner=cast(Owner, None),
            peers=cast(Peers, peers),
            quotas=uncounted(),
            chooser=Chooser(data_centre=DataCentre("here"), rng=random.Random(1)),
            rng=random.Random(1),
            events=EventLog(
                origin=Origin(HostName("a"), DataCentre("here"), 1), clock=HybridClock()
            ),
        )
        rules = ServiceRules(STOCK, RetryPolicy(attempts=1000), TrafficPolicy())
        call = Call(
            request_id=RequestId("r"),
            request=Request("GET", "/", (), b""),
            rules=rules,
            deadline=time.monotonic() + 60,
        )
        self.assertEqual(await dispatcher.dispatch(call), LOST)
        self.assertGreater(peers.offers, 10)
        self.assertLess(peers.offers, 50)


class HedgingTest(unittest.TestCase):
    """Tests of the hedging delay."""

    def test_delay_is_near_the_95th_percentile(self) -> None:
        """The delay approximates the 95th percentile of the latencies."""
        hedging = Hedging()
        rng = random.Random(5)
        for _ in range(5000):
            hedging.record_latency(STOCK, rng.uniform(0.0, 1.0))
        delay = hedging.delay(STOCK)
        assert delay is not None
        self.assertAlmostEqual(delay, 0.95, delta=0.04)

    def test_calls_are_not_hedged_without_enough_samples(self) -> None:
        """A service with too few answers has no hedging delay."""
        hedging = Hedging()
        self.assertIsNone(hedging.delay(STOCK))
        for _ in range(MIN_SAMPLES - 1):
            hedging.record_latency(STOCK, 0.01)
        self.assertIsNone(hedging.delay(STOCK))
        hedging.record_latency(STOCK, 0.01)
        self.assertIsNotNone(hedging.delay(STOCK))


if __name__ == "__main__":
    unittest.main()
