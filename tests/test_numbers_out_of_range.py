"""Tests that no number of a change gets into a journal from which it can't be read back."""

import json
import math
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from cowslipvane.catalogue import Accepted, Change, Invalid, Key, Service, Spec
from cowslipvane.platform._configuration import decode_configuration
from cowslipvane.replica import Replica, Voter
from cowslipvane.settings import Timing
from cowslipvane.storage import FileJournal
from cowslipvane.tasks.replication._releases import Releases
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Address, HostName, OperationId, ReplicaId, Version
from cowslipvane.wire import read_change
from tests.test_platform import CONFIGURATION, RULE, with_rule
from tools.single_replica import event_log

HOST = HostName("single")
FOUNDER = Voter(HOST, Address("127.0.0.1", 1), ReplicaId("single"))
SERVICE: tuple[Key, Spec] = (Key("service", "s"), Service())
NUMBERS = (2**63, 2**64 - 1, -(2**63) - 1, 10**300, math.nan, math.inf, -math.inf, 1e300)
TARGET = {"service": "s", "weight": 1}
# Every number that an operator can write, by kind and field.
FIELDS: tuple[tuple[str, str], ...] = (
    ("route", "priority"),
    ("route", "attempts"),
    ("route", "timeout"),
    ("route", "goal"),
    ("retry-policy", "attempts"),
    ("traffic-policy", "timeout"),
    ("traffic-policy", "max_body_bytes"),
    ("release", "number"),
    ("release", "based_on"),
)
REQUIRED: dict[str, dict[str, Any]] = {
    "route": {"targets": [TARGET]},
    "release": {"number": 1, "based_on": 0, "document": ""},
}


def forms_with(number: float) -> list[dict[str, Any]]:
    """Return changes as JSON, each with a number in one of the places where it can be."""
    forms = []
    specs = [(kind, REQUIRED.get(kind, {}) | {field: number}) for kind, field in FIELDS]
    specs.append(("route", {"targets": [TARGET | {"weight": number}]}))
    for start, length in ((number, 1), (0, number)):
        piece = {"start": start, "length": length, "text": ""}
        specs.append(("release", REQUIRED["release"] | {"pieces": [piece]}))
    for kind, spec in specs:
        resource = {"kind": kind, "name": "r", "spec": spec}
        forms.append({"operation_id": f"{kind}{spec}", "based_on": 1, "resources": [resource]})
    forms.append({"operation_id": "based_on", "based_on": number, "resources": []})
    return forms


class NumbersOutOfRangeTest(unittest.IsolatedAsyncioTestCase):
    """A group of one replica, with a real journal."""

    async def asyncSetUp(self) -> None:
        """Lead the group, with a first resource."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "journal"
        journal = self.open()
        self.replica = Replica(
            host=HOST,
            replica_id=FOUNDER.replica_id,
            founders=(FOUNDER,),
            journal=journal,
            recovered=journal.recover(),
            election_timeout=1.0,
            rng=random.Random(1),
            now=0.0,
        )
        self.replication = Replication(
            replica=self.replica,
            group_name="g",
            journal=journal,
            timing=Timing(),
            events=event_log(),
        )
        self.replica.start_election(2.0)
        self.replica.record_own_vote(self.replica.term, 2.0)
        self.replication.record_synced(self.replica.last_index)
        first = Change(OperationId("first"), Version(0), (SERVICE,))
        self.assertIsInstance(await self.replication.write(first), Accepted)

    def open(self) -> FileJournal:
        """Open the journal."""
        journal = FileJournal(path=self.path)
        self.addCleanup(journal.close)
        return journal

    async def write(self, change: Change) -> None:
        """Write a change, and check that the journal can be read back."""
        outcome = await self.replication.write(change)
        self.assertIsInstance(outcome, Accepted | Invalid)
        self.assertEqual(self.open().recover().last_index, self.replica.last_index, change)

    # Guards against replicas none of which starts any more, since each has written a number to
    # its journal that it can't read back.
    async def test_no_number_of_a_change_stops_the_next_start(self) -> None:
        """Each change is refused or accepted, whatever the number and its field."""
        tried = 0
        for number in NUMBERS:
            for form in forms_with(number):
                change = read_change(json.loads(json.dumps(form)))
                if isinstance(change, Change):
                    await self.write(change)
                    tried += 1
        self.assertGreater(tried, len(NUMBERS))

    async def test_a_leader_without_its_lease_refuses_them_too(self) -> None:
        """The resource API waits for the rest of a change after it has checked the lease."""
        route = {"kind": "route", "name": "r", "spec": {"targets": [TARGET], "priority": 2**64}}
        change = read_change({"operation_id": "o", "based_on": 1, "resources": [route]})
        assert isinstance(change, Change)
        last_index = self.replica.last_index
        with mock.patch.object(Replication, "holds_lease", False):
            self.assertIsInstance(await self.replication.write(change), Invalid)
        self.assertEqual(self.replica.last_index, last_index)

    async def test_a_rank_beyond_the_last_counts_as_the_last(self) -> None:
        """The platform names no limit for it, so the configuration is valid."""
        releases = Releases(replication=self.replication, events=event_log())
        for number, rank in enumerate((2**64 - 1, 10**300, 1e300, -(2**70)), 12):
            changed = with_rule(priority=rank) | {
                "version": f"{number:08x}",
                "base_version": f"{number - 1 if number > 12 else 0:08x}",
            }
            body = json.dumps(CONFIGURATION | changed).encode()
            release, resources, _ = decode_configuration(body)
            self.assertIsInstance(await releases.put(release, resources), Accepted, rank)
            self.assertEqual(releases.newest(), release)
            self.assertEqual(self.open().recover().last_index, self.replica.last_index)

    async def test_other_numbers_of_a_configuration_are_refused_or_kept(self) -> None:
        """Each of them has a place of its own in the platform's form."""
        releases = Releases(replication=self.replication, events=event_log())
        action = RULE["action"]
        for number in NUMBERS:
            weights = {"weighted_clusters": [{"service": "wuno", "weight": number}]}
            for changed in (
                with_rule(target_latency_s=number),
                with_rule(action={**action, "timeout_s": number}),
                with_rule(action={**action, "attempts": number}),
                with_rule(action={**action, **weights}),
                {"limits": {"max_body_bytes": number}},
            ):
                body = json.dumps(CONFIGURATION | {"base_version": "00000000"} | changed).encode()
                try:
                    release, resources, _ = decode_configuration(body)
                except ValueError:
                    continue
                await releases.put(release, resources)
                self.assertEqual(self.open().recover().last_index, self.replica.last_index, body)


if __name__ == "__main__":
    unittest.main()
