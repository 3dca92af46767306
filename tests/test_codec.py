"""Tests of messages between builds, of which the earlier one doesn't know some fields."""

import dataclasses
import unittest
from dataclasses import dataclass

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipvane import daemon  # noqa: F401  # Registers every message.
from cowslipvane.access import key_digest
from cowslipvane.call import AttemptId, Offer, Request
from cowslipvane.catalogue import KINDS, Route, Service, Target, TrafficPolicy
from cowslipvane.types import (
    ADDED_FIELD,
    Header,
    Headers,
    HostName,
    KeyDigest,
    Seconds,
    ServiceName,
    TeamName,
    Version,
)
from cowslipvane.wire import Malformed, decode, decode_as, encode, encode_untagged
from cowslipvane.wire._codec import _MESSAGE_TYPES

STOCK = ServiceName("stock")
KEY, TEAM = key_digest("key"), TeamName("mill")
RANDOM = settings(max_examples=100, deadline=None, derandomize=True)


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlierOffer:
    """The fields of an offer in builds that know no teams (d54efe0)."""

    attempt: AttemptId
    service: ServiceName
    request: Request
    timeout: Seconds
    idempotent: bool
    caller: str
    more: bool = False
    goal: Seconds | None = None
    kind: str = ""
    nested: bool = False
    version: Version | None = None
    length: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlierRoute:
    """The fields of a route in builds that know no teams (d54efe0)."""

    targets: tuple[Target, ...]
    host: str = "*"
    path_prefix: str = "/"
    method: str = "*"
    headers: Headers = ()
    repeatable: bool | None = None
    attempts: int | None = None
    timeout: Seconds | None = None
    goal: Seconds | None = None
    priority: int = 0


REQUEST = Request("GET", "/stock?a=1", (Header("Host", "depot"),), b"body")
OFFER = Offer(
    attempt=AttemptId(HostName("a"), 1, 2),
    service=STOCK,
    request=REQUEST,
    timeout=1.5,
    idempotent=True,
    caller="c",
)
ROUTE = Route(targets=(Target(STOCK),))

TEXTS = st.text(max_size=9)
NUMBERS = st.integers(-(2**63), 2**63 - 1)
SECONDS = st.floats(allow_nan=False, allow_infinity=False)
SERVICES = TEXTS.map(ServiceName)
HEADERS = st.lists(st.builds(Header, TEXTS, TEXTS), max_size=3).map(tuple)
TEAMS = st.none() | TEXTS.map(TeamName)
DIGESTS = st.none() | TEXTS.map(KeyDigest)
OFFERS = st.builds(
    Offer,
    attempt=st.builds(AttemptId, TEXTS.map(HostName), NUMBERS, NUMBERS),
    service=SERVICES,
    request=st.builds(Request, TEXTS, TEXTS, HEADERS, st.binary(max_size=20)),
    timeout=SECONDS,
    idempotent=st.booleans(),
    caller=TEXTS,
    more=st.booleans(),
    goal=st.none() | SECONDS,
    kind=TEXTS,
    nested=st.booleans(),
    version=st.none() | NUMBERS.map(Version),
    length=NUMBERS,
    team=TEAMS,
    key=DIGESTS,
)
ROUTES = st.builds(
    Route,
    targets=st.lists(st.builds(Target, SERVICES, NUMBERS), max_size=3).map(tuple),
    host=TEXTS,
    path_prefix=TEXTS,
    method=TEXTS,
    headers=HEADERS,
    repeatable=st.none() | st.booleans(),
    attempts=st.none() | NUMBERS,
    timeout=st.none() | SECONDS,
    goal=st.none() | SECONDS,
    priority=NUMBERS,
    access_keys=st.sampled_from(["ignored", "optional", "required"]),
)


