"""Messages between a proxy and the replica that it pulls versions from."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.catalogue import Delta, RouteHosts, Snapshot
from cowslipvane.replica import Report
from cowslipvane.types import Address, Seconds, Version


@dataclass(frozen=True, slots=True, kw_only=True)
class AskFloor:
    """Asks for a version that is at least every version accepted before the question.

    wait is how long the answer may take while no leader is known.
    """

    wait: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Floor:
    """Answers as the leader: no version under this one may be applied."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class AskLeader:
    """Answers that only the leader knows the floor, and where it is as far as is known here."""

    leader: Address | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Says what the proxy has in force, and asks for what follows its base.

    The answer waits for a version of at least the floor.
    """

    report: Report
    base: Version
    floor: Version
    hosts: RouteHosts


@dataclass(frozen=True, slots=True, kw_only=True)
class PullDelta:
    """Answers with the difference from the version in force."""

    delta: Delta


@dataclass(frozen=True, slots=True, kw_only=True)
class PullSnapshot:
    """Answers with all resources, when no difference reaches back far enough."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class Current:
    """Answers that nothing newer is accepted here; it doubles as a heartbeat."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Reports:
    """Passes on to the leader what proxies have reported to another replica."""

    reports: tuple[Report, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportsTaken:
    """Answers that reports are kept."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ComeAgain:
    """Answers that too many snapshots are on their way, and when to ask again."""

    after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Lagging:
    """Answers that this replica hears no leader, so another one may have something newer."""


PullReply = PullDelta | PullSnapshot | Current | ComeAgain | Lagging
