"""Records of what callers, workers, the operator and the signals of a soak saw and did."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from cowslipvane.types import Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A whole response was read; the digest is that of its body."""

    status: int
    signature: str
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Cut:
    """The connection ended before a whole response was read."""

    begun: bool
    error: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unread:
    """An earlier response on the connection announced that it closes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Silent:
    """No whole response came until some time after the deadline."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Left:
    """The caller closed the connection, or its own half of it, and got no whole response."""


CallOutcome = Answered | Cut | Unread | Silent | Left


class CallRecord(NamedTuple):
    """A request of a caller; the times are monotonic seconds of the soak's process."""

    request_id: str
    host: str
    method: str
    idempotent: bool
    # Whether it was sent before the response to an earlier request on its connection.
    pipelined: bool
    sent_at: float
    deadline: float
    ended_at: float = math.inf
    outcome: CallOutcome = Silent()
    # Empty if the request showed none.
    key: str = ""
    needs_key: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """A worker sent its whole response."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenOff:
    """A worker truncated its response on purpose, or ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Dropped:
    """The connection to a worker closed before its response was written."""


RunOutcome = Completed | BrokenOff | Dropped


class RunRecord(NamedTuple):
    """A request that a worker ran, and the response that it meant to give."""

    request_id: str
    host: str
    origin_service: str
    began_at: float
    # When the worker responds unless its connection is closed before.
    due_at: float
    answer: Answered
    ended_at: float = math.inf
    outcome: RunOutcome = BrokenOff()
    # Empty if the request came without a team.
    team: str = ""
    shows_key: bool = False


class WorkerRefusal(NamedTuple):
    """A response of a worker that states that it didn't run the request."""

    request_id: str
    signature: str
    status: int


# Names under which long waits for a processor, and harm to links, are recorded.
PROCESSOR_WAIT = "processor wait"
HARMED_LINK = "harmed link"


class SignalRecord(NamedTuple):
    """A signal that was sent to a process, or another disturbance, at its begin and its end."""

    name: str
    at: float


@dataclass(slots=True, kw_only=True)
class Lifetime:
    """The life of one process, from its start to its end."""

    host: str
    is_replica: bool
    started_at: float
    ended_at: float = math.inf
    exit_code: int = 0
    signals: list[SignalRecord] = field(default_factory=list)
    # Whether it was still running when the grace period was over.
    overdue: bool = False

    def was_sent(self, name: str, start: float, end: float) -> bool:
        """Return whether a signal was sent to the process in a span of time."""
        return any(sent.name == name and start <= sent.at <= end for sent in self.signals)


class Change(NamedTuple):
    """A configuration that was sent, and its answer; status is None if no clear one came in time.

    answered_at is None while it is being sent, which the end of the faults may cut short.
    """

    version: int
    based_on: int
    sent_at: float
    answered_at: float | None
    status: int | None
    # The team that holds each key.
    holders: Mapping[str, str] = MappingProxyType({})


class Reading(NamedTuple):
    """An attempt of the operator to read the configuration; version is None if it failed."""

    sent_at: float
    answered_at: float
    version: int | None
    # Whether it is the document that was sent under its version.
    is_as_sent: bool = True


class Span(NamedTuple):
    """A span of time, in monotonic seconds."""

    start: float
    end: float


class Harm(NamedTuple):
    """A time in which the links of a host were slow or cut."""

    host: str
    span: Span


@dataclass(slots=True, kw_only=True)
class History:
    """All records of a soak."""

    services: dict[str, str]
    calls: list[CallRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    worker_refusals: list[WorkerRefusal] = field(default_factory=list)
    lifetimes: list[Lifetime] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    harms: list[Harm] = field(default_factory=list)
    # The times in which a majority of the replicas ran with their disks and sound links.
    majority_spans: list[Span] = field(default_factory=list)
    # None if the configuration couldn't be read after the final fault.
    final_reading: Reading | None = None


class Problem(NamedTuple):
    """A promise that was broken."""

    rule: str
    at: Seconds
    text: str
