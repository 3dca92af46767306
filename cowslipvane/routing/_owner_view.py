"""The load, latency and losses of one owner as observed by this process."""

from __future__ import annotations

import enum
from typing import NamedTuple

from cowslipvane.membership import Member
from cowslipvane.refusal import DeadlinePassed, OwnerUnreachable, Refusal, UpstreamLost
from cowslipvane.routing._quantile import Quantile
from cowslipvane.types import Seconds

# The weight of a load report halves in this time.
LOAD_HALF_LIFE: Seconds = 0.5
# Time over which the traffic of a new or readmitted owner ramps up to its full share.
RAMP_TIME: Seconds = 5.0
# Share of its traffic that a new or readmitted owner starts with.
RAMP_START_SHARE = 0.1
# Consecutive lost attempts that make an owner an outlier.
LOSSES_TO_EJECT = 3
# Answers needed before an owner's latency is compared with others.
MIN_SAMPLES = 10
# Duration of the first ejection of an outlier; it doubles with each ejection up to the maximum.
FIRST_EJECTION_TIME: Seconds = 2.0
MAX_EJECTION_TIME: Seconds = 30.0
# Lower limit of service times, which bounds the ratio between the times of two owners.
MIN_SERVICE_TIME: Seconds = 0.001

# Relative step of the estimate of the median latency. Since the quantile is 0.5, one answer changes
# the estimate by at most half a step.
_MEDIAN_STEP = 0.1


class Load(NamedTuple):
    """The load of an upstream, reported with each answer.

    A service time of 0 means that it is unknown.
    """

    slots: int
    running: int
    queued: int
    service_time: Seconds = 0.0


class AttemptResult(enum.Enum):
    """The result of an attempt, as far as it concerns the health of the owner."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    TIMED_OUT = "overdue"
    ABANDONED = "given up"

    @classmethod
    def of_refusal(cls, refusal: Refusal) -> AttemptResult:
        """Return the result that corresponds to a refusal."""
        match refusal:
            case OwnerUnreachable() | UpstreamLost():
                return cls.LOST
            case DeadlinePassed():
                return cls.TIMED_OUT
            case _:
                return cls.REFUSED


class OwnerView:
    """The health and load of one owner, as observed by this process."""

    def __init__(self, *, member: Member, now: float) -> None:
        self._identity = _identity(member)
        self._slots = max(member.worker.slots if member.worker else 1, 1)
        self._load: Load | None = None
        self._load_at = now
        self._in_flight = 0
        self._latency = Quantile(quantile=0.5, step=_MEDIAN_STEP)
        self._consecutive_losses = 0
        self._ejected_until = now
        self._ejection_count = 0
        self._slow_limit: Seconds = 0.0

    @property
    def may_be_outlier(self) -> bool:
        """Return whether the owner loses attempts, or is slower than the limit that was set."""
        return self.loses_attempts or (self.latency or 0.0) > self._slow_limit

    def set_slow_limit(self, limit: Seconds) -> None:
        """Set the median latency above which the owner is slow."""
        self._slow_limit = limit

    @property
    def latency(self) -> Seconds | None:
        """Return the median latency, or None without enough samples."""
        return self._latency.value if self._latency.samples >= MIN_SAMPLES else None

    @property
    def service_time(self) -> Seconds:
        """Return the reported service time, or 0 if it is unknown."""
        if self._load is None or self._load.service_time <= 0:
            return 0.0
        return max(self._load.service_time, MIN_SERVICE_TIME)

    @property
    def loses_attempts(self) -> bool:
        """Return whether the latest attempts were all lost."""
        return self._consecutive_losses >= LOSSES_TO_EJECT

    def describes(self, member: Member) -> bool:
        """Return whether a member is still the same incarnation with the same upstream."""
        return self._identity == _identity(member)

    def is_ejected(self, now: float) -> bool:
        """Return whether the owner is ejected at this time."""
        return now < self._ejected_until

    def traffic_share(self, now: float) -> float:
        """Return the share of its usual traffic that the owner gets, up to 1."""
        return min(max((now - self._ejected_until) / RAMP_TIME, RAMP_START_SHARE), 1.0)

    def calls_per_slot(self, now: float) -> float:
        """Return the calls per slot, by the last report and the calls of this process."""
        reported = 0.0
        if self._load is not None:
            age = max(now - self._load_at, 0.0)
            reported = (self._load.running + self._load.queued) * 0.5 ** (age / LOAD_HALF_LIFE)
        return max(reported, self._in_flight) / self._slots

    def begin(self) -> None:
        """Count an attempt in flight."""
        self._in_flight += 1

    def end(self, result: AttemptResult, load: Load | None, duration: Seconds, now: float) -> None:
        """Record the end of an attempt and its result."""
        self._in_flight = max(self._in_flight - 1, 0)
        if load is not None:
            self._load, self._load_at = load, now
            self._slots = max(load.slots, 1)
        match result:
            case AttemptResult.ANSWERED:
                self._consecutive_losses = 0
                self._latency.add(duration)
            case AttemptResult.TIMED_OUT:
                self._latency.add(duration)
            case AttemptResult.LOST:
                self._consecutive_losses += 1
            case AttemptResult.REFUSED:
                self._consecutive_losses = 0
            case AttemptResult.ABANDONED:
                return

    def eject(self, now: float) -> Seconds:
        """Eject the owner, reset its statistics, and return the duration."""
        duration: Seconds = min(FIRST_EJECTION_TIME * 2**self._ejection_count, MAX_EJECTION_TIME)
        # The limit keeps the power of two small; the maximum time is reached before.
        self._ejection_count = min(self._ejection_count + 1, 10)
        self._ejected_until = now + duration
        self._consecutive_losses = 0
        self._latency = Quantile(quantile=0.5, step=_MEDIAN_STEP)
        return duration


def _identity(member: Member) -> tuple[object, ...]:
    """Return a value that changes when the proxy restarts or its upstream is replaced."""
    return member.incarnation, member.worker
