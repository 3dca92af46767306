"""Tests of what the event of a refusal tells of its inputs."""

import unittest

from tests.callers_case import LOAD, OWNER, CallersTestCase


class RefusalEventsTest(CallersTestCase):
    """A line of the log from which the refusal can be explained afterwards."""

    async def test_it_tells_the_owners_that_were_tried_and_how_busy_the_last_one_was(self) -> None:
        """And the version that routed the call."""
        self.apply()
        await self.code(**{"X-Request-Id": "r1"})
        (event,) = [form for form in self.events.select(request="r1") if form["kind"] == "refusal"]
        self.assertEqual(event["detail"]["in_force"], str(self.subscription.version))
        self.assertEqual(event["detail"]["tried"], OWNER)
        running, waiting = f"{LOAD.running} running", f"{LOAD.queued} waiting"
        self.assertEqual(event["detail"]["load"], f"{running} and {waiting} for 4 slots")

    async def test_what_was_never_routed_has_no_owners(self) -> None:
        """No version was in force."""
        await self.code(**{"X-Request-Id": "r1", "X-Request-Timeout-Ms": "10"})
        (event,) = [form for form in self.events.select(request="r1") if form["kind"] == "refusal"]
        self.assertEqual(event["detail"]["in_force"], "0")
        self.assertEqual(event["detail"]["tried"], "")


if __name__ == "__main__":
    unittest.main()
