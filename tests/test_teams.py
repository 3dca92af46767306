"""Tests of teams in the catalogue: their rules, what their faults show, closures and digests."""

import unittest
from collections.abc import Mapping

from cowslipvane.access import key_digest
from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Delta,
    Invalid,
    Key,
    Outcome,
    Resource,
    Route,
    Service,
    Snapshot,
    Spec,
    Target,
    Team,
    resource_digest,
)
from cowslipvane.subscription import Applied, Subscription
from cowslipvane.types import NO_VERSION, Header, KeyDigest, OperationId, ServiceName, Version
from cowslipvane.wire import decode_as, encode_untagged, read_change

FIRST, SECOND, THIRD = (key_digest(key) for key in ("first", "second", "third"))
HOSTS = ("depot",)


def team(name: str, *digests: str) -> tuple[Key, Spec]:
    """Return a team to put."""
    return Key("team", name), Team(key_digests=tuple(map(KeyDigest, digests)))


class TeamsTestCase(unittest.TestCase):
    """A catalogue with two teams; a base for tests."""

    def setUp(self) -> None:
        """Accept the teams."""
        self.catalogue = Catalogue()
        self.changes = 0
        self.assertIsInstance(self.put(team("mill", FIRST), team("bakery", SECOND)), Accepted)

    def put(self, *puts: tuple[Key, Spec], deletes: tuple[Key, ...] = ()) -> Outcome:
        """Apply a change that is based on the newest version."""
        self.changes += 1
        operation_id = OperationId(f"change-{self.changes}")
        change = Change(operation_id, self.catalogue.version, puts, deletes)
        return self.catalogue.apply(change, accepted_at=1.0)

    def digests(self) -> Mapping[str, tuple[str, ...]]:
        """Return the digests of each team that is in force."""
        return {
            key.name: resource.spec.key_digests
            for key, resource in self.catalogue.resources.items()
            if isinstance(resource.spec, Team)
        }

    def refused(self, *puts: tuple[Key, Spec]) -> list[str]:
        """Return the paths of the faults of a change, which must leave all as it was."""
        before = self.catalogue.version, self.digests()
        outcome = self.put(*puts)
        assert isinstance(outcome, Invalid), outcome
        self.assertEqual((self.catalogue.version, self.digests()), before)
        for fault in outcome.faults:
            for digest in (FIRST, SECOND, THIRD):
                self.assertNotIn(digest, f"{fault.path} {fault.message}")
        return [fault.path for fault in outcome.faults]


class SharedKeysTest(TeamsTestCase):
    """No two teams have a key in common."""

    # Guards against a key whose requests run for one team on one proxy and for another elsewhere.
    def test_change_that_shares_a_key_is_refused_whole(self) -> None:
        """Also with a team that the change doesn't write, and beside good resources."""
        service = (Key("service", "stock"), Service())
        self.assertEqual(self.refused(team("mill", SECOND)), ["team/mill"])
        self.assertEqual(self.refused(service, team("depot", THIRD, FIRST)), ["team/mill"])
        self.assertEqual(
            self.refused(team("depot", THIRD), team("farm", THIRD), service), ["team/farm"]
        )
        three = [team(name, THIRD) for name in ("depot", "farm", "port")]
        self.assertEqual(self.refused(*three), ["team/farm", "team/port"])
        self.assertNotIn(Key("service", "stock"), self.catalogue.resources)

    # Guards against a rotation of keys that is refused, since a check sees a half of it.
    def test_one_change_may_swap_and_move_keys(self) -> None:
        """What counts is the result of the whole change."""
        self.assertIsInstance(self.put(team("mill", SECOND), team("bakery", FIRST)), Accepted)
        self.assertEqual(self.digests(), {"mill": (SECOND,), "bakery": (FIRST,)})
        self.assertIsInstance(self.put(team("mill"), team("bakery", FIRST, SECOND)), Accepted)
        self.assertEqual(self.digests(), {"mill": (), "bakery": (FIRST, SECOND)})
        moved = self.put(team("depot", FIRST, SECOND), deletes=(Key("team", "bakery"),))
        self.assertIsInstance(moved, Accepted)
        self.assertEqual(self.digests(), {"mill": (), "depot": (FIRST, SECOND)})

    # Guards against a check that is left out for changes that seem not to touch teams.
    def test_key_of_a_deleted_team_is_free_and_others_are_not(self) -> None:
        """A deletion alone needs no check, and a later change is checked as before."""
        self.assertIsInstance(self.put(deletes=(Key("team", "mill"),)), Accepted)
        self.assertEqual(self.refused(team("depot", SECOND)), ["team/depot"])
        self.assertIsInstance(self.put(team("depot", FIRST)), Accepted)

    def test_team_may_name_a_key_twice(self) -> None:
        """It is the same team's all the same."""
        self.assertIsInstance(self.put(team("mill", FIRST, FIRST)), Accepted)


