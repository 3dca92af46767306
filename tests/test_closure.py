"""Tests of the closures of route hosts, and of the deltas between their versions."""

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
HOST_SETS: tuple[RouteHosts, ...] = ((), ("depot",), ("shop", "school"), ("nobody",))
VERSIONS = 40
SEEDS = 5


def random_spec(key: Key, rng: random.Random) -> Spec:
    """Return a random specification for a key."""
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


def apply_random_change(catalogue: Catalogue, rng: random.Random) -> None:
    """Apply random changes until one is accepted."""
    kinds = ("service", "route", "upstream", "traffic-policy")
    version = catalogue.version
    while catalogue.version == version:
        keys = [Key(rng.choice(kinds), str(rng.randrange(5))) for _ in range(rng.randint(1, 4))]
        deletes = {key for key in keys if rng.random() < 0.3}
        puts = {key: random_spec(key, rng) for key in keys if key not in deletes}
        operation_id = OperationId(str(rng.random()))
        change = Change(operation_id, version, tuple(puts.items()), tuple(deletes))
        catalogue.apply(change, accepted_at=1.0)


def snapshot_of(catalogue: Catalogue, hosts: RouteHosts) -> Snapshot:
    """Return a snapshot of the closure of some hosts."""
    snapshot = catalogue.update_since(NO_VERSION, hosts)
    assert isinstance(snapshot, Snapshot)
    return snapshot


class ClosureTest(unittest.TestCase):
    """A proxy receives the resources that its routes need; deltas agree with snapshots."""

    def test_every_delta_results_in_the_snapshot(self) -> None:
        """Check each pair of versions and each set of route hosts."""
        for seed in range(SEEDS):
            rng = random.Random(seed)
            catalogue = Catalogue()
            held_snapshots: list[tuple[RouteHosts, Snapshot]] = []
            for _ in range(VERSIONS):
                apply_random_change(catalogue, rng)
                for hosts, held in held_snapshots:
                    self.check_delta(catalogue, hosts, held)
                held_snapshots += [(hosts, snapshot_of(catalogue, hosts)) for hosts in HOST_SETS]

    def check_delta(self, catalogue: Catalogue, hosts: RouteHosts, held: Snapshot) -> None:
        """Check that the delta from a held snapshot results in the newest one."""
        delta = catalogue.update_since(held.version, hosts)
        assert isinstance(delta, Delta)
        resources = {resource.key: resource for resource in held.resources}
        for key in delta.deletes:
            del resources[key]
        resources.update((resource.key, resource) for resource in delta.puts)
        snapshot = snapshot_of(catalogue, hosts)
        self.assertEqual(sorted(resources.values()), sorted(snapshot.resources))
        subscription = Subscription()
        subscription.raise_floor(NO_VERSION)
        self.assertIsInstance(subscription.apply_snapshot(held), Applied)
        self.assertEqual(subscription.apply_delta(delta), Applied(version=catalogue.version))

    def test_an_unrelated_change_sends_only_the_version(self) -> None:
        """A proxy does not receive resources that its routes don't need."""
        catalogue = Catalogue()
        for name in ("depot", "shop"):
            route = Route(targets=(Target(ServiceName(name)),), host=name)
            puts = ((Key("service", name), Service()), (Key("route", name), route))
            change = Change(OperationId(name), catalogue.version, puts)
            catalogue.apply(change, accepted_at=1.0)
        delta = catalogue.update_since(Version(1), ("depot",))
        assert isinstance(delta, Delta)
        self.assertEqual((delta.version, delta.puts, delta.deletes), (2, (), ()))
        self.assertEqual(len(snapshot_of(catalogue, ("depot",)).resources), 2)


if __name__ == "__main__":
    unittest.main()
