"""Tests of calls and their attempts."""

import unittest

from cowslipvane.call import Call, Request
from cowslipvane.catalogue import RetryPolicy, TrafficPolicy
from cowslipvane.refusal import Draining, OwnerUnreachable, QueueFull
from cowslipvane.routing import ServiceRules
from cowslipvane.types import HostName, RequestId, ServiceName, Verdict

SERVICE = ServiceName("stock")
LOST = OwnerUnreachable(host=HostName("a"), verdict=Verdict.MAY_HAVE_RUN)


def call(method: str) -> Call:
    """Return a call with a policy that allows three attempts for GET."""
    rules = ServiceRules(SERVICE, RetryPolicy(attempts=3, methods=("GET",)), TrafficPolicy())
    request = Request(method, "/", (), b"")
    return Call(request_id=RequestId("1"), request=request, rules=rules, deadline=1.0)


class CallTest(unittest.TestCase):
    """Tests of when a call may be retried, and of its final refusal."""

    def test_only_idempotent_calls_are_retried_with_unknown_outcome(self) -> None:
        """A POST that may have run is not retried."""
        self.assertTrue(call("GET").may_try_again(LOST))
        self.assertFalse(call("POST").may_try_again(LOST))
        self.assertTrue(call("POST").may_try_again(Draining(service=SERVICE)))

    def test_later_refusals_do_not_hide_an_unknown_outcome(self) -> None:
        """A call that may have run is not reported as not run after a second refusal."""
        retried_call = call("GET")
        retried_call.record_refusal(LOST)
        retried_call.record_refusal(QueueFull(service=SERVICE, retry_after=1.0))
        self.assertEqual(retried_call.unknown_outcome, LOST)


if __name__ == "__main__":
    unittest.main()
