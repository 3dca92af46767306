"""Tests of the budgets for retries and hedges, over simulated calls."""

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
from cowslipvane.routing._budget import HEDGE_SHARE, USED_SHARE
from cowslipvane.routing._hedging import ENOUGH_SAMPLES
from cowslipvane.settings import Retries
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._dispatcher import Dispatcher
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._peers import Mailbox, Peers
from cowslipvane.types import DataCentre, HostName, RequestId, ServiceName, Verdict
from tests.test_membership import record

STOCK = ServiceName("stock")
ALLOWED = Retries()
# What one proxy of a fleet of one saves up, and earns each second beside its calls.
MOST = ALLOWED.slack * USED_SHARE / 2
FLOOR_PER_S = MOST / ALLOWED.window
LOST = OwnerUnreachable(host=HostName("a"), verdict=Verdict.NOT_RUN)


class BudgetTest(unittest.TestCase):
    """How many extra attempts are allowed."""

    def test_retries_and_hedges_stay_a_share_of_the_calls(self) -> None:
        """A crest of failures can't amplify itself."""
        budgets = Budgets()
        retries = hedges = 0
        for _ in range(1000):
            budgets.record_call(STOCK, 0.0)
            retries += budgets.allow_retry(STOCK, LOST, 0.0)
            hedges += budgets.allow_hedge(STOCK, 0.0)
        self.assertLessEqual(retries, 1000 * ALLOWED.share * USED_SHARE + MOST)
        self.assertGreaterEqual(retries, 1000 * ALLOWED.share * USED_SHARE)
        self.assertLessEqual(hedges, 1000 * HEDGE_SHARE + 5)

    def test_rare_calls_have_a_floor(self) -> None:
        """Time earns some retries too, but never more than the most."""
        budgets = Budgets()
        budgets.record_call(STOCK, 0.0)
        self.spend_all(budgets)
        self.assertTrue(budgets.allow_retry(STOCK, LOST, 1.2 / FLOOR_PER_S))
        self.assertFalse(budgets.allow_retry(STOCK, LOST, 1.2 / FLOOR_PER_S))
        spent = sum(budgets.allow_retry(STOCK, LOST, 1e6) for _ in range(100))
        self.assertEqual(spent, int(MOST))

    def test_the_fleet_together_keeps_to_its_allowance(self) -> None:
        """In every window, with calls spread unevenly over proxies that all fail."""
        rng = random.Random(3)
        fleet = [Budgets(retries=ALLOWED) for _ in range(30)]
        calls, retries = [0] * 60, [0] * 60
        for budgets in fleet:
            budgets.set_proxy_count(len(fleet))
        for second in range(60):
            for _ in range(rng.randrange(200)):
                budgets = fleet[min(rng.randrange(40), len(fleet) - 1)]
                budgets.record_call(STOCK, float(second))
                calls[second] += 1
                for _ in range(3):
                    retries[second] += budgets.allow_retry(STOCK, LOST, float(second))
        window = int(ALLOWED.window)
        for start in range(60 - window):
            asked, again = sum(calls[start : start + window]), sum(retries[start : start + window])
            self.assertLessEqual(again, ALLOWED.share * asked + ALLOWED.slack)

    def spend_all(self, budgets: Budgets) -> None:
        """Spend all retries of stock."""
        self.assertIn(False, [budgets.allow_retry(STOCK, LOST, 0.0) for _ in range(100)])

    def test_work_sent_back_by_a_drain_is_not_held_back(self) -> None:
        """A planned stop sends all its queue elsewhere, and that adds no work."""
        budgets = Budgets()
        budgets.record_call(STOCK, 0.0)
        self.spend_all(budgets)
        self.assertTrue(budgets.allow_retry(STOCK, Draining(service=STOCK), 0.0))

    def test_services_do_not_share_a_budget(self) -> None:
        """One service's failures leave the others their retries."""
        budgets = Budgets()
        other = ServiceName("billing")
        budgets.record_call(STOCK, 0.0)
        budgets.record_call(other, 0.0)
        self.spend_all(budgets)
        self.assertTrue(budgets.allow_retry(other, LOST, 0.0))


class LostPeers:
    """Peers of which none can be reached."""

    def __init__(self) -> None:
        self.offers = 0

    def is_reachable(self, member: Member) -> bool:
        """Return that any owner may be tried."""
        return True

    def link(self, member: Member) -> "LostPeers":
        """Return what stands for the connection to any owner."""
        return self

    async def send(self, message: Offer | Fence | Cancel, mailbox: Mailbox | None) -> None:
        """Refuse an attempt as not run."""
        if isinstance(message, Offer) and mailbox is not None:
            self.offers += 1
            await mailbox.put(Refused(attempt=message.attempt, refusal=LOST))


class CarrierTest(unittest.IsolatedAsyncioTestCase):
    """Whether calls keep to the budget."""

    async def test_a_call_that_loses_every_owner_stops_with_the_budget(self) -> None:
        """It doesn't try all of a hundred owners."""
        membership = Membership(own=record("a")._replace(worker=None), now=0.0)
        # Owners that no caller may enter through, so that this proxy is the whole fleet.
        owners = [record(f"h{at}")._replace(callers=None) for at in range(100)]
        membership.merge(owners, 0.0)
        peers = LostPeers()
        carrier = Dispatcher(
            subscription=Subscription(),
            membership=membership,
            owner=cast(Owner, None),
            peers=cast(Peers, peers),
            chooser=Chooser(data_centre=DataCentre("here"), rng=random.Random(1)),
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
        self.assertEqual(await carrier.dispatch(call), LOST)
        self.assertGreater(peers.offers, 10)
        self.assertLess(peers.offers, 50)


class HedgingTest(unittest.TestCase):
    """When a second copy is sent."""

    def test_the_delay_is_near_the_95th_percentile(self) -> None:
        """Most calls are answered before it, and few after."""
        hedging = Hedging()
        rng = random.Random(5)
        for _ in range(5000):
            hedging.record_latency(STOCK, rng.uniform(0.0, 1.0))
        delay = hedging.delay(STOCK)
        assert delay is not None
        self.assertAlmostEqual(delay, 0.95, delta=0.04)

    def test_nothing_is_sent_before_enough_is_known(self) -> None:
        """A service without answers has no delay."""
        hedging = Hedging()
        self.assertIsNone(hedging.delay(STOCK))
        for _ in range(ENOUGH_SAMPLES - 1):
            hedging.record_latency(STOCK, 0.01)
        self.assertIsNone(hedging.delay(STOCK))
        hedging.record_latency(STOCK, 0.01)
        self.assertIsNotNone(hedging.delay(STOCK))


if __name__ == "__main__":
    unittest.main()
