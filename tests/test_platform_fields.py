"""Tests that nothing of what the platform's operators ask for is dropped in silence."""

import copy
import inspect
import json
import math
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipvane.catalogue import (
    RELEASE_KEY,
    Accepted,
    Invalid,
    Key,
    Release,
    Resource,
    Spec,
)
from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.metrics import Metrics
from cowslipvane.platform._configuration import decode_configuration
from cowslipvane.platform._fields import listed_parts
from cowslipvane.platform._front_end import PlatformFrontEnd, _Control
from cowslipvane.platform._known_fields import _KEPT_IDLE_S, _MAX_HEAD_LINE_BYTES
from cowslipvane.platform._settings import load
from cowslipvane.tasks import Components, Derivation, Releases
from cowslipvane.tasks._front_end import settings_detail
from cowslipvane.tasks.http._listener import MAX_FIELD_BYTES
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Address, DataCentre, HostName, Version
from tests.teams_case import configuration, team
from tests.test_platform import CONFIGURATION, RULE, with_rule
from tools.fleet import ROOT

TEAMS = (team("red", "key-of-red-4711"), team("blue", "key-of-blue-0815"))
SECRET = "4cc0unt-k3y"
TEAM: dict[str, Any] = {"name": "pulo", "api_keys": [SECRET]}
# All fields that a site without teams sends.
WHOLE: dict[str, Any] = CONFIGURATION | {
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "clusters": [
        {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 120,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("wuno", "huvo")
    ],
}
SCALARS = st.sampled_from([SECRET, "", None, True, 0, -1, 1.5, 10**400, math.nan, math.inf])
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.just("name"), inner),
    max_leaves=4,
)
FUZZ = settings(derandomize=True, max_examples=500, deadline=None, database=None)
BOUNDS = {"grace_period_s": 6, "propagation_s": 2, "exposure_share": 0.2}
SETTINGS = """
host = "127.0.0.9"
data_centre = "north"
roles = ["{role}"]
data_folder = "/data"
[security]
allow_unauthenticated = true
[platform]
ip = "127.0.0.9"
internal_ports = [27353, 27360]
seeds = ["127.0.0.9:27362"]
callers = "127.0.0.9:27361"
control = "127.0.0.9:27362"
bounds = '{bounds}'
contracts = '{contracts}'
"""


def unread(form: Any) -> tuple[str, ...]:
    """Return what isn't acted on of a configuration."""
    return decode_configuration(json.dumps(form).encode()).unread


def log(observer: Any = None) -> EventLog:
    """Return an event log."""
    origin = Origin(HostName("h"), DataCentre("d"), 1)
    return EventLog(origin=origin, clock=HybridClock(), observer=observer)


def tables(form: Any) -> Iterator[dict[str, Any]]:
    """Yield all objects of a document."""
    match form:
        case dict():
            yield form
            for value in form.values():
                yield from tables(value)
        case list():
            for item in form:
                yield from tables(item)


