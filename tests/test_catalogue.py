"""Tests of the catalogue: decisions on changes, deltas, history and exported state."""

import random
import unittest

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Delta,
    Invalid,
    Key,
    Resource,
    RetryPolicy,
    Route,
    Service,
    Spec,
    Target,
    TrafficPolicy,
    VersionNotReached,
    export_state,
    import_state,
    new_reference_faults,
    reference_faults,
)
from cowslipvane.catalogue._outcomes import OUTCOME_LIFETIME_SECONDS
from cowslipvane.types import OperationId, ServiceName, Version


def change(
    name: str, based_on: int, *puts: tuple[Key, Spec], deletes: tuple[Key, ...] = ()
) -> Change:
    """Return a change of an operation of some name."""
    return Change(OperationId(name), Version(based_on), puts, deletes)


def service(name: str) -> tuple[Key, Spec]:
    """Return a service to put."""
    return Key("service", name), Service()


def route(name: str, target: str, weight: int = 1) -> tuple[Key, Spec]:
    """Return a route to put."""
    return Key("route", name), Route(targets=(Target(ServiceName(target), weight),))


class NewReferenceFaultsTest(unittest.TestCase):
    """The faults that a change brings in."""

    def test_they_are_all_faults_of_resources_that_had_none(self) -> None:
        """After random changes of faultless resources, no reference is missed."""
        rng = random.Random(5)
        faulty = 0
        for _ in range(400):
            services = [service(f"s{index}") for index in range(3)]
            routes = [route(f"r{index}", f"s{rng.randrange(3)}") for index in range(3)]
            specs = dict([*services, *routes])
            deletes = [key for key in specs if rng.random() < 0.1]
            puts = dict(
                route(f"r{index}", f"s{rng.randrange(4)}")
                for index in range(5)
                if rng.random() < 0.2
            )
            changed = {key: spec for key, spec in specs.items() if key not in deletes} | puts
            resources = {key: Resource(key, spec, Version(1)) for key, spec in changed.items()}
            faults = list(new_reference_faults(resources, puts=puts, deletes=deletes))
            self.assertEqual(faults, list(reference_faults(resources)))
            faulty += bool(faults)
        self.assertGreater(faulty, 50)

    # Guards against a replica that ends with a KeyError at a change that others have accepted.
    def test_a_key_that_is_written_and_deleted_has_no_references(self) -> None:
        """It isn't among the resources."""
        key, _ = route("r", "s")
        self.assertEqual(list(new_reference_faults({}, puts=[key], deletes=[key])), [])


