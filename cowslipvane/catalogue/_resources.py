"""The kinds of resource that operators write, and the rules for each."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from cowslipvane.access import KeyUse
from cowslipvane.catalogue._documents import Piece
from cowslipvane.types import (
    ADDED_FIELD,
    Header,
    HostName,
    KeyDigest,
    Seconds,
    ServiceName,
    Version,
    fits_int64,
)

DEFAULT_TIMEOUT: Seconds = 5.0
DEFAULT_MAX_BODY_BYTES = 1 << 20
MAX_TIMEOUT: Seconds = 3600.0
MAX_ROUTE_TIMEOUT: Seconds = 600.0
# A latency goal that exceeds the timeout by more than this is taken for a mistake.
MAX_GOAL_EXCESS: Seconds = 60.0
MAX_BODY_BYTES_LIMIT = 1 << 30
MAX_ATTEMPTS = 10
MAX_WEIGHT = 1_000_000
MAX_ROLLOUT_TIME: Seconds = 86400.0
MAX_UPSTREAM_VERSION_CHARACTERS = 256
MAX_TEAM_NAME_CHARACTERS = 256
# Requests a second, and requests at once.
MAX_QUOTA = 1e9
OUT_OF_RANGE = "is out of range; allowed is a whole number of 64 bits"

# Upstreams get the name of a team in a header field.
_TEAM_NAME = re.compile(r"[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?")
_KEY_DIGEST = re.compile(r"[0-9a-f]{32}")

RolloutPhase = Literal["running", "completed", "rolled-back"]


class Target(NamedTuple):
    """A service that receives a share of a route's requests, by weight."""

    service: ServiceName
    weight: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of upstreams that serve the same requests."""

    retry_policy: str = ""
    traffic_policy: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A rule that sends matching requests to services, with optional limits of its own.

    repeatable, attempts and timeout are taken from the policies of the service if None. repeatable
    states whether a request may run more than once. goal is the latency goal, None for none: a
    response that takes longer is worth less. Requests of priority 0 go before those of priority 1.
    access_keys tells whether requests need a key of a team.
    """

    targets: tuple[Target, ...]
    host: str = "*"
    path_prefix: str = "/"
    method: str = "*"
    headers: tuple[Header, ...] = ()
    repeatable: bool | None = None
    attempts: int | None = None
    timeout: Seconds | None = None
    goal: Seconds | None = None
    priority: int = 0
    # Builds that know no teams compute the digest of a route from the representation without it.
    access_keys: KeyUse = field(default="ignored", repr=False, metadata=ADDED_FIELD)


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team of callers, and the digests of the keys that its requests show.

    It may send rate requests a second, counted over all proxies, and burst more at once. A rate of
    0 is no limit.
    """

    key_digests: tuple[KeyDigest, ...] = ()
    # Builds without quotas compute the digest of a team from the representation without them.
    rate: float = field(default=0.0, repr=False, metadata=ADDED_FIELD)
    burst: float = field(default=0.0, repr=False, metadata=ADDED_FIELD)


class QuotaHolder(NamedTuple):
    """A replica that grants requests of teams, and where it listens for peers, as IP:PORT."""

    host: HostName
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaDivision:
    """Among which replicas the quotas of teams are divided; the leader writes it.

    Each holder grants one of parts equal parts of each quota. former are the hosts that may still
    act on the division before.
    """

    holders: tuple[QuotaHolder, ...] = ()
    parts: int = 0
    former: tuple[HostName, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Which requests may be retried, and how often.

    With idempotency_key, methods don't make a request repeatable, only its route does.
    """

    attempts: int = 2
    methods: tuple[str, ...] = ("GET", "HEAD")
    idempotency_key: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficPolicy:
    """Limits on a service's requests."""

    timeout: Seconds = DEFAULT_TIMEOUT
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Whether the upstream on the host of this name accepts new requests."""

    state: Literal["in", "out"] = "in"


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """A complete configuration that the operator has numbered.

    The other resources are generated from the document, which is stored as the operator wrote it.
    In a change, the document may be given as pieces of the one that it replaces.
    """

    number: int
    based_on: int
    document: str
    pieces: tuple[Piece, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """The move of a service's requests to upstreams of another version; its name is the service's.

    While it is running, upstreams of the target version get a share of the requests. ordered_at is
    in seconds of wall time, 0 until its first step. An operator gives target_version and duration.
    """

    target_version: str
    duration: Seconds
    ordered_at: float = 0.0
    phase: RolloutPhase = "running"
    share: float = 0.0
    reason: str = ""


Spec = (
    Service
    | Route
    | RetryPolicy
    | TrafficPolicy
    | Upstream
    | Release
    | Rollout
    | Team
    | QuotaDivision
)

KINDS: dict[str, type[Spec]] = {
    "service": Service,
    "route": Route,
    "retry-policy": RetryPolicy,
    "traffic-policy": TrafficPolicy,
    "upstream": Upstream,
    "release": Release,
    "rollout": Rollout,
    "team": Team,
    "quota-division": QuotaDivision,
}
# The kinds that replicas write by themselves; operators only read them.
SYSTEM_KINDS = frozenset({"quota-division"})
_KIND_NAMES = {spec: kind for kind, spec in KINDS.items()}
_ROUTE_KIND = _KIND_NAMES[Route]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class Key(NamedTuple):
    """The identity of a resource within the catalogue."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return the form KIND/NAME that messages use."""
        return f"{self.kind}/{self.name}"


