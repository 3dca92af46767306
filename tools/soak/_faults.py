"""The faults of a soak, and their plan, drawn from a seed."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.types import Seconds
from tools.relay import LinkCondition

# A disk is lost only after this time without a fault of a replica, so that all have caught up and
# no two disks are lost at once.
QUIET_TIME_BEFORE_WIPE: Seconds = 8.0
_SERIES_GAP: tuple[Seconds, Seconds] = (0.1, 2.5)
_MAX_SERIES = 4
_RESTART_DOWNTIME: Seconds = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Restart:
    """Stop a process with SIGTERM and start it again; a second SIGTERM may follow the first."""

    host: str
    second_after: Seconds | None = None
    # How long after its start the process is restarted once more.
    again_after: Seconds | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Reload:
    """Write the settings file if it is to change, and send SIGHUP if a signal is wanted."""

    host: str
    has_change: bool
    has_signal: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """Kill processes at the same moment, lose the disk of one of them or of none, and start all."""

    hosts: list[str]
    down: Seconds
    lost_disk: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Pause:
    """Stop a process with SIGSTOP and let it continue."""

    host: str
    duration: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashWorker:
    """End a worker at once and start a new incarnation."""

    host: str
    keeps_instance: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseAll:
    """Let a worker refuse all requests for some time."""

    host: str
    duration: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplaceWorker:
    """Let a worker leave, and start its successor."""

    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Storm:
    """Send changes one right after another, the first one with another number of routes or not."""

    count: int
    additional_routes: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class HarmLinks:
    """Harm the links of some hosts for some time."""

    hosts: list[str]
    duration: Seconds
    condition: LinkCondition


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakConnections:
    """Reset the open connections of some hosts, or let them go silent for good."""

    hosts: list[str]
    is_silent: bool


Fault = (
    Restart
    | Reload
    | Kill
    | Pause
    | CrashWorker
    | RefuseAll
    | ReplaceWorker
    | Storm
    | HarmLinks
    | BreakConnections
)


class PlannedFault(NamedTuple):
    """A fault, and when it begins after the start of the traffic."""

    at: Seconds
    fault: Fault


class Cast(NamedTuple):
    """The names of the hosts that faults can act on."""

    replicas: list[str]
    proxies: list[str]

    @property
    def hosts(self) -> list[str]:
        """Return all of them."""
        return [*self.proxies, *self.replicas]


def _draw_wipe(rng: random.Random, cast: Cast) -> Fault:
    """Draw a lost disk, alone or with a kill of all replicas."""
    host = rng.choice(cast.replicas)
    killed = rng.choice(([host], cast.replicas))
    return Kill(hosts=killed, down=rng.uniform(0.1, 2.0), lost_disk=host)


def _draw_harm(rng: random.Random, cast: Cast) -> Fault:
    """Draw links that are slow."""
    hosts = _draw_hosts(rng, cast)
    duration, delay = rng.uniform(0.5, 6.0), rng.choice((0.0, 0.02, 0.2))
    rate = rng.choice((math.inf, 400_000, 100_000, 30_000))
    return HarmLinks(hosts=hosts, duration=duration, condition=LinkCondition(delay, rate))


def _draw_cut(rng: random.Random, cast: Cast) -> Fault:
    """Draw a host whose link is cut in one direction or both."""
    is_cut = rng.choice(((True, False), (False, True), (True, True)))
    condition = LinkCondition(0.0, math.inf, *is_cut)
    host = rng.choice(cast.hosts)
    return HarmLinks(hosts=[host], duration=rng.uniform(0.3, 6.0), condition=condition)


def _draw_hosts(rng: random.Random, cast: Cast) -> list[str]:
    """Draw one host, all replicas or all hosts."""
    return rng.choice(([rng.choice(cast.hosts)], cast.replicas, cast.hosts))


_DRAWS: dict[str, Callable[[random.Random, Cast], Fault]] = {
    "restart": lambda rng, cast: Restart(host=rng.choice(cast.proxies * 2 + cast.replicas)),
    "double-restart": lambda rng, cast: Restart(
        host=rng.choice(cast.proxies), second_after=rng.uniform(0.05, 4.0)
    ),
    "early-restart": lambda rng, cast: Restart(
        host=rng.choice(cast.hosts), again_after=rng.random() * 3
    ),
    "reload": lambda rng, cast: Reload(
        host=rng.choice(cast.hosts), has_change=rng.random() < 0.6, has_signal=rng.random() < 0.7
    ),
    "kill": lambda rng, cast: Kill(hosts=[rng.choice(cast.hosts)], down=rng.uniform(0.1, 2.0)),
    "wipe": _draw_wipe,
    "kill-replicas": lambda rng, cast: Kill(hosts=cast.replicas, down=rng.uniform(0.1, 1.0)),
    "pause": lambda rng, cast: Pause(
        host=rng.choice(cast.hosts), duration=rng.choice((0.3, 1.0, 3.0))
    ),
    "crash-worker": lambda rng, cast: CrashWorker(
        host=rng.choice(cast.proxies), keeps_instance=rng.random() < 0.4
    ),
    "refuse-all": lambda rng, cast: RefuseAll(
        host=rng.choice(cast.proxies), duration=rng.uniform(0.5, 4.0)
    ),
    "replace-worker": lambda rng, cast: ReplaceWorker(host=rng.choice(cast.proxies)),
    "storm": lambda rng, _: Storm(count=rng.randint(5, 20)),
    "resize": lambda rng, _: Storm(count=1, additional_routes=rng.choice((0, 100, 400))),
    "slow-links": _draw_harm,
    "cut-links": _draw_cut,
    "reset-links": lambda rng, cast: BreakConnections(
        hosts=_draw_hosts(rng, cast), is_silent=False
    ),
    "silence-links": lambda rng, cast: BreakConnections(
        hosts=_draw_hosts(rng, cast), is_silent=True
    ),
}
# The names by which faults are chosen on the command line.
KINDS = tuple(_DRAWS)


def plan_faults(
    rng: random.Random, cast: Cast, duration: Seconds, kinds: list[str]
) -> list[PlannedFault]:
    """Draw faults in series that overlap, in the order in which they begin."""
    plan: list[PlannedFault] = []
    now = rng.uniform(0.2, 1.5)
    # The start of the replicas disturbs them, too.
    disturbed_until: Seconds = 0.0
    while now < duration:
        kind = rng.choice(kinds)
        if kind == "wipe":
            now = max(now, disturbed_until + QUIET_TIME_BEFORE_WIPE)
        for _ in range(1 if kind == "wipe" else rng.randint(1, _MAX_SERIES)):
            fault = _DRAWS[kind](rng, cast)
            if now < duration:
                plan.append(PlannedFault(now, fault))
                disturbed_until = max(disturbed_until, now + _replica_downtime(fault, cast))
            now += rng.uniform(*_SERIES_GAP)
    return plan


def _replica_downtime(fault: Fault, cast: Cast) -> Seconds:
    """Return how long after its begin a fault may disturb a replica, 0 if it disturbs none."""
    match fault:
        case Restart(host=host) if host in cast.replicas:
            return _RESTART_DOWNTIME
        case Kill(hosts=hosts, down=down) if not set(hosts).isdisjoint(cast.replicas):
            return down
        case Pause(host=host, duration=duration) if host in cast.replicas:
            return duration
        case HarmLinks(hosts=hosts, duration=duration) if not set(hosts).isdisjoint(cast.replicas):
            return duration
        case _:
            return 0.0
