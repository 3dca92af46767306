"""Tests of the decoding of the platform's messages."""

import copy
import json
import math
import tracemalloc
import unittest
from typing import Any

from cowslipvane.catalogue import Key, Rollout, Route, Target, TrafficPolicy
from cowslipvane.platform._configuration import decode_configuration
from cowslipvane.platform._rollouts import decode_rollout, rollout_form
from cowslipvane.platform._workers import decode_announcement, decode_start
from cowslipvane.types import Address, ServiceName

RULE: dict[str, Any] = {
    "name": "r-1",
    "type": "non_idempotent",
    "target_latency_s": 0.6,
    "priority": 1,
    "match": {"path_prefix": "/puka/"},
    "action": {"service": "wuno", "timeout_s": 1.5, "attempts": 2},
}
CONFIGURATION: dict[str, Any] = {
    "version": "0000000c",
    "base_version": "00000005",
    "limits": {"max_body_bytes": 1000},
    "listeners": [{"host": "jepu.example", "route_rules": [RULE]}],
    "clusters": [{"name": "wuno", "max_connections": 120}, {"name": "huvo"}],
}
# What the platform gives a host that keeps the configuration.
MEMORY_BYTES = 296 << 20
ROUTE_KEY = Key("route", "jepu.example /puka/")
HEARTBEAT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1700000000000,
    "info": {"service": "huvo", "version": "v1", "zone": "z", "max_concurrency": 12},
    "status": {"phase": "ready", "sequence": 4, "cold_remaining_s": 0},
}


def with_rule(**fields: Any) -> dict[str, Any]:
    """Return the listeners of a configuration whose only rule has some fields changed."""
    return {"listeners": [{"host": "jepu.example", "route_rules": [RULE | fields]}]}


