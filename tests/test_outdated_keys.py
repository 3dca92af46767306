"""Tests of requests with keys that an entry proxy decides about by a version that is replaced."""

import asyncio
import dataclasses
import unittest
from collections.abc import Callable
from unittest.mock import patch

from cowslipvane.access import KeyUse, OfTeam, key_digest, key_of, team_of
from cowslipvane.call import KEY_FIELD, Answer, Call, Offer, Refused
from cowslipvane.catalogue import (
    Key,
    Resource,
    Route,
    Service,
    Snapshot,
    Spec,
    Target,
    Team,
    combine_digests,
    resource_digest,
)
from cowslipvane.refusal import NoUpstream, Refusal, RouteOutdated
from cowslipvane.subscription import Subscription
from cowslipvane.types import Header, TeamName, Version
from tests.callers_case import LISTENER, URL, CallersTestCase
from tests.test_owner import SERVICE, OwnerTestCase, offer

KEY = "the-key-of-a-team"
MILL, BAKERY = TeamName("mill"), TeamName("bakery")
BEARER = f"Bearer {KEY}"


def apply(
    subscription: Subscription, version: int, use: KeyUse, holder: TeamName | None = None
) -> None:
    """Put a version in force whose only route uses keys in a way, and in which a team has the key.

    Another team has another key.
    """
    number = Version(version)
    specs: dict[Key, Spec] = {
        Key("service", SERVICE): Service(),
        Key("route", "r"): Route(targets=(Target(SERVICE),), access_keys=use),
        Key("team", "other"): Team(key_digests=(key_digest("other-key"),)),
    }
    if holder is not None:
        specs[Key("team", holder)] = Team(key_digests=(key_digest(KEY),))
    resources = tuple(Resource(key, spec, number) for key, spec in specs.items())
    subscription.raise_floor(number)
    digest = combine_digests(map(resource_digest, resources))
    subscription.apply_snapshot(Snapshot(number, resources, digest))
    assert subscription.version == number


class Offered:
    """The offers of an entry proxy that acts on version 1, by what it decided."""

    @staticmethod
    def of_team(serial: int, path: str = "/ok") -> Offer:
        """Return an offer of a request with the key of a team."""
        offered = offer(serial, path, version=Version(1))
        return dataclasses.replace(offered, team=MILL, key=key_digest(KEY))

    @staticmethod
    def anonymous(serial: int) -> Offer:
        """Return an offer of a request for no team; it is the same if keys were ignored."""
        return offer(serial, "/ok", version=Version(1))

    @staticmethod
    def unknown(serial: int) -> Offer:
        """Return an offer by a public route of a request with a key that no team has."""
        return dataclasses.replace(Offered.anonymous(serial), key=key_digest(KEY))

    @staticmethod
    def unchecked(serial: int) -> Offer:
        """Return an offer by a route that ignored keys, so that the key itself comes along."""
        offered = offer(serial, "/ok", version=Version(1))
        field = Header(KEY_FIELD.lower(), BEARER)
        return dataclasses.replace(offered, request=offered.request._replace(headers=(field,)))

    @staticmethod
    def nested(serial: int) -> Offer:
        """Return an offer of a call without a key that a request of a team leads to."""
        return dataclasses.replace(offer(serial, "/ok", version=Version(1)), team=MILL)


