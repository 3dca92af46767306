"""Tests of the subscription: whole versions only, and never back."""

import random
import unittest

from cowslipvane.catalogue import (
    Catalogue,
    Change,
    Delta,
    Key,
    Route,
    Service,
    Snapshot,
    Target,
    TrafficPolicy,
    resource_digest,
)
from cowslipvane.subscription import Applied, Backoff, Rejected, Subscription
from cowslipvane.types import OperationId, ServiceName, Version

POLICY = Key("traffic-policy", "p")


class SubscriptionTest(unittest.TestCase):
    """What a proxy takes and what it refuses."""

    def setUp(self) -> None:
        """Begin with three versions of one policy, and a proxy that has learnt its floor."""
        self.catalogue = Catalogue()
        self.snapshots = [self.put(timeout) for timeout in (1.0, 2.0, 3.0)]
        self.subscription = Subscription()
        self.subscription.raise_floor(Version(2))

    def put(self, timeout: float) -> Snapshot:
        """Write the policy and return the new version whole."""
        version = self.catalogue.version
        puts = ((POLICY, TrafficPolicy(timeout=timeout)),)
        change = Change(OperationId(str(version)), version, puts)
        self.catalogue.apply(change, accepted_at=1.0)
        found = self.catalogue.update_since(Version(0))
        assert isinstance(found, Snapshot)
        return found

    def delta(self, base: int) -> Delta:
        """Return the delta from a version."""
        found = self.catalogue.update_since(Version(base))
        assert isinstance(found, Delta)
        return found

    def refused(self, result: Applied | Rejected, reason: str, version: int) -> None:
        """Check that a version was refused for a reason, and what is still in force."""
        assert isinstance(result, Rejected), result
        self.assertIn(reason, result.reason)
        self.assertEqual(self.subscription.version, version)

    def test_takes_nothing_before_the_floor_is_learnt(self) -> None:
        """A proxy that has restarted can't tell yet what it had in force."""
        self.subscription = Subscription()
        self.refused(self.subscription.apply_snapshot(self.snapshots[2]), "isn't known yet", 0)
        self.assertIsNone(self.subscription.table)

    def test_takes_nothing_under_the_floor(self) -> None:
        """A replica that lags can't bring a restarted proxy back."""
        self.refused(self.subscription.apply_snapshot(self.snapshots[0]), "older than version 2", 0)
        self.assertEqual(
            self.subscription.apply_snapshot(self.snapshots[1]), Applied(version=Version(2))
        )

    def test_a_floor_never_sinks(self) -> None:
        """A lower floor that is learnt later changes nothing."""
        self.subscription.raise_floor(Version(1))
        self.assertEqual(self.subscription.floor, 2)

    def test_never_goes_back(self) -> None:
        """What is in force is a floor too, also after a lower floor was learnt."""
        self.subscription.apply_snapshot(self.snapshots[2])
        self.subscription.raise_floor(Version(1))
        self.refused(self.subscription.apply_snapshot(self.snapshots[1]), "older than version 3", 3)

    def test_checks_the_digest(self) -> None:
        """Content that isn't what was accepted is refused whole."""
        old = self.snapshots[2]
        spoilt = old._replace(resources=self.snapshots[1].resources)
        self.refused(self.subscription.apply_snapshot(spoilt), "digest", 0)
        self.subscription.apply_snapshot(self.snapshots[1])
        lost = self.delta(2)._replace(puts=())
        self.refused(self.subscription.apply_delta(lost), "digest", 2)
        self.assertEqual(self.subscription.apply_delta(self.delta(2)), Applied(version=Version(3)))

    def test_checks_the_base_of_a_delta(self) -> None:
        """A delta from another version does not fit."""
        self.subscription.apply_snapshot(self.snapshots[2])
        self.refused(self.subscription.apply_delta(self.delta(1)), "starts at 1", 3)

    def test_takes_no_route_without_its_service(self) -> None:
        """References are checked although the digest agrees."""
        route = Route(targets=(Target(ServiceName("gone")),))
        resource = self.snapshots[2].resources[0]._replace(key=Key("route", "r"), spec=route)
        snapshot = Snapshot(Version(9), (resource,), resource_digest(resource))
        self.refused(self.subscription.apply_snapshot(snapshot), "refers to service/gone", 0)

    def test_equal_content_has_one_digest(self) -> None:
        """The digest depends on content alone, and tells versions apart."""
        resource = self.snapshots[0].resources[0]
        same = resource._replace(spec=TrafficPolicy(timeout=1.0))
        self.assertEqual(resource_digest(resource), resource_digest(same))
        other = resource._replace(key=Key("service", "p"), spec=Service())
        self.assertNotEqual(resource_digest(resource), resource_digest(other))


class BackoffTest(unittest.TestCase):
    """Waits grow, are spread, and begin anew."""

    def test_waits_are_spread_under_a_growing_limit(self) -> None:
        """The mean wait of many is half the limit of each attempt."""
        rng = random.Random(1)
        backoffs = [Backoff(initial_delay=1.0, max_delay=4.0, rng=rng) for _ in range(400)]
        for limit in (1.0, 2.0, 4.0, 4.0):
            waits = [backoff.next_delay() for backoff in backoffs]
            self.assertLessEqual(max(waits), limit)
            self.assertAlmostEqual(sum(waits) / len(waits), limit / 2, delta=limit * 0.08)
        backoffs[0].reset()
        self.assertLessEqual(backoffs[0].next_delay(), 1.0)


if __name__ == "__main__":
    unittest.main()
