"""What the aggregates of a process read at the moment somebody asks for metrics."""

from __future__ import annotations

import time
from collections import Counter

from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.metrics import Metrics, Sample
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._replication import Replication
from cowslipvane.types import Version
from cowslipvane.wire import Traffic


class MetricsCollector:
    """Reads the aggregates of one process."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        membership: Membership,
        events: EventLog,
        traffic: Traffic,
        replication: Replication | None,
        subscription: Subscription | None,
        owner: Owner | None,
    ) -> None:
        self._metrics = metrics
        self._membership = membership
        self._events = events
        self._traffic = traffic
        self._replication = replication
        self._subscription = subscription
        self._owner = owner

    def render(self) -> bytes:
        """Return the text that a metrics system reads."""
        # A process that nobody asks for metrics need not load the library.
        from cowslipvane.metrics._render import render  # noqa: PLC0415

        return render(self._metrics, self.samples())

    def samples(self) -> list[Sample]:
        """Return everything that there is to read now."""
        readings = self._metrics.samples()
        readings += self._of_links() + self._of_members() + self._of_events()
        if self._subscription is not None:
            readings.append(Sample("cowslipvane_version_in_force", self._subscription.version))
        if self._owner is not None:
            load = self._owner.load
            readings.append(Sample("cowslipvane_slots", load.slots))
            readings.append(Sample("cowslipvane_running", load.running))
            readings.append(Sample("cowslipvane_queue", load.queued))
        if self._replication is not None:
            readings += self._of_replica(self._replication)
        return readings

    def _of_links(self) -> list[Sample]:
        """Return the bytes of each message."""
        sent = self._traffic.sent_bytes.items()
        received = self._traffic.received_bytes.items()
        return [
            *(Sample("cowslipvane_sent_bytes", count, name) for name, count in sent),
            *(Sample("cowslipvane_received_bytes", count, name) for name, count in received),
        ]

    def _of_members(self) -> list[Sample]:
        """Return how many members are in each state."""
        states = count_states(self._membership, time.monotonic())
        return [Sample("cowslipvane_members", count, state) for state, count in states.items()]

    def _of_events(self) -> list[Sample]:
        """Return the counts of the event log."""
        counts = self._events.counts.items()
        return [Sample("cowslipvane_events", count, fate) for fate, count in counts]

    def _of_replica(self, replication: Replication) -> list[Sample]:
        """Return what the replica knows of versions and proxies."""
        replica = replication.replica
        accepted = replica.catalogue.version
        reports = list(replica.reports.values())
        in_force: dict[Version, float] = {}
        for report in reports:
            in_force[report.version] = max(report.applied_at, in_force.get(report.version, 0.0))
        behind = sum(report.version < accepted for report in reports)
        readings = [
            Sample("cowslipvane_version_accepted", accepted),
            Sample("cowslipvane_proxies", len(reports)),
            Sample("cowslipvane_proxies_behind", behind),
            Sample("cowslipvane_term", replica.term),
            Sample("cowslipvane_leader", replication.holds_lease),
        ]
        lag = self._metrics.convergence(accepted, in_force, time.time())
        if lag is not None:
            readings.append(Sample("cowslipvane_convergence_seconds", lag))
        return readings


def count_states(membership: Membership, now: float) -> Counter[str]:
    """Return how many members are in each state; one whose lease ran out is silent."""
    return Counter(
        member.state if membership.is_alive(member.host, now) else "silent"
        for member in membership.members
    )
