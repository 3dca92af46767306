"""What this process has seen of one owner."""

from __future__ import annotations

import enum
from typing import NamedTuple

from cowslipvane.membership import Member
from cowslipvane.refusal import DeadlinePassed, OwnerUnreachable, Refusal, UpstreamLost
from cowslipvane.routing._quantile import Quantile
from cowslipvane.types import Seconds

# A report of load counts half after this time.
LOAD_HALF_LIFE: Seconds = 0.5
# A new or returning owner gets its full share only after this time.
RAMP_TIME: Seconds = 5.0
# The share that a new or returning owner begins with.
RAMP_FLOOR = 0.1
# So many attempts lost in a row make an owner an outlier.
LOST_IN_A_ROW = 3
# An owner's latency is judged after this many answers.
ENOUGH_SAMPLES = 10
# The first time that an outlier is left out; it doubles each time, up to the most.
EASE_TIME: Seconds = 2.0
MOST_EASE_TIME: Seconds = 30.0
# Service times below this are counted as this, so that no ratio between them explodes.
LEAST_SERVICE_TIME: Seconds = 0.001

# One answer changes the median latency by at most half of this factor.
_STEP = 0.1


class Load(NamedTuple):
    """What an owner says of its upstream with each answer; 0 s is an unknown service time."""

    slots: int
    running: int
    queued: int
    service_time: Seconds = 0.0


class AttemptResult(enum.Enum):
    """What became of an attempt, as far as it says something of the owner."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    TIMED_OUT = "overdue"
    ABANDONED = "given up"

    @classmethod
    def of_refusal(cls, refusal: Refusal) -> AttemptResult:
        """Return what a refusal says of the owner that it came from."""
        match refusal:
            case OwnerUnreachable() | UpstreamLost():
                return cls.LOST
            case DeadlinePassed():
                return cls.TIMED_OUT
            case _:
                return cls.REFUSED


class OwnerView:
    """The load, the latency and the failures of one owner, as seen from here."""

    def __init__(self, *, member: Member, now: float) -> None:
        self._life = _life(member)
        self._slots = max(member.worker.slots if member.worker else 1, 1)
        self._load: Load | None = None
        self._load_at = now
        self._under_way = 0
        self._latency = Quantile(share=0.5, step=_STEP)
        self._lost = 0
        self._eased_until = now
        self._eased_times = 0

    @property
    def latency(self) -> Seconds | None:
        """Return the median latency, or None before it can be judged."""
        return self._latency.value if self._latency.samples >= ENOUGH_SAMPLES else None

    @property
    def service_time(self) -> Seconds:
        """Return the owner's own service time; 0 when it is unknown."""
        if self._load is None or self._load.service_time <= 0:
            return 0.0
        return max(self._load.service_time, LEAST_SERVICE_TIME)

    @property
    def loses(self) -> bool:
        """Return whether the last attempts were all lost."""
        return self._lost >= LOST_IN_A_ROW

    def is_of(self, member: Member) -> bool:
        """Return whether the view is of this life of the owner, with this upstream."""
        return self._life == _life(member)

    def is_eased(self, now: float) -> bool:
        """Return whether the owner is left out for now."""
        return now < self._eased_until

    def ramp(self, now: float) -> float:
        """Return the share of its usual calls that the owner gets, from 0 to 1."""
        return min(max((now - self._eased_until) / RAMP_TIME, RAMP_FLOOR), 1.0)

    def per_slot(self, now: float) -> float:
        """Return the calls for each slot, by the last report and the calls from here."""
        reported = 0.0
        if self._load is not None:
            age = max(now - self._load_at, 0.0)
            reported = (self._load.running + self._load.queued) * 0.5 ** (age / LOAD_HALF_LIFE)
        return max(reported, self._under_way) / self._slots

    def begin(self) -> None:
        """Count a call under way."""
        self._under_way += 1

    def end(self, result: AttemptResult, load: Load | None, took: Seconds, now: float) -> None:
        """Count a call as over, and learn from it."""
        self._under_way = max(self._under_way - 1, 0)
        if load is not None:
            self._load, self._load_at = load, now
            self._slots = max(load.slots, 1)
        match result:
            case AttemptResult.ANSWERED:
                self._lost = 0
                self._latency.add(took)
            case AttemptResult.TIMED_OUT:
                self._latency.add(took)
            case AttemptResult.LOST:
                self._lost += 1
            case AttemptResult.REFUSED:
                self._lost = 0
            case AttemptResult.ABANDONED:
                return

    def ease_out(self, now: float) -> Seconds:
        """Leave the owner out for a while, then judge it afresh; return the time."""
        time: Seconds = min(EASE_TIME * 2**self._eased_times, MOST_EASE_TIME)
        self._eased_times = min(self._eased_times + 1, 10)
        self._eased_until = now + time
        self._lost = 0
        self._latency = Quantile(share=0.5, step=_STEP)
        return time


def _life(member: Member) -> tuple[object, ...]:
    """Return what a restart of the proxy or another upstream changes."""
    return member.incarnation, member.worker
