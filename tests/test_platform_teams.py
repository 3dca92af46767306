"""Tests of the decoding of teams, their keys, and what routes do with keys."""

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cowslipvane.access import key_digest
from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Invalid,
    Key,
    Route,
    Team,
    release_change,
)
from cowslipvane.platform._configuration import DecodedConfiguration, decode_configuration
from tests.test_platform import ROUTE_KEY, with_rule
from tests.test_platform_fields import FUZZ, SECRET, TEAM, VALUES, WHOLE


class TeamsTest(unittest.TestCase):
    """Teams, their keys, and the routes that need one."""

    def decode(self, **changed: Any) -> DecodedConfiguration:
        """Return a configuration with some fields changed, decoded."""
        return decode_configuration(json.dumps(WHOLE | changed).encode())

    def refusal(self, **changed: Any) -> str:
        """Return why a configuration with some fields changed is refused."""
        with self.assertRaises(ValueError, msg=changed) as refused:
            self.decode(**changed)
        return str(refused.exception)

    def key_use(self, **changed: Any) -> str:
        """Return what the only route of a configuration does with keys."""
        route = self.decode(**changed).resources[ROUTE_KEY]
        assert isinstance(route, Route)
        return route.access_keys

    # Guards against routes that serve anybody, although the configuration has teams (issue 52).
    def test_with_teams_a_route_needs_a_key_unless_it_is_public(self) -> None:
        """An empty list of teams is one: the last key was taken away, and nobody may pass."""
        for teams in ([TEAM], []):
            self.assertEqual(self.key_use(tenants=teams), "required")
            self.assertEqual(self.key_use(tenants=teams, **with_rule(public=False)), "required")
            self.assertEqual(self.key_use(tenants=teams, **with_rule(public=True)), "optional")

    # Guards against sites without teams whose requests are refused, or lose a field.
    def test_without_teams_keys_are_ignored(self) -> None:
        """Also where a route says whether it is public."""
        for changed in ({}, with_rule(public=False), with_rule(public=True)):
            self.assertEqual(self.key_use(**changed), "ignored")

    def test_a_team_has_the_digests_of_its_keys(self) -> None:
        """A key that is given twice counts once, and the order doesn't matter."""
        teams = {
            order: self.decode(tenants=[TEAM | {"api_keys": list(order)}]).resources
            for order in (("a", SECRET), (SECRET, "a"), ("a", SECRET, "a"))
        }
        expected = Team(key_digests=tuple(sorted((key_digest("a"), key_digest(SECRET)))))
        for resources in teams.values():
            self.assertEqual(resources[Key("team", "pulo")], expected)

    def test_a_team_may_be_without_keys(self) -> None:
        """All of them were taken away."""
        resources = self.decode(tenants=[TEAM | {"api_keys": []}]).resources
        self.assertEqual(resources[Key("team", "pulo")], Team())

    # Guards against quotas that are acknowledged and not kept (issue 55).
    def test_a_team_has_its_quota(self) -> None:
        """A rate of 0, or none, is no limit."""
        for quota, expected in (
            ({"rate_per_s": 8, "burst": 9}, (8.0, 9.0)),
            ({"rate_per_s": 2.5}, (2.5, 0.0)),
            ({"rate_per_s": 0, "burst": 0}, (0.0, 0.0)),
            ({}, (0.0, 0.0)),
        ):
            team = self.decode(tenants=[TEAM | quota]).resources[Key("team", "pulo")]
            assert isinstance(team, Team)
            self.assertEqual((team.rate, team.burst), expected)

    # Guards against a configuration that can't be read in full and is in force (issue 55).
    def test_odd_quotas_are_refused_with_a_place(self) -> None:
        """No number is made of a text, a flag or a list, and none is negative or endless."""
        odd_values: list[Any] = ["many", "8", None, True, [], {}, -1, -0.5, 1e300]
        for field in ("rate_per_s", "burst"):
            for value in odd_values:
                found = self.refusal(tenants=[TEAM, TEAM | {"name": "b", field: value}])
                self.assertIn(f"tenants[1].{field}", found)

    # Guards against a key that is dropped or changed in silence, so that its callers are refused.
    def test_teams_that_can_not_be_read_are_refused_with_a_place(self) -> None:
        """Whole, and without the value of a key."""
        odd_keys: list[Any] = ["", " ", f"{SECRET} x", f"{SECRET}\n", f"{SECRET}é", "k" * 1025]
        odd_keys += [None, 7, True, [SECRET], {SECRET: 1}]
        odd_names: list[Any] = ["", " a", "a ", "a\r\nb", "ñ", "n" * 257, None, 7, [SECRET], {}]
        for key in odd_keys:
            found = self.refusal(tenants=[TEAM, {"name": "b", "api_keys": [SECRET, key]}])
            self.assertIn("tenants[1].api_keys[1]", found)
            self.assertNotIn(SECRET, found)
        for name in odd_names:
            found = self.refusal(tenants=[{"name": name, "api_keys": []}])
            self.assertIn("tenants[0].name", found)
            self.assertNotIn(SECRET, found)
        for keys in (None, SECRET, {SECRET: 1}, 7):
            found = self.refusal(tenants=[TEAM | {"api_keys": keys}])
            self.assertIn("tenants[0].api_keys", found)
            self.assertNotIn(SECRET, found)

    def test_a_list_of_teams_of_another_type_is_refused(self) -> None:
        """A team that lacks a field is, too."""
        for teams in (None, {}, {SECRET: "pulo"}, SECRET, 7, True):
            found = self.refusal(tenants=teams)
            self.assertIn("tenants", found)
            self.assertNotIn(SECRET, found)
        odd_teams: list[Any] = [SECRET, None, 7, [], {}, {"name": "b"}, {"api_keys": [SECRET]}]
        for team in odd_teams:
            found = self.refusal(tenants=[TEAM, team])
            self.assertIn("tenants[1]", found)
            self.assertNotIn(SECRET, found)

    def put(self, catalogue: Catalogue, decoded: DecodedConfiguration) -> object:
        """Evaluate a configuration, and apply it if it is valid."""
        change = release_change(catalogue, decoded.release, decoded.resources)
        if not isinstance(change, Change):
            return change
        return catalogue.apply(change, accepted_at=1.0)

    def test_two_teams_with_one_key_are_refused(self) -> None:
        """By the rules of the catalogue, whose reason has no key either."""
        teams = [TEAM, {"name": "b", "api_keys": ["x", SECRET]}]
        refused = self.put(Catalogue(), self.decode(base_version="00000000", tenants=teams))
        assert isinstance(refused, Invalid)
        self.assertNotIn(SECRET, str(refused.faults))

    # Guards against a withdrawn key that goes on counting.
    def test_a_team_that_the_next_configuration_lacks_is_gone(self) -> None:
        """Also with a configuration that has no list of teams at all."""
        teams = [TEAM, {"name": "b", "api_keys": ["x"]}]
        catalogue = Catalogue()
        for number, changed in enumerate(({"tenants": teams}, {"tenants": teams[:1]}, {})):
            versions = {"version": f"{number + 1:08x}", "base_version": f"{number:08x}"}
            outcome = self.put(catalogue, self.decode(**versions, **changed))
            self.assertIsInstance(outcome, Accepted)
            names = {key.name for key in catalogue.resources if key.kind == "team"}
            self.assertEqual(names, {team["name"] for team in changed.get("tenants", [])})

    # Guards against the first of two teams losing its keys in silence.
    def test_two_teams_of_one_name_are_refused(self) -> None:
        """Both places are told, not the name."""
        found = self.refusal(tenants=[TEAM | {"name": SECRET}, TEAM, {**TEAM, "name": SECRET}])
        self.assertEqual(found, "tenants[2] has the name of tenants[0]")

    def test_a_route_that_may_be_public_or_not_is_refused(self) -> None:
        """A text that says false would else count as true, and open the route to anybody."""
        odd_values: list[Any] = ["false", "", 0, 1, None, [], {}]
        for value in odd_values:
            for teams in ({}, {"tenants": [TEAM]}):
                self.assertIn("public", self.refusal(**with_rule(public=value), **teams))

    # Guards against a fault of another kind, answered 500, and against keys in logs.
    @FUZZ
    @given(st.data())
    def test_any_teams_are_read_or_refused_without_a_key(self, data: st.DataObject) -> None:
        """Whatever stands in the place of a team, its name or its keys."""
        team = st.fixed_dictionaries(
            {}, optional={"name": VALUES, "api_keys": VALUES | st.lists(VALUES), "priority": VALUES}
        )
        teams = data.draw(st.lists(team | VALUES, max_size=3) | VALUES)
        try:
            found = " ".join(self.decode(tenants=teams).unread)
        except ValueError as error:
            found = str(error)
        self.assertNotIn(SECRET, found)


if __name__ == "__main__":
    unittest.main()
