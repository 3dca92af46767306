"""The settings, each with its allowed values and its description."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from cowslipvane.types import Address, DataCentre, HostName, Seconds

Role = Literal["replica", "proxy"]


class NumberRange(NamedTuple):
    """The range and the unit of a numeric setting, and its description."""

    low: float
    high: float
    unit: str
    description: str


class ValueDescription(NamedTuple):
    """The allowed values of a setting that isn't numeric, and its description."""

    values: str
    description: str


def number_field(default: float, *, low: float, high: float, unit: str, description: str) -> Any:
    """Return a field for a numeric setting, with its range and unit."""
    allowed = NumberRange(low, high, unit, description)
    return dataclasses.field(default=default, metadata={"allowed": allowed})


def value_field(values: str, description: str, default: Any = dataclasses.MISSING) -> Any:
    """Return a field for a setting that isn't numeric; it is required unless it has a default."""
    metadata = {"described": ValueDescription(values, description)}
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def table_field(kind: type, description: str) -> Any:
    """Return a field for a table in which every setting has a default."""
    described = ValueDescription("a table", description)
    return dataclasses.field(default_factory=kind, metadata={"described": described})


@dataclass(frozen=True, slots=True, kw_only=True)
class Listen:
    """The addresses at which the process listens for callers, operators and peers."""

    operators: Address = value_field("IP:PORT", "listener for operators and for the worker")
    peers: Address = value_field("IP:PORT", "listener for the other processes of the system")
    callers: Address | None = value_field(
        "IP:PORT", "listener for callers; required by a proxy", default=None
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Timeouts and intervals of the process."""

    election_timeout: Seconds = number_field(
        1.0,
        low=0.1,
        high=60,
        unit="s",
        description="time without a message from the leader before replicas elect another",
    )
    heartbeat: Seconds = number_field(
        0.2, low=0.02, high=10, unit="s", description="time between heartbeats of an idle leader"
    )
    pull_wait: Seconds = number_field(
        10.0,
        low=0.1,
        high=60,
        unit="s",
        description="time after which a pull is answered although there is no update",
    )
    exchange: Seconds = number_field(
        0.5, low=0.05, high=30, unit="s", description="time between membership exchanges with peers"
    )
    worker_lease: Seconds = number_field(
        3.0,
        low=0.2,
        high=60,
        unit="s",
        description="time within which a worker must announce itself again",
    )
    grace: Seconds = number_field(
        30.0,
        low=0,
        high=3600,
        unit="s",
        description="time that a planned stop waits for calls in flight",
    )
    left_to_end: Seconds = number_field(
        30.0,
        low=0,
        high=3600,
        unit="s",
        description="time past its deadline for which work that isn't idempotent may keep running",
    )
    lame_duck: Seconds = number_field(
        0.5,
        low=0,
        high=60,
        unit="s",
        description="time for which a stopping proxy still accepts connections of callers",
    )
    longest_backoff: Seconds = number_field(
        5.0,
        low=0.1,
        high=60,
        unit="s",
        description="longest delay before a proxy tries the next replica",
    )
    silence: Seconds = number_field(
        2.0,
        low=0.2,
        high=60,
        unit="s",
        description="time without data after which a connection to a peer counts as lost",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on what the process keeps in memory and in its event file."""

    event_file_bytes: float = number_field(
        16e6,
        low=1e4,
        high=1e9,
        unit="bytes",
        description="size at which an event file is rotated",
    )
    events_in_memory: float = number_field(
        4000,
        low=100,
        high=1e6,
        unit="events",
        description="events kept in memory; older ones are dropped",
    )
    body_bytes: float = number_field(
        64e6,
        low=1e6,
        high=1e12,
        unit="bytes",
        description="request bodies held at once; a larger one is taken when it is alone",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Retries:
    """The retry budget of each service, over the whole fleet."""

    share: float = number_field(
        0.2,
        low=0,
        high=10,
        unit="of its requests",
        description="retries allowed to a service, relative to its requests",
    )
    slack: float = number_field(
        60,
        low=0,
        high=1e6,
        unit="attempts",
        description="retries allowed beyond the share in each window",
    )
    window: Seconds = number_field(
        10, low=1, high=600, unit="s", description="length of the window to which the slack applies"
    )


DEFAULT_RETRIES = Retries()


@dataclass(frozen=True, slots=True, kw_only=True)
class Rollouts:
    """How services are moved to upstreams of another version."""

    exposure: float = number_field(
        0.1,
        low=0.001,
        high=0.9,
        unit="of its requests",
        description="share of a service's requests that a bad version may get",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Revocation:
    """Whether keys that were withdrawn may still be accepted without contact to the replicas."""

    when_partitioned: bool = value_field(
        "true or false", "accept no key without recent contact to the group of replicas", False
    )
    timeout: Seconds = number_field(
        5.0,
        low=0.5,
        high=3600,
        unit="s",
        description="time after which a withdrawn key is accepted nowhere,"
        " if revocation.when_partitioned is true",
    )


DEFAULT_REVOCATION = Revocation()


@dataclass(frozen=True, slots=True, kw_only=True)
class Quotas:
    """How the quotas of teams are divided among replicas, and how far they may be exceeded."""

    lease: Seconds = number_field(
        60.0,
        low=1,
        high=86400,
        unit="s",
        description="time for which a replica that is cut off goes on to grant its part of quotas;"
        " others get the part after that",
    )
    overshoot: float = number_field(
        0.1,
        low=0,
        high=10,
        unit="of a quota",
        description="what a team may send beyond its quota while replicas can't be reached",
    )
    slack: float = number_field(
        20,
        low=0,
        high=1e6,
        unit="requests",
        description="requests that a team may send beyond that in each window",
    )
    window: Seconds = number_field(
        5,
        low=0.1,
        high=600,
        unit="s",
        description="length of the window to which the slack applies",
    )


DEFAULT_QUOTAS = Quotas()


@dataclass(frozen=True, slots=True, kw_only=True)
class Formation:
    """How the group of replicas is formed: automatically, or by commands.

    With automatic formation each host is named by its IP address. If first_start is set, seeds
    with an empty data folder form a new group. Any other replica with an empty data folder joins
    the group and replaces the former replica of its host.
    """

    automatic: bool = value_field(
        "true or false", "form and repair the group without commands", False
    )
    first_start: bool = value_field(
        "true or false",
        "form a new group of the seeds if the data folder is empty;"
        " set only at the first start of the system",
        False,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Security:
    """Who may connect to the listeners for operators and peers."""

    token_file: str = value_field(
        "a path", "file with the token that operators and peers must present", default=""
    )
    allow_unauthenticated: bool = value_field(
        "true or false", "listen beyond loopback without a token", default=False
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one process."""

    host: HostName = value_field("a text", "name of this host, unique in the system")
    data_centre: DataCentre = value_field("a text", "name of the data centre that the host is in")
    roles: tuple[Role, ...] = value_field(
        "a list of replica and proxy",
        "what the process does: serve callers as a proxy, store the configuration as a replica,"
        " or both",
    )
    listen: Listen = value_field("a table", "addresses of the listeners")
    seeds: tuple[Address, ...] = value_field(
        "a list of IP:PORT", "peers' listeners of the processes to contact first", default=()
    )
    data_folder: str = value_field("a path", "folder on a disk; required by a replica", default="")
    event_file: str = value_field(
        "a path", "file for events as JSON lines; none if empty", default=""
    )
    log_events: bool = value_field(
        "true or false", "write events to standard output", default=False
    )
    service: str = value_field(
        "a text", "service on this host, sent to upstreams as the origin of a request", default=""
    )
    route_hosts: tuple[str, ...] = value_field(
        "a list of texts", "route hosts whose routes the proxy pulls; all if empty", default=()
    )
    timing: Timing = table_field(Timing, "timeouts and intervals of the process")
    limits: Limits = table_field(Limits, "limits on what the process keeps")
    retries: Retries = table_field(Retries, "retry budget of each service, over the whole fleet")
    rollouts: Rollouts = table_field(Rollouts, "how services move to upstreams of another version")
    revocation: Revocation = table_field(
        Revocation, "whether withdrawn keys are accepted without contact to the replicas"
    )
    quotas: Quotas = table_field(
        Quotas, "how quotas of teams are divided, and how far they may be exceeded"
    )
    formation: Formation = table_field(Formation, "how the group of replicas is formed")
    security: Security = table_field(
        Security, "who may connect to the listeners for operators and peers"
    )
