"""The faults of a soak, and their plan, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from cowslipvane.types import Seconds

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
    """Send changes of the configuration one right after another."""

    count: int


Fault = Restart | Reload | Kill | Pause | CrashWorker | RefuseAll | ReplaceWorker | Storm


class PlannedFault(NamedTuple):
    """A fault, and when it begins after the start of the traffic."""

    at: Seconds
    fault: Fault


class Cast(NamedTuple):
    """The names of the hosts that faults can act on."""

    replicas: list[str]
    proxies: list[str]


# The names by which faults are chosen on the command line.
KINDS = (
    "restart",
    "double-restart",
    "early-restart",
    "reload",
    "kill",
    "wipe",
    "kill-replicas",
    "pause",
    "crash-worker",
    "refuse-all",
    "replace-worker",
    "storm",
)


def draw_fault(kind: str, rng: random.Random, cast: Cast) -> Fault:
    """Draw a fault of a kind."""
    hosts = [*cast.proxies, *cast.replicas]
    match kind:
        case "restart":
            return Restart(host=rng.choice(cast.proxies * 2 + cast.replicas))
        case "double-restart":
            return Restart(host=rng.choice(cast.proxies), second_after=rng.uniform(0.05, 4.0))
        case "early-restart":
            return Restart(host=rng.choice(hosts), again_after=rng.random() * 3)
        case "reload":
            host = rng.choice(hosts)
            has_change, has_signal = rng.random() < 0.6, rng.random() < 0.7
            return Reload(host=host, has_change=has_change, has_signal=has_signal)
        case "kill":
            return Kill(hosts=[rng.choice(hosts)], down=rng.uniform(0.1, 2.0))
        case "wipe":
            host = rng.choice(cast.replicas)
            killed = rng.choice(([host], cast.replicas))
            return Kill(hosts=killed, down=rng.uniform(0.1, 2.0), lost_disk=host)
        case "kill-replicas":
            return Kill(hosts=cast.replicas, down=rng.uniform(0.1, 1.0))
        case "pause":
            return Pause(host=rng.choice(hosts), duration=rng.choice((0.3, 1.0, 3.0)))
        case "crash-worker":
            return CrashWorker(host=rng.choice(cast.proxies), keeps_instance=rng.random() < 0.4)
        case "refuse-all":
            return RefuseAll(host=rng.choice(cast.proxies), duration=rng.uniform(0.5, 4.0))
        case "replace-worker":
            return ReplaceWorker(host=rng.choice(cast.proxies))
        case "storm":
            return Storm(count=rng.randint(5, 20))
        case _:
            raise ValueError(f"unknown kind of fault: {kind}")


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
            fault = draw_fault(kind, rng, cast)
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
        case _:
            return 0.0
