"""The operator API: dispatches each request to the API that handles its path."""

from __future__ import annotations

import ipaddress

from aiohttp import web

from cowslipvane.settings import AUTHORIZATION, Token
from cowslipvane.tasks.http import error_response
from cowslipvane.tasks.operators._process_api import ProcessApi
from cowslipvane.tasks.operators._replica_api import ReplicaApi
from cowslipvane.tasks.operators._resource_api import ResourceApi
from cowslipvane.tasks.operators._rollout_api import RolloutApi


class OperatorApi:
    """Serves operators, and the worker on this host, over HTTP with JSON."""

    def __init__(
        self,
        *,
        process: ProcessApi,
        resources: ResourceApi | None,
        replicas: ReplicaApi | None,
        rollouts: RolloutApi | None,
        token: Token | None,
    ) -> None:
        self._token = token
        self._process_api = process
        self._resource_api = resources
        self._replica_api = replicas
        self._rollout_api = rollouts

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request."""
        if not self._is_authorized(request):
            sentence = "show the token: name its file in COWSLIPVANE_TOKEN_FILE"
            unauthorized = error_response(401, f"not run: {sentence}")
            unauthorized.headers["WWW-Authenticate"] = "Bearer"
            return unauthorized
        parts = request.path.strip("/").split("/")
        if parts[0] == "v1":
            del parts[0]
        try:
            response = await self._process_api.handle(request, parts)
            if response is None and self._resource_api is not None:
                response = await self._resource_api.handle(request, parts)
            if response is None and self._replica_api is not None:
                response = await self._replica_api.handle(request, parts)
            if response is None and self._rollout_api is not None:
                response = await self._rollout_api.handle(request, parts)
        except web.HTTPRequestEntityTooLarge:
            return error_response(413, "not run: the body is too large; split the change")
        except (ValueError, LookupError, TypeError, RecursionError) as error:
            # repr() of a decoding error has the whole body, which may hold a key by mistake.
            reason = f"{type(error).__name__}: {error}"
            return error_response(400, f"not run: the request can't be read: {reason}")
        if response is None:
            return error_response(
                404, f"there is no {request.method} {request.path} at this process"
            )
        return response

    def _is_authorized(self, request: web.BaseRequest) -> bool:
        """Return whether a request has the right token or needs none."""
        if self._token is None or self._token.matches(request.headers.get(AUTHORIZATION)):
            return True
        # The platform's worker has no token, but its requests come from this host's addresses.
        return request.path == "/v1/worker" and _is_from_this_host(request)


def _is_from_this_host(request: web.BaseRequest) -> bool:
    """Return whether a request comes from an address of this host."""
    return _shares_address(request) or ipaddress.ip_address(request.remote or "0.0.0.0").is_loopback


def _shares_address(request: web.BaseRequest) -> bool:
    """Return whether a request comes from the address that it was sent to."""
    if request.transport is None:
        return False
    peer = request.transport.get_extra_info("peername")
    own = request.transport.get_extra_info("sockname")
    return bool(peer and own and peer[0] == own[0])
