"""Tests of the latency goal of a call, which depends on its sender."""

import unittest

from tests.callers_case import GOAL_S, CallersTestCase


class GoalsTest(CallersTestCase):
    """Tests with callers and upstreams on the same host as the proxy."""

    async def asyncSetUp(self) -> None:
        """Put a configuration in force."""
        await super().asyncSetUp()
        self.apply()

    async def test_call_from_the_same_host_has_the_goal_of_its_route(self) -> None:
        """A caller's address alone does not make its calls nested."""
        await self.code()
        self.assertLessEqual(self.goal_remaining(), GOAL_S)
        self.assertFalse(self.dispatcher.calls[-1].is_nested)

    async def test_call_from_the_local_upstream_is_nested(self) -> None:
        """Its request id starts with that of a request that the upstream is running."""
        self.owner.running["parent"] = None
        await self.code(**{"X-Request-Id": "parent.1"})
        self.assertTrue(self.dispatcher.calls[-1].is_nested)

    async def test_id_without_a_running_parent_is_not_nested(self) -> None:
        """The local upstream is running no request with the id of the parent."""
        await self.code(**{"X-Request-Id": "other.1"})
        self.assertFalse(self.dispatcher.calls[-1].is_nested)


if __name__ == "__main__":
    unittest.main()
