"""Routing of callers' requests by the version in force, or by a newer one that is on its way."""

from __future__ import annotations

import random
import time
from typing import NamedTuple

from aiohttp import web

from cowslipvane.call import HeaderNames, end_to_end_headers
from cowslipvane.refusal import NoConfiguration, NoRoute, Refusal, RouteOutdated
from cowslipvane.routing import RoutingTable, ServiceRules
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.types import Seconds, Version

# A proxy has its first configuration within this time of its start, unless it is partitioned.
FIRST_CONFIGURATION_TIMEOUT: Seconds = 2.0
# The share of a caller's timeout that is spent waiting for the first configuration; the rest is
# left for the work, or for a retry.
FIRST_CONFIGURATION_SHARE = 0.5
# The share of a call's remaining time that is spent waiting for a version that isn't here yet.
NEWER_VERSION_SHARE = 0.5
# The timeout of a call that no route matches, if its caller sent none.
NEWER_VERSION_TIMEOUT: Seconds = 2.0


class Routed(NamedTuple):
    """The table that a request was routed by, and the service that this led to."""

    table: RoutingTable
    rules: ServiceRules


class Router:
    """Finds the service of a request, and waits for a version that is known to be accepted."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        configuration_applied: Signal,
        header_names: HeaderNames,
        rng: random.Random,
    ) -> None:
        self._subscription = subscription
        self._configuration_applied = configuration_applied
        self._header_names = header_names
        self._rng = rng
        self._started_at = time.monotonic()

    async def find(self, http: web.BaseRequest, arrived_at: float) -> Routed | Refusal:
        """Route a request that has just arrived."""
        table = await self._first_table(http, arrived_at)
        if table is None:
            return NoConfiguration()
        return await self._find_route(http, table, arrived_at)

    async def find_again(
        self, http: web.BaseRequest, outdated: RouteOutdated, time_remaining: Seconds
    ) -> Routed | Refusal:
        """Route a request by a newer version, which an owner has; refuse it if that is late."""
        give_up_at = time.monotonic() + time_remaining * NEWER_VERSION_SHARE
        table = await self._table_of_version(outdated.version, give_up_at)
        if table is None:
            return outdated
        rules = self._route(table, http)
        return _no_route(http) if rules is None else Routed(table, rules)

    def deadline(self, http: web.BaseRequest, rules: ServiceRules, arrived_at: float) -> float:
        """Return the deadline of a request: the earlier of the caller's and the route's."""
        caller_timeout = self._caller_timeout(http)
        route_timeout = rules.traffic.timeout
        return arrived_at + (
            route_timeout if caller_timeout is None else min(caller_timeout, route_timeout)
        )

    async def _first_table(self, http: web.BaseRequest, arrived_at: float) -> RoutingTable | None:
        """Return the routing table; a proxy that has just started waits for its first one."""
        if self._subscription.table is not None:
            return self._subscription.table
        give_up_at = self._started_at + FIRST_CONFIGURATION_TIMEOUT
        caller_timeout = self._caller_timeout(http)
        if caller_timeout is not None:
            give_up_at = min(give_up_at, arrived_at + caller_timeout * FIRST_CONFIGURATION_SHARE)
        while self._subscription.table is None and (remaining := give_up_at - time.monotonic()) > 0:
            await self._configuration_applied.wait(remaining)
        return self._subscription.table

    async def _find_route(
        self, http: web.BaseRequest, table: RoutingTable, arrived_at: float
    ) -> Routed | Refusal:
        """Route a request by the version in force, or by a newer one if none of its routes match.

        A refusal for lack of a route would be untrue if a version that is known to be accepted has
        one.
        """
        rules = self._route(table, http)
        newest = self._subscription.newest_known
        if rules is None and newest > table.version:
            timeout = self._caller_timeout(http) or NEWER_VERSION_TIMEOUT
            newer = await self._table_of_version(newest, arrived_at + timeout * NEWER_VERSION_SHARE)
            if newer is None:
                return RouteOutdated(version=newest)
            table, rules = newer, self._route(newer, http)
        return _no_route(http) if rules is None else Routed(table, rules)

    async def _table_of_version(self, version: Version, give_up_at: float) -> RoutingTable | None:
        """Return the table once a version is in force, None if it isn't by a time."""
        while self._subscription.version < version:
            remaining = give_up_at - time.monotonic()
            if remaining <= 0:
                return None
            await self._configuration_applied.wait(remaining)
        return self._subscription.table

    def _route(self, table: RoutingTable, http: web.BaseRequest) -> ServiceRules | None:
        """Return the service that a request is routed to, with its rules."""
        headers = end_to_end_headers(http.headers.items())
        host, path = http.headers.get("Host", ""), http.rel_url.raw_path
        return table.route(host=host, path=path, method=http.method, headers=headers, rng=self._rng)

    def _caller_timeout(self, http: web.BaseRequest) -> Seconds | None:
        """Return the timeout that a caller sent, None if it sent none."""
        timeout_ms = http.headers.get(self._header_names.timeout_ms, "")
        return float(timeout_ms) / 1000 if timeout_ms.isdecimal() else None


def _no_route(http: web.BaseRequest) -> NoRoute:
    """Return the refusal of a request that no route matches."""
    return NoRoute(host=http.headers.get("Host", ""), path=http.path)
