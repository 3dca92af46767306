"""A call, its attempts, and whether another attempt is allowed."""

from __future__ import annotations

from cowslipvane.access import Admitted, Unchecked
from cowslipvane.call._messages import Request
from cowslipvane.refusal import OwnerUnreachable, Refusal, RouteOutdated, explain, reached_upstream
from cowslipvane.routing import Load, ServiceRules
from cowslipvane.types import HostName, RequestId, Seconds, Verdict, Version

# Owners that a call is offered to if each refuses it; the others are probably overloaded too.
MAX_OFFERS = 3


class Call:
    """A request of a caller and the attempts to serve it."""

    def __init__(
        self,
        *,
        request_id: RequestId,
        request: Request,
        rules: ServiceRules,
        deadline: float,
        caller: str = "",
        goal: float | None = None,
        nested: bool = False,
        version: Version | None = None,
        access: Admitted | None = None,
    ) -> None:
        """Without a decision about its access, the call is for no team."""
        self._version = version
        self._access = access or Unchecked()
        self._nested = nested
        self._goal = goal
        self._request_id = request_id
        self._request = request
        self._rules = rules
        self._deadline = deadline
        self._caller = caller
        self._tried_hosts: list[HostName] = []
        self._unknown_outcome: Refusal | None = None
        self._upstream_attempts = 0
        self._refusal_count = 0
        self._load: Load | None = None

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request."""
        return self._request_id

    @property
    def request(self) -> Request:
        """Return the request."""
        return self._request

    @property
    def rules(self) -> ServiceRules:
        """Return the service and the policies for the request."""
        return self._rules

    @property
    def caller(self) -> str:
        """Return the identity of the caller, for fair queueing at an upstream."""
        return self._caller

    @property
    def is_nested(self) -> bool:
        """Return whether an upstream made the call while handling another request."""
        return self._nested

    @property
    def version(self) -> Version | None:
        """Return the version of the configuration by which the call was routed, if known."""
        return self._version

    @property
    def access(self) -> Admitted:
        """Return by what the call was admitted, and for which team."""
        return self._access

    @property
    def tried_hosts(self) -> tuple[HostName, ...]:
        """Return the hosts of the attempts so far."""
        return tuple(self._tried_hosts)

    @property
    def load(self) -> Load | None:
        """Return the load that an owner reported last, or None if none has reported."""
        return self._load

    @property
    def unknown_outcome(self) -> Refusal | None:
        """Return the refusal of an attempt that may have run, or None."""
        return self._unknown_outcome

    @property
    def is_idempotent(self) -> bool:
        """Return whether the configuration allows the request to run more than once."""
        if self._rules.repeatable is not None:
            return self._rules.repeatable
        retry = self._rules.retry
        return self._request.method in retry.methods and not retry.idempotency_key

    def time_remaining(self, now: float) -> Seconds:
        """Return the time until the deadline."""
        return self._deadline - now

    def goal_remaining(self, now: float) -> Seconds | None:
        """Return the time until the latency goal, or None if the request has no goal."""
        return None if self._goal is None else self._goal - now

    def begin_attempt(self, host: HostName) -> None:
        """Record a new attempt at a host."""
        self._tried_hosts.append(host)

    def record_load(self, load: Load) -> None:
        """Record the load that an owner reported with its answer."""
        self._load = load

    def record_refusal(self, refusal: Refusal) -> None:
        """Record a refusal, and keep the latest one whose attempt may have run.

        A later refusal of an attempt that was not run must not hide that an earlier one may have.
        """
        if reached_upstream(refusal):
            self._upstream_attempts += 1
        elif not isinstance(refusal, OwnerUnreachable):
            self._refusal_count += 1
        if explain(refusal).verdict is not Verdict.NOT_RUN:
            self._unknown_outcome = refusal

    def may_try_again(self, refusal: Refusal) -> bool:
        """Return whether another attempt is allowed after a refusal."""
        if isinstance(refusal, RouteOutdated):
            return False
        if not reached_upstream(refusal):
            # The limit avoids offering the call to every owner of an overloaded service.
            return isinstance(refusal, OwnerUnreachable) or self._refusal_count + 1 < MAX_OFFERS
        if self._upstream_attempts + 1 >= self._rules.retry.attempts:
            return False
        return self.is_idempotent or explain(refusal).verdict is Verdict.NOT_RUN
