"""Tests of the catalogue."""

import unittest

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Delta,
    Invalid,
    Key,
    RetryPolicy,
    Route,
    Service,
    Spec,
    Target,
    TrafficPolicy,
    VersionNotReached,
    export_state,
    import_state,
)
from cowslipvane.catalogue._catalogue import OUTCOME_LIFETIME
from cowslipvane.types import OperationId, ServiceName, Version


def change(
    name: str, based_on: int, *puts: tuple[Key, Spec], deletes: tuple[Key, ...] = ()
) -> Change:
    """Return a change."""
    return Change(OperationId(name), Version(based_on), puts, deletes)


def service(name: str) -> tuple[Key, Spec]:
    """Return a service to put."""
    return Key("service", name), Service()


def route(name: str, target: str, weight: int = 1) -> tuple[Key, Spec]:
    """Return a route to put."""
    return Key("route", name), Route(targets=(Target(ServiceName(target), weight),))


class CatalogueTest(unittest.TestCase):
    """One total order of versions, of changes that are valid as a whole."""

    def setUp(self) -> None:
        """Begin with an empty catalogue."""
        self.catalogue = Catalogue()

    def apply(self, wanted: Change) -> object:
        """Apply a change."""
        return self.catalogue.apply(wanted, accepted_at=1.0)

    def test_accepts_under_the_next_version(self) -> None:
        """Versions count accepted changes."""
        first = self.apply(change("a", 0, service("stock")))
        second = self.apply(change("b", 1, route("r", "stock")))
        self.assertEqual(first, Accepted(version=Version(1), accepted_at=1.0))
        self.assertEqual(second, Accepted(version=Version(2), accepted_at=1.0))

    def test_one_of_two_racing_changes_wins(self) -> None:
        """The other learns who won."""
        self.apply(change("a", 0, service("stock")))
        lost = self.apply(change("b", 0, service("stock")))
        key = Key("service", "stock")
        self.assertEqual(lost, Conflict(key=key, winner=OperationId("a"), version=Version(1)))
        self.assertEqual(self.catalogue.version, 1)

    def test_a_resend_gets_the_first_answer(self) -> None:
        """A resent operation isn't run twice."""
        first = self.apply(change("a", 0, service("stock")))
        self.assertEqual(self.apply(change("a", 0, service("stock"))), first)
        self.assertEqual(self.catalogue.version, 1)

    def test_all_faults_come_back_and_nothing_is_applied(self) -> None:
        """Faults of all resources come together."""
        retry: tuple[Key, Spec] = (Key("retry-policy", "p"), RetryPolicy(methods=("POST",)))
        outcome = self.apply(
            change("a", 0, service("stock"), route("r", "gone"), route("q", "stock", 0), retry)
        )
        assert isinstance(outcome, Invalid)
        paths = [fault.path for fault in outcome.faults]
        self.assertEqual(paths, ["route/q.targets", "retry-policy/p.methods", "route/r"])
        self.assertEqual(self.catalogue.version, 0)
        self.assertEqual(self.catalogue.resources, {})

    def test_a_service_in_use_can_not_be_deleted(self) -> None:
        """A delete may leave no dangling reference."""
        self.apply(change("a", 0, service("stock"), route("r", "stock")))
        outcome = self.apply(change("b", 1, deletes=(Key("service", "stock"),)))
        self.assertIsInstance(outcome, Invalid)
        self.assertEqual(len(self.catalogue.resources), 2)

    def test_many_changes_missed_arrive_as_one_delta(self) -> None:
        """A delta reaches from any version in the history."""
        for number in range(300):
            self.apply(change(f"a{number}", number, service("stock")))
        delta = self.catalogue.update_since(Version(1))
        assert isinstance(delta, Delta)
        self.assertEqual((delta.version, len(delta.puts)), (300, 1))

    def test_a_replica_that_lags_says_so(self) -> None:
        """A subscriber ahead of the catalogue is given nothing older."""
        self.apply(change("a", 0, service("stock")))
        self.assertEqual(self.catalogue.update_since(Version(7)), VersionNotReached(Version(1)))

    def test_history_gives_each_change_as_it_was(self) -> None:
        """A resource that changed again shows its earlier content in the earlier change."""
        policy = Key("traffic-policy", "p")
        for number, timeout in enumerate((1.0, 2.0)):
            self.apply(change(f"a{number}", number, (policy, TrafficPolicy(timeout=timeout))))
        self.apply(change("b", 2, deletes=(policy,)))
        after = [item.after[policy] for item in self.catalogue.history(Version(0))]
        timeouts = [item and item.spec for item in after]
        wanted = [TrafficPolicy(timeout=1.0), TrafficPolicy(timeout=2.0), None]
        self.assertEqual(timeouts, wanted)
        self.assertEqual([c.version for c in self.catalogue.history(Version(1))], [2, 3])

    def test_an_answer_is_kept_for_its_lifetime_and_no_longer(self) -> None:
        """By the stamps alone, so that every replica forgets at the same entry."""
        catalogue = Catalogue()
        first = catalogue.apply(change("first", 0, service("s")), accepted_at=0.0)
        resent = catalogue.apply(change("first", 0, service("s")), accepted_at=OUTCOME_LIFETIME)
        self.assertEqual(resent, first)
        catalogue.apply(change("later", 1, service("t")), accepted_at=OUTCOME_LIFETIME + 1)
        self.assertIsNone(catalogue.outcome(OperationId("first")))
        self.assertIsNotNone(catalogue.outcome(OperationId("later")))

    def test_a_restored_catalogue_decides_as_the_one_it_came_from(self) -> None:
        """Resources, writers and answers are in the state."""
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
