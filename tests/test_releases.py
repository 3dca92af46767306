"""Tests of releases, each of which is one change with a number chosen by the operator."""

import unittest

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Delta,
    Invalid,
    Key,
    Release,
    Route,
    Service,
    Snapshot,
    Spec,
    Target,
    Upstream,
    release_change,
    release_in_force,
)
from cowslipvane.catalogue._catalogue import MAX_HISTORY_BYTES
from cowslipvane.sizes import memory_size
from cowslipvane.types import OperationId, ServiceName, Version

SERVICES: dict[Key, Spec] = {Key("service", "a"): Service(), Key("service", "b"): Service()}


def routed(service: str, **limits: float) -> dict[Key, Spec]:
    """Return resources with one route to a service."""
    route = Route(targets=(Target(ServiceName(service)),), host="shop", **limits)  # type: ignore
    return {**SERVICES, Key("route", "r"): route}


def release(number: int, based_on: int) -> Release:
    """Return a release whose document contains its numbers."""
    return Release(number=number, based_on=based_on, document=f"document {number} {based_on}")


class ReleasesTest(unittest.TestCase):
    """Concurrent, repeated and invalid releases."""

    def setUp(self) -> None:
        """Accept a first release."""
        self.catalogue = Catalogue()
        self.first = self.put(release(2, 0), routed("a"))
        self.assertIsInstance(self.first, Accepted)

    def put(self, new_release: Release, resources: dict[Key, Spec]) -> object:
        """Evaluate a release and apply it."""
        change = release_change(self.catalogue, new_release, resources)
        if not isinstance(change, Change):
            return change
        return self.catalogue.apply(change, accepted_at=1.0)

    def test_only_differences_are_written(self) -> None:
        """Resources that the new release lacks are deleted; the state of an upstream stays."""
        out = Change(OperationId("o"), Version(1), ((Key("upstream", "h"), Upstream(state="out")),))
        self.catalogue.apply(out, accepted_at=1.0)
        change = release_change(self.catalogue, release(5, 2), routed("b") | {})
        assert isinstance(change, Change)
        self.assertEqual([key.kind for key, _ in change.puts], ["route", "release"])
        self.catalogue.apply(change, accepted_at=1.0)
        without_route = release_change(self.catalogue, release(6, 5), SERVICES)
        assert isinstance(without_route, Change)
        self.assertEqual(without_route.deletes, (Key("route", "r"),))

    def test_of_two_releases_on_the_same_base_the_first_wins(self) -> None:
        """Both may have the same number, and be evaluated before either is accepted."""
        one = release_change(self.catalogue, release(3, 2), routed("b"))
        other = release_change(
            self.catalogue, Release(number=3, based_on=2, document="x"), routed("a")
        )
        assert isinstance(one, Change)
        assert isinstance(other, Change)
        self.assertIsInstance(self.catalogue.apply(one, accepted_at=1.0), Accepted)
        self.assertIsInstance(self.catalogue.apply(other, accepted_at=1.0), Conflict)
        self.assertIsInstance(self.put(release(4, 2), routed("a")), Conflict)

    def test_document_is_returned_unchanged(self) -> None:
        """The log contains only the differences to the previous document."""
        for number in range(3, 9):
            text = "}".join(f"part {part}" for part in range(number * 3, 40)) + f" {number}"
            new_release = Release(number=number, based_on=number - 1, document=text)
            self.assertIsInstance(self.put(new_release, routed("a")), Accepted)
            in_force = release_in_force(self.catalogue)
            assert in_force is not None
            self.assertEqual(in_force, new_release)

    def test_release_numbers_must_increase(self) -> None:
        """They needn't be consecutive."""
        self.assertIsInstance(self.put(release(2, 2), routed("b")), Invalid)
        self.assertIsInstance(self.put(release(90, 2), routed("b")), Accepted)

    def test_invalid_routes_are_refused(self) -> None:
        """No part of such a release comes into force."""
        invalid: list[dict[Key, Spec]] = [
            routed("nobody"),
            routed("a", timeout=601.0),
            routed("a", timeout=1.0, goal=61.0),
            {**SERVICES, Key("route", "r"): Route(targets=(Target(ServiceName("a"), 0),))},
            {**SERVICES, Key("route", "r"): Route(targets=(Target(ServiceName("a"), -1),))},
            {**SERVICES, Key("route", "r"): Route(targets=(Target(ServiceName("a")),), host="")},
        ]
        for resources in invalid:
            self.assertIsInstance(self.put(release(3, 2), resources), Invalid, resources)
        in_force = release_in_force(self.catalogue)
        assert in_force is not None
        self.assertEqual(in_force.number, 2)

    def test_large_documents_do_not_fill_the_memory(self) -> None:
        """Each replica would end at its memory limit, and again when it has restarted."""
        padding = "x" * (MAX_HISTORY_BYTES // 10)
        for number in range(3, 43):
            new_release = Release(number=number, based_on=number - 1, document=f"{number}{padding}")
            self.assertIsInstance(self.put(new_release, routed("a")), Accepted)
        kept_chars = sum(
            len(resource.spec.document)
            for entry in self.catalogue._history
            for resource in entry.before.values()
            if resource is not None and isinstance(resource.spec, Release)
        )
        self.assertLessEqual(kept_chars, MAX_HISTORY_BYTES)
        newest = self.catalogue.version
        self.assertIsInstance(self.catalogue.update_since(Version(newest - 5)), Delta)
        self.assertIsInstance(self.catalogue.update_since(Version(newest - 20)), Snapshot)

    def history_bytes(self) -> int:
        """Return the memory of the replaced resources in the history."""
        return sum(memory_size(entry.before) for entry in self.catalogue._history)

    # Guards against replicas that end at their memory limit because of texts whose characters
    # take four bytes each.
    def test_documents_of_wide_characters_do_not_fill_the_memory(self) -> None:
        """Their number of characters says little of their memory."""
        text = "\N{GRINNING FACE}" + "x" * (MAX_HISTORY_BYTES // 20)
        for number in range(3, 33):
            new_release = Release(number=number, based_on=number - 1, document=f"{number}{text}")
            self.assertIsInstance(self.put(new_release, routed("a")), Accepted)
            self.assertLessEqual(self.history_bytes(), MAX_HISTORY_BYTES)

    # Guards against replicas that end at their memory limit because of changes that have no
    # document, such as those of the resource API.
    def test_changes_of_many_resources_do_not_fill_the_memory(self) -> None:
        """The history holds every resource that they replaced."""
        paths = [f"/{number:01000}/" for number in range(200)]
        targets = (Target(ServiceName("a")),)
        for number in range(60):
            routes = [
                (Key("route", path), Route(targets=targets, path_prefix=path, timeout=1.0 + number))
                for path in paths
            ]
            version = self.catalogue.version
            change = Change(OperationId(f"many-{number}"), version, tuple(routes))
            self.assertIsInstance(self.catalogue.apply(change, accepted_at=1.0), Accepted)
            self.assertLessEqual(self.history_bytes(), MAX_HISTORY_BYTES)

    def test_documents_are_not_sent_to_proxies(self) -> None:
        """Neither a snapshot nor a delta contains them."""
        snapshot = self.catalogue.update_since(Version(0))
        assert isinstance(snapshot, Snapshot)
        self.put(release(3, 2), routed("b"))
        delta = self.catalogue.update_since(Version(1))
        for sent in (snapshot.resources, delta.puts if not isinstance(delta, Snapshot) else ()):  # type: ignore
            self.assertNotIn("release", {resource.key.kind for resource in sent})
        self.assertEqual(delta.deletes, ())  # type: ignore


if __name__ == "__main__":
    unittest.main()
