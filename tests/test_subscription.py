"""Tests of the subscription: it applies complete versions only, and never an older one."""

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
    """Which versions a proxy applies and which it refuses."""

    def setUp(self) -> None:
        """Create three versions of one policy, and a subscription whose minimum version is 2."""
        self.catalogue = Catalogue()
        self.snapshots = [self.put(timeout) for timeout in (1.0, 2.0, 3.0)]
        self.subscription = Subscription()
        self.subscription.raise_floor(Version(2))

    def put(self, timeout: float) -> Snapshot:
        """Write the policy and return a snapshot of the new version."""
        version = self.catalogue.version
        puts = ((POLICY, TrafficPolicy(timeout=timeout)),)
        change = Change(OperationId(str(version)), version, puts)
        self.catalogue.apply(change, accepted_at=1.0)
        update = self.catalogue.update_since(Version(0))
        assert isinstance(update, Snapshot)
        return update

    def delta(self, base: int) -> Delta:
        """Return the delta from a version."""
        update = self.catalogue.update_since(Version(base))
        assert isinstance(update, Delta)
        return update

    def check_rejected(self, result: Applied | Rejected, reason: str, version: int) -> None:
        """Check that a version was refused for a reason, and which one is still in force."""
        assert isinstance(result, Rejected), result
        self.assertIn(reason, result.reason)
        self.assertEqual(self.subscription.version, version)

    def test_applies_nothing_before_the_floor_is_known(self) -> None:
        """A restarted proxy doesn't know which version was in force before."""
        self.subscription = Subscription()
        self.check_rejected(
            self.subscription.apply_snapshot(self.snapshots[2]), "isn't known yet", 0
        )
        self.assertIsNone(self.subscription.table)

    def test_applies_nothing_below_the_floor(self) -> None:
        """A lagging replica can't take a restarted proxy back to an older version."""
        self.check_rejected(
            self.subscription.apply_snapshot(self.snapshots[0]), "older than version 2", 0
        )
        self.assertEqual(
            self.subscription.apply_snapshot(self.snapshots[1]), Applied(version=Version(2))
        )

    def test_the_floor_is_never_lowered(self) -> None:
        """A lower floor that is received later has no effect."""
        self.subscription.raise_floor(Version(1))
        self.assertEqual(self.subscription.floor, 2)

    def test_never_applies_an_older_version(self) -> None:
        """The version in force is a minimum too, even after a lower floor is received."""
        self.subscription.apply_snapshot(self.snapshots[2])
        self.subscription.raise_floor(Version(1))
        self.check_rejected(
            self.subscription.apply_snapshot(self.snapshots[1]), "older than version 3", 3
        )

    def test_checks_the_digest(self) -> None:
        """Content that differs from the accepted one is refused, as snapshot or delta."""
        snapshot = self.snapshots[2]
        corrupted = snapshot._replace(resources=self.snapshots[1].resources)
        self.check_rejected(self.subscription.apply_snapshot(corrupted), "digest", 0)
        self.subscription.apply_snapshot(self.snapshots[1])
        incomplete = self.delta(2)._replace(puts=())
        self.check_rejected(self.subscription.apply_delta(incomplete), "digest", 2)
        self.assertEqual(self.subscription.apply_delta(self.delta(2)), Applied(version=Version(3)))

    def test_checks_the_base_of_a_delta(self) -> None:
        """A delta that starts from another version is refused."""
        self.subscription.apply_snapshot(self.snapshots[2])
        self.check_rejected(self.subscription.apply_delta(self.delta(1)), "starts at 1", 3)

    def test_refuses_a_route_without_its_service(self) -> None:
        """References are checked even if the digest matches."""
        route = Route(targets=(Target(ServiceName("gone")),))
        resource = self.snapshots[2].resources[0]._replace(key=Key("route", "r"), spec=route)
        snapshot = Snapshot(Version(9), (resource,), resource_digest(resource))
        self.check_rejected(self.subscription.apply_snapshot(snapshot), "refers to service/gone", 0)

    def test_equal_content_has_equal_digests(self) -> None:
        """The digest depends on the content alone, and differs for other content."""
        resource = self.snapshots[0].resources[0]
        same = resource._replace(spec=TrafficPolicy(timeout=1.0))
        self.assertEqual(resource_digest(resource), resource_digest(same))
        other = resource._replace(key=Key("service", "p"), spec=Service())
        self.assertNotEqual(resource_digest(resource), resource_digest(other))


class BackoffTest(unittest.TestCase):
    """Delays grow, are spread at random, and can be reset."""

    def test_delays_are_spread_below_a_growing_limit(self) -> None:
        """The mean delay is half the limit of each attempt."""
        rng = random.Random(1)
        backoffs = [Backoff(initial_delay=1.0, max_delay=4.0, rng=rng) for _ in range(400)]
        for limit in (1.0, 2.0, 4.0, 4.0):
            delays = [backoff.next_delay() for backoff in backoffs]
            self.assertLessEqual(max(delays), limit)
            self.assertAlmostEqual(sum(delays) / len(delays), limit / 2, delta=limit * 0.08)
        backoffs[0].reset()
        self.assertLessEqual(backoffs[0].next_delay(), 1.0)


if __name__ == "__main__":
    unittest.main()
