"""Tests of a caller's request and its attempts."""

import unittest

from cowslipvane.call import Call, Request
from cowslipvane.catalogue import RetryPolicy, TrafficPolicy
from cowslipvane.refusal import Draining, OwnerUnreachable, QueueFull
from cowslipvane.routing import ServiceRules
from cowslipvane.types import HostName, RequestId, ServiceName, Verdict

SERVICE = ServiceName("stock")
LOST = OwnerUnreachable(host=HostName("a"), verdict=Verdict.MAY_HAVE_RUN)


def call(method: str) -> Call:
    """Return a call whose GETs may be tried three times."""
    rules = ServiceRules(SERVICE, RetryPolicy(attempts=3, methods=("GET",)), TrafficPolicy())
    request = Request(method, "/", (), b"")
    return Call(request_id=RequestId("1"), request=request, rules=rules, deadline=1.0)


class CallTest(unittest.TestCase):
    """When a call may be tried again, and what is said of it in the end."""

    def test_only_an_idempotent_call_is_tried_again_in_doubt(self) -> None:
        """A POST that may have run stays at one attempt."""
        self.assertTrue(call("GET").may_try_again(LOST))
        self.assertFalse(call("POST").may_try_again(LOST))
        self.assertTrue(call("POST").may_try_again(Draining(service=SERVICE)))

    def test_a_later_refusal_does_not_hide_doubt(self) -> None:
        """A call that may have run isn't reported as not run after a second refusal."""
        tried = call("GET")
        tried.record_refusal(LOST)
        tried.record_refusal(QueueFull(service=SERVICE, retry_after=1.0))
        self.assertEqual(tried.unknown_outcome, LOST)


if __name__ == "__main__":
    unittest.main()