class UnreadFieldsTest(unittest.TestCase):
    """The fields of a configuration that this build should act on and doesn't."""

    def test_a_configuration_that_is_served_whole_has_none(self) -> None:
        """Fields that are deliberately not used aren't named, or operators would stop reading."""
        self.assertEqual(unread(WHOLE), ())

    # Guards against a configuration that is acknowledged and in force, while what it promises
    # isn't kept and nobody is told (issue 52).
    def test_fields_that_are_not_served_are_named(self) -> None:
        """Without their values, one of which may be a key."""
        limits = {"priority": 1, "rate_per_s": 8, "burst": 9}
        teams = [TEAM, TEAM | {"name": "b", "api_keys": []} | limits]
        self.assertEqual(unread(WHOLE | {"tenants": teams}), ("tenants[].priority",))
        # Those that aren't named are acted on (test_platform_teams).
        no_limits = {"rate_per_s": 0, "burst": 0}
        self.assertEqual(unread(WHOLE | {"tenants": [TEAM | no_limits]}), ())

    # Guards against the next field that the pages add, and that nothing here reads.
    def test_unknown_fields_are_named_at_each_level(self) -> None:
        """Each one once, however many entries of a list have it."""
        clusters = {"weighted_clusters": [{"service": "wuno", "weight": 1}] * 3}
        form = copy.deepcopy(
            WHOLE | with_rule(action={**RULE["action"], **clusters}) | {"extra": SECRET}
        )
        del form["listeners"][0]["route_rules"][0]["action"]["service"]
        form["listeners"] = [*form["listeners"], form["listeners"][0] | {"host": "other.example"}]
        for table in list(tables(form)):
            table["added"] = {"deep": [SECRET]}
        expected = (
            "added",
            "clusters[].added",
            "extra",
            "limits.added",
            "listeners[].added",
            "listeners[].route_rules[].action.added",
            "listeners[].route_rules[].action.weighted_clusters[].added",
            "listeners[].route_rules[].added",
            "listeners[].route_rules[].match.added",
        )
        self.assertEqual(unread(form), expected)

    def test_values_that_ask_for_more_than_is_done_are_named(self) -> None:
        """A worker with TLS would get plain text, and a longer head would be refused."""
        cluster = WHOLE["clusters"][0] | {"tls": True, "protocol": "h2"}
        limits = WHOLE["limits"] | {"max_header_bytes": 1 << 20, "idle_timeout_s": 86400}
        found = unread(WHOLE | {"clusters": [cluster, WHOLE["clusters"][1]], "limits": limits})
        expected = ("clusters[].protocol", "clusters[].tls")
        self.assertEqual(found, (*expected, "limits.idle_timeout_s", "limits.max_header_bytes"))

    def test_the_limits_that_are_kept_are_those_of_the_listener(self) -> None:
        """Guards against another listener that refuses what the table says is taken."""
        keep_alive = inspect.signature(RequestHandler).parameters["keepalive_timeout"].default
        self.assertLessEqual(_KEPT_IDLE_S, keep_alive)
        self.assertEqual(_MAX_HEAD_LINE_BYTES, MAX_FIELD_BYTES)

    def test_their_number_and_length_is_limited(self) -> None:
        """The event that names them is kept in memory and sent to operators."""
        form = WHOLE | {f"f{number}": 1 for number in range(500)} | {"x" * 500: 1, "a b\n": 1}
        found = unread(form)
        self.assertEqual(found[-1], "and 481 more")
        self.assertIn("?", found)
        self.assertLess(len(", ".join(found)), 1000)

    # Guards against a fault of another kind, which would be answered 500 and sent again.
    @FUZZ
    @given(st.data())
    def test_any_value_anywhere_is_read_or_refused(self, data: st.DataObject) -> None:
        """What is named of it is never the value itself."""
        form = copy.deepcopy(WHOLE)
        table = data.draw(st.sampled_from(list(tables(form))))
        name = data.draw(st.sampled_from([*table, "added"]))
        table[name] = data.draw(VALUES)
        try:
            found = unread(form)
        except ValueError:
            return
        self.assertNotIn(SECRET, " ".join(found))


class LostPartsTest(unittest.TestCase):
    """Parts of a configuration that are lost as others take their place."""

    def test_a_later_route_or_service_of_one_name_is_told(self) -> None:
        """Guards against a dict that keeps the last of two entries, and nobody knows."""
        form = copy.deepcopy(WHOLE)
        form["listeners"].append({"host": "jepu.example", "route_rules": [RULE | {"type": "x"}]})
        form["clusters"].append(form["clusters"][0])
        expected = (
            "clusters[2] (of the same name as clusters[0])",
            "listeners[1].route_rules[0] (of the same name as listeners[0].route_rules[0])",
        )
        self.assertEqual(unread(form), expected)

    # Guards against a route that gets no request, since another one has the same callers.
    def test_hosts_that_callers_can_not_tell_apart_are_told(self) -> None:
        """Routing takes a host without regard to case, a port or a dot at its end."""
        for host in ("JEPU.example", "jepu.example.", "jepu.example:8080"):
            listeners = [*WHOLE["listeners"], WHOLE["listeners"][0] | {"host": host}]
            part = "listeners[1].route_rules[0] (of the same name as listeners[0].route_rules[0])"
            self.assertEqual(unread(WHOLE | {"listeners": listeners}), (part,))

    def test_a_service_beside_weighted_ones_is_told(self) -> None:
        """Requests go to the weighted ones alone."""
        weighted = {"weighted_clusters": [{"service": "huvo", "weight": 1}]}
        found = unread(WHOLE | with_rule(action={**RULE["action"], **weighted}))
        part = "listeners[].route_rules[].action.service (weighted_clusters takes its place)"
        self.assertEqual(found, (part,))

    def test_a_name_that_an_object_has_twice_is_told(self) -> None:
        """Guards against a value that the reader of JSON drops."""
        body = json.dumps(WHOLE).replace('"type":', '"type": "idempotent", "type":').encode()
        decoded = decode_configuration(body)
        self.assertEqual(decoded.unread, ("type (one object has it more than once)",))
        self.assertEqual(
            decoded.resources, decode_configuration(json.dumps(WHOLE).encode()).resources
        )


