"""The settings, each with what is allowed."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from cowslipvane.types import Address, DataCentre, HostName, Seconds

Role = Literal["replica", "proxy"]


class NumberRange(NamedTuple):
    """The range of a number, its unit, and what the setting is for."""

    low: float
    high: float
    unit: str
    description: str


class ValueDescription(NamedTuple):
    """What a setting that is no number may be, and what it is for."""

    values: str
    description: str


def number_field(default: float, *, low: float, high: float, unit: str, description: str) -> Any:
    """Return a field for a number with its range and unit."""
    allowed = NumberRange(low, high, unit, description)
    return dataclasses.field(default=default, metadata={"allowed": allowed})


def value_field(values: str, description: str, default: Any = dataclasses.MISSING) -> Any:
    """Return a field that is no number; it is needed unless it has a default."""
    metadata = {"described": ValueDescription(values, description)}
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def table_field(kind: type, description: str) -> Any:
    """Return a field for a table of settings that each have a default."""
    described = ValueDescription("a table", description)
    return dataclasses.field(default_factory=kind, metadata={"described": described})


@dataclass(frozen=True, slots=True, kw_only=True)
class Listen:
    """Where the process listens: for callers, for operators, and for its peers."""

    operators: Address = value_field("IP:PORT", "listener for operators and for the worker")
    peers: Address = value_field("IP:PORT", "listener for the system's other processes")
    callers: Address | None = value_field(
        "IP:PORT", "listener for callers; needed by a proxy", default=None
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Times that the process keeps to."""

    election_timeout: Seconds = number_field(
        1.0,
        low=0.1,
        high=60,
        unit="s",
        description="silence of a leader before replicas elect another",
    )
    heartbeat: Seconds = number_field(
        0.2, low=0.02, high=10, unit="s", description="time between messages of an idle leader"
    )
    pull_wait: Seconds = number_field(
        10.0, low=0.1, high=60, unit="s", description="time after which an idle pull is answered"
    )
    exchange: Seconds = number_field(
        0.5, low=0.05, high=30, unit="s", description="time between exchanges of members"
    )
    worker_lease: Seconds = number_field(
        3.0,
        low=0.2,
        high=60,
        unit="s",
        description="time within which a worker announces itself again",
    )
    grace: Seconds = number_field(
        30.0,
        low=0,
        high=3600,
        unit="s",
        description="time that a planned stop waits for calls under way",
    )
    left_to_end: Seconds = number_field(
        30.0,
        low=0,
        high=3600,
        unit="s",
        description="time after its deadline for which work that isn't idempotent is left to end",
    )
    lame_duck: Seconds = number_field(
        0.5,
        low=0,
        high=60,
        unit="s",
        description="time that a stopping proxy still takes new callers",
    )
    longest_backoff: Seconds = number_field(
        5.0, low=0.1, high=60, unit="s", description="longest pause of a proxy between two replicas"
    )
    silence: Seconds = number_field(
        2.0,
        low=0.2,
        high=60,
        unit="s",
        description="silence after which a connection to a peer is lost",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on what the process keeps."""

    event_file_bytes: float = number_field(
        16e6,
        low=1e4,
        high=1e9,
        unit="bytes",
        description="size at which an event file is put aside",
    )
    events_in_memory: float = number_field(
        4000,
        low=100,
        high=1e6,
        unit="events",
        description="events kept in memory; older ones drop out",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Retries:
    """How far further attempts may add to a service's requests, over the whole fleet."""

    share: float = number_field(
        0.2,
        low=0,
        high=10,
        unit="of its requests",
        description="further attempts that a service takes",
    )
    slack: float = number_field(
        60,
        low=0,
        high=1e6,
        unit="attempts",
        description="further attempts beyond the share, in a window",
    )
    window: Seconds = number_field(
        10, low=1, high=600, unit="s", description="time for which the slack stands"
    )


DEFAULT_RETRIES = Retries()


@dataclass(frozen=True, slots=True, kw_only=True)
class Formation:
    """How the group of replicas comes about; by commands if it isn't automatic.

    With automatic formation the seeds found the group at the first start, a host is named by its
    IP address, and a replica whose disk is empty later joins in place of the one it was.
    """

    automatic: bool = value_field(
        "true or false", "form and mend the group without commands", False
    )
    first_start: bool = value_field("true or false", "the system starts for the first time", False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Security:
    """Who may talk to the listeners of operators and peers."""

    token_file: str = value_field(
        "a path", "file with the token that operators and peers must show", default=""
    )
    allow_unauthenticated: bool = value_field(
        "true or false", "listen beyond loopback although there is no token", default=False
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one process."""

    host: HostName = value_field("a text", "name of this host, not used by another")
    data_centre: DataCentre = value_field("a text", "name of the data centre that the host is in")
    roles: tuple[Role, ...] = value_field("a list of replica and proxy", "what the process does")
    listen: Listen = value_field("a table", "addresses of the listeners")
    seeds: tuple[Address, ...] = value_field(
        "a list of IP:PORT", "peers' listeners of processes to begin with", default=()
    )
    data_folder: str = value_field("a path", "folder on a disk; needed by a replica", default="")
    event_file: str = value_field(
        "a path", "file for events as JSON lines; none if empty", default=""
    )
    log_events: bool = value_field(
        "true or false", "write events to standard output", default=False
    )
    service: str = value_field(
        "a text", "service on this host, told to upstreams as where a request began", default=""
    )
    route_hosts: tuple[str, ...] = value_field(
        "a list of texts", "route hosts whose routes the proxy takes; all if empty", default=()
    )
    timing: Timing = table_field(Timing, "times that the process keeps to")
    limits: Limits = table_field(Limits, "bounds on what the process keeps")
    retries: Retries = table_field(Retries, "further attempts that the fleet may make")
    formation: Formation = table_field(Formation, "how the group of replicas comes about")
    security: Security = table_field(Security, "who may talk to operators' and peers' listeners")
