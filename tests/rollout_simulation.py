"""A modelled service in simulated time, whose requests are split between two versions.

The product's own rules decide: which owners may get a request, what is counted, judged and planned.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from cowslipvane.catalogue import Rollout
from cowslipvane.membership import Member, Worker
from cowslipvane.rollout import (
    AnswerLog,
    Assessor,
    Observations,
    Plan,
    RolloutView,
    WorkerAnswers,
)
from cowslipvane.routing import UpstreamVersions
from cowslipvane.types import Address, DataCentre, HostName, ServiceName

SERVICE = ServiceName("stock")
OLD, NEW = "v1", "v2"
EXPOSURE = 0.1
TICK_S = 0.1
REPORT_S = 0.5
SLOTS = 4


class Answer(NamedTuple):
    """What the upstream makes of a request: its time in seconds, and whether it fails."""

    duration: float
    failed: bool = False


class Moment(NamedTuple):
    """When and where an answer is made: seconds since the order, load in requests a second."""

    at: float
    host: HostName
    is_new: bool
    load: float
    kind: str


Behaviour = Callable[[Moment, random.Random], Answer]


class Outcome(NamedTuple):
    """How a rollout ended, when, and what the new version got."""

    phase: str
    ended_at: float
    reason: str
    requests: int
    exposed: int
    bad_answers: int


def work(rng: random.Random, mean: float = 0.1) -> float:
    """Return a time of work with the spread and the tail of sound upstreams."""
    times = 5.0 if rng.random() < 0.01 else 1.0
    return mean * rng.lognormvariate(-0.125, 0.5) * times


class RolloutSimulation:
    """Plays one rollout of a service and returns how it ended."""

    def __init__(
        self,
        *,
        behaviour: Behaviour,
        upstreams: int = 12,
        requests_per_s: float = 240.0,
        duration: float = 16.0,
        kinds: tuple[str, ...] = ("route",),
        seed: int = 1,
    ) -> None:
        self._behaviour = behaviour
        self._rate = requests_per_s
        self._duration = duration
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._owners = [owner(f"old-{n}", OLD) for n in range(upstreams)]
        self._new_owners = [owner(f"new-{n}", NEW) for n in range(upstreams)]
        self._logs = {member.host: AnswerLog() for member in self._owners + self._new_owners}
        self._paused: set[HostName] = set()
        self._versions = UpstreamVersions(rng=self._rng)
        self._observations = Observations()
        self._assessor = Assessor(observations=self._observations)
        self._plan = Plan(exposure=EXPOSURE)
        self._rollout = self._plan.begin(target_version=NEW, duration=duration, now=1000.0)
        self._requests = self._exposed = self._bad_answers = 0
        self._load: dict[HostName, float] = {}

    def run(self) -> Outcome:
        """Play until the rollout has ended, or the deadline has passed."""
        # All proxies know the present upstreams before those of the new version appear.
        self._versions.candidates(SERVICE, self._owners, None, 0.0, wall_time=0.0, is_first=True)
        everyone = self._owners + self._new_owners
        at, sequence = 0.0, 0
        while at < self._duration and self._rollout.phase == "running":
            self._tick(at, everyone)
            at += TICK_S
            sequence += 1
            if sequence % round(REPORT_S / TICK_S) == 0:
                self._observations.record(self._reports(everyone, sequence), at)
            self._observations.keep_record(at)
            step = self._plan.next_step(self._rollout, self._view(at))
            if step is not None:
                self._rollout = step
        return Outcome(
            self._rollout.phase,
            at,
            self._rollout.reason,
            self._requests,
            self._exposed,
            self._bad_answers,
        )

    def _tick(self, at: float, everyone: list[Member]) -> None:
        """Send the requests of a tick, each to a random one of the owners that may get it."""
        counts: dict[HostName, int] = {}
        for _ in range(round(self._rate * TICK_S)):
            self._requests += 1
            groups = self._versions.candidates(
                SERVICE, everyone, self._rollout, at, wall_time=at, is_first=True
            )
            chosen = self._rng.choice(groups[0])
            if chosen.host in self._paused:
                chosen = self._rng.choice(groups[-1])
            counts[chosen.host] = counts.get(chosen.host, 0) + 1
            is_new = chosen in self._new_owners
            kind = self._rng.choice(self._kinds)
            moment = Moment(at, chosen.host, is_new, self._load.get(chosen.host, 0.0), kind)
            answer = self._behaviour(moment, self._rng)
            log = self._logs[chosen.host]
            log.record(kind, answer.duration, failed=answer.failed)
            if is_new:
                self._exposed += 1
                self._bad_answers += answer.failed
                if self._rollout.share < 1 and log.fails_clearly:
                    self._paused.add(chosen.host)
        for member in everyone:
            before = self._load.get(member.host, 0.0)
            self._load[member.host] = before + 0.3 * (counts.get(member.host, 0) / TICK_S - before)

    def _reports(self, everyone: list[Member], sequence: int) -> list[WorkerAnswers]:
        """Return the reports of all owners."""
        return [
            WorkerAnswers(
                member.host,
                1,
                1,
                sequence,
                SERVICE,
                member.worker.version if member.worker else "",
                self._logs[member.host].counts,
                0,
            )
            for member in everyone
        ]

    def _view(self, at: float) -> RolloutView:
        """Return what the leader knows."""
        assessment = self._assessor.assess(SERVICE, self._rollout, at)
        return RolloutView(1000.0 + at, *assessment, is_everywhere=True, running=0)


def running(share: float) -> Rollout:
    """Return a rollout that is running."""
    return Rollout(target_version=NEW, duration=16.0, ordered_at=1.0, share=share)


def owner(host: str, version: str) -> Member:
    """Return the owner of an upstream of a version."""
    worker = Worker(SERVICE, Address("127.0.0.1", 1), SLOTS, 10, host, version)
    address = Address("127.0.0.1", 2)
    return Member(HostName(host), DataCentre("here"), 1, 0, address, address, address, "up", worker)
