"""Tests that the operators' interface doesn't show the document of a release."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from unittest import IsolatedAsyncioTestCase, main

from aiohttp import web
from aiohttp.test_utils import RawTestServer, TestClient

from cowslipvane.catalogue import RELEASE_KEY, Key, Release, Service, document_digest
from cowslipvane.tasks.operators import ResourceApi
from tools.single_replica import SingleReplica, event_log

# On the users' platform, the document that operators send holds the keys of teams in plain text.
SECRETS = ("key-of-the-first-release", "key-of-the-second-release")
RELEASES = tuple(
    Release(number=number, based_on=number - 1, document=f'{{"keys": ["{secret}"]}}')
    for number, secret in enumerate(SECRETS, start=1)
)
SPEC_FIELDS = {"number", "based_on", "document_characters", "document_digest"}
RELEASE_PATH = f"resources/{RELEASE_KEY}"


class ReleaseDocumentsTest(IsolatedAsyncioTestCase):
    """A replica with two releases, whose resources operators read and watch."""

    def setUp(self) -> None:
        """Accept the releases."""
        self.replica = SingleReplica()
        for release in RELEASES:
            self.replica.put((RELEASE_KEY, release), (Key("service", "s"), Service()))
        self.api = ResourceApi(
            membership=self.replica.membership,
            events=event_log(),
            replication=self.replica.replication,
            publisher=self.replica.publisher,
        )

    @asynccontextmanager
    async def client(self) -> AsyncIterator[TestClient[Any, Any]]:
        """Serve the API and open a client."""
        client: TestClient[Any, Any] = TestClient(RawTestServer(self.handle))
        async with client:
            yield client

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a request."""
        response = await self.api.handle(request, request.path.strip("/").split("/"))
        assert response is not None
        return response

    async def text(self, method: str, path: str, form: Any = None) -> str:
        """Return the body of a response."""
        async with self.client() as client, client.request(method, f"/{path}", json=form) as it:
            return await it.text()

    def check_spec(self, spec: dict[str, Any], release: Release) -> None:
        """Check that a specification tells which release it is."""
        self.assertEqual(set(spec), SPEC_FIELDS)
        self.assertEqual((spec["number"], spec["based_on"]), (release.number, release.based_on))
        self.assertEqual(spec["document_characters"], len(release.document))
        self.assertEqual(spec["document_digest"], document_digest(release))

    def check_secrecy(self, text: str) -> None:
        """Check that a response has no part of a document."""
        for secret in SECRETS:
            self.assertNotIn(secret, text)

    async def test_reading_resources_shows_no_document(self) -> None:
        """Neither all of them nor the release alone."""
        text = await self.text("GET", "resources")
        self.check_secrecy(text)
        found = {item["kind"]: item["spec"] for item in json.loads(text)["resources"]}
        self.check_spec(found["release"], RELEASES[1])
        text = await self.text("GET", RELEASE_PATH)
        self.check_secrecy(text)
        self.check_spec(json.loads(text)["spec"], RELEASES[1])

    async def test_history_shows_no_document(self) -> None:
        """The releases before the newest one are told apart by number and digest."""
        text = await self.text("GET", "history")
        self.check_secrecy(text)
        for change, release in zip(json.loads(text)["changes"], RELEASES, strict=True):
            (spec,) = [it["spec"] for it in change["resources"] if it["kind"] == "release"]
            self.check_spec(spec, release)

    async def test_watch_shows_no_document(self) -> None:
        """Each accepted version is a line."""
        async with self.client() as client, client.get("/watch?from=0") as response:
            lines = [(await response.content.readline()).decode() for _ in RELEASES]
        for line, release in zip(lines, RELEASES, strict=True):
            self.check_secrecy(line)
            (spec,) = [it["spec"] for it in json.loads(line)["resources"] if "number" in it["spec"]]
            self.check_spec(spec, release)

    async def test_dry_run_shows_no_document(self) -> None:
        """Neither that in force nor the one in its place."""
        after = Release(number=3, based_on=2, document=RELEASES[0].document)
        spec = {"number": 3, "based_on": 2, "document": after.document}
        form = {
            "operation_id": "o",
            "based_on": len(RELEASES),
            "resources": [{"kind": RELEASE_KEY.kind, "name": RELEASE_KEY.name, "spec": spec}],
            "dry_run": True,
        }
        text = await self.text("POST", "changes", form)
        self.check_secrecy(text)
        (effect,) = json.loads(text)["effects"]
        self.check_spec(effect["before"], RELEASES[1])
        self.check_spec(effect["after"], after)

    # Guards against a document that is read a character at a time, by the digests of its pieces.
    async def test_a_release_is_not_accepted_in_pieces(self) -> None:
        """Only replicas write releases as pieces of the one in force."""
        spec = {"number": 3, "based_on": 2, "document": "", "pieces": [[0, 1, ""]]}
        form = {
            "operation_id": "o",
            "based_on": len(RELEASES),
            "resources": [{"kind": RELEASE_KEY.kind, "name": RELEASE_KEY.name, "spec": spec}],
            "dry_run": True,
        }
        answer = json.loads(await self.text("POST", "changes", form))
        self.assertEqual(answer["outcome"], "invalid")
        self.assertIn("has no field pieces", answer["faults"][0]["message"])

    # Guards against a release that loses its document because an operator writes back what was
    # read.
    async def test_what_was_read_is_not_accepted_as_a_release(self) -> None:
        """The fields in place of the document are unknown in a specification."""
        spec = json.loads(await self.text("GET", RELEASE_PATH))["spec"]
        form = {
            "operation_id": "o",
            "based_on": len(RELEASES),
            "resources": [{"kind": RELEASE_KEY.kind, "name": RELEASE_KEY.name, "spec": spec}],
        }
        answer = json.loads(await self.text("POST", "changes", form))
        self.assertEqual(answer["outcome"], "invalid")
        self.assertEqual(self.replica.replica.catalogue.version, len(RELEASES))


if __name__ == "__main__":
    main()
