"""Tests of reading changes from JSON: all faults together, whatever comes."""

import json
import math
import unittest
from typing import Any

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cowslipvane.catalogue import KINDS, Catalogue, Change, Invalid
from cowslipvane.wire import decode_as, encode_untagged, read_change

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(st.characters(), max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)
FIELDS = ("targets", "weight", "service", "methods", "attempts", "timeout", "state", "headers")
SPEC = st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=3)
RESOURCE = st.fixed_dictionaries(
    {"kind": st.sampled_from([*KINDS, "x"]) | JSON, "name": st.text() | JSON, "spec": SPEC | JSON}
)


def change_form(*resources: Any, based_on: Any = 0) -> dict[str, Any]:
    """Return a change as JSON."""
    return {"operation_id": "a", "based_on": based_on, "resources": list(resources)}


def resource(kind: Any, spec: Any, name: Any = "r") -> dict[str, Any]:
    """Return a resource as JSON."""
    return {"kind": kind, "name": name, "spec": spec}


class FormsTest(unittest.TestCase):
    """What is refused, and by which path."""

    def paths(self, form: Any) -> list[str]:
        """Return the paths of the faults that reading or judging a change finds."""
        found: object = read_change(form)
        if isinstance(found, Change):
            found = Catalogue().apply(found, accepted_at=1.0)
        assert isinstance(found, Invalid), found
        self.assertTrue(all(fault.message for fault in found.faults))
        return [fault.path for fault in found.faults]

    def test_each_hole_is_closed(self) -> None:
        """Values that look like others, and values without bounds, are refused."""
        target = {"service": "s", "weight": True}
        holes = {
            "route/r.targets": ("route", {"targets": "abc"}),
            "route/r.targets[0].weight": ("route", {"targets": [target]}),
            "retry-policy/r.methods": ("retry-policy", {"methods": "GET", "idempotency_key": True}),
            "retry-policy/r.attempts": ("retry-policy", {"attempts": 11}),
            "traffic-policy/r.timeout": ("traffic-policy", {"timeout": math.nan}),
            "traffic-policy/r.max_body_bytes": ("traffic-policy", {"max_body_bytes": 10**30}),
            "service/r.retry_policy": ("service", {"retry_policy": "\ud800"}),
            "service/r": ("service", None),
            "upstream/r.state": ("upstream", {"state": "gone"}),
            "resources[0].kind": ([], {}),
        }
        for path, (kind, spec) in holes.items():
            with self.subTest(path):
                self.assertEqual(self.paths(change_form(resource(kind, spec))), [path])

    def test_faults_come_together(self) -> None:
        """One answer names every fault."""
        form = change_form(
            resource("service", {"colour": 1}),
            resource("retry-policy", {"attempts": "2"}),
            resource("service", {}, name="a/b"),
            based_on=-1,
        )
        form["deletes"] = [{"kind": "x", "name": "y"}]
        wanted = ["based_on", "deletes[0].kind", "resources[2].name"]
        wanted += ["retry-policy/r.attempts", "service/r"]
        self.assertEqual(sorted(self.paths(form)), wanted)

    def test_a_resource_can_not_be_written_and_deleted_at_once(self) -> None:
        """Neither would be meant."""
        form = change_form(resource("service", {}))
        form["deletes"] = [{"kind": "service", "name": "r"}]
        found = read_change(form)
        assert isinstance(found, Invalid)
        self.assertEqual([fault.path for fault in found.faults], ["service/r"])

    def test_a_change_can_not_be_based_on_a_version_to_come(self) -> None:
        """Otherwise it would win over changes that its operator never saw."""
        form = change_form(resource("service", {}), based_on=7)
        self.assertEqual(self.paths(form), ["based_on"])

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(RESOURCE, max_size=3), JSON)
    def test_nonsense_is_refused_or_travels(self, resources: list[Any], based_on: Any) -> None:
        """What is accepted can be sent and read again; all else has faults that JSON can hold."""
        found = read_change(change_form(*resources, based_on=based_on))
        if isinstance(found, Change):
            self.assertEqual(decode_as(Change, encode_untagged(found)), found)
            return
        self.assertTrue(found.faults)
        json.dumps([fault._asdict() for fault in found.faults]).encode()


if __name__ == "__main__":
    unittest.main()
