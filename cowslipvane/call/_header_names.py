"""The names of the header fields that the system itself reads and sets."""

from __future__ import annotations

from typing import NamedTuple

from cowslipvane.types import Header, Headers


class HeaderNames(NamedTuple):
    """The fields towards callers and workers; an empty name stands for a field that isn't used."""

    # Names a request; callers choose it themselves only if accepts_request_ids says so.
    request_id: str = "X-Request-Id"
    accepts_request_ids: bool = False
    # Milliseconds that a caller waits, and that a worker has left.
    timeout_ms: str = "X-Request-Timeout-Ms"
    # The service on the host where a request began; set by the system, whatever a caller sent.
    origin_service: str = ""
    # The instance that a request is meant for; any other one refuses it without running it.
    expected_instance: str = ""
    # In a worker's answer: the request was not run.
    not_run: str = "X-Not-Run"
    # Names the proxy that owns the upstream: a caller that goes there next saves a hop.
    owner: str = "X-Cowslipvane-Owner"

    def without_own(self, headers: Headers) -> Headers:
        """Return a request's fields without those that the system sets."""
        own = {self.request_id, self.timeout_ms, self.origin_service, self.expected_instance}
        lower = {name.lower() for name in own}
        return tuple(header for header in headers if header.name.lower() not in lower)

    def headers_to_owner(self, headers: Headers, request_id: str, origin_service: str) -> Headers:
        """Return the fields of a request that an entry passes on."""
        fields = [*self.without_own(headers), Header(self.request_id, request_id)]
        if self.origin_service:
            fields.append(Header(self.origin_service, origin_service))
        return tuple(fields)

    def headers_to_worker(self, headers: Headers, left_ms: int, instance: str) -> Headers:
        """Return the fields of a request that an owner sends to its worker."""
        fields = [*headers, Header(self.timeout_ms, str(left_ms))]
        if self.expected_instance and instance:
            fields.append(Header(self.expected_instance, instance))
        return tuple(fields)


DEFAULT_HEADER_NAMES = HeaderNames()
