"""Log entries and the messages between replicas."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue import CatalogueState, Change
from cowslipvane.membership import HostFacts
from cowslipvane.replica._group import Group
from cowslipvane.types import Address, HostName, Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Noop:
    """First entry of a leader's term, without which older entries can't commit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Entry that applies an operator's change to the catalogue."""

    change: Change


@dataclass(frozen=True, slots=True, kw_only=True)
class Regroup:
    """Entry that puts a group in force."""

    group: Group


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordFacts:
    """Entry that records workers of a host that take no new work any more."""

    facts: HostFacts


Command = Noop | Write | Regroup | RecordFacts


class Entry(NamedTuple):
    """A log entry: a command and its position, counted from 1."""

    position: int
    term: int
    command: Command
    stamped_at: float


class LogSnapshot(NamedTuple):
    """The state after applying the committed log up to a position, replacing those entries."""

    position: int
    term: int
    group: Group
    catalogue: CatalogueState
    facts: tuple[HostFacts, ...] = ()


class Report(NamedTuple):
    """The version in force at a proxy since applied_at.

    The report with the latest changed_at replaces the others of the proxy.
    """

    host: HostName
    version: Version
    applied_at: float
    operators: Address
    rejected: str = ""
    changed_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PreVote:
    """Request to find out if a vote in a term would be granted; the reply isn't binding."""

    term: int
    candidate: HostName
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PreVoteReply:
    """Reply that says if a vote in the proposed term would be granted, and the voter's own term.

    idle means that the term and the log of the request are acceptable, and that the voter neither
    leads, nor is a candidate, nor had a message from a leader within the last election timeout.
    Then only the vote lease that it started with can keep it from voting.
    """

    term: int
    proposed: int
    voter: HostName
    granted: bool
    idle: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Vote:
    """Request for a vote in a term; released means that no earlier leader holds a lease."""

    term: int
    candidate: HostName
    last_index: int
    last_term: int
    released: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """Reply to a vote request."""

    term: int
    voter: HostName
    granted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeOver:
    """Request to a voter to start an election at once, from a leader that has stepped down."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TakingOver:
    """Reply that says whether the voter starts an election."""

    stands: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Append:
    """Entries that follow a previous entry, and the leader's commit index."""

    term: int
    leader: HostName
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Install:
    """Snapshot for a follower that lacks entries which were compacted away."""

    term: int
    leader: HostName
    snapshot: LogSnapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """Reply with the index up to which the follower's synced log matches the leader's."""

    term: int
    voter: HostName
    matched: bool
    index: int
