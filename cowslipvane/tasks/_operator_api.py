"""The operator API: dispatches each request to the API that handles its path."""

from __future__ import annotations

import ipaddress

from aiohttp import web

from cowslipvane.settings import AUTHORIZATION, Token
from cowslipvane.tasks._http import error_response
from cowslipvane.tasks._process_api import ProcessApi
from cowslipvane.tasks._replica_api import ReplicaApi
from cowslipvane.tasks._resource_api import ResourceApi


class OperatorApi:
    """Serves operators, and the worker on this host, over HTTP with JSON."""

    def __init__(
        self,
        *,
        process: ProcessApi,
        resources: ResourceApi | None,
        replicas: ReplicaApi | None,
        token: Token | None,
    ) -> None:
        self._token = token
        self._process = process
        self._resources = resources
        self._replicas = replicas

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request."""
        if not self._is_authorized(http):
            sentence = "show the token: name its file in COWSLIPVANE_TOKEN_FILE"
            unauthorized = error_response(401, f"not run: {sentence}")
            unauthorized.headers["WWW-Authenticate"] = "Bearer"
            return unauthorized
        parts = http.path.strip("/").split("/")
        if parts[0] == "v1":
            del parts[0]
        try:
            response = await self._process.handle(http, parts)
            if response is None and self._resources is not None:
                response = await self._resources.handle(http, parts)
            if response is None and self._replicas is not None:
                response = await self._replicas.handle(http, parts)
        except web.HTTPRequestEntityTooLarge:
            return error_response(413, "not run: the body is too large; split the change")
        except (ValueError, LookupError, TypeError, RecursionError) as error:
            return error_response(400, f"not run: the request can't be read: {error!r}")
        if response is None:
            return error_response(404, f"there is no {http.method} {http.path} at this process")
        return response

    def _is_authorized(self, http: web.BaseRequest) -> bool:
        """Return whether a request has the right token or needs none."""
        if self._token is None or self._token.matches(http.headers.get(AUTHORIZATION)):
            return True
        # The platform's worker has no token, but its requests come from this host's addresses.
        return http.path == "/v1/worker" and _from_this_host(http)


def _from_this_host(http: web.BaseRequest) -> bool:
    """Return whether a request comes from an address of this host."""
    return _shares_address(http) or ipaddress.ip_address(http.remote or "0.0.0.0").is_loopback


def _shares_address(http: web.BaseRequest) -> bool:
    """Return whether a request comes from the address that it was sent to."""
    if http.transport is None:
        return False
    peer = http.transport.get_extra_info("peername")
    own = http.transport.get_extra_info("sockname")
    return bool(peer and own and peer[0] == own[0])