class ConfigurationTest(unittest.TestCase):
    """A whole configuration becomes a release and resources."""

    def test_a_route_keeps_its_settings(self) -> None:
        """Versions are read as hexadecimal, and the document is kept unchanged."""
        body = json.dumps(CONFIGURATION).encode()
        decoded = decode_configuration(body)
        self.assertEqual((decoded.release.number, decoded.release.based_on), (12, 5))
        self.assertEqual(decoded.release.document.encode(), body)
        route = Route(
            targets=(Target(ServiceName("wuno")),),
            host="jepu.example",
            path_prefix="/puka/",
            repeatable=False,
            attempts=2,
            timeout=1.5,
            goal=0.6,
            priority=1,
        )
        self.assertEqual(decoded.resources[ROUTE_KEY], route)
        policy = decoded.resources[Key("traffic-policy", "limits")]
        self.assertEqual(policy, TrafficPolicy(max_body_bytes=1000))

    # Guards against a configuration that is refused whole, and with it each later one, for a type
    # of route that the platform has added.
    def test_requests_of_added_types_run_once_at_most(self) -> None:
        """Only of idempotent ones it is known that they may be repeated."""
        for kind, repeatable in (("idempotent", True), ("upload", False), ("stream", False)):
            form = CONFIGURATION | with_rule(type=kind)
            route = decode_configuration(json.dumps(form).encode()).resources[ROUTE_KEY]
            assert isinstance(route, Route)
            self.assertIs(route.repeatable, repeatable)

    def test_large_responses_may_be_requested_again(self) -> None:
        """They are read as requests that may run more than once."""
        body = json.dumps(CONFIGURATION | with_rule(type="download")).encode()
        route = decode_configuration(body).resources[ROUTE_KEY]
        assert isinstance(route, Route)
        self.assertTrue(route.repeatable)

    def test_added_fields_are_ignored(self) -> None:
        """At each level of a configuration and of a heartbeat."""
        added = {"added": {"deep": [1]}}
        rule = RULE | added | {"match": RULE["match"] | added, "action": RULE["action"] | added}
        form = CONFIGURATION | with_rule(**rule) | added
        form["limits"] = CONFIGURATION["limits"] | added
        form["clusters"] = [cluster | added for cluster in CONFIGURATION["clusters"]]
        plain = decode_configuration(json.dumps(CONFIGURATION).encode())
        self.assertEqual(decode_configuration(json.dumps(form).encode()).resources, plain.resources)
        beat = HEARTBEAT | added
        beat["info"], beat["status"] = HEARTBEAT["info"] | added, HEARTBEAT["status"] | added
        self.assertEqual(
            decode_announcement("i-1", json.dumps(beat).encode()),
            decode_announcement("i-1", json.dumps(HEARTBEAT).encode()),
        )

    def test_weighted_clusters_become_targets(self) -> None:
        """A weight below 0 is decoded; the rules of the catalogue reject it later."""
        form = copy.deepcopy(CONFIGURATION)
        clusters = [{"service": "wuno", "weight": 90}, {"service": "huvo", "weight": -1}]
        form["listeners"][0]["route_rules"][0]["action"]["weighted_clusters"] = clusters
        decoded = decode_configuration(json.dumps(form).encode())
        route = decoded.resources[ROUTE_KEY]
        assert isinstance(route, Route)
        expected = (Target(ServiceName("wuno"), 90), Target(ServiceName("huvo"), -1))
        self.assertEqual(route.targets, expected)

    def test_a_configuration_that_can_not_be_decoded_in_full_is_refused(self) -> None:
        """Truncated bodies, missing tables and invalid values raise ValueError."""
        whole = json.dumps(CONFIGURATION).encode()
        bodies = [whole[:-20], b"", b"[]", b"\xff", b"[" * 100_000]
        for missing in CONFIGURATION:
            form = {name: value for name, value in CONFIGURATION.items() if name != missing}
            bodies.append(json.dumps(form).encode())
        values: list[tuple[str, Any]] = [("type", ""), ("type", None), ("type", 7), ("match", {})]
        values += [("action", None), ("action", {"redirect": "wuno"}), ("priority", "x")]
        for name, value in values:
            form = copy.deepcopy(CONFIGURATION)
            form["listeners"][0]["route_rules"][0][name] = value
            bodies.append(json.dumps(form).encode())
        for body in bodies:
            with self.assertRaises(ValueError, msg=body[:80]):
                decode_configuration(body)

    # Guards against a number that is changed in silence: 2.7 attempts were read as 2, true as 1.
    def test_a_number_that_is_not_whole_is_refused(self) -> None:
        """Also a text, which may be meant for another field."""
        action = CONFIGURATION["listeners"][0]["route_rules"][0]["action"]
        for value in (2.7, "2", True, None, [2], math.nan):
            for changed in (
                {"limits": {"max_body_bytes": value}},
                with_rule(priority=value),
                with_rule(action={**action, "attempts": value}),
            ):
                body = json.dumps(CONFIGURATION | changed).encode()
                with self.assertRaises(ValueError, msg=body):
                    decode_configuration(body)

    # Guards against two texts for one version, only one of which is read back.
    def test_a_version_has_eight_digits_and_nothing_else(self) -> None:
        """The same holds for the version that a configuration is based on."""
        for text in ("0x00000c", "+000000c", " 000000c", "0_0000_c", "c", "0000000g", 12):
            for name in ("version", "base_version"):
                with self.assertRaises(ValueError, msg=text):
                    decode_configuration(json.dumps(CONFIGURATION | {name: text}).encode())

    # Guards against a process that ends at its memory limit because of one configuration of 1 MiB.
    def test_a_host_is_not_repeated_without_end(self) -> None:
        """Each route's name holds the host, which the configuration names once."""
        rules = [RULE | {"match": {"path_prefix": f"/{number}/"}} for number in range(3000)]
        listeners = [{"host": "h" * 500_000, "route_rules": rules}]
        body = json.dumps(CONFIGURATION | {"listeners": listeners}).encode()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(ValueError):
            decode_configuration(body)
        self.assertLess(tracemalloc.get_traced_memory()[1], MEMORY_BYTES // 3)

    def test_a_number_out_of_range_is_refused(self) -> None:
        """An operator would else get 500 for it, and send the same again to every replica."""
        action = CONFIGURATION["listeners"][0]["route_rules"][0]["action"]
        infinite_weight = [{"service": "wuno", "weight": math.inf}]
        for changed in (
            {"limits": {"max_body_bytes": math.inf}},
            with_rule(priority=math.inf),
            with_rule(target_latency_s=10**400),
            with_rule(action={**action, "attempts": math.inf}),
            with_rule(action={**action, "timeout_s": 10**400}),
            with_rule(action={**action, "weighted_clusters": infinite_weight}),
        ):
            body = json.dumps(CONFIGURATION | changed).encode()
            with self.assertRaises(ValueError, msg=body):
                decode_configuration(body)


class RolloutTest(unittest.TestCase):
    """Orders to move a service to another version of its workers."""

    def test_an_order_is_decoded(self) -> None:
        """Each field is read."""
        order = decode_rollout(b'{"service":"huvo","target_version":"v2","duration_s":12}')
        self.assertEqual(order, ("huvo", "v2", 12.0, ()))

    # Guards against an order that is acknowledged while a part of it is dropped (issue 55).
    def test_unknown_fields_of_an_order_are_named(self) -> None:
        """Without their values."""
        body = b'{"service":"huvo","target_version":"v2","duration_s":12,"pause_s":4,"steps":[1]}'
        self.assertEqual(decode_rollout(body).unread, ("pause_s", "steps"))

    def test_an_order_that_can_not_be_read_is_refused(self) -> None:
        """With a reason, and nothing else."""
        bodies = (
            b"",
            b"[]",
            b"null",
            b'{"service":"huvo","target_version":"v2"}',
            b'{"service":"huvo","target_version":2,"duration_s":12}',
            b'{"service":"","target_version":"v2","duration_s":12}',
            b'{"service":"huvo","target_version":"v2","duration_s":"12"}',
            b'{"service":"huvo","target_version":"v2","duration_s":true}',
            b'{"service":"huvo","target_version":"v2","duration_s":NaN}',
            b'{"service":"huvo","target_version":"v2","duration_s":1' + b"0" * 400 + b"}",
            b"\xff",
            b"[" * 100_000,
        )
        for body in bodies:
            with self.subTest(body=body[:60]), self.assertRaises(ValueError):
                decode_rollout(body)

    def test_the_phases_have_the_platforms_words(self) -> None:
        """Ours differ by a hyphen."""
        for phase, word in (("running",) * 2, ("completed",) * 2, ("rolled-back", "rolled_back")):
            rollout = Rollout(target_version="v2", duration=1.0, phase=phase)  # type: ignore[arg-type]
            self.assertEqual(rollout_form(rollout), {"phase": word, "target_version": "v2"})


class HeartbeatTest(unittest.TestCase):
    """A heartbeat becomes an announcement, or is refused."""

    def test_all_fields_are_decoded(self) -> None:
        """The start of the instance and the sequence, which order announcements, are included."""
        announcement = decode_announcement("i-7", json.dumps(HEARTBEAT).encode())
        self.assertEqual((announcement.started_at, announcement.sequence), (1700000000000, 4))
        self.assertEqual((announcement.state, announcement.worker.instance), ("ready", "i-7"))
        self.assertEqual(announcement.worker.address, Address("10.128.0.9", 8080))
        self.assertEqual(announcement.worker.slots, 12)

    def test_a_draining_worker_is_leaving(self) -> None:
        """The phase draining becomes the state leaving."""
        form = copy.deepcopy(HEARTBEAT)
        form["status"]["phase"] = "draining"
        self.assertEqual(decode_announcement("i", json.dumps(form).encode()).state, "leaving")

    def test_a_departure_may_tell_when_the_worker_started(self) -> None:
        """One without a body or a start time tells nothing of it."""
        self.assertEqual(decode_start(b'{"born": 1796537690892}'), 1796537690892)
        for body in (b"", b"{}"):
            self.assertIsNone(decode_start(body), body)

    # Guards against a sound worker that is ended by what another writer sends in its name.
    def test_a_departure_that_can_not_be_read_is_refused(self) -> None:
        """It may not be the worker's."""
        for body in (
            b"[1]",
            b"no",
            b"\xff",
            b"[" * 100_000,
            b'{"born": "1"}',
            b'{"born": -1}',
            b'{"born": true}',
            b'{"born": null}',
            b'{"born": 1.5}',
        ):
            with self.assertRaises(ValueError, msg=body[:20]):
                decode_start(body)

    def test_malformed_heartbeats_are_refused(self) -> None:
        """Fields that are missing or of another type, and unknown phases, raise ValueError."""
        bodies: list[bytes] = [b"", b"\xff\xfe", b"[]", b"7"]
        for table, name, value in (
            ("info", "service", 7),
            ("info", "max_concurrency", "6"),
            ("info", "max_concurrency", 0),
            ("info", "version", 1),
            ("info", "zone", ""),
            ("status", "phase", "zombie"),
            ("status", "sequence", None),
            ("status", "cold_remaining_s", "0"),
            ("status", "cold_remaining_s", -1),
            ("status", "cold_remaining_s", True),
        ):
            form = copy.deepcopy(HEARTBEAT)
            form[table][name] = value
            bodies.append(json.dumps(form).encode())
            del form[table][name]
            bodies.append(json.dumps(form).encode())
        for body in bodies:
            with self.assertRaises(ValueError, msg=body):
                decode_announcement("i", body)


if __name__ == "__main__":
    unittest.main()
