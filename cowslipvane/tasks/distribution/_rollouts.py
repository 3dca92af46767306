"""The task of the leader that takes the steps of rollouts, and the orders for them."""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass

from cowslipvane.catalogue import (
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Invalid,
    Key,
    Resource,
    Rollout,
)
from cowslipvane.events import EventLog
from cowslipvane.rollout import Assessor, Observations, Plan, RolloutView
from cowslipvane.tasks.distribution._publisher import Publisher
from cowslipvane.tasks.replication import NotLeader, Replication, Unknown
from cowslipvane.types import NO_VERSION, OperationId, Seconds, ServiceName, Version

STEP_INTERVAL: Seconds = 0.25
# An order is the same one again for this time after it was given, also once the rollout has ended.
REPEAT_TIME: Seconds = 10.0
_KIND = "rollout"


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """Another rollout of the service is running."""

    rollout: Rollout


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRollout:
    """There was no rollout of the service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoService:
    """The configuration has no such service."""


class Rollouts:
    """Moves services to other versions of their upstreams, while this replica leads."""

    def __init__(
        self,
        *,
        replication: Replication,
        publisher: Publisher,
        observations: Observations,
        plan: Plan,
        events: EventLog,
    ) -> None:
        self._replication = replication
        self._publisher = publisher
        self._observations = observations
        self._assessor = Assessor(observations=observations)
        self._plan = plan
        self._events = events
        self._running_rollouts: tuple[Resource, ...] = ()
        self._running_version = NO_VERSION
        # Serializes orders, since one may come again while it is being written.
        self._lock = asyncio.Lock()

    def get(self, service: ServiceName) -> Rollout | NoRollout | NotLeader:
        """Return the newest rollout of a service, if this replica holds the leader lease."""
        if not self._replication.holds_lease:
            return NotLeader(leader=self._replication.replica.leader)
        return self._current(service) or NoRollout()

    async def start(
        self, service: ServiceName, *, target_version: str, duration: Seconds
    ) -> Rollout | InProgress | NoService | Invalid | NotLeader | Unknown:
        """Begin a rollout, unless another one of the service is running.

        The same order again returns the rollout that it began.
        """
        async with self._lock:
            if not self._replication.holds_lease:
                return NotLeader(leader=self._replication.replica.leader)
            if Key("service", service) not in self._catalogue.resources:
                return NoService()
            now = time.time()
            current = self._current(service)
            if current is not None and _is_repeated(current, target_version, duration, now):
                return current
            if current is not None and current.phase == "running":
                return InProgress(rollout=current)
            rollout = self._plan.begin(target_version=target_version, duration=duration, now=now)
            return await self._write(service, rollout)

    async def run(self) -> None:
        """Take the steps that are due, while this replica leads."""
        while True:
            await asyncio.sleep(STEP_INTERVAL)
            self._observations.keep_record(time.monotonic())
            if not self._replication.holds_lease:
                continue
            for resource in self._running():
                match resource.spec:
                    case Rollout() as rollout:
                        service = ServiceName(resource.key.name)
                        await self._take_step(service, rollout, resource.version)

    def _running(self) -> tuple[Resource, ...]:
        """Return the rollouts that are running, which only a new version changes."""
        if self._running_version != self._catalogue.version:
            self._running_version = self._catalogue.version
            self._running_rollouts = tuple(
                resource
                for resource in self._catalogue.resources.values()
                if isinstance(resource.spec, Rollout) and resource.spec.phase == "running"
            )
        return self._running_rollouts

    async def _take_step(self, service: ServiceName, rollout: Rollout, version: Version) -> None:
        """Write the step of a rollout that is due, if one is."""
        step = self._plan.next_step(rollout, self._view(service, rollout, version))
        if step is None:
            return
        async with self._lock:
            if self._current(service) == rollout:
                await self._write(service, step)

    def _view(self, service: ServiceName, rollout: Rollout, version: Version) -> RolloutView:
        """Return what this leader knows of a rollout."""
        reports = self._observations.of_service(service)
        others = [report for report in reports if report.version != rollout.target_version]
        convergence = self._publisher.convergence
        assessment = self._assessor.assess(service, rollout, time.monotonic())
        return RolloutView(
            now=time.time(),
            judgement=assessment.judgement,
            observed_for=assessment.observed_for,
            upstreams=assessment.upstreams,
            is_everywhere=convergence.in_force(version) >= convergence.live_proxy_count,
            running=sum(report.running for report in others),
        )

    async def _write(
        self, service: ServiceName, rollout: Rollout
    ) -> Rollout | InProgress | Invalid | NotLeader | Unknown:
        """Write the state of a rollout; another one that was written meanwhile stays."""
        change = Change(
            _operation_id(service, rollout),
            self._catalogue.version,
            ((Key(_KIND, service), rollout),),
        )
        match await self._replication.write(change):
            case Accepted(version=version):
                self._record(service, rollout, version)
                return rollout
            case Conflict():
                current = self._current(service)
                return Unknown() if current is None else InProgress(rollout=current)
            case refused:
                return refused

    def _record(self, service: ServiceName, rollout: Rollout, version: Version) -> None:
        """Record a step of a rollout."""
        reports = self._observations.of_service(service)
        tried = [report for report in reports if report.version == rollout.target_version]
        self._events.record(
            "rollout",
            version=version,
            service=service,
            target=rollout.target_version,
            phase=rollout.phase,
            share=f"{rollout.share:g}",
            reason=rollout.reason,
            seconds=f"{time.time() - rollout.ordered_at:.1f}",
            answers=str(sum(c.answers for report in tried for c in report.counts)),
            failures=str(sum(c.failures for report in tried for c in report.counts)),
            upstreams=" ".join(report.host for report in tried),
        )

    def _current(self, service: ServiceName) -> Rollout | None:
        """Return the newest rollout of a service as far as it is known here."""
        resource = self._catalogue.resources.get(Key(_KIND, service))
        if resource is None or not isinstance(resource.spec, Rollout):
            return None
        return resource.spec

    @property
    def _catalogue(self) -> Catalogue:
        """Return the catalogue of this replica."""
        return self._replication.replica.catalogue


def _is_repeated(current: Rollout, target_version: str, duration: Seconds, now: float) -> bool:
    """Return whether an order is the one that began the current rollout."""
    is_same = (current.target_version, current.duration) == (target_version, duration)
    return is_same and (current.phase == "running" or now < current.ordered_at + REPEAT_TIME)


def _operation_id(service: ServiceName, rollout: Rollout) -> OperationId:
    """Return the operation id of a step, which is the same for the same step."""
    digest = hashlib.blake2b(repr((service, rollout)).encode(), digest_size=16)
    return OperationId(f"rollout-{digest.hexdigest()}")
