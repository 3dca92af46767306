"""The response of a replica that isn't the leader."""

from __future__ import annotations

from aiohttp import web

from cowslipvane.membership import Membership
from cowslipvane.tasks.http import error_response
from cowslipvane.types import HostName


def leader_redirect(membership: Membership, path: str, leader: HostName | None) -> web.Response:
    """Return a redirect to the leader.

    If no leader is known, or it is this host, return an error with Retry-After.
    """
    member = membership.member(leader) if leader else None
    if member is None or member.host == membership.own.host:
        response = error_response(503, "not run: no leader is known here now; try again")
        response.headers["Retry-After"] = "1"
        return response
    location = f"http://{member.operators}{path}"
    return web.json_response(
        {"outcome": "not run", "leader": leader}, status=307, headers={"Location": location}
    )
