"""Tests of the resource API and its commands over real processes."""

import asyncio
import json
import signal
from collections.abc import Sequence
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase, main
from unittest.mock import patch

import aiohttp
from aiohttp import web
from aiohttp.test_utils import RawTestServer, TestClient, make_mocked_request

from cowslipvane.access import key_digest
from cowslipvane.catalogue import Key, Service, _catalogue
from cowslipvane.commands import diff_lines
from cowslipvane.tasks.operators import OperatorApi, ProcessApi, ResourceApi
from tools.fleet import EXAMPLES, Fleet, example_hosts
from tools.single_replica import SingleReplica, event_log

TIMEOUT_S = 20.0
DIGESTS = [key_digest("first-key"), key_digest("second-key")]
NO_QUOTA = {"rate": 0.0, "burst": 0.0}


class ResourceApiTest(IsolatedAsyncioTestCase):
    """A fleet of three replicas, each with a proxy."""

    async def asyncSetUp(self) -> None:
        """Start the replicas and apply the example's resources."""
        hosts = [host for host in example_hosts("quiros") if host.is_replica]
        self.fleet = Fleet(hosts=[host._replace(worker={}) for host in hosts])
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        self.fleet.start()
        self.leader = (await self.fleet.until_leader())["host"]
        self.servers = [item for ip in self.fleet.operators() for item in ("--server", ip)]
        self.file = str(EXAMPLES / "quiros" / "resources.toml")
        self.fleet.command("apply", "-f", self.file, *self.servers)
        await self.fleet.until_in_force(1, self.fleet.alive)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))
        self.addAsyncCleanup(self.session.close)

    async def request(
        self, method: str, path: str, form: Any = None, **fields: str
    ) -> tuple[int, Any, str]:
        """Return status, JSON and ETag of a response."""
        headers = {name.replace("_", "-"): value for name, value in fields.items()}
        url = f"http://{self.fleet.address(self.leader, 'operators')}/v1/{path}"
        async with self.session.request(method, url, json=form, headers=headers) as response:
            return response.status, await response.json(), response.headers.get("ETag", "")

    async def write(self, number: int) -> int:
        """Create one resource and return its version."""
        path = f"resources/traffic-policy/p{number}"
        _, response, _ = await self.request("PUT", path, {}, If_None_Match="*")
        return int(response["version"])

    async def test_single_resources_are_written_conditionally(self) -> None:
        """Each response has the documented status."""
        path = "resources/traffic-policy/counter"
        status, form, tag = await self.request("GET", path)
        self.assertEqual((status, form["version"], tag), (200, 1, '"1"'))
        self.assertEqual((await self.request("PUT", path, {"timeout": 2.0}))[0], 428)
        self.assertEqual((await self.request("PUT", path, {}, If_None_Match="*"))[0], 412)
        self.assertEqual((await self.request("PUT", path, {"x": 1}, If_Match=tag))[0], 422)
        spec = {"timeout": 2.0, "max_body_bytes": 1}
        first = await self.request("PUT", path, spec, If_Match=tag, Idempotency_Key="k")
        self.assertEqual((first[0], first[1]["version"]), (200, 2))
        resent = await self.request("PUT", path, spec, If_Match=tag, Idempotency_Key="k")
        self.assertEqual(resent, first)
        status, conflict, _ = await self.request("PUT", path, {"timeout": 1.0}, If_Match=tag)
        self.assertEqual((status, conflict["winner"]), (412, "k"))
        self.assertEqual((await self.request("DELETE", path, If_Match='"2"'))[0], 422)
        self.assertEqual((await self.request("GET", "resources/service/none"))[0], 404)
        self.assertEqual((await self.request("GET", path))[1]["spec"], spec)

    async def test_status_lists_the_proxies_behind_a_version(self) -> None:
        """A suspended proxy is listed by host until it has resumed and caught up."""
        suspended = next(host for host in self.fleet.alive if host != self.leader)
        self.fleet.signal_daemon(suspended, signal.SIGSTOP)
        version = await self.write(0)
        form: dict[str, Any] = {}
        async with asyncio.timeout(TIMEOUT_S):
            while form.get("status", {}).get("in_force") != 2:
                _, form, _ = await self.request("GET", "resources/traffic-policy/p0")
            self.assertIsNotNone(form["status"]["accepted_at"])
            if form["status"]["proxies"] == 3:
                self.assertEqual([lag["host"] for lag in form["status"]["behind"]], [suspended])
                self.assertIsNone(form["status"]["everywhere_at"])
            self.fleet.signal_daemon(suspended, signal.SIGCONT)
            # A resumed replica can cause an election, so the status may be missing for a while.
            while form.get("status", {}).get("in_force") != 3:
                _, form, _ = await self.request("GET", "resources/traffic-policy/p0")
        self.assertEqual((form["version"], form["status"]["behind"]), (version, []))
        self.assertGreaterEqual(form["status"]["everywhere_at"], form["status"]["accepted_at"])

    def team_file(self, name: str, digests: Sequence[str]) -> str:
        """Write a file with one team, and return its path."""
        path = self.fleet.folder / f"{name}.json"
        resource = {"kind": "team", "name": name, "spec": {"key_digests": digests}}
        path.write_text(json.dumps({"resource": [resource]}))
        return str(path)

    async def test_commands_on_teams(self) -> None:
        """A team is tried, applied, read, watched and changed like any other resource."""
        file = self.team_file("night", DIGESTS[:1])
        run = self.fleet.command
        with self.assertRaisesRegex(RuntimeError, r"^diff [^\n]*: \+ team/night\n"):
            run("diff", "-f", file, *self.servers)
        tried = json.loads(run("apply", "--dry-run", "-f", file, *self.servers))
        (effect,) = tried["effects"]
        self.assertEqual((tried["outcome"], effect["before"]), ("valid", None))
        self.assertEqual(json.loads(run("apply", "-f", file, *self.servers))["version"], 2)
        self.assertEqual(run("diff", "-f", file, *self.servers), "")
        await self.fleet.until_in_force(2, self.fleet.alive)
        found = json.loads(run("get", "team/night", *self.servers))
        self.assertEqual(found["spec"], {"key_digests": DIGESTS[:1], **NO_QUOTA})
        run("apply", "-f", self.team_file("night", DIGESTS), *self.servers)
        lines = [json.loads(line) for line in run("history", *self.servers).splitlines()]
        written = [change["resources"][0]["spec"] for change in lines[1:]]
        expected = [{"key_digests": digests, **NO_QUOTA} for digests in (DIGESTS[:1], DIGESTS)]
        self.assertEqual(written, expected)
        async with self.fleet.client() as client:
            async for line in client.watch(2):
                if line.get("accepted") == 3:
                    self.assertEqual(line["resources"][0]["spec"], expected[1])
                    break

    # Guards against a key that belongs to two teams, and against its digest in what a command
    # prints on standard error.
    async def test_a_second_team_with_the_same_key_is_refused(self) -> None:
        """The fault names both teams and not the digest."""
        self.fleet.command("apply", "-f", self.team_file("day", DIGESTS), *self.servers)
        with self.assertRaises(RuntimeError) as raised:
            self.fleet.command("apply", "-f", self.team_file("night", DIGESTS[1:]), *self.servers)
        self.assertIn("team/night: has a key of team/day", str(raised.exception))
        self.assertNotIn(DIGESTS[1], str(raised.exception))
        self.assertEqual((await self.request("GET", "resources/team/night"))[0], 404)

    async def test_watch_continues_without_a_gap_after_leader_failure(self) -> None:
        """The watch yields each version once and in order."""
        versions: list[int] = []
        expected_last_version = 5

        async def watch() -> None:
            async with self.fleet.client() as client:
                async for line in client.watch(0):
                    if "accepted" in line:
                        versions.append(line["accepted"])
                    if len(versions) == expected_last_version:
                        return

        task = asyncio.create_task(watch())
        self.addCleanup(task.cancel)
        based_on = [await self.write(number) for number in range(3)][-1]
        self.fleet.kill_daemon(self.leader)
        async with self.fleet.client() as client:
            form = {"operation_id": "later", "based_on": based_on, "resources": []}
            response = await client.change(form)
        await asyncio.wait_for(task, TIMEOUT_S)
        self.assertEqual((response["version"], versions), (expected_last_version, [1, 2, 3, 4, 5]))

    async def test_history_diff_and_get_commands(self) -> None:
        """The history command lists accepted changes, and diff applies nothing."""
        lines = self.fleet.command("history", *self.servers).splitlines()
        self.assertEqual([json.loads(line)["accepted"] for line in lines], [1])
        self.assertEqual(self.fleet.command("diff", "-f", self.file, *self.servers), "")
        changed = self.fleet.folder / "changed.json"
        spec = {"timeout": 9.0, "max_body_bytes": 262144}
        item = {"kind": "traffic-policy", "name": "counter", "spec": spec}
        changed.write_text(json.dumps({"resource": [item]}))
        with self.assertRaisesRegex(RuntimeError, r"timeout: 3.0 -> 9.0"):
            self.fleet.command("diff", "-f", str(changed), *self.servers)
        found = json.loads(self.fleet.command("get", "traffic-policy/counter", *self.servers))
        self.assertEqual((found["version"], found["spec"]["timeout"]), (1, 3.0))
        effect = {"kind": "service", "name": "s", "before": None, "after": {"a": 1}}
        self.assertEqual(diff_lines([effect]), ["+ service/s", "    a: null -> 1"])


