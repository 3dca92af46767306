"""The API of the replica group."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.replica import GroupChangeRefused
from cowslipvane.tasks.http import error_response
from cowslipvane.tasks.operators._redirect import leader_redirect
from cowslipvane.tasks.replication import GroupChanged, NotLeader, Replication, Unknown
from cowslipvane.wire import group_form, read_group_change

_PATH = "/v1/replicas"


class ReplicaApi:
    """Serves operators who list, add, replace and remove replicas."""

    def __init__(
        self, *, membership: Membership, events: EventLog, replication: Replication
    ) -> None:
        self._membership = membership
        self._events = events
        self._replication = replication

    async def handle(self, request: web.BaseRequest, parts: list[str]) -> web.StreamResponse | None:
        """Dispatch by method and path; return None for a path of another API."""
        match request.method, parts:
            case "GET", ["replicas"]:
                return self._group()
            case "POST", ["replicas"]:
                return await self._change_group(await request.json())
            case _:
                return None

    def _group(self) -> web.Response:
        """Return the group if this replica holds the leader lease, else redirect to the leader."""
        replica = self._replication.replica
        if not self._replication.holds_lease:
            return leader_redirect(self._membership, _PATH, replica.leader)
        return web.json_response({"leader": replica.host, **group_form(replica.group)})

    async def _change_group(self, form: Any) -> web.Response:
        """Change the group; the response states whether the change was run."""
        match await self._replication.change_group(read_group_change(form)):
            case NotLeader(leader=leader):
                return leader_redirect(self._membership, _PATH, leader)
            case Unknown():
                sentence = "unknown: ask for the group, or send the same change again"
                return web.json_response({"outcome": "unknown", "sentence": sentence}, status=504)
            case GroupChangeRefused(reason=reason):
                return error_response(409, f"not run: {reason}")
            case GroupChanged(group=group):
                self._events.record("regrouped", change=str(form["change"]), host=str(form["host"]))
                return web.json_response({"outcome": "accepted", **group_form(group)})