class BuildsBesideEachOtherTest(unittest.TestCase):
    """What a build that knows no teams makes of the messages of this one."""

    # Guards against proxies and replicas of two builds that can't read each other's messages while
    # no team is configured.
    def test_messages_without_teams_are_those_of_builds_before(self) -> None:
        """All fields that these know are sent, also those that have their defaults."""
        attempt, request = ["a", 1, 2], ["GET", "/stock?a=1", [["Host", "depot"]], b"body"]
        fields = [attempt, "stock", request, 1.5, True, "c", False, None, "", False, None, 0]
        self.assertEqual(encode(OFFER), cbor2.dumps(["Offer", fields]))
        fields = [[["stock", 1]], "*", "/", "*", [], None, None, None, None, 0]
        self.assertEqual(encode_untagged(ROUTE), cbor2.dumps(fields))
        self.assertEqual(encode(OFFER).hex(), OFFER_BYTES)
        self.assertEqual(encode_untagged(ROUTE).hex(), ROUTE_BYTES)

    # Guards against a stored configuration that changes with a build that has another default.
    def test_defaults_of_other_records_are_sent(self) -> None:
        """Only fields that are marked as added are left out."""
        self.assertEqual(cbor2.loads(encode_untagged(Service())), ["", ""])
        self.assertEqual(cbor2.loads(encode_untagged(TrafficPolicy())), [5.0, 1 << 20])

    # Guards against a build before that takes a request of a team, or a route that needs keys, for
    # one without.
    def test_messages_with_teams_are_not_readable_by_builds_before(self) -> None:
        """They know fewer fields; without teams they read the rest."""
        offers = (dataclasses.replace(OFFER, team=TEAM), dataclasses.replace(OFFER, key=KEY))
        for offer in offers:
            with self.assertRaises(Malformed):
                decode_as(EarlierOffer, encode_untagged(offer))
        for use in ("optional", "required"):
            route = dataclasses.replace(ROUTE, access_keys=use)
            with self.assertRaises(Malformed):
                decode_as(EarlierRoute, encode_untagged(route))

    @RANDOM
    @given(offer=OFFERS, route=ROUTES)
    def test_builds_read_each_others_messages_without_teams(
        self, offer: Offer, route: Route
    ) -> None:
        """Both ways, whatever the other fields are."""
        offer = dataclasses.replace(offer, team=None, key=None)
        route = dataclasses.replace(route, access_keys="ignored")
        for record, earlier in ((offer, EarlierOffer), (route, EarlierRoute)):
            sent = encode_untagged(record)
            received = decode_as(earlier, sent)
            for field in dataclasses.fields(earlier):
                self.assertEqual(getattr(received, field.name), getattr(record, field.name))
            self.assertEqual(encode_untagged(received), sent)
            self.assertEqual(decode_as(type(record), encode_untagged(received)), record)

    @RANDOM
    @given(offer=OFFERS, route=ROUTES)
    def test_messages_are_the_same_after_their_encoding(self, offer: Offer, route: Route) -> None:
        """A team alone and a key alone are kept apart."""
        self.assertEqual(decode(encode(offer)), offer)
        self.assertEqual(decode_as(Route, encode_untagged(route)), route)

    # Guards against a field that is marked as added and never left out, since others follow it.
    def test_added_fields_are_the_last_ones(self) -> None:
        """They have defaults, too."""
        added = 0
        for kind in (*_MESSAGE_TYPES.values(), *KINDS.values()):
            marks = [ADDED_FIELD.keys() <= it.metadata.keys() for it in dataclasses.fields(kind)]
            self.assertEqual(marks, sorted(marks), kind)
            added += sum(marks)
            for field, is_added in zip(dataclasses.fields(kind), marks, strict=True):
                self.assertFalse(is_added and field.default is dataclasses.MISSING, field.name)
        self.assertEqual(added, 5)


# Computed on d54efe0, which knows no teams.
OFFER_BYTES = (
    "82654f666665728c83616101026573746f636b84634745546a2f73746f636b3f613d31818264486f737465646570"
    "6f7444626f6479fb3ff8000000000000f56163f4f660f4f600"
)
ROUTE_BYTES = "8a81826573746f636b01612a612f612a80f6f6f6f600"


if __name__ == "__main__":
    unittest.main()
