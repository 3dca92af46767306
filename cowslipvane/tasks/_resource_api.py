"""The resource API of a replica."""

from __future__ import annotations

import json
import time
from typing import Any

from aiohttp import web

from cowslipvane.catalogue import Accepted, Conflict, Fault, Invalid
from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.replica import Leader
from cowslipvane.tasks._redirect import leader_redirect
from cowslipvane.tasks._replication import NotLeader, Replication, Unknown
from cowslipvane.types import HostName
from cowslipvane.wire import outcome_form, read_change, resource_form

WATCH_HEARTBEAT_S = 5.0


class ResourceApi:
    """Answers operators who read, write and watch resources."""

    def __init__(
        self, *, membership: Membership, events: EventLog, replication: Replication
    ) -> None:
        self._membership = membership
        self._events = events
        self._replication = replication

    async def handle(self, http: web.BaseRequest, parts: list[str]) -> web.StreamResponse | None:
        """Answer by method and path, or return None when the path is none of this API."""
        match http.method, parts:
            case "GET", ["resources"]:
                return self._resources()
            case "POST", ["changes"]:
                return await self._change(await http.json())
            case "GET", ["watch"]:
                return await self._watch(http)
            case _:
                return None

    def _resources(self) -> web.Response:
        """Return all accepted resources, from a leader that surely still is one."""
        replica = self._replication.replica
        if not replica.holds_lease(time.monotonic()):
            return self._redirect("/v1/resources", replica.leader)
        resources = [resource_form(item) for item in replica.catalogue.resources.values()]
        form = {"version": replica.catalogue.version, "resources": resources}
        return web.json_response(form)

    async def _change(self, form: Any) -> web.Response:
        """Decide a change; the answer says whether it was run."""
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
                self._replication.note_accepted()
                return web.json_response(outcome_form(outcome))
            case Conflict():
                return web.json_response(outcome_form(outcome), status=409)
            case Invalid():
                return web.json_response(outcome_form(outcome), status=422)

    def _redirect(self, path: str, leader: HostName | None) -> web.Response:
        """Send an operator on to the leader, or tell when to come again."""
        return leader_redirect(self._membership, path, leader)

    async def _watch(self, http: web.BaseRequest) -> web.StreamResponse:
        """Stream a line for each version from the one that the operator holds."""
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


def _invalid(faults: tuple[Fault, ...]) -> web.Response:
    """Return the faults of a change, of which nothing was run."""
    return web.json_response(outcome_form(Invalid(faults=faults)), status=422)
