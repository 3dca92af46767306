"""Tests of parsing changes from JSON: every fault is reported, and any input is handled."""

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
    """Invalid changes are refused with the path of each fault."""

    def paths(self, form: Any) -> list[str]:
        """Return the paths of the faults that parsing or applying a change finds."""
        outcome: object = read_change(form)
        if isinstance(outcome, Change):
            outcome = Catalogue().apply(outcome, accepted_at=1.0)
        assert isinstance(outcome, Invalid), outcome
        self.assertTrue(all(fault.message for fault in outcome.faults))
        return [fault.path for fault in outcome.faults]

    def test_values_of_wrong_type_or_range_are_refused(self) -> None:
        """Values that would convert to the expected type, or that exceed its range, are refused."""
        target = {"service": "s", "weight": True}
        invalid_specs = {
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
        for path, (kind, spec) in invalid_specs.items():
            with self.subTest(path):
                self.assertEqual(self.paths(change_form(resource(kind, spec))), [path])

    def test_all_faults_are_reported_together(self) -> None:
        """One response lists every fault of a change."""
        form = change_form(
            resource("service", {"colour": 1}),
            resource("retry-policy", {"attempts": "2"}),
            resource("service", {}, name="a/b"),
            based_on=-1,
        )
        form["deletes"] = [{"kind": "x", "name": "y"}]
        expected = ["based_on", "deletes[0].kind", "resources[2].name"]
        expected += ["retry-policy/r.attempts", "service/r"]
        self.assertEqual(sorted(self.paths(form)), expected)

    def test_a_resource_can_not_be_written_and_deleted_in_one_change(self) -> None:
        """The two contradict each other, so the change is invalid."""
        form = change_form(resource("service", {}))
        form["deletes"] = [{"kind": "service", "name": "r"}]
        change = read_change(form)
        assert isinstance(change, Invalid)
        self.assertEqual([fault.path for fault in change.faults], ["service/r"])

    def test_a_change_can_not_be_based_on_a_future_version(self) -> None:
        """Otherwise it would overwrite changes that its operator never saw, without a conflict."""
        form = change_form(resource("service", {}), based_on=7)
        self.assertEqual(self.paths(form), ["based_on"])

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(RESOURCE, max_size=3), JSON)
    def test_random_changes_are_refused_or_can_be_encoded(
        self, resources: list[Any], based_on: Any
    ) -> None:
        """A valid change survives encoding and decoding; the faults of any other fit into JSON."""
        change = read_change(change_form(*resources, based_on=based_on))
        if isinstance(change, Change):
            self.assertEqual(decode_as(Change, encode_untagged(change)), change)
            return
        self.assertTrue(change.faults)
        json.dumps([fault._asdict() for fault in change.faults]).encode()


if __name__ == "__main__":
    unittest.main()
