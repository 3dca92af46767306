"""Tests of the metrics."""

import unittest

from prometheus_client.parser import text_string_to_metric_families as parse

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.metrics import FAMILIES, Metrics, Sample
from cowslipvane.metrics._render import render
from cowslipvane.types import DataCentre, HostName, Version

PREFIX = "cowslipvane_"


def metrics_after(count: int) -> Metrics:
    """Return metrics that have recorded the calls of a number of callers."""
    metrics = Metrics()
    origin = Origin(HostName("a"), DataCentre("b"), 1)
    log = EventLog(
        origin=origin, clock=HybridClock(wall=lambda: 100.0), observer=metrics.record_event
    )
    for number in range(count):
        request = f"caller-{number}"
        log.record("attempt", request=request, owner="a", number="1")
        log.record("attempt", request=request, owner="b", number="2")
        log.record("verdict", request=request, owner="b", verdict="ran", outcome="200")
        log.record("refusal", request=request, code="no-route", asked=f"GET /{number}")
        metrics.record_call(0.004)
    log.record("accepted", version=3)
    return metrics


class MetricsTest(unittest.TestCase):
    """Counters are correct, and their number doesn't grow with callers."""

    def test_calls_attempts_and_retries_are_counted(self) -> None:
        """Every attempt after the first of a call is a retry."""
        counts = {(it.name, it.label): it.value for it in metrics_after(5).samples()}
        self.assertEqual(counts["cowslipvane_attempts", ""], 10)
        self.assertEqual(counts["cowslipvane_retries", ""], 5)
        self.assertEqual(counts["cowslipvane_calls", "served"], 5)
        self.assertEqual(counts["cowslipvane_calls", "no-route"], 5)
        self.assertEqual(counts["cowslipvane_verdicts", "ran"], 5)

    def test_the_number_of_series_does_not_grow_with_callers(self) -> None:
        """A thousand callers create as many series as one."""
        sizes = {len(metrics_after(count).samples()) for count in (1, 1000)}
        self.assertEqual(len(sizes), 1)

    def test_a_long_call_is_in_the_last_bucket_only(self) -> None:
        """Buckets are cumulative, and the last one counts all calls."""
        metrics = metrics_after(3)
        metrics.record_call(60.0)
        self.assertEqual(metrics.call_buckets[-2:], [3, 4])
        self.assertEqual(metrics.call_buckets[:3], [0, 0, 3])
        self.assertAlmostEqual(metrics.call_seconds_sum, 60.012)

    def test_convergence_grows_until_the_last_proxy_applied_the_version(self) -> None:
        """The time ends at the last proxy; it is None if the version's acceptance wasn't seen."""
        metrics, three = metrics_after(1), Version(3)
        behind = {Version(2): 90.0, three: 101.0}
        self.assertEqual(metrics.convergence(three, behind, 107.0), 7.0)
        self.assertEqual(metrics.convergence(three, {three: 104.5}, 200.0), 4.5)
        self.assertIsNone(metrics.convergence(Version(4), {three: 104.5}, 200.0))
        self.assertIsNone(metrics.convergence(three, {}, 200.0))

    def test_the_rendered_text_parses_and_has_documented_names_only(self) -> None:
        """Each family is documented, and values are preserved."""
        metrics = metrics_after(2)
        text = render(metrics, [*metrics.samples(), Sample("cowslipvane_slots", 6)]).decode()
        found = {family.name: family for family in parse(text)}
        own = {name for name in found if name.startswith(PREFIX)}
        self.assertLessEqual(own, {family.name for family in FAMILIES})
        self.assertEqual(found["cowslipvane_slots"].samples[0].value, 6)
        self.assertIn("process_resident_memory_bytes", found)


if __name__ == "__main__":
    unittest.main()
