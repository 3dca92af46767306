"""The steps of a rollout: which one is due, by the time since the order and what was observed."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from cowslipvane.catalogue import Rollout
from cowslipvane.rollout._judgement import Bad, Judgement
from cowslipvane.types import Seconds

# The part of the exposure that a trial takes; the rest is for requests on their way when it ends.
TRIAL_PART = 0.8
# Time kept free at the end for the move: until it is in force everywhere, and the work at the
# upstreams of other versions has ended. A long rollout keeps a share of its duration.
MIN_MOVE_TIME: Seconds = 4.0
MOVE_TIME_SHARE = 0.1
# The trial takes at least this part of a short rollout.
MIN_TRIAL_PART = 0.5
# A leader moves a service once it has observed it for this time, or for this part of a short
# rollout. One that has just been elected knows nothing of what was observed before.
MIN_OBSERVATION: Seconds = 3.0
MIN_OBSERVED_PART = 0.25
# Time before the deadline at which a rollout is completed, whatever is missing.
LAST_MOMENT: Seconds = 0.5


class RolloutView(NamedTuple):
    """What the leader knows of a rollout.

    now is wall time in seconds, observed_for how long this leader has observed the rollout, and
    upstreams how many of the version it hears of now. is_everywhere tells that all live proxies
    have the last step in force; running counts the requests that upstreams of other versions run
    or have waiting.
    """

    now: float
    judgement: Judgement
    observed_for: Seconds
    upstreams: int
    is_everywhere: bool
    running: int


class Plan:
    """The rules of a rollout's steps.

    exposure is the share of a service's requests that a version which turns out to be bad may get.
    """

    def __init__(self, *, exposure: float) -> None:
        self._trial_share = exposure * TRIAL_PART

    def begin(self, *, target_version: str, duration: Seconds, now: float) -> Rollout:
        """Return a rollout that begins with its trial."""
        return Rollout(
            target_version=target_version,
            duration=duration,
            ordered_at=now,
            share=self._trial_share,
        )

    def next_step(self, rollout: Rollout, view: RolloutView) -> Rollout | None:
        """Return the rollout after the step that is due, or None if none is."""
        if rollout.phase != "running":
            return None
        if not rollout.ordered_at:
            # It was written as a resource.
            return dataclasses.replace(rollout, ordered_at=view.now, share=self._trial_share)
        match view.judgement:
            case Bad(reason=reason):
                return dataclasses.replace(rollout, phase="rolled-back", share=0.0, reason=reason)
        elapsed = view.now - rollout.ordered_at
        is_due = elapsed >= rollout.duration - LAST_MOMENT
        if rollout.share < 1:
            return self._step_of_trial(rollout, view, elapsed, is_due=is_due)
        if is_due or (view.is_everywhere and not view.running):
            return dataclasses.replace(rollout, phase="completed")
        return None

    def _step_of_trial(
        self, rollout: Rollout, view: RolloutView, elapsed: Seconds, *, is_due: bool
    ) -> Rollout | None:
        """Return the rollout after its trial, None while that lasts."""
        needed = min(MIN_OBSERVATION, MIN_OBSERVED_PART * rollout.duration)
        is_tried = elapsed >= self._trial_time(rollout.duration)
        if is_tried and view.observed_for >= needed and view.upstreams:
            return dataclasses.replace(rollout, share=1.0)
        if is_due:
            reason = "no leader has observed upstreams of it for long enough to judge it"
            return dataclasses.replace(rollout, phase="rolled-back", share=0.0, reason=reason)
        return None

    def _trial_time(self, duration: Seconds) -> Seconds:
        """Return how long a trial lasts."""
        move_time = max(MIN_MOVE_TIME, MOVE_TIME_SHARE * duration)
        return max(duration - move_time, MIN_TRIAL_PART * duration)
