"""Tests of what a catalogue keeps of many changes, which has to fit into memory and messages."""

import unittest

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Invalid,
    Key,
    Outcome,
    Release,
    Route,
    Service,
    Snapshot,
    Spec,
    Target,
    export_state,
    import_state,
    release_change,
)
from cowslipvane.replica import Group, Install, LogSnapshot
from cowslipvane.subscription import PullSnapshot
from cowslipvane.tasks.distribution import _publisher  # noqa: F401  # Registers the messages.
from cowslipvane.tasks.replication import _replication  # noqa: F401  # Registers the messages.
from cowslipvane.types import HostName, OperationId, ServiceName, Version
from cowslipvane.wire import compress, decode, encode, outcome_form

MEBIBYTE = 1 << 20
# Their names together take more than a message may have.
CHANGES = 60
ROUTES = 300
# Enough of them that the first deletions are forgotten.
FEW_CHANGES = 9
LONG_NAME = 1000
OPERATIONS = 17_000
SERVICE = Key("service", "s")
TARGETS = (Target(ServiceName("s")),)


def change_of(
    catalogue: Catalogue,
    name: str,
    *puts: tuple[Key, Spec],
    deletes: tuple[Key, ...] = (),
) -> Change:
    """Return a change of the newest version."""
    return Change(OperationId(name), catalogue.version, puts, deletes)


def route_keys(number: int) -> list[Key]:
    """Return the keys of routes with long names that no other number has."""
    return [Key("route", f"{number}/{route:0{LONG_NAME}}/") for route in range(ROUTES)]


class KeptStateCase(unittest.TestCase):
    """Base class of tests of a catalogue with one service."""

    def setUp(self) -> None:
        """Accept the service."""
        self.catalogue = Catalogue()
        self.accept(change_of(self.catalogue, "first", (SERVICE, Service())))

    def accept(self, change: Change) -> None:
        """Apply a change that a leader lets in."""
        self.assertIsNone(self.catalogue.check(change))
        outcome = self.catalogue.apply(change, accepted_at=1.0)
        self.assertIsInstance(outcome, Accepted)

    def assert_sendable(self) -> None:
        """Check that a follower and a proxy can read the newest version."""
        snapshot = LogSnapshot(1, 1, Group(()), export_state(self.catalogue))
        install = Install(term=1, leader=HostName("a"), snapshot=snapshot)
        self.assertEqual(decode(compress(encode(install))), install)
        update = self.catalogue.update_since(Version(0))
        assert isinstance(update, Snapshot)
        pulled = PullSnapshot(snapshot=update)
        self.assertEqual(decode(compress(encode(pulled))), pulled)


class DeletedResourcesTest(KeptStateCase):
    """Changes that give all resources other names."""

    def rename_all(self, numbers: range) -> None:
        """Replace all routes by others of other names, again and again."""
        deletes: tuple[Key, ...] = ()
        for number in numbers:
            keys = route_keys(number)
            self.catalogue.update_since(Version(0))
            routes = ((key, Route(targets=TARGETS)) for key in keys)
            self.accept(change_of(self.catalogue, f"op-{number}", *routes, deletes=deletes))
            deletes = tuple(keys)

    # Guards against replicas that end at their memory limit, or whose snapshot no follower can
    # take, because they remember the writer of each resource that ever was.
    def test_names_that_are_gone_are_forgotten_in_the_end(self) -> None:
        """Each change deletes hundreds of routes and adds others; caches forget them at once."""
        self.rename_all(range(CHANGES))
        self.assert_sendable()
        self.assertLess(len(export_state(self.catalogue).writers), CHANGES * ROUTES / 2)
        existing = self.catalogue.resources.keys()
        self.assertLessEqual(self.catalogue._resource_digests.keys(), existing)
        self.assertLessEqual(self.catalogue._kept_sizes.keys(), existing)

    def test_a_change_that_is_older_than_a_forgotten_deletion_conflicts(self) -> None:
        """It would else bring back a resource that was deleted after its operator had read it."""
        self.rename_all(range(FEW_CHANGES))
        gone = route_keys(0)[0]
        change = Change(OperationId("late"), Version(2), ((gone, Route(targets=TARGETS)),))
        conflict = self.catalogue.check(change)
        assert isinstance(conflict, Conflict)
        self.assertIn("isn't known any more", outcome_form(conflict)["sentence"])
        based = change._replace(based_on=conflict.version)
        self.assertIsNone(self.catalogue.check(based))

    def test_a_restored_catalogue_forgets_the_same(self) -> None:
        """A follower that installed a snapshot decides as its leader does."""
        self.rename_all(range(FEW_CHANGES))
        restored = Catalogue()
        import_state(restored, export_state(self.catalogue))
        self.assertEqual(export_state(restored), export_state(self.catalogue))
        deletes = tuple(route_keys(FEW_CHANGES - 1))
        change = change_of(self.catalogue, "next", deletes=deletes)
        outcomes = [it.apply(change, accepted_at=2.0) for it in (self.catalogue, restored)]
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertEqual(export_state(restored), export_state(self.catalogue))


class OutcomesTest(KeptStateCase):
    """Operations whose outcomes are kept."""

    # Guards against replicas whose snapshot no follower can take, because it holds the outcomes of
    # all operations of a day.
    def test_outcomes_of_a_day_fit_into_a_message(self) -> None:
        """The oldest are forgotten above a size; the newest is always kept."""
        for number in range(OPERATIONS):
            name = f"{number:0{LONG_NAME}}"
            resource = (Key("service", f"s{number % 10}"), Service())
            change = change_of(self.catalogue, name, resource)
            self.catalogue.apply(change, accepted_at=1.0)
            self.assertIsInstance(self.catalogue.outcome(OperationId(name)), Accepted)
        self.assertIsNone(self.catalogue.outcome(OperationId("first")))
        self.assert_sendable()


class ResourcesTest(KeptStateCase):
    """Resources without end."""

    def grow(self, name_length: int) -> Outcome | None:
        """Add routes with names of some length until that is refused; return the refusal."""
        for number in range(200):
            keys = [Key("route", f"{number}/{at:0{name_length}}") for at in range(1000)]
            routes = ((key, Route(targets=TARGETS, path_prefix=f"/{key.name}/")) for key in keys)
            change = change_of(self.catalogue, f"op-{number}", *routes)
            refusal = self.catalogue.check(change)
            if refusal is not None:
                return refusal
            self.accept(change)
        return None

    # Guards against an acknowledged configuration that no other replica and no proxy can take.
    def test_what_is_accepted_fits_into_a_message(self) -> None:
        """A change after which it wouldn't is refused, and one that makes room is accepted."""
        for name_length in (10, LONG_NAME):
            with self.subTest(name_length=name_length):
                self.setUp()
                refusal = self.grow(name_length)
                assert isinstance(refusal, Invalid)
                self.assertEqual([fault.path for fault in refusal.faults], ["resources"])
                self.assert_sendable()
                routes = [key for key in self.catalogue.resources if key.kind == "route"]
                self.accept(change_of(self.catalogue, "room", deletes=tuple(routes[:500])))

    def test_the_largest_document_fits_into_a_message(self) -> None:
        """The operators' listener takes 1 MiB; each character may be an escape of six."""
        text = "\N{GRINNING FACE}" * (MEBIBYTE // 4)
        release = Release(number=1, based_on=0, document=text)
        change = release_change(self.catalogue, release, {SERVICE: Service()})
        assert isinstance(change, Change)
        self.accept(change)
        self.assert_sendable()


if __name__ == "__main__":
    unittest.main()
