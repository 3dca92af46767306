"""The counters that a process updates while it runs."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Mapping
from itertools import accumulate
from typing import NamedTuple

from cowslipvane.events import Event
from cowslipvane.types import Seconds, Version

# Upper bounds of the histogram buckets for call durations, in seconds.
CALL_SECONDS_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)

# The teams that the metrics name, of those with requests, and the teams whose requests are counted
# each by itself. Names are those of the configuration, whose number callers can't raise.
MAX_NAMED_TEAMS = 50
MAX_COUNTED_TEAMS = 10_000


class Sample(NamedTuple):
    """The current value of a metric for one label value; label is empty if there is no label."""

    name: str
    value: float
    label: str = ""


class Metrics:
    """Counters derived from the events of a process, and a histogram of its call durations."""

    def __init__(self) -> None:
        self._calls: Counter[str] = Counter()
        self._verdicts: Counter[str] = Counter()
        self._versions: Counter[str] = Counter()
        self._requests_by_team: Counter[str] = Counter()
        self._requests_of_teams = 0
        self._team_attempts: Counter[str] = Counter()
        self._attempts = 0
        self._retries = 0
        self._bucket_counts = [0] * (len(CALL_SECONDS_BUCKETS) + 1)
        self._call_seconds_sum = 0.0
        # The version last accepted here, and the wall-clock time of its acceptance in seconds.
        self._last_accepted: tuple[Version, float] = (Version(0), 0.0)

    @property
    def call_buckets(self) -> list[int]:
        """Return the cumulative count of calls for each bucket; the last one counts all calls."""
        return list(accumulate(self._bucket_counts))

    @property
    def call_seconds_sum(self) -> Seconds:
        """Return the sum of the durations of all calls."""
        return self._call_seconds_sum

    def record_event(self, event: Event) -> None:
        """Update the counters that an event affects."""
        match event.kind:
            case "attempt":
                self._record_attempt(event.detail)
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
                self._last_accepted = (Version(event.version), event.stamp.wall)

    def _record_attempt(self, detail: Mapping[str, str]) -> None:
        """Count an attempt, and that of a team's request by what it adds to the team's use."""
        self._attempts += 1
        is_first = detail["number"] == "1"
        if not is_first:
            self._retries += 1
        team = detail.get("team")
        if not team:
            return
        if is_first:
            self._count_request(team)
        is_nested = detail.get("made_by") == "upstream"
        self._team_attempts["nested" if is_nested else "first" if is_first else "repeated"] += 1

    def _count_request(self, team: str) -> None:
        """Count the first attempt of a team's request."""
        self._requests_of_teams += 1
        if team in self._requests_by_team or len(self._requests_by_team) < MAX_COUNTED_TEAMS:
            self._requests_by_team[team] += 1

    def record_call(self, seconds: Seconds) -> None:
        """Record the duration of a call that has ended."""
        self._bucket_counts[bisect.bisect_left(CALL_SECONDS_BUCKETS, seconds)] += 1
        self._call_seconds_sum += seconds

    def convergence(
        self, accepted_version: Version, in_force: dict[Version, float], now: float
    ) -> Seconds | None:
        """Return the convergence time of accepted_version, the newest version.

        in_force holds the reported versions, each with the latest wall time at which it came into
        force; now is wall-clock time in seconds. The result is None if this process didn't see the
        acceptance of the newest version, or if no versions are reported.
        """
        version, accepted_at = self._last_accepted
        if version != accepted_version or not version or not in_force:
            return None
        converged = min(in_force) >= version
        return max(0.0, (in_force[version] if converged else now) - accepted_at)

    def samples(self) -> list[Sample]:
        """Return the current values of the counters."""
        return [
            *_by_label("cowslipvane_calls", self._calls),
            *_by_label("cowslipvane_verdicts", self._verdicts),
            *_by_label("cowslipvane_versions", self._versions),
            *_by_label("cowslipvane_team_requests", self._largest_teams()),
            Sample("cowslipvane_all_team_requests", self._requests_of_teams),
            *_by_label("cowslipvane_team_attempts", self._team_attempts),
            Sample("cowslipvane_attempts", self._attempts),
            Sample("cowslipvane_retries", self._retries),
        ]

    def _largest_teams(self) -> Counter[str]:
        """Return the requests of the teams that have the most."""
        return Counter(dict(self._requests_by_team.most_common(MAX_NAMED_TEAMS)))


def _by_label(name: str, counts: Counter[str]) -> list[Sample]:
    """Return a sample for each label value."""
    return [Sample(name, value, label) for label, value in sorted(counts.items())]
