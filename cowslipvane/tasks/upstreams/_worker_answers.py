"""The answers of the worker while its service is rolled out: counted, reported, and acted upon."""

from __future__ import annotations

import time

from cowslipvane.admission import Work
from cowslipvane.catalogue import Rollout
from cowslipvane.membership import Worker
from cowslipvane.rollout import AnswerLog, WorkerAnswers
from cowslipvane.routing import Load
from cowslipvane.subscription import Subscription
from cowslipvane.types import HostName, Seconds


class WorkerAnswerLog:
    """Counts the answers of the registered worker, and tells whether it may be sent requests."""

    def __init__(self, *, host: HostName, incarnation: int, subscription: Subscription) -> None:
        self._host = host
        self._incarnation = incarnation
        self._subscription = subscription
        self._worker: Worker | None = None
        self._registrations = 0
        self._sequence = 0
        self._warm_at = 0.0
        self._log = AnswerLog()
        # The rollout during whose present step the worker is paused.
        self._paused_in: Rollout | None = None

    def begin(self, worker: Worker) -> None:
        """Count the answers of a worker that is registered now."""
        self._worker = worker
        self._registrations += 1
        self._log = AnswerLog()
        self._paused_in = None

    def expect_cold(self, cold_for: Seconds) -> None:
        """Count no answers while the worker is still slow after its start."""
        if cold_for:
            self._warm_at = time.monotonic() + cold_for

    def record(self, work: Work, duration: Seconds, has_failed: bool) -> None:
        """Count an answer of the worker."""
        if time.monotonic() < self._warm_at:
            return
        self._log.record(work.kind, duration, failed=has_failed)
        if self.is_on_trial and self._log.fails_clearly:
            self._paused_in = self._rollout

    @property
    def is_on_trial(self) -> bool:
        """Return whether a share of the requests goes to the worker's version to try it."""
        match self._rollout:
            case Rollout(phase="running", target_version=version, share=share):
                return share < 1 and self._version == version
            case _:
                return False

    @property
    def is_barred(self) -> bool:
        """Return whether the worker gets no requests, since its version is or seems to be bad."""
        match self._rollout:
            case Rollout(phase="rolled-back", target_version=version):
                return self._version == version
            case rollout:
                return rollout is not None and rollout == self._paused_in

    def report(self, load: Load) -> WorkerAnswers | None:
        """Return what is counted while a rollout of the worker's service runs, or None."""
        rollout = self._rollout
        if rollout is None or rollout.phase != "running" or self._worker is None:
            return None
        self._sequence += 1
        return WorkerAnswers(
            host=self._host,
            incarnation=self._incarnation,
            registration=self._registrations,
            sequence=self._sequence,
            service=self._worker.service,
            version=self._version,
            counts=self._log.counts,
            running=load.running + load.queued,
            is_paused=self._paused_in == rollout,
        )

    @property
    def _rollout(self) -> Rollout | None:
        """Return the newest rollout of the worker's service."""
        table = self._subscription.table
        if table is None or self._worker is None:
            return None
        return table.rollout(self._worker.service)

    @property
    def _version(self) -> str:
        """Return the version of the worker."""
        return "" if self._worker is None else self._worker.version
