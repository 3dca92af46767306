"""What a replica is within its term."""

from __future__ import annotations

from dataclasses import dataclass, field

from cowslipvane.types import HostName


@dataclass(slots=True, kw_only=True)
class Follower:
    """Takes entries from the leader of the term, once it is known."""

    leader: HostName | None = None


@dataclass(slots=True, kw_only=True)
class PreCandidate:
    """Asks who would vote for it in the next term, and disturbs no leader meanwhile."""

    votes: set[HostName]


@dataclass(slots=True, kw_only=True)
class Candidate:
    """Collects votes for its term."""

    votes: set[HostName]


@dataclass(slots=True, kw_only=True)
class Leader:
    """Replicates its log: next and matching index, and last answered contact, by voter."""

    since: float
    next_index: dict[HostName, int] = field(default_factory=dict)
    match_index: dict[HostName, int] = field(default_factory=dict)
    contact: dict[HostName, float] = field(default_factory=dict)


Role = Follower | PreCandidate | Candidate | Leader
