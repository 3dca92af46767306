"""Assesses the versions of the rollouts that run, from what owners have reported."""

from __future__ import annotations

from cowslipvane.catalogue import Rollout
from cowslipvane.rollout._comparison import Comparison
from cowslipvane.rollout._judgement import Judgement, judge, judge_speed
from cowslipvane.rollout._observations import Observations
from cowslipvane.types import ServiceName


class Assessor:
    """Keeps the evidence about each rollout while it runs."""

    def __init__(self, *, observations: Observations) -> None:
        self._observations = observations
        self._comparisons: dict[ServiceName, tuple[float, Comparison]] = {}

    def assess(self, service: ServiceName, rollout: Rollout, now: float) -> Judgement:
        """Take in what is known of a rollout now, and judge its version."""
        reports = self._observations.of_service(service)
        tried = [report for report in reports if report.version == rollout.target_version]
        others = [report for report in reports if report.version != rollout.target_version]
        comparison = self._comparison(service, rollout)
        comparison.update(tried, others, now)
        recent = self._observations.recent
        slow = judge_speed([recent(one) for one in tried], [recent(one) for one in others])
        return slow or judge(comparison, upstreams=len(tried))

    def _comparison(self, service: ServiceName, rollout: Rollout) -> Comparison:
        """Return the comparison of a rollout, a new one for a new order."""
        ordered_at, comparison = self._comparisons.get(service, (0.0, Comparison()))
        if ordered_at != rollout.ordered_at:
            comparison = Comparison()
        self._comparisons[service] = rollout.ordered_at, comparison
        return comparison
