"""The API of quotas: the share that a replica holds, and what it has counted of each team."""

from __future__ import annotations

from aiohttp import web

from cowslipvane.clock import lease_now
from cowslipvane.tasks.quotas import QuotaKeeper
from cowslipvane.wire import quotas_form


class QuotaApi:
    """Serves operators who ask what this replica has granted and refused."""

    def __init__(self, *, quotas: QuotaKeeper) -> None:
        self._quotas = quotas

    async def handle(self, request: web.BaseRequest, parts: list[str]) -> web.StreamResponse | None:
        """Dispatch by method and path; return None for a path of another API."""
        match request.method, parts:
            case "GET", ["quotas"]:
                share = self._quotas.share
                form = quotas_form(share, self._quotas.uses, lease_now())
                return web.json_response(form)
            case _:
                return None
