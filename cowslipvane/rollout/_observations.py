"""What the owners of all upstreams have reported, and what of it is recent."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cowslipvane.rollout._answers import AnswerCounts, WorkerAnswers
from cowslipvane.types import HostName, Seconds, ServiceName

# The time over which answers count as recent, and between two records of what was known.
RECENT: Seconds = 3.0
RECORD_INTERVAL: Seconds = 0.5
# A report that no newer one has followed for this time is of an owner that is gone.
REPORT_LIFETIME: Seconds = 60.0


class _Record(NamedTuple):
    """The reports that were known at a time."""

    at: float
    reports: Mapping[HostName, WorkerAnswers]


class Observations:
    """The newest report of each owner."""

    def __init__(self) -> None:
        self._reports: dict[HostName, WorkerAnswers] = {}
        self._received_at: dict[HostName, float] = {}
        self._records: deque[_Record] = deque()

    @property
    def reports(self) -> tuple[WorkerAnswers, ...]:
        """Return the newest report of each owner."""
        return tuple(self._reports.values())

    def record(self, reports: Iterable[WorkerAnswers], now: float) -> bool:
        """Store the reports that are newer than those held; return whether there were any."""
        is_changed = False
        for report in reports:
            held = self._reports.get(report.host)
            if held is None or report.order > held.order:
                self._reports[report.host] = report
                self._received_at[report.host] = now
                is_changed = True
        return is_changed

    def keep_record(self, now: float) -> None:
        """Keep what is known now, from which later answers count as recent, and drop the old."""
        for host, received_at in list(self._received_at.items()):
            if now > received_at + REPORT_LIFETIME:
                del self._reports[host], self._received_at[host]
        if self._records and now < self._records[-1].at + RECORD_INTERVAL:
            return
        self._records.append(_Record(now, dict(self._reports)))
        while len(self._records) > 1 and self._records[1].at <= now - RECENT:
            self._records.popleft()

    def of_service(self, service: ServiceName) -> list[WorkerAnswers]:
        """Return the newest reports of the upstreams of a service."""
        return [report for report in self._reports.values() if report.service == service]

    def recent(self, report: WorkerAnswers) -> tuple[AnswerCounts, ...]:
        """Return the answers of an upstream that are recent; all if its report began lately."""
        before = self._records[0].reports.get(report.host) if self._records else None
        if before is None or not before.is_of_same_worker(report):
            return report.counts
        earlier = {counts.kind: counts for counts in before.counts}
        return tuple(
            counts.since(earlier[counts.kind]) if counts.kind in earlier else counts
            for counts in report.counts
        )
