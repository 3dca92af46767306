"""Tests of keys that change, and of what may lose the team of a request, with real processes."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from tests.processes_case import SERVICE
from tests.teams_case import (
    CLOSED,
    ONCE,
    OPEN,
    REQUEST_ID,
    TEAM,
    Connection,
    TeamsCase,
    bearer,
    configuration,
    team,
)
from tools.http_messages import encode_chunk
from tools.relay import LinkCondition
from tools.soak._hosts import CONTROL_PORT, HostProcess

RED_KEY, BLUE_KEY, LATE_KEY = "key-of-red-4711", "key-of-blue-0815", "key-added-later-99"
RED, BLUE = team("red", RED_KEY), team("blue", BLUE_KEY)
MAX_BODY_BYTES = 1 << 20
CUT = LinkCondition(cuts_in=True, cuts_out=True)
MAX_TRIES = 50


class KeyChangeTest(TeamsCase):
    """Keys that a new version adds, withdraws or gives to another team."""

    async def asyncSetUp(self) -> None:
        """Put two teams in force."""
        await super().asyncSetUp()
        await self.start_serving([RED, BLUE])

    async def check(self, connection: Connection, request_id: str, key: str, expected: str) -> None:
        """Check that a request runs for a team, or that it is refused if none is expected."""
        connection.send(request_id, f"{ONCE}1", bearer(key))
        answer = await connection.answer()
        self.assertEqual(answer.status, 200 if expected else 401, request_id)
        teams = [run.values(TEAM) for run in self.runs(request_id)]
        self.assertEqual(teams, [[expected]] if expected else [], request_id)

    # Guards against a key that goes on being accepted on a connection that stays open.
    async def test_a_withdrawn_key_is_refused_on_a_kept_connection(self) -> None:
        """The connection stays open, and serves the keys that there still are."""
        connections = [await self.connect(proxy) for proxy in self.proxies]
        for index, connection in enumerate(connections):
            await self.check(connection, f"before-{index}", RED_KEY, "red")
        await self.put_in_force(configuration(2, [team("red", LATE_KEY), BLUE]))
        for index, connection in enumerate(connections):
            await self.check(connection, f"withdrawn-{index}", RED_KEY, "")
            await self.check(connection, f"kept-{index}", BLUE_KEY, "blue")
            await self.check(connection, f"added-{index}", LATE_KEY, "red")

    # Guards against a team that is kept with a connection, or with a key, beyond its version.
    async def test_a_key_that_moves_is_of_its_new_team(self) -> None:
        """Two teams swap their keys, then one of them goes away."""
        connections = [await self.connect(proxy) for proxy in self.proxies]
        for index, connection in enumerate(connections):
            await self.check(connection, f"first-{index}", RED_KEY, "red")
        await self.put_in_force(configuration(2, [team("red", BLUE_KEY), team("blue", RED_KEY)]))
        for index, connection in enumerate(connections):
            await self.check(connection, f"swapped-{index}-1", RED_KEY, "blue")
            await self.check(connection, f"swapped-{index}-2", BLUE_KEY, "red")
        await self.put_in_force(configuration(3, [team("red", BLUE_KEY, RED_KEY)]))
        for index, connection in enumerate(connections):
            await self.check(connection, f"gone-{index}-1", RED_KEY, "red")
            await self.check(connection, f"gone-{index}-2", BLUE_KEY, "red")

    # Guards against keys that are still checked, or dropped, once there are no teams any more, and
    # against routes that stay open after teams were added.
    async def test_teams_may_go_and_come_back(self) -> None:
        """All teams go with one version, and come back with the next."""
        connection = await self.connect(self.entry)
        await self.put_in_force(configuration(2, None))
        connection.send("without", f"{CLOSED}1", {})
        self.assertEqual((await connection.answer()).status, 200)
        await self.put_in_force(configuration(3, [RED]))
        await self.check(connection, "back", RED_KEY, "red")
        await self.check(connection, "still-gone", BLUE_KEY, "")

    # Guards against a team that is taken from another request on the same connection.
    async def test_pipelined_requests_each_have_their_own_key(self) -> None:
        """A refused one doesn't close the connection, nor change the order of the responses."""
        keys = (RED_KEY, "unknown", BLUE_KEY, "", RED_KEY, BLUE_KEY)
        teams = ("red", "", "blue", "", "red", "blue")
        for hops, proxy in ((1, self.owner), (2, self.entry)):
            with self.subTest(hops=hops):
                connection = await self.connect(proxy)
                for index, key in enumerate(keys):
                    fields = bearer(key) if key else {}
                    connection.send(f"ahead-{hops}-{index}", f"{CLOSED}{index}", fields)
                for index, name in enumerate(teams):
                    answer = await connection.answer()
                    self.assertEqual(answer.status, 200 if name else 401, index)
                    if name:
                        own_id = answer.head.fields[REQUEST_ID]
                        self.assertEqual(own_id, f"ahead-{hops}-{index}")
                    runs = [run.values(TEAM) for run in self.runs(f"ahead-{hops}-{index}")]
                    self.assertEqual(runs, [[name]] if name else [])

    # Guards against work by a withdrawn key that an entry proxy without the version accepts.
    async def test_an_owner_runs_nothing_by_a_key_withdrawn_in_its_version(self) -> None:
        """Nor for a team that held the key before; the entry proxy misses that version."""
        moved = team("blue", BLUE_KEY, LATE_KEY)
        await self.put_in_force(configuration(2, [team("red", RED_KEY, LATE_KEY), BLUE]))
        connection = await self.separate(self.entry, configuration(3, [moved]), self.owner)
        for request_id, key in (("withdrawn", RED_KEY), ("moved", LATE_KEY)):
            connection.send(request_id, f"{ONCE}1", bearer(key))
            self.assertEqual((await connection.answer()).status, 503)
            self.assertEqual(self.runs(request_id), [])

    # Guards against a key that is refused since an owner hasn't heard of it yet.
    async def test_an_owner_that_misses_a_version_runs_what_its_entry_proxy_admits(self) -> None:
        """The team is the one that the entry proxy knows."""
        form = configuration(2, [team("red", LATE_KEY), team("blue", BLUE_KEY, RED_KEY)])
        connection = await self.separate(self.owner, form, self.entry)
        await self.check(connection, "added", LATE_KEY, "red")
        await self.check(connection, "moved", RED_KEY, "blue")

    async def separate(
        self, behind: HostProcess, form: dict[str, Any], *ahead: HostProcess
    ) -> Connection:
        """Let a proxy miss a version for good; return a connection to the entry proxy.

        It has reached the owner, by a key that both versions give to one team.
        """
        with self.relay.condition([behind.host.ip], CUT):
            await self.put_in_force(form, *ahead)
            await self.kill(*self.core)
            # The relay holds what it received for that proxy, and would pass it on now.
            self.relay.reset([behind.host.ip])
        connection = await self.connect(self.entry)

        async def has_link() -> bool:
            connection.send("kept", f"{CLOSED}1", bearer(BLUE_KEY))
            return (await connection.answer()).status == 200

        await self.until(has_link)
        return connection

    # Guards against two versions of which one half is in force: keys are accepted whole or not.
    async def test_a_configuration_with_odd_teams_is_refused_whole(self) -> None:
        """The version before stays in force and is read back; a sound one may follow it."""
        added = team("green", LATE_KEY)
        odd: dict[str, Any] = {
            "two teams with one key": [RED, BLUE, added, team("black", RED_KEY)],
            "an empty key": [RED, BLUE, added, team("black", "")],
            "a key of another type": [RED, BLUE, added, {**BLUE, "name": "b", "api_keys": [7]}],
            "keys of another type": [RED, BLUE, added, {**BLUE, "name": "b", "api_keys": "abc"}],
            "no keys": [RED, BLUE, added, {"name": "black"}],
            "a name of another type": [RED, BLUE, added, {**team("", "x-key"), "name": 7}],
            "no name": [RED, BLUE, added, {"api_keys": ["x-key"]}],
            "a team of another type": [RED, BLUE, added, "black"],
            "teams of another type": {"green": added},
        }
        for name, teams in odd.items():
            with self.subTest(name):
                await self.check_refused(configuration(2, None) | {"tenants": teams})
        with self.subTest("a route whose public is of another type"):
            form = configuration(2, [RED, BLUE, added])
            form["listeners"][0]["route_rules"][0]["public"] = "false"
            await self.check_refused(form)
        connection = await self.connect(self.entry)
        await self.check(connection, "not-added", LATE_KEY, "")
        await self.check(connection, "kept", RED_KEY, "red")
        await self.put_in_force(configuration(2, [RED, BLUE, added]))
        await self.check(connection, "added", LATE_KEY, "green")

    async def check_refused(self, form: dict[str, Any]) -> None:
        """Check that a configuration is refused, and that the first one is read back."""
        # 412 would tell that another version is current.
        self.assertIn(await self.replace(form), (400, 422))
        url = f"http://{self.core[0].host.ip}:{CONTROL_PORT}/api/Config.Get"
        async with self.session.get(url) as response:
            self.assertEqual(await response.json(), configuration(1, [RED, BLUE]))


