"""The kinds of resource that an operator writes."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Literal, NamedTuple

from cowslipvane.types import Header, Seconds, ServiceName, Version

DEFAULT_TIMEOUT: Seconds = 5.0
DEFAULT_MAX_BODY_BYTES = 1 << 20
MAX_TIMEOUT: Seconds = 3600.0
LARGEST_MAX_BODY_BYTES = 1 << 30
MAX_ATTEMPTS = 10
MAX_WEIGHT = 1_000_000


class Target(NamedTuple):
    """A service that a route sends a share of its requests to."""

    service: ServiceName
    weight: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of upstreams that serve the same requests."""

    retry_policy: str = ""
    traffic_policy: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The requests that match, and the services that they go to."""

    targets: tuple[Target, ...]
    host: str = "*"
    path_prefix: str = "/"
    method: str = "*"
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Which requests may be tried again, and how often."""

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
    """Whether the upstream on the host of this name takes new requests."""

    state: Literal["in", "out"] = "in"


Spec = Service | Route | RetryPolicy | TrafficPolicy | Upstream

KINDS: dict[str, type[Spec]] = {
    "service": Service,
    "route": Route,
    "retry-policy": RetryPolicy,
    "traffic-policy": TrafficPolicy,
    "upstream": Upstream,
}
_KIND_NAMES = {spec: kind for kind, spec in KINDS.items()}

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class Key(NamedTuple):
    """The name of a resource within the catalogue."""

    kind: str
    name: str

    def __str__(self) -> str:
        """Return the form that messages use."""
        return f"{self.kind}/{self.name}"


class Resource(NamedTuple):
    """A resource and the version that last changed it."""

    key: Key
    spec: Spec
    version: Version


class Fault(NamedTuple):
    """One thing that is wrong with a resource."""

    path: str
    message: str


def kind_of(spec: Spec) -> str:
    """Return the kind of a specification."""
    return _KIND_NAMES[type(spec)]


def references(spec: Spec) -> Iterator[Key]:
    """Yield the resources that a specification can't do without."""
    match spec:
        case Service(retry_policy=retry_policy, traffic_policy=traffic_policy):
            if retry_policy:
                yield Key("retry-policy", retry_policy)
            if traffic_policy:
                yield Key("traffic-policy", traffic_policy)
        case Route(targets=targets):
            for target in targets:
                yield Key("service", target.service)
        case RetryPolicy() | TrafficPolicy() | Upstream():
            return


def own_faults(key: Key, spec: Spec) -> Iterator[Fault]:
    """Yield what is wrong with a specification by itself."""
    match spec:
        case Route(targets=targets, path_prefix=path_prefix):
            yield from _route_faults(key, targets, path_prefix)
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
            # Written so that a timeout that is no number is refused too.
            if not 0 < timeout <= MAX_TIMEOUT:
                limit = f"more than 0 and at most {MAX_TIMEOUT:g}"
                yield Fault(f"{key}.timeout", f"is {timeout} s; allowed is {limit}")
            if not 0 <= max_body_bytes <= LARGEST_MAX_BODY_BYTES:
                limit = f"0 to {LARGEST_MAX_BODY_BYTES}"
                yield Fault(f"{key}.max_body_bytes", f"is {max_body_bytes}; allowed is {limit}")
        case Service() | Upstream():
            return


def _route_faults(key: Key, targets: tuple[Target, ...], path_prefix: str) -> Iterator[Fault]:
    """Yield what is wrong with a route by itself."""
    if any(not 0 <= target.weight <= MAX_WEIGHT for target in targets):
        yield Fault(f"{key}.targets", f"has a weight out of range; allowed is 0 to {MAX_WEIGHT}")
    if sum(target.weight for target in targets) <= 0:
        yield Fault(f"{key}.targets", "has weights that add up to 0; give one target at least 1")
    if not path_prefix.startswith("/"):
        yield Fault(f"{key}.path_prefix", f"is {path_prefix!r}; it must begin with /")


def dangling(resources: Mapping[Key, Resource]) -> Iterator[Fault]:
    """Yield each reference to a resource that isn't there."""
    for resource in resources.values():
        for reference in references(resource.spec):
            if reference not in resources:
                yield Fault(str(resource.key), f"refers to {reference}, which does not exist")
