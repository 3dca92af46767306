"""The API of any process: status, events, metrics and worker."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from cowslipvane.events import EventLog
from cowslipvane.membership import Member, Membership, Worker
from cowslipvane.subscription import Subscription
from cowslipvane.tasks.http import error_response
from cowslipvane.tasks.operators._metrics_collector import MetricsCollector
from cowslipvane.tasks.replication import Replication
from cowslipvane.tasks.upstreams import Owner
from cowslipvane.types import Address, ServiceName

# Each slot costs a task, so an announcement is limited in how many it can request.
MAX_SLOTS = 1024
MAX_CONNECTIONS = 10_000


class ProcessApi:
    """Serves operator requests about this process, and the worker on this host."""

    def __init__(
        self,
        *,
        membership: Membership,
        events: EventLog,
        replication: Replication | None,
        subscription: Subscription | None,
        owner: Owner | None,
        drain: Callable[[], None],
        debug: Callable[[], dict[str, Any]],
        metrics_collector: MetricsCollector,
    ) -> None:
        self._metrics_collector = metrics_collector
        self._debug = debug
        self._membership = membership
        self._events = events
        self._replication = replication
        self._subscription = subscription
        self._owner = owner
        self._drain = drain

    async def handle(self, request: web.BaseRequest, parts: list[str]) -> web.StreamResponse | None:
        """Dispatch by method and path; return None for a path of another API."""
        match request.method, parts:
            case "GET", ["status"]:
                return web.json_response(self._status())
            case "GET", ["events"]:
                return web.json_response(self._events_form(request))
            case "GET", ["debug"]:
                return web.json_response(self._debug())
            case "POST", ["worker"]:
                return await self._handle_announcement(await request.json())
            case "POST", ["drain"]:
                self._drain()
                return web.json_response({"state": "leaving"})
            case "GET", ["metrics"]:
                return web.Response(
                    body=self._metrics_collector.render(), content_type="text/plain"
                )
            case _:
                return None

    def _events_form(self, request: web.BaseRequest) -> dict[str, Any]:
        """Return the events that match a query, and the counts of the event log."""
        request_id, version = request.query.get("request", ""), int(
            request.query.get("version", "0")
        )
        events = list(self._events.select(request=request_id, version=version))
        return {"host": self._membership.own.host, "events": events, "counts": self._events.counts}

    def _status(self) -> dict[str, Any]:
        """Return the status of this process and of the members that it knows."""
        own = self._membership.own
        status: dict[str, Any] = {
            "host": own.host,
            "data_centre": own.data_centre,
            "state": own.state,
            "members": [self._member_form(member) for member in self._membership.members],
        }
        if self._subscription is not None:
            status["in_force"] = self._subscription.version
        if self._owner is not None:
            status["load"] = self._owner.load._asdict()
        if self._replication is not None:
            status["replica"] = self._replica_form(self._replication)
        return status

    def _member_form(self, member: Member) -> dict[str, Any]:
        """Return a member as JSON."""
        return {
            "host": member.host,
            "data_centre": member.data_centre,
            "state": member.state,
            "alive": self._membership.is_alive(member.host, time.monotonic()),
            "operators": str(member.operators),
            "service": member.worker.service if member.worker else "",
        }

    def _replica_form(self, replication: Replication) -> dict[str, Any]:
        """Return the replica's part of the status."""
        replica = replication.replica
        return {
            "role": type(replica.role).__name__.lower(),
            "term": replica.term,
            "leader": replica.leader,
            "holds_lease": replication.holds_lease,
            "accepted": replica.catalogue.version,
            "reports": [
                {"host": report.host, "version": report.version, "applied_at": report.applied_at}
                for report in replica.reports.values()
            ],
        }

    async def _handle_announcement(self, form: Any) -> web.Response:
        """Register or deregister the worker on this host, as it announces."""
        if self._owner is None:
            return error_response(404, "this process is no proxy; announce to the one on this host")
        if isinstance(form, dict) and form.get("state") == "leaving":
            await self._owner.deregister_worker()
            return web.json_response({"state": "leaving"})
        worker = read_worker(form)
        await self._owner.register_worker(worker)
        return web.json_response({"state": self._membership.own.state})


def read_worker(form: Any) -> Worker:
    """Return the worker in an announcement; raise ValueError with the allowed values."""
    if not isinstance(form, dict) or not isinstance(form.get("service"), str):
        raise ValueError("an announcement has service, address, slots and connections")
    address = Address.parse(form.get("address"))
    slots, connections = form.get("slots"), form.get("connections")
    if type(slots) is not int or not 0 < slots <= MAX_SLOTS:
        raise ValueError(f"found slots {slots!r}; allowed is 1 to {MAX_SLOTS}")
    if type(connections) is not int or not 0 < connections <= MAX_CONNECTIONS:
        raise ValueError(f"found connections {connections!r}; allowed is 1 to {MAX_CONNECTIONS}")
    version = form.get("version", "")
    if not isinstance(version, str):
        raise ValueError(f"found version {version!r:.80}; allowed is a text")
    service = ServiceName(form["service"])
    worker = Worker(service, address, slots, connections, version=version)
    if worker.fault:
        raise ValueError(worker.fault)
    return worker