class TermsTest(unittest.TestCase):
    """The bounds and parts of the rules in the settings file."""

    def setUp(self) -> None:
        """Make a folder for settings files."""
        folder = tempfile.TemporaryDirectory(prefix="cowslipvane-")
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"

    def write(self, role: str, bounds: str, contracts: str) -> None:
        """Write a settings file."""
        self.path.write_text(SETTINGS.format(role=role, bounds=bounds, contracts=contracts))

    def test_those_that_are_kept_are_not_named(self) -> None:
        """The event of the start is then the same as without them."""
        for role in ("replica", "proxy"):
            self.write(role, json.dumps(BOUNDS), '["base", "drain"]')
            self.assertEqual(settings_detail(PlatformFrontEnd(path=self.path)), {})

    # Guards against a part of the rules that the platform has put in force and this build doesn't
    # know of, as it was with teams (issue 52).
    def test_those_that_are_not_kept_are_named(self) -> None:
        """By name, also unknown ones, and bounds that are tighter than fixed times."""
        bounds = BOUNDS | {"propagation_s": 0.5, "revoke_s": 1, "revoke_when_partitioned": True}
        self.write("proxy", json.dumps(bounds | {"added_s": 1}), '["base", "quotas", "gossip", 7]')
        expected = (
            "bounds.added_s",
            "bounds.propagation_s",
            "bounds.revoke_s",
            "contracts.?",
            "contracts.gossip",
            "contracts.quotas",
        )
        front_end = PlatformFrontEnd(path=self.path)
        self.assertEqual(settings_detail(front_end), {"unread": ", ".join(expected)})

    # Guards against bounds of quotas that are rendered, named by nobody and acted on by nobody.
    def test_replicas_take_the_bounds_of_quotas(self) -> None:
        """Proxies have no use for them, and start whatever they are."""
        bounds = {"quota_window_s": 7, "quota_overshoot": 0.3, "quota_slack": 9}
        self.write("replica", json.dumps(BOUNDS | bounds), '["base", "quota"]')
        loaded = load(self.path)
        quotas = loaded.product.quotas
        self.assertEqual((quotas.window, quotas.overshoot, quotas.slack), (7, 0.3, 9))
        self.assertEqual(loaded.unread, ())
        self.write("proxy", json.dumps(BOUNDS | {"quota_slack": -1}), "[]")
        self.assertEqual(load(self.path).unread, ())

    def test_settings_that_are_not_rendered_are_usable(self) -> None:
        """Guards against a process that doesn't start, since a table of the platform is empty."""
        for text in ("{{bounds|json}}", "", "null", "7", '["x"', "[" * 100_000):
            self.write("replica", text, text)
            self.assertEqual(load(self.path).unread, ())

    def test_a_proxy_keeps_its_settings_whatever_share_a_bad_version_may_get(self) -> None:
        """Only replicas decide about rollouts, so only they may refuse to start for it."""
        self.write("proxy", '{"exposure_share": 7}', "[]")
        self.assertEqual(load(self.path).unread, ())

    def test_the_templates_ask_for_both(self) -> None:
        """Guards against a template that loses what this check needs."""
        for role in ("replica", "proxy"):
            template = (ROOT / "deploy" / f"{role}.toml.template").read_text()
            self.assertIn("bounds = '{{bounds|json}}'", template)
            self.assertIn("contracts = '{{contracts|json}}'", template)


