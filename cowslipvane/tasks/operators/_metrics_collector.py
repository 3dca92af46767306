"""Collects metrics from the state of a process at the time of a request."""

from __future__ import annotations

import time
from collections import Counter
from heapq import nlargest
from typing import get_args

from cowslipvane.catalogue import Rollout, RolloutPhase
from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.metrics import MAX_NAMED_TEAMS, Metrics, Sample
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.quotas import QuotaKeeper
from cowslipvane.tasks.replication import Releases, Replication
from cowslipvane.tasks.upstreams import Owner
from cowslipvane.types import Version
from cowslipvane.wire import Traffic


class MetricsCollector:
    """Collects the metrics of one process."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        membership: Membership,
        events: EventLog,
        traffic: Traffic,
        replication: Replication | None,
        releases: Releases | None,
        quotas: QuotaKeeper | None,
        subscription: Subscription | None,
        owner: Owner | None,
    ) -> None:
        self._metrics = metrics
        self._membership = membership
        self._events = events
        self._traffic = traffic
        self._replication = replication
        self._releases = releases
        self._quotas = quotas
        self._subscription = subscription
        self._owner = owner

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        # Imported here so that a process without requests for metrics doesn't load the library.
        from cowslipvane.metrics._render import render  # noqa: PLC0415

        return render(self._metrics, self.samples())

    def samples(self) -> list[Sample]:
        """Return the current samples of all metrics."""
        samples = self._metrics.samples()
        samples += self._link_samples() + self._member_samples() + self._event_samples()
        if self._subscription is not None:
            samples.append(Sample("cowslipvane_version_in_force", self._subscription.version))
        if self._owner is not None:
            load = self._owner.load
            samples.append(Sample("cowslipvane_slots", load.slots))
            samples.append(Sample("cowslipvane_running", load.running))
            samples.append(Sample("cowslipvane_queue", load.queued))
        if self._replication is not None:
            samples += self._replica_samples(self._replication)
        if self._releases is not None:
            samples.append(Sample("cowslipvane_unread_parts", self._releases.unread_parts))
        if self._quotas is not None:
            samples += _quota_samples(self._quotas)
        return samples

    def _link_samples(self) -> list[Sample]:
        """Return the bytes sent and received for each kind of message."""
        sent = self._traffic.sent_bytes.items()
        received = self._traffic.received_bytes.items()
        return [
            *(Sample("cowslipvane_sent_bytes", count, name) for name, count in sent),
            *(Sample("cowslipvane_received_bytes", count, name) for name, count in received),
        ]

    def _member_samples(self) -> list[Sample]:
        """Return the number of members in each state."""
        states = count_states(self._membership, time.monotonic())
        return [Sample("cowslipvane_members", count, state) for state, count in states.items()]

    def _event_samples(self) -> list[Sample]:
        """Return the counters of the event log."""
        counts = self._events.counts.items()
        return [Sample("cowslipvane_events", count, name) for name, count in counts]

    def _replica_samples(self, replication: Replication) -> list[Sample]:
        """Return the replica's samples about versions, proxies and leadership."""
        replica = replication.replica
        accepted = replica.catalogue.version
        reports = list(replica.reports.values())
        in_force: dict[Version, float] = {}
        for report in reports:
            in_force[report.version] = max(report.applied_at, in_force.get(report.version, 0.0))
        behind = sum(report.version < accepted for report in reports)
        samples = [
            Sample("cowslipvane_version_accepted", accepted),
            Sample("cowslipvane_proxies", len(reports)),
            Sample("cowslipvane_proxies_behind", behind),
            Sample("cowslipvane_log_bytes", replica.log_bytes),
            Sample("cowslipvane_term", replica.term),
            Sample("cowslipvane_leader", replication.holds_lease),
        ]
        phases = Counter(
            resource.spec.phase
            for resource in replica.catalogue.resources.values()
            if isinstance(resource.spec, Rollout)
        )
        samples += [
            Sample("cowslipvane_rollouts", phases[phase], phase) for phase in get_args(RolloutPhase)
        ]
        lag = self._metrics.convergence(accepted, in_force, time.time())
        if lag is not None:
            samples.append(Sample("cowslipvane_convergence_seconds", lag))
        return samples


def _quota_samples(quotas: QuotaKeeper) -> list[Sample]:
    """Return what a replica has counted, by team for those that have asked for most."""
    uses = quotas.uses
    named = nlargest(MAX_NAMED_TEAMS, uses, key=lambda use: use.granted + use.refused)
    return [
        Sample("cowslipvane_quota_share", quotas.share.part(lease_now())),
        *(Sample("cowslipvane_quota_granted", use.granted, use.team) for use in named),
        *(Sample("cowslipvane_quota_refused", use.refused, use.team) for use in named),
        Sample("cowslipvane_all_quota_granted", sum(use.granted for use in uses)),
        Sample("cowslipvane_all_quota_refused", sum(use.refused for use in uses)),
        Sample("cowslipvane_quota_stood_in", sum(use.stood_in for use in uses)),
    ]


def count_states(membership: Membership, now: float) -> Counter[str]:
    """Return the number of members in each state; a suspected or dead one counts as silent."""
    return Counter(
        member.state if membership.is_alive(member.host, now) else "silent"
        for member in membership.members
    )
