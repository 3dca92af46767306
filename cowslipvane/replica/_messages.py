"""Log entries, and the messages between replicas."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.catalogue import CatalogueState, Change
from cowslipvane.replica._group import Group
from cowslipvane.types import Address, HostName, Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Noop:
    """Opens a leader's term, so that older entries commit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Puts an operator's change to the catalogue."""

    change: Change


@dataclass(frozen=True, slots=True, kw_only=True)
class Regroup:
    """Puts a group in force, from this entry on."""

    group: Group


Command = Noop | Write | Regroup


class Entry(NamedTuple):
    """A command at its position in the log, counted from 1."""

    position: int
    term: int
    command: Command
    stamped_at: float


class LogSnapshot(NamedTuple):
    """What the committed log up to a position has built, in place of its entries."""

    position: int
    term: int
    group: Group
    catalogue: CatalogueState


class Report(NamedTuple):
    """What one proxy has in force and since when; the report that changed last counts."""

    host: HostName
    version: Version
    applied_at: float
    operators: Address
    rejected: str = ""
    changed_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PreVote:
    """Asks whether a vote in a term would be granted; the answer binds nobody."""

    term: int
    candidate: HostName
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PreVoteReply:
    """Says whether a vote in the proposed term would be granted, and the voter's own term.

    idle says that only a promise stands against it, to a leader that the voter itself doesn't know:
    it neither leads nor has heard a leader since its start.
    """

    term: int
    proposed: int
    voter: HostName
    granted: bool
    idle: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Vote:
    """Asks for a vote in a term; released says that the leader before has given up its lease."""

    term: int
    candidate: HostName
    last_index: int
    last_term: int
    released: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """Answers a request for a vote."""

    term: int
    voter: HostName
    granted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeOver:
    """Asks a voter to stand at once, from the leader of a term that leads no more."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TakingOver:
    """Says whether the voter stands."""

    stands: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Append:
    """Sends entries that follow the previous one, and how far the log is committed."""

    term: int
    leader: HostName
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Install:
    """Sends a snapshot to a follower that lacks entries which were compacted away."""

    term: int
    leader: HostName
    snapshot: LogSnapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """Says up to which index the follower's synced log matches the leader's."""

    term: int
    voter: HostName
    matched: bool
    index: int