class Resource(NamedTuple):
    """A resource and the version that last changed it."""

    key: Key
    spec: Spec
    version: Version


class Fault(NamedTuple):
    """One violation of a rule, and the path of the resource or field that violates it."""

    path: str
    message: str


def kind_of(spec: Spec) -> str:
    """Return the kind of a specification."""
    return _KIND_NAMES[type(spec)]


def references(spec: Spec) -> Iterator[Key]:
    """Yield the keys of the resources that a specification refers to."""
    match spec:
        case Service(retry_policy=retry_policy, traffic_policy=traffic_policy):
            if retry_policy:
                yield Key("retry-policy", retry_policy)
            if traffic_policy:
                yield Key("traffic-policy", traffic_policy)
        case Route(targets=targets):
            for target in targets:
                yield Key("service", target.service)
        case _:
            return


def spec_faults(key: Key, spec: Spec) -> Iterator[Fault]:
    """Yield the faults of a specification by itself, references aside."""
    match spec:
        case Route() as route:
            yield from _match_faults(key, route)
            yield from _limit_faults(key, route)
        case RetryPolicy(attempts=attempts, methods=methods, idempotency_key=idempotency_key):
            if not 1 <= attempts <= MAX_ATTEMPTS:
                yield Fault(f"{key}.attempts", f"is {attempts}; allowed is 1 to {MAX_ATTEMPTS}")
            unsafe = sorted(set(methods) - IDEMPOTENT_METHODS)
            if unsafe and not idempotency_key:
                names = ", ".join(unsafe)
                yield Fault(
                    f"{key}.methods",
                    f"{names} is not idempotent; set idempotency_key = true or leave it out",
                )
        case TrafficPolicy(timeout=timeout, max_body_bytes=max_body_bytes):
            # NaN fails each comparison, so it is refused too.
            if not 0 < timeout <= MAX_TIMEOUT:
                limit = f"more than 0 and at most {MAX_TIMEOUT:g}"
                yield Fault(f"{key}.timeout", f"is {timeout} s; allowed is {limit}")
            if not 0 <= max_body_bytes <= MAX_BODY_BYTES_LIMIT:
                limit = f"0 to {MAX_BODY_BYTES_LIMIT}"
                yield Fault(f"{key}.max_body_bytes", f"is {max_body_bytes}; allowed is {limit}")
        case Release() as release:
            yield from _release_faults(key, release)
        case Rollout() as rollout:
            yield from _rollout_faults(key, rollout)
        case Team() as team:
            yield from _team_faults(key, team)
        case QuotaDivision(holders=holders, parts=parts):
            if len(holders) > parts:
                yield Fault(f"{key}.parts", f"is {parts}; allowed is one for each holder and more")
        case Service() | Upstream():
            return


def _release_faults(key: Key, release: Release) -> Iterator[Fault]:
    """Yield the faults of a release's numbers."""
    for name, number in (("number", release.number), ("based_on", release.based_on)):
        if not fits_int64(number):
            yield Fault(f"{key}.{name}", OUT_OF_RANGE)
    for at, piece in enumerate(release.pieces):
        if not fits_int64(piece.start) or not fits_int64(piece.length):
            yield Fault(f"{key}.pieces[{at}]", OUT_OF_RANGE)


