"""Judges a version by the evidence about its upstreams."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cowslipvane.rollout._answers import AnswerCounts, median_time, total
from cowslipvane.rollout._comparison import MIN_MEDIAN_ANSWERS, Comparison, Evidence, EvidenceByKind
from cowslipvane.types import HostName, Seconds

# Answers of the version below which nothing is said.
MIN_ANSWERS = 10
# Answers of one upstream from which it may show a fault.
MIN_UPSTREAM_ANSWERS = 8
# By how much failures or slow answers have to be more than expected, as a share and as a number.
MIN_EXCESS_SHARE = 0.05
MIN_EXCESS_ANSWERS = 3.0
# Standard deviations that chance may explain.
CHANCE_DEVIATIONS = 3.0
# A fault of the version shows at this share of its upstreams, of which as many as this are heard,
# if there are so many. Some upstreams may be sick for another reason.
SHOWING_SHARE = 0.8
MIN_HEARD = 3
# A version is slow throughout if its upstreams' median is over this many times the time of the
# slowest tenth of the others. Upstreams that are sound differ in speed, too.
SLOW_FACTOR = 1.8
SLOW_QUANTILE = 0.9


@dataclass(frozen=True, slots=True, kw_only=True)
class Bad:
    """The version is worse than the others."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Sound:
    """Enough answers were seen, and the version isn't worse."""

    answers: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TooFewAnswers:
    """Too few answers were seen."""

    answers: int


Judgement = Bad | Sound | TooFewAnswers


def judge(comparison: Comparison, *, upstreams: int) -> Judgement:
    """Judge a version that has so many upstreams by their failures and slow answers."""
    for evidence in (comparison.recent, comparison.since_order):
        for kind, by_host in (*sorted(evidence.items()), ("", _of_all_kinds(evidence))):
            fault = _fault(by_host, upstreams)
            if fault:
                return Bad(reason=f"{fault} ({kind})" if kind else fault)
    answers = sum(found.answers for found in _of_all_kinds(comparison.since_order).values())
    return Sound(answers=answers) if answers >= MIN_ANSWERS else TooFewAnswers(answers=answers)


def judge_speed(
    tried: Sequence[tuple[AnswerCounts, ...]], others: Sequence[tuple[AnswerCounts, ...]]
) -> Bad | None:
    """Judge a version by the medians of its upstreams in the same time; None if it isn't slow."""
    times, usual = _medians(tried), _medians(others)
    if not times or len(times) < min(MIN_HEARD, len(tried)) or len(usual) < 2:
        return None
    slowest = usual[min(int(len(usual) * SLOW_QUANTILE), len(usual) - 1)]
    median = statistics.median_low(times)
    if median <= SLOW_FACTOR * slowest:
        return None
    return Bad(reason=f"its answers take {median:.3g} s, those of others {slowest:.3g} s at most")


def _of_all_kinds(evidence: EvidenceByKind) -> dict[HostName, Evidence]:
    """Return the evidence of each upstream over all kinds."""
    result: dict[HostName, Evidence] = {}
    for by_host in evidence.values():
        for host, found in by_host.items():
            result[host] = result.get(host, Evidence()).plus(found)
    return result


def _fault(by_host: Mapping[HostName, Evidence], upstreams: int) -> str:
    """Return what there is too much of, or an empty text."""
    found = by_host.values()
    if _is_excess([(e.answers, e.failures, e.expected_failures) for e in found], upstreams):
        return f"{sum(e.failures for e in found)} of {sum(e.answers for e in found)} answers failed"
    if _is_excess([(e.answers, e.slow, e.expected_slow) for e in found], upstreams):
        return f"{sum(e.slow for e in found)} of {sum(e.answers for e in found)} answers were slow"
    return ""


def _is_excess(by_upstream: Sequence[tuple[int, int, float]], upstreams: int) -> bool:
    """Return whether more was found than expected, at nearly all upstreams, and not by chance.

    Each upstream has its answers, what was found among them, and what was expected.
    """
    answers = sum(one[0] for one in by_upstream)
    if answers < MIN_ANSWERS:
        return False
    expected = sum(one[2] for one in by_upstream)
    deviation = math.sqrt(max(expected * (1 - expected / answers), 0.0))
    margin = max(MIN_EXCESS_SHARE * answers, MIN_EXCESS_ANSWERS, CHANCE_DEVIATIONS * deviation)
    if sum(one[1] for one in by_upstream) <= expected + margin:
        return False
    heard = [one for one in by_upstream if one[0] >= MIN_UPSTREAM_ANSWERS]
    showing = sum(found > usual + MIN_EXCESS_SHARE * count for count, found, usual in heard)
    return len(heard) >= min(MIN_HEARD, upstreams) and showing >= SHOWING_SHARE * len(heard)


def _medians(upstreams: Iterable[tuple[AnswerCounts, ...]]) -> list[Seconds]:
    """Return the medians of the upstreams that gave enough answers, in ascending order."""
    sums = [total(counts) for counts in upstreams]
    medians = [median_time(counts) for counts in sums if counts.answers >= MIN_MEDIAN_ANSWERS]
    return sorted(median for median in medians if median is not None)
