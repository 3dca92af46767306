"""Routing of callers' requests by the version in force, or by a newer one that is on its way."""

from __future__ import annotations

import random
import time
from typing import NamedTuple

from aiohttp import web

from cowslipvane.access import Admitted, Denied, NoKey, ShownKey, decide_access, read_key
from cowslipvane.call import KEY_FIELD, HeaderNames, end_to_end_headers
from cowslipvane.clock import lease_now
from cowslipvane.refusal import (
    KeyRefused,
    KeysUnconfirmed,
    NoConfiguration,
    NoRoute,
    Refusal,
    RouteOutdated,
)
from cowslipvane.routing import RoutingTable, ServiceRules
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import HostName, Seconds, TeamName, Version

# A proxy has its first configuration within this time of its start, unless it is partitioned.
FIRST_CONFIGURATION_TIMEOUT: Seconds = 2.0
# The share of a caller's timeout that is spent waiting for the first configuration; the rest is
# left for the work, or for a retry.
FIRST_CONFIGURATION_SHARE = 0.5
# The share of a call's remaining time that is spent waiting for a version that isn't here yet.
NEWER_VERSION_SHARE = 0.5
# The timeout of a call that no route matches, if its caller sent none.
NEWER_VERSION_TIMEOUT: Seconds = 2.0
# A longer timeout of a caller counts as this one. Callers without a key, or with no route, must not
# hold requests for as long as they like at a proxy that is cut off.
MAX_NEWER_VERSION_TIMEOUT: Seconds = 5.0


class Arrival(NamedTuple):
    """A request as it arrived, in time.monotonic seconds.

    parent_team is that of the request that a nested call is made for, None for other requests.
    """

    http: web.BaseRequest
    arrived_at: float
    parent_team: TeamName | None = None


class Routed(NamedTuple):
    """The table that a request was routed by, the service that this led to, and its access."""

    table: RoutingTable
    rules: ServiceRules
    access: Admitted


class Router:
    """Finds the service of a request, and waits for a version that is known to be accepted."""

    def __init__(
        self,
        *,
        host: HostName,
        subscription: Subscription,
        configuration_applied: Signal,
        header_names: HeaderNames,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._subscription = subscription
        self._configuration_applied = configuration_applied
        self._header_names = header_names
        self._rng = rng
        self._started_at = time.monotonic()

    async def find(self, arrival: Arrival) -> Routed | Refusal:
        """Route a request that has just arrived."""
        table = await self._first_table(arrival)
        if table is None:
            return NoConfiguration()
        timeout = self._caller_timeout(arrival.http) or NEWER_VERSION_TIMEOUT
        timeout = min(timeout, MAX_NEWER_VERSION_TIMEOUT)
        give_up_at = arrival.arrived_at + timeout * NEWER_VERSION_SHARE
        return await self._find_route(arrival, table, give_up_at)

    async def find_again(
        self, arrival: Arrival, outdated: RouteOutdated, time_remaining: Seconds
    ) -> Routed | Refusal:
        """Route a request by a newer version, which an owner has; refuse it if that is late."""
        give_up_at = time.monotonic() + time_remaining * NEWER_VERSION_SHARE
        table = await self._table_of_version(outdated.version, give_up_at)
        if table is None:
            return outdated
        return await self._find_route(arrival, table, give_up_at)

    def deadline(self, http: web.BaseRequest, rules: ServiceRules, arrived_at: float) -> float:
        """Return the deadline of a request: the earlier of the caller's and the route's."""
        caller_timeout = self._caller_timeout(http)
        route_timeout = rules.traffic.timeout
        return arrived_at + (
            route_timeout if caller_timeout is None else min(caller_timeout, route_timeout)
        )

    async def _first_table(self, arrival: Arrival) -> RoutingTable | None:
        """Return the routing table; a proxy that has just started waits for its first one."""
        if self._subscription.table is not None:
            return self._subscription.table
        give_up_at = self._started_at + FIRST_CONFIGURATION_TIMEOUT
        caller_timeout = self._caller_timeout(arrival.http)
        if caller_timeout is not None:
            share = caller_timeout * FIRST_CONFIGURATION_SHARE
            give_up_at = min(give_up_at, arrival.arrived_at + share)
        while self._subscription.table is None and (remaining := give_up_at - time.monotonic()) > 0:
            await self._configuration_applied.wait(remaining)
        return self._subscription.table

    async def _find_route(
        self, arrival: Arrival, table: RoutingTable, give_up_at: float
    ) -> Routed | Refusal:
        """Route a request by the version in force, or by a newer one if that refuses it.

        A refusal for lack of a route or a key would be untrue if a version that is known to be
        accepted has it. Further versions may become known while one is awaited.
        """
        while True:
            found = self._route(table, arrival)
            newest = self._subscription.newest_known
            if isinstance(found, Routed) or newest <= table.version:
                return found
            newer = await self._table_of_version(newest, give_up_at)
            if newer is None:
                return RouteOutdated(version=newest)
            table = newer

    async def _table_of_version(self, version: Version, give_up_at: float) -> RoutingTable | None:
        """Return the table once a version is in force, None if it isn't by a time."""
        while self._subscription.version < version:
            remaining = give_up_at - time.monotonic()
            if remaining <= 0:
                return None
            await self._configuration_applied.wait(remaining)
        return self._subscription.table

    def _route(self, table: RoutingTable, arrival: Arrival) -> Routed | Refusal:
        """Return the service that a request is routed to and its access, or why there is none."""
        http = arrival.http
        rules = table.route(
            host=http.headers.get("Host", ""),
            path=http.rel_url.raw_path,
            method=http.method,
            headers=end_to_end_headers(http.headers.items()),
            rng=self._rng,
        )
        if rules is None:
            return NoRoute(host=http.headers.get("Host", ""), path=http.path)
        is_read = rules.key_use != "ignored"
        presented = read_key(http.headers.getall(KEY_FIELD, ())) if is_read else NoKey()
        if isinstance(presented, ShownKey) and not self._subscription.accepts_keys(lease_now()):
            return KeysUnconfirmed(host=self._host)
        match decide_access(
            rules.key_use, presented, table.team_keys, parent_team=arrival.parent_team
        ):
            case Denied(fault=fault):
                return KeyRefused(fault=fault, version=table.version, route=rules.route)
            case access:
                return Routed(table, rules, access)

    def _caller_timeout(self, http: web.BaseRequest) -> Seconds | None:
        """Return the timeout that a caller sent, None if it sent none."""
        timeout_ms = http.headers.get(self._header_names.timeout_ms, "")
        return float(timeout_ms) / 1000 if timeout_ms.isdecimal() else None
