"""Fuzz tests, with fixed seeds, of all parsers of bytes and values from outside a process."""

import math
import tempfile
import unittest
import zlib
from pathlib import Path
from typing import Any

import cbor2
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cowslipvane import daemon  # noqa: F401  # Registers every message.
from cowslipvane.call import head_fault
from cowslipvane.catalogue import KINDS, Catalogue, Change, Invalid
from cowslipvane.commands._timeline import Filter, merge
from cowslipvane.events import read_events
from cowslipvane.membership import Exchange
from cowslipvane.replica import Report
from cowslipvane.settings import SettingsFault, load
from cowslipvane.settings._load import parse
from cowslipvane.subscription import Pull
from cowslipvane.tasks.operators._process_api import read_worker
from cowslipvane.types import Address, HostName, Version
from cowslipvane.wire import Malformed, compress, decode, encode, read_change
from cowslipvane.wire._codec import _MESSAGE_TYPES, MAX_DECOMPRESSED_BYTES
from tests.test_settings import GOOD

FUZZ = settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary()
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(), inner, max_size=5),
    max_leaves=20,
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
SETTING_KEYS = st.sampled_from(
    ["host", "data_centre", "roles", "listen", "seeds", "timing", "limits", "security", "x"]
)
TAGS = st.sampled_from(sorted(_MESSAGE_TYPES))
KEYS = st.sampled_from(["operation_id", "based_on", "resources", "deletes", "dry_run", "x"])
SPEC_KEYS = st.sampled_from(
    ["service", "prefix", "targets", "hosts", "methods", "weight", "attempts", "timeout", "state"]
)
RESOURCES = st.fixed_dictionaries(
    {"kind": st.sampled_from(sorted(KINDS)), "name": st.text(min_size=1, max_size=4)},
    optional={"spec": st.dictionaries(SPEC_KEYS, JSON, max_size=4) | JSON, "y": JSON},
)


def pull(applied_at: float) -> Pull:
    """Return a pull whose report has the given applied_at."""
    report = Report(HostName("h"), Version(1), applied_at, Address("127.0.0.1", 1), "")
    return Pull(report=report, base=Version(1), floor=Version(1), hosts=())


