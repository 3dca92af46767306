"""The call: what was tried, and whether another attempt is allowed."""

from __future__ import annotations

from cowslipvane.call._messages import Request
from cowslipvane.refusal import OwnerUnreachable, Refusal, explain, reached_upstream
from cowslipvane.routing import Load, ServiceRules
from cowslipvane.types import HostName, RequestId, Seconds, Verdict

# Owners that may refuse a call before its caller is told; further ones are likely full too.
MAX_OFFERS = 3


class Call:
    """One caller's request and its attempts."""

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
    ) -> None:
        self._nested = nested
        self._goal = goal
        self._request_id = request_id
        self._request = request
        self._rules = rules
        self._deadline = deadline
        self._caller = caller
        self._tried: list[HostName] = []
        self._doubt: Refusal | None = None
        self._sent = 0
        self._refused = 0
        self._load: Load | None = None

    @property
    def request_id(self) -> RequestId:
        """Return the request's id."""
        return self._request_id

    @property
    def request(self) -> Request:
        """Return the request."""
        return self._request

    @property
    def rules(self) -> ServiceRules:
        """Return the service and its policies."""
        return self._rules

    @property
    def caller(self) -> str:
        """Return what tells callers apart when they share an upstream."""
        return self._caller

    @property
    def is_nested(self) -> bool:
        """Return whether an upstream makes the call for a request that it runs."""
        return self._nested

    @property
    def tried_hosts(self) -> tuple[HostName, ...]:
        """Return the hosts of the attempts so far."""
        return tuple(self._tried)

    @property
    def load(self) -> Load | None:
        """Return the load that the last owner told which answered, None when none has."""
        return self._load

    @property
    def unknown_outcome(self) -> Refusal | None:
        """Return the refusal of an attempt that may have run, if there was one."""
        return self._doubt

    @property
    def is_idempotent(self) -> bool:
        """Return whether the operator lets this request run more than once."""
        if self._rules.repeatable is not None:
            return self._rules.repeatable
        retry = self._rules.retry
        return self._request.method in retry.methods and not retry.idempotency_key

    def time_remaining(self, now: float) -> Seconds:
        """Return the time until the deadline."""
        return self._deadline - now

    def goal_remaining(self, now: float) -> Seconds | None:
        """Return the time until the answer is worth less; None when that isn't told."""
        return None if self._goal is None else self._goal - now

    def begin_attempt(self, host: HostName) -> None:
        """Count a new attempt at a host."""
        self._tried.append(host)

    def record_load(self, load: Load) -> None:
        """Keep the load that an owner has told with its answer."""
        self._load = load

    def record_refusal(self, refusal: Refusal) -> None:
        """Keep the refusal of an attempt, so that a later one can't hide that this may have run."""
        if reached_upstream(refusal):
            self._sent += 1
        elif not isinstance(refusal, OwnerUnreachable):
            self._refused += 1
        if explain(refusal).verdict is not Verdict.NOT_RUN:
            self._doubt = refusal

    def may_try_again(self, refusal: Refusal) -> bool:
        """Return whether another attempt is allowed after a refusal."""
        if not reached_upstream(refusal):
            # A service that is full everywhere is not asked owner by owner.
            return isinstance(refusal, OwnerUnreachable) or self._refused + 1 < MAX_OFFERS
        if self._sent + 1 >= self._rules.retry.attempts:
            return False
        return self.is_idempotent or explain(refusal).verdict is Verdict.NOT_RUN
