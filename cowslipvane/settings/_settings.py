"""The settings, each with what is allowed."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from cowslipvane.types import Address, DataCentre, HostName, Seconds

Role = Literal["replica", "proxy"]


class Allowed(NamedTuple):
    """The range of a number, its unit, and what the setting is for."""

    low: float
    high: float
    unit: str
    about: str


def number(default: float, *, low: float, high: float, unit: str, about: str) -> Any:
    """Return a field for a number with its range and unit."""
    allowed = Allowed(low, high, unit, about)
    return dataclasses.field(default=default, metadata={"allowed": allowed})


@dataclass(frozen=True, slots=True, kw_only=True)
class Listen:
    """Where the process listens: for callers, for operators, and for its peers."""

    operators: Address
    peers: Address
    callers: Address | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Times that the process keeps to."""

    election_timeout: Seconds = number(
        1.0, low=0.1, high=60, unit="s", about="silence of a leader before replicas elect another"
    )
    heartbeat: Seconds = number(
        0.2, low=0.02, high=10, unit="s", about="time between messages of an idle leader"
    )
    pull_wait: Seconds = number(
        10.0, low=0.1, high=60, unit="s", about="time after which an idle pull is answered"
    )
    exchange: Seconds = number(
        0.5, low=0.05, high=30, unit="s", about="time between exchanges of members"
    )
    worker_lease: Seconds = number(
        3.0, low=0.2, high=60, unit="s", about="time within which a worker announces itself again"
    )
    grace: Seconds = number(
        30.0, low=0, high=3600, unit="s", about="time that a planned stop waits for calls under way"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one process."""

    host: HostName
    data_centre: DataCentre
    roles: tuple[Role, ...]
    listen: Listen
    seeds: tuple[Address, ...] = ()
    data_folder: str = ""
    event_file: str = ""
    # Route hosts whose routes the proxy takes; none means all.
    route_hosts: tuple[str, ...] = ()
    timing: Timing = dataclasses.field(default_factory=Timing)