# For each: the offer, the newer version, and whether the request is still run by it.
CASES: dict[str, tuple[Callable[[int], Offer], KeyUse, TeamName | None, bool]] = {
    "the key is still the team's": (Offered.of_team, "required", MILL, True),
    "the key was withdrawn": (Offered.of_team, "required", None, False),
    "the key was moved to another team": (Offered.of_team, "required", BAKERY, False),
    "made public, the key is still the team's": (Offered.of_team, "optional", MILL, True),
    "made public, and the key was withdrawn": (Offered.of_team, "optional", None, False),
    "made public, and the key was moved": (Offered.of_team, "optional", BAKERY, False),
    "keys are ignored now, the key was withheld": (Offered.of_team, "ignored", MILL, False),
    "a public route needs keys now": (Offered.anonymous, "required", MILL, False),
    "a public route is still public": (Offered.anonymous, "optional", MILL, True),
    "a public route ignores keys now": (Offered.anonymous, "ignored", None, True),
    "a public route, and the unknown key is a team's now": (
        Offered.unknown,
        "optional",
        MILL,
        False,
    ),
    "a public route, and the key is still unknown": (Offered.unknown, "optional", None, True),
    "a closed route, and the unknown key is a team's": (Offered.unknown, "required", MILL, False),
    "the key came along, and keys are needed now": (Offered.unchecked, "required", MILL, False),
    "the key came along, and is read now": (Offered.unchecked, "optional", MILL, False),
    "the key came along, and is unknown now": (Offered.unchecked, "optional", None, False),
    "the key came along, and is still ignored": (Offered.unchecked, "ignored", MILL, True),
    "a nested call by a route that is still public": (Offered.nested, "optional", None, True),
    "a nested call by a route that needs keys now": (Offered.nested, "required", MILL, False),
    "a nested call by a route that ignores keys now": (Offered.nested, "ignored", None, False),
}


class OwnerOfNewerKeysTest(OwnerTestCase):
    """An owner with a newer version than the entry proxies of its requests."""

    # Guards against UNASKED and CONFIG: a request that runs for a team whose key was withdrawn or
    # moved, or with the key itself, since only its entry proxy decides and has the version late.
    async def test_request_that_the_newer_version_treats_otherwise_is_not_run(self) -> None:
        """One that it treats the same is run."""
        run = 0
        for serial, (case, (make_offer, use, holder, runs)) in enumerate(CASES.items(), start=2):
            with self.subTest(case):
                apply(self.subscription, serial, use, holder)
                await self.owner.offer(make_offer(serial), self.inbox.reply)
                reply = await self.inbox.next()
                run += runs
                if runs:
                    self.assertIsInstance(reply, Answer)
                else:
                    assert isinstance(reply, Refused), reply
                    self.assertEqual(reply.refusal, RouteOutdated(version=Version(serial)))
                self.assertEqual(len(self.worker.received), run)

    # Guards against an owner that overrules an entry proxy which knows more.
    async def test_request_by_the_same_or_a_newer_version_is_run(self) -> None:
        """Also if the owner's version would refuse it."""
        apply(self.subscription, 1, "required")
        await self.owner.offer(Offered.of_team(1), self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Answer)
        later = dataclasses.replace(Offered.of_team(2), version=Version(2))
        await self.owner.offer(later, self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Answer)

    # Guards against a request that runs long after its key was withdrawn, since it had been queued.
    async def test_queued_request_is_not_started_once_its_key_is_withdrawn(self) -> None:
        """The owner gets the newer version while the request waits for a slot."""
        apply(self.subscription, 1, "required", MILL)
        await self.begin(Offered.of_team(1, "/wait"))
        await self.owner.offer(Offered.of_team(2), self.inbox.reply)
        apply(self.subscription, 2, "required", BAKERY)
        self.worker.release.set()
        replies = [await self.inbox.next(), await self.inbox.next()]
        self.assertEqual(sorted(type(reply).__name__ for reply in replies), ["Answer", "Refused"])
        self.assertEqual(self.worker.received, ["/wait"])


class RecordingDispatcher:
    """Refuses a first call as routed by a replaced version if a test says so, others otherwise."""

    def __init__(self, *, outdated: Callable[[], Version] | None) -> None:
        self.calls: list[Call] = []
        self._outdated = outdated

    async def dispatch(self, call: Call) -> Refusal:
        """Record and refuse a call."""
        self.calls.append(call)
        if len(self.calls) == 1 and self._outdated is not None:
            return RouteOutdated(version=self._outdated())
        return NoUpstream(service=call.rules.service)


