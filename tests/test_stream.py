"""Tests of the event log on standard output, whose reader may stall."""

import json
import os
import unittest
from typing import Any

from cowslipvane.events import EventStream
from cowslipvane.events._event import EventForm
from cowslipvane.events._stream import MAX_BUFFERED_LINES, is_sampled


def form(kind: str, request: str = "") -> EventForm:
    """Return an event as JSON."""
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
    """Logging never blocks, and reports what it drops."""

    def setUp(self) -> None:
        """Open a stream that writes to a pipe."""
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.stream = EventStream(descriptor=self.writer)
        sampled = (f"r{number}" for number in range(10_000) if is_sampled(f"r{number}"))
        self.sampled = next(sampled)

    def lines(self) -> list[dict[str, Any]]:
        """Read all lines, as a reader that resumes after a stall."""
        data = b""
        while True:
            self.stream.write([])
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
        return [json.loads(line)["event"] for line in data.splitlines()]

    def test_routine_events_of_a_request_are_written_all_or_none(self) -> None:
        """Sampling selects requests, not events; refusals are always written."""
        requests = [f"r{number}" for number in range(500)]
        for request in requests:
            self.stream.write([form("attempt", request), form("verdict", request)])
        self.stream.write([form("refusal", "r1")])
        lines = [(line["kind"], line["request"]) for line in self.lines()]
        sampled = [request for request in requests if is_sampled(request)]
        expected = [(kind, request) for request in sampled for kind in ("attempt", "verdict")]
        self.assertEqual(lines, [*expected, ("refusal", "r1")])
        self.assertTrue(0 < len(sampled) < 50)

    def test_a_stalled_reader_does_not_block_the_process(self) -> None:
        """The buffer is bounded, routine events are dropped first, and drops are reported."""
        for _ in range(3 * MAX_BUFFERED_LINES):
            self.stream.write([form("attempt", self.sampled)])
        self.stream.write([form("refusal", "important")])
        dropped = self.stream.dropped
        self.assertGreater(dropped, MAX_BUFFERED_LINES)
        lines = self.lines()
        self.assertLess(len(lines), 3 * MAX_BUFFERED_LINES)
        self.assertIn("important", [line.get("request") for line in lines])
        drops = [line["detail"] for line in lines if line["kind"] == "log-dropped"]
        self.assertEqual(drops, [{"attempt": dropped}])

    def test_lines_that_are_not_routine_are_bounded_too(self) -> None:
        """A flood of refusals can't exhaust the memory."""
        for _ in range(3 * MAX_BUFFERED_LINES):
            self.stream.write([form("refusal")])
        self.assertGreater(self.stream.dropped, 0)
        self.assertLess(len(self.stream._buffer), MAX_BUFFERED_LINES + 2)


if __name__ == "__main__":
    unittest.main()
