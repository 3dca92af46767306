"""Tests of the details in the event of a refusal."""

import unittest

from tests.callers_case import LOAD, OWNER, CallersTestCase


class RefusalEventsTest(CallersTestCase):
    """Tests that a refusal can be explained from its event."""

    async def test_event_has_the_tried_owners_and_the_last_reported_load(self) -> None:
        """The event also has the version that routed the call."""
        self.apply()
        await self.code(**{"X-Request-Id": "r1"})
        (event,) = [form for form in self.events.select(request="r1") if form["kind"] == "refusal"]
        self.assertEqual(event["detail"]["in_force"], str(self.subscription.version))
        self.assertEqual(event["detail"]["tried"], OWNER)
        running, waiting = f"{LOAD.running} running", f"{LOAD.queued} waiting"
        self.assertEqual(event["detail"]["load"], f"{running} and {waiting} for 4 slots")

    async def test_call_that_was_not_routed_has_no_tried_owners(self) -> None:
        """No version of the configuration was in force."""
        await self.code(**{"X-Request-Id": "r1", "X-Request-Timeout-Ms": "10"})
        (event,) = [form for form in self.events.select(request="r1") if form["kind"] == "refusal"]
        self.assertEqual(event["detail"]["in_force"], "0")
        self.assertEqual(event["detail"]["tried"], "")


if __name__ == "__main__":
    unittest.main()