class TeamOfAttemptTest(TeamsCase):
    """What passes between the caller and the worker keeps the team."""

    async def asyncSetUp(self) -> None:
        """Put two teams in force."""
        await super().asyncSetUp()
        await self.start_serving([RED, BLUE])

    # Guards against a retry that goes to its worker without the team, or with the key.
    async def test_a_retry_keeps_the_team(self) -> None:
        """The worker beside the entry proxy refuses a request without running it."""
        nearest = await self.start_worker(self.entry)
        await self.until(lambda: self.is_served_by(self.entry))
        for tries in range(MAX_TRIES):
            nearest.refusals[:] = [503]
            answer = await self.ask(self.entry, f"again-{tries}", f"{CLOSED}1", bearer(RED_KEY))
            self.assertEqual(answer.status, 200)
            runs = [*self.runs(f"again-{tries}"), *self.runs(f"again-{tries}", nearest)]
            self.assertEqual([run.values(TEAM) for run in runs], [["red"]])
            self.assertNotIn(RED_KEY, str(runs))
            if not nearest.refusals:
                break
        self.assertEqual(nearest.refusals, [], "the worker refused no request")

    async def is_served_by(self, process: Any) -> bool:
        """Return whether both proxies know the worker beside one of them."""
        statuses = [await self.status(proxy) for proxy in self.proxies]
        return all(self.lists_worker(status, process) for status in statuses)

    # Guards against a call that loses the team for which its worker makes it.
    async def test_a_call_of_a_worker_keeps_the_team_of_its_parent(self) -> None:
        """Only while the parent runs, and only from the host on which it does."""
        cases = (("red", bearer(RED_KEY)), ("blue", bearer(BLUE_KEY)))
        for name, fields in cases:
            with self.subTest(name):
                parent = await self.begin_parent(f"parent-{name}", fields)
                await self.check_call(self.owner, f"parent-{name}.1", [name])
                await self.check_call(self.owner, f"parent-{name}.2", ["blue"], bearer(BLUE_KEY))
                await self.check_call(self.entry, f"parent-{name}.3", [])
                await self.check_call(self.owner, f"parent-{name}x.4", [])
                self.worker.may_end.set()
                self.assertEqual((await parent.answer()).status, 200)
                await self.check_call(self.owner, f"parent-{name}.5", [])

    # Guards against an id that opens a route which needs a key.
    async def test_a_call_of_a_worker_needs_a_key_as_others_do(self) -> None:
        """Its route isn't public."""
        parent = await self.begin_parent("parent", bearer(RED_KEY))
        answer = await self.ask(self.owner, "parent.1", f"{CLOSED}1", {})
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.runs("parent.1"), [])
        self.worker.may_end.set()
        self.assertEqual((await parent.answer()).status, 200)

    async def begin_parent(self, request_id: str, fields: dict[str, str]) -> Connection:
        """Send a request from the other host, and return once it runs and doesn't end."""
        self.worker.may_end.clear()
        connection = await self.connect(self.entry)
        connection.send(request_id, f"{ONCE}1", fields)
        await self.until(_as_async(lambda: bool(self.runs(request_id))))
        return connection

    async def check_call(
        self, process: Any, request_id: str, teams: list[str], fields: dict[str, str] | None = None
    ) -> None:
        """Check which team a call on a public route has, while its parent doesn't end."""
        connection = await self.connect(process)
        connection.send(request_id, f"{OPEN}1", fields or {})
        await self.until(_as_async(lambda: bool(self.runs(request_id))))
        (run,) = self.runs(request_id)
        self.assertEqual(run.values(TEAM), teams, request_id)

    # Guards against a body that is read, and held, for a request that is refused anyway.
    async def test_a_refusal_comes_before_the_body(self) -> None:
        """The caller sends the head alone."""
        framings = ({"Content-Length": str(MAX_BODY_BYTES)}, {"Transfer-Encoding": "chunked"})
        for framing in framings:
            for key in ({}, bearer("unknown")):
                for proxy in self.proxies:
                    with self.subTest(framing=framing, key=key, proxy=proxy.host.name):
                        connection = await self.connect(proxy)
                        connection.send("large", f"{ONCE}1", {**framing, **key}, "POST")
                        self.assertEqual((await connection.answer()).status, 401)
        self.assertEqual(self.runs("large"), [])

    # Guards against bytes of a refused body that are taken for the next request.
    async def test_a_refused_body_is_no_request(self) -> None:
        """The body that follows has the form of a request with a good key."""
        inner = (
            f"GET {CLOSED}1 HTTP/1.1\r\nHost: {SERVICE}.example\r\nAttempt-Id: inner\r\n"
            f"Authorization: Bearer {RED_KEY}\r\n\r\n"
        ).encode()
        for framing, body in (
            ({"Content-Length": str(len(inner))}, inner),
            ({"Transfer-Encoding": "chunked"}, encode_chunk(inner) + encode_chunk(b"")),
        ):
            with self.subTest(framing=framing):
                connection = await self.connect(self.entry)
                connection.send("outer", f"{ONCE}1", framing, "POST")
                connection.writer.write(body)
                self.assertEqual((await connection.answer()).status, 401)
                try:
                    connection.send("next", f"{CLOSED}1", bearer(RED_KEY))
                    answer = await connection.answer()
                except (asyncio.IncompleteReadError, ConnectionError):
                    continue
                self.assertEqual((answer.status, answer.head.fields[REQUEST_ID]), (200, "next"))
        self.assertEqual(self.runs("inner"), [])


