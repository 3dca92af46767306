"""Tests of closures, and of the deltas between them."""

import random
import unittest

from cowslipvane.catalogue import (
    Catalogue,
    Change,
    Delta,
    Key,
    Route,
    RouteHosts,
    Service,
    Snapshot,
    Spec,
    Target,
    TrafficPolicy,
    Upstream,
)
from cowslipvane.subscription import Applied, Subscription
from cowslipvane.types import NO_VERSION, OperationId, ServiceName, Version

HOSTS = ("depot", "shop", "school")
SCOPES: tuple[RouteHosts, ...] = ((), ("depot",), ("shop", "school"), ("nobody",))
VERSIONS = 40
SEEDS = 5


def spec_of(key: Key, rng: random.Random) -> Spec:
    """Return a specification for a key, drawn at random."""
    names = [str(number) for number in range(5)]
    match key.kind:
        case "service":
            return Service(traffic_policy=rng.choice(["", *names]))
        case "route":
            target = Target(ServiceName(rng.choice(names)))
            return Route(targets=(target,), host=rng.choice(["*", *HOSTS]))
        case "upstream":
            return Upstream(state=rng.choice(["in", "out"]))
        case _:
            return TrafficPolicy(timeout=rng.uniform(1, 9))


def grow(catalogue: Catalogue, rng: random.Random) -> None:
    """Apply changes drawn at random until one more is accepted."""
    kinds = ("service", "route", "upstream", "traffic-policy")
    version = catalogue.version
    while catalogue.version == version:
        keys = [Key(rng.choice(kinds), str(rng.randrange(5))) for _ in range(rng.randint(1, 4))]
        deletes = {key for key in keys if rng.random() < 0.3}
        puts = {key: spec_of(key, rng) for key in keys if key not in deletes}
        name = OperationId(str(rng.random()))
        change = Change(name, version, tuple(puts.items()), tuple(deletes))
        catalogue.apply(change, accepted_at=1.0)


def whole(catalogue: Catalogue, hosts: RouteHosts) -> Snapshot:
    """Return the closure of some hosts as a snapshot."""
    found = catalogue.update_since(NO_VERSION, hosts)
    assert isinstance(found, Snapshot)
    return found


class ClosureTest(unittest.TestCase):
    """A proxy gets what its routes need, by deltas that agree with snapshots."""

    def test_every_delta_leads_to_the_snapshot(self) -> None:
        """For each pair of versions and each scope, delta and snapshot agree."""
        for seed in range(SEEDS):
            rng = random.Random(seed)
            catalogue = Catalogue()
            holders: list[tuple[RouteHosts, Snapshot]] = []
            for _ in range(VERSIONS):
                grow(catalogue, rng)
                for hosts, held in holders:
                    self.check(catalogue, hosts, held)
                holders += [(hosts, whole(catalogue, hosts)) for hosts in SCOPES]

    def check(self, catalogue: Catalogue, hosts: RouteHosts, held: Snapshot) -> None:
        """Check the delta from what a proxy held against the snapshot."""
        delta = catalogue.update_since(held.version, hosts)
        assert isinstance(delta, Delta)
        resources = {resource.key: resource for resource in held.resources}
        for key in delta.deletes:
            del resources[key]
        resources.update((resource.key, resource) for resource in delta.puts)
        snapshot = whole(catalogue, hosts)
        self.assertEqual(sorted(resources.values()), sorted(snapshot.resources))
        subscription = Subscription()
        subscription.raise_floor(NO_VERSION)
        self.assertIsInstance(subscription.apply_snapshot(held), Applied)
        self.assertEqual(subscription.apply_delta(delta), Applied(version=catalogue.version))

    def test_a_change_elsewhere_costs_only_the_version(self) -> None:
        """A proxy that does not need a resource is not sent it."""
        catalogue = Catalogue()
        for name in ("depot", "shop"):
            route = Route(targets=(Target(ServiceName(name)),), host=name)
            puts = ((Key("service", name), Service()), (Key("route", name), route))
            change = Change(OperationId(name), catalogue.version, puts)
            catalogue.apply(change, accepted_at=1.0)
        delta = catalogue.update_since(Version(1), ("depot",))
        assert isinstance(delta, Delta)
        self.assertEqual((delta.version, delta.puts, delta.deletes), (2, (), ()))
        self.assertEqual(len(whole(catalogue, ("depot",)).resources), 2)


if __name__ == "__main__":
    unittest.main()
