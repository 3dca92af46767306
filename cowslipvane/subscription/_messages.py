"""Messages between a proxy and the replica from which it pulls versions."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.catalogue import Delta, RouteHosts, Snapshot
from cowslipvane.membership import HostFacts
from cowslipvane.replica import Report
from cowslipvane.rollout import WorkerAnswers
from cowslipvane.types import Address, Seconds, Version


@dataclass(frozen=True, slots=True, kw_only=True)
class AskFloor:
    """Requests a floor: a version not older than any that was accepted before the request.

    wait is the longest time that the replica may hold the request while no leader is known.
    """

    wait: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Floor:
    """The leader's response: no version below this one may be applied."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class AskLeader:
    """Redirects to the leader, which alone knows the floor; leader is None if unknown here."""

    leader: Address | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AskNewest:
    """Requests the newest accepted version; sent_at is in seconds of the sender's own clock.

    There is no response while the replica knows no leader.
    """

    sent_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Newest:
    """Responds with the newest version that was accepted until some time before the response.

    age is that time in seconds, 0 at a leader that holds its lease. sent_at is that of the request.
    """

    sent_at: float
    version: Version
    age: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepFacts:
    """Requests that facts of a host are kept, and all that are kept of it.

    There is no response while no leader can be asked. is_forwarded tells that a replica sent it on
    to the leader.
    """

    facts: HostFacts
    is_forwarded: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FactsKept:
    """The leader's response: all facts of the host, with those that were kept before."""

    facts: HostFacts


# The base of a pull that requests no updates, only the number of the newest version.
WATCH_ONLY = Version(1 << 62)
# The wait of such a pull, as a multiple of that of others: its heartbeats only show that the
# replica could take over.
WATCH_WAIT_FACTOR = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Reports the version in force on the proxy, and requests the changes after its base.

    The replica holds the request until it has a version of at least the floor. hosts are the route
    hosts that the proxy serves. With WATCH_ONLY as its base, it requests no changes.
    """

    report: Report
    base: Version
    floor: Version
    hosts: RouteHosts


@dataclass(frozen=True, slots=True, kw_only=True)
class PullDelta:
    """Responds with the delta from the base."""

    delta: Delta


@dataclass(frozen=True, slots=True, kw_only=True)
class PullSnapshot:
    """Responds with all resources, when the history does not reach back to the base."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class Current:
    """Responds that no newer version is accepted here; it also serves as a heartbeat."""

    version: Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Reports:
    """Forwards to the leader the reports that proxies sent to another replica."""

    reports: tuple[Report, ...]
    answers: tuple[WorkerAnswers, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportAnswers:
    """Reports the answers of the upstream on the proxy's host while its service is rolled out."""

    answers: WorkerAnswers


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportsTaken:
    """Acknowledges that the reports are stored."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ComeAgain:
    """Asks the proxy to retry after a delay, as too many snapshots are being sent."""

    after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Lagging:
    """Responds that this replica has no contact with a leader; others may have newer versions."""


PullReply = PullDelta | PullSnapshot | Current | ComeAgain | Lagging
