"""The operator API: dispatches each request to the API that handles its path."""

from __future__ import annotations

import ipaddress

from aiohttp import web

from cowslipvane.settings import AUTHORIZATION, Token
from cowslipvane.tasks.http import error_response
from cowslipvane.tasks.operators._process_api import ProcessApi
from cowslipvane.tasks.operators._quota_api import QuotaApi
from cowslipvane.tasks.operators._replica_api import ReplicaApi
from cowslipvane.tasks.operators._resource_api import ResourceApi
from cowslipvane.tasks.operators._rollout_api import RolloutApi


class OperatorApi:
    """Serves operators, and the worker on this host, over HTTP with JSON."""

    def __init__(
        self,
        *,
        process: ProcessApi,
        token: Token | None,
        resources: ResourceApi | None = None,
        replicas: ReplicaApi | None = None,
        rollouts: RolloutApi | None = None,
        quotas: QuotaApi | None = None,
    ) -> None:
        self._token = token
        # A process serves those parts that its roles have.
        parts = (process, resources, replicas, rollouts, quotas)
        self._parts = [part for part in parts if part is not None]

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
            for part in self._parts:
                response = await part.handle(request, parts)
                if response is not None:
                    return response
        except web.HTTPRequestEntityTooLarge:
            return error_response(413, "not run: the body is too large; split the change")
        except (ValueError, LookupError, TypeError, RecursionError) as error:
            # repr() of a decoding error has the whole body, which may hold a key by mistake.
            reason = f"{type(error).__name__}: {error}"
            return error_response(400, f"not run: the request can't be read: {reason}")
        return error_response(404, f"there is no {request.method} {request.path} at this process")

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
