"""Tests of the log on standard output, whose reader may stop."""

import json
import os
import unittest
from typing import Any

from cowslipvane.events import EventStream
from cowslipvane.events._event import EventForm
from cowslipvane.events._stream import MAX_BUFFERED_LINES, is_sampled


def form(kind: str, request: str = "") -> EventForm:
    """Return an event."""
    return EventForm(
        kind=kind,
        wall=1.0,
        logical=0,
        host="h",
        data_centre="d",
        process=1,
        request=request,
        version=0,
        detail={"padding": "x" * 100},
    )


class StreamTest(unittest.TestCase):
    """That logging never waits, and says what it drops."""

    def setUp(self) -> None:
        """Write to a pipe."""
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.stream = EventStream(descriptor=self.writer)
        sampled = (f"r{number}" for number in range(10_000) if is_sampled(f"r{number}"))
        self.sampled = next(sampled)

    def lines(self) -> list[dict[str, Any]]:
        """Read all that was written, as a reader that goes on again."""
        data = b""
        while True:
            self.stream.write([])
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
        return [json.loads(line)["event"] for line in data.splitlines()]

    def test_a_request_is_told_whole_or_not_at_all(self) -> None:
        """Its refusal is always told."""
        requests = [f"r{number}" for number in range(500)]
        for request in requests:
            self.stream.write([form("attempt", request), form("verdict", request)])
        self.stream.write([form("refusal", "r1")])
        told = [(line["kind"], line["request"]) for line in self.lines()]
        chosen = [request for request in requests if is_sampled(request)]
        wanted = [(kind, request) for request in chosen for kind in ("attempt", "verdict")]
        self.assertEqual(told, [*wanted, ("refusal", "r1")])
        self.assertTrue(0 < len(chosen) < 50)

    def test_a_reader_that_has_stopped_holds_nobody_up(self) -> None:
        """Lines wait up to a bound, routine ones give way first, and the drops are told."""
        for _ in range(3 * MAX_BUFFERED_LINES):
            self.stream.write([form("attempt", self.sampled)])
        self.stream.write([form("refusal", "important")])
        dropped = self.stream.dropped
        self.assertGreater(dropped, MAX_BUFFERED_LINES)
        told = self.lines()
        self.assertLess(len(told), 3 * MAX_BUFFERED_LINES)
        self.assertIn("important", [line.get("request") for line in told])
        drops = [line["detail"] for line in told if line["kind"] == "log-dropped"]
        self.assertEqual(drops, [{"attempt": dropped}])

    def test_what_is_no_routine_is_bounded_too(self) -> None:
        """So that a flood of refusals can't take the memory."""
        for _ in range(3 * MAX_BUFFERED_LINES):
            self.stream.write([form("refusal")])
        self.assertGreater(self.stream.dropped, 0)
        self.assertLess(len(self.stream._buffer), MAX_BUFFERED_LINES + 2)


if __name__ == "__main__":
    unittest.main()