class ReportTest(unittest.IsolatedAsyncioTestCase):
    """Operators see what isn't acted on, in the answer, an event and a metric."""

    def setUp(self) -> None:
        """Make a log whose events are counted."""
        self.events = log(Metrics().record_event)

    async def put(self, unread: tuple[str, ...]) -> dict[str, str]:
        """Accept a release, and return the detail of its event."""
        replication = SimpleNamespace(
            replica=SimpleNamespace(catalogue=SimpleNamespace(version=Version(3)))
        )
        releases = Releases(replication=cast(Replication, replication), events=self.events)
        accepted = Accepted(version=Version(3), accepted_at=1.0)
        with mock.patch.object(Releases, "_decide", mock.AsyncMock(return_value=accepted)):
            await releases.put(Release(number=2, based_on=1, document=""), {}, unread=unread)
        return list(self.events.select())[-1]["detail"]

    async def test_the_event_of_a_release_names_the_parts(self) -> None:
        """One without such parts has no field for them."""
        plain = {"number": "2", "based_on": "1", "outcome": "accepted", "reason": ""}
        self.assertEqual(await self.put(()), plain)
        self.assertEqual(await self.put(("a", "b.c")), plain | {"unread": "a, b.c"})

    def in_force(self, document: str) -> Releases:
        """Return the releases of a replica on which one is in force, of parts that aren't read."""
        release = Release(number=2, based_on=1, document=document)
        resources = {RELEASE_KEY: Resource(RELEASE_KEY, release, Version(3))}
        catalogue = SimpleNamespace(version=Version(3), resources=resources)
        replication = SimpleNamespace(replica=SimpleNamespace(catalogue=catalogue))
        return Releases(
            replication=cast(Replication, replication),
            events=self.events,
            derive=lambda document: Derivation({}, tuple(document.split())),
        )

    def test_a_metric_has_their_number(self) -> None:
        """Of the release in force, whichever process has accepted it."""
        for document in ("", "a", "a b.c"):
            self.assertEqual(self.in_force(document).unread_parts, len(document.split()))

    async def test_a_refused_release_changes_no_metric(self) -> None:
        """What is in force is still the one before."""
        releases = self.in_force("a b.c")
        self.assertEqual(releases.unread_parts, 2)
        with mock.patch.object(
            Releases, "_decide", mock.AsyncMock(return_value=Invalid(faults=()))
        ):
            await releases.put(Release(number=3, based_on=2, document="a"), {}, unread=("a",))
        self.assertEqual(releases.unread_parts, 2)

    async def test_the_answer_to_the_operator_names_the_parts(self) -> None:
        """An answer without such parts has no body, as before."""
        for form, body in (
            (WHOLE, None),
            (WHOLE | {"extra": SECRET}, b'{"unread": ["extra"]}'),
        ):
            response = await self.replace(form)
            self.assertEqual((response.status, cast(web.Response, response).body), (200, body))

    async def replace(self, form: dict[str, Any]) -> web.StreamResponse:
        """Send a configuration as the operator does, to releases that accept each one."""

        async def put(
            release: Release, resources: dict[Key, Spec], *, unread: tuple[str, ...]
        ) -> Accepted:
            return Accepted(version=Version(3), accepted_at=1.0)

        components = Components(
            cast(Releases, SimpleNamespace(put=put)), None, None, is_ready=lambda: True
        )
        control = _Control(components=components, address=Address("127.0.0.9", 1), own_ip="")
        read = mock.AsyncMock(return_value=json.dumps(form).encode())
        http = SimpleNamespace(method="POST", path="/api/Config.Replace", read=read)
        return await control.handle(cast(web.BaseRequest, http))

    def test_parts_are_listed_in_order_and_once(self) -> None:
        """Guards against events that differ from one process to the next."""
        self.assertEqual(listed_parts(["b", "a", "b"]), ("a", "b"))


class SamePrefixTest(unittest.TestCase):
    """Two routes of a host have prefixes that are written differently and match the same paths."""

    # Guards against a route that is replaced in silence, here by a public one, so that requests
    # without a key run.
    def test_a_route_that_gets_no_requests_is_named(self) -> None:
        """As a route is that has the very prefix of another one."""
        for prefixes in (("/closed/", "/%63losed/"), ("/a%2Fb/", "/a%2fb/")):
            with self.subTest(prefixes):
                form = configuration(1, TEAMS)
                rule = form["listeners"][0]["route_rules"][0]
                form["listeners"][0]["route_rules"] = [
                    {**rule, "match": {"path_prefix": prefix}} for prefix in prefixes
                ]
                unread = decode_configuration(json.dumps(form).encode()).unread
                self.assertIn("listeners[0].route_rules[1]", " ".join(unread))


if __name__ == "__main__":
    unittest.main()
