"""The rate limit that a worker names: kept to, recorded, and kept for a successor."""

from __future__ import annotations

import time
from collections.abc import Callable

from cowslipvane.admission import Admission
from cowslipvane.events import EventLog
from cowslipvane.membership import Departure, WorkerLimit
from cowslipvane.tasks.distribution import FactKeeper
from cowslipvane.tasks.upstreams._worker_http import WorkerState


class WorkerLimits:
    """Applies the rate limit that the worker names in its answers to its admission.

    incarnation returns what a departure of the worker would name, None while that isn't known.
    """

    def __init__(
        self,
        *,
        fact_keeper: FactKeeper,
        events: EventLog,
        incarnation: Callable[[], Departure | None],
    ) -> None:
        self._fact_keeper = fact_keeper
        self._events = events
        self._incarnation = incarnation
        # When the worker last named a rate limit, in time.monotonic seconds.
        self._named_at = 0.0

    def expect_kept(self, admission: Admission) -> None:
        """Keep to the rate that the worker named to an earlier process, until it answers."""
        kept = self._fact_keeper.kept_limit
        if not admission.awaits_first_answer or kept is None:
            return
        is_limited = admission.requests_per_s is not None
        if is_limited or kept.requests_per_s == 0 or kept[:2] != self._incarnation():
            return
        admission.expect_rate(kept.requests_per_s, time.monotonic())
        self._record(admission, f"{kept.requests_per_s:g}", told="an earlier process")

    def update(self, admission: Admission, state: WorkerState) -> bool:
        """Apply the limit of an answer; return whether there is none any more."""
        now = time.monotonic()
        current = admission.requests_per_s
        if state.requests_per_s is not None:
            self._named_at = now
            admission.limit_rate(state.requests_per_s, now)
            if current is None:
                self._record(admission, f"{state.requests_per_s:g}")
            self._keep(state.requests_per_s)
        elif current is not None and state.asked_at > self._named_at:
            # Answers to requests that were sent earlier may be older than the limit.
            admission.limit_rate(None, now)
            self._record(admission, "none")
            self._keep(0.0)
            return True
        return False

    def _keep(self, requests_per_s: float) -> None:
        """Have the limit kept for whoever owns the worker after this process; 0 stands for none."""
        incarnation = self._incarnation()
        if incarnation is not None:
            self._fact_keeper.note_limit(WorkerLimit(*incarnation, requests_per_s))

    def _record(
        self, admission: Admission, requests_per_s: str, *, told: str = "this process"
    ) -> None:
        """Record that the worker names a rate limit, or none any more, and to whom."""
        service = admission.service
        self._events.record("limited", service=service, requests_per_s=requests_per_s, told=told)
