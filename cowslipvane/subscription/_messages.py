"""Messages between a proxy and the replica that it pulls versions from."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.catalogue import Delta, Snapshot
from cowslipvane.replica import Report
from cowslipvane.types import Version


@dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Says what the proxy has in force, and asks for what follows."""

    report: Report


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


PullReply = PullDelta | PullSnapshot | Current
