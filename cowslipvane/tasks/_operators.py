"""The operators' listener: it hands each request to the API that answers it."""

from __future__ import annotations

from aiohttp import web

from cowslipvane.tasks._http import error_response
from cowslipvane.tasks._process_api import ProcessApi
from cowslipvane.tasks._replica_api import ReplicaApi
from cowslipvane.tasks._resource_api import ResourceApi


class Operators:
    """Answers operators, and the worker on this host, as HTTP and JSON."""

    def __init__(
        self, *, process: ProcessApi, resources: ResourceApi | None, replicas: ReplicaApi | None
    ) -> None:
        self._process = process
        self._resources = resources
        self._replicas = replicas

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        parts = http.path.strip("/").split("/")
        if parts[0] == "v1":
            del parts[0]
        try:
            answer = await self._process.handle(http, parts)
            if answer is None and self._resources is not None:
                answer = await self._resources.handle(http, parts)
            if answer is None and self._replicas is not None:
                answer = await self._replicas.handle(http, parts)
        except (ValueError, KeyError, TypeError) as error:
            return error_response(400, f"the request can't be read: {error!r}")
        if answer is None:
            return error_response(404, f"there is no {http.method} {http.path} at this process")
        return answer