class NewProxyTest(TeamsCase):
    """A proxy that has no version yet."""

    # Guards against a good key that is refused for good, since callers don't repeat after a 401.
    async def test_a_proxy_without_a_version_refuses_no_key(self) -> None:
        """It answers 503 until it has its first version; then keys are good or not."""
        await self.start_serving([RED])
        await self.kill(self.entry, *self.core)
        await self.start(self.entry)
        await self.until(self.accepts_connections)
        for fields in (bearer(RED_KEY), bearer("unknown"), {}):
            answer = await self.ask(self.entry, "early", f"{CLOSED}1", fields)
            self.assertEqual(answer.status, 503)
        self.assertEqual(self.runs("early"), [])
        await self.start(*self.core)
        statuses: list[int] = []

        async def is_served() -> bool:
            request_id = f"good-{len(statuses)}"
            statuses.append(
                (await self.ask(self.entry, request_id, f"{CLOSED}1", bearer(RED_KEY))).status
            )
            return statuses[-1] == 200

        await self.until(is_served)
        self.assertEqual(set(statuses) - {200, 503}, set())
        answer = await self.ask(self.entry, "unknown", f"{CLOSED}1", bearer("unknown"))
        self.assertEqual(answer.status, 401)

    async def accepts_connections(self) -> bool:
        """Return whether the proxy accepts the connections of callers."""
        try:
            await self.connect(self.entry)
        except OSError:
            return False
        return True


def _as_async(condition: Callable[[], bool]) -> Callable[[], Awaitable[bool]]:
    """Return a condition as an asynchronous one."""

    async def holds() -> bool:
        return condition()

    return holds


if __name__ == "__main__":
    unittest.main()
