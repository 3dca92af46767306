"""The owner's ledger of attempts: what waits, runs, has ended, or may never start."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from cowslipvane.call._messages import AttemptId, OwnerMessage, size
from cowslipvane.types import HostName, Seconds

# An ended or fenced attempt is remembered this long, unless there are more than the next number.
REMEMBERED: Seconds = 120.0
MAX_REMEMBERED = 8192
# An answer larger than the first, and the oldest beyond the second, can't be fetched again.
MAX_ANSWER_BYTES = 64 << 10
MAX_KEPT_BYTES = 4 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class NeverStarted:
    """The attempt has not started, and never will."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Running:
    """The attempt runs; parts grows while it does, and is None when too large to keep."""

    parts: list[OwnerMessage] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """The attempt has ended; parts is its whole answer, or None when that is no longer kept."""

    parts: list[OwnerMessage] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Forgotten:
    """Nothing is known of the attempt any more: it may have run."""


Fencing = NeverStarted | Running | Ended | Forgotten


@dataclass(slots=True, kw_only=True)
class _Record:
    """What is kept of an attempt until it has ended."""

    started: bool = False
    parts: list[OwnerMessage] | None = field(default_factory=list)
    bytes: int = 0


@dataclass(slots=True, kw_only=True)
class _Past:
    """What is remembered of an attempt that has ended or was fenced."""

    at: float
    outcome: NeverStarted | Ended
    bytes: int


class Attempts:
    """Every attempt that this incarnation of the owner was offered or asked about."""

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._records: dict[AttemptId, _Record] = {}
        self._past: OrderedDict[AttemptId, _Past] = OrderedDict()
        self._kept_bytes = 0
        # The latest attempt of each entry that is no longer remembered.
        self._forgotten: dict[HostName, AttemptId] = {}

    @property
    def in_flight(self) -> tuple[AttemptId, ...]:
        """Return the attempts that wait or run."""
        return tuple(self._records)

    def admit(self, attempt: AttemptId) -> bool:
        """Take a new attempt; return False when it may not start any more."""
        if attempt in self._records or attempt in self._past or self._is_forgotten(attempt):
            return False
        self._records[attempt] = _Record()
        return True

    def start(self, attempt: AttemptId) -> None:
        """Note that the attempt starts."""
        self._records[attempt].started = True

    def store_part(self, attempt: AttemptId, part: OwnerMessage) -> None:
        """Keep a part of the answer, so that it can be fetched again."""
        record = self._records[attempt]
        record.bytes += size(part)
        if record.parts is not None and record.bytes <= MAX_ANSWER_BYTES:
            record.parts.append(part)
        else:
            record.parts = None

    def end(self, attempt: AttemptId, now: float) -> None:
        """Note that the attempt has ended, whether it was run or refused."""
        record = self._records.pop(attempt)
        kept = record.bytes if record.parts is not None else 0
        self._remember(attempt, _Past(at=now, outcome=Ended(parts=record.parts), bytes=kept))

    def fence(self, attempt: AttemptId, incarnation: int, now: float) -> Fencing:
        """Return what became of an attempt; one that has not started never will."""
        # The attempt was offered to another process, whose memory is gone.
        if incarnation != self._incarnation:
            return Forgotten()
        record = self._records.get(attempt)
        if record is not None and record.started:
            return Running(parts=record.parts)
        past = self._past.get(attempt)
        if past is not None:
            return past.outcome
        if record is None and self._is_forgotten(attempt):
            return Forgotten()
        self._records.pop(attempt, None)
        self._remember(attempt, _Past(at=now, outcome=NeverStarted(), bytes=0))
        return NeverStarted()

    def _is_forgotten(self, attempt: AttemptId) -> bool:
        """Return whether the attempt may be one that is no longer remembered."""
        latest = self._forgotten.get(attempt.entry)
        return latest is not None and attempt.order <= latest.order

    def _remember(self, attempt: AttemptId, past: _Past) -> None:
        """Remember an attempt, and forget the oldest ones beyond the bounds."""
        self._past[attempt] = past
        self._kept_bytes += past.bytes
        while self._past and self._is_surplus(past.at):
            oldest, forgotten = self._past.popitem(last=False)
            self._kept_bytes -= forgotten.bytes
            self._forget(oldest)
        if self._kept_bytes > MAX_KEPT_BYTES:
            self._drop_answers()

    def _is_surplus(self, now: float) -> bool:
        """Return whether the oldest past attempt is to be forgotten."""
        oldest = next(iter(self._past.values()))
        return len(self._past) > MAX_REMEMBERED or oldest.at + REMEMBERED < now

    def _forget(self, attempt: AttemptId) -> None:
        """Mark an attempt, and the entry's earlier ones, as no longer known."""
        if not self._is_forgotten(attempt):
            self._forgotten[attempt.entry] = attempt

    def _drop_answers(self) -> None:
        """Drop the oldest answers until half of the bound is free."""
        for past in self._past.values():
            if self._kept_bytes <= MAX_KEPT_BYTES // 2:
                return
            if past.bytes:
                self._kept_bytes -= past.bytes
                past.bytes = 0
                past.outcome = Ended(parts=None)
