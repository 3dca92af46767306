"""The names of the header fields that proxies read and set."""

from __future__ import annotations

from typing import NamedTuple

from cowslipvane.access import Admitted, Unchecked, team_of
from cowslipvane.types import Header, Headers

# Where callers show the keys of their teams (RFC 6750).
KEY_FIELD = "Authorization"


class HeaderNames(NamedTuple):
    """Names of header fields towards callers and workers.

    origin_service, expected_instance, not_run, rate_limit, leaving and owner may be empty, which
    disables the field.
    """

    # The request id; ids from callers are accepted only if accepts_request_ids is set.
    request_id: str = "X-Request-Id"
    accepts_request_ids: bool = False
    # Whether a request without an id is refused, since upstreams serve none that its caller didn't
    # choose.
    requires_request_id: bool = False
    # The caller's timeout, and the time remaining for a worker, in milliseconds.
    timeout_ms: str = "X-Request-Timeout-Ms"
    # The service on the host that sent the request. It is always set by the proxy, so that callers
    # can't forge it.
    origin_service: str = ""
    # The team whose key a request shows. It is always set by the proxy, too.
    team: str = "X-Team"
    # The worker instance that a request is for; other instances refuse it without running it.
    expected_instance: str = ""
    # Whether workers name the request in each answer, so that one without an id belongs to none.
    workers_echo_ids: bool = False
    # Set in a worker's answer if the request was not run.
    not_run: str = "X-Not-Run"
    # Set in a worker's answers while it takes only so many requests a second, from all proxies.
    rate_limit: str = ""
    # Set in a worker's answers once it is leaving and takes no new requests.
    leaving: str = ""
    # The address of the proxy that owns the upstream; callers that connect to it save a hop.
    owner: str = "X-Cowslipvane-Owner"

    def without_proxy_fields(self, headers: Headers) -> Headers:
        """Return the fields of a request without those that the proxy sets."""
        own = {
            self.request_id,
            self.timeout_ms,
            self.origin_service,
            self.expected_instance,
            self.team,
        }
        return _without(headers, own)

    def headers_to_owner(
        self, headers: Headers, request_id: str, origin_service: str, access: Admitted
    ) -> Headers:
        """Return the fields of a request that an entry proxy sends to an owner."""
        kept = self.without_proxy_fields(headers)
        if not isinstance(access, Unchecked):
            kept = _without(kept, {KEY_FIELD})
        fields = [*kept, Header(self.request_id, request_id)]
        if self.origin_service:
            fields.append(Header(self.origin_service, origin_service))
        team = team_of(access)
        if team is not None:
            fields.append(Header(self.team, team))
        return tuple(fields)

    def headers_to_worker(self, headers: Headers, remaining_ms: int, instance: str) -> Headers:
        """Return the fields of a request that an owner sends to its worker."""
        fields = [*headers, Header(self.timeout_ms, str(remaining_ms))]
        if self.expected_instance and instance:
            fields.append(Header(self.expected_instance, instance))
        return tuple(fields)


def _without(headers: Headers, names: set[str]) -> Headers:
    """Return header fields without those of some names, in any spelling."""
    lower = {name.lower() for name in names}
    return tuple(header for header in headers if header.name.lower() not in lower)


DEFAULT_HEADER_NAMES = HeaderNames()
