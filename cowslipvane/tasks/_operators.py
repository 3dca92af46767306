"""The operators' side: the resource API and the worker's announcements, as HTTP and JSON."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

import prometheus_client
from aiohttp import web

from cowslipvane.catalogue import Accepted, Conflict, Fault, Invalid
from cowslipvane.events import EventLog
from cowslipvane.membership import Member, Membership, Worker
from cowslipvane.replica import Leader
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._replication import NotLeader, Replication, Unknown
from cowslipvane.types import Address, HostName, ServiceName
from cowslipvane.wire import outcome_form, read_change, resource_form

WATCH_HEARTBEAT_S = 5.0


class Operators:
    """Answers operators, and the worker on this host."""

    def __init__(
        self,
        *,
        membership: Membership,
        events: EventLog,
        replication: Replication | None,
        subscription: Subscription | None,
        owner: Owner | None,
        drain: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._events = events
        self._replication = replication
        self._subscription = subscription
        self._owner = owner
        self._drain = drain

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of an operator or of the worker."""
        try:
            return await self._dispatch(http)
        except (ValueError, KeyError, TypeError) as error:
            return _error(400, f"the request can't be read: {error!r}")

    async def _dispatch(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer by method and path."""
        match http.method, http.path.strip("/").split("/"):
            case "GET", ["v1", "status"]:
                return web.json_response(self._status())
            case "GET", ["v1", "resources"]:
                return self._resources()
            case "POST", ["v1", "changes"]:
                return await self._change(await http.json())
            case "GET", ["v1", "watch"]:
                return await self._watch(http)
            case "GET", ["v1", "events"]:
                request = http.query.get("request", "")
                return web.json_response(list(self._events.select(request=request)))
            case "POST", ["v1", "worker"]:
                return await self._announce(await http.json())
            case "POST", ["v1", "drain"]:
                self._drain()
                return web.json_response({"state": "leaving"})
            case "GET", ["metrics"]:
                text = prometheus_client.generate_latest()
                return web.Response(body=text, content_type="text/plain")
            case _:
                return _error(404, f"there is no {http.method} {http.path} here")

    def _status(self) -> dict[str, Any]:
        """Return what this process knows of itself and the others."""
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
            "holds_lease": replica.holds_lease(time.monotonic()),
            "accepted": replica.catalogue.version,
            "reports": [
                {"host": report.host, "version": report.version, "applied_at": report.applied_at}
                for report in replica.reports.values()
            ],
        }

    def _resources(self) -> web.Response:
        """Return all accepted resources, from a leader that surely still is one."""
        if self._replication is None:
            return _error(404, "this process is no replica; ask one")
        replica = self._replication.replica
        if not replica.holds_lease(time.monotonic()):
            return self._redirect("/v1/resources", replica.leader)
        resources = [resource_form(item) for item in replica.catalogue.resources.values()]
        form = {"version": replica.catalogue.version, "resources": resources}
        return web.json_response(form)

    async def _change(self, form: Any) -> web.Response:
        """Decide a change; the answer says whether it was run."""
        if self._replication is None:
            return _error(404, "this process is no replica; ask one")
        change = read_change(form)
        if isinstance(change, Invalid):
            return _invalid(change.faults)
        if form.get("dry_run"):
            faults = self._replication.replica.catalogue.faults(change)
            return _invalid(faults) if faults else web.json_response({"outcome": "valid"})
        outcome = await self._replication.write(change)
        match outcome:
            case NotLeader(leader=leader):
                return self._redirect("/v1/changes", leader)
            case Unknown():
                sentence = "unknown: ask again with the same operation_id"
                return web.json_response({"outcome": "unknown", "sentence": sentence}, status=504)
            case Accepted():
                self._events.record("accepted", version=outcome.version)
                return web.json_response(outcome_form(outcome))
            case Conflict():
                return web.json_response(outcome_form(outcome), status=409)
            case Invalid():
                return web.json_response(outcome_form(outcome), status=422)

    def _redirect(self, path: str, leader: HostName | None) -> web.Response:
        """Send an operator on to the leader, or tell when to come again."""
        member = self._membership.member(leader) if leader else None
        if member is None or member.host == self._membership.own.host:
            response = _error(503, "not run: no leader is known here now; try again")
            response.headers["Retry-After"] = "1"
            return response
        location = f"http://{member.operators}{path}"
        return web.json_response(
            {"outcome": "not run", "leader": leader}, status=307, headers={"Location": location}
        )

    async def _watch(self, http: web.BaseRequest) -> web.StreamResponse:
        """Stream a line for each version from the one that the operator holds."""
        if self._replication is None:
            return _error(404, "this process is no replica; ask one")
        version = int(http.query.get("from", "0"))
        stream = web.StreamResponse(headers={"Content-Type": "application/jsonl"})
        await stream.prepare(http)
        while True:
            replica = self._replication.replica
            in_force = [report.version for report in replica.reports.values()]
            line = {
                "accepted": replica.catalogue.version,
                "proxies": len(in_force),
                "in_force": sum(held >= replica.catalogue.version for held in in_force),
                "leader": isinstance(replica.role, Leader),
                "from": version,
            }
            await stream.write(json.dumps(line).encode() + b"\n")
            await self._replication.changed.wait(WATCH_HEARTBEAT_S)

    async def _announce(self, form: Any) -> web.Response:
        """Take the announcement of the worker on this host."""
        if self._owner is None:
            return _error(404, "this process is no proxy; announce to the one on this host")
        ip, _, port = str(form["address"]).rpartition(":")
        worker = Worker(
            ServiceName(str(form["service"])),
            Address(ip, int(port)),
            int(form["slots"]),
            int(form["connections"]),
        )
        await self._owner.announce(worker)
        return web.json_response({"state": self._membership.own.state})


def _error(status: int, sentence: str) -> web.Response:
    """Return an error that says what to do."""
    return web.json_response({"outcome": "not run", "sentence": sentence}, status=status)


def _invalid(faults: tuple[Fault, ...]) -> web.Response:
    """Return the faults of a change, of which nothing was run."""
    return web.json_response(outcome_form(Invalid(faults=faults)), status=422)