class OddTeamsTest(TeamsTestCase):
    """Names that no header field can hold, and texts that are no digests."""

    # Guards against a team whose name is cut, or splits the head of its requests.
    def test_odd_names_are_refused(self) -> None:
        """A name is visible ASCII, with blanks inside at most."""
        for name in (
            "",
            " mill",
            "mill ",
            "mi\nll",
            "mi\tll",
            "mühle",
            "\ud800",
            "m" * 257,
            "\x7f",
        ):
            path = str(Key("team", name))
            self.assertEqual(self.refused(team(name, THIRD)), [path], ascii(name))
        for name in ("m", "m" * 256, "Old Mill, 1st floor", "!~"):
            self.assertIsInstance(self.put(team(name)), Accepted, name)

    # Guards against a key that is put in place of its digest, and so is sent to each host.
    def test_odd_digests_are_refused_and_not_shown(self) -> None:
        """The fault names the place alone, since the text may be a key."""
        odd = ("", "secret-key", FIRST.upper(), FIRST[1:], FIRST + "0", f"{FIRST}\n", "g" * 32)
        for digest in odd:
            outcome = self.put(team("depot", THIRD, digest))
            assert isinstance(outcome, Invalid), digest
            self.assertEqual([fault.path for fault in outcome.faults], ["team/depot.key_digests"])
            if digest:
                self.assertNotIn(digest.strip(), outcome.faults[0].message)

    # Guards against keys in the responses and logs of the operators' interface.
    def test_faults_of_a_form_show_no_key(self) -> None:
        """Neither values of a wrong type nor unknown fields are repeated."""
        for spec in (
            {"key_digests": "secret-key"},
            {"key_digests": [["secret-key"]]},
            {"key_digests": {"secret-key": 1}},
            {"key_digests": [7, "secret-key"]},
            {"keys": ["secret-key"]},
            ["secret-key"],
        ):
            form = {"kind": "team", "name": "depot", "spec": spec}
            parsed = read_change({"operation_id": "a", "based_on": 0, "resources": [form]})
            assert isinstance(parsed, Invalid), spec
            self.assertTrue(parsed.faults)
            for fault in parsed.faults:
                self.assertNotIn("secret-key", f"{fault.path} {fault.message}")


class ClosureTest(TeamsTestCase):
    """What a proxy that serves some hosts receives of teams."""

    # Guards against 401 from a proxy with route hosts, which would know no key.
    def test_closure_of_hosts_contains_teams(self) -> None:
        """A delta brings each team that was added, changed or deleted, and no other."""
        subscription = Subscription()
        subscription.raise_floor(NO_VERSION)
        snapshot = self.catalogue.update_since(NO_VERSION, HOSTS)
        assert isinstance(snapshot, Snapshot)
        self.assertEqual({item.key.name for item in snapshot.resources}, {"mill", "bakery"})
        self.assertIsInstance(subscription.apply_snapshot(snapshot), Applied)
        base = self.catalogue.version
        self.put(team("depot", THIRD), deletes=(Key("team", "mill"),))
        delta = self.catalogue.update_since(base, HOSTS)
        assert isinstance(delta, Delta)
        self.assertEqual([item.key.name for item in delta.puts], ["depot"])
        self.assertEqual(delta.deletes, (Key("team", "mill"),))
        self.assertIsInstance(subscription.apply_delta(delta), Applied)
        assert subscription.table is not None
        holders = [subscription.table.team_keys.holder(it) for it in (FIRST, SECOND, THIRD)]
        self.assertEqual(holders, [None, "bakery", "depot"])

    # Guards against an update that proxies reject, since a field doesn't survive its encoding.
    def test_update_with_teams_is_applied_after_its_encoding(self) -> None:
        """The digest that the replica promises is that of what the proxy decodes."""
        target = Target(ServiceName("stock"))
        routes = [
            (Key("route", use), Route(targets=(target,), path_prefix=f"/{use}", access_keys=use))
            for use in ("ignored", "optional", "required")
        ]
        self.assertIsInstance(self.put((Key("service", "stock"), Service()), *routes), Accepted)
        sent = self.catalogue.update_since(NO_VERSION)
        assert isinstance(sent, Snapshot)
        subscription = Subscription()
        subscription.raise_floor(NO_VERSION)
        received = decode_as(Snapshot, encode_untagged(sent))
        self.assertEqual(subscription.apply_snapshot(received), Applied(version=sent.version))


class DigestTest(unittest.TestCase):
    """The digests of routes, on which builds beside each other have to agree."""

    ROUTE = Route(
        targets=(Target(ServiceName("stock"), 3), Target(ServiceName("other"))),
        host="depot",
        path_prefix="/stock",
        method="GET",
        headers=(Header("X-Mark", "1"),),
        repeatable=True,
        attempts=2,
        timeout=1.5,
        goal=0.25,
        priority=1,
    )
    PLAIN_ROUTE = Route(targets=(Target(ServiceName("stock")),))

    def digest(self, spec: Spec) -> int:
        """Return the digest of a specification under one name and version."""
        return resource_digest(Resource(Key("route", "r"), spec, Version(7)))

    # Guards against proxies of the build before that reject each version, though no route needs
    # keys.
    def test_digest_of_a_route_without_keys_is_that_of_builds_before(self) -> None:
        """The numbers were computed on d54efe0, which knows no teams."""
        self.assertEqual(self.digest(self.ROUTE), ROUTE_DIGEST)
        self.assertEqual(self.digest(self.PLAIN_ROUTE), PLAIN_ROUTE_DIGEST)

    # Guards against a proxy that misses the change of a route's need for keys, and says it has it.
    def test_digest_tells_what_a_route_does_with_keys(self) -> None:
        """Each use has a digest of its own."""
        target = self.PLAIN_ROUTE.targets
        uses = [Route(targets=target, access_keys=use) for use in ("optional", "required")]
        self.assertEqual(len({self.digest(spec) for spec in (self.PLAIN_ROUTE, *uses)}), 3)

    def test_digest_tells_the_keys_of_a_team(self) -> None:
        """A key that moves to another team changes both digests."""
        digests = {
            resource_digest(Resource(key, spec, Version(7)))
            for key, spec in (team("m", FIRST), team("m", SECOND), team("n", FIRST), team("m"))
        }
        self.assertEqual(len(digests), 4)


ROUTE_DIGEST = 0x_0B31_359D_3310_9705
PLAIN_ROUTE_DIGEST = 0x_FDE2_CD6F_30E1_1D72


if __name__ == "__main__":
    unittest.main()
