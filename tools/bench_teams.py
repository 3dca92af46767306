"""Measure what teams cost: a table of many, an update of one, a decision, and an offer's bytes."""

from __future__ import annotations

import argparse
import dataclasses
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from cowslipvane.access import decide_access, key_digest, read_key, team_of
from cowslipvane.call import AttemptId, Offer, Request
from cowslipvane.catalogue import (
    Catalogue,
    Change,
    Delta,
    Key,
    Resource,
    Route,
    Service,
    Snapshot,
    Spec,
    Target,
    Team,
)
from cowslipvane.routing import RoutingTable
from cowslipvane.subscription import Applied, Subscription
from cowslipvane.types import (
    NO_VERSION,
    Header,
    HostName,
    OperationId,
    ServiceName,
    TeamName,
    Version,
)
from cowslipvane.wire import encode

TEAMS = (74, 10_000)
KEYS_PER_TEAM = 2
ROUTES = 100
ROUNDS = 9
DECISIONS = 20_000
OFFERS = 20_000
SERVICE = ServiceName("stock")


def key_of_team(team: int, number: int) -> str:
    """Return one of a team's keys."""
    return f"key-{team:06}-{number}-0123456789abcdef"


def team_spec(team: int, *, first: int = 0) -> Spec:
    """Return a team with its keys, counted from a number."""
    numbers = range(first, first + KEYS_PER_TEAM)
    return Team(key_digests=tuple(sorted(key_digest(key_of_team(team, it)) for it in numbers)))


def make_specs(team_count: int) -> dict[Key, Spec]:
    """Return a configuration with teams, and routes that need keys."""
    specs: dict[Key, Spec] = {Key("service", SERVICE): Service()}
    for index in range(ROUTES):
        route = Route(
            targets=(Target(SERVICE),), path_prefix=f"/{index}", access_keys="required", goal=0.1
        )
        specs[Key("route", f"route-{index}")] = route
    for team in range(team_count):
        specs[Key("team", f"team-{team}")] = team_spec(team)
    return specs


def median_time(act: Callable[[], object]) -> float:
    """Return the median processor time of an act in seconds."""
    times = []
    for _ in range(ROUNDS):
        began_at = time.process_time()
        act()
        times.append(time.process_time() - began_at)
    return statistics.median(times)


def memory_of(act: Callable[[], object]) -> int:
    """Return the bytes that the result of an act keeps."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = act()
        after, _ = tracemalloc.get_traced_memory()
        del result
        return after - before
    finally:
        tracemalloc.stop()


def measure_table(team_count: int) -> None:
    """Print what a table costs with a number of teams, alone and after a change."""
    specs = make_specs(team_count)
    resources = [Resource(key, spec, Version(1)) for key, spec in specs.items()]

    def build(previous: RoutingTable | None = None) -> RoutingTable:
        return RoutingTable(version=Version(1), resources=resources, previous=previous)

    table = build()
    print(
        f"  table alone {median_time(build) * 1e3:8.2f} ms {memory_of(build) / 1024:8.0f} KiB;"
        f" of a version that changes no team {median_time(lambda: build(table)) * 1e3:8.2f} ms"
        f" {memory_of(lambda: build(table)) / 1024:8.0f} KiB"
    )


def measure_delta(team_count: int) -> None:
    """Print what a change of one team's keys costs at a replica and at a proxy."""
    catalogue, subscription = Catalogue(), Subscription()
    subscription.raise_floor(NO_VERSION)
    first = Change(OperationId("all"), NO_VERSION, tuple(make_specs(team_count).items()))
    began_at = time.process_time()
    catalogue.apply(first, accepted_at=1.0)
    first_time = time.process_time() - began_at
    snapshot = catalogue.update_since(NO_VERSION)
    assert isinstance(snapshot, Snapshot)
    began_at = time.process_time()
    assert isinstance(subscription.apply_snapshot(snapshot), Applied)
    snapshot_time = time.process_time() - began_at
    accept_times, apply_times = [], []
    for round_ in range(ROUNDS):
        version = catalogue.version
        puts = ((Key("team", "team-7"), team_spec(7, first=round_ + 1)),)
        began_at = time.process_time()
        catalogue.apply(Change(OperationId(str(round_)), version, puts), accepted_at=1.0)
        accept_times.append(time.process_time() - began_at)
        delta = catalogue.update_since(version)
        assert isinstance(delta, Delta)
        began_at = time.process_time()
        assert isinstance(subscription.apply_delta(delta), Applied)
        apply_times.append(time.process_time() - began_at)
    print(
        f"  first version: replica {first_time * 1e3:8.2f} ms, proxy {snapshot_time * 1e3:8.2f} ms;"
        f" one team changed: replica {statistics.median(accept_times) * 1e3:8.2f} ms,"
        f" proxy {statistics.median(apply_times) * 1e3:8.2f} ms"
    )


def measure_decision(team_count: int) -> None:
    """Print what the decision about one request costs, from its field to its team."""
    resources = [Resource(key, spec, Version(1)) for key, spec in make_specs(team_count).items()]
    keys = RoutingTable(version=Version(1), resources=resources).team_keys
    rng = random.Random(1)
    # Decoded anew for each request, as those that arrive are.
    fields = [f"Bearer {key_of_team(rng.randrange(team_count), 0)}" for _ in range(DECISIONS)]

    def decide_all() -> None:
        for field in fields:
            assert team_of(decide_access("required", read_key([field]), keys)) is not None

    print(f"  a decision {median_time(decide_all) / DECISIONS * 1e6:8.2f} us")


def measure_offer() -> None:
    """Print what the encoding of an offer costs, without a team and with one."""
    fields = (Header("Host", "valley"), *(Header(f"X-Field-{it}", "value") for it in range(8)))
    offer = Offer(
        attempt=AttemptId(HostName("a"), 1, 2),
        service=SERVICE,
        request=Request("GET", "/stock/7", fields, bytes(200)),
        timeout=1.5,
        idempotent=True,
        caller="c",
        goal=0.1,
        version=Version(7),
        length=200,
    )
    of_team = dataclasses.replace(offer, team=TeamName("team-7"), key=key_digest("key"))
    print(f"encoding an offer; medians of {ROUNDS} rounds")
    for name, sent in (("without a team", offer), ("with a team", of_team)):
        cost = median_time(partial(encode_often, sent)) / OFFERS * 1e6
        print(f"  {name:14} {cost:6.2f} us, {len(encode(sent))} bytes")


def encode_often(offer: Offer) -> None:
    """Encode an offer many times."""
    for _ in range(OFFERS):
        encode(offer)


def main() -> None:
    """Print the figures for each number of teams, in processor time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--teams", type=int, nargs="+", default=list(TEAMS))
    arguments = parser.parse_args()
    for count in arguments.teams:
        print(f"{count} teams of {KEYS_PER_TEAM} keys, {ROUTES} routes; medians of {ROUNDS} rounds")
        measure_table(count)
        measure_delta(count)
        measure_decision(count)
    measure_offer()


if __name__ == "__main__":
    main()
