"""Tests of the metrics."""

import unittest

from prometheus_client.parser import text_string_to_metric_families as parse

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.metrics import FAMILIES, Metrics, Sample
from cowslipvane.metrics._metrics import MAX_COUNTED_TEAMS, MAX_NAMED_TEAMS
from cowslipvane.metrics._render import render
from cowslipvane.types import DataCentre, HostName, Version

PREFIX = "cowslipvane_"
_KINDS = ("first", "repeated", "nested")


def log_into(metrics: Metrics) -> EventLog:
    """Return an event log whose events are counted in metrics."""
    origin = Origin(HostName("a"), DataCentre("b"), 1)
    return EventLog(
        origin=origin, clock=HybridClock(wall=lambda: 100.0), observer=metrics.record_event
    )


def metrics_after(count: int) -> Metrics:
    """Return metrics that have recorded the calls of a number of callers."""
    metrics = Metrics()
    log = log_into(metrics)
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

    # Guards against records that can't tell what has used up a team's quota (issue 55).
    def test_attempts_of_teams_are_counted_by_who_made_them(self) -> None:
        """Attempts of no team aren't, and a repeated nested call is a nested call."""
        metrics = Metrics()
        log = log_into(metrics)
        for team, number, made_by in (
            *(("a", "1", "caller"), ("a", "2", "caller"), ("b", "1", "caller")),
            *(("a", "1", "upstream"), ("a", "2", "upstream"), ("", "1", "caller")),
        ):
            log.record("attempt", request="r", owner="o", number=number, team=team, made_by=made_by)
        counts = {(it.name, it.label): it.value for it in metrics.samples()}
        kinds = {kind: counts["cowslipvane_team_attempts", kind] for kind in _KINDS}
        self.assertEqual(kinds, {"first": 2, "repeated": 1, "nested": 2})

    def test_requests_are_counted_by_team(self) -> None:
        """A retry is no request of its own, and a request of no team is counted for none."""
        metrics = Metrics()
        log = log_into(metrics)
        for team, number in (("a", "1"), ("a", "2"), ("b", "1"), ("a", "1"), ("", "1")):
            log.record("attempt", owner="o", number=number, team=team)
        counts = {(it.name, it.label): it.value for it in metrics.samples()}
        self.assertEqual(counts["cowslipvane_team_requests", "a"], 2)
        self.assertEqual(counts["cowslipvane_team_requests", "b"], 1)
        self.assertNotIn(("cowslipvane_team_requests", ""), counts)
        self.assertEqual(counts["cowslipvane_all_team_requests", ""], 3)

    # Guards against a series for each of 10,000 teams at each of 5,000 proxies, and against memory
    # that grows for as long as teams are renamed.
    def test_the_teams_with_the_most_requests_are_named(self) -> None:
        """Their number is bounded; the requests of the others are in the sum."""
        metrics = Metrics()
        log = log_into(metrics)
        busy = {f"busy-{number}" for number in range(MAX_NAMED_TEAMS)}
        for number in range(MAX_COUNTED_TEAMS - MAX_NAMED_TEAMS):
            log.record("attempt", owner="o", number="1", team=f"calm-{number}")
        for team in [*busy, *busy]:
            log.record("attempt", owner="o", number="1", team=team)
        log.record("attempt", owner="o", number="1", team="one-too-many")
        samples = [it for it in metrics.samples() if it.name == "cowslipvane_team_requests"]
        self.assertEqual({it.label for it in samples}, busy)
        self.assertEqual({it.value for it in samples}, {2})
        counts = {it.name: it.value for it in metrics.samples() if not it.label}
        expected = MAX_COUNTED_TEAMS + MAX_NAMED_TEAMS + 1
        self.assertEqual(counts["cowslipvane_all_team_requests"], expected)
        self.assertEqual(len(metrics._requests_by_team), MAX_COUNTED_TEAMS)

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
