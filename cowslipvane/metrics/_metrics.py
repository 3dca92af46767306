"""The counts that a process keeps while it works."""

from __future__ import annotations

import bisect
from collections import Counter
from itertools import accumulate
from typing import NamedTuple

from cowslipvane.events import Event
from cowslipvane.types import Seconds, Version

# Upper bounds of the buckets of the histogram, in seconds.
CALL_SECONDS_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Sample(NamedTuple):
    """A value of a family now; label parts the family, or is empty."""

    name: str
    value: float
    label: str = ""


class Metrics:
    """Counts what the events of a process tell, and how long its calls take."""

    def __init__(self) -> None:
        self._calls: Counter[str] = Counter()
        self._verdicts: Counter[str] = Counter()
        self._versions: Counter[str] = Counter()
        self._attempts = 0
        self._retries = 0
        self._call_counts = [0] * (len(CALL_SECONDS_BUCKETS) + 1)
        self._call_seconds = 0.0
        self._accepted: tuple[Version, float] = (Version(0), 0.0)

    @property
    def call_buckets(self) -> list[int]:
        """Return how many calls took up to each bound, and how many there were at all."""
        return list(accumulate(self._call_counts))

    @property
    def call_seconds(self) -> Seconds:
        """Return the sum of the times of all calls."""
        return self._call_seconds

    def record_event(self, event: Event) -> None:
        """Count what an event tells."""
        match event.kind:
            case "attempt":
                self._attempts += 1
                self._retries += event.detail["number"] != "1"
            case "verdict":
                verdict = event.detail["verdict"]
                self._verdicts[verdict] += 1
                if verdict == "ran":
                    self._calls["served"] += 1
            case "refusal":
                self._calls[event.detail["code"]] += 1
            case "applied" | "rejected":
                self._versions[event.kind] += 1
            case "accepted":
                self._accepted = (Version(event.version), event.stamp.wall)

    def record_call(self, seconds: Seconds) -> None:
        """Count a call that ended, by the time it took."""
        self._call_counts[bisect.bisect_left(CALL_SECONDS_BUCKETS, seconds)] += 1
        self._call_seconds += seconds

    def convergence(
        self, accepted: Version, in_force: dict[Version, float], now: float
    ) -> Seconds | None:
        """Return the convergence time of the newest version.

        In force are the versions of the reports, each with the newest wall time of its coming into
        force; the result is None when this process never saw the version accepted.
        """
        version, accepted_at = self._accepted
        if version != accepted or not version or not in_force:
            return None
        whole = min(in_force) >= version
        return max(0.0, (in_force[version] if whole else now) - accepted_at)

    def samples(self) -> list[Sample]:
        """Return the counts."""
        return [
            *_by_label("cowslipvane_calls", self._calls),
            *_by_label("cowslipvane_verdicts", self._verdicts),
            *_by_label("cowslipvane_versions", self._versions),
            Sample("cowslipvane_attempts", self._attempts),
            Sample("cowslipvane_retries", self._retries),
        ]


def _by_label(name: str, counts: Counter[str]) -> list[Sample]:
    """Return a reading for each label."""
    return [Sample(name, value, label) for label, value in sorted(counts.items())]