class FuzzTest(unittest.TestCase):
    """Invalid input raises the documented error and no other exception."""

    @FUZZ
    @given(data=st.binary(max_size=200))
    def test_bytes_are_a_message_or_malformed(self, data: bytes) -> None:
        """Decoding any bytes raises no exception other than Malformed."""
        try:
            decode(data)
        except Malformed as error:
            self.assertTrue(str(error))

    @FUZZ
    @given(tag=TAGS, fields=VALUES)
    def test_any_fields_are_a_message_or_malformed(self, tag: str, fields: Any) -> None:
        """A message that was decoded is the same after it is encoded and decoded again."""
        try:
            message = decode(cbor2.dumps([tag, fields]))
        except Malformed:
            return
        self.assertEqual(decode(encode(message)), message)

    def test_nested_oversized_and_non_finite_messages_are_malformed(self) -> None:
        """Deep nesting, false lengths, CBOR tags, big integers, NaN and infinities are refused."""
        hostile_messages = [
            b"\x81" * 100_000 + b"\x00",
            b"\x9b" + b"\xff" * 8,
            b"\x5b\x7f" + b"\xff" * 7,
            b"\xd8\x1c\x81\xd8\x1d\x00",
            b"\xc1\xfb\x7f\xf0" + b"\x00" * 6,
            b"",
        ]
        hostile_messages += [
            cbor2.dumps(["EventsKept", [number]]) for number in (1 << 63, 1 << 4000)
        ]
        for number in (math.nan, math.inf, -math.inf):
            hostile_messages.append(encode(pull(applied_at=number)))
        for data in hostile_messages:
            with self.assertRaises(Malformed):
                decode(data)
        good = pull(applied_at=0.5)
        self.assertEqual(decode(encode(good)), good)

    def test_incomplete_nested_and_huge_compressed_messages_are_malformed(self) -> None:
        """A message that was compressed as it should be is the same after it is decoded."""
        good = Pull(
            report=pull(applied_at=0.5).report,
            base=Version(1),
            floor=Version(1),
            hosts=tuple(f"host-{number}" for number in range(100)),
        )
        compressed = compress(encode(good))
        self.assertLess(len(compressed), len(encode(good)))
        self.assertEqual(decode(compressed), good)
        tag, data = cbor2.loads(compressed)
        zeros = zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1))
        hostile = (data[:-5], b"no stream", zeros, zlib.compress(compressed), 7, [data])
        for fields in hostile:
            self.assertRaises(Malformed, decode, cbor2.dumps([tag, fields]))

    def test_only_a_digest_may_exceed_64_bits(self) -> None:
        """A digest is an unsigned integer of up to 128 bits."""
        for digest, is_good in ((0, True), ((1 << 128) - 1, True), (1 << 128, False), (-1, False)):
            data = encode(Exchange(digest=digest, members=()))
            if is_good:
                self.assertEqual(decode(data), Exchange(digest=digest, members=()))
            else:
                self.assertRaises(Malformed, decode, data)

    @FUZZ
    @given(values=st.dictionaries(SETTING_KEYS, VALUES, max_size=6))
    def test_settings_are_loaded_or_their_faults_are_reported(self, values: dict[str, Any]) -> None:
        """Each fault is a line that starts with the name of the file."""
        try:
            parse(values, "file")
        except SettingsFault as error:
            self.assertTrue(error.faults)
            for fault in error.faults:
                self.assertTrue(fault.startswith("file: "), fault)

    @FUZZ
    @given(data=st.binary(max_size=60), at=st.integers(0, len(GOOD)))
    def test_damaged_settings_files_are_faults(self, data: bytes, at: int) -> None:
        """Random bytes inside a valid file raise no exception other than SettingsFault."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings"
            path.write_bytes(GOOD[:at].encode() + data + GOOD[at:].encode())
            try:
                load(path)
            except SettingsFault as error:
                self.assertTrue(error.faults)

    @FUZZ
    @given(form=st.dictionaries(KEYS, JSON | st.lists(RESOURCES, max_size=3), max_size=5) | JSON)
    def test_a_change_is_parsed_or_its_faults_are_reported(self, form: Any) -> None:
        """Every fault has a message."""
        self.check(read_change(form))

    @FUZZ
    @given(resources=st.lists(RESOURCES, max_size=4))
    def test_parsed_resources_are_validated_without_a_crash(self, resources: list[Any]) -> None:
        """The catalogue can validate every change that was parsed."""
        self.check(read_change({"operation_id": "a", "based_on": 0, "resources": resources}))

    def check(self, parsed: Change | Invalid) -> None:
        """Check that each fault, of parsing or of validation, has a message."""
        match parsed:
            case Invalid(faults=faults):
                self.assertTrue(faults)
            case Change():
                faults = Catalogue().faults(parsed)
        for fault in faults:
            self.assertTrue(fault.message)

    @FUZZ
    @given(form=JSON | st.dictionaries(st.sampled_from(["service", "address", "slots"]), JSON))
    def test_random_announcements_raise_value_error(self, form: Any) -> None:
        """Parsing raises only ValueError, to which the listener responds with 400."""
        with self.assertRaises(ValueError):
            read_worker(form)

    def test_slots_and_connections_of_a_worker_are_limited(self) -> None:
        """The error states the range of allowed values."""
        good = {"service": "s", "address": "127.0.0.1:80", "slots": 6, "connections": 9}
        self.assertEqual(read_worker(good).slots, 6)
        for name, value in (("slots", 10**9), ("slots", True), ("connections", 0)):
            with self.assertRaisesRegex(ValueError, "allowed is 1 to"):
                read_worker({**good, name: value})

    @FUZZ
    @given(target=st.text(alphabet="/a:?#@%[]h.\\", max_size=12) | st.text())
    def test_a_target_never_names_another_server(self, target: str) -> None:
        """A target without a fault is a path on the worker."""
        fault = head_fault(target=target, http_1_1=True, fields=())
        self.assertTrue(fault or (target[0] == "/" and target[:2] != "//"), target)

    @FUZZ
    @given(lines=st.lists(st.binary(max_size=40) | JSON.map(lambda it: str(it).encode())))
    def test_invalid_lines_of_event_files_are_skipped(self, lines: list[bytes]) -> None:
        """The timeline of a file without valid lines is empty, not an error."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "events"
            path.write_bytes(b"\n".join(lines))
            self.assertEqual(merge(read_events([path]), Filter()), [])


if __name__ == "__main__":
    unittest.main()