class EntryTest(CallersTestCase):
    """An entry proxy, which decides about requests with the key of a team."""

    async def asyncSetUp(self) -> None:
        """Replace the dispatcher by one that records calls."""
        await super().asyncSetUp()
        self.use_dispatcher(None)

    def use_dispatcher(self, outdated: Callable[[], Version] | None) -> None:
        """Let the first call be refused as outdated by the version that a function returns."""
        self.recording = RecordingDispatcher(outdated=outdated)
        self.callers._dispatcher = self.recording  # type: ignore[assignment]

    def apply(self, version: int = 1, use: KeyUse = "required", *, held: bool = True) -> None:
        """Put a version in force in which the team has the key or hasn't."""
        apply(self.subscription, version, use, MILL if held else None)
        self.configuration_applied.send()

    def soon(self, delay: float, act: Callable[[], None]) -> None:
        """Do something a little later."""
        asyncio.get_running_loop().call_later(delay, act)

    async def get(self, **headers: str) -> tuple[int, str, str]:
        """Send a call with the key; return the status, the code and the body of its refusal."""
        async with self.session.get(URL, headers={KEY_FIELD: BEARER, **headers}) as response:
            code = str((await response.json())["code"])
            return response.status, code, await response.text()

    def routed(self) -> list[tuple[Version | None, bool]]:
        """Return the version by which each call was routed, and whether it is the team's."""
        of_team = OfTeam(team=MILL, digest=key_digest(KEY))
        return [(call.version, call.access == of_team) for call in self.recording.calls]

    # Guards against 401 for a key that has been added, from a proxy that has the version late.
    async def test_unknown_key_waits_for_a_version_that_is_known(self) -> None:
        """The proxy has heard of the version, whose update is on its way."""
        self.apply(held=False)
        self.subscription.record_accepted(Version(2))
        self.soon(0.1, lambda: self.apply(2))
        self.assertEqual((await self.get())[1], "no-upstream")
        self.assertEqual(self.routed(), [(2, True)])

    # Guards against 401 by a version of which the proxy knows that it has been replaced.
    async def test_unknown_key_waits_for_versions_that_become_known_in_the_meantime(self) -> None:
        """The version that the request waited for lacks the key, and the one behind it has it."""

        def apply_second() -> None:
            self.subscription.record_accepted(Version(3))
            self.apply(2, held=False)

        self.apply(held=False)
        self.subscription.record_accepted(Version(2))
        self.soon(0.1, apply_second)
        self.soon(0.2, lambda: self.apply(3))
        self.assertEqual((await self.get())[1], "no-upstream")
        self.assertEqual(self.routed(), [(3, True)])

    # Guards against the same after an owner has refused the request by a newer version.
    async def test_request_that_is_routed_again_waits_for_versions_that_are_known(self) -> None:
        """The key was withdrawn in the owner's version, and is there again in the one behind it."""

        def outdated() -> Version:
            self.subscription.record_accepted(Version(3))
            self.apply(2, held=False)
            self.soon(0.1, lambda: self.apply(3))
            return Version(2)

        self.use_dispatcher(outdated)
        self.apply()
        self.assertEqual((await self.get())[1], "no-upstream")
        self.assertEqual(self.routed(), [(1, True), (3, True)])

    # Guards against 401 for a good key from a proxy that is cut off from the replicas.
    async def test_unknown_key_is_not_refused_for_that_if_the_version_is_late(self) -> None:
        """The caller is told to come again, in time to do so."""
        self.apply(held=False)
        self.subscription.record_accepted(Version(2))
        async with asyncio.timeout(0.4):
            refused = await self.get(**{"X-Request-Timeout-Ms": "400"})
        self.assertEqual(refused[:2], (503, "route-outdated"))
        self.assertEqual(self.routed(), [])

    # Guards against callers without a key whose requests a proxy that is cut off holds for as long
    # as they like.
    async def test_caller_with_a_long_timeout_is_refused_in_time(self) -> None:
        """The wait is no longer than for a call with the usual timeout."""
        self.apply(held=False)
        self.subscription.record_accepted(Version(2))
        with patch("cowslipvane.tasks.callers._router.MAX_NEWER_VERSION_TIMEOUT", 0.4):
            async with asyncio.timeout(0.4):
                refused = await self.get(**{"X-Request-Timeout-Ms": "1000000000"})
        self.assertEqual(refused[:2], (503, "route-outdated"))

    # Guards against a refusal that names another version than the one that lacks the key, and one
    # that repeats the key to whoever reads the logs.
    async def test_refusal_tells_the_version_and_not_the_key(self) -> None:
        """It is true for the newest version that is known to be accepted."""
        self.apply(3, held=False)
        self.subscription.record_accepted(Version(3))
        status, code, body = await self.get()
        self.assertEqual((status, code), (401, "key-unknown"))
        self.assertIn("version 3 of the configuration", body)
        told = body + str(list(self.events.select()))
        for secret in (KEY, key_digest(KEY)):
            self.assertNotIn(secret, told)

    async def test_missing_and_odd_keys_have_codes_of_their_own(self) -> None:
        """Neither depends on the version's keys."""
        self.apply()
        async with self.session.get(URL) as response:
            self.assertEqual(response.status, 401)
            self.assertEqual((await response.json())["code"], "key-missing")
        self.assertEqual((await self.get(Authorization=f"Basic {KEY}"))[1], "key-unreadable")

    # Guards against 401, or a request that passes without a key, before there are any keys.
    async def test_without_a_version_the_caller_comes_again(self) -> None:
        """The proxy has just started, and its first version doesn't come."""
        async with asyncio.timeout(0.3):
            refused = await self.get(**{"X-Request-Timeout-Ms": "300"})
        self.assertEqual(refused[:2], (503, "no-configuration"))

    # Guards against UNASKED: a public route's request that runs for no team, though a team has its
    # key in the version of the owner, which wasn't told of the key.
    async def test_unknown_key_of_a_public_request_is_told_to_the_owner(self) -> None:
        """The request isn't held up for it; a key that can't be read has no digest."""
        self.apply(use="optional", held=False)
        self.subscription.record_accepted(Version(2))
        await self.get()
        await self.get(Authorization=f"Basic {KEY}")
        keys = [(team_of(call.access), key_of(call.access)) for call in self.recording.calls]
        self.assertEqual(keys, [(None, key_digest(KEY)), (None, None)])

    # Guards against a key that is hidden from the decision, and one that is passed on after it.
    async def test_connection_field_that_names_the_key_changes_nothing(self) -> None:
        """The key is read, and neither field goes on."""
        self.apply()
        self.assertEqual((await self.get(Connection=KEY_FIELD))[1], "no-upstream")
        self.assertEqual(self.routed(), [(1, True)])
        [call] = self.recording.calls
        names = {name.lower() for name, _ in call.request.headers}
        self.assertFalse(names & {"authorization", "connection"})
        self.assertEqual(call.request.header("X-Team"), MILL)

    # Guards against a connection whose later requests pass with a key that was withdrawn after its
    # first one.
    async def test_each_request_of_a_connection_is_decided_by_the_version_at_its_head(self) -> None:
        """Prefetched requests are decided about when they arrive, behind one that is answered."""
        self.apply()
        reader, writer = await asyncio.open_connection(*LISTENER)
        head = f"GET /stock HTTP/1.1\r\nHost: h\r\n{KEY_FIELD}: {BEARER}\r\n\r\n".encode()
        writer.write(head * 3)
        await self.until_received(reader, b"no-upstream", 3)
        self.apply(2, held=False)
        writer.write(head * 2)
        await self.until_received(reader, b"key-unknown", 2)
        writer.close()
        self.assertEqual(self.routed(), [(1, True)] * 3)

    async def until_received(self, reader: asyncio.StreamReader, code: bytes, count: int) -> None:
        """Read the refusals of pipelined requests."""
        received = b""
        async with asyncio.timeout(5):
            while received.count(code) < count:
                received += await reader.readuntil(b"}")
        self.assertEqual(received.count(b"HTTP/1.1 "), count)

    # Guards against a nested call that gets past a route which needs keys by its id alone.
    async def test_nested_call_needs_a_public_route(self) -> None:
        """There it gets the team of the request that the upstream runs."""
        self.owner.running["parent"] = MILL
        ids = {"X-Request-Id": "parent.1"}
        for version, use, code, team in (
            (1, "required", "key-missing", None),
            (2, "optional", "no-upstream", MILL),
            (3, "ignored", "no-upstream", None),
        ):
            self.apply(version, use)  # type: ignore[arg-type]
            async with self.session.get(URL, headers=ids) as response:
                self.assertEqual((await response.json())["code"], code, use)
            if code == "no-upstream":
                self.assertEqual(self.recording.calls[-1].request.header("X-Team"), team, use)


if __name__ == "__main__":
    unittest.main()
