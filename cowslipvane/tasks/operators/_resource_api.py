"""The resource API of a replica."""

from __future__ import annotations

import uuid
from typing import Any

from aiohttp import web

from cowslipvane.catalogue import (
    SYSTEM_KINDS,
    Accepted,
    Catalogue,
    Change,
    Conflict,
    Fault,
    Invalid,
    Key,
    Spec,
)
from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.tasks.distribution import Publisher, Watch
from cowslipvane.tasks.http import error_response
from cowslipvane.tasks.operators._redirect import leader_redirect
from cowslipvane.tasks.replication import NotLeader, Replication, Unknown
from cowslipvane.types import HostName, OperationId, Version
from cowslipvane.wire import (
    change_form,
    effect_form,
    outcome_form,
    progress_form,
    read_change,
    read_spec,
    resource_form,
    status_form,
)


class ResourceApi:
    """Serves operators who read, write and watch resources."""

    def __init__(
        self,
        *,
        membership: Membership,
        events: EventLog,
        replication: Replication,
        publisher: Publisher,
    ) -> None:
        self._membership = membership
        self._events = events
        self._replication = replication
        self._publisher = publisher

    @property
    def _catalogue(self) -> Catalogue:
        """Return the catalogue of this replica."""
        return self._replication.replica.catalogue

    async def handle(self, request: web.BaseRequest, parts: list[str]) -> web.StreamResponse | None:
        """Dispatch by method and path; return None for a path of another API."""
        if parts[0] not in ("resources", "changes", "history", "watch"):
            return None
        if not self._replication.holds_lease:
            return self._redirect(request.path_qs, self._replication.replica.leader)
        match request.method, parts:
            case "GET", ["resources"]:
                return self._resources()
            case "GET", ["resources", kind, name]:
                return self._resource(Key(kind, name))
            case "PUT" | "DELETE", ["resources", kind, name]:
                return await self._write_resource(request, Key(kind, name))
            case "POST", ["changes"]:
                return await self._handle_change(await request.json())
            case "GET", ["history"]:
                return self._history(_requested_version(request))
            case "GET", ["watch"]:
                return await self._watch(request)
            case _:
                return None

    def _resources(self) -> web.Response:
        """Return all accepted resources, each with its convergence status."""
        convergence = self._publisher.convergence
        acceptance_times = self._catalogue.acceptance_times()
        progress = convergence.progress(self._catalogue.version, acceptance_times)
        resources = [
            {
                **resource_form(item),
                "status": status_form(item.version, acceptance_times, convergence),
            }
            for item in self._catalogue.resources.values()
        ]
        return web.json_response({**progress_form(progress), "resources": resources})

    def _resource(self, key: Key) -> web.Response:
        """Return one resource, its status, and the ETag for a conditional write."""
        resource = self._catalogue.resources.get(key)
        if resource is None:
            return error_response(404, f"there is no {key}")
        acceptance_times = self._catalogue.acceptance_times()
        progress = self._publisher.convergence.progress(resource.version, acceptance_times)
        status = status_form(resource.version, acceptance_times, self._publisher.convergence)
        status["behind"] = progress_form(progress)["behind"]
        form = {**resource_form(resource), "status": status}
        return web.json_response(form, headers={"ETag": f'"{resource.version}"'})

    async def _write_resource(self, request: web.BaseRequest, key: Key) -> web.Response:
        """Write or delete one resource if it has not changed since the operator read it."""
        if key.kind in SYSTEM_KINDS:
            return _invalid_response((Fault(str(key), "is written by replicas alone"),))
        operation_id = request.headers.get("Idempotency-Key", "") or uuid.uuid4().hex
        based_on = self._based_on(request, key)
        if based_on is None:
            sentence = 'not run: give If-Match with the ETag you saw, or If-None-Match: "*"'
            return error_response(428, sentence)
        puts: tuple[tuple[Key, Spec], ...] = ()
        if request.method == "PUT":
            spec = read_spec(key, await request.json())
            if isinstance(spec, Invalid):
                return _invalid_response(spec.faults)
            puts = ((key, spec),)
        deletes = () if puts else (key,)
        change = Change(OperationId(operation_id), based_on, puts, deletes)
        return await self._write_change(change, conflict_status=412)

    def _based_on(self, request: web.BaseRequest, key: Key) -> Version | None:
        """Return the version that a conditional write is based on, or None without a condition."""
        tag = request.headers.get("If-Match", "").strip('"')
        if tag.isdecimal():
            return Version(int(tag))
        if request.headers.get("If-None-Match", "").strip('"') == "*":
            # An existing resource was written after version 0, so a change based on 0 conflicts.
            return Version(0) if key in self._catalogue.resources else self._catalogue.version
        return None

    async def _handle_change(self, form: Any) -> web.Response:
        """Handle a change of several resources; the response states whether it was run."""
        change = read_change(form)
        if isinstance(change, Invalid):
            return _invalid_response(change.faults)
        if form.get("dry_run"):
            return self._dry_run(change)
        return await self._write_change(change, conflict_status=409)

    def _dry_run(self, change: Change) -> web.Response:
        """Return the outcome that a change would have, without running it."""
        match self._catalogue.check(change):
            case None:
                effects = [effect_form(effect) for effect in self._catalogue.effects(change)]
                return web.json_response({"outcome": "valid", "effects": effects})
            case Accepted() as outcome:
                return web.json_response(outcome_form(outcome))
            case Conflict() as outcome:
                return web.json_response(outcome_form(outcome), status=409)
            case Invalid(faults=faults):
                return _invalid_response(faults)

    async def _write_change(self, change: Change, *, conflict_status: int) -> web.Response:
        """Replicate a change and respond with its outcome."""
        outcome = await self._replication.write(change)
        match outcome:
            case NotLeader(leader=leader):
                return self._redirect("/v1/changes", leader)
            case Unknown():
                sentence = "unknown: ask again with the same operation_id"
                return web.json_response({"outcome": "unknown", "sentence": sentence}, status=504)
            case Accepted():
                return web.json_response(outcome_form(outcome))
            case Conflict():
                return web.json_response(outcome_form(outcome), status=conflict_status)
            case Invalid():
                return web.json_response(outcome_form(outcome), status=422)

    def _history(self, version: Version) -> web.Response:
        """Return the accepted changes after a version."""
        if version < self._catalogue.oldest_version:
            return self._gone_response()
        changes = [change_form(change) for change in self._catalogue.history(version)]
        return web.json_response({"version": self._catalogue.version, "changes": changes})

    async def _watch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stream the changes after a version if the history still reaches back to it."""
        version = _requested_version(request)
        if version < self._catalogue.oldest_version:
            return self._gone_response()
        watch = Watch(replication=self._replication, publisher=self._publisher, version=version)
        return await watch.run(request)

    def _gone_response(self) -> web.Response:
        """Respond that the history doesn't reach back to the requested version."""
        oldest = self._catalogue.oldest_version
        sentence = f"the history begins at version {oldest}; read the resources, then go on"
        form = {"outcome": "gone", "oldest": oldest, "sentence": sentence}
        return web.json_response(form, status=410)

    def _redirect(self, path: str, leader: HostName | None) -> web.Response:
        """Redirect an operator to the leader, or respond with 503 and Retry-After without one."""
        return leader_redirect(self._membership, path, leader)


def _requested_version(request: web.BaseRequest) -> Version:
    """Return the version that a request starts from."""
    return Version(int(request.query.get("from", "0")))


def _invalid_response(faults: tuple[Fault, ...]) -> web.Response:
    """Respond with the faults of a change that was not run."""
    return web.json_response(outcome_form(Invalid(faults=faults)), status=422)
