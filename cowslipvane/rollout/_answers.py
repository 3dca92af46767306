"""Counts of an upstream's answers, which its owner keeps and which only grow."""

from __future__ import annotations

import bisect
import itertools
from typing import NamedTuple

from cowslipvane.types import HostName, Seconds, ServiceName

# Upper bounds of the histogram of times. Each is half as much again as the one before, so that a
# median is known to within a quarter.
_FIRST_BOUND: Seconds = 0.001
_GROWTH = 1.5
_BOUNDS = 28
TIME_BOUNDS: tuple[Seconds, ...] = tuple(_FIRST_BOUND * _GROWTH**n for n in range(_BOUNDS))
# Kinds of request that are counted apart; those that come after them are counted together.
MAX_KINDS = 16
OTHER_KINDS = ""
# An owner pauses its upstream after this many failures, if they are more than this share of the
# answers. Fewer may be luck.
MIN_FAILURES_TO_PAUSE = 10
FAILURE_SHARE_TO_PAUSE = 0.2


class AnswerCounts(NamedTuple):
    """Answers to requests of one kind.

    times is the histogram of the times at the worker; its last entry counts what is over all
    bounds, and entries of 0 at its end are left out.
    """

    kind: str
    answers: int
    failures: int
    times: tuple[int, ...]

    def since(self, earlier: AnswerCounts) -> AnswerCounts:
        """Return the counts without those that were known earlier."""
        times = itertools.zip_longest(self.times, earlier.times, fillvalue=0)
        return AnswerCounts(
            self.kind,
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            tuple(now - before for now, before in times),
        )

    def plus(self, other: AnswerCounts) -> AnswerCounts:
        """Return the sum of two counts, of the kind of the first."""
        times = itertools.zip_longest(self.times, other.times, fillvalue=0)
        return AnswerCounts(
            self.kind,
            self.answers + other.answers,
            self.failures + other.failures,
            tuple(one + another for one, another in times),
        )


class WorkerAnswers(NamedTuple):
    """The answers of one upstream since its owner registered it.

    incarnation is that of the owner's process, registration counts the upstreams that it has
    registered, and sequence the reports. running is how many requests the upstream runs or has
    waiting. is_paused tells that the owner sends it nothing more by itself.
    """

    host: HostName
    incarnation: int
    registration: int
    sequence: int
    service: ServiceName
    version: str
    counts: tuple[AnswerCounts, ...]
    running: int
    is_paused: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Return a sort key for the reports of one host."""
        return self.incarnation, self.registration, self.sequence

    def is_of_same_worker(self, other: WorkerAnswers) -> bool:
        """Return whether two reports are of one upstream in one process, so that counts grow."""
        return self.order[:2] == other.order[:2]


class AnswerLog:
    """Counts the answers of the upstream that an owner has registered."""

    def __init__(self) -> None:
        self._answers: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._times: dict[str, list[int]] = {}

    def record(self, kind: str, duration: Seconds, *, failed: bool) -> None:
        """Count an answer and its time at the worker."""
        if kind not in self._times and len(self._times) >= MAX_KINDS:
            kind = OTHER_KINDS
        times = self._times.setdefault(kind, [0] * (_BOUNDS + 1))
        times[bisect.bisect_left(TIME_BOUNDS, duration)] += 1
        self._answers[kind] = self._answers.get(kind, 0) + 1
        self._failures[kind] = self._failures.get(kind, 0) + failed

    @property
    def counts(self) -> tuple[AnswerCounts, ...]:
        """Return the counts of each kind."""
        return tuple(
            AnswerCounts(kind, self._answers[kind], self._failures[kind], _without_end(times))
            for kind, times in self._times.items()
        )

    @property
    def fails_clearly(self) -> bool:
        """Return whether so many answers failed that the upstream gets nothing until told to."""
        failures, answers = sum(self._failures.values()), sum(self._answers.values())
        return failures >= MIN_FAILURES_TO_PAUSE and failures > FAILURE_SHARE_TO_PAUSE * answers


def total(counts: tuple[AnswerCounts, ...]) -> AnswerCounts:
    """Return the sum over all kinds."""
    result = AnswerCounts(OTHER_KINDS, 0, 0, ())
    for count in counts:
        result = result.plus(count)
    return result


def median_time(counts: AnswerCounts) -> Seconds | None:
    """Return the median time, within the width of its bucket, or None without an answer."""
    answers = sum(counts.times)
    if not answers:
        return None
    below = 0
    for index, number in enumerate(counts.times):
        if number and below + number >= answers / 2:
            upper = TIME_BOUNDS[min(index, _BOUNDS - 1)]
            # Interpolated on the scale of the bounds.
            factor: float = _GROWTH ** ((answers / 2 - below) / number - 1)
            return upper * factor
        below += number
    return TIME_BOUNDS[-1]


def tail_answers(counts: AnswerCounts, bound: Seconds) -> int:
    """Return how many answers surely took longer than a bound."""
    return sum(counts.times[bisect.bisect_left(TIME_BOUNDS, bound) + 1 :])


def _without_end(times: list[int]) -> tuple[int, ...]:
    """Return a histogram without the entries of 0 at its end."""
    end = len(times)
    while end and not times[end - 1]:
        end -= 1
    return tuple(times[:end])
