"""Tests of releases: one change each, in the operator's own numbers."""

import unittest

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
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
from cowslipvane.types import OperationId, ServiceName, Version

SERVICES: dict[Key, Spec] = {Key("service", "a"): Service(), Key("service", "b"): Service()}


def routed(service: str, **limits: float) -> dict[Key, Spec]:
    """Return resources with one route to a service."""
    route = Route(targets=(Target(ServiceName(service)),), host="shop", **limits)  # type: ignore
    return {**SERVICES, Key("route", "r"): route}


def release(number: int, based_on: int) -> Release:
    """Return a release whose document tells its number."""
    return Release(number=number, based_on=based_on, document=f"document {number} {based_on}")


class ReleasesTest(unittest.TestCase):
    """What becomes of releases that race, repeat or are wrong."""

    def setUp(self) -> None:
        """Accept a first release."""
        self.catalogue = Catalogue()
        self.first = self.put(release(2, 0), routed("a"))
        self.assertIsInstance(self.first, Accepted)

    def put(self, given: Release, resources: dict[Key, Spec]) -> object:
        """Decide a release and take it in."""
        change = release_change(self.catalogue, given, resources)
        if not isinstance(change, Change):
            return change
        return self.catalogue.apply(change, accepted_at=1.0)

    def test_only_what_differs_is_written(self) -> None:
        """What the new release lacks is deleted, and an upstream's state stays."""
        out = Change(OperationId("o"), Version(1), ((Key("upstream", "h"), Upstream(state="out")),))
        self.catalogue.apply(out, accepted_at=1.0)
        change = release_change(self.catalogue, release(5, 2), routed("b") | {})
        assert isinstance(change, Change)
        self.assertEqual([key.kind for key, _ in change.puts], ["route", "release"])
        self.catalogue.apply(change, accepted_at=1.0)
        alone = release_change(self.catalogue, release(6, 5), SERVICES)
        assert isinstance(alone, Change)
        self.assertEqual(alone.deletes, (Key("route", "r"),))

    def test_of_two_on_one_release_the_first_wins(self) -> None:
        """Also when both were decided on before either was accepted, and under one number."""
        one = release_change(self.catalogue, release(3, 2), routed("b"))
        other = release_change(
            self.catalogue, Release(number=3, based_on=2, document="x"), routed("a")
        )
        assert isinstance(one, Change)
        assert isinstance(other, Change)
        self.assertIsInstance(self.catalogue.apply(one, accepted_at=1.0), Accepted)
        self.assertIsInstance(self.catalogue.apply(other, accepted_at=1.0), Conflict)
        self.assertIsInstance(self.put(release(4, 2), routed("a")), Conflict)

    def test_the_document_is_read_back_as_it_was_sent(self) -> None:
        """Though the log has only what differs from the one before."""
        for number in range(3, 9):
            text = "}".join(f"part {part}" for part in range(number * 3, 40)) + f" {number}"
            given = Release(number=number, based_on=number - 1, document=text)
            self.assertIsInstance(self.put(given, routed("a")), Accepted)
            held = release_in_force(self.catalogue)
            assert held is not None
            self.assertEqual(held, given)

    def test_a_number_must_grow(self) -> None:
        """By any step."""
        self.assertIsInstance(self.put(release(2, 2), routed("b")), Invalid)
        self.assertIsInstance(self.put(release(90, 2), routed("b")), Accepted)

    def test_routes_that_can_t_be_meant_are_refused(self) -> None:
        """Nothing of the release is in force then."""
        bad: list[dict[Key, Spec]] = [
            routed("nobody"),
            routed("a", timeout=601.0),
            routed("a", timeout=1.0, goal=61.0),
            {**SERVICES, Key("route", "r"): Route(targets=(Target(ServiceName("a"), 0),))},
            {**SERVICES, Key("route", "r"): Route(targets=(Target(ServiceName("a"), -1),))},
            {**SERVICES, Key("route", "r"): Route(targets=(Target(ServiceName("a")),), host="")},
        ]
        for resources in bad:
            self.assertIsInstance(self.put(release(3, 2), resources), Invalid, resources)
        held = release_in_force(self.catalogue)
        assert held is not None
        self.assertEqual(held.number, 2)

    def test_proxies_do_not_get_the_document(self) -> None:
        """Neither whole nor in a delta."""
        whole = self.catalogue.update_since(Version(0))
        assert isinstance(whole, Snapshot)
        self.put(release(3, 2), routed("b"))
        delta = self.catalogue.update_since(Version(1))
        for found in (whole.resources, delta.puts if not isinstance(delta, Snapshot) else ()):  # type: ignore
            self.assertNotIn("release", {resource.key.kind for resource in found})
        self.assertEqual(delta.deletes, ())  # type: ignore


if __name__ == "__main__":
    unittest.main()
