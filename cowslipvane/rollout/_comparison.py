"""Compares a version's upstreams with those of other versions, interval by interval.

What slows or fails all upstreams for a while raises what is expected of the version for that while,
whenever its trial gets its requests.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from cowslipvane.rollout._answers import (
    AnswerCounts,
    WorkerAnswers,
    median_time,
    tail_answers,
)
from cowslipvane.types import HostName, Seconds

# The least time between two comparisons.
COMPARE_INTERVAL: Seconds = 0.5
# The time over which answers count as recent.
RECENT: Seconds = 3.0
# Answers that take this many times the median of their own upstream are slow. Upstreams that are
# sound differ in speed, so that a common bound would call the slower ones bad.
TAIL_FACTOR = 3.0
# Answers of one upstream from which its median is taken.
MIN_MEDIAN_ANSWERS = 8


class Evidence(NamedTuple):
    """Answers of one upstream to one kind of request: what was found, and what was to be expected.

    The expected numbers are those that the other versions' upstreams would have shown.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0
    expected_failures: float = 0.0
    expected_slow: float = 0.0

    def plus(self, other: Evidence) -> Evidence:
        """Return the sum of two pieces of evidence."""
        return Evidence(
            self.answers + other.answers,
            self.failures + other.failures,
            self.slow + other.slow,
            self.expected_failures + other.expected_failures,
            self.expected_slow + other.expected_slow,
        )


class _Increment(NamedTuple):
    """What came in an interval of one upstream's answers to one kind of request."""

    host: HostName
    kind: str
    answers: int
    failures: int
    slow: int


# The evidence of each upstream that is tried, by kind.
EvidenceByKind = dict[str, dict[HostName, Evidence]]


class Comparison:
    """The evidence about one version since its rollout was first looked at."""

    def __init__(self) -> None:
        self._seen: dict[HostName, WorkerAnswers] = {}
        self._all: EvidenceByKind = {}
        self._intervals: deque[tuple[float, EvidenceByKind]] = deque()
        self._updated_at: float | None = None

    @property
    def since_order(self) -> EvidenceByKind:
        """Return all evidence."""
        return self._all

    @property
    def recent(self) -> EvidenceByKind:
        """Return the evidence of the last intervals."""
        result: EvidenceByKind = {}
        for _, evidence in self._intervals:
            _add(result, evidence)
        return result

    def update(
        self, tried: Sequence[WorkerAnswers], others: Sequence[WorkerAnswers], now: float
    ) -> None:
        """Compare what has come since the last time, unless that was just before."""
        if self._updated_at is not None and now < self._updated_at + COMPARE_INTERVAL:
            return
        self._updated_at = now
        usual = _shares(self._increments(others))
        evidence: EvidenceByKind = {}
        for increment in self._increments(tried):
            failing, slow = usual.get(increment.kind, (0.0, 0.0))
            found = Evidence(
                increment.answers,
                increment.failures,
                increment.slow,
                increment.answers * failing,
                increment.answers * slow,
            )
            evidence.setdefault(increment.kind, {})[increment.host] = found
        _add(self._all, evidence)
        self._intervals.append((now, evidence))
        while self._intervals[0][0] <= now - RECENT:
            self._intervals.popleft()
        for report in itertools.chain(tried, others):
            self._seen[report.host] = report

    def _increments(self, reports: Iterable[WorkerAnswers]) -> Iterator[_Increment]:
        """Yield what has come since the last time, by upstream and kind."""
        for report in reports:
            before = self._seen.get(report.host)
            if before is None or not before.is_of_same_worker(report):
                before = report._replace(counts=())
            earlier = {counts.kind: counts for counts in before.counts}
            for counts in report.counts:
                new = counts.since(earlier[counts.kind]) if counts.kind in earlier else counts
                if new.answers:
                    slow = _slow_answers(new, counts)
                    yield _Increment(report.host, new.kind, new.answers, new.failures, slow)


def _slow_answers(new: AnswerCounts, known: AnswerCounts) -> int:
    """Return how many new answers took much longer than the upstream's answers usually take."""
    median = median_time(known) if known.answers >= MIN_MEDIAN_ANSWERS else None
    return 0 if median is None else tail_answers(new, TAIL_FACTOR * median)


def _shares(increments: Iterable[_Increment]) -> Mapping[str, tuple[float, float]]:
    """Return the shares of the answers that failed and that were slow, by kind."""
    sums: dict[str, tuple[int, int, int]] = {}
    for _, kind, answers, failures, slow in increments:
        before = sums.get(kind, (0, 0, 0))
        sums[kind] = before[0] + answers, before[1] + failures, before[2] + slow
    return {
        kind: (min(failures / answers, 1.0), min(slow / answers, 1.0))
        for kind, (answers, failures, slow) in sums.items()
    }


def _add(total: EvidenceByKind, evidence: EvidenceByKind) -> None:
    """Add evidence to a total."""
    for kind, by_host in evidence.items():
        known = total.setdefault(kind, {})
        for host, found in by_host.items():
            known[host] = known.get(host, Evidence()).plus(found)
