"""Tests of keys and teams, from a caller's request to its worker, with real processes."""

import unittest

from tests.teams_case import CLOSED, KEY, ONCE, OPEN, TEAM, TeamsCase, bearer, team

GOOD_KEY, OTHER_KEY, UNKNOWN_KEY = "key-of-red-4711", "key-of-blue-0815", "key-of-nobody-1234"
TEAMS = (team("red", GOOD_KEY, "key-of-red-4712"), team("blue", OTHER_KEY))
# Fields by which a caller may pass for a team, or try to keep the proxy from naming its own.
FORGED = (
    {"Tenant": "forged"},
    {"tenant": "forged"},
    {"TENANT": "forged", "tEnAnT": "forged"},
    {"Tenant": ""},
    {"Tenant": "forged", "Connection": "Tenant"},
)
# Fields that don't show a key of a team.
WITHOUT_KEY: tuple[dict[str, str], ...] = (
    {},
    bearer(UNKNOWN_KEY),
    bearer(GOOD_KEY[:-1]),
    bearer(GOOD_KEY.upper()),
    bearer(""),
    {"Authorization": GOOD_KEY},
    {"Authorization": f"Basic {GOOD_KEY}"},
    {"Authorization": f"Bearer {GOOD_KEY}", "authorization": f"Bearer {OTHER_KEY}"},
    {"Tenant": "red"},
)


class TeamKeysTest(TeamsCase):
    """A configuration has teams, and callers send requests to both proxies."""

    async def asyncSetUp(self) -> None:
        """Put the teams in force."""
        await super().asyncSetUp()
        await self.start_serving(TEAMS)

    # Guards against a worker that learns the key of a request, or not its team (issue 52, UNASKED).
    async def test_a_worker_gets_the_team_and_not_the_key_of_a_request(self) -> None:
        """At one hop and at two, for requests that may run again and for others."""
        for proxy in (self.owner, self.entry):
            for prefix in (CLOSED, ONCE):
                for name, key in (("red", GOOD_KEY), ("blue", OTHER_KEY)):
                    request_id = f"{name}-{proxy.host.name}-{prefix.strip('/')}"
                    answer = await self.ask(proxy, request_id, f"{prefix}1", bearer(key))
                    self.assertEqual(answer.status, 200, request_id)
                    (run,) = self.runs(request_id)
                    self.assertEqual(run.values(TEAM), [name], request_id)
                    self.assertEqual(run.values(KEY), [], request_id)
                    self.assertNotIn(key, str(run))

    # Guards against work without a key, or with one that no team holds (issue 52, ROUTE).
    async def test_a_request_without_a_key_of_a_team_is_refused(self) -> None:
        """It doesn't run, and the refusal tells how to show a key."""
        for index, fields in enumerate(WITHOUT_KEY):
            for proxy in (self.owner, self.entry):
                request_id = f"keyless-{index}-{proxy.host.name}"
                answer = await self.ask(proxy, request_id, f"{CLOSED}1", fields)
                self.assertEqual(answer.status, 401, (request_id, fields))
                self.assertEqual(answer.head.fields.get("www-authenticate"), "Bearer")
                self.assertEqual(self.runs(request_id), [])

    # Guards against a caller that passes for a team which it names itself (issue 52, UNASKED).
    async def test_a_team_that_the_caller_names_reaches_no_worker(self) -> None:
        """In any spelling, with a key or on a route without keys."""
        for index, fields in enumerate(FORGED):
            for path, key, expected in (
                (f"{CLOSED}1", bearer(GOOD_KEY), ["red"]),
                (f"{OPEN}1", bearer(GOOD_KEY), ["red"]),
                (f"{OPEN}1", {}, []),
                (f"{OPEN}1", bearer(UNKNOWN_KEY), []),
            ):
                request_id = f"forged-{index}-{path.strip('/')}-{len(str(key))}"
                answer = await self.ask(self.entry, request_id, path, {**fields, **key})
                self.assertEqual(answer.status, 200, request_id)
                (run,) = self.runs(request_id)
                self.assertEqual(run.values(TEAM), expected, request_id)
                self.assertEqual(run.values(KEY), [], request_id)


class NoTeamsTest(TeamsCase):
    """A configuration has no teams."""

    # Guards against keys that are asked for, or a field that is dropped, where there are no teams.
    async def test_a_configuration_without_teams_is_served_as_before(self) -> None:
        """What a caller sends in the field of the key is passed on, as any other field."""
        await self.start_serving(None)
        for index, fields in enumerate(({}, bearer(GOOD_KEY), {"Authorization": "Basic eDp5"})):
            for proxy in (self.owner, self.entry):
                request_id = f"plain-{index}-{proxy.host.name}"
                answer = await self.ask(proxy, request_id, f"{CLOSED}1", fields)
                self.assertEqual(answer.status, 200, request_id)
                (run,) = self.runs(request_id)
                self.assertEqual(run.values(KEY), list(fields.values()), request_id)
                self.assertEqual(run.values(TEAM), [], request_id)


if __name__ == "__main__":
    unittest.main()
