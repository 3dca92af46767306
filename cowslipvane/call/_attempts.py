"""The owner's record of attempts: queued, running, ended, or fenced."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from cowslipvane.call._messages import AttemptId, OwnerMessage, payload_size
from cowslipvane.types import HostName, Seconds

# How long, and how many, ended or fenced attempts are remembered.
RETENTION_TIME: Seconds = 120.0
MAX_REMEMBERED = 8192
# How many incarnations of one process are remembered. It has more than one if the clock has gone
# back since the process before it was started.
MAX_INCARNATIONS = 8
# Size limits of one stored answer and of all together. Stored answers can be fetched again. An
# answer beyond the first limit is not stored; beyond the second, the oldest ones are discarded.
MAX_ANSWER_BYTES = 64 << 10
MAX_STORED_BYTES = 4 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class NeverStarted:
    """The attempt has not started and will not be started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Running:
    """The attempt is running.

    parts grows while it runs, and is None if the answer is too large to store.
    """

    parts: list[OwnerMessage] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """The attempt has ended; parts is its whole answer, or None if that is not stored."""

    parts: list[OwnerMessage] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Forgotten:
    """The attempt is not remembered any more, and may have run."""


FenceOutcome = NeverStarted | Running | Ended | Forgotten


@dataclass(slots=True, kw_only=True)
class _LiveAttempt:
    """The state of an attempt that has not ended."""

    started: bool = False
    parts: list[OwnerMessage] | None = field(default_factory=list)
    answer_bytes: int = 0


@dataclass(slots=True, kw_only=True)
class _PastAttempt:
    """The outcome of an attempt that has ended or was fenced."""

    ended_at: float
    outcome: NeverStarted | Ended
    stored_bytes: int


class Attempts:
    """The attempts that were offered to this incarnation of the owner, or fenced at it."""

    def __init__(self, *, incarnation: int) -> None:
        # The newest comes last.
        self._incarnations = [incarnation]
        self._live: dict[AttemptId, _LiveAttempt] = {}
        self._past: OrderedDict[AttemptId, _PastAttempt] = OrderedDict()
        self._stored_bytes = 0
        # For each entry proxy, the latest of its attempts that are no longer remembered.
        self._forgotten: dict[HostName, AttemptId] = {}

    @property
    def in_flight(self) -> tuple[AttemptId, ...]:
        """Return the attempts that are queued or running."""
        return tuple(self._live)

    def record_incarnation(self, incarnation: int) -> None:
        """Record the incarnation that others know this process by, which may have been raised."""
        if incarnation not in self._incarnations:
            self._incarnations = [*self._incarnations, incarnation][-MAX_INCARNATIONS:]

    def admit(self, attempt: AttemptId) -> bool:
        """Add a new attempt; return False if it may not be started."""
        if attempt in self._live or attempt in self._past or self._is_forgotten(attempt):
            return False
        self._live[attempt] = _LiveAttempt()
        return True

    def start(self, attempt: AttemptId) -> None:
        """Record that an attempt has started."""
        self._live[attempt].started = True

    def is_running(self, attempt: AttemptId) -> bool:
        """Return whether an attempt has started and not ended."""
        live = self._live.get(attempt)
        return live is not None and live.started

    def store_part(self, attempt: AttemptId, part: OwnerMessage) -> None:
        """Store a part of the answer, so that it can be fetched again."""
        live = self._live[attempt]
        live.answer_bytes += payload_size(part)
        if live.parts is not None and live.answer_bytes <= MAX_ANSWER_BYTES:
            live.parts.append(part)
        else:
            live.parts = None

    def end(self, attempt: AttemptId, now: float) -> None:
        """Record that an attempt has ended, whether it was run or refused."""
        live = self._live.pop(attempt)
        stored_bytes = live.answer_bytes if live.parts is not None else 0
        self._remember(
            attempt,
            _PastAttempt(ended_at=now, outcome=Ended(parts=live.parts), stored_bytes=stored_bytes),
        )

    def fence(self, attempt: AttemptId, incarnation: int, now: float) -> FenceOutcome:
        """Return the outcome of an attempt, and prevent it from starting if it has not started."""
        if incarnation not in self._incarnations:
            # The attempt was offered to an earlier process, whose records are lost.
            return Forgotten()
        live = self._live.get(attempt)
        if live is not None and live.started:
            return Running(parts=live.parts)
        past = self._past.get(attempt)
        if past is not None:
            return past.outcome
        if live is None and self._is_forgotten(attempt):
            return Forgotten()
        self._live.pop(attempt, None)
        self._remember(attempt, _PastAttempt(ended_at=now, outcome=NeverStarted(), stored_bytes=0))
        return NeverStarted()

    def _is_forgotten(self, attempt: AttemptId) -> bool:
        """Return whether an attempt may have been forgotten."""
        latest = self._forgotten.get(attempt.entry)
        return latest is not None and attempt.order <= latest.order

    def _remember(self, attempt: AttemptId, past: _PastAttempt) -> None:
        """Remember an attempt, and forget the oldest ones beyond the limits."""
        self._past[attempt] = past
        self._stored_bytes += past.stored_bytes
        while self._past and self._exceeds_limits(past.ended_at):
            oldest, forgotten = self._past.popitem(last=False)
            self._stored_bytes -= forgotten.stored_bytes
            self._forget(oldest)
        if self._stored_bytes > MAX_STORED_BYTES:
            self._discard_answers()

    def _exceeds_limits(self, now: float) -> bool:
        """Return whether the oldest remembered attempt must be forgotten."""
        oldest = next(iter(self._past.values()))
        return len(self._past) > MAX_REMEMBERED or oldest.ended_at + RETENTION_TIME < now

    def _forget(self, attempt: AttemptId) -> None:
        """Mark an attempt, and all earlier ones of its entry proxy, as forgotten."""
        if not self._is_forgotten(attempt):
            self._forgotten[attempt.entry] = attempt

    def _discard_answers(self) -> None:
        """Discard the oldest answers until half of the limit is free."""
        for past in self._past.values():
            if self._stored_bytes <= MAX_STORED_BYTES // 2:
                return
            if past.stored_bytes:
                self._stored_bytes -= past.stored_bytes
                past.stored_bytes = 0
                past.outcome = Ended(parts=None)
