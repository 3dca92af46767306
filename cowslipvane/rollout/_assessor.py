"""Assesses the versions of the rollouts that run, from what owners have reported."""

from __future__ import annotations

from typing import NamedTuple

from cowslipvane.catalogue import Rollout
from cowslipvane.rollout._comparison import Comparison
from cowslipvane.rollout._judgement import Judgement, judge, judge_speed
from cowslipvane.rollout._observations import Observations
from cowslipvane.types import Seconds, ServiceName


class _Case(NamedTuple):
    """The evidence about the rollout that was ordered at a time, and since when it is kept."""

    ordered_at: float
    began_at: float
    comparison: Comparison


class Assessment(NamedTuple):
    """A judgement, how long the rollout has been observed for it, and at how many upstreams."""

    judgement: Judgement
    observed_for: Seconds
    upstreams: int


class Assessor:
    """Keeps the evidence about each rollout while it runs."""

    def __init__(self, *, observations: Observations) -> None:
        self._observations = observations
        self._cases: dict[ServiceName, _Case] = {}

    def assess(self, service: ServiceName, rollout: Rollout, now: float) -> Assessment:
        """Take in what is known of a rollout now, and judge its version."""
        reports = self._observations.of_service(service)
        tried = [report for report in reports if report.version == rollout.target_version]
        others = [report for report in reports if report.version != rollout.target_version]
        case = self._cases.get(service)
        if case is None or case.ordered_at != rollout.ordered_at:
            case = self._cases[service] = _Case(rollout.ordered_at, now, Comparison())
        case.comparison.update(tried, others, now)
        recent = self._observations.recent
        slow = judge_speed([recent(one) for one in tried], [recent(one) for one in others])
        judgement = slow or judge(case.comparison, upstreams=len(tried))
        return Assessment(judgement, now - case.began_at, len(tried))
