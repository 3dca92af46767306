"""Tests of the events: their order, the limits on their number, and their file."""

import asyncio
import math
import tempfile
import unittest
from pathlib import Path

from cowslipvane.events import (
    EventFile,
    EventForm,
    EventLog,
    HybridClock,
    Origin,
    Stamp,
    read_events,
    rotated_path,
)
from cowslipvane.events._log import MAX_TEXT_CHARACTERS
from cowslipvane.types import DataCentre, HostName
from tests.stall import stall

ORIGIN = Origin(HostName("a"), DataCentre("east"), 7)


def new_log(file: EventFile | None = None, max_events: int = 100) -> EventLog:
    """Return an empty log."""
    return EventLog(origin=ORIGIN, clock=HybridClock(), file=file, max_events=max_events)


class ClockTest(unittest.TestCase):
    """Causes sort before effects, even when clocks disagree."""

    def test_an_effect_sorts_after_its_cause_on_a_host_whose_clock_is_behind(self) -> None:
        """Every stamp issued after a received one is later than it."""
        ahead, behind = HybridClock(wall=lambda: 1000.0), HybridClock(wall=lambda: 10.0)
        ahead.observe(behind.now())
        cause = ahead.now()
        behind.observe(Stamp(990.0, 5))
        behind.observe(cause)
        self.assertGreater(behind.now(), cause)

    def test_a_faulty_clock_does_not_affect_other_clocks(self) -> None:
        """Stamps that can't be valid are refused and counted."""
        clock = HybridClock(wall=lambda: 1000.0)
        for wall, logical in ((math.inf, 0), (math.nan, 0), (1e9, 0), (1000.0, 1 << 32)):
            clock.observe(Stamp(wall, logical))
        self.assertEqual(clock.now(), Stamp(1000.0, 0))
        self.assertEqual(clock.refused, 4)


class TextTest(unittest.TestCase):
    """Limits on the texts of events."""

    # Guards against processes that end at their memory limit because thousands of events each list
    # the faults of a large configuration.
    def test_long_texts_are_cut(self) -> None:
        """A reason may name every route of a configuration; a shorter text is kept whole."""
        log = new_log()
        reason = "; ".join(f"route/{number}.timeout is over the limit" for number in range(6000))
        log.record("release", outcome="invalid", reason=reason)
        (event,) = log.select()
        kept = event["detail"]["reason"]
        self.assertLessEqual(len(kept), MAX_TEXT_CHARACTERS)
        self.assertTrue(kept.endswith(" ..."))
        self.assertTrue(reason.startswith(kept.removesuffix(" ...")))
        self.assertEqual(event["detail"]["outcome"], "invalid")


class StallTest(unittest.IsolatedAsyncioTestCase):
    """A late event loop is recorded."""

    async def test_a_stalled_event_loop_gets_an_event(self) -> None:
        """The event tells for how long no other task ran."""
        log = new_log()
        task = asyncio.create_task(log.run())
        await asyncio.sleep(0)
        stall(0.5)
        await asyncio.sleep(0.05)
        task.cancel()
        stalls = [float(event["detail"]["seconds"]) for event in log.select()]
        self.assertEqual(len(stalls), 1)
        self.assertGreater(stalls[0], 0.2)


class LogTest(unittest.TestCase):
    """Memory is bounded, and lost events are counted."""

    def test_memory_is_bounded_and_drops_are_counted(self) -> None:
        """The newest events are kept."""
        log = new_log(max_events=10)
        for version in range(1, 26):
            log.record("accepted", version=version)
        self.assertEqual([form["version"] for form in log.select()], list(range(16, 26)))
        self.assertEqual(log.counts["dropped_from_memory"], 15)

    def test_the_queue_of_refusals_to_copy_is_bounded(self) -> None:
        """Beyond the limit, the oldest are dropped and counted."""
        log = new_log(max_events=5000)
        for number in range(400):
            log.record("refusal", request=str(number))
        uncopied = log.take_uncopied()
        for number in range(400, 600):
            log.record("refusal", request=str(number))
        log.requeue_uncopied(uncopied)
        queued = [event.request for event in log.take_uncopied()]
        self.assertEqual(queued, [str(number) for number in range(100, 600)])
        self.assertEqual(log.counts["never_copied"], 100)

    def test_copies_keep_the_origin_of_their_events(self) -> None:
        """The holder of copies returns them with the host and process that recorded them."""
        source, holder = new_log(), new_log()
        source.record("refusal", request="r1", sentence="no")
        holder.store_copies(Origin(HostName("b"), DataCentre("west"), 9), source.take_uncopied())
        (form,) = holder.select(request="r1")
        self.assertEqual(
            (form["host"], form["process"], form["detail"]), ("b", 9, {"sentence": "no"})
        )


class FileTest(unittest.TestCase):
    """The file is bounded, read back after a restart, and readable in spite of damage."""

    def setUp(self) -> None:
        """Create a temporary folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "events"

    def open(self, max_bytes: int = 1 << 20) -> EventFile:
        """Open the file."""
        file = EventFile(path=self.path, max_bytes=max_bytes)
        self.addCleanup(file.close)
        return file

    def write(self, count: int, file: EventFile) -> list[EventForm]:
        """Write events through a log, and return them."""
        log = new_log(file, max_events=1000)
        for number in range(count):
            log.record("refusal", request=str(number))
        log.write()
        return [form for form in log.select()][-count:]

    def test_the_files_are_bounded_and_deleted_events_are_counted(self) -> None:
        """Two files are kept, and every event is in them or counted."""
        file = self.open(max_bytes=20_000)
        self.write(500, file)
        kept = list(read_events([rotated_path(self.path), self.path]))
        self.assertLess(self.path.stat().st_size + rotated_path(self.path).stat().st_size, 40_000)
        self.assertGreater(file.dropped, 0)
        self.assertEqual(len(kept) + file.dropped, 500)

    def test_a_restarted_process_restores_its_events(self) -> None:
        """The newest events of the file are restored, and sort before new ones."""
        written = self.write(20, self.open())
        log = new_log(self.open())
        log.record("started")
        forms = list(log.select())
        self.assertEqual(forms[:-1], written)
        stamps = [(form["wall"], form["logical"]) for form in forms]
        self.assertEqual(stamps, sorted(stamps))

    def test_damaged_lines_are_skipped(self) -> None:
        """Truncated and malformed lines don't keep others from being read."""
        self.write(3, self.open())
        text = self.path.read_text()
        self.path.write_text("[" * 100_000 + "\n{}\n7\n\x00\n" + text + text[:40])
        self.assertEqual(len(list(read_events([self.path]))), 3)

    def test_lines_lost_on_a_full_disk_are_counted(self) -> None:
        """A failed write raises no error, and the event stays in memory."""
        file = EventFile(path=Path("/dev/full"), max_bytes=1 << 20)
        log = new_log(file)
        log.record("started")
        log.write()
        self.assertEqual(log.counts["never_written"], 1)
        self.assertEqual(len(list(log.select())), 1)


if __name__ == "__main__":
    unittest.main()