class HistoryTest(IsolatedAsyncioTestCase):
    """Requests for versions that the history no longer has."""

    async def test_gap_is_reported(self) -> None:
        """A reader that is too far behind receives the oldest version to continue from."""
        self.enterContext(patch.object(_catalogue, "HISTORY_CHANGES", 2))
        replica = SingleReplica()
        for number in range(4):
            replica.put((Key("service", str(number)), Service()))
        api = ResourceApi(
            membership=replica.membership,
            events=event_log(),
            replication=replica.replication,
            publisher=replica.publisher,
        )
        for path in ("history", "watch"):
            request = make_mocked_request("GET", f"/v1/{path}?from=1")
            response = await api.handle(request, [path])
            assert isinstance(response, web.Response) and response.text
            self.assertEqual((response.status, json.loads(response.text)["oldest"]), (410, 2))
        response = await api.handle(make_mocked_request("GET", "/v1/history?from=2"), ["history"])
        assert isinstance(response, web.Response) and response.text
        changes = json.loads(response.text)["changes"]
        self.assertEqual([change["accepted"] for change in changes], [3, 4])


class NoProcessApi:
    """Stands in for the API of a process, and handles no path."""

    async def handle(self, request: web.BaseRequest, parts: list[str]) -> None:
        """Leave the request to the other APIs."""


class UnreadableBodyTest(IsolatedAsyncioTestCase):
    """Bodies of changes that can't be read."""

    # Guards against a key in the output of a command because the file around it isn't UTF-8.
    async def test_response_does_not_repeat_the_body(self) -> None:
        """It tells why the body can't be read."""
        replica = SingleReplica()
        resources = ResourceApi(
            membership=replica.membership,
            events=event_log(),
            replication=replica.replication,
            publisher=replica.publisher,
        )
        api = OperatorApi(
            process=cast(ProcessApi, NoProcessApi()),
            resources=resources,
            replicas=None,
            rollouts=None,
            token=None,
        )
        client: TestClient[Any, Any] = TestClient(RawTestServer(api.handle))
        async with client:
            for body in (b'{"spec": "first-key \xff"}', b'{"spec": "first-key"', b"first-key"):
                async with client.post("/v1/changes", data=body) as response:
                    sentence = (await response.json())["sentence"]
                self.assertEqual(response.status, 400)
                self.assertIn("can't be read: ", sentence)
                self.assertNotIn("first-key", sentence)


if __name__ == "__main__":
    main()