class CatalogueTest(unittest.TestCase):
    """The catalogue accepts valid changes only, in one total order of versions."""

    def setUp(self) -> None:
        """Create an empty catalogue."""
        self.catalogue = Catalogue()

    def apply(self, requested: Change) -> object:
        """Apply a change at a fixed time."""
        return self.catalogue.apply(requested, accepted_at=1.0)

    def test_an_accepted_change_creates_the_next_version(self) -> None:
        """Versions count the accepted changes."""
        first = self.apply(change("a", 0, service("stock")))
        second = self.apply(change("b", 1, route("r", "stock")))
        self.assertEqual(first, Accepted(version=Version(1), accepted_at=1.0))
        self.assertEqual(second, Accepted(version=Version(2), accepted_at=1.0))

    def test_one_of_two_concurrent_changes_is_accepted(self) -> None:
        """The other conflicts, and its outcome names the accepted operation."""
        self.apply(change("a", 0, service("stock")))
        conflicting = self.apply(change("b", 0, service("stock")))
        key = Key("service", "stock")
        self.assertEqual(
            conflicting, Conflict(key=key, winner=OperationId("a"), version=Version(1))
        )
        self.assertEqual(self.catalogue.version, 1)

    def test_a_resent_change_gets_the_first_outcome(self) -> None:
        """An operation is not applied twice."""
        first = self.apply(change("a", 0, service("stock")))
        self.assertEqual(self.apply(change("a", 0, service("stock"))), first)
        self.assertEqual(self.catalogue.version, 1)

    def test_all_faults_are_reported_and_nothing_is_applied(self) -> None:
        """The outcome lists the faults of all resources."""
        retry: tuple[Key, Spec] = (Key("retry-policy", "p"), RetryPolicy(methods=("POST",)))
        outcome = self.apply(
            change("a", 0, service("stock"), route("r", "gone"), route("q", "stock", 0), retry)
        )
        assert isinstance(outcome, Invalid)
        paths = [fault.path for fault in outcome.faults]
        self.assertEqual(paths, ["route/q.targets", "retry-policy/p.methods", "route/r"])
        self.assertEqual(self.catalogue.version, 0)
        self.assertEqual(self.catalogue.resources, {})

    def test_a_service_in_use_cannot_be_deleted(self) -> None:
        """A delete must not leave a dangling reference."""
        self.apply(change("a", 0, service("stock"), route("r", "stock")))
        outcome = self.apply(change("b", 1, deletes=(Key("service", "stock"),)))
        self.assertIsInstance(outcome, Invalid)
        self.assertEqual(len(self.catalogue.resources), 2)

    def test_many_missed_changes_form_one_delta(self) -> None:
        """A delta can start from any version in the history."""
        for number in range(300):
            self.apply(change(f"a{number}", number, service("stock")))
        delta = self.catalogue.update_since(Version(1))
        assert isinstance(delta, Delta)
        self.assertEqual((delta.version, len(delta.puts)), (300, 1))

    def test_a_lagging_catalogue_returns_its_version(self) -> None:
        """A proxy that is ahead of the catalogue receives no older version."""
        self.apply(change("a", 0, service("stock")))
        self.assertEqual(self.catalogue.update_since(Version(7)), VersionNotReached(Version(1)))

    def test_history_returns_each_change_as_it_was(self) -> None:
        """A resource that changed again has its earlier content in the earlier change."""
        policy = Key("traffic-policy", "p")
        for number, timeout in enumerate((1.0, 2.0)):
            self.apply(change(f"a{number}", number, (policy, TrafficPolicy(timeout=timeout))))
        self.apply(change("b", 2, deletes=(policy,)))
        after = [item.after[policy] for item in self.catalogue.history(Version(0))]
        timeouts = [item and item.spec for item in after]
        expected = [TrafficPolicy(timeout=1.0), TrafficPolicy(timeout=2.0), None]
        self.assertEqual(timeouts, expected)
        self.assertEqual([c.version for c in self.catalogue.history(Version(1))], [2, 3])

    def test_an_outcome_is_kept_for_its_lifetime(self) -> None:
        """Then all replicas drop it at the same log entry, as only the log's time stamps count."""
        catalogue = Catalogue()
        first = catalogue.apply(change("first", 0, service("s")), accepted_at=0.0)
        resent = catalogue.apply(
            change("first", 0, service("s")), accepted_at=OUTCOME_LIFETIME_SECONDS
        )
        self.assertEqual(resent, first)
        catalogue.apply(change("later", 1, service("t")), accepted_at=OUTCOME_LIFETIME_SECONDS + 1)
        self.assertIsNone(catalogue.outcome(OperationId("first")))
        self.assertIsNotNone(catalogue.outcome(OperationId("later")))

    def test_a_restored_catalogue_makes_the_same_decisions(self) -> None:
        """The state holds the resources, writers and outcomes."""
        catalogue = Catalogue()
        catalogue.apply(change("first", 0, service("s")), accepted_at=1.0)
        catalogue.apply(change("gone", 1, deletes=(Key("service", "s"),)), accepted_at=2.0)
        other = Catalogue()
        import_state(other, export_state(catalogue))
        for later in (change("first", 0, service("s")), change("racer", 1, service("s"))):
            self.assertEqual(other.evaluate(later), catalogue.evaluate(later))
            self.assertIsNotNone(other.evaluate(later))
        self.assertEqual(export_state(other), export_state(catalogue))


if __name__ == "__main__":
    unittest.main()