def _rollout_faults(key: Key, rollout: Rollout) -> Iterator[Fault]:
    """Yield the faults of a rollout's fields."""
    if not 0 < len(rollout.target_version) <= MAX_UPSTREAM_VERSION_CHARACTERS:
        limit = f"a text of 1 to {MAX_UPSTREAM_VERSION_CHARACTERS} characters"
        yield Fault(f"{key}.target_version", f"has a wrong length; allowed is {limit}")
    # NaN fails each comparison, so it is refused too.
    if not 0 < rollout.duration <= MAX_ROLLOUT_TIME:
        limit = f"more than 0 and at most {MAX_ROLLOUT_TIME:g}"
        yield Fault(f"{key}.duration", f"is {rollout.duration} s; allowed is {limit}")
    if not 0 <= rollout.share <= 1:
        yield Fault(f"{key}.share", f"is {rollout.share}; allowed is 0 to 1")
    if not 0 <= rollout.ordered_at < math.inf:
        yield Fault(f"{key}.ordered_at", f"is {rollout.ordered_at}; allowed is a time")


def _team_faults(key: Key, team: Team) -> Iterator[Fault]:
    """Yield the faults of a team's name, of the digests of its keys, and of its quota."""
    if not _TEAM_NAME.fullmatch(key.name) or len(key.name) > MAX_TEAM_NAME_CHARACTERS:
        limit = f"1 to {MAX_TEAM_NAME_CHARACTERS} visible ASCII characters"
        yield Fault(str(key), f"has a name that no header field can hold; allowed are {limit}")
    if not all(_KEY_DIGEST.fullmatch(digest) for digest in team.key_digests):
        yield Fault(f"{key}.key_digests", "has an odd digest; allowed are 32 hexadecimal digits")
    yield from _quota_faults(key, team)


def _quota_faults(key: Key, team: Team) -> Iterator[Fault]:
    """Yield the faults of a team's quota."""
    for name, value in (("rate", team.rate), ("burst", team.burst)):
        # NaN fails each comparison, so it is refused too.
        if not 0 <= value <= MAX_QUOTA:
            yield Fault(f"{key}.{name}", f"is {value}; allowed is 0 to {MAX_QUOTA:g}")


def _match_faults(key: Key, route: Route) -> Iterator[Fault]:
    """Yield the faults of a route's match conditions and targets."""
    weights = [target.weight for target in route.targets]
    if any(not 0 <= weight <= MAX_WEIGHT for weight in weights):
        yield Fault(f"{key}.targets", f"has a weight out of range; allowed is 0 to {MAX_WEIGHT}")
    if sum(weights) <= 0:
        yield Fault(f"{key}.targets", "has weights that add up to 0; give one target at least 1")
    if not route.host:
        yield Fault(f"{key}.host", "is empty; give a host, or * for any")
    if not route.path_prefix.startswith("/"):
        yield Fault(f"{key}.path_prefix", f"is {route.path_prefix!r}; it must begin with /")


def _limit_faults(key: Key, route: Route) -> Iterator[Fault]:
    """Yield the faults of a route's own limits."""
    timeout, goal, attempts = route.timeout, route.goal, route.attempts
    if timeout is not None and not 0 < timeout <= MAX_ROUTE_TIMEOUT:
        limit = f"more than 0 and at most {MAX_ROUTE_TIMEOUT:g}"
        yield Fault(f"{key}.timeout", f"is {timeout} s; allowed is {limit}")
    if goal is not None and not 0 <= goal < (timeout or MAX_TIMEOUT) + MAX_GOAL_EXCESS:
        limit = f"less than {MAX_GOAL_EXCESS:g} s beyond the timeout"
        yield Fault(f"{key}.goal", f"is {goal} s; allowed is {limit}")
    if attempts is not None and not 1 <= attempts <= MAX_ATTEMPTS:
        yield Fault(f"{key}.attempts", f"is {attempts}; allowed is 1 to {MAX_ATTEMPTS}")
    if not fits_int64(route.priority):
        yield Fault(f"{key}.priority", OUT_OF_RANGE)


def new_reference_faults(
    resources: Mapping[Key, Resource], *, puts: Iterable[Key], deletes: Iterable[Key]
) -> Iterator[Fault]:
    """Yield the reference faults of resources that had none before a change."""
    # Nothing refers to a route, and a reference of a resource that wasn't written still holds.
    if all(key.kind == _ROUTE_KIND for key in deletes) and all(
        reference in resources
        for key in puts
        if key in resources
        for reference in references(resources[key].spec)
    ):
        return
    yield from reference_faults(resources)


def reference_faults(resources: Mapping[Key, Resource]) -> Iterator[Fault]:
    """Yield a fault for each reference to a resource that doesn't exist."""
    for resource in resources.values():
        for reference in references(resource.spec):
            if reference not in resources:
                yield Fault(str(resource.key), f"refers to {reference}, which does not exist")
