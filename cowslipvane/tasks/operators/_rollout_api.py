"""The API of rollouts: orders, and how far they are."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from cowslipvane.catalogue import Invalid, Rollout
from cowslipvane.membership import Membership
from cowslipvane.tasks.distribution import InProgress, NoRollout, NoService, Rollouts
from cowslipvane.tasks.http import error_response
from cowslipvane.tasks.operators._redirect import leader_redirect
from cowslipvane.tasks.replication import NotLeader, Unknown
from cowslipvane.types import ServiceName
from cowslipvane.wire import fault_forms, rollout_form

_PATH = "/v1/rollouts"


class RolloutApi:
    """Serves operators who move services to other versions of their upstreams."""

    def __init__(self, *, membership: Membership, rollouts: Rollouts) -> None:
        self._membership = membership
        self._rollouts = rollouts

    async def handle(self, request: web.BaseRequest, parts: list[str]) -> web.StreamResponse | None:
        """Dispatch by method and path; return None for a path of another API."""
        match request.method, parts:
            case "POST", ["rollouts"]:
                return await self._start(await request.json())
            case "GET", ["rollouts", service]:
                return self._get(ServiceName(service))
            case _:
                return None

    async def _start(self, form: Any) -> web.Response:
        """Begin a rollout; the response states whether it was run."""
        service, target_version = str(form["service"]), str(form["target_version"])
        duration = float(form["duration"])
        match await self._rollouts.start(
            ServiceName(service), target_version=target_version, duration=duration
        ):
            case Rollout() as rollout:
                return web.json_response({"outcome": "accepted", **rollout_form(service, rollout)})
            case InProgress(rollout=running):
                sentence = f"not run: the rollout of {running.target_version} is running"
                return error_response(409, sentence)
            case NoService():
                return error_response(404, f"not run: there is no service {service}")
            case Invalid(faults=faults):
                form = {"outcome": "invalid", "faults": fault_forms(faults)}
                return web.json_response(form, status=422)
            case NotLeader(leader=leader):
                return leader_redirect(self._membership, _PATH, leader)
            case Unknown():
                sentence = "unknown: ask for the rollout, or send the same order again"
                return web.json_response({"outcome": "unknown", "sentence": sentence}, status=504)

    def _get(self, service: ServiceName) -> web.Response:
        """Return the newest rollout of a service."""
        match self._rollouts.get(service):
            case Rollout() as rollout:
                return web.json_response(rollout_form(service, rollout))
            case NoRollout():
                return error_response(404, f"there was no rollout of {service}")
            case NotLeader(leader=leader):
                return leader_redirect(self._membership, f"{_PATH}/{service}", leader)
