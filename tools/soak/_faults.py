"""The faults of a soak, and their plan, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable
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


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlyRestart:
    """Restart a process, and send SIGTERM shortly after its start."""

    host: str
    after: Seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Reload:
    """Write the settings file if it is to change, and send SIGHUP if a signal is wanted."""

    host: str
    has_change: bool
    has_signal: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """Kill a process, wipe its disk if it is to be lost, and start it again."""

    host: str
    down: Seconds
    wipes: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class KillReplicas:
    """Kill all replicas at the same moment and start them again."""

    down: Seconds


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
class ReplaceWorker:
    """Let a worker leave, and start its successor."""

    host: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Storm:
    """Send changes of the configuration one right after another."""

    count: int


Fault = (
    Restart
    | EarlyRestart
    | Reload
    | Kill
    | KillReplicas
    | Pause
    | CrashWorker
    | ReplaceWorker
    | Storm
)


class PlannedFault(NamedTuple):
    """A fault, and when it begins after the start of the traffic."""

    at: Seconds
    fault: Fault


class Cast(NamedTuple):
    """The names of the hosts that faults can act on."""

    replicas: list[str]
    proxies: list[str]


def _restart(rng: random.Random, cast: Cast) -> Fault:
    return Restart(host=rng.choice(cast.proxies * 2 + cast.replicas))


def _double_restart(rng: random.Random, cast: Cast) -> Fault:
    return Restart(host=rng.choice(cast.proxies), second_after=rng.uniform(0.05, 4.0))


def _early_restart(rng: random.Random, cast: Cast) -> Fault:
    return EarlyRestart(host=rng.choice([*cast.proxies, *cast.replicas]), after=rng.random() * 3)


def _reload(rng: random.Random, cast: Cast) -> Fault:
    return Reload(
        host=rng.choice([*cast.proxies, *cast.replicas]),
        has_change=rng.random() < 0.6,
        has_signal=rng.random() < 0.7,
    )


def _kill(rng: random.Random, cast: Cast) -> Fault:
    return Kill(host=rng.choice([*cast.proxies, *cast.replicas]), down=rng.uniform(0.1, 2.0))


def _wipe(rng: random.Random, cast: Cast) -> Fault:
    return Kill(host=rng.choice(cast.replicas), down=rng.uniform(0.1, 2.0), wipes=True)


def _kill_replicas(rng: random.Random, cast: Cast) -> Fault:
    return KillReplicas(down=rng.uniform(0.1, 1.0))


def _pause(rng: random.Random, cast: Cast) -> Fault:
    return Pause(
        host=rng.choice([*cast.proxies, *cast.replicas]), duration=rng.choice((0.3, 1.0, 3.0))
    )


def _crash_worker(rng: random.Random, cast: Cast) -> Fault:
    return CrashWorker(host=rng.choice(cast.proxies), keeps_instance=rng.random() < 0.4)


def _replace_worker(rng: random.Random, cast: Cast) -> Fault:
    return ReplaceWorker(host=rng.choice(cast.proxies))


def _storm(rng: random.Random, cast: Cast) -> Fault:
    return Storm(count=rng.randint(5, 20))


# The names by which faults are chosen on the command line.
KINDS: dict[str, Callable[[random.Random, Cast], Fault]] = {
    "restart": _restart,
    "double-restart": _double_restart,
    "early-restart": _early_restart,
    "reload": _reload,
    "kill": _kill,
    "wipe": _wipe,
    "kill-replicas": _kill_replicas,
    "pause": _pause,
    "crash-worker": _crash_worker,
    "replace-worker": _replace_worker,
    "storm": _storm,
}


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
        for _ in range(rng.randint(1, _MAX_SERIES)):
            fault = KINDS[kind](rng, cast)
            may_lose_disk = now > disturbed_until + QUIET_TIME_BEFORE_WIPE
            if now < duration and (kind != "wipe" or may_lose_disk):
                plan.append(PlannedFault(now, fault))
                disturbed_until = max(disturbed_until, now + _replica_downtime(fault, cast))
            now += rng.uniform(*_SERIES_GAP)
    return plan


def _replica_downtime(fault: Fault, cast: Cast) -> Seconds:
    """Return how long after its begin a fault may disturb a replica, 0 if it disturbs none."""
    match fault:
        case Restart(host=host) | EarlyRestart(host=host) if host in cast.replicas:
            return _RESTART_DOWNTIME
        case Kill(host=host, down=down) if host in cast.replicas:
            return down
        case KillReplicas(down=down):
            return down
        case Pause(host=host, duration=duration) if host in cast.replicas:
            return duration
        case _:
            return 0.0
